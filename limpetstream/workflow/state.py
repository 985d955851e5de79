"""Holds the state of jobs, their occurrences, tasks and runs."""

import dataclasses
import math
from collections.abc import Hashable, Iterator

from limpetstream.workflow import messages

STARTING = "starting"
WORKING = "working"
STOPPING = "stopping"
GONE = "gone"

# A job of one second whose objective is 1.5 s is late after this wait.
FIRST_WAIT_REPORT_S = 0.5
# Longer than all tries of a start, or a stop of 0.9 s and the poll after it.
FIRST_UNSETTLED_REPORT_S = 2.5


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """One start of a task on an executor.

    Args:
        task: The task.
        number: Number of the run; later runs of a task have higher numbers.
        executor_id: Executor that was asked to start it.
        start_requested_at: Monotonic time of the first start request.
        phase: ``starting``, ``working``, ``stopping`` or ``gone``.
        stop_reason: Why it is being stopped.
        stop_ordered_at: Monotonic time at which its stop was decided.
        stop_confirmed_at: Monotonic time at which the executor confirmed the
            stop.
        seen_at: Monotonic time of the newest poll that listed it.
        start_deadline_ms: Latest deadline of a start request that was sent,
            on the executor's clock; None if none was sent.
        missing_since: Monotonic time of the first of the consecutive replies
            to polls that did not list it although it can no longer start;
            None while it may still start or is listed.
        percent: Progress of the work. For a serving task, how far it has
            started to serve.
        load: Tail latency in ms of a serving task, otherwise millicores in
            use.
        pace: Percentage of its full speed that the run may use, 0 to 100; -1
            when the last change was not confirmed, or an earlier owner may
            have made one.
        is_pace_under_way: Whether its pace is being sent.
        pace_answered_at: Monotonic time of the last answer to a pace.
        pace_unanswered_at: Monotonic time at which the last pace was sent that
            had no answer; None if none can take effect any more.
        giving_up: Whether it counts as lost once an append is confirmed.
        over_target_since: Monotonic time since which a serving run's tail
            latency has been over its target; None while it is not.
        progressed_at: Monotonic time at which ``percent`` last changed.
        relocation_tried_at: Monotonic time at which no better executor was
            last found for it.
        report_threshold_s: Seconds that it must have been unsettled for the
            next log line that says why.
    """

    task: "Task"
    number: int
    executor_id: str
    start_requested_at: float
    phase: str = STARTING
    stop_reason: str = ""
    stop_ordered_at: float | None = None
    stop_confirmed_at: float | None = None
    seen_at: float | None = None
    start_deadline_ms: int | None = None
    missing_since: float | None = None
    percent: float = 0.0
    load: float = 0.0
    pace: int = 100
    is_pace_under_way: bool = False
    pace_answered_at: float = -math.inf
    pace_unanswered_at: float | None = None
    giving_up: bool = False
    over_target_since: float | None = None
    progressed_at: float = 0.0
    relocation_tried_at: float = -math.inf
    report_threshold_s: float = FIRST_UNSETTLED_REPORT_S


@dataclasses.dataclass(slots=True, eq=False)
class Task:
    """One task of one occurrence of a step.

    Args:
        job: The job.
        occurrence: Occurrence, from 0.
        step_number: Number of the step.
        index: Number of the task within the step.
        name: ``JOB.OCCURRENCE.STEP.INDEX``.
        step: The step.
        kind: What decides whether it can be placed; see ``kind_of``.
        done: Whether a run has ended as done.
        failed_runs: Numbers of the runs that have ended as failed.
        last_run: Highest number of a run that was requested or seen.
        ended_run: Highest number of a run whose end has been applied.
        checkpoint: Newest checkpoint; empty for none.
        run: The run that holds capacity now, if any.
        ready_at: Monotonic time from which it could have been placed.
        not_before: Monotonic time before which it is not placed again.
        held_back_at: Monotonic time at which the limit of its organisation was
            last found to hold it back.
        preempted_others_at: Monotonic time at which other runs were last
            stopped to make capacity for it.
        moved_at: Monotonic time at which it was last stopped to run on another
            executor.
        tried_in_round: Number of the newest round of scheduling passes in
            which an executor was looked for.
        first_turn_at: Monotonic time of its first turn in a scheduling pass
            since ``ready_at``; an earlier time if it had none.
        first_turn_wait_s: Seconds that it waited for that turn, without its
            pause.
    """

    job: "Job"
    occurrence: int
    step_number: int
    index: int
    name: str
    step: messages.Step
    kind: Hashable = None
    done: bool = False
    failed_runs: frozenset[int] = frozenset()
    last_run: int = 0
    ended_run: int = 0
    checkpoint: str = ""
    run: Run | None = None
    ready_at: float = 0.0
    not_before: float = 0.0
    held_back_at: float = -math.inf
    preempted_others_at: float = -math.inf
    moved_at: float = -math.inf
    tried_in_round: int = -1
    first_turn_at: float = -math.inf
    first_turn_wait_s: float = 0.0


class StepTasks:
    """Tasks of one step of one occurrence, most of which are only counted.

    A task has an object from when it is queued, or something is known of it,
    until it is done. Reading a task makes its object.

    Args:
        job: The job.
        occurrence: Number of the occurrence.
        number: Number of the step.
    """

    __slots__ = (
        "job",
        "kind",
        "next_index",
        "number",
        "occurrence",
        "released_at",
        "step",
        "_done",
        "_task_by_index",
    )

    def __init__(self, job: "Job", occurrence: int, number: int) -> None:
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.step = job.submission.steps[number]
        self.kind = kind_of(job, self.step)
        self.released_at = -math.inf  # Monotonic time.
        self.next_index = 0  # Of the first task that was not queued yet.
        self._done = bytearray()  # A byte for each task; empty while none is.
        self._task_by_index: dict[int, Task] = {}

    def __len__(self) -> int:
        return self.step.count

    def __getitem__(self, index: int) -> Task:
        task = self._task_by_index.get(index)
        if task is not None:
            return task
        if not 0 <= index < self.step.count:
            raise IndexError(index)
        task = Task(
            self.job,
            self.occurrence,
            self.number,
            index,
            f"{self.job.submission.job_id}.{self.occurrence}.{self.number}.{index}",
            self.step,
            self.kind,
            done=self.is_done(index),
            last_run=self.job.last_earlier_run,
        )
        if not task.done:
            self._task_by_index[index] = task
        return task

    def __iter__(self) -> Iterator[Task]:
        return map(self.__getitem__, range(self.step.count))

    def is_done(self, index: int) -> bool:
        """Return whether a task is done."""
        return bool(self._done) and bool(self._done[index])

    def note_done(self, index: int) -> None:
        """Note that a task is done, and forget its object."""
        if not self._done:
            self._done = bytearray(self.step.count)
        self._done[index] = 1
        self._task_by_index.pop(index, None)

    def done_indexes(self) -> list[int]:
        """Return the indexes of the tasks that are done, in rising order."""
        return [index for index, is_done in enumerate(self._done) if is_done]

    def existing(self) -> list[Task]:
        """Return the tasks that have an object; none of them is done."""
        return list(self._task_by_index.values())


@dataclasses.dataclass(slots=True, eq=False)
class Occurrence:
    """One pass through the steps of a job.

    Args:
        number: Number of the occurrence, from 0.
        due_ms: Unix milliseconds before which no task may start; 0 for none.
        tasks_by_step: Tasks of each step.
        open_by_step: Number of tasks of each step that are not done.
        released: Numbers of the steps whose tasks may be placed.
    """

    number: int
    due_ms: int
    tasks_by_step: list[StepTasks]
    open_by_step: list[int]
    released: set[int] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """One accepted job.

    Args:
        submission: What the caller submitted.
        outcome: Final state, possibly not yet durable; empty while open.
        visible_outcome: Final state that callers may see: it is durable, and
            no owner tells another state any more.
        early: Whether this owner has reached the final state while an earlier
            one could still tell another state; that is stored with it.
        loaded_at: Monotonic time at which this owner had read the submission.
        stored_after_claim: Whether the submission was stored after this owner
            had claimed the shard.
        final_ms: Unix milliseconds of the final state.
        started: Whether an executor ever confirmed a run of any task.
        start_recorded: Whether the journal says that the start of a run may
            have been requested.
        last_earlier_run: Highest run number that earlier owners may have used
            for any task; 0 if they cannot have started the job.
        occurrence_by_number: Occurrences that were begun and not forgotten.
        finished_occurrences: Number of occurrences that were forgotten, as
            all their tasks are done.
        finished_flags: Whether an occurrence was forgotten, a byte for each;
            empty while none was.
        memory_bytes: Memory that is counted for it at the owner.
        stored: Whether the journal holds a record of this job.
        wait_report_threshold_s: Seconds that a task must have waited for the
            next log line that says what the job waits for.
    """

    submission: messages.Submission
    outcome: str = ""
    visible_outcome: str = ""
    early: bool = False
    loaded_at: float = -math.inf
    stored_after_claim: bool = False
    final_ms: int = 0
    started: bool = False
    start_recorded: bool = False
    last_earlier_run: int = 0
    occurrence_by_number: dict[int, Occurrence] = dataclasses.field(
        default_factory=dict
    )
    finished_occurrences: int = 0
    finished_flags: bytearray = dataclasses.field(default_factory=bytearray)
    memory_bytes: int = 0
    stored: bool = False
    wait_report_threshold_s: float = FIRST_WAIT_REPORT_S

    @property
    def reported_state(self) -> str:
        """State that is reported to callers."""
        if self.visible_outcome:
            return self.visible_outcome
        return messages.RUNNING if self.started else messages.QUEUED


def parse_task_name(name: str) -> tuple[str, int, int, int] | None:
    """Return job id, occurrence, step and index of a task name, or None.

    >>> parse_task_name("5c0e7a21d94b36f8.0.1.17")
    ('5c0e7a21d94b36f8', 0, 1, 17)
    """
    parts = name.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return parts[0], int(parts[1]), int(parts[2]), int(parts[3])


def waited_s(task: Task, now: float) -> float:
    """Return for how many seconds a task has waited for capacity.

    Time for which a limit held it back does not count.
    """
    return now - max(task.ready_at, task.held_back_at)


def kind_of(job: Job, step: messages.Step) -> Hashable:
    """Return what decides whether waiting tasks can be placed.

    Tasks of one kind mostly wait for the same.
    """
    submission = job.submission
    return (
        submission.queue,
        submission.organisation,
        job.last_earlier_run > 0,  # They may wait for runs of earlier owners.
        step.cpu_millicores,
        step.memory_mb,
        step.accelerators,
        step.required_label,
        step.fills,
        step.long_running,
        step.count if step.gang else 0,
        submission.job_id if step.max_per_executor else "",
    )


def step_name(task: Task) -> str:
    """Return the part of a task's name that all tasks of its step share."""
    return task.name.rpartition(".")[0]


def get_occurrence(job: Job, number: int) -> Occurrence:
    """Return an occurrence of a job that was not forgotten."""
    occurrence = job.occurrence_by_number.get(number)
    if occurrence is not None:
        return occurrence
    submission = job.submission
    due_ms = 0
    if submission.occurrences:
        due_ms = submission.first_due_ms + number * submission.interval_ms
    tasks_by_step = [
        StepTasks(job, number, step_number)
        for step_number in range(len(submission.steps))
    ]
    occurrence = Occurrence(
        number, due_ms, tasks_by_step, [step.count for step in submission.steps]
    )
    job.occurrence_by_number[number] = occurrence
    return occurrence


def find_task(job: Job, occurrence: int, step: int, index: int) -> Task | None:
    """Return a task by its numbers within the job; None if there is none."""
    if occurrence >= max(1, job.submission.occurrences):
        return None
    if step >= len(job.submission.steps) or index >= job.submission.steps[step].count:
        return None
    if is_forgotten(job, occurrence):
        name = f"{job.submission.job_id}.{occurrence}.{step}.{index}"
        return Task(
            job, occurrence, step, index, name, job.submission.steps[step], done=True
        )
    return get_occurrence(job, occurrence).tasks_by_step[step][index]


def is_forgotten(job: Job, number: int) -> bool:
    """Return whether an occurrence has finished and was forgotten."""
    return bool(job.finished_flags) and bool(job.finished_flags[number])


def forget_finished(job: Job, number: int) -> None:
    """Forget an occurrence whose tasks are all done, but not that they are."""
    if not job.finished_flags:
        job.finished_flags = bytearray(max(1, job.submission.occurrences))
    job.finished_occurrences += not job.finished_flags[number]
    job.finished_flags[number] = 1
    job.occurrence_by_number.pop(number, None)


def finished_numbers(job: Job) -> list[int]:
    """Return the numbers of the finished occurrences, in rising order."""
    numbers = [number for number, flag in enumerate(job.finished_flags) if flag]
    numbers += [
        number
        for number, occurrence in job.occurrence_by_number.items()
        if is_finished(occurrence)
    ]
    return sorted(numbers)


def tasks_of(job: Job) -> Iterator[Task]:
    """Yield the tasks of a job that have an object; none of them is done."""
    for occurrence in job.occurrence_by_number.values():
        for tasks in occurrence.tasks_by_step:
            yield from tasks.existing()


def mark_done_with_gang(task: Task) -> list[Task]:
    """Mark a task as done, and with it all members of its gang.

    Returns:
        The tasks that are done thereby.
    """
    tasks = [task]
    if task.step.gang:
        occurrence = task.job.occurrence_by_number[task.occurrence]
        tasks = list(occurrence.tasks_by_step[task.step_number])
    for member in tasks:
        mark_done(member)
    return tasks


def mark_done(task: Task) -> None:
    """Mark a task as done; a second call has no effect."""
    if not task.done:
        task.done = True
        occurrence = task.job.occurrence_by_number[task.occurrence]
        occurrence.tasks_by_step[task.step_number].note_done(task.index)
        occurrence.open_by_step[task.step_number] -= 1


def release_ready_steps(
    occurrence: Occurrence, steps: list[messages.Step]
) -> list[StepTasks]:
    """Release the steps whose earlier steps have finished.

    Args:
        occurrence: Occurrence whose steps are released.
        steps: Steps of the job.

    Returns:
        Tasks of each newly released step.
    """
    released: list[StepTasks] = []
    for number, step in enumerate(steps):
        if number in occurrence.released:
            continue
        if any(occurrence.open_by_step[earlier] for earlier in step.after):
            continue
        occurrence.released.add(number)
        released.append(occurrence.tasks_by_step[number])
    return released


def is_finished(occurrence: Occurrence) -> bool:
    """Return whether all tasks of an occurrence are done."""
    return not any(occurrence.open_by_step)
