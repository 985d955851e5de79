"""Quarantine of workers on which tasks of several jobs fail.

Distinct jobs are counted, not failures, and jobs that fail on several workers
do not count. A quarantined worker is probed with a single task now and then.
"""

import dataclasses

from limpetstream.batch import events
from limpetstream.telemetry import logs

MIN_FAILED_JOBS = 3
# After each failed probe, the quarantine lasts twice as long, up to a bound.
FIRST_QUARANTINE_S = 30.0
MAX_QUARANTINE_S = 600.0
PROBE_RUN_S = 120.0
"""A probe that has run this long without failing ends the quarantine."""


@dataclasses.dataclass(slots=True)
class WorkerRecord:
    """Failures of one worker and its quarantine.

    Args:
        failed_jobs: Jobs whose tasks failed there since its last success.
        duration_s: Length of the current quarantine.
        probe_after: Monotonic time at which the next probe may start.
        probe_task: Task that probes the worker; empty for none.
        probe_placed_at: Monotonic time at which the probe was placed.
        quarantined: Whether the worker is in quarantine.
    """

    failed_jobs: set[str] = dataclasses.field(default_factory=set)
    duration_s: float = 0.0
    probe_after: float = 0.0
    probe_task: str = ""
    probe_placed_at: float = 0.0
    quarantined: bool = False


@dataclasses.dataclass(slots=True)
class Quarantine:
    """Failure records of workers as this holder saw them; not persisted.

    Args:
        record_by_worker: Records of workers with failures.
        bad_jobs: Jobs that fail on several workers and do not count.
    """

    record_by_worker: dict[str, WorkerRecord] = dataclasses.field(default_factory=dict)
    bad_jobs: set[str] = dataclasses.field(default_factory=set)

    def record_end(
        self, worker: str, job: str, task: str, outcome: str, now: float
    ) -> None:
        """Record the end of an attempt.

        Args:
            worker: Worker that ran it.
            job: Job of the task.
            task: Id of the task.
            outcome: Outcome of the attempt.
            now: Monotonic time in seconds.
        """
        record = self.record_by_worker.get(worker)
        if outcome == "finished":
            if record is not None:
                del self.record_by_worker[worker]
            return
        if outcome != "failed":
            if record is not None and record.probe_task == task:
                record.probe_task = ""
            return
        if job in self.bad_jobs:
            if record is not None and record.probe_task == task:
                record.probe_task = ""
            return
        record = self.record_by_worker.setdefault(worker, WorkerRecord())
        record.failed_jobs.add(job)
        failed_probe = record.probe_task == task
        if failed_probe or (
            not record.quarantined and len(record.failed_jobs) >= MIN_FAILED_JOBS
        ):
            self._quarantine(worker, record, now)

    def _quarantine(self, worker: str, record: WorkerRecord, now: float) -> None:
        record.quarantined = True
        record.probe_task = ""
        record.duration_s = min(
            MAX_QUARANTINE_S, max(FIRST_QUARANTINE_S, record.duration_s * 2)
        )
        record.probe_after = now + record.duration_s
        logs.emit(
            events.WORKER_QUARANTINED, worker=worker, jobs=len(record.failed_jobs)
        )

    def discount_job(self, job: str) -> None:
        """Remove the failures of a job that turned out to be bad itself."""
        self.bad_jobs.add(job)
        for worker, record in list(self.record_by_worker.items()):
            record.failed_jobs.discard(job)
            if not record.failed_jobs or (
                record.quarantined and len(record.failed_jobs) < MIN_FAILED_JOBS
            ):
                del self.record_by_worker[worker]

    def forget_job(self, job: str) -> None:
        """Forget a job that has left the state."""
        self.bad_jobs.discard(job)

    def is_quarantined(self, worker: str, now: float) -> bool:
        """Return whether a worker accepts no placements at this time."""
        record = self.record_by_worker.get(worker)
        if record is None or not record.quarantined:
            return False
        if record.probe_task and now - record.probe_placed_at > PROBE_RUN_S:
            del self.record_by_worker[worker]
            return False
        return bool(record.probe_task) or now < record.probe_after

    def note_placement(self, worker: str, task: str, now: float) -> None:
        """Record a placement; on a quarantined worker it is the probe."""
        record = self.record_by_worker.get(worker)
        if record is not None and record.quarantined:
            record.probe_task, record.probe_placed_at = task, now
