"""Noisy batch tasks in waves beside desk services, with late usage."""

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
LAG_S = 10.0
WARM_S = 20.0
END_S = 420.0
WAVE_S = 60.0
FACTORS = {"noisy-0": 0.35, "noisy-1": 0.25, "quiet-0": 0.003, "quiet-1": 0.0}
THRESHOLD = policies.THROTTLE_SLOWDOWN


def no_control(*_: object) -> list[policies.Action]:
    """Do nothing."""
    return []


def plain_threshold(
    watch: policies.SlowdownTracker,
    services: tuple[str, ...],
    neighbours: list[policies.ColocatedTask],
    learned: object,
    now: float,
) -> list[policies.Action]:
    """Evict the largest task whenever the last sample is over a threshold."""
    if not services or not neighbours or watch.slowdown <= THRESHOLD:
        return []
    largest = max(neighbours, key=lambda one: (one.cores, one.task))
    return [policies.Action(largest.task, "evict")]


POLICIES: dict[str, Any] = {
    "this project": policies.decide,
    "no control": no_control,
    "plain threshold": plain_threshold,
}


def run(seed: int) -> result.Result:
    """Play the same arrivals under three policies."""
    loguru.logger.remove()
    measured = {name: _play(seed, policy) for name, policy in POLICIES.items()}
    ours, none, plain = (measured[name] for name in POLICIES)
    figures: dict[str, object] = {}
    for name, one in measured.items():
        figures[f"{name}: desk p99 (ms)"] = round(one["p99"], 1)
        figures[f"{name}: batch work (core s)"] = round(one["work"])
        figures[f"{name}: evictions"] = one["evictions"]
        figures[f"{name}: breaches"] = one["breaches"] or "none"
    latency, work = ours["p99"] / none["p99"], ours["work"] / none["work"]
    figures["p99 over no control's"] = round(latency, 3)
    figures["batch work over no control's"] = round(work, 3)
    bounds = {
        "desk p99 at most 0.6 of no control's": latency <= 0.6,
        "batch throughput at least 0.9 of no control's": work >= 0.9,
        "at most half of the threshold's evictions": ours["evictions"]
        <= 0.5 * plain["evictions"],
        "no breach": not any(one["breaches"] for one in measured.values()),
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
    desk = _desk_executors.DeskExecutors(world, FACTORS, LAG_S)
    world.read_usage_samples = desk.read_samples
    world.add_entry("e0").policy = policy
    world.start()
    await asyncio.sleep(2.0)
    arrivals = asyncio.ensure_future(_arrivals(world, random.Random(seed)))
    while loop.time() < END_S:
        desk.take_samples()
        await asyncio.sleep(_desk_executors.SAMPLE_INTERVAL_S)
    arrivals.cancel()
    return {
        "p99": desk.p99(WARM_S, END_S),
        "work": _desk_executors.completed_core_s(world),
        "evictions": world.monitor.evictions,
        "breaches": {kind: len(all_) for kind, all_ in world.monitor.breaches.items()},
    }


async def _arrivals(world: _batch_world.World, source: random.Random) -> None:
    """Keep the system busy with quiet work and add waves of noisy work."""
    for number in range(26):
        await world.submit(
            f"quiet-{number}",
            tasks=30,
            cores=source.choice([1.0, 2.0]),
            run_s=source.uniform(60.0, 150.0),
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
                run_s=source.uniform(15.0, 40.0),
                work_class=f"noisy-{number % 2}",
                team="blue",
            )
        wave += 1
        await asyncio.sleep(source.uniform(0.7, 1.3) * WAVE_S)
