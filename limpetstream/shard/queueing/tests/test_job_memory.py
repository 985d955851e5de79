"""Tests of the bound on the memory that accepted jobs take."""

import asyncio
import itertools

import loguru
import pytest

from limpetstream import errors
from limpetstream.shard import housekeeping, jobs
from limpetstream.shard.queueing import job_memory
from limpetstream.shard.queueing.tests import crowd_builders
from limpetstream.shard.tests import builders, schedules
from limpetstream.workflow import messages, records
from standins import shard_cluster

SHARE_BYTES = 2_000_000
FULL_S = 3.0  # Beyond the reading of submissions and the asking of the owner.


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


def make_job(number, *, steps=64):
    """Return a job that takes much memory, though it has few tasks."""
    step = builders.copy_step(crowd_builders.TASK, count=1, image="i" * 200)
    return messages.Submission(
        crowd_builders.job_id(number), "desk", "service", "x" * 4000, [step] * steps
    )


async def fill(cluster, *, steps, limit):
    """Submit jobs one after the other until one is refused.

    Returns:
        The number of accepted jobs, and the refusal.
    """
    members = itertools.cycle(cluster.instance_by_member.values())
    for number in range(limit):
        submission = make_job(number, steps=steps)
        cluster.size_by_spec[submission.spec] = (10, 0.0)
        try:
            await next(members).job_api.submit(submission, wait_s=3.0)
        except errors.NotRun as error:
            return number, error
        await asyncio.sleep(0.02)
    return limit, None


def owner_shard(cluster):
    member = cluster.owner_member()
    return shard_cluster.shard_zero(cluster.instance_by_member[member])


def test_large_jobs_are_refused_before_the_share_is_used_up():
    """Guards against an owner that ends by what callers were promised.

    Ordinary jobs are accepted beside a crowd of large ones, large ones again
    once the crowd is gone, and no refused job is stored.
    """

    async def scenario(cluster):
        for number in range(3):
            cluster.start(f"m{number}")
        await asyncio.sleep(3.0)
        shard = owner_shard(cluster)
        accepted, refusal = await fill(cluster, steps=64, limit=100)
        assert refusal is not None
        assert refusal.retry_after_s >= job_memory.MIN_RETRY_S
        await asyncio.sleep(FULL_S)
        assert len(shard.job_by_id) == accepted
        assert shard.job_memory.used_bytes < SHARE_BYTES
        small = schedules.job_id(1000)
        assert await cluster.submit(small, schedules.steps(1), seconds=0.1)
        for job in list(shard.job_by_id.values()):
            if not job.outcome:
                jobs.finish(shard, job, messages.CANCELLED)
        await asyncio.sleep(2 * housekeeping.CLEANUP_INTERVAL_S)
        assert shard.job_memory.used_bytes < SHARE_BYTES / 10
        instance = cluster.instance_by_member["m1"]
        with_room = make_job(2000)
        cluster.size_by_spec[with_room.spec] = (10, 0.0)
        try:
            await instance.job_api.submit(with_room, wait_s=3.0)
        except errors.NotRun as error:
            await asyncio.sleep(error.retry_after_s)
            await instance.job_api.submit(with_room, wait_s=3.0)

    schedules.run_scenario(scenario, job_memory_bytes=SHARE_BYTES)


def test_small_jobs_are_refused_only_once_the_share_is_used_up():
    """Guards against a bound that only large jobs are held to."""

    async def scenario(cluster):
        for number in range(2):
            cluster.start(f"m{number}")
        await asyncio.sleep(3.0)
        accepted, refusal = await fill(cluster, steps=1, limit=1000)
        assert refusal is not None
        shard = owner_shard(cluster)
        await asyncio.sleep(FULL_S)
        assert len(shard.job_by_id) == accepted
        assert SHARE_BYTES <= shard.job_memory.used_bytes < 2 * SHARE_BYTES

    schedules.run_scenario(scenario, job_memory_bytes=SHARE_BYTES)


def test_the_next_owner_counts_what_was_accepted_before():
    """Guards against a bound that each change of owner begins anew."""

    async def scenario(cluster):
        for number in range(2):
            cluster.start(f"m{number}")
        await asyncio.sleep(3.0)
        await fill(cluster, steps=64, limit=100)
        await asyncio.sleep(FULL_S)
        used_bytes = owner_shard(cluster).job_memory.used_bytes
        await cluster.kill(cluster.owner_member())
        await asyncio.sleep(6.0)
        assert owner_shard(cluster).job_memory.used_bytes == used_bytes

    schedules.run_scenario(scenario, job_memory_bytes=SHARE_BYTES)


def test_callers_wait_longer_the_longer_jobs_are_refused():
    """Guards against refused callers that all come back at once, in vain."""
    memory = job_memory.JobMemory(1000, used_bytes=600)
    waits = [job_memory.retry_after_s(memory, now) for now in (0, 10, 1000)]
    assert waits == [job_memory.MIN_RETRY_S, 5.0, job_memory.MAX_RETRY_S]
    memory.used_bytes = 400
    assert not job_memory.retry_after_s(memory, 1001)
    memory.used_bytes = 600
    assert job_memory.retry_after_s(memory, 1002) == job_memory.MIN_RETRY_S


@pytest.mark.parametrize("steps", [1, 5, 64])
def test_the_estimate_covers_what_a_job_takes(steps):
    """Guards against jobs that take more memory than is counted for them."""
    count = 300
    shard = crowd_builders.make_shard()
    submissions = [make_job(number, steps=steps) for number in range(count)]
    for number, submission in enumerate(submissions):
        submission.spec = f"{number:04000}"
    with crowd_builders.measured_growth() as peaks:
        crowd_builders.load(shard, submissions)
    tasks_bytes = 800 * len(shard.waiting_tasks)
    assert peaks[0] - tasks_bytes < 1.2 * shard.job_memory.used_bytes
    raw = len(records.encode_submission(submissions[0]))
    assert raw < shard.job_memory.used_bytes / count


def test_no_bound_refuses_nothing():
    """Guards against a division by the share where there is none."""
    memory = job_memory.JobMemory(used_bytes=10**9)
    assert job_memory.used_percent(memory) == 0
    assert not job_memory.retry_after_s(memory, 1.0)
