"""Draws schedules in which most jobs are cancelled, many of them promptly."""

import dataclasses
import random

from search import (
    cancel_faults,
    draws,
    executor_faults,
    kind_draws,
    overlapping_faults,
    rare_draws,
    schedules,
    stop_draws,
    stop_faults,
    transport_draws,
)

BASES = (
    kind_draws.draw,
    kind_draws.draw,
    stop_draws.draw,
    rare_draws.draw,
    transport_draws.draw,
)
CANCELLED_SHARE = 0.6
PROMPT_S = 2.0  # Longest time from its submission to a prompt cancel.
CALM_CANCEL_S = 20.0  # Long enough for a cancel after all faults have ended.
# The rule on runs that go on excuses all of it but these.
PLANNED_FAULTS = ("come", "drain", "close_data_centre", "relabel")


def draw(seed: int) -> schedules.Schedule:
    """Draw a schedule with cancels, and faults of those that carry them out.

    A third of the schedules has only planned work beside the cancels.

    Args:
        seed: Seed of all draws.
    """
    generator = random.Random(f"cancels {seed}")
    schedule = generator.choice(BASES)(seed)
    schedule.is_watched = True
    if generator.random() < 0.33:
        kinds = generator.choices(PLANNED_FAULTS, k=generator.randint(1, 4))
        schedule.faults = [draws.draw_fault(generator, kind) for kind in kinds]
    else:
        schedule.faults = schedule.faults[: generator.choice([0, 1, 2, 3])]
        schedule.faults += _draw_faults(generator)
    if any(fault.kind == "fail_runs" for fault in schedule.faults):
        for job in schedule.jobs:
            job.queue = dataclasses.replace(
                job.queue, max_attempts=kind_draws.MAX_ATTEMPTS
            )
    for job in schedule.jobs:
        if job.stored_after_s is None and generator.random() < CANCELLED_SHARE:
            job.cancelled_at = job.at + generator.choice(
                [
                    generator.uniform(0.0, PROMPT_S),
                    generator.uniform(0.0, 8.0),
                    generator.uniform(0.0, CALM_CANCEL_S),
                ]
            )
    return schedule


def _draw_faults(generator: random.Random) -> list[schedules.Fault]:
    weight_by_kind = {
        kind: weight
        for faults in (
            cancel_faults.FAULTS,
            cancel_faults.FAULTS,
            stop_faults.FAULTS,
            executor_faults.FAULTS,
            overlapping_faults.FAULTS,
        )
        for kind, (_function, weight) in faults.items()
    }
    kinds = generator.choices(
        list(weight_by_kind), list(weight_by_kind.values()), k=generator.randint(1, 3)
    )
    return [draws.draw_fault(generator, kind) for kind in kinds]
