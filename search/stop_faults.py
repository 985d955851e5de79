"""Stops instances in order, as a rolling restart does."""

import random

from search import fault_world


def stop_in_order(
    world: fault_world.World, generator: random.Random, member: str, executor: str
) -> None:
    """Stop the instance of the event, the owner or another one."""
    members = sorted(world.cluster.instance_by_member)
    owner = world.cluster.owner_member()
    draw = generator.random()
    if draw < 0.6 and owner:
        member = owner
    elif draw < 0.8 or member not in members:
        member = generator.choice(members)
    world.stop(member)


def stop_in_turn(
    world: fault_world.World, generator: random.Random, member: str, executor: str
) -> None:
    """Stop owners one after the other, each soon after its claim."""
    at = 0.0
    for _ in range(generator.randint(2, 5)):
        seed = generator.randrange(2**32)
        world.later(
            at, lambda seed=seed: stop_in_order(world, random.Random(seed), "", "")
        )
        at += generator.uniform(0.8, 3.0)


FAULTS = {"stop_in_order": (stop_in_order, 3), "stop_in_turn": (stop_in_turn, 2)}
