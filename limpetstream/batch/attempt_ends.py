"""What the end of an attempt means for its task and its job."""

from limpetstream.batch import messages, tasks

MAX_TASK_FAILURES = 3
MAX_JOB_WORKERS = 3
"""A job whose tasks fail on this many workers, and never finish, is bad."""

STEADY_RUN_MS = 60_000
"""A watcher that ran this long starts again without an old backoff."""


def record_failure(job: tasks.Job, task: tasks.Task, worker: str) -> bool:
    """Count a failure; return True if it shows that the job is bad.

    A job is judged by distinct workers, so that one worker that fails
    everything does not condemn it.
    """
    task.failures += 1
    if worker not in job.failed_workers and len(job.failed_workers) < MAX_JOB_WORKERS:
        job.failed_workers.append(worker)
    if job.bad or job.finished or job.submit.kind == "watcher":
        return False
    job.bad = len(job.failed_workers) >= MAX_JOB_WORKERS
    return job.bad


def next_task_state(
    job: tasks.Job, task: tasks.Task, end: messages.End, ran_ms: int
) -> str:
    """Return the state of a task after the proven end of its attempt."""
    if job.cancelled or job.bad:
        stopped = "cancelled" if job.cancelled else "failed"
        return "finished" if end.outcome == "finished" else stopped
    if job.submit.kind == "watcher":
        quick = end.outcome in ("failed", "finished")
        task.restarts = 0 if ran_ms >= STEADY_RUN_MS else task.restarts + quick
        return "pending"
    if end.outcome in ("finished", "cancelled"):
        return end.outcome
    if end.outcome == "failed":
        enough = task.failures >= MAX_TASK_FAILURES
        return "failed" if enough or not job.submit.idempotent else "pending"
    if end.outcome in ("lapsed", "lost") and not job.submit.idempotent:
        # What ran after the last checkpoint is unknown and must not run twice.
        return "failed"
    return "pending"
