"""What the holder of a data centre's workers does while it holds them."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Iterator

from limpetstream import errors
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
    quotas,
    tasks,
    worker_controller,
)
from limpetstream.telemetry import logs

MAX_VIEW_AGE_S = 1.0
MAX_DIRECTORY_AGE_S = 1.0
ROUND_INTERVAL_S = 0.1
CHECKPOINT_INTERVAL_S = 2.0
WORKER_SYNC_INTERVAL_S = 0.3
DRAIN_EVICTIONS_PER_S = 50.0
"""Evictions a second while a data centre is out."""


@dataclasses.dataclass(slots=True)
class DataCentreScheduler:
    """One holding of the workers of a data centre, from claim to end.

    Args:
        data_centre: The data centre.
        epoch: Epoch of the right.
        parts: Parts of the process that are used.
        fleet: Index of its workers.
        rounds: Choice of placements.
        guard: Quarantine of workers.
        near: Colocation of its workers.
        sending: Proven ends and new checkpoints on their way to the log.
        care_by_worker: Knowledge of each worker.
        reason_by_key: Attempts that are to be evicted, and why.
        drain_credit: Evictions that may start now while the centre is out.
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
        """Resource whose right this is."""
        return jobs.resource_of(self.data_centre)

    async def run(self) -> None:
        """Look after the data centre until cancelled."""
        with self._notified():
            async with asyncio.TaskGroup() as group:
                group.create_task(self._repeat(self.run_round, ROUND_INTERVAL_S))
                group.create_task(self.log_outbox.run())
                group.create_task(
                    self._repeat(self._flush_checkpoints, CHECKPOINT_INTERVAL_S)
                )
                while True:
                    self._match_workers(group)
                    await self.context.clock.sleep(WORKER_SYNC_INTERVAL_S)

    async def _repeat(self, step: object, period_s: float) -> None:
        while True:
            await step()  # type: ignore[operator]
            await self.context.clock.sleep(period_s)

    @contextlib.contextmanager
    def _notified(self) -> Iterator[None]:
        callbacks = self.context.state.on_worker_change
        callbacks.append(self._changed)
        try:
            yield
        finally:
            callbacks.remove(self._changed)

    def _changed(self, worker: str) -> None:
        self.fleet.dirty[worker] = None
        known = self.controller_by_worker.get(worker)
        if known is not None:
            known.wake.set()

    def _match_workers(self, group: asyncio.TaskGroup) -> None:
        """Have one task for each worker that is listed or has attempts."""
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
            known = worker_controller.WorkerController(worker, self)
            self.controller_by_worker[worker] = known
            self.runner_by_worker[worker] = group.create_task(known.run())

    def holds_right_for(self, bound_s: float) -> bool:
        """Tell whether the right lasts until an effect is bounded."""
        now = self.context.clock.monotonic()
        right = self.context.membership_agent.usable_right(self.resource, now)
        if right is None or right.epoch != self.epoch:
            return False
        return right.expires_at >= now + bound_s

    def may_act(self) -> bool:
        """Tell whether the right is held and the views are fresh."""
        now = self.context.clock.monotonic()
        fresh = self.context.view.age(now) < MAX_VIEW_AGE_S
        listed = self.context.directory.age(now) < MAX_DIRECTORY_AGE_S
        return fresh and listed and self.holds_right_for(worker_controller.CALL_S)

    def may_start(self) -> bool:
        """Tell whether something may start in the data centre now."""
        return self.may_act() and not self.is_out()

    def is_out(self) -> bool:
        """Tell whether the data centre is out of service."""
        try:
            return self.context.tree.data_centre(self.data_centre).state == "out"
        except KeyError:
            return True

    def eviction_reason(self, task: tasks.Task) -> str | None:
        """Return why a task's present attempt is to be evicted, or None."""
        return self.eviction_reason_by_attempt.get((task.id, task.attempt))

    def request_eviction(self, task_id: str, reason: str) -> None:
        """Let a placed task be checkpointed and stopped."""
        task = self.context.state.task_by_id.get(task_id)
        if task is None or task.state != "placed":
            return
        if (task_id, task.attempt) not in self.eviction_reason_by_attempt:
            self.eviction_reason_by_attempt[task_id, task.attempt] = reason
            logs.emit(events.TASK_EVICTED, task=task_id, reason=reason)
        known = self.controller_by_worker.get(task.worker)
        if known is not None:
            known.wake.set()

    def count_start(self, task: tasks.Task) -> None:
        """Count a start that a worker has answered."""
        self.context.metrics.increment("batch_starts", data_centre=self.data_centre)

    def size_of(self, worker: str) -> quotas.Amount:
        """Return what batch work may use of a worker by declared sizes."""
        room = self.fleet.workers.capacity_by_worker.get(worker)
        return room.size if room is not None else quotas.ZERO

    def share_by_task(self) -> dict[str, float]:
        """Return the throttles in force or wanted, by task."""
        share_by_task = {}
        for known in self.controller_by_worker.values():
            for task_id, lease in known.lease_by_task.items():
                share_by_task[task_id] = known.wanted_share_by_task.get(
                    task_id, lease.share
                )
        return share_by_task

    def apply_actions(self, actions: list[colocation.Action]) -> None:
        """Pass the steps of colocation to the workers' tasks."""
        for action in actions:
            task = self.context.state.task_by_id.get(action.task)
            known = self.controller_by_worker.get(task.worker) if task else None
            if known is None:
                continue
            if action.kind == "evict":
                self.request_eviction(action.task, "slows a desk service")
            else:
                known.wanted_share_by_task[action.task] = action.share
                known.wake.set()

    async def append(self, kind: str, body: object) -> bool:
        """Append under the right; False if it was not confirmed in time."""
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
        """Run one round: drain if the centre is out, else place tasks."""
        now = self.context.clock.monotonic()
        outbox.drop_ended(self.eviction_reason_by_attempt, self.context.state)
        self.planner.note_state(self.is_out(), now)
        if self.is_out():
            self._drain(now)
        if not self.may_start():
            return
        self.fleet.refresh()
        leaving = {key[0] for key in self.eviction_reason_by_attempt}
        picks = self.planner.choose(now, leaving, self._silent())
        if not picks:
            return
        placements = [
            messages.Placement(pick.task, pick.attempt, pick.worker) for pick in picks
        ]
        body = messages.TaskPlace(placements, self.context.clock.wall_ms())
        await self.append("task.place", body)
        self.fleet.dirty.update(dict.fromkeys(pick.worker for pick in picks))
        for pick in picks:
            self._after(pick)

    def _silent(self) -> set[str]:
        """Return workers that have not answered yet, or not any more."""
        return {
            worker
            for worker in self.fleet.instance_by_id
            if worker not in self.controller_by_worker
            or not self.controller_by_worker[worker].is_reachable()
        }

    def _after(self, pick: planner.PlannedPlacement) -> None:
        """Let others give way to a placement that turned out valid."""
        task = self.context.state.task_by_id.get(pick.task)
        if task is None or task.state != "placed" or not pick.victims:
            return
        if task.attempt != pick.attempt or task.worker != pick.worker:
            return
        logs.emit(events.PREEMPTED, task=task.id, victims=pick.victims)
        for victim in pick.victims:
            self.request_eviction(victim, f"gives way to {task.id}")

    def _drain(self, now: float) -> None:
        """Evict at a bounded rate, so that the others are not flooded."""
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
                    and key not in self.log_outbox.end_by_key
                ):
                    self.drain_credit -= 1.0
                    self.request_eviction(task_id, "the data centre is out")
