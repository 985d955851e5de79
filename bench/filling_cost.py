"""Cost of placing and pacing filling work, by the number of executors.

Every executor holds four serving and three filling runs, as on the users'
deployments; twelve filling tasks for each of them wait for room.
"""

import random
import time

import loguru

from bench import result
from limpetstream.shard import pacing, scheduling, state
from limpetstream.shard.tests import builders
from limpetstream.workflow import interference, state as workflow_state
from standins import virtual_time

SIZES = (24, 33, 176, 246)
SERVING_IMAGES = [f"s{number}" for number in range(5)]
FILLING_IMAGES = [f"f{number}" for number in range(9)]
DISTURBING_SHARE = 0.3  # Of the pairs of images of a recorded day.
DISTURBING_WEIGHT = 0.03
CALM_WEIGHT = 0.001
SERVING_RUNS = 4
FILLING_RUNS = 3
STEP_TASKS = 8
WAITING_STEPS_SHARE = 1.5  # For each executor.
WARM_UP_LOOKS = 30
TIMED_LOOKS = 20


def run(seed: int) -> result.Result:
    """Measure one pass that places what fits, and one look, at each size."""
    loguru.logger.remove()
    figures: dict[str, object] = {}
    for size in SIZES:
        source = random.Random(seed)
        shard = _fill(source, size)
        executors = list(shard.executor_by_id.values())
        for _ in range(WARM_UP_LOOKS):
            for executor in executors:
                pacing.adjust(shard, executor)
        begun = time.perf_counter()
        for _ in range(TIMED_LOOKS):
            for executor in executors:
                pacing.adjust(shard, executor)
        look_us = (time.perf_counter() - begun) / TIMED_LOOKS / size * 1e6
        _wait(source, shard, int(size * WAITING_STEPS_SHARE))
        waiting = len(shard.waiting_tasks)
        begun = time.perf_counter()
        scheduling.run_pass(shard)
        place_ms = (time.perf_counter() - begun) * 1000
        figures[f"one look at {size} executors (us)"] = round(look_us)
        figures[f"one pass at {size} executors (ms)"] = round(place_ms, 1)
        figures[f"placed at {size} executors"] = waiting - len(shard.waiting_tasks)
    return result.Result("filling_cost", seed, figures, {})


def _fill(source: random.Random, size: int) -> state.Shard:
    """Return a shard whose executors hold both kinds of work."""
    shard = builders.make_shard(virtual_time.Loop(), executors=size)
    shard.interference_model.load(
        {
            serving: interference.Estimate(
                weight_by_image={
                    image: DISTURBING_WEIGHT
                    if source.random() < DISTURBING_SHARE
                    else CALM_WEIGHT
                    for image in FILLING_IMAGES
                }
            )
            for serving in SERVING_IMAGES
        }
    )
    for executor in shard.executor_by_id.values():
        for _ in range(SERVING_RUNS):
            builders.start_run(executor, _serving_task(source, shard), load=8.0)
        for _ in range(FILLING_RUNS):
            task = _filling_tasks(source, shard, 1)[0]
            builders.start_run(executor, task, load=7000.0)
    return shard


def _serving_task(source: random.Random, shard: state.Shard) -> workflow_state.Task:
    step = builders.copy_step(builders.SERVING, image=source.choice(SERVING_IMAGES))
    return builders.make_tasks(shard, step, queue="desk")[0]


def _filling_tasks(
    source: random.Random, shard: state.Shard, count: int
) -> list[workflow_state.Task]:
    step = builders.copy_step(
        builders.BEST_EFFORT,
        count=count,
        image=source.choice(FILLING_IMAGES),
        cpu_millicores=source.randrange(5000, 9000),
    )
    return builders.make_tasks(shard, step)


def _wait(source: random.Random, shard: state.Shard, steps: int) -> None:
    """Let steps of filling work wait for room since up to ten seconds."""
    for _ in range(steps):
        tasks = _filling_tasks(source, shard, STEP_TASKS)
        for task in tasks:
            task.ready_at = -10.0 * source.random()
        shard.waiting_tasks.extend(tasks)
