"""Decides whether an instance can prove that it owns its shard.

Another instance can take the shard over at any moment, and an owner that gets
no answers does not learn of it. What an instance may do without a proof is
listed in design.md, section 11.3.
"""

import math

from limpetstream.executors import tracking
from limpetstream.shard import events, executor_records, names, state
from limpetstream.telemetry import logs
from limpetstream.workflow import state as workflow_state

VALIDITY_S = 2.0  # A new owner waits as long for the proof of an earlier one.
# An append is queued once the newest one is this old, so that the proof of an
# idle owner does not expire while the store answers.
APPEND_INTERVAL_S = 1.0
# Majorities prove the ownership only for so long after the newest append, so
# that a new owner that can ask nobody does not wait for ever. An outage of the
# store that is longer ends running work.
MAX_WITHOUT_APPEND_S = 20.0


def is_proven(shard: state.Shard) -> bool:
    """Return whether this instance has proven lately that it owns the shard.

    The proof is either an append that the journal has confirmed, or two
    majorities: replies to polls with this owner's token
    from more than half of the executors recorded in the journal, and replies
    of more than half of the recorded instances that know no later epoch. It
    counts from the sending of the append or of the requests, and is noted in
    ``ownership_proven_at``. Without an append, majorities are no proof after
    ``MAX_WITHOUT_APPEND_S``.

    A later owner ends all of it: when it claims the shard, it fences the
    journal, the executors that it has reached reject lower tokens, and the
    instances that it has told of its epoch say so. Once it has reached half of
    either, no earlier owner gets both majorities. It can then compute when the
    leases on the executors that it cannot reach have expired.
    """
    if shard.ended:
        return False
    shard.ownership_proven_at = max(
        shard.ownership_proven_at, shard.journal.confirmed_at
    )
    if age_s(shard) >= VALIDITY_S:  # Replies are costly to compare.
        shard.ownership_proven_at = max(
            shard.ownership_proven_at, _majorities_at(shard)
        )
    proven = age_s(shard) < VALIDITY_S
    if proven == (shard.unproven_since is not None):
        _log_change(shard, proven)
    needs_append = not proven or _append_age_s(shard) > APPEND_INTERVAL_S
    if needs_append and not shard.journal.is_pending:
        _queue_empty_append(shard)
    return proven


def have_earlier_owners_stopped(shard: state.Shard) -> bool:
    """Return whether no earlier owner may act or answer for the shard now.

    Its last proof is valid for ``VALIDITY_S`` after earlier proofs have ended.
    The owner before may have ended sooner; then those before it count, of
    which it or another instance has told that they have stopped. The first
    owner of a shard has no earlier one.
    """
    if shard.proof_ends.stopped_below >= shard.epoch:
        return True
    if not (_have_earlier_proofs_expired(shard) or _has_chain_of_owners_ended(shard)):
        return False
    shard.proof_ends.note_stopped(shard.epoch)
    shard.instance_quorum.informed.clear()  # They are told this as well.
    logs.emit(
        events.EARLIER_OWNERS_STOPPED,
        shard=shard.number,
        epoch=shard.epoch,
        previous_ended=math.isfinite(shard.previous_ended_at),
        after_ms=round((shard.clock.monotonic() - shard.claimed_at) * 1000),
    )
    return True


def _have_earlier_proofs_expired(shard: state.Shard) -> bool:
    if shard.earlier_proofs_ended_at is None:
        return False
    return shard.clock.monotonic() - shard.earlier_proofs_ended_at > VALIDITY_S


def _has_chain_of_owners_ended(shard: state.Shard) -> bool:
    """Return whether the owner before has ended, and all before it.

    No owner has claimed the shard between the one before and this one. The
    epoch of an unknown one is 0. Those before it have stopped if that is known
    of them, or if the last proof that one of them can have has expired: the
    owner before has found out when proofs ended, and may have served for less
    than ``VALIDITY_S`` since.
    """
    if not math.isfinite(shard.previous_ended_at) or not shard.previous_epoch:
        return False
    if shard.proof_ends.stopped_below >= shard.previous_epoch:
        return True
    ended_at = shard.proof_ends.ended_at(shard.previous_epoch - 1)
    return shard.clock.monotonic() - ended_at > VALIDITY_S


def may_tell_open(shard: state.Shard, job: workflow_state.Job) -> bool:
    """Return whether this instance may tell that a job is not final.

    Majorities prove nothing about a job that was loaded after the newest
    append: its submission may have been stored after a later claim. They
    prevent no later owner from telling that such a job is final.
    """
    if not is_proven(shard):
        return False
    append_age_s = _append_age_s(shard)
    loaded_s_ago = shard.clock.monotonic() - job.loaded_at
    return append_age_s < VALIDITY_S or append_age_s < loaded_s_ago


def may_tell_missing(shard: state.Shard) -> bool:
    """Return whether this instance may tell that a job does not exist.

    It needs an append: a later owner that majorities do not exclude may have
    accepted the job, told its end and dropped its submission.
    """
    return is_proven(shard) and _append_age_s(shard) < VALIDITY_S


def may_tell_final(shard: state.Shard, job: workflow_state.Job) -> bool:
    """Return whether no earlier owner may tell that a job is open.

    None starts it either. A job that was stored after the claim is known to
    an earlier owner only through a read, not through an append.
    """
    if have_earlier_owners_stopped(shard):
        return True
    claimed_s_ago = shard.clock.monotonic() - shard.claimed_at
    return job.stored_after_claim and claimed_s_ago > VALIDITY_S


def _majorities_at(shard: state.Shard) -> float:
    """Return the latest time by which both majorities have replied."""
    if _append_age_s(shard) > MAX_WITHOUT_APPEND_S:
        return float("-inf")
    return min(
        executor_records.majority_polled_at(shard), shard.instance_quorum.agreed_at()
    )


def _append_age_s(shard: state.Shard) -> float:
    """Return the age in seconds of the newest append, the claim included."""
    appended_at = max(shard.journal.confirmed_at, shard.claim_proven_at)
    return shard.clock.monotonic() - appended_at


async def confirm(shard: state.Shard) -> None:
    """Wait until an append that began after this call is confirmed.

    Until this call, then, no other instance had claimed the shard. What has
    expired by time before the call has not been extended by a later owner.

    Raises:
        WriterFenced: Another owner has taken over.
        NotOwner: The ownership has ended.
    """
    _queue_empty_append(shard)
    await shard.journal.wait_until_durable()


def confirm_incarnation(shard: state.Shard, executor: tracking.Executor) -> None:
    """Let an executor that has answered first get starts after an append.

    A later owner may have reached its former incarnation and have taken its
    runs for settled. The present one has forgotten that owner's token.
    """
    executor.first_answered_at = shard.clock.monotonic()
    executor.confirmed = False
    shard.spawn(_confirm_incarnation(shard, executor, executor.first_answered_at))


async def _confirm_incarnation(
    shard: state.Shard, executor: tracking.Executor, answered_at: float
) -> None:
    await confirm(shard)
    if executor.first_answered_at == answered_at:
        executor.confirmed = True
        shard.changed.set()


def _queue_empty_append(shard: state.Shard) -> None:
    """Queue an append that changes nothing; its confirmation is a proof."""
    shard.journal.put(names.PROOF_KEY, lambda: None)


def age_s(shard: state.Shard) -> float:
    """Return the age in seconds of the newest proof of ownership."""
    return shard.clock.monotonic() - shard.ownership_proven_at


def _log_change(shard: state.Shard, proven: bool) -> None:
    now = shard.clock.monotonic()
    if proven:
        logs.emit(
            events.OWNERSHIP_PROVEN,
            shard=shard.number,
            epoch=shard.epoch,
            after_s=round(now - (shard.unproven_since or now), 3),
        )
        shard.unproven_since = None
        return
    shard.unproven_since = now
    logs.emit(
        events.OWNERSHIP_UNPROVEN,
        shard=shard.number,
        epoch=shard.epoch,
        proven_ms_ago=round(age_s(shard) * 1000),
        append_ms_ago=logs.ms_since(now, shard.journal.confirmed_at),
        majority_ms_ago=logs.ms_since(now, executor_records.majority_polled_at(shard)),
        instances_ms_ago=logs.ms_since(now, shard.instance_quorum.agreed_at()),
        silent=sum(
            executor.silent_since is not None
            for executor in shard.executor_by_id.values()
        ),
        executors=len(shard.executor_by_id),
    )
