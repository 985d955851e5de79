"""Measures how organisations share a full service, on virtual time.

``SEEDS`` and ``PROCESSES`` in the environment set how many seeds are played
and by how many processes. Each draws weights, sizes and times. Some plays use
only the first of the seeds.

* Full service: a third of the organisations hold it when the others begin to
  submit work. Most of them always have work waiting, a fifth in wide jobs. The
  level of an organisation is its dominant share over its weight.
* Hot organisation: one sends 7.5 times its usual load for 6.5 s.
"""

import concurrent.futures
import functools
import math
import os
import statistics

from bench import _shares_cost, _shares_plays, result

DEFAULT_SEEDS = 100
DEFAULT_PROCESSES = 4
CONFIDENCE = 1.96  # Half of the width of an interval, in standard errors.
MAX_DEVIATION = 0.05
MAX_WAIT_RATIO = 1.2
SHARES = _shares_plays.Order()
PRESENT_ORDER = _shares_plays.Order(by_shares=False)
# Order, number of sizes of an organisation's tasks, and divisor of the seeds.
FULL_PLAYS = {
    "shares": (SHARES, 1, 1),
    "shares, two sizes": (SHARES, 2, 5),
    "present order": (PRESENT_ORDER, 1, 10),
}
HOT_PLAYS = {
    "shares": SHARES,
    "present order": PRESENT_ORDER,
    # A trial: the product waits longer before shares take effect.
    "shares after 0.3 s": _shares_plays.Order(share_wait_s=0.3),
}
HOT_DIVISOR = 10
# Waiting tasks, and tasks of each job.
COST_SIZES = ((1000, 1), (10_000, 1), (1000, 20), (10_000, 20))


def run(seed: int) -> result.Result:
    """Play all seeds with each order; bounds are those of the product's."""
    count = int(os.environ.get("SEEDS", DEFAULT_SEEDS))
    processes = int(os.environ.get("PROCESSES", DEFAULT_PROCESSES))
    figures: dict[str, object] = {}
    bounds: dict[str, bool] = {}
    for waiting, width in COST_SIZES:
        before_ms, ms = _shares_cost.measure(seed, waiting, width)
        figures[f"order of {waiting} tasks in jobs of {width}"] = (
            f"{ms:.2f} ms, {ms / before_ms:.2f} times that by due time"
        )
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        for name, (order, sizes, divisor) in FULL_PLAYS.items():
            seeds = range(seed, seed + max(2, count // divisor))
            play = functools.partial(_shares_plays.play_full, order, sizes)
            worst = _note_full(figures, name, list(pool.map(play, seeds)))
            if order is SHARES:
                bounds[f"{name}: every level within 5%"] = worst <= MAX_DEVIATION
        seeds = range(seed, seed + max(2, count // HOT_DIVISOR))
        for name, order in HOT_PLAYS.items():
            quiet, hot = (
                list(pool.map(functools.partial(play_hot, order), seeds))
                for play_hot in (_shares_plays.play_quiet, _shares_plays.play_hot)
            )
            ratio = _note_hot(figures, name, quiet, hot)
            if order is SHARES:
                bounds["p95 of waits within 1.2 times"] = ratio <= MAX_WAIT_RATIO
    return result.Result("organisation_shares", seed, figures, bounds)


def _note_full(
    figures: dict[str, object], name: str, outcomes: list[_shares_plays.FullOutcome]
) -> float:
    """Note the figures of a full service; return the largest deviation."""
    worst_by_seed = [max(map(abs, outcome.deviations)) for outcome in outcomes]
    deviations = [abs(each) for outcome in outcomes for each in outcome.deviations]
    within = statistics.mean(each <= MAX_DEVIATION for each in deviations)
    figures[f"{name}: seeds"] = len(outcomes)
    figures[f"{name}: mean deviation"] = f"{statistics.mean(deviations):.4f}"
    figures[f"{name}: largest deviation of a seed"] = _describe(worst_by_seed)
    figures[f"{name}: largest deviation"] = f"{max(worst_by_seed):.4f}"
    figures[f"{name}: levels within 5%"] = f"{within:.4f}"
    figures[f"{name}: seeds with all within 5%"] = sum(
        each <= MAX_DEVIATION for each in worst_by_seed
    )
    figures[f"{name}: the late ones have 95% after (s)"] = _describe_times(
        [outcome.returned_s for outcome in outcomes]
    )
    figures[f"{name}: starts at the smallest weight, fewest"] = min(
        outcome.starts_at_smallest_weight for outcome in outcomes
    )
    figures[f"{name}: processors, memory in use"] = ", ".join(
        f"{statistics.mean(values):.3f}"
        for values in zip(*(outcome.in_use for outcome in outcomes), strict=True)
    )
    return max(worst_by_seed)


def _note_hot(
    figures: dict[str, object],
    name: str,
    quiet: list[list[float]],
    hot: list[list[float]],
) -> float:
    """Note the waits of the others; return the upper end of the ratio."""
    quiet_s, hot_s = [list(map(_p95, side)) for side in (quiet, hot)]
    ratios = [after / before for before, after in zip(quiet_s, hot_s, strict=True)]
    figures[f"{name}: seeds with a hot organisation"] = len(hot)
    figures[f"{name}: p95 of waits, usual load (s)"] = _describe(quiet_s)
    figures[f"{name}: p95 of waits, one is hot (s)"] = _describe(hot_s)
    figures[f"{name}: ratio"] = _describe(ratios)
    return _interval(ratios)[1]


def _p95(values: list[float]) -> float:
    return statistics.quantiles(values, n=20)[-1]


def _describe_times(values: list[float]) -> str:
    """Return the mean and largest of the times that are known."""
    known = [value for value in values if value < math.inf]
    if not known:
        return "never"
    never = len(values) - len(known)
    return f"{statistics.mean(known):.2f}, at most {max(known):.2f}, never: {never}"


def _describe(values: list[float]) -> str:
    low, high = _interval(values)
    return f"{statistics.mean(values):.4f} ({low:.4f} to {high:.4f})"


def _interval(values: list[float]) -> tuple[float, float]:
    """Return the 95% confidence interval of the mean."""
    mean = statistics.mean(values)
    error = statistics.stdev(values) / math.sqrt(len(values))
    return mean - CONFIDENCE * error, mean + CONFIDENCE * error
