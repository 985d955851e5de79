"""Computes when jobs are due by the latency objective of their queue.

Declared durations are off by half and more. The duration of a step is
therefore learned for each queue, from runs that ended as done.
"""

from limpetstream.shard import state
from limpetstream.workflow import state as workflow_state

LEARNING_RATE = 0.1  # Weight of the newest run in the moving mean.
DEFAULT_RUN_S = 2.0  # Before the first run of a queue has ended.


def note_run_time(shard: state.Shard, run: workflow_state.Run) -> None:
    """Update the mean run time of a queue with a run that ended as done."""
    queue = run.task.job.submission.queue
    ran_s = shard.clock.monotonic() - run.start_requested_at
    mean_s = shard.run_s_by_queue.get(queue, ran_s)
    shard.run_s_by_queue[queue] = mean_s + LEARNING_RATE * (ran_s - mean_s)


def due_ms(shard: state.Shard, job: workflow_state.Job) -> float:
    """Return when a job is due by its objective, in Unix milliseconds."""
    submission = job.submission
    queue = shard.queue_of(job)
    if queue is None:
        return submission.accepted_ms
    run_s = shard.run_s_by_queue.get(submission.queue, DEFAULT_RUN_S)
    work_ms = run_s * 1000 * _chain_length(job)
    return submission.accepted_ms + queue.stretch * work_ms + queue.target_latency_ms


def _chain_length(job: workflow_state.Job) -> int:
    """Return the number of steps on the longest dependency chain."""
    length_by_step: list[int] = []
    for step in job.submission.steps:
        longest_before = max(
            (length_by_step[number] for number in step.after), default=0
        )
        length_by_step.append(longest_before + 1)
    return max(length_by_step, default=1)
