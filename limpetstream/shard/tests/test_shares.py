"""Tests of when organisations share a service, and of preemption beside it."""

import dataclasses

import loguru
import pytest

from limpetstream.organisations import settings, wait_reasons
from limpetstream.shard import preemption, scheduling, searches, turn_order
from limpetstream.shard.tests import builders
from standins import shard_cluster, virtual_time

WAITED_S = turn_order.BACKLOG_WAIT_S + 0.1
NOT_YET_S = turn_order.SHARE_WAIT_S


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


def make_shard(*, executors=1, names=("desk", "press")):
    """Return a shard whose configuration names organisations of weight 1."""
    shard = builders.make_shard(virtual_time.Loop(), executors=executors)
    shard.view.configuration.organisation_by_name.update(
        {name: settings.Organisation(name) for name in names}
    )
    shard.searches.available = set(shard.executor_by_id)
    return shard


def make_tasks(shard, organisation, count, *, step=builders.SHORT, queue="batch"):
    """Return waiting tasks of as many jobs, each due after the one before."""
    tasks = []
    for _ in range(count):
        task = builders.make_tasks(shard, step, queue=queue)[0]
        task.job.submission.organisation = organisation
        task.job.submission.accepted_ms += len(shard.job_by_id)
        task.ready_at = -WAITED_S
        tasks.append(task)
    shard.waiting_tasks.extend(tasks)
    return tasks


def organisations(tasks):
    """Return the organisations of tasks."""
    return [task.job.submission.organisation for task in tasks]


def test_organisations_take_turns_while_there_is_a_backlog():
    """Guards against shares that never take effect."""
    shard = make_shard()
    tasks = make_tasks(shard, "desk", 3) + make_tasks(shard, "press", 3)
    ordered = turn_order.sort(shard, tasks, 0.0)
    assert organisations(ordered) == ["desk", "press"] * 3


def test_weights_of_the_configuration_count():
    """Guards against equal shares whatever the configuration says."""
    shard = make_shard()
    shard.view.configuration.organisation_by_name["press"].weight = 3.0
    tasks = make_tasks(shard, "desk", 4) + make_tasks(shard, "press", 4)
    ordered = turn_order.sort(shard, tasks, 0.0)
    assert organisations(ordered) == [
        *("desk", "press", "press", "press", "desk"),
        *("press", "desk", "desk"),
    ]


def test_without_organisations_the_order_is_by_due_time():
    """Guards against a changed order where nothing is shared."""
    shard = make_shard(names=())
    tasks = make_tasks(shard, "desk", 3) + make_tasks(shard, "press", 3)
    assert turn_order.sort(shard, tasks, 0.0) == tasks


def test_without_a_backlog_the_order_is_by_due_time():
    """Guards against shares while all work finds room."""
    shard = make_shard()
    tasks = make_tasks(shard, "desk", 3) + make_tasks(shard, "press", 3)
    for task in tasks:
        task.ready_at = -NOT_YET_S
    assert turn_order.sort(shard, tasks, 0.0) == tasks


def test_what_an_organisation_runs_counts():
    """Guards against shares of starts instead of what is running."""
    shard = make_shard()
    for task in make_tasks(shard, "desk", 2):
        shard.waiting_tasks.discard(task)
        builders.start_run(shard.executor_by_id["x0"], task)
    tasks = make_tasks(shard, "desk", 2) + make_tasks(shard, "press", 3)
    ordered = turn_order.sort(shard, tasks, 0.0)
    assert organisations(ordered) == ["press", "press", "desk", "press", "desk"]


def test_long_running_runs_do_not_count():
    """Guards against desk work that waits because its serving runs last."""
    shard = make_shard()
    for task in make_tasks(shard, "desk", 2, step=builders.SERVING):
        shard.waiting_tasks.discard(task)
        builders.start_run(shard.executor_by_id["x0"], task)
    tasks = make_tasks(shard, "desk", 1) + make_tasks(shard, "press", 1)
    assert turn_order.sort(shard, tasks, 0.0) == tasks


def test_tasks_that_fit_nowhere_do_not_cost_turns():
    """Guards against small tasks that starve behind large ones of their owner.

    Eight large tasks of one organisation wait for an idle executor.
    """
    shard = make_shard()
    runs = make_tasks(shard, "other", 9)
    for task in runs:
        builders.start_run(shard.executor_by_id["x0"], task)
    large = builders.copy_step(builders.SHORT, cpu_millicores=64_000)
    blocked = make_tasks(shard, "desk", 8, step=large)
    press, desk = make_tasks(shard, "press", 2), make_tasks(shard, "desk", 2)
    ordered = turn_order.sort(shard, blocked + press + desk, 0.0)
    rest = [task for task in ordered if task not in blocked]
    assert organisations(rest) == ["press", "desk", "press", "desk"]


def test_capacity_of_an_unavailable_executor_is_not_free():
    """Guards against large tasks that count although they fit nowhere."""
    shard = make_shard(executors=2)
    shard.searches.available = {"x0"}
    for task in make_tasks(shard, "other", 9):
        builders.start_run(shard.executor_by_id["x0"], task)
    executors = shard.executor_by_id.values()
    assert turn_order._pool(shard, "service", executors).largest_free[0] == 10_000


def test_the_priority_of_a_queue_comes_first():
    """Guards against shares that delay urgent work of a heavy organisation."""
    shard = make_shard()
    for task in make_tasks(shard, "desk", 5):
        shard.waiting_tasks.discard(task)
        builders.start_run(shard.executor_by_id["x0"], task)
    tasks = make_tasks(shard, "press", 3) + make_tasks(shard, "desk", 3, queue="desk")
    ordered = turn_order.sort(shard, tasks, 0.0)
    assert organisations(ordered) == ["desk"] * 3 + ["press"] * 3


def test_a_pass_gives_freed_capacity_by_shares():
    """Guards against a hot organisation that takes all that ends."""
    shard = make_shard()
    for task in make_tasks(shard, "desk", 7):
        shard.waiting_tasks.discard(task)
        builders.start_run(shard.executor_by_id["x0"], task)
    hot, press = make_tasks(shard, "desk", 50), make_tasks(shard, "press", 3)
    scheduling.run_pass(shard)
    assert [task.run is not None for task in press] == [True] * 3
    assert not any(task.run for task in hot)


def test_short_runs_are_not_stopped_for_a_share():
    """Guards against runs that organisations take from each other.

    An organisation with nothing running waits beside one that has all.
    """
    shard = make_shard()
    executor = shard.executor_by_id["x0"]
    for task in make_tasks(shard, "desk", 10):
        shard.waiting_tasks.discard(task)
        builders.start_run(executor, task)
    for task in make_tasks(shard, "press", 3, queue="desk"):
        task.ready_at = -2 * preemption.SHORT_PREEMPT_AFTER_S
    shard.searches = searches.Searches()
    scheduling.run_pass(shard)
    assert {run.phase for run in executor.run_by_task.values()} == {"working"}


def test_a_backlog_leaves_the_headroom_and_its_tasks_say_why():
    """Guards against tasks of others that wait for the end of a run."""
    names = ("desk", "press", "archive", "mill")
    shard = make_shard(executors=10, names=names)
    shard.usage.change(make_tasks(shard, "desk", 1)[0], 60)
    for executor in shard.executor_by_id.values():
        executor.reserved_millicores = 62_000
    hot, others = make_tasks(shard, "desk", 2), make_tasks(shard, "press", 2)
    step = builders.copy_step(builders.SHORT, cpu_millicores=1500)
    small = make_tasks(shard, "desk", 1, step=step) + make_tasks(
        shard, "mill", 1, step=step
    )
    assert turn_order.is_over_share(shard, hot[0])
    assert not turn_order.is_over_share(shard, small[1])
    assert turn_order.sort(shard, hot + others + small, 0.0) == [*others, small[1]]
    fields = wait_reasons.fields(shard, small[0])
    assert fields["held_by"] == wait_reasons.SHARE


def test_each_service_is_shared_by_itself():
    """Guards against work that waits because of runs of another service.

    One organisation fills a service, and has nothing in the one that both
    have work for.
    """
    shard = make_shard(executors=2)
    other = shard.executor_by_id["x1"]
    other.listing.service = "other"
    queue = dataclasses.replace(shard_cluster.BATCH, name="x", service="other")
    configuration = shard.view.configuration
    shard.view.configuration = dataclasses.replace(
        configuration, queues=[*configuration.queues, queue]
    )
    for task in make_tasks(shard, "desk", 9, queue="x"):
        task.job.submission.service = "other"
        builders.start_run(other, task)
    tasks = make_tasks(shard, "desk", 3) + make_tasks(shard, "press", 3)
    ordered = turn_order.sort(shard, tasks, 0.0)
    assert organisations(ordered) == ["desk", "press"] * 3


def test_organisations_share_what_is_left_for_best_effort_tasks():
    """Guards against best-effort tasks behind the backlog of another one.

    No other task waits, as only memory is short.
    """
    shard = make_shard()
    step = builders.copy_step(builders.SHORT, fills=True)
    hot, press = (make_tasks(shard, name, 3, step=step) for name in ("desk", "press"))
    ordered = turn_order.sort(shard, hot + press, 0.0)
    assert organisations(ordered) == ["desk", "press"] * 3
