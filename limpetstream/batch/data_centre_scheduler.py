"""Scheduler of one data centre, run by the holder of the right to its workers.

It places pending tasks, evicts tasks, drains the data centre when it is out of
service, and runs one controller per worker.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import Iterator

from limpetstream import amounts, errors
from limpetstream.batch import (
    colocation,
    colocation_monitor,
    context,
    events,
    fleet,
    jobs,
    messages,
    outbox,
    planner,
    quarantine,
    tasks,
    worker_controller,
)
from limpetstream.telemetry import logs

MAX_VIEW_AGE_S = 1.0
MAX_LIST_AGE_S = 1.0
ROUND_INTERVAL_S = 0.1
CHECKPOINT_INTERVAL_S = 2.0
WORKER_SYNC_INTERVAL_S = 0.3
DRAIN_EVICTIONS_PER_S = 50.0
"""Evictions per second while a data centre is out of service."""


@dataclasses.dataclass(slots=True)
class DataCentreScheduler:
    """Schedules a data centre's workers while the right to them is held.

    Args:
        data_centre: The data centre.
        epoch: Epoch of the right.
        context: Dependencies from the rest of the process.
        fleet: Index of its workers.
        planner: Chooses placements.
        quarantine: Quarantine of workers.
        colocation_monitor: Watches desk services that share its workers.
        controller_by_worker: Controller of each worker.
        runner_by_worker: The asyncio task that runs each controller.
        eviction_reason_by_attempt: Attempts that are to be evicted, and why.
        log_outbox: Proven ends and new checkpoints on their way to the log.
        drain_credit: Evictions that may start now while the data centre is
            out of service.
        drained_at: Monotonic time at which the credit was last increased.
    """

    data_centre: str
    epoch: int
    context: context.Context
    fleet: fleet.Fleet
    planner: planner.Planner
    quarantine: quarantine.Quarantine
    colocation_monitor: colocation_monitor.ColocationMonitor
    controller_by_worker: dict[str, worker_controller.WorkerController] = (
        dataclasses.field(default_factory=dict)
    )
    runner_by_worker: dict[str, asyncio.Task[None]] = dataclasses.field(
        default_factory=dict
    )
    eviction_reason_by_attempt: dict[outbox.AttemptKey, str] = dataclasses.field(
        default_factory=dict
    )
    log_outbox: outbox.Outbox = dataclasses.field(init=False)
    drain_credit: float = 0.0
    drained_at: float = 0.0

    def __post_init__(self) -> None:
        self.log_outbox = outbox.Outbox(self.context, self.quarantine, self.append)

    @property
    def resource(self) -> str:
        """Resource that the right covers."""
        return jobs.resource_of(self.data_centre)

    async def run(self) -> None:
        """Schedule the data centre until cancelled."""
        with self._subscribed():
            async with asyncio.TaskGroup() as group:
                group.create_task(self._repeat(self.run_round, ROUND_INTERVAL_S))
                group.create_task(self.log_outbox.run())
                group.create_task(
                    self._repeat(self._flush_checkpoints, CHECKPOINT_INTERVAL_S)
                )
                while True:
                    self._reconcile_controllers(group)
                    await self.context.clock.sleep(WORKER_SYNC_INTERVAL_S)

    async def _repeat(self, step: object, period_s: float) -> None:
        while True:
            await step()  # type: ignore[operator]
            await self.context.clock.sleep(period_s)

    @contextlib.contextmanager
    def _subscribed(self) -> Iterator[None]:
        callbacks = self.context.state.on_worker_change
        callbacks.append(self._worker_changed)
        try:
            yield
        finally:
            callbacks.remove(self._worker_changed)

    def _worker_changed(self, worker: str) -> None:
        self.fleet.dirty[worker] = None
        controller = self.controller_by_worker.get(worker)
        if controller is not None:
            controller.wake.set()

    def _reconcile_controllers(self, group: asyncio.TaskGroup) -> None:
        """Run one controller per worker that is listed or has attempts."""
        self.fleet.refresh()
        wanted = set(self.fleet.instance_by_id)
        for worker, ids in self.context.state.task_ids_by_worker.items():
            first = self.context.state.task_by_id[next(iter(ids))]
            if first.data_centre == self.data_centre:
                wanted.add(worker)
        for worker in sorted(self.controller_by_worker.keys() - wanted):
            self.runner_by_worker.pop(worker).cancel()
            del self.controller_by_worker[worker]
        for worker in sorted(wanted - self.controller_by_worker.keys()):
            controller = worker_controller.WorkerController(worker, self)
            self.controller_by_worker[worker] = controller
            self.runner_by_worker[worker] = group.create_task(controller.run())

    def holds_right_for(self, bound_s: float) -> bool:
        """Return whether the right is held for at least this long.

        Args:
            bound_s: Seconds until the effect of a call has ended for certain.
        """
        now = self.context.clock.monotonic()
        right = self.context.membership_agent.usable_right(self.resource, now)
        if right is None or right.epoch != self.epoch:
            return False
        return right.expires_at >= now + bound_s

    def may_act(self) -> bool:
        """Return whether the right is held and the views are fresh."""
        now = self.context.clock.monotonic()
        fresh = self.context.view.age(now) < MAX_VIEW_AGE_S
        listed = self.context.directory.age(now) < MAX_LIST_AGE_S
        return (
            fresh and listed and self.holds_right_for(worker_controller.CALL_TIMEOUT_S)
        )

    def may_start(self) -> bool:
        """Return whether tasks may start in the data centre now."""
        return self.may_act() and not self.is_out()

    def is_out(self) -> bool:
        """Return whether the data centre is out of service or unknown."""
        try:
            return self.context.tree.data_centre(self.data_centre).state == "out"
        except KeyError:
            return True

    def eviction_reason(self, task: tasks.Task) -> str | None:
        """Return why a task's current attempt is to be evicted, or None."""
        return self.eviction_reason_by_attempt.get((task.id, task.attempt))

    def request_eviction(self, task_id: str, reason: str) -> None:
        """Ask the worker's controller to checkpoint and stop a placed task."""
        task = self.context.state.task_by_id.get(task_id)
        if task is None or task.state != "placed":
            return
        if (task_id, task.attempt) not in self.eviction_reason_by_attempt:
            self.eviction_reason_by_attempt[task_id, task.attempt] = reason
            logs.emit(events.TASK_EVICTED, task=task_id, reason=reason)
        controller = self.controller_by_worker.get(task.worker)
        if controller is not None:
            controller.wake.set()

    def count_start(self, task: tasks.Task) -> None:
        """Count a start that a worker has confirmed."""
        self.context.metrics.increment("batch_starts", data_centre=self.data_centre)

    def size_of(self, worker: str) -> amounts.Amount:
        """Return what batch tasks may use of a worker, by declared sizes."""
        capacity = self.fleet.workers.capacity_by_worker.get(worker)
        return capacity.size if capacity is not None else amounts.ZERO

    def share_by_task(self) -> dict[str, float]:
        """Return each task's share of its processors, wanted or in force."""
        share_by_task = {}
        for controller in self.controller_by_worker.values():
            for task_id, lease in controller.lease_by_task.items():
                share_by_task[task_id] = controller.wanted_share_by_task.get(
                    task_id, lease.share
                )
        return share_by_task

    def apply_actions(self, actions: list[colocation.Action]) -> None:
        """Pass throttles and evictions to the controllers of the workers."""
        for action in actions:
            task = self.context.state.task_by_id.get(action.task)
            controller = self.controller_by_worker.get(task.worker) if task else None
            if controller is None:
                continue
            if action.kind == "evict":
                self.request_eviction(action.task, "slows a desk service")
            else:
                controller.wanted_share_by_task[action.task] = action.share
                controller.wake.set()

    async def append(self, kind: str, body: object) -> bool:
        """Append a record under the right; False if not confirmed in time."""
        try:
            await self.context.committer.append(
                kind, body, resource=self.resource, epoch=self.epoch
            )
        except errors.LogUnavailable:
            logs.emit(events.LOG_UNAVAILABLE, kind=kind)
            return False
        return True

    async def _flush_checkpoints(self) -> None:
        if self.holds_right_for(0.0):
            await self.log_outbox.flush_checkpoints()

    async def run_round(self) -> None:
        """Drain the data centre if it is out of service, else place tasks."""
        now = self.context.clock.monotonic()
        outbox.drop_ended(self.eviction_reason_by_attempt, self.context.state)
        self.planner.note_service_state(self.is_out(), now)
        if self.is_out():
            self._drain(now)
        if not self.may_start():
            return
        self.fleet.refresh()
        evicting = {key[0] for key in self.eviction_reason_by_attempt}
        planned = self.planner.choose(now, evicting, self._unreachable_workers())
        if not planned:
            return
        placements = [
            messages.Placement(choice.task, choice.attempt, choice.worker)
            for choice in planned
        ]
        body = messages.TaskPlace(placements, self.context.clock.wall_ms())
        await self.append("task.place", body)
        self.fleet.dirty.update(dict.fromkeys(choice.worker for choice in planned))
        for choice in planned:
            self._evict_victims(choice)

    def _unreachable_workers(self) -> set[str]:
        """Return workers whose last call failed or that never answered."""
        return {
            worker
            for worker in self.fleet.instance_by_id
            if worker not in self.controller_by_worker
            or not self.controller_by_worker[worker].is_reachable()
        }

    def _evict_victims(self, choice: planner.PlannedPlacement) -> None:
        """Evict the victims of a placement once the log has accepted it."""
        task = self.context.state.task_by_id.get(choice.task)
        if task is None or task.state != "placed" or not choice.victims:
            return
        if task.attempt != choice.attempt or task.worker != choice.worker:
            return
        logs.emit(events.PREEMPTED, task=task.id, victims=choice.victims)
        for victim in choice.victims:
            self.request_eviction(victim, f"gives way to {task.id}")

    def _drain(self, now: float) -> None:
        """Evict at a bounded rate, so as not to flood other data centres."""
        elapsed, self.drained_at = now - self.drained_at, now
        credit = self.drain_credit + elapsed * DRAIN_EVICTIONS_PER_S
        self.drain_credit = min(credit, DRAIN_EVICTIONS_PER_S * ROUND_INTERVAL_S * 2)
        state = self.context.state
        for worker in self.controller_by_worker:
            for task_id in state.task_ids_by_worker.get(worker, ()):
                if self.drain_credit < 1.0:
                    return
                key = (task_id, state.task_by_id[task_id].attempt)
                if (
                    key not in self.eviction_reason_by_attempt
                    and key not in self.log_outbox.end_by_attempt
                ):
                    self.drain_credit -= 1.0
                    self.request_eviction(task_id, "the data centre is out")
