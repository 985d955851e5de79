"""Tests that a wait for a run that cannot start, or has ended, is bounded.

Section 11.8 of design.md lists the reasons why a task may have no run.
"""

import loguru
import pytest

from limpetstream.executors import leases, messages as executor_messages
from limpetstream.shard import jobs, placing, stops, victims
from limpetstream.shard.tests import builders
from limpetstream.workflow import (
    checks,
    interference,
    records,
    state as workflow_state,
)
from standins import keyed_store, virtual_time

# The deadline of the last of three tries, and two polls after it.
UNANSWERED_STOP_BOUND_S = 1.2 + leases.LEASE_S / leases.MIN_CLOCK_RATE + 4.0
STANDING_S = 3.0  # Rule LOST: a task that could run waits less than this.


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


@pytest.fixture
def open_scene():
    scenes = []

    def open_one(**options):
        scenes.append(builders.PolledShard(**options))
        return scenes[-1]

    yield open_one
    for scene in scenes:
        scene.close()


def test_a_start_in_doubt_whose_stop_has_no_answer_ends(open_scene):
    """Guards against a task that waits for ever for the stop of a start.

    Polls are answered, starts and stops are not, and neither has arrived. The
    start may still arrive until its deadline.
    """
    scene = open_scene()
    scene.client.unanswered = {("start", "x0"), ("stop", "x0")}
    task = builders.make_tasks(scene.shard, builders.SHORT)[0]
    placing.start_on(scene.shard, scene.executor("x0"), task, 1)
    run = task.run
    scene.advance(leases.LEASE_S + 1.0)
    assert run.phase == workflow_state.STOPPING
    assert task.run is run
    scene.advance(UNANSWERED_STOP_BOUND_S - leases.LEASE_S - 1.0)
    assert run.phase == workflow_state.GONE
    assert task.run is not run
    assert not scene.errors


def test_a_run_whose_stop_has_no_answer_ends_once_it_is_not_listed(open_scene):
    """Guards against a task that waits for a run that was listed before."""
    scene = open_scene()
    task = builders.make_tasks(scene.shard, builders.SHORT)[0]
    scene.client.rows_by_id["x0"] = [
        executor_messages.RunningRow(task.name, 1, "", 50, 0)
    ]
    scene.advance(1.5)
    run = task.run
    scene.client.unanswered = {("stop", "x0")}
    stops.stop_run(scene.shard, scene.executor("x0"), run, "test")
    scene.advance(3.0)
    assert task.run is run
    scene.client.rows_by_id.clear()
    scene.advance(4.5)
    assert task.run is not run


def test_a_task_goes_elsewhere_after_a_start_in_doubt(open_scene):
    """Guards against a task that is started for ever where no start arrives.

    The executor answers polls, so it stays eligible, and it has the most free
    capacity because nothing ever runs there.
    """
    scene = open_scene(executors=2)
    other = scene.executor("x1")
    builders.start_run(other, builders.make_tasks(scene.shard, builders.SHORT)[0])
    for task in other.run_by_task.values():
        row = executor_messages.RunningRow(task.task.name, 1, "", 50, 0)
        scene.client.rows_by_id["x1"] = [row]
    scene.client.unanswered = {("start", "x0")}
    task = builders.make_tasks(scene.shard, builders.SHORT)[0]
    jobs.enqueue(scene.shard, task)
    scene.schedule()
    scene.advance(6.0)
    assert scene.client.starts[:3] == ["x0"] * 3
    assert set(scene.client.starts[3:]) == {"x1"}
    assert not scene.errors


def test_tasks_behind_a_start_in_doubt_go_elsewhere(open_scene):
    """Guards against a wait that grows with the starts on one executor.

    Two starts are sent at once, and each is tried for 1.2 s.
    """
    scene = open_scene(executors=1)
    scene.client.unanswered = {("start", "x0")}
    step = builders.copy_step(builders.SHORT, count=10)
    tasks = builders.make_tasks(scene.shard, step)
    for task in tasks:
        placing.start_on(scene.shard, scene.executor("x0"), task, 1)
    scene.advance(1.5)
    waiting = scene.shard.waiting_tasks
    assert sorted(task.name for task in waiting) == [task.name for task in tasks[2:]]


def test_an_executor_in_doubt_is_tried_again_when_it_is_the_only_one(open_scene):
    """Guards against room that is never used again after a start in doubt."""
    scene = open_scene()
    scene.client.unanswered = {("start", "x0")}
    task = builders.make_tasks(scene.shard, builders.SHORT)[0]
    jobs.enqueue(scene.shard, task)
    scene.schedule()
    scene.advance(1.5)
    scene.client.unanswered.clear()
    scene.advance(4.0)
    assert len(scene.client.starts) > 3
    assert task.run is not None


def test_a_confirmed_stop_without_effect_is_sent_again(open_scene):
    """Guards against a run that is listed for ever after a confirmed stop."""
    scene = open_scene()
    task = builders.make_tasks(scene.shard, builders.SHORT)[0]
    scene.client.rows_by_id["x0"] = [
        executor_messages.RunningRow(task.name, 1, "", 50, 0)
    ]
    scene.advance(1.5)
    stops.stop_run(scene.shard, scene.executor("x0"), task.run, "test")
    scene.advance(10.0)
    assert 3 <= len(scene.client.stops) <= 8


def test_an_unknown_run_that_stays_listed_is_stopped_again(open_scene):
    """Guards against an executor that gets no tasks any more.

    It had confirmed the stop, restarted, and received the start afterwards.
    """
    scene = open_scene()
    row = executor_messages.RunningRow("unknown.0.0.0", 1, "", 50, 0)
    scene.client.rows_by_id["x0"] = [row]
    scene.advance(10.0)
    assert 3 <= len(scene.client.stops) <= 8
    scene.client.rows_by_id.clear()
    scene.advance(1.5)
    assert not scene.executor("x0").unknown_runs


def test_an_unknown_run_has_one_unanswered_stop_at_a_time(open_scene):
    """Guards against stops that grow in number while none is answered."""
    scene = open_scene()
    row = executor_messages.RunningRow("unknown.0.0.0", 1, "", 50, 0)
    scene.client.rows_by_id["x0"] = [row]
    scene.client.unanswered = {("stop", "x0")}
    scene.advance(10.0)
    assert len(scene.client.stops) <= 18


@pytest.mark.parametrize("done", [False, True])
def test_the_progress_of_the_largest_job_fits_into_a_record(done):
    """Guards against a journal that one job stops for all others.

    The store refuses a record that is too large, and the append that holds it
    is repeated for ever.
    """
    shard = builders.make_shard(virtual_time.Loop())
    step = builders.copy_step(builders.SHORT, count=checks.MAX_TASKS)
    tasks = builders.make_tasks(shard, step)
    for task in tasks:
        task.ended_run = task.last_run = 100_001
        task.checkpoint = "c" * 16
        task.done = done
    stored = records.encode_progress(tasks[0].job)
    assert len(stored) < keyed_store.MAX_RECORD_BYTES


def test_the_progress_of_a_long_schedule_fits_into_a_record():
    """Guards against the same for a job that has run very often."""
    shard = builders.make_shard(virtual_time.Loop())
    job = builders.make_tasks(shard, builders.copy_step(builders.SHORT, count=2))[0].job
    job.submission.occurrences = checks.MAX_OCCURRENCES
    for number in range(checks.MAX_OCCURRENCES):
        for task in workflow_state.get_occurrence(job, number).tasks_by_step[0]:
            task.ended_run = task.last_run = 100_001
            task.done = True
    stored = records.encode_progress(job)
    assert len(stored) < keyed_store.MAX_RECORD_BYTES


def test_a_lasting_task_preempts_rather_than_wait_for_one_in_doubt(open_scene):
    """Guards against a lasting task that only tries the executor in doubt.

    It is the only one with free capacity, so no other run gives way.
    """
    scene = open_scene(executors=2)
    step = builders.copy_step(builders.SHORT, cpu_millicores=60_000)
    for task in builders.make_tasks(scene.shard, step):
        builders.start_run(scene.executor("x1"), task)
        row = executor_messages.RunningRow(task.name, 1, "", 50, 0)
        scene.client.rows_by_id["x1"] = [row]
    scene.client.unanswered = {("start", "x0")}
    step = builders.copy_step(builders.SHORT, long_running=True)
    lasting = builders.make_tasks(scene.shard, step)[0]
    jobs.enqueue(scene.shard, lasting)
    scene.schedule()
    scene.advance(12.0)
    assert "x1" in scene.client.stops


def test_a_refused_start_does_not_begin_the_wait_anew(open_scene):
    """Guards against waits that add up until they break the rule LOST.

    Best-effort work waits 1.5 s for a better executor in an idle service. The
    first start is refused, and the wait for the second one began at 0 again.
    """
    scene = open_scene()
    serving = builders.make_tasks(scene.shard, builders.SERVING)[0]
    builders.start_run(scene.executor("x0"), serving)
    row = executor_messages.RunningRow(serving.name, 1, "", 100, 8)
    scene.client.rows_by_id["x0"] = [row]
    scene.shard.interference_model.load(
        {"desk": interference.Estimate(weight_by_image={"press": 0.2})}
    )
    started_at = []
    start = scene.client.start

    async def refuse_first(listing, request, *, timeout_s):
        started_at.append(scene.loop.time())
        if len(started_at) == 1:
            return executor_messages.StartReply(executor_messages.NO_ROOM)
        return await start(listing, request, timeout_s=timeout_s)

    scene.client.start = refuse_first
    scene.schedule()
    jobs.enqueue(scene.shard, builders.make_tasks(scene.shard, builders.BEST_EFFORT)[0])
    queued_at = scene.loop.time()
    scene.advance(4.0)
    assert len(started_at) >= 2
    assert started_at[1] - queued_at < STANDING_S


@pytest.mark.parametrize(
    ("reason", "counts"),
    [
        (executor_messages.NO_ROOM, True),
        (executor_messages.UNWILLING, True),
        (executor_messages.NO_TICKET, False),
        (executor_messages.INVALID, False),
    ],
)
def test_a_refused_lasting_task_has_waited_long(open_scene, reason, counts):
    """Guards against a lasting task that never goes first after refusals.

    If they are about the task itself, it may not preempt others in vain.
    """
    scene = open_scene()

    async def refuse(listing, request, *, timeout_s):
        return executor_messages.StartReply(reason)

    scene.client.start = refuse
    scene.schedule()
    task = builders.make_tasks(scene.shard, builders.SERVING)[0]
    jobs.enqueue(scene.shard, task)
    scene.advance(victims.LONG_RUNNING_MAX_WAIT_S + 0.1)
    assert victims.has_waited_long(scene.shard, task) is counts
