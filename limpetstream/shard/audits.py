"""Checks that every open task has a run or waits for one.

The state of the shard should never contradict this. The check is a safety net:
it reports a task that the owner has forgotten, and queues it again if no run
of it can exist.
"""

import dataclasses
from collections.abc import Iterator

from limpetstream.shard import events, jobs, proof, state
from limpetstream.telemetry import logs
from limpetstream.workflow import state as workflow_state

# Bounds the time of one call: about 0.1 ms at 0.5 us for each task.
MAX_TASKS_PER_CALL = 200
# A fault of the program may repeat; one line a second is enough to find it.
LOG_INTERVAL_S = 1.0

NO_PLACE = "it has no run and does not wait"
NOT_HELD = "its run is not held by an executor"
OTHER_RUN = "an executor holds a run that the task does not know"


@dataclasses.dataclass(slots=True)
class Audit:
    """Progress of the check over the tasks of a shard.

    Args:
        shard: Shard to check.
        violations: Number of violations that were found.
    """

    shard: state.Shard
    violations: int = 0
    _remaining: Iterator[workflow_state.Task] = dataclasses.field(
        default_factory=lambda: iter(())
    )
    _logged_at: float = float("-inf")

    def check_some(self) -> None:
        """Check the next tasks, at most ``MAX_TASKS_PER_CALL``."""
        if not proof.is_proven(self.shard):
            return  # A later owner may have changed what runs.
        for _ in range(MAX_TASKS_PER_CALL):
            task = next(self._remaining, None)
            if task is None:
                self._remaining = released_tasks(self.shard)
                return
            reason = find_violation(self.shard, task)
            if reason:
                self._handle(task, reason)

    def _handle(self, task: workflow_state.Task, reason: str) -> None:
        self.violations += 1
        is_queued = is_certainly_without_run(self.shard, task)
        now = self.shard.clock.monotonic()
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            logs.emit(
                events.TASK_FORGOTTEN,
                task=task.name,
                run=task.run.number if task.run else 0,
                phase=task.run.phase if task.run else "",
                reason=reason,
                queued=is_queued,
                violations=self.violations,
            )
        if is_queued:
            if task.run is not None:
                task.run.phase = workflow_state.GONE  # Drops its start.
                task.ended_run = max(task.ended_run, task.run.number)
                task.run = None
            jobs.enqueue(self.shard, task)


def released_tasks(shard: state.Shard) -> Iterator[workflow_state.Task]:
    """Yield the open tasks that were queued, while the shard may change."""
    for job in list(shard.job_by_id.values()):
        for occurrence in list(job.occurrence_by_number.values()):
            for step_number in list(occurrence.released):
                tasks = occurrence.tasks_by_step[step_number]
                for task in tasks.existing():
                    if task.index < tasks.next_index:
                        yield task


def count_open(shard: state.Shard) -> int:
    """Return the number of open tasks of released steps."""
    return sum(
        occurrence.open_by_step[step_number]
        for job in shard.job_by_id.values()
        for occurrence in job.occurrence_by_number.values()
        for step_number in occurrence.released
    )


def find_violation(shard: state.Shard, task: workflow_state.Task) -> str:
    """Return what is wrong with a task; empty if it waits, runs or is done."""
    if task.done or task.job.outcome:
        return ""
    run = task.run
    if run is None:
        return "" if task in shard.waiting_tasks else NO_PLACE
    executor = shard.executor_by_id.get(run.executor_id)
    held = executor.run_by_task.get(task.name) if executor else None
    if held is run:
        return ""
    return NOT_HELD if held is None else OTHER_RUN


def is_certainly_without_run(shard: state.Shard, task: workflow_state.Task) -> bool:
    """Return whether no executor can run a task that is in no state for it.

    An executor's reserved capacity is released only when the run cannot exist
    any more, and earlier owners' runs are settled or keep the task waiting. So
    only the runs that executors hold, or list without a known task, count.
    """
    return not any(
        task.name in executor.run_by_task
        or any(name == task.name for name, _ in executor.unknown_runs)
        for executor in shard.executor_by_id.values()
    )
