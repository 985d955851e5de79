"""Naive scheduler: one full scan per decision, computed from raw lists.

It is the reference of differential tests; it keeps no index and no state of
its own.
"""

from typing import Any

from limpetstream.batch import fleet, jobs, placement, quotas, worker_index


def capacities_by_worker(
    state: jobs.Jobs, tree: Any, instances: list[Any]
) -> dict[str, tuple[Any, tuple[str, ...], quotas.Amount, quotas.Amount]]:
    """Return size and free room of every worker, summed up from scratch."""
    result = {}
    for instance in instances:
        if instance.role != "worker":
            continue
        executors = [
            one
            for one in instances
            if one.role == "backend" and one.worker == instance.id
        ]
        size, services = fleet.worker_size(instance, executors, tree)
        result[instance.id] = (instance, services, size, size)
    for task in state.task_by_id.values():
        if task.state == "placed":
            instance, services, size, free = result[task.worker]
            free = quotas.subtract(free, task.size)
            result[task.worker] = (instance, services, size, free)
    return result


def best_score(
    rooms_by_id: dict[str, worker_index.WorkerCapacity],
    wish: placement.PlacementRequest,
) -> float | None:
    """Return the best score of all workers that have room, or None."""
    best = _scan(rooms_by_id, wish, margins=True)
    if best is None and wish.may_use_headroom:
        best = _scan(rooms_by_id, wish, margins=False)
    return best


def _scan(
    rooms_by_id: dict[str, worker_index.WorkerCapacity],
    wish: placement.PlacementRequest,
    *,
    margins: bool,
) -> float | None:
    best = None
    for room in rooms_by_id.values():
        short = any(wish.need[one] > room.free[one] for one in range(3))
        if margins:
            short = short or any(
                wish.need[one] > room.estimated_free[one] for one in range(3)
            )
        if not short:
            value = placement.score(room, wish)
            best = value if best is None else max(best, value)
    return best
