"""Measures the cost of placing and pacing best-effort tasks.

Every executor holds four serving and three best-effort runs, as in the users'
deployments, and twelve best-effort tasks per executor wait for capacity.
"""

import random
import time

import loguru

from bench import result
from limpetstream.shard import pacing, scheduling, state
from limpetstream.shard.tests import builders
from limpetstream.workflow import interference, state as workflow_state
from standins import virtual_time

EXECUTOR_COUNTS = (24, 33, 176, 246)
SERVING_IMAGES = [f"s{number}" for number in range(5)]
BEST_EFFORT_IMAGES = [f"f{number}" for number in range(9)]
INTERFERING_SHARE = 0.3  # Share of the image pairs of a recorded day.
INTERFERING_WEIGHT = 0.03
HARMLESS_WEIGHT = 0.001
SERVING_RUNS = 4
BEST_EFFORT_RUNS = 3
TASKS_PER_STEP = 8
WAITING_STEPS_PER_EXECUTOR = 1.5
WARM_UP_ROUNDS = 30
TIMED_ROUNDS = 20


def run(seed: int) -> result.Result:
    """Measure one scheduling pass and one pacing decision at each size."""
    loguru.logger.remove()
    figures: dict[str, object] = {}
    for size in EXECUTOR_COUNTS:
        rng = random.Random(seed)
        shard = _make_loaded_shard(rng, size)
        executors = list(shard.executor_by_id.values())
        for _ in range(WARM_UP_ROUNDS):
            for executor in executors:
                pacing.adjust(shard, executor)
        started = time.perf_counter()
        for _ in range(TIMED_ROUNDS):
            for executor in executors:
                pacing.adjust(shard, executor)
        pacing_us = (time.perf_counter() - started) / TIMED_ROUNDS / size * 1e6
        _add_waiting_tasks(rng, shard, int(size * WAITING_STEPS_PER_EXECUTOR))
        waiting_count = len(shard.waiting_tasks)
        started = time.perf_counter()
        scheduling.run_pass(shard)
        pass_ms = (time.perf_counter() - started) * 1000
        figures[f"one look at {size} executors (us)"] = round(pacing_us)
        figures[f"one pass at {size} executors (ms)"] = round(pass_ms, 1)
        figures[f"placed at {size} executors"] = waiting_count - len(
            shard.waiting_tasks
        )
    return result.Result("filling_cost", seed, figures, {})


def _make_loaded_shard(rng: random.Random, size: int) -> state.Shard:
    """Return a shard whose executors run serving and best-effort tasks."""
    shard = builders.make_shard(virtual_time.Loop(), executors=size)
    shard.interference_model.load(
        {
            serving: interference.Estimate(
                weight_by_image={
                    image: INTERFERING_WEIGHT
                    if rng.random() < INTERFERING_SHARE
                    else HARMLESS_WEIGHT
                    for image in BEST_EFFORT_IMAGES
                }
            )
            for serving in SERVING_IMAGES
        }
    )
    for executor in shard.executor_by_id.values():
        for _ in range(SERVING_RUNS):
            builders.start_run(executor, _serving_task(rng, shard), load=8.0)
        for _ in range(BEST_EFFORT_RUNS):
            task = _best_effort_tasks(rng, shard, 1)[0]
            builders.start_run(executor, task, load=7000.0)
    return shard


def _serving_task(rng: random.Random, shard: state.Shard) -> workflow_state.Task:
    step = builders.copy_step(builders.SERVING, image=rng.choice(SERVING_IMAGES))
    return builders.make_tasks(shard, step, queue="desk")[0]


def _best_effort_tasks(
    rng: random.Random, shard: state.Shard, count: int
) -> list[workflow_state.Task]:
    step = builders.copy_step(
        builders.BEST_EFFORT,
        count=count,
        image=rng.choice(BEST_EFFORT_IMAGES),
        cpu_millicores=rng.randrange(5000, 9000),
    )
    return builders.make_tasks(shard, step)


def _add_waiting_tasks(rng: random.Random, shard: state.Shard, steps: int) -> None:
    """Add best-effort tasks that have waited for up to ten seconds."""
    for _ in range(steps):
        tasks = _best_effort_tasks(rng, shard, TASKS_PER_STEP)
        for task in tasks:
            task.ready_at = -10.0 * rng.random()
        shard.waiting_tasks.extend(tasks)
