"""Records in the journal which executors may run tasks of the shard.

An executor is recorded in the journal before the first run is started on it,
so a new owner knows where runs of earlier owners can be. The record of an
executor that does not reply and on which nothing can run is deleted. A new
owner would otherwise wait until every lease on that executor has expired
before it starts any job again.

The recorded executors also form a quorum. An owner whose appends to the
journal are not confirmed extends leases only with replies from more than half
of them. A new owner fences the journal, so once it has reached half of them it
knows that no earlier owner can extend leases for long.

Before an owner extends a lease on an executor, the record names its epoch. A
new owner therefore knows whose leases may last on one that it cannot reach.
"""

import asyncio
import dataclasses
from collections.abc import Iterator
from typing import Annotated

import msgspec

from limpetstream import errors
from limpetstream.executors import leases, listing_checks, messages, tracking
from limpetstream.shard import names, ownership, state
from limpetstream.shard.settling import long_running


@dataclasses.dataclass(slots=True)
class ExecutorRecord:
    """Record of an executor on which runs may have been started.

    Args:
        listing: Its entry in the platform's list.
        votes: Whether it belongs to the quorum.
        epoch: Epoch of the newest owner that may have started a run there or
            extended its lease; 0 if an owner of an earlier version wrote it.
        process_born_ms: Start of the process on which that owner may have
            started a run, in Unix milliseconds; 0 if the executor does not
            tell it, None if an owner of an earlier version wrote the record.
        longest_lease: Whether a call to a former process of its id may have
            granted the longest lease there.
        long_running: Whether a run of a long-running task may be there if so;
            true if an owner of an earlier version wrote the record.
        unfenced: Whether the executor may still carry out starts to a former
            process if so; true if an owner of an earlier version wrote it.
    """

    listing: messages.Listing
    votes: bool = True
    epoch: Annotated[int, msgspec.Meta(ge=0, le=ownership.MAX_EPOCH)] = 0
    process_born_ms: Annotated[int, msgspec.Meta(ge=0)] | None = None
    longest_lease: bool = False
    long_running: bool = True
    unfenced: bool = True


def decode(key: str, raw: bytes) -> ExecutorRecord:
    """Decode the record of an executor.

    It is checked like an entry in the list, because an owner of another
    version may have written it.

    Args:
        key: Key of the record, which ends with the executor's id.
        raw: Value of the record.

    Raises:
        RecordError: The record is damaged, or names no usable executor.
    """
    try:
        record = msgspec.json.decode(raw, type=ExecutorRecord)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise errors.RecordError(
            f"stored ExecutorRecord cannot be decoded: {error}"
        ) from error
    listing_checks.check(record.listing)
    if key != names.EXECUTOR_KEY_PREFIX + record.listing.executor_id:
        raise errors.RecordError(f"record of {record.listing.executor_id!r}")
    return record


def note_inherited(shard: state.Shard, record: ExecutorRecord) -> None:
    """Note a record that an earlier owner left in the journal."""
    executor_id = record.listing.executor_id
    shard.record_state_by_id[executor_id] = state.KEPT
    shard.inherited_executors.add(executor_id)
    shard.lessor_by_executor[executor_id] = record.epoch
    shard.recorded_born_ms_by_executor[executor_id] = record.listing.born_ms
    shard.process_born_ms_by_executor[executor_id] = record.process_born_ms
    if record.longest_lease or record.process_born_ms is None:
        shard.longest_leased_executors.add(executor_id)
        if record.unfenced:
            shard.unfenced_executors.add(executor_id)
    may_run = record.long_running or not record.longest_lease
    long_running.note_recorded(shard, executor_id, may_run=may_run)
    if record.votes:
        shard.inherited_voters.add(executor_id)
    else:
        shard.nonvoting_executors.add(executor_id)


def note_unreadable(shard: state.Shard, key: str) -> None:
    """Note an unreadable record of an executor that may run tasks.

    It cannot be polled before the list names it, so until then it counts as a
    voter that was not reached.
    """
    executor_id = key.removeprefix(names.EXECUTOR_KEY_PREFIX)
    shard.unreadable_executors.add(executor_id)
    shard.inherited_executors.add(executor_id)
    shard.inherited_voters.add(executor_id)
    shard.longest_leased_executors.add(executor_id)


def drop_unreadable(shard: state.Shard) -> None:
    """Delete unreadable records once nothing can run on their executors."""
    dropped = shard.unreadable_executors - shard.record_state_by_id.keys()
    for executor_id in dropped:
        shard.journal.put(names.EXECUTOR_KEY_PREFIX + executor_id, lambda: None)
    if dropped:
        shard.spawn(_forget_dropped(shard, dropped))


async def _forget_dropped(shard: state.Shard, executor_ids: set[str]) -> None:
    """Take executors out of the quorum once their records are deleted."""
    await shard.journal.wait_until_durable()
    # A record that is being written leaves the unreadable ones by itself.
    shard.unreadable_executors -= executor_ids - shard.record_state_by_id.keys()


def note_moved(shard: state.Shard, executor: tracking.Executor) -> None:
    """Write the record of an executor again, as its address has changed.

    No run is started at the new address before the record names it: the next
    owner polls the address in the record.
    """
    executor.recorded = False
    shard.spawn(write(shard, executor))


def write_missing(shard: state.Shard) -> None:
    """Record the executors without a record, and let all others vote."""
    for executor_id, executor in shard.executor_by_id.items():
        is_missing = executor_id not in shard.record_state_by_id
        if is_missing or executor_id in shard.nonvoting_executors:
            shard.spawn(write(shard, executor))


async def write(shard: state.Shard, executor: tracking.Executor) -> None:
    """Write the record of an executor; runs may be started on it afterwards.

    Does nothing if a record exists or is being written or deleted, unless it
    is to vote from now on, or an earlier owner wrote it and the executor has
    replied: then it is written under this epoch.

    Until half of the quorum was reached, an earlier owner may still get
    replies from a majority of it, so new executors do not vote: the next owner
    could reach half of all without ending that majority.
    """
    if is_emptied(executor):
        return
    executor_id = executor.listing.executor_id
    votes = shard.earlier_proofs_ended_at is not None
    begins_to_vote = votes and executor_id in shard.nonvoting_executors
    record_state = shard.record_state_by_id.get(executor_id)
    if record_state == state.KEPT and not begins_to_vote:
        if executor.reached and not executor.recorded:
            await _write_under_epoch(shard, executor)
        return
    if record_state not in (None, state.KEPT):
        return
    if votes:
        shard.nonvoting_executors.discard(executor_id)
    else:
        shard.nonvoting_executors.add(executor_id)
    shard.record_state_by_id[executor_id] = state.WRITING
    written = _put(shard, executor)
    await shard.journal.wait_until_durable()
    shard.record_state_by_id[executor_id] = state.KEPT
    shard.unreadable_executors.discard(executor_id)  # It was replaced.
    if shard.executor_by_id.get(executor_id) is not executor:
        await delete(shard, executor)  # It was removed in the meantime.
        return
    _note_recorded(shard, executor, written)
    if not executor.recorded or (
        not votes and shard.earlier_proofs_ended_at is not None
    ):
        await write(shard, executor)  # It, or half, was reached in the meantime.


async def _write_under_epoch(shard: state.Shard, executor: tracking.Executor) -> None:
    """Write the record of an inherited executor under this owner's epoch.

    The record exists all the while, and whether it votes is unchanged. One
    that is being deleted stays so: the next owner would count it as a voter.
    """
    executor_id = executor.listing.executor_id
    if shard.record_state_by_id.get(executor_id) in (None, state.DROPPING):
        return
    written = _put(shard, executor)
    await shard.journal.wait_until_durable()
    is_kept = shard.record_state_by_id.get(executor_id) == state.KEPT
    if is_kept and shard.executor_by_id.get(executor_id) is executor:
        _note_recorded(shard, executor, written)


@dataclasses.dataclass(slots=True)
class _Written:
    """What a record says that was queued for an append.

    Args:
        basis: What starts there rest on: the epoch and the address in the
            record, and the restart of the executor that the owner had noticed.
        longest_lease: Whether it tells of a longest lease.
        bars_long_running: Whether it says that no long-running task is there.
        unfenced: Whether it says that the executor is not fenced.
        order: How many records of the executor were encoded before.
    """

    basis: tuple[int, str, int]
    longest_lease: bool
    bars_long_running: bool
    unfenced: bool
    order: int


def _put(shard: state.Shard, executor: tracking.Executor) -> list[_Written]:
    """Queue the record of an executor for the next append.

    Until an executor has replied, this owner can extend no lease on it, and
    its record keeps what the owner that could has written, unless this owner
    has removed the executor, which is back.

    Returns:
        What is written, once it is encoded; it stays empty if the record is
        queued once more before.
    """
    executor_id = executor.listing.executor_id
    written: list[_Written] = []

    def encode() -> bytes:
        record = ExecutorRecord(
            executor.listing,
            executor_id not in shard.nonvoting_executors,
            shard.epoch,
            executor.born_ms or executor.listing.born_ms,
            executor.longest_lease_expires_at > shard.clock.monotonic(),
        )
        # This owner may have sent calls to one that it has removed.
        is_back = executor_id in shard.removed_executors
        may_extend = executor.reached or executor.recorded or is_back
        record.long_running = not record.longest_lease or long_running.may_be_on(
            executor
        )
        record.unfenced = not executor.fenced
        if executor_id in shard.inherited_executors and not may_extend:
            record.epoch = newest_lessor(shard, executor_id)
            record.process_born_ms = shard.process_born_ms_by_executor.get(executor_id)
            record.longest_lease = may_hold_longest_lease(shard, executor_id)
            record.long_running = long_running.may_be_on_inherited(shard, executor_id)
            record.unfenced = executor_id in shard.unfenced_executors
        basis = (record.epoch, executor.listing.address, executor.required_token_raise)
        # An append without an answer may have taken effect.
        executor.record_bars_long_running |= not record.long_running
        executor.records_encoded += 1
        order = executor.records_encoded
        written.append(
            _Written(
                basis,
                record.longest_lease,
                not record.long_running,
                record.unfenced,
                order,
            )
        )
        return msgspec.json.encode(record)

    shard.journal.put(names.EXECUTOR_KEY_PREFIX + executor_id, encode)
    return written


def _note_recorded(
    shard: state.Shard, executor: tracking.Executor, written: list[_Written]
) -> None:
    basis = (shard.epoch, executor.listing.address, executor.required_token_raise)
    if written and written[-1].basis == basis:
        executor.recorded = True
        executor.recorded_longest = written[-1].longest_lease
        executor.recorded_unfenced = written[-1].unfenced
        if written[-1].order == executor.records_encoded:
            executor.record_bars_long_running = written[-1].bars_long_running
        shard.changed.set()


def may_hold_longest_lease(
    shard: state.Shard, executor_id: str, born_ms: int | None = None
) -> bool:
    """Return whether a call to a former process may have granted a lease.

    Such a lease is as long as the executor grants at most.

    Args:
        shard: Shard of the executor.
        executor_id: Its id.
        born_ms: Start of the process that has answered, in Unix milliseconds;
            None before an answer. The record tells only of the process that
            it names.
    """
    if executor_id not in shard.inherited_executors:
        return False
    if executor_id in shard.longest_leased_executors:
        return True
    if born_ms is None:
        return False
    return born_ms != shard.process_born_ms_by_executor.get(executor_id)


def earlier_lease_s(
    shard: state.Shard, executor_id: str, born_ms: int | None = None
) -> float:
    """Return how long leases by calls of earlier owners may last here.

    The arguments are those of ``may_hold_longest_lease``.
    """
    if may_hold_longest_lease(shard, executor_id, born_ms):
        return longest_lease_s(shard)
    return leases.longest_on_local_clock_s(leases.LEASE_S)


def longest_lease_s(shard: state.Shard) -> float:
    """Return how long the longest lease of an executor may last here."""
    return leases.longest_on_local_clock_s(shard.timing.max_lease_s)


def newest_lessor(shard: state.Shard, executor_id: str) -> int:
    """Return the newest earlier epoch that may have extended leases there.

    Owners of earlier versions, and those before them, may have extended the
    lease on each executor that the journal names.
    """
    previous = shard.epoch - 1
    recorded_from = shard.leases_recorded_from
    epoch = shard.lessor_by_executor.get(executor_id)
    if epoch is None or recorded_from is None:
        return previous  # The record, or the claim, does not tell.
    return min(max(epoch, recorded_from - 1), previous)


async def delete(shard: state.Shard, executor: tracking.Executor) -> None:
    """Delete the record of an executor on which nothing can run.

    No run is started on the executor until its record is written again, which
    happens at once if it has replied in the meantime.
    """
    executor_id = executor.listing.executor_id
    executor.recorded = False
    if shard.record_state_by_id.get(executor_id) != state.KEPT:
        return  # A record that is being written is deleted afterwards.
    shard.record_state_by_id[executor_id] = state.DROPPING
    shard.journal.put(names.EXECUTOR_KEY_PREFIX + executor_id, lambda: None)
    await shard.journal.wait_until_durable()
    del shard.record_state_by_id[executor_id]
    shard.nonvoting_executors.discard(executor_id)
    current = shard.executor_by_id.get(executor_id)
    if current is not None and current.silent_since is None:
        await write(shard, current)


def is_emptied(executor: tracking.Executor) -> bool:
    """Return whether an executor that will leave holds nothing any more.

    It has listed all its ends. It has answered under this owner's token, so it
    takes no starts of earlier owners, and this one starts nothing on an
    executor that will leave. Without a record, the next owner does not wait
    for it once it has left.
    """
    return (
        executor.listing.state == messages.DRAINING
        and executor.reached
        and executor.confirmed
        and executor.has_listed_all
        and not executor.run_by_task
        and not executor.unknown_runs
    )


def update(shard: state.Shard, executor: tracking.Executor) -> None:
    """Delete or write the record of an executor if its state asks for it."""
    record_state = shard.record_state_by_id.get(executor.listing.executor_id)
    if is_emptied(executor):
        if record_state == state.KEPT:
            shard.spawn(delete(shard, executor))
    elif record_state is None:
        shard.spawn(write(shard, executor))
    elif executor.recorded_longest and not _may_hold_longest_now(shard, executor):
        # Otherwise the next owner would wait for a lease that has expired.
        executor.recorded_longest = False
        shard.spawn(_write_under_epoch(shard, executor))
    elif executor.recorded_unfenced and executor.fenced:
        # Otherwise the next owner would wait for starts that are rejected.
        executor.recorded_unfenced = False
        shard.spawn(_write_under_epoch(shard, executor))
    elif _can_bar_long_running(shard, executor):
        shard.spawn(_write_under_epoch(shard, executor))


def _may_hold_longest_now(shard: state.Shard, executor: tracking.Executor) -> bool:
    return shard.clock.monotonic() < executor.longest_lease_expires_at


def _can_bar_long_running(shard: state.Shard, executor: tracking.Executor) -> bool:
    """Return whether its record could exclude long-running tasks."""
    return (
        executor.recorded_longest
        and shard.journal.failing_since is None
        and not executor.record_bars_long_running
        and not long_running.may_be_on(executor)
    )


async def admit_long_running(shard: state.Shard, executor: tracking.Executor) -> None:
    """Let the record tell of a long-running task before it is started there.

    Its run has reserved capacity, so that the record tells of it.
    """
    if executor.record_bars_long_running:
        await _write_under_epoch(shard, executor)
        # A later write may have replaced this one. It has taken effect as
        # well, and its own task notes that now.
        await asyncio.sleep(0)


def majority_polled_at(shard: state.Shard) -> float:
    """Return the latest time by which a majority was polled successfully.

    More than half of the recorded executors have replied to a poll that was
    sent at this monotonic time or later. Executors whose record is being
    written or deleted count as members of the quorum that did not reply,
    because the journal may or may not hold the record. So do executors whose
    present incarnation answered first after the newest confirmed append: after
    a restart an executor has forgotten the token of a later owner. One that is
    older than the claim has forgotten none. Those whose records cannot be read
    did not reply either: the next owner takes them for voters.

    Returns:
        The time in seconds; minus infinity without such a majority.
    """
    unreadable = shard.unreadable_executors
    polled_at = [float("-inf")] * len(unreadable - shard.record_state_by_id.keys())
    for executor_id, record_state in shard.record_state_by_id.items():
        if executor_id in shard.nonvoting_executors - unreadable:
            continue
        executor = shard.executor_by_id.get(executor_id)
        votes = (
            record_state == state.KEPT
            and executor is not None
            and _remembers_tokens(shard, executor)
        )
        polled_at.append(executor.polled_at if votes else float("-inf"))
    if not polled_at:
        return float("-inf")
    return sorted(polled_at, reverse=True)[len(polled_at) // 2]


def _remembers_tokens(shard: state.Shard, executor: tracking.Executor) -> bool:
    """Return whether an executor knows the token of each owner it has met.

    Nobody had claimed the shard when its incarnation replied first, or it has
    lived since before this owner's claim.
    """
    is_confirmed = executor.first_answered_at <= shard.journal.confirmed_at
    return is_confirmed or _is_older_than_claim(shard, executor)


def _is_older_than_claim(shard: state.Shard, executor: tracking.Executor) -> bool:
    """Return whether an executor has not restarted since before the claim.

    Its record was written before, and names the same start.
    """
    recorded_ms = shard.recorded_born_ms_by_executor.get(executor.listing.executor_id)
    is_same = bool(recorded_ms) and executor.born_ms == recorded_ms
    return is_same and shard.read_as_claimed


def count_reached_or_gone(shard: state.Shard) -> int:
    """Return how many inherited executors have replied or were removed."""
    return _count_reached_or_gone(shard, shard.inherited_executors)


def are_answers_confirmed(shard: state.Shard) -> bool:
    """Return whether an append has followed all first answers.

    Executors that were removed count as confirmed.
    """
    return all(
        shard.executor_by_id[executor_id].confirmed
        for executor_id in shard.inherited_executors
        if executor_id in shard.executor_by_id
    )


def unreached(shard: state.Shard) -> Iterator[str]:
    """Yield the ids of inherited executors that may still run tasks unseen."""
    for executor_id in shard.inherited_executors:
        if not _is_reached_or_gone(shard, executor_id):
            yield executor_id


def is_half_reached(shard: state.Shard) -> bool:
    """Return whether half of the inherited quorum has replied or is gone."""
    voters = shard.inherited_voters
    return _count_reached_or_gone(shard, voters) * 2 >= len(voters)


def _count_reached_or_gone(shard: state.Shard, executor_ids: set[str]) -> int:
    return sum(_is_reached_or_gone(shard, executor_id) for executor_id in executor_ids)


def _is_reached_or_gone(shard: state.Shard, executor_id: str) -> bool:
    executor = shard.executor_by_id.get(executor_id)
    if executor is None:
        return executor_id not in shard.unreadable_executors
    return executor.reached
