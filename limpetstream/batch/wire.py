"""Converts between batch state and the messages of the platform's workers."""

from limpetstream.batch import attempts, jobs, tasks
from limpetstream.platform import messages


def start_item(task: tasks.Task, state: jobs.Jobs, until_ms: int) -> messages.Start:
    """Return the item of a start call for a task's current attempt."""
    cores, memory_mb, accelerators = task.size
    submit = state.job_by_id[task.job].submit
    return messages.Start(
        attempt=attempts.attempt_id(task.id, task.attempt),
        task=task.id,
        job=task.job,
        work_class=submit.work_class,
        cores=cores / 1000,
        memory_gb=memory_mb / 1024,
        accelerators=accelerators,
        # The platform runs an attempt with run time 0 until it is stopped.
        run_s=0.0 if submit.kind == "watcher" else task.run_s,
        checkpoint=task.checkpoint or None,
        lease_until_ms=until_ms,
    )


def lease_item(task: tasks.Task, until_ms: int) -> messages.Lease:
    """Return the item of a renewal call for a task's current attempt."""
    return messages.Lease(attempts.attempt_id(task.id, task.attempt), until_ms)


def refusals(answer: messages.Started) -> dict[str, str]:
    """Return the reason of each refused start, by attempt id."""
    return {
        item.attempt: item.reason or "refused"
        for item in answer.answers
        if item.result == "refused"
    }
