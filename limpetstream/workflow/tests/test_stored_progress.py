"""Tests of both stored forms of the progress of a job."""

import random

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from limpetstream.workflow import checks, records, state
from limpetstream.workflow.tests import progress_builders as builders


@pytest.fixture
def only_compressed(monkeypatch):
    """Let each job with progress have the compressed form."""
    monkeypatch.setattr(records, "MAX_PLAIN_TASKS", 0)


@hypothesis.settings(
    derandomize=True,
    max_examples=200,
    deadline=None,
)
@hypothesis.given(strategies.data())
def test_both_forms_restore_the_same_progress(data):
    """Guards against a task that is open, or done, in one form only."""
    job = builders.make_job(3, 2, occurrences=12, gang=data.draw(strategies.booleans()))
    for number in data.draw(strategies.sets(strategies.integers(0, 11))):
        builders.finish(job, number)
    tasks = [
        task
        for number in data.draw(strategies.sets(strategies.integers(0, 11)))
        for tasks in state.get_occurrence(job, number).tasks_by_step
        for task in tasks
    ]
    runs = strategies.integers(1, 200_000)
    for task in tasks:
        if task.done or not data.draw(strategies.booleans()):
            continue
        task.ended_run = data.draw(runs)
        task.failed_runs = frozenset(data.draw(strategies.sets(runs, max_size=3)))
        task.checkpoint = data.draw(strategies.text(max_size=4))
        if data.draw(strategies.booleans()):
            state.mark_done_with_gang(task)
    plain = builders.store_and_restore(job)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(records, "MAX_PLAIN_TASKS", 0)
        compressed = builders.store_and_restore(job)
        again = builders.store_and_restore(compressed)
    for restored in (plain, compressed, again, builders.store_and_restore(compressed)):
        assert builders.done_names(restored) == builders.done_names(job)
        assert builders.finished_numbers(restored) == builders.finished_numbers(job)
        assert builders.open_progress(restored) == builders.open_progress(job)


def test_a_long_schedule_with_gaps_is_restored():
    """Guards against occurrences in a gap that count as finished."""
    job = builders.make_job(2, occurrences=checks.MAX_OCCURRENCES)
    gaps = {0, 17, 18, 5000, checks.MAX_OCCURRENCES - 1}
    for number in set(range(checks.MAX_OCCURRENCES)) - gaps:
        builders.finish(job, number)
    stored = records.encode_progress(job)
    assert len(stored) < 1000
    restored = builders.store_and_restore(job)
    assert builders.finished_numbers(restored) == builders.finished_numbers(job)
    assert set(range(checks.MAX_OCCURRENCES)) - builders.finished_numbers(job) == gaps


def test_a_schedule_of_which_every_other_occurrence_is_finished_fits():
    """Guards against a record that grows with the number of gaps."""
    job = builders.make_job(2, occurrences=checks.MAX_OCCURRENCES)
    for number in range(0, checks.MAX_OCCURRENCES, 2):
        builders.finish(job, number)
        state.get_occurrence(job, number + 1).tasks_by_step[0][0].ended_run = 100_001
    assert len(records.encode_progress(job)) < records.MAX_RECORD_BYTES / 2
    restored = builders.store_and_restore(job)
    assert builders.open_progress(restored) == builders.open_progress(job)


def test_the_largest_job_fits_after_failures_and_with_checkpoints():
    """Guards against a job that fails because its tasks were tried again."""
    generator = random.Random(20261204)
    job = builders.make_job(checks.MAX_TASKS, occurrences=0)
    for task in state.get_occurrence(job, 0).tasks_by_step[0]:
        task.failed_runs = {generator.randrange(10**6, 10**9) for _ in range(3)}
        task.ended_run = max(task.failed_runs)
        task.checkpoint = f"{generator.getrandbits(64):016x}"
    assert len(records.encode_progress(job)) < records.MAX_RECORD_BYTES
    restored = builders.store_and_restore(job)
    assert builders.open_progress(restored) == builders.open_progress(job)


def test_a_task_that_is_done_takes_few_bytes_in_the_plain_form():
    """Guards against a link full of progress that is written with each end."""
    job = builders.make_job(40, occurrences=0)
    before = len(records.encode_progress(job))
    for index in range(39):
        task = state.find_task(job, 0, 0, index)
        task.ended_run = task.last_run = 100_001
        state.mark_done(task)
    assert len(records.encode_progress(job)) - before < 26 * 40
    restored = builders.store_and_restore(job)
    assert builders.done_names(restored) == builders.done_names(job)


def test_earlier_versions_decode_the_plain_form():
    """Guards against a job of usual size that fails at an earlier version."""
    job = builders.make_job(checks.MAX_TASKS, occurrences=0)
    for task in state.get_occurrence(job, 0).tasks_by_step[0]:
        task.ended_run = task.last_run = 100_001
        task.checkpoint = "c" * 16
    decoded = builders.decode_as_earlier(records.encode_progress(job))
    assert len(decoded.task_by_place) == checks.MAX_TASKS


def test_earlier_versions_cannot_decode_the_compressed_form(only_compressed):
    """Guards against an earlier version that starts tasks which are done."""
    job = builders.make_job(2, occurrences=100)
    for number in range(100):
        builders.finish(job, number)
    with pytest.raises((msgspec.DecodeError, UnicodeError)):
        builders.decode_as_earlier(records.encode_progress(job))


def test_a_record_of_an_earlier_version_is_restored():
    """Guards against progress that is lost when an instance is upgraded."""
    job = builders.make_job(3, occurrences=2)
    raw = (
        b'{"queue":"batch","started":true,"marked":true,"task_by_place":{'
        b'"0.0.0":{"done":true,"run":5},"0.0.1":{"done":true,"run":7},'
        b'"0.0.2":{"done":true,"run":2},'
        b'"1.0.1":{"failed_runs":[3,4],"run":4,"checkpoint":"c"}}}'
    )
    records.restore(job, records.decode_progress(raw))
    assert job.started
    assert job.start_recorded
    assert builders.finished_numbers(job) == {0}
    assert builders.open_progress(job) == {f"{'0' * 16}.1.0.1": ({3, 4}, 4, "c")}


@pytest.mark.parametrize("place", ["", "x", "0", "0.0.0", "9.0", "0.9", "-1.0"])
def test_ranges_of_steps_that_do_not_exist_are_ignored(place):
    """Guards against an odd record that ends every new owner."""
    job = builders.make_job(3, occurrences=2)
    progress = records.Progress(done_by_step={place: [(0, 2)], "1.0": [(1, 9)]})
    records.restore(job, progress)
    names = {f"{'0' * 16}.1.0.{index}" for index in (1, 2)}
    assert builders.done_names(job) == names
