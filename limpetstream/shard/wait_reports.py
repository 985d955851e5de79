"""Logs why tasks have no run that works.

They wait for capacity, for runs of earlier owners, or for the start or the end
of a run that is not settled.
"""

import collections
import heapq
import math

from limpetstream.executors import tracking
from limpetstream.organisations import limits, wait_reasons as organisation_wait_reasons
from limpetstream.shard import events, proof, scheduling, state
from limpetstream.telemetry import logs
from limpetstream.workflow import state as workflow_state, wait_reasons

NEXT_REPORT_FACTOR = 4.0  # Reports of one job become less frequent.
REPORT_INTERVAL_S = 0.5  # Between two calls of each kind of report.
MAX_REPORTS_PER_INTERVAL = 4  # Each report checks all executors for its task.

# Values of ``reason`` in ``run-unsettled``.
START_AND_JOURNAL = "start waits for the journal"
START_AND_OTHERS = "start waits for other starts"
START_UNANSWERED = "start has no answer"
STOP_AND_PROOF = "stop waits for a proof of ownership"
STOP_UNANSWERED = "stop has no answer"
STOP_WITHOUT_END = "stop confirmed, no end listed"
EXECUTOR_SILENT = "executor does not answer"
APPEND = "waits for an append to be given up"


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
        # How long it still pauses after a failure, a refusal or a search.
        paused_ms=max(0, round((task.not_before - now) * 1000)),
        # Members of its gang that cannot be placed now, because they have a
        # run, or have not been queued.
        gang_missing=_count_missing_members(shard, task),
        executors=wait_reasons.count_reasons(
            shard.executor_by_id.values(),
            task,
            context,
            is_held_back=not limits.allows(shard, task),
        ),
        **organisation_wait_reasons.fields(shard, task),
    )


def _count_missing_members(shard: state.Shard, task: workflow_state.Task) -> int:
    """Return how many members of a task's gang do not wait for capacity."""
    if not task.step.gang:
        return 0
    occurrence = task.job.occurrence_by_number[task.occurrence]
    return sum(
        member not in shard.waiting_tasks
        for member in occurrence.tasks_by_step[task.step_number]
    )


def report_unsettled_runs(shard: state.Shard) -> None:
    """Log why the runs that have been unsettled longest hold their tasks.

    A run is unsettled while it starts or is being stopped, while its executor
    does not answer, and until an append confirms that it is given up. It is
    logged after ``Run.report_threshold_s``, and then after four times as long.
    """
    now = shard.clock.monotonic()
    unsettled = []
    for executor in shard.executor_by_id.values():
        for run in executor.run_by_task.values():
            reason, since = _unsettled(shard, executor, run)
            if reason and now - since >= run.report_threshold_s:
                unsettled.append((since, run, reason))
    for since, run, reason in heapq.nsmallest(
        MAX_REPORTS_PER_INTERVAL, unsettled, key=lambda item: item[0]
    ):
        run.report_threshold_s = (now - since) * NEXT_REPORT_FACTOR
        logs.emit(
            events.RUN_UNSETTLED,
            task=run.task.name,
            run=run.number,
            executor=run.executor_id,
            phase=run.phase,
            reason=reason,
            stop_reason=run.stop_reason,
            since_ms=round((now - since) * 1000),
            runs=len(unsettled),
        )


def _unsettled(
    shard: state.Shard, executor: tracking.Executor, run: workflow_state.Run
) -> tuple[str, float]:
    """Return why a run is unsettled, and since when; no reason if it works."""
    if run.giving_up or executor.giving_up or executor.avoid_until == math.inf:
        return APPEND, executor.silent_since or run.seen_at or run.start_requested_at
    if executor.silent_since is not None:
        return EXECUTOR_SILENT, executor.silent_since
    if run.phase == workflow_state.STARTING:
        return _start_reason(shard, run), run.start_requested_at
    if run.phase == workflow_state.STOPPING:
        since = run.stop_ordered_at
        if since is None:
            since = run.start_requested_at
        return _stop_reason(shard, run), since
    return "", 0.0


def _start_reason(shard: state.Shard, run: workflow_state.Run) -> str:
    if run.start_deadline_ms is not None:
        return START_UNANSWERED
    if run.task.job.submission.job_id not in shard.maybe_started_job_ids:
        return START_AND_JOURNAL
    return START_AND_OTHERS


def _stop_reason(shard: state.Shard, run: workflow_state.Run) -> str:
    if run.stop_confirmed_at is not None:
        return STOP_WITHOUT_END
    return STOP_UNANSWERED if proof.is_proven(shard) else STOP_AND_PROOF
