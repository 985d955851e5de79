"""Moves paused best-effort runs to executors where they can continue."""

from limpetstream.shard import scheduling, state, stops
from limpetstream.workflow import best_effort, state as workflow_state

MAX_RELOCATIONS_PER_PASS = 2  # The stopped runs need capacity elsewhere.
RELOCATION_INTERVAL_S = 3.0  # A task that is stopped too often makes no progress.
MAX_PERCENT_WITHOUT_CHECKPOINT = 30  # Stopping loses all work done.


def relocate_paused_runs(shard: state.Shard) -> None:
    """Stop paused best-effort runs whose tasks fit on another executor."""
    now = shard.clock.monotonic()
    relocated = 0
    for executor in shard.executor_by_id.values():
        for run in executor.best_effort_runs():
            if relocated >= MAX_RELOCATIONS_PER_PASS or not _should_move(run, now):
                continue
            context = scheduling.placement_context(
                shard, shard.service_of(run.task.job), now
            )
            if best_effort.has_better_executor(
                shard.executor_by_id.values(), run.task, context
            ):
                run.task.moved_at = now
                relocated += 1
                stops.stop_run(shard, executor, run, "slows serving work")


def _should_move(run: workflow_state.Run, now: float) -> bool:
    """Return whether a run is paused and stopping it loses little work."""
    if run.pace or run.phase != workflow_state.WORKING:
        return False
    if now - run.task.moved_at < RELOCATION_INTERVAL_S:
        return False
    return run.task.step.checkpoints or run.percent < MAX_PERCENT_WITHOUT_CHECKPOINT
