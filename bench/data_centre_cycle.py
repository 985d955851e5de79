"""Work done while a data centre leaves and returns."""

import asyncio
import random
from typing import Any

import loguru

from bench import _batch_world, _desk_executors, result
from limpetstream.batch import planner
from limpetstream.settings import schema
from standins import virtual_time

CENTRES = ("a", "b", "c")
WORKERS_EACH = 6
CORES = 16.0
LAG_S = 10.0
OUT_S = 90.0
IN_S = 180.0
END_S = 270.0
FACTORS = {"class-0": 0.02, "class-1": 0.01, "class-2": 0.0}


def run(seed: int) -> result.Result:
    """Play the same work with and without the cycle."""
    loguru.logger.remove()
    cycle, quiet = _play(seed, cycle=True), _play(seed, cycle=False)
    remaining = _remaining_share()
    share = cycle["work"] / quiet["work"]
    latency = cycle["p99"] / quiet["p99"]
    figures: dict[str, object] = {
        "work in the cycle (core s)": round(cycle["work"]),
        "work without it (core s)": round(quiet["work"]),
        "work over work without": round(share, 3),
        "remaining capacity over the cycle": round(remaining, 3),
        "work over remaining capacity's share": round(share / remaining, 3),
        "desk p99 in the cycle (ms)": round(cycle["p99"], 1),
        "desk p99 without it (ms)": round(quiet["p99"], 1),
        "desk p99 over that without": round(latency, 3),
        "evictions": cycle["evictions"],
        "breaches": cycle["breaches"] or "none",
    }
    bounds = {
        "work at least 0.9 of the remaining capacity's share": share >= 0.9 * remaining,
        "desk p99 at most 1.5 times the quiet run's": latency <= 1.5,
        "no breach": not cycle["breaches"] and not quiet["breaches"],
    }
    return result.Result("data_centre_cycle", seed, figures, bounds)


def _remaining_share() -> float:
    """Return the share of capacity that is there, over the whole cycle."""
    full = END_S - OUT_S
    lost = (IN_S - OUT_S) + planner.RAMP_UP_S / 2
    return 1.0 - lost / full / len(CENTRES)


def _play(seed: int, *, cycle: bool) -> dict[str, Any]:
    loop = virtual_time.Loop()
    return virtual_time.run(_main(seed, cycle, loop), loop=loop)


async def _main(seed: int, cycle: bool, loop: virtual_time.Loop) -> dict[str, Any]:
    world = _batch_world.make(seed, loop, data_centres=CENTRES)
    world.tree.service_by_name["quote"] = schema.Service(
        executor_cores=4.0, executor_memory_gb=8.0
    )
    for number in range(WORKERS_EACH * len(CENTRES)):
        centre = CENTRES[number % len(CENTRES)]
        service = "quote" if number % 2 else ""
        world.add_worker(f"w{number}", centre, "r1", cores=CORES, service=service)
    desk = _desk_executors.DeskExecutors(world, FACTORS, LAG_S)
    world.read_usage_samples = desk.read_samples
    for number in range(3):
        world.add_entry(f"e{number}")
    world.start()
    await asyncio.sleep(6.0)
    await _submit(world, random.Random(seed))
    asyncio.ensure_future(_desk_loop(desk))
    await asyncio.sleep(OUT_S - loop.time())
    before = _desk_executors.completed_core_s(world)
    evictions = world.monitor.evictions
    if cycle:
        await world.set_data_centre_state("a", "out")
    await asyncio.sleep(IN_S - loop.time())
    if cycle:
        await world.set_data_centre_state("a", "in")
    await asyncio.sleep(END_S - loop.time())
    return {
        "work": _desk_executors.completed_core_s(world) - before,
        "p99": desk.p99(OUT_S, END_S),
        "evictions": world.monitor.evictions - evictions,
        "breaches": {kind: len(all_) for kind, all_ in world.monitor.breaches.items()},
    }


async def _desk_loop(desk: _desk_executors.DeskExecutors) -> None:
    while True:
        desk.take_samples()
        await asyncio.sleep(_desk_executors.SAMPLE_INTERVAL_S)


async def _submit(world: _batch_world.World, source: random.Random) -> None:
    """Submit more work than the system can do before the end."""
    for number in range(24):
        await world.submit(
            f"batch{number}",
            tasks=50,
            cores=source.choice([1.0, 2.0, 4.0]),
            run_s=source.uniform(20.0, 120.0),
            priority=source.choice(["normal", "low"]),
            work_class=f"class-{number % 3}",
        )
