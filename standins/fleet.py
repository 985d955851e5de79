"""Simulates all workers of the platform and detects violated guarantees."""

import collections
import dataclasses
import math
import random
from collections.abc import Iterable
from typing import Any

from limpetstream import errors
from limpetstream.platform import messages
from standins import executions, faults

# A start later than this after the data centre was taken out is a breach.
MAX_START_DELAY_AFTER_OUT_S = 3.0
# The workers' clocks start far apart, as those of real machines do.
MAX_INITIAL_CLOCK_MS = 1_000_000


class UnknownWorker(errors.PlatformUnavailable):
    """The platform has no worker of this id."""


@dataclasses.dataclass(slots=True)
class TaskRecord:
    """History of one task over all workers.

    Args:
        job: Job that the task belongs to.
        watcher: Whether the task is a watcher, which has no end.
        worker_by_attempt: Workers that the attempts were started on.
        finish_count: How often an attempt of the task finished.
        newest_checkpoint_s: Work in the newest checkpoint, in seconds.
    """

    job: str = ""
    watcher: bool = False
    worker_by_attempt: dict[str, str] = dataclasses.field(default_factory=dict)
    finish_count: int = 0
    newest_checkpoint_s: float = 0.0


class Fleet:
    """All workers of the platform.

    Every call first simulates the worker's attempts up to ``now``, which is
    the platform's time in seconds.

    ``record_by_task`` holds the history of each task,
    ``out_since_by_data_centre`` the platform's time at which a data centre was
    taken out, ``reserved_by_worker`` the backend server for which part of a
    worker is reserved, and ``totals`` counters such as finished and lost
    attempts.

    Args:
        switches: Fault switches.
        breaches: Counters of violated guarantees.
        seed: Seed of the initial values of the workers' clocks.
    """

    def __init__(
        self, *, switches: faults.Faults, breaches: faults.Breaches, seed: int = 1
    ) -> None:
        self._switches = switches
        self._breaches = breaches
        self._random = random.Random(seed)
        self.worker_by_id: dict[str, executions.Worker] = {}
        self.record_by_task: dict[str, TaskRecord] = {}
        self.out_since_by_data_centre: dict[str, float] = {}
        self.reserved_by_worker: dict[str, messages.Instance] = {}
        self.totals: collections.Counter[str] = collections.Counter()

    def add_worker(self, instance: messages.Instance, now: float) -> None:
        """Add a worker whose clock starts at a random value."""
        self.worker_by_id[instance.id] = executions.Worker(
            instance.id,
            instance.data_centre,
            instance.rack,
            instance.cores,
            instance.memory_gb,
            instance.accelerators,
            clock_base_ms=float(self._random.randrange(MAX_INITIAL_CLOCK_MS)),
            clock_base_at=now,
            advanced_at=now,
        )

    def worker(self, worker_id: str, now: float) -> executions.Worker:
        """Return a worker whose attempts are simulated up to ``now``.

        Raises:
            UnknownWorker: There is no worker of this id.
            PlatformUnavailable: The worker is dead.
        """
        worker = self.worker_by_id.get(worker_id)
        if worker is None:
            raise UnknownWorker(f"unknown worker {worker_id}")
        self.advance(worker, now)
        if worker.dead:
            raise errors.PlatformUnavailable(f"worker {worker_id} is dead")
        return worker

    def advance(self, worker: executions.Worker, now: float) -> None:
        """Simulate one worker up to ``now`` and count finished attempts."""
        for attempt in worker.advance(now, self._switches):
            start = worker.execution_by_attempt[attempt].start
            record = self.record_by_task[start.task]
            record.finish_count += 1
            self.totals["finished"] += 1
            if record.finish_count > 1:
                detail = f"{start.task} by {attempt} on {worker.id}"
                self._breaches.count("done_twice", detail)

    def advance_all(self, now: float) -> None:
        """Simulate all workers up to ``now``."""
        for worker in self.worker_by_id.values():
            self.advance(worker, now)

    def apply_switches(self, now: float, before: faults.Faults) -> None:
        """Apply changed switches to the workers."""
        self.advance_all(now)
        for worker in self.worker_by_id.values():
            names = {worker.id, worker.rack, worker.data_centre}
            worker.paused = not names.isdisjoint(self._switches.paused_workers)
            dead = not names.isdisjoint(self._switches.dead_workers)
            if dead and not worker.dead:
                self.totals["lost"] += len(worker.active_by_attempt)
                worker.execution_by_attempt.clear()
                worker.active_by_attempt.clear()
            worker.dead = dead
            clock_switch = self._switches.clock_by_worker.get(worker.id)
            if clock_switch and clock_switch != before.clock_by_worker.get(worker.id):
                worker.set_clock(now, clock_switch)

    def status(self, worker_id: str, now: float) -> messages.Status:
        """Return the states of all attempts on a worker."""
        worker = self.worker(worker_id, now)
        return messages.Status(
            worker.clock_ms(now),
            [
                execution.to_message(attempt)
                for attempt, execution in worker.execution_by_attempt.items()
            ],
        )

    def start(
        self, worker_id: str, starts: Iterable[messages.Start], now: float
    ) -> messages.Started:
        """Start attempts; starting an attempt again has no effect."""
        worker = self.worker(worker_id, now)
        answers = [self._start(worker, start, now) for start in starts]
        for answer in answers:
            self.totals[f"start_{answer.result}"] += 1
        return messages.Started(worker.clock_ms(now), answers)

    def _start(
        self, worker: executions.Worker, start: messages.Start, now: float
    ) -> messages.StartAnswer:
        known = worker.execution_by_attempt.get(start.attempt)
        if known is not None and known.start is None:
            return messages.StartAnswer(start.attempt, "refused", "stopped before")
        if known is not None:
            return messages.StartAnswer(start.attempt, "already", known.state)
        if start.lease_until_ms <= worker.clock_ms(now):
            return messages.StartAnswer(start.attempt, "refused", "lease has passed")
        self._check_start_allowed(worker, start, now)
        execution = self._make_execution(worker, start)
        worker.execution_by_attempt[start.attempt] = execution
        worker.active_by_attempt[start.attempt] = execution
        record = self.record_by_task.setdefault(
            start.task, TaskRecord(start.job, start.run_s <= 0)
        )
        record.worker_by_attempt[start.attempt] = worker.id
        self._check_capacity(worker, start)
        return messages.StartAnswer(start.attempt, "started")

    def _make_execution(
        self, worker: executions.Worker, start: messages.Start
    ) -> executions.Execution:
        work_done_s = executions.checkpoint_work_s(start.checkpoint)
        factor = self._switches.run_factor_by_class.get(start.work_class, 1.0)
        fails = start.job in self._switches.failing_jobs or not {
            worker.id,
            worker.rack,
            worker.data_centre,
        }.isdisjoint(self._switches.failing_workers)
        return executions.Execution(
            start,
            "running",
            work_done_s,
            lease_until_ms=start.lease_until_ms,
            checkpoint=start.checkpoint,
            finish_work_s=start.run_s * factor if start.run_s > 0 else math.inf,
            fail_work_s=work_done_s + self._switches.fail_after_s
            if fails
            else math.inf,
        )

    def _check_start_allowed(
        self, worker: executions.Worker, start: messages.Start, now: float
    ) -> None:
        record = self.record_by_task.get(start.task, TaskRecord())
        for attempt, other_id in record.worker_by_attempt.items():
            other = self.worker_by_id[other_id]
            self.advance(other, now)
            if attempt in other.active_by_attempt:
                detail = f"{start.task} on {other_id} and {worker.id}"
                self._breaches.count("two_places", detail)
        if record.finish_count:
            detail = f"{start.attempt} on {worker.id}"
            self._breaches.count("started_after_finish", detail)
        if (
            executions.checkpoint_work_s(start.checkpoint)
            < record.newest_checkpoint_s - 1e-3
        ):
            detail = f"{start.attempt} from {start.checkpoint}"
            self._breaches.count("resumed_behind", detail)
        out_since = self.out_since_by_data_centre.get(worker.data_centre, math.inf)
        if now > out_since + MAX_START_DELAY_AFTER_OUT_S:
            detail = f"{start.attempt} on {worker.id}, {now - out_since:.1f} s late"
            self._breaches.count("started_while_out", detail)

    def _check_capacity(self, worker: executions.Worker, start: messages.Start) -> None:
        used = {
            name: getattr(self.reserved_by_worker.get(worker.id), name, 0)
            + sum(
                getattr(execution.start, name)
                for execution in worker.active_by_attempt.values()
            )
            for name in ("cores", "memory_gb", "accelerators")
        }
        excess = {
            name: value
            for name, value in used.items()
            if value > getattr(worker, name) + executions.EPSILON
        }
        if excess:
            self._breaches.count(
                "over_capacity", f"{worker.id} {excess} {start.attempt}"
            )

    def renew(
        self, worker_id: str, leases: Iterable[messages.Lease], now: float
    ) -> messages.Renewed:
        """Extend the leases of active attempts; a lease never gets shorter."""
        worker = self.worker(worker_id, now)
        attempts: list[messages.Attempt] = []
        for lease in leases:
            execution = worker.execution_by_attempt.get(lease.attempt)
            if execution is None:
                continue
            if execution.active:
                execution.lease_until_ms = max(
                    execution.lease_until_ms, lease.lease_until_ms
                )
            attempts.append(execution.to_message(lease.attempt))
        return messages.Renewed(worker.clock_ms(now), attempts)

    def throttle(
        self, worker_id: str, attempt: str, share: float, now: float
    ) -> messages.Changed:
        """Limit an active attempt to a share of its processors."""
        worker = self.worker(worker_id, now)
        execution = worker.execution_by_attempt.get(attempt)
        if execution is None:
            return messages.Changed(worker.clock_ms(now))
        if execution.active:
            execution.share = min(1.0, max(0.0, share))
            execution.state = "throttled" if execution.share < 1 else "running"
        return messages.Changed(worker.clock_ms(now), execution.to_message(attempt))

    def checkpoint(
        self, worker_id: str, attempt: str, now: float
    ) -> messages.Checkpointed:
        """Take a checkpoint of an active attempt, which keeps running."""
        worker = self.worker(worker_id, now)
        execution = worker.execution_by_attempt.get(attempt)
        if execution is None:
            return messages.Checkpointed(worker.clock_ms(now))
        if execution.active:
            task = execution.start.task
            execution.checkpoint = executions.checkpoint_name(
                task, execution.work_done_s
            )
            record = self.record_by_task[task]
            record.newest_checkpoint_s = max(
                record.newest_checkpoint_s,
                executions.checkpoint_work_s(execution.checkpoint),
            )
            self.totals["checkpoints"] += 1
        return messages.Checkpointed(worker.clock_ms(now), execution.checkpoint)

    def stop(self, worker_id: str, attempt: str, now: float) -> messages.Changed:
        """End an attempt permanently.

        An attempt that has not started yet is recorded as stopped, so that a
        delayed start of it is refused.
        """
        worker = self.worker(worker_id, now)
        execution = worker.execution_by_attempt.get(attempt)
        if execution is None:
            execution = executions.Execution(None, "stopped", reason="never started")
            worker.execution_by_attempt[attempt] = execution
        elif execution.active:
            worker.end(attempt, "stopped", "stopped by call")
            self.totals["stopped"] += 1
        return messages.Changed(worker.clock_ms(now), execution.to_message(attempt))

    def tasks(self) -> dict[str, Any]:
        """Return, by task, how often it finished and which workers run it."""
        return {
            task: {
                "job": record.job,
                "watcher": record.watcher,
                "finished": record.finish_count,
                "attempts": len(record.worker_by_attempt),
                "active": [
                    worker
                    for attempt, worker in record.worker_by_attempt.items()
                    if attempt in self.worker_by_id[worker].active_by_attempt
                ],
            }
            for task, record in self.record_by_task.items()
        }
