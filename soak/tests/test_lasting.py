"""Tests of the rule for lasting tasks, with made-up timelines."""

import asyncio
import math

import pytest

from soak import _lasting

STEP_S = 0.1


def play(*, until, since=0.0, runs=(), without_room=(), disturbances=()):
    """Return the times of the findings for one task that is owed from 0 s on.

    Args:
        until: End of the timeline in seconds.
        since: Time at which the last run ended, before the timeline.
        runs: Begin and end of each of its runs.
        without_room: Begin and end of each span without room for it.
        disturbances: Begin and end of each disturbance.
    """
    known_disturbances = _lasting.Disturbances()
    checker = _lasting.Checker(known_disturbances)
    found_at = []
    for step in range(round(until / STEP_S) + 1):
        now = step * STEP_S
        if is_within(now, disturbances):
            known_disturbances.begin()
            known_disturbances.end(now)
        waiting = []
        if not is_within(now, runs):
            ended = max([end for _, end in runs if end <= now], default=since)
            has_room = not is_within(now, without_room)
            waiting.append(_lasting.WaitingTask("task", ended, has_room))
        checker.observe(now, waiting)
        if len(checker.found) > len(found_at):
            found_at.append(now)
    return found_at


def is_within(now, spans):
    """Return whether a time lies in one of the spans."""
    return any(begin <= now < end for begin, end in spans)


@pytest.mark.parametrize(
    ("timeline", "expected"),
    [
        # 7 s of calm, its last 3 s without a run, 6 s after the last run.
        ({"disturbances": [(0.0, 5.0)], "until": 20.0}, [12.0]),
        ({"runs": [(0.0, 10.0)], "until": 30.0}, [16.0]),
        ({"without_room": [(0.0, 20.0)], "until": 30.0}, [23.0]),
        ({"disturbances": [(0.0, 2.0), (8.0, 9.0)], "until": 20.0}, [16.0]),
        ({"runs": [(0.0, 10.0), (18.0, 20.0)], "until": 30.0}, [16.0, 26.0]),
    ],
)
def test_a_lasting_task_that_does_not_run_again_is_found(timeline, expected):
    """Guards against a soak that passes over lasting tasks without a run."""
    assert play(**timeline) == pytest.approx(expected, abs=STEP_S * 1.5)


@pytest.mark.parametrize(
    "timeline",
    [
        {"disturbances": [(0.0, 5.0), (11.8, 12.5), (19.0, 25.0)], "until": 25.0},
        {"runs": [(0.0, 10.0), (15.8, 40.0)], "until": 40.0},
        {"without_room": [(0.0, 9.0), (11.8, 14.0)], "until": 16.8},
        {"runs": [(9.0, 9.1), (14.9, 15.0)], "since": 4.0, "until": 20.0},
    ],
)
def test_a_lasting_task_that_may_wait_is_not_found(timeline):
    """Guards against findings that the rule of the platform does not make."""
    assert play(**timeline) == []


def test_overlapping_disturbances_end_with_the_last_one():
    """Guards against calm that begins while another fault is still active."""

    async def run():
        loop = asyncio.get_running_loop()
        disturbances = _lasting.Disturbances()
        assert disturbances.calm_s(loop.time()) == math.inf
        with disturbances.active():
            with disturbances.active():
                pass
            assert disturbances.calm_s(loop.time() + 10.0) == 0.0
        assert 9.0 < disturbances.calm_s(loop.time() + 10.0) <= 10.1

    asyncio.run(run())
