"""Draws schedules of planned stops, and of cancels before jobs are stored."""

import random

from search import draws, schedules, stop_faults

MAX_LATE_S = 6.0  # The platform carries an append without an answer out by then.


def draw(seed: int) -> schedules.Schedule:
    """Draw a schedule of plain jobs with planned stops and late jobs.

    Args:
        seed: Seed of all draws.
    """
    generator = random.Random(f"stops {seed}")
    schedule = draws.draw(seed)
    schedule.instances = max(3, schedule.instances)
    functions = stop_faults.FAULTS
    weights = [weight for _function, weight in functions.values()]
    kinds = generator.choices(list(functions), weights, k=generator.randint(1, 3))
    schedule.faults = schedule.faults[: generator.choice([0, 0, 1, 2])]
    schedule.faults += [draws.draw_fault(generator, kind) for kind in kinds]
    schedule.jobs += [_late_job(generator) for _ in range(generator.randint(2, 6))]
    for job in schedule.jobs:
        is_late = job.stored_after_s is not None
        if not is_late and not job.lasts() and generator.random() < 0.3:
            job.cancelled_at = job.at + generator.uniform(0.5, 8.0)
    return schedule


def _late_job(generator: random.Random) -> schedules.Job:
    """Return a job that is cancelled before it is stored."""
    job = schedules.chain(
        generator.uniform(0.0, 8.0),
        generator.choice([1, 2, 3]),
        [generator.uniform(0.5, 5.0)],
        generator.choice([2000, 4000]),
    )
    job.stored_after_s = generator.uniform(1.0, MAX_LATE_S)
    return job
