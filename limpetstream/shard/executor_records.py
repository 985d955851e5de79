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
"""

import dataclasses

import msgspec

from limpetstream import errors
from limpetstream.executors import listing_checks, messages, tracking
from limpetstream.shard import names, state


@dataclasses.dataclass(slots=True)
class ExecutorRecord:
    """Record of an executor on which runs may have been started.

    Args:
        listing: Its entry in the platform's list.
    """

    listing: messages.Listing


def decode(key: str, raw: bytes) -> messages.Listing:
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
    return record.listing


def note_inherited(shard: state.Shard, executor_id: str) -> None:
    """Note a record that an earlier owner left in the journal."""
    shard.record_state_by_id[executor_id] = state.KEPT
    shard.inherited_executors.add(executor_id)


async def write(shard: state.Shard, executor: tracking.Executor) -> None:
    """Write the record of an executor; runs may be started on it afterwards.

    Does nothing if a record exists or is being written or deleted.
    """
    executor_id = executor.listing.executor_id
    if executor_id in shard.record_state_by_id:
        return
    shard.record_state_by_id[executor_id] = state.WRITING
    shard.journal.put(
        names.EXECUTOR_KEY_PREFIX + executor_id,
        lambda: msgspec.json.encode(ExecutorRecord(executor.listing)),
    )
    await shard.journal.wait_until_durable()
    shard.record_state_by_id[executor_id] = state.KEPT
    if shard.executor_by_id.get(executor_id) is not executor:
        await delete(shard, executor)  # It was removed in the meantime.
        return
    executor.recorded = True
    shard.changed.set()


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
    current = shard.executor_by_id.get(executor_id)
    if current is not None and current.silent_since is None:
        await write(shard, current)


def majority_polled_at(shard: state.Shard) -> float:
    """Return the latest time by which a majority was polled successfully.

    More than half of the recorded executors have replied to a poll that was
    sent at this monotonic time or later. Executors whose record is being
    written or deleted count as members of the quorum that did not reply,
    because the journal may or may not hold the record.

    Returns:
        The time in seconds; minus infinity without such a majority.
    """
    polled_at = []
    for executor_id, record_state in shard.record_state_by_id.items():
        executor = shard.executor_by_id.get(executor_id)
        is_recorded = record_state == state.KEPT and executor is not None
        polled_at.append(executor.polled_at if is_recorded else float("-inf"))
    if not polled_at:
        return float("-inf")
    return sorted(polled_at, reverse=True)[len(polled_at) // 2]


def count_reached_or_gone(shard: state.Shard) -> int:
    """Return how many inherited executors have replied or were removed."""
    return sum(
        executor_id not in shard.executor_by_id
        or shard.executor_by_id[executor_id].reached
        for executor_id in shard.inherited_executors
    )
