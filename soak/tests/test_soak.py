"""A short soak with fixed seeds, and every seed that ever failed."""

import asyncio
import random

import loguru
import pytest

from soak import _faults, _run

SEEDS = (1, 2)
SECONDS = 12.0

# Seed and seconds of each run that failed, with its cause.
FAILED: dict[int, float] = {}


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


@pytest.mark.parametrize(
    ("seed", "seconds"), [*((seed, SECONDS) for seed in SEEDS), *FAILED.items()]
)
def test_promises_hold_under_faults_from_outside(seed, seconds):
    """Guards against lost, repeated or falsely refused work."""
    outcome = asyncio.run(_run.run(seed, seconds=seconds))
    assert outcome.accepted
    assert outcome.starts
    assert not outcome.findings, outcome.faults


def test_every_kind_of_fault_is_drawn():
    """Guards against a kind that no seed plays."""
    source = random.Random(0)
    drawn = {source.choice(_faults.ALL) for _ in range(1000)}
    assert drawn == set(_faults.ALL)
