"""Room that is made for waiting work by stopping other work."""

from limpetstream.executors import tracking
from limpetstream.shard import objectives, state, stops
from limpetstream.workflow import eligibility, state as workflow_state

PREEMPT_RETRY_MARGIN_S = 1.0  # Beyond the stop: the look that lists the end.
SHORT_PREEMPT_AFTER_S = 1.0  # Most short work runs for less than two seconds.
ENDS_SOON_S = 1.5  # Room that is free sooner is not worth the work thrown away.
LONG_RUNNING_MAX_WAIT_S = 2.0  # Lasting work has to run again 6 s after its last run.
LONG_RUNNING_PREEMPT_INTERVAL_S = (
    0.3  # Room of the last one shows after a stop of 0.2 s.
)
LONG_RUNNING_PREEMPT_AFTER_S = 0.1  # Room that is about to be free is waited for first.
# Short work earns about four times as much for a core as work that lasts, on
# both of the users' deployments; the share bounds what lasting work loses.
MAX_WAITING_LONG_RUNNING_SHARE = 0.08


def is_short(task: workflow_state.Task) -> bool:
    """Return whether a task holds processors, but not for good."""
    return not task.step.long_running and not task.step.fills


def has_waited_long(shard: state.Shard, task: workflow_state.Task) -> bool:
    """Return whether a lasting task must run next."""
    waited_s = shard.clock.monotonic() - task.ready_at
    return task.step.long_running and waited_s > LONG_RUNNING_MAX_WAIT_S


def may_preempt(shard: state.Shard, task: workflow_state.Task, now: float) -> bool:
    """Return whether other work may be stopped for a task by now."""
    if task.step.fills:
        return False
    wait_s = (
        LONG_RUNNING_PREEMPT_AFTER_S
        if task.step.long_running
        else SHORT_PREEMPT_AFTER_S
    )
    if now - task.ready_at <= wait_s:
        return False
    # What was stopped for it must have had the time to end.
    return (
        now - task.preempted_others_at
        > shard.timing.max_stop_s + PREEMPT_RETRY_MARGIN_S
    )


def preempt_for(
    shard: state.Shard, task: workflow_state.Task, around: eligibility.PlacementContext
) -> bool:
    """Stop runs so that a task fits somewhere; return whether any are."""
    priority = shard.priority_of(task.job)
    best: list[workflow_state.Run] | None = None
    best_executor, best_cost = None, float("inf")
    for executor in shard.executor_by_id.values():
        if not eligibility.accepts_new_tasks(executor, around):
            continue
        if not executor.fits_when_idle(task.step) or not eligibility.meets_constraints(
            executor, task
        ):
            continue
        victims = _victims(shard, executor, task, priority)
        if victims is None:
            continue
        cost = sum(_loss(run, around.now) for run in victims)
        if cost < best_cost:
            best, best_executor, best_cost = victims, executor, cost
    if best is None or best_executor is None:
        return False
    if not task.step.long_running:
        shard.long_running_preempted_at = around.now
    for run in best:
        stops.stop_run(shard, best_executor, run, f"room for {task.name}")
    task.preempted_others_at = around.now
    return True


def _victims(
    shard: state.Shard,
    executor: tracking.Executor,
    task: workflow_state.Task,
    priority: int,
) -> list[workflow_state.Run] | None:
    """Return the cheapest runs whose end makes a task fit; None if none do."""
    step = task.step
    capacity = executor.listing.capacity
    cpu = 0 if step.fills else step.cpu_millicores
    cpu -= capacity.cpu_millicores - executor.reserved_millicores
    memory = step.memory_mb - (capacity.memory_mb - executor.reserved_memory_mb)
    now = shard.clock.monotonic()
    candidates = [
        run
        for run in executor.run_by_task.values()
        if run.phase == workflow_state.WORKING
        and not run.task.step.gang
        and shard.priority_of(run.task.job) >= priority
        and _may_stop_for(shard, run, task)
    ]
    candidates.sort(key=lambda run: (-shard.priority_of(run.task.job), _loss(run, now)))
    victims = []
    for run in candidates:
        if cpu <= 0 and memory <= 0:
            break
        useful = (cpu > 0 and not run.task.step.fills) or memory > 0
        if not useful:
            continue
        if not run.task.step.fills:
            cpu -= run.task.step.cpu_millicores
        memory -= run.task.step.memory_mb
        victims.append(run)
    return victims if cpu <= 0 and memory <= 0 else None


def _may_stop_for(
    shard: state.Shard, run: workflow_state.Run, task: workflow_state.Task
) -> bool:
    """Return whether a run may be stopped to make room for a task."""
    lasting = run.task.step.long_running
    if not task.step.long_running:
        return lasting and not run.task.step.may_miss
    if lasting:
        return False
    if run.task.step.fills or has_waited_long(shard, task):
        return True
    queue = run.task.job.submission.queue
    run_s = shard.run_s_by_queue.get(queue, objectives.DEFAULT_RUN_S)
    return run.start_requested_at + run_s - shard.clock.monotonic() > ENDS_SOON_S


def may_preempt_long_running(shard: state.Shard, now: float) -> bool:
    """Return whether one more lasting run may be stopped for short work."""
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
    lasting = sum(
        run.task.step.long_running
        for executor in shard.executor_by_id.values()
        for run in executor.run_by_task.values()
    )
    return len(waiting) < MAX_WAITING_LONG_RUNNING_SHARE * lasting


def _loss(run: workflow_state.Run, now: float) -> float:
    """Return the core-seconds that stopping a run would waste."""
    if run.task.step.checkpoints:
        return 0.5 * run.task.step.cpu_millicores / 1000
    return (now - run.start_requested_at) * run.task.step.cpu_millicores / 1000
