"""Answers requests about the jobs of a shard at its owner."""

import asyncio

from limpetstream import errors
from limpetstream.shard import events, jobs, proof, state, unknown_cancels
from limpetstream.telemetry import logs
from limpetstream.workflow import messages, state as workflow_state

# Within the 0.5 s that another instance waits for the answer.
OUTCOME_WAIT_S = 0.3


async def job_state(shard: state.Shard, job_id: str) -> str | None:
    """Return the state of a job; None if the job certainly does not exist.

    A final state that is durable stays true. Any other state needs a proof of
    ownership, since a later owner may have changed it. A final state that is
    being stored is waited for: a later owner may already tell it.

    Raises:
        NotOwner: This instance may not be the owner, is still loading, or
            cannot tell yet whether the job is final.
        WriterFenced: Another owner has taken over.
        PlatformUnavailable: The submissions cannot be read.
    """
    _require_recovered(shard)
    job = shard.job_by_id.get(job_id)
    if job is None:
        await _read_all_submissions(shard)
        job = shard.job_by_id.get(job_id)
    if job is None:
        return None
    may_tell_open = job.early and job_id not in shard.inherited_early_job_ids
    if job.outcome and not job.visible_outcome and not may_tell_open:
        await _wait_for_outcome(shard, job)
    if not job.visible_outcome and not proof.may_tell_open(shard, job):
        raise errors.NotOwner("the state of the job is not proven")
    return job.reported_state


async def cancel(shard: state.Shard, job_id: str) -> bool:
    """Cancel a job durably; return False if it certainly does not exist.

    A job that is not stored yet is cancelled as it arrives, also at a later
    owner, so its cancel is made durable as well (``unknown_cancels``).

    A job that is already final is unchanged. Until earlier owners have
    stopped, one of them could still start its tasks and tell that it is open,
    also if it has failed here. The cancel is not told to be done then, but
    this owner and later ones start nothing more of the job.

    Raises:
        NotOwner: This instance may not be the owner, is still loading, or
            does not know yet that earlier owners have stopped. The outcome of
            the job tells whether the cancel takes effect.
        PlatformUnavailable: The submissions cannot be read.
        WriterFenced: Another owner has taken over.
        NotRun: Too many cancels of jobs that are not stored are kept.
    """
    _require_recovered(shard)
    job = shard.job_by_id.get(job_id)
    if job is None:
        await _read_all_submissions(shard)
        job = shard.job_by_id.get(job_id)
    if job is None:
        unknown_cancels.note(shard, job_id)
        await shard.journal.wait_until_durable()
        logs.emit(events.CANCEL_STORED, job=job_id, outcome="", known=False)
        return False
    if not job.outcome:
        jobs.finish(shard, job, messages.CANCELLED)
    if not job.visible_outcome:
        _require_no_earlier_owner(shard, job)
        jobs.release_early_outcomes(shard)
    await shard.journal.wait_until_durable()
    logs.emit(events.CANCEL_STORED, job=job_id, outcome=job.outcome, known=True)
    return True


def count_waiting_jobs(shard: state.Shard, queue: str) -> int:
    """Return how many jobs of a queue without a schedule have not started.

    Raises:
        NotOwner: This instance may not be the owner, or is still loading.
    """
    _require_recovered(shard)
    _require_proof(shard)
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


def _require_proof(shard: state.Shard) -> None:
    if not proof.is_proven(shard):
        raise errors.NotOwner("the ownership of the shard is not proven")


def _require_no_earlier_owner(shard: state.Shard, job: workflow_state.Job) -> None:
    if not proof.may_tell_final(shard, job):
        raise errors.NotOwner("an earlier owner of the shard may still act")


async def _wait_for_outcome(shard: state.Shard, job: workflow_state.Job) -> None:
    """Wait until the final state of a job may be told, for a short time."""
    if job.submission.job_id in shard.inherited_early_job_ids:
        raise errors.NotOwner("an earlier owner may tell another state of the job")
    try:
        async with asyncio.timeout(OUTCOME_WAIT_S):
            await jobs.publish_outcome(shard, job)
    except TimeoutError:
        raise errors.NotOwner("the final state of the job is being stored") from None


async def _read_all_submissions(shard: state.Shard) -> None:
    """Read all submissions, so that a job not found cannot exist."""
    if shard.submissions_follower is not None:
        await shard.submissions_follower.advance(wait_s=0.0)
    if not proof.may_tell_missing(shard):
        raise errors.NotOwner("the ownership of the shard is not proven")
    _require_recovered(shard)
