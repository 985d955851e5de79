"""Test data: jobs with progress, and the decoder of earlier versions."""

import dataclasses

import msgspec

from limpetstream.workflow import messages, records, state


@dataclasses.dataclass(slots=True)
class EarlierProgress:
    """Progress as versions without the compressed form decode it."""

    outcome: str = ""
    final_ms: int = 0
    queue: str = ""
    started: bool = False
    marked: bool = False
    task_by_place: dict[str, records.TaskProgress] = dataclasses.field(
        default_factory=dict
    )


def decode_as_earlier(raw):
    """Decode a record as versions without the compressed form do."""
    return msgspec.json.decode(raw, type=EarlierProgress)


def make_job(*counts, occurrences, gang=False):
    """Return a job with one step for each number of tasks."""
    steps = [messages.Step(count, gang=gang) for count in counts]
    submission = messages.Submission(
        "0" * 16, "batch", "service", "", steps, occurrences=occurrences
    )
    return state.Job(submission)


def finish(job, number, *, run=100_001):
    """Let all tasks of an occurrence be done."""
    for tasks in state.get_occurrence(job, number).tasks_by_step:
        for task in tasks:
            task.ended_run = task.last_run = run
            state.mark_done(task)


def store_and_restore(job):
    """Return a job that is restored from the stored progress of another."""
    restored = state.Job(job.submission)
    records.restore(restored, records.decode_progress(records.encode_progress(job)))
    return restored


def open_progress(job):
    """Return the progress of the tasks that are not done, by name."""
    return {
        task.name: (task.failed_runs, task.ended_run, task.checkpoint)
        for task in state.tasks_of(job)
        if not task.done and (task.failed_runs or task.ended_run)
    }


def done_names(job):
    """Return the names of the tasks that are done."""
    names = {
        f"{job.submission.job_id}.{number}.{step_number}.{index}"
        for number in state.finished_numbers(job)
        for step_number, step in enumerate(job.submission.steps)
        for index in range(step.count)
    }
    for occurrence in job.occurrence_by_number.values():
        for tasks in occurrence.tasks_by_step:
            names.update(tasks[index].name for index in tasks.done_indexes())
    return names


def finished_numbers(job):
    """Return the numbers of the occurrences that are finished."""
    return set(state.finished_numbers(job))
