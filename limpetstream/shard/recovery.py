"""Loads a shard from the store when this instance becomes its owner."""

import dataclasses

import msgspec

from limpetstream import errors
from limpetstream.shard import (
    events,
    executor_records,
    instance_quorum,
    instance_votes,
    jobs,
    names,
    ownership,
    state,
    stored_estimates,
    unknown_cancels,
    unreadable,
)
from limpetstream.shard.queueing import job_memory
from limpetstream.store import follower, messages as store_messages
from limpetstream.telemetry import logs
from limpetstream.workflow import messages, records, state as workflow_state

RETRY_S = 0.1


@dataclasses.dataclass(slots=True)
class JournalContent:
    """Contents of the journal.

    Args:
        progress_by_id: Progress of each job, by job id.
        executors: Executors on which runs may have been started.
    """

    progress_by_id: dict[str, records.Progress]
    executors: list[executor_records.ExecutorRecord]


async def load_journal(shard: state.Shard) -> JournalContent:
    """Read the journal, and take over the estimates that it holds.

    The partition is fenced, so nothing changes while its pages are read.
    Entries that cannot be decoded are logged and skipped, and their keys noted
    in ``unreadable_job_ids``.
    """
    page = await _read_newest(shard, names.PROGRESS_TOPIC)
    shard.read_as_claimed = (
        ownership.offset_by_voter(page.entries) == shard.offset_by_voter
    )
    progress_by_id: dict[str, records.Progress] = {}
    executors: list[executor_records.ExecutorRecord] = []
    for entry in page.entries:
        if entry.value is None or entry.key in (names.OWNER_KEY, names.TOKEN_KEY):
            continue
        try:
            if entry.key == names.ESTIMATES_KEY:
                stored_estimates.load(shard, entry.value)
            elif entry.key == names.INSTANCES_KEY:
                instance_votes.note_inherited(
                    shard, instance_quorum.decode(entry.value)
                )
            elif entry.key.startswith(names.EXECUTOR_KEY_PREFIX):
                executors.append(executor_records.decode(entry.key, entry.value))
            else:
                progress_by_id[entry.key] = records.decode_progress(entry.value)
        except (
            errors.RecordError,
            msgspec.DecodeError,
            UnicodeError,
            RecursionError,
        ) as error:
            unreadable.log(names.PROGRESS_TOPIC, entry, error)
            if entry.key.startswith(names.EXECUTOR_KEY_PREFIX):
                executor_records.note_unreadable(shard, entry.key)
            elif entry.key == names.INSTANCES_KEY:
                shard.instance_quorum.unreadable = True
            else:
                shard.unreadable_job_ids.add(entry.key)
    return JournalContent(progress_by_id, executors)


def apply_submissions(
    shard: state.Shard,
    entries: list[store_messages.Entry],
    progress_by_id: dict[str, records.Progress],
) -> None:
    """Add the jobs of a page of the submissions topic, with their progress.

    Args:
        shard: Shard that owns the jobs.
        entries: Entries of the submissions topic.
        progress_by_id: Progress that the journal holds, by job id; entries
            that are used are removed. A job whose progress cannot be read
            fails.
    """
    for entry in entries:
        if entry.value is None or entry.key in shard.job_by_id:
            continue
        try:
            submission = records.decode_submission(entry.value)
        except errors.RecordError as error:
            unreadable.log(names.SUBMISSIONS_TOPIC, entry, error)
            continue
        progress = progress_by_id.pop(entry.key, None)
        if entry.key in shard.unreadable_job_ids:
            _fail(shard, submission)
        elif progress is None:
            jobs.add_job(shard, submission)
            unknown_cancels.apply(shard, shard.job_by_id[entry.key])
        elif progress.unsubmitted:
            jobs.add_job(shard, submission)
            jobs.finish(shard, shard.job_by_id[entry.key], messages.CANCELLED)
        else:
            _resume(shard, submission, progress)
        job = shard.job_by_id[entry.key]
        job_memory.note_open(shard.job_memory, job, len(entry.value))


def restore_final_jobs(
    shard: state.Shard, progress_by_id: dict[str, records.Progress]
) -> None:
    """Restore the final states of jobs whose submission was dropped.

    Cancels of jobs that are not stored yet are kept, too.
    """
    for job_id, progress in progress_by_id.items():
        if progress.unsubmitted:
            unknown_cancels.restore(shard, job_id)
            continue
        if not progress.outcome:
            logs.emit(
                events.ENTRY_UNREADABLE,
                topic=names.PROGRESS_TOPIC,
                key=job_id,
                error="the job is open, but its submission is missing",
            )
            continue
        job = workflow_state.Job(
            messages.Submission(job_id, progress.queue, "", "", [])
        )
        records.restore(job, progress)
        shard.job_by_id[job_id] = job
        job_memory.note_final(shard.job_memory, job)
        jobs.note_inherited_outcome(shard, job)


def _fail(shard: state.Shard, submission: messages.Submission) -> None:
    """Fail a job whose progress cannot be read.

    Nothing tells which of its tasks have ended, so none can be started without
    running some of them twice.
    """
    job = workflow_state.Job(submission)
    shard.job_by_id[submission.job_id] = job
    jobs.finish(shard, job, messages.FAILED)
    if job.early:
        # An earlier owner may have told any state of it.
        shard.inherited_early_job_ids.add(submission.job_id)


def _resume(
    shard: state.Shard, submission: messages.Submission, progress: records.Progress
) -> None:
    job = workflow_state.Job(submission)
    shard.job_by_id[submission.job_id] = job
    job.loaded_at = shard.clock.monotonic()
    if progress.marked:
        shard.earlier_job_ids.add(submission.job_id)
        shard.maybe_started_job_ids.add(submission.job_id)
        job.last_earlier_run = shard.epoch * jobs.RUN_NUMBERS_PER_EPOCH
    records.restore(job, progress)
    if job.outcome:
        jobs.note_inherited_outcome(shard, job)
        return
    jobs.open_job(shard, job)


async def read_submissions(shard: state.Shard) -> store_messages.Page:
    """Read all submissions of the shard."""
    return await _read_newest(shard, names.SUBMISSIONS_TOPIC)


async def _read_newest(shard: state.Shard, topic: str) -> store_messages.Page:
    timeout_s = follower.INITIAL_LOAD_TIMEOUT_S
    while True:
        try:
            return await shard.store.newest(topic, shard.number, timeout_s=timeout_s)
        except errors.PlatformUnavailable as error:
            logs.emit(events.LIST_READ_FAILED, topic=topic, error=str(error))
            timeout_s = follower.next_load_timeout_s(timeout_s, error)
        await shard.clock.sleep(RETRY_S)
