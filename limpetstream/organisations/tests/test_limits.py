"""Tests of the tasks that limits hold back in a scheduling pass."""

import loguru
import pytest

from limpetstream.organisations import claims, limits
from limpetstream.organisations.tests import builders
from limpetstream.shard import (
    owner_load,
    owner_reports,
    placing,
    preemption,
    relocation,
    scheduling,
    turn_order,
    victims,
    wait_reports,
)
from limpetstream.shard.tests import builders as shard_builders
from limpetstream.workflow import messages, state as workflow_state, wait_reasons

LIMIT = (10_000, 0, 0)  # Room for two short tasks.


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


def run_pass(shard):
    builders.advance(shard, 0.01)
    scheduling.run_pass(shard)


def running(tasks):
    return sum(task.run is not None for task in tasks)


def hold(shard, executor_id, task):
    """Let a task run on an executor."""
    shard.waiting_tasks.discard(task)
    return shard_builders.start_run(shard.executor_by_id[executor_id], task)


@pytest.mark.parametrize(
    ("limit", "step_fields", "expected"),
    [
        (LIMIT, {}, 2),
        ((0, 3500, 0), {}, 3),
        ((0, 0, 0), {}, 8),
        (LIMIT, {"fills": True}, 2),
        (LIMIT, {"long_running": True}, 2),
        ((3000, 0, 0), {}, 0),
        ((8000, 0, 0), {}, 2),
    ],
)
def test_a_pass_starts_what_the_limit_has_room_for(limit, step_fields, expected):
    """Guards against starts beyond the limit of any resource or kind."""
    shard = builders.make_shard(acme=limit)
    tasks = builders.make_tasks(shard, count=8, **step_fields)
    others = builders.make_tasks(shard, builders.GLOBEX, count=8)
    for _ in range(3):
        run_pass(shard)
    assert running(tasks) == expected
    assert running(others) == 8
    assert builders.has_exact_usage(shard)


def test_a_task_that_needs_nothing_of_a_used_up_resource_starts():
    """Guards against a limit that holds back what it does not concern."""
    shard = builders.make_shard(acme=(0, 0, 1))
    hold(shard, "x0", builders.make_tasks(shard, accelerators=2)[0])
    tasks = builders.make_tasks(shard)
    run_pass(shard)
    assert running(tasks) == 1


@pytest.mark.parametrize("resource", range(3))
def test_zero_is_no_limit(resource):
    """Guards against a resource that nobody may use."""
    limit = [9000, 9000, 9]
    limit[resource] = 0
    shard = builders.make_shard(acme=tuple(limit))
    fields = ("cpu_millicores", "memory_mb", "accelerators")
    task = builders.make_tasks(shard, **{fields[resource]: 10_000})[0]
    assert limits.allows(shard, task)


def test_a_gang_starts_whole_or_not_at_all():
    """Guards against a gang whose last members exceed the limit."""
    shard = builders.make_shard(acme=LIMIT)
    gang = builders.make_tasks(shard, count=3, gang=True)
    small = builders.make_tasks(shard, count=2, gang=True)
    run_pass(shard)
    assert (running(gang), running(small)) == (0, 2)


def test_a_lowered_limit_stops_only_new_starts():
    """Guards against running work that a lowered limit ends."""
    shard = builders.make_shard(acme=LIMIT)
    tasks = builders.make_tasks(shard, count=8)
    run_pass(shard)
    shard.view.configuration = builders.make_configuration(acme=(4000, 0, 0))
    run_pass(shard)
    assert [task.run.phase for task in tasks if task.run] == ["starting"] * 2
    shard.view.configuration = builders.make_configuration(globex=LIMIT)
    run_pass(shard)
    assert running(tasks) == 8


def test_tasks_that_are_held_back_cost_a_pass_nothing(monkeypatch):
    """Guards against held-back tasks that use up the work of a pass."""
    shard = builders.make_shard(acme=(1, 0, 0))
    builders.make_tasks(shard, count=500)
    builders.make_tasks(shard, count=3, gang=True)
    builders.make_tasks(shard, count=3, fills=True)
    visits = shard_builders.count_visits(shard, monkeypatch)
    sorted_counts = []
    sort = turn_order.sort

    def recorded(shard, due, now):
        sorted_counts.append(len(due))
        return sort(shard, due, now)

    monkeypatch.setattr(turn_order, "sort", recorded)
    run_pass(shard)
    assert sorted_counts == [0]
    assert visits.executors == visits.runs == 0
    assert not shard.changed.is_set()


def test_tasks_held_back_within_a_pass_have_no_turn(monkeypatch):
    """Guards against searches for tasks whose room this pass has used up."""
    shard = builders.make_shard(acme=(4000, 0, 0))
    tasks = builders.make_tasks(shard, count=100)
    turns = []
    monkeypatch.setattr(owner_load, "note_turn", lambda *args: turns.append(args))
    place = placing.place
    tried = []

    def recorded(shard, task, *args, **options):
        tried.append(task)
        return place(shard, task, *args, **options)

    monkeypatch.setattr(placing, "place", recorded)
    run_pass(shard)
    assert running(tasks) == len(turns) == len(tried) == 1
    assert not shard.changed.is_set()


def fill(shard, cpu_millicores=12_800):
    """Fill all executors with short work without an organisation."""
    for executor_id in shard.executor_by_id:
        step = {"count": 5, "cpu_millicores": cpu_millicores}
        for task in builders.make_tasks(shard, "", **step):
            hold(shard, executor_id, task)


@pytest.mark.parametrize("long_running", [False, True])
def test_a_held_back_task_preempts_nothing(long_running):
    """Guards against runs of others that stop for a task without room."""
    shard = builders.make_shard(acme=(3000, 0, 0))
    fill(shard)
    step_fields = {"long_running": long_running, "queue": "desk"}
    builders.make_tasks(shard, waited_s=20.0, **step_fields)
    for _ in range(5):
        run_pass(shard)
    phases = {
        run.phase
        for executor in shard.executor_by_id.values()
        for run in executor.run_by_task.values()
    }
    assert phases == {workflow_state.WORKING}


def count_stopping(shard):
    return sum(
        run.phase == workflow_state.STOPPING
        for executor in shard.executor_by_id.values()
        for run in executor.run_by_task.values()
    )


@pytest.mark.parametrize("long_running", [False, True])
def test_only_as_many_tasks_preempt_others_as_have_room(long_running):
    """Guards against runs of others that stop for tasks without room."""
    shard = builders.make_shard(acme=(13_000, 0, 0))
    shard.run_s_by_queue["batch"] = 100.0
    for executor_id in shard.executor_by_id:
        step = {"count": 5, "cpu_millicores": 12_800, "long_running": not long_running}
        for task in builders.make_tasks(shard, "", **step):
            hold(shard, executor_id, task)
    step = {"cpu_millicores": 12_000, "long_running": long_running}
    tasks = builders.make_tasks(shard, count=8, waited_s=3.0, **step)
    for _ in range(50):
        run_pass(shard)
    assert count_stopping(shard) == 1
    (first,) = [task for task in tasks if task.preempted_others_at > 0]
    shard.waiting_tasks.discard(first)
    first.job.outcome = messages.CANCELLED
    builders.make_tasks(shard, count=8, waited_s=3.0, **step)
    run_pass(shard)
    assert count_stopping(shard) == 2
    shard.view.configuration = builders.make_configuration(acme=(0, 0, 0))
    for _ in range(50):
        run_pass(shard)
    assert count_stopping(shard) > 2


def startable_and_preemption(shard):
    now = shard.clock.monotonic()
    startable = limits.startable(shard, now)
    return len(startable), preemption.may_preempt_long_running(shard, now, startable)


@pytest.mark.parametrize("long_running", [False, True])
def test_held_back_tasks_do_not_decide_on_preemption(long_running):
    """Guards against held-back tasks that allow, or forbid, preemption."""
    shard = builders.make_shard(acme=(3000, 0, 0))
    for executor_id in shard.executor_by_id:
        served = builders.make_tasks(shard, "", long_running=True, count=15)
        for task in served:
            hold(shard, executor_id, task)
    builders.make_tasks(shard, waited_s=20.0, long_running=long_running, count=9)
    assert startable_and_preemption(shard) == (0, False)
    builders.make_tasks(shard, "", waited_s=20.0)
    assert startable_and_preemption(shard) == (1, True)


def test_held_back_tasks_are_no_backlog(monkeypatch):
    """Guards against long-running tasks of others that come later for them."""
    shard = builders.make_shard(acme=(3000, 0, 0))
    builders.make_tasks(shard, waited_s=20.0)
    builders.make_tasks(shard, "", long_running=True)
    seen = []
    has_short_wait = turn_order._has_short_wait
    monkeypatch.setattr(
        turn_order,
        "_has_short_wait",
        lambda *of: seen.append(has_short_wait(*of)) or seen[-1],
    )
    run_pass(shard)
    assert seen == [False, False]  # No backlog, and nothing is shared.


@pytest.mark.parametrize("long_running", [False, True])
def test_a_large_task_gets_the_room_that_becomes_free(long_running):
    """Guards against small tasks that take all room that becomes free.

    A long-running task that was stopped for others would never run again.
    """
    shard = builders.make_shard(acme=LIMIT)
    small = builders.make_tasks(shard, count=2)
    run_pass(shard)
    runs = [task.run for task in small]
    large = builders.make_tasks(
        shard,
        cpu_millicores=8000,
        long_running=long_running,
        waited_s=0.0 if long_running else claims.CLAIM_AFTER_S + 1,
    )
    later = builders.make_tasks(shard, count=9, queue="desk")
    for run in runs:
        run_pass(shard)
        shard.executor_by_id[run.executor_id].release(run)
    run_pass(shard)
    assert (running(large), running(later)) == (1, 0)


def test_a_gang_gets_the_room_that_becomes_free():
    """Guards against members that leave the room to each other."""
    shard = builders.make_shard(acme=LIMIT)
    small = builders.make_tasks(shard)[0]
    run_pass(shard)
    gang = builders.make_tasks(
        shard, count=2, gang=True, waited_s=claims.CLAIM_AFTER_S + 1
    )
    run_pass(shard)
    shard.executor_by_id[small.run.executor_id].release(small.run)
    run_pass(shard)
    assert running(gang) == 2


def test_a_claim_ends_with_the_start_of_its_task():
    """Guards against room that stays unused after the start."""
    shard = builders.make_shard(acme=LIMIT)
    large = builders.make_tasks(shard, cpu_millicores=6000, long_running=True)
    shard.claims.request(large[0], (6000, 1000, 0), 0.0)
    run_pass(shard)
    short = builders.make_tasks(shard)
    run_pass(shard)
    assert (running(large), running(short)) == (1, 1)


def test_a_claim_ends_within_the_pass_that_starts_its_task():
    """Guards against tasks that are held back although there is room."""
    shard = builders.make_shard(acme=LIMIT)
    large = builders.make_tasks(shard, cpu_millicores=6000, long_running=True)
    shard.claims.request(large[0], (6000, 1000, 0), 0.0)
    other = builders.make_tasks(shard, long_running=True)
    run_pass(shard)
    assert (running(large), running(other)) == (1, 1)


def test_the_task_that_has_waited_longest_gets_the_room():
    """Guards against long-running tasks that take turns to lose their room."""
    shard = builders.make_shard(acme=LIMIT)
    hold(shard, "x0", builders.make_tasks(shard, cpu_millicores=8000)[0])
    waits = {"cpu_millicores": 6000, "long_running": True}
    builders.make_tasks(shard, waited_s=1.0, **waits)
    oldest = builders.make_tasks(shard, waited_s=3.0, **waits)[0]
    run_pass(shard)
    assert shard.claims.kept_from(oldest) == (0, 0, 0)
    assert shard.claims.kept_from(shard.waiting_tasks[0]) == (6000, 1000, 0)


def test_no_task_claims_room_before_earlier_runs_are_settled():
    """Guards against a claim of a task whose own run counts as unseen."""
    shard = builders.make_shard(acme=LIMIT)
    shard.earlier_runs_settled = False
    shard.inherited_executors.add("x3")
    shard.executor_by_id["x3"].reached = False
    hold(shard, "x0", builders.make_tasks(shard, cpu_millicores=6000)[0])
    builders.make_tasks(shard, long_running=True, cpu_millicores=9000)
    short = builders.make_tasks(shard)
    run_pass(shard)
    assert running(short) == 1


def test_a_task_that_cannot_use_its_room_gives_it_back():
    """Guards against room that is kept for a task that no executor suits."""
    shard = builders.make_shard(acme=LIMIT)
    builders.make_tasks(
        shard, cpu_millicores=9000, long_running=True, required_label="none"
    )
    short = builders.make_tasks(shard)
    shard.claims.request(shard.waiting_tasks[0], (9000, 1000, 0), 0.0)
    run_pass(shard)
    assert not running(short)
    builders.advance(shard, claims.CLAIM_S)
    run_pass(shard)
    assert running(short)


def test_long_running_runs_keep_no_task_waiting_for_their_room():
    """Guards against room that is kept for a task that can never have it."""
    shard = builders.make_shard(acme=LIMIT)
    hold(shard, "x0", builders.make_tasks(shard, long_running=True)[0])
    builders.make_tasks(shard, long_running=True, cpu_millicores=7000)
    short = builders.make_tasks(shard)
    run_pass(shard)
    run_pass(shard)
    assert running(short) == 1


@pytest.mark.parametrize("has_backlog", [False, True])
def test_short_tasks_leave_room_for_a_long_running_one(has_backlog):
    """Guards against a long-running task that waits for short ones to end.

    It finds no executor before runs are stopped for it, while short tasks of
    its organisation fit beside them.
    """
    shard = builders.make_shard(acme=(13_000, 0, 0))
    shard.run_s_by_queue["batch"] = 100.0
    fill(shard, cpu_millicores=12_000)
    serving = builders.make_tasks(shard, long_running=True, cpu_millicores=13_000)
    waited_s = 1.0 if has_backlog else 0.0
    short = builders.make_tasks(shard, count=9, waited_s=waited_s, cpu_millicores=1000)
    for _ in range(20):
        run_pass(shard)
    assert not running(short)
    assert serving[0].preempted_others_at > 0


def test_a_long_running_task_that_no_executor_suits_leaves_its_room():
    """Guards against room that is kept although nobody can use it."""
    shard = builders.make_shard(acme=LIMIT)
    builders.make_tasks(
        shard, cpu_millicores=10_000, long_running=True, required_label="none"
    )
    short = builders.make_tasks(shard)
    run_pass(shard)
    assert not running(short)
    builders.advance(shard, claims.CLAIM_S)
    run_pass(shard)
    run_pass(shard)
    assert running(short)


@pytest.mark.parametrize("long_running", [False, True])
def test_best_effort_runs_keep_no_task_waiting_for_their_room(long_running):
    """Guards against a claim that lasts while a best-effort run is paused."""
    shard = builders.make_shard(acme=LIMIT)
    task = builders.make_tasks(shard, fills=True, cpu_millicores=6000)[0]
    run = hold(shard, "x0", task)
    waited_s = 0.0 if long_running else claims.CLAIM_AFTER_S + 1
    large = builders.make_tasks(
        shard, cpu_millicores=7000, waited_s=waited_s, long_running=long_running
    )
    short = builders.make_tasks(shard)
    run_pass(shard)
    run_pass(shard)
    assert running(short) == 1
    builders.make_tasks(shard, count=9, cpu_millicores=1000)
    shard.executor_by_id["x0"].release(run)
    run_pass(shard)
    shard.executor_by_id[short[0].run.executor_id].release(short[0].run)
    run_pass(shard)
    assert running(large) == 1


def test_a_run_that_could_not_start_again_is_not_moved(monkeypatch):
    """Guards against a lowered limit that ends a run by moving it."""
    shard = builders.make_shard(acme=(4000, 0, 0))
    task = builders.make_tasks(shard, fills=True, checkpoints=True)[0]
    run = hold(shard, "x0", task)
    run.pace = 0
    run.phase = workflow_state.WORKING
    monkeypatch.setattr(
        relocation.best_effort, "has_better_executor", lambda *args: True
    )
    builders.advance(shard, 20.0)
    shard.view.configuration = builders.make_configuration(acme=(3000, 0, 0))
    relocation.relocate_paused_runs(shard)
    assert run.phase == workflow_state.WORKING
    shard.view.configuration = builders.make_configuration(acme=(4000, 0, 0))
    relocation.relocate_paused_runs(shard)
    assert run.phase == workflow_state.STOPPING


def test_a_run_whose_room_another_task_claims_is_not_moved(monkeypatch):
    """Guards against a claim that ends running work by moving it."""
    shard = builders.make_shard(acme=LIMIT)
    task = builders.make_tasks(shard, fills=True, checkpoints=True)[0]
    run = hold(shard, "x0", task)
    run.pace = 0
    run.phase = workflow_state.WORKING
    monkeypatch.setattr(
        relocation.best_effort, "has_better_executor", lambda *args: True
    )
    builders.advance(shard, 20.0)
    hold(shard, "x1", builders.make_tasks(shard, cpu_millicores=3000)[0])
    builders.make_tasks(shard, cpu_millicores=5000, long_running=True)
    run_pass(shard)
    relocation.relocate_paused_runs(shard)
    assert run.phase == workflow_state.WORKING


def test_a_wait_report_names_the_limit(monkeypatch):
    """Guards against operators that look for capacity instead."""
    shard = builders.make_shard(acme=(3000, 0, 0))
    task = builders.make_tasks(shard, waited_s=2.0)[0]
    other = builders.make_tasks(shard, "", waited_s=2.0)[0]
    found = {}
    monkeypatch.setattr(
        scheduling.logs,
        "emit",
        lambda event, **fields: found.__setitem__(fields["task"], fields["executors"]),
    )
    wait_reports.report_waiting_jobs(shard)
    assert found[task.name] == {wait_reasons.ORGANISATION_LIMIT: 4}
    assert found[other.name] == {"none": 4}


def test_nothing_is_computed_without_organisations(monkeypatch):
    """Guards against the cost of limits where nobody has one."""
    shard = builders.make_shard()
    builders.make_tasks(shard, count=5)
    monkeypatch.setattr(limits, "_free", None)
    assert limits.startable(shard, 0.0) is shard.waiting_tasks


def test_time_for_which_a_limit_held_a_task_back_does_not_count():
    """Guards against tasks that preempt others as soon as they have room."""
    shard = builders.make_shard(acme=(3000, 0, 0))
    task = builders.make_tasks(shard, waited_s=20.0)[0]
    lasting = builders.make_tasks(shard, waited_s=20.0, long_running=True)[0]
    serving = builders.make_tasks(shard, "", long_running=True, count=60)
    for number, each in enumerate(serving):
        hold(shard, f"x{number % 4}", each)
    run_pass(shard)
    shard.view.configuration = builders.make_configuration(acme=(0, 0, 0))
    builders.advance(shard, 0.1)
    now = shard.clock.monotonic()
    assert startable_and_preemption(shard) == (2, False)
    assert not turn_order._has_short_wait([task], now, turn_order.BACKLOG_WAIT_S)
    assert not preemption.may_preempt(shard, task, now)
    assert not victims.has_waited_long(shard, lasting)
    builders.advance(shard, preemption.SHORT_PREEMPT_AFTER_S)
    assert startable_and_preemption(shard) == (2, True)


def test_tasks_that_are_held_back_wait_for_no_turn():
    """Guards against reports of a busy owner for the sake of a limit."""
    shard = builders.make_shard(acme=(3000, 0, 0))
    builders.make_tasks(shard, waited_s=20.0)
    assert not owner_reports._rows_without_turn(shard, 0.0)
    builders.make_tasks(shard, "", waited_s=20.0)
    rows = owner_reports._rows_without_turn(shard, 0.0)
    assert [row["tasks"] for row in rows] == [1]
