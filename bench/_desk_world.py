"""Load, slowdowns and routing baselines of the desk benches."""

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
    """Simulated deployment whose requests have log-normal run times.

    Args:
        seed: Seed of run times, arrivals and slowdown.
        run_s: Mean run time in seconds.
        sigma: Standard deviation of the logarithm of the run time.
    """

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
        """Return the run time of a request in seconds.

        It depends on the seed and the request id only, so that every policy
        serves the same run times.
        """
        rng = random.Random(f"{self.seed}/{request.request_id}")
        shift = -(self.sigma**2) / 2
        return self.mean_run_s * math.exp(rng.gauss(shift, self.sigma))


@dataclasses.dataclass(slots=True)
class FinishedRequest:
    """One request of a caller and its outcome.

    Args:
        arrived_at: Virtual time of its arrival.
        latency_s: Time from arrival to reply.
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
    """Send requests with Poisson arrivals and await all replies.

    Each request goes to a random entry instance.

    Args:
        world: Simulated deployment.
        serve: Serves one request at an entry instance and returns its
            outcome.
        per_s: Mean number of requests per second.
        seconds: Duration of the load.
        idempotent: Returns whether the request of a number is idempotent.
        available_instances: Returns the entry instances that the load
            balancer may use now.
    """
    rng = random.Random(f"{world.seed}/arrivals")
    finished: list[FinishedRequest] = []

    async def send_request(number: int) -> None:
        arrived_at = world.loop_time()
        request = builders.request(
            world,
            f"q{number}",
            idempotent=idempotent(number),
            deadline=arrived_at + DEADLINE_S,
        )
        outcome = await serve(rng.choice(available_instances()), request)
        finished.append(
            FinishedRequest(
                arrived_at, world.loop_time() - arrived_at, outcome, request.request_id
            )
        )

    sends, number = [], 0
    ends_at = world.loop_time() + seconds
    while world.loop_time() < ends_at:
        await asyncio.sleep(rng.expovariate(per_s))
        sends.append(world.spawn(send_request(number)))
        number += 1
    await asyncio.gather(*sends)
    return finished


async def vary_slowdown(world: World, *, period_s: float, on_s: float) -> None:
    """Slow a third of the executors down for ``on_s`` of every ``period_s``.

    This is what waves of batch work on their workers do. It runs until it is
    cancelled.
    """
    rng = random.Random(f"{world.seed}/noise")
    backends = sorted(world.backend_by_id.values(), key=lambda each: each.id)
    slowed = backends[::3]
    while True:
        for each in slowed:
            each.slowdown = rng.uniform(*SLOWDOWN)
        await asyncio.sleep(on_s)
        for each in slowed:
            each.slowdown = 1.0
        await asyncio.sleep(period_s - on_s)


SLOWDOWN = (1.5, 3.0)


def mean_capacity_per_s(world: World, *, period_s: float, on_s: float) -> float:
    """Return the requests per second that all slots can serve on average."""
    min_slowdown, max_slowdown = SLOWDOWN
    # Mean of 1/slowdown while an executor is slowed down.
    slowed_rate = math.log(max_slowdown / min_slowdown) / (max_slowdown - min_slowdown)
    affected_rate = 1.0 - on_s / period_s * (1.0 - slowed_rate)
    share = 2 / 3 + affected_rate / 3
    return len(DATA_CENTRE_BY_EXECUTOR) * SLOTS_PER_EXECUTOR / world.mean_run_s * share


async def report_usage(world: World) -> None:
    """Pass usage samples to all entry instances, ``USAGE_LAG_S`` late.

    It runs until cancelled.
    """
    pending_samples: list[list[dict[str, object]]] = []
    while True:
        at_ms = (1.8e9 + world.loop_time()) * 1000
        pending_samples.append(
            [
                {"executor": each.id, "slowdown": each.slowdown, "at_ms": at_ms}
                for each in world.backend_by_id.values()
            ]
        )
        await asyncio.sleep(USAGE_LAG_S)
        for instance in world.by_id.values():
            if not instance.dead:
                instance.desk.apply_usage_samples(pending_samples[0])
        pending_samples.pop(0)


def serve_with_desk(world: World) -> Serve:
    """Return a function that serves requests with the product's desk."""

    async def serve(instance: str, request: messages.Request) -> str:
        return (await world.by_id[instance].desk.handle(request)).outcome

    return serve


def serve_with_full_knowledge(world: World) -> Serve:
    """Serve by the true state of all executors when a request is routed.

    The policy pays the same network delay, and knows neither the requests in
    flight nor their run times. It shows how much of the tail latency more
    accurate load figures could remove.
    """

    def cost(each: builders.Backend) -> tuple[bool, float, int]:
        return each.running >= each.slots, each.slowdown, each.running

    def choose_executor(instance: str, in_flight: dict[str, int]) -> str:
        return min(world.backend_by_id.values(), key=cost).id

    return serve_with_policy(world, choose_executor)


ChooseExecutor = Callable[[str, dict[str, int]], str]


def serve_with_policy(world: World, choose_executor: ChooseExecutor) -> Serve:
    """Serve by a policy whose instances know their own requests only.

    Args:
        world: Simulated deployment.
        choose_executor: Chooses an executor by entry instance and by the
            number of its own requests in flight at each executor.
    """
    in_flight = {
        instance: dict.fromkeys(DATA_CENTRE_BY_EXECUTOR, 0)
        for instance in DATA_CENTRE_BY_INSTANCE
    }

    async def serve(instance: str, request: messages.Request) -> str:
        chosen = choose_executor(instance, in_flight[instance])
        delay_s = world.delay_s(
            DATA_CENTRE_BY_INSTANCE[instance], DATA_CENTRE_BY_EXECUTOR[chosen]
        )
        in_flight[instance][chosen] += 1
        await asyncio.sleep(delay_s)
        answered = await world.backend_by_id[chosen].run(
            request, world.run_s(request), 60.0
        )
        await asyncio.sleep(delay_s)
        in_flight[instance][chosen] -= 1
        return "answered" if answered else "unknown"

    return serve


def baseline_policies(seed: int) -> dict[str, ChooseExecutor]:
    """Return the baseline routing policies by name."""
    rng = random.Random(f"{seed}/policies")
    executor_ids = list(DATA_CENTRE_BY_EXECUTOR)
    next_index = {
        instance: rng.randrange(len(executor_ids))
        for instance in DATA_CENTRE_BY_INSTANCE
    }

    def round_robin(instance: str, in_flight: dict[str, int]) -> str:
        next_index[instance] += 1
        return executor_ids[next_index[instance] % len(executor_ids)]

    def least_outstanding(instance: str, in_flight: dict[str, int]) -> str:
        fewest_in_flight = min(in_flight.values())
        return rng.choice(
            [each for each in executor_ids if in_flight[each] == fewest_in_flight]
        )

    return {
        "random": lambda instance, in_flight: rng.choice(executor_ids),
        "round robin": round_robin,
        "least outstanding": least_outstanding,
    }


def quantile(values: Iterable[float], share: float) -> float:
    """Return the quantile of a share from 0 to 1; 0 for no values.

    >>> quantile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))] if ordered else 0.0


def latency_or_deadline_s(finished: FinishedRequest) -> float:
    """Return the latency of an answered request, else the whole deadline."""
    return finished.latency_s if finished.outcome == "answered" else DEADLINE_S
