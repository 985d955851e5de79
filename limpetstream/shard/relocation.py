"""Moves paused best-effort runs to executors where they can continue."""

from collections.abc import Iterator

from limpetstream.executors import tracking
from limpetstream.organisations import limits
from limpetstream.shard import scheduling, state, stops
from limpetstream.workflow import best_effort, state as workflow_state

MAX_RELOCATIONS_PER_PASS = 2  # The stopped runs need capacity elsewhere.
RELOCATION_INTERVAL_S = 3.0  # A task that is stopped too often makes no progress.
MAX_PERCENT_WITHOUT_CHECKPOINT = 30  # Stopping loses all work done.
RETRY_S = 1.0  # The time between two polls, which change the forecasts.
# Checks in one call, every 0.1 s: a fourth of what a scheduling pass may do.
MAX_CHECKS = scheduling.MAX_CHECKS_PER_PASS // 4


def relocate_paused_runs(shard: state.Shard) -> None:
    """Stop paused best-effort runs whose tasks fit on another executor.

    A run stays if the limit of its organisation would not let its task start
    again.

    A call that reaches its limits leaves the other runs to the next one.
    """
    now = shard.clock.monotonic()
    relocated = checks = 0
    for index, executor in _from_last_end(shard):
        for run in executor.best_effort_runs():
            if not _should_move(run, now) or not limits.allows_again(shard, run.task):
                continue
            if relocated >= MAX_RELOCATIONS_PER_PASS or checks >= MAX_CHECKS:
                shard.searches.next_relocation = index
                return
            context = scheduling.placement_context(
                shard, shard.service_of(run.task.job), now
            )
            if best_effort.has_better_executor(
                shard.executor_by_id.values(), run.task, context
            ):
                run.task.moved_at = now
                relocated += 1
                stops.stop_run(shard, executor, run, "slows serving work")
            else:
                run.relocation_tried_at = now
            checks += context.work


def _from_last_end(shard: state.Shard) -> Iterator[tuple[int, tracking.Executor]]:
    """Yield all executors with their index, from where the last call ended."""
    executors = list(enumerate(shard.executor_by_id.values()))
    first = min(shard.searches.next_relocation, len(executors))
    yield from executors[first:]
    yield from executors[:first]


def _should_move(run: workflow_state.Run, now: float) -> bool:
    """Return whether a run is paused and stopping it loses little work."""
    if run.pace or run.phase != workflow_state.WORKING:
        return False
    if now - run.task.moved_at < RELOCATION_INTERVAL_S:
        return False
    if now - run.relocation_tried_at < RETRY_S:
        return False
    return run.task.step.checkpoints or run.percent < MAX_PERCENT_WITHOUT_CHECKPOINT
