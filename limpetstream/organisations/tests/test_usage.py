"""Tests that the usage equals a naive count of all runs."""

import hypothesis
from hypothesis import strategies as st

from limpetstream import amounts
from limpetstream.organisations.tests import builders
from limpetstream.shard import sessions
from limpetstream.workflow import state as workflow_state

ACTIONS = [
    "reserve",
    "release",
    "list_unknown",
    "list_none",
    "uncount_unknown",
    "forget_job",
    "remove",
]


def make_tasks(shard):
    return [
        *builders.make_tasks(shard, count=2, accelerators=1),
        *builders.make_tasks(shard, builders.GLOBEX, long_running=True),
        *builders.make_tasks(shard, builders.ACME, fills=True, memory_mb=1),
        *builders.make_tasks(shard, ""),
    ]


def apply(shard, action, executor, task, number):
    run = workflow_state.Run(task, number, executor.listing.executor_id, 0.0)
    if action == "reserve":
        executor.reserve(run)
    elif action == "release":
        held = executor.run_by_task.get(task.name)
        executor.release(held or run)
    elif action == "list_unknown":
        unknown = {**executor.unknown_runs, (task.name, number): None}
        is_known = task.job.submission.job_id in shard.job_by_id
        executor.set_unknown_runs(unknown, lambda name: task if is_known else None)
    elif action == "list_none":
        executor.set_unknown_runs({}, lambda name: None)
    elif action == "uncount_unknown":
        executor.uncount_unknown_runs()
    elif action == "forget_job":
        shard.job_by_id.pop(task.job.submission.job_id, None)
    else:
        sessions._remove(shard, executor)
        executor.release(run)


@hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from(ACTIONS),
            st.integers(0, 2),
            st.integers(0, 4),
            st.integers(1, 2),
        ),
        max_size=40,
    )
)
def test_usage_equals_a_recount(steps):
    """Guards against usage that is left behind, missing or counted twice."""
    shard = builders.make_shard(executors=3)
    executors = list(shard.executor_by_id.values())
    tasks = make_tasks(shard)
    for action, executor_index, task_index, number in steps:
        apply(shard, action, executors[executor_index], tasks[task_index], number)
        assert builders.has_exact_usage(shard)
    for executor in executors:
        sessions._remove(shard, executor)
    assert shard.usage.of(builders.ACME) == amounts.ZERO


def test_short_and_long_running_usage_are_kept_apart():
    """Guards against shares that count long-running runs."""
    shard = builders.make_shard()
    long_running = builders.make_tasks(shard, long_running=True)[0]
    short = builders.make_tasks(shard, accelerators=2)[0]
    for task in (long_running, short):
        shard.usage.change(task, 1)
    assert shard.usage.of(builders.ACME) == (8000, 2000, 2)
    assert shard.usage.short_of(builders.ACME) == (4000, 1000, 2)
