"""Tests of what a scheduling pass costs: executors and runs that it looks at.

They count work, so that no verdict depends on the speed of the machine.
"""

import asyncio
import dataclasses

import loguru
import pytest

from limpetstream.shard import (
    events,
    jobs,
    placing,
    relocation,
    scheduling,
    searches,
)
from limpetstream.shard.tests import builders
from limpetstream.telemetry import logs
from limpetstream.workflow import (
    best_effort,
    eligibility,
    messages,
    placement,
    state as workflow_state,
)
from standins import virtual_time

# Sixty-four placed tasks, forty executors that are compared for each.
MAX_VISITS_PER_PASS = 64 * 40 * 17
PASS_S = 0.004  # Between two passes while tasks are left over.
# Time of one visit in tests where passes take time (bench pass_cost); as much
# time passes again until the next pass.
VISIT_S = 2e-6
STOP_S = 0.2  # Until the capacity of a stopped run is free.
SHORT_RUN_S = 0.8
TURN_S = 0.003  # Of one turn on a slow processor.
MAX_LASTING_WAIT_S = 6.0  # Rule LOST: from the last run of a lasting task.


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


def advance(shard, loop, seconds):
    """Advance virtual time; polls and proofs are recent, and starts sent."""
    loop._virtual.now += seconds
    shard.ownership_proven_at = loop.time()
    for executor in shard.executor_by_id.values():
        executor.polled_at = loop.time()
        executor.unsent_runs.clear()
        executor.unrecorded_runs.clear()


def fill(shard, step, count, *, queue="batch", started=-0.2):
    """Start ``count`` runs of a step on every executor."""
    for executor in shard.executor_by_id.values():
        for task in builders.make_tasks(
            shard, builders.copy_step(step, count=count), queue=queue
        ):
            builders.start_run(executor, task, start_requested_at=started)


def queue_lasting(shard, count, *, waited_s=1.0, **changes):
    """Queue long-running tasks, each of a job and a size of its own."""
    queued = []
    for number in range(count):
        step = builders.copy_step(
            builders.SERVING, cpu_millicores=13_000 + number, **changes
        )
        task = builders.make_tasks(shard, step, queue="desk")[0]
        task.ready_at = -waited_s
        queued.append(task)
    shard.waiting_tasks.extend(queued)
    return queued


def test_a_failed_search_for_runs_to_preempt_is_not_repeated_at_once(monkeypatch):
    """Guards against a search through all runs in each pass, 4 ms apart.

    On a grown day, 176 executors, 973 of 998 samples of the owner's processor
    time were in that search, and polls and leases waited behind it.
    """
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop, executors=176)
    fill(shard, builders.SERVING, 4, queue="desk")
    step = builders.copy_step(builders.SERVING, count=40, max_per_executor=5)
    tasks = builders.make_tasks(shard, step, queue="desk")
    for task in tasks:
        task.ready_at = -1.0
    shard.waiting_tasks.extend(tasks)
    visits = builders.count_visits(shard, monkeypatch)
    for _ in range(10):
        scheduling.run_pass(shard)
        advance(shard, loop, PASS_S)
    assert visits.runs <= 2 * 176 * 4


def test_a_pass_at_the_target_size_is_bounded(monkeypatch):
    """Guards against a pass whose cost is waiting tasks times runs.

    2,300 executors are full of short runs that end soon, and 20 long-running
    tasks of different sizes look for runs to preempt.
    """
    shard = builders.make_shard(virtual_time.Loop(), executors=2300)
    shard.run_s_by_queue["batch"] = SHORT_RUN_S
    fill(shard, builders.SHORT, 10)
    queue_lasting(shard, 20)
    visits = builders.count_visits(shard, monkeypatch)
    scheduling.run_pass(shard)
    assert visits.runs + visits.executors <= 2 * MAX_VISITS_PER_PASS


@pytest.mark.parametrize("pass_s", [PASS_S, 0.1])
def test_the_next_pass_continues_where_a_pass_ended(monkeypatch, pass_s):
    """Guards against tasks that are never tried, behind others that fail.

    The first tasks in order of priority find no executor at any time; only
    the last one fits. Two searches of each task, once, are the work of 16
    passes. With slow passes, the first searches become due again before.
    """
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop, executors=2300)
    fill(shard, builders.SERVING, 4, queue="desk")
    queue_lasting(shard, 150, waited_s=3.0)
    last = builders.make_tasks(
        shard, builders.copy_step(builders.SHORT, cpu_millicores=12_000)
    )[0]
    shard.waiting_tasks.append(last)
    visits = builders.count_visits(shard, monkeypatch)
    for _ in range(20):
        before = visits.runs + visits.executors
        scheduling.run_pass(shard)
        assert visits.runs + visits.executors - before <= 2 * MAX_VISITS_PER_PASS
        advance(shard, loop, pass_s)
    assert last.run is not None


def test_tasks_whose_search_has_failed_do_not_use_up_every_pass():
    """Guards against tasks without a turn behind thousands that wait."""
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop, executors=4)
    fill(shard, builders.SERVING, 4, queue="desk")
    step = builders.copy_step(builders.SERVING, count=4000)
    shard.waiting_tasks.extend(builders.make_tasks(shard, step, queue="desk"))
    last = builders.make_tasks(shard, builders.SHORT)[0]
    shard.waiting_tasks.append(last)
    for _ in range(5):
        scheduling.run_pass(shard)
        advance(shard, loop, PASS_S)
    assert last.run is not None


def test_freed_capacity_is_found_in_the_next_pass(monkeypatch):
    """Guards against tasks that wait until all executors are searched."""
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop, executors=176)
    fill(shard, builders.SERVING, 4, queue="desk")
    tasks = queue_lasting(shard, 20)
    scheduling.run_pass(shard)
    executor = shard.executor_by_id["x97"]
    executor.release(next(iter(executor.run_by_task.values())))
    visits = builders.count_visits(shard, monkeypatch)
    advance(shard, loop, PASS_S)
    scheduling.run_pass(shard)
    assert [task.run.executor_id for task in tasks if task.run] == ["x97"]
    assert visits.runs <= 4  # Those of x97, as runs to preempt.


def test_an_executor_that_becomes_available_is_found_at_once():
    """Guards against idle executors after a change of owner.

    They answer one after the other, and tasks have been tried before.
    """
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop, executors=3)
    for executor in shard.executor_by_id.values():
        executor.reached = False
    task = queue_lasting(shard, 1)[0]
    scheduling.run_pass(shard)
    advance(shard, loop, searches.AVAILABILITY_INTERVAL_S)
    shard.executor_by_id["x1"].reached = True
    scheduling.run_pass(shard)
    assert task.run is not None


def test_a_failed_search_is_repeated_after_a_while():
    """Guards against tasks that never run after a change without an event.

    The executor changes the label in its listing.
    """
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop)
    executor = shard.executor_by_id["x0"]
    task = queue_lasting(shard, 1, required_label="ssd")[0]
    scheduling.run_pass(shard)
    executor.listing = dataclasses.replace(executor.listing, labels=("ssd",))
    scheduling.run_pass(shard)
    assert task.run is None
    advance(shard, loop, placing.SEARCH_RETRY_S)
    scheduling.run_pass(shard)
    assert task.run is not None


def test_best_effort_tasks_at_the_end_have_their_turn():
    """Guards against best-effort work behind other work that never fits.

    The first tasks are due again, after 0.2 s, before the last ones had their
    turn, if passes take long.
    """
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop, executors=80)
    fill(shard, builders.copy_step(builders.BEST_EFFORT, cpu_millicores=64_000), 1)
    for number in range(500):
        step = builders.copy_step(builders.BEST_EFFORT, image=f"press-{number}")
        shard.waiting_tasks.extend(builders.make_tasks(shard, step))
    chosen_for = set()
    choose = placement.choose

    def recording_choose(executors, task, context):
        chosen_for.add(task)
        return choose(executors, task, context)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(placement, "choose", recording_choose)
        for _ in range(20):
            scheduling.run_pass(shard)
            advance(shard, loop, 0.1)
    assert len(chosen_for) == 500


def test_a_gang_does_not_use_up_every_pass():
    """Guards against tasks that have no turn behind a gang that never fits."""
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop, executors=2300)
    step = builders.copy_step(
        builders.SHORT, count=2400, cpu_millicores=40_000, gang=True
    )
    shard.waiting_tasks.extend(builders.make_tasks(shard, step, queue="desk"))
    task = builders.make_tasks(shard, builders.SHORT)[0]
    shard.waiting_tasks.append(task)
    for _ in range(2):
        scheduling.run_pass(shard)
        advance(shard, loop, PASS_S)
    assert task.run is not None


def test_a_gang_is_tried_once_in_a_pass(monkeypatch):
    """Guards against a try for each member, which looks at all members."""
    shard = builders.make_shard(virtual_time.Loop(), executors=4)
    step = builders.copy_step(
        builders.SHORT, count=30, cpu_millicores=40_000, gang=True
    )
    shard.waiting_tasks.extend(builders.make_tasks(shard, step, queue="desk"))
    tried = []
    place_gang = placing.place_gang

    def recording(shard, members, context, executors):
        tried.append(len(members))
        return place_gang(shard, members, context, executors)

    monkeypatch.setattr(placing, "place_gang", recording)
    scheduling.run_pass(shard)
    assert tried == [30]


def test_finishing_a_job_looks_only_at_its_own_runs(monkeypatch):
    """Guards against work for each end of a job that grows with all runs."""
    shard = builders.make_shard(virtual_time.Loop(), executors=176)
    fill(shard, builders.SHORT, 5)
    tasks = builders.make_tasks(shard, builders.copy_step(builders.SHORT, count=2))
    run = builders.start_run(shard.executor_by_id["x3"], tasks[0])
    shard.waiting_tasks.append(tasks[1])
    visits = builders.count_visits(shard, monkeypatch)
    jobs.finish(shard, tasks[0].job, messages.CANCELLED)
    assert run.phase == workflow_state.STOPPING
    assert len(shard.waiting_tasks) == 0
    assert visits == builders.Visits()


def test_relocation_is_bounded_and_continues():
    """Guards against paused runs that each compare all executors, every 0.1 s.

    Nothing has room for any of them.
    """
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop, executors=176)
    step = builders.copy_step(
        builders.BEST_EFFORT, cpu_millicores=60_000, checkpoints=True
    )
    fill(shard, step, 2)
    for executor in shard.executor_by_id.values():
        for run in executor.run_by_task.values():
            run.pace = 0
    tried = []
    has_better_executor = best_effort.has_better_executor

    def recording(executors, task, context):
        tried.append(task)
        return has_better_executor(executors, task, context)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(best_effort, "has_better_executor", recording)
        relocation.relocate_paused_runs(shard)
        search_checks = 176 * (1 + eligibility.CHECKS_PER_SCORE)
        assert 0 < len(tried) <= relocation.MAX_CHECKS // search_checks + 1
        for _ in range(150):
            relocation.relocate_paused_runs(shard)
    assert len(tried) == len(set(tried)) == 2 * 176


def test_passes_at_their_bound_are_logged_from_time_to_time():
    """Guards against a bound that is never logged, or is in each pass."""
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop, executors=10)
    step = builders.copy_step(builders.SHORT, count=80, cpu_millicores=10)
    lines = []

    def observe(event, fields):
        if event is events.PASSES_BOUNDED:
            lines.append(fields)

    logs.observers.append(observe)
    try:
        for _ in range(5):
            shard.waiting_tasks.extend(builders.make_tasks(shard, step))
            scheduling.run_pass(shard)
            advance(shard, loop, 3.0)
    finally:
        logs.observers.remove(observe)
    assert [(line["passes"], line["at_bound"]) for line in lines] == [(1, 1), (4, 4)]
    assert lines[0]["without_turn"] == lines[0]["waiting"] == 16


def test_the_owner_has_time_between_passes():
    """Guards against polls and ends that wait behind pass after pass."""
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop)
    assert pauses_between_passes(shard, loop, 0.03) == pytest.approx([0.03] * 3)


def pauses_between_passes(shard, loop, pass_s):
    """Return the pauses after three passes that take so long."""
    paused_s = []

    def slow_pass(shard):
        loop._virtual.now += pass_s
        shard.changed.set()

    async def sleep(seconds):
        paused_s.append(seconds)
        if len(paused_s) == 3:
            raise asyncio.CancelledError
        await asyncio.sleep(seconds)

    shard.clock = dataclasses.replace(shard.clock, sleep=sleep)
    shard.changed.set()
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(scheduling, "run_pass", slow_pass)
        with pytest.raises(asyncio.CancelledError):
            virtual_time.run(scheduling.run(shard), loop=loop)
    return paused_s


def make_late(shard):
    """Let the event loop be as late as is noted."""
    for _ in range(20):
        shard.send_window.lateness.note_lag(1.0)


def count_started(tasks):
    return sum(task.run is not None for task in tasks)


def test_less_urgent_tasks_go_on_beside_a_steady_urgent_load():
    """Guards against best-effort work that never starts at a late owner."""
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop, executors=40)
    tiny = builders.copy_step(
        builders.SHORT, cpu_millicores=100, memory_mb=10, count=60
    )
    batch = builders.make_tasks(shard, tiny, queue="batch")
    shard.waiting_tasks.extend(batch)
    make_late(shard)
    few = builders.copy_step(tiny, count=4)
    for _ in range(10):
        shard.waiting_tasks.extend(builders.make_tasks(shard, few, queue="desk"))
        scheduling.run_pass(shard)
        advance(shard, loop, 0.1)
    assert count_started(batch) >= 10


def test_a_pass_on_a_slow_processor_is_bounded_in_time(monkeypatch):
    """Guards against polls that wait for a pass, however slow its checks are.

    The next passes go on where the first one has ended.
    """
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop, executors=8)
    place = placing.place

    def slow_place(*args, **kwargs):
        loop.use_processor(TURN_S)
        return place(*args, **kwargs)

    monkeypatch.setattr(placing, "place", slow_place)
    small = builders.copy_step(builders.SHORT, cpu_millicores=500, count=60)
    tasks = builders.make_tasks(shard, small, queue="desk")
    shard.waiting_tasks.extend(tasks)
    passes = 0
    while shard.waiting_tasks and passes < len(tasks):
        began_at, passes = loop.time(), passes + 1
        scheduling.run_pass(shard)
        assert loop.time() - began_at <= scheduling.MAX_PASS_S + TURN_S
        assert shard.changed.is_set() or not shard.waiting_tasks
        advance(shard, loop, PASS_S)
    assert passes <= len(tasks) * TURN_S / scheduling.MAX_PASS_S + 1


def test_lasting_tasks_are_not_deferred():
    """Guards against lasting tasks without a run for 6 s (rule LOST)."""
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop, executors=40)
    step = builders.copy_step(builders.SERVING, count=40)
    lasting = builders.make_tasks(shard, step, queue="batch")
    shard.waiting_tasks.extend(lasting)
    make_late(shard)
    scheduling.run_pass(shard)
    assert [task.name for task in lasting if task.run is None] == []


def simulate(shard, loop, visits, seconds):
    """Run passes that take time by what they look at.

    Starts succeed at once, stopped runs end after ``STOP_S`` and short runs
    after ``SHORT_RUN_S``. Return the visits of the longest pass.
    """
    longest, stopped_at, until = 0, {}, loop.time() + seconds
    while loop.time() < until:
        before = visits.runs + visits.executors
        scheduling.run_pass(shard)
        cost = visits.runs + visits.executors - before
        longest = max(longest, cost)
        advance(shard, loop, PASS_S + 2 * cost * VISIT_S)
        for executor in shard.executor_by_id.values():
            for run in list(dict.values(executor.run_by_task)):
                end_run_if_due(shard, executor, run, stopped_at, loop.time())
    return longest


def end_run_if_due(shard, executor, run, stopped_at, now):
    """Let a run of ``simulate`` work, end or be stopped."""
    if run.phase == workflow_state.STARTING:
        run.phase = workflow_state.WORKING
    if run.phase == workflow_state.STOPPING:
        ended = now - stopped_at.setdefault(run, now) >= STOP_S
    else:
        step = run.task.step
        is_short = not step.long_running and not step.fills
        ended = is_short and now - run.start_requested_at >= SHORT_RUN_S
    if ended:
        executor.release(run)
        run.phase = workflow_state.GONE
        run.task.run = None
        shard.changed.set()


def test_lasting_tasks_run_again_in_time_when_many_wait(monkeypatch):
    """Guards against lasting tasks without a run for 6 s (rule LOST).

    300 lasting and 600 short tasks wait for 176 executors that are full of
    short and best-effort runs, as after 30% of the executors have left. The
    passes stay within their bound, so that polls and leases go on.
    """
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop, executors=176)
    shard.run_s_by_queue.update(desk=SHORT_RUN_S, batch=SHORT_RUN_S)
    fill(shard, builders.SHORT, 10)
    fill(shard, builders.BEST_EFFORT, 3)
    lasting = queue_lasting(shard, 300, waited_s=0.0, max_per_executor=2)
    for number in range(600):
        step = builders.copy_step(builders.SHORT, cpu_millicores=6_000 + number)
        shard.waiting_tasks.extend(builders.make_tasks(shard, step, queue="desk"))
    visits = builders.count_visits(shard, monkeypatch)
    longest = simulate(shard, loop, visits, MAX_LASTING_WAIT_S)
    assert longest <= 2 * MAX_VISITS_PER_PASS
    assert [task.name for task in lasting if task.run is None] == []


def test_best_effort_tasks_without_room_are_not_looked_for_all_the_time(monkeypatch):
    """Guards against a search through all executors each 0.2 s for each size.

    No executor has the memory; the one that frees some is found at once.
    """
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop, executors=400)
    fill(shard, builders.copy_step(builders.SHORT, memory_mb=250_000), 1)
    for number in range(20):
        step = builders.copy_step(builders.BEST_EFFORT, memory_mb=13_000 + number)
        shard.waiting_tasks.extend(builders.make_tasks(shard, step))
    visits = builders.count_visits(shard, monkeypatch)
    for _ in range(4):
        scheduling.run_pass(shard)
        advance(shard, loop, scheduling.BEST_EFFORT_RETRY_S + PASS_S)
    assert visits.executors <= 2 * 20 * 400
    executor = shard.executor_by_id["x250"]
    executor.release(next(iter(executor.run_by_task.values())))
    scheduling.run_pass(shard)
    assert any(run.task.step.fills for run in executor.run_by_task.values())


@pytest.mark.parametrize("limit", [0, 1])
def test_best_effort_tasks_in_a_busy_service_look_at_a_few_executors(
    limit, monkeypatch
):
    """Guards against a search through all executors for each task's speed.

    One executor in a hundred has room for the tasks, none has speed.
    """
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop, executors=500)
    for number, executor in enumerate(shard.executor_by_id.values()):
        memory_mb = 1_000 if number % 100 == 0 else 250_000
        busy = builders.copy_step(
            builders.SHORT, cpu_millicores=58_000, memory_mb=memory_mb
        )
        builders.start_run(executor, builders.make_tasks(shard, busy)[0])
    for number in range(100):
        step = builders.copy_step(
            builders.BEST_EFFORT, memory_mb=13_000 + number, max_per_executor=limit
        )
        shard.waiting_tasks.extend(builders.make_tasks(shard, step))
    visits = builders.count_visits(shard, monkeypatch)
    scheduling.run_pass(shard)
    assert visits.executors <= 100 * (placement.BATCH_SIZE + 1) + 4 * 500
