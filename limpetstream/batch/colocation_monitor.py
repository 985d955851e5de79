"""Monitors desk services that share a data centre's workers with batch tasks.

It learns from usage samples and decides which tasks to throttle or evict.
"""

import dataclasses
from collections.abc import Iterable
from typing import Any

from limpetstream.batch import attempts, colocation, context, fleet, tasks


@dataclasses.dataclass(slots=True)
class ColocationMonitor:
    """Desk services and batch tasks that share workers.

    Args:
        context: Dependencies from the rest of the process.
        fleet: Workers of the data centre.
        tracker_by_worker: Slowdown of the desk services on each worker.
    """

    context: context.Context
    fleet: fleet.Fleet
    tracker_by_worker: dict[str, colocation.SlowdownTracker] = dataclasses.field(
        default_factory=dict
    )

    def add(self, samples: Iterable[Any], share_by_task: dict[str, float]) -> None:
        """Add usage samples; those of other data centres are ignored.

        Args:
            samples: Usage samples as the platform reports them.
            share_by_task: Share of its processors that each task has; a
                throttled task says nothing about its size.
        """
        cores_by_worker: dict[str, dict[str, float]] = {}
        executors = []
        for sample in samples:
            if sample.worker not in self.fleet.instance_by_id:
                continue
            if sample.attempt:
                self._add_task(sample, share_by_task, cores_by_worker)
            elif sample.slowdown:
                executors.append(sample)
        for sample in executors:
            self._add_executor(sample, cores_by_worker.get(sample.worker))

    def _add_task(
        self,
        sample: Any,
        share_by_task: dict[str, float],
        cores_by_worker: dict[str, dict[str, float]],
    ) -> None:
        task_id, _ = attempts.split_id(sample.attempt)
        task = self.context.state.task_by_id.get(task_id)
        if task is None:
            return
        work_class = self.context.state.job_by_id[task.job].submit.work_class
        cores_by_class = cores_by_worker.setdefault(sample.worker, {})
        cores_by_class[work_class] = cores_by_class.get(work_class, 0.0) + sample.cores
        if share_by_task.get(task_id, 1.0) == 1.0:
            # The usage of a throttled task does not show its full size.
            self.context.usage_model.add_usage(
                work_class, sample.cores, sample.memory_gb, sample.at_ms / 1000
            )

    def _add_executor(
        self, sample: Any, cores_by_class: dict[str, float] | None
    ) -> None:
        executor = self.context.directory.by_id.get(sample.executor)
        if executor is None:
            return
        at_s = sample.at_ms / 1000
        tracker = self.tracker_by_worker.setdefault(
            sample.worker, colocation.SlowdownTracker()
        )
        tracker.add(sample.slowdown, at_s)
        if cores_by_class:
            self.context.usage_model.add_slowdown(
                executor.service, cores_by_class, sample.slowdown, at_s
            )

    def decide(
        self, share_by_task: dict[str, float], now_wall: float
    ) -> list[colocation.Action]:
        """Return the actions to take now on all workers with desk services."""
        actions = []
        for worker, tracker in list(self.tracker_by_worker.items()):
            capacity = self.fleet.workers.capacity_by_worker.get(worker)
            if capacity is None:
                del self.tracker_by_worker[worker]
                continue
            colocated = [
                self._colocated_task(task, share_by_task)
                for task in self._tasks_on(worker)
            ]
            chosen = self.context.policy(
                tracker,
                capacity.services,
                colocated,
                self.context.usage_model,
                now_wall,
            )
            if chosen:
                tracker.record_action(now_wall)
                actions += chosen
        return actions

    def _tasks_on(self, worker: str) -> list[tasks.Task]:
        state = self.context.state
        ids = state.task_ids_by_worker.get(worker, ())
        return [state.task_by_id[task_id] for task_id in ids]

    def _colocated_task(
        self, task: tasks.Task, share_by_task: dict[str, float]
    ) -> colocation.ColocatedTask:
        submit = self.context.state.job_by_id[task.job].submit
        learned, _ = self.context.usage_model.size(submit.work_class)
        return colocation.ColocatedTask(
            task.id,
            submit.work_class,
            learned or task.size[0] / 1000,
            share_by_task.get(task.id, 1.0),
            evictable=submit.kind == "batch" and bool(submit.checkpoint_s),
        )
