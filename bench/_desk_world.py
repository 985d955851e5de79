"""Load, noise and baselines for the measurements of desk requests."""

import asyncio
import dataclasses
import math
import random
from collections.abc import Awaitable, Callable, Iterable

from limpetstream.desk import messages
from limpetstream.desk.tests import builders

DATA_CENTRES = ("gl-erie", "gl-huron", "gl-michigan", "gl-ontario")
DATA_CENTRE_BY_INSTANCE = {f"entry{n}": DATA_CENTRES[n % 4] for n in range(7)}
DATA_CENTRE_BY_EXECUTOR = {f"x{n:02}": DATA_CENTRES[n % 4] for n in range(24)}
SLOTS_PER_EXECUTOR = 8
DEADLINE_S = 2.0
RUN_TIME_SIGMA = 0.5
USAGE_LAG_S = 1.5


class World(builders.World):
    """World whose requests have drawn run times."""

    def __init__(
        self, *, seed: int, run_s: float, sigma: float = RUN_TIME_SIGMA
    ) -> None:
        super().__init__(
            DATA_CENTRE_BY_INSTANCE,
            DATA_CENTRE_BY_EXECUTOR,
            seed=seed,
            run_s=run_s,
            slots=SLOTS_PER_EXECUTOR,
        )
        self.sigma = sigma
        self.tree.service("desk").timeout_ms = int(DEADLINE_S * 1000)

    def run_s(self, request: messages.Request) -> float:
        """Return a run time that depends on the request only."""
        rng = random.Random(f"{self.seed}/{request.request_id}")
        shift = -(self.sigma**2) / 2
        return self.mean_run_s * math.exp(rng.gauss(shift, self.sigma))


@dataclasses.dataclass(slots=True)
class FinishedRequest:
    """One request of a caller.

    Args:
        arrived_at: Time of arrival.
        latency_s: Until the reply.
        outcome: Outcome of the reply.
        request_id: Its id.
    """

    arrived_at: float
    latency_s: float
    outcome: str
    request_id: str


Serve = Callable[[str, messages.Request], Awaitable[str]]


async def offer_load(
    world: World,
    serve: Serve,
    *,
    per_s: float,
    seconds: float,
    idempotent: Callable[[int], bool] = lambda number: True,
    available_instances: Callable[[], list[str]] = lambda: list(
        DATA_CENTRE_BY_INSTANCE
    ),
) -> list[FinishedRequest]:
    """Offer a Poisson load to random entry instances and await all replies.

    Args:
        world: World with the clock.
        serve: Serves one request at a node and returns the outcome.
        per_s: Requests a second.
        seconds: Length of the load.
        idempotent: Mark by number of the request.
        available_instances: Entry instances that the balancer may use now.
    """
    rng = random.Random(f"{world.seed}/arrivals")
    ended: list[FinishedRequest] = []

    async def one(number: int) -> None:
        at = world.loop_time()
        asked = builders.request(
            world,
            f"q{number}",
            idempotent=idempotent(number),
            deadline=at + DEADLINE_S,
        )
        outcome = await serve(rng.choice(available_instances()), asked)
        ended.append(
            FinishedRequest(at, world.loop_time() - at, outcome, asked.request_id)
        )

    tasks, number = [], 0
    stop = world.loop_time() + seconds
    while world.loop_time() < stop:
        await asyncio.sleep(rng.expovariate(per_s))
        tasks.append(world.spawn(one(number)))
        number += 1
    await asyncio.gather(*tasks)
    return ended


async def vary_slowdown(world: World, *, period_s: float, on_s: float) -> None:
    """Send waves of batch work over a third of the workers, for ever."""
    rng = random.Random(f"{world.seed}/noise")
    backends = sorted(world.backend_by_id.values(), key=lambda each: each.id)
    noisy = backends[::3]
    while True:
        for each in noisy:
            each.slowdown = rng.uniform(*SLOWDOWN)
        await asyncio.sleep(on_s)
        for each in noisy:
            each.slowdown = 1.0
        await asyncio.sleep(period_s - on_s)


SLOWDOWN = (1.5, 3.0)


def mean_capacity_per_s(world: World, *, period_s: float, on_s: float) -> float:
    """Return the requests a second that all slots can serve on average."""
    low, high = SLOWDOWN
    rate = math.log(high / low) / (high - low)  # mean of 1/slowdown
    slowed = 1.0 - on_s / period_s * (1.0 - rate)
    share = 2 / 3 + slowed / 3
    return len(DATA_CENTRE_BY_EXECUTOR) * SLOTS_PER_EXECUTOR / world.mean_run_s * share


async def report_usage(world: World) -> None:
    """Pass late usage samples to all nodes once a second, for ever."""
    late: list[list[dict[str, object]]] = []
    while True:
        at_ms = (1.8e9 + world.loop_time()) * 1000
        late.append(
            [
                {"executor": each.id, "slowdown": each.slowdown, "at_ms": at_ms}
                for each in world.backend_by_id.values()
            ]
        )
        await asyncio.sleep(USAGE_LAG_S)
        for node in world.by_id.values():
            if not node.dead:
                node.desk.apply_usage_samples(late[0])
        late.pop(0)


def serve_with_desk(world: World) -> Serve:
    """Serve with this project."""

    async def serve(node: str, request: messages.Request) -> str:
        return (await world.by_id[node].desk.handle(request)).outcome

    return serve


def serve_with_full_knowledge(world: World) -> Serve:
    """Serve by the true state of all executors at the moment of the choice.

    It pays the same hop, and sees neither requests on their way nor their run
    times. It shows how much of the tail better figures could remove.
    """

    def cost(each: builders.Backend) -> tuple[bool, float, int]:
        return each.running >= each.slots, each.slowdown, each.running

    def pick(node: str, own: dict[str, int]) -> str:
        return min(world.backend_by_id.values(), key=cost).id

    return serve_with_policy(world, pick)


ChooseExecutor = Callable[[str, dict[str, int]], str]


def serve_with_policy(world: World, pick: ChooseExecutor) -> Serve:
    """Serve by a policy in which each node knows its own requests only.

    Args:
        world: World.
        pick: Chooses an executor by node and own requests in flight.
    """
    own = {
        node: dict.fromkeys(DATA_CENTRE_BY_EXECUTOR, 0)
        for node in DATA_CENTRE_BY_INSTANCE
    }

    async def serve(node: str, request: messages.Request) -> str:
        chosen = pick(node, own[node])
        delay_s = world.delay_s(
            DATA_CENTRE_BY_INSTANCE[node], DATA_CENTRE_BY_EXECUTOR[chosen]
        )
        own[node][chosen] += 1
        await asyncio.sleep(delay_s)
        ok = await world.backend_by_id[chosen].run(request, world.run_s(request), 60.0)
        await asyncio.sleep(delay_s)
        own[node][chosen] -= 1
        return "answered" if ok else "unknown"

    return serve


def baseline_policies(seed: int) -> dict[str, ChooseExecutor]:
    """Return the baselines by name."""
    rng = random.Random(f"{seed}/policies")
    names = list(DATA_CENTRE_BY_EXECUTOR)
    turn = {node: rng.randrange(len(names)) for node in DATA_CENTRE_BY_INSTANCE}

    def round_robin(node: str, own: dict[str, int]) -> str:
        turn[node] += 1
        return names[turn[node] % len(names)]

    def least(node: str, own: dict[str, int]) -> str:
        fewest = min(own.values())
        return rng.choice([name for name in names if own[name] == fewest])

    return {
        "random": lambda node, own: rng.choice(names),
        "round robin": round_robin,
        "least outstanding": least,
    }


def quantile(values: Iterable[float], share: float) -> float:
    """Return a quantile; 0 for no values.

    >>> quantile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))] if ordered else 0.0


def latency_or_deadline_s(ended: FinishedRequest) -> float:
    """Return the time to the answer; without one, the whole deadline."""
    return ended.latency_s if ended.outcome == "answered" else DEADLINE_S
