"""Learned sizes and interference from late usage samples.

Samples are weighted by the time they were taken, not by when they arrived: a
delayed sample is old news and moves an estimate less than a fresh one.
"""

import dataclasses
import math

HALF_LIFE_S = 120.0
PRIOR_WEIGHT = 2.0
"""Weight of the assumption that a class does not interfere, in samples."""

SIZE_MARGIN = 1.1
MIN_SIZE_SAMPLES = 5
MAX_FACTOR = 10.0
MAX_PAIRS = 20_000


@dataclasses.dataclass(slots=True)
class DecayingMean:
    """Mean that forgets, weighted by sample time.

    Args:
        mean: Weighted mean.
        weight: Sum of weights as of ``at_s``.
        at_s: Time of the newest sample.
        samples: Number of samples ever taken.
    """

    mean: float
    weight: float
    at_s: float = -math.inf
    samples: int = 0

    def add(self, value: float, at_s: float, weight: float = 1.0) -> None:
        """Add one sample; one from the past counts for less."""
        if at_s >= self.at_s:
            if self.at_s > -math.inf:
                self.weight *= 0.5 ** ((at_s - self.at_s) / HALF_LIFE_S)
            self.at_s = at_s
        else:
            weight *= 0.5 ** ((self.at_s - at_s) / HALF_LIFE_S)
        if weight < 1e-6:
            return
        self.weight += weight
        self.mean += (value - self.mean) * weight / self.weight
        self.samples += 1


@dataclasses.dataclass(slots=True)
class UsageModel:
    """What this instance has learned; it is not persisted.

    Args:
        cores_by_class: Processors used per task of a class.
        memory_by_class: Memory used per task of a class, in GB.
        factor_by_pair: Slowdown of a service by one task of a class.
        version: Grows whenever a figure changes.
    """

    cores_by_class: dict[str, DecayingMean] = dataclasses.field(default_factory=dict)
    memory_by_class: dict[str, DecayingMean] = dataclasses.field(default_factory=dict)
    factor_by_pair: dict[tuple[str, str], DecayingMean] = dataclasses.field(
        default_factory=dict
    )
    version: int = 0

    def add_usage(
        self, work_class: str, cores: float, memory_gb: float, at_s: float
    ) -> None:
        """Learn the size of a class from one running task."""
        if not _sound(cores) or not _sound(memory_gb):
            return
        for by_class, value in (
            (self.cores_by_class, cores),
            (self.memory_by_class, memory_gb),
        ):
            estimate = by_class.setdefault(work_class, DecayingMean(value, 0.0))
            estimate.add(value, at_s)
        self.version += 1

    def add_slowdown(
        self, service: str, classes: dict[str, float], slowdown: float, at_s: float
    ) -> None:
        """Learn pair factors from one executor's slowdown.

        The excess over 1 is divided over the classes that shared the worker
        at that time, in proportion to their cores and to what is known.

        Args:
            service: Desk service of the executor.
            classes: Cores that tasks of each class used there.
            slowdown: Latency relative to an undisturbed executor.
            at_s: When the sample was taken.
        """
        if not _sound(slowdown) or not classes:
            return
        excess = min(max(0.0, slowdown - 1.0), MAX_FACTOR)
        shares = {
            name: max(cores, 0.0) * (self.per_core(service, name) + 0.01)
            for name, cores in classes.items()
        }
        total = sum(shares.values())
        if total <= 0:
            return
        for name, share in shares.items():
            if classes[name] > 0:
                pair = self._pair(service, name)
                pair.add(excess * share / total / classes[name], at_s, share / total)
        self.version += 1

    def _pair(self, service: str, work_class: str) -> DecayingMean:
        key = (service, work_class)
        estimate = self.factor_by_pair.get(key)
        if estimate is None:
            if len(self.factor_by_pair) >= MAX_PAIRS:
                oldest = min(
                    self.factor_by_pair, key=lambda k: self.factor_by_pair[k].at_s
                )
                del self.factor_by_pair[oldest]
            estimate = DecayingMean(0.0, PRIOR_WEIGHT)
            self.factor_by_pair[key] = estimate
        return estimate

    def per_core(self, service: str, work_class: str) -> float:
        """Return the excess slowdown that one core of a class causes."""
        estimate = self.factor_by_pair.get((service, work_class))
        return estimate.mean if estimate else 0.0

    def slowdown(
        self, services: tuple[str, ...], work_class: str, cores: float
    ) -> float:
        """Return the expected slowdown, at least 1, of the worst service."""
        worst = 0.0
        for service in services:
            worst = max(worst, self.per_core(service, work_class) * cores)
        return 1.0 + min(worst, MAX_FACTOR)

    def size(self, work_class: str) -> tuple[float, float]:
        """Return learned cores and memory with a margin, or zeros."""
        cores = self.cores_by_class.get(work_class)
        memory = self.memory_by_class.get(work_class)
        if cores is None or memory is None or cores.samples < MIN_SIZE_SAMPLES:
            return (0.0, 0.0)
        return (cores.mean * SIZE_MARGIN, memory.mean * SIZE_MARGIN)


def _sound(value: float) -> bool:
    return math.isfinite(value) and value >= 0
