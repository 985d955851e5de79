"""Moves of filling runs that stand still beside serving work."""

from limpetstream.shard import scheduling, state, stops
from limpetstream.workflow import best_effort, state as workflow_state

MAX_RELOCATIONS_PER_PASS = 2  # In one pass: what is stopped needs room elsewhere.
RELOCATION_INTERVAL_S = 3.0  # A task that is stopped everywhere would get nothing done.
MAX_PERCENT_WITHOUT_CHECKPOINT = (
    30  # Without a checkpoint the work done so far is lost.
)


def relocate_paused_runs(shard: state.Shard) -> None:
    """Stop filling runs that stand still, where they can go on elsewhere."""
    now = shard.clock.monotonic()
    moved = 0
    for executor in shard.executor_by_id.values():
        for run in executor.best_effort_runs():
            if moved >= MAX_RELOCATIONS_PER_PASS or not _should_move(run, now):
                continue
            around = scheduling.placement_context(
                shard, shard.service_of(run.task.job), now
            )
            if best_effort.has_better_executor(
                shard.executor_by_id.values(), run.task, around
            ):
                run.task.moved_at = now
                moved += 1
                stops.stop_run(shard, executor, run, "disturbs serving work")


def _should_move(run: workflow_state.Run, now: float) -> bool:
    """Return whether a run stands still and stopping it loses little."""
    if run.pace or run.phase != workflow_state.WORKING:
        return False
    if now - run.task.moved_at < RELOCATION_INTERVAL_S:
        return False
    return run.task.step.checkpoints or run.percent < MAX_PERCENT_WITHOUT_CHECKPOINT
