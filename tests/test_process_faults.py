"""Faults on real processes, with counts as the only verdict."""

import asyncio

from demo import faults

SECONDS = 17.0
PER_S = 30.0
SEED = 7


def run(name: str, deployment: str, chosen: dict[float, faults.Fault]):
    """Run one scenario."""
    return asyncio.run(
        faults.run(
            name,
            chosen,
            deployment=deployment,
            seconds=SECONDS,
            per_s=PER_S,
            seed=SEED,
        )
    )


def test_kill_pause_and_lost_answers_at_once():
    """Guards I1 to I8 and I11 against kill -9, SIGSTOP past all bounds of the
    rights, and lost answers of the platform, at the same time."""
    outcome = run(
        "test-kill-pause",
        "brightwater",
        {
            2.0: faults.lost_answers(0.2, 10.0),
            4.0: faults.kill(0),
            5.0: faults.pause(1, 6.0),
        },
    )
    assert outcome.breaches == 0, str(outcome.results)


def test_log_outage_with_a_kill_and_a_data_centre_that_leaves():
    """Guards the same invariants against an outage of the log longer than all
    rights, a kill in it, and a data centre that leaves and returns."""
    outcome = run(
        "test-outage-kill",
        "alto-valle",
        {
            2.0: faults.data_centre_out_and_back(4.0),
            4.0: faults.log_outage(7.0),
            6.0: faults.kill(0),
        },
    )
    assert outcome.breaches == 0, str(outcome.results)
