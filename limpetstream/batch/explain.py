"""Explains why a task is not running, or why a job never can."""

import dataclasses
from typing import Any

from limpetstream import amounts
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
    """Explanation of a task's state, as callers and operators see it.

    Args:
        task: Id of the task.
        state: Its state.
        worker: Worker of the placed attempt; empty for none.
        attempt: Number of the latest attempt.
        checkpoint: Checkpoint from which it would resume.
        reasons: One sentence for each constraint that keeps it from running.
        steps_dropped: Number of steps that are no longer kept.
        story: History of the task, from the records of the log.
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
    """Return a fleet of all data centres that follows changes of the state."""
    global_fleet = fleet.Fleet("", state, tree, directory, usage_estimates.UsageModel())

    def changed(worker: str) -> None:
        global_fleet.dirty[worker] = None

    state.on_worker_change.append(changed)
    return global_fleet


def worker_capacities(workers: fleet.Fleet) -> list[worker_index.WorkerCapacity]:
    """Return the current capacities of all workers."""
    workers.refresh()
    return list(workers.workers.capacity_by_worker.values())


def impossible_reasons(
    submit: messages.JobSubmit,
    capacities: list[worker_index.WorkerCapacity],
    quota: quotas.Quotas,
) -> list[str]:
    """Return why a job can never run, one sentence for each constraint.

    Worker sizes are not checked while no workers are known, because the
    directory lags behind.
    """
    found: dict[str, None] = {}
    for number, group in enumerate(submit.tasks):
        need = amounts.amount(group.cores, group.memory_gb, group.accelerators)
        prefix = f"tasks[{number}]: "
        for reason in quota.impossible_reasons(submit.team, need):
            found[prefix + reason] = None
        for reason in _size_reasons(need, capacities):
            found[prefix + reason] = None
        earliest_end_ms = submit.at_ms + group.run_s * 1000
        if submit.deadline_ms and submit.kind == "batch":
            if earliest_end_ms > submit.deadline_ms:
                found[f"{prefix}run_s is longer than the time to the deadline"] = None
    return list(found)


def _size_reasons(
    need: amounts.Amount, capacities: list[worker_index.WorkerCapacity]
) -> list[str]:
    if not capacities:
        return []
    reasons = []
    for resource, name in enumerate(RESOURCE_NAMES):
        maximum = max(capacity.size[resource] for capacity in capacities)
        if need[resource] > maximum:
            units = UNITS_PER_RESOURCE[resource]
            reasons.append(
                f"{name}: needs {need[resource] / units:g}, the largest worker "
                f"leaves {maximum / units:g} beside its executors"
            )
    if not reasons and not any(
        amounts.fits(need, capacity.size) for capacity in capacities
    ):
        reasons.append("no single worker is large enough in all dimensions at once")
    return reasons


def explain(
    task: tasks.Task,
    state: jobs.Jobs,
    tree: Any,
    capacities: list[worker_index.WorkerCapacity],
) -> Explanation:
    """Return why a task is not running, and its history.

    Args:
        task: The task.
        state: Batch state applied from the log.
        tree: Settings tree.
        capacities: Capacities of all workers.
    """
    reasons = []
    if task.state == "pending":
        reasons = _pending_reasons(task, state, tree, capacities)
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
    capacities: list[worker_index.WorkerCapacity],
) -> list[str]:
    submit = state.job_by_id[task.job].submit
    reasons = []
    denial_reason = state.quota.denial_reason(submit.team, task.size)
    if denial_reason is not None:
        reasons.append(f"quota: {denial_reason}")
    if task.restarts:
        reasons.append(
            f"backoff: waits {demand.backoff_s(task.restarts):g} s after "
            f"{task.restarts} short runs"
        )
    usable = []
    for capacity in capacities:
        if _is_out(tree, capacity.data_centre):
            continue
        usable.append(capacity)
    if len(usable) < len(capacities):
        count = len(capacities) - len(usable)
        reasons.append(
            f"data centre: {count} workers are in data centres out of service"
        )
    reasons += _capacity_reasons(task, usable)
    ahead = _count_tasks_ahead(submit.priority, state)
    if ahead:
        reasons.append(f"priority: {ahead} tasks of higher priority are pending")
    return reasons or ["none: the task is about to be placed"]


def _capacity_reasons(
    task: tasks.Task, usable: list[worker_index.WorkerCapacity]
) -> list[str]:
    if any(amounts.fits(task.size, capacity.usable()) for capacity in usable):
        return []
    reasons = []
    for resource, name in enumerate(RESOURCE_NAMES):
        lacking = sum(
            task.size[resource] > capacity.usable()[resource] for capacity in usable
        )
        if lacking:
            reasons.append(
                f"{name}: {lacking} of {len(usable)} workers have too little free"
            )
    return reasons or ["workers: none are known"]


def _is_out(tree: Any, data_centre: str) -> bool:
    try:
        return tree.data_centre(data_centre).state == "out"
    except KeyError:
        return True


def _count_tasks_ahead(priority: str, state: jobs.Jobs) -> int:
    rank = messages.PRIORITIES.index(priority)
    counts = state.pending.count_by_priority
    return sum(counts[name] for name in messages.PRIORITIES[:rank])
