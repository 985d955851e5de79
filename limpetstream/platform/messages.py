"""Messages of the platform's HTTP interface; see ``docs/PLATFORM.md``."""

import dataclasses
from typing import Any

ACTIVE_STATES = frozenset({"running", "throttled"})
"""States in which an attempt uses resources of its worker."""


@dataclasses.dataclass(slots=True)
class Frame:
    """Records that one append added to a stream of the log."""

    offset: int
    records: list[str]


@dataclasses.dataclass(slots=True)
class Page:
    """Answer to a read of the log.

    Args:
        first: Oldest offset that the log still keeps.
        next: Offset after the last returned frame.
        end: Offset that the next append will get.
        frames: Frames, ordered by offset.
    """

    first: int
    next: int
    end: int
    frames: list[Frame] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Appended:
    """Answer to an append: the offset of the new frame."""

    offset: int


@dataclasses.dataclass(slots=True)
class Instance:
    """One entry of the platform's instance list: a machine or a process.

    Args:
        id: Unique id.
        role: ``entry``, ``backend`` or ``worker``.
        address: ``host:port``; empty for workers, whose calls the platform
            forwards.
        data_centre: Data centre of the instance.
        rack: Rack of the instance.
        state: ``live`` or ``leaving``.
        service: Desk service of a backend server.
        worker: Worker that a backend server runs on.
        cores: Processors of a worker, or those reserved for a backend server.
        memory_gb: Memory, likewise.
        accelerators: Accelerators, likewise.
        slots: Requests that a backend server runs at once; 0 if the settings
            determine it.
        connections: Connections that a backend server accepts; 0 if the
            settings determine it.
    """

    id: str
    role: str
    address: str = ""
    data_centre: str = ""
    rack: str = ""
    state: str = "live"
    service: str = ""
    worker: str = ""
    cores: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0
    slots: int = 0
    connections: int = 0


@dataclasses.dataclass(slots=True)
class InstanceList:
    """Instance list at a time of the platform's clock.

    Args:
        as_of_ms: Time on the platform's clock.
        instances: All instances; None if the list still has the version that
            the caller knows.
        version: Version of the content; empty if the platform gives none.
    """

    as_of_ms: int
    instances: list[Instance] | None = None
    version: str = ""


@dataclasses.dataclass(slots=True)
class Attempt:
    """State of one attempt at a task on a worker.

    Args:
        attempt: Id of the attempt.
        state: ``running``, ``throttled``, ``checkpointed``, ``finished``,
            ``failed``, ``lapsed`` or ``stopped``.
        checkpoint: Name of its last checkpoint, if any.
        lease_until_ms: End of its lease on the worker's own clock.
        reason: Why the attempt ended, if it did not finish.
    """

    attempt: str
    state: str
    checkpoint: str | None = None
    lease_until_ms: int = 0
    reason: str = ""


@dataclasses.dataclass(slots=True)
class Status:
    """Answer to ``status``; ``clock_ms`` is the worker's own clock."""

    clock_ms: int
    attempts: list[Attempt] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Start:
    """Request to start one attempt.

    Args:
        attempt: Id of the attempt; starting it twice has the effect of once.
        task: Id of the task.
        job: Id of the task's job.
        work_class: Class of the work; ``class`` in JSON.
        cores: Declared processors.
        memory_gb: Declared memory.
        accelerators: Declared accelerators.
        run_s: Declared run time; at 0 or less the attempt runs until stopped.
        checkpoint: Checkpoint to resume from, if any.
        lease_until_ms: End of the first lease on the worker's own clock.
    """

    attempt: str
    task: str
    job: str
    work_class: str
    cores: float
    memory_gb: float
    accelerators: int
    run_s: float
    checkpoint: str | None
    lease_until_ms: int

    def to_wire(self) -> dict[str, Any]:
        """Return the JSON object; ``class`` is a reserved word in Python."""
        wire = {field.name: getattr(self, field.name) for field in _START_FIELDS}
        wire["class"] = wire.pop("work_class")
        return wire


_START_FIELDS = dataclasses.fields(Start)


@dataclasses.dataclass(slots=True)
class StartAnswer:
    """Result of one start: ``started``, ``already`` or ``refused``."""

    attempt: str
    result: str
    reason: str = ""


@dataclasses.dataclass(slots=True)
class Started:
    """Answer to ``start`` with one result for each attempt."""

    clock_ms: int
    answers: list[StartAnswer] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Lease:
    """Requested lease end of one attempt, on the worker's own clock."""

    attempt: str
    lease_until_ms: int


@dataclasses.dataclass(slots=True)
class Renewed:
    """Answer to ``renew``; it omits attempts unknown to the worker."""

    clock_ms: int
    attempts: list[Attempt] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Changed:
    """Answer to ``throttle`` and ``stop``: current state of the attempt.

    ``attempt`` is None if the worker does not know the attempt to throttle.
    """

    clock_ms: int
    attempt: Attempt | None = None


@dataclasses.dataclass(slots=True)
class Checkpointed:
    """Answer to ``checkpoint``; None if there is no checkpoint to resume."""

    clock_ms: int
    checkpoint: str | None = None


@dataclasses.dataclass(slots=True)
class Sample:
    """One usage sample of an attempt or an executor; samples arrive late.

    Args:
        seq: Sequence number of the sample, increasing.
        at_ms: Time of the sample, on the platform's clock.
        worker: Worker on which the sample was taken.
        attempt: Sampled attempt, if any.
        executor: Sampled backend server, if any.
        cores: Processors in use.
        memory_gb: Memory in use.
        slowdown: Run time divided by that of an undisturbed run; 1 is
            undisturbed.
        latency_ms: Mean latency of an executor's requests.
    """

    seq: int
    at_ms: int
    worker: str
    attempt: str | None = None
    executor: str | None = None
    cores: float = 0.0
    memory_gb: float = 0.0
    slowdown: float = 1.0
    latency_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class Usage:
    """Answer to ``usage``: samples, ordered by sequence number."""

    samples: list[Sample] = dataclasses.field(default_factory=list)
