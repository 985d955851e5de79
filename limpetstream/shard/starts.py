"""Sends the requests that start runs."""

import contextlib
import math
from collections.abc import Callable, Iterator

from limpetstream import errors
from limpetstream.executors import (
    messages as executor_messages,
    sending,
    tracking,
)
from limpetstream.leases import unsettled_starts
from limpetstream.shard import (
    events,
    executor_records,
    jobs,
    pacing,
    proof,
    restarts,
    sessions,
    state,
    stops,
)
from limpetstream.telemetry import logs
from limpetstream.workflow import eligibility, state as workflow_state

START_TIMEOUT_S = 0.4  # Fifty times the round trip between data centres.
START_TRIES = 3
MIN_TIMEOUT_S = 0.3  # A last try that ends sooner only adds to the doubt.
REFUSED_PAUSE_S = 0.3  # An executor gets no starts for so long after a refusal.
UNWILLING_PAUSE_S = 1.0  # An unhealthy executor needs longer.
# These refusals are about the task. If its wait counted from the first one, it
# would have the right to preempt others for ever.
TASK_REFUSALS = frozenset({executor_messages.NO_TICKET, executor_messages.INVALID})


def begin(
    shard: state.Shard, executor: tracking.Executor, run: workflow_state.Run
) -> None:
    """Start a run, for which capacity is reserved, in a task of its own."""
    if is_recorded(shard, run.task.job):
        executor.unsent_runs.add(run)
    else:
        executor.unrecorded_runs.add(run)
    shard.spawn(start_run(shard, executor, run))


def is_recorded(shard: state.Shard, job: workflow_state.Job) -> bool:
    """Return whether the journal records that a job may have started."""
    return job.submission.job_id in shard.maybe_started_job_ids


async def start_run(
    shard: state.Shard, executor: tracking.Executor, run: workflow_state.Run
) -> None:
    """Start a run for which capacity is reserved.

    Nothing is sent without a proof of ownership: an owner that has lost its
    shard may take a run for ended that its successor keeps.

    The first start of a job waits until the journal records that the job may
    have started. That append is fenced, so no earlier owner can start a job
    that a later owner considers not started.

    Nor is anything sent to an executor that may have restarted unnoticed.

    A start without an answer is retried. If it stays in doubt, the run is
    stopped before the task can run again.
    """
    size = sending.start_bytes(run.task.job.submission.spec)
    priority = shard.priority_of(run.task.job)
    rank = priority, run.start_requested_at
    window, slots = shard.send_window, executor.start_slots
    with (
        _unsent(shard, executor, run),
        window.unsent_start(priority) as note_turn,
    ):
        await _record_job(shard, run.task.job)
        if run in executor.unrecorded_runs:
            executor.unrecorded_runs.remove(run)
            executor.unsent_runs.add(run)
        if run.task.step.long_running:
            await executor_records.admit_long_running(shard, executor)
        # Starts that wait for the link hold no slot of their executor, so that
        # more urgent ones are sent before them.
        async with window.turn(size, rank):
            has_slot = not slots.locked()
            if has_slot:
                async with slots:
                    note_turn()
                    _note_turn(shard, executor, run)
                    await _start_in_turn(shard, executor, run)
        if not has_slot:
            async with slots, window.turn(size, rank):
                note_turn()
                _note_turn(shard, executor, run)
                await _start_in_turn(shard, executor, run)


@contextlib.contextmanager
def _unsent(
    shard: state.Shard, executor: tracking.Executor, run: workflow_state.Run
) -> Iterator[None]:
    """Count a start as one that waits, at the longest while this is open."""
    try:
        yield
    finally:
        executor.unrecorded_runs.discard(run)
        _note_turn(shard, executor, run)


def _note_turn(
    shard: state.Shard, executor: tracking.Executor, run: workflow_state.Run
) -> None:
    """Note that a start waits no more; let tasks follow that were held up."""
    executor.unsent_runs.discard(run)
    is_short = len(executor.unsent_runs) <= eligibility.MAX_UNSENT_STARTS // 2
    if executor.turned_away and is_short:
        executor.turned_away = False
        executor.has_freed = True
        shard.changed.set()


async def _start_in_turn(
    shard: state.Shard, executor: tracking.Executor, run: workflow_state.Run
) -> None:
    _resume_passes(shard)
    await _try_to_start(shard, executor, run)


def _resume_passes(shard: state.Shard) -> None:
    """Let a pass that was left out follow once the backlog has ended."""
    window = shard.send_window
    if window.is_pass_left_out and window.unsent_starts < sending.MAX_UNSENT_STARTS:
        window.is_pass_left_out = False
        shard.changed.set()


async def _try_to_start(
    shard: state.Shard, executor: tracking.Executor, run: workflow_state.Run
) -> None:
    """Send a start until it is answered, for a bounded time."""
    is_sent, obstacle = False, ""
    given_up_at = math.inf
    for _ in range(START_TRIES):
        if run.phase != workflow_state.STARTING:
            return  # Stopped, or reported by a poll, while it waited.
        if given_up_at - shard.clock.monotonic() < MIN_TIMEOUT_S:
            break
        obstacle = _obstacle(shard, executor, run, is_sent=is_sent)
        obstacle = obstacle or await _look(shard, executor)
        if run.phase != workflow_state.STARTING:
            return
        decided_at = shard.clock.monotonic()
        obstacle = obstacle or _obstacle(shard, executor, run, is_sent=is_sent)
        if obstacle:
            break
        if not is_sent:
            _log_start(shard, executor, run)
            given_up_at = decided_at + START_TRIES * START_TIMEOUT_S
        is_first_try, is_sent = not is_sent, True
        try:
            reply = await _send(shard, executor, run, decided_at, given_up_at)
        except errors.ExecutorReplaced:
            break  # Polls may reach the executor at a newer address.
        except errors.PlatformUnavailable as error:
            _log_unanswered(executor, run, error)
            continue
        _note_answer(executor, reply)
        if not is_first_try and reply.outcome != executor_messages.STARTED:
            break  # The unanswered try may still take effect.
        _apply_reply(shard, executor, run, reply)
        return
    if run.phase != workflow_state.STARTING:
        return
    if not is_sent:
        _withdraw(shard, executor, run, obstacle)
        return
    logs.emit(
        events.START_IN_DOUBT,
        task=run.task.name,
        run=run.number,
        executor=executor.listing.executor_id,
    )
    executor.doubted_at = shard.clock.monotonic()
    stops.stop_run(shard, executor, run, "start in doubt")


def _note_answer(
    executor: tracking.Executor, reply: executor_messages.StartReply
) -> None:
    """End the doubt about an executor; an unwilling one may not be reached."""
    if reply.outcome != executor_messages.UNWILLING:
        executor.doubted_at = -math.inf


def _obstacle(
    shard: state.Shard,
    executor: tracking.Executor,
    run: workflow_state.Run,
    *,
    is_sent: bool,
) -> str:
    """Return why no start may be sent now; empty if one may."""
    if not proof.is_proven(shard):
        return "ownership not proven"
    if executor.silent_since is not None:
        return "the executor does not answer"
    if not eligibility.has_current_entry(executor):
        return "the executor's entry is of another incarnation"
    if not executor.recorded:
        return "the executor is not in the journal yet"
    if not executor.confirmed:
        return "no append since the executor's first answer"
    if not executor.fenced:
        return "calls to the executor's former process may take effect"
    if run.task.step.long_running and executor.record_bars_long_running:
        return "the executor's record says that no long-running task is there"
    if not is_sent and run.start_requested_at < executor.doubted_at:
        return "an earlier start there has no answer"
    # The executor may have been chosen some time ago.
    return eligibility.reason_against(
        executor,
        run.task.step,
        shard.service_of(run.task.job),
        shard.view.closed_data_centres,
    )


async def _look(shard: state.Shard, executor: tracking.Executor) -> str:
    """Make sure that the known clock is that of the present incarnation.

    The deadline of a start is a time on that clock. An executor that has
    restarted takes it for one far ahead and grants the longest lease, for
    which no later owner waits before this one has noticed the restart. A start
    is therefore sent only within ``sessions.MIN_RESTART_S`` of a reading of
    the clock. If there is none, the executor is polled first, without a
    deadline.

    Returns:
        Why no start may be sent; empty if one may.
    """
    sent_at, known_clock_ms = shard.clock.monotonic(), executor.lease.clock_ms or 0
    if sent_at - executor.lease.read_after <= sessions.MIN_RESTART_S:
        return ""
    try:
        reply = await shard.executor_client.poll(
            executor.listing,
            token=restarts.token_of(shard, executor),
            acknowledged=0,
            deadline_ms=None,
            wait_ms=0,
            timeout_s=shard.send_window.time_limit_s(START_TIMEOUT_S),
        )
    except (errors.ExecutorReplaced, errors.PlatformUnavailable) as error:
        obstacle = f"the executor does not answer a poll: {error}"
    else:
        if reply.born_ms == executor.born_ms and reply.clock_ms >= known_clock_ms:
            now = shard.clock.monotonic()
            executor.lease.observe(reply.clock_ms, now, sent_at)
            return ""
        obstacle = "the executor has restarted"
    # Polls find it silent or restarted, and what ran on it lost.
    executor.avoid_until = max(
        executor.avoid_until, shard.clock.monotonic() + REFUSED_PAUSE_S
    )
    return obstacle


async def _record_job(shard: state.Shard, job: workflow_state.Job) -> None:
    """Wait until the journal records that the job may have started."""
    if not job.start_recorded:
        job.start_recorded = True
        jobs.save_progress(shard, job)
    if job.submission.job_id not in shard.maybe_started_job_ids:
        await shard.journal.wait_until_durable()
        shard.maybe_started_job_ids.add(job.submission.job_id)


def _log_unanswered(
    executor: tracking.Executor, run: workflow_state.Run, error: Exception
) -> None:
    logs.emit(
        events.ORDER_UNANSWERED,
        order="start",
        task=run.task.name,
        run=run.number,
        executor=executor.listing.executor_id,
        error=str(error),
    )


def _log_start(
    shard: state.Shard, executor: tracking.Executor, run: workflow_state.Run
) -> None:
    now = shard.clock.monotonic()
    logs.emit(
        events.RUN_ORDERED,
        task=run.task.name,
        run=run.number,
        executor=executor.listing.executor_id,
        data_centre=executor.listing.data_centre,
        token=restarts.token_of(shard, executor),
        waited_ms=round((run.start_requested_at - run.task.ready_at) * 1000),
        turn_ms=round(run.task.first_turn_wait_s * 1000)
        if run.task.first_turn_at >= run.task.ready_at
        else None,
        placed_ms_ago=round((now - run.start_requested_at) * 1000),
        looked_ms_ago=round((now - executor.polled_at) * 1000),
        clock_read_ms_ago=round((now - executor.lease.read_after) * 1000),
        born_ms=executor.born_ms,
        proven_ms_ago=round(proof.age_s(shard) * 1000),
        free_cpu=executor.listing.capacity.cpu_millicores
        - executor.reserved_millicores,
    )


async def _send(
    shard: state.Shard,
    executor: tracking.Executor,
    run: workflow_state.Run,
    decided_at: float,
    given_up_at: float,
) -> executor_messages.StartReply:
    """Send a start whose deadline counts from before the proof was checked."""
    sent_at = shard.clock.monotonic()
    lease = executor.lease  # A restart that is noticed meanwhile begins another.
    deadline_ms = lease.extend(decided_at)
    if deadline_ms is None:
        raise errors.PlatformUnavailable(
            "the executor's clock is unknown, so its lease cannot be extended"
        )
    run.start_deadline_ms = max(run.start_deadline_ms or 0, deadline_ms)
    task = run.task
    timeout_s = shard.send_window.time_limit_s(START_TIMEOUT_S)
    with _noted_start(shard, executor, run) as note_answer:
        reply = await shard.executor_client.start(
            executor.listing,
            executor_messages.StartRequest(
                task.name,
                run.number,
                task.job.submission.spec,
                deadline_ms,
                restarts.token_of(shard, executor),
                task.checkpoint,
            ),
            timeout_s=min(timeout_s, max(MIN_TIMEOUT_S, given_up_at - sent_at)),
        )
        note_answer()
    if reply.clock_ms is not None:
        lease.observe(reply.clock_ms, shard.clock.monotonic(), sent_at)
    return reply


@contextlib.contextmanager
def _noted_start(
    shard: state.Shard, executor: tracking.Executor, run: workflow_state.Run
) -> Iterator[Callable[[], None]]:
    """Note the start of a long-running task; yield what notes its answer."""
    if not run.task.step.long_running:
        yield lambda: None
        return
    starts = executor.long_running_starts
    number = unsettled_starts.note_begun(starts)
    try:
        yield lambda: unsettled_starts.note_answered(
            starts, number, shard.clock.monotonic()
        )
    finally:
        unsettled_starts.note_ended(starts, number, shard.clock.monotonic())


def _apply_reply(
    shard: state.Shard,
    executor: tracking.Executor,
    run: workflow_state.Run,
    reply: executor_messages.StartReply,
) -> None:
    if run.phase != workflow_state.STARTING:
        return  # A poll or a stop has changed it in between.
    now = shard.clock.monotonic()
    if reply.outcome == executor_messages.STARTED:
        run.task.job.started = True
        run.phase = workflow_state.WORKING
        run.progressed_at = now
        run.seen_at = now
        if run.task.step.fills:
            pacing.adjust_for_new_run(shard, executor)
        return
    logs.emit(
        events.START_REFUSED,
        task=run.task.name,
        run=run.number,
        executor=executor.listing.executor_id,
        reason=reply.outcome,
    )
    pause_s = 0.0
    ready_at = now if reply.outcome in TASK_REFUSALS else run.task.ready_at
    if reply.outcome == executor_messages.UNWILLING:
        executor.avoid_until = now + UNWILLING_PAUSE_S
    elif reply.outcome == executor_messages.OUTDATED_RUN:
        run.task.last_run += jobs.UNRECORDED_RUNS
    else:
        executor.avoid_until = now + REFUSED_PAUSE_S
        pause_s = jobs.RETRY_PAUSE_S
    _requeue(shard, executor, run, ready_at, pause_s)


def _withdraw(
    shard: state.Shard,
    executor: tracking.Executor,
    run: workflow_state.Run,
    reason: str,
) -> None:
    """Drop a run of which no start request was sent; queue its task again."""
    logs.emit(
        events.START_WITHDRAWN,
        task=run.task.name,
        run=run.number,
        executor=executor.listing.executor_id,
        reason=reason,
        proven_ms_ago=round(proof.age_s(shard) * 1000),
    )
    _requeue(shard, executor, run, run.task.ready_at)
    if run.task.step.gang:
        _withdraw_gang(shard, run)


def _withdraw_gang(shard: state.Shard, withdrawn: workflow_state.Run) -> None:
    """Withdraw or stop the other members, which would wait in vain."""
    task = withdrawn.task
    occurrence = task.job.occurrence_by_number.get(task.occurrence)
    if occurrence is None:
        return
    for member in occurrence.tasks_by_step[task.step_number].existing():
        run = member.run
        if run is None or run.number != withdrawn.number:
            continue
        executor = shard.executor_by_id.get(run.executor_id)
        if executor is None:
            continue
        if run.phase == workflow_state.STARTING and run.start_deadline_ms is None:
            _requeue(shard, executor, run, member.ready_at)
        else:
            stops.stop_run(shard, executor, run, "a member of its gang cannot start")


def _requeue(
    shard: state.Shard,
    executor: tracking.Executor,
    run: workflow_state.Run,
    ready_at: float,
    pause_s: float = 0.0,
) -> None:
    """Release a run that cannot have started, and queue its task again.

    Its wait counts from ``ready_at``.
    """
    executor.release(run)
    run.phase = workflow_state.GONE
    task = run.task
    if task.run is not run:
        return
    task.run = None
    task.ended_run = max(task.ended_run, run.number)
    if not task.job.outcome and not task.done:
        jobs.enqueue(shard, task, pause_s, ready_at=ready_at)
