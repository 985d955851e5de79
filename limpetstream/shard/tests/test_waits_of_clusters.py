"""Tests that the waits of whole clusters of instances do end.

Like those of ``test_waits_end``, each belongs to a row of section 11.8 of
design.md.
"""

import asyncio
import collections

import loguru
import pytest

from limpetstream import errors
from limpetstream.executors import messages as executor_messages
from limpetstream.shard import events, names, ownership, scheduling
from limpetstream.shard.tests import schedules
from limpetstream.telemetry import logs


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


def run_listing_scenario(change, restore):
    """Return the starts after the entries of all executors were restored.

    ``change`` and ``restore`` are called with the cluster and an executor.
    """
    starts = []

    async def scenario(cluster):
        cluster.start("m0")
        await asyncio.sleep(2)
        for executor in cluster.executor_by_id.values():
            change(cluster, executor)
        await asyncio.sleep(1)
        job_id = schedules.job_id(1)
        assert await cluster.submit(job_id, schedules.steps(), seconds=0.5)
        await asyncio.sleep(2)
        assert cluster.breaches.starts == 0
        for executor in cluster.executor_by_id.values():
            restore(cluster, executor)
        await asyncio.sleep(1)
        starts.append(cluster.breaches.starts)

    assert not schedules.run_scenario(scenario).breaches.found
    return starts[0]


def test_executors_that_are_listed_again_get_work():
    """Guards against an executor whose entry was missing for a while."""
    assert run_listing_scenario(
        lambda cluster, executor: cluster.unlist_executor(executor.listing.executor_id),
        lambda cluster, executor: cluster.list_executor(executor),
    )


@pytest.mark.parametrize(
    ("field", "away", "back"),
    [
        ("state", executor_messages.DRAINING, executor_messages.READY),
        ("service", "other", "service"),
        ("data_centre", "closed", "a"),
    ],
)
def test_executors_whose_entry_allows_tasks_again_get_work(field, away, back):
    """Guards against an executor that an earlier entry shuts out."""

    def change(cluster, executor, value=away):
        cluster.view.closed_data_centres = frozenset({"closed"})
        setattr(executor.listing, field, value)
        cluster.list_executor(executor)

    assert run_listing_scenario(
        change, lambda cluster, executor: change(cluster, executor, back)
    )


def test_a_shard_is_loaded_once_the_store_answers():
    """Guards against an owner that fails, or waits, after a failed load."""
    failed = []

    def observe(event, fields):
        if event is events.SHARD_FAILED:
            failed.append(fields)

    async def scenario(cluster):
        cluster.start("m0")
        await asyncio.sleep(2)
        job_id = schedules.job_id(1)
        assert await cluster.submit(job_id, schedules.steps(), seconds=1.0)
        await cluster.kill("m0")
        instance = cluster.start("m1")
        newest = instance.store.newest
        calls = collections.Counter()

        async def sometimes(topic, partition, *, timeout_s):
            calls[topic] += 1
            if calls[topic] <= 2:
                await asyncio.sleep(timeout_s)
                raise errors.PlatformUnavailable("no answer")
            return await newest(topic, partition, timeout_s=timeout_s)

        instance.store.newest = sometimes
        assert await cluster.wait_until_final(job_id, limit_s=15) == "completed"

    logs.observers.append(observe)
    try:
        schedules.run_scenario(scenario)
    finally:
        logs.observers.remove(observe)
    assert not failed


def test_an_accepted_job_is_read_without_a_question():
    """Guards against a job that starts only when a caller asks for it."""

    async def scenario(cluster):
        cluster.start("m0")
        await asyncio.sleep(2)
        job_id = schedules.job_id(1)
        assert await cluster.submit(job_id, schedules.steps(), seconds=1.0)
        await asyncio.sleep(1)

    assert schedules.run_scenario(scenario).breaches.starts == 4


def test_a_shard_that_failed_is_claimed_again(monkeypatch):
    """Guards against a shard that nobody serves after a failure."""
    run_pass = scheduling.run_pass
    failures = []

    def fail_once(shard):
        if shard.waiting_tasks and not failures:
            failures.append(shard.epoch)
            raise RuntimeError("a fault of the program")
        run_pass(shard)

    monkeypatch.setattr(scheduling, "run_pass", fail_once)

    async def scenario(cluster):
        cluster.start("m0")
        await asyncio.sleep(2)
        job_id = schedules.job_id(1)
        assert await cluster.submit(job_id, schedules.steps(), seconds=1.0)
        assert await cluster.wait_until_final(job_id, limit_s=10) == "completed"

    assert not schedules.run_scenario(scenario).breaches.found
    assert failures


@pytest.mark.parametrize("has_claimed", [True, False], ids=["owner", "claimant"])
def test_a_shard_that_its_member_cannot_write_gets_another_owner(has_claimed):
    """Guards against a member that keeps a shard which it cannot serve.

    The store answers its renewals of the membership, and refuses its appends.
    """

    async def scenario(cluster):
        instance = cluster.start("m0")
        append = instance.store.append

        async def refused(topic, partition, entries, **fields):
            if topic == names.PROGRESS_TOPIC:
                raise errors.PlatformUnavailable("refused", not_applied=True)
            return await append(topic, partition, entries, **fields)

        if has_claimed:
            await asyncio.sleep(3)
            assert cluster.owner_member() == "m0"
        instance.store.append = refused
        await asyncio.sleep(1)
        cluster.start("m1")
        job_id = schedules.job_id(1)
        assert await cluster.submit(job_id, schedules.steps(), seconds=0.5)
        await asyncio.sleep(ownership.STALLED_S)
        assert await cluster.wait_until_final(job_id, limit_s=12) == "completed"
        assert cluster.owner_member() == "m1"

    assert not schedules.run_scenario(scenario).breaches.found
