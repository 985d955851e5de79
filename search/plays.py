"""Draws and plays schedules of overlapping faults on virtual time.

What is checked is what executors and callers see: no two runs of a task at
once, no start after an acknowledged end, no start before the preceding steps
are done, no executor beyond its capacity, no accepted job that is lost, and no
start of a job whose every submission was refused.
"""

import asyncio
import dataclasses
import functools
import random
from collections.abc import Callable
from typing import Any

from limpetstream import amounts, errors
from limpetstream.shard import events, names
from limpetstream.store import messages as store_messages
from limpetstream.telemetry import logs
from limpetstream.workflow import messages, records
from search import (
    cancel_faults,
    executor_faults,
    fault_world,
    limit_faults,
    overlapping_faults,
    rare_faults,
    restart_faults,
    schedules,
    standing_tasks,
    stop_faults,
    transport_faults,
)
from standins import (
    cancelled_runs,
    organisation_limits,
    shard_cluster,
    step_executors,
    virtual_time,
)

LIMIT_S = 180.0  # Virtual seconds of a schedule; one that hangs fails.
SETTLE_S = 60.0  # Time after the last fault in which every job has to end.
WARM_UP_S = 2.0
TRIGGER_WAIT_S = 6.0  # A fault whose event does not come is not played.
LOOK_S = 0.25  # Between two looks for tasks that stand still.
FAULTS = (
    overlapping_faults.FAULTS
    | executor_faults.FAULTS
    | rare_faults.FAULTS
    | transport_faults.FAULTS
    | stop_faults.FAULTS
    | cancel_faults.FAULTS
    | restart_faults.FAULTS
    | limit_faults.FAULTS
)


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
        self.steps_by_job: dict[str, list[messages.Step]] = {}
        self.withdraw: Callable[[str, str], bool] = lambda *start: False
        self.is_end_judged: Callable[[str, str], bool] = lambda *end: True
        self.limits = organisation_limits.LimitCheck(self, self._need_of)

    def record_start(self, task: str, executor_id: str) -> None:
        """Record a start; all tasks of earlier steps must have been done."""
        if self.withdraw(task, executor_id):
            return
        super().record_start(task, executor_id)
        job_id, number, _task_number = schedules.split_task(task)
        steps = self.steps_by_job[job_id]
        missing = [
            name
            for earlier in steps[number].after
            for name in schedules.task_names(job_id, earlier, steps[earlier].count)
            if name not in self.done_tasks
        ]
        if missing:
            self.record(f"{task} started on {executor_id} before {missing} were done")

    def _need_of(self, task: str) -> amounts.Amount:
        job_id, number, _task_number = schedules.split_task(task)
        step = self.steps_by_job[job_id][number]
        return step.cpu_millicores, step.memory_mb, step.accelerators

    def record_acknowledged(
        self, task: str, executor_id: str, *, ended_at: float
    ) -> None:
        """Record an acknowledged end, unless it is not judged."""
        if self.is_end_judged(task, executor_id):
            super().record_acknowledged(task, executor_id, ended_at=ended_at)


def play(schedule: schedules.Schedule, *, traced: bool = False) -> Outcome:
    """Play a schedule; it raises nothing that the product does."""
    random.seed(0)  # Back-off with jitter uses it.
    loop = virtual_time.Loop()
    asyncio.set_event_loop(loop)
    trace: list[str] = []
    checks = Checks(loop)

    async def bounded() -> None:
        cluster = _make_cluster(loop, schedule, checks)
        world = fault_world.World(cluster)
        if schedule.limit_by_organisation:
            limit_faults.set_limits(world, schedule.limit_by_organisation)
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
        elif event is events.RUN_ORDERED:
            # Decided on before the journal and other starts let it be sent.
            age_s = (fields["placed_ms_ago"] + 1) / 1000
            checks.limits.note_decision(fields["task"], loop.time() - age_s)

    logs.observers.append(observe)
    try:
        virtual_time.run(bounded(), loop=loop)
    except Exception as error:
        checks.record(f"{type(error).__name__}: {error}")
    finally:
        logs.observers.remove(observe)
    return Outcome(checks.found, checks.starts, trace)


def _make_cluster(
    loop: virtual_time.Loop, schedule: schedules.Schedule, checks: Checks
) -> shard_cluster.ShardCluster:
    cluster = shard_cluster.ShardCluster(
        loop, seed=schedule.seed, executors=0, max_lease_ms=schedule.max_lease_ms
    )
    cluster.breaches = checks
    queues = {job.queue.name: job.queue for job in schedule.jobs}
    if schedule.is_watched:
        cluster.view.configuration = messages.Configuration(1, list(queues.values()))
    return cluster


async def _play(
    world: fault_world.World, schedule: schedules.Schedule, checks: Checks
) -> None:
    world.resets = schedule.resets
    world.former_calls.next_share = schedule.next_share
    world.former_calls.random.seed(f"former calls {schedule.seed}")
    checks.withdraw = world.former_calls.withdraw
    checks.is_end_judged = world.former_calls.is_end_judged
    world.restarts_in_place = schedule.is_watched and schedule.seed % 2 == 0
    if schedule.is_watched:
        world.poll_step_s = 0.0
    for number in range(schedule.executors):
        world.join(is_large=not number % 2)
    for _ in range(schedule.instances):
        world.start()
    for _ in range(schedule.reserves):
        world.start(reserve=True)
    standing = standing_tasks.StandingTasks(
        world.cluster.executor_by_id, checks, world.closed_data_centres
    )
    if schedule.is_watched:
        watching = world.spawn(_watch(world, standing, checks))
    await asyncio.sleep(WARM_UP_S)
    began_at = world.now()
    for fault in schedule.faults:
        world.later(fault.at, functools.partial(_arm, world, fault))
    accepted: dict[str, schedules.Job] = {}
    submitting = [
        world.spawn(
            _submit(world, schedule.seed, number, job, accepted, checks, standing)
        )
        for number, job in enumerate(schedule.jobs)
    ]
    last_at = max([fault.at for fault in schedule.faults], default=0.0)
    await asyncio.sleep(last_at + TRIGGER_WAIT_S)
    await asyncio.gather(*submitting)
    while not world.is_quiet():
        await asyncio.sleep(0.25)
    world.last_change_at = max(world.last_change_at, began_at + last_at)
    await _check_jobs(world, accepted, checks, standing)
    for job_id in sorted(world.cluster.refused_jobs & checks.started_jobs):
        checks.record(f"REFUSED: {job_id} was refused but has run")
    if schedule.is_watched:
        watching.cancel()


async def _watch(
    world: fault_world.World, standing: standing_tasks.StandingTasks, checks: Checks
) -> None:
    """Look for tasks that stand still, and for runs that should not go on."""
    cancelled = cancelled_runs.CancelledRuns(
        checks, max_stop_s=step_executors.STOP_DURATION_S
    )
    while True:
        await asyncio.sleep(LOOK_S)
        for advance in list(checks.advance_by_executor.values()):
            advance()
        standing.look(world.now(), world.calm_since())
        cancelled.look(
            world.cluster.executor_by_id.values(),
            world.now(),
            undisturbed_since=world.undisturbed_since(),
            steady_since=world.steady_since(),
        )


def _arm(world: fault_world.World, fault: schedules.Fault) -> None:
    """Play a fault now, or once its event has come."""
    function, _weight = FAULTS[fault.kind]
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
    job: schedules.Job,
    accepted: dict[str, schedules.Job],
    checks: Checks,
    standing: standing_tasks.StandingTasks,
) -> None:
    """Submit a job; cancel it if the schedule says so."""
    cluster, job_id = world.cluster, f"{number:016x}"
    checks.steps_by_job[job_id] = job.steps
    checks.limits.organisation_by_job[job_id] = job.organisation

    def run_time(task: str) -> float:
        seconds = job.seconds_by_step[schedules.split_task(task)[1]]
        return seconds * random.Random(f"{seed} {task}").uniform(0.6, 1.2)

    began_at = world.now()
    await asyncio.sleep(job.at)
    if job.stored_after_s is not None:
        submission = cluster.make_submission(
            job_id, job.steps, seconds=run_time, queue=job.queue
        )
        world.later(job.stored_after_s, lambda: _store(world, submission))
        await _cancel(world, job_id)
        return
    is_accepted = await cluster.submit(
        job_id,
        job.steps,
        seconds=run_time,
        queue=job.queue,
        max_refusals=job.max_refusals,
        organisation=job.organisation,
    )
    if not is_accepted:
        return
    standing.accept(job_id, job.steps, world.now())
    accepted[job_id] = job
    if job.cancelled_at is not None:
        await asyncio.sleep(max(0.0, began_at + job.cancelled_at - world.now()))
        standing.forget(job_id)
        await _cancel(world, job_id)


def _store(world: fault_world.World, submission: messages.Submission) -> None:
    """Store a job, as an append without an answer that takes effect late."""
    entry = store_messages.Entry(
        submission.job_id, records.encode_submission(submission)
    )
    world.cluster.store.append(names.SUBMISSIONS_TOPIC, 0, [entry], None, None)


async def _cancel(world: fault_world.World, job_id: str) -> None:
    """Cancel a job at random instances until one confirms; eight tries.

    A cancel that was refused each time waits for no answer any more.
    """
    cluster = world.cluster
    cluster.breaches.cancel_asked_at[job_id] = world.now()
    is_told_unknown = False
    for _ in range(8):
        member = cluster.random.choice(list(cluster.instance_by_member))
        api = cluster.instance_by_member[member].job_api
        try:
            await api.cancel(job_id, wait_s=2.0)
        except (errors.NotRun, errors.OutcomeUnknown) as error:
            is_told_unknown |= isinstance(error, errors.OutcomeUnknown)
            await asyncio.sleep(0.5)
        else:
            cluster.breaches.cancelled_at.setdefault(job_id, world.now())
            return
    if not is_told_unknown:
        del cluster.breaches.cancel_asked_at[job_id]


async def _check_jobs(
    world: fault_world.World,
    accepted: dict[str, schedules.Job],
    checks: Checks,
    standing: standing_tasks.StandingTasks,
) -> None:
    """Check that jobs end, and that tasks that last have a run."""
    limit_at = world.last_change_at + SETTLE_S
    for job_id, job in accepted.items():
        left_s = max(1.0, limit_at - world.now())
        if job.lasts() and job_id not in checks.cancelled_at:
            continue
        state = await world.cluster.wait_until_final(job_id, limit_s=left_s)
        is_cancelled = job.cancelled_at is not None and state == "cancelled"
        if state != "completed" and not is_cancelled:
            checks.record(f"LOST: {job_id} is {state}")
            return
    for job_id, job in accepted.items():
        if job.lasts() and job.cancelled_at is None:
            await _check_lasting(world, job_id, job, checks, standing, limit_at)


async def _check_lasting(
    world: fault_world.World,
    job_id: str,
    job: schedules.Job,
    checks: Checks,
    standing: standing_tasks.StandingTasks,
    limit_at: float,
) -> None:
    """Check that each task that lasts has a run, unless it has no room."""
    step = job.steps[0]
    names = schedules.task_names(job_id, 0, step.count)
    while True:
        for advance in checks.advance_by_executor.values():
            advance()
        idle = [name for name in names if not checks.executors_by_task.get(name)]
        if not idle:
            return
        if world.now() > limit_at:
            if standing_tasks.count_places(standing.usable_executors(), step):
                checks.record(f"LOST: {idle} have no run")
            return
        await asyncio.sleep(0.2)


def reduce(schedule: schedules.Schedule, is_red: object) -> schedules.Schedule:
    """Drop faults, then jobs, one by one as long as the schedule stays red.

    Args:
        schedule: schedules.Schedule that is red.
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
