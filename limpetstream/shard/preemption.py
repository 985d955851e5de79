"""Stops runs to free capacity for waiting tasks."""

from collections.abc import Collection, Hashable

from limpetstream.executors import tracking
from limpetstream.organisations import limits
from limpetstream.shard import searches, state, stops, victims
from limpetstream.workflow import eligibility, placement, state as workflow_state

PREEMPT_RETRY_MARGIN_S = 1.0  # Beyond the stop, for the poll that lists the end.
SHORT_PREEMPT_AFTER_S = 1.0  # Most short tasks run for less than two seconds.
# Runs begin to work, and others come close to their end, without a change of
# capacity; a tenth of ``victims.LONG_RUNNING_MAX_WAIT_S``.
SEARCH_RETRY_S = 0.2
# A preempted run takes 0.2 s to stop and free its capacity. In a larger fleet
# more runs give way at a time.
LONG_RUNNING_PREEMPT_INTERVAL_S = 0.3
EXECUTORS_PER_PREEMPTED_RUN = 32
LONG_RUNNING_PREEMPT_AFTER_S = 0.1  # Waits for capacity that is just being freed.
# Long-running tasks that may wait, as a share of those that run. On both of
# the users' deployments a core earns about four times as much with short tasks
# as with long-running ones; the share bounds what the long-running ones lose.
MAX_WAITING_LONG_RUNNING_SHARE = 0.08


def may_preempt(shard: state.Shard, task: workflow_state.Task, now: float) -> bool:
    """Return whether a task has waited long enough to preempt other runs."""
    if task.step.fills:
        return False
    wait_s = (
        LONG_RUNNING_PREEMPT_AFTER_S
        if task.step.long_running
        else SHORT_PREEMPT_AFTER_S
    )
    if workflow_state.waited_s(task, now) <= wait_s:
        return False
    # Runs that were stopped for it before need time to end.
    return now - task.preempted_others_at > _longest_end_s(shard)


def _longest_end_s(shard: state.Shard) -> float:
    """Return how long runs that are being stopped may keep their capacity."""
    return shard.timing.max_stop_s + PREEMPT_RETRY_MARGIN_S


def preempt_for(
    shard: state.Shard,
    task: workflow_state.Task,
    context: eligibility.PlacementContext,
    executors: list[tracking.Executor],
    shape: Hashable,
) -> bool:
    """Stop the cheapest runs whose end makes a task fit on an executor.

    The executors are compared in batches, as for placement. The search is
    not repeated until capacity was freed or ``SEARCH_RETRY_S`` has passed;
    then the runs, or what they are expected to need, may have changed.

    Args:
        shard: Shard of the task.
        task: Task that waits.
        context: What a placement depends on; the work is counted there.
        executors: All executors.
        shape: What the placement of the task depends on.

    Returns:
        Whether runs are being stopped.
    """
    priority, now = shard.priority_of(task.job), context.now
    key = (victims.kind_of(shard, task), priority, shape)
    searched = searches.candidates(shard.searches, key, executors, SEARCH_RETRY_S, now)
    for batch in placement.candidate_batches(searched, task.name, now):
        best = _cheapest(shard, batch, task, priority, context)
        if best is not None:
            _stop_victims(shard, task, *best, now)
            return True
    searches.note_failure(
        shard.searches, key, searched_all=searched is executors, now=now
    )
    return False


def _cheapest(
    shard: state.Shard,
    executors: list[tracking.Executor],
    task: workflow_state.Task,
    priority: int,
    context: eligibility.PlacementContext,
) -> tuple[tracking.Executor, list[workflow_state.Run]] | None:
    """Return the executor where stopping runs loses least, and these runs."""
    best, best_cost = None, float("inf")
    context.checked_count += len(executors)
    for executor in executors:
        if (
            not executor.fits_when_idle(task.step)
            or not executor.has_accelerators(task.step)
            or not eligibility.accepts_new_tasks(executor, context)
            or eligibility.is_in_doubt(executor, context.now)
            or not eligibility.meets_constraints(executor, task)
            or not victims.may_suffice(shard, executor, task, priority, context)
        ):
            continue
        chosen = victims.choose(shard, executor, task, priority, context)
        if chosen is None:
            continue
        cost = sum(victims.lost_core_s(run, context.now) for run in chosen)
        if cost < best_cost:
            best, best_cost = (executor, chosen), cost
    return best


def _stop_victims(
    shard: state.Shard,
    task: workflow_state.Task,
    executor: tracking.Executor,
    runs: list[workflow_state.Run],
    now: float,
) -> None:
    if not task.step.long_running:
        shard.long_running_preempted_at = now
    for run in runs:
        stops.stop_run(shard, executor, run, f"preempted for {task.name}")
    victims.forget(shard, executor)
    task.preempted_others_at = now
    limits.note_preemption(shard, task, now + _longest_end_s(shard))


def may_preempt_long_running(
    shard: state.Shard, now: float, startable: Collection[workflow_state.Task]
) -> bool:
    """Return whether a further long-running run may be preempted now.

    That requires a pause since the last one, a short task that has waited long
    enough, and that few long-running tasks wait, none of them for long. Of the
    waiting tasks, ``startable`` holds those that no limit holds back.
    """
    fleet = max(1.0, len(shard.executor_by_id) / EXECUTORS_PER_PREEMPTED_RUN)
    pause_s = LONG_RUNNING_PREEMPT_INTERVAL_S / fleet
    if now - shard.long_running_preempted_at < pause_s:
        return False
    if not any(
        victims.is_short(task)
        and now - task.ready_at > SHORT_PREEMPT_AFTER_S
        and now - task.held_back_at > SHORT_PREEMPT_AFTER_S
        for task in startable
    ):
        return False
    waiting = [task for task in startable if task.step.long_running]
    if any(victims.has_waited_long(shard, task) for task in waiting):
        return False
    long_running_count = sum(
        executor.long_running_count for executor in shard.executor_by_id.values()
    )
    return len(waiting) < MAX_WAITING_LONG_RUNNING_SHARE * long_running_count
