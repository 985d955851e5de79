"""Places one waiting task, or all members of a gang, on executors."""

from collections.abc import Hashable

from limpetstream.executors import tracking
from limpetstream.shard import searches, starts, state
from limpetstream.workflow import (
    best_effort,
    eligibility,
    placement,
    state as workflow_state,
)

# Until a change of an executor's listing or labels is noticed at the latest.
SEARCH_RETRY_S = 1.0
GANG_RETRY_S = 0.2  # Members of a gang wait for each other for seconds.


def shape(task: workflow_state.Task, service: str) -> Hashable:
    """Return what decides, besides the executors, whether a task finds one.

    Tasks of one shape fail together. A limit on the tasks of a step on one
    executor makes each step a shape of its own.
    """
    step = task.step
    return (
        service,
        step.cpu_millicores,
        step.memory_mb,
        step.accelerators,
        step.required_label,
        step.fills,
        workflow_state.step_name(task) if step.max_per_executor else "",
    )


def place(
    shard: state.Shard,
    task: workflow_state.Task,
    context: eligibility.PlacementContext,
    executors: list[tracking.Executor],
    *,
    accepts_doubt: bool = True,
) -> bool:
    """Start a task if an executor suits it; return whether one does.

    Args:
        shard: Shard of the task.
        task: Task that waits and is neither best-effort nor of a gang.
        context: What the placement depends on; the work is counted there.
        executors: All executors.
        accepts_doubt: Whether an executor in doubt is taken if no other one
            suits the task.
    """
    key = (shape(task, context.service), accepts_doubt)
    searched = searches.candidates(
        shard.searches, key, executors, SEARCH_RETRY_S, context.now
    )
    if not searched:
        context.held_up_count += searches.is_held_up(shard.searches, key)
        return False
    if task.step.rack_sensitive:
        searched = executors  # The racks of the step's other tasks count.
    executor = placement.choose(searched, task, context, accepts_doubt=accepts_doubt)
    if executor is None:
        searches.note_failure(
            shard.searches,
            key,
            searched_all=searched is executors,
            now=context.now,
            is_held_up=context.held_up_count > 0,
        )
        return False
    start_on(shard, executor, task, task.last_run + 1)
    return True


def place_best_effort(
    shard: state.Shard,
    task: workflow_state.Task,
    context: eligibility.PlacementContext,
    executors: list[tracking.Executor],
) -> bool:
    """Start a best-effort task; return whether an executor suits it.

    Only a search of all executors that finds no room is remembered: expected
    speeds change without a change of capacity.

    Args:
        shard: Shard of the task.
        task: Best-effort task that waits and is not of a gang.
        context: What the placement depends on; the work is counted there.
        executors: All executors.
    """
    key = shape(task, context.service)
    searched = searches.candidates(
        shard.searches, key, executors, SEARCH_RETRY_S, context.now
    )
    executor = placement.choose(searched, task, context)
    if executor is None:
        if not context.eligible_count and best_effort.must_run_soon(task, context):
            searches.note_failure(
                shard.searches, key, searched_all=searched is executors, now=context.now
            )
        return False
    start_on(shard, executor, task, task.last_run + 1)
    return True


def place_gang(
    shard: state.Shard,
    members: list[workflow_state.Task],
    context: eligibility.PlacementContext,
    executors: list[tracking.Executor],
) -> bool:
    """Place all members of a gang or none; return whether any were placed."""
    first = members[0]
    if len(members) < first.step.count:
        return False
    key = "gang", first.name, shape(first, context.service)
    if not searches.candidates(
        shard.searches, key, executors, GANG_RETRY_S, context.now
    ):
        return False
    run_number = max(member.last_run for member in members) + 1
    checkpoint = max(member.checkpoint for member in members)
    chosen: list[tuple[tracking.Executor, workflow_state.Run]] = []
    for member in members:
        executor = placement.choose(executors, member, context)
        if executor is None:
            _release_all(chosen)
            searches.note_failure(
                shard.searches, key, searched_all=True, now=context.now
            )
            return False
        run = workflow_state.Run(
            member, run_number, executor.listing.executor_id, context.now
        )
        member.run = run
        executor.reserve(run)
        chosen.append((executor, run))
    for executor, run in chosen:
        run.task.last_run = run_number
        run.task.checkpoint = checkpoint
        starts.begin(shard, executor, run)
    return True


def _release_all(
    reserved: list[tuple[tracking.Executor, workflow_state.Run]],
) -> None:
    """Release runs that were reserved in this pass and are not started."""
    for executor, run in reserved:
        executor.release(run)
        executor.has_freed = False  # Nothing is free that was not before.
        run.task.run = None


def start_on(
    shard: state.Shard,
    executor: tracking.Executor,
    task: workflow_state.Task,
    run_number: int,
) -> None:
    """Reserve capacity on an executor for a run and start it there."""
    now = shard.clock.monotonic()
    run = workflow_state.Run(task, run_number, executor.listing.executor_id, now)
    if task.step.fills:
        for serving_run in executor.serving_runs():
            shard.interference_model.note_probe(
                serving_run.task.step.image, task.step.image, now
            )
    task.run = run
    task.last_run = run_number
    executor.reserve(run)
    shard.forecasts.drop(executor.listing.executor_id)
    starts.begin(shard, executor, run)
