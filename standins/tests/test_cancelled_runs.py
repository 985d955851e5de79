"""Tests of the rule on runs that go on after their job was cancelled."""

import math

import pytest

from limpetstream.executors import messages
from standins import cancelled_runs, shard_cluster, step_executors, virtual_time

JOB = "0000000000000001"
TASK = f"{JOB}.0.0.0"
CANCELLED_AT = 10.0
MAX_STOP_S = 0.2
GONE_BY = CANCELLED_AT + cancelled_runs.GONE_S + MAX_STOP_S
BEFORE = -100.0  # Since when nothing is disturbed, unless a test says so.


class Scene:
    """One executor that runs a task of a job."""

    def __init__(self, *, started_at=1.0, is_late=False):
        self.breaches = step_executors.Breaches(virtual_time.Loop())
        self.executor = step_executors.Executor(
            messages.Listing(
                "x0",
                "x0:7000",
                "a",
                "service",
                messages.READY,
                shard_cluster.CAPACITY,
                ("kind", "rack-0"),
            ),
            self.breaches,
            {},
            None,
        )
        run = step_executors.Run(
            1, "", 1000, None, started_at=started_at, is_late=is_late
        )
        self.executor.run_by_task[TASK] = run
        self.judge = cancelled_runs.CancelledRuns(self.breaches, max_stop_s=MAX_STOP_S)

    def is_red_at(self, now, *, undisturbed_since=BEFORE, steady_since=BEFORE):
        self.judge.look(
            [self.executor],
            now,
            undisturbed_since=undisturbed_since,
            steady_since=steady_since,
        )
        return any("UNASKED" in text for text in self.breaches.found)


def test_a_run_has_time_to_be_stopped_after_the_cancel():
    """Guards against a judge that is red too early, or never."""
    scene = Scene()
    scene.breaches.cancelled_at[JOB] = CANCELLED_AT
    assert not scene.is_red_at(GONE_BY - 0.01)
    assert scene.is_red_at(GONE_BY + 0.01)
    assert scene.is_red_at(GONE_BY + 1.0)
    assert len(scene.breaches.found) == 1


def test_a_run_of_a_job_that_nobody_has_cancelled_goes_on():
    """Guards against findings about work that is wanted."""
    assert not Scene().is_red_at(1000.0)


def test_a_disturbance_excuses_the_runs_until_a_stretch_after_it():
    """Guards against a judge that forgets a run once it was excused."""
    scene = Scene()
    scene.breaches.cancelled_at[JOB] = CANCELLED_AT
    ended_at = 30.0
    gone_by = ended_at + cancelled_runs.STABLE_S + cancelled_runs.GONE_S + MAX_STOP_S
    assert not scene.is_red_at(29.0, undisturbed_since=math.inf)
    assert not scene.is_red_at(gone_by - 0.01, undisturbed_since=ended_at)
    assert scene.is_red_at(gone_by + 0.01, undisturbed_since=ended_at)


@pytest.mark.parametrize("is_late", [False, True])
def test_a_start_that_was_carried_out_late_counts_from_itself(is_late):
    """Guards against an excuse for starts that are sent after the cancel."""
    started_at = CANCELLED_AT + 2.0
    scene = Scene(started_at=started_at, is_late=is_late)
    scene.breaches.cancelled_at[JOB] = CANCELLED_AT
    assert scene.is_red_at(GONE_BY + 0.01) is not is_late
    assert scene.is_red_at(GONE_BY + 2.01)


def test_a_cancel_without_an_answer_counts_once_it_is_due():
    """Guards against owners that refuse each cancel, and go on."""
    scene = Scene()
    scene.breaches.cancel_asked_at[JOB] = CANCELLED_AT
    due_at = CANCELLED_AT + cancelled_runs.ACKNOWLEDGEMENT_S
    gone_by = due_at + cancelled_runs.GONE_S + MAX_STOP_S
    assert not scene.is_red_at(due_at - 0.01)
    assert JOB not in scene.breaches.cancelled_at
    assert not scene.is_red_at(gone_by - 0.01)
    assert scene.breaches.cancelled_at[JOB] == due_at
    assert scene.is_red_at(gone_by + 0.01)


def test_a_cancel_is_not_due_while_the_store_is_disturbed():
    """Guards against findings about cancels that nobody could take."""
    scene = Scene()
    scene.breaches.cancel_asked_at[JOB] = CANCELLED_AT
    assert not scene.is_red_at(60.0, steady_since=math.inf)
    assert not scene.is_red_at(62.0, steady_since=60.0)
    assert JOB not in scene.breaches.cancelled_at
