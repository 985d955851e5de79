"""Applies changes to jobs: new jobs, ends of runs, final states."""

from collections.abc import Hashable, Iterable

from limpetstream.executors import messages as executor_messages, tracking
from limpetstream.shard import events, objectives, proof, state, stops
from limpetstream.shard.queueing import backlog
from limpetstream.telemetry import logs
from limpetstream.workflow import messages, records, state as workflow_state

RETRY_PAUSE_S = 0.05  # Limits the rate of a task that fails at once.
# Factor for an executor's failure count after each run that ended as done.
FAILURES_DECAY = 0.9
UNRECORDED_RUNS = 16  # Numbers to skip when an executor knows a later run.
# Each owner numbers the runs of a job that an earlier one may have started
# from its epoch times this number, so that no two owners use the same one.
RUN_NUMBERS_PER_EPOCH = 10_000


def add_job(shard: state.Shard, submission: messages.Submission) -> None:
    """Add a newly submitted job; a job that is known already is unchanged."""
    if submission.job_id in shard.job_by_id:
        return
    job = workflow_state.Job(submission)
    job.loaded_at = shard.clock.monotonic()
    job.stored_after_claim = shard.recovered
    shard.job_by_id[submission.job_id] = job
    organisation = submission.organisation
    logs.emit(
        events.JOB_LOADED,
        job=submission.job_id,
        queue=submission.queue,
        tasks=sum(step.count for step in submission.steps),
        waited_ms=shard.clock.wall_ms() - submission.accepted_ms,
        **({"organisation": organisation} if organisation else {}),
    )
    open_job(shard, job)


def open_job(shard: state.Shard, job: workflow_state.Job) -> None:
    """Queue the first tasks of a job, or schedule its first occurrence."""
    if job.submission.occurrences:
        shard.next_occurrence_by_job[job.submission.job_id] = 0
        return
    enqueue_released(shard, workflow_state.get_occurrence(job, 0))


def enqueue_released(shard: state.Shard, occurrence: workflow_state.Occurrence) -> None:
    """Queue the tasks of an occurrence whose preceding steps have finished.

    Those that cannot start soon follow once there is room.
    """
    steps = occurrence.tasks_by_step[0].job.submission.steps
    released = workflow_state.release_ready_steps(occurrence, steps)
    for tasks in released:
        tasks.released_at = shard.clock.monotonic()
        shard.backlog.add(tasks)
    queue_more(shard, {tasks.kind: None for tasks in released})


def queue_more(shard: state.Shard, kinds: Iterable[Hashable] | None = None) -> None:
    """Queue released tasks for which there is room now.

    Args:
        shard: Shard of the tasks.
        kinds: Kinds of the tasks; None for all.
    """
    taken = backlog.take(shard.backlog, shard.waiting_tasks, kinds)
    for task, released_at in taken:
        enqueue(shard, task, ready_at=released_at)


def enqueue(
    shard: state.Shard,
    task: workflow_state.Task,
    pause_s: float = 0,
    *,
    ready_at: float | None = None,
) -> None:
    """Add a task to the tasks that wait for capacity.

    Args:
        shard: Shard that owns the task.
        task: Task to queue.
        pause_s: Seconds for which it is not placed.
        ready_at: Monotonic time from which its wait counts; now if None.
    """
    now = shard.clock.monotonic()
    task.ready_at = now if ready_at is None else ready_at
    task.not_before = now + pause_s
    shard.waiting_tasks.append(task)
    shard.changed.set()


def apply_end(
    shard: state.Shard, executor: tracking.Executor, end: executor_messages.EndRow
) -> None:
    """Apply the end of a run that an executor has listed.

    An end may be listed again to a new owner, and executors are polled in any
    order. Failed runs are therefore counted by their numbers, and a run that
    ended as done finishes its task, also if it was given up or the task runs
    elsewhere: its end will be acknowledged. Otherwise an end counts only if no
    later run has ended and the task has no other run now.
    """
    task = find_task(shard, end.task)
    run = executor.run_by_task.get(end.task)
    current = run is not None and run.number == end.run
    logs.emit(
        events.RUN_ENDED,
        task=end.task,
        run=end.run,
        executor=executor.listing.executor_id,
        how=end.how,
        number=end.number,
        current=current,
        known=task is not None,
        ran_ms=round((shard.clock.monotonic() - run.start_requested_at) * 1000)
        if run
        else 0,
    )
    if current:
        if end.how == executor_messages.DONE:
            objectives.note_run_time(shard, run)
        executor.release(run)
        shard.changed.set()
    if task is None:
        return
    if task.job.outcome or task.done:
        if current:
            task.run = None
        return
    _apply_to_open_task(shard, executor, task, run if current else None, end)


def _apply_to_open_task(
    shard: state.Shard,
    executor: tracking.Executor,
    task: workflow_state.Task,
    ended: workflow_state.Run | None,
    end: executor_messages.EndRow,
) -> None:
    """Apply an end to an open task; ``ended`` is its run if it is known."""
    if end.how == executor_messages.DONE and not task.step.long_running:
        _stop_other_run(shard, task, ended)
        _record_end(shard, executor, task, end)
        return
    failed = end.how == executor_messages.FAILED and not task.step.long_running
    if failed and end.run not in task.failed_runs:
        # Executors are polled in any order, so a later run may be known.
        task.failed_runs |= {end.run}
        task.last_run = max(task.last_run, end.run)
        save_progress(shard, task.job)
        if _has_no_attempts_left(shard, task):
            if ended is not None:
                task.run = None
            finish(shard, task.job, messages.FAILED)
            return
    if task.run is not None and task.run is not ended:
        return
    if end.run > task.ended_run:
        if ended is None and task in shard.waiting_tasks:
            shard.waiting_tasks.remove(task)  # The end queues it again.
        _record_end(shard, executor, task, end)
    elif ended is not None:
        task.run = None
        enqueue(shard, task)


def _stop_other_run(
    shard: state.Shard, task: workflow_state.Task, ended: workflow_state.Run | None
) -> None:
    """Stop the present run of a task unless it is the one that has ended."""
    other = task.run
    if other is None or other is ended:
        return
    executor = shard.executor_by_id.get(other.executor_id)
    if executor is not None:
        stops.stop_run(shard, executor, other, "an earlier run has ended as done")


def _record_end(
    shard: state.Shard,
    executor: tracking.Executor,
    task: workflow_state.Task,
    end: executor_messages.EndRow,
) -> None:
    task.run = None
    task.job.started = True
    task.ended_run = max(task.ended_run, end.run)
    task.last_run = max(task.last_run, end.run)
    if end.checkpoint:
        task.checkpoint = end.checkpoint
    _apply_outcome(shard, executor, task, end.how)
    save_progress(shard, task.job)


def _apply_outcome(
    shard: state.Shard,
    executor: tracking.Executor,
    task: workflow_state.Task,
    how: str,
) -> None:
    if how == executor_messages.DONE and not task.step.long_running:
        executor.failure_score *= FAILURES_DECAY
        _finish_task(shard, task)
        return
    if how == executor_messages.FAILED:
        executor.failure_score += 1.0
        enqueue(shard, task, RETRY_PAUSE_S)
        return
    enqueue(shard, task)


def _has_no_attempts_left(shard: state.Shard, task: workflow_state.Task) -> bool:
    """Return whether a task has used all attempts that its queue allows."""
    queue = shard.queue_of(task.job)
    limit = queue.max_attempts if queue else task.job.submission.max_attempts
    return len(task.failed_runs) >= limit


def _finish_task(shard: state.Shard, task: workflow_state.Task) -> None:
    job = task.job
    occurrence = job.occurrence_by_number[task.occurrence]
    for member in workflow_state.mark_done_with_gang(task):
        shard.waiting_tasks.discard(member)
    enqueue_released(shard, occurrence)
    if workflow_state.is_finished(occurrence):
        workflow_state.forget_finished(job, occurrence.number)
        if job.finished_occurrences >= max(1, job.submission.occurrences):
            finish(shard, job, messages.COMPLETED)


def finish(shard: state.Shard, job: workflow_state.Job, outcome: str) -> None:
    """Give a job its final state, which callers see once it is durable.

    While an earlier owner may still tell that the job is open, callers do not
    see it, and neither do those of later owners. Runs of the job are stopped
    and its waiting tasks are removed.
    """
    job.outcome = outcome
    job.early = not proof.may_tell_final(shard, job)
    job.final_ms = shard.clock.wall_ms()
    shard.next_occurrence_by_job.pop(job.submission.job_id, None)
    shard.interference_model.forget_job(job.submission.job_id)
    save_progress(shard, job)
    shard.backlog.discard(job)
    for task in workflow_state.tasks_of(job):
        shard.waiting_tasks.discard(task)
        executor = shard.executor_by_id.get(task.run.executor_id) if task.run else None
        if executor is not None and executor.run_by_task.get(task.name) is task.run:
            stops.stop_run(shard, executor, task.run, outcome)
    if shard.backlog.steps_by_kind:
        shard.changed.set()  # The next pass queues what has room now.
    if job.early:
        shard.early_job_by_id[job.submission.job_id] = job
    else:
        shard.spawn(publish_outcome(shard, job))


def note_inherited_outcome(shard: state.Shard, job: workflow_state.Job) -> None:
    """Note a final state that the journal holds.

    The owner that has reached it had to tell nobody if it is not visible.
    """
    if not job.visible_outcome:
        shard.early_job_by_id[job.submission.job_id] = job
        shard.inherited_early_job_ids.add(job.submission.job_id)


def release_early_outcomes(shard: state.Shard) -> None:
    """Let callers see early final states once earlier owners have stopped.

    They are stored once more before, so that later owners tell them at once.
    """
    for job_id, job in list(shard.early_job_by_id.items()):
        if not proof.may_tell_final(shard, job):
            continue
        job.early = False
        save_progress(shard, job)
        shard.spawn(publish_outcome(shard, job))
        del shard.early_job_by_id[job_id]
        shard.inherited_early_job_ids.discard(job_id)


async def publish_outcome(shard: state.Shard, job: workflow_state.Job) -> None:
    """Let callers see a final state that is not early, once it is durable.

    Raises:
        WriterFenced: Another owner has taken over.
        NotOwner: The ownership has ended.
    """
    await shard.journal.wait_until_durable()
    if job.visible_outcome:
        return
    job.visible_outcome = job.outcome
    logs.emit(
        events.JOB_FINISHED,
        job=job.submission.job_id,
        queue=job.submission.queue,
        outcome=job.outcome,
        took_ms=shard.clock.wall_ms() - job.submission.accepted_ms,
    )


def save_progress(shard: state.Shard, job: workflow_state.Job) -> None:
    """Queue the progress of a job for the next append to the journal."""
    job.stored = True
    shard.journal.put(job.submission.job_id, lambda: _encode_progress(shard, job))


def _encode_progress(shard: state.Shard, job: workflow_state.Job) -> bytes:
    """Return the stored form of a job's progress.

    A job whose progress does not fit into a record fails, so that it does not
    hold back the records of all other jobs.
    """
    stored = records.encode_progress(job)
    if len(stored) <= records.MAX_RECORD_BYTES:
        return stored
    logs.emit(
        events.PROGRESS_TOO_LARGE,
        job=job.submission.job_id,
        queue=job.submission.queue,
        bytes=len(stored),
    )
    finish(shard, job, messages.FAILED)
    return records.encode_progress(job)


def mark_run_lost(
    shard: state.Shard,
    executor: tracking.Executor,
    run: workflow_state.Run,
    reason: str,
) -> None:
    """Release a run that has no reported end, and queue its task again."""
    executor.release(run)
    run.phase = workflow_state.GONE  # Cancels a start request that is not sent yet.
    shard.changed.set()
    task = run.task
    logs.emit(
        events.RUN_LOST,
        task=task.name,
        run=run.number,
        executor=executor.listing.executor_id,
        reason=reason,
    )
    if task.run is not run:
        return
    task.run = None
    task.ended_run = max(task.ended_run, run.number)
    if task.job.outcome or task.done:
        return
    save_progress(shard, task.job)
    enqueue(shard, task)


def find_task(shard: state.Shard, name: str) -> workflow_state.Task | None:
    """Return the task with a name; None if this shard has no such task."""
    name_parts = workflow_state.parse_task_name(name)
    job = shard.job_by_id.get(name_parts[0]) if name_parts else None
    if name_parts is None or job is None:
        return None
    return workflow_state.find_task(job, *name_parts[1:])
