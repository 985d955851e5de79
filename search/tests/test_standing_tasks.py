"""Tests of the rule on work that stands still, on small made scenes."""

import dataclasses
import math

import pytest

from limpetstream.executors import messages as executor_messages
from limpetstream.workflow import messages
from search import standing_tasks
from standins import shard_cluster, step_executors, virtual_time

JOB = "0000000000000001"
OTHER = "0000000000000002"
STEP = messages.Step(1, cpu_millicores=4000, memory_mb=100)
LASTING = dataclasses.replace(STEP, long_running=True)
LOOK_S = 0.25
ACCEPTED_AT = 10.0


class Scene:
    """Executors, and the jobs that are accepted at ``ACCEPTED_AT``."""

    def __init__(self, *steps, executors=2):
        self.loop = virtual_time.Loop()
        self.breaches = step_executors.Breaches(self.loop)
        self.executor_by_id = {}
        self.closed_data_centres = set()
        for number in range(executors):
            self.add_executor(f"x{number}")
        self.standing = standing_tasks.StandingTasks(
            self.executor_by_id, self.breaches, self.closed_data_centres
        )
        self.steps = list(steps)
        self.standing.accept(JOB, self.steps, ACCEPTED_AT)

    def add_executor(self, executor_id):
        listing = executor_messages.Listing(
            executor_id,
            f"{executor_id}:7000",
            "a",
            "service",
            executor_messages.READY,
            shard_cluster.CAPACITY,
            ("kind", "rack-0"),
        )
        self.executor_by_id[executor_id] = step_executors.Executor(
            listing, self.breaches, {}, None
        )

    def change(self, executor_id, **changes):
        executor = self.executor_by_id[executor_id]
        executor.listing = dataclasses.replace(executor.listing, **changes)

    def run(self, name, executor_id="x0", step=None):
        """Let a task run; a task of another job uses its step's capacity."""
        step = step or self.steps[int(name.split(".")[2])]
        run = step_executors.Run(1, "", step.cpu_millicores, None, step=step)
        self.executor_by_id[executor_id].run_by_task[name] = run
        self.breaches.executors_by_task.setdefault(name, set()).add(executor_id)

    def end(self, name, at, *, is_done=True):
        for executor in self.executor_by_id.values():
            executor.run_by_task.pop(name, None)
        self.breaches.executors_by_task.pop(name, None)
        self.breaches.ended_at_by_task[name] = at
        if is_done:
            self.breaches.done_tasks.add(name)

    def red_at(self, until, *, since=ACCEPTED_AT, calm_since=0.0):
        """Look from a time to another; return when the rule is broken."""
        for number in range(int((until - since) / LOOK_S) + 1):
            now = since + number * LOOK_S
            self.standing.look(now, calm_since)
            if self.breaches.found:
                return now
        return None


@pytest.fixture(autouse=True)
def close_loops(monkeypatch):
    """Close the loops of the scenes."""
    loops = []
    make = virtual_time.Loop

    def remember():
        loops.append(make())
        return loops[-1]

    monkeypatch.setattr(virtual_time, "Loop", remember)
    yield
    for loop in loops:
        loop.close()


def test_a_job_without_any_run_is_red_after_three_seconds():
    """Guards against a job that waits in a free service unnoticed."""
    assert Scene(STEP).red_at(20) == ACCEPTED_AT + 3 + LOOK_S


def test_a_job_that_gets_a_run_in_time_is_not_red():
    """Guards against a verdict on a wait that is short enough."""
    scene = Scene(STEP)
    assert scene.red_at(ACCEPTED_AT + 2.75) is None
    scene.run(f"{JOB}.0.0.0")
    assert scene.red_at(30, since=13) is None


def test_a_wait_that_was_interrupted_counts_anew():
    """Guards against two short waits that are added up."""
    scene = Scene(dataclasses.replace(STEP, count=2))
    assert scene.red_at(12) is None
    scene.run(f"{JOB}.0.0.0")
    assert scene.red_at(13, since=12.25) is None
    scene.end(f"{JOB}.0.0.0", 13.25)
    assert scene.red_at(30, since=13.25) == 13.25 + 3 + LOOK_S


def test_a_job_with_one_run_does_not_stand():
    """Guards against a verdict on each task of a job that is at work."""
    scene = Scene(dataclasses.replace(STEP, count=2))
    scene.run(f"{JOB}.0.0.0")
    assert scene.red_at(60) is None


def test_each_task_that_lasts_is_red_six_seconds_after_its_last_run():
    """Guards against a lasting task that is hidden by others of its job."""
    scene = Scene(dataclasses.replace(LASTING, count=2))
    for number in range(2):
        scene.run(f"{JOB}.0.0.{number}")
    scene.end(f"{JOB}.0.0.1", 20.0, is_done=False)
    assert scene.red_at(40, since=20) == pytest.approx(26.25, abs=LOOK_S)


def test_a_task_that_lasts_is_red_however_full_the_service_is():
    """Guards against an excuse that the rule gives to other tasks only."""
    scene = Scene(LASTING, executors=4)
    _use_half(scene, 4)
    assert scene.red_at(30) is not None


def test_no_other_job_is_red_while_half_of_the_service_is_in_use():
    """Guards against a verdict that the rule excludes."""
    scene = Scene(STEP, executors=4)
    _use_half(scene, 4)
    assert scene.red_at(30) is None
    scene.end(f"{OTHER}.0.0.0", 30.0)
    assert scene.red_at(40, since=30) == 33.25


def _use_half(scene, executors):
    half = dataclasses.replace(STEP, cpu_millicores=16_000)
    for number in range(executors // 2):
        scene.run(f"{OTHER}.0.0.{number}", f"x{number}", half)


def test_four_seconds_of_calm_come_before_the_three():
    """Guards against a verdict on a wait beside a disturbance."""
    assert Scene(STEP).red_at(40, calm_since=20.0) == 20 + 4 + 3 + LOOK_S
    assert Scene(STEP).red_at(40, calm_since=math.inf) is None


@pytest.mark.parametrize("lasts", [False, True])
def test_room_has_to_suffice_twice_over(lasts):
    """Guards against a verdict where room is short, or none elsewhere."""
    step = dataclasses.replace(
        STEP, cpu_millicores=100, memory_mb=33_000, long_running=lasts
    )
    assert Scene(step, executors=1).red_at(40) is None
    assert Scene(step, executors=2).red_at(40) is not None


@pytest.mark.parametrize(
    "change",
    [
        {"state": executor_messages.DRAINING},
        {"data_centre": "closed"},
        {"labels": ("other", "rack-0")},
    ],
)
def test_room_on_executors_that_may_not_run_it_does_not_count(change):
    """Guards against room that a task may not use."""
    step = dataclasses.replace(STEP, cpu_millicores=16_000, required_label="kind")
    scene = Scene(step)
    scene.closed_data_centres.add("closed")
    scene.change("x0", **change)
    assert scene.red_at(40) is None
    scene.add_executor("x2")
    assert scene.red_at(80, since=40) == 43.25


def test_room_on_executors_that_are_cut_off_or_gone_does_not_count():
    """Guards against room that nobody reaches."""
    scene = Scene(dataclasses.replace(STEP, cpu_millicores=16_000), executors=3)
    scene.executor_by_id["x0"].cut = True
    del scene.executor_by_id["x1"]
    assert scene.red_at(40) is None
    scene.executor_by_id["x0"].cut = False
    assert scene.red_at(80, since=40) == 43.25


def test_accelerators_have_to_be_free():
    """Guards against room that lacks accelerators."""
    scene = Scene(dataclasses.replace(STEP, accelerators=1), executors=1)
    capacity = dataclasses.replace(shard_cluster.CAPACITY, accelerators=1)
    scene.change("x0", capacity=capacity)
    assert scene.red_at(40) is None
    scene.change("x0", capacity=dataclasses.replace(capacity, accelerators=2))
    assert scene.red_at(80, since=40) == 43.25


def test_a_gang_needs_room_for_all_its_members_twice():
    """Guards against a verdict on a gang that does not fit."""
    gang = messages.Step(2, cpu_millicores=8000, memory_mb=100, gang=True)
    assert Scene(gang, executors=1).red_at(40) is None
    assert Scene(gang, executors=2).red_at(40) is not None


def test_a_spread_limit_leaves_room_only_on_other_executors():
    """Guards against room that a spread limit forbids."""
    step = dataclasses.replace(LASTING, count=3, max_per_executor=1)
    scene = Scene(step, executors=3)
    scene.run(f"{JOB}.0.0.0", "x0")
    scene.run(f"{JOB}.0.0.1", "x1")
    assert scene.red_at(40) is None
    scene.add_executor("x3")
    assert scene.red_at(80, since=40) == 43.25


def test_a_step_waits_for_all_the_steps_before_it():
    """Guards against a verdict on a task whose turn has not come."""
    steps = [STEP, STEP, dataclasses.replace(STEP, after=(0, 1))]
    scene = Scene(*steps)
    scene.run(f"{JOB}.0.0.0")
    scene.run(f"{JOB}.0.1.0")
    scene.end(f"{JOB}.0.0.0", 20.0)
    assert scene.red_at(40, since=20) is None
    scene.end(f"{JOB}.0.1.0", 40.0)
    assert scene.red_at(80, since=40) == 43.25


def test_an_end_that_was_lost_with_its_executor_decides_nothing():
    """Guards against a verdict on a step whose turn may not have come.

    The task may have to run again. Once a task that follows was started, the
    end was known.
    """
    scene = Scene(STEP, dataclasses.replace(STEP, after=(0,)))
    scene.run(f"{JOB}.0.0.0")
    scene.end(f"{JOB}.0.0.0", 20.0)
    scene.breaches.lost_ends.add(f"{JOB}.0.0.0")
    assert scene.red_at(40, since=20) is None
    scene.breaches.started_at_by_task[f"{JOB}.0.1.0"] = 40.0
    assert scene.red_at(80, since=40) == 43.25


def test_a_gang_one_of_whose_ends_was_lost_decides_nothing():
    """Guards against a verdict on the members that were stopped.

    An owner that has read the end stops them, as one member counts for all.
    """
    gang = dataclasses.replace(STEP, count=2, gang=True)
    scene = Scene(gang)
    scene.end(f"{JOB}.0.0.0", 20.0)
    scene.breaches.lost_ends.add(f"{JOB}.0.0.0")
    assert scene.red_at(40, since=20) is None


def test_a_task_that_is_at_work_again_holds_back_the_next_step():
    """Guards against a verdict on a step before a task that runs again."""
    scene = Scene(STEP, dataclasses.replace(STEP, after=(0,)))
    scene.end(f"{JOB}.0.0.0", 20.0)
    scene.standing.look(20.0, 0.0)
    scene.breaches.lost_ends.add(f"{JOB}.0.0.0")
    scene.run(f"{JOB}.0.0.0")
    assert scene.red_at(40, since=20) is None
    scene.end(f"{JOB}.0.0.0", 40.0)
    scene.breaches.lost_ends.clear()
    assert scene.red_at(80, since=40) == 43.25


def test_a_job_that_is_done_or_forgotten_does_not_stand():
    """Guards against a verdict on a job that is over."""
    scene = Scene(STEP)
    scene.end(f"{JOB}.0.0.0", 11.0)
    assert scene.red_at(40) is None
    scene = Scene(STEP)
    scene.standing.forget(JOB)
    assert scene.red_at(40) is None
