"""Which executors a task may run on at all."""

import dataclasses
from collections.abc import Iterable

from limpetstream.executors import messages as executor_messages, tracking
from limpetstream.workflow import capacity_forecast, interference, state

DATA_RACK_BONUS_CORES = 1000.0  # Off the data's rack a task takes far_x as long.
FULL_PACE_BONUS_CORES = 500.0  # Filling work goes where it keeps its speed first.
FAILURE_PENALTY_CORES = 30.0  # Moves work away from an executor that fails runs.


@dataclasses.dataclass(slots=True)
class PlacementContext:
    """What placement depends on besides the executors.

    Args:
        now: Monotonic time.
        service: Service that the configuration sends the queue to.
        closed_data_centres: Data centres that get no new work.
        min_polled_at: Executors must have answered a look sent after this
            monotonic time.
        interference_model: What is known of images beside each other.
        forecasts: Forecasts for filling work.
        scored_count: Executors that were compared with others so far.
    """

    now: float
    service: str
    closed_data_centres: frozenset[str]
    min_polled_at: float
    interference_model: interference.InterferenceModel
    forecasts: capacity_forecast.ForecastCache
    scored_count: int = 0


def accepts_new_tasks(executor: tracking.Executor, around: PlacementContext) -> bool:
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
        and not executor.unknown_runs
        and executor.polled_at >= around.min_polled_at
        and around.now >= executor.avoid_until
    )


def meets_constraints(executor: tracking.Executor, task: state.Task) -> bool:
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


def eligible_executors(
    executors: Iterable[tracking.Executor], task: state.Task, around: PlacementContext
) -> list[tracking.Executor]:
    """Return the executors that have room for a task and may run it."""
    return [
        executor
        for executor in executors
        if executor.fits(task.step)
        and accepts_new_tasks(executor, around)
        and meets_constraints(executor, task)
    ]
