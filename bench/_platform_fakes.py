"""Fakes of the platform's log, workers and instance list.

Benches and tests use them. They run on virtual time and implement sections
3.3 and 3.4 of the design. Faults are switched on through attributes; the
fakes take no decision that belongs to the system under test.
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
    """The control stream, with a delay, outages and lost answers."""

    random: random.Random
    delay_s: float = 0.01
    lost_answer_probability: float = 0.0
    down: bool = False
    frames: list[Frame] = dataclasses.field(default_factory=list)
    appended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    async def append(self, lines: list[str]) -> int:
        """Append one frame and return its offset.

        Raises:
            LogUnavailable: The log is down, or the answer was lost although
                the frame was appended.
        """
        await asyncio.sleep(self.delay_s)
        if self.down:
            raise errors.LogUnavailable("the fake log is down")
        offset = len(self.frames)
        self.frames.append(Frame(offset, list(lines)))
        self.appended.set()
        self.appended.clear()
        await asyncio.sleep(self.delay_s)
        if (
            self.lost_answer_probability
            and self.random.random() < self.lost_answer_probability
        ):
            raise errors.LogUnavailable("appended, but the answer was lost")
        return offset

    async def read(self, start: int, wait_s: float) -> list[Frame]:
        """Return the frames from an offset on.

        Waits up to ``wait_s`` seconds for a frame if there is none yet.

        Raises:
            LogUnavailable: The log is down.
        """
        await asyncio.sleep(self.delay_s)
        if self.down:
            raise errors.LogUnavailable("the fake log is down")
        if start >= len(self.frames) and wait_s > 0:
            try:
                async with asyncio.timeout(wait_s):
                    await self.appended.wait()
            except TimeoutError:
                pass
        if self.down:
            raise errors.LogUnavailable("the fake log is down")
        return self.frames[start:]


@dataclasses.dataclass(slots=True)
class Instance:
    """One instance as the platform lists it."""

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
    """The instance list, which is up to date unless ``stale`` is set."""

    now: Callable[[], float]
    by_id: dict[str, Instance] = dataclasses.field(default_factory=dict)
    version: float = 0.0
    stale: bool = False

    @property
    def fresh_at(self) -> float:
        """Time of the last update.

        It changes only when the content changes, so that no reader processes a
        list twice.
        """
        return self.version

    def age(self, now: float) -> float:
        """Return the age of the list in seconds."""
        return 60.0 if self.stale else 0.1


@dataclasses.dataclass(slots=True)
class AttemptReport:
    """State of one attempt, as a worker reports it."""

    attempt: str
    state: str
    checkpoint: str
    lease_until_ms: float
    reason: str = ""


@dataclasses.dataclass(slots=True)
class WorkerReply:
    """Reply of a worker to any call; fields that the call lacks stay empty."""

    clock_ms: float
    attempts: list[AttemptReport] = dataclasses.field(default_factory=list)
    answers: list["StartResult"] = dataclasses.field(default_factory=list)
    attempt: AttemptReport | None = None
    checkpoint: str | None = None


@dataclasses.dataclass(slots=True)
class StartResult:
    """Result of one start."""

    attempt: str
    result: str
    reason: str = ""


@dataclasses.dataclass(slots=True)
class AttemptRun:
    """One attempt on a worker.

    Args:
        start_request: The start request as it was received.
        resumed_work_s: Work held by the checkpoint it resumed from, in seconds
            of run time.
        updated_at_s: Virtual time up to which ``done_s`` is counted.
        done_s: Work done so far, in seconds of run time.
        checkpointed_s: Work held by the last checkpoint, in seconds of run
            time.
        state: State as of ``updated_at_s``.
        lease_until_ms: End of the lease, on the worker's clock.
        cpu_share: Share of its processors that the attempt may use.
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
        """Whether the attempt uses resources of the worker."""
        return self.state in ("running", "throttled")


def checkpoint_name(task: str, seconds: float) -> str:
    """Return a checkpoint name that contains the work it holds, in seconds."""
    return f"{task}@{seconds:.3f}"


def checkpoint_work_s(name: str) -> float:
    """Return the work that a checkpoint holds, in seconds; 0 for no name."""
    return float(name.rpartition("@")[2]) if name else 0.0


@dataclasses.dataclass(slots=True)
class InvariantMonitor:
    """Records every violation of an invariant that the workers can observe.

    Args:
        out_since_by_data_centre: Virtual time since when a data centre is out.
        runs_by_task: All attempts of a task that ever started, with their
            workers.
        breaches: Details of the breaches, by kind.
        started_attempts: Ids of all attempts that started.
        evicted_work_s_by_task: Work held by the checkpoint of the last
            recorded eviction, in seconds.
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
        """Record a breach under its kind."""
        self.breaches.setdefault(kind, []).append(detail)

    def check_start(self, worker: "Worker", run: AttemptRun, now: float) -> None:
        """Check all invariants at the moment at which a start takes effect."""
        task, attempt = run.start_request["task"], run.start_request["attempt"]
        self.starts += 1
        if attempt in self.started_attempts:
            self.record_breach("attempt started twice", f"{attempt} at {now:.2f}")
        self.started_attempts.add(attempt)
        for other_worker, earlier in self.runs_by_task.get(task, ()):
            other_worker.advance(earlier, now)
            if (
                earlier.running
                and other_worker.runs_by_attempt.get(earlier.start_request["attempt"])
                is earlier
            ):
                self.record_breach("two places", f"{attempt} at {now:.2f}")
        self.runs_by_task.setdefault(task, []).append((worker, run))
        if run.resumed_work_s + 1e-3 < self.evicted_work_s_by_task.get(task, 0.0):
            self.record_breach("work lost after eviction", f"{attempt} at {now:.2f}")
        out_since = self.out_since_by_data_centre.get(worker.instance.data_centre)
        if out_since is not None and now > out_since + 3.0:
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
        if any(amount > limit + 1e-6 for amount, limit in zip(used, size, strict=True)):
            self.record_breach(
                "over capacity", f"{attempt} at {now:.2f}: {used} of {size}"
            )


@dataclasses.dataclass(slots=True)
class Worker:
    """A worker that runs attempts under leases measured on its own clock.

    Args:
        instance: Its entry in the list.
        size: Cores, memory in GB and accelerators that the executors leave.
        now: Returns the virtual time in seconds.
        monitor: Checks the invariants at every start.
        clock_rate: Rate of its clock relative to virtual time.
        clock_offset_s: Offset of its clock from virtual time.
        checkpoint_every_s: Seconds of work between checkpoints.
        reachable: Whether calls arrive at the worker.
        replies_arrive: Whether its replies reach the caller.
        fails_every_attempt: Whether every attempt fails 0.3 s after its start.
        failing_jobs: Jobs whose attempts fail in the same way.
        runs_by_attempt: Attempts that the worker knows.
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
        """Return the time on the worker's own clock, in milliseconds."""
        now = self.now() if at_s is None else at_s
        return (now * self.clock_rate + self.clock_offset_s) * 1000

    def advance(self, run: AttemptRun, now: float) -> None:
        """Advance an attempt to a time, its end or the end of its lease."""
        if not run.running or now <= run.updated_at_s:
            return
        lease_end_s = (
            run.lease_until_ms / 1000 - self.clock_offset_s
        ) / self.clock_rate
        advance_to = min(now, max(lease_end_s, run.updated_at_s))
        run_s = (
            run.start_request["run_s"]
            if run.start_request["run_s"] > 0
            else float("inf")
        )
        remaining_s = (run_s - run.done_s) / run.cpu_share
        fails = (
            self.fails_every_attempt or run.start_request["job"] in self.failing_jobs
        )
        if fails and run.updated_at_s + 0.3 <= advance_to:
            run.state, run.updated_at_s = "failed", advance_to
            return
        if run.updated_at_s + remaining_s <= advance_to:
            run.done_s = run.start_request["run_s"]
            run.state, run.updated_at_s = "finished", run.updated_at_s + remaining_s
            return
        run.done_s += (advance_to - run.updated_at_s) * run.cpu_share
        run.updated_at_s = advance_to
        interval_s = self.checkpoint_every_s
        run.checkpointed_s = max(
            run.checkpointed_s, run.done_s // interval_s * interval_s
        )
        if lease_end_s <= now:
            run.state = "lapsed"

    def crash(self) -> None:
        """Forget all attempts, as a worker does when it restarts."""
        for run in self.runs_by_attempt.values():
            self.advance(run, self.now())
        self.runs_by_attempt.clear()

    def runs(self) -> list[AttemptRun]:
        """Return all known attempts, advanced to the present."""
        for run in self.runs_by_attempt.values():
            self.advance(run, self.now())
        return list(self.runs_by_attempt.values())

    def report(self, run: AttemptRun) -> AttemptReport:
        """Return the present state of an attempt."""
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
        """Report all known attempts."""
        reports = [self.report(run) for run in self.runs_by_attempt.values()]
        return WorkerReply(self.clock_ms(), attempts=reports)

    def start(self, requests: list[messages.Start]) -> WorkerReply:
        """Start attempts; refuse those whose lease has expired."""
        reply = WorkerReply(self.clock_ms())
        for start_request in requests:
            reply.answers.append(self._start(start_request.to_wire()))
        return reply

    def _start(self, start_request: dict[str, Any]) -> StartResult:
        attempt = start_request["attempt"]
        existing = self.runs_by_attempt.get(attempt)
        if existing is not None:
            self.advance(existing, self.now())
            return StartResult(
                attempt, "already" if existing.running else "refused", "ended"
            )
        if start_request["lease_until_ms"] <= self.clock_ms():
            return StartResult(attempt, "refused", "the lease has expired")
        resumed_work_s = checkpoint_work_s(start_request["checkpoint"] or "")
        now = self.now()
        run = AttemptRun(
            start_request,
            resumed_work_s,
            now,
            resumed_work_s,
            resumed_work_s,
            "running",
            start_request["lease_until_ms"],
        )
        run.started_at = now
        self.runs_by_attempt[attempt] = run
        self.monitor.check_start(self, run, now)
        return StartResult(attempt, "started")

    def renew(self, leases: list[messages.Lease]) -> WorkerReply:
        """Extend the leases of attempts that still run."""
        for lease in leases:
            run = self.runs_by_attempt.get(lease.attempt)
            if run is not None:
                self.advance(run, self.now())
                if run.running:
                    run.lease_until_ms = max(run.lease_until_ms, lease.lease_until_ms)
        return WorkerReply(self.clock_ms())

    def throttle(self, attempt: str, share: float) -> WorkerReply:
        """Limit an attempt to a share of its processors."""
        run = self.runs_by_attempt.get(attempt)
        if run is not None:
            self.advance(run, self.now())
            run.cpu_share = share
            if run.running:
                run.state = "running" if share >= 1.0 else "throttled"
        return WorkerReply(self.clock_ms())

    def checkpoint(self, attempt: str) -> WorkerReply:
        """Save the work done so far and return the checkpoint."""
        run = self.runs_by_attempt.get(attempt)
        if run is None:
            return WorkerReply(self.clock_ms())
        self.advance(run, self.now())
        if run.running:
            run.checkpointed_s = run.done_s
        return WorkerReply(self.clock_ms(), checkpoint=self.report(run).checkpoint)

    def stop(self, attempt: str) -> WorkerReply:
        """Stop an attempt and report its final state."""
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
