"""Does an owner's periodic work for its shard.

It queues due occurrences, stops runs on draining executors, moves paused runs,
finds forgotten tasks, reports why tasks wait and how the owner is doing,
stores learned estimates, and drops jobs whose retention time is over.
"""

from limpetstream import errors
from limpetstream.executors import messages as executor_messages
from limpetstream.organisations import unseen
from limpetstream.shard import (
    audits,
    events,
    jobs,
    names,
    owner_reports,
    proof,
    relocation,
    sessions,
    state,
    stops,
    stored_estimates,
    unknown_cancels,
    wait_reports,
)
from limpetstream.shard.queueing import backlog, job_memory
from limpetstream.store import messages as store_messages
from limpetstream.telemetry import logs
from limpetstream.workflow import state as workflow_state

HOUSEKEEPING_INTERVAL_S = 0.1
CLEANUP_INTERVAL_S = 3.0
CLEANUP_TIMEOUT_S = 1.0
RETENTION_MARGIN_S = 60.0  # A repeated submission may arrive late.
LEAVE_MARGIN_S = 0.6  # Time that a stop and its reply may take.
# Age of an executor's entry when it is read: the list is read every 0.4 s.
MAX_ENTRY_AGE_S = 0.5


async def run(shard: state.Shard) -> None:
    """Do the periodic work until cancelled."""
    next_cleanup_at = shard.clock.monotonic() + CLEANUP_INTERVAL_S
    next_report_at = shard.clock.monotonic() + wait_reports.REPORT_INTERVAL_S
    dropped_submissions: set[str] = set()
    reporter = owner_reports.Reporter(
        shard.clock.monotonic() + owner_reports.REPORT_INTERVAL_S
    )
    audit = audits.Audit(shard)
    while True:
        sessions.check_earlier_runs(shard)  # It may depend on time alone.
        jobs.release_early_outcomes(shard)
        release_due_occurrences(shard)
        if proof.is_proven(shard):
            stop_runs_on_draining_executors(shard)
            relocation.relocate_paused_runs(shard)
        audit.check_some()
        now = shard.clock.monotonic()
        if now >= next_report_at:
            next_report_at = now + wait_reports.REPORT_INTERVAL_S
            wait_reports.report_waiting_jobs(shard)
            wait_reports.report_unsettled_runs(shard)
        owner_reports.report_if_due(shard, reporter, audit)
        if now >= next_cleanup_at:
            next_cleanup_at = now + CLEANUP_INTERVAL_S
            stored_estimates.save(shard)
            unknown_cancels.forget_old(shard)
            await _drop_final_jobs(shard, dropped_submissions)
        slept_at = shard.clock.monotonic()
        await shard.clock.sleep(HOUSEKEEPING_INTERVAL_S)
        owner_reports.note_delay(
            reporter, shard.clock.monotonic() - slept_at - HOUSEKEEPING_INTERVAL_S
        )


def release_due_occurrences(shard: state.Shard) -> None:
    """Queue the tasks of occurrences of scheduled jobs that are due.

    An occurrence that is due begins once few tasks of its job wait, so that a
    schedule that is behind holds up no other job.
    """
    now_ms = shard.clock.wall_ms()
    for job_id, number in list(shard.next_occurrence_by_job.items()):
        job = shard.job_by_id[job_id]
        submission = job.submission
        while number < submission.occurrences:
            if submission.first_due_ms + number * submission.interval_ms > now_ms:
                break
            if not workflow_state.is_forgotten(job, number):
                if not backlog.has_room_for_occurrence(
                    shard.backlog, shard.waiting_tasks, job
                ):
                    break
                jobs.enqueue_released(shard, workflow_state.get_occurrence(job, number))
            number += 1
        if number >= submission.occurrences:
            del shard.next_occurrence_by_job[job_id]
        else:
            shard.next_occurrence_by_job[job_id] = number


def stop_runs_on_draining_executors(shard: state.Shard) -> None:
    """Stop the runs that a draining executor would cut off.

    Long-running runs are stopped at once. The others are stopped shortly
    before the executor leaves, while it can still list their ends: one that is
    listed as the executor leaves may never be read, and the task would run
    again after its end.
    """
    now = shard.clock.monotonic()
    for executor in shard.executor_by_id.values():
        if executor.listing.state != executor_messages.DRAINING:
            continue
        leaves_soon = (
            executor.leaves_at is not None
            and now > executor.leaves_at - MAX_ENTRY_AGE_S - LEAVE_MARGIN_S
        )
        for run in list(executor.run_by_task.values()):
            if run.phase != workflow_state.WORKING:
                continue
            if run.task.step.long_running or leaves_soon:
                stops.stop_run(shard, executor, run, "the executor is leaving")


async def _drop_final_jobs(shard: state.Shard, dropped_submissions: set[str]) -> None:
    """Drop submissions of final jobs, and jobs past their retention time.

    A copy of a submission may take effect after it was dropped. It is dropped
    again before the final state, without which the job would run again.
    """
    now_ms = shard.clock.wall_ms()
    retention_ms = (shard.timing.status_retention_s + RETENTION_MARGIN_S) * 1000
    final_job_ids, expired_job_ids = [], []
    kept_jobs = unseen.jobs_that_may_run(shard)
    for job_id, job in shard.job_by_id.items():
        if not job.visible_outcome:
            continue
        if job in kept_jobs:
            continue
        if job_id not in dropped_submissions:
            final_job_ids.append(job_id)
        elif now_ms - job.final_ms > retention_ms:
            expired_job_ids.append(job_id)
    if not await _drop_submissions(shard, final_job_ids + expired_job_ids):
        return
    dropped_submissions.update(final_job_ids)
    for job_id in final_job_ids:
        job = shard.job_by_id[job_id]
        job.submission.steps = []
        job.submission.spec = ""
        job.occurrence_by_number.clear()
        job_memory.note_final(shard.job_memory, job)
    for job_id in expired_job_ids:
        job_memory.note_dropped(shard.job_memory, shard.job_by_id.pop(job_id))
        dropped_submissions.discard(job_id)
        shard.earlier_job_ids.discard(job_id)
        shard.maybe_started_job_ids.discard(job_id)
        shard.journal.put(job_id, lambda: None)


async def _drop_submissions(shard: state.Shard, job_ids: list[str]) -> bool:
    """Drop submissions; return whether the store has confirmed it."""
    if not job_ids:
        return True
    try:
        await shard.store.append(
            names.SUBMISSIONS_TOPIC,
            shard.number,
            [store_messages.Entry(job_id, None) for job_id in job_ids],
            timeout_s=CLEANUP_TIMEOUT_S,
        )
    except errors.PlatformUnavailable as error:
        # The next interval tries again.
        logs.emit(events.FORGET_FAILED, jobs=len(job_ids), error=str(error))
        return False
    return True
