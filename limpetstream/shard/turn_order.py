"""Orders waiting tasks by their priority and by when their jobs are due."""

from limpetstream.shard import objectives, state, victims
from limpetstream.workflow import placement, state as workflow_state

LATE_PENALTY_MS = 20_000  # Jobs that can still be on time go before late ones.
# Short tasks that wait longer than this miss latency objectives of 1.5 s.
BACKLOG_WAIT_S = 0.3


def sort(
    shard: state.Shard, due: list[workflow_state.Task], now: float
) -> list[workflow_state.Task]:
    """Return due tasks in the order in which they have their turns.

    Args:
        shard: Shard of the tasks.
        due: Waiting tasks that may be placed now.
        now: Monotonic time.
    """
    has_backlog = _has_backlog(due, now)
    now_ms = shard.clock.wall_ms()
    rank_by_job: dict[str, tuple[int, float]] = {}
    key_by_job: dict[str, tuple[int, int, float]] = {}  # Unless long-running.

    def key(task: workflow_state.Task) -> tuple[int, int, float]:
        job_id = task.job.submission.job_id
        shared = None if task.step.long_running else key_by_job.get(job_id)
        if shared is not None:
            return shared
        rank = rank_by_job.get(job_id)
        if rank is None:
            due_ms = objectives.due_ms(shard, task.job)
            if due_ms < now_ms:
                due_ms += LATE_PENALTY_MS
            rank = rank_by_job[job_id] = shard.priority_of(task.job), due_ms
        order = placement.order_key(
            task,
            *rank,
            backlog=has_backlog and not victims.has_waited_long(shard, task),
        )
        if not task.step.long_running:
            key_by_job[job_id] = order
        return order

    return sorted(due, key=key)


def _has_backlog(due: list[workflow_state.Task], now: float) -> bool:
    """Return whether a short task has waited longer than it should."""
    return any(
        victims.is_short(task)
        and now - task.ready_at > BACKLOG_WAIT_S
        and now - task.held_back_at > BACKLOG_WAIT_S
        for task in due
    )
