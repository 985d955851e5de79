"""Decides which executors may run a task, before they are scored."""

import dataclasses
from collections.abc import Collection

from limpetstream.executors import messages as executor_messages, tracking
from limpetstream.workflow import (
    capacity_forecast,
    interference,
    messages,
    state,
)

DATA_RACK_BONUS_CORES = 1000.0  # Off the data's rack a task takes far_x as long.
FULL_PACE_BONUS_CORES = 500.0  # Best-effort work prefers to keep its full speed.
FAILURE_PENALTY_CORES = 30.0  # Moves work away from executors where runs fail.
# Scoring an executor takes about 5 us, checking it 0.3 us (bench pass_cost).
CHECKS_PER_SCORE = 16
# More than all bonuses: an executor in doubt comes after every other one.
IN_DOUBT_PENALTY_CORES = 10_000.0
# Less than that: such an executor comes before those in doubt.
LONGEST_LEASE_PENALTY_CORES = 5_000.0
# Starts that wait at one executor. What changes meanwhile reaches only tasks
# that are not placed yet.
MAX_UNSENT_STARTS = 16
# Longer than a start in doubt may hold its task (design.md, 11.8).
IN_DOUBT_S = 10.0


@dataclasses.dataclass(slots=True)
class PlacementContext:
    """What a placement depends on besides the executors.

    Args:
        now: Monotonic time.
        service: Service that the configuration sends the queue to.
        closed_data_centres: Data centres that get no new work.
        min_polled_at: Monotonic time; executors must have answered a poll
            that was sent at this time or later.
        interference_model: How images slow each other down on one executor.
        forecasts: Forecasts of what best-effort work can expect.
        is_recorded: Whether the journal records that the job may have started.
        held_up_count: Number of executors that had room, but too many starts
            that are not sent yet.
        is_service_idle: Whether so little of the service is in use that
            best-effort work soon takes any executor; set where it is placed.
        eligible_count: Number of executors that were found to have room.
        scored_count: Number of executors that have been scored so far.
        checked_count: Number of executors and runs that have been checked.
    """

    now: float
    service: str
    closed_data_centres: frozenset[str]
    min_polled_at: float
    interference_model: interference.InterferenceModel
    forecasts: capacity_forecast.ForecastCache
    is_recorded: bool = True
    held_up_count: int = 0
    is_service_idle: bool = False
    eligible_count: int = 0
    scored_count: int = 0
    checked_count: int = 0

    @property
    def work(self) -> int:
        """Work done so far, in checks of one executor or run."""
        return self.checked_count + CHECKS_PER_SCORE * self.scored_count


def accepts_new_tasks(executor: tracking.Executor, context: PlacementContext) -> bool:
    """Return whether an executor may get a new task of the service now."""
    return executor.listing.service == context.service and is_available(
        executor, context
    )


def is_available(executor: tracking.Executor, context: PlacementContext) -> bool:
    """Return whether an executor may get a new task of its own service now."""
    listing = executor.listing
    return (
        executor.reached
        and executor.confirmed
        and executor.fenced
        and executor.recorded
        and executor.listed
        and has_current_entry(executor)
        and listing.state == executor_messages.READY
        and listing.data_centre not in context.closed_data_centres
        and executor.silent_since is None
        and not executor.unknown_runs
        and executor.polled_at >= context.min_polled_at
        and context.now >= executor.avoid_until
    )


def has_current_entry(executor: tracking.Executor) -> bool:
    """Return whether the entry is of the incarnation that answers the polls.

    An executor that restarts under its id may be of another kind, and its
    entry is read later than the replies to polls, or earlier.
    """
    if not (executor.born_ms and executor.listing.born_ms):
        return True  # One of the two does not tell its start.
    return executor.born_ms == executor.listing.born_ms


def is_in_doubt(executor: tracking.Executor, now: float) -> bool:
    """Return whether an executor has lately left a start without an answer.

    It may answer polls all the while. Tasks go there only if no other executor
    suits them.
    """
    return now - executor.doubted_at < IN_DOUBT_S


def has_longest_lease(
    executor: tracking.Executor, step: messages.Step, now: float
) -> bool:
    """Return whether a long-running task there may hold the longest lease.

    After a change of owner, it would wait for that lease if the executor could
    not be reached. Such tasks go there only if no other executor suits them.
    """
    return step.long_running and now < executor.longest_lease_expires_at


def is_avoided(executor: tracking.Executor, step: messages.Step, now: float) -> bool:
    """Return whether a task goes there only if no other executor suits it."""
    return is_in_doubt(executor, now) or has_longest_lease(executor, step, now)


def meets_constraints(executor: tracking.Executor, task: state.Task) -> bool:
    """Return whether an executor satisfies the task's placement constraints.

    The constraints are the required label and the limit on tasks of the same
    step on one executor.
    """
    step = task.step
    if step.required_label and step.required_label not in executor.listing.labels:
        return False
    return (
        not step.max_per_executor
        or executor.count_of_step(task) < step.max_per_executor
    )


def eligible_executors(
    executors: Collection[tracking.Executor],
    task: state.Task,
    context: PlacementContext,
) -> list[tracking.Executor]:
    """Return the executors that may run a task and have capacity for it."""
    context.checked_count += len(executors)
    step, service = task.step, context.service
    is_constrained = bool(step.required_label or step.max_per_executor)
    eligible = [
        executor
        for executor in executors
        if executor.fits(step)
        and executor.listing.service == service
        and is_available(executor, context)
        and (not is_constrained or meets_constraints(executor, task))
        and not _is_held_up(executor, task, context)
    ]
    context.eligible_count += len(eligible)
    return eligible


def _is_held_up(
    executor: tracking.Executor, task: state.Task, context: PlacementContext
) -> bool:
    """Return whether a start would wait for many others; note it if so.

    A gang starts as a whole, however many starts that takes.
    """
    if task.step.gang or not has_long_start_queue(executor, context):
        return False
    executor.turned_away = True
    context.held_up_count += 1
    return True


def has_long_start_queue(
    executor: tracking.Executor, context: PlacementContext
) -> bool:
    """Return whether many starts wait at an executor.

    Those that wait for the journal hold up only others that would.
    """
    waiting = len(executor.unsent_runs)
    if not context.is_recorded:
        waiting += len(executor.unrecorded_runs)
    return waiting >= MAX_UNSENT_STARTS


def reason_against(
    executor: tracking.Executor,
    step: messages.Step,
    service: str,
    closed_data_centres: Collection[str],
) -> str:
    """Return why an executor no longer suits a task that was placed there.

    Args:
        executor: The executor.
        step: Step of the task.
        service: Service that the configuration sends the task to.
        closed_data_centres: Data centres that get no new work.

    Returns:
        The reason; empty if it still suits the task.
    """
    listing = executor.listing
    if listing.data_centre in closed_data_centres:
        return "the data centre is closed"
    if not executor.listed or listing.state != executor_messages.READY:
        return "the executor is leaving"
    if listing.service != service:
        return "the executor works for another service"
    if step.required_label and step.required_label not in listing.labels:
        return "the executor has another label"
    return ""
