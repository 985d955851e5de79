"""Decides which pending tasks a holder may take now, and in what order.

Every holder sees all pending tasks. To avoid races, each waits for a delay
that grows with the rank of its data centre for the task.
"""

import dataclasses
import itertools
import math
from collections.abc import Iterator

import xxhash

from limpetstream.batch import jobs, messages, tasks

# Delay for each rank by which another data centre comes first for a task.
RANK_DELAY_S = 0.5
URGENT_RANK_DELAY_S = 0.1
MAX_RANK = 10
"""Bounds the delay of urgent tasks when there are many data centres."""

FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 60.0
MAX_SCANNED_TASKS = 2000
"""Tasks of one shape that are considered in one round."""

HASH_RANGE = 2.0**64


def rank(
    task_id: str, data_centre: str, weight_by_data_centre: dict[str, float]
) -> int:
    """Return the rank of a data centre for a task, from 0 to ``MAX_RANK``.

    The rank follows from rendezvous hashing weighted by free capacity.
    Holders that see the same capacity therefore agree on it without
    communicating.

    Args:
        task_id: Id of the task.
        data_centre: Data centre to rank.
        weight_by_data_centre: Free capacity of each data centre.
    """
    own_weight = _rendezvous_weight(
        task_id, data_centre, weight_by_data_centre.get(data_centre, 0.0)
    )
    better = 0
    for name, weight in weight_by_data_centre.items():
        if (
            name != data_centre
            and _rendezvous_weight(task_id, name, weight) > own_weight
        ):
            better += 1
    return min(better, MAX_RANK)


def _rendezvous_weight(task_id: str, name: str, weight: float) -> float:
    if weight <= 0:
        return 0.0
    digest = xxhash.xxh64_intdigest(f"{name}|{task_id}".encode())
    return weight / -math.log((digest + 1) / (HASH_RANGE + 1))


def backoff_s(restarts: int) -> float:
    """Return how long a watcher waits before it is restarted, in seconds.

    >>> [backoff_s(count) for count in (0, 1, 2, 20)]
    [0.0, 0.5, 1.0, 60.0]
    """
    if restarts == 0:
        return 0.0
    return min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(restarts - 1, 10))


@dataclasses.dataclass(slots=True)
class Demand:
    """Pending tasks as one holder sees them.

    Args:
        state: Batch state applied from the log.
        data_centre: Data centre of the holder.
        due_by_task: Attempt number and monotonic time from which this holder
            may take the task, by task id; set when the task is first seen
            pending.
    """

    state: jobs.Jobs
    data_centre: str
    due_by_task: dict[str, tuple[int, float]] = dataclasses.field(default_factory=dict)

    def is_due(
        self, task: tasks.Task, now: float, weight_by_data_centre: dict[str, float]
    ) -> bool:
        """Return whether this holder may take a pending task now."""
        due = self.due_by_task.get(task.id)
        if due is None or due[0] != task.attempt:
            submit = self.state.job_by_id[task.job].submit
            step = URGENT_RANK_DELAY_S if submit.priority == "urgent" else RANK_DELAY_S
            wait = backoff_s(task.restarts)
            wait += step * rank(task.id, self.data_centre, weight_by_data_centre)
            due = self.due_by_task[task.id] = (task.attempt, now + wait)
        return now >= due[1]

    def ordered_shapes(self, priority: str) -> Iterator[tuple[tasks.Shape, list[str]]]:
        """Yield pending shapes with their first task ids, by fair share."""
        quota = self.state.quota
        shapes = list(self.state.pending.shapes(priority))
        shapes.sort(key=lambda item: quota.fair_share_key(item[0][0], item[0][2]))
        for shape, ids in shapes:
            yield shape, list(itertools.islice(ids, MAX_SCANNED_TASKS))

    def drop_stale(self) -> None:
        """Drop due times of tasks that are no longer pending.

        This is done only when there are many and most of them are stale.
        """
        if len(self.due_by_task) < 1000:
            return
        waiting = sum(self.state.pending.count_by_priority.values())
        if len(self.due_by_task) < 2 * waiting:
            return
        for task_id in list(self.due_by_task):
            task = self.state.task_by_id.get(task_id)
            if task is None or task.state != "pending":
                del self.due_by_task[task_id]

    def priorities(self) -> list[str]:
        """Return the priorities that have pending tasks, highest first."""
        count = self.state.pending.count_by_priority
        return [priority for priority in messages.PRIORITIES if count[priority]]
