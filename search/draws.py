"""Draws schedules of plain jobs and of faults after a change of owner."""

import random

from search import fault_world, overlapping_faults, schedules

TRIGGERS = (
    ("SHARD_CLAIMED", 3),
    ("SHARD_RECOVERED", 2),
    ("EARLIER_PROOFS_ENDED", 3),
    ("SHARD_LOCATED", 2),
    ("RUN_ORDERED", 3),
    ("RUN_ENDED", 1),
    ("START_IN_DOUBT", 1),
    ("EXECUTOR_SILENT", 1),
    ("EXECUTOR_REACHED", 1),
    ("EXECUTOR_LAPSED", 2),
    ("EXECUTOR_REPLACED", 1),
    ("OWNERSHIP_UNPROVEN", 2),
    ("JOURNAL_FAILING", 1),
    ("SHARD_RELEASED", 1),
    (fault_world.START_APPLIED, 2),
    (fault_world.END_ACKNOWLEDGED, 2),
    (fault_world.APPEND_CONFIRMED, 2),
)


# They follow events themselves.
CHANGES_OF_OWNER = (
    "replace_owner",
    "restart_after_claim",
    "isolated_after_split",
    "restart_half",
    "long_split",
)


def draw(seed: int, first: str = "") -> schedules.Schedule:
    """Draw a schedule.

    Args:
        seed: Seed of all draws.
        first: Kind of the first fault; empty for a drawn one.
    """
    generator = random.Random(seed)
    executors = generator.randint(6, 9)
    instances, reserves = generator.choice([(3, 0), (3, 0), (2, 0), (4, 0), (1, 2)])
    return schedules.Schedule(
        seed,
        executors,
        instances,
        reserves,
        generator.random() < 0.5,
        _draw_jobs(generator, executors),
        _draw_faults(generator, first),
    )


def _draw_jobs(generator: random.Random, executors: int) -> list[schedules.Job]:
    jobs = [schedules.chain(0.0, executors + generator.randint(-2, 4), [0.0], 4000)]
    at = 0.0
    while at < 10.0:
        kind = generator.random()
        if kind < 0.55:
            chain = [generator.choice([0.3, 0.6, 1.2]) for _ in range(5)]
            chain[-1] = generator.uniform(5.0, 9.0)
        elif kind < 0.8:
            chain = [generator.uniform(5.0, 12.0)]
        else:
            chain = [generator.uniform(0.3, 2.5) for _ in range(3)]
        cancelled_at = at + generator.uniform(0.5, 8.0)
        jobs.append(
            schedules.chain(
                at,
                generator.choice([1, 1, 2, 3]),
                chain,
                generator.choice([2000, 4000, 6000]),
                cancelled_at if generator.random() < 0.12 else None,
            )
        )
        at += generator.uniform(0.2, 1.4)
    return jobs


def _draw_faults(generator: random.Random, first: str) -> list[schedules.Fault]:
    """Draw a change of owner and two to six other faults."""
    kind = generator.choice(["replace_owner", "replace_owner", "isolated_successor"])
    functions = overlapping_faults.FAULTS
    weights = [weight for _function, weight in functions.values()]
    others = generator.choices(list(functions), weights, k=generator.randint(2, 6))
    return [draw_fault(generator, each) for each in (first or kind, *others)]


def draw_fault(generator: random.Random, kind: str) -> schedules.Fault:
    fault = schedules.Fault(
        kind, generator.randrange(2**32), generator.uniform(0.5, 8.0)
    )
    if generator.random() < 0.6 and kind not in CHANGES_OF_OWNER:
        names, weights = zip(*TRIGGERS, strict=True)
        fault.trigger = generator.choices(names, weights)[0]
        fault.skip = generator.choice([0, 0, 0, 1, 2, 5])
        fault.delay_s = generator.choice(
            [0.0, 0.0, generator.uniform(0.0, 0.3), generator.uniform(0.0, 2.5)]
        )
    return fault
