"""Tests that the usage equals a naive count of all runs."""

import functools

import hypothesis
import loguru
import pytest
from hypothesis import strategies as st

from limpetstream import amounts
from limpetstream.executors import messages
from limpetstream.organisations.tests import builders
from limpetstream.shard import jobs, sessions
from limpetstream.shard.tests import builders as shard_builders
from limpetstream.workflow import state as workflow_state

ACTIONS = [
    "reserve",
    "release",
    "list_unknown",
    "list_ended",
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


class Scene:
    """Executors, and the unknown runs that should count, by executor."""

    def __init__(self):
        self.shard = builders.make_shard(executors=3)
        self.executors = list(self.shard.executor_by_id.values())
        self.tasks = make_tasks(self.shard)
        self.unknown_by_executor = {id(executor): {} for executor in self.executors}

    def is_exact(self):
        unknown = [
            task
            for tasks in self.unknown_by_executor.values()
            for task in tasks.values()
        ]
        return builders.has_exact_usage(self.shard, unknown)

    def apply(self, action, executor, task, number):
        run = workflow_state.Run(task, number, executor.listing.executor_id, 0.0)
        key = task.name, number
        if action == "reserve":
            executor.reserve(run)
        elif action == "release":
            executor.release(executor.run_by_task.get(task.name, run))
        elif action == "list_unknown":
            self.list_unknown(executor, {*executor.unknown_runs, key})
        elif action == "list_ended":
            self.list_unknown(executor, executor.unknown_runs.keys() - {key})
        elif action == "uncount_unknown":
            executor.uncount_unknown_runs()
            self.unknown_by_executor[id(executor)].clear()
        elif action == "forget_job":
            self.shard.job_by_id.pop(task.job.submission.job_id, None)
        else:
            sessions._remove(self.shard, executor)
            self.unknown_by_executor[id(executor)].clear()
            executor.release(run)

    def list_unknown(self, executor, keys):
        """Let a poll list runs; those of forgotten jobs count as before."""
        find_task = functools.partial(jobs.find_task, self.shard)
        executor.unknown_runs = dict.fromkeys(keys)
        executor.count_unknown_runs(find_task)
        if executor.usage is None:
            return
        counted = self.unknown_by_executor[id(executor)]
        found = {key: counted.get(key) or find_task(key[0]) for key in keys}
        counted.clear()
        counted.update({key: task for key, task in found.items() if task})


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
    scene = Scene()
    for action, executor_index, task_index, number in steps:
        executor = scene.executors[executor_index]
        scene.apply(action, executor, scene.tasks[task_index], number)
        assert scene.is_exact()
    for executor in scene.executors:
        sessions._remove(scene.shard, executor)
    assert scene.shard.usage.of(builders.ACME) == amounts.ZERO


def test_short_and_long_running_usage_are_kept_apart():
    """Guards against shares that count long-running runs."""
    shard = builders.make_shard()
    long_running = builders.make_tasks(shard, long_running=True)[0]
    short = builders.make_tasks(shard, accelerators=2)[0]
    for task in (long_running, short):
        shard.usage.change(task, 1)
    assert shard.usage.of(builders.ACME) == (8000, 2000, 2)
    assert shard.usage.short_of(builders.ACME) == (4000, 1000, 2)


@pytest.mark.parametrize("is_listed", [True, False])
def test_unknown_runs_on_a_silent_executor_count_until_its_lease_is_over(is_listed):
    """Guards against room that an executor holds for ever."""
    loguru.logger.remove()
    scene = shard_builders.PolledShard()
    shard, executor = scene.shard, scene.executor("x0")
    executor.usage = shard.usage
    task = builders.make_tasks(shard)[0]
    shard.waiting_tasks.remove(task)
    workflow_state.mark_done(task)
    scene.client.rows_by_id["x0"] = [messages.RunningRow(task.name, 1, "", 50, 0.0)]
    scene.advance(2)
    executor.listed = is_listed
    scene.client.unanswered |= {("poll", "x0"), ("stop", "x0")}
    scene.advance(3)
    assert shard.usage.of(builders.ACME) == (4000, 1000, 0)
    scene.advance(12)
    assert shard.usage.of(builders.ACME) == amounts.ZERO
    assert ("x0" in shard.executor_by_id) == is_listed
    scene.close()
