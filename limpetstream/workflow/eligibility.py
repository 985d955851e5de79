"""Which executors a task may run on at all."""

import dataclasses
from collections.abc import Iterable

from limpetstream.executors import messages as executor_messages, room
from limpetstream.workflow import interference, outlook, state

DATA_RACK_BONUS_CORES = 1000.0  # Off the data's rack a task takes far_x as long.
FULL_PACE_CORES = 500.0  # Filling work goes where it keeps its speed first.
FAILURE_COST_CORES = 30.0  # Moves work away from an executor that fails runs.


@dataclasses.dataclass(slots=True)
class Surroundings:
    """What placement depends on besides the executors.

    Args:
        now: Monotonic time.
        service: Service that the configuration sends the queue to.
        closed_data_centres: Data centres that get no new work.
        fresh_after: Executors must have answered a look sent after this
            monotonic time.
        learned: What is known of images beside each other.
        outlooks: Outlooks for filling work.
        weighed: Executors that were compared with others so far.
    """

    now: float
    service: str
    closed_data_centres: frozenset[str]
    fresh_after: float
    learned: interference.Interference
    outlooks: outlook.Outlooks
    weighed: int = 0


def is_open(executor: room.Executor, around: Surroundings) -> bool:
    """Return whether an executor may get any new task now."""
    listing = executor.listing
    return (
        executor.reached
        and executor.recorded
        and executor.listed
        and listing.state == executor_messages.READY
        and listing.service == around.service
        and listing.data_centre not in around.closed_data_centres
        and executor.silent_since is None
        and not executor.strangers
        and executor.looked_at >= around.fresh_after
        and around.now >= executor.avoid_until
    )


def may_run(executor: room.Executor, task: state.Task) -> bool:
    """Return whether the task's own demands allow an executor."""
    step = task.step
    if step.required_label and step.required_label not in executor.listing.labels:
        return False
    if step.max_per_executor:
        prefix = f"{task.name.rpartition('.')[0]}."
        beside = sum(name.startswith(prefix) for name in executor.run_by_task)
        if beside >= step.max_per_executor:
            return False
    return True


def allowed(
    executors: Iterable[room.Executor], task: state.Task, around: Surroundings
) -> list[room.Executor]:
    """Return the executors that have room for a task and may run it."""
    return [
        executor
        for executor in executors
        if executor.fits(task.step)
        and is_open(executor, around)
        and may_run(executor, task)
    ]
