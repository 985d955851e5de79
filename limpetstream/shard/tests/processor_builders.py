"""Test data: an owner on a slow processor under the load of a calm day."""

import asyncio
import collections
import contextlib
import dataclasses

import pytest

from limpetstream.shard import events, turn_order
from limpetstream.shard.tests import schedules
from limpetstream.telemetry import logs
from limpetstream.workflow import messages
from standins import shard_cluster, slow_processor, step_executor_client

EXECUTORS = 48
DESK_RUN_S = 0.8
BATCH_RUN_S = 1.2
DESK_TASKS = 8
DESK_PER_S = 40.0
BATCH_TASKS = 40
BATCH_PER_S = 100.0
FIRST_DESK = 0x20000
FIRST_BATCH = 0x10000
BATCH_IDS = "000000000001"  # With which the ids of batch jobs begin.
SECONDS = 15.0
WARM_UP_S = 4.0  # Lasting tasks start, and the limits adapt to the load.
LASTING = messages.Step(
    EXECUTORS,
    cpu_millicores=2_000,
    memory_mb=100,
    image="watch",
    tail_target_ms=18,
    long_running=True,
    max_per_executor=1,
)
BEST_EFFORT = messages.Step(
    BATCH_TASKS, cpu_millicores=1_000, memory_mb=100, image="cut", fills=True
)
DESK = messages.Step(DESK_TASKS, cpu_millicores=1_000, memory_mb=100)


@dataclasses.dataclass(slots=True)
class Seen:
    """What an owner has logged and when tasks were started, in loop seconds.

    Args:
        submitted_at: When each job was submitted, by its id.
        started_at: When each task was first started, by its name.
        count_by_event: Number of log events by name.
        states: Fields of the ``owner-state`` lines.
    """

    submitted_at: dict[str, float] = dataclasses.field(default_factory=dict)
    started_at: dict[str, float] = dataclasses.field(default_factory=dict)
    count_by_event: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    states: list[dict] = dataclasses.field(default_factory=list)

    def observe(self, event, fields):
        self.count_by_event[event.name] += 1
        if event is events.RUN_ORDERED:
            now = asyncio.get_running_loop().time()
            self.started_at.setdefault(fields["task"], now)
        if event is events.OWNER_STATE:
            self.states.append(fields)

    def waits_s(self, job_ids, tasks):
        """Return the waits of the jobs for their first starts, in order."""
        return sorted(
            self.started_at.get(f"{job_id}.0.0.{index}", 60.0 + submitted_at)
            - submitted_at
            for job_id in job_ids
            for submitted_at in [self.submitted_at[job_id]]
            for index in range(tasks)
        )


@contextlib.contextmanager
def seeing():
    """Record what the owner does within the block."""
    seen = Seen()
    logs.observers.append(seen.observe)
    try:
        yield seen
    finally:
        logs.observers.remove(seen.observe)


@contextlib.contextmanager
def costly_passes(loop, costs):
    """Let the order of tasks in each pass take processor time."""
    sort = turn_order.sort

    def costly(*args):
        loop.use_processor(costs.pass_s)
        return sort(*args)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(turn_order, "sort", costly)
        yield


async def offer(cluster, seen, step, tasks_per_s, seconds, *, first, queue, run_s):
    """Submit jobs of one step at a steady rate; return their ids."""
    job_ids, submits = [], []
    count = round(tasks_per_s * seconds / step.count)
    for number in range(count):
        job_id = schedules.job_id(first + number)
        job_ids.append(job_id)
        seen.submitted_at[job_id] = asyncio.get_running_loop().time()
        submits.append(
            asyncio.create_task(
                cluster.submit(job_id, [step], seconds=run_s, queue=queue)
            )
        )
        await asyncio.sleep(seconds / count)
    assert all(await asyncio.gather(*submits))
    return job_ids


def play(scale):
    """Play a calm day on an owner whose work takes ``scale`` times as long.

    Returns:
        What was seen, the waits of the desk tasks submitted after the warm-up
        for their first start, and the cluster.
    """
    base = slow_processor.Costs()
    costs = slow_processor.Costs(
        **{key: scale * value for key, value in dataclasses.asdict(base).items()}
    )
    waits = []

    async def scenario(cluster):
        loop = asyncio.get_running_loop()
        cluster.costs_by_member["m0"] = costs
        with costly_passes(loop, costs):
            cluster.start("m0")
            await asyncio.sleep(2)
            assert await cluster.submit(
                schedules.job_id(1), [LASTING], seconds=0.0, queue=shard_cluster.QUEUE
            )
            await asyncio.sleep(2)
            batch = asyncio.create_task(
                offer(
                    cluster,
                    seen,
                    BEST_EFFORT,
                    BATCH_PER_S,
                    SECONDS,
                    first=FIRST_BATCH,
                    queue=shard_cluster.BATCH,
                    run_s=BATCH_RUN_S,
                )
            )
            begins_at = loop.time()
            desk_ids = await offer(
                cluster,
                seen,
                DESK,
                DESK_PER_S,
                SECONDS,
                first=FIRST_DESK,
                queue=shard_cluster.QUEUE,
                run_s=DESK_RUN_S,
            )
            await batch
            await asyncio.sleep(2)
            late_ids = [
                job_id
                for job_id in desk_ids
                if seen.submitted_at[job_id] >= begins_at + WARM_UP_S
            ]
            waits.extend(seen.waits_s(late_ids, DESK_TASKS))

    with seeing() as seen:
        cluster = schedules.run_scenario(scenario, executors=EXECUTORS)
    return seen, waits, cluster


def count_of_batch_tasks(batch_per_s=BATCH_PER_S, seconds=SECONDS):
    """Return how many best-effort tasks ``play`` offers."""
    return round(batch_per_s * seconds / BATCH_TASKS) * BATCH_TASKS


@dataclasses.dataclass(slots=True)
class Polls:
    """Numbers of polls.

    Args:
        total: All polls.
        without_wait: Those that asked for an answer at once.
    """

    total: int = 0
    without_wait: int = 0


def count_polls(scale):
    """Play a calm day and return how many polls the owner has sent."""
    polls = Polls()
    poll = step_executor_client.ExecutorClient.poll

    async def counted(self, listing, **values):
        polls.total += 1
        polls.without_wait += values["wait_ms"] == 0
        return await poll(self, listing, **values)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(step_executor_client.ExecutorClient, "poll", counted)
        play(scale)
    return polls
