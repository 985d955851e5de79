"""Sizes and slowdowns per work class, estimated from late usage samples.

Samples are weighted by the time they were taken, not by when they arrived: a
delayed sample moves an estimate less than a recent one.
"""

import dataclasses
import math

HALF_LIFE_S = 120.0
PRIOR_WEIGHT = 2.0
"""Weight, in samples, of the prior that a class causes no slowdown."""

# Factor by which learned sizes exceed the measured means.
SIZE_MARGIN = 1.1
MIN_SIZE_SAMPLES = 5
MAX_EXCESS_SLOWDOWN = 10.0
# Pairs of service and work class; the one without samples for longest is
# dropped first.
MAX_PAIRS = 20_000


@dataclasses.dataclass(slots=True)
class DecayingMean:
    """Mean in which the weight of a sample halves every ``HALF_LIFE_S``.

    Args:
        mean: Weighted mean.
        weight: Sum of weights as of ``at_s``.
        at_s: Sample time of the newest sample.
        samples: Number of samples that were added.
    """

    mean: float
    weight: float
    at_s: float = -math.inf
    samples: int = 0

    def add(self, value: float, at_s: float, weight: float = 1.0) -> None:
        """Add one sample; a sample older than the newest weighs less."""
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
    """What this instance has learned from usage samples; not persisted.

    Args:
        cores_by_class: Processors used per task of a work class.
        memory_by_class: Memory used per task of a work class, in GB.
        slowdown_per_core_by_pair: Excess slowdown that one core of a work
            class causes, by (service, work class).
        version: Grows whenever an estimate changes.
    """

    cores_by_class: dict[str, DecayingMean] = dataclasses.field(default_factory=dict)
    memory_by_class: dict[str, DecayingMean] = dataclasses.field(default_factory=dict)
    slowdown_per_core_by_pair: dict[tuple[str, str], DecayingMean] = dataclasses.field(
        default_factory=dict
    )
    version: int = 0

    def add_usage(
        self, work_class: str, cores: float, memory_gb: float, at_s: float
    ) -> None:
        """Learn the size of a work class from one running task."""
        if not _is_valid(cores) or not _is_valid(memory_gb):
            return
        for by_class, value in (
            (self.cores_by_class, cores),
            (self.memory_by_class, memory_gb),
        ):
            estimate = by_class.setdefault(work_class, DecayingMean(value, 0.0))
            estimate.add(value, at_s)
        self.version += 1

    def add_slowdown(
        self,
        service: str,
        cores_by_class: dict[str, float],
        slowdown: float,
        at_s: float,
    ) -> None:
        """Learn from the slowdown of one executor.

        The excess over 1 is attributed to the classes that shared the worker
        at that time, in proportion to their cores and current estimates.

        Args:
            service: Desk service of the executor.
            cores_by_class: Cores that tasks of each class used there.
            slowdown: Latency relative to an undisturbed executor.
            at_s: When the sample was taken.
        """
        if not _is_valid(slowdown) or not cores_by_class:
            return
        excess = min(max(0.0, slowdown - 1.0), MAX_EXCESS_SLOWDOWN)
        shares = {
            name: max(cores, 0.0) * (self.slowdown_per_core(service, name) + 0.01)
            for name, cores in cores_by_class.items()
        }
        total = sum(shares.values())
        if total <= 0:
            return
        for name, share in shares.items():
            if cores_by_class[name] > 0:
                pair = self._pair_estimate(service, name)
                pair.add(
                    excess * share / total / cores_by_class[name], at_s, share / total
                )
        self.version += 1

    def _pair_estimate(self, service: str, work_class: str) -> DecayingMean:
        key = (service, work_class)
        estimate = self.slowdown_per_core_by_pair.get(key)
        if estimate is None:
            if len(self.slowdown_per_core_by_pair) >= MAX_PAIRS:
                oldest = min(
                    self.slowdown_per_core_by_pair,
                    key=lambda k: self.slowdown_per_core_by_pair[k].at_s,
                )
                del self.slowdown_per_core_by_pair[oldest]
            estimate = DecayingMean(0.0, PRIOR_WEIGHT)
            self.slowdown_per_core_by_pair[key] = estimate
        return estimate

    def slowdown_per_core(self, service: str, work_class: str) -> float:
        """Return the excess slowdown that one core of a class causes."""
        estimate = self.slowdown_per_core_by_pair.get((service, work_class))
        return estimate.mean if estimate else 0.0

    def slowdown(
        self, services: tuple[str, ...], work_class: str, cores: float
    ) -> float:
        """Return the expected slowdown of the worst service, at least 1."""
        worst = 0.0
        for service in services:
            worst = max(worst, self.slowdown_per_core(service, work_class) * cores)
        return 1.0 + min(worst, MAX_EXCESS_SLOWDOWN)

    def size(self, work_class: str) -> tuple[float, float]:
        """Return learned cores and memory in GB, with a margin.

        Both are zero while there are fewer than ``MIN_SIZE_SAMPLES`` samples.
        """
        cores = self.cores_by_class.get(work_class)
        memory = self.memory_by_class.get(work_class)
        if cores is None or memory is None or cores.samples < MIN_SIZE_SAMPLES:
            return (0.0, 0.0)
        return (cores.mean * SIZE_MARGIN, memory.mean * SIZE_MARGIN)


def _is_valid(value: float) -> bool:
    return math.isfinite(value) and value >= 0
