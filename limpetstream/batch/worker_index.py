"""Incremental index of workers by free capacity.

Workers are grouped by what the score of a placement depends on: the desk
services on them, free accelerators, and free cores and memory in steps. A
search visits groups by falling best possible score and stops when no other
group can be better, so its cost hardly depends on the number of workers.
"""

import bisect
import dataclasses

from limpetstream import amounts

CORE_STEP_MILLICORES = 2000
MEMORY_STEP_MB = 8192
"""Steps of free capacity, in thousandths of a core and in megabytes."""


# Free capacity that lowers the fit score by the whole weight below.
FULL_MILLICORES = 64_000
FULL_MEMORY_MB = 256_000
CORES_WEIGHT = 0.3
MEMORY_WEIGHT = 0.2


def free_weight(capacity: amounts.Amount) -> float:
    """Return how much free capacity lowers the fit score of a placement.

    The weight is linear, so groups have the same order for all tasks.
    """
    cores = CORES_WEIGHT * capacity[0] / FULL_MILLICORES
    return cores + MEMORY_WEIGHT * capacity[1] / FULL_MEMORY_MB


@dataclasses.dataclass(slots=True)
class WorkerCapacity:
    """One worker and its free capacity.

    Args:
        id: Id of the worker.
        data_centre: Its data centre.
        rack: Its rack.
        services: Desk services with an executor on it, sorted.
        size: What batch tasks may use at most, by declared sizes.
        free: Size minus the declared sizes of the tasks placed there.
        estimated_free: Size minus headroom and the declared or learned size
            of each task placed there, whichever is larger.
    """

    id: str
    data_centre: str
    rack: str
    services: tuple[str, ...]
    size: amounts.Amount
    free: amounts.Amount
    estimated_free: amounts.Amount

    def usable(self) -> amounts.Amount:
        """Return the capacity that ordinary placements may use."""
        return (
            min(self.free[0], self.estimated_free[0]),
            min(self.free[1], self.estimated_free[1]),
            min(self.free[2], self.estimated_free[2]),
        )


GroupKey = tuple[tuple[str, ...], int]
"""Services and free accelerators."""

StepKey = tuple[int, int]
"""Whole steps of free cores and of free memory."""

Racks = dict[tuple[str, str], dict[str, WorkerCapacity]]
"""Capacities by (data centre, rack) and worker id."""


def step_key(capacity: amounts.Amount) -> StepKey:
    """Return the whole steps of a free capacity.

    >>> step_key((4500, 8192, 0))
    (2, 1)
    """
    return (capacity[0] // CORE_STEP_MILLICORES, capacity[1] // MEMORY_STEP_MB)


@dataclasses.dataclass(slots=True)
class WorkerIndex:
    """Workers that accept placements, by group, steps and rack.

    Args:
        capacity_by_worker: Capacities of all workers, closed ones included.
        steps_by_group: Groups, then steps, then racks.
        order_by_group: Steps of each group by rising weight.
        count_by_data_centre: Number of workers that accept placements.
        closed: Workers that accept no placements, such as quarantined ones.
    """

    capacity_by_worker: dict[str, WorkerCapacity] = dataclasses.field(
        default_factory=dict
    )
    steps_by_group: dict[GroupKey, dict[StepKey, Racks]] = dataclasses.field(
        default_factory=dict
    )
    order_by_group: dict[GroupKey, list[tuple[float, StepKey]]] = dataclasses.field(
        default_factory=dict
    )
    count_by_data_centre: dict[str, int] = dataclasses.field(default_factory=dict)
    closed: set[str] = dataclasses.field(default_factory=set)

    def put(self, capacity: WorkerCapacity) -> None:
        """Add a worker or replace its capacity."""
        self._unlink(capacity.id)
        self.capacity_by_worker[capacity.id] = capacity
        if capacity.id not in self.closed:
            self._link(capacity)

    def remove(self, worker: str) -> None:
        """Remove a worker."""
        self._unlink(worker)
        self.capacity_by_worker.pop(worker, None)

    def close(self, worker: str) -> None:
        """Exclude a worker from placements."""
        self._unlink(worker)
        self.closed.add(worker)

    def open(self, worker: str) -> None:
        """Let a worker accept placements again."""
        self.closed.discard(worker)
        capacity = self.capacity_by_worker.get(worker)
        if capacity is not None:
            self._unlink(worker)
            self._link(capacity)

    def take(self, worker: str, need: amounts.Amount) -> None:
        """Subtract a placement that is not in the log yet."""
        capacity = self.capacity_by_worker[worker]
        self._unlink(worker)
        capacity.free = amounts.subtract(capacity.free, need)
        capacity.estimated_free = amounts.subtract(capacity.estimated_free, need)
        if worker not in self.closed:
            self._link(capacity)

    def _bucket_of(
        self, capacity: WorkerCapacity
    ) -> tuple[GroupKey, StepKey, tuple[str, str]]:
        usable = capacity.usable()
        group = (capacity.services, usable[2])
        return group, step_key(usable), (capacity.data_centre, capacity.rack)

    def _link(self, capacity: WorkerCapacity) -> None:
        group, steps, rack = self._bucket_of(capacity)
        by_steps = self.steps_by_group.setdefault(group, {})
        if steps not in by_steps:
            by_steps[steps] = {}
            order = self.order_by_group.setdefault(group, [])
            bisect.insort(order, (step_weight(steps), steps))
        by_steps[steps].setdefault(rack, {})[capacity.id] = capacity
        count = self.count_by_data_centre.get(capacity.data_centre, 0)
        self.count_by_data_centre[capacity.data_centre] = count + 1

    def _unlink(self, worker: str) -> None:
        capacity = self.capacity_by_worker.get(worker)
        if capacity is None:
            return
        group, steps, rack = self._bucket_of(capacity)
        by_steps = self.steps_by_group.get(group, {})
        racks = by_steps.get(steps, {})
        capacities = racks.get(rack, {})
        if capacities.pop(worker, None) is None:
            return
        self.count_by_data_centre[capacity.data_centre] -= 1
        if not self.count_by_data_centre[capacity.data_centre]:
            del self.count_by_data_centre[capacity.data_centre]
        if not capacities:
            del racks[rack]
        if not racks:
            del by_steps[steps]
            order = self.order_by_group[group]
            del order[bisect.bisect_left(order, (step_weight(steps), steps))]
        if not by_steps:
            del self.steps_by_group[group]
            del self.order_by_group[group]


def step_weight(steps: StepKey) -> float:
    """Return the weight of the smallest capacity that has these steps."""
    return free_weight((steps[0] * CORE_STEP_MILLICORES, steps[1] * MEMORY_STEP_MB, 0))
