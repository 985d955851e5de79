"""Faults of the orders that end runs, for ``cancel_draws``.

A fault is told the member and the executor of the event that it follows, as in
``overlapping_faults``.
"""

import random

from search import fault_world


def late_orders(
    world: fault_world.World, generator: random.Random, member: str, executor: str
) -> None:
    """Let half of the starts and stops be carried out 2 to 12 s later."""
    ids = list(world.cluster.executor_by_id)
    chosen = generator.sample(ids, generator.randint(1, len(ids)))
    kinds = generator.choice(
        [("late starts", "late stops")] * 2 + [("late stops",), ("late starts",)]
    )
    keys = [(kind, each) for kind in kinds for each in chosen]
    world.hold(generator.uniform(0.5, 8.0), *keys)


def leave_after_cancel(
    world: fault_world.World, generator: random.Random, member: str, executor: str
) -> None:
    """End the instance of the event at once: kill, freeze or stop it."""
    members = sorted(world.cluster.instance_by_member)
    if member not in members:
        member = world.cluster.owner_member() or generator.choice(members)
    act = generator.choice([world.kill, world.stop, _freeze])
    if act is _freeze:
        _freeze(world, member, generator.uniform(0.5, 6.0))
    else:
        act(member)


def _freeze(world: fault_world.World, member: str, seconds: float) -> None:
    world.hold(seconds, ("frozen", member))


FAULTS = {
    "late_orders": (late_orders, 3),
    "leave_after_cancel": (leave_after_cancel, 2),
}
