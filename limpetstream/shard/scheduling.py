"""Places waiting tasks on executors in the order of their priority."""

import collections
import dataclasses

from limpetstream.executors import tracking
from limpetstream.shard import objectives, preemption, proof, sessions, starts, state
from limpetstream.workflow import (
    best_effort,
    eligibility,
    placement,
    state as workflow_state,
)

PASS_INTERVAL_S = 0.004  # Events that come close together share a pass.
IDLE_PASS_INTERVAL_S = 0.05  # While only time has passed.
MAX_STATUS_AGE_S = 2.5  # A start needs a poll newer than this; see design.md.
LATE_PENALTY_MS = 20_000  # Jobs that can still be on time go before late ones.
BEST_EFFORT_RETRY_S = 0.2  # Comparing all executors for such tasks is expensive.
# These bound the time of one pass, which delays the polls that renew leases.
MAX_PLACED_PER_PASS = 64
MAX_COMPARED_PER_PASS = 2560  # Forty executors for each placed task.
# Short tasks that wait longer than this miss latency objectives of 1.5 s.
BACKLOG_WAIT_S = 0.3


@dataclasses.dataclass(slots=True)
class _Pass:
    """State of one pass over the waiting tasks.

    Args:
        now: Monotonic time in seconds.
        may_preempt_long_running: Whether a long-running run may be stopped
            for a short task.
        compared: Number of executors that were compared so far.
        unplaceable: Shapes of tasks for which no executor was found. A shape
            holds the service, the demands and, for best-effort tasks, the
            image and how long the task has waited.
    """

    now: float
    may_preempt_long_running: bool
    compared: int = 0
    unplaceable: set[tuple[str, int, int, int, str, str, int]] = dataclasses.field(
        default_factory=set
    )


async def run(shard: state.Shard) -> None:
    """Run a pass after each change, and periodically while tasks wait."""
    while True:
        if not shard.changed.is_set():
            await _wait_for_change(shard)
        shard.changed.clear()
        run_pass(shard)
        await shard.clock.sleep(PASS_INTERVAL_S)


async def _wait_for_change(shard: state.Shard) -> None:
    if not shard.waiting_tasks:
        await shard.changed.wait()
        return
    waited_s = 0.0
    while not shard.changed.is_set() and waited_s < IDLE_PASS_INTERVAL_S:
        await shard.clock.sleep(PASS_INTERVAL_S)
        waited_s += PASS_INTERVAL_S


def run_pass(shard: state.Shard) -> None:
    """Start a run of each waiting task that an executor has capacity for.

    A pass that reaches its limits leaves the remaining tasks to the next
    one, which follows at once.
    """
    sessions.check_earlier_runs(shard)
    if shard.view.configuration is None or not shard.recovered:
        return
    if not proof.is_proven(shard):
        return  # Nothing that is decided now could be sent.
    now = shard.clock.monotonic()
    due = [task for task in shard.waiting_tasks if task.not_before <= now]
    postponed = [task for task in shard.waiting_tasks if task.not_before > now]
    waiting = collections.deque(_sorted_by_priority(shard, due, _has_backlog(due, now)))
    this_pass = _Pass(now, preemption.may_preempt_long_running(shard, now))
    shard.waiting_tasks = []
    placed = 0
    while (
        waiting
        and placed < MAX_PLACED_PER_PASS
        and this_pass.compared < MAX_COMPARED_PER_PASS
    ):
        task = waiting.popleft()
        if task.job.outcome or task.done or task.run is not None:
            continue
        if task.step.gang:
            members = [task] + [other for other in waiting if _same_step(task, other)]
            waiting = collections.deque(
                other for other in waiting if not _same_step(task, other)
            )
            if _place_gang(shard, members, now):
                placed += len(members)
            else:
                postponed.extend(members)
        elif _place_task(shard, task, this_pass):
            placed += 1
        else:
            if task.step.fills:
                task.not_before = now + BEST_EFFORT_RETRY_S
            postponed.append(task)
    if waiting:
        shard.changed.set()  # The next pass continues with them.
    shard.waiting_tasks = postponed + list(waiting) + shard.waiting_tasks


def _has_backlog(due: list[workflow_state.Task], now: float) -> bool:
    """Return whether a short task has waited longer than it should."""
    return any(
        preemption.is_short(task) and now - task.ready_at > BACKLOG_WAIT_S
        for task in due
    )


def _sorted_by_priority(
    shard: state.Shard, due: list[workflow_state.Task], has_backlog: bool
) -> list[workflow_state.Task]:
    """Return waiting tasks in the order in which they are placed."""
    now_ms = shard.clock.wall_ms()
    rank_by_job: dict[str, tuple[int, float]] = {}

    def key(task: workflow_state.Task) -> tuple[int, int, float]:
        job_id = task.job.submission.job_id
        rank = rank_by_job.get(job_id)
        if rank is None:
            due_ms = objectives.due_ms(shard, task.job)
            if due_ms < now_ms:
                due_ms += LATE_PENALTY_MS
            rank = rank_by_job[job_id] = shard.priority_of(task.job), due_ms
        return placement.order_key(
            task,
            *rank,
            backlog=has_backlog and not preemption.has_waited_long(shard, task),
        )

    return sorted(due, key=key)


def _same_step(task: workflow_state.Task, other: workflow_state.Task) -> bool:
    return (
        task.job is other.job
        and task.occurrence == other.occurrence
        and task.step_number == other.step_number
    )


def may_start(shard: state.Shard, task: workflow_state.Task) -> bool:
    """Return whether no unknown run of the task can exist.

    Until all runs of earlier owners are settled, this holds only for tasks
    of jobs that no owner can have started.
    """
    return (
        shard.earlier_runs_settled
        or task.job.submission.job_id not in shard.earlier_job_ids
    )


def _place_task(
    shard: state.Shard, task: workflow_state.Task, this_pass: _Pass
) -> bool:
    now, unplaceable = this_pass.now, this_pass.unplaceable
    if not may_start(shard, task):
        return False
    step = task.step
    service = shard.service_of(task.job)
    shape = (
        service,
        step.cpu_millicores,
        step.memory_mb,
        step.accelerators,
        step.required_label,
        step.image if step.fills else "",
        int((now - task.ready_at) / best_effort.FULL_PACE_WAIT_S) if step.fills else 0,
    )
    if shape in unplaceable and not preemption.may_preempt(shard, task, now):
        return False
    context = placement_context(shard, service, now)
    executor = placement.choose(shard.executor_by_id.values(), task, context)
    this_pass.compared += context.scored_count
    if executor is not None:
        start_on(shard, executor, task, task.last_run + 1)
        return True
    if not step.max_per_executor:
        unplaceable.add(shape)
    if preemption.may_preempt(shard, task, now):
        if task.step.long_running:
            preemption.preempt_for(shard, task, context)
        elif this_pass.may_preempt_long_running:
            this_pass.may_preempt_long_running = not preemption.preempt_for(
                shard, task, context
            )
    return False


def placement_context(
    shard: state.Shard, service: str, now: float
) -> eligibility.PlacementContext:
    """Return the conditions under which a task of a service is placed now."""
    return eligibility.PlacementContext(
        now,
        service,
        shard.view.closed_data_centres,
        now - MAX_STATUS_AGE_S,
        shard.interference_model,
        shard.forecasts,
    )


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
    shard.spawn(starts.start_run(shard, executor, run))


def _place_gang(
    shard: state.Shard, members: list[workflow_state.Task], now: float
) -> bool:
    """Place all members of a gang or none; return whether any were placed."""
    first = members[0]
    if len(members) < first.step.count or not may_start(shard, first):
        return False
    context = placement_context(shard, shard.service_of(first.job), now)
    run_number = max(member.last_run for member in members) + 1
    checkpoint = max(member.checkpoint for member in members)
    chosen: list[tuple[tracking.Executor, workflow_state.Run]] = []
    for member in members:
        executor = placement.choose(shard.executor_by_id.values(), member, context)
        if executor is None:
            for reserved_on, run in chosen:
                reserved_on.release(run)
                run.task.run = None
            return False
        run = workflow_state.Run(member, run_number, executor.listing.executor_id, now)
        member.run = run
        executor.reserve(run)
        chosen.append((executor, run))
    for executor, run in chosen:
        run.task.last_run = run_number
        run.task.checkpoint = checkpoint
        shard.spawn(starts.start_run(shard, executor, run))
    return True
