"""Where a task runs: which executors may, and which one is best."""

import itertools
import zlib
from collections.abc import Iterable, Iterator

from limpetstream.executors import tracking
from limpetstream.workflow import best_effort, eligibility, messages, state

# Serving work of one image is packed: filling work that does not disturb it
# then has executors where nothing else is disturbed either.
SAME_IMAGE_BONUS_CORES = 100.0
# Other work goes beside serving work first: it does not disturb it.
BESIDE_SERVING_BONUS_CORES = 200.0
SAME_RACK_BONUS_CORES = 500.0
# Weighing one executor costs 5 us and more (bench filling_cost); hundreds for
# each task would hold up the looks that keep leases.
BATCH_SIZE = 40
BATCH_ROTATION_S = 0.2  # How long a task begins at the same executor.


def choose(
    executors: Iterable[tracking.Executor],
    task: state.Task,
    around: eligibility.PlacementContext,
) -> tracking.Executor | None:
    """Return the best executor for a task; None if none has room.

    Args:
        executors: Executors to choose from.
        task: Task to place.
        around: What else decides.
    """
    executors = list(executors)
    racks: frozenset[str] = frozenset()
    if task.step.rack_sensitive:
        racks = _labels_of_step(executors, task)
    groups: Iterable[list[tracking.Executor]] = [executors]
    if not _is_bound(task.step):
        groups = candidate_batches(executors, task.name, around.now)
    if task.step.fills:
        # It is costly to weigh, and tried again 0.2 s later elsewhere.
        groups = itertools.islice(groups, 1)
    for group in groups:
        allowed = eligibility.eligible_executors(group, task, around)
        around.scored_count += len(allowed)
        if task.step.fills:
            chosen = best_effort.choose(allowed, task, around)
        else:
            chosen = max(
                allowed,
                key=lambda executor: _score(executor, task, racks),
                default=None,
            )
        if chosen is not None:
            return chosen
    return None


def candidate_batches(
    executors: list[tracking.Executor], name: str, now: float
) -> Iterator[list[tracking.Executor]]:
    """Yield the executors in groups, in the order in which a task looks.

    A task is content with the best one of the first group that has any. Where
    a task has no room, finding that out costs little.

    Args:
        executors: All executors.
        name: Name of the task; tasks begin at different ones.
        now: Monotonic time.
    """
    if len(executors) <= BATCH_SIZE:
        yield executors
        return
    start = zlib.crc32(f"{name} {int(now / BATCH_ROTATION_S)}".encode()) % len(
        executors
    )
    turned = executors[start:] + executors[:start]
    for first in range(0, len(turned), BATCH_SIZE):
        yield turned[first : first + BATCH_SIZE]


def _is_bound(step: messages.Step) -> bool:
    """Return whether few executors may suit a step, so that all count."""
    return bool(step.required_label or step.data_rack or step.rack_sensitive)


def _share_of_image(executor: tracking.Executor, image: str) -> float:
    """Return which share of the serving runs has an image; -0.5 if none."""
    serving = executor.serving_runs()
    if not serving:
        return 0.0
    same = sum(run.task.step.image == image for run in serving)
    return same / len(serving) if same else -0.5


def _score(
    executor: tracking.Executor, task: state.Task, racks: frozenset[str]
) -> float:
    step = task.step
    free = (
        executor.listing.capacity.cpu_millicores - executor.reserved_millicores
    ) / 1000
    fill = executor.best_effort_millicores / 1000
    if step.tail_target_ms:
        score = -free - fill
        score += SAME_IMAGE_BONUS_CORES * _share_of_image(executor, step.image)
    else:
        score = free - fill
        if executor.serving_runs():
            score += BESIDE_SERVING_BONUS_CORES
    if step.data_rack and step.data_rack in executor.listing.labels:
        score += eligibility.DATA_RACK_BONUS_CORES
    if racks:
        # All executors may share their kind; only those of a rack share more.
        shared = len(racks.intersection(executor.listing.labels))
        score += SAME_RACK_BONUS_CORES * shared
    return score - eligibility.FAILURE_PENALTY_CORES * executor.failure_score


def _labels_of_step(
    executors: Iterable[tracking.Executor], task: state.Task
) -> frozenset[str]:
    """Return the labels of the executors that run the step's other tasks."""
    prefix = f"{task.name.rpartition('.')[0]}."
    return frozenset(
        label
        for executor in executors
        if any(name.startswith(prefix) for name in executor.run_by_task)
        for label in executor.listing.labels
    )


def order_key(
    task: state.Task, priority: int, due_ms: float, *, backlog: bool = False
) -> tuple[int, int, float]:
    """Return the place of a task in the line for room.

    Tasks that last come first, since they must be at work soon however full
    the service is; then the queue's priority, then the job that is due first.

    Args:
        task: Task that waits.
        priority: Priority of its queue; 0 comes first.
        due_ms: Unix milliseconds at which its job should be finished.
        backlog: Whether short work has waited too long: it then goes before
            work that lasts, which holds its room for good and has just begun
            to wait.
    """
    if task.step.long_running:
        return 2 if backlog else 0, priority, due_ms
    return 1, priority, due_ms
