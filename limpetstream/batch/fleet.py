"""Capacity of a data centre's workers, from directory, settings and log."""

import dataclasses
from collections.abc import Iterable
from typing import Any

from limpetstream import amounts
from limpetstream.batch import (
    jobs,
    placement,
    tasks,
    usage_estimates,
    worker_index,
)

HEADROOM_SHARE = 0.03
"""Share of a worker that ordinary placements leave free."""


def worker_size(
    instance: Any, executors: Iterable[Any], tree: Any
) -> tuple[amounts.Amount, tuple[str, ...]]:
    """Return what batch tasks may use of a worker, and its desk services.

    Args:
        instance: The worker as the directory lists it.
        executors: Desk executors on it.
        tree: Settings tree with the size that each service reserves.
    """
    size = (
        int(instance.cores * 1000),
        int(instance.memory_gb * 1024),
        int(instance.accelerators),
    )
    services = set()
    for executor in executors:
        services.add(executor.service)
        try:
            service = tree.service(executor.service)
        except KeyError:
            continue
        reserved = amounts.amount(service.executor_cores, service.executor_memory_gb, 0)
        size = amounts.subtract(size, reserved)
    return (max(0, size[0]), max(0, size[1]), size[2]), tuple(sorted(services))


@dataclasses.dataclass(slots=True)
class Fleet:
    """Workers of one data centre and their capacity.

    Args:
        data_centre: The data centre; empty for all of them.
        state: Batch state applied from the log.
        tree: Settings tree.
        directory: Directory of instances.
        usage_model: Learned sizes and slowdowns.
        workers: Index of the workers by free capacity.
        dirty: Workers whose capacity must be computed again.
        instance_by_id: Live workers as the directory lists them.
        executors_by_worker: Desk executors on each worker.
        read_key: Directory time and tree version as of the last refresh.
    """

    data_centre: str
    state: jobs.Jobs
    tree: Any
    directory: Any
    usage_model: usage_estimates.UsageModel
    workers: worker_index.WorkerIndex = dataclasses.field(
        default_factory=worker_index.WorkerIndex
    )
    dirty: dict[str, None] = dataclasses.field(default_factory=dict)
    instance_by_id: dict[str, Any] = dataclasses.field(default_factory=dict)
    executors_by_worker: dict[str, list[Any]] = dataclasses.field(default_factory=dict)
    read_key: tuple[float, int] | None = None

    def refresh(self) -> None:
        """Bring the index up to date with directory, settings and log."""
        key = (self.directory.fresh_at, self.tree.version)
        if key != self.read_key:
            self._sync_directory()
            self.read_key = key
        dirty, self.dirty = self.dirty, {}
        for worker in dirty:
            self._update_capacity(worker)

    def _sync_directory(self) -> None:
        live_workers: dict[str, Any] = {}
        executors: dict[str, list[Any]] = {}
        for instance in self.directory.by_id.values():
            if instance.role == "backend" and instance.worker:
                executors.setdefault(instance.worker, []).append(instance)
            if instance.role == "worker" and instance.state == "live":
                if self.data_centre in ("", instance.data_centre):
                    live_workers[instance.id] = instance
        for worker in sorted(self.instance_by_id.keys() - live_workers.keys()):
            self.workers.remove(worker)
        previous, self.instance_by_id = self.instance_by_id, live_workers
        old_executors, self.executors_by_worker = self.executors_by_worker, executors
        for worker, instance in live_workers.items():
            unchanged = previous.get(worker) == instance and old_executors.get(
                worker
            ) == executors.get(worker)
            tree_unchanged = self.read_key and self.read_key[1] == self.tree.version
            if not unchanged or not tree_unchanged:
                self.dirty[worker] = None

    def _update_capacity(self, worker: str) -> None:
        instance = self.instance_by_id.get(worker)
        if instance is None:
            return
        executors = self.executors_by_worker.get(worker, ())
        size, services = worker_size(instance, executors, self.tree)
        free = size
        headroom = (int(size[0] * HEADROOM_SHARE), int(size[1] * HEADROOM_SHARE), 0)
        estimated_free = amounts.subtract(size, headroom)
        for task_id in self.state.task_ids_by_worker.get(worker, ()):
            task = self.state.task_by_id[task_id]
            free = amounts.subtract(free, task.size)
            estimated_free = amounts.subtract(estimated_free, self.effective_size(task))
        self.workers.put(
            worker_index.WorkerCapacity(
                worker,
                instance.data_centre,
                instance.rack,
                services,
                size,
                free,
                estimated_free,
            )
        )

    def effective_size(self, task: tasks.Task) -> amounts.Amount:
        """Return the larger of a task's declared and learned size."""
        work_class = self.state.job_by_id[task.job].submit.work_class
        cores, memory_gb = self.usage_model.size(work_class)
        if cores == 0.0:
            return task.size
        learned = amounts.amount(cores, memory_gb, 0)
        return (
            max(task.size[0], learned[0]),
            max(task.size[1], learned[1]),
            task.size[2],
        )

    def placement_request(self, task: tasks.Task) -> placement.PlacementRequest:
        """Return what a pending task requires of a worker."""
        submit = self.state.job_by_id[task.job].submit
        cores = task.size[0] / 1000

        def slowdown(services: tuple[str, ...]) -> float:
            if not services:
                return 1.0
            return self.usage_model.slowdown(services, submit.work_class, cores)

        return placement.PlacementRequest(
            task.size,
            slowdown,
            self.sibling_counts(task),
            submit.spread,
            submit.priority == "urgent",
            self.avoided_workers(task),
        )

    def avoided_workers(self, task: tasks.Task) -> frozenset[str]:
        """Return the workers on which tasks of the job failed.

        The set is empty if no other worker is large enough for the task.
        """
        job = self.state.job_by_id[task.job]
        if not job.failed_workers:
            return frozenset()
        avoided = frozenset(job.failed_workers)
        if job.submit.kind == "watcher":
            ends = [step.where for step in task.story if step.what == "failed"]
            avoided = frozenset(ends[-1:])
        others = (
            capacity
            for capacity in self.workers.capacity_by_worker.values()
            if capacity.id not in avoided
        )
        if any(amounts.fits(task.size, capacity.size) for capacity in others):
            return avoided
        return frozenset()

    def sibling_counts(self, task: tasks.Task) -> placement.SiblingCounts:
        """Return where tasks of the same job are placed in this fleet."""
        siblings = placement.SiblingCounts()
        job = self.state.job_by_id[task.job]
        if job.submit.spread == "none" or len(job.task_ids) == 1:
            return siblings
        for worker, count in job.count_by_worker.items():
            capacity = self.workers.capacity_by_worker.get(worker)
            if capacity is not None:
                siblings.add(capacity, count)
        return siblings
