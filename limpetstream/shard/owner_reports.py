"""Logs how an owner is doing, and open tasks that it has lost track of."""

import dataclasses

from limpetstream.executors import messages as executor_messages
from limpetstream.shard import events, state
from limpetstream.telemetry import logs
from limpetstream.workflow import state as workflow_state

REPORT_INTERVAL_S = 5.0  # The platform reads the metrics as often.
MAX_TASKS_PER_REPORT = 4  # One fault can concern all tasks of a job.


@dataclasses.dataclass(slots=True)
class Reporter:
    """State of the reports of one owner.

    Args:
        next_report_at: Monotonic time of the next report.
        worst_delay_s: Longest time since the last report that a timer of the
            event loop was late.
        reported_tasks: Names of the untracked tasks that were logged.
    """

    next_report_at: float
    worst_delay_s: float = 0.0
    reported_tasks: set[str] = dataclasses.field(default_factory=set)


def note_delay(reporter: Reporter, delay_s: float) -> None:
    """Note by how many seconds a timer of the event loop was late."""
    reporter.worst_delay_s = max(reporter.worst_delay_s, delay_s)


def report_if_due(shard: state.Shard, reporter: Reporter) -> None:
    """Log the state of the owner and its untracked tasks, once an interval."""
    now = shard.clock.monotonic()
    if now < reporter.next_report_at or not shard.recovered:
        return
    reporter.next_report_at = now + REPORT_INTERVAL_S
    open_tasks = _open_tasks(shard)
    untracked = _untracked(shard, open_tasks)
    _log_untracked(shard, reporter, untracked)
    _log_owner(shard, reporter, len(open_tasks), len(untracked))
    reporter.worst_delay_s = 0.0


def find_untracked_tasks(shard: state.Shard) -> list[workflow_state.Task]:
    """Return the open tasks that neither wait nor run.

    A task runs if an executor of the shard holds its run. Without a fault
    there is no such task at any time.
    """
    return _untracked(shard, _open_tasks(shard))


def _open_tasks(shard: state.Shard) -> list[workflow_state.Task]:
    """Return the tasks of released steps that are not done."""
    return [
        task
        for job in shard.job_by_id.values()
        if not job.outcome
        for occurrence in job.occurrence_by_number.values()
        for step_number in occurrence.released
        for task in occurrence.tasks_by_step[step_number]
        if not task.done
    ]


def _untracked(
    shard: state.Shard, open_tasks: list[workflow_state.Task]
) -> list[workflow_state.Task]:
    waiting = set(shard.waiting_tasks)
    return [
        task
        for task in open_tasks
        if (task.run is None and task not in waiting)
        or (task.run is not None and not _is_held(shard, task.run))
    ]


def _is_held(shard: state.Shard, run: workflow_state.Run) -> bool:
    executor = shard.executor_by_id.get(run.executor_id)
    return executor is not None and executor.run_by_task.get(run.task.name) is run


def _log_untracked(
    shard: state.Shard, reporter: Reporter, untracked: list[workflow_state.Task]
) -> None:
    new = [task for task in untracked if task.name not in reporter.reported_tasks]
    for task in new[:MAX_TASKS_PER_REPORT]:
        reporter.reported_tasks.add(task.name)
        run = task.run
        logs.emit(
            events.TASK_UNTRACKED,
            task=task.name,
            last_run=task.last_run,
            ended_run=task.ended_run,
            run=run.number if run else None,
            phase=run.phase if run else None,
            executor=run.executor_id if run else None,
            ready_ms_ago=round((shard.clock.monotonic() - task.ready_at) * 1000),
        )


def _log_owner(
    shard: state.Shard, reporter: Reporter, open_count: int, untracked_count: int
) -> None:
    configuration = shard.view.configuration
    executors = shard.executor_by_id.values()
    logs.emit(
        events.OWNER_STATE,
        shard=shard.number,
        epoch=shard.epoch,
        delay_ms=round(reporter.worst_delay_s * 1000),
        version=configuration.version if configuration else None,
        queues=len(configuration.queues) if configuration else 0,
        executors=len(executors),
        leaving=sum(
            executor.listing.state == executor_messages.DRAINING
            for executor in executors
        ),
        silent=sum(executor.silent_since is not None for executor in executors),
        located=shard.earlier_runs_settled,
        open_tasks=open_count,
        waiting=len(shard.waiting_tasks),
        untracked=untracked_count,
    )
