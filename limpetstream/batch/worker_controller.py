"""One task per worker: polls it, proves ends, renews, starts and stops.

Everything it does follows from the folded state, so a placement is acted on
only after its valid record has been read.
"""

import asyncio
import dataclasses
from typing import Any

from limpetstream import errors
from limpetstream.batch import attempts, events, messages, quotas, tasks, wire
from limpetstream.telemetry import logs

POLL_S = 1.0
IDLE_POLL_S = 5.0
CALL_S = 1.0
"""Time limit of a call, and the part of a right that it needs."""


@dataclasses.dataclass(slots=True)
class WorkerController:
    """What one holder knows of one worker.

    Args:
        worker: Id of the worker.
        duty: The holder's task for the whole data centre.
        lease_by_task: What was sent about each placed task.
        worker_clock: The worker's clock as of its last answer.
        polled_at: When the last status was asked for.
        answered_at: When the last answer came.
        failed_at: When the last call failed.
        wake: Set when there is something to do.
        shares: Throttles that are to be set, by task.
    """

    worker: str
    scheduler: Any
    lease_by_task: dict[str, attempts.Lease] = dataclasses.field(default_factory=dict)
    worker_clock: attempts.WorkerClock | None = None
    polled_at: float = float("-inf")
    answered_at: float = float("-inf")
    failed_at: float = float("-inf")
    wake: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    wanted_share_by_task: dict[str, float] = dataclasses.field(default_factory=dict)

    async def run(self) -> None:
        """Look after the worker until the duty ends."""
        while True:
            await self.reconcile()
            busy = bool(self.lease_by_task)
            try:
                async with asyncio.timeout(POLL_S if busy else IDLE_POLL_S):
                    await self.wake.wait()
            except TimeoutError:
                pass
            self.wake.clear()

    async def reconcile(self) -> None:
        """Do once all that is due."""
        now = self.scheduler.context.clock.monotonic()
        placed = self._placed(now)
        period = POLL_S if placed else IDLE_POLL_S
        if now - self.polled_at >= period * 0.9 or self._clock_old(now):
            await self._poll()
        await self._stop_due()
        await self._renew()
        await self._start()
        await self._throttle()

    def _clock_old(self, now: float) -> bool:
        limit = attempts.MAX_CLOCK_AGE_S - CALL_S
        return self.worker_clock is None or now - self.worker_clock.received_at > limit

    def _placed(self, now: float) -> list[tasks.Task]:
        """Return the tasks that the log places here and update the leases."""
        state = self.scheduler.context.state
        ids = state.task_ids_by_worker.get(self.worker, {})
        for task_id in self.lease_by_task.keys() - ids.keys():
            del self.lease_by_task[task_id]
        placed = [state.task_by_id[task_id] for task_id in ids]
        for task in placed:
            lease = self.lease_by_task.get(task.id)
            if lease is None or lease.attempt != task.attempt:
                own = task.epoch == self.scheduler.epoch
                self.lease_by_task[task.id] = attempts.Lease(task.attempt, own, now)
        return placed

    def _open(self) -> list[tasks.Task]:
        """Return placed tasks whose end is not proven yet."""
        placed = self._placed(self.scheduler.context.clock.monotonic())
        return [task for task in placed if not self.scheduler.log_outbox.has_end(task)]

    async def _poll(self) -> None:
        asked_at = self.polled_at = self.scheduler.context.clock.monotonic()
        status = await self._call(self.scheduler.context.workers.status(self.worker))
        if status is None:
            self._judge_silence()
            return
        report_by_attempt = {report.attempt: report for report in status.attempts}
        for task in self._open():
            lease = self.lease_by_task[task.id]
            name = attempts.attempt_id(task.id, task.attempt)
            report = report_by_attempt.get(name)
            if report is None:
                end = attempts.end_from_absence(task, lease, asked_at)
            else:
                lease.reported = True
                outcome = (
                    "cancelled"
                    if self.scheduler.context.state.must_stop(task)
                    else "evicted"
                )
                end = attempts.end_from_report(task, report, stop_outcome=outcome)
                self.scheduler.log_outbox.note_checkpoint(task, report.checkpoint)
            if end is not None:
                self.scheduler.log_outbox.add_end(task, end)
        await self._stop_orphans(status.attempts)

    def _judge_silence(self) -> None:
        now = self.scheduler.context.clock.monotonic()
        for task in self._open():
            end = attempts.end_from_silence(task, self.lease_by_task[task.id], now)
            if end is not None:
                self.scheduler.log_outbox.add_end(task, end)

    async def _stop_orphans(self, reports: list[Any]) -> None:
        for report in reports:
            if report.state not in attempts.RUNNING_STATES:
                continue
            known = self.scheduler.context.state.task_by_id
            if not attempts.is_orphan(report.attempt, known, self.worker):
                continue
            if not self.scheduler.may_act():
                return
            # The view may be older than the start; a fresh one decides.
            if attempts.is_orphan(report.attempt, known, self.worker):
                logs.emit(
                    events.ORPHAN_STOPPED, worker=self.worker, attempt=report.attempt
                )
                stop = self.scheduler.context.workers.stop(self.worker, report.attempt)
                await self._call(stop)

    async def _call(self, call: Any) -> Any:
        """Await a call to the worker; None if it did not answer."""
        clock = self.scheduler.context.clock
        try:
            async with asyncio.timeout(CALL_S):
                answer = await call
        except (errors.PlatformUnavailable, TimeoutError):
            if self.failed_at <= self.answered_at:
                logs.emit(events.WORKER_SILENT, worker=self.worker)
            self.failed_at = clock.monotonic()
            return None
        self.answered_at = clock.monotonic()
        self.worker_clock = attempts.WorkerClock(answer.clock_ms, self.answered_at)
        return answer

    def is_reachable(self) -> bool:
        """Tell whether the last call was answered."""
        return self.worker_clock is not None and self.answered_at > self.failed_at

    async def _stop_due(self) -> None:
        """Stop what is cancelled or gives way, all at the same time.

        One after the other, several slow checkpoints would add up to more
        than urgent work may wait.
        """
        stops = []
        for task in self._open():
            stopping = self.scheduler.context.state.must_stop(task)
            reason = "cancelled" if stopping else self.scheduler.eviction_reason(task)
            if reason is None or not self.scheduler.may_act():
                continue
            lease = self.lease_by_task[task.id]
            if not lease.may_run():
                end = attempts.make_end(task, "not-started", reason=reason)
                self.scheduler.log_outbox.add_end(task, end)
            elif self.is_reachable() and lease.reported:
                outcome = "cancelled" if stopping else "evicted"
                stops.append(self._stop(task, outcome, reason))
        if stops:
            await asyncio.gather(*stops)

    async def _stop(self, task: tasks.Task, outcome: str, reason: str) -> None:
        """Checkpoint and stop; the worker's answer says how it ended."""
        name = attempts.attempt_id(task.id, task.attempt)
        if outcome == "evicted":
            await self._call(
                self.scheduler.context.workers.checkpoint(self.worker, name)
            )
        if self.scheduler.log_outbox.has_end(task) or not self.scheduler.may_act():
            return
        final = await self._call(self.scheduler.context.workers.stop(self.worker, name))
        if final is None or final.attempt is None:
            return
        end = attempts.end_from_report(task, final.attempt, stop_outcome=outcome)
        if end is not None:
            end.reason = end.reason or reason
            self.scheduler.log_outbox.add_end(task, end)

    async def _renew(self, started: frozenset[str] = frozenset()) -> None:
        """Renew what is known to run; silence must stay silence.

        A worker that did not answer gets no renewals until it answers, so
        that the proof by silence is reached.

        Args:
            started: Tasks that have just started and are due in any case.
        """
        now = self.scheduler.context.clock.monotonic()
        due = [
            task
            for task in self._open()
            if self.lease_by_task[task.id].reported
            and (task.id in started or self.lease_by_task[task.id].renewal_due(now))
        ]
        if not due or not self.is_reachable() or self._clock_old(now):
            return
        if not self.scheduler.holds_right_for(CALL_S):
            return
        until = self.worker_clock.lease_until_ms(now, attempts.TASK_LEASE_S)
        for task in due:
            self.lease_by_task[task.id].sent_at = now
        items = [wire.lease_item(task, until) for task in due]
        answer = await self._call(
            self.scheduler.context.workers.renew(self.worker, items)
        )
        if answer is not None:
            for task in due:
                lease = self.lease_by_task.get(task.id)
                if lease is not None:
                    lease.renewed_at = now

    async def _start(self) -> None:
        waiting = [
            task
            for task in self._open()
            if self.lease_by_task[task.id].placed_here
            and self.lease_by_task[task.id].sent_at is None
        ]
        now = self.scheduler.context.clock.monotonic()
        if waiting and not self.is_reachable():
            self._give_up(waiting, now)
            return
        ready = self._fitting_tasks(waiting)
        if not ready or self._clock_old(now) or not self.scheduler.may_start():
            return
        until = self.worker_clock.lease_until_ms(now, attempts.START_BOUND_S)
        for task in ready:
            self.lease_by_task[task.id].sent_at = now
        items = [
            wire.start_item(task, self.scheduler.context.state, until) for task in ready
        ]
        answer = await self._call(
            self.scheduler.context.workers.start(self.worker, items)
        )
        if answer is None:
            self.polled_at = float("-inf")
            return
        self._note_started(ready, wire.refusals(answer))
        # The lease of a start is short; it is extended at once.
        await self._renew(frozenset(task.id for task in ready))

    def _give_up(self, waiting: list[tasks.Task], now: float) -> None:
        """End placements whose worker does not answer; nothing was sent."""
        for task in waiting:
            since = max(self.lease_by_task[task.id].known_at, self.answered_at)
            if now - since > attempts.ANSWER_WAIT_S:
                end = attempts.make_end(task, "not-started", reason="worker is silent")
                self.scheduler.log_outbox.add_end(task, end)

    def _fitting_tasks(self, waiting: list[tasks.Task]) -> list[tasks.Task]:
        """Return what fits beside all attempts that may run there."""
        now = self.scheduler.context.clock.monotonic()
        room = self.scheduler.size_of(self.worker)
        for task in self._open():
            if self.lease_by_task[task.id].may_run():
                room = quotas.subtract(room, task.size)
        ready = []
        for task in waiting:
            if self.scheduler.eviction_reason(task) is not None:
                continue
            if quotas.fits(task.size, room):
                ready.append(task)
                room = quotas.subtract(room, task.size)
            elif now - self.lease_by_task[task.id].known_at > attempts.ROOM_WAIT_S:
                end = attempts.make_end(task, "not-started", reason="no room in time")
                self.scheduler.log_outbox.add_end(task, end)
        return ready

    def _note_started(self, ready: list[tasks.Task], refused: dict[str, str]) -> None:
        for task in ready:
            name = attempts.attempt_id(task.id, task.attempt)
            lease = self.lease_by_task.get(task.id)
            if lease is None or lease.attempt != task.attempt:
                continue
            if name in refused:
                # The first and only start of this attempt took no effect.
                end = messages.End(
                    task.id, task.attempt, "not-started", "", refused[name]
                )
                self.scheduler.log_outbox.add_end(task, end)
            else:
                lease.reported = True
                self.scheduler.count_start(task)

    async def _throttle(self) -> None:
        """Set wanted throttles; this goes on while the log is down."""
        for task_id, share in list(self.wanted_share_by_task.items()):
            lease = self.lease_by_task.get(task_id)
            if lease is None or not lease.reported:
                del self.wanted_share_by_task[task_id]
                continue
            if not self.is_reachable() or not self.scheduler.holds_right_for(CALL_S):
                return
            name = attempts.attempt_id(task_id, lease.attempt)
            call = self.scheduler.context.workers.throttle(self.worker, name, share)
            if await self._call(call) is not None:
                lease.share = share
                self.wanted_share_by_task.pop(task_id, None)
