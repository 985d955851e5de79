"""Draws schedules in which calls to a former process reach the next one."""

import dataclasses
import random

from search import draws, kind_draws, restart_faults, schedules

BASES = (draws.draw, draws.draw, kind_draws.draw)
MAX_LEASES_MS = (6000, 10_000)  # Of the two deployments.
LAST_SUBMISSION_S = 10.0
# After the faults; tasks that last would keep others from ending.
CANCELLED_AT_S = 40.0


def draw(seed: int) -> schedules.Schedule:
    """Draw a schedule with long tasks, restarts and ends of owners.

    Args:
        seed: Seed of all draws.
    """
    generator = random.Random(f"restarts {seed}")
    schedule = generator.choice(BASES)(seed)
    schedule.max_lease_ms = generator.choice(MAX_LEASES_MS)
    schedule.next_share = generator.choice([0.5, 1.0])
    schedule.instances = max(2, schedule.instances)
    schedule.faults = schedule.faults[: generator.choice([0, 0, 0, 1, 2])]
    functions = restart_faults.FAULTS
    weights = [weight for _function, weight in functions.values()]
    kinds = generator.choices(list(functions), weights, k=generator.randint(1, 3))
    faults = [draws.draw_fault(generator, kind) for kind in kinds]
    # Other events may not come.
    faults[0].trigger = generator.choice(["", "RUN_ORDERED", "START_APPLIED"])
    schedule.faults += faults
    at = generator.uniform(0.0, 1.0)
    while at < LAST_SUBMISSION_S:
        schedule.jobs.append(_long_job(generator, at))
        at += generator.uniform(0.4, 1.6)
    for job in schedule.jobs:
        job.queue = dataclasses.replace(job.queue, max_attempts=kind_draws.MAX_ATTEMPTS)
    return schedule


def draw_long_running(seed: int) -> schedules.Schedule:
    """Draw such a schedule with tasks that run until they are stopped.

    Args:
        seed: Seed of all draws.
    """
    schedule = draw(seed)
    generator = random.Random(f"long-running restarts {seed}")
    at = generator.uniform(0.0, 1.0)
    while at < LAST_SUBMISSION_S:
        job = schedules.chain(
            at,
            generator.randint(1, 3),
            [0.0],
            generator.choice([1000, 2000, 4000]),
            CANCELLED_AT_S,
        )
        queue = dataclasses.replace(job.queue, max_attempts=kind_draws.MAX_ATTEMPTS)
        schedule.jobs.append(dataclasses.replace(job, queue=queue))
        at += generator.uniform(0.8, 3.0)
    for _ in range(generator.randint(0, 2)):
        fault = draws.draw_fault(
            generator, restart_faults.restart_at_late_start.__name__
        )
        fault.trigger = generator.choice(["RUN_ORDERED", "START_IN_DOUBT"])
        fault.skip, fault.delay_s = generator.choice([0, 0, 1, 3]), 0.0
        schedule.faults.append(fault)
    return schedule


def _long_job(generator: random.Random, at: float) -> schedules.Job:
    """Return a job whose tasks go on for longer than a lease."""
    return schedules.chain(
        at,
        generator.randint(1, 3),
        [generator.uniform(8.0, 18.0)],
        generator.choice([1000, 2000, 4000]),
    )
