"""Places best-effort work beside serving work that it does not overload.

Best-effort work uses only CPU that other work leaves unused, and it is slowed
down whenever it would bring serving work over its limit. Executors are
therefore compared by how much of its speed a task can expect to keep.
"""

import dataclasses
import operator
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from limpetstream.executors import messages as executor_messages, tracking
from limpetstream.workflow import capacity_forecast, eligibility, state

# Below these values a task waits. Minimum paces of 0.7, 0.9 and 0.98 were
# compared over eight days (MEASUREMENTS.md).
MIN_CPU_SHARE = 0.75
MIN_PACE = 0.98
# A task that has waited this long accepts the relaxed values below.
FULL_PACE_WAIT_S = 4.0
RELAXED_MIN_CPU_SHARE = 0.5
RELAXED_MIN_PACE = 0.85
# Each further second lowers the relaxed pace by this, so that every task runs
# in the end.
MIN_PACE_DECREASE_PER_S = 0.04
# A service that uses a smaller share of its CPU counts as idle. Tasks may not
# wait for 3 s while less than half of their service is in use.
IDLE_CPU_SHARE = 0.6
# Work then waits only this long for a better executor.
IDLE_SERVICE_WAIT_S = 1.5


@dataclasses.dataclass(slots=True)
class ServiceUse:
    """How much of the CPU of a service is in use.

    Args:
        used_millicores: CPU that is reserved or that best-effort runs use at
            full speed.
        total_millicores: CPU of all executors that take part.
    """

    used_millicores: int = 0
    total_millicores: int = 0

    @property
    def is_idle(self) -> bool:
        """Whether work need not wait for a better executor."""
        return self.used_millicores < IDLE_CPU_SHARE * self.total_millicores


def measure_use(
    executors: Iterable[tracking.Executor], context: eligibility.PlacementContext
) -> ServiceUse:
    """Return the use of the service; an executor counts as full at most.

    Args:
        executors: All executors; those count that the service can use.
        context: Names the service; the work is counted there.
    """
    use = ServiceUse()
    for executor in executors:
        context.checked_count += 1
        listing = executor.listing
        if (
            listing.service == context.service
            and listing.state == executor_messages.READY
            and listing.data_centre not in context.closed_data_centres
            and executor.reached
            and executor.silent_since is None
        ):
            capacity = listing.capacity.cpu_millicores
            used = executor.reserved_millicores + executor.best_effort_millicores
            use.used_millicores += min(used, capacity)
            use.total_millicores += capacity
    return use


def choose(
    allowed: list[tracking.Executor],
    task: state.Task,
    context: eligibility.PlacementContext,
) -> tracking.Executor | None:
    """Return the executor for a best-effort task; None if it should wait.

    Args:
        allowed: Executors that may run the task and have capacity for it.
        task: Best-effort task to place.
        context: What else the placement depends on.
    """
    # Work that started beside a serving task over its target would run while
    # the other best-effort work there is paused.
    within_target = [
        executor for executor in allowed if not executor.has_run_over_target()
    ]
    if not within_target:
        return None
    ranked = _ranked(within_target, task, context)
    if accepts_any_executor(task, context):
        return ranked[0].executor
    waited_s = state.waited_s(task, context.now)
    min_cpu_share, min_pace = MIN_CPU_SHARE, MIN_PACE
    if waited_s >= FULL_PACE_WAIT_S:
        further_s = waited_s - FULL_PACE_WAIT_S
        min_cpu_share = RELAXED_MIN_CPU_SHARE
        min_pace = RELAXED_MIN_PACE - MIN_PACE_DECREASE_PER_S * further_s
    for candidate in ranked:
        if candidate.pace < min_pace:
            continue
        if candidate.expected.cpu_share(task.step) >= min_cpu_share:
            if _may_probe(candidate.executor, task, context):
                return candidate.executor
    return None


def must_run_soon(task: state.Task, context: eligibility.PlacementContext) -> bool:
    """Return whether a best-effort task may not wait for a calmer service.

    A task that lasts may not, however full the service is.
    """
    return context.is_service_idle or task.step.long_running


def accepts_any_executor(
    task: state.Task, context: eligibility.PlacementContext
) -> bool:
    """Return whether a best-effort task no longer waits for speed."""
    waited_s = state.waited_s(task, context.now)
    return must_run_soon(task, context) and waited_s >= IDLE_SERVICE_WAIT_S


def choose_over_target(
    allowed: list[tracking.Executor],
    task: state.Task,
    context: eligibility.PlacementContext,
) -> tracking.Executor | None:
    """Return the best executor, also beside serving work over its target.

    A run that starts there is paused at once (``shard.pacing``). That is
    better than none only for a task that accepts any executor.

    Args:
        allowed: Executors that may run the task and have capacity for it.
        task: Best-effort task to place.
        context: What else the placement depends on.
    """
    if not allowed or not accepts_any_executor(task, context):
        return None
    return _ranked(allowed, task, context)[0].executor


def stage_of_wait(waited_s: float) -> int:
    """Return a number that rises with each further thing a task accepts.

    The pace is accepted in steps of ``FULL_PACE_WAIT_S``: tasks that have
    waited for about as long count as equal.

    >>> [stage_of_wait(waited_s) for waited_s in (0.2, 1.5, 3.9, 4.0, 8.0)]
    [0, 1, 1, 2, 3]
    """
    steps = int(waited_s / FULL_PACE_WAIT_S)
    return steps + (waited_s >= IDLE_SERVICE_WAIT_S)


def has_better_executor(
    executors: Iterable[tracking.Executor],
    task: state.Task,
    context: eligibility.PlacementContext,
) -> bool:
    """Return whether a best-effort task could run at full pace elsewhere."""
    others = [
        executor for executor in executors if task.name not in executor.run_by_task
    ]
    eligible = eligibility.eligible_executors(others, task, context)
    for candidate in _candidates(eligible, task, context):
        context.scored_count += 1
        executor = candidate.executor
        if candidate.pace < MIN_PACE:
            continue
        if candidate.expected.cpu_share(task.step) < MIN_CPU_SHARE:
            continue
        if eligibility.is_in_doubt(executor, context.now):
            continue
        if not executor.has_run_over_target() and _may_probe(executor, task, context):
            return True
    return False


class _Candidate(NamedTuple):
    """What a best-effort task can expect on one executor.

    Args:
        score: How well the executor suits the task; higher is better.
        executor: Executor.
        pace: Share, up to 1, of its speed that the task can keep.
        expected: Forecast of the executor.
    """

    score: float
    executor: tracking.Executor
    pace: float
    expected: capacity_forecast.CapacityForecast


def _candidates(
    executors: Iterable[tracking.Executor],
    task: state.Task,
    context: eligibility.PlacementContext,
) -> Iterator[_Candidate]:
    """Yield what a best-effort task can expect on each of the executors."""
    step, rack, now = task.step, task.step.data_rack, context.now
    model, forecast_of = context.interference_model, context.forecasts.get
    is_calm = state.waited_s(task, now) < FULL_PACE_WAIT_S
    for executor in executors:
        expected = forecast_of(executor, model, now)
        pace = expected.pace(step, calm=is_calm)
        score = expected.spare_cores - expected.best_effort_cores
        score += eligibility.FULL_PACE_BONUS_CORES * pace
        if rack and rack in executor.listing.labels:
            score += eligibility.DATA_RACK_BONUS_CORES
        score -= eligibility.FAILURE_PENALTY_CORES * executor.failure_score
        if eligibility.is_in_doubt(executor, now):
            score -= eligibility.IN_DOUBT_PENALTY_CORES
        elif eligibility.has_longest_lease(executor, step, now):
            score -= eligibility.LONGEST_LEASE_PENALTY_CORES
        yield _Candidate(score, executor, pace, expected)


def _ranked(
    executors: list[tracking.Executor],
    task: state.Task,
    context: eligibility.PlacementContext,
) -> list[_Candidate]:
    """Return what a task can expect on executors, the best one first."""
    context.scored_count += len(executors)
    return sorted(
        _candidates(executors, task, context),
        key=operator.itemgetter(0),
        reverse=True,
    )


def _may_probe(
    executor: tracking.Executor,
    task: state.Task,
    context: eligibility.PlacementContext,
) -> bool:
    """Return whether a task may run beside the serving images there.

    A pair of images whose interference is unknown is tried by one run at a
    time.
    """
    return all(
        context.interference_model.may_probe(
            run.task.step.image, task.step.image, context.now
        )
        for run in executor.serving_runs()
    )
