"""Encodes and decodes the stored form of jobs: submission and progress.

The submission is written once, by the instance that accepted it. The progress
is rewritten by the owner of the shard with each batch of ends.

Progress has two forms. The plain form, JSON with each task by its place, is
read by all versions. The compressed form, with ranges of tasks that are done,
is written where the plain form does not suffice. Earlier versions cannot
decode it and fail the job; if they ignored the ranges, they would start tasks
again that are done.
"""

import dataclasses
import functools
import itertools
import re
import zlib
from collections.abc import Iterator
from typing import Any

import msgspec

from limpetstream import errors
from limpetstream.workflow import checks, messages, number_ranges, state

# The store refuses records of more than 262,144 bytes with their keys, which
# have at most 255 bytes.
MAX_RECORD_BYTES = 262_144 - 256
# Bounds the time to compress a record, and what an odd one expands to.
MAX_EXPANDED_BYTES = 4_000_000
# A job with one occurrence has no more, so that it has the plain form.
MAX_PLAIN_TASKS = checks.MAX_TASKS
# First byte of zlib data; no JSON text begins with it.
_COMPRESSED = b"\x78"

_STEP = re.compile(r"([0-9]{1,9})\.([0-9]{1,9})")
_PLACE = re.compile(r"([0-9]{1,9})\.([0-9]{1,9})\.([0-9]{1,9})")


@dataclasses.dataclass(slots=True)
class TaskProgress:
    """Stored progress of one task.

    Args:
        done: Whether it is done.
        failed_runs: Numbers of the runs that ended as failed.
        run: Highest number of a run whose end has been applied; only of a task
            that is not done, except in records of earlier versions.
        checkpoint: Newest checkpoint; empty for none.
    """

    done: bool = False
    failed_runs: list[int] = dataclasses.field(default_factory=list)
    run: int = 0
    checkpoint: str = ""


@dataclasses.dataclass(slots=True)
class Progress:
    """Stored progress of one job.

    Args:
        outcome: Final state; empty while open.
        final_ms: Unix milliseconds of the final state.
        queue: Name of the job's queue.
        started: Whether an executor confirmed a run of a task.
        marked: Whether an owner may have requested the start of a run.
        early: Whether the final state was stored while an owner from before
            the one that reached it could still tell another state.
        task_by_place: Progress by ``OCCURRENCE.STEP.INDEX``.
        finished: Ranges of occurrences whose tasks are all done.
        done_by_step: Ranges of the indexes of tasks that are done, by
            ``OCCURRENCE.STEP``.
        unsubmitted: Whether the job was cancelled before it was stored, so
            that nothing else of it is known.
    """

    outcome: str = ""
    final_ms: int = 0
    queue: str = ""
    started: bool = False
    marked: bool = False
    early: bool = False
    task_by_place: dict[str, TaskProgress] = dataclasses.field(default_factory=dict)
    finished: list[tuple[int, int]] = dataclasses.field(default_factory=list)
    done_by_step: dict[str, list[tuple[int, int]]] = dataclasses.field(
        default_factory=dict
    )
    unsubmitted: bool = False


# Most entries are of tasks that are done.
_DONE = TaskProgress(done=True)
_DONE_CONTENT = {"done": True}


def encode_submission(submission: messages.Submission) -> bytes:
    """Return the stored form of a submission, without default values."""
    value = _without_defaults(submission)
    value["steps"] = [_without_defaults(step) for step in submission.steps]
    return msgspec.json.encode(value)


def decode_submission(raw: bytes) -> messages.Submission:
    """Decode a stored submission.

    Args:
        raw: Value of the record.

    Raises:
        RecordError: The record is damaged or has another structure.
    """
    return _decode(raw, messages.Submission)


def encode_progress(job: state.Job) -> bytes:
    """Return the stored form of a job's progress.

    Progress of tasks is left out when the job has ended. Otherwise the result
    may have more than ``MAX_RECORD_BYTES``.
    """
    progress = Progress(
        job.outcome,
        job.final_ms,
        job.submission.queue,
        job.started,
        job.start_recorded,
        job.early,
    )
    if job.outcome:
        return _encode_content(progress)
    places = list(itertools.islice(_done_places(job), MAX_PLAIN_TASKS + 1))
    open_tasks = _open_tasks_with_progress(job)
    if len(places) + len(open_tasks) <= MAX_PLAIN_TASKS:
        progress.task_by_place = dict.fromkeys(places, _DONE)
        progress.task_by_place.update(_progress_by_place(open_tasks))
        content = _encode_content(progress)
        if len(content) <= MAX_RECORD_BYTES:
            return content
    _set_ranges(progress, job)
    progress.task_by_place = _progress_by_place(open_tasks)
    content = _encode_content(progress)
    if len(content) > MAX_EXPANDED_BYTES:
        return content
    return zlib.compress(content, level=1)


def encode_cancel_of_unknown(cancelled_ms: int) -> bytes:
    """Return the stored form of the cancel of a job that is not stored.

    Versions that do not know it take the job for a cancelled one.

    Args:
        cancelled_ms: Unix milliseconds of the cancel.
    """
    return _encode_content(Progress(messages.CANCELLED, cancelled_ms, unsubmitted=True))


def _encode_content(progress: Progress) -> bytes:
    value = _without_defaults(progress)
    if progress.task_by_place:
        value["task_by_place"] = {
            place: _DONE_CONTENT if task is _DONE else _without_defaults(task)
            for place, task in progress.task_by_place.items()
        }
    return msgspec.json.encode(value)


def _open_tasks_with_progress(job: state.Job) -> list[state.Task]:
    return [
        task
        for task in state.tasks_of(job)
        if not task.done and (task.ended_run or task.failed_runs)
    ]


def _done_places(job: state.Job) -> Iterator[str]:
    """Yield the places of the tasks that are done."""
    for number in state.finished_numbers(job):
        for step_number, step in enumerate(job.submission.steps):
            for index in range(step.count):
                yield f"{number}.{step_number}.{index}"
    for number, occurrence in job.occurrence_by_number.items():
        if state.is_finished(occurrence):
            continue
        for step_number, tasks in enumerate(occurrence.tasks_by_step):
            for index in tasks.done_indexes():
                yield f"{number}.{step_number}.{index}"


def _progress_by_place(tasks: list[state.Task]) -> dict[str, TaskProgress]:
    return {
        f"{task.occurrence}.{task.step_number}.{task.index}": _task_progress(task)
        for task in tasks
    }


def _set_ranges(progress: Progress, job: state.Job) -> None:
    """Set the ranges of the tasks that are done."""
    progress.finished = number_ranges.compress(state.finished_numbers(job))
    for number, occurrence in job.occurrence_by_number.items():
        if state.is_finished(occurrence):
            continue
        for step_number, tasks in enumerate(occurrence.tasks_by_step):
            ranges = number_ranges.compress(tasks.done_indexes())
            if ranges:
                progress.done_by_step[f"{number}.{step_number}"] = ranges


def _task_progress(task: state.Task) -> TaskProgress:
    """Return the progress of a task that is not done."""
    return TaskProgress(
        False, sorted(task.failed_runs), task.ended_run, task.checkpoint
    )


def decode_progress(raw: bytes) -> Progress:
    """Decode stored progress of either form.

    Args:
        raw: Value of the record.

    Raises:
        RecordError: The record is damaged or has another structure.
    """
    if raw.startswith(_COMPRESSED):
        raw = _expand(raw)
    return _decode(raw, Progress)


def restore(job: state.Job, progress: Progress) -> None:
    """Apply stored progress to a job that has no progress yet.

    Progress of places that name no task of the job is ignored; that of the
    other tasks holds.
    """
    job.outcome = progress.outcome
    job.visible_outcome = "" if progress.early else progress.outcome
    job.final_ms = progress.final_ms
    job.started = progress.started
    job.start_recorded = progress.marked
    job.stored = True
    _restore_ranges(job, progress)
    for place, stored in progress.task_by_place.items():
        match = _PLACE.fullmatch(place)
        if match is None:
            continue
        task = state.find_task(job, int(match[1]), int(match[2]), int(match[3]))
        if task is None:
            continue
        task.failed_runs = frozenset(stored.failed_runs)
        task.ended_run = stored.run
        task.last_run = max([task.last_run, stored.run, *stored.failed_runs])
        task.checkpoint = stored.checkpoint
        if stored.done and not task.done:
            state.mark_done_with_gang(task)
    for number, occurrence in list(job.occurrence_by_number.items()):
        if state.is_finished(occurrence):
            state.forget_finished(job, number)


def _restore_ranges(job: state.Job, progress: Progress) -> None:
    end = max(1, job.submission.occurrences)
    for number in number_ranges.expand(progress.finished, end):
        state.forget_finished(job, number)
    for place, ranges in progress.done_by_step.items():
        match = _STEP.fullmatch(place)
        if match is None:
            continue
        number, step_number = int(match[1]), int(match[2])
        if state.find_task(job, number, step_number, 0) is None:
            continue
        if state.is_forgotten(job, number):
            continue
        tasks = state.get_occurrence(job, number).tasks_by_step[step_number]
        for index in number_ranges.expand(ranges, len(tasks)):
            state.mark_done_with_gang(tasks[index])


def _without_defaults(value: Any) -> dict[str, Any]:
    content_by_field = {}
    for name, default in _defaults(type(value)):
        content = getattr(value, name)
        if content != default:
            content_by_field[name] = content
    return content_by_field


@functools.cache
def _defaults(type_: type) -> list[tuple[str, Any]]:
    """Return the fields of a data class with their default values."""
    return [
        (
            field.name,
            field.default
            if field.default_factory is dataclasses.MISSING
            else field.default_factory(),
        )
        for field in dataclasses.fields(type_)
    ]


def _expand(raw: bytes) -> bytes:
    expander = zlib.decompressobj()
    try:
        content = expander.decompress(raw, MAX_EXPANDED_BYTES)
    except zlib.error as error:
        raise errors.RecordError(
            f"stored Progress cannot be expanded: {error}"
        ) from error
    if not expander.eof:
        raise errors.RecordError("stored Progress is cut off or too large")
    return content


def _decode(raw: bytes, type_: Any) -> Any:
    try:
        return msgspec.json.decode(raw, type=type_)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise errors.RecordError(
            f"stored {type_.__name__} cannot be decoded: {error}"
        ) from error
