"""Applies the status that an executor reports in its reply to a poll."""

import functools

from limpetstream.executors import messages, tracking
from limpetstream.shard import events, jobs, pacing, proof, restarts, state, stops
from limpetstream.shard.settling import listed_ends
from limpetstream.telemetry import logs
from limpetstream.workflow import (
    messages as workflow_messages,
    state as workflow_state,
)

STOP_MARGIN_S = 0.3  # Beyond the longest stop, before a run counts as lost.


def apply_report(
    shard: state.Shard,
    executor: tracking.Executor,
    reply: messages.PollReply,
    sent_at: float,
    token: int,
) -> None:
    """Apply the reply to one poll.

    Args:
        shard: Shard that the executor works for.
        executor: Executor that was polled.
        reply: Its reply.
        sent_at: Monotonic time in seconds before the poll was sent.
        token: Fencing token of the poll.
    """
    if executor.born_ms and reply.born_ms and reply.born_ms != executor.born_ms:
        restarts.note_restart(shard, executor, reply)
    elif restarts.note_fenced(shard, executor, reply, token):
        _lose_runs_of_former_process(shard, executor, reply)
    executor.born_ms = reply.born_ms or executor.born_ms
    for end in sorted(reply.ended, key=lambda end: end.number):
        if end.number > executor.applied_end:
            executor.applied_end = end.number
            jobs.apply_end(shard, executor, end)
    listed: set[tuple[str, int]] = set()
    unknown_runs: dict[tuple[str, int], float | None] = {}
    for row in reply.running:
        key = row.task, row.run
        listed.add(key)
        if not _apply_row(shard, executor, row, sent_at):
            unknown_runs[key] = _stop_unknown(shard, executor, key, sent_at)
    if executor.unknown_runs.keys() != unknown_runs.keys():
        shard.changed.set()
    executor.unknown_runs = unknown_runs
    executor.count_unknown_runs(functools.partial(jobs.find_task, shard))
    listed_ends.note_reply(shard, executor, reply)
    if executor.fenced and listed_ends.has_all(reply):
        _mark_vanished_runs_lost(shard, executor, listed, sent_at, reply.clock_ms)


def note_replaced(shard: state.Shard, executor: tracking.Executor, reason: str) -> None:
    """Log that an executor was replaced and mark all its runs as lost."""
    logs.emit(
        events.EXECUTOR_REPLACED, executor=executor.listing.executor_id, reason=reason
    )
    mark_all_runs_lost(shard, executor, reason)


def _lose_runs_of_former_process(
    shard: state.Shard, executor: tracking.Executor, reply: messages.PollReply
) -> None:
    """Mark runs as lost that a restarted executor does not list.

    Runs that it lists were started again by calls to the former process; no
    other such call can take effect any more. A start that is under way is
    rejected, and is sent again.
    """
    present = {(row.task, row.run) for row in reply.running}
    present |= {(end.task, end.run) for end in reply.ended}
    for run in list(executor.run_by_task.values()):
        run.missing_since = None  # Its deadline is one of the former clock.
        run.pace = pacing.UNKNOWN_PACE
        if run.phase == workflow_state.STARTING:
            continue
        if (run.task.name, run.number) not in present:
            _lose(shard, executor, run, "the executor restarted")


def mark_all_runs_lost(
    shard: state.Shard, executor: tracking.Executor, reason: str
) -> None:
    """Mark all runs of an executor as lost and queue their tasks again."""
    for run in list(executor.run_by_task.values()):
        jobs.mark_run_lost(shard, executor, run, reason)


def _apply_row(
    shard: state.Shard,
    executor: tracking.Executor,
    row: messages.RunningRow,
    sent_at: float,
) -> bool:
    """Apply a run that the executor lists; return whether a task needs it."""
    run = executor.run_by_task.get(row.task)
    if run is None or run.number != row.run:
        run = _adopt(shard, executor, row)
        if run is None:
            return False
    run.seen_at = sent_at
    run.missing_since = None
    run.task.job.started = True
    if run.phase == workflow_state.STARTING:
        run.phase = workflow_state.WORKING
        run.progressed_at = sent_at
    if row.percent != run.percent:
        run.percent = row.percent
        run.progressed_at = sent_at
    run.load = row.load
    if run.phase == workflow_state.STOPPING and _has_had_no_effect(
        shard, run.stop_confirmed_at, sent_at
    ):
        stops.stop_again(shard, executor, run)
    if row.checkpoint:
        run.task.checkpoint = row.checkpoint
    return True


def _stop_unknown(
    shard: state.Shard,
    executor: tracking.Executor,
    key: tuple[str, int],
    sent_at: float,
) -> float | None:
    """Stop a run that no open task needs, unless it is being stopped.

    Returns:
        Monotonic time at which the stop was confirmed; None before.
    """
    confirmed_at = executor.unknown_runs.get(key)
    is_ineffective = _has_had_no_effect(shard, confirmed_at, sent_at)
    if key in executor.unknown_runs and not is_ineffective:
        return confirmed_at
    stops.stop_unknown_run(shard, executor, *key, "no open task needs it")
    return None


def _has_had_no_effect(
    shard: state.Shard, confirmed_at: float | None, sent_at: float
) -> bool:
    """Return whether a run that is listed should have ended by its stop.

    An executor that restarts forgets a stop that it has confirmed, and a
    delayed start may reach it afterwards.
    """
    stop_s = shard.timing.max_stop_s + STOP_MARGIN_S
    return confirmed_at is not None and sent_at > confirmed_at + stop_s


def _adopt(
    shard: state.Shard, executor: tracking.Executor, row: messages.RunningRow
) -> workflow_state.Run | None:
    """Take over a run that an earlier owner started.

    A run that is older than one that has ended is stopped, but it keeps its
    task from being started until its end is known.

    Returns:
        The run, or None if no open task needs it.
    """
    task = jobs.find_task(shard, row.task)
    current = executor.run_by_task.get(row.task)
    if task is None or current is not None or not _is_open(task):
        return None
    now = shard.clock.monotonic()
    run = workflow_state.Run(
        task,
        row.run,
        executor.listing.executor_id,
        now,
        phase=workflow_state.WORKING,
        progressed_at=now,
        percent=row.percent,
        # The executor holds whatever pace an earlier owner has set.
        pace=pacing.UNKNOWN_PACE,
    )
    task.run = run
    task.last_run = max(task.last_run, row.run)
    if task in shard.waiting_tasks:
        shard.waiting_tasks.remove(task)
    executor.reserve(run)
    if row.run <= task.ended_run:
        stops.stop_run(shard, executor, run, "a later run has ended")
    return run


def _is_open(task: workflow_state.Task) -> bool:
    """Return whether a task has neither ended nor a run."""
    return not task.job.outcome and not task.done and task.run is None


def _mark_vanished_runs_lost(
    shard: state.Shard,
    executor: tracking.Executor,
    listed: set[tuple[str, int]],
    sent_at: float,
    clock_ms: int,
) -> None:
    """Mark runs as lost that the executor lists no longer and without an end.

    An executor forgets an end only when it is acknowledged. If it has not
    restarted, a poll from before an earlier restart has arrived late, with a
    number that was meant for other ends.

    A run that is being stopped may take ``max_stop_s`` to end, counted from
    when the stop was confirmed. An unanswered stop may have arrived at any
    time, so the time counts from the reply that showed that the run was gone
    from the list and could not start any more.
    """
    stop_s = shard.timing.max_stop_s + STOP_MARGIN_S
    for run in list(executor.run_by_task.values()):
        if (run.task.name, run.number) in listed:
            continue
        if run.phase == workflow_state.WORKING:
            if run.seen_at is not None and sent_at > run.seen_at:
                reason = "the executor no longer lists it"
                is_end_unknown = executor.born_ms != 0  # It would show a restart.
                _lose(shard, executor, run, reason, is_end_unknown=is_end_unknown)
        elif run.phase == workflow_state.STOPPING:
            if run.missing_since is None and _can_start_no_more(run, clock_ms):
                run.missing_since = shard.clock.monotonic()
            ended_from = (run.stop_confirmed_at, run.missing_since)
            if any(
                since is not None and sent_at > since + stop_s for since in ended_from
            ):
                _lose(shard, executor, run, "stopped")


def _can_start_no_more(run: workflow_state.Run, clock_ms: int) -> bool:
    """Return whether a run was listed before or is too late to start.

    A start that arrives after its deadline on the executor's clock is
    rejected.
    """
    if run.seen_at is not None:
        return True
    return run.start_deadline_ms is not None and clock_ms > run.start_deadline_ms


def _lose(
    shard: state.Shard,
    executor: tracking.Executor,
    run: workflow_state.Run,
    reason: str,
    *,
    is_end_unknown: bool = False,
) -> None:
    """Mark a run without a listed end as lost, once ownership is confirmed.

    Args:
        shard: Shard of the run.
        executor: Its executor.
        run: The run.
        reason: Reason for the log.
        is_end_unknown: Whether it has ended, nobody knows how, and its end is
            acknowledged. A task must not be started again after such an end,
            so its job fails.
    """
    if not run.giving_up:
        run.giving_up = True
        shard.spawn(_lose_once_confirmed(shard, executor, run, reason, is_end_unknown))


async def _lose_once_confirmed(
    shard: state.Shard,
    executor: tracking.Executor,
    run: workflow_state.Run,
    reason: str,
    is_end_unknown: bool,
) -> None:
    """Mark a run as lost after an append that begins now is confirmed.

    The executor may have forgotten the run because it restarted, after a later
    owner had taken note of its end.
    """
    seen_at = run.seen_at
    try:
        await proof.confirm(shard)
    finally:
        run.giving_up = False
    if executor.run_by_task.get(run.task.name) is not run or run.seen_at != seen_at:
        return
    jobs.mark_run_lost(shard, executor, run, reason)
    task = run.task
    is_open = not task.job.outcome and not task.done
    if is_end_unknown and is_open and not task.step.long_running:
        jobs.finish(shard, task.job, workflow_messages.FAILED)
