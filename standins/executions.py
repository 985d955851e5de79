"""Attempts on one worker: progress, interference, leases, checkpoints."""

import dataclasses
import math

from limpetstream.platform import messages
from standins import faults

EPSILON = 1e-6  # Above the rounding of clock readings of many days.


@dataclasses.dataclass(slots=True)
class Execution:
    """One attempt that a worker knows.

    Args:
        start: Order that started it; None if it was stopped before a start.
        state: State as ``GET /workers/{id}`` tells it.
        work_done_s: Work done, counted in seconds of an undisturbed run.
        share: Share of its processors that it may use.
        lease_until_ms: End of its lease on the worker's clock.
        checkpoint: Name of the last checkpoint.
        reason: Why it ended.
        finish_work_s: Work after which it finishes; infinite for watchers.
        fail_work_s: Work after which it fails; infinite if it does not.
    """

    start: messages.Start | None
    state: str
    work_done_s: float = 0.0
    share: float = 1.0
    lease_until_ms: int = 0
    checkpoint: str | None = None
    reason: str = ""
    finish_work_s: float = math.inf
    fail_work_s: float = math.inf

    @property
    def active(self) -> bool:
        """Whether it uses the worker."""
        return self.state in messages.ACTIVE_STATES

    def to_message(self, attempt: str) -> messages.Attempt:
        """Return the state as the platform tells it."""
        return messages.Attempt(
            attempt, self.state, self.checkpoint, self.lease_until_ms, self.reason
        )


def checkpoint_name(task: str, work_done_s: float) -> str:
    """Return the name of a checkpoint, which tells the work it holds.

    >>> checkpoint_work_s(checkpoint_name("j/0", 2.5))
    2.5
    """
    return f"{task}@{work_done_s:.3f}"


def checkpoint_work_s(checkpoint: str | None) -> float:
    """Return the seconds of work that a checkpoint holds."""
    return float(checkpoint.rpartition("@")[2]) if checkpoint else 0.0


@dataclasses.dataclass(slots=True)
class Worker:
    """One worker with its own clock and the attempts it knows.

    ``clock_base_ms`` was the own clock at ``clock_base_at`` on the
    platform's; the own clock never goes back, also when the worker dies and
    comes back, since leases of late starts are judged by it.
    """

    id: str
    data_centre: str
    rack: str
    cores: float
    memory_gb: float
    accelerators: int = 0
    clock_base_ms: float = 0.0
    clock_base_at: float = 0.0
    clock_rate: float = 1.0
    advanced_at: float = 0.0
    paused: bool = False
    dead: bool = False
    execution_by_attempt: dict[str, Execution] = dataclasses.field(default_factory=dict)
    active_by_attempt: dict[str, Execution] = dataclasses.field(default_factory=dict)

    def exact_clock_ms(self, now: float) -> float:
        """Return the worker's own clock."""
        return self.clock_base_ms + (now - self.clock_base_at) * 1000 * self.clock_rate

    def clock_ms(self, now: float) -> int:
        """Return the worker's own clock in whole milliseconds."""
        return int(self.exact_clock_ms(now))

    def set_clock(self, now: float, setting: faults.WorkerClock) -> None:
        """Let the own clock jump forward and run at another rate from now."""
        self.clock_base_ms = self.exact_clock_ms(now) + max(0.0, setting.offset_ms)
        self.clock_base_at = now
        self.clock_rate = setting.rate

    def platform_time_at(self, own_ms: float) -> float:
        """Return the platform's time at which the own clock shows a value."""
        behind_ms = own_ms - self.clock_base_ms
        return self.clock_base_at + behind_ms / 1000 / self.clock_rate

    def cpu_share_of(self, execution: Execution) -> float:
        """Return the share of the worker's processors that an attempt uses."""
        cores = execution.start.cores if execution.start else 0.0
        return execution.share * cores / max(self.cores, EPSILON)

    def slowdown(
        self, work_class: str, switches: faults.Faults, skip: str = ""
    ) -> float:
        """Return the slowdown of a class of work by what runs here.

        Args:
            work_class: Class that is slowed down.
            switches: Where the factors are.
            skip: Attempt that is left out, as it does not slow itself.
        """
        total = 1.0
        for attempt, execution in self.active_by_attempt.items():
            if attempt != skip and execution.start is not None:
                factor = switches.slowdown(work_class, execution.start.work_class)
                total += factor * self.cpu_share_of(execution)
        return total

    def end(self, attempt: str, state: str, reason: str = "") -> None:
        """End an active attempt."""
        execution = self.active_by_attempt.pop(attempt)
        execution.state = state
        execution.reason = reason

    def advance(self, now: float, switches: faults.Faults) -> list[str]:
        """Let the attempts work until ``now``, event by event.

        Returns:
            The attempts that finished, in the order in which they did.
        """
        finished: list[str] = []
        while self.active_by_attempt:
            speed_by_attempt = self._speeds(switches)
            until = min(now, self._next_event(speed_by_attempt))
            elapsed = max(0.0, until - self.advanced_at)
            self.advanced_at = max(until, self.advanced_at)
            for attempt, speed in speed_by_attempt.items():
                self.active_by_attempt[attempt].work_done_s += speed * elapsed
            ended = self._end_due(finished)
            if not ended and until >= now:
                break
        self.advanced_at = max(now, self.advanced_at)
        return finished

    def _speeds(self, switches: faults.Faults) -> dict[str, float]:
        if self.paused:
            return dict.fromkeys(self.active_by_attempt, 0.0)
        return {
            attempt: execution.share
            / self.slowdown(execution.start.work_class, switches, skip=attempt)
            for attempt, execution in self.active_by_attempt.items()
            if execution.start is not None
        }

    def _next_event(self, speed_by_attempt: dict[str, float]) -> float:
        earliest = math.inf
        for attempt, speed in speed_by_attempt.items():
            execution = self.active_by_attempt[attempt]
            earliest = min(earliest, self.platform_time_at(execution.lease_until_ms))
            left_s = (
                min(execution.finish_work_s, execution.fail_work_s)
                - execution.work_done_s
            )
            if speed > 0:
                earliest = min(earliest, self.advanced_at + left_s / speed)
        return max(earliest, self.advanced_at)

    def _end_due(self, finished: list[str]) -> bool:
        """End attempts whose work or lease is over; the lease goes first."""
        own_ms = self.exact_clock_ms(self.advanced_at)
        ended = False
        for attempt, execution in list(self.active_by_attempt.items()):
            if own_ms >= execution.lease_until_ms - 1e-3:
                self.end(attempt, "lapsed", "lease lapsed")
            elif execution.work_done_s >= execution.fail_work_s - EPSILON:
                self.end(attempt, "failed", "exit status 1")
            elif execution.work_done_s >= execution.finish_work_s - EPSILON:
                self.end(attempt, "finished")
                finished.append(attempt)
            else:
                continue
            ended = True
        return ended
