"""Explains for logs why a waiting task does not run on an executor.

The reasons are keys in the field ``executors`` of the event ``task-waits``.
Operators look them up, so their texts stay the same when terms in the code
change: a "look" is a poll, and an "order" is a request to start a run.
"""

from collections import Counter
from collections.abc import Iterable

from limpetstream.executors import messages as executor_messages, tracking
from limpetstream.workflow import eligibility, state

# Pace is how fast a best-effort run may work, in percent of full speed. A
# best-effort task waits for an executor that gives it a sufficient pace.
PACE_TOO_LOW = "pace too low"
# A start would exceed what the organisation of the task may have running.
ORGANISATION_LIMIT = "limit of the organisation"


def closed_reason(
    executor: tracking.Executor, context: eligibility.PlacementContext
) -> str:
    """Return why an executor accepts no new task now; empty if it does.

    The checks and their order are those of ``eligibility.accepts_new_tasks``,
    and a test compares the results. The first check that fails is the reason.

    Args:
        executor: Executor to check.
        context: What a placement depends on besides the executors.
    """
    listing = executor.listing
    for holds, reason in (
        (executor.reached, "not reached yet"),
        (executor.confirmed, "no append since its first answer"),
        (executor.fenced, "calls to its former process may take effect"),
        (executor.recorded, "not in the journal yet"),
        (executor.listed, "not listed any more"),
        (listing.state == executor_messages.READY, "leaving"),
        (listing.service == context.service, "another service"),
        (
            listing.data_centre not in context.closed_data_centres,
            "data centre closed",
        ),
        (executor.silent_since is None, "silent"),
        (not executor.unknown_runs, "holds unknown runs"),
        (executor.polled_at >= context.min_polled_at, "look too old"),
        (context.now >= executor.avoid_until, "avoided after a failed order"),
    ):
        if not holds:
            return reason
    return ""


def missing_requirement(executor: tracking.Executor, task: state.Task) -> str:
    """Return the first requirement of a task that an executor does not meet.

    Args:
        executor: Executor that accepts new tasks.
        task: Task that waits.

    Returns:
        Name of the requirement; empty if the executor meets all of them.
    """
    step, capacity = task.step, executor.listing.capacity
    if step.required_label and step.required_label not in executor.listing.labels:
        return "label"
    if not eligibility.meets_constraints(executor, task):
        return "spread limit"
    if executor.reserved_memory_mb + step.memory_mb > capacity.memory_mb:
        return "memory"
    if executor.reserved_accelerators + step.accelerators > capacity.accelerators:
        return "accelerators"
    if not executor.fits(step):
        return "processors"
    if len(executor.unsent_runs) >= eligibility.MAX_UNSENT_STARTS:
        return "starts wait there"
    return ""


def count_reasons(
    executors: Iterable[tracking.Executor],
    task: state.Task,
    context: eligibility.PlacementContext,
    *,
    is_held_back: bool = False,
) -> dict[str, int]:
    """Return how many executors a task cannot use now, by reason.

    An executor that accepts new tasks and meets all requirements counts as
    ``none``, that is no reason: the task has not had its turn yet. If the task
    is best-effort (``fills``), the executor counts as ``PACE_TOO_LOW`` instead
    without a check of the pace, so the task may also not have had its turn.

    Args:
        executors: All executors.
        task: Task that waits.
        context: What a placement depends on besides the executors.
        is_held_back: Whether the limit of the task's organisation holds it
            back. That is the only reason then, whatever the executors run.
    """
    if is_held_back:
        return {ORGANISATION_LIMIT: sum(1 for _ in executors)}
    suitable = PACE_TOO_LOW if task.step.fills else "none"
    return dict(
        Counter(
            closed_reason(executor, context)
            or missing_requirement(executor, task)
            or suitable
            for executor in executors
        )
    )
