"""Simulates a site whose best-effort work slows serving work by pairs.

Of each pair of images a seed decides whether one slows the other and by how
much. The users of a serving job load all its tasks alike, with a period of
seconds; reports are rough. The world also keeps what each serving task has
earned: the share of its time at work within its target, less three times more
where best-effort work beside it is the cause.
"""

import dataclasses
import math
import random
from collections.abc import Mapping

from limpetstream.workflow import messages

SERVING_IMAGES = 5
BEST_EFFORT_IMAGES = 9
IDLE_TAIL = 0.2  # Tail latency of an idle task, as a share of its target.
MEAN_LOAD = 0.45
AMPLITUDE = 0.225
PERIOD_S = 14.0
REPORT_ERROR = 0.07  # Standard deviation of a reported utilization.
SLOWING_SHARE = 0.45
WEIGHTS = (0.015, 0.06)  # Utilization that a core adds, of a slowing pair.
OWN_CAUSE_FACTOR = 4.0


@dataclasses.dataclass(slots=True)
class Earned:
    """What serving tasks have earned.

    Args:
        samples: Samples of tasks, at work or not.
        at_work: Samples at work.
        over: Samples over the target.
        caused: Of these, samples that would be within it without best-effort
            work.
    """

    samples: int = 0
    at_work: int = 0
    over: int = 0
    caused: int = 0

    def share(self) -> float:
        """Return the share that was earned, from 0 to 1."""
        lost = self.over - self.caused + OWN_CAUSE_FACTOR * self.caused
        return max(0.0, self.at_work - lost) / max(1, self.samples)


class World:
    """Pairs of images, loads and reports of one seed.

    Args:
        seed: Decides all of them.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.weight_by_pair = {
            (f"s{serving}", f"f{best_effort}"): self._draw_weight()
            for serving in range(SERVING_IMAGES)
            for best_effort in range(BEST_EFFORT_IMAGES)
        }
        self._load_by_spec: dict[str, tuple[float, float]] = {}
        self.earned = Earned()

    def _draw_weight(self) -> float:
        if self.random.random() >= SLOWING_SHARE:
            return 0.0
        return self.random.uniform(*WEIGHTS)

    def user_load(self, spec: str, now: float) -> float:
        """Return the utilization that the users of a job cause."""
        if spec not in self._load_by_spec:
            self._load_by_spec[spec] = (
                self.random.gauss(MEAN_LOAD, 0.04),
                self.random.uniform(0, 2 * math.pi),
            )
        mean, phase = self._load_by_spec[spec]
        return mean + AMPLITUDE * math.sin(2 * math.pi * now / PERIOD_S + phase)

    def utilization(
        self, spec: str, image: str, cores: Mapping[str, float], now: float
    ) -> float:
        """Return the true utilization of a serving task."""
        added = sum(
            self.weight_by_pair.get((image, best_effort), 0.0) * used
            for best_effort, used in cores.items()
        )
        return self.user_load(spec, now) + added

    def report_ms(
        self, spec: str, step: messages.Step, cores: Mapping[str, float], now: float
    ) -> float:
        """Return the tail latency that an executor reports, in ms."""
        utilization = self.utilization(spec, step.image, cores, now - 0.25)
        utilization += self.random.gauss(0.0, REPORT_ERROR)
        return step.tail_target_ms * tail(utilization)

    def sample(
        self, spec: str, step: messages.Step, cores: Mapping[str, float], now: float
    ) -> None:
        """Count one serving task that is at work."""
        self.earned.samples += 1
        self.earned.at_work += 1
        if tail(self.utilization(spec, step.image, cores, now)) > 1.0:
            self.earned.over += 1
            self.earned.caused += tail(self.user_load(spec, now)) <= 1.0

    def sample_away(self) -> None:
        """Count one serving task that is not at work."""
        self.earned.samples += 1


def tail(utilization: float) -> float:
    """Return a tail latency as a share of its target.

    >>> round(tail(0.8), 3)
    1.0
    """
    return IDLE_TAIL / max(0.05, 1.0 - utilization)
