"""Tells whether long-running tasks may be on executors with a longest lease.

A call to a former process of an executor may have granted the longest lease,
which is longer than a long-running task may be without a run. The record of
such an executor therefore says whether a run of a long-running task may be
there. If it says that there is none, long-running tasks do not wait for that
lease after a change of owner.

No start of a long-running task is sent to an executor while its record may
say that there is none.
"""

from limpetstream.executors import tracking
from limpetstream.leases import unsettled_starts
from limpetstream.shard import state


def may_be_on(executor: tracking.Executor) -> bool:
    """Return whether a run of a long-running task may be on an executor.

    Runs of a former process are gone. Those of the next one are by starts that
    were not settled at the restart, or listed once it is fenced.
    """
    if executor.long_running_starts.call_by_number:
        return True
    if not executor.fenced:
        return False
    return executor.long_running_count > 0 or bool(executor.unknown_runs)


def note_recorded(shard: state.Shard, executor_id: str, *, may_run: bool) -> None:
    """Note what the record of an inherited executor says."""
    if not may_run:
        shard.without_long_running.add(executor_id)


def may_be_on_inherited(shard: state.Shard, executor_id: str) -> bool:
    """Return whether one may be on an executor, by its inherited record.

    An owner of an earlier version may have started one under a record that
    says otherwise.
    """
    if executor_id not in shard.without_long_running:
        return True
    recorded_from = shard.starts_recorded_from
    epoch = shard.lessor_by_executor.get(executor_id, 0)
    return recorded_from is None or epoch < recorded_from


def note_added(shard: state.Shard, executor: tracking.Executor) -> None:
    """Note that earlier owners, or this one, may have sent starts there."""
    executor_id = executor.listing.executor_id
    is_removed = executor_id in shard.removed_executors
    if is_removed or may_be_on_inherited(shard, executor_id):
        unsettled_starts.note_earlier_owners(executor.long_running_starts)
