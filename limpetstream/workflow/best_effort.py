"""Where filling work runs: beside serving work that it does not disturb.

Filling work is slowed whenever it would bring serving work over the limit, so
what counts is how much of its speed a task can expect to keep.
"""

from collections.abc import Iterable

from limpetstream.executors import tracking
from limpetstream.workflow import eligibility, state

# Paces of 0.7, 0.9 and 0.98 were compared over eight days (MEASUREMENTS.md);
# the shares are those of the time before paces were predicted.
MIN_CPU_SHARE = 0.75  # Filling work waits rather than share processors more.
MIN_PACE = 0.98  # It waits rather than be slowed for serving work.
FULL_PACE_WAIT_S = 4.0  # Then it is content with less.
RELAXED_MIN_CPU_SHARE = 0.5
RELAXED_MIN_PACE = 0.85
MIN_PACE_DECREASE_PER_S = (
    0.04  # Less by this for each further second, so that all runs.
)
# A service that uses less of its processors counts as idle: work then does not
# wait for a better place.
IDLE_CPU_SHARE = 0.6
IDLE_SERVICE_WAIT_S = 1.5


def choose(
    allowed: list[tracking.Executor],
    task: state.Task,
    around: eligibility.PlacementContext,
) -> tracking.Executor | None:
    """Return the executor for a filling task; None if it had better wait.

    Args:
        allowed: Executors that have room for it and may run it.
        task: Filling task to place.
        around: What else decides.
    """
    calm = [executor for executor in allowed if not _is_over_target(executor)]
    if not calm:
        return None
    waited_s = around.now - task.ready_at
    ranked = sorted(
        (_Place(executor, task, around) for executor in calm),
        key=lambda place: place.score,
        reverse=True,
    )
    if waited_s >= IDLE_SERVICE_WAIT_S and _used_share(allowed) < IDLE_CPU_SHARE:
        return ranked[0].executor
    least_share, least_pace = MIN_CPU_SHARE, MIN_PACE
    if waited_s >= FULL_PACE_WAIT_S:
        further_s = waited_s - FULL_PACE_WAIT_S
        least_share = RELAXED_MIN_CPU_SHARE
        least_pace = RELAXED_MIN_PACE - MIN_PACE_DECREASE_PER_S * further_s
    for place in ranked:
        if place.share >= least_share and place.pace >= least_pace:
            if _may_probe(place.executor, task, around):
                return place.executor
    return None


def has_better_executor(
    executors: Iterable[tracking.Executor],
    task: state.Task,
    around: eligibility.PlacementContext,
) -> bool:
    """Return whether a filling task would get its speed somewhere else."""
    others = [each for each in executors if task.name not in each.run_by_task]
    for executor in eligibility.eligible_executors(others, task, around):
        place = _Place(executor, task, around)
        if place.share < MIN_CPU_SHARE or place.pace < MIN_PACE:
            continue
        if not _is_over_target(executor) and _may_probe(executor, task, around):
            return True
    return False


class _Place:
    """What a filling task can expect on one executor."""

    __slots__ = ("executor", "pace", "score", "share")

    def __init__(
        self,
        executor: tracking.Executor,
        task: state.Task,
        around: eligibility.PlacementContext,
    ) -> None:
        expected = around.forecasts.of(executor, around.interference_model, around.now)
        self.executor = executor
        self.share = expected.share(task.step)
        self.pace = expected.pace(task.step)
        self.score = expected.spare_cores - expected.best_effort_cores
        self.score += eligibility.FULL_PACE_BONUS_CORES * self.pace
        rack = task.step.data_rack
        if rack and rack in executor.listing.labels:
            self.score += eligibility.DATA_RACK_BONUS_CORES
        self.score -= eligibility.FAILURE_PENALTY_CORES * executor.failure_score


def _is_over_target(executor: tracking.Executor) -> bool:
    """Return whether a serving task there is over its target now.

    Filling work that starts there would work on while the rest is paused.
    """
    return any(run.over_target_since is not None for run in executor.serving_runs())


def _used_share(executors: list[tracking.Executor]) -> float:
    """Return the part of the processors that is reserved or filled."""
    used = sum(
        min(
            each.reserved_millicores + each.best_effort_millicores,
            each.listing.capacity.cpu_millicores,
        )
        for each in executors
    )
    there = sum(each.listing.capacity.cpu_millicores for each in executors)
    return used / max(1, there)


def _may_probe(
    executor: tracking.Executor, task: state.Task, around: eligibility.PlacementContext
) -> bool:
    """Return whether a filling task may go beside images not known to it."""
    return all(
        around.interference_model.may_probe(
            run.task.step.image, task.step.image, around.now
        )
        for run in executor.serving_runs()
    )
