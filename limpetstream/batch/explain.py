"""Why a task is not running, or never can, and what happened to it so far."""

import dataclasses
from typing import Any

from limpetstream.batch import (
    demand,
    fleet,
    jobs,
    messages,
    quotas,
    tasks,
    usage_estimates,
    worker_index,
)

RESOURCE_NAMES = ("cores", "memory_gb", "accelerators")
UNITS_PER_RESOURCE = (1000, 1024, 1)


@dataclasses.dataclass(slots=True)
class Explanation:
    """Answer to "why is this task not running".

    Args:
        task: Id of the task.
        state: Its state.
        worker: Worker of the placed attempt; empty for none.
        attempt: Number of the latest attempt.
        checkpoint: Checkpoint from which it would resume.
        reasons: One sentence for each constraint that holds it back.
        steps_dropped: Steps that are no longer kept.
        story: Steps so far, from the log's records.
    """

    task: str
    state: str
    worker: str
    attempt: int
    checkpoint: str
    reasons: list[str]
    steps_dropped: int
    story: list[tasks.Step]


def make_global_fleet(state: jobs.Jobs, tree: Any, directory: Any) -> fleet.Fleet:
    """Return all workers of all data centres, kept up to date by changes."""
    made = fleet.Fleet("", state, tree, directory, usage_estimates.UsageModel())

    def changed(worker: str) -> None:
        made.dirty[worker] = None

    state.on_worker_change.append(changed)
    return made


def worker_capacities(workers: fleet.Fleet) -> list[worker_index.WorkerCapacity]:
    """Return the present rooms of all workers."""
    workers.refresh()
    return list(workers.workers.capacity_by_worker.values())


def impossible_reasons(
    submit: messages.JobSubmit,
    rooms: list[worker_index.WorkerCapacity],
    quota: quotas.Quotas,
) -> list[str]:
    """Return why a job can never run, one sentence for each constraint.

    An empty list of workers proves nothing, since the list lags.
    """
    found: dict[str, None] = {}
    for number, group in enumerate(submit.tasks):
        need = quotas.amount(group.cores, group.memory_gb, group.accelerators)
        place = f"tasks[{number}]: "
        for reason in quota.impossible_reasons(submit.team, need):
            found[place + reason] = None
        for reason in _size_reasons(need, rooms):
            found[place + reason] = None
        late_ms = submit.at_ms + group.run_s * 1000
        if submit.deadline_ms and submit.kind == "batch":
            if late_ms > submit.deadline_ms:
                found[f"{place}run_s is longer than the time to the deadline"] = None
    return list(found)


def _size_reasons(
    need: quotas.Amount, rooms: list[worker_index.WorkerCapacity]
) -> list[str]:
    if not rooms:
        return []
    reasons = []
    for resource, name in enumerate(RESOURCE_NAMES):
        most = max(room.size[resource] for room in rooms)
        if need[resource] > most:
            scale = UNITS_PER_RESOURCE[resource]
            reasons.append(
                f"{name}: needs {need[resource] / scale:g}, the largest worker "
                f"leaves {most / scale:g} beside its executors"
            )
    if not reasons and not any(quotas.fits(need, room.size) for room in rooms):
        reasons.append("no single worker is large enough in all dimensions at once")
    return reasons


def explain(
    task: tasks.Task,
    state: jobs.Jobs,
    tree: Any,
    rooms: list[worker_index.WorkerCapacity],
) -> Explanation:
    """Return why a task is not running, and its whole story.

    Args:
        task: The task.
        state: Folded batch state.
        tree: Settings tree.
        rooms: Rooms of all workers.
    """
    reasons = []
    if task.state == "pending":
        reasons = _pending_reasons(task, state, tree, rooms)
    elif task.state == "placed" and state.must_stop(task):
        reasons = ["the job has ended; the worker is being told to stop"]
    return Explanation(
        task.id,
        task.state,
        task.worker,
        task.attempt,
        task.checkpoint,
        reasons,
        task.steps_dropped,
        task.story,
    )


def _pending_reasons(
    task: tasks.Task,
    state: jobs.Jobs,
    tree: Any,
    rooms: list[worker_index.WorkerCapacity],
) -> list[str]:
    submit = state.job_by_id[task.job].submit
    reasons = []
    blocked = state.quota.denial_reason(submit.team, task.size)
    if blocked is not None:
        reasons.append(f"quota: {blocked}")
    if task.restarts:
        reasons.append(
            f"backoff: waits {demand.backoff_s(task.restarts):g} s after "
            f"{task.restarts} quick ends"
        )
    usable = []
    for room in rooms:
        if _out(tree, room.data_centre):
            continue
        usable.append(room)
    if len(usable) < len(rooms):
        count = len(rooms) - len(usable)
        reasons.append(f"data centre: {count} workers are in data centres that are out")
    reasons += _room_reasons(task, usable)
    ahead = _ahead(submit.priority, state)
    if ahead:
        reasons.append(f"priority: {ahead} tasks of a higher priority wait")
    return reasons or ["none: it is due to be placed"]


def _room_reasons(
    task: tasks.Task, usable: list[worker_index.WorkerCapacity]
) -> list[str]:
    if any(quotas.fits(task.size, room.usable()) for room in usable):
        return []
    reasons = []
    for resource, name in enumerate(RESOURCE_NAMES):
        short = sum(task.size[resource] > room.usable()[resource] for room in usable)
        if short:
            reasons.append(f"{name}: {short} of {len(usable)} workers have too little")
    return reasons or ["workers: none are known"]


def _out(tree: Any, data_centre: str) -> bool:
    try:
        return tree.data_centre(data_centre).state == "out"
    except KeyError:
        return True


def _ahead(priority: str, state: jobs.Jobs) -> int:
    level = messages.PRIORITIES.index(priority)
    counts = state.pending.count_by_priority
    return sum(counts[name] for name in messages.PRIORITIES[:level])
