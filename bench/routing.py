"""Measures tail latency and breaches of routing policies under batch load.

Each policy serves the same arrivals with the same run times while waves of
batch work slow a third of the executors down. A request without an answer
counts with its whole deadline.
"""

import asyncio
import dataclasses

import loguru

from bench import _desk_world, result
from standins import virtual_time

MEAN_RUN_S = 0.1
LOAD_DURATION_S = 30.0
WAVE_PERIOD_S = 8.0
WAVE_S = 4.0
LOAD_FACTOR = 0.8


@dataclasses.dataclass(slots=True)
class Measured:
    """Figures of one policy.

    Args:
        p50_ms: Median latency.
        p99_ms: p99 of the latency.
        answered: Answered share of the requests.
        breaches: Breaches of slots and connections.
        requests: Number of requests.
    """

    p50_ms: float
    p99_ms: float
    answered: float
    breaches: int
    requests: int


async def _measure(seed: int, policy: str) -> Measured:
    world = _desk_world.World(seed=seed, run_s=MEAN_RUN_S)
    _desk_world.builders.grant_all_groups(world)
    if policy == "this project":
        serve = _desk_world.serve_with_desk(world)
        await world.start()
        world.spawn(_desk_world.report_usage(world))
    elif policy == "full knowledge":
        serve = _desk_world.serve_with_full_knowledge(world)
        await asyncio.sleep(3.0)
    else:
        serve = _desk_world.serve_with_policy(
            world, _desk_world.baseline_policies(seed)[policy]
        )
        await asyncio.sleep(3.0)
    world.spawn(_desk_world.vary_slowdown(world, period_s=WAVE_PERIOD_S, on_s=WAVE_S))
    per_s = LOAD_FACTOR * _desk_world.mean_capacity_per_s(
        world, period_s=WAVE_PERIOD_S, on_s=WAVE_S
    )
    ended = await _desk_world.offer_load(
        world, serve, per_s=per_s, seconds=LOAD_DURATION_S
    )
    latencies_s = [_desk_world.latency_or_deadline_s(each) for each in ended]
    answered = sum(each.outcome == "answered" for each in ended)
    return Measured(
        round(_desk_world.quantile(latencies_s, 0.5) * 1000, 1),
        round(_desk_world.quantile(latencies_s, 0.99) * 1000, 1),
        round(answered / len(ended), 4),
        world.breaches(),
        len(ended),
    )


def run(seed: int) -> result.Result:
    """Measure each policy on virtual time and compare them."""
    loguru.logger.disable("limpetstream")
    names = ["this project", "random", "round robin", "least outstanding"]
    names.append("full knowledge")
    by_name = {name: virtual_time.run(_measure(seed, name)) for name in names}
    product = by_name["this project"]
    ratio_to_random = product.p99_ms / by_name["random"].p99_ms
    ratio_to_least = product.p99_ms / by_name["least outstanding"].p99_ms
    figures: dict[str, object] = {
        name: dataclasses.asdict(measured) for name, measured in by_name.items()
    }
    figures["p99 to random's"] = round(ratio_to_random, 3)
    figures["p99 to least outstanding's"] = round(ratio_to_least, 3)
    least_p99_ms = by_name["least outstanding"].p99_ms
    ideal_p99_ms = by_name["full knowledge"].p99_ms
    figures["full knowledge's p99 to least outstanding's"] = round(
        ideal_p99_ms / least_p99_ms, 3
    )
    return result.Result(
        "routing",
        seed,
        figures,
        {
            "p99 is at most 0.5 of random's": ratio_to_random <= 0.5,
            "p99 is at most 0.8 of least outstanding's": ratio_to_least <= 0.8,
            "0 breaches of slots and connections": product.breaches == 0,
        },
    )
