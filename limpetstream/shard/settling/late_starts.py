"""Tells where starts of earlier owners may still be carried out.

The next process under an executor's id carries out starts that were meant for
the former one, also seconds later. A new owner may not reach that executor,
and may know of the restart by the executor's record or by the platform's list.
A record without the process, by an owner of an earlier version, excludes none.
A start there then counts as under way for the longest delay of a call, and its
run as lasting for the longest lease.

Long-running tasks do not wait for that: they may not be without a run for so
long.
"""

from limpetstream.executors import tracking
from limpetstream.shard import state


def may_be_under_way(shard: state.Shard, executor: tracking.Executor) -> bool:
    """Return whether a start may reach a process that no owner has fenced.

    Args:
        shard: Shard of the executor.
        executor: Inherited executor that was not reached.
    """
    executor_id = executor.listing.executor_id
    if executor_id in shard.unfenced_executors:
        return True
    recorded_ms = shard.process_born_ms_by_executor.get(executor_id)
    listed_ms = executor.listing.born_ms
    return bool(recorded_ms and listed_ms) and listed_ms != recorded_ms
