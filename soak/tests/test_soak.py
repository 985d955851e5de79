"""A short soak with fixed seeds, and every seed that ever failed."""

import asyncio
import random

import loguru
import pytest

from soak import _faults, _run

SEEDS = (1, 2)
SECONDS = 10.0

# Each run that failed: seed, seconds of faults, cause.
FAILED = (
    (21, 30.0, "SIGHUP ended a process before its event loop handled it"),
    (26, 30.0, "SIGTERM before the event loop handled it looked like a crash"),
    (27, 30.0, "the same, at three instances after all were killed"),
    (29, 30.0, "the same"),
    (26, 30.0, "an order that waited was sent after its run was given up"),
    (117, 30.0, "two members with stale beliefs hid the owner from a third"),
)


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


def play(second_by_seed):
    """Play seeds at the same time."""

    async def runs():
        return await asyncio.gather(
            *[
                _run.run(seed, seconds=seconds)
                for seed, seconds in second_by_seed.items()
            ]
        )

    return asyncio.run(runs())


def test_promises_hold_under_faults_from_outside():
    """Guards against lost, repeated or falsely refused work."""
    for outcome in play(dict.fromkeys(SEEDS, SECONDS)):
        assert outcome.accepted
        assert outcome.starts
        assert not outcome.findings, outcome


def test_seeds_that_failed_pass():
    """Guards against the return of what the soak has found."""
    for outcome in play({seed: seconds for seed, seconds, _cause in FAILED}):
        assert not outcome.findings, outcome


def test_every_kind_of_fault_is_drawn():
    """Guards against a kind that no seed plays."""
    source = random.Random(0)
    drawn = {source.choice(_faults.ALL) for _ in range(1000)}
    assert drawn == set(_faults.ALL)
