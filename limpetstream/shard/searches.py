"""Keeps between scheduling passes what earlier searches for executors found.

A search that fails says that no executor suits a task of some shape. Until
capacity is freed somewhere, it would fail again; afterwards only executors
that have freed capacity can suit the task.
"""

import dataclasses
from collections.abc import Callable, Hashable, Iterable

from limpetstream.executors import tracking

# Executors become available by polls, each about once a second.
AVAILABILITY_INTERVAL_S = 0.05
MAX_FAILURES = 4096  # Outdated ones are dropped beyond this number.


@dataclasses.dataclass(slots=True)
class Failure:
    """A search that found no executor.

    Args:
        failed_at: Monotonic time at which all executors were last searched.
        round_number: Round of passes in which the search was last made.
        position: Number of executors that had freed capacity until then.
        is_held_up: Whether one had room, and many starts that are not sent.
    """

    failed_at: float
    round_number: int
    position: int
    is_held_up: bool = False


@dataclasses.dataclass(slots=True)
class Freeable:
    """Capacity that stopping runs frees on one executor for a kind of task.

    Args:
        computed_at: Monotonic time of the computation.
        run_changes: Value of the executor's ``run_changes`` at that time.
        by_priority: For each priority of runs that may be stopped, the largest
            number first: the number, and the millicores and MB that the runs
            with this number or a larger one reserve.
    """

    computed_at: float
    run_changes: int
    by_priority: list[tuple[int, int, int]]


@dataclasses.dataclass(slots=True)
class Searches:
    """What passes keep of earlier searches; times are monotonic, in seconds.

    A round consists of the passes in which every due task has its turn once.

    Args:
        failure_by_key: Failed searches by what they depend on, apart from the
            state of the executors.
        freed: Executors that have freed capacity or become available, in that
            order, since ``first_position``.
        first_position: Number of such executors before ``freed``.
        available: Ids of the executors that were available at the last check.
        checked_at: Time of that check.
        round_number: Number of the present round.
        is_continued: Whether the last pass left tasks of the round over.
        freeable_by_executor: Freeable capacity, by executor id and kind of
            task.
        next_relocation: Index of the executor whose paused runs come next.
        pass_count: Passes since the last log line about bounded passes.
        bounded_count: Those among them that reached their bound.
        logged_at: Time of that line.
    """

    failure_by_key: dict[Hashable, Failure] = dataclasses.field(default_factory=dict)
    freed: list[tracking.Executor] = dataclasses.field(default_factory=list)
    first_position: int = 0
    available: set[str] = dataclasses.field(default_factory=set)
    checked_at: float = float("-inf")
    round_number: int = 0
    is_continued: bool = False
    freeable_by_executor: dict[tuple[str, str], Freeable] = dataclasses.field(
        default_factory=dict
    )
    next_relocation: int = 0
    pass_count: int = 0
    bounded_count: int = 0
    logged_at: float = float("-inf")

    @property
    def position(self) -> int:
        """Number of executors that have freed capacity so far."""
        return self.first_position + len(self.freed)


def note_changes(
    searches: Searches,
    executors: list[tracking.Executor],
    is_available: Callable[[tracking.Executor], bool],
    now: float,
) -> None:
    """Note which executors have freed capacity or become available.

    Args:
        searches: State to update.
        executors: All executors.
        is_available: Whether an executor may get new tasks.
        now: Monotonic time.
    """
    for executor in executors:
        if executor.has_freed:
            executor.has_freed = False
            searches.freed.append(executor)
    if now - searches.checked_at >= AVAILABILITY_INTERVAL_S:
        searches.checked_at = now
        available = {
            executor.listing.executor_id: executor
            for executor in executors
            if is_available(executor)
        }
        searches.freed.extend(
            executor
            for executor_id, executor in available.items()
            if executor_id not in searches.available
        )
        searches.available = set(available)
        _drop_outdated(searches, len(executors), now)


def _drop_outdated(searches: Searches, executor_count: int, now: float) -> None:
    """Drop what would no longer save work, so that the state stays small."""
    if len(searches.freed) > 4 * executor_count:
        searches.first_position += len(searches.freed)
        searches.freed.clear()
    if len(searches.failure_by_key) > MAX_FAILURES:
        searches.failure_by_key = {
            key: failure
            for key, failure in searches.failure_by_key.items()
            if failure.round_number == searches.round_number
        }
    if len(searches.freeable_by_executor) > 4 * executor_count:
        searches.freeable_by_executor.clear()


def candidates(
    searches: Searches,
    key: Hashable,
    executors: list[tracking.Executor],
    retry_s: float,
    now: float,
) -> list[tracking.Executor]:
    """Return the executors to search: all, or those changed since a failure.

    Within a round, all executors are searched once for a key, however long the
    round takes; otherwise the first tasks could use up each pass.

    Args:
        searches: Earlier searches.
        key: What the search depends on.
        executors: All executors.
        retry_s: Seconds after which all executors are searched again.
        now: Monotonic time.
    """
    failure = searches.failure_by_key.get(key)
    if failure is None or failure.position < searches.first_position:
        return executors
    is_old = now - failure.failed_at >= retry_s
    if is_old and failure.round_number != searches.round_number:
        return executors
    if failure.position == searches.position:
        return []
    freed = searches.freed[failure.position - searches.first_position :]
    return list(dict.fromkeys(freed)) if len(freed) < len(executors) else executors


def note_failure(
    searches: Searches,
    key: Hashable,
    *,
    searched_all: bool,
    now: float,
    is_held_up: bool = False,
) -> None:
    """Note that a search has found no executor.

    Args:
        searches: State to update.
        key: What the search depends on.
        searched_all: Whether it searched all executors.
        now: Monotonic time.
        is_held_up: Whether one had room, and many starts that are not sent.
    """
    failure = searches.failure_by_key.get(key)
    if searched_all or failure is None:
        failed_at = now
    else:
        failed_at = failure.failed_at
        is_held_up = is_held_up or failure.is_held_up
    searches.failure_by_key[key] = Failure(
        failed_at, searches.round_number, searches.position, is_held_up
    )


def is_held_up(searches: Searches, key: Hashable) -> bool:
    """Return whether the last search for a key failed by starts that wait."""
    failure = searches.failure_by_key.get(key)
    return failure is not None and failure.is_held_up


def end_pass(searches: Searches, *, is_finished: bool) -> None:
    """Note the end of a pass; the next round begins if it has finished one."""
    searches.is_continued = not is_finished
    if is_finished:
        searches.round_number += 1


def forget_freeable(searches: Searches, executor_id: str, kinds: Iterable[str]) -> None:
    """Forget what stopping runs on an executor can free."""
    for kind in kinds:
        searches.freeable_by_executor.pop((executor_id, kind), None)
