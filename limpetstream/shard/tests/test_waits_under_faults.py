"""Tests that each task runs and each executor is used after faults."""

import asyncio
import random

import loguru
import pytest

from limpetstream import errors
from limpetstream.shard import scheduling
from limpetstream.shard.tests import schedules
from limpetstream.workflow import eligibility, messages
from standins import shard_cluster

SCHEDULES = 30
LASTING_SCHEDULES = 10
LASTING_TASKS = 6
# Longer than the longest bound of section 11.8 of design.md that is no outage.
CALM_S = 15.0


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


async def lose_orders(cluster, generator, round_):
    """Lose all starts, or all stops, or both, of every instance for a while.

    Polls are answered all the while.
    """
    kinds = generator.choice([["start"], ["stop"], ["start", "stop"]])
    executor_ids = set(generator.sample(list(cluster.executor_by_id), 2))
    clients = [
        instance.executor_client for instance in cluster.instance_by_member.values()
    ]
    for client in clients:
        for kind in kinds:
            setattr(client, kind, losing(getattr(client, kind), executor_ids))
    await asyncio.sleep(generator.uniform(1.0, 9.0))
    for client in clients:
        for kind in kinds:
            delattr(client, kind)


def losing(method, executor_ids):
    """Return a call that does not reach some executors."""

    async def call(listing, *args, timeout_s):
        if listing.executor_id in executor_ids:
            await asyncio.sleep(timeout_s)
            raise errors.PlatformUnavailable("the call was lost")
        return await method(listing, *args, timeout_s=timeout_s)

    return call


async def replace_executor(cluster, generator, round_):
    """Let an executor leave for good, and another one come."""
    executor_id = generator.choice(list(cluster.executor_by_id))
    executor = cluster.executor_by_id[executor_id]
    executor.cut = True
    for task in list(executor.run_by_task):
        executor._end_run(task, "lapsed")
    cluster.unlist_executor(executor_id)
    del cluster.executor_by_id[executor_id]
    cluster.add_executor(f"n{round_}")


async def unlist_for_a_while(cluster, generator, round_):
    """Let the entry of an executor that goes on be missing for a while."""
    executor = generator.choice(list(cluster.executor_by_id.values()))
    cluster.unlist_executor(executor.listing.executor_id)
    await asyncio.sleep(generator.uniform(0.5, 4.0))
    cluster.list_executor(executor)


FAULTS = [
    *schedules.FAULTS,
    *[lose_orders, replace_executor, unlist_for_a_while] * 3,
]


async def submit_lasting(cluster):
    """Submit a job whose tasks run until it is cancelled."""
    step = messages.Step(
        LASTING_TASKS, cpu_millicores=2000, memory_mb=100, long_running=True
    )
    assert await cluster.submit(schedules.job_id(99), [step], seconds=0)


def running_tasks(cluster):
    """Return the names of the lasting tasks that run."""
    prefix = schedules.job_id(99)
    return {
        name
        for executor in cluster.executor_by_id.values()
        for name in executor.run_by_task
        if name.startswith(prefix)
    }


def unusable_executors(cluster):
    """Return why executors accept no task of the service, by their ids."""
    instance = cluster.instance_by_member[cluster.owner_member()]
    shard = shard_cluster.shard_zero(instance)
    context = scheduling.placement_context(shard, "service", cluster.clock.monotonic())
    found = {}
    for executor_id in cluster.executor_by_id:
        executor = shard.executor_by_id.get(executor_id)
        if executor is None or not eligibility.accepts_new_tasks(executor, context):
            found[executor_id] = executor
    return found


@pytest.mark.parametrize("seed", range(SCHEDULES))
def test_every_task_runs_and_every_executor_is_used_after_faults(seed):
    """Guards against a task without a run, or an executor without tasks.

    Each wait alone may end, and one that begins during another one not.
    """
    generator = random.Random(seed)

    async def scenario(cluster):
        for number in range(3):
            cluster.start(f"m{number}")
        await asyncio.sleep(2)
        await submit_lasting(cluster)
        for round_ in range(5):
            await asyncio.sleep(generator.uniform(0.2, 2.0))
            await generator.choice(FAULTS)(cluster, generator, round_)
            if len(cluster.instance_by_member) < 2:
                cluster.start(f"s{round_}")
        await asyncio.sleep(CALM_S)
        assert len(running_tasks(cluster)) == LASTING_TASKS
        assert not unusable_executors(cluster)

    cluster = schedules.run_scenario(scenario, seed=seed)
    assert not cluster.breaches.found


@pytest.mark.parametrize("seed", range(LASTING_SCHEDULES))
def test_every_task_runs_beside_an_executor_that_takes_no_orders(seed):
    """Guards against tasks that are held by one executor for ever.

    It answers polls, and its starts and stops get lost for as long as it
    lives. The others have capacity for everything.
    """
    generator = random.Random(seed)

    async def scenario(cluster):
        for number in range(2):
            cluster.start(f"m{number}")
        await asyncio.sleep(2)
        deaf, restarted = generator.sample(list(cluster.executor_by_id), 2)
        for instance in cluster.instance_by_member.values():
            client = instance.executor_client
            client.start = losing(client.start, {deaf})
            client.stop = losing(client.stop, {deaf})
        await submit_lasting(cluster)
        await asyncio.sleep(generator.uniform(0.5, 12.0))
        cluster.executor_by_id[restarted].restart()
        await asyncio.sleep(generator.uniform(0.5, 4.0))
        if generator.random() < 0.5:
            await cluster.kill(cluster.owner_member())
        await asyncio.sleep(CALM_S)
        assert len(running_tasks(cluster)) == LASTING_TASKS

    cluster = schedules.run_scenario(scenario, seed=seed)
    assert not cluster.breaches.found
