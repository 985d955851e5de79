"""Tests that odd records in the journal do not end the owners of a shard."""

import asyncio

import loguru
import pytest

from limpetstream.shard import events, names
from limpetstream.shard.tests import record_builders as builders, schedules
from limpetstream.store import messages as store_messages
from limpetstream.telemetry import logs
from standins import shard_cluster


@pytest.fixture(autouse=True)
def logged():
    """Collect the events that are logged."""
    loguru.logger.remove()
    collected = []

    def observe(event, fields):
        collected.append((event, fields))

    logs.observers.append(observe)
    yield collected
    logs.observers.remove(observe)


def owner_shard(cluster):
    owner = cluster.instance_by_member[cluster.owner_member()]
    return shard_cluster.shard_zero(owner)


@pytest.mark.parametrize("kind", builders.ODD_RECORD_BY_KIND)
def test_owners_serve_a_shard_whose_journal_holds_an_odd_record(kind, logged):
    """Guards against a record of an odd executor that ends every new owner."""

    async def scenario(cluster):
        key = f"{names.EXECUTOR_KEY_PREFIX}odd"
        entry = store_messages.Entry(key, builders.ODD_RECORD_BY_KIND[kind])
        cluster.store.append(names.PROGRESS_TOPIC, 0, [entry], None, None)
        for number, member in enumerate(("m0", "m1")):
            cluster.start(member)
            await asyncio.sleep(4)
            assert cluster.owner_member() == member
            assert "odd" not in owner_shard(cluster).executor_by_id
            name = schedules.job_id(number)
            assert await cluster.submit(name, schedules.steps(8), seconds=1.0)
            assert await cluster.wait_until_final(name, limit_s=6) == "completed"
            await cluster.kill(member)

    cluster = schedules.run_scenario(scenario)
    assert not cluster.breaches.found
    assert events.SHARD_FAILED not in [event for event, _ in logged]
    assert events.ENTRY_UNREADABLE in [event for event, _ in logged]


@pytest.mark.parametrize("kind", builders.ODD_CLAIM_BY_KIND)
def test_a_shard_whose_claim_is_odd_gets_an_owner(kind, logged):
    """Guards against a record in place of the claim that ends every claim."""

    async def scenario(cluster):
        for member in ("m0", "m1", "m2"):
            cluster.start(member)
            await asyncio.sleep(3)
            assert cluster.owner_member() == member
            await cluster.kill(member)
        epoch = cluster.store.partition(names.PROGRESS_TOPIC, 0).epoch
        entry = store_messages.Entry(names.OWNER_KEY, builders.ODD_CLAIM_BY_KIND[kind])
        cluster.store.append(names.PROGRESS_TOPIC, 0, [entry], None, None)
        cluster.start("m3")
        await asyncio.sleep(4)
        assert cluster.owner_member() == "m3"
        assert epoch < owner_shard(cluster).epoch <= 2 * epoch + 1
        name = schedules.job_id(0)
        assert await cluster.submit(name, schedules.steps(8), seconds=1.0)
        assert await cluster.wait_until_final(name, limit_s=6) == "completed"

    assert not schedules.run_scenario(scenario).breaches.found
    assert events.SHARD_FAILED not in [event for event, _ in logged]


@pytest.mark.parametrize("epoch", [1, 2, 3, 4, 5, 8, 9, 1000])
def test_a_claim_finds_the_next_epoch_without_a_record(epoch):
    """Guards against tries that repeat an epoch which the store has seen."""

    async def scenario(cluster):
        cluster.store.append(
            names.PROGRESS_TOPIC,
            0,
            [store_messages.Entry(names.OWNER_KEY, b"{}")],
            store_messages.Writer(names.WRITER, epoch, 0),
            None,
        )
        cluster.start("m0")
        await asyncio.sleep(5)
        assert cluster.owner_member() == "m0"
        assert epoch < owner_shard(cluster).epoch <= 2 * epoch + 1

    schedules.run_scenario(scenario)


@pytest.mark.parametrize(
    "place", ["", "x", "0.0", "0.0.0.0", "0.0.x", "-1.0.0", "0.0.-1", "9" * 5000]
)
def test_owner_serves_a_shard_whose_progress_is_odd(place, logged):
    """Guards against progress of a task that is none and ends every owner."""

    async def scenario(cluster):
        cluster.start("m0")
        await asyncio.sleep(2)
        job_ids = [schedules.job_id(number) for number in range(2)]
        assert await cluster.submit(job_ids[0], schedules.steps(8), seconds=4.0)
        await cluster.kill("m0")
        entry = store_messages.Entry(job_ids[0], builders.progress(place))
        cluster.store.append(names.PROGRESS_TOPIC, 0, [entry], None, None)
        cluster.start("m1")
        await asyncio.sleep(4)
        assert await cluster.submit(job_ids[1], schedules.steps(8), seconds=1.0)
        for job_id in job_ids:
            state = await cluster.wait_until_final(job_id, limit_s=20)
            assert state == "completed"

    assert not schedules.run_scenario(scenario).breaches.found
    assert events.SHARD_FAILED not in [event for event, _ in logged]


@pytest.mark.parametrize("kind", builders.ODD_PROGRESS_BY_KIND)
def test_a_job_whose_progress_is_lost_is_not_started_again(kind, logged):
    """Guards against second runs of tasks that an earlier owner has started.

    Some have ended, and the others run where the new owner reaches nobody.
    """

    async def scenario(cluster):
        cluster.start("m0")
        await asyncio.sleep(2)
        job_ids = [schedules.job_id(number) for number in range(2)]
        assert await cluster.submit(
            job_ids[0], schedules.steps(16, chain=2), seconds=2.0
        )
        await asyncio.sleep(3)
        assert cluster.breaches.acknowledged_done
        assert cluster.breaches.starts > 16
        await cluster.kill("m0")
        odd = builders.ODD_PROGRESS_BY_KIND[kind]
        entry = store_messages.Entry(job_ids[0], odd)
        cluster.store.append(names.PROGRESS_TOPIC, 0, [entry], None, None)
        starts = cluster.breaches.starts
        for member in ("m1", "m2"):
            client = cluster.start(member).executor_client
            client.unreachable_ids.add("x0")
            await asyncio.sleep(4)
            assert await cluster.wait_until_final(job_ids[0], limit_s=6) == "failed"
            await cluster.kill(member)
        assert cluster.breaches.starts == starts
        cluster.start("m3")
        assert await cluster.submit(job_ids[1], schedules.steps(8), seconds=1.0)
        assert await cluster.wait_until_final(job_ids[1], limit_s=20) == "completed"

    assert not schedules.run_scenario(scenario).breaches.found
    assert events.SHARD_FAILED not in [event for event, _ in logged]


def test_owner_serves_a_shard_whose_estimates_are_odd(logged):
    """Guards against stored estimates that end every new owner."""

    async def scenario(cluster):
        for key in (names.ESTIMATES_KEY, schedules.job_id(7)):
            entry = store_messages.Entry(key, builders.NESTED_FIELD)
            cluster.store.append(names.PROGRESS_TOPIC, 0, [entry], None, None)
        cluster.start("m0")
        await asyncio.sleep(4)
        assert cluster.owner_member() == "m0"

    schedules.run_scenario(scenario)
    assert events.SHARD_FAILED not in [event for event, _ in logged]
    assert len([1 for event, _ in logged if event is events.ENTRY_UNREADABLE]) == 2


def test_record_of_an_executor_is_taken_over(logged):
    """Guards against checks that refuse the records of sound executors."""

    async def scenario(cluster):
        cluster.start("m0")
        await asyncio.sleep(2)
        await cluster.kill("m0")
        for executor_id in cluster.executor_by_id:
            cluster.unlist_executor(executor_id)
        cluster.start("m1")
        await asyncio.sleep(4)
        assert set(owner_shard(cluster).executor_by_id) == set(cluster.executor_by_id)

    schedules.run_scenario(scenario)
    assert events.ENTRY_UNREADABLE not in [event for event, _ in logged]
