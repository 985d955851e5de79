"""A site of serving and best-effort jobs on virtual time, for ``sharing``."""

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import Callable

from limpetstream.executors import messages as executor_messages
from limpetstream.workflow import messages
from standins import shard_cluster, sharing_world, virtual_time

EXECUTORS = 17
CAPACITY = executor_messages.Capacity(64_000, 250_000, 0)
SERVING_JOBS, SERVING_TASKS = 12, 6
SERVING = messages.Step(
    SERVING_TASKS,
    cpu_millicores=13_000,
    memory_mb=26_000,
    tail_target_ms=50,
    long_running=True,
)
BEST_EFFORT_STEPS, BEST_EFFORT_TASKS, MEAN_RUN_S = 2, 8, 2.2
JOBS_PER_S = (0.75, 2.0)  # Drawn for each seed.
SERVING_WORTH, SERVING_WORTH_S = 0.368, 2.0
BEST_EFFORT_WORTH, LATE_WORTH = 1.73, 0.259
FIRST_JOB_S, LAST_JOB_S, END_S = 6.0, 32.0, 42.0
SAMPLE_S = 0.2
Policy = Callable[[sharing_world.World], contextlib.AbstractContextManager[None]]
OBJECTIVE_S = 2.0 * BEST_EFFORT_STEPS * MEAN_RUN_S + 1.0


@dataclasses.dataclass(slots=True)
class Outcome:
    """What was earned in one play, as shares of what could be.

    Args:
        serving: By serving tasks.
        best_effort: By best-effort jobs.
        total: By both, by their worth.
        on_time: Share of the best-effort jobs that met their objective.
    """

    serving: float
    best_effort: float
    total: float
    on_time: float


def play(seed: int, policy: Policy) -> Outcome:
    """Play one seed.

    Args:
        seed: Decides the pairs of images, the loads and the jobs.
        policy: Returns a context with a policy in force, for the world.
    """
    loop = virtual_time.Loop()
    asyncio.set_event_loop(loop)
    random.seed(seed)
    outcomes: list[Outcome] = []

    world = sharing_world.World(seed)

    async def main() -> None:
        outcomes.append(await _play(loop, seed, world))

    with policy(world):
        virtual_time.run(main(), loop=loop)
    return outcomes[0]


async def _play(
    loop: virtual_time.Loop, seed: int, world: sharing_world.World
) -> Outcome:
    cluster = shard_cluster.ShardCluster(loop, seed=seed, executors=0)
    for number in range(EXECUTORS):
        cluster.add_executor(f"x{number}", capacity=CAPACITY).world = world
    cluster.start("m0")
    await asyncio.sleep(2)
    draw = random.Random(seed)
    for number in range(SERVING_JOBS):
        image = f"s{number % sharing_world.SERVING_IMAGES}"
        step = dataclasses.replace(SERVING, image=image)
        await cluster.submit(_job_id(number), [step], seconds=0.0)
    sampling = asyncio.create_task(_sample(cluster, world))
    await asyncio.sleep(FIRST_JOB_S - loop.time())
    watches = []
    rate = draw.uniform(*JOBS_PER_S)
    number = SERVING_JOBS
    while loop.time() < LAST_JOB_S:
        watches.append(
            asyncio.create_task(_submit_best_effort(cluster, draw, _job_id(number)))
        )
        number += 1
        await asyncio.sleep(draw.expovariate(rate))
    await asyncio.sleep(END_S - loop.time())
    sampling.cancel()
    took_s = [watch.result() if watch.done() else None for watch in watches]
    for watch in watches:
        watch.cancel()
    await cluster.kill("m0")
    return _outcome(world, took_s)


def _outcome(world: sharing_world.World, took_s: list[float | None]) -> Outcome:
    on_time = sum(took is not None and took <= OBJECTIVE_S for took in took_s)
    late = sum(
        took is not None and OBJECTIVE_S < took <= 3 * OBJECTIVE_S for took in took_s
    )
    owed_best_effort = BEST_EFFORT_WORTH * len(took_s)
    earned_best_effort = BEST_EFFORT_WORTH * on_time + LATE_WORTH * late
    periods = (END_S - FIRST_JOB_S) / SERVING_WORTH_S
    owed_serving = SERVING_WORTH * SERVING_JOBS * periods
    serving = world.earned.share()
    total = (earned_best_effort + serving * owed_serving) / (
        owed_best_effort + owed_serving
    )
    return Outcome(
        serving, earned_best_effort / owed_best_effort, total, on_time / len(took_s)
    )


async def _submit_best_effort(
    cluster: shard_cluster.ShardCluster, draw: random.Random, job_id: str
) -> float:
    """Submit one best-effort job; return the seconds until it is completed."""
    loop = asyncio.get_running_loop()
    image = f"f{draw.randrange(sharing_world.BEST_EFFORT_IMAGES)}"
    steps = [
        messages.Step(
            BEST_EFFORT_TASKS,
            cpu_millicores=round(7000 * draw.uniform(0.5, 1.5)),
            memory_mb=13_000,
            image=image,
            fills=True,
            after=(number - 1,) if number else (),
        )
        for number in range(BEST_EFFORT_STEPS)
    ]
    run_s = MEAN_RUN_S * draw.uniform(0.5, 1.5)
    began_at = loop.time()
    await cluster.submit(job_id, steps, seconds=run_s, queue=shard_cluster.BATCH)
    while await cluster.state(job_id) != "completed":
        await asyncio.sleep(0.25)
    return loop.time() - began_at


async def _sample(
    cluster: shard_cluster.ShardCluster, world: sharing_world.World
) -> None:
    """Count what serving tasks earn, from the first best-effort job on."""
    await asyncio.sleep(FIRST_JOB_S - asyncio.get_running_loop().time())
    while True:
        now = asyncio.get_running_loop().time()
        at_work = 0
        for executor in cluster.executor_by_id.values():
            executor.advance()
            cores = executor.filled_cores()
            for run in executor.run_by_task.values():
                if run.step is not None and run.step.tail_target_ms:
                    world.sample(run.spec, run.step, cores, now)
                    at_work += 1
        for _ in range(SERVING_JOBS * SERVING_TASKS - at_work):
            world.sample_away()
        await asyncio.sleep(SAMPLE_S)


def _job_id(number: int) -> str:
    return f"{number:016x}"
