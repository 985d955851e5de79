"""Plays random schedules of overlapping faults against several instances.

Each seed is played with plain jobs, with every kind of task, with these and
connections that break, with planned stops and jobs that are cancelled before
they are stored, with cancels of most jobs, with calls to former processes of
executors, and with limits of organisations. The number of schedules and of
processes can be set by the environment variables ``SCHEDULES`` and
``PROCESSES``.
"""

import concurrent.futures
import functools
import gc
import os

import loguru

from bench import result
from search import (
    cancel_draws,
    draws,
    kind_draws,
    limit_draws,
    plays,
    rare_draws,
    restart_draws,
    stop_draws,
    transport_draws,
)

SCHEDULES = 2000
PROCESSES = 3  # Leaves cores for other work; a schedule takes 0.3 s on one core.


def run(seed: int) -> result.Result:
    """Play all schedules.

    Args:
        seed: Seed of the first schedule; the others count up from it.
    """
    count = int(os.environ.get("SCHEDULES", SCHEDULES))
    process_count = int(os.environ.get("PROCESSES", PROCESSES))
    seeds = range(seed, seed + count)
    figures: dict[str, object] = {"schedules of each draw": count}
    broken = 0
    with concurrent.futures.ProcessPoolExecutor(process_count) as pool:
        for name, function in (
            ("plain", play),
            ("all kinds", play_kinds),
            ("broken connections", play_transport),
            ("planned stops", play_stops),
            ("cancels", play_cancels),
            ("restarts", play_restarts),
            ("limits", play_limits),
            ("long-running restarts", play_long_running_restarts),
        ):
            outcomes = list(pool.map(function, seeds, chunksize=10))
            breaches_by_seed = {
                each: outcome.breaches
                for each, outcome in zip(seeds, outcomes, strict=True)
                if outcome.breaches
            }
            broken += len(breaches_by_seed)
            first_broken = dict(list(breaches_by_seed.items())[:20])
            figures[f"{name}: starts"] = sum(each.starts for each in outcomes)
            figures[f"{name}: broken"] = len(breaches_by_seed)
            figures[f"{name}: first broken"] = first_broken
    return result.Result(
        "overlapping_schedules", seed, figures, {"0 promises broken": not broken}
    )


@functools.cache
def _prepare_process() -> None:
    loguru.logger.remove()
    gc.collect()
    gc.freeze()
    gc.disable()


def play_kinds(seed: int) -> plays.Outcome:
    """Play the schedule of a seed with every kind of task."""
    _prepare_process()
    gc.collect()
    return plays.play(kind_draws.draw(seed))


def play_rare(seed: int) -> plays.Outcome:
    """Play the schedule of a seed with rare faults and wide jobs beside."""
    _prepare_process()
    gc.collect()
    return plays.play(rare_draws.draw(seed))


def play_transport(seed: int) -> plays.Outcome:
    """Play the schedule of a seed in which connections break after calls."""
    _prepare_process()
    gc.collect()
    return plays.play(transport_draws.draw(seed))


def play_stops(seed: int) -> plays.Outcome:
    """Play the schedule of a seed with planned stops and late jobs."""
    _prepare_process()
    gc.collect()
    return plays.play(stop_draws.draw(seed))


def play_cancels(seed: int) -> plays.Outcome:
    """Play the schedule of a seed in which most jobs are cancelled."""
    _prepare_process()
    gc.collect()
    return plays.play(cancel_draws.draw(seed))


def play_restarts(seed: int) -> plays.Outcome:
    """Play the schedule of a seed with calls to former processes."""
    _prepare_process()
    gc.collect()
    return plays.play(restart_draws.draw(seed))


def play_limits(seed: int) -> plays.Outcome:
    """Play the schedule of a seed with limits of organisations."""
    _prepare_process()
    gc.collect()
    return plays.play(limit_draws.draw(seed))


def play_long_running_restarts(seed: int) -> plays.Outcome:
    """Play such a schedule with tasks that run until they are stopped."""
    _prepare_process()
    gc.collect()
    return plays.play(restart_draws.draw_long_running(seed))


def play(seed: int, first: str = "") -> plays.Outcome:
    """Play the schedule of a seed; ``first`` names its first fault."""
    _prepare_process()
    gc.collect()  # Collecting within a schedule takes a tenth of its time.
    return plays.play(draws.draw(seed, first))
