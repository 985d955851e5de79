"""Tests of the time that jobs have to settle."""

import asyncio
import time
import types

import pytest

from soak import _callers, _run, _stalls
from standins import step_executors

LIMIT_S = 1.0
STALL_S = 1.5


def make_callers(state_at):
    """Return callers with one accepted job, and what they run on.

    Args:
        state_at: Function that returns the state of the job at a loop time.
    """

    async def call(*args, **fields):
        state = state_at(asyncio.get_running_loop().time())
        body = b'{"state": "%s"}' % state.encode()
        return types.SimpleNamespace(status=200, body=body)

    link = types.SimpleNamespace(port=1)
    cluster = types.SimpleNamespace(
        caller_choices=types.SimpleNamespace(choice=lambda items: items[0]),
        instance_by_name={"m0": types.SimpleNamespace(caller_link=link)},
        client=types.SimpleNamespace(call=call),
        breaches=step_executors.Breaches(asyncio.get_running_loop()),
        findings=[],
    )
    callers = _callers.Callers(cluster)
    job = _callers.Job("0" * 16, 1, is_long_running=False, accepted=True)
    callers.job_by_id[job.job_id] = job
    return cluster, callers


async def wait(callers, *, stalls=()):
    """Wait for the jobs; the process stands still at some times meanwhile."""
    loop = asyncio.get_running_loop()
    for at_s in stalls:
        loop.call_later(at_s, time.sleep, STALL_S)
    async with _stalls.watch() as watch:
        began_at = loop.time()
        await callers.wait_until_settled(watch, limit_s=LIMIT_S)
        return loop.time() - began_at


def test_a_stall_is_no_time_to_settle():
    """Guards against verdicts that depend on the speed of the machine."""

    async def run():
        loop = asyncio.get_running_loop()
        settles_at = loop.time() + 0.2 + STALL_S + 0.5
        cluster, callers = make_callers(
            lambda now: "completed" if now >= settles_at else "running"
        )
        await wait(callers, stalls=[0.2])
        _run._check_final_states(cluster, callers)
        assert not cluster.findings

    asyncio.run(run())


@pytest.mark.parametrize("stalls", [(), (0.2,), (0.2, 2.0)])
def test_a_job_that_never_settles_is_found(stalls):
    """Guards against a clock that stalls slow down or stop."""

    async def run():
        cluster, callers = make_callers(lambda now: "running")
        took_s = await wait(callers, stalls=stalls)
        _run._check_final_states(cluster, callers)
        assert ["has not settled" in finding for finding in cluster.findings] == [True]
        # A poll later at most, and beside load a little more.
        longest_s = LIMIT_S + _callers.SETTLE_POLL_INTERVAL_S
        assert LIMIT_S <= took_s - len(stalls) * STALL_S < longest_s + 0.5

    asyncio.run(run())


def test_a_run_whose_process_hardly_runs_ends(monkeypatch):
    """Guards against a soak without an end on a crowded machine."""
    monkeypatch.setattr(_callers, "MAX_SETTLE_WAIT_S", 2 * LIMIT_S)

    async def run():
        _cluster, callers = make_callers(lambda now: "running")
        watch = types.SimpleNamespace(undisturbed_s=lambda: 0.0)
        began_at = asyncio.get_running_loop().time()
        await callers.wait_until_settled(watch, limit_s=LIMIT_S)
        return asyncio.get_running_loop().time() - began_at

    assert 2 * LIMIT_S <= asyncio.run(run()) < 3 * LIMIT_S + 0.5


def test_the_bounds_stay():
    """Guards against a time to settle that grows unseen."""
    assert _run.SETTLE_TIMEOUT_S == 30.0
    assert _callers.MAX_SETTLE_WAIT_S == 4 * _run.SETTLE_TIMEOUT_S
