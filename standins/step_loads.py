"""Simulates how best-effort work raises the tail latency of serving work."""

import math
from collections.abc import Mapping

from limpetstream.workflow import messages

IDLE_TAIL = 0.3  # Tail latency of an idle task, as a share of its target.
PERIOD_S = 12.0  # Of the oscillation of the user load.
USER_LOAD, AMPLITUDE = 0.4, 0.1  # Utilization that the users cause.
# Utilization that a core of best-effort work adds beside some images.
WEIGHT_OF_SLOWING_PAIR = 0.03


def tail_ms(
    step: messages.Step, cores_by_image: Mapping[str, float], now: float
) -> float:
    """Return the tail latency of a serving task in milliseconds.

    Args:
        step: Step of the task.
        cores_by_image: Cores that best-effort work may use beside it.
        now: Time in seconds, which decides the load by users.
    """
    load = USER_LOAD + AMPLITUDE * math.sin(2 * math.pi * now / PERIOD_S)
    for image, cores in cores_by_image.items():
        if is_slowed_by(step.image, image):
            load += WEIGHT_OF_SLOWING_PAIR * cores
    return step.tail_target_ms * IDLE_TAIL / max(0.05, 1.0 - load)


def is_slowed_by(serving: str, best_effort: str) -> bool:
    """Return whether a serving image is slowed by a best-effort image.

    >>> [is_slowed_by("serving-a", f"batch-{letter}") for letter in "ab"]
    [True, False]
    """
    return serving[-1:] == best_effort[-1:]
