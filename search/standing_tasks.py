"""Finds accepted work that stands still although executors have room for it.

The verdict rests on what callers and executors see: which jobs were accepted,
which tasks run or have ended, and which capacity is free. What an owner logs
or believes does not count.

Source: the users' rule LOST. While nothing is disturbed, a job whose next
task has room twice over may not be without any run for 3 s, unless half of the
service is in use. A task that lasts may not be without a run from 6 s after
its last one, however full the service is. The 4 s before have to be calm.
"""

import dataclasses
import math
from collections.abc import Collection, Iterable, Iterator

from limpetstream.executors import messages as executor_messages
from limpetstream.workflow import messages
from standins import step_executors

CALM_BEFORE_S = 4.0
STANDING_S = 3.0
LASTING_STANDING_S = 6.0  # Since the last run of a task that lasts.
ROOM_FACTOR = 2
MAX_USED_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class _Job:
    """An accepted job; times are those of the loop, in seconds.

    Args:
        steps: Its steps.
        accepted_at: Time at which a caller learned that it was accepted.
        open_steps: Numbers of the steps with tasks whose end is not
            acknowledged.
        standing_since_by_name: Times since which tasks could run and do not,
            by the name of the task; the job's id stands for the job.
    """

    steps: list[messages.Step]
    accepted_at: float
    open_steps: set[int]
    standing_since_by_name: dict[str, float] = dataclasses.field(default_factory=dict)


class StandingTasks:
    """Watches the accepted jobs of one cluster.

    Args:
        executor_by_id: Executors that have not left.
        breaches: What the executors have seen; violations are recorded there.
        closed_data_centres: Data centres that get no new work; may change.
    """

    def __init__(
        self,
        executor_by_id: dict[str, step_executors.Executor],
        breaches: step_executors.Breaches,
        closed_data_centres: Collection[str] = (),
    ) -> None:
        self.job_by_id: dict[str, _Job] = {}
        self._executor_by_id = executor_by_id
        self._breaches = breaches
        self._closed_data_centres = closed_data_centres
        self._reported: set[str] = set()

    def accept(self, job_id: str, steps: list[messages.Step], now: float) -> None:
        """Note that a caller was told that a job is accepted."""
        self.job_by_id[job_id] = _Job(steps, now, set(range(len(steps))))

    def forget(self, job_id: str) -> None:
        """Note that a caller begins to cancel a job, or has seen its end."""
        self.job_by_id.pop(job_id, None)

    def look(self, now: float, calm_since: float) -> None:
        """Check all jobs; has to be called several times a second.

        Args:
            now: Time of the loop, in seconds.
            calm_since: Time since which nothing has been disturbed; infinity
                while a fault is in force.
        """
        usable = self.usable_executors()
        is_half_used = _used_share(usable) >= MAX_USED_SHARE
        counts_from = calm_since + CALM_BEFORE_S
        for job_id, job in list(self.job_by_id.items()):
            standing = dict(self._standing(job_id, job, usable, now, is_half_used))
            since_by_name = job.standing_since_by_name
            for name in since_by_name.keys() - standing.keys():
                del since_by_name[name]
            for name, step in standing.items():
                since = max(since_by_name.setdefault(name, now), counts_from)
                if now - since > STANDING_S:
                    self._report(job_id, name, step, job.accepted_at)

    def usable_executors(self) -> list[step_executors.Executor]:
        """Return the executors that may get new tasks now."""
        return [
            executor
            for executor in self._executor_by_id.values()
            if self._is_usable(executor)
        ]

    def _is_usable(self, executor: step_executors.Executor) -> bool:
        listing = executor.listing
        return (
            not executor.cut
            and listing.state == executor_messages.READY
            and listing.data_centre not in self._closed_data_centres
        )

    def _standing(
        self,
        job_id: str,
        job: _Job,
        usable: list[step_executors.Executor],
        now: float,
        is_half_used: bool,
    ) -> Iterator[tuple[str, messages.Step]]:
        """Yield the names of what could run now and does not."""
        first_ready: tuple[str, messages.Step] | None = None
        open_steps: set[int] = set()
        for number in sorted(job.open_steps):
            step = job.steps[number]
            if any(earlier in open_steps for earlier in step.after):
                open_steps.add(number)
                continue
            open_names = [
                name
                for name in task_names(job_id, number, step.count)
                if name not in self._breaches.done_tasks
                or self._may_be_open(job_id, job.steps, number, name)
            ]
            if not open_names or (step.gang and len(open_names) < step.count):
                self._close(job_id, job, number)
                continue
            open_steps.add(number)
            idle = [
                name
                for name in open_names
                if not self._breaches.executors_by_task.get(name)
            ]
            # What is seen does not show whether an owner has read a lost end.
            lost = self._breaches.lost_ends.intersection(open_names)
            # One member of a gang that is done counts for all of it.
            idle = (
                []
                if step.gang and lost
                else [each for each in idle if each not in lost]
            )
            if not idle or not has_room(usable, step):
                continue
            first_ready = first_ready or (idle[0], step)
            if step.long_running:
                yield from self._standing_lasting(idle, step, job, now)
        if first_ready and not is_half_used and not self._is_running(job_id, job):
            yield job_id, first_ready[1]

    def _is_running(self, job_id: str, job: _Job) -> bool:
        """Return whether any task of a job runs, also one that was done.

        A task runs again if its end was lost with its executor.
        """
        return any(
            self._breaches.executors_by_task.get(name)
            for number, step in enumerate(job.steps)
            for name in task_names(job_id, number, step.count)
        )

    def _close(self, job_id: str, job: _Job, number: int) -> None:
        """Note that a step is done; for good if its ends are acknowledged."""
        names = task_names(job_id, number, job.steps[number].count)
        if self._breaches.acknowledged_done.issuperset(names):
            job.open_steps.discard(number)

    def _may_be_open(
        self, job_id: str, steps: list[messages.Step], number: int, name: str
    ) -> bool:
        """Return whether a task has to run again, as its end may be unknown.

        It is known once a task of a step that follows has been started.
        """
        if name not in self._breaches.lost_ends:
            return False
        return not any(
            later in self._breaches.started_at_by_task
            for follower, step in enumerate(steps)
            if number in step.after
            for later in task_names(job_id, follower, step.count)
        )

    def _standing_lasting(
        self, idle: list[str], step: messages.Step, job: _Job, now: float
    ) -> Iterator[tuple[str, messages.Step]]:
        for name in idle:
            ended_at = self._breaches.ended_at_by_task.get(name, job.accepted_at)
            if now - ended_at > LASTING_STANDING_S - STANDING_S:
                yield name, step

    def _report(
        self, job_id: str, name: str, step: messages.Step, accepted_at: float
    ) -> None:
        if name not in self._reported:
            self._reported.add(name)
            self._breaches.record(
                f"LOST: {name} of {job_id} could run and does not, it needs "
                f"{step.cpu_millicores} millicores and {step.memory_mb} MB; "
                f"accepted at {accepted_at:.3f} s"
            )


def task_names(job_id: str, step: int, count: int) -> list[str]:
    """Return the names of the tasks of a step."""
    return [f"{job_id}.0.{step}.{number}" for number in range(count)]


def has_room(executors: Iterable[step_executors.Executor], step: messages.Step) -> bool:
    """Return whether free capacity suffices twice over for a task of a step.

    For a gang it has to suffice twice over for all members.
    """
    wanted = ROOM_FACTOR * (step.count if step.gang else 1)
    return count_places(executors, step) >= wanted


def count_places(
    executors: Iterable[step_executors.Executor], step: messages.Step
) -> int:
    """Return how many tasks of a step fit beside what runs now."""
    return sum(_places(executor, step) for executor in executors)


def _places(executor: step_executors.Executor, step: messages.Step) -> int:
    """Return how many tasks of a step fit on an executor beside its runs."""
    listing = executor.listing
    if step.required_label and step.required_label not in listing.labels:
        return 0
    used = executor.used()
    capacity = listing.capacity
    places = min(
        _quotient(capacity.cpu_millicores - used.cpu_millicores, step.cpu_millicores),
        _quotient(capacity.memory_mb - used.memory_mb, step.memory_mb),
        _quotient(capacity.accelerators - used.accelerators, step.accelerators),
    )
    if step.max_per_executor:
        running = sum(run.step is step for run in executor.run_by_task.values())
        places = min(places, step.max_per_executor - running)
    return int(min(places, ROOM_FACTOR * max(step.count, 1)))


def _quotient(free: float, needed: float) -> float:
    if not needed:
        return math.inf
    return max(0.0, free // needed)


def _used_share(executors: list[step_executors.Executor]) -> float:
    """Return the share of the processors that is in use."""
    total = sum(each.listing.capacity.cpu_millicores for each in executors)
    return sum(each.used().cpu_millicores for each in executors) / max(1, total)
