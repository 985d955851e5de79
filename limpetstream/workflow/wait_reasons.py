"""Why a task does not run on an executor, for logs."""

from collections import Counter
from collections.abc import Iterable

from limpetstream.executors import messages as executor_messages, tracking
from limpetstream.workflow import eligibility, state

PACE_TOO_LOW = "pace too low"  # Filling work waits for a place where it keeps pace.


def closed_reason(
    executor: tracking.Executor, around: eligibility.PlacementContext
) -> str:
    """Return why an executor gets no new task now; empty if it may.

    The checks are those of ``eligibility.accepts_new_tasks``, in its order.

    Args:
        executor: Executor to look at.
        around: What decides besides the executor.
    """
    listing = executor.listing
    for holds, reason in (
        (executor.reached, "not reached yet"),
        (executor.recorded, "not in the journal yet"),
        (executor.listed, "not listed any more"),
        (listing.state == executor_messages.READY, "leaving"),
        (listing.service == around.service, "another service"),
        (
            listing.data_centre not in around.closed_data_centres,
            "data centre closed",
        ),
        (executor.silent_since is None, "silent"),
        (not executor.unknown_runs, "holds unknown runs"),
        (executor.polled_at >= around.min_polled_at, "look too old"),
        (around.now >= executor.avoid_until, "avoided after a failed order"),
    ):
        if not holds:
            return reason
    return ""


def missing_requirement(executor: tracking.Executor, task: state.Task) -> str:
    """Return what an open executor lacks for a task; empty if nothing."""
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
    return ""


def count_reasons(
    executors: Iterable[tracking.Executor],
    task: state.Task,
    around: eligibility.PlacementContext,
) -> dict[str, int]:
    """Return how many executors a task can not use now, for each reason.

    An executor that the task could use counts as ``none``: its turn has not
    come, or filling work would not keep its pace there.

    Args:
        executors: All executors.
        task: Task that waits.
        around: What decides besides them.
    """
    free = PACE_TOO_LOW if task.step.fills else "none"
    return dict(
        Counter(
            closed_reason(executor, around)
            or missing_requirement(executor, task)
            or free
            for executor in executors
        )
    )
