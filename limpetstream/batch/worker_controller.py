"""Controller of one worker: starts, renews, stops and polls its attempts.

It acts only on the state that was applied from the log, so a placement takes
effect only after its valid record has been read back.
"""

import asyncio
import dataclasses
from typing import Any

from limpetstream import amounts, errors
from limpetstream.batch import attempts, events, messages, tasks, wire
from limpetstream.telemetry import logs

POLL_INTERVAL_S = 1.0
IDLE_POLL_INTERVAL_S = 5.0
CALL_TIMEOUT_S = 1.0
"""Timeout of a call; the right must last at least this long to make one."""


@dataclasses.dataclass(slots=True)
class WorkerController:
    """Drives one worker towards what the log says should run there.

    Times are in monotonic seconds.

    Args:
        worker: Id of the worker.
        scheduler: Scheduler of the worker's data centre.
        lease_by_task: What was sent to the worker about each placed task.
        worker_clock: The worker's clock as of its last answer.
        polled_at: When the status was last requested.
        answered_at: When the last answer arrived.
        failed_at: When the last call failed.
        wake: Set to run the next pass at once.
        wanted_share_by_task: Throttles that are still to be set, by task.
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
        """Control the worker until the data centre scheduler ends."""
        while True:
            await self.reconcile()
            busy = bool(self.lease_by_task)
            try:
                async with asyncio.timeout(
                    POLL_INTERVAL_S if busy else IDLE_POLL_INTERVAL_S
                ):
                    await self.wake.wait()
            except TimeoutError:
                pass
            self.wake.clear()

    async def reconcile(self) -> None:
        """Run one pass: poll, stop, renew, start and throttle what is due."""
        now = self.scheduler.context.clock.monotonic()
        placed = self._sync_leases(now)
        period = POLL_INTERVAL_S if placed else IDLE_POLL_INTERVAL_S
        if now - self.polled_at >= period * 0.9 or self._clock_is_stale(now):
            await self._poll()
        await self._stop_requested()
        await self._renew()
        await self._start()
        await self._throttle()

    def _clock_is_stale(self, now: float) -> bool:
        limit = attempts.MAX_CLOCK_AGE_S - CALL_TIMEOUT_S
        return self.worker_clock is None or now - self.worker_clock.received_at > limit

    def _sync_leases(self, now: float) -> list[tasks.Task]:
        """Update the leases and return the tasks that the log places here."""
        state = self.scheduler.context.state
        ids = state.task_ids_by_worker.get(self.worker, {})
        for task_id in self.lease_by_task.keys() - ids.keys():
            del self.lease_by_task[task_id]
        placed = [state.task_by_id[task_id] for task_id in ids]
        for task in placed:
            lease = self.lease_by_task.get(task.id)
            if lease is None or lease.attempt != task.attempt:
                placed_here = task.epoch == self.scheduler.epoch
                self.lease_by_task[task.id] = attempts.Lease(
                    task.attempt, placed_here, now
                )
        return placed

    def _tasks_without_end(self) -> list[tasks.Task]:
        """Return placed tasks whose end is not proven yet."""
        placed = self._sync_leases(self.scheduler.context.clock.monotonic())
        return [
            task for task in placed if not self.scheduler.log_outbox.is_end_proven(task)
        ]

    async def _poll(self) -> None:
        asked_at = self.polled_at = self.scheduler.context.clock.monotonic()
        status = await self._call(self.scheduler.context.workers.status(self.worker))
        if status is None:
            self._end_after_silence()
            return
        report_by_attempt = {report.attempt: report for report in status.attempts}
        for task in self._tasks_without_end():
            lease = self.lease_by_task[task.id]
            attempt_id = attempts.attempt_id(task.id, task.attempt)
            report = report_by_attempt.get(attempt_id)
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

    def _end_after_silence(self) -> None:
        now = self.scheduler.context.clock.monotonic()
        for task in self._tasks_without_end():
            end = attempts.end_from_silence(task, self.lease_by_task[task.id], now)
            if end is not None:
                self.scheduler.log_outbox.add_end(task, end)

    async def _stop_orphans(self, reports: list[Any]) -> None:
        for report in reports:
            if report.state not in attempts.RUNNING_STATES:
                continue
            task_by_id = self.scheduler.context.state.task_by_id
            if not attempts.is_orphan(report.attempt, task_by_id, self.worker):
                continue
            if not self.scheduler.may_act():
                return
            # The view may have been older than the start of this attempt, so
            # check again now that the view is known to be fresh.
            if attempts.is_orphan(report.attempt, task_by_id, self.worker):
                logs.emit(
                    events.ORPHAN_STOPPED, worker=self.worker, attempt=report.attempt
                )
                stop = self.scheduler.context.workers.stop(self.worker, report.attempt)
                await self._call(stop)

    async def _call(self, call: Any) -> Any:
        """Await a call to the worker and return its answer, or None."""
        clock = self.scheduler.context.clock
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
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
        """Return whether the last call was answered."""
        return self.worker_clock is not None and self.answered_at > self.failed_at

    async def _stop_requested(self) -> None:
        """Stop all cancelled and evicted tasks concurrently.

        In sequence, several slow checkpoints would delay urgent work for
        longer than it may wait.
        """
        stops = []
        for task in self._tasks_without_end():
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
        """Checkpoint and stop a task; the worker's answer gives its end."""
        attempt_id = attempts.attempt_id(task.id, task.attempt)
        if outcome == "evicted":
            await self._call(
                self.scheduler.context.workers.checkpoint(self.worker, attempt_id)
            )
        if (
            self.scheduler.log_outbox.is_end_proven(task)
            or not self.scheduler.may_act()
        ):
            return
        final = await self._call(
            self.scheduler.context.workers.stop(self.worker, attempt_id)
        )
        if final is None or final.attempt is None:
            return
        end = attempts.end_from_report(task, final.attempt, stop_outcome=outcome)
        if end is not None:
            end.reason = end.reason or reason
            self.scheduler.log_outbox.add_end(task, end)

    async def _renew(self, started: frozenset[str] = frozenset()) -> None:
        """Renew the leases of attempts that are known to run.

        A worker that did not answer gets no renewals until it answers:
        a renewal that arrives would extend the leases, and their expiry could
        not be proven.

        Args:
            started: Tasks that have just started and are due in any case.
        """
        now = self.scheduler.context.clock.monotonic()
        due = [
            task
            for task in self._tasks_without_end()
            if self.lease_by_task[task.id].reported
            and (task.id in started or self.lease_by_task[task.id].needs_renewal(now))
        ]
        if not due or not self.is_reachable() or self._clock_is_stale(now):
            return
        if not self.scheduler.holds_right_for(CALL_TIMEOUT_S):
            return
        until_ms = self.worker_clock.lease_until_ms(now, attempts.TASK_LEASE_S)
        for task in due:
            self.lease_by_task[task.id].sent_at = now
        items = [wire.lease_item(task, until_ms) for task in due]
        answer = await self._call(
            self.scheduler.context.workers.renew(self.worker, items)
        )
        if answer is not None:
            for task in due:
                lease = self.lease_by_task.get(task.id)
                if lease is not None:
                    lease.renewed_at = now

    async def _start(self) -> None:
        unsent = [
            task
            for task in self._tasks_without_end()
            if self.lease_by_task[task.id].placed_here
            and self.lease_by_task[task.id].sent_at is None
        ]
        now = self.scheduler.context.clock.monotonic()
        if unsent and not self.is_reachable():
            self._end_unsent(unsent, now)
            return
        ready = self._fitting_tasks(unsent)
        if not ready or self._clock_is_stale(now) or not self.scheduler.may_start():
            return
        until_ms = self.worker_clock.lease_until_ms(now, attempts.START_LEASE_S)
        for task in ready:
            self.lease_by_task[task.id].sent_at = now
        items = [
            wire.start_item(task, self.scheduler.context.state, until_ms)
            for task in ready
        ]
        answer = await self._call(
            self.scheduler.context.workers.start(self.worker, items)
        )
        if answer is None:
            # Let the next pass poll, which tells whether the attempts started.
            self.polled_at = float("-inf")
            return
        self._record_starts(ready, wire.refusals(answer))
        # A start carries a short lease only, so extend it at once.
        await self._renew(frozenset(task.id for task in ready))

    def _end_unsent(self, unsent: list[tasks.Task], now: float) -> None:
        """End placements that were never sent because the worker is silent."""
        for task in unsent:
            since = max(self.lease_by_task[task.id].known_at, self.answered_at)
            if now - since > attempts.ANSWER_TIMEOUT_S:
                end = attempts.make_end(task, "not-started", reason="worker is silent")
                self.scheduler.log_outbox.add_end(task, end)

    def _fitting_tasks(self, unsent: list[tasks.Task]) -> list[tasks.Task]:
        """Return the tasks that fit beside all attempts that may still run.

        Tasks that have waited too long for capacity are ended.
        """
        now = self.scheduler.context.clock.monotonic()
        free = self.scheduler.size_of(self.worker)
        for task in self._tasks_without_end():
            if self.lease_by_task[task.id].may_run():
                free = amounts.subtract(free, task.size)
        ready = []
        for task in unsent:
            if self.scheduler.eviction_reason(task) is not None:
                continue
            if amounts.fits(task.size, free):
                ready.append(task)
                free = amounts.subtract(free, task.size)
            elif (
                now - self.lease_by_task[task.id].known_at > attempts.CAPACITY_TIMEOUT_S
            ):
                end = attempts.make_end(task, "not-started", reason="no room in time")
                self.scheduler.log_outbox.add_end(task, end)
        return ready

    def _record_starts(self, ready: list[tasks.Task], refused: dict[str, str]) -> None:
        for task in ready:
            attempt_id = attempts.attempt_id(task.id, task.attempt)
            lease = self.lease_by_task.get(task.id)
            if lease is None or lease.attempt != task.attempt:
                continue
            if attempt_id in refused:
                # An attempt is started only once, so it never ran.
                end = messages.End(
                    task.id, task.attempt, "not-started", "", refused[attempt_id]
                )
                self.scheduler.log_outbox.add_end(task, end)
            else:
                lease.reported = True
                self.scheduler.count_start(task)

    async def _throttle(self) -> None:
        """Set the wanted throttles; this needs no log, only the right."""
        for task_id, share in list(self.wanted_share_by_task.items()):
            lease = self.lease_by_task.get(task_id)
            if lease is None or not lease.reported:
                del self.wanted_share_by_task[task_id]
                continue
            if not self.is_reachable() or not self.scheduler.holds_right_for(
                CALL_TIMEOUT_S
            ):
                return
            attempt_id = attempts.attempt_id(task_id, lease.attempt)
            call = self.scheduler.context.workers.throttle(
                self.worker, attempt_id, share
            )
            if await self._call(call) is not None:
                lease.share = share
                self.wanted_share_by_task.pop(task_id, None)
