"""One round of placement: which tasks go to which workers."""

import dataclasses
import heapq
import itertools

from limpetstream.batch import (
    context,
    demand,
    events,
    fleet,
    placement,
    preemption,
    quarantine,
    quotas,
    tasks,
)
from limpetstream.telemetry import logs

MAX_PLACEMENTS_PER_ROUND = 400
"""Placements in one record; at 10 rounds a second this is over 1,700."""

PLACEMENTS_PER_TURN = 16
"""Placements of one shape before the fair order is looked at again."""

MAX_PREEMPTION_PLANS = 40
"""Plans of preemption in one round."""

RAMP_UP_S = 30.0
"""A data centre that comes back fills up over this time."""


@dataclasses.dataclass(slots=True)
class PlannedPlacement:
    """A placement to append.

    Args:
        task: Id of the task.
        attempt: Number of the attempt.
        worker: Chosen worker.
        victims: Tasks that must end there before the start.
    """

    task: str
    attempt: int
    worker: str
    victims: list[str]


@dataclasses.dataclass(slots=True)
class Planner:
    """Choice of placements for one data centre.

    Args:
        data_centre: The data centre.
        parts: Parts of the process.
        fleet: Index of its workers.
        guard: Quarantine of workers.
        demand: Pending tasks.
        size_by_centre: Cores of each data centre, in thousandths.
        back_at: When the data centre came back; None if it was never out.
        was_out: Whether it was out at the last look.
        plans_left: Plans of preemption left in this round.
    """

    data_centre: str
    context: context.Context
    fleet: fleet.Fleet
    quarantine: quarantine.Quarantine
    demand: demand.Demand
    millicores_by_data_centre: dict[str, int] = dataclasses.field(default_factory=dict)
    measured_at: float = float("-inf")
    back_at: float | None = None
    was_out: bool = False
    plans_left: int = MAX_PREEMPTION_PLANS

    def choose(
        self, now: float, leaving: set[str], silent: set[str]
    ) -> list[PlannedPlacement]:
        """Return the placements of one round.

        Args:
            now: Monotonic time in seconds.
            leaving: Tasks that are being evicted already.
            silent: Workers that do not answer and get nothing.
        """
        self.demand.drop_stale()
        self._close_workers(now, silent)
        self.plans_left = MAX_PREEMPTION_PLANS
        picks: list[PlannedPlacement] = []
        taken: list[tuple[str, quotas.Amount]] = []
        weights = self._weights(now)
        try:
            for priority in self.demand.priorities():
                self._fill(priority, now, weights, leaving, picks, taken)
        finally:
            # The fold counts the placements again when it reads them.
            for team, need in taken:
                self.context.state.quota.release(team, need)
        return picks

    def note_state(self, out: bool, now: float) -> None:
        """Take note of whether the data centre is out."""
        if self.was_out and not out:
            self.back_at = now
        self.was_out = out

    def _fill(
        self,
        priority: str,
        now: float,
        weights: dict[str, float],
        leaving: set[str],
        picks: list[PlannedPlacement],
        taken: list[tuple[str, quotas.Amount]],
    ) -> None:
        """Give shapes their turns in fair order until none can go on."""
        quota = self.context.state.quota
        order = itertools.count()
        queue = [
            (quota.fair_share_key(shape[0], shape[2]), next(order), shape, iter(ids))
            for shape, ids in self.demand.ordered_shapes(priority)
        ]
        heapq.heapify(queue)
        while queue and len(picks) < MAX_PLACEMENTS_PER_ROUND:
            _, _, shape, ids = heapq.heappop(queue)
            more = self._turn(ids, now, weights, leaving, picks, taken)
            if more:
                key = quota.fair_share_key(shape[0], shape[2])
                heapq.heappush(queue, (key, next(order), shape, ids))

    def _turn(
        self,
        ids: object,
        now: float,
        weights: dict[str, float],
        leaving: set[str],
        picks: list[PlannedPlacement],
        taken: list[tuple[str, quotas.Amount]],
    ) -> bool:
        """Place some tasks of one shape; False if no more can be placed."""
        state, placed = self.context.state, 0
        for task_id in ids:  # type: ignore[attr-defined]
            task = state.task_by_id[task_id]
            team = state.job_by_id[task.job].submit.team
            if not self.demand.is_due(task, now, weights):
                continue
            if state.quota.denial_reason(team, task.size) is not None:
                return False
            if not self._ramp_allows(task, now, picks):
                return False
            pick = self._pick(task, leaving, now)
            if pick is None:
                return False
            picks.append(pick)
            taken.append((team, task.size))
            state.quota.acquire(team, task.size)
            placed += 1
            if placed == PLACEMENTS_PER_TURN or len(picks) >= MAX_PLACEMENTS_PER_ROUND:
                return True
        return False

    def _pick(
        self, task: tasks.Task, leaving: set[str], now: float
    ) -> PlannedPlacement | None:
        wish = self.fleet.placement_request(task)
        room = placement.choose(self.fleet.workers, wish)
        victims: list[str] = []
        if room is None:
            found = self._plan(task, leaving, wish.avoided_workers)
            if found is None:
                return None
            room = self.fleet.workers.capacity_by_worker[found.worker]
            victims = found.victims
            leaving.update(victims)
        self.fleet.workers.take(room.id, task.size)
        self.quarantine.note_placement(room.id, task.id, now)
        if self.quarantine.is_quarantined(room.id, now):
            self.fleet.workers.close(room.id)
        return PlannedPlacement(task.id, task.attempt + 1, room.id, victims)

    def _plan(
        self, task: tasks.Task, leaving: set[str], avoided_workers: frozenset[str]
    ) -> preemption.PreemptionPlan | None:
        if self.plans_left == 0:
            return None
        self.plans_left -= 1
        workers = self.fleet.workers
        rooms = [
            room
            for room in workers.capacity_by_worker.values()
            if room.id not in workers.closed
        ]
        return preemption.plan(task, rooms, self.context.state, leaving)

    def _close_workers(self, now: float, silent: set[str]) -> None:
        workers = self.fleet.workers
        judged = {
            worker
            for worker in list(self.quarantine.record_by_worker)
            if self.quarantine.is_quarantined(worker, now)
        }
        for worker in sorted(judged - workers.closed):
            logs.emit(events.WORKER_QUARANTINED, worker=worker)
        closed = silent | judged
        for worker in sorted(workers.closed - closed):
            workers.open(worker)
        for worker in sorted(closed - workers.closed):
            workers.close(worker)

    def _ramp_allows(
        self, task: tasks.Task, now: float, picks: list[PlannedPlacement]
    ) -> bool:
        if self.back_at is None or now - self.back_at >= RAMP_UP_S:
            return True
        state = self.context.state
        share = (now - self.back_at) / RAMP_UP_S
        used = state.used_by_data_centre.get(self.data_centre, quotas.ZERO)[0]
        used += sum(state.task_by_id[pick.task].size[0] for pick in picks)
        limit = share * self.millicores_by_data_centre.get(self.data_centre, 0)
        return used + task.size[0] <= limit

    def _weights(self, now: float) -> dict[str, float]:
        """Return the free share of each data centre, in coarse steps.

        Coarse steps let holders agree although they read the log at slightly
        different times.
        """
        if now - self.measured_at > 1.0:
            self._size_centres()
            self.measured_at = now
        weights = {}
        for name, size in self.millicores_by_data_centre.items():
            used = self.context.state.used_by_data_centre.get(name, quotas.ZERO)[0]
            weights[name] = max(1, round(8 * (size - used) / size)) * size
        return weights

    def _size_centres(self) -> None:
        sizes: dict[str, int] = {}
        for instance in self.context.directory.by_id.values():
            if instance.role == "worker" and instance.state == "live":
                cores = int(instance.cores * 1000)
                name = instance.data_centre
                sizes[name] = sizes.get(name, 0) + cores
        self.millicores_by_data_centre = {
            name: size for name, size in sizes.items() if size and self._open(name)
        }

    def _open(self, data_centre: str) -> bool:
        try:
            return self.context.tree.data_centre(data_centre).state != "out"
        except KeyError:
            return False
