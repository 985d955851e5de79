"""Jobs, tasks and attempts, folded from the control stream.

Every reader folds the same records in the same order and decides the same
way, so nothing here may depend on a clock or on the process that reads.
"""

import dataclasses
from collections.abc import Callable, Iterable
from typing import Any

import xxhash

from limpetstream.batch import attempt_ends, messages, quotas, snapshots, tasks
from limpetstream.records import registry, view

FINAL_RETENTION_MS = 600_000
MAX_TIME_STEP_MS = 60_000
"""A writer whose wall clock is far ahead must not expire the whole state."""

RESOURCE_PREFIX = "workers/"


def resource_of(data_centre: str) -> str:
    """Return the resource whose right allows work on a data centre."""
    return RESOURCE_PREFIX + data_centre


def job_hash(job_id: str) -> int:
    """Return the 64-bit hash that stays after a job has left the state."""
    return xxhash.xxh64_intdigest(job_id.encode())


@dataclasses.dataclass(slots=True)
class Jobs:
    """Folded batch state.

    Args:
        tree: Settings tree, folded from the same log.
        quota: Use of the teams' quotas.
        on_worker_change: Called with the id of a worker whose set of placed
            tasks, or whose wish to stop some, has changed.
    """

    tree: Any
    quota: quotas.Quotas
    on_worker_change: list[Callable[[str], None]] = dataclasses.field(
        default_factory=list
    )
    job_by_id: dict[str, tasks.Job] = dataclasses.field(default_factory=dict)
    task_by_id: dict[str, tasks.Task] = dataclasses.field(default_factory=dict)
    task_ids_by_worker: dict[str, dict[str, None]] = dataclasses.field(
        default_factory=dict
    )
    used_by_data_centre: dict[str, quotas.Amount] = dataclasses.field(
        default_factory=dict
    )
    pending: tasks.PendingQueue = dataclasses.field(default_factory=tasks.PendingQueue)
    final_ids: dict[str, None] = dataclasses.field(default_factory=dict)
    dropped_job_hashes: set[int] = dataclasses.field(default_factory=set)
    now_ms: int = 0

    def register(self, to_view: view.View, to_registry: registry.Registry) -> None:
        """Make this state part of a view and its records readable."""
        for kind, body_type in messages.TYPE_BY_KIND.items():
            to_registry.register(kind, 1, body_type)
        to_view.register_applier("job.submit", self.apply_submit)
        to_view.register_applier("job.cancel", self.apply_cancel)
        to_view.register_applier("task.place", self.apply_place)
        to_view.register_applier("task.end", self.apply_end)
        to_view.register_applier("task.checkpoint", self.apply_checkpoint)
        to_view.register_state("batch", self.dump, self.load)

    def apply_submit(self, entry: view.Entry) -> str | None:
        """Fold ``job.submit``; a known id is void, so repeats do no harm."""
        submit: messages.JobSubmit = entry.body
        self._advance(submit.at_ms)
        known = self.job_by_id.get(submit.job)
        if known is not None and not (known.final and submit.kind == "watcher"):
            return "job exists"
        if job_hash(submit.job) in self.dropped_job_hashes:
            return "job has ended"
        if submit.priority not in messages.PRIORITIES or not submit.tasks:
            return "malformed job"
        if any(group.count < 1 for group in submit.tasks):
            return "malformed job"
        if known is not None:
            self._drop_job(known, remember=False)
        self._add_job(submit, entry.offset)
        return None

    def _add_job(self, submit: messages.JobSubmit, offset: int) -> None:
        job = tasks.Job(submit, offset)
        self.job_by_id[submit.job] = job
        for group in submit.tasks:
            size = quotas.amount(group.cores, group.memory_gb, group.accelerators)
            for _ in range(group.count):
                task_id = f"{submit.job}/{len(job.task_ids)}"
                job.task_ids.append(task_id)
                task = tasks.Task(task_id, submit.job, size, group.run_s)
                task.add_step(tasks.Step(submit.at_ms, offset, "submitted"))
                self.task_by_id[task_id] = task
                self._wait(job, task)
        job.open_tasks = job.kept_tasks = len(job.task_ids)

    def _wait(self, job: tasks.Job, task: tasks.Task) -> None:
        task.state = "pending"
        shape = tasks.shape_of(job, task)
        self.pending.add(job.submit.priority, shape, task.id)

    def _stop_waiting(self, job: tasks.Job, task: tasks.Task) -> None:
        shape = tasks.shape_of(job, task)
        self.pending.remove(job.submit.priority, shape, task.id)

    def apply_cancel(self, entry: view.Entry) -> str | None:
        """Fold ``job.cancel``: waiting tasks end, placed ones must stop."""
        cancel: messages.JobCancel = entry.body
        self._advance(cancel.at_ms)
        job = self.job_by_id.get(cancel.job)
        if job is None or job.final:
            return "no such active job"
        if job.cancelled:
            return "already cancelled"
        job.cancelled = True
        job.cancel_reason = cancel.reason
        self._close(job, "cancelled", cancel.reason, cancel.at_ms, entry.offset)
        return None

    def _close(
        self, job: tasks.Job, state: str, reason: str, at_ms: int, offset: int
    ) -> None:
        for task_id in job.task_ids:
            task = self.task_by_id.get(task_id)
            if task is None:
                continue
            if task.state == "pending":
                self._stop_waiting(job, task)
                task.add_step(tasks.Step(at_ms, offset, state, reason=reason))
                self._finalise(job, task, state)
            elif task.state == "placed":
                self._changed(task.worker)

    def apply_place(self, entry: view.Entry) -> str | None:
        """Fold ``task.place``; each placement counts by itself."""
        body: messages.TaskPlace = entry.body
        self._advance(body.at_ms)
        data_centre = _data_centre(entry)
        if data_centre is None:
            return "needs the right to a data centre's workers"
        if self._out(data_centre):
            return f"data centre {data_centre} is out"
        valid = 0
        for placement in body.placements:
            valid += self._place(placement, data_centre, entry, body.at_ms)
        return None if valid else "no valid placement"

    def _out(self, data_centre: str) -> bool:
        try:
            return self.tree.data_centre(data_centre).state == "out"
        except KeyError:
            return True

    def _place(
        self,
        placement: messages.Placement,
        data_centre: str,
        entry: view.Entry,
        at_ms: int,
    ) -> bool:
        task = self.task_by_id.get(placement.task)
        if task is None or task.state != "pending":
            return False
        if placement.attempt != task.attempt + 1:
            return False
        job = self.job_by_id[task.job]
        if self.quota.denial_reason(job.submit.team, task.size) is not None:
            return False
        self._stop_waiting(job, task)
        task.state = "placed"
        task.attempt = placement.attempt
        task.worker = placement.worker
        task.data_centre = data_centre
        task.epoch = entry.epoch
        task.placed_ms = at_ms
        task.add_step(
            tasks.Step(at_ms, entry.offset, "placed", task.attempt, placement.worker)
        )
        self._occupy(job, task)
        return True

    def _occupy(self, job: tasks.Job, task: tasks.Task) -> None:
        self.quota.acquire(job.submit.team, task.size)
        job.adjust_worker_count(task.worker, 1)
        self.task_ids_by_worker.setdefault(task.worker, {})[task.id] = None
        used = self.used_by_data_centre.get(task.data_centre, quotas.ZERO)
        self.used_by_data_centre[task.data_centre] = quotas.add(used, task.size)
        self._changed(task.worker)

    def _vacate(self, job: tasks.Job, task: tasks.Task) -> None:
        self.quota.release(job.submit.team, task.size)
        worker, data_centre = task.worker, task.data_centre
        job.adjust_worker_count(worker, -1)
        ids = self.task_ids_by_worker[worker]
        del ids[task.id]
        if not ids:
            del self.task_ids_by_worker[worker]
        used = self.used_by_data_centre[data_centre]
        self.used_by_data_centre[data_centre] = quotas.subtract(used, task.size)
        task.worker = task.data_centre = ""
        self._changed(worker)

    def _changed(self, worker: str) -> None:
        for callback in self.on_worker_change:
            callback(worker)

    def apply_end(self, entry: view.Entry) -> str | None:
        """Fold ``task.end``; each end counts by itself."""
        body: messages.TaskEnd = entry.body
        self._advance(body.at_ms)
        data_centre = _data_centre(entry)
        valid = 0
        for end in body.ends:
            valid += self._end(end, data_centre, entry.offset, body.at_ms)
        return None if valid else "no valid end"

    def _end(
        self, end: messages.End, data_centre: str | None, offset: int, at_ms: int
    ) -> bool:
        task = self.task_by_id.get(end.task)
        if task is None or task.state != "placed" or task.attempt != end.attempt:
            return False
        if data_centre is None or task.data_centre != data_centre:
            return False
        job = self.job_by_id[task.job]
        worker, ran_ms = task.worker, at_ms - task.placed_ms
        step = tasks.Step(at_ms, offset, end.outcome, end.attempt, worker, end.reason)
        task.add_step(step)
        task.checkpoint = end.checkpoint or task.checkpoint
        self._vacate(job, task)
        failed = end.outcome == "failed"
        became_bad = failed and attempt_ends.record_failure(job, task, worker)
        state = attempt_ends.next_task_state(job, task, end, ran_ms)
        if state == "pending":
            self._wait(job, task)
        else:
            self._finalise(job, task, state)
        if became_bad:
            reason = "its tasks fail on several workers"
            self._close(job, "failed", reason, at_ms, offset)
        return True

    def _finalise(self, job: tasks.Job, task: tasks.Task, state: str) -> None:
        task.state = state
        task.final_ms = self.now_ms
        job.open_tasks -= 1
        job.finished += state == "finished"
        self.final_ids[task.id] = None

    def apply_checkpoint(self, entry: view.Entry) -> str | None:
        """Fold ``task.checkpoint``: names from which attempts can resume."""
        body: messages.TaskCheckpoint = entry.body
        self._advance(body.at_ms)
        valid = 0
        for checkpoint in body.checkpoints:
            task = self.task_by_id.get(checkpoint.task)
            if task is None or task.state != "placed":
                continue
            if task.attempt != checkpoint.attempt:
                continue
            task.checkpoint = checkpoint.checkpoint
            valid += 1
        return None if valid else "no valid checkpoint"

    def must_stop(self, task: tasks.Task) -> bool:
        """Tell whether a placed task belongs to a job that has ended."""
        job = self.job_by_id[task.job]
        return job.cancelled or job.bad

    def _advance(self, at_ms: int) -> None:
        """Move folded time forward and drop what has been final for long."""
        if self.now_ms == 0:
            self.now_ms = at_ms
        self.now_ms = max(self.now_ms, min(at_ms, self.now_ms + MAX_TIME_STEP_MS))
        while self.final_ids:
            task = self.task_by_id[next(iter(self.final_ids))]
            if task.final_ms + FINAL_RETENTION_MS > self.now_ms:
                return
            del self.final_ids[task.id]
            del self.task_by_id[task.id]
            job = self.job_by_id[task.job]
            job.kept_tasks -= 1
            if job.kept_tasks == 0:
                self._drop_job(job, remember=job.submit.kind != "watcher")

    def _drop_job(self, job: tasks.Job, *, remember: bool) -> None:
        for task_id in job.task_ids:
            self.task_by_id.pop(task_id, None)
            self.final_ids.pop(task_id, None)
        del self.job_by_id[job.submit.job]
        if remember:
            self.dropped_job_hashes.add(job_hash(job.submit.job))

    def dump(self) -> Iterable[Any]:
        """Return the state as plain objects for a snapshot."""
        return snapshots.dump(self)

    def load(self, objects: Iterable[Any]) -> None:
        """Replace the state by that of a snapshot."""
        snapshots.load(self, objects)


def _data_centre(entry: view.Entry) -> str | None:
    if entry.resource is None or not entry.resource.startswith(RESOURCE_PREFIX):
        return None
    return entry.resource[len(RESOURCE_PREFIX) :]
