"""Draws schedules in which connections break after calls took effect."""

import random

from search import draws, kind_draws, schedules, transport_faults


def draw(seed: int) -> schedules.Schedule:
    """Draw a schedule of every kind of task with one to four such faults.

    Callers give a job up after one to three refusals, as users do.

    Args:
        seed: Seed of all draws.
    """
    generator = random.Random(f"transport {seed}")
    schedule = kind_draws.draw(seed)
    functions = transport_faults.FAULTS
    weights = [weight for _function, weight in functions.values()]
    kinds = generator.choices(list(functions), weights, k=generator.randint(1, 4))
    schedule.faults = schedule.faults[: generator.randint(0, 3)]
    schedule.faults += [draws.draw_fault(generator, kind) for kind in kinds]
    for job in schedule.jobs:
        job.max_refusals = generator.choice([1, 1, 2, 3, schedules.MAX_ATTEMPTS])
    return schedule
