"""Periodic work of an owner: due occurrences, leaving executors, old jobs."""

from limpetstream import errors
from limpetstream.executors import messages as executor_messages
from limpetstream.shard import events, jobs, learned, moving, names, state, stops, waits
from limpetstream.store import messages as store_messages
from limpetstream.telemetry import logs
from limpetstream.workflow import state as workflow_state

INTERVAL_S = 0.1
FORGET_INTERVAL_S = 3.0
FORGET_TIMEOUT_S = 1.0
FORGET_MARGIN_S = 60.0  # A repeated submission may come late.
LEAVE_SLACK_S = 0.6  # Time that a stop and its answer may take.


async def run(shard: state.Shard) -> None:
    """Look after the shard for ever."""
    next_forget = shard.clock.monotonic() + FORGET_INTERVAL_S
    next_report = shard.clock.monotonic() + waits.INTERVAL_S
    tidied: set[str] = set()
    while True:
        release_due(shard)
        move_off_leaving(shard)
        moving.move_disturbing(shard)
        now = shard.clock.monotonic()
        if now >= next_report:
            next_report = now + waits.INTERVAL_S
            waits.report(shard)
        if now >= next_forget:
            next_forget = now + FORGET_INTERVAL_S
            learned.keep(shard)
            await _forget(shard, tidied)
        await shard.clock.sleep(INTERVAL_S)


def release_due(shard: state.Shard) -> None:
    """Queue the occurrences of scheduled jobs that are due."""
    now_ms = shard.clock.wall_ms()
    for job_id, number in list(shard.due_occurrences.items()):
        job = shard.job_by_id[job_id]
        submission = job.submission
        while number < submission.occurrences:
            if submission.first_due_ms + number * submission.interval_ms > now_ms:
                break
            jobs.release(shard, workflow_state.get_occurrence(job, number))
            number += 1
        if number >= submission.occurrences:
            del shard.due_occurrences[job_id]
        else:
            shard.due_occurrences[job_id] = number


def move_off_leaving(shard: state.Shard) -> None:
    """Stop what would be cut off by an executor that leaves."""
    for executor in shard.executor_by_id.values():
        listing = executor.listing
        if listing.state != executor_messages.DRAINING:
            continue
        for run in list(executor.run_by_task.values()):
            if run.phase != workflow_state.WORKING:
                continue
            if run.task.step.long_running:
                stops.begin(shard, executor, run, "the executor leaves")


async def _forget(shard: state.Shard, tidied: set[str]) -> None:
    """Drop submissions of final jobs, and jobs that nobody asks for."""
    now_ms = shard.clock.wall_ms()
    kept_ms = (shard.timing.status_s + FORGET_MARGIN_S) * 1000
    done = []
    for job_id, job in list(shard.job_by_id.items()):
        if not job.visible_outcome:
            continue
        if job_id not in tidied:
            done.append(job_id)
        elif now_ms - job.final_ms > kept_ms:
            del shard.job_by_id[job_id]
            tidied.discard(job_id)
            shard.started_before.discard(job_id)
            shard.journal.put(job_id, lambda: None)
    if not done:
        return
    try:
        await shard.store.append(
            names.SUBMISSIONS_TOPIC,
            shard.number,
            [store_messages.Entry(job_id, None) for job_id in done],
            timeout_s=FORGET_TIMEOUT_S,
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
