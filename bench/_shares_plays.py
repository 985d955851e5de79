"""Plays of organisations that share a service, for ``organisation_shares``."""

import contextlib
import dataclasses
import math
import random
import statistics
from collections.abc import Iterator
from unittest import mock

import loguru

from bench import _shares_model
from limpetstream.shard import turn_order
from limpetstream.workflow import messages

ORGANISATIONS = 72
CORES, MEMORY_MB = 64_000, 256_000  # Of one executor.

FULL_EXECUTORS = 96
FULL_PASS_S = 0.03
HELD_S = 2.0  # Before the others begin.
FULL_S = 5.0
MEASURED_S = 1.0  # After ``FULL_S``.
RETURNED_SHARE = 0.95
WIDE_COUNT = 20
# At least, of an organisation that always has work, by the width of its jobs.
WAITING_TASKS = {1: 6, WIDE_COUNT: 40}
LITTLE_JOBS_PER_S = 2.0
SMALLEST_WEIGHT = 0.001

HOT_EXECUTORS = 48
HOT_PASS_S = 0.02
HOT_STEP = messages.Step(1, cpu_millicores=4000, memory_mb=8000)
HOT_FACTOR = 7.5
HOT_BEGIN_S, HOT_END_S, END_S = 4.0, 10.5, 12.5
HOT_SHARE = 0.1  # Of the usual load.
USUAL_LOAD = 0.8  # Of the processors.


@dataclasses.dataclass(slots=True)
class Order:
    """How waiting tasks are ordered.

    Args:
        by_shares: Whether the configuration names the organisations.
        share_wait_s: Wait of a short task from which organisations share.
    """

    by_shares: bool = True
    share_wait_s: float = turn_order.SHARE_WAIT_S

    @contextlib.contextmanager
    def in_force(self) -> Iterator[None]:
        """Let the product use this order for a while."""
        loguru.logger.remove()
        with mock.patch.object(turn_order, "SHARE_WAIT_S", self.share_wait_s):
            yield


@dataclasses.dataclass(slots=True)
class FullOutcome:
    """What was seen of a full service.

    Args:
        deviations: Of the organisations that always have work waiting, how
            far the mean level of each is from that of all, relative to it.
        returned_s: Seconds until those that begin late had together 95% of
            their weighted share; infinity if they never had.
        starts_at_smallest_weight: Starts of an organisation of a very small
            weight that always has work waiting, and is not in ``deviations``.
        in_use: Shares of the processors and the memory that were in use.
    """

    deviations: list[float]
    returned_s: float
    starts_at_smallest_weight: int
    in_use: tuple[float, float]


class _FullService:
    """A full service, the organisations on it, and sums of what they use."""

    def __init__(self, order: Order, sizes: int, seed: int) -> None:
        self._draw = random.Random(seed)
        self.profiles = [_profile(self._draw, sizes, n) for n in range(ORGANISATIONS)]
        self.profiles[1].weight = SMALLEST_WEIGHT
        self.service = _shares_model.Service(
            self.profiles,
            executors=FULL_EXECUTORS,
            pass_s=FULL_PASS_S,
            draw=self._draw,
            by_shares=order.by_shares,
        )
        self._little = {profile.name for profile in self.profiles[::8]}
        self._early = {profile.name for profile in self.profiles[::3]} - self._little
        self.greedy = [
            profile
            for profile in self.profiles
            if profile.name not in self._little and profile.weight > SMALLEST_WEIGHT
        ]
        self.sum_by_name = {profile.name: 0.0 for profile in self.greedy}
        self.in_use: list[tuple[float, float]] = []

    def submit(self, *, is_held: bool) -> None:
        """Submit what the organisations have to run by now."""
        service = self.service
        for profile in self.profiles:
            name = profile.name
            if is_held and name not in self._early:
                continue
            if name in self._little:
                if self._draw.random() < FULL_PASS_S * LITTLE_JOBS_PER_S:
                    service.submit(name)
                continue
            wanted = WAITING_TASKS[profile.steps[0].count]
            while service.waiting_by_name[name] < wanted:
                service.submit(name)

    def have_late_returned(self) -> bool:
        """Return whether those that begin late have most of their share."""
        used = weight = late_used = late_weight = 0.0
        for profile in self.greedy:
            share = self._dominant_share(profile.name)
            is_late = profile.name not in self._early
            used += share
            weight += profile.weight
            late_used += share * is_late
            late_weight += profile.weight * is_late
        return late_used / used >= RETURNED_SHARE * late_weight / weight

    def measure(self) -> None:
        """Add what is in use now to the sums."""
        for name in self.sum_by_name:
            self.sum_by_name[name] += self._dominant_share(name)
        uses = self.service.use_by_name.values()
        self.in_use.append(
            (
                sum(use[0] for use in uses) / FULL_EXECUTORS / CORES,
                sum(use[1] for use in uses) / FULL_EXECUTORS / MEMORY_MB,
            )
        )

    def deviations(self) -> list[float]:
        """Return the relative deviations of the mean levels."""
        total = sum(self.sum_by_name.values())
        level = total / sum(profile.weight for profile in self.greedy)
        return [
            self.sum_by_name[profile.name] / profile.weight / level - 1
            for profile in self.greedy
        ]

    def _dominant_share(self, name: str) -> float:
        cpu, memory, _ = self.service.use_by_name[name]
        return max(cpu / CORES, memory / MEMORY_MB) / FULL_EXECUTORS


def play_full(order: Order, sizes: int, seed: int) -> FullOutcome:
    """Play a full service with one seed.

    Args:
        order: Order of the waiting tasks.
        sizes: Number of sizes of the tasks of one organisation, at most 2.
        seed: Decides the weights, sizes and times.
    """
    full = _FullService(order, sizes, seed)
    service, returned_s = full.service, math.inf
    with order.in_force(), service.starting():
        while service.now < HELD_S + FULL_S + MEASURED_S:
            is_held = service.now < HELD_S
            full.submit(is_held=is_held)
            service.advance()
            if is_held:
                continue
            if returned_s == math.inf and full.have_late_returned():
                returned_s = service.now - HELD_S
            if service.now >= HELD_S + FULL_S:
                full.measure()
    smallest = full.profiles[1].name
    return FullOutcome(
        full.deviations(),
        returned_s,
        sum(wait.organisation == smallest for wait in service.waits),
        (
            statistics.mean(cpu for cpu, _ in full.in_use),
            statistics.mean(memory for _, memory in full.in_use),
        ),
    )


def play_quiet(order: Order, seed: int) -> list[float]:
    """Play the usual load with one seed; return the waits of the others."""
    return _play_load(order, seed, is_hot=False)


def play_hot(order: Order, seed: int) -> list[float]:
    """Play the load of a hot organisation; return the waits of the others."""
    return _play_load(order, seed, is_hot=True)


def _play_load(order: Order, seed: int, *, is_hot: bool) -> list[float]:
    draw, extra = random.Random(seed), random.Random(seed + 1)
    profiles = [
        _shares_model.Profile(f"o{number}", draw.uniform(1, 4), [HOT_STEP])
        for number in range(ORGANISATIONS)
    ]
    others = sum(profile.weight for profile in profiles[1:])
    profiles[0].weight = others * HOT_SHARE / (1 - HOT_SHARE)
    total = others + profiles[0].weight
    service = _shares_model.Service(
        profiles,
        executors=HOT_EXECUTORS,
        pass_s=HOT_PASS_S,
        draw=random.Random(seed + 2),
        by_shares=order.by_shares,
    )
    slots = HOT_EXECUTORS * CORES // HOT_STEP.cpu_millicores
    tasks_per_pass = USUAL_LOAD * slots / _shares_model.MEAN_RUN_S * HOT_PASS_S
    with order.in_force(), service.starting():
        while service.now < END_S:
            for profile in profiles:
                rate = tasks_per_pass * profile.weight / total
                for _ in range(_poisson(draw, rate)):
                    service.submit(profile.name)
            if is_hot and HOT_BEGIN_S <= service.now < HOT_END_S:
                rate = tasks_per_pass * HOT_SHARE * (HOT_FACTOR - 1)
                for _ in range(_poisson(extra, rate)):
                    service.submit(profiles[0].name)
            service.advance()
    return [
        wait.seconds
        for wait in (*service.waits, *service.open_waits())
        if wait.organisation != profiles[0].name and wait.submitted_at >= HOT_BEGIN_S
    ]


def _profile(draw: random.Random, sizes: int, number: int) -> _shares_model.Profile:
    """Draw the weight, sizes, width and durations of an organisation."""
    count = WIDE_COUNT if draw.random() < 0.2 else 1
    cpu = draw.choice((1500, 2000, 3000))
    mb_per_core = draw.choice((2000, 3000, 6000))
    steps = [
        messages.Step(count, cpu_millicores=size, memory_mb=size * mb_per_core // 1000)
        for size in (cpu, 2 * cpu)[:sizes]
    ]
    shortest = draw.uniform(1.0, 2.0)
    run_s = (shortest, draw.uniform(shortest, 3.0))
    weight = draw.choice((1.0, 1.5, 2.0, 3.0))
    return _shares_model.Profile(f"o{number}", weight, steps, run_s)


def _poisson(draw: random.Random, mean: float) -> int:
    """Draw a number of arrivals."""
    count, position = 0, draw.expovariate(1.0)
    while position < mean:
        count += 1
        position += draw.expovariate(1.0)
    return count
