"""Reference for placement: scans all workers for each decision.

Differential tests and benches compare the index with it. It keeps no index
and no state of its own.
"""

from typing import Any

from limpetstream import amounts
from limpetstream.batch import fleet, jobs, placement, worker_index


def capacities_by_worker(
    state: jobs.Jobs, tree: Any, instances: list[Any]
) -> dict[str, tuple[Any, tuple[str, ...], amounts.Amount, amounts.Amount]]:
    """Return instance, services, size and free capacity by worker id.

    They are summed up from all tasks, without the index.
    """
    by_worker = {}
    for instance in instances:
        if instance.role != "worker":
            continue
        executors = [
            each
            for each in instances
            if each.role == "backend" and each.worker == instance.id
        ]
        size, services = fleet.worker_size(instance, executors, tree)
        by_worker[instance.id] = (instance, services, size, size)
    for task in state.task_by_id.values():
        if task.state == "placed":
            instance, services, size, free = by_worker[task.worker]
            free = amounts.subtract(free, task.size)
            by_worker[task.worker] = (instance, services, size, free)
    return by_worker


def best_score(
    capacity_by_id: dict[str, worker_index.WorkerCapacity],
    request: placement.PlacementRequest,
) -> float | None:
    """Return the best score of all workers with enough capacity, or None."""
    best = _scan(capacity_by_id, request, keep_headroom=True)
    if best is None and request.may_use_headroom:
        best = _scan(capacity_by_id, request, keep_headroom=False)
    return best


def _scan(
    capacity_by_id: dict[str, worker_index.WorkerCapacity],
    request: placement.PlacementRequest,
    *,
    keep_headroom: bool,
) -> float | None:
    best = None
    for capacity in capacity_by_id.values():
        too_small = any(request.need[each] > capacity.free[each] for each in range(3))
        if keep_headroom:
            too_small = too_small or any(
                request.need[each] > capacity.estimated_free[each] for each in range(3)
            )
        if not too_small:
            score = placement.score(capacity, request)
            best = score if best is None else max(best, score)
    return best
