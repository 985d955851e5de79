"""Jobs, tasks and the queue of pending tasks, as applied from the log."""

import dataclasses
from collections.abc import Iterator

from limpetstream import amounts
from limpetstream.batch import messages

FINAL_STATES = ("finished", "failed", "cancelled")
MAX_STEPS = 40
"""Bounds the history of a task that is evicted over and over."""

Shape = tuple[str, str, amounts.Amount]
"""Team, work class and size: tasks of one shape fit in the same places."""


@dataclasses.dataclass(slots=True)
class Step:
    """One step in the history of a task.

    Args:
        at_ms: Wall time that the writer of the record gave.
        offset: Offset of the record.
        what: What happened, such as ``placed``.
        attempt: Number of the attempt concerned; 0 for none.
        where: Worker concerned; empty for none.
        reason: Explanation in plain words.
    """

    at_ms: int
    offset: int
    what: str
    attempt: int = 0
    where: str = ""
    reason: str = ""


@dataclasses.dataclass(slots=True)
class Task:
    """One task and its latest attempt.

    Args:
        id: Job id, a slash and the task's number.
        job: Id of the job.
        size: Declared size.
        run_s: Declared run time in seconds.
        state: ``pending``, ``placed`` or one of ``FINAL_STATES``.
        attempt: Number of the latest attempt; 0 before the first.
        worker: Worker of the placed attempt.
        data_centre: Data centre of that worker.
        epoch: Epoch of the right that placed it.
        placed_ms: Wall time of the placement.
        checkpoint: Name of the newest checkpoint.
        failures: Attempts that failed by themselves.
        restarts: Consecutive short runs of a watcher, for its backoff.
        final_ms: Time of the state at which the task became final.
        steps_dropped: Number of steps that were removed from the history.
        story: History of the task, the newest step last.
    """

    id: str
    job: str
    size: amounts.Amount
    run_s: float
    state: str = "pending"
    attempt: int = 0
    worker: str = ""
    data_centre: str = ""
    epoch: int = 0
    placed_ms: int = 0
    checkpoint: str = ""
    failures: int = 0
    restarts: int = 0
    final_ms: int = 0
    steps_dropped: int = 0
    story: list[Step] = dataclasses.field(default_factory=list)

    def add_step(self, step: Step) -> None:
        """Add a step; over ``MAX_STEPS``, drop the oldest but the first."""
        self.story.append(step)
        if len(self.story) > MAX_STEPS:
            del self.story[1]
            self.steps_dropped += 1


@dataclasses.dataclass(slots=True)
class Job:
    """One submitted job.

    Args:
        submit: The submission.
        offset: Offset of the submission.
        task_ids: Ids of the tasks in order.
        cancelled: Whether it was cancelled.
        cancel_reason: Why it was cancelled, in plain words.
        failed_workers: Workers on which its tasks failed by themselves.
        bad: Whether it was failed because its tasks fail on several workers.
        finished: Number of finished tasks.
        open_tasks: Number of tasks that are not final.
        kept_tasks: Number of tasks that are still in the state.
        count_by_worker: Number of placed tasks per worker.
    """

    submit: messages.JobSubmit
    offset: int
    task_ids: list[str] = dataclasses.field(default_factory=list)
    cancelled: bool = False
    cancel_reason: str = ""
    failed_workers: list[str] = dataclasses.field(default_factory=list)
    bad: bool = False
    finished: int = 0
    open_tasks: int = 0
    kept_tasks: int = 0
    count_by_worker: dict[str, int] = dataclasses.field(default_factory=dict)

    def adjust_worker_count(self, worker: str, change: int) -> None:
        """Add 1 or -1 to the number of tasks placed on a worker."""
        left = self.count_by_worker.get(worker, 0) + change
        if left:
            self.count_by_worker[worker] = left
        else:
            del self.count_by_worker[worker]

    @property
    def final(self) -> bool:
        """Whether all tasks are final."""
        return self.open_tasks == 0

    @property
    def state(self) -> str:
        """State of the job as a whole, as shown to callers."""
        if not self.final:
            return "cancelling" if self.cancelled else "active"
        if self.cancelled:
            return "cancelled"
        return "finished" if self.finished == len(self.task_ids) else "failed"


def shape_of(job: Job, task: Task) -> Shape:
    """Return the shape under which a task is queued."""
    return (job.submit.team, job.submit.work_class, task.size)


@dataclasses.dataclass(slots=True)
class PendingQueue:
    """Pending tasks by priority and shape, in order of arrival.

    Args:
        ids_by_shape: Ids of the tasks by priority, then by shape.
        count_by_priority: Number of the tasks of each priority.
    """

    ids_by_shape: dict[str, dict[Shape, dict[str, None]]] = dataclasses.field(
        default_factory=lambda: {priority: {} for priority in messages.PRIORITIES}
    )
    count_by_priority: dict[str, int] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(messages.PRIORITIES, 0)
    )

    def add(self, priority: str, shape: Shape, task_id: str) -> None:
        """Append a task to the queue of its shape."""
        self.ids_by_shape[priority].setdefault(shape, {})[task_id] = None
        self.count_by_priority[priority] += 1

    def remove(self, priority: str, shape: Shape, task_id: str) -> None:
        """Remove a task that was placed or became final."""
        ids_by_shape = self.ids_by_shape[priority]
        del ids_by_shape[shape][task_id]
        if not ids_by_shape[shape]:
            del ids_by_shape[shape]
        self.count_by_priority[priority] -= 1

    def shapes(self, priority: str) -> Iterator[tuple[Shape, dict[str, None]]]:
        """Iterate over the queued shapes and their task ids."""
        yield from self.ids_by_shape[priority].items()
