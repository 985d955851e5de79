"""Logs why tasks wait: for capacity, or for runs of earlier owners."""

import collections

from limpetstream.shard import events, scheduling, state
from limpetstream.telemetry import logs
from limpetstream.workflow import state as workflow_state, wait_reasons

NEXT_REPORT_FACTOR = 4.0  # Reports of one job become less frequent.
REPORT_INTERVAL_S = 0.5  # Between two calls of ``report_waiting_jobs``.
MAX_REPORTS_PER_INTERVAL = 4  # Each report checks all executors for its task.


def report_waiting_jobs(shard: state.Shard) -> None:
    """Log what the jobs that have waited longest are waiting for.

    A job is reported when some of its tasks have waited for at least
    ``Job.wait_report_threshold_s``. One line covers these tasks, and gives the
    reasons for the one that has waited longest. The job's next threshold is
    four times as long as that task has waited.
    """
    if shard.view.configuration is None or not shard.recovered:
        return
    now = shard.clock.monotonic()
    waiting_by_job: dict[workflow_state.Job, list[workflow_state.Task]]
    waiting_by_job = collections.defaultdict(list)
    for task in shard.waiting_tasks:
        if (
            now - task.ready_at >= task.job.wait_report_threshold_s
            and not task.job.outcome
        ):
            waiting_by_job[task.job].append(task)
    longest_waiting = sorted(
        waiting_by_job.values(), key=lambda tasks: min(task.ready_at for task in tasks)
    )
    for tasks in longest_waiting[:MAX_REPORTS_PER_INTERVAL]:
        _log_job(shard, min(tasks, key=lambda task: task.ready_at), len(tasks), now)


def _log_job(
    shard: state.Shard, task: workflow_state.Task, task_count: int, now: float
) -> None:
    job = task.job
    waited_s = now - task.ready_at
    job.wait_report_threshold_s = waited_s * NEXT_REPORT_FACTOR
    context = scheduling.placement_context(shard, shard.service_of(job), now)
    logs.emit(
        events.TASK_WAITS,
        task=task.name,
        tasks=task_count,
        waited_ms=round(waited_s * 1000),
        priority=shard.priority_of(job),
        # All waiting tasks that this line does not cover, whatever their
        # priority and however long they have waited.
        ahead=len(shard.waiting_tasks) - task_count,
        # False while the task must wait until the runs of earlier owners are
        # settled, because one of those owners may have started its job.
        located=scheduling.may_start(shard, task),
        executors=wait_reasons.count_reasons(
            shard.executor_by_id.values(), task, context
        ),
    )
