"""Holds the tasks that wait for capacity."""

import itertools
from collections.abc import Iterable, Iterator

from limpetstream.workflow import state


class WaitingTasks:
    """Waiting tasks in the order in which they were added, each at most once.

    Adding, removing and looking up a task take the same time however many
    wait.

    Args:
        tasks: The first tasks.
    """

    __slots__ = ("_tasks",)

    def __init__(self, tasks: Iterable[state.Task] = ()) -> None:
        self._tasks: dict[state.Task, None] = dict.fromkeys(tasks)

    def append(self, task: state.Task) -> None:
        """Add a task; no effect if it waits already."""
        self._tasks[task] = None

    def extend(self, tasks: Iterable[state.Task]) -> None:
        """Add several tasks."""
        self._tasks.update(dict.fromkeys(tasks))

    def remove(self, task: state.Task) -> None:
        """Remove a task.

        Raises:
            KeyError: The task does not wait.
        """
        del self._tasks[task]

    def discard(self, task: state.Task) -> None:
        """Remove a task; no effect if it does not wait."""
        self._tasks.pop(task, None)

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
