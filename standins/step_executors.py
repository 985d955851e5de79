"""Simulates executors of step tasks and detects violated guarantees.

The executors follow the platform's rules: fencing tokens, numbered runs,
leases on the executor's own clock, and ends that are listed until they are
acknowledged.
"""

import asyncio
import dataclasses
import math
import random
from collections.abc import Callable

from limpetstream import errors
from limpetstream.executors import messages
from limpetstream.workflow import messages as workflow_messages
from standins import sharing_world, step_loads

STOP_DURATION_S = 0.1
GANG_WAIT_S = 3.0  # A member of a gang waits so long for the others.
GANG_LOOK_S = 0.1
MAX_LEASE_MS = 6000  # A longer lease is shortened to it.
MAX_LISTED_ENDS = 500  # Of one reply, by the page of the platform.


@dataclasses.dataclass(slots=True)
class Run:
    """One run of a task on an executor.

    Args:
        number: Number of the run.
        spec: Text of the job.
        cpu: Processors that it uses, in millicores.
        ends_at: Loop time of its end; None if it runs until it is stopped.
        fails: Whether it fails at its end.
        stops_at: Loop time at which a requested stop takes effect.
        step: Step of its task; None if only its processors are known.
        pace: Percentage of full speed that it may use.
        paused_work_s: Seconds of work at full speed that are left; None unless
            it is paused.
        whole_since: Loop time since which all members of its gang run; None
            before, and for other tasks.
        started_at: Loop time of its start; a member of a gang waits for the
            others from then on.
        is_late: Whether its start was carried out long after it was sent.
    """

    number: int
    spec: str
    cpu: int
    ends_at: float | None
    fails: bool = False
    stops_at: float | None = None
    step: workflow_messages.Step | None = None
    pace: int = 100
    paused_work_s: float | None = None
    whole_since: float | None = None
    started_at: float = 0.0
    is_late: bool = False

    def is_best_effort(self) -> bool:
        """Return whether it uses only processors that others leave unused."""
        return self.step is not None and self.step.fills

    def next_change_at(self, now: float) -> float:
        """Return the loop time at which it ends if nothing else happens."""
        if self.step is not None and self.step.gang:
            return now + GANG_LOOK_S  # Its end depends on the other members.
        times = [self.ends_at, self.stops_at]
        return min((at for at in times if at is not None), default=math.inf)

    def set_pace(self, percent: int, now: float) -> None:
        """Change how fast it works from now on, in percent of full speed."""
        if self.ends_at is not None:
            self.paused_work_s = max(0.0, self.ends_at - now) * self.pace / 100
        self.pace = percent
        if self.paused_work_s is not None and percent:
            self.ends_at = now + self.paused_work_s * 100 / percent
            self.paused_work_s = None
        elif not percent:
            self.ends_at = None


class Breaches:
    """Violated guarantees, and the state of all executors that reveals them.

    ``found`` holds the texts of the violations, ``executors_by_task`` the
    executors that run each task, and ``acknowledged_done`` the tasks whose
    successful end an owner has acknowledged. ``started_at_by_task`` holds the
    loop time of the last start of each task, ``ended_at_by_task`` that of the
    last end that was recorded. ``done_tasks`` holds the tasks of which a run
    has ended successfully, ``lost_ends`` those among them whose end was lost
    with its executor before an owner acknowledged it.
    ``advance_by_executor`` holds the functions that simulate each executor up
    to now, ``starts`` the number of started runs, and ``started_jobs`` the
    jobs they belong to. A test sets ``cancelled_at``, the loop time of an
    acknowledged cancellation by job, and may set ``cancel_asked_at``, that of
    the first request for it. It may add the task and the executor of a start
    to ``uncovered_starts`` before the start is carried out; that run then
    breaks no guarantee until it ends, and its end may be acknowledged although
    the task was started again. ``start_checks`` are called with the task and
    the executor of each start, once it is recorded.

    Args:
        loop: Loop that drives the time.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.found: list[str] = []
        self.executors_by_task: dict[str, set[str]] = {}
        self.acknowledged_done: set[str] = set()
        self.started_at_by_task: dict[str, float] = {}
        self.ended_at_by_task: dict[str, float] = {}
        self.done_tasks: set[str] = set()
        self.lost_ends: set[str] = set()
        self.advance_by_executor: dict[str, Callable[[], None]] = {}
        self.starts = 0
        self.started_jobs: set[str] = set()
        self.cancelled_at: dict[str, float] = {}
        self.cancel_asked_at: dict[str, float] = {}
        self.uncovered_starts: set[tuple[str, str]] = set()
        self.start_checks: list[Callable[[str, str], None]] = []
        self._uncovered_ends: set[tuple[str, str]] = set()
        self._loop = loop

    def record(self, text: str) -> None:
        """Record one violated guarantee with its time."""
        self.found.append(f"{self._loop.time():.3f} s: {text}")

    def record_start(self, task: str, executor_id: str) -> None:
        """Record a start and check it against the guarantees."""
        self.starts += 1
        self.started_jobs.add(task.partition(".")[0])
        is_covered = (task, executor_id) not in self.uncovered_starts
        self._uncovered_ends.discard((task, executor_id))
        if is_covered and task in self.acknowledged_done:
            self.record(f"{task} started on {executor_id} after its acknowledged end")
        # Executors end runs with expired leases only when they are advanced.
        for advance in self.advance_by_executor.values():
            advance()
        running = self.executors_by_task.setdefault(task, set())
        others = [
            other for other in running if (task, other) not in self.uncovered_starts
        ]
        if is_covered and others:
            self.record(
                f"{task} started on {executor_id} and still runs on {sorted(others)}"
            )
        running.add(executor_id)
        if is_covered or task not in self.started_at_by_task:
            self.started_at_by_task[task] = self._loop.time()
        for check in self.start_checks:
            check(task, executor_id)

    def record_acknowledged(
        self, task: str, executor_id: str, *, ended_at: float
    ) -> None:
        """Record that an owner has acknowledged a successful end.

        It must not do so once it has started the task again.
        """
        self.acknowledged_done.add(task)
        if (task, executor_id) in self._uncovered_ends:
            return
        if self.started_at_by_task[task] >= ended_at:
            self.record(
                f"{task} started again, then its end on {executor_id} was acknowledged"
            )

    def record_end(self, task: str, executor_id: str) -> None:
        """Record that a run has ended."""
        self.ended_at_by_task[task] = self._loop.time()
        self.executors_by_task.get(task, set()).discard(executor_id)
        if (task, executor_id) in self.uncovered_starts:
            self.uncovered_starts.remove((task, executor_id))
            self._uncovered_ends.add((task, executor_id))


@dataclasses.dataclass(slots=True)
class Executor:
    """One executor, whose requests first advance its runs to the present.

    Args:
        listing: Entry of the executor in the list of executors.
        breaches: Receives violated guarantees.
        size_by_spec: Processors in millicores and run time in seconds, by
            the text of the job; a run time of 0 has no end. A function returns
            the run time of a task by its name.
        random: Source of random decisions.
        rate: Rate of its clock.
        born_at: Loop time of its start.
        clock_start_ms: Reading of its clock at its start.
        token: Highest fencing token seen.
        deadline_ms: End of the lease on the executor's clock.
        run_by_task: Active runs.
        ends: Ends that are not acknowledged yet.
        ended_at_by_number: Loop time of these ends, by their numbers.
        last_end: Number of the last end.
        last_expired_end: Number of the last end before the lease expired. By
            the platform's rules, acknowledging it or an earlier end does not
            count as knowing of the end.
        highest_run_by_task: Highest run number that was stopped or ended, by
            task.
        cut: Whether calls are lost.
        delayed_share: Share of the start requests that take effect seconds
            later, without an answer.
        delayed_stop_share: The same for requests to stop a run.
        fail_all: Whether every run fails at once.
        steps_by_spec: Steps of the job, by its text. Without them only the
            processors of its tasks are known.
        world: How runs slow each other; that of ``step_loads`` if None.
        max_lease_ms: Longest lease that it grants; ``MAX_LEASE_MS`` if None.
        max_listed_ends: Number of ends in one reply to a poll, at most.
    """

    listing: messages.Listing
    breaches: Breaches
    size_by_spec: dict[str, tuple[int, float | Callable[[str], float]]]
    random: random.Random
    rate: float = 1.0
    born_at: float = 0.0
    token: int = 0
    deadline_ms: int = 0
    run_by_task: dict[str, Run] = dataclasses.field(default_factory=dict)
    ends: list[messages.EndRow] = dataclasses.field(default_factory=list)
    ended_at_by_number: dict[int, float] = dataclasses.field(default_factory=dict)
    last_end: int = 0
    last_expired_end: int = 0
    highest_run_by_task: dict[str, int] = dataclasses.field(default_factory=dict)
    cut: bool = False
    delayed_share: float = 0.0
    delayed_stop_share: float = 0.0
    fail_all: bool = False
    steps_by_spec: dict[str, list[workflow_messages.Step]] = dataclasses.field(
        default_factory=dict
    )
    world: sharing_world.World | None = None
    max_lease_ms: int | None = None
    max_listed_ends: int = MAX_LISTED_ENDS
    clock_start_ms: int = 0
    _waiters: set[asyncio.Future[None]] = dataclasses.field(default_factory=set)

    async def wait_for_change(self, until: float) -> None:
        """Wait until its runs may have changed, but not beyond a loop time."""
        loop = asyncio.get_running_loop()
        ends = [run.next_change_at(loop.time()) for run in self.run_by_task.values()]
        waiter = loop.create_future()
        self._waiters.add(waiter)
        # Not at once, should a run not end at its time.
        at = max(loop.time() + 0.001, min([until, *ends]))
        timer = loop.call_at(at, _wake, waiter)
        try:
            await waiter
        finally:
            timer.cancel()
            self._waiters.discard(waiter)

    def wake(self) -> None:
        """Let those look again that wait for a change."""
        for waiter in self._waiters:
            _wake(waiter)

    def used(self) -> messages.Capacity:
        """Return what its runs use; best-effort ones at full speed."""
        used = messages.Capacity(0, 0, 0)
        for run in self.run_by_task.values():
            used.cpu_millicores += run.cpu
            if run.step is not None:
                used.memory_mb += run.step.memory_mb
                used.accelerators += run.step.accelerators
        return used

    def clock_ms(self) -> int:
        """Return the executor's monotonic clock in milliseconds."""
        now = asyncio.get_running_loop().time()
        return self.clock_start_ms + int((now - self.born_at) * self.rate * 1000)

    def advance(self) -> None:
        """End the runs that are done, stopped or without a valid lease."""
        now = asyncio.get_running_loop().time()
        if self.run_by_task and self.clock_ms() > self.deadline_ms:
            for task in list(self.run_by_task):
                self._end_run(task, "lapsed")
        if self.clock_ms() > self.deadline_ms:
            self.last_expired_end = self.last_end
        for task, active_run in list(self.run_by_task.items()):
            if active_run.stops_at is not None and now >= active_run.stops_at:
                self._end_run(task, messages.STOPPED)
            elif active_run.step is not None and active_run.step.gang:
                self._advance_gang(task, active_run, now)
            elif active_run.ends_at is not None and now >= active_run.ends_at:
                self._end_run(
                    task, messages.FAILED if active_run.fails else messages.DONE
                )

    def _advance_gang(self, task: str, run: Run, now: float) -> None:
        """Let a member of a gang work, or end, by whether the others run."""
        prefix = task.rpartition(".")[0]
        is_whole = all(
            name in self.breaches.done_tasks
            or self.breaches.executors_by_task.get(name)
            for name in (f"{prefix}.{number}" for number in range(run.step.count))
        )
        if run.whole_since is None and is_whole:
            run.whole_since = now
            run.ends_at = now + self._run_s(run.spec, task)
        elif run.whole_since is None and now > run.started_at + GANG_WAIT_S:
            self._end_run(task, "alone")
        elif run.whole_since is not None and not is_whole:
            self._end_run(task, "broken")
        elif run.ends_at is not None and now >= run.ends_at:
            self._end_run(task, messages.DONE)

    def fail_runs(self) -> None:
        """Let all runs that are not members of a gang fail now."""
        self.advance()
        for run in self.run_by_task.values():
            if run.step is None or not run.step.gang:
                run.fails, run.ends_at = True, asyncio.get_running_loop().time()
        self.wake()

    def restart(self, *, clock_start_ms: int = 0) -> None:
        """Restart with empty state under the same id, as after a crash.

        Args:
            clock_start_ms: Reading of the new clock, which may be anything.
        """
        for task in list(self.run_by_task):
            self.breaches.record_end(task, self.listing.executor_id)
        self.run_by_task.clear()
        for end in self.ends:
            if end.how == messages.DONE:
                self.breaches.lost_ends.add(end.task)
        self.breaches.lost_ends -= self.breaches.acknowledged_done
        self.ends.clear()
        self.highest_run_by_task.clear()
        self.last_end = self.last_expired_end = self.token = self.deadline_ms = 0
        self.born_at = asyncio.get_running_loop().time()
        self.clock_start_ms = clock_start_ms
        self.wake()
        self.listing = dataclasses.replace(
            self.listing, born_ms=self.listing.born_ms + 1
        )

    def start(
        self, request: messages.StartRequest, *, is_late: bool = False
    ) -> messages.StartReply:
        """Apply a start request.

        Args:
            request: The request.
            is_late: Whether it was sent seconds ago.

        Raises:
            TokenOutdated: A higher fencing token was seen.
        """
        self.advance()
        self._check_token(request.token)
        clock_ms = self.clock_ms()
        active_run = self.run_by_task.get(request.task)
        if active_run is not None and active_run.number == request.run:
            return messages.StartReply(messages.STARTED, clock_ms)
        if active_run is not None or request.run <= self.highest_run_by_task.get(
            request.task, 0
        ):
            return messages.StartReply(messages.OUTDATED_RUN, clock_ms)
        if clock_ms > request.deadline_ms:
            return messages.StartReply(messages.LATE, clock_ms)
        self._extend_lease(request.deadline_ms)
        self._start_run(request, is_late=is_late)
        return messages.StartReply(messages.STARTED, clock_ms)

    def stop(self, task: str, run: int, token: int) -> None:
        """Apply a stop request; the run ends after ``STOP_DURATION_S``.

        Raises:
            TokenOutdated: A higher fencing token was seen.
        """
        self.advance()
        self._check_token(token)
        self.highest_run_by_task[task] = max(run, self.highest_run_by_task.get(task, 0))
        active_run = self.run_by_task.get(task)
        if (
            active_run is not None
            and active_run.number <= run
            and active_run.stops_at is None
        ):
            active_run.stops_at = asyncio.get_running_loop().time() + STOP_DURATION_S
            self.wake()

    def poll(
        self, token: int, acknowledged: int, deadline_ms: int | None
    ) -> messages.PollReply:
        """Extend the lease, drop acknowledged ends and return the status.

        Args:
            token: Fencing token of the owner.
            acknowledged: Number up to which ends are acknowledged.
            deadline_ms: New end of the lease on the executor's clock; None
                leaves it unchanged.

        Raises:
            TokenOutdated: A higher fencing token was seen.
        """
        self.advance()
        self._check_token(token)
        for end in self.ends:
            counts_as_known = self.last_expired_end < end.number <= acknowledged
            if counts_as_known and end.how == messages.DONE:
                self.breaches.record_acknowledged(
                    end.task,
                    self.listing.executor_id,
                    ended_at=self.ended_at_by_number[end.number],
                )
        self.ends = [end for end in self.ends if end.number > acknowledged]
        if deadline_ms is not None:
            self._extend_lease(deadline_ms)
        running = [
            messages.RunningRow(task, active_run.number, "", 50, self._load(active_run))
            for task, active_run in self.run_by_task.items()
        ]
        return messages.PollReply(
            self.clock_ms(),
            self.listing.born_ms,
            running,
            self.ends[: self.max_listed_ends],
        )

    def pace(self, task: str, run: int, percent: int, token: int) -> None:
        """Set how fast a run may work, in percent of full speed.

        Raises:
            TokenOutdated: A higher fencing token was seen.
        """
        self.advance()
        self._check_token(token)
        active_run = self.run_by_task.get(task)
        if active_run is not None and active_run.number == run:
            active_run.set_pace(percent, asyncio.get_running_loop().time())
            self.wake()

    def _load(self, run: Run) -> float:
        """Return the tail in ms of a serving run, or millicores in use."""
        if run.step is None:
            return 0
        if not run.step.tail_target_ms:
            return run.cpu * run.pace / 100
        now = asyncio.get_running_loop().time()
        if self.world is not None:
            return self.world.report_ms(run.spec, run.step, self.filled_cores(), now)
        best_effort = {
            other.step.image: other.cpu * other.pace / 100_000
            for other in self.run_by_task.values()
            if other.is_best_effort()
        }
        return step_loads.tail_ms(run.step, best_effort, now)

    def filled_cores(self) -> dict[str, float]:
        """Return the cores that best-effort runs use, by image."""
        cores: dict[str, float] = {}
        for run in self.run_by_task.values():
            if run.step is not None and run.step.fills:
                image = run.step.image
                cores[image] = cores.get(image, 0.0) + run.cpu * run.pace / 100_000
        return cores

    def _extend_lease(self, deadline_ms: int) -> None:
        longest_ms = self.clock_ms() + (self.max_lease_ms or MAX_LEASE_MS)
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest_ms))

    def _check_token(self, token: int) -> None:
        if token < self.token:
            raise errors.TokenOutdated(self.listing.executor_id)
        self.token = token

    def _start_run(self, request: messages.StartRequest, *, is_late: bool) -> None:
        cpu, _seconds = self.size_by_spec[request.spec]
        step = self._step(request)
        if step is not None:
            cpu = step.cpu_millicores
        now = asyncio.get_running_loop().time()
        seconds = self._run_s(request.spec, request.task)
        ends_at = now + seconds if seconds else None
        if self.fail_all:
            ends_at = now + 0.01
        elif step is not None and step.gang:
            ends_at = None  # It works once all members run.
        self.run_by_task[request.task] = Run(
            request.run,
            request.spec,
            cpu,
            ends_at,
            fails=self.fail_all,
            step=step,
            started_at=now,
            is_late=is_late,
        )
        self.wake()
        self.breaches.record_start(request.task, self.listing.executor_id)
        if request.task not in self.run_by_task:
            return  # The search has withdrawn it.
        self._check_capacity()
        if step is not None:
            self._check_constraints(request.task, step)
        cancelled_at = self.breaches.cancelled_at.get(request.task.partition(".")[0])
        if cancelled_at is not None and now > cancelled_at + 3.0:
            self.breaches.record(f"{request.task} started after its job was cancelled")

    def _step(self, request: messages.StartRequest) -> workflow_messages.Step | None:
        steps = self.steps_by_spec.get(request.spec)
        return steps[int(request.task.split(".")[2])] if steps else None

    def _run_s(self, spec: str, task: str) -> float:
        """Return the run time of a task in seconds; 0 if it has no end."""
        _cpu, seconds = self.size_by_spec[spec]
        return seconds(task) if callable(seconds) else seconds

    def _check_capacity(self) -> None:
        """Record a breach if the runs need more than there is."""
        capacity, used = self.listing.capacity, self.used()
        reserved = sum(
            run.cpu for run in self.run_by_task.values() if not run.is_best_effort()
        )
        for needed, given, unit in (
            (reserved, capacity.cpu_millicores, "millicores"),
            (used.memory_mb, capacity.memory_mb, "MB"),
            (used.accelerators, capacity.accelerators, "accelerators"),
        ):
            if needed > given:
                self.breaches.record(
                    f"{self.listing.executor_id} exceeds its capacity: {needed} {unit}"
                )

    def _check_constraints(self, task: str, step: workflow_messages.Step) -> None:
        """Record a breach if a task may not run here."""
        executor_id = self.listing.executor_id
        if step.required_label and step.required_label not in self.listing.labels:
            self.breaches.record(f"{task} started on {executor_id} without its label")
        prefix = task.rpartition(".")[0]
        count = sum(name.rpartition(".")[0] == prefix for name in self.run_by_task)
        if 0 < step.max_per_executor < count:
            self.breaches.record(f"{executor_id} runs {count} tasks of {prefix}")

    def _end_run(self, task: str, how: str) -> None:
        active_run = self.run_by_task.pop(task)
        self.highest_run_by_task[task] = max(
            active_run.number, self.highest_run_by_task.get(task, 0)
        )
        self.last_end += 1
        self.ended_at_by_number[self.last_end] = asyncio.get_running_loop().time()
        self.ends.append(
            messages.EndRow(self.last_end, task, active_run.number, how, "")
        )
        self.wake()
        self.breaches.record_end(task, self.listing.executor_id)
        if how == messages.DONE:
            self.breaches.done_tasks.add(task)
            self.breaches.lost_ends.discard(task)


def _wake(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)
