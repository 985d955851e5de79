"""Keeps calls to a former process of an executor from harming the next one.

An executor may restart under its id, with a clock and counts that start anew.
The new process takes calls that were meant for the former one, also seconds
later. Such a call may grant the longest lease, as its deadline is a time on
the former clock, start a run again, or acknowledge ends that nobody has read.

An owner that notices a restart raises the fencing token of its calls to that
executor. Before the executor has answered under the higher token, nothing is
started there; afterwards it rejects every call to a former process, so that
leases by such calls end at most the longest lease after that answer. Before
the first start, the executor's record tells later owners of that lease, and
the claim tells the highest token, so that they use higher ones.
"""

import math

from limpetstream.executors import leases, messages, tracking
from limpetstream.shard import (
    events,
    executor_records,
    lease_records,
    names,
    proof,
    state,
)
from limpetstream.shard.settling import listed_ends
from limpetstream.telemetry import logs

# An executor may carry out a call so long after it was sent, by the stand-ins;
# the page of the platform tells no bound.
MAX_CALL_DELAY_S = 12.0


def token_of(shard: state.Shard, executor: tracking.Executor) -> int:
    """Return the fencing token of calls to an executor."""
    return shard.epoch + executor.token_raise


def newest_token(shard: state.Shard, executor_id: str) -> int:
    """Return the highest token of this owner that an executor may have seen.

    A lower one is no sign of a later owner.
    """
    executor = shard.executor_by_id.get(executor_id)
    raises = shard.token_raises if executor is None else executor.required_token_raise
    return shard.epoch + raises


def note_restart(
    shard: state.Shard, executor: tracking.Executor, reply: messages.PollReply
) -> None:
    """Note that the process that has sent a reply is not the one before."""
    now = shard.clock.monotonic()
    logs.emit(
        events.EXECUTOR_REPLACED,
        executor=executor.listing.executor_id,
        reason="restarted under the same id",
        born_ms=reply.born_ms,
        clock_ms=reply.clock_ms,
        former_born_ms=executor.born_ms,
        former_deadline_ms=executor.lease.deadline_ms,
        extended_ms_ago=logs.ms_since(now, executor.lease.extended_at),
        clock_read_ms_ago=logs.ms_since(now, executor.lease.received_at),
    )
    executor.born_ms = reply.born_ms
    executor.acked_end = executor.applied_end = 0
    executor.dropped_end = 0
    executor.has_listed_all = False
    executor.lease = leases.Lease(executor.lease.duration_s)
    proof.confirm_incarnation(shard, executor)
    _begin_fencing(shard, executor)


def note_return(shard: state.Shard, executor: tracking.Executor) -> None:
    """Note that an executor is back that this owner has removed.

    Its process may be the former one, which has seen a raised token, or one
    that calls to the former one may still reach.
    """
    if executor.listing.executor_id in shard.removed_executors:
        _begin_fencing(shard, executor)


def _begin_fencing(shard: state.Shard, executor: tracking.Executor) -> None:
    """Raise the token of calls to an executor, and start nothing there before.

    Until it is fenced, a call to a former process may still grant the longest
    lease.
    """
    executor.fenced = executor.recorded = False
    executor.earlier_leases_expire_at = (
        shard.clock.monotonic()
        + MAX_CALL_DELAY_S
        + executor_records.longest_lease_s(shard)
    )
    executor.longest_lease_expires_at = math.inf
    shard.token_raises += 1
    executor.required_token_raise = shard.token_raises
    shard.spawn(_raise_token(shard, executor, shard.token_raises))


async def _raise_token(
    shard: state.Shard, executor: tracking.Executor, token_raise: int
) -> None:
    """Use a higher token once the claim and the record tell of it.

    The token is also stored by itself, should the claim become unreadable.
    """
    shard.journal.put(names.OWNER_KEY, lambda: lease_records.encode_claim(shard))
    shard.journal.put(names.TOKEN_KEY, lambda: lease_records.encode_token(shard))
    shard.spawn(executor_records.write(shard, executor))
    await shard.journal.wait_until_durable()
    executor.token_raise = max(executor.token_raise, token_raise)


def note_fenced(
    shard: state.Shard,
    executor: tracking.Executor,
    reply: messages.PollReply,
    token: int,
) -> bool:
    """Note the first answer under the raised token that lists all ends.

    It shows which runs of before are on a restarted executor, or have ended
    there; no other one can start there any more.

    Returns:
        Whether the answer is that one.
    """
    if executor.fenced or token < shard.epoch + executor.required_token_raise:
        return False
    if not listed_ends.has_all(reply):
        return False
    now = shard.clock.monotonic()
    executor.fenced = True
    executor.earlier_leases_expire_at = now + executor_records.longest_lease_s(shard)
    executor.longest_lease_expires_at = executor.earlier_leases_expire_at
    logs.emit(
        events.EXECUTOR_FENCED,
        executor=executor.listing.executor_id,
        born_ms=executor.born_ms,
        token=token,
        runs=len(reply.running),
    )
    shard.changed.set()
    return True


def note_first_answer(shard: state.Shard, executor: tracking.Executor) -> None:
    """Note the first answer of an executor to this owner.

    From then on it rejects the calls of all earlier owners, also those that
    were meant for a former process.
    """
    executor_id, born_ms = executor.listing.executor_id, executor.born_ms
    lease_s = executor_records.earlier_lease_s(shard, executor_id, born_ms)
    executor.earlier_leases_expire_at = max(
        executor.earlier_leases_expire_at, executor.first_answered_at + lease_s
    )
    if executor_records.may_hold_longest_lease(shard, executor_id, born_ms):
        executor.longest_lease_expires_at = executor.earlier_leases_expire_at
