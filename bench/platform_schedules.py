"""Random schedules of faults over several instances, on virtual time.

Every schedule plays four faults, one after the other or at once with what
the one before left, over three instances and four executors.
"""

import concurrent.futures
import functools
import os

import loguru

from bench import result
from limpetstream.shard.tests import schedules

SCHEDULES = 2000
PROCESSES = 4  # Leaves the machine usable; a schedule takes 0.3 s of one core.


def run(seed: int) -> result.Result:
    """Play all schedules; each takes its own seed, counted from ``seed``."""
    workers = min(PROCESSES, os.cpu_count() or 1)
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        seeds = range(seed, seed + SCHEDULES)
        outcomes = list(pool.map(play, seeds, chunksize=20))
    broken = {
        each: found
        for each, (found, _starts) in zip(seeds, outcomes, strict=True)
        if found
    }
    figures = {
        "schedules": SCHEDULES,
        "starts": sum(starts for _found, starts in outcomes),
        "broken": len(broken),
        "first broken": dict(list(broken.items())[:5]),
    }
    return result.Result(
        "platform_schedules", seed, figures, {"0 promises broken": not broken}
    )


@functools.cache
def _quiet() -> None:
    loguru.logger.remove()


def play(seed: int) -> tuple[list[str], int]:
    """Return what a schedule broke, and how many tasks it started."""
    _quiet()
    try:
        world = schedules.run_random_schedule(seed)
    except Exception as error:  # A lost job is an AssertionError with its id.
        return [f"{type(error).__name__}: {error}"], 0
    return world.breaches.found, world.breaches.starts
