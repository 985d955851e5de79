"""Why a task does not run on an executor, for logs."""

from collections import Counter
from collections.abc import Iterable

from limpetstream.executors import messages as executor_messages, room
from limpetstream.workflow import eligibility, state

PACE_TOO_LOW = "pace too low"  # Filling work waits for a place where it keeps pace.


def closed_by(executor: room.Executor, around: eligibility.Surroundings) -> str:
    """Return why an executor gets no new task now; empty if it may.

    The checks are those of ``eligibility.is_open``, in the same order.

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
        (not executor.strangers, "holds unknown runs"),
        (executor.looked_at >= around.fresh_after, "look too old"),
        (around.now >= executor.avoid_until, "avoided after a failed order"),
    ):
        if not holds:
            return reason
    return ""


def lacks(executor: room.Executor, task: state.Task) -> str:
    """Return what an open executor lacks for a task; empty if nothing."""
    step, capacity = task.step, executor.listing.capacity
    if step.required_label and step.required_label not in executor.listing.labels:
        return "label"
    if not eligibility.may_run(executor, task):
        return "spread limit"
    if executor.used_memory + step.memory_mb > capacity.memory_mb:
        return "memory"
    if executor.used_accelerators + step.accelerators > capacity.accelerators:
        return "accelerators"
    if not executor.fits(step):
        return "processors"
    return ""


def count_reasons(
    executors: Iterable[room.Executor],
    task: state.Task,
    around: eligibility.Surroundings,
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
            closed_by(executor, around) or lacks(executor, task) or free
            for executor in executors
        )
    )
