"""Measures batch work and desk latency while a data centre is taken out.

The data centre returns before the end; a run without the cycle is the
reference.
"""

import asyncio
import random
from typing import Any

import loguru

from bench import _batch_world, _desk_executors, result
from limpetstream.batch import planner
from limpetstream.settings import schema
from standins import virtual_time

DATA_CENTRES = ("a", "b", "c")
WORKERS_PER_DATA_CENTRE = 6
CORES = 16.0
USAGE_LAG_S = 10.0
OUT_AT_S = 90.0
BACK_AT_S = 180.0
END_AT_S = 270.0
SLOWDOWN_PER_CORE_BY_CLASS = {"class-0": 0.02, "class-1": 0.01, "class-2": 0.0}


def run(seed: int) -> result.Result:
    """Play the same work with and without the cycle and compare them."""
    loguru.logger.remove()
    cycle, uninterrupted = _play(seed, cycle=True), _play(seed, cycle=False)
    remaining = _remaining_share()
    work_ratio = cycle["work"] / uninterrupted["work"]
    p99_ratio = cycle["p99"] / uninterrupted["p99"]
    figures: dict[str, object] = {
        "work in the cycle (core s)": round(cycle["work"]),
        "work without it (core s)": round(uninterrupted["work"]),
        "work over work without": round(work_ratio, 3),
        "remaining capacity over the cycle": round(remaining, 3),
        "work over remaining capacity's share": round(work_ratio / remaining, 3),
        "desk p99 in the cycle (ms)": round(cycle["p99"], 1),
        "desk p99 without it (ms)": round(uninterrupted["p99"], 1),
        "desk p99 over that without": round(p99_ratio, 3),
        "evictions": cycle["evictions"],
        "breaches": cycle["breaches"] or "none",
    }
    bounds = {
        "work at least 0.9 of the remaining capacity's share": work_ratio
        >= 0.9 * remaining,
        "desk p99 at most 1.5 times the quiet run's": p99_ratio <= 1.5,
        "no breach": not cycle["breaches"] and not uninterrupted["breaches"],
    }
    return result.Result("data_centre_cycle", seed, figures, bounds)


def _remaining_share() -> float:
    """Return the average share of the capacity that remains in the cycle."""
    # A data centre that returns is filled evenly over RAMP_UP_S, so that half
    # of its capacity in that time is lost too.
    measured_s = END_AT_S - OUT_AT_S
    lost_s = (BACK_AT_S - OUT_AT_S) + planner.RAMP_UP_S / 2
    return 1.0 - lost_s / measured_s / len(DATA_CENTRES)


def _play(seed: int, *, cycle: bool) -> dict[str, Any]:
    loop = virtual_time.Loop()
    return virtual_time.run(_main(seed, cycle, loop), loop=loop)


async def _main(seed: int, cycle: bool, loop: virtual_time.Loop) -> dict[str, Any]:
    world = _batch_world.make(seed, loop, data_centres=DATA_CENTRES)
    world.tree.service_by_name["quote"] = schema.Service(
        executor_cores=4.0, executor_memory_gb=8.0
    )
    for number in range(WORKERS_PER_DATA_CENTRE * len(DATA_CENTRES)):
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        service = "quote" if number % 2 else ""
        world.add_worker(f"w{number}", data_centre, "r1", cores=CORES, service=service)
    desk_executors = _desk_executors.DeskExecutors(
        world, SLOWDOWN_PER_CORE_BY_CLASS, USAGE_LAG_S
    )
    world.read_usage_samples = desk_executors.read_samples
    for number in range(3):
        world.add_entry(f"e{number}")
    world.start()
    await asyncio.sleep(6.0)
    await _submit(world, random.Random(seed))
    asyncio.ensure_future(_sample_forever(desk_executors))
    await asyncio.sleep(OUT_AT_S - loop.time())
    work_before = _desk_executors.completed_core_s(world)
    evictions_before = world.monitor.evictions
    if cycle:
        await world.set_data_centre_state("a", "out")
    await asyncio.sleep(BACK_AT_S - loop.time())
    if cycle:
        await world.set_data_centre_state("a", "in")
    await asyncio.sleep(END_AT_S - loop.time())
    return {
        "work": _desk_executors.completed_core_s(world) - work_before,
        "p99": desk_executors.p99(OUT_AT_S, END_AT_S),
        "evictions": world.monitor.evictions - evictions_before,
        "breaches": {kind: len(all_) for kind, all_ in world.monitor.breaches.items()},
    }


async def _sample_forever(desk_executors: _desk_executors.DeskExecutors) -> None:
    while True:
        desk_executors.take_samples()
        await asyncio.sleep(_desk_executors.SAMPLE_INTERVAL_S)


async def _submit(world: _batch_world.World, rng: random.Random) -> None:
    """Submit more work than the system can finish before the end."""
    for number in range(24):
        await world.submit(
            f"batch{number}",
            tasks=50,
            cores=rng.choice([1.0, 2.0, 4.0]),
            run_s=rng.uniform(20.0, 120.0),
            priority=rng.choice(["normal", "low"]),
            work_class=f"class-{number % 3}",
        )
