"""Bodies of batch records on the control stream."""

import dataclasses

PRIORITIES = ("urgent", "normal", "low")
"""Priorities from the highest to the lowest."""

KINDS = ("batch", "watcher")
SPREADS = ("none", "rack", "data-centre")


@dataclasses.dataclass(slots=True)
class TaskGroup:
    """Tasks of one job that have the same size.

    Args:
        count: Number of tasks.
        cores: Processors of each task.
        memory_gb: Memory of each task.
        accelerators: Accelerators of each task.
        run_s: Declared run time in seconds.
    """

    count: int = 1
    cores: float = 1.0
    memory_gb: float = 1.0
    accelerators: int = 0
    run_s: float = 60.0


@dataclasses.dataclass(slots=True)
class JobSubmit:
    """Body of ``job.submit``.

    Args:
        job: Id of the job, the same for every repeat of a submission.
        caller: Caller that owns the job; empty for jobs of operators.
        request_id: Request id of the submission.
        body_hash: Hash of the submitted description.
        team: Team whose quota the tasks count against.
        work_class: Class for which sizes and slowdowns are learned.
        tasks: Sizes and counts of the tasks.
        priority: ``urgent``, ``normal`` or ``low``.
        kind: ``batch``, or ``watcher`` for tasks that always run.
        spread: Where tasks are kept apart: ``none``, ``rack`` or
            ``data-centre``.
        idempotent: Whether work after the last checkpoint may be repeated.
        checkpoint_s: Seconds between checkpoints; 0 for none.
        deadline_ms: Wall time by which the job is wanted; 0 for none.
        at_ms: Wall time of the submission.
    """

    job: str
    caller: str
    request_id: str
    body_hash: str
    team: str
    work_class: str
    tasks: list[TaskGroup]
    priority: str = "normal"
    kind: str = "batch"
    spread: str = "rack"
    idempotent: bool = True
    checkpoint_s: float = 10.0
    deadline_ms: int = 0
    at_ms: int = 0


@dataclasses.dataclass(slots=True)
class JobCancel:
    """Body of ``job.cancel``."""

    job: str
    reason: str = ""
    at_ms: int = 0


@dataclasses.dataclass(slots=True)
class Placement:
    """Placement of a task's next attempt on a worker."""

    task: str
    attempt: int
    worker: str


@dataclasses.dataclass(slots=True)
class TaskPlace:
    """Body of ``task.place``; each placement is valid or void by itself."""

    placements: list[Placement]
    at_ms: int = 0


@dataclasses.dataclass(slots=True)
class End:
    """The proven end of one attempt.

    Args:
        task: Id of the task.
        attempt: Number of the attempt.
        outcome: ``finished``, ``failed``, ``cancelled``, ``evicted``,
            ``lapsed`` (the worker reports that its lease ran out), ``lost``
            (the worker gives no report on it) or ``not-started``.
        checkpoint: Name of the last checkpoint; empty keeps the previous one.
        reason: Why the attempt ended, in plain words.
    """

    task: str
    attempt: int
    outcome: str
    checkpoint: str = ""
    reason: str = ""


@dataclasses.dataclass(slots=True)
class TaskEnd:
    """Body of ``task.end``; each end is valid or void by itself."""

    ends: list[End]
    at_ms: int = 0


@dataclasses.dataclass(slots=True)
class Checkpoint:
    """The newest checkpoint of a running attempt."""

    task: str
    attempt: int
    checkpoint: str


@dataclasses.dataclass(slots=True)
class TaskCheckpoint:
    """Body of ``task.checkpoint``."""

    checkpoints: list[Checkpoint]
    at_ms: int = 0


TYPE_BY_KIND = {
    "job.submit": JobSubmit,
    "job.cancel": JobCancel,
    "task.place": TaskPlace,
    "task.end": TaskEnd,
    "task.checkpoint": TaskCheckpoint,
}
"""Body types of batch records by record kind, all of version 1."""
