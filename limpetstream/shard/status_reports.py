"""What a look at an executor changes."""

from limpetstream.executors import leases, messages, tracking
from limpetstream.shard import events, jobs, state, stops
from limpetstream.telemetry import logs
from limpetstream.workflow import state as workflow_state

MAX_LISTED_ENDS = 500  # Most ends that one look lists; a full list hides later ones.
STOP_MARGIN_S = 0.3  # Beyond the longest stop, before a run counts as gone.


def apply_report(
    shard: state.Shard,
    executor: tracking.Executor,
    look: messages.PollReply,
    sent_at: float,
) -> None:
    """Apply one look.

    Args:
        shard: Shard that the executor works for.
        executor: Executor that was looked at.
        look: Its answer.
        sent_at: Monotonic time before the look was sent.
    """
    if executor.born_ms and look.born_ms and look.born_ms != executor.born_ms:
        _begin_life(shard, executor, look)
    executor.born_ms = look.born_ms or executor.born_ms
    for end in sorted(look.ended, key=lambda end: end.number):
        if end.number > executor.applied_end:
            executor.applied_end = end.number
            jobs.apply_end(shard, executor, end)
    listed, strangers = set(), set()
    for row in look.running:
        listed.add((row.task, row.run))
        if not _fold_row(shard, executor, row, sent_at):
            strangers.add((row.task, row.run))
    if executor.unknown_runs != strangers:
        executor.unknown_runs = strangers
        shard.changed.set()
    if len(look.ended) < MAX_LISTED_ENDS:
        _drop_vanished(shard, executor, listed, sent_at)


def note_replaced(shard: state.Shard, executor: tracking.Executor, why: str) -> None:
    """Forget everything about the last life of an executor."""
    logs.emit(
        events.EXECUTOR_REPLACED, executor=executor.listing.executor_id, reason=why
    )
    mark_all_runs_lost(shard, executor, why)


def _begin_life(
    shard: state.Shard, executor: tracking.Executor, look: messages.PollReply
) -> None:
    """Note that an executor has started again under its id.

    What it lists was started by this owner before it saw the change; the
    rest of the last life is gone. An order with a deadline of the old clock
    may have got the longest lease.
    """
    logs.emit(
        events.EXECUTOR_REPLACED,
        executor=executor.listing.executor_id,
        reason="born at another time",
    )
    executor.acked_end = executor.applied_end = 0
    longest_s = shard.timing.max_lease_s
    executor.lease = leases.Lease(executor.lease.duration_s)
    executor.lease.deadline_ms = look.clock_ms + int(longest_s * 1000)
    present = {(row.task, row.run) for row in look.running}
    present |= {(end.task, end.run) for end in look.ended}
    for run in list(executor.run_by_task.values()):
        if run.phase == workflow_state.STARTING:
            continue  # The order may be on its way to the new life.
        if (run.task.name, run.number) not in present:
            jobs.mark_run_lost(shard, executor, run, "the executor started again")


def mark_all_runs_lost(
    shard: state.Shard, executor: tracking.Executor, why: str
) -> None:
    """Note that nothing runs on an executor any more."""
    for run in list(executor.run_by_task.values()):
        jobs.mark_run_lost(shard, executor, run, why)


def _fold_row(
    shard: state.Shard,
    executor: tracking.Executor,
    row: messages.RunningRow,
    sent_at: float,
) -> bool:
    """Apply a row; return whether its run is one that the shard knows."""
    run = executor.run_by_task.get(row.task)
    if run is None or run.number != row.run:
        run = _adopt(shard, executor, row)
        if run is None:
            return False
    run.seen_at = sent_at
    run.task.job.started = True
    if run.phase == workflow_state.STARTING:
        run.phase = workflow_state.WORKING
        run.progressed_at = sent_at
    if row.percent != run.percent:
        run.percent = row.percent
        run.progressed_at = sent_at
    run.load = row.load
    if row.checkpoint:
        run.task.checkpoint = row.checkpoint
    return True


def _adopt(
    shard: state.Shard, executor: tracking.Executor, row: messages.RunningRow
) -> workflow_state.Run | None:
    """Take over a run that an earlier owner has started."""
    task = jobs.find_task(shard, row.task)
    held = executor.run_by_task.get(row.task)
    if task is None or held is not None or not _is_wanted(task, row):
        if (row.task, row.run) not in executor.unknown_runs:
            stops.stop_unknown_run(shard, executor, row.task, row.run, "not wanted")
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
    )
    task.run = run
    task.last_run = max(task.last_run, row.run)
    if task in shard.waiting_tasks:
        shard.waiting_tasks.remove(task)
    executor.reserve(run)
    return run


def _is_wanted(task: workflow_state.Task, row: messages.RunningRow) -> bool:
    return (
        not task.job.outcome
        and not task.done
        and task.run is None
        and row.run > task.ended_run
    )


def _drop_vanished(
    shard: state.Shard,
    executor: tracking.Executor,
    listed: set[tuple[str, int]],
    sent_at: float,
) -> None:
    for run in list(executor.run_by_task.values()):
        if (run.task.name, run.number) in listed:
            continue
        if run.phase == workflow_state.WORKING:
            if run.seen_at is not None and sent_at > run.seen_at:
                jobs.mark_run_lost(shard, executor, run, "not listed any more")
        elif run.stop_confirmed_at is not None:
            gone_at = run.stop_confirmed_at + shard.timing.max_stop_s + STOP_MARGIN_S
            if sent_at > gone_at:
                jobs.mark_run_lost(shard, executor, run, "stopped")
