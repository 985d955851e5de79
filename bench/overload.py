"""Measures goodput, refusals and retries of the desk under overload.

The desk, the part of the product that routes callers' requests to executors,
is offered loads from half to three times the capacity of all slots.
"""

import dataclasses

import loguru

from bench import _desk_world, result
from standins import virtual_time

MEAN_RUN_S = 0.2
LOAD_DURATION_S = 8.0
LOAD_FACTORS = (0.5, 0.8, 1.0, 1.5, 2.0, 3.0)


@dataclasses.dataclass(slots=True)
class Measured:
    """Figures at one offered load.

    Args:
        offered_per_s: Requests per second.
        goodput_per_s: Requests per second that were answered in time.
        answered_late: Requests that were answered after their deadline.
        refused: Requests that were refused.
        refused_p99_ms: p99 of the time to a refusal.
        refused_max_ms: Longest time to a refusal.
        unknown: Requests whose outcome their callers do not know.
        resend_share: Retries divided by requests.
        breaches: Requests that exceeded the slots or connections of an
            executor.
    """

    offered_per_s: float
    goodput_per_s: float
    answered_late: int
    refused: int
    refused_p99_ms: float
    refused_max_ms: float
    unknown: int
    resend_share: float
    breaches: int


async def _measure(seed: int, load: float) -> Measured:
    world = _desk_world.World(seed=seed, run_s=MEAN_RUN_S)
    # Each group of executors gets an instance that holds the right on it.
    _desk_world.builders.grant_all_groups(world)
    await world.start()
    per_s = (
        load
        * len(_desk_world.DATA_CENTRE_BY_EXECUTOR)
        * _desk_world.SLOTS_PER_EXECUTOR
        / MEAN_RUN_S
    )
    ended = await _desk_world.offer_load(
        world, _desk_world.serve_with_desk(world), per_s=per_s, seconds=LOAD_DURATION_S
    )
    answered = [each for each in ended if each.outcome == "answered"]
    in_time = [each for each in answered if each.latency_s <= _desk_world.DEADLINE_S]
    refused = [each.latency_s * 1000 for each in ended if each.outcome == "not-run"]
    retries = sum(node.holder.retry_budget.withdrawn for node in world.by_id.values())
    return Measured(
        round(len(ended) / LOAD_DURATION_S),
        round(len(in_time) / LOAD_DURATION_S, 1),
        len(answered) - len(in_time),
        len(refused),
        round(_desk_world.quantile(refused, 0.99), 1),
        round(max(refused, default=0.0), 1),
        sum(each.outcome == "unknown" for each in ended),
        round(retries / len(ended), 4),
        world.breaches(),
    )


def run(seed: int) -> result.Result:
    """Measure each load on virtual time."""
    loguru.logger.disable("limpetstream")
    by_load = {load: virtual_time.run(_measure(seed, load)) for load in LOAD_FACTORS}
    best_goodput = max(each.goodput_per_s for each in by_load.values())
    goodput_ratio = by_load[LOAD_FACTORS[-1]].goodput_per_s / best_goodput
    # A tenth of the deadline.
    max_refusal_ms = _desk_world.DEADLINE_S * 100
    slowest_refusal_ms = max(each.refused_max_ms for each in by_load.values())
    max_resend_share = max(each.resend_share for each in by_load.values())
    figures: dict[str, object] = {
        f"load {load}": dataclasses.asdict(each) for load, each in by_load.items()
    }
    figures["goodput at 3 times to the best point's"] = round(goodput_ratio, 3)
    return result.Result(
        "overload",
        seed,
        figures,
        {
            "goodput at 3 times is at least 0.9 of the best point's": goodput_ratio
            >= 0.9,
            "every refusal comes in under a tenth of the deadline": slowest_refusal_ms
            < max_refusal_ms,
            "resends add at most 10%": max_resend_share <= 0.1,
            "0 breaches": not any(each.breaches for each in by_load.values()),
        },
    )
