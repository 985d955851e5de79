"""Builds shards with more accepted work than can run soon."""

import contextlib
import tracemalloc
from collections.abc import Iterator

from limpetstream.executors import messages as executor_messages, tracking
from limpetstream.shard import housekeeping, jobs, recovery, state
from limpetstream.shard.tests import builders
from limpetstream.store import messages as store_messages
from limpetstream.workflow import checks, messages, records, state as workflow_state
from standins import virtual_time

MB = 1_000_000
# A quarter of the smallest machines of the users, which have 200 MB.
MAX_STATE_BYTES = 50 * MB
SCHEDULED = 3000  # Occurrences, all due, as in review/12.
STEPS, WIDTH = 4, 36
LARGE_JOBS = 150  # Each with the most tasks that a job may have.
TASK = messages.Step(WIDTH, cpu_millicores=4200, memory_mb=8400)


def job_id(number: int) -> str:
    return f"{number:016x}"


def make_schedule(number: int, *, occurrences: int = SCHEDULED) -> messages.Submission:
    """Return a scheduled job whose occurrences are all due."""
    steps = [
        builders.copy_step(TASK, after=(step - 1,) if step else ())
        for step in range(STEPS)
    ]
    return messages.Submission(
        job_id(number),
        "batch",
        "service",
        "ms=300",
        steps,
        first_due_ms=-occurrences * 1000,
        interval_ms=1000,
        occurrences=occurrences,
    )


def make_large_job(number: int, *, queue: str = "batch") -> messages.Submission:
    """Return a job with the most tasks that a job may have."""
    step = builders.copy_step(TASK, count=checks.MAX_TASKS)
    return messages.Submission(job_id(number), queue, "service", "", [step])


def make_small_job(number: int, *, queue: str = "batch") -> messages.Submission:
    """Return a job with one task."""
    step = builders.copy_step(TASK, count=1)
    return messages.Submission(job_id(number), queue, "service", "", [step])


def make_shard(*, executors: int = 24) -> state.Shard:
    """Return a shard without jobs."""
    return builders.make_shard(virtual_time.Loop(), executors=executors)


def load(
    shard: state.Shard,
    submissions: list[messages.Submission],
    progress_by_id: dict[str, records.Progress] | None = None,
) -> None:
    """Let an owner read stored jobs, and release what is due."""
    for submission in submissions:
        entry = store_messages.Entry(
            submission.job_id, records.encode_submission(submission)
        )
        recovery.apply_submissions(shard, [entry], progress_by_id or {})
    housekeeping.release_due_occurrences(shard)


def waiting_of(shard: state.Shard, number: int) -> int:
    """Return how many tasks of a job wait."""
    job = shard.job_by_id[job_id(number)]
    return sum(task.job is job for task in shard.waiting_tasks)


def end_run(
    shard: state.Shard, executor: tracking.Executor, run: workflow_state.Run
) -> None:
    """Let a run end as done."""
    row = executor_messages.EndRow(
        1, run.task.name, run.number, executor_messages.DONE, ""
    )
    jobs.apply_end(shard, executor, row)


@contextlib.contextmanager
def measured_growth() -> Iterator[list[int]]:
    """Yield a list that gets the peak of what was allocated meanwhile."""
    peaks: list[int] = []
    tracemalloc.start()
    try:
        yield peaks
        peaks.append(tracemalloc.get_traced_memory()[1])
    finally:
        tracemalloc.stop()
