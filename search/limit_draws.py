"""Draws schedules in which organisations with limits share the executors."""

import random

from search import draws, limit_faults, schedules

ORGANISATIONS = ("mill", "quay")
# Faults that leave runs of which an owner does not know whether they go on.
OTHER_FAULTS = ("cut_executors", "late_starts", "lose_answers", "freeze")


def draw(seed: int) -> schedules.Schedule:
    """Draw a schedule; work that lasts belongs to no organisation.

    Args:
        seed: Seed of all draws.
    """
    generator = random.Random(f"limits {seed}")
    schedule = draws.draw(seed)
    schedule.limit_by_organisation = {
        name: generator.choice([(12_000, 0, 0), limit_faults.HIGHEST])
        for name in ORGANISATIONS
    }
    for job in schedule.jobs:
        if not job.lasts():
            job.organisation = generator.choice(("", *ORGANISATIONS))
    kinds = [
        "lower_limits_and_replace_owner",
        *["lower_limit"] * generator.randint(0, 3),
        *generator.choices(OTHER_FAULTS, k=generator.randint(1, 3)),
    ]
    schedule.faults = schedule.faults[: generator.choice([0, 1, 2])]
    schedule.faults += [draws.draw_fault(generator, kind) for kind in kinds]
    return schedule
