"""Rule of the users' platform for lasting tasks that do not run.

A lasting task with room runs again 6 s after its last run, unless the system
has been disturbed: it must not stay without a run for the last 3 s of 7 s
without a disturbance.
"""

import asyncio
import contextlib
import dataclasses
import math
from collections.abc import Iterator

CALM_S = 4.0  # Calm that precedes the wait, by the platform's rule LOST.
IDLE_S = 3.0  # Longest wait with room in that calm, by the same rule.
RERUN_S = 6.0  # Time after the last run from which the rule holds.


@dataclasses.dataclass(slots=True)
class WaitingTask:
    """A lasting task that does not run at the moment.

    Args:
        name: Name of the task.
        since: Loop time at which its last run ended; without a run, at which
            its job was accepted.
        has_room: Whether an executor has room for it.
    """

    name: str
    since: float
    has_room: bool


class Disturbances:
    """Counts what disturbs the system at the moment."""

    def __init__(self) -> None:
        self._active = 0
        self._ended_at = -math.inf

    @contextlib.contextmanager
    def active(self) -> Iterator[None]:
        """Count a disturbance while the context is open."""
        self.begin()
        try:
            yield
        finally:
            self.end(asyncio.get_running_loop().time())

    def begin(self) -> None:
        """Note that a disturbance begins."""
        self._active += 1

    def end(self, now: float) -> None:
        """Note that a disturbance has ended."""
        self._active -= 1
        self._ended_at = now

    def calm_s(self, now: float) -> float:
        """Return for how long nothing has disturbed the system, in seconds."""
        return 0.0 if self._active else now - self._ended_at


class Checker:
    """Finds lasting tasks that break the rule.

    Args:
        disturbances: What disturbs the system.
    """

    def __init__(self, disturbances: Disturbances) -> None:
        self.found: list[str] = []
        self._disturbances = disturbances
        self._room_since_by_name: dict[str, float] = {}
        self._found_waits: set[tuple[str, float]] = set()

    def observe(self, now: float, waiting_tasks: list[WaitingTask]) -> None:
        """Check all lasting tasks that do not run.

        Args:
            now: Loop time.
            waiting_tasks: These tasks; each one not named runs or is not owed.
        """
        # A run may have begun and ended since the last observation.
        self._room_since_by_name = {
            task.name: max(self._room_since_by_name.get(task.name, now), task.since)
            for task in waiting_tasks
            if task.has_room
        }
        if self._disturbances.calm_s(now) < CALM_S + IDLE_S:
            return
        for task in waiting_tasks:
            idle_s = now - self._room_since_by_name.get(task.name, now)
            if idle_s >= IDLE_S and now - task.since >= RERUN_S:
                self._add_finding(now, task)

    def _add_finding(self, now: float, task: WaitingTask) -> None:
        if (task.name, task.since) in self._found_waits:
            return
        self._found_waits.add((task.name, task.since))
        self.found.append(
            f"{now:.3f} s: {task.name} is to last and has not run for "
            f"{now - task.since:.1f} s, with room for it and "
            f"{self._disturbances.calm_s(now):.1f} s without a disturbance"
        )
