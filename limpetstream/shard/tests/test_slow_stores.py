"""Tests of a store that answers, but slowly."""

import asyncio

import loguru
import pytest

from limpetstream import errors
from limpetstream.shard.tests import schedules

CALLS = ("newest", "owners", "append", "join", "read", "leave")


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


def slow_down(store, answer_s):
    """Let the store answer each call of one instance after a while.

    A call whose time limit is shorter takes effect and gets no answer.
    """
    for name in CALLS:
        setattr(store, name, _slow(getattr(store, name), answer_s))


def _slow(method, answer_s):
    async def call(*args, timeout_s, **fields):
        answer = await method(*args, timeout_s=timeout_s, **fields)
        await asyncio.sleep(min(timeout_s, answer_s))
        if timeout_s < answer_s:
            raise errors.PlatformUnavailable("timed out")
        return answer

    return call


@pytest.mark.parametrize("answer_s", [0.3, 0.6])
def test_a_shard_is_claimed_though_the_store_answers_slowly(answer_s):
    """Guards against calls repeated with a time limit that is never met."""

    async def scenario(cluster):
        for member in ("m0", "m1"):
            slow_down(cluster.start(member).store, answer_s)
        await asyncio.sleep(40)
        assert cluster.owner_member() is not None

    schedules.run_scenario(scenario)
