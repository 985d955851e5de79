"""Bounds what earlier owners of a shard may have running unseen.

Until the runs of earlier owners are settled, an executor that has not replied
may run tasks that this owner does not know. A task has one run at a time, so
the tasks of inherited jobs that are not done and have no known run bound what
that can be; so does the capacity of these executors.

A job whose submission is not known belongs to no organisation here, and its
runs are not counted. Owners keep the submissions of final jobs while there may
be runs of them, so that happens only if an owner of an earlier version has
dropped one sooner, or if a submission cannot be read.
"""

from collections.abc import Iterator

from limpetstream import amounts
from limpetstream.executors import tracking
from limpetstream.organisations import usage
from limpetstream.shard import executor_records, state
from limpetstream.workflow import messages, state as workflow_state

# An older bound is only too high: replies and ends lower it.
REFRESH_S = 0.25


def refresh(shard: state.Shard, now: float) -> None:
    """Compute the bound of each organisation again if it is old."""
    known = shard.usage
    if shard.earlier_runs_settled:
        known.unseen_by_organisation = {}
        return
    if now - known.unseen_at < REFRESH_S:
        return
    known.unseen_at = now
    known.unseen_by_organisation = bounds(shard)


def jobs_that_may_run(shard: state.Shard) -> set[workflow_state.Job]:
    """Return the jobs of organisations of which there may be runs.

    Their submissions tell a later owner to which organisation runs belong.
    """
    if not shard.earlier_runs_settled:
        return {job for job in shard.job_by_id.values() if job.submission.organisation}
    return {
        task.job
        for executor in shard.executor_by_id.values()
        for task in _tasks_on(executor)
        if task.job.submission.organisation
    }


def bounds(shard: state.Shard) -> dict[str, amounts.Amount]:
    """Return what may run unseen for each organisation, at most."""
    capacity = _unreached_capacity(shard)
    needs = _needs_by_kind(shard)
    bound_by_organisation = {}
    for name in {name for name, _ in needs}:
        best_effort = needs.get((name, True), amounts.ZERO)
        need = amounts.add(needs.get((name, False), amounts.ZERO), best_effort)
        if capacity is not None:
            cpu, memory, accelerators = capacity
            # Best-effort tasks are placed without regard to free processors.
            most = (cpu + best_effort[0], memory, accelerators)
            need = tuple(map(min, need, most))
        bound_by_organisation[name] = need
    return bound_by_organisation


def _unreached_capacity(shard: state.Shard) -> amounts.Amount | None:
    """Return the capacity of the executors not reached; None if not known."""
    total = amounts.ZERO
    for executor_id in executor_records.unreached(shard):
        executor = shard.executor_by_id.get(executor_id)
        if executor is None or executor_id in shard.unreadable_executors:
            return None
        capacity = executor.listing.capacity
        total = amounts.add(
            total,
            (capacity.cpu_millicores, capacity.memory_mb, capacity.accelerators),
        )
    return total


def _needs_by_kind(shard: state.Shard) -> dict[tuple[str, bool], amounts.Amount]:
    """Return what tasks need that may run unseen.

    Returns:
        The sums by the organisation and whether the tasks are best-effort.
    """
    needs: dict[tuple[str, bool], amounts.Amount] = {}

    def add(job: workflow_state.Job, step: messages.Step, count: int) -> None:
        key = job.submission.organisation, step.fills
        need = usage.times(usage.need_of(step), count)
        needs[key] = amounts.add(needs.get(key, amounts.ZERO), need)

    for job in _inherited_jobs(shard):
        for step_number, step in enumerate(job.submission.steps):
            count = _open_count(job, step_number, step)
            if count:
                add(job, step, count)
    for task in _known_tasks(shard):
        if _is_open(task):
            add(task.job, task.step, -1)
    return needs


def _inherited_jobs(shard: state.Shard) -> Iterator[workflow_state.Job]:
    """Yield the jobs of organisations that earlier owners may have started."""
    for job_id in shard.earlier_job_ids | shard.unreadable_job_ids:
        job = shard.job_by_id.get(job_id)
        if job is not None and job.submission.organisation:
            yield job


def _open_count(job: workflow_state.Job, step_number: int, step: messages.Step) -> int:
    """Return how many tasks of a step may run, in all occurrences.

    A gang is done with its first member, while the others may still run.
    """
    occurrences = max(1, job.submission.occurrences)
    if step.gang:
        return step.count * occurrences
    if job.outcome == messages.COMPLETED:
        return 0
    done = job.finished_occurrences * step.count + sum(
        step.count - occurrence.open_by_step[step_number]
        for occurrence in job.occurrence_by_number.values()
    )
    return step.count * occurrences - done


def _is_open(task: workflow_state.Task) -> bool:
    """Return whether ``_open_count`` includes a task.

    The progress of final jobs is not stored, so the tasks of a completed one
    need not be marked as done.
    """
    if task.step.gang:
        return True
    return not task.done and task.job.outcome != messages.COMPLETED


def _known_tasks(shard: state.Shard) -> set[workflow_state.Task]:
    """Return the tasks of inherited jobs with a known run."""
    inherited = set(_inherited_jobs(shard))
    return {
        task
        for executor in shard.executor_by_id.values()
        for task in _tasks_on(executor)
        if task.job in inherited
    }


def _tasks_on(executor: tracking.Executor) -> Iterator[workflow_state.Task]:
    for run in executor.run_by_task.values():
        yield run.task
    yield from executor.unknown_tasks()
