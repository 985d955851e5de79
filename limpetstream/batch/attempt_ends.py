"""Rules for what becomes of a task and its job when an attempt has ended."""

from limpetstream.batch import messages, tasks

# A batch task fails for good after this many failed attempts.
MAX_TASK_FAILURES = 3
MAX_FAILED_WORKERS = 3
"""A job whose tasks fail on this many workers before any finishes is bad."""

STABLE_RUN_MS = 60_000
"""After a run of at least this long, a watcher restarts without backoff."""


def record_failure(job: tasks.Job, task: tasks.Task, worker: str) -> bool:
    """Count a failure and return whether it has just marked the job as bad.

    Distinct workers are counted, so that a single worker that fails every
    task cannot make a job bad.
    """
    task.failures += 1
    if (
        worker not in job.failed_workers
        and len(job.failed_workers) < MAX_FAILED_WORKERS
    ):
        job.failed_workers.append(worker)
    if job.bad or job.finished or job.submit.kind == "watcher":
        return False
    job.bad = len(job.failed_workers) >= MAX_FAILED_WORKERS
    return job.bad


def next_task_state(
    job: tasks.Job, task: tasks.Task, end: messages.End, ran_ms: int
) -> str:
    """Return the state of a task after the proven end of its attempt.

    Args:
        job: Job of the task.
        task: The task; its restarts are counted here.
        end: The proven end.
        ran_ms: Time since the attempt was placed, in milliseconds.
    """
    if job.cancelled or job.bad:
        stopped = "cancelled" if job.cancelled else "failed"
        return "finished" if end.outcome == "finished" else stopped
    if job.submit.kind == "watcher":
        ended_by_itself = end.outcome in ("failed", "finished")
        task.restarts = (
            0 if ran_ms >= STABLE_RUN_MS else task.restarts + ended_by_itself
        )
        return "pending"
    if end.outcome in ("finished", "cancelled"):
        return end.outcome
    if end.outcome == "failed":
        exhausted = task.failures >= MAX_TASK_FAILURES
        return "failed" if exhausted or not job.submit.idempotent else "pending"
    if end.outcome in ("lapsed", "lost") and not job.submit.idempotent:
        # It is unknown what ran after the last checkpoint, and it must not
        # run twice.
        return "failed"
    return "pending"
