"""Small fakes of log, workers and directory for benches and tests.

They run on virtual time and follow sections 3.3 and 3.4 of the design page.
Faults are switches; nothing here decides anything for the system.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable
from typing import Any

from limpetstream import errors
from limpetstream.platform import messages


@dataclasses.dataclass(slots=True)
class Frame:
    """One frame of the log."""

    offset: int
    records: list[str]


@dataclasses.dataclass(slots=True)
class Log:
    """The control stream, with delay, outages and lost answers."""

    random: random.Random
    delay_s: float = 0.01
    lost_answer_probability: float = 0.0
    down: bool = False
    frames: list[Frame] = dataclasses.field(default_factory=list)
    appended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    async def append(self, lines: list[str]) -> int:
        """Append one frame; the answer may be lost after that."""
        await asyncio.sleep(self.delay_s)
        if self.down:
            raise errors.LogUnavailable("outage")
        offset = len(self.frames)
        self.frames.append(Frame(offset, list(lines)))
        self.appended.set()
        self.appended.clear()
        await asyncio.sleep(self.delay_s)
        if (
            self.lost_answer_probability
            and self.random.random() < self.lost_answer_probability
        ):
            raise errors.LogUnavailable("answer lost")
        return offset

    async def read(self, start: int, wait_s: float) -> list[Frame]:
        """Return the frames from an offset, waiting a while for new ones."""
        await asyncio.sleep(self.delay_s)
        if self.down:
            raise errors.LogUnavailable("outage")
        if start >= len(self.frames) and wait_s > 0:
            try:
                async with asyncio.timeout(wait_s):
                    await self.appended.wait()
            except TimeoutError:
                pass
        if self.down:
            raise errors.LogUnavailable("outage")
        return self.frames[start:]


@dataclasses.dataclass(slots=True)
class Instance:
    """An entry of the list of instances."""

    id: str
    role: str
    address: str
    data_centre: str
    rack: str = ""
    state: str = "live"
    service: str = ""
    worker: str = ""
    cores: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0


@dataclasses.dataclass(slots=True)
class Directory:
    """List of instances; fresh whenever it is asked."""

    now: Callable[[], float]
    by_id: dict[str, Instance] = dataclasses.field(default_factory=dict)
    version: float = 0.0
    stale: bool = False

    @property
    def fresh_at(self) -> float:
        """Changes only with the content, so that nothing is read twice."""
        return self.version

    def age(self, now: float) -> float:
        """Return the age of the list in seconds."""
        return 60.0 if self.stale else 0.1


@dataclasses.dataclass(slots=True)
class AttemptReport:
    """State of one attempt as a worker reports it."""

    attempt: str
    state: str
    checkpoint: str
    lease_until_ms: float
    reason: str = ""


@dataclasses.dataclass(slots=True)
class WorkerReply:
    """Answer of a worker; fields that a call does not have stay empty."""

    clock_ms: float
    attempts: list[AttemptReport] = dataclasses.field(default_factory=list)
    answers: list["StartResult"] = dataclasses.field(default_factory=list)
    attempt: AttemptReport | None = None
    checkpoint: str | None = None


@dataclasses.dataclass(slots=True)
class StartResult:
    """Answer to one start."""

    attempt: str
    result: str
    reason: str = ""


@dataclasses.dataclass(slots=True)
class AttemptRun:
    """One attempt on a worker.

    Args:
        start_request: The start as it was received.
        resumed_work_s: Work that the checkpoint already held.
        updated_at_s: Time up to which ``done_s`` is counted.
        done_s: Work done, in seconds of run time.
        checkpointed_s: Work held by the last checkpoint.
        state: State as of ``updated_at_s``.
        lease_until_ms: End of the lease on the worker's clock.
        cpu_share: Share of processors.
        started_at: Virtual time of the start.
    """

    start_request: dict[str, Any]
    resumed_work_s: float
    updated_at_s: float
    done_s: float
    checkpointed_s: float
    state: str
    lease_until_ms: float
    cpu_share: float = 1.0
    started_at: float = 0.0

    @property
    def running(self) -> bool:
        """Whether the attempt uses the worker."""
        return self.state in ("running", "throttled")


def checkpoint_name(task: str, seconds: float) -> str:
    """Return the name of a checkpoint; it tells how much work it holds."""
    return f"{task}@{seconds:.3f}"


def checkpoint_work_s(name: str) -> float:
    """Return how much work a checkpoint holds."""
    return float(name.rpartition("@")[2]) if name else 0.0


@dataclasses.dataclass(slots=True)
class InvariantMonitor:
    """Counts breaches of the invariants as the workers see them.

    Args:
        out_since_by_data_centre: Since when data centres are out.
        runs_by_task: All attempts that ever started.
        breaches: Breaches by kind.
        started_attempts: Attempts that started.
        evicted_work_s_by_task: Work held by the checkpoint of the last
            recorded eviction.
        starts: Starts that took effect.
        evictions: Attempts that were stopped while they ran.
    """

    out_since_by_data_centre: dict[str, float] = dataclasses.field(default_factory=dict)
    runs_by_task: dict[str, list[tuple["Worker", AttemptRun]]] = dataclasses.field(
        default_factory=dict
    )
    breaches: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    started_attempts: set[str] = dataclasses.field(default_factory=set)
    evicted_work_s_by_task: dict[str, float] = dataclasses.field(default_factory=dict)
    starts: int = 0
    evictions: int = 0

    def record_breach(self, kind: str, detail: str) -> None:
        """Note a breach."""
        self.breaches.setdefault(kind, []).append(detail)

    def check_start(self, worker: "Worker", run: AttemptRun, now: float) -> None:
        """Check a start at the moment at which it takes effect."""
        task, attempt = run.start_request["task"], run.start_request["attempt"]
        self.starts += 1
        if attempt in self.started_attempts:
            self.record_breach("attempt started twice", f"{attempt} at {now:.2f}")
        self.started_attempts.add(attempt)
        for other, known in self.runs_by_task.get(task, ()):
            other.advance(known, now)
            if (
                known.running
                and other.runs_by_attempt.get(known.start_request["attempt"]) is known
            ):
                self.record_breach("two places", f"{attempt} at {now:.2f}")
        self.runs_by_task.setdefault(task, []).append((worker, run))
        if run.resumed_work_s + 1e-3 < self.evicted_work_s_by_task.get(task, 0.0):
            self.record_breach("work lost after eviction", f"{attempt} at {now:.2f}")
        out = self.out_since_by_data_centre.get(worker.instance.data_centre)
        if out is not None and now > out + 3.0:
            self.record_breach(
                "start in a closed data centre", f"{attempt} at {now:.2f}"
            )
        used = [0.0, 0.0, 0]
        for each in worker.runs_by_attempt.values():
            worker.advance(each, now)
            if each.running:
                used[0] += each.start_request["cores"]
                used[1] += each.start_request["memory_gb"]
                used[2] += each.start_request["accelerators"]
        size = worker.size
        if any(have > most + 1e-6 for have, most in zip(used, size, strict=True)):
            self.record_breach(
                "over capacity", f"{attempt} at {now:.2f}: {used} of {size}"
            )


@dataclasses.dataclass(slots=True)
class Worker:
    """A worker: runs attempts under leases on its own clock.

    Args:
        instance: Its entry in the list.
        size: Cores, memory and accelerators left beside the executors.
        now: Virtual time.
        monitor: Checks every start.
        clock_rate: Rate of its clock.
        clock_offset_s: Offset of its clock.
        checkpoint_every_s: Seconds of work between checkpoints.
        reachable: Whether calls arrive.
        replies_arrive: Whether answers come back.
        fails_every_attempt: Whether everything that starts fails after a
            moment.
        speed: Work done a second by an undisturbed attempt.
    """

    instance: Instance
    size: tuple[float, float, int]
    now: Callable[[], float]
    monitor: InvariantMonitor
    clock_rate: float = 1.0
    clock_offset_s: float = 1000.0
    checkpoint_every_s: float = 2.0
    reachable: bool = True
    replies_arrive: bool = True
    fails_every_attempt: bool = False
    failing_jobs: set[str] = dataclasses.field(default_factory=set)
    runs_by_attempt: dict[str, AttemptRun] = dataclasses.field(default_factory=dict)

    def clock_ms(self, at_s: float | None = None) -> float:
        """Return the worker's own clock."""
        now = self.now() if at_s is None else at_s
        return (now * self.clock_rate + self.clock_offset_s) * 1000

    def advance(self, run: AttemptRun, now: float) -> None:
        """Let an attempt run up to a time, to its end or its lapse."""
        if not run.running or now <= run.updated_at_s:
            return
        lapse_s = (run.lease_until_ms / 1000 - self.clock_offset_s) / self.clock_rate
        stop = min(now, max(lapse_s, run.updated_at_s))
        run_s = (
            run.start_request["run_s"]
            if run.start_request["run_s"] > 0
            else float("inf")
        )
        left_s = (run_s - run.done_s) / run.cpu_share
        fails = (
            self.fails_every_attempt or run.start_request["job"] in self.failing_jobs
        )
        if fails and run.updated_at_s + 0.3 <= stop:
            run.state, run.updated_at_s = "failed", stop
            return
        if run.updated_at_s + left_s <= stop:
            run.done_s = run.start_request["run_s"]
            run.state, run.updated_at_s = "finished", run.updated_at_s + left_s
            return
        run.done_s += (stop - run.updated_at_s) * run.cpu_share
        run.updated_at_s = stop
        every = self.checkpoint_every_s
        run.checkpointed_s = max(run.checkpointed_s, run.done_s // every * every)
        if lapse_s <= now:
            run.state = "lapsed"

    def crash(self) -> None:
        """Forget everything, as after a restart."""
        for run in self.runs_by_attempt.values():
            self.advance(run, self.now())
        self.runs_by_attempt.clear()

    def runs(self) -> list[AttemptRun]:
        """Return all attempts that it knows, up to date."""
        for run in self.runs_by_attempt.values():
            self.advance(run, self.now())
        return list(self.runs_by_attempt.values())

    def report(self, run: AttemptRun) -> AttemptReport:
        """Return the state of an attempt."""
        self.advance(run, self.now())
        name = (
            checkpoint_name(run.start_request["task"], run.checkpointed_s)
            if run.checkpointed_s
            else ""
        )
        return AttemptReport(
            run.start_request["attempt"], run.state, name, run.lease_until_ms
        )

    def status(self) -> WorkerReply:
        """Answer a status call."""
        reports = [self.report(run) for run in self.runs_by_attempt.values()]
        return WorkerReply(self.clock_ms(), attempts=reports)

    def start(self, items: list[messages.Start]) -> WorkerReply:
        """Start attempts; a lease that has passed on its own clock refuses."""
        answer = WorkerReply(self.clock_ms())
        for item in items:
            answer.answers.append(self._start(item.to_wire()))
        return answer

    def _start(self, item: dict[str, Any]) -> StartResult:
        name = item["attempt"]
        known = self.runs_by_attempt.get(name)
        if known is not None:
            self.advance(known, self.now())
            return StartResult(name, "already" if known.running else "refused", "ended")
        if item["lease_until_ms"] <= self.clock_ms():
            return StartResult(name, "refused", "the lease has passed")
        began = checkpoint_work_s(item["checkpoint"] or "")
        now = self.now()
        run = AttemptRun(
            item, began, now, began, began, "running", item["lease_until_ms"]
        )
        run.started_at = now
        self.runs_by_attempt[name] = run
        self.monitor.check_start(self, run, now)
        return StartResult(name, "started")

    def renew(self, leases: list[messages.Lease]) -> WorkerReply:
        """Extend leases of attempts that still run."""
        for lease in leases:
            run = self.runs_by_attempt.get(lease.attempt)
            if run is not None:
                self.advance(run, self.now())
                if run.running:
                    run.lease_until_ms = max(run.lease_until_ms, lease.lease_until_ms)
        return WorkerReply(self.clock_ms())

    def throttle(self, attempt: str, share: float) -> WorkerReply:
        """Give an attempt a share of its processors."""
        run = self.runs_by_attempt.get(attempt)
        if run is not None:
            self.advance(run, self.now())
            run.cpu_share = share
            if run.running:
                run.state = "running" if share >= 1.0 else "throttled"
        return WorkerReply(self.clock_ms())

    def checkpoint(self, attempt: str) -> WorkerReply:
        """Save the work done so far."""
        run = self.runs_by_attempt.get(attempt)
        if run is None:
            return WorkerReply(self.clock_ms())
        self.advance(run, self.now())
        if run.running:
            run.checkpointed_s = run.done_s
        return WorkerReply(self.clock_ms(), checkpoint=self.report(run).checkpoint)

    def stop(self, attempt: str) -> WorkerReply:
        """End an attempt and tell how it ended."""
        run = self.runs_by_attempt.get(attempt)
        if run is None:
            return WorkerReply(
                self.clock_ms(), attempt=AttemptReport(attempt, "unknown", "", 0)
            )
        self.advance(run, self.now())
        if run.running:
            run.state = "stopped"
            self.monitor.evictions += 1
        return WorkerReply(self.clock_ms(), attempt=self.report(run))
