"""Tests of owners with more accepted tasks than can start soon."""

import asyncio

import hypothesis
import loguru
import pytest
from hypothesis import strategies

from limpetstream.shard import housekeeping, jobs, scheduling
from limpetstream.shard.queueing import backlog
from limpetstream.shard.queueing.tests import crowd_builders
from limpetstream.shard.tests import builders
from limpetstream.workflow import messages, records, state as workflow_state
from standins import virtual_time


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


@pytest.mark.parametrize(
    "submissions",
    [
        [crowd_builders.make_schedule(0)],
        [
            crowd_builders.make_large_job(number)
            for number in range(crowd_builders.LARGE_JOBS)
        ],
    ],
    ids=["due occurrences", "large jobs"],
)
def test_accepted_work_takes_a_bounded_part_of_the_memory(submissions):
    """Guards against owners that end, each in turn, by what was accepted.

    review/12, and KNOWN-RED 87 for large jobs: an owner made an object for
    each task of everything that it had to run at some time.
    """
    shard = crowd_builders.make_shard()
    with crowd_builders.measured_growth() as peaks:
        crowd_builders.load(shard, submissions)
    assert peaks[0] < crowd_builders.MAX_STATE_BYTES
    assert len(shard.waiting_tasks) >= crowd_builders.WIDTH


def test_a_schedule_that_is_behind_holds_up_no_other_job():
    """Guards against due occurrences of one caller that starve the others."""
    shard = crowd_builders.make_shard()
    crowd_builders.load(shard, [crowd_builders.make_schedule(0)])
    crowd_builders.load(shard, [crowd_builders.make_small_job(1)])
    assert crowd_builders.waiting_of(shard, 1) == 1
    ahead = len(shard.waiting_tasks) - 1
    assert ahead <= backlog.MAX_WAITING_OF_SCHEDULE + crowd_builders.WIDTH


@pytest.mark.parametrize(
    "queue, changes, organisation",
    [
        ("desk", {}, ""),
        ("batch", {"cpu_millicores": 10**6}, ""),
        ("batch", {"required_label": "none"}, ""),
        ("batch", {"cpu_millicores": 10**6, "gang": True}, ""),
        ("batch", {}, "other"),
    ],
    ids=["other queue", "too large", "no label", "gang", "other organisation"],
)
def test_large_jobs_that_wait_hold_up_no_job_of_another_kind(
    queue, changes, organisation
):
    """Guards against tasks that cannot start and take all the room."""
    shard = crowd_builders.make_shard()
    large = [crowd_builders.make_large_job(number) for number in range(20)]
    for submission in large:
        submission.steps = [builders.copy_step(submission.steps[0], **changes)]
    crowd_builders.load(shard, large)
    small = crowd_builders.make_small_job(20, queue=queue)
    small.organisation = organisation
    crowd_builders.load(shard, [small])
    for _ in range(40):
        scheduling.run_pass(shard)
        for executor in shard.executor_by_id.values():
            executor.polled_at = shard.clock.monotonic()
            executor.unsent_runs.clear()
            executor.unrecorded_runs.clear()
            for run in list(executor.run_by_task.values()):
                crowd_builders.end_run(shard, executor, run)
    job = shard.job_by_id[crowd_builders.job_id(20)]
    assert job.outcome == messages.COMPLETED


def test_a_cancelled_schedule_leaves_nothing_behind():
    """Guards against a cancel that is slow, or tasks that start after it."""
    shard = crowd_builders.make_shard()
    crowd_builders.load(shard, [crowd_builders.make_schedule(0)])
    job = shard.job_by_id[crowd_builders.job_id(0)]
    existing = len(list(workflow_state.tasks_of(job)))
    assert existing <= backlog.MAX_WAITING_OF_SCHEDULE + crowd_builders.WIDTH
    jobs.finish(shard, job, messages.CANCELLED)
    housekeeping.release_due_occurrences(shard)
    assert not len(shard.waiting_tasks)
    assert not shard.backlog.steps_by_kind
    assert not shard.backlog.count_by_job
    assert not shard.waiting_tasks.count_by_job


def test_a_schedule_that_is_behind_runs_whole_and_is_forgotten():
    """Guards against occurrences that are left out, or kept once finished."""
    occurrences = 60
    shard = crowd_builders.make_shard()
    schedule = crowd_builders.make_schedule(0, occurrences=occurrences)
    crowd_builders.load(shard, [schedule])
    job = shard.job_by_id[schedule.job_id]
    started = set()
    for _ in range(2000):
        for task in list(shard.waiting_tasks)[: crowd_builders.WIDTH]:
            assert task.name not in started
            started.add(task.name)
            run = builders.start_run(shard.executor_by_id["x0"], task)
            shard.waiting_tasks.remove(task)
            crowd_builders.end_run(shard, shard.executor_by_id["x0"], run)
        housekeeping.release_due_occurrences(shard)
        if job.outcome:
            break
    assert job.outcome == messages.COMPLETED
    tasks = occurrences * crowd_builders.STEPS * crowd_builders.WIDTH
    assert len(started) == tasks
    assert not job.occurrence_by_number
    assert job.finished_occurrences == occurrences


def test_stored_progress_of_all_due_occurrences_ends_no_next_owner():
    """Guards against the same at the successor of an owner without a bound.

    Owners of earlier versions began all due occurrences at once.
    """
    schedule = crowd_builders.make_schedule(0)
    progress = records.Progress(
        queue="batch",
        marked=True,
        done_by_step={
            f"{number}.0": [(0, crowd_builders.WIDTH - 1)]
            for number in range(crowd_builders.SCHEDULED)
        },
    )
    shard = crowd_builders.make_shard()
    with crowd_builders.measured_growth() as peaks:
        crowd_builders.load(shard, [schedule], {schedule.job_id: progress})
    assert peaks[0] < crowd_builders.MAX_STATE_BYTES
    assert {task.step_number for task in shard.waiting_tasks} == {1}


def test_a_task_that_is_queued_later_keeps_its_place_by_age():
    """Guards against tasks that lose their wait in the backlog."""
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop)
    crowd_builders.load(
        shard, [crowd_builders.make_large_job(number) for number in range(2)]
    )
    released_at = shard.clock.monotonic()
    first = list(shard.waiting_tasks)
    virtual_time.run(asyncio.sleep(5.0), loop=loop)
    for task in first:
        shard.waiting_tasks.remove(task)
    jobs.queue_more(shard)
    assert len(shard.waiting_tasks)
    assert {task.ready_at for task in shard.waiting_tasks} == {released_at}


@hypothesis.settings(derandomize=True, max_examples=50, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(1, 200), strategies.booleans(), strategies.booleans()
        ),
        min_size=1,
        max_size=12,
    ),
    strategies.integers(1, 40),
)
def test_every_released_task_is_queued_once(rows, bound):
    """Guards against tasks that are skipped or queued twice.

    Rows are counts of tasks, whether they are a gang, and whether some have
    been done before. The bound is that of the waiting tasks of a queue.
    """
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(backlog, "MIN_WAITING_OF_KIND", bound)
        patch.setattr(backlog, "MAX_WAITING_OF_KIND", bound)
        shard = crowd_builders.make_shard()
        expected, queued = set(), []
        for count, gang, has_done in rows:
            step = builders.copy_step(crowd_builders.TASK, count=count, gang=gang)
            tasks = builders.make_tasks(shard, step)
            occurrence = tasks[0].job.occurrence_by_number[0]
            done = tasks[::3] if has_done and not gang else []
            for task in done:
                workflow_state.mark_done(task)
            expected.update(task.name for task in tasks if not task.done)
            jobs.enqueue_released(shard, occurrence)
        while len(shard.waiting_tasks):
            for task in list(shard.waiting_tasks)[:bound]:
                queued.append(task.name)
                shard.waiting_tasks.remove(task)
            jobs.queue_more(shard)
    assert sorted(queued) == sorted(expected)
    assert not shard.backlog.steps_by_kind
    assert not shard.waiting_tasks.count_by_kind


def test_cancelled_jobs_leave_the_backlog():
    """Guards against cancelled jobs that take memory until their turn."""
    shard = crowd_builders.make_shard()
    large = [crowd_builders.make_large_job(number) for number in range(20)]
    crowd_builders.load(shard, large)
    for number in range(1, 20):
        job = shard.job_by_id[crowd_builders.job_id(number)]
        jobs.finish(shard, job, messages.CANCELLED)
    held = [row for rows in shard.backlog.steps_by_kind.values() for row in rows]
    assert len(held) <= 2
    for job in list(shard.job_by_id.values()):
        jobs.finish(shard, job, messages.CANCELLED)
    assert not shard.backlog.steps_by_kind
    assert not shard.backlog.count_by_job


def test_jobs_of_a_queue_come_in_the_order_of_their_acceptance():
    """Guards against an old job whose next step waits for all newer ones."""
    shard = crowd_builders.make_shard()
    large = [crowd_builders.make_large_job(number) for number in range(3)]
    for submission, accepted_ms in zip(large, (3000, 2000, 1000), strict=True):
        submission.accepted_ms = accepted_ms
    crowd_builders.load(shard, large)
    for task in list(shard.waiting_tasks):
        shard.waiting_tasks.remove(task)
    jobs.queue_more(shard)
    assert {task.job.submission.job_id for task in shard.waiting_tasks} == {
        crowd_builders.job_id(2)
    }


def test_many_schedules_that_are_behind_share_the_bound():
    """Guards against a bound for each schedule alone."""
    shard = crowd_builders.make_shard()
    schedules = [
        crowd_builders.make_schedule(number, occurrences=600) for number in range(100)
    ]
    for number, schedule in enumerate(schedules):
        schedule.steps = [
            builders.copy_step(crowd_builders.TASK, count=1, cpu_millicores=number)
        ]
    crowd_builders.load(shard, schedules)
    assert len(shard.waiting_tasks) <= backlog.MAX_WAITING + len(schedules)
    assert len(shard.waiting_tasks.count_by_job) == len(schedules)
