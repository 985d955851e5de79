"""Tests of the bound of what earlier owners may have running unseen."""

import loguru
import pytest

from limpetstream.organisations import unseen
from limpetstream.organisations.tests import builders
from limpetstream.shard import housekeeping, scheduling
from limpetstream.shard.tests import builders as shard_builders
from limpetstream.workflow import messages, state as workflow_state


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


def make_successor(*, unreached=1, **limit_by_name):
    """Return a shard with inherited executors, some of them not reached."""
    shard = builders.make_shard(**limit_by_name)
    shard.earlier_runs_settled = False
    shard.inherited_executors = set(shard.executor_by_id)
    for executor in list(shard.executor_by_id.values())[:unreached]:
        executor.reached = False
    return shard


def inherit(shard, organisation=builders.ACME, **step_fields):
    """Return the tasks of a job that an earlier owner may have started."""
    tasks = builders.make_tasks(shard, organisation, **step_fields)
    shard.earlier_job_ids.add(tasks[0].job.submission.job_id)
    return tasks


def bound(shard):
    return unseen.bounds(shard).get(builders.ACME)


def test_the_bound_is_what_open_tasks_need():
    """Guards against tasks that count although they cannot run unseen."""
    shard = make_successor()
    tasks = inherit(shard, count=5)
    inherit(shard, builders.GLOBEX, count=7)
    builders.make_tasks(shard, count=9)  # Not started by an earlier owner.
    workflow_state.mark_done(tasks[0])
    shard_builders.start_run(shard.executor_by_id["x3"], tasks[1])
    shard.executor_by_id["x3"].unknown_runs = {(tasks[2].name, 1): None}
    shard.executor_by_id["x3"].count_unknown_runs(lambda name: tasks[2])
    assert bound(shard) == (8000, 2000, 0)


@pytest.mark.parametrize(
    ("outcome", "expected"),
    [
        (messages.CANCELLED, (12_000, 3000, 0)),
        (messages.FAILED, (12_000, 3000, 0)),
        (messages.COMPLETED, None),
    ],
)
def test_jobs_that_did_not_complete_may_run_on(outcome, expected):
    """Guards against runs of cancelled jobs that nobody has stopped yet."""
    shard = make_successor()
    job = inherit(shard, count=3)[0].job
    job.occurrence_by_number.clear()  # No progress is stored of final jobs.
    job.outcome = outcome
    assert bound(shard) == expected


@pytest.mark.parametrize("outcome", ["", messages.COMPLETED])
def test_members_of_a_gang_that_is_done_may_run_on(outcome):
    """Guards against members that end later than the first one."""
    shard = make_successor()
    tasks = inherit(shard, count=3, gang=True)
    workflow_state.mark_done_with_gang(tasks[0])
    tasks[0].job.outcome = outcome
    shard_builders.start_run(shard.executor_by_id["x3"], tasks[1])
    assert bound(shard) == (8000, 2000, 0)


def test_a_known_run_of_a_completed_job_does_not_lower_the_bound():
    """Guards against starts beside unseen runs of other jobs.

    A second run of a task that is done may still be listed.
    """
    shard = make_successor()
    inherit(shard, count=2)
    job = inherit(shard)[0].job
    job.occurrence_by_number.clear()  # No progress is stored of final jobs.
    job.outcome = messages.COMPLETED
    task = workflow_state.find_task(job, 0, 0, 0)
    shard.executor_by_id["x3"].unknown_runs = {(task.name, 1): None}
    shard.executor_by_id["x3"].count_unknown_runs(lambda name: task)
    assert bound(shard) == (8000, 2000, 0)


def test_a_job_whose_progress_cannot_be_read_counts_whole():
    """Guards against its runs, which nothing else tells of."""
    shard = make_successor()
    job = builders.make_tasks(shard, count=3)[0].job
    shard.unreadable_job_ids.add(job.submission.job_id)
    job.outcome = messages.FAILED
    assert bound(shard) == (12_000, 3000, 0)


def test_every_occurrence_of_a_job_counts():
    """Guards against runs of occurrences without stored progress."""
    shard = make_successor()
    job = inherit(shard, count=2)[0].job
    job.submission.occurrences = 3
    assert bound(shard) == (24_000, 6000, 0)


def test_the_capacity_of_executors_that_are_not_reached_bounds_it():
    """Guards against starts that wait for runs which have no place."""
    shard = make_successor(unreached=2)
    inherit(shard, count=500)
    assert bound(shard) == (128_000, 500_000, 0)
    shard.executor_by_id["x0"].reached = True
    assert bound(shard) == (64_000, 256_000, 0)
    del shard.executor_by_id["x1"]
    assert bound(shard) == (0, 0, 0)


def test_capacity_does_not_bound_the_processors_of_best_effort_runs():
    """Guards against best-effort runs beyond the processors of an executor."""
    shard = make_successor()
    inherit(shard, count=30)
    inherit(shard, count=20, fills=True)
    assert bound(shard) == (64_000 + 80_000, 50_000, 0)


def test_an_executor_whose_record_cannot_be_read_has_no_known_capacity():
    """Guards against a bound by the capacity of the others alone."""
    shard = make_successor(unreached=0)
    inherit(shard, count=500)
    shard.unreadable_executors.add("x9")
    shard.inherited_executors.add("x9")
    assert bound(shard) == (2_000_000, 500_000, 0)


def test_a_new_owner_starts_what_fits_beside_the_bound():
    """Guards against starts beyond the limit, and against needless waits."""
    shard = make_successor(acme=(20_000, 0, 0))
    inherited = inherit(shard, count=3)
    tasks = builders.make_tasks(shard, count=9)
    scheduling.run_pass(shard)
    assert sum(task.run is not None for task in tasks) == 2
    shard.earlier_runs_settled = True
    shard.clock.monotonic.now += 0.01
    scheduling.run_pass(shard)
    started = [task for task in inherited + tasks if task.run is not None]
    assert len(started) == 5


def test_the_bound_is_not_computed_in_each_pass(monkeypatch):
    """Guards against passes that read all inherited jobs."""
    shard = make_successor(acme=(1, 0, 0))
    inherit(shard)
    calls = []
    bounds = unseen.bounds
    monkeypatch.setattr(
        unseen, "bounds", lambda shard: calls.append(1) or bounds(shard)
    )
    for _ in range(10):
        builders.advance(shard, 0.01)
        scheduling.run_pass(shard)
    assert len(calls) == 1
    builders.advance(shard, unseen.REFRESH_S)
    scheduling.run_pass(shard)
    assert len(calls) == 2


@pytest.mark.parametrize("obstacle", ["run", "unknown run", "unsettled"])
def test_a_submission_is_kept_while_there_may_be_runs(obstacle):
    """Guards against a later owner that cannot tell whose runs they are."""
    scene = shard_builders.JournaledShard()
    shard, executor = scene.shard, scene.shard.executor_by_id["x0"]
    shard.store = scene.store_client
    task = shard_builders.make_tasks(shard, builders.SHORT)[0]
    task.job.submission.organisation = builders.ACME
    task.job.outcome = task.job.visible_outcome = messages.CANCELLED
    if obstacle == "run":
        run = shard_builders.start_run(executor, task)
    elif obstacle == "unknown run":
        executor.unknown_runs = {(task.name, 1): None}
        executor.count_unknown_runs(lambda name: task)
    shard.earlier_runs_settled = obstacle != "unsettled"
    scene.loop.run_until_complete(housekeeping._drop_final_jobs(shard, set()))
    assert task.job.submission.steps
    if obstacle == "run":
        executor.release(run)
    executor.uncount_unknown_runs()
    shard.earlier_runs_settled = True
    scene.loop.run_until_complete(housekeeping._drop_final_jobs(shard, set()))
    assert not task.job.submission.steps
    scene.close()
