"""Tests of how serving, short and best-effort work share executors.

Each test names the pattern of load that it covers; the figures are those of
the users' deployments.
"""

import loguru
import pytest

from limpetstream.shard import relocation, scheduling
from limpetstream.shard.tests import builders
from limpetstream.workflow import (
    best_effort,
    interference,
    state as workflow_state,
)
from standins import virtual_time


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


def run_serving(shard, executor_id, image, count=4):
    """Start serving runs of one image on an executor and return it."""
    executor = shard.executor_by_id[executor_id]
    step = builders.copy_step(builders.SERVING, count=count, image=image)
    for task in builders.make_tasks(shard, step, queue="desk"):
        builders.start_run(executor, task, load=8.0)
    return executor


def queue_tasks(shard, step, count=1, *, waited_s=0.0, queue="batch"):
    """Queue tasks of a new job that have waited for ``waited_s``."""
    step = builders.copy_step(step, count=count)
    tasks = builders.make_tasks(shard, step, queue=queue)
    for task in tasks:
        task.ready_at = shard.clock.monotonic() - waited_s
    shard.waiting_tasks.extend(tasks)
    return tasks


def set_interference(shard, serving, best_effort, weight):
    """Set the learned interference of a pair of images."""
    estimate_by_serving = shard.interference_model.dump()
    estimate = estimate_by_serving.setdefault(serving, interference.Estimate())
    estimate.weight_by_image[best_effort] = weight
    shard.interference_model.load(estimate_by_serving)


def test_best_effort_work_goes_where_it_slows_nothing():
    """Pattern: every executor runs serving work, of two images.

    Guards against best-effort work that is placed by free processors alone.
    It brought serving work over its target for 570 s of a calm day.
    """
    shard = builders.make_shard(virtual_time.Loop(), executors=2)
    run_serving(shard, "x0", "frail")
    run_serving(shard, "x1", "tough")
    set_interference(shard, "frail", "press", 0.04)
    set_interference(shard, "tough", "press", 0.0)
    tasks = queue_tasks(shard, builders.BEST_EFFORT, 4)
    scheduling.run_pass(shard)
    assert [task.run and task.run.executor_id for task in tasks] == ["x1"] * 4


def test_best_effort_work_uses_reserved_idle_processors():
    """Pattern: all processors are reserved, and 40% of them are idle.

    Guards against best-effort work that waits while processors are idle.
    """
    shard = builders.make_shard(virtual_time.Loop())
    run_serving(shard, "x0", "tough")
    set_interference(shard, "tough", "press", 0.0)
    tasks = queue_tasks(shard, builders.BEST_EFFORT, 8)
    scheduling.run_pass(shard)
    running = sum(task.run is not None for task in tasks)
    assert running == 6  # 64 cores, 4 x 13 reserved, 60% of that in use.


def test_new_image_is_tried_with_one_run():
    """Pattern: a step of eight tasks of an image that never ran before."""
    shard = builders.make_shard(virtual_time.Loop(), executors=4)
    for number in range(4):
        run_serving(shard, f"x{number}", "desk")
    tasks = queue_tasks(shard, builders.BEST_EFFORT, 8)
    scheduling.run_pass(shard)
    assert sum(task.run is not None for task in tasks) == 1


def test_interfering_work_that_waits_is_bounded():
    """Pattern: a burst of best-effort work that slows all serving work.

    Guards against trouble-3 of bwc: all of it was placed after 8 s, 220 of
    250 runs were paused, and neither kind of work made progress.
    """
    shard = builders.make_shard(virtual_time.Loop(), executors=2)
    for number in range(2):
        run_serving(shard, f"x{number}", "frail")
    set_interference(shard, "frail", "press", 0.04)
    tasks = queue_tasks(shard, builders.BEST_EFFORT, 20, waited_s=6.0)
    scheduling.run_pass(shard)
    assert sum(task.run is not None for task in tasks) <= 2


def test_work_does_not_wait_while_the_service_is_idle():
    """Pattern: little serving work on each executor, all of it sensitive.

    Guards against tasks that never run despite capacity (LOST check).
    """
    shard = builders.make_shard(virtual_time.Loop(), executors=2)
    for number in range(2):
        run_serving(shard, f"x{number}", "frail", count=1)
    set_interference(shard, "frail", "press", 0.2)
    tasks = queue_tasks(shard, builders.BEST_EFFORT, waited_s=2.0)
    scheduling.run_pass(shard)
    assert tasks[0].run is not None


def test_paused_run_moves_where_it_can_continue():
    """Pattern: a run was paused, and another executor has capacity."""
    shard = builders.make_shard(virtual_time.Loop(), executors=2)
    sensitive_executor = run_serving(shard, "x0", "frail")
    run_serving(shard, "x1", "tough")
    set_interference(shard, "frail", "press", 0.04)
    set_interference(shard, "tough", "press", 0.0)
    step = builders.copy_step(builders.BEST_EFFORT, checkpoints=True)
    run = builders.start_run(sensitive_executor, builders.make_tasks(shard, step)[0])
    relocation.relocate_paused_runs(shard)
    assert run.phase == workflow_state.WORKING
    run.pace = 0
    relocation.relocate_paused_runs(shard)
    assert run.phase == workflow_state.STOPPING


def test_paused_run_stays_without_a_better_executor():
    """Guards against work that is stopped repeatedly without benefit."""
    shard = builders.make_shard(virtual_time.Loop(), executors=2)
    sensitive_executor = run_serving(shard, "x0", "frail")
    run_serving(shard, "x1", "frail")
    set_interference(shard, "frail", "press", 0.04)
    step = builders.copy_step(builders.BEST_EFFORT, checkpoints=True)
    run = builders.start_run(sensitive_executor, builders.make_tasks(shard, step)[0])
    run.pace = 0
    relocation.relocate_paused_runs(shard)
    assert run.phase == workflow_state.WORKING


def make_busy_shard():
    """Return a shard whose only executor is full of runs that end soon."""
    shard = builders.make_shard(virtual_time.Loop())
    shard.run_s_by_queue["desk"] = 0.8
    step = builders.copy_step(builders.SHORT, count=10)
    for task in builders.make_tasks(shard, step, queue="desk"):
        builders.start_run(shard.executor_by_id["x0"], task, start_requested_at=-0.2)
    return shard


def tasks_being_stopped(shard):
    """Return the tasks whose runs are being stopped."""
    return [
        run.task
        for executor in shard.executor_by_id.values()
        for run in executor.run_by_task.values()
        if run.phase == workflow_state.STOPPING
    ]


def test_short_work_preempts_long_running_work_within_bounds():
    """Pattern: long-running work reserves every executor; desk work arrives.

    Guards against desk work that waited 30 s for enough free capacity while
    two data centres were closed (trouble-3 of bwc).
    """
    shard = builders.make_shard(virtual_time.Loop(), executors=4)
    for number in range(4):
        run_serving(shard, f"x{number}", "tough")
    queue_tasks(
        shard,
        builders.copy_step(builders.SHORT, cpu_millicores=13_000),
        5,
        queue="desk",
    )
    scheduling.run_pass(shard)
    assert tasks_being_stopped(shard) == []
    for task in shard.waiting_tasks:
        task.ready_at = shard.clock.monotonic() - 1.2
    scheduling.run_pass(shard)
    scheduling.run_pass(shard)
    assert len(tasks_being_stopped(shard)) == 1


def test_long_running_work_that_may_not_be_missed_is_never_preempted():
    """Guards against tasks missing through preemption (AVAIL check)."""
    shard = builders.make_shard(virtual_time.Loop())
    executor = shard.executor_by_id["x0"]
    step = builders.copy_step(builders.SERVING, count=4, may_miss=1)
    for task in builders.make_tasks(shard, step, queue="desk"):
        builders.start_run(executor, task, load=8.0)
    short = builders.copy_step(builders.SHORT, cpu_millicores=13_000)
    queue_tasks(shard, short, waited_s=3.0, queue="desk")
    scheduling.run_pass(shard)
    assert tasks_being_stopped(shard) == []


def test_long_running_work_waits_for_short_work_that_ends_soon():
    """Guards against stopping desk work a moment before its end."""
    shard = make_busy_shard()
    queue_tasks(shard, builders.SERVING, waited_s=1.0, queue="desk")
    scheduling.run_pass(shard)
    assert tasks_being_stopped(shard) == []


def test_short_work_that_has_waited_goes_before_long_running_work():
    """Pattern: both wait for the same free capacity."""
    shard = builders.make_shard(virtual_time.Loop())
    run_serving(shard, "x0", "tough")
    long_running = queue_tasks(
        shard, builders.copy_step(builders.SERVING, cpu_millicores=12_000), queue="desk"
    )
    short = queue_tasks(
        shard,
        builders.copy_step(builders.SHORT, cpu_millicores=12_000),
        waited_s=0.5,
        queue="desk",
    )
    scheduling.run_pass(shard)
    assert (short[0].run is None, long_running[0].run is None) == (False, True)


def test_long_running_work_that_has_waited_goes_first_again():
    """Guards against a preempted watcher that does not run again (LOST check).

    On bwc, mix --seed 257210108914: large desk tasks were always waiting, and
    a watcher waited behind them for 28 s.
    """
    shard = builders.make_shard(virtual_time.Loop())
    run_serving(shard, "x0", "tough")
    step = builders.copy_step(builders.SERVING, cpu_millicores=12_000)
    long_running = queue_tasks(shard, step, waited_s=2.5, queue="desk")
    step = builders.copy_step(builders.SHORT, cpu_millicores=12_000)
    short = queue_tasks(shard, step, waited_s=20.0, queue="desk")
    scheduling.run_pass(shard)
    assert (short[0].run is None, long_running[0].run is None) == (True, False)


def test_long_running_work_that_has_waited_preempts_short_work():
    """Guards against short work that always takes the freed capacity."""
    shard = make_busy_shard()
    queue_tasks(shard, builders.SERVING, waited_s=2.5, queue="desk")
    scheduling.run_pass(shard)
    assert len(tasks_being_stopped(shard)) == 2


def test_nothing_is_preempted_while_long_running_work_waits():
    """Guards against preempting one watcher after another."""
    shard = builders.make_shard(virtual_time.Loop(), executors=4)
    for number in range(4):
        run_serving(shard, f"x{number}", "tough")
    large = builders.copy_step(builders.SERVING, cpu_millicores=50_000)
    queue_tasks(shard, large, waited_s=2.5, queue="desk")
    short = builders.copy_step(builders.SHORT, cpu_millicores=13_000)
    queue_tasks(shard, short, waited_s=3.0, queue="desk")
    scheduling.run_pass(shard)
    assert tasks_being_stopped(shard) == []


def test_work_that_has_waited_avoids_a_crowded_executor():
    """Guards against work that waits 20 s while 600 of 880 cores are idle.

    Pattern: other best-effort work fills the least sensitive executor.
    """
    shard = builders.make_shard(virtual_time.Loop(), executors=2)
    crowded_executor = run_serving(shard, "x0", "tough")
    run_serving(shard, "x1", "frail")
    set_interference(shard, "tough", "press", 0.0)
    set_interference(shard, "tough", "other", 0.0)
    set_interference(shard, "frail", "press", 0.04)
    step = builders.copy_step(builders.BEST_EFFORT, count=12, image="other")
    for task in builders.make_tasks(shard, step):
        builders.start_run(crowded_executor, task)
    tasks = queue_tasks(shard, builders.BEST_EFFORT, waited_s=20.0)
    scheduling.run_pass(shard)
    assert tasks[0].run is not None
    assert tasks[0].run.executor_id == "x1"


def test_work_without_processors_is_placed():
    """Guards against a division by zero, which ends serving the shard."""
    shard = builders.make_shard(virtual_time.Loop())
    run_serving(shard, "x0", "frail")
    step = builders.copy_step(builders.BEST_EFFORT, cpu_millicores=0)
    tasks = queue_tasks(shard, step, waited_s=20.0)
    scheduling.run_pass(shard)
    assert tasks[0].run is not None


@pytest.mark.parametrize("waited_s", [0.0, 20.0])
def test_nothing_is_placed_beside_work_that_is_over_its_target(waited_s):
    """Guards against best-effort starts beside a run over target (HARM check).

    On trouble-2 of alto, a task stayed over its target for 4 s because new
    best-effort work kept starting beside it.
    """
    shard = builders.make_shard(virtual_time.Loop())
    executor = run_serving(shard, "x0", "tough")
    set_interference(shard, "tough", "press", 0.0)
    executor.serving_runs()[0].over_target_since = 0.0
    tasks = queue_tasks(shard, builders.BEST_EFFORT, waited_s=waited_s)
    scheduling.run_pass(shard)
    assert tasks[0].run is None
    executor.serving_runs()[0].over_target_since = None
    tasks[0].not_before = 0.0
    scheduling.run_pass(shard)
    assert tasks[0].run is not None


def fill_memory(shard, executor_id):
    """Let a run that needs hardly any processors reserve all memory."""
    step = builders.copy_step(
        builders.SHORT, cpu_millicores=1_000, memory_mb=builders.CAPACITY.memory_mb
    )
    task = builders.make_tasks(shard, step)[0]
    builders.start_run(shard.executor_by_id[executor_id], task)


def test_use_is_measured_over_the_whole_service():
    """Guards against tasks that wait for pace in a service with little use.

    Only the executors without free memory are idle. The others, of which two
    thirds of the processors and more are reserved, have room for the task.
    """
    shard = builders.make_shard(virtual_time.Loop(), executors=8)
    for number in range(2):
        run_serving(shard, f"x{number}", "frail")
    for number in range(2, 8):
        fill_memory(shard, f"x{number}")
    set_interference(shard, "frail", "press", 0.2)
    tasks = queue_tasks(shard, builders.BEST_EFFORT, waited_s=2.0)
    scheduling.run_pass(shard)
    assert tasks[0].run is not None


def test_use_of_other_services_does_not_count():
    """Guards against a full service that counts as idle beside an idle one."""
    shard = builders.make_shard(virtual_time.Loop(), executors=8)
    for number in range(2):
        run_serving(shard, f"x{number}", "frail")
    for number in range(2, 8):
        listing = shard.executor_by_id[f"x{number}"].listing
        listing.service = "another"
    set_interference(shard, "frail", "press", 0.2)
    tasks = queue_tasks(shard, builders.BEST_EFFORT, waited_s=2.0)
    scheduling.run_pass(shard)
    assert tasks[0].run is None


def test_the_use_of_a_service_is_measured_once_in_a_pass(monkeypatch):
    """Guards against a pass that costs executors times best-effort tasks."""
    shard = builders.make_shard(virtual_time.Loop(), executors=4)
    for number in range(4):
        run_serving(shard, f"x{number}", "frail")
    set_interference(shard, "frail", "press", 0.2)
    for memory_mb in range(1_000, 1_020):
        step = builders.copy_step(builders.BEST_EFFORT, memory_mb=memory_mb)
        queue_tasks(shard, step)
    measured = []
    measure_use = best_effort.measure_use

    def recording(executors, context):
        measured.append(context.service)
        return measure_use(executors, context)

    monkeypatch.setattr(best_effort, "measure_use", recording)
    scheduling.run_pass(shard)
    assert measured == ["service"]


def test_what_a_pass_places_counts_as_used():
    """Guards against a burst that is placed as if the service stayed idle."""
    shard = builders.make_shard(virtual_time.Loop())
    run_serving(shard, "x0", "frail", count=2)
    set_interference(shard, "frail", "press", 0.2)
    tasks = queue_tasks(shard, builders.BEST_EFFORT, 12, waited_s=2.0)
    scheduling.run_pass(shard)
    assert sum(task.run is not None for task in tasks) <= 3


def test_a_new_task_does_not_use_up_the_turn_of_one_that_has_waited():
    """Guards against a task that no longer waits for pace and is not placed.

    A task of the same size that has just come goes before it and fails.
    """
    shard = builders.make_shard(virtual_time.Loop(), executors=2)
    for number in range(2):
        run_serving(shard, f"x{number}", "frail", count=1)
    set_interference(shard, "frail", "press", 0.2)
    new = queue_tasks(shard, builders.BEST_EFFORT)
    old = queue_tasks(shard, builders.BEST_EFFORT, waited_s=2.0)
    scheduling.run_pass(shard)
    assert new[0].run is None
    assert old[0].run is not None


def test_the_only_executor_with_room_is_found_in_one_pass():
    """Guards against a wait that grows with the number of executors.

    A turn, each 0.2 s, looked at 40 executors from a random one on.
    """
    for index in range(0, 400, 40):
        shard = builders.make_shard(virtual_time.Loop(), executors=400)
        for executor_id in shard.executor_by_id:
            if executor_id != f"x{index}":
                fill_memory(shard, executor_id)
        tasks = queue_tasks(shard, builders.BEST_EFFORT, waited_s=2.0)
        scheduling.run_pass(shard)
        assert tasks[0].run is not None, index


def set_over_target(executor, since):
    """Let a serving run be over its target since a time."""
    run = executor.serving_runs()[0]
    run.load = 2.0 * run.task.step.tail_target_ms
    run.over_target_since = since


def test_work_in_an_idle_service_runs_beside_work_over_its_target():
    """Guards against a wait without an end in a service with much room.

    Each executor has a serving task over its target, which best-effort work
    that is paused does not harm.
    """
    shard = builders.make_shard(virtual_time.Loop(), executors=2)
    for number in range(2):
        executor = run_serving(shard, f"x{number}", "tough", count=1)
        set_over_target(executor, since=-5.0)
    set_interference(shard, "tough", "press", 0.0)
    new, old = (
        queue_tasks(shard, builders.BEST_EFFORT, waited_s=waited_s)[0]
        for waited_s in (0.0, 2.0)
    )
    scheduling.run_pass(shard)
    assert new.run is None
    assert old.run is not None


def test_executors_within_their_targets_come_first():
    """Guards against a paused run while another executor has full speed.

    The executor whose serving work is within its target is looked at last.
    """
    for index in range(0, 200, 40):
        shard = builders.make_shard(virtual_time.Loop(), executors=200)
        for number in range(200):
            executor = run_serving(shard, f"x{number}", "tough", count=1)
            if number != index:
                set_over_target(executor, since=-5.0)
        set_interference(shard, "tough", "press", 0.0)
        task = queue_tasks(shard, builders.BEST_EFFORT, waited_s=2.0)[0]
        scheduling.run_pass(shard)
        assert task.run is not None, index
        assert task.run.executor_id == f"x{index}"


def test_best_effort_work_that_lasts_runs_in_a_busy_service():
    """Guards against a lasting task without a run for 6 s (LOST check).

    For tasks that last, the rule holds however full the service is.
    """
    shard = builders.make_shard(virtual_time.Loop(), executors=2)
    for number in range(2):
        run_serving(shard, f"x{number}", "frail")
    set_interference(shard, "frail", "press", 0.2)
    step = builders.copy_step(builders.BEST_EFFORT, long_running=True)
    lasting = queue_tasks(shard, step, waited_s=2.0)
    ending = queue_tasks(shard, builders.BEST_EFFORT, waited_s=2.0)
    scheduling.run_pass(shard)
    assert lasting[0].run is not None
    assert ending[0].run is None


def test_an_unknown_pair_of_images_delays_no_work_in_an_idle_service():
    """Guards against tasks that wait for one another's trial, 1.5 s each."""
    shard = builders.make_shard(virtual_time.Loop(), executors=4)
    for number in range(4):
        run_serving(shard, f"x{number}", "desk", count=1)
    tasks = [
        queue_tasks(shard, builders.BEST_EFFORT, waited_s=2.0)[0] for _ in range(8)
    ]
    scheduling.run_pass(shard)
    assert [task.run for task in tasks if task.run is None] == []
