"""Keeps the cancels of jobs that are not stored yet.

A caller that has got no answer to its submission may cancel the job before it
is stored: its request may be under way at an instance that was suspended, and
an append without an answer may take effect seconds later. The caller is told
that there is no such job, which has to stay true for every later owner: the
job must not run when it arrives. So the cancel is in the journal before it is
answered.

The number of these cancels is bounded, as nothing tells an id that never
existed from one that is under way.
"""

from limpetstream import errors
from limpetstream.shard import jobs, state
from limpetstream.workflow import messages, records, state as workflow_state

# Longer than a submission may be under way: ``job_api.MAX_TRIES_S``, the time
# limit of the last append, and the 6 s within which the platform may still
# carry out an append that got no answer.
MEMORY_S = 30.0
# Together 0.1 MB in the journal; a load reads 500 records with each call.
MAX_CANCELS = 1000


def note(shard: state.Shard, job_id: str) -> None:
    """Queue the cancel of a job that is not stored for the next append.

    Raises:
        NotRun: There are too many; nothing was noted.
    """
    forget_old(shard)
    cancelled_at = shard.cancelled_at_by_unknown_job
    is_kept = cancelled_at.pop(job_id, None) is not None
    now = shard.clock.monotonic()
    if not is_kept and len(cancelled_at) >= MAX_CANCELS:
        oldest_at = next(iter(cancelled_at.values()))
        raise errors.NotRun(
            "too-many-cancels",
            "too many jobs were cancelled that are not known",
            retry_after_s=max(1.0, oldest_at + MEMORY_S - now),
        )
    cancelled_at[job_id] = now  # The newest is the last one.
    if not is_kept:
        stored = records.encode_cancel_of_unknown(shard.clock.wall_ms())
        shard.journal.put(job_id, lambda: stored)


def restore(shard: state.Shard, job_id: str) -> None:
    """Keep a cancel that the journal of an earlier owner holds.

    Its time counts anew, as clocks of two instances cannot be compared.
    """
    shard.cancelled_at_by_unknown_job[job_id] = shard.clock.monotonic()


def apply(shard: state.Shard, job: workflow_state.Job) -> None:
    """Cancel a job that was stored after its cancelling."""
    at = shard.cancelled_at_by_unknown_job.pop(job.submission.job_id, None)
    if at is not None and not _is_old(shard, at):
        jobs.finish(shard, job, messages.CANCELLED)


def forget_old(shard: state.Shard) -> None:
    """Drop the cancels after which no submission is under way any more."""
    cancelled_at = shard.cancelled_at_by_unknown_job
    while cancelled_at:
        job_id, at = next(iter(cancelled_at.items()))
        if not _is_old(shard, at):
            return
        del cancelled_at[job_id]
        shard.journal.put(job_id, lambda: None)


def _is_old(shard: state.Shard, cancelled_at: float) -> bool:
    return shard.clock.monotonic() - cancelled_at > MEMORY_S
