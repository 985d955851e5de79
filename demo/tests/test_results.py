"""Tests of the result table and the pass criteria of the demonstration."""

from typing import Any

import pytest

from demo import desk_load, plan, results


def make_request(
    number: int, outcome: str, *, idempotent: bool = True
) -> desk_load.SentRequest:
    """Return a request of the caller ``till`` with an outcome."""
    return desk_load.SentRequest(
        f"till-{number}", "till", idempotent, b"", outcome, latency_ms=9.0
    )


def make_observations(**changes: Any) -> results.Observations:
    """Return what is observed after a run without faults."""
    values: dict[str, Any] = {
        "breaches": dict.fromkeys(
            (
                "over_capacity",
                "two_places",
                "done_twice",
                "started_after_finish",
                "started_while_out",
            ),
            0,
        ),
        "totals": {"finished": 2, "stopped": 1},
        "tasks": {
            "j/0": {"job": "j", "finished": 1, "active": []},
            "j/1": {"job": "j", "finished": 0, "active": ["w1"]},
        },
        "stats": {
            "breaches": {"over_slots": 0, "over_connections": 0, "after_leave": 0}
        },
        "runs": {"till-0": 1, "till/till-1": 2},
        "accounts": {"till": {"till-0": "answered", "till-1": "answered"}},
        "stopped_entry": "entry-4",
        "planned_stop_status": 0,
    }
    return results.Observations(**{**values, **changes})


REQUESTS = [
    make_request(0, "answered", idempotent=False),
    make_request(1, "answered"),
    make_request(2, "no-reply"),
]
JOBS = [plan.Job("planning", "weekly-plan", 0.0, tasks=2, id="j")]


def test_run_without_faults_passes() -> None:
    """Guards against failing a run because of allowed repetitions."""
    evaluated = results.evaluate(REQUESTS, JOBS, make_observations())
    assert evaluated.passed
    table = results.render(evaluated, title="brightwater")
    assert "requests answered           2" in table
    assert "requests unknown            1" in table


@pytest.mark.parametrize(
    "name",
    [
        "over_capacity",
        "two_places",
        "done_twice",
        "started_after_finish",
        "started_while_out",
    ],
)
def test_each_breach_of_the_platform_fails(name: str) -> None:
    """Guards against a counter that the pass criteria ignore."""
    observations = make_observations()
    observations.breaches[name] = 1
    assert not results.evaluate(REQUESTS, JOBS, observations).passed


@pytest.mark.parametrize("name", ["over_slots", "over_connections", "after_leave"])
def test_each_breach_of_a_backend_server_fails(name: str) -> None:
    """Guards against a counter that the pass criteria ignore."""
    observations = make_observations()
    observations.stats["breaches"][name] = 1
    assert not results.evaluate(REQUESTS, JOBS, observations).passed


@pytest.mark.parametrize(
    "changes, lost",
    [
        ({"accounts": {"till": {"till-0": "answered"}}}, {"missing in accounts": 1}),
        (
            {"accounts": {"till": {"till-0": "not-run", "till-1": "answered"}}},
            {"wrong in accounts": 1},
        ),
        (
            {"tasks": {"j/0": {"job": "j", "finished": 1, "active": []}}},
            {"tasks": 1},
        ),
        ({"tasks": {}}, {"tasks": 2}),
    ],
)
def test_lost_work_is_found(changes: dict[str, Any], lost: dict[str, int]) -> None:
    """Guards against ignoring lost tasks and wrong accounts."""
    evaluated = results.evaluate(REQUESTS, JOBS, make_observations(**changes))
    assert {name: count for name, count in evaluated.lost.items() if count} == lost
    assert not evaluated.passed


@pytest.mark.parametrize("exit_status", [None, 1, -9])
def test_planned_stop_must_be_graceful(exit_status: int | None) -> None:
    """Guards against a planned stop that fails or cuts requests off (I9)."""
    observations = make_observations(planned_stop_status=exit_status)
    assert not results.evaluate(REQUESTS, JOBS, observations).passed
    request = make_request(1, "answered")
    request.cut_off_by.append("entry-4")
    assert not results.evaluate([request], JOBS, make_observations()).passed
    request.cut_off_by = ["entry-1"]
    assert results.evaluate([request], JOBS, make_observations()).passed


def test_non_idempotent_request_run_twice_is_found() -> None:
    """Guards against counting runs of a request per executor only (I7)."""
    observations = make_observations(runs={"till-0": 1, "till/till-0": 1})
    evaluated = results.evaluate(REQUESTS, JOBS, observations)
    assert evaluated.done_twice["non-idempotent requests"] == 1


def test_refused_request_that_was_run_is_found() -> None:
    """Guards against a "not run" reply for a request that ran (I6)."""
    refused = [make_request(0, "not-run")]
    evaluated = results.evaluate(refused, [], make_observations())
    assert evaluated.refused_but_run == 1
    assert not evaluated.passed
