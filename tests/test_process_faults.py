"""Tests of real processes under faults; only the final counts decide."""

import asyncio

from demo import faults

LOAD_DURATION_S = 17.0
REQUESTS_PER_S = 30.0
SEED = 7


def run(name: str, deployment: str, fault_by_second: dict[float, faults.Fault]):
    """Run one scenario and return its outcome."""
    return asyncio.run(
        faults.run(
            name,
            fault_by_second,
            deployment=deployment,
            seconds=LOAD_DURATION_S,
            per_s=REQUESTS_PER_S,
            seed=SEED,
        )
    )


def test_kill_pause_and_lost_answers_at_once():
    """Guards invariants I1 to I8 and I11 under three faults at once.

    The faults are kill -9, a SIGSTOP that outlasts all rights, and lost
    answers of the platform.
    """
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
    """Guards the same invariants under an outage that outlasts all rights.

    A process is killed during the log outage, and a data centre is taken out
    and brought back.
    """
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
