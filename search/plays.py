"""Draws and plays schedules of overlapping faults on virtual time.

What is checked is what executors and callers see: no two runs of a task at
once, no start after an acknowledged end, no start before the preceding steps
are done, no executor beyond its capacity, and no accepted job that is lost.
"""

import asyncio
import dataclasses
import functools
import random
from typing import Any

from limpetstream import errors
from limpetstream.telemetry import logs
from limpetstream.workflow import messages
from search import fault_world, overlapping_faults
from standins import shard_cluster, step_executors, virtual_time

LIMIT_S = 180.0  # Virtual seconds of a schedule; one that hangs fails.
SETTLE_S = 60.0  # Time after the last fault in which every job has to end.
WARM_UP_S = 2.0
TRIGGER_WAIT_S = 6.0  # A fault whose event does not come is not played.
MEMORY_MB = 100
TRIGGERS = (
    ("SHARD_CLAIMED", 3),
    ("SHARD_RECOVERED", 2),
    ("EARLIER_PROOFS_ENDED", 3),
    ("SHARD_LOCATED", 2),
    ("RUN_ORDERED", 3),
    ("RUN_ENDED", 1),
    ("START_IN_DOUBT", 1),
    ("EXECUTOR_SILENT", 1),
    ("EXECUTOR_REACHED", 1),
    ("EXECUTOR_LAPSED", 2),
    ("EXECUTOR_REPLACED", 1),
    ("OWNERSHIP_UNPROVEN", 2),
    ("JOURNAL_FAILING", 1),
    ("SHARD_RELEASED", 1),
    (fault_world.START_APPLIED, 2),
    (fault_world.END_ACKNOWLEDGED, 2),
    (fault_world.APPEND_CONFIRMED, 2),
)


# They follow events themselves.
CHANGES_OF_OWNER = (
    "replace_owner",
    "restart_after_claim",
    "isolated_after_split",
    "restart_half",
    "long_split",
)


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
        count: Number of tasks of each step.
        seconds_by_step: Run time of the tasks of each step; 0 for tasks that
            last.
        cpu: Processors of a task, in millicores.
        cancelled_at: Seconds after the warm-up at which it is cancelled; None
            if it is not.
    """

    at: float
    count: int
    seconds_by_step: list[float]
    cpu: int
    cancelled_at: float | None = None


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
    """

    seed: int
    executors: int
    instances: int
    reserves: int
    resets: bool
    jobs: list[Job]
    faults: list[Fault]


@dataclasses.dataclass(slots=True)
class Outcome:
    """What was seen in one play.

    Args:
        breaches: Texts of violated guarantees.
        starts: Number of started runs.
        trace: Faults and log lines with their times, if asked for.
    """

    breaches: list[str]
    starts: int
    trace: list[str]


class Checks(step_executors.Breaches):
    """Breaches that also check the order of steps."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.count_by_job: dict[str, int] = {}

    def record_start(self, task: str, executor_id: str) -> None:
        """Record a start; all tasks of the step before must have been done."""
        super().record_start(task, executor_id)
        job_id, step, _number = split_task(task)
        if step == 0:
            return
        missing = [
            name
            for name in task_names(job_id, step - 1, self.count_by_job[job_id])
            if name not in self.done_tasks
        ]
        if missing:
            self.record(f"{task} started on {executor_id} before {missing} were done")


def split_task(task: str) -> tuple[str, int, int]:
    """Return job, step and number of a task by its name."""
    job_id, _occurrence, step, number = task.split(".")
    return job_id, int(step), int(number)


def task_names(job_id: str, step: int, count: int) -> list[str]:
    """Return the names of the tasks of a step."""
    return [f"{job_id}.0.{step}.{number}" for number in range(count)]


def draw(seed: int, first: str = "") -> Schedule:
    """Draw a schedule.

    Args:
        seed: Seed of all draws.
        first: Kind of the first fault; empty for a drawn one.
    """
    generator = random.Random(seed)
    executors = generator.randint(6, 9)
    instances, reserves = generator.choice([(3, 0), (3, 0), (2, 0), (4, 0), (1, 2)])
    return Schedule(
        seed,
        executors,
        instances,
        reserves,
        generator.random() < 0.5,
        _draw_jobs(generator, executors),
        _draw_faults(generator, first),
    )


def _draw_jobs(generator: random.Random, executors: int) -> list[Job]:
    jobs = [Job(0.0, executors + generator.randint(-2, 4), [0.0], 4000)]
    at = 0.0
    while at < 10.0:
        kind = generator.random()
        if kind < 0.55:
            chain = [generator.choice([0.3, 0.6, 1.2]) for _ in range(5)]
            chain[-1] = generator.uniform(5.0, 9.0)
        elif kind < 0.8:
            chain = [generator.uniform(5.0, 12.0)]
        else:
            chain = [generator.uniform(0.3, 2.5) for _ in range(3)]
        cancelled_at = at + generator.uniform(0.5, 8.0)
        jobs.append(
            Job(
                at,
                generator.choice([1, 1, 2, 3]),
                chain,
                generator.choice([2000, 4000, 6000]),
                cancelled_at if generator.random() < 0.12 else None,
            )
        )
        at += generator.uniform(0.2, 1.4)
    return jobs


def _draw_faults(generator: random.Random, first: str) -> list[Fault]:
    """Draw a change of owner and two to six other faults."""
    kind = generator.choice(["replace_owner", "replace_owner", "isolated_successor"])
    functions = overlapping_faults.FAULTS
    weights = [weight for _function, weight in functions.values()]
    others = generator.choices(list(functions), weights, k=generator.randint(2, 6))
    return [_draw_fault(generator, each) for each in (first or kind, *others)]


def _draw_fault(generator: random.Random, kind: str) -> Fault:
    fault = Fault(kind, generator.randrange(2**32), generator.uniform(0.5, 8.0))
    if generator.random() < 0.6 and kind not in CHANGES_OF_OWNER:
        names, weights = zip(*TRIGGERS, strict=True)
        fault.trigger = generator.choices(names, weights)[0]
        fault.skip = generator.choice([0, 0, 0, 1, 2, 5])
        fault.delay_s = generator.choice(
            [0.0, 0.0, generator.uniform(0.0, 0.3), generator.uniform(0.0, 2.5)]
        )
    return fault


def play(schedule: Schedule, *, traced: bool = False) -> Outcome:
    """Play a schedule; it raises nothing that the product does."""
    random.seed(0)  # Back-off with jitter uses it.
    loop = virtual_time.Loop()
    asyncio.set_event_loop(loop)
    trace: list[str] = []
    checks = Checks(loop)

    async def bounded() -> None:
        cluster = _make_cluster(loop, schedule, checks)
        world = fault_world.World(cluster)
        if traced:
            world.trace = trace
        with world.observing():
            async with asyncio.timeout(LIMIT_S):
                await _play(world, schedule, checks)
            for member in list(cluster.instance_by_member):
                await cluster.kill(member)
        for failure in world.failures:
            raise failure

    def observe(event: Any, fields: dict[str, object]) -> None:
        if event.name in ("task-forgotten", "shard-failed"):
            checks.record(f"LOST: {event.name}: {fields}")

    logs.observers.append(observe)
    try:
        virtual_time.run(bounded(), loop=loop)
    except Exception as error:
        checks.record(f"{type(error).__name__}: {error}")
    finally:
        logs.observers.remove(observe)
    return Outcome(checks.found, checks.starts, trace)


def _make_cluster(
    loop: virtual_time.Loop, schedule: Schedule, checks: Checks
) -> shard_cluster.ShardCluster:
    cluster = shard_cluster.ShardCluster(loop, seed=schedule.seed, executors=0)
    cluster.breaches = checks
    for number in range(schedule.executors):
        cluster.add_executor(f"x{number}")
    return cluster


async def _play(world: fault_world.World, schedule: Schedule, checks: Checks) -> None:
    world.resets = schedule.resets
    for _ in range(schedule.instances):
        world.start()
    for _ in range(schedule.reserves):
        world.start(reserve=True)
    await asyncio.sleep(WARM_UP_S)
    began_at = world.now()
    for fault in schedule.faults:
        world.later(fault.at, functools.partial(_arm, world, fault))
    accepted: dict[str, Job] = {}
    submitting = [
        world.spawn(_submit(world, schedule.seed, number, job, accepted, checks))
        for number, job in enumerate(schedule.jobs)
    ]
    last_at = max([fault.at for fault in schedule.faults], default=0.0)
    await asyncio.sleep(last_at + TRIGGER_WAIT_S)
    await asyncio.gather(*submitting)
    while not world.is_quiet():
        await asyncio.sleep(0.25)
    world.last_change_at = max(world.last_change_at, began_at + last_at)
    await _check_jobs(world, accepted, checks)


def _arm(world: fault_world.World, fault: Fault) -> None:
    """Play a fault now, or once its event has come."""
    function, _weight = overlapping_faults.FAULTS[fault.kind]
    generator = random.Random(fault.seed)
    ends_at = world.now() + TRIGGER_WAIT_S
    left = fault.skip

    def act(member: str, executor_id: str) -> None:
        world.note(f"fault {fault}")
        function(world, generator, member, executor_id)

    def react(member: str, executor_id: str) -> bool:
        nonlocal left
        if world.now() > ends_at:
            return True
        if left:
            left -= 1
            return False
        if fault.delay_s:
            world.later(fault.delay_s, lambda: act(member, executor_id))
        else:
            act(member, executor_id)
        return True

    if fault.trigger:
        world.watch(fault.trigger, react)
    else:
        act("", "")


async def _submit(
    world: fault_world.World,
    seed: int,
    number: int,
    job: Job,
    accepted: dict[str, Job],
    checks: Checks,
) -> None:
    """Submit a job; cancel it if the schedule says so."""
    cluster, job_id = world.cluster, f"{number:016x}"
    steps = [
        messages.Step(
            job.count,
            cpu_millicores=job.cpu,
            memory_mb=MEMORY_MB,
            after=(step - 1,) if step else (),
            long_running=not seconds,
        )
        for step, seconds in enumerate(job.seconds_by_step)
    ]
    checks.count_by_job[job_id] = job.count

    def run_time(task: str) -> float:
        seconds = job.seconds_by_step[split_task(task)[1]]
        return seconds * random.Random(f"{seed} {task}").uniform(0.6, 1.2)

    began_at = world.now()
    await asyncio.sleep(job.at)
    if not await cluster.submit(job_id, steps, seconds=run_time):
        return
    accepted[job_id] = job
    if job.cancelled_at is not None:
        await asyncio.sleep(max(0.0, began_at + job.cancelled_at - world.now()))
        if await _cancel(world, job_id):
            checks.cancelled_at[job_id] = world.now()


async def _cancel(world: fault_world.World, job_id: str) -> bool:
    """Cancel a job at random instances until one confirms; eight tries."""
    cluster = world.cluster
    for _ in range(8):
        member = cluster.random.choice(list(cluster.instance_by_member))
        api = cluster.instance_by_member[member].job_api
        try:
            await api.cancel(job_id, wait_s=2.0)
            return True
        except (errors.NotRun, errors.OutcomeUnknown):
            await asyncio.sleep(0.5)
    return False


async def _check_jobs(
    world: fault_world.World, accepted: dict[str, Job], checks: Checks
) -> None:
    """Check that jobs end, and that tasks that last have a run."""
    limit_at = world.last_change_at + SETTLE_S
    for job_id, job in accepted.items():
        left_s = max(1.0, limit_at - world.now())
        if not job.seconds_by_step[0]:
            continue
        state = await world.cluster.wait_until_final(job_id, limit_s=left_s)
        is_cancelled = job.cancelled_at is not None and state == "cancelled"
        if state != "completed" and not is_cancelled:
            checks.record(f"LOST: {job_id} is {state}")
            return
    for job_id, job in accepted.items():
        if not job.seconds_by_step[0]:
            await _check_lasting(world, job_id, job, checks, limit_at)


async def _check_lasting(
    world: fault_world.World,
    job_id: str,
    job: Job,
    checks: Checks,
    limit_at: float,
) -> None:
    names = task_names(job_id, 0, job.count)
    while True:
        for advance in checks.advance_by_executor.values():
            advance()
        idle = [name for name in names if not checks.executors_by_task.get(name)]
        if not idle:
            return
        if world.now() > limit_at:
            checks.record(f"LOST: {idle} have no run")
            return
        await asyncio.sleep(0.2)


def reduce(schedule: Schedule, is_red: object) -> Schedule:
    """Drop faults, then jobs, one by one as long as the schedule stays red.

    Args:
        schedule: Schedule that is red.
        is_red: Returns whether an outcome counts as red.
    """
    for field in ("faults", "jobs"):
        index = 0
        while index < len(getattr(schedule, field)):
            parts = getattr(schedule, field)
            shorter = [*parts[:index], *parts[index + 1 :]]
            candidate = dataclasses.replace(schedule, **{field: shorter})
            if is_red(play(candidate)):
                schedule = candidate
            else:
                index += 1
    return schedule
