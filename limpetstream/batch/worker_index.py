"""Index of workers by free room, kept up to date one worker at a time.

Workers are grouped by what a placement's score depends on: the desk services
there, free accelerators, and free cores and memory in steps. A search visits
groups from the best possible score down and stops when no other group can be
better, so its cost hardly depends on the number of workers.
"""

import bisect
import dataclasses

from limpetstream.batch import quotas

CORE_STEP_MILLICORES = 2000
MEMORY_STEP_MB = 8192
"""Steps of free room, in thousandths of a core and in megabytes."""


FULL_MILLICORES = 64_000
FULL_MEMORY_MB = 256_000
CORES_WEIGHT = 0.3
MEMORY_WEIGHT = 0.2


def free_weight(room: quotas.Amount) -> float:
    """Return how much free room counts against the fit of a placement.

    It is linear, so the order of groups by weight is the same for all tasks.
    """
    cores = CORES_WEIGHT * room[0] / FULL_MILLICORES
    return cores + MEMORY_WEIGHT * room[1] / FULL_MEMORY_MB


@dataclasses.dataclass(slots=True)
class WorkerCapacity:
    """One worker and its free room.

    Args:
        id: Id of the worker.
        data_centre: Its data centre.
        rack: Its rack.
        services: Desk services with an executor there, sorted.
        size: What batch work may use at most, by declared sizes.
        free: Size minus what is placed there by declared sizes.
        margin: Free room by declared or learned use, whichever is larger,
            minus the headroom.
    """

    id: str
    data_centre: str
    rack: str
    services: tuple[str, ...]
    size: quotas.Amount
    free: quotas.Amount
    estimated_free: quotas.Amount

    def usable(self) -> quotas.Amount:
        """Return the room that ordinary placements may take."""
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
"""Rooms by (data centre, rack) and worker id."""


def step_key(room: quotas.Amount) -> StepKey:
    """Return the steps of a free room.

    >>> step_key((4500, 8192, 0))
    (2, 1)
    """
    return (room[0] // CORE_STEP_MILLICORES, room[1] // MEMORY_STEP_MB)


@dataclasses.dataclass(slots=True)
class WorkerIndex:
    """Workers that take placements, by group, steps and rack.

    Args:
        room_by_id: All rooms, also those of workers that take nothing now.
        steps_by_group: Groups, then steps, then racks.
        order_by_group: Steps of each group by rising weight.
        count_by_centre: Number of workers that take placements.
        closed: Workers that take no placements, such as quarantined ones.
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

    def put(self, room: WorkerCapacity) -> None:
        """Add a worker or replace what is known of it."""
        self._unlink(room.id)
        self.capacity_by_worker[room.id] = room
        if room.id not in self.closed:
            self._link(room)

    def remove(self, worker: str) -> None:
        """Forget a worker."""
        self._unlink(worker)
        self.capacity_by_worker.pop(worker, None)

    def close(self, worker: str) -> None:
        """Let a worker take no placements."""
        self._unlink(worker)
        self.closed.add(worker)

    def open(self, worker: str) -> None:
        """Let a worker take placements again."""
        self.closed.discard(worker)
        room = self.capacity_by_worker.get(worker)
        if room is not None:
            self._unlink(worker)
            self._link(room)

    def take(self, worker: str, need: quotas.Amount) -> None:
        """Count a placement that is not in the log yet."""
        room = self.capacity_by_worker[worker]
        self._unlink(worker)
        room.free = quotas.subtract(room.free, need)
        room.estimated_free = quotas.subtract(room.estimated_free, need)
        if worker not in self.closed:
            self._link(room)

    def _place_of(
        self, room: WorkerCapacity
    ) -> tuple[GroupKey, StepKey, tuple[str, str]]:
        usable = room.usable()
        group = (room.services, usable[2])
        return group, step_key(usable), (room.data_centre, room.rack)

    def _link(self, room: WorkerCapacity) -> None:
        group, steps, rack = self._place_of(room)
        by_steps = self.steps_by_group.setdefault(group, {})
        if steps not in by_steps:
            by_steps[steps] = {}
            order = self.order_by_group.setdefault(group, [])
            bisect.insort(order, (step_weight(steps), steps))
        by_steps[steps].setdefault(rack, {})[room.id] = room
        count = self.count_by_data_centre.get(room.data_centre, 0)
        self.count_by_data_centre[room.data_centre] = count + 1

    def _unlink(self, worker: str) -> None:
        room = self.capacity_by_worker.get(worker)
        if room is None:
            return
        group, steps, rack = self._place_of(room)
        by_steps = self.steps_by_group.get(group, {})
        racks = by_steps.get(steps, {})
        rooms = racks.get(rack, {})
        if rooms.pop(worker, None) is None:
            return
        self.count_by_data_centre[room.data_centre] -= 1
        if not self.count_by_data_centre[room.data_centre]:
            del self.count_by_data_centre[room.data_centre]
        if not rooms:
            del racks[rack]
        if not racks:
            del by_steps[steps]
            order = self.order_by_group[group]
            del order[bisect.bisect_left(order, (step_weight(steps), steps))]
        if not by_steps:
            del self.steps_by_group[group]
            del self.order_by_group[group]


def step_weight(steps: StepKey) -> float:
    """Return the weight of the least room that has these steps."""
    return free_weight((steps[0] * CORE_STEP_MILLICORES, steps[1] * MEMORY_STEP_MB, 0))
