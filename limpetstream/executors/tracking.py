"""Room that the runs on an executor take, and what is left of it."""

import asyncio
import dataclasses

from limpetstream.executors import leases, messages
from limpetstream.workflow import messages as workflow_messages, state

MAX_STARTS_AT_ONCE = 2  # Each needs a connection, and new ones are priced.


@dataclasses.dataclass(slots=True, eq=False)
class Executor:
    """One executor as its owner sees it.

    Args:
        listing: What it says of itself.
        lease: Its clock and lease.
        run_by_task: Runs that hold room, by the task's name.
        born_ms: Unix milliseconds of the start of the life that was looked at.
        acked_end: Number of the last end that is durable here.
        applied_end: Number of the last end that was folded.
        reached: Whether a look with this owner's token was answered.
        polled_at: Monotonic time before the newest look that was answered.
        answered_at: Monotonic time of the newest answer to a look.
        silent_since: Monotonic time of the first of the calls that failed in
            a row; None while calls are answered.
        failure_score: Runs of several jobs that failed here lately, decaying.
        avoid_until: Monotonic time before which nothing is placed here.
        recorded: Whether the journal durably names it.
        unknown_runs: Runs that no open job wants and that still take room.
        pace_changed_at: Monotonic time of the last change of a run's pace.
        best_effort_seen: Names of the filling tasks at the newest look.
        best_effort_ended_at: Monotonic time at which one of them was last
            missed.
        start_slots: Bounds the starts that are on their way at once.
        listed: Whether the list of executors still names it.
        reserved_millicores: Processors reserved by runs that do not fill.
        reserved_memory_mb: Memory reserved, MB.
        reserved_accelerators: Accelerators reserved.
        best_effort_millicores: Processors that filling runs would use.
    """

    listing: messages.Listing
    lease: leases.Lease = dataclasses.field(default_factory=leases.Lease)
    run_by_task: dict[str, state.Run] = dataclasses.field(default_factory=dict)
    born_ms: int = 0
    acked_end: int = 0
    applied_end: int = 0
    reached: bool = False
    polled_at: float = float("-inf")
    answered_at: float = float("-inf")
    silent_since: float | None = None
    failure_score: float = 0.0
    avoid_until: float = float("-inf")
    recorded: bool = False
    unknown_runs: set[tuple[str, int]] = dataclasses.field(default_factory=set)
    pace_changed_at: float = float("-inf")
    best_effort_seen: frozenset[str] = frozenset()
    best_effort_ended_at: float = float("-inf")
    start_slots: asyncio.Semaphore = dataclasses.field(
        default_factory=lambda: asyncio.Semaphore(MAX_STARTS_AT_ONCE)
    )
    listed: bool = True
    reserved_millicores: int = 0
    reserved_memory_mb: int = 0
    reserved_accelerators: int = 0
    best_effort_millicores: int = 0
    _serving_by_task: dict[str, state.Run] = dataclasses.field(default_factory=dict)
    _filling_by_task: dict[str, state.Run] = dataclasses.field(default_factory=dict)

    def reserve(self, run: state.Run) -> None:
        """Count a run against the room."""
        name, step = run.task.name, run.task.step
        self.run_by_task[name] = run
        if step.tail_target_ms > 0:
            self._serving_by_task[name] = run
        if step.fills:
            self._filling_by_task[name] = run
        self._count(step, 1)

    def release(self, run: state.Run) -> None:
        """Give the room of a run back; a second time has no effect."""
        if self.run_by_task.get(run.task.name) is run:
            del self.run_by_task[run.task.name]
            self._serving_by_task.pop(run.task.name, None)
            self._filling_by_task.pop(run.task.name, None)
            self._count(run.task.step, -1)

    def fits(self, step: workflow_messages.Step) -> bool:
        """Return whether one more task of a step fits."""
        capacity = self.listing.capacity
        cpu = 0 if step.fills else step.cpu_millicores
        return (
            self.reserved_millicores + cpu <= capacity.cpu_millicores
            and self.reserved_memory_mb + step.memory_mb <= capacity.memory_mb
            and self.reserved_accelerators + step.accelerators <= capacity.accelerators
        )

    def fits_when_idle(self, step: workflow_messages.Step) -> bool:
        """Return whether one task of a step fits while nothing runs here."""
        capacity = self.listing.capacity
        cpu = 0 if step.fills else step.cpu_millicores
        return (
            cpu <= capacity.cpu_millicores
            and step.memory_mb <= capacity.memory_mb
            and step.accelerators <= capacity.accelerators
        )

    def serving_runs(self) -> list[state.Run]:
        """Return the runs that serve users of their own."""
        return list(self._serving_by_task.values())

    def best_effort_runs(self) -> list[state.Run]:
        """Return the runs that use what others leave."""
        return list(self._filling_by_task.values())

    def _count(self, step: workflow_messages.Step, sign: int) -> None:
        if step.fills:
            self.best_effort_millicores += sign * step.cpu_millicores
        else:
            self.reserved_millicores += sign * step.cpu_millicores
        self.reserved_memory_mb += sign * step.memory_mb
        self.reserved_accelerators += sign * step.accelerators
