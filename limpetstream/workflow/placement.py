"""Selects the executor for a task, and orders the tasks that wait for one."""

import zlib
from collections.abc import Iterable, Iterator

from limpetstream.executors import tracking
from limpetstream.workflow import best_effort, eligibility, messages, state

# Packs serving work of one image on the same executors. Best-effort work that
# does not slow this image down then finds executors where it slows nothing
# else down either.
SAME_IMAGE_BONUS_CORES = 100.0
# Other work goes beside serving work first because it does not slow it down.
BESIDE_SERVING_BONUS_CORES = 200.0
SAME_RACK_BONUS_CORES = 500.0
# Scoring one executor takes 5 us or more (bench filling_cost). Scoring
# hundreds for each task would delay the polls that renew leases.
BATCH_SIZE = 40
BATCH_ROTATION_S = 0.2  # For this time, a task starts at the same executor.


def choose(
    executors: Iterable[tracking.Executor],
    task: state.Task,
    context: eligibility.PlacementContext,
    *,
    accepts_doubt: bool = True,
) -> tracking.Executor | None:
    """Return the best executor for a task; None if no executor suits it now.

    Args:
        executors: Executors to choose from.
        task: Task to place.
        context: What else the placement depends on.
        accepts_doubt: Whether to return an executor in doubt if no other one
            suits the task.
    """
    if not isinstance(executors, list):
        executors = list(executors)
    rack_labels: frozenset[str] = frozenset()
    if task.step.rack_sensitive:
        rack_labels = _labels_of_step(executors, task)
        context.checked_count += len(executors)
    batches: Iterable[list[tracking.Executor]] = [executors]
    if not _has_few_candidates(task.step):
        batches = candidate_batches(executors, task.name, context.now)
    in_doubt = fallback = None  # Avoided; a fallback is not in doubt.
    with_room: list[tracking.Executor] = []
    scored_before = context.scored_count
    for number, batch in enumerate(batches):
        if task.step.fills and number:
            # Scoring is expensive for best-effort work, and the next pass,
            # 0.2 s later, starts at other executors.
            scored = context.scored_count - scored_before
            if scored >= BATCH_SIZE or not best_effort.must_run_soon(task, context):
                break
        if fallback is not None:
            # Only a better one is looked for, so no other one is scored.
            context.checked_count += len(batch)
            batch = _not_avoided(batch, task, context.now)
        allowed = eligibility.eligible_executors(batch, task, context)
        with_room = with_room or allowed
        chosen = _choose_eligible(allowed, task, rack_labels, context)
        if chosen is None:
            continue
        if not eligibility.is_avoided(chosen, task.step, context.now):
            return chosen
        if eligibility.is_in_doubt(chosen, context.now):
            in_doubt = in_doubt or chosen
        else:
            fallback = chosen
    if task.step.fills and fallback is None and in_doubt is None:
        return best_effort.choose_over_target(with_room, task, context)
    return fallback or (in_doubt if accepts_doubt else None)


def _choose_eligible(
    executors: list[tracking.Executor],
    task: state.Task,
    rack_labels: frozenset[str],
    context: eligibility.PlacementContext,
) -> tracking.Executor | None:
    """Return the best of the executors that have room for a task."""
    if task.step.fills:
        return best_effort.choose(executors, task, context)
    context.scored_count += len(executors)
    return max(
        executors,
        key=lambda executor: _score(executor, task, rack_labels, context.now),
        default=None,
    )


def _not_avoided(
    executors: list[tracking.Executor], task: state.Task, now: float
) -> list[tracking.Executor]:
    """Return the executors that a task does not avoid."""
    return [
        executor
        for executor in executors
        if not eligibility.is_avoided(executor, task.step, now)
    ]


def candidate_batches(
    executors: list[tracking.Executor], name: str, now: float
) -> Iterator[list[tracking.Executor]]:
    """Yield the executors in batches, in the order in which a task tries them.

    A task takes the best executor of the first batch that has a suitable one.
    Only suitable executors are scored, so a batch without any costs little.

    Args:
        executors: All executors.
        name: Name of the task; different tasks start at different executors.
        now: Monotonic time.
    """
    if len(executors) <= BATCH_SIZE:
        yield executors
        return
    count = len(executors)
    start = zlib.crc32(f"{name} {int(now / BATCH_ROTATION_S)}".encode()) % count
    for first in range(start, start + count, BATCH_SIZE):
        stop = min(first + BATCH_SIZE, start + count)
        # Positions from ``count`` on are those from the start of the list.
        around = executors[max(0, first - count) : max(0, stop - count)]
        yield executors[first:stop] + around


def _has_few_candidates(step: messages.Step) -> bool:
    """Return whether only few executors may suit a step.

    All executors are then compared at once, not in batches.
    """
    return bool(step.required_label or step.data_rack or step.rack_sensitive)


def _share_of_image(executor: tracking.Executor, image: str) -> float:
    """Return the share of the serving runs on an executor that use an image.

    Returns:
        Share from 0 to 1: 0 if there are no serving runs. -0.5 if there are
        serving runs, but none of them uses the image.
    """
    serving = executor.serving_runs()
    if not serving:
        return 0.0
    same = sum(run.task.step.image == image for run in serving)
    return same / len(serving) if same else -0.5


def _score(
    executor: tracking.Executor,
    task: state.Task,
    rack_labels: frozenset[str],
    now: float,
) -> float:
    """Return how well an executor suits a task, in cores; higher is better."""
    step = task.step
    free = (
        executor.listing.capacity.cpu_millicores - executor.reserved_millicores
    ) / 1000
    best_effort_cores = executor.best_effort_millicores / 1000
    if step.tail_target_ms:
        score = -free - best_effort_cores
        score += SAME_IMAGE_BONUS_CORES * _share_of_image(executor, step.image)
    else:
        score = free - best_effort_cores
        if executor.serving_runs():
            score += BESIDE_SERVING_BONUS_CORES
    if step.data_rack and step.data_rack in executor.listing.labels:
        score += eligibility.DATA_RACK_BONUS_CORES
    if rack_labels:
        # Executors of one kind share that label; only executors on the same
        # rack share more.
        shared = len(rack_labels.intersection(executor.listing.labels))
        score += SAME_RACK_BONUS_CORES * shared
    if eligibility.is_in_doubt(executor, now):
        score -= eligibility.IN_DOUBT_PENALTY_CORES
    elif eligibility.has_longest_lease(executor, step, now):
        score -= eligibility.LONGEST_LEASE_PENALTY_CORES
    return score - eligibility.FAILURE_PENALTY_CORES * executor.failure_score


def _labels_of_step(
    executors: Iterable[tracking.Executor], task: state.Task
) -> frozenset[str]:
    """Return the labels of the executors that run the step's other tasks."""
    return frozenset(
        label
        for executor in executors
        if executor.count_of_step(task)
        for label in executor.listing.labels
    )


def order_key(
    task: state.Task, priority: int, due_ms: float, *, backlog: bool = False
) -> tuple[int, int, float]:
    """Return the sort key of a waiting task; the lowest key is placed first.

    Long-running tasks come first because they must start soon even when the
    service is full. Then the priority of the queue counts, then the time at
    which the job is due.

    Args:
        task: Task that waits.
        priority: Priority of its queue; 0 comes first.
        due_ms: Unix milliseconds at which its job should be finished.
        backlog: Whether short tasks have waited too long. They then come
            before long-running tasks, which keep their capacity until they
            are cancelled and have only begun to wait.
    """
    if task.step.long_running:
        return 2 if backlog else 0, priority, due_ms
    return 1, priority, due_ms
