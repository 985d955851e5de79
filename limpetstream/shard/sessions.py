"""One task for each executor: keeps its lease, acknowledges and looks."""

import asyncio

from limpetstream import errors
from limpetstream.executors import leases, tracking
from limpetstream.shard import events, executor_records, pacing, state, status_reports
from limpetstream.telemetry import logs

WAIT_S = 1.0  # A quarter of the lease, so that two renewals may be lost.
POLL_MARGIN_S = 0.6  # What a look may take beyond the wait that it asks for.
RETRY_S = 0.15
MIN_RESTART_S = 0.25  # An executor needs longer than this to start again.
FLUSH_TIMEOUT_S = 0.4  # Then the lease is renewed without acknowledging.
UNACKNOWLEDGED_PAUSE_S = 0.3
PROOF_VALIDITY_S = 2.0  # An owner without a newer proof extends no lease.


def is_ownership_proven(shard: state.Shard) -> bool:
    """Return whether this owner may extend leases.

    Either the journal has confirmed an append lately, or more than half of
    the executors that the journal names have accepted this owner's token
    lately. A later owner that has reached half of them thereby knows when all
    leases that it can not see have lapsed.
    """
    now = shard.clock.monotonic()
    shard.ownership_proven_at = max(
        shard.ownership_proven_at,
        shard.journal.confirmed_at,
        executor_records.majority_polled_at(shard),
    )
    return now - shard.ownership_proven_at < PROOF_VALIDITY_S


async def run(shard: state.Shard, executor: tracking.Executor) -> None:
    """Look at an executor until it is gone."""
    executor_id = executor.listing.executor_id
    while shard.executor_by_id.get(executor_id) is executor:
        try:
            await _look(shard, executor)
        except errors.ExecutorReplaced:
            status_reports.note_replaced(shard, executor, "another one answers")
            executor.reached = False
            _remove(shard, executor)
            return
        except errors.PlatformUnavailable as error:
            _note_silence(shard, executor, str(error))
            if _has_lapsed(shard, executor):
                _note_lapse(shard, executor)
                if not executor.listed:
                    _remove(shard, executor)
                    return
            if _is_vacant(shard, executor):
                shard.spawn(executor_records.delete(shard, executor))
            await shard.clock.sleep(RETRY_S)


async def _look(shard: state.Shard, executor: tracking.Executor) -> None:
    unacknowledged = executor.applied_end > executor.acked_end
    wait_s = pacing.poll_wait_s(executor, WAIT_S)
    sent_at = shard.clock.monotonic()
    stale = sent_at - executor.answered_at > MIN_RESTART_S
    if unacknowledged or stale or not executor.reached:
        wait_s = 0.0
    deadline_ms = executor.lease.extend(sent_at) if is_ownership_proven(shard) else None
    look = await shard.orders.poll(
        executor.listing,
        token=shard.epoch,
        acknowledged=_cursor(executor, sent_at),
        deadline_ms=deadline_ms,
        wait_ms=int(wait_s * 1000),
        timeout_s=wait_s + POLL_MARGIN_S,
    )
    executor.polled_at = sent_at
    executor.answered_at = shard.clock.monotonic()
    status_reports.apply_report(shard, executor, look, sent_at)
    executor.lease.observe(look.clock_ms, sent_at, shard.clock.monotonic())
    _note_answer(shard, executor)
    pacing.adjust(shard, executor)
    if executor.applied_end > executor.acked_end:
        await _acknowledge(shard, executor)


def _cursor(executor: tracking.Executor, now: float) -> int:
    """Return the number of the last end to acknowledge.

    Numbers begin anew when an executor starts again under its id, so a
    cursor is sent only right after an answer of the life that it is for.
    """
    if now - executor.answered_at > MIN_RESTART_S:
        return 0
    return executor.acked_end


async def _acknowledge(shard: state.Shard, executor: tracking.Executor) -> None:
    """Move the cursor to what is durable; give up soon, to renew the lease."""
    folded = executor.applied_end
    try:
        async with asyncio.timeout(FLUSH_TIMEOUT_S):
            await shard.journal.wait_until_durable()
    except TimeoutError:
        await shard.clock.sleep(UNACKNOWLEDGED_PAUSE_S)
        return
    executor.acked_end = folded


def _note_answer(shard: state.Shard, executor: tracking.Executor) -> None:
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


def _has_lapsed(shard: state.Shard, executor: tracking.Executor) -> bool:
    """Return whether no lease on an executor can be in force any more."""
    now = shard.clock.monotonic()
    if executor.reached:
        return now > executor.lease.expires_at
    return shard.majority_reached_at is not None and now > _unseen_lapse(shard)


def _unseen_lapse(shard: state.Shard) -> float:
    """Return when every lease that an earlier owner gave has lapsed."""
    lease_s = leases.LEASE_S / leases.MIN_CLOCK_RATE + leases.EXPIRY_MARGIN_S
    return (shard.majority_reached_at or 0.0) + PROOF_VALIDITY_S + lease_s


def _note_lapse(shard: state.Shard, executor: tracking.Executor) -> None:
    if executor.run_by_task:
        logs.emit(
            events.EXECUTOR_LAPSED,
            executor=executor.listing.executor_id,
            runs=len(executor.run_by_task),
        )
        status_reports.mark_all_runs_lost(shard, executor, "lapsed")


def _is_vacant(shard: state.Shard, executor: tracking.Executor) -> bool:
    """Return whether nothing can run on an executor that does not answer."""
    if executor.run_by_task or executor.unknown_runs or not executor.recorded:
        return False
    # Before its first look the runs of an earlier owner are unknown.
    return executor.reached or _has_lapsed(shard, executor)


def _remove(shard: state.Shard, executor: tracking.Executor) -> None:
    executor_id = executor.listing.executor_id
    if shard.executor_by_id.get(executor_id) is executor:
        del shard.executor_by_id[executor_id]
        shard.spawn(executor_records.delete(shard, executor))
    check_earlier_runs(shard)


def check_earlier_runs(shard: state.Shard) -> None:
    """Note when every run of earlier owners is known or has lapsed."""
    if shard.earlier_runs_settled or not shard.recovered:
        return
    inherited = len(shard.inherited_executors)
    reached = executor_records.count_reached_or_gone(shard)
    now = shard.clock.monotonic()
    if shard.majority_reached_at is None and reached * 2 >= inherited:
        shard.majority_reached_at = now
    waiting = shard.majority_reached_at is None or now <= _unseen_lapse(shard)
    if reached == inherited or not waiting:
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
