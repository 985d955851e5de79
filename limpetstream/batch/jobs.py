"""Replicated state of jobs and tasks, applied from the control stream.

Every reader applies the same records in the same order and must reach the same
state, so nothing here may depend on a clock or on the process that reads.
"""

import dataclasses
from collections.abc import Callable, Iterable
from typing import Any

import xxhash

from limpetstream import amounts
from limpetstream.batch import attempt_ends, messages, quotas, snapshots, tasks
from limpetstream.records import registry, view

# Final tasks stay in the state for this long.
FINAL_RETENTION_MS = 600_000
MAX_TIME_STEP_MS = 60_000
"""Prevents a writer whose clock is far ahead from expiring the whole state."""

RESOURCE_PREFIX = "workers/"


def resource_of(data_centre: str) -> str:
    """Return the resource whose right covers a data centre's workers."""
    return RESOURCE_PREFIX + data_centre


def job_hash(job_id: str) -> int:
    """Return the 64-bit hash that is kept after a job has left the state."""
    return xxhash.xxh64_intdigest(job_id.encode())


@dataclasses.dataclass(slots=True)
class Jobs:
    """Batch state applied from the log.

    Args:
        tree: Settings tree, applied from the same log.
        quota: Quotas of the teams and their usage.
        on_worker_change: Called with the id of a worker when its set of placed
            tasks changes or some of them must stop.
        job_by_id: Jobs with tasks in the state.
        task_by_id: Tasks of these jobs.
        task_ids_by_worker: Placed tasks of each worker.
        used_by_data_centre: Sum of the sizes of placed tasks.
        pending: Queue of pending tasks.
        final_ids: Ids of final tasks, in the order in which they expire.
        dropped_job_hashes: Hashes of jobs that have left the state; their ids
            stay refused.
        now_ms: Time of the state: the latest wall time of a record, advanced
            by at most ``MAX_TIME_STEP_MS`` per record.
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
    used_by_data_centre: dict[str, amounts.Amount] = dataclasses.field(
        default_factory=dict
    )
    pending: tasks.PendingQueue = dataclasses.field(default_factory=tasks.PendingQueue)
    final_ids: dict[str, None] = dataclasses.field(default_factory=dict)
    dropped_job_hashes: set[int] = dataclasses.field(default_factory=set)
    now_ms: int = 0

    def register(self, to_view: view.View, to_registry: registry.Registry) -> None:
        """Register this state with a view, and its record types."""
        for kind, body_type in messages.TYPE_BY_KIND.items():
            to_registry.register(kind, 1, body_type)
        to_view.register_applier("job.submit", self.apply_submit)
        to_view.register_applier("job.cancel", self.apply_cancel)
        to_view.register_applier("task.place", self.apply_place)
        to_view.register_applier("task.end", self.apply_end)
        to_view.register_applier("task.checkpoint", self.apply_checkpoint)
        to_view.register_state("batch", self.dump, self.load)

    def apply_submit(self, entry: view.Entry) -> str | None:
        """Apply ``job.submit``; a repeat is void, so a job exists once."""
        submit: messages.JobSubmit = entry.body
        self._advance_time(submit.at_ms)
        existing = self.job_by_id.get(submit.job)
        if existing is not None and not (existing.final and submit.kind == "watcher"):
            return "job exists"
        if job_hash(submit.job) in self.dropped_job_hashes:
            return "job has ended"
        if submit.priority not in messages.PRIORITIES or not submit.tasks:
            return "malformed job"
        if any(group.count < 1 for group in submit.tasks):
            return "malformed job"
        if existing is not None:
            self._drop_job(existing, keep_hash=False)
        self._add_job(submit, entry.offset)
        return None

    def _add_job(self, submit: messages.JobSubmit, offset: int) -> None:
        job = tasks.Job(submit, offset)
        self.job_by_id[submit.job] = job
        for group in submit.tasks:
            size = amounts.amount(group.cores, group.memory_gb, group.accelerators)
            for _ in range(group.count):
                task_id = f"{submit.job}/{len(job.task_ids)}"
                job.task_ids.append(task_id)
                task = tasks.Task(task_id, submit.job, size, group.run_s)
                task.add_step(tasks.Step(submit.at_ms, offset, "submitted"))
                self.task_by_id[task_id] = task
                self._enqueue(job, task)
        job.open_tasks = job.kept_tasks = len(job.task_ids)

    def _enqueue(self, job: tasks.Job, task: tasks.Task) -> None:
        task.state = "pending"
        shape = tasks.shape_of(job, task)
        self.pending.add(job.submit.priority, shape, task.id)

    def _dequeue(self, job: tasks.Job, task: tasks.Task) -> None:
        shape = tasks.shape_of(job, task)
        self.pending.remove(job.submit.priority, shape, task.id)

    def apply_cancel(self, entry: view.Entry) -> str | None:
        """Apply ``job.cancel``: pending tasks end, placed ones must stop."""
        cancel: messages.JobCancel = entry.body
        self._advance_time(cancel.at_ms)
        job = self.job_by_id.get(cancel.job)
        if job is None or job.final:
            return "no such active job"
        if job.cancelled:
            return "already cancelled"
        job.cancelled = True
        job.cancel_reason = cancel.reason
        self._end_job(job, "cancelled", cancel.reason, cancel.at_ms, entry.offset)
        return None

    def _end_job(
        self, job: tasks.Job, state: str, reason: str, at_ms: int, offset: int
    ) -> None:
        for task_id in job.task_ids:
            task = self.task_by_id.get(task_id)
            if task is None:
                continue
            if task.state == "pending":
                self._dequeue(job, task)
                task.add_step(tasks.Step(at_ms, offset, state, reason=reason))
                self._finalise(job, task, state)
            elif task.state == "placed":
                self._notify_worker_change(task.worker)

    def apply_place(self, entry: view.Entry) -> str | None:
        """Apply ``task.place``; each placement is checked by itself."""
        body: messages.TaskPlace = entry.body
        self._advance_time(body.at_ms)
        data_centre = _data_centre_of(entry)
        if data_centre is None:
            return "needs the right to a data centre's workers"
        if self._is_out(data_centre):
            return f"data centre {data_centre} is out"
        valid = 0
        for placement in body.placements:
            valid += self._place(placement, data_centre, entry, body.at_ms)
        return None if valid else "no valid placement"

    def _is_out(self, data_centre: str) -> bool:
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
        self._dequeue(job, task)
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
        used = self.used_by_data_centre.get(task.data_centre, amounts.ZERO)
        self.used_by_data_centre[task.data_centre] = amounts.add(used, task.size)
        self._notify_worker_change(task.worker)

    def _release(self, job: tasks.Job, task: tasks.Task) -> None:
        self.quota.release(job.submit.team, task.size)
        worker, data_centre = task.worker, task.data_centre
        job.adjust_worker_count(worker, -1)
        ids = self.task_ids_by_worker[worker]
        del ids[task.id]
        if not ids:
            del self.task_ids_by_worker[worker]
        used = self.used_by_data_centre[data_centre]
        self.used_by_data_centre[data_centre] = amounts.subtract(used, task.size)
        task.worker = task.data_centre = ""
        self._notify_worker_change(worker)

    def _notify_worker_change(self, worker: str) -> None:
        for callback in self.on_worker_change:
            callback(worker)

    def apply_end(self, entry: view.Entry) -> str | None:
        """Apply ``task.end``; each end is checked by itself."""
        body: messages.TaskEnd = entry.body
        self._advance_time(body.at_ms)
        data_centre = _data_centre_of(entry)
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
        self._release(job, task)
        failed = end.outcome == "failed"
        became_bad = failed and attempt_ends.record_failure(job, task, worker)
        state = attempt_ends.next_task_state(job, task, end, ran_ms)
        if state == "pending":
            self._enqueue(job, task)
        else:
            self._finalise(job, task, state)
        if became_bad:
            reason = "its tasks fail on several workers"
            self._end_job(job, "failed", reason, at_ms, offset)
        return True

    def _finalise(self, job: tasks.Job, task: tasks.Task, state: str) -> None:
        task.state = state
        task.final_ms = self.now_ms
        job.open_tasks -= 1
        job.finished += state == "finished"
        self.final_ids[task.id] = None

    def apply_checkpoint(self, entry: view.Entry) -> str | None:
        """Apply ``task.checkpoint``: names from which tasks can resume."""
        body: messages.TaskCheckpoint = entry.body
        self._advance_time(body.at_ms)
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
        """Return whether a task's job was cancelled or has failed."""
        job = self.job_by_id[task.job]
        return job.cancelled or job.bad

    def _advance_time(self, at_ms: int) -> None:
        """Advance the time of the state and drop expired final tasks."""
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
                self._drop_job(job, keep_hash=job.submit.kind != "watcher")

    def _drop_job(self, job: tasks.Job, *, keep_hash: bool) -> None:
        for task_id in job.task_ids:
            self.task_by_id.pop(task_id, None)
            self.final_ids.pop(task_id, None)
        del self.job_by_id[job.submit.job]
        if keep_hash:
            self.dropped_job_hashes.add(job_hash(job.submit.job))

    def dump(self) -> Iterable[Any]:
        """Return the state as built-in objects for a snapshot."""
        return snapshots.dump(self)

    def load(self, objects: Iterable[Any]) -> None:
        """Replace the state with that of a snapshot."""
        snapshots.load(self, objects)


def _data_centre_of(entry: view.Entry) -> str | None:
    if entry.resource is None or not entry.resource.startswith(RESOURCE_PREFIX):
        return None
    return entry.resource[len(RESOURCE_PREFIX) :]
