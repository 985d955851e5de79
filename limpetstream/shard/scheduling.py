"""Places waiting tasks on executors in the order of their priority.

A pass does a bounded amount of work. What it leaves over has its turn in the
next passes, before any task has a second expensive one.
"""

import dataclasses
import functools
from collections.abc import Collection

from limpetstream.executors import sending, tracking
from limpetstream.organisations import limits
from limpetstream.shard import (
    events,
    jobs,
    owner_load,
    placing,
    preemption,
    proof,
    searches,
    sessions,
    starts,
    state,
    turn_order,
    victims,
)
from limpetstream.shard.settling import listed_ends
from limpetstream.telemetry import logs
from limpetstream.workflow import (
    best_effort,
    eligibility,
    state as workflow_state,
)

PASS_INTERVAL_S = 0.004  # Events that come close together share a pass.
MAX_PAUSE_S = 0.1  # After a pass; the process may have been frozen in it.
IDLE_PASS_INTERVAL_S = 0.05  # While only time has passed.
MAX_STATUS_AGE_S = 2.5  # A start needs a poll newer than this; see design.md.
BEST_EFFORT_RETRY_S = 0.2  # Comparing all executors for such tasks is expensive.
# These bound the time of one pass, which delays the polls that renew leases.
MAX_PLACED_PER_PASS = 64
MAX_COMPARED_PER_PASS = 2560  # Forty executors for each placed task.
# A turn without an executor to check costs as much (bench pass_cost).
CHECKS_PER_TURN = 16
# All work of a pass, in checks of one executor or run: what comparing so many
# executors costs, and the turns.
MAX_CHECKS_PER_PASS = (
    MAX_COMPARED_PER_PASS * (1 + eligibility.CHECKS_PER_SCORE)
    + MAX_PLACED_PER_PASS * CHECKS_PER_TURN
)
# On a slow processor a pass takes longer for the same work. Less than
# ``lateness.MAX_LAG_S``, so that passes alone do not make the loop late. It
# counts from the first turn: each pass gives some, however many tasks wait.
MAX_PASS_S = 0.03
REPORT_INTERVAL_S = 10.0  # Of the log line about passes that reach the bound.


@dataclasses.dataclass(slots=True)
class _Pass:
    """State of one pass over the waiting tasks.

    Args:
        now: Monotonic time in seconds.
        executors: All executors.
        has_doubt: Whether an executor has lately left a start without an
            answer.
        may_preempt_long_running: Whether a long-running run may be stopped
            for a short task.
        turns_began_at: Monotonic time after the tasks were sorted.
        checks: Work done so far.
        placed: Number of tasks that were placed.
        unplaceable: Shapes of best-effort tasks for which no executor was
            found, with their image, whether they last, and the stage of their
            wait.
        use_by_service: How much of each service is in use, measured for its
            first best-effort task.
        gangs: Gangs that had their turn, by the common part of their tasks'
            names.
        is_finished: Whether every due task has had its turn in the round.
        has_skipped: Whether tasks that had their turn earlier in the round
            were left out.
    """

    now: float
    executors: list[tracking.Executor]
    has_doubt: bool
    may_preempt_long_running: bool
    turns_began_at: float = 0.0
    checks: int = 0
    placed: int = 0
    unplaceable: set[tuple[object, ...]] = dataclasses.field(default_factory=set)
    use_by_service: dict[str, best_effort.ServiceUse] = dataclasses.field(
        default_factory=dict
    )
    gangs: set[str] = dataclasses.field(default_factory=set)
    is_finished: bool = True
    has_skipped: bool = False


async def run(shard: state.Shard) -> None:
    """Run a pass after each change, and periodically while tasks wait.

    Between two passes the owner has at least as much time for polls and ends
    of runs as the first one took.
    """
    while True:
        if not shard.changed.is_set():
            await _wait_for_change(shard)
        shard.changed.clear()
        started_at = shard.clock.monotonic()
        with owner_load.measured(shard.load, shard.clock, owner_load.PASSES):
            run_pass(shard)
        took_s = shard.clock.monotonic() - started_at
        await shard.clock.sleep(max(PASS_INTERVAL_S, min(took_s, MAX_PAUSE_S)))


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
    jobs.queue_more(shard)
    now = shard.clock.monotonic()
    startable = limits.startable(shard, now)
    due = [task for task in startable if task.not_before <= now]
    sendable = _without_backlog(shard, due)
    is_left_out = len(sendable) < len(due)
    if is_left_out:
        shard.send_window.is_pass_left_out = True
        if not sendable:
            return
    this_pass = _begin(shard, startable)
    in_order = turn_order.sort(shard, sendable, now)
    this_pass.turns_began_at = shard.clock.monotonic()
    for task in in_order:
        if task.job.outcome or task.done or task.run is not None:
            shard.waiting_tasks.discard(task)
        elif task.step.gang and workflow_state.step_name(task) in this_pass.gangs:
            continue
        elif _is_at_bound(shard, this_pass):
            this_pass.is_finished = False
            break
        elif _may_have_turn(shard, task, this_pass):
            _give_turn(shard, task, this_pass)
        else:
            this_pass.has_skipped = True
    if this_pass.has_skipped or not this_pass.is_finished:
        shard.changed.set()  # The next pass continues with them.
    jobs.queue_more(shard)
    _note_bound(shard, this_pass)
    is_finished = this_pass.is_finished and not is_left_out
    searches.end_pass(shard.searches, is_finished=is_finished)


def _without_backlog(
    shard: state.Shard, due: list[workflow_state.Task]
) -> list[workflow_state.Task]:
    """Return the tasks whose starts would not wait behind many others.

    What is decided now for the other ones would be sent late, and in this
    order.
    """
    window = shard.send_window
    if window.unsent_starts < sending.MAX_UNSENT_STARTS:
        return due
    has_backlog = functools.cache(window.has_backlog)
    return [task for task in due if not has_backlog(shard.priority_of(task.job))]


def _begin(shard: state.Shard, startable: Collection[workflow_state.Task]) -> _Pass:
    now = shard.clock.monotonic()
    executors = list(shard.executor_by_id.values())
    context = placement_context(shard, "", now)
    searches.note_changes(
        shard.searches,
        executors,
        lambda executor: eligibility.is_available(executor, context),
        now,
    )
    may_preempt_long_running = preemption.may_preempt_long_running(
        shard, now, startable
    )
    has_doubt = any(eligibility.is_in_doubt(executor, now) for executor in executors)
    return _Pass(now, executors, has_doubt, may_preempt_long_running)


def _is_at_bound(shard: state.Shard, this_pass: _Pass) -> bool:
    return (
        this_pass.placed >= MAX_PLACED_PER_PASS
        or this_pass.checks >= MAX_CHECKS_PER_PASS
        or _elapsed_s(shard, this_pass) >= MAX_PASS_S
    )


def _elapsed_s(shard: state.Shard, this_pass: _Pass) -> float:
    """Return for how long a pass has given turns."""
    return shard.clock.monotonic() - this_pass.turns_began_at


def _may_have_turn(
    shard: state.Shard, task: workflow_state.Task, this_pass: _Pass
) -> bool:
    """Return whether a task has its turn in this pass.

    In a pass that continues a round, tasks that had theirs look only through
    executors that have changed, and only for half of the pass. Searches that
    always look through many executors wait for the next round.
    """
    if not shard.searches.is_continued:
        return True
    if task.tried_in_round != shard.searches.round_number:
        return True
    is_cheap = not task.step.gang and not task.step.fills
    return (
        is_cheap
        and this_pass.checks < MAX_CHECKS_PER_PASS // 2
        and _elapsed_s(shard, this_pass) < MAX_PASS_S / 2
    )


def _give_turn(shard: state.Shard, task: workflow_state.Task, this_pass: _Pass) -> None:
    """Look for an executor for a task and start the task there.

    Nothing is reserved between the check of the limit and the start.
    """
    if not limits.may_have_turn(shard, task, this_pass.now):
        return  # Starts of this pass have used up what was left.
    this_pass.checks += CHECKS_PER_TURN
    task.tried_in_round = shard.searches.round_number
    _note_turn(shard, task)
    if not may_start(shard, task):
        return
    is_recorded = starts.is_recorded(shard, task.job)
    if not is_recorded and shard.journal.failing_since is not None:
        return  # The start would wait, and hold room meanwhile.
    context = placement_context(shard, shard.service_of(task.job), this_pass.now)
    context.is_recorded = is_recorded
    if task.step.fills:
        context.is_service_idle = _use_of_service(this_pass, context).is_idle
    if task.step.gang:
        placed = _place_gang(shard, task, context, this_pass)
    elif task.step.fills:
        placed = _place_best_effort(shard, task, context, this_pass)
    else:
        placed = _place_or_preempt(shard, task, context, this_pass)
    this_pass.checks += context.work
    this_pass.placed += len(placed)
    for each in placed:
        shard.waiting_tasks.discard(each)


def _note_turn(shard: state.Shard, task: workflow_state.Task) -> None:
    owner_load.note_turn(
        shard.load, task, shard.priority_of(task.job), shard.clock.monotonic()
    )


def _place_gang(
    shard: state.Shard,
    task: workflow_state.Task,
    context: eligibility.PlacementContext,
    this_pass: _Pass,
) -> list[workflow_state.Task]:
    """Place all members of a task's gang; return those that were placed."""
    this_pass.gangs.add(workflow_state.step_name(task))
    occurrence = task.job.occurrence_by_number[task.occurrence]
    members = [
        member
        for member in occurrence.tasks_by_step[task.step_number]
        if member in shard.waiting_tasks and member.not_before <= this_pass.now
    ]
    for member in members:
        member.tried_in_round = shard.searches.round_number
        _note_turn(shard, member)
    is_placed = placing.place_gang(shard, members, context, this_pass.executors)
    return members if is_placed else []


def _place_best_effort(
    shard: state.Shard,
    task: workflow_state.Task,
    context: eligibility.PlacementContext,
    this_pass: _Pass,
) -> list[workflow_state.Task]:
    """Place a best-effort task; return it if it was placed."""
    key = (
        placing.shape(task, context.service),
        task.step.image,
        task.step.long_running,
        best_effort.stage_of_wait(workflow_state.waited_s(task, this_pass.now)),
    )
    if key not in this_pass.unplaceable:
        if placing.place_best_effort(shard, task, context, this_pass.executors):
            use = _use_of_service(this_pass, context)
            use.used_millicores += task.step.cpu_millicores
            return [task]
        this_pass.unplaceable.add(key)
    task.not_before = this_pass.now + BEST_EFFORT_RETRY_S
    return []


def _use_of_service(
    this_pass: _Pass, context: eligibility.PlacementContext
) -> best_effort.ServiceUse:
    """Return the use of a service, which is measured once in a pass."""
    use = this_pass.use_by_service.get(context.service)
    if use is None:
        use = best_effort.measure_use(this_pass.executors, context)
        this_pass.use_by_service[context.service] = use
    return use


def _place_or_preempt(
    shard: state.Shard,
    task: workflow_state.Task,
    context: eligibility.PlacementContext,
    this_pass: _Pass,
) -> list[workflow_state.Task]:
    """Place a task or stop runs for it; return it if it was placed.

    A long-running task takes an executor in doubt only if it has waited long
    and no runs can be stopped for it elsewhere.
    """
    executors = this_pass.executors
    accepts_doubt = not (task.step.long_running and this_pass.has_doubt)
    if placing.place(shard, task, context, executors, accepts_doubt=accepts_doubt):
        return [task]
    if context.held_up_count:
        return []  # It has room there soon.
    if preemption.may_preempt(shard, task, this_pass.now) and (
        task.step.long_running or this_pass.may_preempt_long_running
    ):
        shape = placing.shape(task, context.service)
        if limits.allows_preemption(shard, task) and preemption.preempt_for(
            shard, task, context, executors, shape
        ):
            this_pass.may_preempt_long_running &= task.step.long_running
        elif (
            not accepts_doubt
            and victims.has_waited_long(shard, task)
            and placing.place(shard, task, context, executors)
        ):
            return [task]
    return []


def _note_bound(shard: state.Shard, this_pass: _Pass) -> None:
    """Count passes that reach their bound, and log them from time to time."""
    counts = shard.searches
    counts.pass_count += 1
    counts.bounded_count += not this_pass.is_finished
    if this_pass.is_finished or this_pass.now - counts.logged_at < REPORT_INTERVAL_S:
        return
    logs.emit(
        events.PASSES_BOUNDED,
        shard=shard.number,
        passes=counts.pass_count,
        at_bound=counts.bounded_count,
        checks=this_pass.checks,
        placed=this_pass.placed,
        waiting=len(shard.waiting_tasks),
        without_turn=sum(
            task.tried_in_round != counts.round_number for task in shard.waiting_tasks
        ),
        executors=len(this_pass.executors),
    )
    counts.pass_count = counts.bounded_count = 0
    counts.logged_at = this_pass.now


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


def may_start(shard: state.Shard, task: workflow_state.Task) -> bool:
    """Return whether no unknown run or end of the task can exist.

    Until all runs of earlier owners are settled, this holds only for tasks
    of jobs that no owner can have started, and for long-running ones once
    those of long-running tasks are settled.
    """
    if task.job.submission.job_id not in shard.earlier_job_ids:
        return True
    if listed_ends.may_have_ended(shard, task):
        return False
    return shard.earlier_runs_settled or (
        task.step.long_running and shard.long_running_settled
    )
