"""Holds the released tasks of a shard that cannot start soon.

Most of the tasks that an owner has accepted wait for capacity for long. They
are counted by step, and get an object only as there is room among the waiting
tasks, so that the state of an owner grows with what runs or may start soon.
Those of one kind come in the order in which their jobs were accepted.
"""

import collections
import heapq
import itertools
from collections.abc import Hashable, Iterable, Iterator

from limpetstream.workflow import state, waiting_tasks

# Bounds of the waiting tasks. A gang is queued whole, and tasks that have run
# come back, so there may be more.
MAX_WAITING = 16_384
MAX_WAITING_OF_KIND = 2048
# Each kind may have so many waiting tasks, whatever the others have: tasks
# that cannot be placed hold up no others.
MIN_WAITING_OF_KIND = 4
# A due occurrence begins while its job has fewer waiting tasks.
MAX_WAITING_OF_SCHEDULE = 512
TURN_TASKS = 64  # Of one step, before there must be room again.


class Backlog:
    """Steps with released tasks that are not queued yet.

    Those of a kind are a heap, by when their jobs were accepted. Steps of jobs
    that have ended stay there until their turn, or until they are half of all.
    """

    __slots__ = (
        "_numbers",
        "_open_count",
        "_stale_count",
        "count_by_job",
        "steps_by_kind",
    )

    def __init__(self) -> None:
        self.steps_by_kind: dict[Hashable, list[tuple[int, int, state.StepTasks]]] = {}
        self.count_by_job: collections.Counter[state.Job] = collections.Counter()
        self._open_count = 0
        self._stale_count = 0
        self._numbers = itertools.count()

    def add(self, tasks: state.StepTasks) -> None:
        """Add a step of an open job."""
        row = tasks.job.submission.accepted_ms, next(self._numbers), tasks
        heapq.heappush(self.steps_by_kind.setdefault(tasks.kind, []), row)
        self.count_by_job[tasks.job] += 1
        self._open_count += 1

    def discard(self, job: state.Job) -> None:
        """Remove all steps of a job that has ended."""
        count = self.count_by_job.pop(job, 0)
        self._open_count -= count
        self._stale_count += count
        if self._stale_count > self._open_count:
            self._stale_count = 0
            for kind, rows in list(self.steps_by_kind.items()):
                rows[:] = [row for row in rows if row[2].job in self.count_by_job]
                heapq.heapify(rows)
                if not rows:
                    del self.steps_by_kind[kind]

    def pop(self, kind: Hashable) -> state.StepTasks | None:
        """Remove and return the first step of a kind; None without one."""
        rows = self.steps_by_kind.get(kind)
        while rows:
            tasks = heapq.heappop(rows)[2]
            if not rows:
                del self.steps_by_kind[kind]
            if tasks.job in self.count_by_job:
                self._open_count -= 1
                self.count_by_job[tasks.job] -= 1
                if not self.count_by_job[tasks.job]:
                    del self.count_by_job[tasks.job]
                return tasks
            self._stale_count -= 1
        return None


def take(
    backlog: Backlog,
    waiting: waiting_tasks.WaitingTasks,
    kinds: Iterable[Hashable] | None = None,
) -> Iterator[tuple[state.Task, float]]:
    """Yield the tasks to queue now, with the times of their release.

    Args:
        backlog: Tasks that are not queued yet; those that are yielded leave.
        waiting: Waiting tasks, to which the caller adds each one at once.
        kinds: Kinds of the tasks; None for all.
    """
    for kind in list(backlog.steps_by_kind if kinds is None else kinds):
        while _has_room(waiting, kind):
            tasks = backlog.pop(kind)
            if tasks is None:
                break
            yield from _take_turn(tasks, waiting)
            if tasks.next_index < len(tasks):
                backlog.add(tasks)


def _has_room(waiting: waiting_tasks.WaitingTasks, kind: Hashable) -> bool:
    count = waiting.count_by_kind[kind]
    if count < MIN_WAITING_OF_KIND:
        return True
    return count < MAX_WAITING_OF_KIND and len(waiting) < MAX_WAITING


def _take_turn(
    tasks: state.StepTasks, waiting: waiting_tasks.WaitingTasks
) -> Iterator[tuple[state.Task, float]]:
    """Yield the next tasks of a step that neither wait nor have a run."""
    end = len(tasks)
    if not tasks.step.gang:
        end = min(end, tasks.next_index + TURN_TASKS)
    while tasks.next_index < end:
        index = tasks.next_index
        tasks.next_index += 1
        if tasks.is_done(index):
            continue
        task = tasks[index]
        if task.run is None and task not in waiting:
            yield task, tasks.released_at


def has_room_for_occurrence(
    backlog: Backlog, waiting: waiting_tasks.WaitingTasks, job: state.Job
) -> bool:
    """Return whether the next due occurrence of a job may begin.

    Few of its tasks wait, and few in all; one occurrence may begin anyhow.
    """
    if job in backlog.count_by_job:
        return False
    count = waiting.count_by_job[job]
    if len(waiting) >= MAX_WAITING:
        return count == 0
    return count < MAX_WAITING_OF_SCHEDULE
