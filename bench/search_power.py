"""Measures which removed checks the search of schedules finds.

Plays with each removal of the catalogue until a schedule is red. The
environment variables ``SCHEDULES``, ``PROCESSES`` and ``REMOVALS`` (names,
separated by commas) limit the run.
"""

import concurrent.futures
import os

from bench import overlapping_schedules, result
from limpetstream.shard.tests import removals
from search import plays

SCHEDULES = 1000
PROCESSES = 3
# Kinds of the first fault, in turn by seed; empty for a drawn one.
FIRST_FAULTS = (
    "",
    "",
    "restart_after_claim",
    "isolated_after_split",
    "restart_half",
    "long_split",
)
BATCH = 30  # Schedules between two looks whether one was red.


def run(seed: int) -> result.Result:
    """Play with each removal.

    Args:
        seed: Seed of the first schedule; the others count up from it.
    """
    count = int(os.environ.get("SCHEDULES", SCHEDULES))
    process_count = int(os.environ.get("PROCESSES", PROCESSES))
    chosen = os.environ.get("REMOVALS", "")
    names = chosen.split(",") if chosen else list(removals.REMOVAL_BY_NAME)
    figures: dict[str, object] = {}
    with concurrent.futures.ProcessPoolExecutor(process_count) as pool:
        for name in names:
            figures[name] = _find(pool, name, seed, count)
            print(f"{name}: {figures[name]}", flush=True)
    found = sum(" red" in str(text) for text in figures.values())
    figures["found"] = f"{found} of {len(names)}"
    return result.Result(
        "search_power", seed, figures, {"every removal is found": found == len(names)}
    )


def _find(
    pool: concurrent.futures.Executor, name: str, first_seed: int, count: int
) -> str:
    """Return the first seed that only the removal makes red."""
    for begin in range(first_seed, first_seed + count, BATCH):
        seeds = range(begin, min(begin + BATCH, first_seed + count))
        outcomes = pool.map(play, [name] * len(seeds), seeds)
        for seed, outcome in zip(seeds, outcomes, strict=True):
            if outcome.breaches and not _play(seed).breaches:
                played = seed - first_seed + 1
                return f"seed {seed} red, {played} played: {outcome.breaches[0]}"
    return f"clean, {count} played"


def play(name: str, seed: int) -> plays.Outcome:
    """Play the schedule of a seed with a check removed."""
    with removals.removed(name):
        return _play(seed)


def _play(seed: int) -> plays.Outcome:
    first = FIRST_FAULTS[seed % len(FIRST_FAULTS)]
    return overlapping_schedules.play(seed, first)
