"""Measures what keeps an owner busy, and how long tasks wait for their turn.

A task that starts late has waited for one of two things: for its first turn
in a scheduling pass, which tells that the owner is busy, or for capacity
after that turn.
"""

import contextlib
import dataclasses
from collections.abc import Iterator

from limpetstream import clock as clock_module
from limpetstream.workflow import state as workflow_state

# First turns that come later than this miss the aim for first starts.
LATE_TURN_S = 0.5
MAX_PRIORITIES = 8  # In one report; the most urgent ones.
PASSES = "passes"
REPLIES = "replies"


@dataclasses.dataclass(slots=True)
class Turns:
    """First turns of the tasks of one priority.

    Args:
        count: Number of first turns.
        late: Those among them that came later than ``LATE_TURN_S``.
        longest_s: Longest time from being ready to the first turn.
    """

    count: int = 0
    late: int = 0
    longest_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Work:
    """Work of one kind.

    Args:
        count: How often it was done.
        processor_s: Processor time that it took.
    """

    count: int = 0
    processor_s: float = 0.0


@dataclasses.dataclass(slots=True)
class OwnerLoad:
    """Load of one owner since ``begin`` was last called.

    Args:
        began_at: Monotonic time of that call.
        processor_began_s: Processor time of the process at that call.
        turns_by_priority: First turns, by priority of the task's queue.
        work_by_kind: Work that was measured, by its kind.
    """

    began_at: float = 0.0
    processor_began_s: float = 0.0
    turns_by_priority: dict[int, Turns] = dataclasses.field(default_factory=dict)
    work_by_kind: dict[str, Work] = dataclasses.field(default_factory=dict)


def begin(load: OwnerLoad, clock: clock_module.Clock) -> None:
    """Begin a new period."""
    load.began_at = clock.monotonic()
    load.processor_began_s = clock.processor()
    load.turns_by_priority = {}
    load.work_by_kind = {}


@contextlib.contextmanager
def measured(load: OwnerLoad, clock: clock_module.Clock, kind: str) -> Iterator[None]:
    """Count work of a kind; the block must not wait for anything."""
    began_s = clock.processor()
    try:
        yield
    finally:
        work = load.work_by_kind.setdefault(kind, Work())
        work.count += 1
        work.processor_s += clock.processor() - began_s


def note_turn(
    load: OwnerLoad, task: workflow_state.Task, priority: int, now: float
) -> None:
    """Note a task's turn, if it is the first one since the task was ready."""
    if task.first_turn_at >= task.ready_at:
        return
    task.first_turn_at = now
    waited_s = min(workflow_state.waited_s(task, now), now - task.not_before)
    task.first_turn_wait_s = waited_s
    turns = load.turns_by_priority.setdefault(priority, Turns())
    turns.count += 1
    turns.late += waited_s > LATE_TURN_S
    turns.longest_s = max(turns.longest_s, waited_s)


def turn_rows(load: OwnerLoad) -> list[dict[str, int]]:
    """Return the first turns of the most urgent priorities."""
    return [
        {
            "priority": priority,
            "turns": turns.count,
            "late": turns.late,
            "longest_ms": round(turns.longest_s * 1000),
        }
        for priority, turns in sorted(load.turns_by_priority.items())[:MAX_PRIORITIES]
    ]


def work_rows(load: OwnerLoad, elapsed_s: float) -> dict[str, dict[str, float]]:
    """Return the measured work, with its share of one processor."""
    return {
        kind: {
            "count": work.count,
            "percent": percent(work.processor_s, elapsed_s),
        }
        for kind, work in load.work_by_kind.items()
    }


def percent(processor_s: float, elapsed_s: float) -> float:
    """Return processor time as a percentage of one processor.

    >>> percent(1.0, 4.0)
    25.0
    """
    return round(100 * processor_s / elapsed_s, 1) if elapsed_s > 0 else 0.0
