"""Holds the tasks that wait for capacity."""

import collections
import itertools
from collections.abc import Hashable, Iterable, Iterator
from typing import Any

from limpetstream.workflow import state


class WaitingTasks:
    """Waiting tasks in the order in which they were added, each at most once.

    Adding, removing and looking up a task take the same time however many
    wait. ``count_by_kind`` and ``count_by_job`` tell how many do.

    Args:
        tasks: The first tasks.
    """

    __slots__ = ("_tasks", "count_by_job", "count_by_kind")

    def __init__(self, tasks: Iterable[state.Task] = ()) -> None:
        self._tasks: dict[state.Task, None] = {}
        self.count_by_kind: collections.Counter[Hashable] = collections.Counter()
        self.count_by_job: collections.Counter[state.Job] = collections.Counter()
        self.extend(tasks)

    def append(self, task: state.Task) -> None:
        """Add a task; no effect if it waits already."""
        if task not in self._tasks:
            self._tasks[task] = None
            self.count_by_kind[task.kind] += 1
            self.count_by_job[task.job] += 1

    def extend(self, tasks: Iterable[state.Task]) -> None:
        """Add several tasks."""
        for task in tasks:
            self.append(task)

    def remove(self, task: state.Task) -> None:
        """Remove a task.

        Raises:
            KeyError: The task does not wait.
        """
        del self._tasks[task]
        _subtract(self.count_by_kind, task.kind)
        _subtract(self.count_by_job, task.job)

    def discard(self, task: state.Task) -> None:
        """Remove a task; no effect if it does not wait."""
        if task in self._tasks:
            self.remove(task)

    def __contains__(self, task: object) -> bool:
        return task in self._tasks

    def __iter__(self) -> Iterator[state.Task]:
        return iter(self._tasks)

    def __len__(self) -> int:
        return len(self._tasks)

    def __getitem__(self, index: int) -> state.Task:
        return next(itertools.islice(self._tasks, index, None))

    def __eq__(self, other: object) -> bool:
        if isinstance(other, WaitingTasks | list):
            return list(self) == list(other)
        return NotImplemented

    __hash__ = None  # type: ignore[assignment]


def _subtract(counter: collections.Counter[Any], key: object) -> None:
    """Subtract 1 from a count, and forget a key whose count is 0."""
    counter[key] -= 1
    if not counter[key]:
        del counter[key]
