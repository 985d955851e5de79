"""Dumps the batch state into snapshots and loads it from them.

Besides the time and hashes of dropped jobs, only jobs and tasks are stored.
Loading derives the rest from them: the pending queue, the tasks and counts of
each worker, and the usage of data centres and quotas.
"""

from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING, Any

import msgspec

from limpetstream.batch import tasks

if TYPE_CHECKING:
    from limpetstream.batch import jobs

HASHES_PER_OBJECT = 4000
"""Keeps each object well under the size of a page of the snapshot stream."""


def dump(state: "jobs.Jobs") -> Iterator[dict[str, Any]]:
    """Yield the state as built-in objects.

    These are the time, the hashes of dropped jobs, the jobs, and then the
    tasks. A dropped job has left the state; the hash of its id is kept, so
    that the id stays refused. Pending tasks keep the order of the queue, so
    that a loaded state places them in the same order.
    """
    yield {"what": "time", "now_ms": state.now_ms}
    hashes = sorted(state.dropped_job_hashes)
    for start in range(0, len(hashes), HASHES_PER_OBJECT):
        part = hashes[start : start + HASHES_PER_OBJECT]
        yield {"what": "dropped", "hashes": part}
    for job in state.job_by_id.values():
        # A task id is the job's id and the task's index, so the count of tasks
        # is enough to restore them. The counts by worker follow from the
        # tasks.
        builtins = msgspec.to_builtins(job) | {"task_ids": [], "count_by_worker": {}}
        yield {"what": "job", "job": builtins, "tasks": len(job.task_ids)}
    for task_id in _task_ids_in_order(state):
        task = state.task_by_id[task_id]
        yield {"what": "task", "task": msgspec.to_builtins(task)}


def _task_ids_in_order(state: "jobs.Jobs") -> Iterator[str]:
    yield from state.final_ids  # In the order in which they expire.
    # The pending queue is ordered by priority, and then by shape.
    for ids_by_shape in state.pending.ids_by_shape.values():
        for ids in ids_by_shape.values():
            yield from ids
    for ids in state.task_ids_by_worker.values():
        yield from ids


def load(state: "jobs.Jobs", objects: Iterable[Any]) -> None:
    """Replace the state with the objects that ``dump`` yielded.

    Objects that were encoded as JSON and decoded again are accepted too.
    """
    _clear(state)
    for item in objects:
        if item["what"] == "time":
            state.now_ms = item["now_ms"]
        elif item["what"] == "dropped":
            state.dropped_job_hashes.update(item["hashes"])
        elif item["what"] == "job":
            job = msgspec.convert(item["job"], tasks.Job)
            job_id = job.submit.job
            job.task_ids = [f"{job_id}/{number}" for number in range(item["tasks"])]
            state.job_by_id[job_id] = job
        else:
            _load_task(state, msgspec.convert(item["task"], tasks.Task))


def _load_task(state: "jobs.Jobs", task: tasks.Task) -> None:
    state.task_by_id[task.id] = task
    job = state.job_by_id[task.job]
    if task.state == "pending":
        state._enqueue(job, task)
    elif task.state == "placed":
        state._occupy(job, task)
    else:
        state.final_ids[task.id] = None


def _clear(state: "jobs.Jobs") -> None:
    state.job_by_id.clear()
    state.task_by_id.clear()
    state.task_ids_by_worker.clear()
    state.used_by_data_centre.clear()
    state.final_ids.clear()
    state.dropped_job_hashes.clear()
    state.pending = tasks.PendingQueue()
    state.quota.used_by_team.clear()
    # The total usage is wrong until the next refresh, which sums it up again
    # because of this.
    state.quota.tree_version = None
