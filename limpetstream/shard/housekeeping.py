"""Periodic work of an owner: due occurrences, leaving executors, old jobs."""

from limpetstream import errors
from limpetstream.executors import messages as executor_messages
from limpetstream.shard import (
    events,
    jobs,
    names,
    relocation,
    state,
    stops,
    stored_estimates,
    wait_reports,
)
from limpetstream.store import messages as store_messages
from limpetstream.telemetry import logs
from limpetstream.workflow import state as workflow_state

INTERVAL_S = 0.1
CLEANUP_INTERVAL_S = 3.0
CLEANUP_TIMEOUT_S = 1.0
RETENTION_MARGIN_S = 60.0  # A repeated submission may come late.
LEAVE_SLACK_S = 0.6  # Time that a stop and its answer may take.


async def run(shard: state.Shard) -> None:
    """Look after the shard for ever."""
    next_forget = shard.clock.monotonic() + CLEANUP_INTERVAL_S
    next_report = shard.clock.monotonic() + wait_reports.REPORT_INTERVAL_S
    tidied: set[str] = set()
    while True:
        release_due_occurrences(shard)
        stop_runs_on_draining_executors(shard)
        relocation.relocate_paused_runs(shard)
        now = shard.clock.monotonic()
        if now >= next_report:
            next_report = now + wait_reports.REPORT_INTERVAL_S
            wait_reports.report_waiting_jobs(shard)
        if now >= next_forget:
            next_forget = now + CLEANUP_INTERVAL_S
            stored_estimates.save(shard)
            await _forget(shard, tidied)
        await shard.clock.sleep(INTERVAL_S)


def release_due_occurrences(shard: state.Shard) -> None:
    """Queue the occurrences of scheduled jobs that are due."""
    now_ms = shard.clock.wall_ms()
    for job_id, number in list(shard.next_occurrence_by_job.items()):
        job = shard.job_by_id[job_id]
        submission = job.submission
        while number < submission.occurrences:
            if submission.first_due_ms + number * submission.interval_ms > now_ms:
                break
            jobs.enqueue_released(shard, workflow_state.get_occurrence(job, number))
            number += 1
        if number >= submission.occurrences:
            del shard.next_occurrence_by_job[job_id]
        else:
            shard.next_occurrence_by_job[job_id] = number


def stop_runs_on_draining_executors(shard: state.Shard) -> None:
    """Stop what would be cut off by an executor that leaves."""
    for executor in shard.executor_by_id.values():
        listing = executor.listing
        if listing.state != executor_messages.DRAINING:
            continue
        for run in list(executor.run_by_task.values()):
            if run.phase != workflow_state.WORKING:
                continue
            if run.task.step.long_running:
                stops.stop_run(shard, executor, run, "the executor leaves")


async def _forget(shard: state.Shard, tidied: set[str]) -> None:
    """Drop submissions of final jobs, and jobs that nobody asks for."""
    now_ms = shard.clock.wall_ms()
    kept_ms = (shard.timing.status_retention_s + RETENTION_MARGIN_S) * 1000
    done = []
    for job_id, job in list(shard.job_by_id.items()):
        if not job.visible_outcome:
            continue
        if job_id not in tidied:
            done.append(job_id)
        elif now_ms - job.final_ms > kept_ms:
            del shard.job_by_id[job_id]
            tidied.discard(job_id)
            shard.maybe_started_job_ids.discard(job_id)
            shard.journal.put(job_id, lambda: None)
    if not done:
        return
    try:
        await shard.store.append(
            names.SUBMISSIONS_TOPIC,
            shard.number,
            [store_messages.Entry(job_id, None) for job_id in done],
            timeout_s=CLEANUP_TIMEOUT_S,
        )
    except errors.PlatformUnavailable as error:
        # The next round tries again.
        logs.emit(events.FORGET_FAILED, jobs=len(done), error=str(error))
        return
    tidied.update(done)
    for job_id in done:
        job = shard.job_by_id[job_id]
        job.submission.steps = []
        job.submission.spec = ""
        job.occurrence_by_number.clear()
