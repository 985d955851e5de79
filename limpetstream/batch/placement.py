"""Choice of a worker for a task: fit, interference and spread."""

import bisect
import dataclasses
from collections.abc import Callable

from limpetstream.batch import quotas, worker_index

DATA_CENTRE_PENALTY = 0.10
RACK_PENALTY = 0.25
WORKER_PENALTY = 0.50
"""Each task of the same job that is already there lowers the score so far."""

IDLE_ACCELERATOR_FACTOR = 0.7
"""Workers with free accelerators are kept for tasks that need them."""

MIN_SCORE_RATIO = 0.96
"""A search stops at this part of the best possible score."""

MIN_FIT_SCORE = 0.1


@dataclasses.dataclass(slots=True)
class SiblingCounts:
    """Where tasks of one job already are.

    Args:
        by_data_centre: Number of tasks per data centre.
        by_rack: Number of tasks per (data centre, rack).
        by_worker: Number of tasks per worker.
    """

    count_by_data_centre: dict[str, int] = dataclasses.field(default_factory=dict)
    count_by_rack: dict[tuple[str, str], int] = dataclasses.field(default_factory=dict)
    count_by_worker: dict[str, int] = dataclasses.field(default_factory=dict)

    def add(self, room: worker_index.WorkerCapacity, count: int = 1) -> None:
        """Count tasks on a worker."""
        rack = (room.data_centre, room.rack)
        for counts, key in (
            (self.count_by_data_centre, room.data_centre),
            (self.count_by_rack, rack),
            (self.count_by_worker, room.id),
        ):
            counts[key] = counts.get(key, 0) + count  # type: ignore[index]


@dataclasses.dataclass(slots=True)
class PlacementRequest:
    """What one task asks of its place.

    Args:
        need: Size of the task.
        slowdown: Expected slowdown of the given desk services, at least 1.
        neighbours: Tasks of the same job.
        spread: ``none``, ``rack`` or ``data-centre``.
        declared_only: Whether headroom and learned use may be disregarded if
            there is no other place, as for urgent work; the declared sizes
            are always respected.
        avoid: Workers on which tasks of the same job failed.
    """

    need: quotas.Amount
    slowdown: Callable[[tuple[str, ...]], float] = lambda services: 1.0
    siblings: SiblingCounts = dataclasses.field(default_factory=SiblingCounts)
    spread: str = "rack"
    may_use_headroom: bool = False
    avoided_workers: frozenset[str] = frozenset()


def fit_score(left: quotas.Amount, need: quotas.Amount) -> float:
    """Return 1 for no room left over, and less the more is left.

    Args:
        left: Room that stays free on the worker.
        need: Size of the task.
    """
    score = min(1.0, max(MIN_FIT_SCORE, 1.0 - worker_index.free_weight(left)))
    return score * IDLE_ACCELERATOR_FACTOR if left[2] > 0 and need[2] == 0 else score


def spread_factor(room: worker_index.WorkerCapacity, wish: PlacementRequest) -> float:
    """Return 1 for a place without tasks of the same job, less for others."""
    near = wish.siblings
    if wish.spread == "none" or not near.count_by_data_centre:
        return 1.0
    burden = WORKER_PENALTY * near.count_by_worker.get(room.id, 0)
    burden += _rack_burden(room.data_centre, room.rack, wish)
    return 1.0 / (1.0 + burden)


def _centre_weight(wish: PlacementRequest) -> float:
    return DATA_CENTRE_PENALTY * (4 if wish.spread == "data-centre" else 1)


def _rack_burden(data_centre: str, rack: str, wish: PlacementRequest) -> float:
    near = wish.siblings
    burden = RACK_PENALTY * near.count_by_rack.get((data_centre, rack), 0)
    return burden + _centre_weight(wish) * near.count_by_data_centre.get(data_centre, 0)


def score(room: worker_index.WorkerCapacity, wish: PlacementRequest) -> float:
    """Return how good a place is, from 0 to 1; it must be large enough."""
    left = quotas.subtract(room.usable(), wish.need)
    return (
        fit_score(left, wish.need)
        / wish.slowdown(room.services)
        * (spread_factor(room, wish))
    )


def has_capacity(room: worker_index.WorkerCapacity, wish: PlacementRequest) -> bool:
    """Tell whether a worker has room for a task."""
    if not quotas.fits(wish.need, room.free):
        return False
    return wish.may_use_headroom or quotas.fits(wish.need, room.estimated_free)


def choose(
    workers: worker_index.WorkerIndex, wish: PlacementRequest
) -> worker_index.WorkerCapacity | None:
    """Return the best worker for a task, or None if none has room.

    The score of the result is at least ``GOOD_ENOUGH`` times the best one.
    """
    best, best_score = None, 0.0
    least = _least_burden(workers, wish)
    for factor, group in _groups(workers, wish):
        if factor * MIN_SCORE_RATIO <= best_score * (1.0 + least):
            break
        best, best_score = _search(
            workers, group, factor, least, wish, best, best_score
        )
    if best is None and wish.may_use_headroom:
        return _any_declared(workers, wish)
    return best


def _groups(
    workers: worker_index.WorkerIndex, wish: PlacementRequest
) -> list[tuple[float, worker_index.GroupKey]]:
    """Return groups by the best score that a perfect fit would have there."""
    divisor_by_services: dict[tuple[str, ...], float] = {}
    found = []
    for group in workers.steps_by_group:
        services, accelerators = group
        if accelerators < wish.need[2]:
            continue
        divisor = divisor_by_services.get(services)
        if divisor is None:
            divisor = divisor_by_services[services] = wish.slowdown(services)
        wasted = wish.need[2] == 0 and accelerators > 0
        found.append(((IDLE_ACCELERATOR_FACTOR if wasted else 1.0) / divisor, group))
    found.sort(reverse=True)
    return found


def _least_burden(workers: worker_index.WorkerIndex, wish: PlacementRequest) -> float:
    """Return the burden that every data centre has at least."""
    counts = wish.siblings.count_by_data_centre
    if wish.spread == "none" or not counts:
        return 0.0
    least = min(
        (counts.get(name, 0) for name in workers.count_by_data_centre), default=0
    )
    return _centre_weight(wish) * least


def _search(
    workers: worker_index.WorkerIndex,
    group: worker_index.GroupKey,
    factor: float,
    least: float,
    wish: PlacementRequest,
    best: worker_index.WorkerCapacity | None,
    best_score: float,
) -> tuple[worker_index.WorkerCapacity | None, float]:
    """Look through the steps of one group, tightest first."""
    low_cores, low_memory = low = worker_index.step_key(wish.need)
    by_steps, order = workers.steps_by_group[group], workers.order_by_group[group]
    offset = 1.0 + worker_index.free_weight(wish.need)
    first = bisect.bisect_left(order, (worker_index.step_weight(low) - 1e-9, (0, 0)))
    for place in range(first, len(order)):
        weight, steps = order[place]
        if steps[0] < low_cores or steps[1] < low_memory:
            continue
        bound = factor * min(1.0, max(MIN_FIT_SCORE, offset - weight))
        if bound * MIN_SCORE_RATIO <= best_score * (1.0 + least):
            break
        room, score_there = _best_in(by_steps[steps], wish, bound, best_score)
        if room is not None:
            best, best_score = room, score_there
    return best, best_score


def _best_in(
    racks: worker_index.Racks, wish: PlacementRequest, bound: float, beaten: float
) -> tuple[worker_index.WorkerCapacity | None, float]:
    """Return a good worker of one group, the least burdened rack first.

    Args:
        racks: The group.
        wish: What the task asks for.
        bound: Score that nothing in the group exceeds.
        beaten: Score that is already reached elsewhere.
    """
    spread = wish.spread != "none" and bool(wish.siblings.count_by_data_centre)
    order: list[tuple[float, tuple[str, str]]] = [(0.0, rack) for rack in racks]
    if spread:
        order = [(_rack_burden(*rack, wish), rack) for rack in racks]
        order.sort(key=lambda pair: pair[0])
    best, best_score = None, beaten
    for burden, rack in order:
        if best_score >= MIN_SCORE_RATIO * bound / (1.0 + burden):
            break
        for room in racks[rack].values():
            if (
                quotas.fits(wish.need, room.usable())
                and room.id not in wish.avoided_workers
            ):
                value = score(room, wish)
                if value > best_score:
                    best, best_score = room, value
    return best, best_score


def _any_declared(
    workers: worker_index.WorkerIndex, wish: PlacementRequest
) -> worker_index.WorkerCapacity | None:
    """Look past headroom and learned use, which the groups are made of."""
    rooms = [
        room
        for room in workers.capacity_by_worker.values()
        if room.id not in workers.closed
        and room.id not in wish.avoided_workers
        and quotas.fits(wish.need, room.free)
    ]
    return max(rooms, key=lambda room: (score(room, wish), room.id), default=None)
