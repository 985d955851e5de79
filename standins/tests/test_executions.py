"""Tests that the progress of attempts is independent of the polling rate."""

import math

import hypothesis
from hypothesis import strategies

from limpetstream.platform import messages
from standins import executions, faults

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, max_examples=80)


def make_worker(runs: list[tuple[float, float, int]]) -> executions.Worker:
    """Return a worker with attempts of (run time, cores, lease)."""
    worker = executions.Worker("w1", "gl-erie", "r1", 64.0, 250.0)
    for number, (run_s, cores, lease_ms) in enumerate(runs):
        name = f"j/{number}/1"
        start = messages.Start(
            name, f"j/{number}", "j", "c", cores, 1.0, 0, run_s, None, lease_ms
        )
        execution = executions.Execution(
            start, "running", lease_until_ms=lease_ms, finish_work_s=run_s
        )
        worker.execution_by_attempt[name] = execution
        worker.active_by_attempt[name] = execution
    return worker


RUNS = strategies.lists(
    strategies.tuples(
        strategies.floats(0.1, 20.0),
        strategies.floats(1.0, 32.0),
        strategies.integers(1000, 30_000),
    ),
    min_size=1,
    max_size=5,
)
STEPS = strategies.lists(strategies.floats(0.001, 5.0), max_size=12)


@SETTINGS
@hypothesis.given(RUNS, STEPS)
def test_many_small_steps_end_like_one_large_step(
    runs: list[tuple[float, float, int]], steps: list[float]
) -> None:
    """Guards against progress that depends on when a client calls."""
    switches = faults.Faults(slowdown_by_pair={"*|*": 0.7})
    often, once = make_worker(runs), make_worker(runs)
    finished: list[str] = []
    now = 0.0
    for step in steps:
        now += step
        finished += often.advance(now, switches)
    assert finished == once.advance(now, switches)
    for name, execution in once.execution_by_attempt.items():
        other = often.execution_by_attempt[name]
        assert (other.state, other.reason) == (execution.state, execution.reason)
        assert math.isclose(other.work_done_s, execution.work_done_s, abs_tol=1e-5)


@SETTINGS
@hypothesis.given(RUNS, strategies.floats(0.0, 60.0))
def test_no_attempt_works_past_its_lease(
    runs: list[tuple[float, float, int]], until: float
) -> None:
    """Guards against work after the lease has expired or the work is done."""
    worker = make_worker(runs)
    worker.advance(until, faults.Faults())
    for execution in worker.execution_by_attempt.values():
        assert execution.work_done_s <= execution.lease_until_ms / 1000 + 1e-5
        assert execution.work_done_s <= execution.finish_work_s + 1e-5
        if execution.active:
            assert execution.lease_until_ms > until * 1000 - 1e-2
