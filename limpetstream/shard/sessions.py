"""Polls each executor of a shard in a task of its own.

A poll renews the executor's lease and returns the runs that are on the
executor. When a run ends, the executor reports this as a numbered "end".
Polls return an end until the owner acknowledges it, which it does in a poll
once the end is durable in the journal.
"""

import asyncio
import math

from limpetstream import errors
from limpetstream.executors import leases, messages, sending, tracking
from limpetstream.leases import unsettled_starts
from limpetstream.shard import (
    events,
    executor_records,
    lease_records,
    owner_load,
    pacing,
    proof,
    restarts,
    state,
    status_reports,
)
from limpetstream.shard.settling import late_starts, listed_ends, long_running
from limpetstream.telemetry import logs

# A quarter of ``leases.LEASE_S``, so that two renewals in a row may be lost.
POLL_WAIT_S = 1.0
POLL_MARGIN_S = 0.6  # Time for the reply beyond the requested wait.
POLL_RETRY_S = 0.15
# While appends fail, only replies prove the ownership. A reply proves it for
# ``proof.VALIDITY_S`` from the sending of the poll.
OUTAGE_POLL_WAIT_S = 0.5
MIN_RESTART_S = 0.25  # An executor takes longer than this to restart.
PAUSE_MARGIN_S = 0.03  # From the end of a pause until the poll is sent.
# Time for the journal to make ends durable. After that, the next poll renews
# the lease without acknowledging them.
FLUSH_TIMEOUT_S = 0.4
UNACKNOWLEDGED_PAUSE_S = 0.3  # Before a poll that follows such a time-out.
# A poll without an answer may have arrived, so each one moves the expiry of
# the lease. After this silence polls extend it no more, and it expires; at
# once if the executor is not listed any more.
MAX_EXTENDED_SILENCE_S = 1.0
MAX_LOGGED_EXECUTORS = 10  # Per line; enough to follow some of them.


async def run(shard: state.Shard, executor: tracking.Executor) -> None:
    """Poll an executor until it is removed from the shard."""
    executor_id = executor.listing.executor_id
    while shard.executor_by_id.get(executor_id) is executor:
        address = executor.listing.address
        try:
            await _poll(shard, executor)
        except errors.ExecutorReplaced:
            if await _remove_replaced(shard, executor, address):
                return
            await shard.clock.sleep(POLL_RETRY_S)
        except errors.PlatformUnavailable as error:
            _note_silence(shard, executor, str(error))
            if _have_leases_expired(shard, executor):
                _give_up(shard, executor)
            if _is_idle(shard, executor):
                shard.spawn(executor_records.delete(shard, executor))
            await shard.clock.sleep(POLL_RETRY_S)


async def _remove_replaced(
    shard: state.Shard, executor: tracking.Executor, address: str
) -> bool:
    """Remove an executor at whose address another one has answered.

    It has ended there, and its runs with it, so no lease has to expire. A
    later owner may know how the runs ended. It may have started again at
    another address, which the list tells once it is loaded, and have runs
    there.

    Returns:
        Whether it was removed; False if it may be at another address.
    """
    avoided_before = executor.avoid_until
    executor.avoid_until = math.inf
    await proof.confirm(shard)
    if executor.listing.address != address or not shard.recovered:
        executor.avoid_until = avoided_before
        return False
    status_reports.note_replaced(
        shard, executor, "another executor answers at its address"
    )
    executor.reached = False
    _remove(shard, executor)
    return True


async def _poll(shard: state.Shard, executor: tracking.Executor) -> None:
    async with shard.send_window.turn(sending.HEAD_BYTES, sending.POLL_RANK):
        sent_at = shard.clock.monotonic()
        token = restarts.token_of(shard, executor)
        acknowledged = _end_to_acknowledge(executor, sent_at)
        reply = await _request_report(shard, executor, sent_at, acknowledged)
    if shard.executor_by_id.get(executor.listing.executor_id) is not executor:
        return  # It was removed in the meantime, and its runs were given up.
    executor.polled_at = sent_at
    executor.answered_at = shard.clock.monotonic()
    executor.dropped_end = max(executor.dropped_end, acknowledged)
    with owner_load.measured(shard.load, shard.clock, owner_load.REPLIES):
        status_reports.apply_report(shard, executor, reply, sent_at, token)
        executor.lease.observe(reply.clock_ms, shard.clock.monotonic(), sent_at)
        _note_reply(shard, executor)
        _settle_starts(shard, executor, sent_at)
        if proof.is_proven(shard):
            pacing.adjust(shard, executor)
    if executor.applied_end > executor.acked_end:
        await _acknowledge(shard, executor)
    executor_records.update(shard, executor)
    if not executor.recorded and not executor_records.is_emptied(executor):
        await _wait_for_record(shard)
    await _pause(shard, executor)


def _settle_starts(
    shard: state.Shard, executor: tracking.Executor, sent_at: float
) -> None:
    """Settle starts by the answer to a poll, unless it may show a restart."""
    if not executor.fenced or not executor.long_running_starts.call_by_number:
        return
    earlier_sent_by = _last_order_by(shard, shard.epoch - 1)
    if executor.listing.executor_id in shard.removed_executors:
        earlier_sent_by = max(earlier_sent_by, executor.first_answered_at)
    unsettled_starts.settle(
        executor.long_running_starts,
        sent_at,
        max_delay_s=restarts.MAX_CALL_DELAY_S,
        earlier_sent_by=earlier_sent_by,
    )


async def _pause(shard: state.Shard, executor: tracking.Executor) -> None:
    """Let more ends come with the next answer while the owner is slow.

    There is no pause while the executor has more to list than an answer holds.
    A pause for the sake of the loop counts from the last answer, and the next
    poll can still acknowledge the ends.
    """
    if not executor.has_listed_all:
        return
    pause_s = shard.send_window.poll_pause_s
    late = shard.send_window.lateness
    if late.pause_s:
        longest_s = MIN_RESTART_S - PAUSE_MARGIN_S - 2 * late.lag_s
        since_s = shard.clock.monotonic() - executor.answered_at
        pause_s = max(pause_s, min(late.pause_s, longest_s) - since_s)
    if pause_s > 0:
        await shard.clock.sleep(pause_s)


async def _request_report(
    shard: state.Shard,
    executor: tracking.Executor,
    sent_at: float,
    acknowledged: int,
) -> messages.PollReply:
    """Send one poll, which extends the lease if this is allowed."""
    unacknowledged = executor.applied_end > executor.acked_end
    wait_s = pacing.poll_wait_s(executor, POLL_WAIT_S)
    may_have_restarted = sent_at - executor.answered_at > MIN_RESTART_S
    is_new = not (executor.reached and executor.fenced and executor.has_listed_all)
    if unacknowledged or may_have_restarted or is_new:
        # The executor replies at once, and a missing reply is noticed sooner.
        wait_s = 0.0
    elif shard.journal.failing_since is not None:
        wait_s = min(wait_s, OUTAGE_POLL_WAIT_S)
    # With the longer limit the poll still ends within the usual time.
    extra_s = shard.send_window.extra_s
    wait_s = min(wait_s, max(0.0, POLL_WAIT_S - extra_s))
    deadline_ms = None
    may_extend = lease_records.may_extend(shard, executor)
    may_extend = may_extend and not _is_silent_long(shard, executor, sent_at)
    if may_extend and proof.is_proven(shard):
        deadline_ms = executor.lease.extend(sent_at)
    return await shard.executor_client.poll(
        executor.listing,
        token=restarts.token_of(shard, executor),
        acknowledged=acknowledged,
        deadline_ms=deadline_ms,
        wait_ms=int(wait_s * 1000),
        timeout_s=wait_s + POLL_MARGIN_S + extra_s,
    )


async def _wait_for_record(shard: state.Shard) -> None:
    """Let the next poll extend the lease if the record is written soon."""
    await shard.clock.sleep(0)  # The record is queued by a task of its own.
    try:
        async with asyncio.timeout(FLUSH_TIMEOUT_S):
            await shard.journal.wait_until_durable()
    except TimeoutError:
        return


def _end_to_acknowledge(executor: tracking.Executor, now: float) -> int:
    """Return the number of the last end to acknowledge, or 0 for none.

    Ends up to ``acked_end`` are durable and may be acknowledged. An executor
    that restarts under the same id numbers its ends from the start again. A
    poll therefore acknowledges ends only if the last reply is so recent that
    the executor cannot have restarted since.

    The next process may also carry the poll out late. So ends are acknowledged
    only until such a poll is answered, and most polls acknowledge none.
    """
    if executor.acked_end <= executor.dropped_end:
        return 0
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
        token=restarts.token_of(shard, executor),
        silent_s=round(silent_s, 3),
        runs=len(executor.run_by_task),
        first=not executor.reached,
    )
    if not executor.reached:
        executor.reached = True
        proof.confirm_incarnation(shard, executor)
        restarts.note_first_answer(shard, executor)
    executor.silent_since = None
    if not executor.recorded:
        shard.spawn(executor_records.write(shard, executor))
    check_earlier_runs(shard)
    shard.changed.set()


def _note_silence(shard: state.Shard, executor: tracking.Executor, error: str) -> None:
    if executor.silent_since is None:
        now = executor.silent_since = shard.clock.monotonic()
        logs.emit(
            events.EXECUTOR_SILENT,
            executor=executor.listing.executor_id,
            runs=len(executor.run_by_task),
            born_ms=executor.born_ms,
            deadline_ms=executor.lease.deadline_ms,
            extended_ms_ago=logs.ms_since(now, executor.lease.extended_at),
            clock_read_ms_ago=logs.ms_since(now, executor.lease.received_at),
            draining_ms_ago=_draining_ms_ago(shard, executor),
            error=error,
        )
    check_earlier_runs(shard)


def _draining_ms_ago(shard: state.Shard, executor: tracking.Executor) -> int | None:
    """Return how long ago it said that it will leave; None if it did not."""
    if executor.draining_since is None:
        return None
    return round((shard.clock.monotonic() - executor.draining_since) * 1000)


def _have_leases_expired(shard: state.Shard, executor: tracking.Executor) -> bool:
    """Return whether every lease on an executor has expired."""
    return shard.clock.monotonic() > _leases_expire_at(shard, executor)


def _leases_expire_at(shard: state.Shard, executor: tracking.Executor) -> float:
    """Return the monotonic time at which every lease on it has expired.

    Once the executor has replied, it rejects earlier owners. Their leases of
    before count, and those of this owner; until then, all leases that earlier
    owners may still grant.
    """
    if executor.reached:
        return max(executor.lease.expires_at, executor.earlier_leases_expire_at)
    return _earlier_leases_expire_at(shard, executor.listing.executor_id)


def _earlier_leases_expire_at(
    shard: state.Shard, executor_id: str, *, is_long_running: bool = False
) -> float:
    """Return when every lease that earlier owners granted there has expired.

    After ``earlier_proofs_ended_at`` an earlier owner gets no new proof of its
    ownership; those that have extended a lease on this executor may have got
    none for longer. One may extend leases for as long as its last proof is
    valid, and not after its process has ended. The last lease is at most
    ``leases.LEASE_S`` long on the executor's clock, or the longest one if the
    executor had restarted shortly before. A long-running task holds the
    longest one only where the record says that such a task may be there. Other
    tasks also wait for late starts where the executor is known to have
    restarted.

    Args:
        shard: Shard of the executor.
        executor_id: Its id.
        is_long_running: Whether only leases of long-running tasks count.

    Returns:
        Monotonic time; infinity before ``earlier_proofs_ended_at`` is set.
    """
    lessor = executor_records.newest_lessor(shard, executor_id)
    usual_s = leases.longest_on_local_clock_s(leases.LEASE_S)
    expires_at = _last_order_by(shard, lessor) + usual_s
    may_be_held = not is_long_running or long_running.may_be_on_inherited(
        shard, executor_id
    )
    # Owners since the one that the record names know the process, and have
    # started nothing there.
    fencer = shard.lessor_by_executor.get(executor_id) or lessor
    longest_at = _last_order_by(shard, min(fencer, lessor))
    longest_at += executor_records.longest_lease_s(shard)
    if may_be_held and executor_records.may_hold_longest_lease(shard, executor_id):
        expires_at = max(expires_at, longest_at)
    if not is_long_running and _may_start_late(shard, executor_id):
        expires_at = max(expires_at, longest_at + restarts.MAX_CALL_DELAY_S)
    return expires_at


def _may_start_late(shard: state.Shard, executor_id: str) -> bool:
    """Return whether an executor may carry out a start to a former process.

    One that the list does not contain any more is taken for gone. It may still
    run if only its heartbeats are lost, but looks like one that has crashed.
    """
    executor = shard.executor_by_id.get(executor_id)
    if executor is None or _is_unlisted(shard, executor):
        return False
    return late_starts.may_be_under_way(shard, executor)


def _last_order_by(shard: state.Shard, epoch: int) -> float:
    """Return by when owners up to an epoch have sent their last order.

    The end of the owner before counts if it was sooner: no owner has claimed
    the shard between that one and this one.
    """
    by_end = max(
        shard.previous_ended_at, _last_order_at(shard, shard.previous_epoch - 1)
    )
    return min(_last_order_at(shard, epoch), by_end)


def _last_order_at(shard: state.Shard, epoch: int) -> float:
    """Return by when the proofs of owners up to an epoch have expired."""
    if shard.earlier_proofs_ended_at is None:
        return math.inf
    ended_at = min(shard.earlier_proofs_ended_at, shard.proof_ends.ended_at(epoch))
    return ended_at + proof.VALIDITY_S


def _give_up(shard: state.Shard, executor: tracking.Executor) -> None:
    """Give up a silent executor whose leases have expired.

    Its runs are lost, and it is removed if the list does not contain it.
    """
    holds_work = (
        bool(executor.run_by_task)
        or executor.counts_unknown_runs
        or executor.listing.executor_id in shard.unread_executor_by_id
    )
    if executor.giving_up or (executor.listed and not holds_work):
        return
    executor.giving_up = True
    shard.spawn(_give_up_once_confirmed(shard, executor))


async def _give_up_once_confirmed(
    shard: state.Shard, executor: tracking.Executor
) -> None:
    """Give up an executor, unless something happens before the append.

    A later owner may have reached the executor and extended its lease. The
    append shows that none had claimed the shard when the lease expired. A
    reply counts instead, and so does a lease that this owner has extended.
    """
    silent_since = executor.silent_since
    expired_at = _leases_expire_at(shard, executor)
    try:
        await proof.confirm(shard)
    finally:
        executor.giving_up = False
    is_extended = _leases_expire_at(shard, executor) > expired_at
    if executor.silent_since != silent_since or is_extended:
        return
    if executor.run_by_task:
        now = shard.clock.monotonic()
        logs.emit(
            events.EXECUTOR_LAPSED,
            executor=executor.listing.executor_id,
            runs=len(executor.run_by_task),
            long_running=sum(
                run.task.step.long_running for run in executor.run_by_task.values()
            ),
            draining_ms_ago=_draining_ms_ago(shard, executor),
            silent_s=round(now - (silent_since or now), 3),
            expired_ms_ago=round((now - expired_at) * 1000),
            proven_ms_ago=round(proof.age_s(shard) * 1000),
        )
        status_reports.mark_all_runs_lost(shard, executor, "lapsed")
    executor.uncount_unknown_runs()
    listed_ends.forget(shard, executor)
    if not executor.listed:
        _remove(shard, executor)
    elif _is_idle(shard, executor):
        await executor_records.delete(shard, executor)


def _is_silent_long(
    shard: state.Shard, executor: tracking.Executor, now: float
) -> bool:
    """Return whether an executor has been silent for too long for a lease."""
    silent_since = executor.silent_since
    if silent_since is not None and _is_unlisted(shard, executor):
        return True
    return silent_since is not None and now - silent_since > MAX_EXTENDED_SILENCE_S


def _is_unlisted(shard: state.Shard, executor: tracking.Executor) -> bool:
    """Return whether the current list does not contain an executor.

    Before the list was loaded, and in an outage of the store, a missing entry
    says nothing: its executor may be running.
    """
    is_list_current = shard.recovered and shard.journal.failing_since is None
    return is_list_current and not executor.listed


def _is_idle(shard: state.Shard, executor: tracking.Executor) -> bool:
    """Return whether nothing can run on an executor that does not reply."""
    # A run stays in run_by_task from before its start until its end is known.
    if executor.run_by_task or executor.unknown_runs:
        return False
    if shard.clock.monotonic() < executor.longest_lease_expires_at:
        return False  # Only the record tells of that lease.
    executor_id = executor.listing.executor_id
    if shard.record_state_by_id.get(executor_id) != state.KEPT:
        return False
    if executor_id not in shard.inherited_executors:
        return True  # No earlier owner has started a run on it.
    # Until the executor has listed all, there may be runs or unread ends of an
    # earlier owner.
    has_told_all = executor.reached and executor.has_listed_all
    return has_told_all or _have_leases_expired(shard, executor)


def _remove(shard: state.Shard, executor: tracking.Executor) -> None:
    executor_id = executor.listing.executor_id
    if shard.executor_by_id.get(executor_id) is executor:
        del shard.executor_by_id[executor_id]
        shard.removed_executors.add(executor_id)
        executor.detach_usage()
        listed_ends.forget(shard, executor)
        shard.spawn(executor_records.delete(shard, executor))
    check_earlier_runs(shard)


def check_earlier_runs(shard: state.Shard) -> None:
    """Set ``earlier_runs_settled`` once runs of earlier owners are settled.

    A run of an earlier owner is settled when a poll has reported it, its
    executor was removed, or the lease on its executor has expired. A first
    answer counts once an append that began afterwards is confirmed: an
    executor that has restarted has forgotten what a later owner has done.
    Until all are settled, jobs that an earlier owner may have started must not
    be started again. The log event for this is ``shard-located``; its field
    ``reached`` also counts the removed executors.
    """
    if shard.earlier_runs_settled or not shard.recovered:
        return
    inherited = len(shard.inherited_executors)
    reached = executor_records.count_reached_or_gone(shard)
    now = shard.clock.monotonic()
    if shard.earlier_proofs_ended_at is None:
        _check_earlier_proofs(shard, now)
    if reached == inherited:
        if executor_records.are_answers_confirmed(shard):
            _settle_earlier_runs(shard, reached)
    elif not shard.settling and not _may_be_leased(shard, now):
        shard.settling = True
        shard.spawn(_settle_once_confirmed(shard))
    elif not (
        shard.settling_long_running or _may_be_leased(shard, now, is_long_running=True)
    ):
        shard.settling_long_running = True
        shard.spawn(_settle_long_running_once_confirmed(shard))


def _may_be_leased(
    shard: state.Shard, now: float, *, is_long_running: bool = False
) -> bool:
    """Return whether earlier leases may last where nobody has replied."""
    return any(
        now
        <= _earlier_leases_expire_at(
            shard, executor_id, is_long_running=is_long_running
        )
        for executor_id in executor_records.unreached(shard)
    )


def _check_earlier_proofs(shard: state.Shard, now: float) -> None:
    """Set ``earlier_proofs_ended_at`` once no earlier owner gets a proof."""
    quorum = shard.instance_quorum
    if executor_records.is_half_reached(shard):
        ended_by = "executors"
    elif quorum.is_half_told():
        ended_by = "instances"
    elif (
        quorum.binds_earlier_owners
        and now - shard.claimed_at > proof.MAX_WITHOUT_APPEND_S
    ):
        ended_by = "time"
    else:
        return
    shard.earlier_proofs_ended_at = now
    shard.proof_ends.note(shard.epoch, now)
    logs.emit(
        events.EARLIER_PROOFS_ENDED,
        shard=shard.number,
        epoch=shard.epoch,
        ended_by=ended_by,
        executors=len(shard.inherited_voters),
        instances=len(quorum.inherited),
        told=len(quorum.told),
        after_ms=round((now - shard.claimed_at) * 1000),
    )
    _log_awaited_leases(shard, now)
    executor_records.write_missing(shard)


def _log_awaited_leases(shard: state.Shard, now: float) -> None:
    """Log until when executors that have not replied may be leased, and why.

    Executors with the same reason share a line.
    """
    ids_by_reason: dict[tuple[int, float, bool, int | None], list[str]] = {}
    for executor_id in sorted(executor_records.unreached(shard)):
        lessor = executor_records.newest_lessor(shard, executor_id)
        lease_s = executor_records.earlier_lease_s(shard, executor_id)
        left_ms = logs.ms_since(_earlier_leases_expire_at(shard, executor_id), now)
        is_late = _may_start_late(shard, executor_id)
        reason = (lessor, lease_s, is_late, left_ms)
        ids_by_reason.setdefault(reason, []).append(executor_id)
    for (lessor, lease_s, is_late, left_ms), executor_ids in ids_by_reason.items():
        logs.emit(
            events.LEASES_AWAITED,
            shard=shard.number,
            epoch=shard.epoch,
            lessor=lessor,
            previous_ended=math.isfinite(shard.previous_ended_at),
            lease_ms=round(lease_s * 1000),
            late_starts=is_late,
            left_ms=left_ms,
            executors=executor_ids[:MAX_LOGGED_EXECUTORS],
            count=len(executor_ids),
        )


async def _settle_once_confirmed(shard: state.Shard) -> None:
    """Settle runs whose leases have expired, if this is still the owner.

    A later owner may have extended these leases.
    """
    await proof.confirm(shard)
    if not shard.earlier_runs_settled:
        _settle_earlier_runs(shard, executor_records.count_reached_or_gone(shard))


async def _settle_long_running_once_confirmed(shard: state.Shard) -> None:
    """Settle runs of long-running tasks, if this is still the owner."""
    await proof.confirm(shard)
    _log_awaited_leases(shard, shard.clock.monotonic())
    shard.long_running_settled = True
    shard.changed.set()
    logs.emit(
        events.LONG_RUNNING_LOCATED,
        shard=shard.number,
        epoch=shard.epoch,
        after_ms=round((shard.clock.monotonic() - shard.claimed_at) * 1000),
    )


def _settle_earlier_runs(shard: state.Shard, reached: int) -> None:
    _log_awaited_leases(shard, shard.clock.monotonic())
    shard.earlier_runs_settled = True
    executor_records.drop_unreadable(shard)
    shard.changed.set()
    logs.emit(
        events.SHARD_LOCATED,
        shard=shard.number,
        epoch=shard.epoch,
        executors=len(shard.executor_by_id),
        inherited=len(shard.inherited_executors),
        reached=reached,
        after_ms=round((shard.clock.monotonic() - shard.claimed_at) * 1000),
    )
