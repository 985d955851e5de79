"""Plays cancels while one owner after the other is stopped."""

import asyncio

import loguru

from soak import planned_stops

SEED = 1
SECONDS = 12.0


def test_no_task_starts_long_after_its_cancel_while_owners_stop_in_turn():
    """Guards against owners that refuse cancels and go on with the jobs.

    Reported as review/6, there with simulated processes.
    """
    loguru.logger.remove()
    outcome = asyncio.run(planned_stops.play(SEED, seconds=SECONDS))
    assert not outcome.findings, outcome
    assert len(set(outcome.owners)) > 2
    assert outcome.cancels and outcome.starts
