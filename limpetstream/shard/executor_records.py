"""Durable traces of the executors that may have got orders.

An executor is named in the journal before its first order, so a new owner
knows where runs of earlier owners can be. The trace of a silent executor on
which nothing can run is dropped: a new owner would otherwise wait until every
lease there has lapsed before it starts any job again.

The traces that the journal holds are also the voters of a majority: an owner
extends leases only with the answers of more than half of them, and a new
owner that has reached half of them knows that the one before can not.
"""

import dataclasses

import msgspec

from limpetstream.executors import messages, tracking
from limpetstream.shard import names, state


@dataclasses.dataclass(slots=True)
class ExecutorRecord:
    """Durable trace of an executor that may have got orders.

    Args:
        listing: What it said of itself.
    """

    listing: messages.Listing


def note_inherited(shard: state.Shard, executor_id: str) -> None:
    """Note a trace that the journal of an earlier owner holds."""
    shard.record_state_by_id[executor_id] = state.KEPT
    shard.inherited_executors.add(executor_id)


async def write(shard: state.Shard, executor: tracking.Executor) -> None:
    """Write the trace of an executor; it may get orders from then on.

    Nothing happens while a trace is being written or dropped.
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
        await delete(shard, executor)  # It was removed meanwhile.
        return
    executor.recorded = True
    shard.changed.set()


async def delete(shard: state.Shard, executor: tracking.Executor) -> None:
    """Drop the trace of an executor on which nothing can run.

    It gets no order until its trace is written again, which happens at once
    if it has answered meanwhile.
    """
    executor_id = executor.listing.executor_id
    executor.recorded = False
    if shard.record_state_by_id.get(executor_id) != state.KEPT:
        return  # A trace that is being written is dropped afterwards.
    shard.record_state_by_id[executor_id] = state.DROPPING
    shard.journal.put(names.EXECUTOR_KEY_PREFIX + executor_id, lambda: None)
    await shard.journal.wait_until_durable()
    del shard.record_state_by_id[executor_id]
    current = shard.executor_by_id.get(executor_id)
    if current is not None and current.silent_since is None:
        await write(shard, current)


def majority_polled_at(shard: state.Shard) -> float:
    """Return since when more than half of the traced executors have answered.

    Executors whose trace is being written or dropped count as voters that
    did not answer, since the journal may or may not hold it.
    """
    looked = []
    for executor_id, trace in shard.record_state_by_id.items():
        executor = shard.executor_by_id.get(executor_id)
        kept = trace == state.KEPT and executor is not None
        looked.append(executor.polled_at if kept else float("-inf"))
    if not looked:
        return float("-inf")
    return sorted(looked, reverse=True)[len(looked) // 2]


def count_reached_or_gone(shard: state.Shard) -> int:
    """Return how many inherited executors are reached or gone."""
    return sum(
        executor_id not in shard.executor_by_id
        or shard.executor_by_id[executor_id].reached
        for executor_id in shard.inherited_executors
    )
