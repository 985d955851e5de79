"""Test data: shards whose configuration names organisations."""

import dataclasses

from limpetstream import amounts
from limpetstream.organisations import settings
from limpetstream.shard.tests import builders
from limpetstream.workflow import messages
from standins import shard_cluster, virtual_time


def make_shard(*organisations, executors=1):
    """Return a shard whose configuration names these organisations."""
    shard = builders.make_shard(virtual_time.Loop(), executors=executors)
    shard.view.configuration = messages.Configuration(
        1,
        [shard_cluster.BATCH],
        organisation_by_name={each.name: each for each in organisations},
    )
    return shard


def organisation(name, *, weight=1.0, limit=amounts.ZERO):
    return settings.Organisation(name, weight, limit)


def make_tasks(shard, name, *, count=1, **changes):
    """Return new tasks of an organisation, each of 6 cores and 8,000 MB."""
    step = builders.copy_step(builders.SHORT, count=count, **changes)
    tasks = builders.make_tasks(shard, step)
    tasks[0].job.submission = dataclasses.replace(
        tasks[0].job.submission, organisation=name
    )
    return tasks


def run(shard, tasks):
    """Let tasks run on the first executor."""
    for task in tasks:
        builders.start_run(shard.executor_by_id["x0"], task)


def wait(shard, tasks, *, since=0.0):
    """Let tasks wait since a time."""
    for task in tasks:
        task.ready_at = since
        shard.waiting_tasks.append(task)
