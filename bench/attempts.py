"""Plays 10,000 seeded schedules of faults against the real batch code."""

import collections
import os
import time
from concurrent import futures

from bench import _fault_schedules, result

SCHEDULES = 10_000
TIME_LIMIT_S = 300.0
SPARE_CORES = 2
SCHEDULES_PER_CHUNK = 10

BREACH_KINDS_BY_BOUND = {
    "0 tasks in two places": ("two places", "attempt started twice"),
    "0 tasks lost": ("lost",),
    "0 resumed twice or from an older checkpoint": (
        "attempt started twice",
        "work lost after eviction",
    ),
    "0 starts in a data centre more than 3 s after it was taken out": (
        "start in a closed data centre",
    ),
    "nothing above what a worker can hold": ("over capacity",),
    "all instances agree on the folded state": ("instances disagree",),
}


def run(seed: int) -> result.Result:
    """Play the schedules on all but two cores, for at most five minutes.

    Args:
        seed: Seed of the first schedule; the others count up from it.
    """
    started_at = time.monotonic()
    breach_counts: collections.Counter[str] = collections.Counter()
    first_seed_by_kind: dict[str, int] = {}
    played = starts = evictions = faults = 0
    process_count = max(1, (os.cpu_count() or 3) - SPARE_CORES)
    pool = futures.ProcessPoolExecutor(process_count)
    schedule_seeds = range(seed, seed + SCHEDULES)
    for outcome in pool.map(
        _fault_schedules.run_schedule, schedule_seeds, chunksize=SCHEDULES_PER_CHUNK
    ):
        played += 1
        starts += outcome.starts
        evictions += outcome.evictions
        faults += len(outcome.faults)
        for kind, details in outcome.breaches.items():
            breach_counts[kind] += len(details)
            first_seed_by_kind.setdefault(kind, outcome.seed)
        if time.monotonic() - started_at > TIME_LIMIT_S - 10.0:
            break
    pool.shutdown(cancel_futures=True)
    figures: dict[str, object] = {
        "schedules played": played,
        "faults injected": faults,
        "starts": starts,
        "evictions": evictions,
        "processes": process_count,
        "seconds": round(time.monotonic() - started_at, 1),
        "breaches": dict(breach_counts) or "none",
        "first seed of each": first_seed_by_kind or "none",
    }
    bounds = {
        bound: not any(breach_counts[kind] for kind in kinds)
        for bound, kinds in BREACH_KINDS_BY_BOUND.items()
    }
    bounds[f"{SCHEDULES} schedules played"] = played == SCHEDULES
    return result.Result("attempts", seed, figures, bounds)
