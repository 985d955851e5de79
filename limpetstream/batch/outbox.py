"""Buffers proven ends and new checkpoints and appends them to the log."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any

from limpetstream.batch import (
    context,
    events,
    jobs,
    messages,
    quarantine,
    record_sizes,
    tasks,
)
from limpetstream.telemetry import logs

FLUSH_INTERVAL_S = 0.05
MAX_ENDS = 1000
"""Ends in one record; further ends go into the next record."""
MAX_CHECKPOINTS = 10_000
"""Checkpoints in one record; their size usually allows less."""

EVENT_BY_OUTCOME = {"lost": events.ATTEMPT_LOST, "evicted": events.TASK_EVICTED}

AttemptKey = tuple[str, int]
"""Task id and attempt number."""

AppendRecord = Callable[[str, object], Awaitable[bool]]
"""Appends a record under the right; False if not confirmed in time."""


def drop_ended(by_attempt: dict[AttemptKey, Any], state: jobs.Jobs) -> None:
    """Remove the entries of attempts that are no longer placed."""
    for key in list(by_attempt):
        task = state.task_by_id.get(key[0])
        if task is None or task.state != "placed" or task.attempt != key[1]:
            del by_attempt[key]


@dataclasses.dataclass(slots=True)
class Outbox:
    """Ends and checkpoints that one holder has to append.

    Args:
        context: Dependencies from the rest of the process.
        quarantine: Quarantine of workers, which counts failures.
        append: Appends a record under the holder's right.
        end_by_attempt: Proven ends that are not applied from the log yet.
        checkpoint_by_task: Checkpoints that are not appended yet.
        has_ends: Set while there are proven ends to append.
    """

    context: context.Context
    quarantine: quarantine.Quarantine
    append: AppendRecord
    end_by_attempt: dict[AttemptKey, messages.End] = dataclasses.field(
        default_factory=dict
    )
    checkpoint_by_task: dict[str, messages.Checkpoint] = dataclasses.field(
        default_factory=dict
    )
    has_ends: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    async def run(self) -> None:
        """Append ends as they arrive, until cancelled."""
        while True:
            await self.has_ends.wait()
            await self.flush_ends()
            if not self.end_by_attempt:
                self.has_ends.clear()
            await self.context.clock.sleep(FLUSH_INTERVAL_S)

    def is_end_proven(self, task: tasks.Task) -> bool:
        """Return whether the end of a task's current attempt is proven."""
        return (task.id, task.attempt) in self.end_by_attempt

    def add_end(self, task: tasks.Task, end: messages.End) -> None:
        """Add a proven end, to be appended together with others.

        A long reason is cut. A checkpoint whose name is too long is left out,
        so that the previous one counts.
        """
        key = (task.id, end.attempt)
        if key in self.end_by_attempt:
            return
        end.reason = end.reason[: record_sizes.MAX_TEXT_CHARACTERS]
        if len(end.checkpoint) > record_sizes.MAX_TEXT_CHARACTERS:
            logs.emit(events.CHECKPOINT_NOT_RECORDED, task=task.id, count=1)
            end.checkpoint = ""
        self.end_by_attempt[key] = end
        self.has_ends.set()
        now = self.context.clock.monotonic()
        self.quarantine.record_end(task.worker, task.job, task.id, end.outcome, now)
        self.context.metrics.increment("batch_attempt_ends", outcome=end.outcome)
        event = EVENT_BY_OUTCOME.get(end.outcome)
        if event is not None:
            logs.emit(
                event,
                task=task.id,
                attempt=end.attempt,
                worker=task.worker,
                reason=end.reason,
            )

    def note_checkpoint(self, task: tasks.Task, checkpoint: str | None) -> None:
        """Add a reported checkpoint, to be appended together with others."""
        if checkpoint and checkpoint != task.checkpoint:
            self.checkpoint_by_task[task.id] = messages.Checkpoint(
                task.id, task.attempt, checkpoint
            )

    async def flush_ends(self) -> None:
        """Append proven ends in one record; keep each until it is applied."""
        drop_ended(self.end_by_attempt, self.context.state)
        proven = list(self.end_by_attempt.values())[:MAX_ENDS]
        ends = next(record_sizes.split(proven, MAX_ENDS), [])
        if not ends:
            return
        body = messages.TaskEnd(ends, self.context.clock.wall_ms())
        if await self.append("task.end", body):
            self._discount_bad_jobs(ends)
        drop_ended(self.end_by_attempt, self.context.state)

    def _discount_bad_jobs(self, ends: list[messages.End]) -> None:
        for end in ends:
            task = self.context.state.task_by_id.get(end.task)
            job = self.context.state.job_by_id.get(task.job) if task else None
            if job is None or not job.bad or job.submit.job in self.quarantine.bad_jobs:
                continue
            self.quarantine.discount_job(job.submit.job)
            logs.emit(events.JOB_FAILED, job=job.submit.job)

    async def flush_checkpoints(self) -> None:
        """Append the names of new checkpoints, in as many records as needed.

        What is not confirmed is reported again by the workers.
        """
        checkpoints, self.checkpoint_by_task = self.checkpoint_by_task, {}
        too_long = [
            checkpoint.task
            for checkpoint in checkpoints.values()
            if len(checkpoint.checkpoint) > record_sizes.MAX_TEXT_CHARACTERS
        ]
        for task_id in too_long:
            del checkpoints[task_id]
        if too_long:
            logs.emit(
                events.CHECKPOINT_NOT_RECORDED, task=too_long[0], count=len(too_long)
            )
        for part in record_sizes.split(list(checkpoints.values()), MAX_CHECKPOINTS):
            body = messages.TaskCheckpoint(part, self.context.clock.wall_ms())
            if not await self.append("task.checkpoint", body):
                return
