"""Tests of the guarantees that the simulated executors check."""

import asyncio
import random

from limpetstream.executors import messages
from standins import shard_cluster, step_executors, virtual_time

LEASE_MS = 2000


def run_scenario(scenario):
    loop = virtual_time.Loop()

    async def run():
        breaches = step_executors.Breaches(loop)
        executor = step_executors.Executor(
            messages.Listing("x", "x", "a", "s", "ready", shard_cluster.CAPACITY, ()),
            breaches,
            {"spec": (1000, 1.0)},
            random.Random(0),
        )
        await scenario(executor)
        return breaches.found

    return virtual_time.run(run(), loop=loop)


def start(executor, number):
    deadline_ms = executor.clock_ms() + LEASE_MS
    executor.start(messages.StartRequest("t.0.0.0", number, "spec", deadline_ms, 1))


def test_a_start_after_an_acknowledged_end_is_a_breach():
    """Guards against a stand-in that accepts a repeat of finished work."""

    async def scenario(executor):
        start(executor, 1)
        await asyncio.sleep(1.5)
        executor.poll(1, 1, executor.clock_ms() + LEASE_MS)
        start(executor, 2)

    assert run_scenario(scenario)


def test_an_end_before_the_lease_expired_does_not_count():
    """Guards against a stand-in that is stricter than the platform.

    An owner that could not reach an executor until its lease expired runs the
    work again, and acknowledges the end once it learns of it.
    """

    async def scenario(executor):
        start(executor, 1)
        await asyncio.sleep(3.0)
        executor.poll(1, 1, executor.clock_ms() + LEASE_MS)
        start(executor, 2)

    assert not run_scenario(scenario)


def test_an_end_that_is_acknowledged_after_a_new_start_is_a_breach():
    """Guards against a stand-in that misses a repeat of unacknowledged work.

    An owner that has ignored an end and started the task again acknowledges
    the end later.
    """

    async def scenario(executor):
        start(executor, 1)
        await asyncio.sleep(1.5)
        start(executor, 2)
        executor.poll(1, 1, executor.clock_ms() + LEASE_MS)

    assert run_scenario(scenario)


def test_an_acknowledged_end_is_no_breach():
    """Guards against a stand-in that takes a run for a repeat of itself."""

    async def scenario(executor):
        start(executor, 1)
        await asyncio.sleep(1.5)
        executor.poll(1, 1, executor.clock_ms() + LEASE_MS)

    assert not run_scenario(scenario)


def test_a_lease_is_shortened_to_the_longest_one():
    """Guards against a stand-in whose leases outlast those of the platform.

    A deadline for the clock of the process before a restart can lie far ahead.
    """

    async def scenario(executor):
        start(executor, 1)
        far_ms = executor.clock_ms() + 10 * step_executors.MAX_LEASE_MS
        executor.poll(1, 0, far_ms)
        assert executor.deadline_ms == step_executors.MAX_LEASE_MS

    assert not run_scenario(scenario)
