"""Defines what happens in one play of the search."""

import dataclasses

from limpetstream import amounts
from limpetstream.workflow import messages
from standins import shard_cluster, step_executors

MEMORY_MB = 100
MAX_ATTEMPTS = 8  # To submit a job.


@dataclasses.dataclass(slots=True)
class Fault:
    """One fault of a schedule.

    Args:
        kind: Name of a function of ``overlapping_faults``.
        seed: Seed of what the fault draws itself.
        at: Seconds after the warm-up at which it begins, or begins to wait for
            its event.
        trigger: Name of the event that it follows; empty for none.
        skip: How many events it lets pass.
        delay_s: Seconds from the event to the fault; 0 for the very moment.
    """

    kind: str
    seed: int
    at: float
    trigger: str = ""
    skip: int = 0
    delay_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Job:
    """One job of a schedule.

    Args:
        at: Seconds after the warm-up at which it is submitted.
        steps: Its steps.
        seconds_by_step: Run time of the tasks of each step; 0 for tasks that
            last.
        cancelled_at: Seconds after the warm-up at which it is cancelled; None
            if it is not.
        queue: Queue to which it is submitted.
        max_refusals: Refusals after which its caller gives it up, unless an
            attempt had no answer.
        stored_after_s: Seconds after which its append, which has no answer,
            takes effect; its caller cancels the job at once. None for a job
            that is submitted as usual.
        organisation: Organisation that submits it; empty for none.
    """

    at: float
    steps: list[messages.Step]
    seconds_by_step: list[float]
    cancelled_at: float | None = None
    queue: messages.Queue = dataclasses.field(
        default_factory=lambda: shard_cluster.QUEUE
    )
    max_refusals: int = MAX_ATTEMPTS
    stored_after_s: float | None = None
    organisation: str = ""

    def lasts(self) -> bool:
        """Return whether its tasks run until it is cancelled."""
        return any(step.long_running for step in self.steps)


def chain(
    at: float,
    count: int,
    seconds_by_step: list[float],
    cpu: int,
    cancelled_at: float | None = None,
) -> Job:
    """Return a job of equal steps, each of which follows the one before.

    Args:
        at: Seconds after the warm-up at which it is submitted.
        count: Number of tasks of each step.
        seconds_by_step: Run time of the tasks of each step; 0 for tasks that
            last.
        cpu: Processors of a task, in millicores.
        cancelled_at: Seconds after the warm-up at which it is cancelled.
    """
    steps = [
        messages.Step(
            count,
            cpu_millicores=cpu,
            memory_mb=MEMORY_MB,
            after=(number - 1,) if number else (),
            long_running=not seconds,
        )
        for number, seconds in enumerate(seconds_by_step)
    ]
    return Job(at, steps, seconds_by_step, cancelled_at)


@dataclasses.dataclass(slots=True)
class Schedule:
    """Everything that happens in one play.

    Args:
        seed: Seed from which it was drawn.
        executors: Number of executors.
        instances: Number of instances in the main group.
        reserves: Number of instances in the reserve.
        resets: Whether connections of an executor that restarts are reset;
            otherwise calls get no answer until their time-out.
        jobs: Jobs.
        faults: Faults.
        is_watched: Whether to look for work that stands still. That also ends
            runs at their time, not at the next call of their executor, and
            the timers change which of two equal ones is first, so the kept
            seeds do without.
        max_lease_ms: Longest lease that executors grant.
        next_share: Share of the calls to an ended process that the next one
            under its id carries out. If it is above 0, clocks of executors
            begin anywhere.
        limit_by_organisation: Limits of the organisations that the
            configuration names; empty if it names none.
    """

    seed: int
    executors: int
    instances: int
    reserves: int
    resets: bool
    jobs: list[Job]
    faults: list[Fault]
    is_watched: bool = False
    max_lease_ms: int = step_executors.MAX_LEASE_MS
    next_share: float = 0.0
    limit_by_organisation: dict[str, amounts.Amount] = dataclasses.field(
        default_factory=dict
    )


def split_task(task: str) -> tuple[str, int, int]:
    """Return job, step and number of a task by its name."""
    job_id, _occurrence, step, number = task.split(".")
    return job_id, int(step), int(number)


def task_names(job_id: str, step: int, count: int) -> list[str]:
    """Return the names of the tasks of a step."""
    return [f"{job_id}.0.{step}.{number}" for number in range(count)]
