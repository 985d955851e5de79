"""Stops runs to free capacity for waiting tasks."""

from limpetstream.executors import tracking
from limpetstream.shard import objectives, state, stops
from limpetstream.workflow import eligibility, state as workflow_state

PREEMPT_RETRY_MARGIN_S = 1.0  # Beyond the stop, for the poll that lists the end.
SHORT_PREEMPT_AFTER_S = 1.0  # Most short tasks run for less than two seconds.
# Capacity that is expected to be free sooner does not justify lost work.
ENDS_SOON_S = 1.5
# A long-running task has to run again within 6 s after its last run.
LONG_RUNNING_MAX_WAIT_S = 2.0
# A preempted run takes 0.2 s to stop and free its capacity.
LONG_RUNNING_PREEMPT_INTERVAL_S = 0.3
LONG_RUNNING_PREEMPT_AFTER_S = 0.1  # Waits for capacity that is just being freed.
# Long-running tasks that may wait, as a share of those that run. On both of
# the users' deployments a core earns about four times as much with short tasks
# as with long-running ones; the share bounds what the long-running ones lose.
MAX_WAITING_LONG_RUNNING_SHARE = 0.08


def is_short(task: workflow_state.Task) -> bool:
    """Return whether a task reserves processors and ends by itself.

    That is neither a best-effort task nor a long-running one.
    """
    return not task.step.long_running and not task.step.fills


def has_waited_long(shard: state.Shard, task: workflow_state.Task) -> bool:
    """Return whether a task is long-running and its longest wait is over."""
    waited_s = shard.clock.monotonic() - task.ready_at
    return task.step.long_running and waited_s > LONG_RUNNING_MAX_WAIT_S


def may_preempt(shard: state.Shard, task: workflow_state.Task, now: float) -> bool:
    """Return whether a task has waited long enough to preempt other runs."""
    if task.step.fills:
        return False
    wait_s = (
        LONG_RUNNING_PREEMPT_AFTER_S
        if task.step.long_running
        else SHORT_PREEMPT_AFTER_S
    )
    if now - task.ready_at <= wait_s:
        return False
    # Runs that were stopped for it before need time to end.
    return (
        now - task.preempted_others_at
        > shard.timing.max_stop_s + PREEMPT_RETRY_MARGIN_S
    )


def preempt_for(
    shard: state.Shard, task: workflow_state.Task, context: eligibility.PlacementContext
) -> bool:
    """Stop the cheapest runs whose end makes a task fit on an executor.

    Returns:
        Whether runs are being stopped.
    """
    priority = shard.priority_of(task.job)
    best_victims: list[workflow_state.Run] | None = None
    best_executor, best_cost = None, float("inf")
    for executor in shard.executor_by_id.values():
        if not eligibility.accepts_new_tasks(executor, context):
            continue
        if not executor.fits_when_idle(task.step) or not eligibility.meets_constraints(
            executor, task
        ):
            continue
        victims = _victims(shard, executor, task, priority)
        if victims is None:
            continue
        cost = sum(_lost_core_s(run, context.now) for run in victims)
        if cost < best_cost:
            best_victims, best_executor, best_cost = victims, executor, cost
    if best_victims is None or best_executor is None:
        return False
    if not task.step.long_running:
        shard.long_running_preempted_at = context.now
    for run in best_victims:
        stops.stop_run(shard, best_executor, run, f"preempted for {task.name}")
    task.preempted_others_at = context.now
    return True


def _victims(
    shard: state.Shard,
    executor: tracking.Executor,
    task: workflow_state.Task,
    priority: int,
) -> list[workflow_state.Run] | None:
    """Return the cheapest runs whose end lets a task fit, or None."""
    step = task.step
    capacity = executor.listing.capacity
    missing_cpu = 0 if step.fills else step.cpu_millicores
    missing_cpu -= capacity.cpu_millicores - executor.reserved_millicores
    missing_memory = step.memory_mb - (capacity.memory_mb - executor.reserved_memory_mb)
    now = shard.clock.monotonic()
    candidates = [
        run
        for run in executor.run_by_task.values()
        if run.phase == workflow_state.WORKING
        and not run.task.step.gang
        and shard.priority_of(run.task.job) >= priority
        and _may_preempt_run(shard, run, task)
    ]
    candidates.sort(
        key=lambda run: (-shard.priority_of(run.task.job), _lost_core_s(run, now))
    )
    victims = []
    for run in candidates:
        if missing_cpu <= 0 and missing_memory <= 0:
            break
        frees_resource = (
            missing_cpu > 0 and not run.task.step.fills
        ) or missing_memory > 0
        if not frees_resource:
            continue
        if not run.task.step.fills:
            missing_cpu -= run.task.step.cpu_millicores
        missing_memory -= run.task.step.memory_mb
        victims.append(run)
    return victims if missing_cpu <= 0 and missing_memory <= 0 else None


def _may_preempt_run(
    shard: state.Shard, run: workflow_state.Run, task: workflow_state.Task
) -> bool:
    """Return whether a run may be preempted for a task.

    For a short task, these are the long-running runs without a limit on
    stops. For a long-running task, they are the runs that are not
    long-running; until the task has waited long, short runs that are expected
    to end soon are left out.
    """
    is_long_running = run.task.step.long_running
    if not task.step.long_running:
        return is_long_running and not run.task.step.may_miss
    if is_long_running:
        return False
    if run.task.step.fills or has_waited_long(shard, task):
        return True
    queue = run.task.job.submission.queue
    run_s = shard.run_s_by_queue.get(queue, objectives.DEFAULT_RUN_S)
    return run.start_requested_at + run_s - shard.clock.monotonic() > ENDS_SOON_S


def may_preempt_long_running(shard: state.Shard, now: float) -> bool:
    """Return whether a further long-running run may be preempted now.

    That requires a pause since the last one, a short task that has waited long
    enough, and that few long-running tasks wait, none of them for long.
    """
    if now - shard.long_running_preempted_at < LONG_RUNNING_PREEMPT_INTERVAL_S:
        return False
    if not any(
        is_short(task) and now - task.ready_at > SHORT_PREEMPT_AFTER_S
        for task in shard.waiting_tasks
    ):
        return False
    waiting = [task for task in shard.waiting_tasks if task.step.long_running]
    if any(has_waited_long(shard, task) for task in waiting):
        return False
    long_running_count = sum(
        run.task.step.long_running
        for executor in shard.executor_by_id.values()
        for run in executor.run_by_task.values()
    )
    return len(waiting) < MAX_WAITING_LONG_RUNNING_SHARE * long_running_count


def _lost_core_s(run: workflow_state.Run, now: float) -> float:
    """Return how many core-seconds of work stopping a run would lose."""
    if run.task.step.checkpoints:
        return 0.5 * run.task.step.cpu_millicores / 1000
    return (now - run.start_requested_at) * run.task.step.cpu_millicores / 1000
