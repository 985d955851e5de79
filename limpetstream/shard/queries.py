"""What an owner answers about its jobs."""

from limpetstream import errors
from limpetstream.shard import events, jobs, sessions, state
from limpetstream.telemetry import logs
from limpetstream.workflow import messages


async def job_state(shard: state.Shard, job_id: str) -> str | None:
    """Return the state of a job; None if there is certainly none.

    Raises:
        NotOwner: This instance can not tell.
        PlatformUnavailable: The submissions can not be read to their end.
    """
    _require_recovered(shard)
    job = shard.job_by_id.get(job_id)
    if job is None:
        await _read_to_end(shard)
        job = shard.job_by_id.get(job_id)
    return job.reported_state if job else None


async def cancel(shard: state.Shard, job_id: str) -> bool:
    """Cancel a job durably; return False if there is certainly none.

    A job that is final already stays as it is.

    Raises:
        NotOwner: This instance can not tell.
        PlatformUnavailable: The submissions can not be read to their end.
        WriterFenced: Another owner has taken over.
    """
    _require_recovered(shard)
    job = shard.job_by_id.get(job_id)
    if job is None:
        await _read_to_end(shard)
        job = shard.job_by_id.get(job_id)
    if job is None:
        return False
    if not job.outcome:
        jobs.finish(shard, job, messages.CANCELLED)
    await shard.journal.wait_until_durable()
    logs.emit(events.CANCEL_STORED, job=job_id, outcome=job.outcome)
    return True


def count_waiting_jobs(shard: state.Shard, queue: str) -> int:
    """Return how many jobs of a queue, of those without times, have not begun.

    Raises:
        NotOwner: This instance can not tell.
    """
    _require_recovered(shard)
    if not sessions.is_ownership_proven(shard):
        raise errors.NotOwner("the ownership is not proven")
    return sum(
        not job.outcome
        and not job.started
        and not job.submission.occurrences
        and job.submission.queue == queue
        for job in shard.job_by_id.values()
    )


def _require_recovered(shard: state.Shard) -> None:
    if not shard.recovered:
        raise errors.NotOwner("the shard is being loaded")


async def _read_to_end(shard: state.Shard) -> None:
    """Read all submissions, so that an unknown job is certainly unknown."""
    if shard.submissions_follower is not None:
        await shard.submissions_follower.advance(wait_s=0.0)
    if not sessions.is_ownership_proven(shard):
        raise errors.NotOwner("the ownership is not proven")
    _require_recovered(shard)
