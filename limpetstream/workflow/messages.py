"""Defines the types of jobs, their steps, queues and the configuration."""

import dataclasses

from limpetstream.organisations import keys as keys_module, settings

QUEUED = "queued"
RUNNING = "running"
COMPLETED = "completed"
FAILED = "failed"
CANCELLED = "cancelled"
FINAL_STATES = frozenset({COMPLETED, FAILED, CANCELLED})


@dataclasses.dataclass(slots=True)
class Step:
    """One step of a job: a number of equal tasks that may run in parallel.

    Args:
        count: Number of tasks.
        cpu_millicores: Processors of one task, in thousandths of a core.
        memory_mb: Memory of one task.
        accelerators: Accelerators of one task.
        estimate_ms: Declared duration of one task; often inaccurate.
        after: Numbers of earlier steps that must have finished first.
        checkpoints: Whether a task saves its progress.
        gang: Whether the tasks work only while all of them run.
        rack_sensitive: Whether tasks on more than one rack are slower.
        required_label: Label that the executor must have; empty for none.
        data_rack: Rack that is close to the data; empty for none.
        max_per_executor: Largest number of tasks on one executor; 0 for no
            limit.
        speculative: Whether copies of a task may run at the same time.
        long_running: Whether the tasks run until the job is cancelled.
        image: Program that the tasks run; tasks of one image behave alike.
        tail_target_ms: Upper bound of the tail latency of a serving task; 0
            for a task that does not serve.
        fills: Whether the tasks are best-effort: they use only CPU that other
            work leaves unused.
        may_miss: How many tasks the system may stop at the same time; 0 means
            that stops are not limited.
    """

    count: int
    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    rack_sensitive: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_executor: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    tail_target_ms: float = 0.0
    fills: bool = False
    may_miss: int = 0


@dataclasses.dataclass(slots=True)
class Submission:
    """A job as a caller submitted it.

    Args:
        job_id: Id that the caller chose: 16 hexadecimal digits.
        queue: Name of the queue.
        service: Service whose executors run it, from the settings of the queue
            at submission.
        spec: Text that is passed to each task.
        steps: Steps of the job.
        max_attempts: Number of runs of one task that may fail, from the
            settings of the queue at submission.
        accepted_ms: Unix milliseconds of the submission.
        first_due_ms: Unix milliseconds at which the first occurrence is due.
        interval_ms: Milliseconds between occurrences.
        occurrences: How often the steps run; 0 for a single run that starts
            immediately.
        organisation: Name of the organisation that submitted it; empty for
            none.
    """

    job_id: str
    queue: str
    service: str
    spec: str
    steps: list[Step]
    max_attempts: int = 1
    accepted_ms: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0
    occurrences: int = 0
    organisation: str = ""


@dataclasses.dataclass(slots=True)
class Queue:
    """Settings of one queue.

    Args:
        name: Name of the queue.
        host: Host name by which callers select it.
        prefix: Path prefix by which callers select it.
        service: Service whose executors run its tasks.
        priority: Priority of the queue; 0 comes first and may preempt others.
        max_attempts: Number of runs of one task that may fail.
        stretch: Factor in the latency objective by which the duration of the
            critical path is multiplied.
        target_latency_ms: Constant part of the latency objective.
        advised: Whether a start needs the permission of the advice service.
        needs_key: Whether each request needs the key of an organisation.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: float = 0.0
    advised: bool = False
    needs_key: bool = False


@dataclasses.dataclass(slots=True)
class MaintenanceWave:
    """Maintenance of a set of machines that the operator has requested.

    Args:
        number: Number of the maintenance wave.
        machines: Machines; each one is maintained once.
        duration_s: Seconds in which the wave should be finished.
        max_at_once: Largest number of machines that are down at the same time.
    """

    number: int
    machines: tuple[str, ...]
    duration_s: float
    max_at_once: int


@dataclasses.dataclass(slots=True)
class Configuration:
    """Configuration in force.

    Args:
        version: Version; it never decreases within a process.
        queues: All queues.
        guarded_services: Services whose executors reject tasks that exceed
            their capacity.
        max_body_bytes: Largest size of a caller's request body, in bytes.
        organisation_by_name: Organisations that share the deployment; empty
            if it is not shared.
        keys: Keys of these organisations.
    """

    version: int
    queues: list[Queue]
    guarded_services: frozenset[str] = frozenset()
    max_body_bytes: int = 262_144
    organisation_by_name: dict[str, settings.Organisation] = dataclasses.field(
        default_factory=dict
    )
    keys: keys_module.KeyTable = dataclasses.field(default_factory=keys_module.KeyTable)
    _queue_by_name: dict[str, Queue] = dataclasses.field(
        init=False, repr=False, compare=False
    )

    def __post_init__(self) -> None:
        """Index the queues; the first of two with one name counts."""
        self._queue_by_name = {queue.name: queue for queue in reversed(self.queues)}

    def select_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host with the longest matching path prefix."""
        best = None
        for queue in self.queues:
            if queue.host == host and path.startswith(queue.prefix):
                if best is None or len(queue.prefix) > len(best.prefix):
                    best = queue
        return best

    def queue_by_name(self, name: str) -> Queue | None:
        """Return the queue with a name; None if there is none."""
        return self._queue_by_name.get(name)
