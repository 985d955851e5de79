"""Faults that only some ends of waits need, for ``rare_draws``.

They change what one instance or executor answers, so that no other end of a
wait comes first. A fault is told the member and the executor of the event that
it follows, as in ``overlapping_faults``.
"""

import random
from typing import Any

from limpetstream import errors
from limpetstream.executors import messages
from limpetstream.shard import names
from search import fault_world

World = fault_world.World


def stall_owner(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """Refuse one owner's appends so long that another member takes over."""
    owners = world.owners()
    if not owners:
        return
    owner = generator.choice(owners)
    store = world.cluster.instance_by_member[owner].store
    key = ("stalled", owner)
    seconds = generator.uniform(21.0, 27.0)
    ends_at = world.now() + seconds
    append = store.append

    async def refusing(topic: str, *arguments: Any, **options: Any) -> int:
        if topic == names.PROGRESS_TOPIC and world.now() < ends_at:
            raise errors.PlatformUnavailable("refused", not_applied=True)
        return await append(topic, *arguments, **options)

    store.append = refusing
    world.hold(seconds, key)


def lose_configuration(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """End an owner; the next one reads the configuration only later."""
    owners = world.owners()
    configuration = world.cluster.view.configuration
    if not owners or configuration is None:
        return
    world.cluster.view.configuration = None
    world.kill(generator.choice(owners))
    seconds = generator.uniform(2.0, 6.0)
    world.hold(seconds, ("no configuration", ""))

    def restore() -> None:
        world.cluster.view.configuration = configuration

    world.later(seconds, restore)


def ignore_stops(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """Let executors confirm stops, and go on with the runs."""
    chosen = _pick(world, generator, executor)
    seconds = generator.uniform(0.5, 5.0)
    ends_at = world.now() + seconds
    for instance in world.cluster.instance_by_member.values():
        client = instance.executor_client
        client.stop = _ignoring(world, client, chosen, ends_at)
    world.hold(seconds, *[("ignores stops", each) for each in chosen])


def _ignoring(world: World, client: Any, chosen: list[str], ends_at: float) -> Any:
    stop = client.stop

    async def ignoring(
        listing: messages.Listing, *arguments: Any, **options: Any
    ) -> None:
        if listing.executor_id in chosen and world.now() < ends_at:
            await client._connect(listing, options["timeout_s"])
            return
        await stop(listing, *arguments, **options)

    return ignoring


def refuse_for_room(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """Let executors refuse starts for want of room."""
    chosen = _pick(world, generator, executor)
    seconds = generator.uniform(0.3, 3.0)
    ends_at = world.now() + seconds
    for instance in world.cluster.instance_by_member.values():
        client = instance.executor_client
        client.start = _refusing(world, client, chosen, ends_at)
    world.hold(seconds, *[("has no room", each) for each in chosen])


def _refusing(world: World, client: Any, chosen: list[str], ends_at: float) -> Any:
    start = client.start

    async def refusing(
        listing: messages.Listing, request: messages.StartRequest, *, timeout_s: float
    ) -> messages.StartReply:
        if listing.executor_id in chosen and world.now() < ends_at:
            found = await client._connect(listing, timeout_s)
            return messages.StartReply(messages.NO_ROOM, found.clock_ms())
        return await start(listing, request, timeout_s=timeout_s)

    return refusing


def everywhere(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """Let all executors refuse or lose orders, so that none takes the work."""
    kinds = generator.choice(
        [["refuses"], ["lost start"], ["lost stop"], ["lost start", "lost stop"]]
    )
    ids = list(world.cluster.executor_by_id)
    keys = [(kind, each) for kind in kinds for each in ids]
    world.hold(generator.uniform(0.3, 5.0), *keys)


def unlist_all(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """Let the entries of all executors be missing for a while."""
    seconds = generator.uniform(0.3, 4.0)
    for executor_id, found in list(world.cluster.executor_by_id.items()):
        world.cluster.unlist_executor(executor_id)
        world.hold(seconds, ("unlisted", executor_id))
        world.later(seconds, lambda found=found: world.list_again(found))


def _pick(world: World, generator: random.Random, executor: str) -> list[str]:
    """Return some executors, with that of the event; sometimes all."""
    ids = list(world.cluster.executor_by_id)
    count = generator.choice([1, 2, len(ids) - 1, len(ids)])
    chosen = generator.sample(ids, min(count, len(ids)))
    if executor in ids and executor not in chosen:
        chosen.append(executor)
    return chosen


FAULTS = {
    function.__name__: (function, weight)
    for function, weight in (
        (stall_owner, 2),
        (lose_configuration, 1),
        (ignore_stops, 2),
        (refuse_for_room, 2),
        (everywhere, 4),
        (unlist_all, 2),
    )
}
