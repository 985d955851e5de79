"""Compares policies of sharing executors between serving and best-effort work.

A site on virtual time with the unchanged decision code; processor time costs
nothing. The seed decides which pairs of images slow each other, the loads of
users and the jobs. ``SEEDS`` and ``PROCESSES`` in the environment set how many
seeds are played and by how many processes.
"""

import concurrent.futures
import contextlib
import functools
import math
import os
import statistics
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

import loguru

from bench import _sharing_site, result
from limpetstream.shard import pacing
from limpetstream.workflow import best_effort, interference
from standins import sharing_world

DEFAULT_SEEDS = 20
DEFAULT_PROCESSES = 2
# Half of the width of a confidence interval, in standard errors.
CONFIDENCE = 1.96
EARLIER = {"CALM_TAIL_LIMIT": 0.85}


def _ignore(*arguments: Any) -> None:
    """Set no pace."""


def _first(
    allowed: list[Any], task: object, context: object, **options: object
) -> Any | None:
    """Take the executor with the fewest best-effort cores."""
    return min(allowed, key=lambda each: each.best_effort_millicores, default=None)


def _none(*arguments: object) -> None:
    """Place no best-effort task."""


@contextlib.contextmanager
def _patched(*patches: Any) -> Iterator[None]:
    with contextlib.ExitStack() as stack:
        for patch in patches:
            stack.enter_context(patch)
        yield


def _earlier(world: sharing_world.World) -> Any:
    return _patched(mock.patch.multiple(interference, **EARLIER))


def _never(world: sharing_world.World) -> Any:
    return _patched(
        mock.patch.object(best_effort, "choose", _none),
        mock.patch.object(best_effort, "choose_over_target", _none),
    )


def _always(world: sharing_world.World) -> Any:
    return _patched(
        mock.patch.object(best_effort, "choose", _first),
        mock.patch.object(pacing, "adjust", _ignore),
        mock.patch.object(pacing, "adjust_for_new_run", _ignore),
    )


def _known_pairs(world: sharing_world.World) -> Any:
    """Let the model know the effect of each pair, not the loads."""
    weigh = functools.partialmethod(_true_weight, world)
    return _patched(
        mock.patch.object(interference.InterferenceModel, "weight", weigh),
        mock.patch.object(
            interference.InterferenceModel,
            "weights",
            lambda model, serving: {
                pressing: weight
                for (served, pressing), weight in world.weight_by_pair.items()
                if served == serving
            },
        ),
        mock.patch.object(
            interference.InterferenceModel, "may_probe", lambda *arguments: True
        ),
    )


def _true_weight(
    model: object, world: sharing_world.World, serving: str, best_effort: str
) -> float:
    return world.weight_by_pair.get((serving, best_effort), 0.0)


POLICIES: dict[str, Callable[[sharing_world.World], Any]] = {
    "this project": lambda world: contextlib.nullcontext(),
    "before": _earlier,
    "never filling": _never,
    "always filling": _always,
    "pairs known": _known_pairs,
}


def play(policy: str, seed: int) -> _sharing_site.Outcome:
    """Play one seed with one policy."""
    loguru.logger.remove()
    return _sharing_site.play(seed, POLICIES[policy])


def run(seed: int) -> result.Result:
    """Play all policies with the same seeds."""
    count = int(os.environ.get("SEEDS", DEFAULT_SEEDS))
    processes = int(os.environ.get("PROCESSES", DEFAULT_PROCESSES))
    seeds = range(seed, seed + count)
    figures: dict[str, object] = {"seeds": count}
    total_by_policy: dict[str, list[float]] = {}
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        for policy in POLICIES:
            outcomes = list(pool.map(functools.partial(play, policy), seeds))
            total_by_policy[policy] = [each.total for each in outcomes]
            figures[policy] = _describe(outcomes)
    ours = total_by_policy["this project"]
    bounds = {}
    for policy in ("before", "never filling", "always filling"):
        low, high = _interval(
            [a - b for a, b in zip(ours, total_by_policy[policy], strict=True)]
        )
        figures[f"this project less {policy}"] = f"{low:+.4f} to {high:+.4f}"
        bounds[f"better than {policy}"] = low > 0
    return result.Result("sharing", seed, figures, bounds)


def _describe(outcomes: list[_sharing_site.Outcome]) -> str:
    low, high = _interval([each.total for each in outcomes])
    serving = statistics.mean(each.serving for each in outcomes)
    filled = statistics.mean(each.best_effort for each in outcomes)
    return (
        f"{(low + high) / 2:.4f} ({low:.4f} to {high:.4f}), "
        f"serving {serving:.3f}, best-effort {filled:.3f}"
    )


def _interval(values: list[float]) -> tuple[float, float]:
    """Return the 95% confidence interval of the mean."""
    mean = statistics.mean(values)
    error = statistics.stdev(values) / math.sqrt(len(values))
    return mean - CONFIDENCE * error, mean + CONFIDENCE * error
