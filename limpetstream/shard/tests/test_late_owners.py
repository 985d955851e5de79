"""Tests of requests to an owner that is short of processor time."""

import asyncio

import loguru
import pytest

from limpetstream import errors
from limpetstream.shard import job_api
from limpetstream.shard.tests import schedules

JOB_ID = schedules.job_id(7)
WAIT_S = 3.0  # The users' callers wait for so long.


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


async def start(cluster):
    """Start instances and a job; return the owner's name and another's API."""
    for number in range(3):
        cluster.start(f"m{number}")
    await asyncio.sleep(4)
    assert await cluster.submit(JOB_ID, schedules.steps(4), seconds=60.0)
    owner = cluster.owner_member()
    other = next(each for each in cluster.instance_by_member if each != owner)
    return owner, cluster.instance_by_member[other].job_api


def make_late(cluster, member, seconds, *, silent_calls=0):
    """Delay the answers of a member; return the list of calls to it.

    The first ``silent_calls`` get none.
    """
    deliver, calls = cluster.deliver_to_peer, []

    async def deliver_late(to, request, *, timeout_s):
        if to != member:
            return await deliver(to, request, timeout_s=timeout_s)
        calls.append(request.kind)
        if len(calls) <= silent_calls:
            await asyncio.sleep(timeout_s)
            raise errors.PeerUnreachable("no answer")
        began_at = asyncio.get_running_loop().time()
        reply = await deliver(to, request, timeout_s=timeout_s)
        await asyncio.sleep(min(seconds, timeout_s))
        if asyncio.get_running_loop().time() - began_at > timeout_s:
            raise errors.PeerUnreachable("the answer is late")
        return reply

    cluster.deliver_to_peer = deliver_late
    return calls


@pytest.mark.parametrize("late_s", [0.6, 1.2, 1.9])
def test_a_cancel_is_answered_though_the_owner_is_late(late_s):
    """Guards against cancels that a late owner takes and nobody acknowledges.

    Each further copy of a request makes such an owner later.
    """

    async def scenario(cluster):
        owner, api = await start(cluster)
        calls = make_late(cluster, owner, late_s)
        assert await api.cancel(JOB_ID, wait_s=WAIT_S)
        assert 1 <= len(calls) <= job_api.MAX_COPIES
        assert await api.job_state(JOB_ID, wait_s=WAIT_S) == "cancelled"

    schedules.run_scenario(scenario)


def test_a_silent_connection_to_the_owner_costs_one_more_copy():
    """Guards against a request that waits for a connection that is silent."""

    async def scenario(cluster):
        owner, api = await start(cluster)
        calls = make_late(cluster, owner, 0.0, silent_calls=1)
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        assert await api.cancel(JOB_ID, wait_s=WAIT_S)
        assert len(calls) == 2
        assert loop.time() - began_at < 2 * job_api.PEER_TIMEOUT_S

    schedules.run_scenario(scenario)


def test_a_request_is_taken_to_the_next_owner_while_the_one_before_is_silent():
    """Guards against a wait for an owner that owns the shard no more."""

    async def scenario(cluster):
        owner, api = await start(cluster)
        make_late(cluster, owner, 0.0, silent_calls=100)
        cancelling = asyncio.create_task(api.cancel(JOB_ID, wait_s=20.0))
        await asyncio.sleep(0.1)
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        await cluster.kill(owner)
        assert await cancelling
        assert loop.time() - began_at < 8.0

    schedules.run_scenario(scenario)


def test_a_request_ends_in_time_though_the_owner_never_answers():
    """Guards against a caller that waits beyond its own time limit."""

    async def scenario(cluster):
        owner, api = await start(cluster)
        make_late(cluster, owner, 0.0, silent_calls=100)
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        with pytest.raises(errors.OutcomeUnknown):
            await api.cancel(JOB_ID, wait_s=WAIT_S)
        assert loop.time() - began_at < WAIT_S

    schedules.run_scenario(scenario)
