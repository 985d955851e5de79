"""Usage samples of one data centre's workers, and the steps that follow."""

import dataclasses
from collections.abc import Iterable
from typing import Any

from limpetstream.batch import attempts, colocation, context, fleet, tasks


@dataclasses.dataclass(slots=True)
class ColocationMonitor:
    """Desk services and batch tasks that share workers.

    Args:
        parts: Parts of the process.
        fleet: Workers of the data centre.
        watch_by_worker: Samples of the desk services on each worker.
    """

    context: context.Context
    fleet: fleet.Fleet
    tracker_by_worker: dict[str, colocation.SlowdownTracker] = dataclasses.field(
        default_factory=dict
    )

    def add(self, samples: Iterable[Any], share_by_task: dict[str, float]) -> None:
        """Take late samples of workers of this data centre.

        Args:
            samples: Usage samples as the platform reports them.
            share_by_task: Throttles in force, for the size of a task.
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
        name = self.context.state.job_by_id[task.job].submit.work_class
        by_class = cores_by_worker.setdefault(sample.worker, {})
        by_class[name] = by_class.get(name, 0.0) + sample.cores
        if share_by_task.get(task_id, 1.0) == 1.0:
            # A throttled task does not show how large it would be.
            self.context.usage_model.add_usage(
                name, sample.cores, sample.memory_gb, sample.at_ms / 1000
            )

    def _add_executor(self, sample: Any, classes: dict[str, float] | None) -> None:
        executor = self.context.directory.by_id.get(sample.executor)
        if executor is None:
            return
        at_s = sample.at_ms / 1000
        watch = self.tracker_by_worker.setdefault(
            sample.worker, colocation.SlowdownTracker()
        )
        watch.add(sample.slowdown, at_s)
        if classes:
            self.context.usage_model.add_slowdown(
                executor.service, classes, sample.slowdown, at_s
            )

    def decide(
        self, share_by_task: dict[str, float], now_wall: float
    ) -> list[colocation.Action]:
        """Return the steps to take now on all workers with desk services."""
        actions = []
        for worker, watch in list(self.tracker_by_worker.items()):
            room = self.fleet.workers.capacity_by_worker.get(worker)
            if room is None:
                del self.tracker_by_worker[worker]
                continue
            neighbours = [
                self._neighbour(task, share_by_task) for task in self._tasks_on(worker)
            ]
            steps = self.context.policy(
                watch, room.services, neighbours, self.context.usage_model, now_wall
            )
            if steps:
                watch.record_action(now_wall)
                actions += steps
        return actions

    def _tasks_on(self, worker: str) -> list[tasks.Task]:
        state = self.context.state
        ids = state.task_ids_by_worker.get(worker, ())
        return [state.task_by_id[task_id] for task_id in ids]

    def _neighbour(
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
