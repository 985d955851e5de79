"""Tests that the owner reserves what runs, also when the service is full."""

import asyncio
import dataclasses
import random

import loguru
import pytest

from limpetstream import errors
from limpetstream.shard.tests import schedules
from limpetstream.workflow import messages
from standins import shard_cluster

EXECUTORS = 6
CAPACITY = EXECUTORS * shard_cluster.CAPACITY.cpu_millicores
# The mix of jobs of the soak (``soak/_sizes.py``).
MILLICORES = (500, 1000, 2000, 4000)
LASTING_SHARE = 0.1
CANCEL_SHARE = 0.3  # Three times that of the soak, for runs that must end.
JOBS_PER_S = 4.0
SUBMIT_S = 15.0
ROUNDS = 5
# Longer than the longest bound of section 11.8 of design.md that is no outage.
CALM_S = 15.0
SCHEDULES = 10
FULL_JOBS = 60
SAMPLE_S = 0.1
# Longer than a poll that lists an end, the start that follows and its wait for
# an append; with capacity to spare a task must begin within 3 s (LOST).
MAX_ROOM_S = 1.0
MAX_GAP_S = 6.0  # Between two runs of a lasting task (LOST).
FAULTS = [*schedules.PARTITION_FAULTS, schedules.kill_owners_in_a_row]


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


@dataclasses.dataclass(slots=True)
class Job:
    """One job that was drawn.

    Args:
        job_id: Id of the job.
        steps: Steps of the job.
        seconds: Run time of its tasks; 0 for tasks that last.
        cancelled_after: Seconds after which it is cancelled, or None.
        is_cancelled: Whether its cancelling was acknowledged.
    """

    job_id: str
    steps: list[messages.Step]
    seconds: float
    cancelled_after: float | None
    is_cancelled: bool = False


def draw_job(generator, number, *, is_lasting):
    """Draw a job like those of the soak."""
    count = generator.randint(1, 3 if is_lasting else 6)
    chain = 1 if is_lasting else generator.randint(1, 3)
    cpu = generator.choice(MILLICORES)
    seconds = 0.0 if is_lasting else generator.uniform(0.1, 1.5)
    steps = [
        messages.Step(
            count,
            cpu_millicores=cpu,
            memory_mb=50,
            estimate_ms=int(seconds * 1000),
            after=(step - 1,) if step else (),
            long_running=is_lasting,
        )
        for step in range(chain)
    ]
    is_cancelled = generator.random() < CANCEL_SHARE
    after = generator.uniform(0.0, 3.0) if is_cancelled else None
    return Job(schedules.job_id(number), steps, seconds, after)


async def submit(cluster, job, accepted):
    """Submit a job and cancel it if that was drawn."""
    if not await cluster.submit(job.job_id, job.steps, seconds=job.seconds):
        return
    accepted.append(job)
    if job.cancelled_after is None:
        return
    await asyncio.sleep(job.cancelled_after)
    for _ in range(8):
        member = cluster.random.choice(list(cluster.instance_by_member))
        try:
            await cluster.instance_by_member[member].job_api.cancel(
                job.job_id, wait_s=3.0
            )
            job.is_cancelled = True
            return
        except (errors.NotRun, errors.OutcomeUnknown):
            await asyncio.sleep(1.0)


async def submit_all(cluster, generator, accepted, *, limit):
    """Submit jobs for a while; lasting tasks reserve ``limit`` at most."""
    lasting = 0
    async with asyncio.TaskGroup() as task_group:
        for number in range(int(SUBMIT_S * JOBS_PER_S)):
            is_lasting = generator.random() < LASTING_SHARE
            job = draw_job(generator, number, is_lasting=is_lasting)
            step = job.steps[0]
            if is_lasting and lasting + step.cpu_millicores * step.count > limit:
                continue
            lasting += is_lasting * step.cpu_millicores * step.count
            task_group.create_task(submit(cluster, job, accepted))
            await asyncio.sleep(generator.expovariate(JOBS_PER_S))


def differences(cluster):
    """Return what the owner holds for runs and what runs, where they differ.

    The result holds pairs by executor id; a run is its task and number.
    """
    owner = cluster.instance_by_member[cluster.owner_member()]
    shard = shard_cluster.shard_zero(owner)
    found = {}
    for executor_id, executor in cluster.executor_by_id.items():
        executor.advance()
        real = {(name, run.number) for name, run in executor.run_by_task.items()}
        real_cpu = sum(run.cpu for run in executor.run_by_task.values())
        tracked = shard.executor_by_id.get(executor_id)
        held = {
            (name, run.number)
            for name, run in (tracked.run_by_task.items() if tracked else ())
        }
        held_cpu = tracked.reserved_millicores if tracked else 0
        if (real, real_cpu) != (held, held_cpu):
            found[executor_id] = (real_cpu, real - held, held_cpu, held - real)
    return found


def stray_runs(cluster, accepted):
    """Return the runs of jobs that have ended."""
    ended = {job.job_id for job in accepted if job.seconds or job.is_cancelled}
    return [
        name
        for executor in cluster.executor_by_id.values()
        for name in executor.run_by_task
        if name.partition(".")[0] in ended
    ]


def idle_tasks(cluster, accepted):
    """Return the lasting tasks without a run, of jobs that go on."""
    return [
        name
        for job in accepted
        if not job.seconds and job.cancelled_after is None
        for name in (f"{job.job_id}.0.0.{index}" for index in range(job.steps[0].count))
        if not cluster.breaches.executors_by_task.get(name)
    ]


async def play(cluster, seed, *, limit, rounds=ROUNDS):
    """Play jobs beside faults, then calm; check what is left."""
    generator = random.Random(seed)
    for number in range(3):
        cluster.start(f"m{number}")
    await asyncio.sleep(2)
    accepted = []
    submitting = asyncio.create_task(
        submit_all(cluster, random.Random(seed), accepted, limit=limit)
    )
    for round_ in range(rounds):
        await asyncio.sleep(generator.uniform(0.2, 3.0))
        await generator.choice(FAULTS)(cluster, generator, round_)
        if len(cluster.instance_by_member) < 2:
            cluster.start(f"s{round_}")
    await submitting
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    for job in accepted:
        if job.seconds:
            state = await cluster.wait_until_final(job.job_id, limit_s=40)
            assert state in messages.FINAL_STATES, (job, state)
    await asyncio.sleep(max(0.0, began_at + CALM_S - loop.time()))
    assert not differences(cluster)
    assert not stray_runs(cluster, accepted)
    assert not idle_tasks(cluster, accepted)


@pytest.mark.parametrize("seed", range(SCHEDULES))
def test_the_owner_reserves_what_runs_after_faults(seed):
    """Guards against capacity that is held for runs that do not exist."""

    async def scenario(cluster):
        await play(cluster, seed, limit=0.6 * CAPACITY)

    cluster = schedules.run_scenario(scenario, seed=seed, executors=EXECUTORS)
    assert not cluster.breaches.found


class RoomWatch:
    """Notes how long tasks wait although an executor has room for them.

    ``longest_room_s`` is the longest time for which the smallest waiting task
    fitted somewhere, ``longest_gap_s`` the longest time between two runs of a
    lasting task.
    """

    def __init__(self, cluster, accepted):
        self.longest_room_s = self.longest_gap_s = 0.0
        self._cluster = cluster
        self._accepted = accepted
        self._room_since = None

    async def run(self):
        """Look until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self._look(loop.time())
            await asyncio.sleep(SAMPLE_S)

    def _look(self, now):
        owner = self._cluster.instance_by_member[self._cluster.owner_member()]
        shard = shard_cluster.shard_zero(owner)
        smallest = min(
            (task.step.cpu_millicores for task in shard.waiting_tasks), default=CAPACITY
        )
        free = []
        for executor in self._cluster.executor_by_id.values():
            executor.advance()
            used = sum(run.cpu for run in executor.run_by_task.values())
            free.append(executor.listing.capacity.cpu_millicores - used)
        if max(free) < smallest:
            self._room_since = None
        elif self._room_since is None:
            self._room_since = now
        else:
            self.longest_room_s = max(self.longest_room_s, now - self._room_since)
        for name in idle_tasks(self._cluster, self._accepted):
            ended_at = self._cluster.breaches.ended_at_by_task.get(name, now)
            self.longest_gap_s = max(self.longest_gap_s, now - ended_at)


async def fill(cluster, generator, accepted, *, share):
    """Submit lasting tasks that reserve a share of the service."""
    left = share * CAPACITY
    number = 0
    while left >= max(MILLICORES):
        job = draw_job(generator, number, is_lasting=True)
        step = job.steps[0]
        if step.cpu_millicores * step.count <= left:
            left -= step.cpu_millicores * step.count
            job.cancelled_after = None
            await submit(cluster, job, accepted)
        number += 1


@pytest.mark.parametrize("share", [0.6, 0.85])
@pytest.mark.parametrize("seed", [9, 23])
def test_tasks_use_the_room_that_lasting_tasks_leave(seed, share):
    """Guards against tasks that wait beside free processors in a full service.

    All short jobs of the soak's mix come at once, as after a long fault.
    """

    async def scenario(cluster):
        generator = random.Random(seed)
        cluster.start("m0")
        await asyncio.sleep(2)
        accepted = []
        await fill(cluster, generator, accepted, share=share)
        await asyncio.sleep(2)
        watch = RoomWatch(cluster, accepted)
        watching = asyncio.create_task(watch.run())
        for number in range(FULL_JOBS):
            job = draw_job(generator, 1000 + number, is_lasting=False)
            job.cancelled_after = None
            await submit(cluster, job, accepted)
        for job in accepted:
            if job.seconds:
                state = await cluster.wait_until_final(job.job_id, limit_s=100)
                assert state == "completed", job
        watching.cancel()
        assert watch.longest_room_s <= MAX_ROOM_S
        assert watch.longest_gap_s <= MAX_GAP_S

    cluster = schedules.run_scenario(scenario, seed=seed, executors=EXECUTORS)
    assert not cluster.breaches.found
