"""Draws schedules with faults and jobs that single ends of waits need."""

import random

from search import draws, kind_draws, rare_faults, schedules


def draw(seed: int) -> schedules.Schedule:
    """Draw a schedule of every kind of task with one or two rare faults.

    Args:
        seed: Seed of all draws.
    """
    generator = random.Random(f"rare {seed}")
    schedule = kind_draws.draw(seed)
    functions = rare_faults.FAULTS
    weights = [weight for _function, weight in functions.values()]
    kinds = generator.choices(list(functions), weights, k=generator.randint(1, 2))
    schedule.faults = schedule.faults[: generator.randint(0, 3)]
    schedule.faults += [draws.draw_fault(generator, kind) for kind in kinds]
    if generator.random() < 0.3:
        schedule.jobs.append(_wide_job(generator))
    return schedule


def _wide_job(generator: random.Random) -> schedules.Job:
    """Return a job with more tasks than one pass places."""
    return schedules.chain(
        generator.uniform(0.0, 6.0),
        generator.randint(80, 200),
        [generator.uniform(0.3, 1.0)],
        generator.choice([100, 400]),
    )
