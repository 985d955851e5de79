"""Simulates the attempts on one worker.

Covers progress, interference between attempts and the end of leases, and
names checkpoints; ``standins.fleet`` applies the platform's calls.
"""

import dataclasses
import math

from limpetstream.platform import messages
from standins import faults

# Larger than the rounding error of clock readings that cover many days.
EPSILON = 1e-6


@dataclasses.dataclass(slots=True)
class Execution:
    """State of one attempt on a worker.

    Args:
        start: Start request; None if the attempt was stopped before it
            started.
        state: State as ``GET /workers/{id}`` reports it.
        work_done_s: Work done, in seconds of an undisturbed run.
        share: Share of its processors that the attempt may use.
        lease_until_ms: End of its lease on the worker's clock.
        checkpoint: Name of the last checkpoint.
        reason: Why the attempt ended.
        finish_work_s: Amount of work after which the attempt finishes;
            infinite for a watcher, a task that runs until it is stopped.
        fail_work_s: Amount of work after which the attempt fails; infinite
            if it does not fail.
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
        """Whether the attempt occupies resources of the worker."""
        return self.state in messages.ACTIVE_STATES

    def to_message(self, attempt: str) -> messages.Attempt:
        """Return the state as the platform reports it."""
        return messages.Attempt(
            attempt, self.state, self.checkpoint, self.lease_until_ms, self.reason
        )


def checkpoint_name(task: str, work_done_s: float) -> str:
    """Return the name of a checkpoint, which contains the work it saves.

    >>> checkpoint_work_s(checkpoint_name("j/0", 2.5))
    2.5
    """
    return f"{task}@{work_done_s:.3f}"


def checkpoint_work_s(checkpoint: str | None) -> float:
    """Return the seconds of work that a checkpoint saves."""
    return float(checkpoint.rpartition("@")[2]) if checkpoint else 0.0


@dataclasses.dataclass(slots=True)
class Worker:
    """One worker with its own clock and its attempts.

    ``clock_base_ms`` is the reading of the worker's clock when the platform's
    clock showed ``clock_base_at``. The worker's clock never goes back, not
    even when the worker dies and is revived, because it decides whether the
    lease of a delayed start has expired: a start request states the end of
    its lease on this clock.

    Args:
        id: Id of the worker.
        data_centre: Data centre of the worker.
        rack: Rack of the worker.
        cores: Processors that it has.
        memory_gb: Memory that it has.
        accelerators: Number of accelerators that it has.
        clock_base_ms: Reading of its clock at ``clock_base_at``.
        clock_base_at: Platform's time in seconds.
        clock_rate: Rate of its clock relative to the platform's.
        advanced_at: Platform's time in seconds up to which its attempts are
            simulated.
        paused: Whether attempts make no progress; their leases still expire.
        dead: Whether the worker is dead; ``standins.fleet`` removes all its
            attempts when it dies and refuses calls to it.
        execution_by_attempt: All attempts, also those that have ended.
        active_by_attempt: Those of them that occupy resources.
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
        """Return the reading of the worker's clock in milliseconds."""
        return self.clock_base_ms + (now - self.clock_base_at) * 1000 * self.clock_rate

    def clock_ms(self, now: float) -> int:
        """Return the worker's clock in whole milliseconds."""
        return int(self.exact_clock_ms(now))

    def set_clock(self, now: float, setting: faults.WorkerClock) -> None:
        """Move the worker's clock forward and change its rate from now on.

        A negative offset is ignored, as the clock never goes back.
        """
        self.clock_base_ms = self.exact_clock_ms(now) + max(0.0, setting.offset_ms)
        self.clock_base_at = now
        self.clock_rate = setting.rate

    def platform_time_at(self, clock_ms: float) -> float:
        """Convert a reading of the worker's clock to the platform's time."""
        elapsed_ms = clock_ms - self.clock_base_ms
        return self.clock_base_at + elapsed_ms / 1000 / self.clock_rate

    def cpu_share_of(self, execution: Execution) -> float:
        """Return the share of the worker's processors that an attempt uses."""
        cores = execution.start.cores if execution.start else 0.0
        return execution.share * cores / max(self.cores, EPSILON)

    def slowdown(
        self, work_class: str, switches: faults.Faults, skip: str = ""
    ) -> float:
        """Return the factor by which the active attempts slow a work class.

        Each attempt adds the slowdown of its pair of classes, in proportion
        to the share of the worker's processors that it uses.

        Args:
            work_class: Work class that is slowed down.
            switches: Switches with the slowdown of each pair of classes.
            skip: Attempt that is left out, as it does not slow itself.
        """
        factor_sum = 1.0
        for attempt, execution in self.active_by_attempt.items():
            if attempt != skip and execution.start is not None:
                pair_slowdown = switches.slowdown(
                    work_class, execution.start.work_class
                )
                factor_sum += pair_slowdown * self.cpu_share_of(execution)
        return factor_sum

    def end(self, attempt: str, state: str, reason: str = "") -> None:
        """End an active attempt."""
        execution = self.active_by_attempt.pop(attempt)
        execution.state = state
        execution.reason = reason

    def advance(self, now: float, switches: faults.Faults) -> list[str]:
        """Simulate the attempts up to ``now``, event by event.

        Returns:
            The attempts that finished, in the order in which they finished.
        """
        finished: list[str] = []
        while self.active_by_attempt:
            speed_by_attempt = self._speed_by_attempt(switches)
            until = min(now, self._next_event_at(speed_by_attempt))
            elapsed = max(0.0, until - self.advanced_at)
            self.advanced_at = max(until, self.advanced_at)
            for attempt, speed in speed_by_attempt.items():
                self.active_by_attempt[attempt].work_done_s += speed * elapsed
            any_ended = self._end_due_attempts(finished)
            if not any_ended and until >= now:
                break
        self.advanced_at = max(now, self.advanced_at)
        return finished

    def _speed_by_attempt(self, switches: faults.Faults) -> dict[str, float]:
        if self.paused:
            return dict.fromkeys(self.active_by_attempt, 0.0)
        return {
            attempt: execution.share
            / self.slowdown(execution.start.work_class, switches, skip=attempt)
            for attempt, execution in self.active_by_attempt.items()
            if execution.start is not None
        }

    def _next_event_at(self, speed_by_attempt: dict[str, float]) -> float:
        earliest = math.inf
        for attempt, speed in speed_by_attempt.items():
            execution = self.active_by_attempt[attempt]
            earliest = min(earliest, self.platform_time_at(execution.lease_until_ms))
            remaining_work_s = (
                min(execution.finish_work_s, execution.fail_work_s)
                - execution.work_done_s
            )
            if speed > 0:
                earliest = min(earliest, self.advanced_at + remaining_work_s / speed)
        return max(earliest, self.advanced_at)

    def _end_due_attempts(self, finished: list[str]) -> bool:
        """End attempts whose work is done or whose lease has expired.

        An expired lease takes precedence over the end of the work.

        Args:
            finished: Receives the attempts that finished.

        Returns:
            Whether any attempt ended.
        """
        clock_ms = self.exact_clock_ms(self.advanced_at)
        any_ended = False
        for attempt, execution in list(self.active_by_attempt.items()):
            # The tolerance of 1e-3 ms is larger than the rounding error of
            # the conversion between the two clocks.
            if clock_ms >= execution.lease_until_ms - 1e-3:
                self.end(attempt, "lapsed", "lease lapsed")
            elif execution.work_done_s >= execution.fail_work_s - EPSILON:
                self.end(attempt, "failed", "exit status 1")
            elif execution.work_done_s >= execution.finish_work_s - EPSILON:
                self.end(attempt, "finished")
                finished.append(attempt)
            else:
                continue
            any_ended = True
        return any_ended
