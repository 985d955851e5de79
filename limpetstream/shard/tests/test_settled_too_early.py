"""Tests of the time between an earlier owner's last proof and its successor.

All run on virtual time.
"""

import asyncio

import loguru
import msgspec
import pytest

from limpetstream.shard import names
from limpetstream.shard.tests import schedules
from limpetstream.store import messages as store_messages
from limpetstream.workflow import messages
from standins import shard_cluster

EXECUTORS = 3
OCCURRENCES = 400


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


async def start_instances(cluster):
    """Start an owner and two other instances, which it records."""
    cluster.start("m0")
    await asyncio.sleep(2)
    cluster.start("m1")
    cluster.start("m2")
    await asyncio.sleep(5)
    assert cluster.owner_member() == "m0"


async def wait_for_settled_successor(cluster):
    """Return the successor of m0 once it has settled the earlier runs."""
    while True:
        for member in ("m1", "m2"):
            shard = shard_cluster.shard_zero(cluster.instance_by_member[member])
            if shard is not None and shard.earlier_runs_settled:
                return member
        await asyncio.sleep(0.001)


async def submit_frequent_job(cluster):
    """Submit a job of which an occurrence is due every 0.1 s."""
    name = schedules.job_id(0)
    cluster.size_by_spec[name] = (100, 1.5)
    submission = messages.Submission(
        name,
        shard_cluster.QUEUE.name,
        "service",
        name,
        [messages.Step(1, cpu_millicores=100, memory_mb=1)],
        3,
        cluster.clock.wall_ms(),
        first_due_ms=cluster.clock.wall_ms() + 500,
        interval_ms=100,
        occurrences=OCCURRENCES,
    )
    await cluster.instance_by_member["m1"].job_api.submit(submission, wait_s=3.0)
    await asyncio.sleep(2)


@pytest.mark.parametrize("outage_s", [2.5, 3.0, 3.5, 4.0, 4.5, 5.0, 5.5, 6.0])
def test_no_task_runs_twice_after_all_executors_knew_the_successor(outage_s):
    """Guards against an executor that forgets the successor's token at once.

    All recorded executors have answered the successor. One of them restarts,
    and only the earlier owner, whose last proof is still valid, reaches it.
    """

    async def scenario(cluster):
        await start_instances(cluster)
        await submit_frequent_job(cluster)
        cluster.store.down = True
        await asyncio.sleep(outage_s)
        schedules.isolate(cluster, "m0", {"x1"}, one_way=False, has_peers=True)
        cluster.store.down = False
        successor = await wait_for_settled_successor(cluster)
        schedules.isolate(cluster, "m0", {"x1", "x2"}, one_way=False)
        client = cluster.instance_by_member[successor].executor_client
        client.unreachable_ids.add("x0")
        executor = cluster.executor_by_id["x0"]
        executor.cut = True
        executor.restart()
        await asyncio.sleep(0.3)
        executor.cut = False
        cluster.list_executor(executor)
        await asyncio.sleep(6)

    cluster = schedules.run_scenario(scenario, executors=EXECUTORS)
    assert not cluster.breaches.found


def test_executors_whose_records_cannot_be_read_count_as_not_reached():
    """Guards against a successor that takes their runs for ended.

    It cannot tell which executors these records name.
    """

    async def scenario(cluster):
        await start_instances(cluster)
        step = messages.Step(6, cpu_millicores=4000, memory_mb=100, long_running=True)
        assert await cluster.submit(schedules.job_id(0), [step], seconds=0.0)
        await asyncio.sleep(3)
        schedules.isolate(cluster, "m0", {"x0"}, one_way=False)
        for member in ("m1", "m2"):
            client = cluster.instance_by_member[member].executor_client
            client.unreachable_ids |= {"x1", "x2"}
        for executor_id in ("x1", "x2"):
            key = names.EXECUTOR_KEY_PREFIX + executor_id
            value = msgspec.json.encode({"version": 99})
            entry = store_messages.Entry(key, value)
            cluster.store.append(names.PROGRESS_TOPIC, 0, [entry], None, None)
        await asyncio.sleep(12)

    cluster = schedules.run_scenario(scenario, executors=EXECUTORS)
    assert not cluster.breaches.found
