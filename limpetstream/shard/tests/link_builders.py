"""Test data: an owner behind a link of a given rate, and a steady load."""

import asyncio
import collections
import contextlib
import dataclasses

from limpetstream.shard import events
from limpetstream.shard.tests import schedules
from limpetstream.telemetry import logs
from standins import queued_link, shard_cluster

EXECUTORS = 24
BYTES_PER_S = 60_000
TASKS_PER_JOB = 20
RUN_S = 0.8
WARM_UP_S = 3.0


@dataclasses.dataclass(slots=True)
class Counts:
    """What the owner has logged: events, ends by job, and times of ends."""

    count_by_event: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    done_at: list[float] = dataclasses.field(default_factory=list)
    ended: collections.Counter = dataclasses.field(default_factory=collections.Counter)

    def observe(self, event, fields):
        self.count_by_event[event.name] += 1
        if event in (events.RUN_ENDED, events.RUN_LOST):
            self.ended[fields["task"].partition(".")[0]] += 1
        if event is events.RUN_ENDED and fields["how"] == "done" and fields["current"]:
            self.done_at.append(asyncio.get_running_loop().time())

    def lost_or_ended(self, job_id):
        return self.ended[job_id]

    def done_between(self, start, end):
        return sum(start <= at < end for at in self.done_at)


@contextlib.contextmanager
def counting():
    """Count the events of all instances within the block."""
    counts = Counts()
    logs.observers.append(counts.observe)
    try:
        yield counts
    finally:
        logs.observers.remove(counts.observe)


def make_link(bytes_per_s=BYTES_PER_S):
    """Return a link with the same rate in both directions."""
    return queued_link.Link(
        queued_link.Direction(bytes_per_s), queued_link.Direction(bytes_per_s)
    )


async def offer(cluster, tasks_per_s, seconds, *, first=0, queue=shard_cluster.QUEUE):
    """Submit jobs at a steady rate; return their ids."""
    job_ids, submits = [], []
    steps = schedules.steps(TASKS_PER_JOB, cpu=250)
    count = round(tasks_per_s * seconds / TASKS_PER_JOB)
    for number in range(count):
        job_ids.append(schedules.job_id(first + number))
        submits.append(
            asyncio.create_task(
                cluster.submit(job_ids[-1], steps, seconds=RUN_S, queue=queue)
            )
        )
        await asyncio.sleep(seconds / count)
    assert all(await asyncio.gather(*submits))
    return job_ids


def goodput(tasks_per_s, seconds=10.0):
    """Return the tasks a second that end as done under a steady load."""

    async def scenario(cluster):
        cluster.link_by_member["m0"] = make_link()
        cluster.start("m0")
        await asyncio.sleep(2)
        begins_at = asyncio.get_running_loop().time()
        await offer(cluster, tasks_per_s, seconds)
        done = counts.done_between(begins_at + WARM_UP_S, begins_at + seconds)
        rates.append(done / (seconds - WARM_UP_S))

    rates = []
    with counting() as counts:
        cluster = schedules.run_scenario(scenario, executors=EXECUTORS)
    assert not cluster.breaches.found
    return rates[0]
