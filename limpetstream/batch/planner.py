"""Planner of placements: chooses workers for pending tasks, round by round."""

import dataclasses
import heapq
import itertools

from limpetstream import amounts
from limpetstream.batch import (
    context,
    demand,
    events,
    fleet,
    placement,
    preemption,
    quarantine,
    tasks,
)
from limpetstream.telemetry import logs

MAX_PLACEMENTS_PER_ROUND = 400
"""Bounds the size of a record.

At 10 rounds a second, this allows over 1,700 placements a second.
"""

PLACEMENTS_PER_TURN = 16
"""Placements of one shape before the fair-share order is evaluated again."""

MAX_PREEMPTION_PLANS = 40
"""Searches for victims in one round; each one visits every worker."""

RAMP_UP_S = 30.0
"""A data centre that returns to service is filled gradually over this time."""


@dataclasses.dataclass(slots=True)
class PlannedPlacement:
    """A placement that is to be appended to the log.

    Args:
        task: Id of the task.
        attempt: Number of the attempt.
        worker: Chosen worker.
        victims: Tasks that must end there before this one can start.
    """

    task: str
    attempt: int
    worker: str
    victims: list[str]


@dataclasses.dataclass(slots=True)
class Planner:
    """Chooses the placements of one data centre.

    Args:
        data_centre: The data centre.
        context: Dependencies from the rest of the process.
        fleet: Index of its workers.
        quarantine: Quarantine of workers.
        demand: Pending tasks.
        millicores_by_data_centre: Cores of each data centre in service, in
            thousandths.
        measured_at: Monotonic time at which these were last summed up.
        back_at: Monotonic time at which the data centre returned to service;
            None if it was never out.
        was_out: Whether it was out of service in the last round.
        plans_left: Searches for victims left in this round.
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
        self, now: float, evicting: set[str], unreachable: set[str]
    ) -> list[PlannedPlacement]:
        """Return the placements of one round.

        Args:
            now: Monotonic time in seconds.
            evicting: Tasks that are being evicted already; victims of this
                round are added.
            unreachable: Workers that do not answer and get no placements.
        """
        self.demand.drop_stale()
        self._sync_closed_workers(now, unreachable)
        self.plans_left = MAX_PREEMPTION_PLANS
        planned: list[PlannedPlacement] = []
        acquired: list[tuple[str, amounts.Amount]] = []
        weights = self._weight_by_data_centre(now)
        try:
            for priority in self.demand.priorities():
                self._place_priority(
                    priority, now, weights, evicting, planned, acquired
                )
        finally:
            # The state counts these placements itself once they are applied
            # from the log.
            for team, need in acquired:
                self.context.state.quota.release(team, need)
        return planned

    def note_service_state(self, out: bool, now: float) -> None:
        """Record whether the data centre is out of service."""
        if self.was_out and not out:
            self.back_at = now
        self.was_out = out

    def _place_priority(
        self,
        priority: str,
        now: float,
        weights: dict[str, float],
        evicting: set[str],
        planned: list[PlannedPlacement],
        acquired: list[tuple[str, amounts.Amount]],
    ) -> None:
        """Place tasks of one priority, shape by shape in fair-share order."""
        quota = self.context.state.quota
        order = itertools.count()
        queue = [
            (quota.fair_share_key(shape[0], shape[2]), next(order), shape, iter(ids))
            for shape, ids in self.demand.ordered_shapes(priority)
        ]
        heapq.heapify(queue)
        while queue and len(planned) < MAX_PLACEMENTS_PER_ROUND:
            _, _, shape, ids = heapq.heappop(queue)
            more = self._place_shape(ids, now, weights, evicting, planned, acquired)
            if more:
                key = quota.fair_share_key(shape[0], shape[2])
                heapq.heappush(queue, (key, next(order), shape, ids))

    def _place_shape(
        self,
        ids: object,
        now: float,
        weights: dict[str, float],
        evicting: set[str],
        planned: list[PlannedPlacement],
        acquired: list[tuple[str, amounts.Amount]],
    ) -> bool:
        """Place some tasks of one shape; False if no more can be placed.

        A job avoids the workers on which its tasks failed. If it waits for
        that reason alone, tasks of other jobs may still be placed there.

        Args:
            ids: Iterator over the shape's pending task ids.
            now: Monotonic time in seconds.
            weights: Free capacity of each data centre, for the order in which
                holders may take a task.
            evicting: Tasks that are being evicted.
            planned: Placements of this round; new ones are added.
            acquired: Team and size of each of them, to release the quota.
        """
        state, placed = self.context.state, 0
        held_job_ids: set[str] = set()  # They avoid all workers with capacity.
        open_workers: frozenset[str] = frozenset()
        for task_id in ids:  # type: ignore[attr-defined]
            task = state.task_by_id[task_id]
            team = state.job_by_id[task.job].submit.team
            if not self.demand.is_due(task, now, weights):
                continue
            if state.quota.denial_reason(team, task.size) is not None:
                return False
            if not self._within_ramp_up(task, now, planned):
                return False
            if task.job in held_job_ids:
                continue
            if open_workers and open_workers <= self.fleet.avoided_workers(task):
                held_job_ids.add(task.job)
                continue
            choice = self._place_task(task, evicting, now)
            if choice is None:
                open_workers = self._avoided_with_capacity(task)
                if not open_workers:
                    return False
                held_job_ids.add(task.job)
                continue
            planned.append(choice)
            acquired.append((team, task.size))
            state.quota.acquire(team, task.size)
            placed += 1
            if (
                placed == PLACEMENTS_PER_TURN
                or len(planned) >= MAX_PLACEMENTS_PER_ROUND
            ):
                return True
        return False

    def _place_task(
        self, task: tasks.Task, evicting: set[str], now: float
    ) -> PlannedPlacement | None:
        request = self.fleet.placement_request(task)
        capacity = placement.choose(self.fleet.workers, request)
        victims: list[str] = []
        if capacity is None:
            plan = self._plan_preemption(task, evicting, request.avoided_workers)
            if plan is None:
                return None
            capacity = self.fleet.workers.capacity_by_worker[plan.worker]
            victims = plan.victims
            evicting.update(victims)
        self.fleet.workers.take(capacity.id, task.size)
        self.quarantine.note_placement(capacity.id, task.id, now)
        if self.quarantine.is_quarantined(capacity.id, now):
            self.fleet.workers.close(capacity.id)
        return PlannedPlacement(task.id, task.attempt + 1, capacity.id, victims)

    def _avoided_with_capacity(self, task: tasks.Task) -> frozenset[str]:
        """Return the workers that only its job's failures keep a task from."""
        workers = self.fleet.workers
        request = self.fleet.placement_request(task)
        capacities = (
            workers.capacity_by_worker.get(worker)
            for worker in request.avoided_workers - workers.closed
        )
        return frozenset(
            capacity.id
            for capacity in capacities
            if capacity is not None and placement.has_capacity(capacity, request)
        )

    def _plan_preemption(
        self, task: tasks.Task, evicting: set[str], avoided_workers: frozenset[str]
    ) -> preemption.PreemptionPlan | None:
        if self.plans_left == 0:
            return None
        self.plans_left -= 1
        workers = self.fleet.workers
        capacities = [
            capacity
            for capacity in workers.capacity_by_worker.values()
            if capacity.id not in workers.closed
        ]
        return preemption.plan(task, capacities, self.context.state, evicting)

    def _sync_closed_workers(self, now: float, unreachable: set[str]) -> None:
        workers = self.fleet.workers
        quarantined = {
            worker
            for worker in list(self.quarantine.record_by_worker)
            if self.quarantine.is_quarantined(worker, now)
        }
        for worker in sorted(quarantined - workers.closed):
            logs.emit(events.WORKER_QUARANTINED, worker=worker)
        closed = unreachable | quarantined
        for worker in sorted(workers.closed - closed):
            workers.open(worker)
        for worker in sorted(closed - workers.closed):
            workers.close(worker)

    def _within_ramp_up(
        self, task: tasks.Task, now: float, planned: list[PlannedPlacement]
    ) -> bool:
        if self.back_at is None or now - self.back_at >= RAMP_UP_S:
            return True
        state = self.context.state
        share = (now - self.back_at) / RAMP_UP_S
        used = state.used_by_data_centre.get(self.data_centre, amounts.ZERO)[0]
        used += sum(state.task_by_id[choice.task].size[0] for choice in planned)
        limit = share * self.millicores_by_data_centre.get(self.data_centre, 0)
        return used + task.size[0] <= limit

    def _weight_by_data_centre(self, now: float) -> dict[str, float]:
        """Return each data centre's free capacity, in steps of an eighth.

        With coarse steps, holders agree although they have read the log up to
        slightly different offsets.
        """
        if now - self.measured_at > 1.0:
            self._measure_data_centres()
            self.measured_at = now
        weights = {}
        for name, size in self.millicores_by_data_centre.items():
            used = self.context.state.used_by_data_centre.get(name, amounts.ZERO)[0]
            weights[name] = max(1, round(8 * (size - used) / size)) * size
        return weights

    def _measure_data_centres(self) -> None:
        sizes: dict[str, int] = {}
        for instance in self.context.directory.by_id.values():
            if instance.role == "worker" and instance.state == "live":
                cores = int(instance.cores * 1000)
                name = instance.data_centre
                sizes[name] = sizes.get(name, 0) + cores
        self.millicores_by_data_centre = {
            name: size
            for name, size in sizes.items()
            if size and self._in_service(name)
        }

    def _in_service(self, data_centre: str) -> bool:
        try:
            return self.context.tree.data_centre(data_centre).state != "out"
        except KeyError:
            return False
