"""Plays random schedules of faults against several instances.

Each schedule plays four faults on virtual time, over three instances and four
executors. A fault may begin while the effects of the previous one last.
"""

import concurrent.futures
import functools
import os

import loguru

from bench import result
from limpetstream.shard.tests import schedules

SCHEDULES = 2000
PROCESSES = 4  # Leaves cores for other work; a schedule takes 0.3 s on one core.


def run(seed: int) -> result.Result:
    """Play all schedules.

    Args:
        seed: Seed of the first schedule; the others count up from it.
    """
    process_count = min(PROCESSES, os.cpu_count() or 1)
    with concurrent.futures.ProcessPoolExecutor(process_count) as pool:
        seeds = range(seed, seed + SCHEDULES)
        outcomes = list(pool.map(play, seeds, chunksize=20))
    breaches_by_seed = {
        each: breaches
        for each, (breaches, _starts) in zip(seeds, outcomes, strict=True)
        if breaches
    }
    figures = {
        "schedules": SCHEDULES,
        "starts": sum(starts for _breaches, starts in outcomes),
        "broken": len(breaches_by_seed),
        "first broken": dict(list(breaches_by_seed.items())[:5]),
    }
    return result.Result(
        "platform_schedules", seed, figures, {"0 promises broken": not breaches_by_seed}
    )


@functools.cache
def _disable_logging() -> None:
    loguru.logger.remove()


def play(seed: int) -> tuple[list[str], int]:
    """Return the violated guarantees of a schedule, and its task starts."""
    _disable_logging()
    try:
        world = schedules.run_random_schedule(seed)
    except Exception as error:  # A lost job raises AssertionError with its id.
        return [f"{type(error).__name__}: {error}"], 0
    return world.breaches.found, world.breaches.starts
