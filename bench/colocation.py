"""Measures desk latency and batch work under three colocation policies.

Batch tasks that slow their neighbours down arrive in waves, and usage samples
are reported late.
"""

import asyncio
import random
from typing import Any

import loguru

from bench import _batch_world, _desk_executors, result
from limpetstream.batch import colocation as policies
from limpetstream.settings import schema
from standins import virtual_time

WORKERS = 18
DESK_WORKERS = 12
CORES = 16.0
USAGE_LAG_S = 10.0
WARM_UP_S = 20.0
END_AT_S = 420.0
MEAN_WAVE_INTERVAL_S = 60.0
SLOWDOWN_PER_CORE_BY_CLASS = {
    "noisy-0": 0.35,
    "noisy-1": 0.25,
    "quiet-0": 0.003,
    "quiet-1": 0.0,
}
EVICTION_SLOWDOWN = policies.THROTTLE_SLOWDOWN


def no_control(*_: object) -> list[policies.Action]:
    """Leave all batch tasks alone."""
    return []


def plain_threshold(
    slowdown_tracker: policies.SlowdownTracker,
    services: tuple[str, ...],
    colocated_tasks: list[policies.ColocatedTask],
    usage_model: object,
    now: float,
) -> list[policies.Action]:
    """Evict the largest batch task if the last sample exceeds a limit."""
    if (
        not services
        or not colocated_tasks
        or slowdown_tracker.slowdown <= EVICTION_SLOWDOWN
    ):
        return []
    largest = max(colocated_tasks, key=lambda each: (each.cores, each.task))
    return [policies.Action(largest.task, "evict")]


POLICIES: dict[str, Any] = {
    "this project": policies.decide,
    "no control": no_control,
    "plain threshold": plain_threshold,
}


def run(seed: int) -> result.Result:
    """Play the same arrivals under each policy and compare the results."""
    loguru.logger.remove()
    by_policy = {name: _play(seed, policy) for name, policy in POLICIES.items()}
    ours, uncontrolled, threshold_only = (by_policy[name] for name in POLICIES)
    figures: dict[str, object] = {}
    for name, each in by_policy.items():
        figures[f"{name}: desk p99 (ms)"] = round(each["p99"], 1)
        figures[f"{name}: batch work (core s)"] = round(each["work"])
        figures[f"{name}: evictions"] = each["evictions"]
        figures[f"{name}: breaches"] = each["breaches"] or "none"
    p99_ratio, work_ratio = (
        ours["p99"] / uncontrolled["p99"],
        ours["work"] / uncontrolled["work"],
    )
    figures["p99 over no control's"] = round(p99_ratio, 3)
    figures["batch work over no control's"] = round(work_ratio, 3)
    bounds = {
        "desk p99 at most 0.6 of no control's": p99_ratio <= 0.6,
        "batch throughput at least 0.9 of no control's": work_ratio >= 0.9,
        "at most half of the threshold's evictions": ours["evictions"]
        <= 0.5 * threshold_only["evictions"],
        "no breach": not any(each["breaches"] for each in by_policy.values()),
    }
    return result.Result("colocation", seed, figures, bounds)


def _play(seed: int, policy: Any) -> dict[str, Any]:
    loop = virtual_time.Loop()
    return virtual_time.run(_main(seed, policy, loop), loop=loop)


async def _main(seed: int, policy: Any, loop: virtual_time.Loop) -> dict[str, Any]:
    world = _batch_world.make(seed, loop, data_centres=("a",))
    world.tree.service_by_name["quote"] = schema.Service(
        executor_cores=4.0, executor_memory_gb=8.0
    )
    for number in range(WORKERS):
        service = "quote" if number < DESK_WORKERS else ""
        world.add_worker(
            f"w{number}", "a", f"r{number // 6}", cores=CORES, service=service
        )
    desk = _desk_executors.DeskExecutors(world, SLOWDOWN_PER_CORE_BY_CLASS, USAGE_LAG_S)
    world.read_usage_samples = desk.read_samples
    world.add_entry("e0").policy = policy
    world.start()
    await asyncio.sleep(2.0)
    arrivals = asyncio.ensure_future(_arrivals(world, random.Random(seed)))
    while loop.time() < END_AT_S:
        desk.take_samples()
        await asyncio.sleep(_desk_executors.SAMPLE_INTERVAL_S)
    arrivals.cancel()
    return {
        "p99": desk.p99(WARM_UP_S, END_AT_S),
        "work": _desk_executors.completed_core_s(world),
        "evictions": world.monitor.evictions,
        "breaches": {kind: len(all_) for kind, all_ in world.monitor.breaches.items()},
    }


async def _arrivals(world: _batch_world.World, rng: random.Random) -> None:
    """Submit quiet tasks that fill the system, and waves of noisy tasks."""
    for number in range(26):
        await world.submit(
            f"quiet-{number}",
            tasks=30,
            cores=rng.choice([1.0, 2.0]),
            run_s=rng.uniform(60.0, 150.0),
            priority="low",
            work_class=f"quiet-{number % 2}",
        )
    wave = 0
    while True:
        for number in range(3):
            await world.submit(
                f"noisy-{wave}-{number}",
                tasks=3,
                cores=2.0,
                run_s=rng.uniform(15.0, 40.0),
                work_class=f"noisy-{number % 2}",
                team="blue",
            )
        wave += 1
        await asyncio.sleep(rng.uniform(0.7, 1.3) * MEAN_WAVE_INTERVAL_S)
