"""Bounds the memory that the accepted jobs of a shard take at its owner.

Any instance stores jobs, and the owner, or the next one, holds all of them
until they are final. Each instance therefore asks the owner from time to time
how much of its share is in use, and refuses jobs before the share is used up.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

from limpetstream import clock as clock_module
from limpetstream.workflow import messages, state as workflow_state

# What a job takes without its tasks.
JOB_BYTES = 1500
STEP_BYTES = 700
DECODED_FACTOR = 2  # Strings and lists of a submission, decoded.
FINAL_JOB_BYTES = 1000
# Larger jobs leave the rest of the share to others.
LARGE_JOB_BYTES = 32_000
LARGE_JOBS_PERCENT = 50
MIN_RETRY_S = 2.0
MAX_RETRY_S = 30.0
# An instance asks again after it has stored so much, or while jobs may have to
# be refused.
ASK_AFTER_BYTES = 256_000
ASK_INTERVAL_S = 0.5
MAX_ANSWER_AGE_S = 5.0  # An owner that does not answer may have been replaced.


def estimate_bytes(submission: messages.Submission, stored_bytes: int) -> int:
    """Return about how much memory an open job takes, without its tasks.

    Args:
        submission: The job.
        stored_bytes: Size of its stored form.
    """
    return (
        JOB_BYTES + STEP_BYTES * len(submission.steps) + DECODED_FACTOR * stored_bytes
    )


@dataclasses.dataclass(slots=True)
class JobMemory:
    """Memory that the jobs of a shard take at its owner.

    Args:
        share_bytes: Memory that they may take; infinity for no bound.
        used_bytes: Memory that they take now.
        full_since: Monotonic time since when large jobs are refused; None
            while all are accepted.
    """

    share_bytes: float = float("inf")
    used_bytes: int = 0
    full_since: float | None = None


def note_open(memory: JobMemory, job: workflow_state.Job, stored_bytes: int) -> None:
    """Count a job that was loaded with its submission."""
    _set(memory, job, estimate_bytes(job.submission, stored_bytes))


def note_final(memory: JobMemory, job: workflow_state.Job) -> None:
    """Count a job of which only the final state is kept."""
    _set(memory, job, FINAL_JOB_BYTES)


def note_dropped(memory: JobMemory, job: workflow_state.Job) -> None:
    """Count a job no more."""
    _set(memory, job, 0)


def _set(memory: JobMemory, job: workflow_state.Job, size: int) -> None:
    memory.used_bytes += size - job.memory_bytes
    job.memory_bytes = size


def used_percent(memory: JobMemory) -> int:
    """Return how much of the share is in use."""
    return int(100 * memory.used_bytes / memory.share_bytes)


def retry_after_s(memory: JobMemory, now: float) -> float:
    """Return when a caller whose job was refused may come back.

    It is half of the time for which jobs have been refused, within bounds.
    """
    if used_percent(memory) < LARGE_JOBS_PERCENT:
        memory.full_since = None
        return 0.0
    if memory.full_since is None:
        memory.full_since = now
    return min(MAX_RETRY_S, max(MIN_RETRY_S, (now - memory.full_since) / 2))


@dataclasses.dataclass(slots=True)
class Answer:
    """Answer of the owner of a shard.

    Args:
        used_percent: How much of its share is in use.
        retry_after_s: Seconds after which a refused caller may come back.
        asked_at: Monotonic time at which it was asked.
    """

    used_percent: int
    retry_after_s: float
    asked_at: float


class OwnerRoom:
    """What one instance knows of the memory that owners have left for jobs.

    Args:
        ask: Asks the owner of a shard; returns the answer, or None without.
        clock: Source of time.
    """

    def __init__(
        self,
        ask: Callable[[int], Awaitable[Answer | None]],
        clock: clock_module.Clock,
    ) -> None:
        self._ask = ask
        self._clock = clock
        self._answer_by_shard: dict[int, Answer] = {}
        self._stored_bytes_by_shard: dict[int, int] = {}
        self._task_by_shard: dict[int, asyncio.Task[None]] = {}

    def retry_after_s(self, shard: int, size: int) -> float:
        """Return when to come back with a job; 0 if it may be stored now.

        Args:
            shard: Shard of the job.
            size: Memory that it will take at the owner, in bytes.
        """
        answer = self._answer_by_shard.get(shard)
        if answer is None:
            return 0.0
        age_s = self._clock.monotonic() - answer.asked_at
        limit = LARGE_JOBS_PERCENT if size >= LARGE_JOB_BYTES else 100
        if answer.used_percent >= LARGE_JOBS_PERCENT and age_s > ASK_INTERVAL_S:
            self._ask_in_background(shard)
        if answer.used_percent < limit or age_s > MAX_ANSWER_AGE_S:
            return 0.0
        return answer.retry_after_s

    def note_stored(self, shard: int, size: int) -> None:
        """Count a job that this instance has stored."""
        stored_bytes = self._stored_bytes_by_shard.get(shard, 0) + size
        if stored_bytes >= ASK_AFTER_BYTES:
            stored_bytes = 0
            self._ask_in_background(shard)
        self._stored_bytes_by_shard[shard] = stored_bytes

    def close(self) -> None:
        """End the tasks that ask."""
        for task in self._task_by_shard.values():
            task.cancel()

    def _ask_in_background(self, shard: int) -> None:
        task = self._task_by_shard.get(shard)
        if task is None or task.done():
            self._task_by_shard[shard] = asyncio.create_task(self._update(shard))

    async def _update(self, shard: int) -> None:
        answer = await self._ask(shard)
        if answer is not None:
            self._answer_by_shard[shard] = answer
