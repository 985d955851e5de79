"""Chooses a worker for a task by fit, expected slowdown and spread."""

import bisect
import dataclasses
from collections.abc import Callable

from limpetstream import amounts
from limpetstream.batch import worker_index

DATA_CENTRE_PENALTY = 0.10
RACK_PENALTY = 0.25
WORKER_PENALTY = 0.50
"""How much each task of the same job that is already there lowers a score."""

IDLE_ACCELERATOR_FACTOR = 0.7
"""Lowers the score of a worker where free accelerators would stay unused.

Such workers are kept for tasks that need accelerators.
"""

MIN_SCORE_RATIO = 0.96
"""A search stops once it has reached this share of the best possible score."""

# Fit score of a worker, however much capacity would be left over there.
MIN_FIT_SCORE = 0.1


@dataclasses.dataclass(slots=True)
class SiblingCounts:
    """Where the other tasks of a task's job are placed.

    Args:
        count_by_data_centre: Number of tasks per data centre.
        count_by_rack: Number of tasks per (data centre, rack).
        count_by_worker: Number of tasks per worker.
    """

    count_by_data_centre: dict[str, int] = dataclasses.field(default_factory=dict)
    count_by_rack: dict[tuple[str, str], int] = dataclasses.field(default_factory=dict)
    count_by_worker: dict[str, int] = dataclasses.field(default_factory=dict)

    def add(self, capacity: worker_index.WorkerCapacity, count: int = 1) -> None:
        """Add tasks that are placed on a worker."""
        rack = (capacity.data_centre, capacity.rack)
        for counts, key in (
            (self.count_by_data_centre, capacity.data_centre),
            (self.count_by_rack, rack),
            (self.count_by_worker, capacity.id),
        ):
            counts[key] = counts.get(key, 0) + count  # type: ignore[index]


@dataclasses.dataclass(slots=True)
class PlacementRequest:
    """What one task requires of a worker.

    Args:
        need: Size of the task.
        slowdown: Expected slowdown of the given desk services, at least 1.
        siblings: Placed tasks of the same job.
        spread: ``none``, ``rack`` or ``data-centre``.
        may_use_headroom: Whether headroom and learned sizes may be ignored if
            no worker fits otherwise, as for urgent tasks. Declared sizes are
            always respected.
        avoided_workers: Workers on which tasks of the same job failed.
    """

    need: amounts.Amount
    slowdown: Callable[[tuple[str, ...]], float] = lambda services: 1.0
    siblings: SiblingCounts = dataclasses.field(default_factory=SiblingCounts)
    spread: str = "rack"
    may_use_headroom: bool = False
    avoided_workers: frozenset[str] = frozenset()


def fit_score(left: amounts.Amount, need: amounts.Amount) -> float:
    """Return 1 if no capacity is left over, and less the more is left.

    Args:
        left: Capacity that stays free on the worker.
        need: Size of the task.
    """
    score = min(1.0, max(MIN_FIT_SCORE, 1.0 - worker_index.free_weight(left)))
    return score * IDLE_ACCELERATOR_FACTOR if left[2] > 0 and need[2] == 0 else score


def spread_factor(
    capacity: worker_index.WorkerCapacity, request: PlacementRequest
) -> float:
    """Return 1 for a worker without siblings nearby, and less for others."""
    siblings = request.siblings
    if request.spread == "none" or not siblings.count_by_data_centre:
        return 1.0
    penalty = WORKER_PENALTY * siblings.count_by_worker.get(capacity.id, 0)
    penalty += _rack_penalty(capacity.data_centre, capacity.rack, request)
    return 1.0 / (1.0 + penalty)


def _data_centre_penalty(request: PlacementRequest) -> float:
    return DATA_CENTRE_PENALTY * (4 if request.spread == "data-centre" else 1)


def _rack_penalty(data_centre: str, rack: str, request: PlacementRequest) -> float:
    siblings = request.siblings
    penalty = RACK_PENALTY * siblings.count_by_rack.get((data_centre, rack), 0)
    return penalty + _data_centre_penalty(request) * siblings.count_by_data_centre.get(
        data_centre, 0
    )


def score(capacity: worker_index.WorkerCapacity, request: PlacementRequest) -> float:
    """Return the score of a worker that is large enough, from 0 to 1."""
    left = amounts.subtract(capacity.usable(), request.need)
    return (
        fit_score(left, request.need)
        / request.slowdown(capacity.services)
        * (spread_factor(capacity, request))
    )


def has_capacity(
    capacity: worker_index.WorkerCapacity, request: PlacementRequest
) -> bool:
    """Return whether a worker has enough free capacity for a task."""
    if not amounts.fits(request.need, capacity.free):
        return False
    return request.may_use_headroom or amounts.fits(
        request.need, capacity.estimated_free
    )


def choose(
    workers: worker_index.WorkerIndex, request: PlacementRequest
) -> worker_index.WorkerCapacity | None:
    """Return a worker for a task, or None if none has enough capacity.

    The score of the result is at least ``MIN_SCORE_RATIO`` times the best one.
    """
    best, best_score = None, 0.0
    min_penalty = _min_penalty(workers, request)
    for factor, group in _ranked_groups(workers, request):
        if factor * MIN_SCORE_RATIO <= best_score * (1.0 + min_penalty):
            break
        best, best_score = _search_group(
            workers, group, factor, min_penalty, request, best, best_score
        )
    if best is None and request.may_use_headroom:
        return _choose_by_declared_size(workers, request)
    return best


def _ranked_groups(
    workers: worker_index.WorkerIndex, request: PlacementRequest
) -> list[tuple[float, worker_index.GroupKey]]:
    """Return groups by falling score of a perfect fit, with that score."""
    divisor_by_services: dict[tuple[str, ...], float] = {}
    found = []
    for group in workers.steps_by_group:
        services, accelerators = group
        if accelerators < request.need[2]:
            continue
        divisor = divisor_by_services.get(services)
        if divisor is None:
            divisor = divisor_by_services[services] = request.slowdown(services)
        wasted = request.need[2] == 0 and accelerators > 0
        found.append(((IDLE_ACCELERATOR_FACTOR if wasted else 1.0) / divisor, group))
    found.sort(reverse=True)
    return found


def _min_penalty(workers: worker_index.WorkerIndex, request: PlacementRequest) -> float:
    """Return the spread penalty that every data centre has at least."""
    counts = request.siblings.count_by_data_centre
    if request.spread == "none" or not counts:
        return 0.0
    min_count = min(
        (counts.get(name, 0) for name in workers.count_by_data_centre), default=0
    )
    return _data_centre_penalty(request) * min_count


def _search_group(
    workers: worker_index.WorkerIndex,
    group: worker_index.GroupKey,
    factor: float,
    min_penalty: float,
    request: PlacementRequest,
    best: worker_index.WorkerCapacity | None,
    best_score: float,
) -> tuple[worker_index.WorkerCapacity | None, float]:
    """Search the steps of one group, tightest fit first."""
    low_cores, low_memory = low = worker_index.step_key(request.need)
    by_steps, order = workers.steps_by_group[group], workers.order_by_group[group]
    offset = 1.0 + worker_index.free_weight(request.need)
    first = bisect.bisect_left(order, (worker_index.step_weight(low) - 1e-9, (0, 0)))
    for position in range(first, len(order)):
        weight, steps = order[position]
        if steps[0] < low_cores or steps[1] < low_memory:
            continue
        bound = factor * min(1.0, max(MIN_FIT_SCORE, offset - weight))
        if bound * MIN_SCORE_RATIO <= best_score * (1.0 + min_penalty):
            break
        capacity, found_score = _best_in_racks(
            by_steps[steps], request, bound, best_score
        )
        if capacity is not None:
            best, best_score = capacity, found_score
    return best, best_score


def _best_in_racks(
    racks: worker_index.Racks,
    request: PlacementRequest,
    bound: float,
    score_to_beat: float,
) -> tuple[worker_index.WorkerCapacity | None, float]:
    """Return a good worker of these racks, by rising spread penalty.

    Args:
        racks: Workers with the same steps of free capacity, by rack.
        request: What the task requires.
        bound: Score that no worker here exceeds.
        score_to_beat: Score that is already reached elsewhere.
    """
    spread = request.spread != "none" and bool(request.siblings.count_by_data_centre)
    order: list[tuple[float, tuple[str, str]]] = [(0.0, rack) for rack in racks]
    if spread:
        order = [(_rack_penalty(*rack, request), rack) for rack in racks]
        order.sort(key=lambda pair: pair[0])
    best, best_score = None, score_to_beat
    for penalty, rack in order:
        if best_score >= MIN_SCORE_RATIO * bound / (1.0 + penalty):
            break
        for capacity in racks[rack].values():
            if (
                amounts.fits(request.need, capacity.usable())
                and capacity.id not in request.avoided_workers
            ):
                value = score(capacity, request)
                if value > best_score:
                    best, best_score = capacity, value
    return best, best_score


def _choose_by_declared_size(
    workers: worker_index.WorkerIndex, request: PlacementRequest
) -> worker_index.WorkerCapacity | None:
    """Return the best worker by declared sizes, without headroom.

    This scans all workers, because the groups of the index take headroom and
    learned sizes into account.
    """
    capacities = [
        capacity
        for capacity in workers.capacity_by_worker.values()
        if capacity.id not in workers.closed
        and capacity.id not in request.avoided_workers
        and amounts.fits(request.need, capacity.free)
    ]
    return max(
        capacities,
        key=lambda capacity: (score(capacity, request), capacity.id),
        default=None,
    )
