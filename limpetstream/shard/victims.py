"""Selects the runs on one executor that may be stopped for a waiting task."""

from limpetstream.executors import tracking
from limpetstream.shard import objectives, searches, state
from limpetstream.workflow import eligibility, state as workflow_state

# Capacity that is expected to be free sooner does not justify lost work.
ENDS_SOON_S = 1.5
# A long-running task has to run again within 6 s after its last run.
LONG_RUNNING_MAX_WAIT_S = 2.0
# Kinds of waiting tasks, for which different runs may be stopped.
SHORT = "short"
LONG_RUNNING = "long-running"
LONG_RUNNING_LATE = "long-running, has waited long"
KINDS = (SHORT, LONG_RUNNING, LONG_RUNNING_LATE)
# Runs begin to work or are stopped without a change of what is reserved.
MAX_FREEABLE_AGE_S = 0.2


def is_short(task: workflow_state.Task) -> bool:
    """Return whether a task reserves processors and ends by itself.

    That is neither a best-effort task nor a long-running one.
    """
    return not task.step.long_running and not task.step.fills


def has_waited_long(shard: state.Shard, task: workflow_state.Task) -> bool:
    """Return whether a task is long-running and its longest wait is over."""
    if not task.step.long_running:
        return False
    now = shard.clock.monotonic()
    return (
        now - task.ready_at > LONG_RUNNING_MAX_WAIT_S
        and now - task.held_back_at > LONG_RUNNING_MAX_WAIT_S
    )


def kind_of(shard: state.Shard, task: workflow_state.Task) -> str:
    """Return the kind of a waiting task that is not best-effort."""
    if not task.step.long_running:
        return SHORT
    return LONG_RUNNING_LATE if has_waited_long(shard, task) else LONG_RUNNING


def may_suffice(
    shard: state.Shard,
    executor: tracking.Executor,
    task: workflow_state.Task,
    priority: int,
    context: eligibility.PlacementContext,
) -> bool:
    """Return whether stopping runs on an executor may free enough for a task.

    This compares sums that are kept for ``MAX_FREEABLE_AGE_S``; ``choose``
    looks at the runs.
    """
    missing_cpu, missing_memory = _missing(executor, task)
    if missing_cpu <= 0 and missing_memory <= 0:
        return True
    freeable_cpu = freeable_memory = 0
    for run_priority, cpu, memory in _freeable(
        shard, executor, kind_of(shard, task), context
    ).by_priority:
        if run_priority < priority:
            break
        freeable_cpu, freeable_memory = cpu, memory
    return missing_cpu <= freeable_cpu and missing_memory <= freeable_memory


def choose(
    shard: state.Shard,
    executor: tracking.Executor,
    task: workflow_state.Task,
    priority: int,
    context: eligibility.PlacementContext,
) -> list[workflow_state.Run] | None:
    """Return the cheapest runs whose end lets a task fit, or None.

    Args:
        shard: Shard of the task.
        executor: Executor whose runs are compared.
        task: Task that waits.
        priority: Its priority; runs that are more important are kept.
        context: What a placement depends on; the work is counted there.
    """
    missing_cpu, missing_memory = _missing(executor, task)
    kind, now = kind_of(shard, task), context.now
    context.checked_count += len(executor.run_by_task)
    priority_by_run = {
        run: run_priority
        for run in executor.run_by_task.values()
        if _may_preempt_run(shard, run, kind)
        and (run_priority := shard.priority_of(run.task.job)) >= priority
    }
    candidates = sorted(
        priority_by_run, key=lambda run: (-priority_by_run[run], lost_core_s(run, now))
    )
    chosen = []
    for run in candidates:
        if missing_cpu <= 0 and missing_memory <= 0:
            break
        step = run.task.step
        if not ((missing_cpu > 0 and not step.fills) or missing_memory > 0):
            continue
        missing_cpu -= 0 if step.fills else step.cpu_millicores
        missing_memory -= step.memory_mb
        chosen.append(run)
    return chosen if missing_cpu <= 0 and missing_memory <= 0 else None


def forget(shard: state.Shard, executor: tracking.Executor) -> None:
    """Forget the kept sums of an executor, some of whose runs are stopped."""
    searches.forget_freeable(shard.searches, executor.listing.executor_id, KINDS)


def lost_core_s(run: workflow_state.Run, now: float) -> float:
    """Return how many core-seconds of work stopping a run would lose."""
    if run.task.step.checkpoints:
        return 0.5 * run.task.step.cpu_millicores / 1000
    return (now - run.start_requested_at) * run.task.step.cpu_millicores / 1000


def _missing(executor: tracking.Executor, task: workflow_state.Task) -> tuple[int, int]:
    """Return the millicores and MB that an executor lacks for a task."""
    step, capacity = task.step, executor.listing.capacity
    cpu = 0 if step.fills else step.cpu_millicores
    return (
        cpu - (capacity.cpu_millicores - executor.reserved_millicores),
        step.memory_mb - (capacity.memory_mb - executor.reserved_memory_mb),
    )


def _freeable(
    shard: state.Shard,
    executor: tracking.Executor,
    kind: str,
    context: eligibility.PlacementContext,
) -> searches.Freeable:
    """Return what stopping runs on an executor can free for a kind of task."""
    key = (executor.listing.executor_id, kind)
    kept = shard.searches.freeable_by_executor.get(key)
    if (
        kept is not None
        and kept.run_changes == executor.run_changes
        and context.now - kept.computed_at < MAX_FREEABLE_AGE_S
    ):
        return kept
    context.checked_count += len(executor.run_by_task)
    reserved_by_priority: dict[int, tuple[int, int]] = {}
    for run in executor.run_by_task.values():
        if not _may_preempt_run(shard, run, kind):
            continue
        priority, step = shard.priority_of(run.task.job), run.task.step
        cpu, memory = reserved_by_priority.get(priority, (0, 0))
        cpu += 0 if step.fills else step.cpu_millicores
        reserved_by_priority[priority] = cpu, memory + step.memory_mb
    by_priority, total_cpu, total_memory = [], 0, 0
    for priority, (cpu, memory) in sorted(reserved_by_priority.items(), reverse=True):
        total_cpu += cpu
        total_memory += memory
        by_priority.append((priority, total_cpu, total_memory))
    freeable = searches.Freeable(context.now, executor.run_changes, by_priority)
    shard.searches.freeable_by_executor[key] = freeable
    return freeable


def _may_preempt_run(shard: state.Shard, run: workflow_state.Run, kind: str) -> bool:
    """Return whether a run may be preempted for a kind of task.

    For a short task, these are the long-running runs without a limit on
    stops. For a long-running task, they are the runs that are not
    long-running; until the task has waited long, short runs that are expected
    to end soon are left out.
    """
    step = run.task.step
    if run.phase != workflow_state.WORKING or step.gang:
        return False
    if kind == SHORT:
        return step.long_running and not step.may_miss
    if step.long_running:
        return False
    if step.fills or kind == LONG_RUNNING_LATE:
        return True
    queue = run.task.job.submission.queue
    run_s = shard.run_s_by_queue.get(queue, objectives.DEFAULT_RUN_S)
    return run.start_requested_at + run_s - shard.clock.monotonic() > ENDS_SOON_S
