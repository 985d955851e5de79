"""Runs a short soak test in which organisations share the cluster."""

import asyncio

import loguru

from soak import _run

SEED = 1
SECONDS = 16.0  # Some keys are removed 5 s before its end.


def test_limits_and_keys_hold_under_external_faults():
    """Guards against starts over a limit, and success without a valid key."""
    loguru.logger.remove()
    outcome = asyncio.run(_run.run(SEED, seconds=SECONDS, organisations=True))
    assert not outcome.findings, "\n".join([*outcome.findings, *outcome.organisations])
    answers, starts = outcome.organisations
    assert "unknown 401" in answers
    assert "removed 401" in answers
    assert "present 200" in answers
    assert not starts.startswith("0 ")
