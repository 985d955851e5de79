"""Faults that change the limits of organisations.

A fault is told the member and the executor of the event that it follows, as
in ``overlapping_faults``. All instances read a new configuration at once.
"""

import dataclasses
import random
from collections.abc import Mapping

from limpetstream import amounts
from limpetstream.organisations import settings
from search import fault_world, overlapping_faults

World = fault_world.World

# The largest task of these schedules needs as much, so that all work can end.
LOWEST: amounts.Amount = (6000, 0, 0)
HIGHEST: amounts.Amount = (24_000, 0, 0)
LOWERED_S = (3.0, 12.0)  # Shortest and longest time until it is raised again.


def draw_limit(generator: random.Random) -> amounts.Amount:
    """Return a limit of processors."""
    return generator.randrange(LOWEST[0], HIGHEST[0], 2000), 0, 0


def set_limits(world: World, limit_by_name: Mapping[str, amounts.Amount]) -> None:
    """Put a configuration with these organisations into force."""
    configuration = world.cluster.view.configuration
    world.cluster.view.configuration = dataclasses.replace(
        configuration,
        version=configuration.version + 1,
        organisation_by_name={
            name: settings.Organisation(name, limit=limit)
            for name, limit in limit_by_name.items()
        },
    )
    world.cluster.breaches.limits.set_limits(limit_by_name)
    world.note_change(is_planned=True)


def lower_limit(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """Let the operator lower the limit of one organisation for some time."""
    by_name = world.cluster.view.configuration.organisation_by_name
    if by_name:
        name = generator.choice(sorted(by_name))
        _lower(world, generator, {name: draw_limit(generator)})


def lower_limits_and_replace_owner(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """Lower all limits, then end the owner and cut some executors off.

    Half of the starts there that are sent then are carried out late.
    """
    by_name = world.cluster.view.configuration.organisation_by_name
    _lower(world, generator, dict.fromkeys(by_name, LOWEST))
    ids = sorted(world.cluster.executor_by_id)
    chosen = generator.sample(ids, generator.randint(1, len(ids) // 2))
    for kind, longest_s in (("executor", 9.0), ("late starts", 6.0)):
        keys = [(kind, each) for each in chosen]
        world.hold(generator.uniform(0.5, longest_s), *keys)
    overlapping_faults.replace_owner(world, generator, member, executor)


def _lower(
    world: World,
    generator: random.Random,
    lowered_by_name: Mapping[str, amounts.Amount],
) -> None:
    def change(limit_by_name: Mapping[str, amounts.Amount]) -> None:
        by_name = world.cluster.view.configuration.organisation_by_name
        present = {name: each.limit for name, each in by_name.items()}
        world.note(f"limits {limit_by_name}")
        set_limits(world, {**present, **limit_by_name})

    change(lowered_by_name)
    raised = dict.fromkeys(lowered_by_name, HIGHEST)
    world.later(generator.uniform(*LOWERED_S), lambda: change(raised))


FAULTS = {
    "lower_limit": (lower_limit, 3),
    "lower_limits_and_replace_owner": (lower_limits_and_replace_owner, 2),
}
