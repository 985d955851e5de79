"""Types of jobs that consist of steps, as callers submit them."""

import dataclasses

QUEUED = "queued"
RUNNING = "running"
COMPLETED = "completed"
FAILED = "failed"
CANCELLED = "cancelled"
FINAL_STATES = frozenset({COMPLETED, FAILED, CANCELLED})


@dataclasses.dataclass(slots=True)
class Step:
    """One step of a job: equal tasks that may run side by side.

    Args:
        count: Number of tasks.
        cpu_millicores: Processors of one task, in thousandths of a core.
        memory_mb: Memory of one task.
        accelerators: Accelerators of one task.
        estimate_ms: Declared duration of one task; often far off.
        after: Numbers of earlier steps that must have finished first.
        checkpoints: Whether a task saves its progress.
        gang: Whether the tasks work only while all of one run are present.
        rack_sensitive: Whether tasks on more than one rack are slower.
        required_label: Label that the executor must have; empty for none.
        data_rack: Rack near the data; empty for none.
        max_per_executor: Most tasks on one executor; 0 for no limit.
        speculative: Whether copies of a task may run at the same time.
        long_running: Whether the tasks run until the job is cancelled.
        image: What the tasks run; tasks of one image behave alike.
        tail_target_ms: Bound of the tail of a serving task's response times;
            0 for none.
        fills: Whether the tasks use only processors that others leave unused.
        may_miss: How many tasks may be away at once by the system's doing; 0
            means that no stop counts.
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
        service: Service whose executors run it, by the queue's settings then.
        spec: Text that is handed to each task.
        steps: Steps of the job.
        max_attempts: Runs of one task that may end as failed, by the queue's
            settings then.
        accepted_ms: Unix milliseconds of the submission.
        first_due_ms: Unix milliseconds at which the first occurrence is due.
        interval_ms: Milliseconds between occurrences.
        occurrences: How often the steps run; 0 for once, at once.
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


@dataclasses.dataclass(slots=True)
class Queue:
    """Settings of one queue.

    Args:
        name: Name of the queue.
        host: Host name by which callers select it.
        prefix: Path prefix by which callers select it.
        service: Service whose executors run its tasks.
        priority: 0 comes first and may preempt others.
        max_attempts: Runs of one task that may end as failed.
        stretch: Factor on the chain of work in the latency objective.
        target_latency_ms: Constant part of the latency objective.
        advised: Whether executors need the advice service's permission.
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


@dataclasses.dataclass(slots=True)
class MaintenanceWave:
    """Requested upkeep of machines.

    Args:
        number: Number of the wave.
        machines: Machines that each get one upkeep.
        duration_s: Seconds in which the wave shall be finished.
        max_at_once: Most machines that are down for it at once.
    """

    number: int
    machines: tuple[str, ...]
    duration_s: float
    max_at_once: int


@dataclasses.dataclass(slots=True)
class Configuration:
    """Configuration in force, with the operator's other requests.

    Args:
        version: Version; it never goes back within a process.
        queues: All queues.
        guarded_services: Services whose executors reject what does not fit.
        max_body_bytes: Most bytes of a caller's request body.
    """

    version: int
    queues: list[Queue]
    guarded_services: frozenset[str] = frozenset()
    max_body_bytes: int = 262_144

    def select_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host with the longest prefix of a path."""
        best = None
        for queue in self.queues:
            if queue.host == host and path.startswith(queue.prefix):
                if best is None or len(queue.prefix) > len(best.prefix):
                    best = queue
        return best

    def queue_by_name(self, name: str) -> Queue | None:
        """Return the queue of that name."""
        return next((queue for queue in self.queues if queue.name == name), None)
