"""Gives waiting tasks room, in the order of their worth."""

import collections
import dataclasses

from limpetstream.executors import tracking
from limpetstream.shard import objectives, preemption, sessions, starts, state
from limpetstream.workflow import (
    best_effort,
    eligibility,
    placement,
    state as workflow_state,
)

PASS_INTERVAL_S = 0.004  # Ends and new jobs of one moment share a pass.
IDLE_PASS_INTERVAL_S = 0.05  # While nothing changes but the time.
MAX_STATUS_AGE_S = 2.5  # A start needs a look newer than this; see design.md.
LATE_PENALTY_MS = 20_000  # A late job yields to those that can be on time.
FILL_RETRY_S = 0.2  # Weighing all executors for filling work is costly.
# Bounds the time of one pass: the looks that keep leases wait for it.
MAX_PLACED_PER_PASS = 64
MAX_COMPARED_PER_PASS = 2560  # Forty executors for each of these tasks.
BACKLOG_WAIT_S = 0.3  # Short work that waits longer misses objectives of 1.5.


@dataclasses.dataclass(slots=True)
class _Pass:
    """What one pass over the waiting tasks keeps.

    Args:
        now: Monotonic time.
        may_displace: Whether a lasting run may be stopped for short work.
        weighed: Executors that were compared so far.
        full: Shapes of tasks for which no executor had room.
    """

    now: float
    may_displace: bool
    weighed: int = 0
    full: set[tuple[str, int, int, int, str, str, int]] = dataclasses.field(
        default_factory=set
    )


async def run(shard: state.Shard) -> None:
    """Place whenever something has changed, and now and then in between."""
    while True:
        if not shard.changed.is_set():
            await _wait_changed(shard)
        shard.changed.clear()
        run_pass(shard)
        await shard.clock.sleep(PASS_INTERVAL_S)


async def _wait_changed(shard: state.Shard) -> None:
    if not shard.waiting_tasks:
        await shard.changed.wait()
        return
    waited_s = 0.0
    while not shard.changed.is_set() and waited_s < IDLE_PASS_INTERVAL_S:
        await shard.clock.sleep(PASS_INTERVAL_S)
        waited_s += PASS_INTERVAL_S


def run_pass(shard: state.Shard) -> None:
    """Order a run of each waiting task that fits somewhere."""
    sessions.check_earlier_runs(shard)
    if shard.view.configuration is None or not shard.recovered:
        return
    now = shard.clock.monotonic()
    due = [task for task in shard.waiting_tasks if task.not_before <= now]
    kept = [task for task in shard.waiting_tasks if task.not_before > now]
    waiting = collections.deque(_in_order(shard, due, _has_backlog(due, now)))
    this_pass = _Pass(now, preemption.may_preempt_long_running(shard, now))
    shard.waiting_tasks = []
    placed = 0
    while (
        waiting
        and placed < MAX_PLACED_PER_PASS
        and this_pass.weighed < MAX_COMPARED_PER_PASS
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
                kept.extend(members)
        elif _place_task(shard, task, this_pass):
            placed += 1
        else:
            if task.step.fills:
                task.not_before = now + FILL_RETRY_S
            kept.append(task)
    if waiting:
        shard.changed.set()  # The next pass goes on with them.
    shard.waiting_tasks = kept + list(waiting) + shard.waiting_tasks


def _has_backlog(due: list[workflow_state.Task], now: float) -> bool:
    """Return whether short work has waited for room."""
    return any(
        preemption.is_short(task) and now - task.ready_at > BACKLOG_WAIT_S
        for task in due
    )


def _in_order(
    shard: state.Shard, due: list[workflow_state.Task], backlog: bool
) -> list[workflow_state.Task]:
    """Return waiting tasks in the order in which they get room."""
    now_ms = shard.clock.wall_ms()
    place_by_job: dict[str, tuple[int, float]] = {}

    def key(task: workflow_state.Task) -> tuple[int, int, float]:
        job_id = task.job.submission.job_id
        place = place_by_job.get(job_id)
        if place is None:
            due_ms = objectives.due_ms(shard, task.job)
            if due_ms < now_ms:
                due_ms += LATE_PENALTY_MS
            place = place_by_job[job_id] = shard.priority_of(task.job), due_ms
        return placement.order_key(
            task,
            *place,
            backlog=backlog and not preemption.has_waited_long(shard, task),
        )

    return sorted(due, key=key)


def _same_step(task: workflow_state.Task, other: workflow_state.Task) -> bool:
    return (
        task.job is other.job
        and task.occurrence == other.occurrence
        and task.step_number == other.step_number
    )


def may_start(shard: state.Shard, task: workflow_state.Task) -> bool:
    """Return whether no run of an earlier owner can be in the way."""
    return (
        shard.earlier_runs_settled
        or task.job.submission.job_id not in shard.maybe_started_job_ids
    )


def _place_task(
    shard: state.Shard, task: workflow_state.Task, this_pass: _Pass
) -> bool:
    now, full = this_pass.now, this_pass.full
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
    if shape in full and not preemption.may_preempt(shard, task, now):
        return False
    around = placement_context(shard, service, now)
    executor = placement.choose(shard.executor_by_id.values(), task, around)
    this_pass.weighed += around.scored_count
    if executor is not None:
        start_on(shard, executor, task, task.last_run + 1)
        return True
    if not step.max_per_executor:
        full.add(shape)
    if preemption.may_preempt(shard, task, now):
        if task.step.long_running:
            preemption.preempt_for(shard, task, around)
        elif this_pass.may_displace:
            this_pass.may_displace = not preemption.preempt_for(shard, task, around)
    return False


def placement_context(
    shard: state.Shard, service: str, now: float
) -> eligibility.PlacementContext:
    """Return what decides where a task of a service may run now."""
    return eligibility.PlacementContext(
        now,
        service,
        shard.view.closed_data_centres,
        now - MAX_STATUS_AGE_S,
        shard.interference_model,
        shard.outlooks,
    )


def start_on(
    shard: state.Shard,
    executor: tracking.Executor,
    task: workflow_state.Task,
    number: int,
) -> None:
    """Reserve room for a run and order it."""
    now = shard.clock.monotonic()
    run = workflow_state.Run(task, number, executor.listing.executor_id, now)
    if task.step.fills:
        for beside in executor.serving_runs():
            shard.interference_model.note_probe(
                beside.task.step.image, task.step.image, now
            )
    task.run = run
    task.last_run = number
    executor.reserve(run)
    shard.outlooks.drop(executor.listing.executor_id)
    shard.spawn(starts.start_run(shard, executor, run))


def _place_gang(
    shard: state.Shard, members: list[workflow_state.Task], now: float
) -> bool:
    """Place all members of a gang at once, or none."""
    first = members[0]
    if len(members) < first.step.count or not may_start(shard, first):
        return False
    around = placement_context(shard, shard.service_of(first.job), now)
    number = max(member.last_run for member in members) + 1
    checkpoint = max(member.checkpoint for member in members)
    chosen: list[tuple[tracking.Executor, workflow_state.Run]] = []
    for member in members:
        executor = placement.choose(shard.executor_by_id.values(), member, around)
        if executor is None:
            for held, run in chosen:
                held.release(run)
                run.task.run = None
            return False
        run = workflow_state.Run(member, number, executor.listing.executor_id, now)
        member.run = run
        executor.reserve(run)
        chosen.append((executor, run))
    for executor, run in chosen:
        run.task.last_run = number
        run.task.checkpoint = checkpoint
        shard.spawn(starts.start_run(shard, executor, run))
    return True
