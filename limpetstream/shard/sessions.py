"""Polls each executor of a shard in a task of its own.

A poll renews the executor's lease and returns the runs that are on the
executor. When a run ends, the executor reports this as a numbered "end".
Polls return an end until the owner acknowledges it, which it does in a poll
once the end is durable in the journal.
"""

import asyncio

from limpetstream import errors
from limpetstream.executors import leases, tracking
from limpetstream.shard import events, executor_records, pacing, state, status_reports
from limpetstream.telemetry import logs

# A quarter of ``leases.LEASE_S``, so that two renewals in a row may be lost.
POLL_WAIT_S = 1.0
POLL_MARGIN_S = 0.6  # Time for the reply beyond the requested wait.
POLL_RETRY_S = 0.15
MIN_RESTART_S = 0.25  # An executor takes longer than this to restart.
# Time for the journal to make ends durable. After that, the next poll renews
# the lease without acknowledging them.
FLUSH_TIMEOUT_S = 0.4
UNACKNOWLEDGED_PAUSE_S = 0.3  # Before a poll that follows such a time-out.
PROOF_VALIDITY_S = 2.0  # Without a newer proof of ownership no lease is extended.


def is_ownership_proven(shard: state.Shard) -> bool:
    """Return whether this instance has proven lately that it owns the shard.

    Only an owner with a recent proof may extend leases. The proof is either
    an append that the journal has confirmed, or replies to polls with this
    owner's token (the shard's epoch) from more than half of the executors
    recorded in the journal. It counts from the sending of the append or the
    polls, and is noted in ``ownership_proven_at``.

    A later owner ends both: when it claims the shard, it fences the journal,
    and the executors that it has reached reject lower tokens. Once it has
    reached half of them, no earlier owner gets replies from more than half.
    It can then compute when the leases on the executors that it cannot reach
    have expired.
    """
    now = shard.clock.monotonic()
    shard.ownership_proven_at = max(
        shard.ownership_proven_at,
        shard.journal.confirmed_at,
        executor_records.majority_polled_at(shard),
    )
    return now - shard.ownership_proven_at < PROOF_VALIDITY_S


async def run(shard: state.Shard, executor: tracking.Executor) -> None:
    """Poll an executor until it is removed from the shard."""
    executor_id = executor.listing.executor_id
    while shard.executor_by_id.get(executor_id) is executor:
        try:
            await _poll(shard, executor)
        except errors.ExecutorReplaced:
            status_reports.note_replaced(
                shard, executor, "another executor answers at its address"
            )
            # This executor has ended, and its runs with it, so no lease has to
            # expire first.
            executor.reached = False
            _remove(shard, executor)
            return
        except errors.PlatformUnavailable as error:
            _note_silence(shard, executor, str(error))
            if _have_leases_expired(shard, executor):
                _note_expired_lease(shard, executor)
                if not executor.listed:
                    _remove(shard, executor)
                    return
            if _is_idle(shard, executor):
                shard.spawn(executor_records.delete(shard, executor))
            await shard.clock.sleep(POLL_RETRY_S)


async def _poll(shard: state.Shard, executor: tracking.Executor) -> None:
    unacknowledged = executor.applied_end > executor.acked_end
    wait_s = pacing.poll_wait_s(executor, POLL_WAIT_S)
    sent_at = shard.clock.monotonic()
    may_have_restarted = sent_at - executor.answered_at > MIN_RESTART_S
    if unacknowledged or may_have_restarted or not executor.reached:
        # The executor replies at once, and a missing reply is noticed sooner.
        wait_s = 0.0
    deadline_ms = executor.lease.extend(sent_at) if is_ownership_proven(shard) else None
    reply = await shard.executor_client.poll(
        executor.listing,
        token=shard.epoch,
        acknowledged=_end_to_acknowledge(executor, sent_at),
        deadline_ms=deadline_ms,
        wait_ms=int(wait_s * 1000),
        timeout_s=wait_s + POLL_MARGIN_S,
    )
    executor.polled_at = sent_at
    executor.answered_at = shard.clock.monotonic()
    status_reports.apply_report(shard, executor, reply, sent_at)
    executor.lease.observe(reply.clock_ms, sent_at, shard.clock.monotonic())
    _note_reply(shard, executor)
    pacing.adjust(shard, executor)
    if executor.applied_end > executor.acked_end:
        await _acknowledge(shard, executor)


def _end_to_acknowledge(executor: tracking.Executor, now: float) -> int:
    """Return the number of the last end to acknowledge, or 0 for none.

    Ends up to ``acked_end`` are durable and may be acknowledged. An executor
    that restarts under the same id numbers its ends from the start again. A
    poll therefore acknowledges ends only if the last reply is so recent that
    the executor cannot have restarted since.
    """
    if now - executor.answered_at > MIN_RESTART_S:
        return 0
    return executor.acked_end


async def _acknowledge(shard: state.Shard, executor: tracking.Executor) -> None:
    """Let the next poll acknowledge the applied ends once they are durable.

    The wait is short, because the next poll also has to renew the lease.
    """
    applied = executor.applied_end
    try:
        async with asyncio.timeout(FLUSH_TIMEOUT_S):
            await shard.journal.wait_until_durable()
    except TimeoutError:
        await shard.clock.sleep(UNACKNOWLEDGED_PAUSE_S)
        return
    executor.acked_end = applied


def _note_reply(shard: state.Shard, executor: tracking.Executor) -> None:
    if executor.reached and executor.silent_since is None:
        return
    silent_s = 0.0
    if executor.silent_since is not None:
        silent_s = shard.clock.monotonic() - executor.silent_since
    logs.emit(
        events.EXECUTOR_REACHED,
        executor=executor.listing.executor_id,
        token=shard.epoch,
        silent_s=round(silent_s, 3),
        runs=len(executor.run_by_task),
        first=not executor.reached,
    )
    executor.reached = True
    executor.silent_since = None
    if not executor.recorded:
        shard.spawn(executor_records.write(shard, executor))
    check_earlier_runs(shard)
    shard.changed.set()


def _note_silence(shard: state.Shard, executor: tracking.Executor, error: str) -> None:
    if executor.silent_since is None:
        executor.silent_since = shard.clock.monotonic()
        logs.emit(
            events.EXECUTOR_SILENT,
            executor=executor.listing.executor_id,
            runs=len(executor.run_by_task),
            error=error,
        )
    check_earlier_runs(shard)


def _have_leases_expired(shard: state.Shard, executor: tracking.Executor) -> bool:
    """Return whether every lease on an executor has expired.

    Once the executor has replied, this owner's lease counts; before that, the
    leases that earlier owners may have granted.
    """
    now = shard.clock.monotonic()
    if executor.reached:
        return now > executor.lease.expires_at
    return shard.half_reached_at is not None and now > _earlier_leases_expire_at(shard)


def _earlier_leases_expire_at(shard: state.Shard) -> float:
    """Return when every lease granted by an earlier owner has expired.

    After half of the inherited executors were reached, an earlier owner gets
    no new proof of its ownership. It may extend leases for as long as its last
    proof is valid. The last lease is at most ``leases.LEASE_S`` long on the
    executor's clock, which may run at ``leases.MIN_CLOCK_RATE``.

    Returns:
        Monotonic time, valid once ``half_reached_at`` is set.
    """
    lease_s = leases.LEASE_S / leases.MIN_CLOCK_RATE + leases.EXPIRY_MARGIN_S
    return (shard.half_reached_at or 0.0) + PROOF_VALIDITY_S + lease_s


def _note_expired_lease(shard: state.Shard, executor: tracking.Executor) -> None:
    if executor.run_by_task:
        logs.emit(
            events.EXECUTOR_LAPSED,
            executor=executor.listing.executor_id,
            runs=len(executor.run_by_task),
        )
        status_reports.mark_all_runs_lost(shard, executor, "lapsed")


def _is_idle(shard: state.Shard, executor: tracking.Executor) -> bool:
    """Return whether nothing can run on an executor that does not reply."""
    # A run stays in run_by_task from before its start until its end is known.
    if executor.run_by_task or executor.unknown_runs or not executor.recorded:
        return False
    if executor.listing.executor_id not in shard.inherited_executors:
        return True  # No earlier owner has started a run on it.
    # Until the executor has replied, there may be runs of an earlier owner.
    return executor.reached or _have_leases_expired(shard, executor)


def _remove(shard: state.Shard, executor: tracking.Executor) -> None:
    executor_id = executor.listing.executor_id
    if shard.executor_by_id.get(executor_id) is executor:
        del shard.executor_by_id[executor_id]
        shard.spawn(executor_records.delete(shard, executor))
    check_earlier_runs(shard)


def check_earlier_runs(shard: state.Shard) -> None:
    """Set ``earlier_runs_settled`` once runs of earlier owners are settled.

    A run of an earlier owner is settled when a poll has reported it, its
    executor was removed, or the lease on its executor has expired. Until all
    are settled, jobs that an earlier owner may have started must not be
    started again. The log event for this is ``shard-located``; its field
    ``reached`` also counts the removed executors.
    """
    if shard.earlier_runs_settled or not shard.recovered:
        return
    inherited = len(shard.inherited_executors)
    reached = executor_records.count_reached_or_gone(shard)
    now = shard.clock.monotonic()
    if shard.half_reached_at is None and reached * 2 >= inherited:
        shard.half_reached_at = now
    may_be_leased = shard.half_reached_at is None or now <= _earlier_leases_expire_at(
        shard
    )
    if reached == inherited or not may_be_leased:
        shard.earlier_runs_settled = True
        shard.changed.set()
        logs.emit(
            events.SHARD_LOCATED,
            shard=shard.number,
            epoch=shard.epoch,
            executors=len(shard.executor_by_id),
            inherited=inherited,
            reached=reached,
            after_ms=round((now - shard.claimed_at) * 1000),
        )
