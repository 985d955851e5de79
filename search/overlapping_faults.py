"""Faults that overlap, many of them placed by what an owner does.

A fault is told the member and the executor of the event that it follows; both
are empty if it is placed by time alone. All of them return at once.
"""

import functools
import random

from search import fault_world

World = fault_world.World


def freeze(world: World, generator: random.Random, member: str, executor: str) -> None:
    """Freeze an instance, mostly the one of the event."""
    target = _pick_member(world, generator, member)
    if target:
        seconds = generator.choice(
            [generator.uniform(0.3, 2.0), generator.uniform(1.5, 4.0), 8.0]
        )
        world.hold(seconds, ("frozen", target))


def kill(world: World, generator: random.Random, member: str, executor: str) -> None:
    """Kill an instance; another one starts."""
    target = _pick_member(world, generator, member)
    if target:
        world.kill(target)


def restart(world: World, generator: random.Random, member: str, executor: str) -> None:
    """Restart the executor of the event, another one, or half of them."""
    ids = list(world.cluster.executor_by_id)
    draw = generator.random()
    chosen = [executor] if executor in ids and draw < 0.6 else generator.sample(ids, 1)
    if draw > 0.85:
        chosen = generator.sample(ids, len(ids) // 2)
    for executor_id in chosen:
        world.restart(executor_id, down_s=generator.uniform(0.3, 0.7))
        if generator.random() < 0.3:
            _restart_later(world, generator, executor_id, (0.8, 2.5))


def island(world: World, generator: random.Random, member: str, executor: str) -> None:
    """Cut an instance off with some executors; others may not reach these."""
    target = _pick_member(world, generator, member)
    if not target:
        return
    beside, far = _draw_sides(world, generator, executor)
    keys = _link_keys(generator, target, far)
    if generator.random() < 0.85:
        keys.append(("store", target))
    if generator.random() < 0.4:
        keys.append(("peers", target))
    if generator.random() < 0.6:
        keys += _barrier(world, target, beside)
    world.hold(generator.uniform(2.0, 10.0), *keys)
    if generator.random() < 0.3:
        _unlist(world, generator, beside)


def cut_executors(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """Cut some executors off from everybody."""
    beside, _far = _draw_sides(world, generator, executor)
    keys = [("executor", executor_id) for executor_id in beside]
    world.hold(generator.uniform(0.5, 9.0), *keys)


def cut_from_store(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """Cut an instance off from the store only, or all of its answers."""
    target = _pick_member(world, generator, member)
    if target:
        kind = generator.choice(["store", "answers", "joins"])
        world.hold(generator.uniform(0.8, 6.0), (kind, target))


def late_starts(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """Let half of the starts on some executors be applied 2 to 12 s later."""
    beside, _far = _draw_sides(world, generator, executor)
    keys = [("late starts", executor_id) for executor_id in beside]
    world.hold(generator.uniform(1.0, 4.0), *keys)


def lose_answers(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """Lose answers of the store, and apply some appends late, for all."""
    keys = [("answers", each) for each in world.cluster.instance_by_member]
    world.hold(generator.uniform(1.0, 4.0), *keys)


def store_down(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """Let the store refuse all calls."""
    world.hold(generator.uniform(1.0, 6.0), ("store down", ""))


def leave(world: World, generator: random.Random, member: str, executor: str) -> None:
    """Remove executors for good; others join."""
    ids = list(world.cluster.executor_by_id)
    for executor_id in generator.sample(ids, generator.choice([1, 1, 2, 3])):
        world.remove(
            executor_id,
            unlisted_after_s=generator.uniform(0.0, 3.0),
            is_replaced=generator.random() < 0.4,
        )


def drop_history(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """Drop the history of the store; the newest records remain."""
    world.cluster.store.drop_history()


def replace_owner(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """Let another instance claim while the owner's proof is fresh.

    The owner's membership is lost, or its calls to the store are. As the other
    one claims, the owner is cut off from the store and from the executors that
    the other one reaches, so it does not learn of the claim.
    """
    target = _pick_member(world, generator, member)
    if not target:
        return
    beside, far = _draw_sides(world, generator, executor)
    is_split = generator.random() < 0.6
    keys = [("joins" if generator.random() < 0.7 else "store", target)]
    world.hold(generator.uniform(2.2, 4.0), *keys)
    if generator.random() < 0.35:
        # Ends that it has received are applied after another one has claimed.
        world.later(
            generator.uniform(0.6, 1.4),
            lambda: world.hold(generator.uniform(0.6, 1.9), ("frozen", target)),
        )

    def react(claimant: str, _executor: str) -> bool:
        if claimant == target:
            return False
        late_keys = [("store", target), *_link_keys(generator, target, far)]
        is_followed = generator.random() < 0.4
        if is_split and is_followed:
            late_keys += [("call", claimant, each) for each in beside]
        elif is_split:
            late_keys += _barrier(world, target, beside)
        if generator.random() < 0.4:
            late_keys.append(("peers", target))
        if generator.random() < 0.2:
            world.hold(generator.uniform(0.3, 2.5), ("frozen", target))
        world.hold(generator.uniform(3.0, 10.0), *late_keys)
        _restart_some_later(world, generator, beside, (0.02, 1.2), claimant)
        if is_followed:
            isolated = _pick_other(world, generator, {target, claimant})
            world.later(
                generator.uniform(0.1, 2.5),
                lambda: _leave_to_isolated(
                    world, generator, claimant, isolated, beside
                ),
            )
        return True

    name = generator.choice(
        ["SHARD_CLAIMED", "SHARD_CLAIMED", "SHARD_RECOVERED", "EARLIER_PROOFS_ENDED"]
    )
    world.watch(name, react)


def isolated_successor(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """Cut the store from all but one instance, which reaches few executors."""
    target = _pick_member(world, generator, member)
    if target:
        beside, _far = _draw_sides(world, generator, executor)
        few = beside[: max(1, (len(world.cluster.executor_by_id) - 1) // 2)]
        isolated = _pick_other(world, generator, {target})
        _leave_to_isolated(world, generator, target, isolated, few)


def _leave_to_isolated(
    world: World, generator: random.Random, owner: str, isolated: str, few: list[str]
) -> None:
    """Let an isolated instance claim that reaches a few executors only.

    The owner keeps both majorities. Some of the few executors restart or leave
    after the isolated instance has claimed; the owner learns that.
    """
    others = [each for each in world.cluster.instance_by_member if each != owner]
    if isolated not in others:
        return
    ids = list(world.cluster.executor_by_id)
    seconds = generator.choice([generator.uniform(5.0, 12.0)] * 4 + [32.0])
    keys = [("store", each) for each in (owner, *others) if each != isolated]
    keys += [("call", isolated, each) for each in ids if each not in few]
    keys.append(("peers", isolated))
    world.hold(seconds, *keys)
    owner_cut_s = generator.uniform(2.0, 7.0)
    world.hold(owner_cut_s, *[("call", owner, each) for each in few])
    for executor_id in few:
        draw = generator.random()
        at = max(0.5, owner_cut_s + generator.uniform(-1.5, 0.3))
        if draw < 0.35:
            _restart_later(world, generator, executor_id, (at, at + 0.1), isolated)
        elif draw < 0.55:
            world.later(at, functools.partial(_replace, world, executor_id))


def _replace(world: World, executor_id: str) -> None:
    if executor_id in world.cluster.executor_by_id:
        world.remove(executor_id, unlisted_after_s=0.5, is_replaced=True)


def _restart_some_later(
    world: World,
    generator: random.Random,
    executor_ids: list[str],
    bounds_s: tuple[float, float],
    successor: str,
) -> None:
    """Restart some executors, or all, or none, mostly behind a cut."""
    share = generator.choice([0.0, 0.4, 0.4, 1.0])
    for executor_id in executor_ids:
        if generator.random() < share:
            is_cut = generator.random() < 0.7
            _restart_later(
                world, generator, executor_id, bounds_s, successor if is_cut else ""
            )


def _restart_later(
    world: World,
    generator: random.Random,
    executor_id: str,
    bounds_s: tuple[float, float],
    successor: str = "",
) -> None:
    """Restart an executor, which a successor does not reach then."""

    def act() -> None:
        if executor_id in world.cluster.executor_by_id:
            if successor:
                world.hold(3.0, ("call", successor, executor_id))
            world.restart(executor_id, down_s=generator.uniform(0.26, 0.45))

    world.later(generator.uniform(*bounds_s), act)


def restart_after_claim(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """Restart executors that a new owner has reached; the earlier one starts.

    The earlier owner is frozen before the claim, and applies ends that it has
    received while its proof is still valid.
    """
    target = _pick_member(world, generator, member)
    if not target:
        return
    ids = list(world.cluster.executor_by_id)
    beside = generator.sample(ids, len(ids) // 2 + generator.randint(0, 1))
    world.hold(3.0, ("joins", target))
    world.later(
        generator.uniform(0.7, 1.2),
        lambda: world.hold(generator.uniform(0.6, 1.3), ("frozen", target)),
    )

    def react(claimant: str, _executor: str) -> bool:
        if claimant == target:
            return False
        keys = [("call", target, each) for each in ids if each not in beside]
        world.hold(generator.uniform(3.0, 6.0), ("store", target), *keys)
        for executor_id in beside:
            _restart_later(world, generator, executor_id, (0.03, 0.2), claimant)
        return True

    world.watch("SHARD_CLAIMED", react)


def restart_half(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """Restart the half of the executors that ended the earlier proofs.

    The new owner reaches only that half and no other instance. The earlier one
    keeps the rest, and reaches each of that half once it has restarted.
    """
    target = _pick_member(world, generator, member)
    if not target:
        return
    ids = list(world.cluster.executor_by_id)
    half = generator.sample(ids, (len(ids) + 1) // 2)
    world.hold(3.0, ("joins", target))

    def react(claimant: str, _executor: str) -> bool:
        if claimant == target:
            return False
        keys = [("call", claimant, each) for each in ids if each not in half]
        world.hold(
            generator.uniform(6.0, 10.0),
            ("store", target),
            ("peers", claimant),
            *keys,
        )
        for executor_id in half:
            at = generator.uniform(0.1, 1.5)
            world.hold(at + 0.2, ("call", target, executor_id))
            _restart_later(world, generator, executor_id, (at, at), claimant)
        return True

    world.watch("SHARD_CLAIMED", react)


def long_split(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """Let an owner keep both majorities for longer than they are a proof."""
    target = _pick_member(world, generator, member)
    isolated = _pick_other(world, generator, {target})
    if not target or not isolated:
        return
    ids = list(world.cluster.executor_by_id)
    few = generator.sample(ids, generator.randint(1, (len(ids) - 1) // 2))
    keys = [("store", each) for each in world.cluster.instance_by_member]
    keys.remove(("store", isolated))
    keys += [("call", isolated, each) for each in ids if each not in few]
    keys += [("call", target, each) for each in few]
    world.hold(34.0, ("peers", isolated), *keys)


def isolated_after_split(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """Let a third owner keep the runs that a second one waits for."""
    target = _pick_member(world, generator, member)
    if not target:
        return
    ids = list(world.cluster.executor_by_id)
    few = generator.sample(ids, generator.choice([1, 2]))
    far = [each for each in ids if each not in few]
    world.hold(3.0, ("joins", target))

    def react(claimant: str, _executor: str) -> bool:
        isolated = _pick_other(world, generator, {target, claimant})
        if claimant == target:
            return False
        seconds = generator.uniform(8.0, 13.0)
        keys = [("call", target, each) for each in far]
        keys += [("call", claimant, each) for each in few]
        world.hold(seconds, ("store", target), *keys)

        def leave_to_isolated() -> None:
            members = world.cluster.instance_by_member
            others = [("store", each) for each in members if each != isolated]
            barred = [("call", isolated, each) for each in far]
            world.hold(seconds, ("peers", isolated), *others, *barred)

        if isolated:
            world.later(generator.uniform(0.05, 1.5), leave_to_isolated)
        return True

    world.watch("SHARD_CLAIMED", react)


def _pick_member(world: World, generator: random.Random, member: str) -> str:
    """Return the event's member, or an owner, or rarely another instance."""
    members = list(world.cluster.instance_by_member)
    if member in members and generator.random() < 0.85:
        return member
    owners = world.owners()
    if owners and generator.random() < 0.9:
        return generator.choice(owners)
    return generator.choice(members) if members else ""


def _pick_other(world: World, generator: random.Random, excluded: set[str]) -> str:
    """Return an instance that is not excluded, or an empty text."""
    others = [each for each in world.cluster.instance_by_member if each not in excluded]
    return generator.choice(others) if others else ""


def _draw_sides(
    world: World, generator: random.Random, executor: str
) -> tuple[list[str], list[str]]:
    """Return executors on both sides of a cut; few on one side mostly."""
    ids = list(world.cluster.executor_by_id)
    count = generator.choice([1, 1, 2, 2, 3, len(ids) // 2, len(ids) - 1])
    beside = generator.sample(ids, count)
    if executor in ids and executor not in beside and generator.random() < 0.6:
        beside[0] = executor
    return beside, [each for each in ids if each not in beside]


def _link_keys(
    generator: random.Random, member: str, executor_ids: list[str]
) -> list[tuple[str, ...]]:
    kind = "answer" if generator.random() < 0.35 else "call"
    return [(kind, member, executor_id) for executor_id in executor_ids]


def _barrier(
    world: World, member: str, executor_ids: list[str]
) -> list[tuple[str, ...]]:
    """Return keys that keep the other instances from some executors."""
    return [
        ("call", other, executor_id)
        for other in world.cluster.instance_by_member
        if other != member
        for executor_id in executor_ids
    ]


def _unlist(world: World, generator: random.Random, executor_ids: list[str]) -> None:
    """Let the list drop executors that still run, for some seconds."""
    for executor_id in executor_ids:
        world.cluster.unlist_executor(executor_id)

    def list_again() -> None:
        for executor_id in executor_ids:
            if executor_id in world.cluster.executor_by_id:
                world.cluster.list_executor(world.cluster.executor_by_id[executor_id])

    world.hold(generator.uniform(1.0, 9.0), ("unlisted", ""))
    world.later(generator.uniform(2.0, 9.0), list_again)


FAULTS = {
    function.__name__: (function, weight)
    for function, weight in (
        (freeze, 4),
        (kill, 2),
        (restart, 4),
        (island, 5),
        (cut_executors, 2),
        (cut_from_store, 3),
        (late_starts, 2),
        (lose_answers, 2),
        (store_down, 1),
        (leave, 2),
        (drop_history, 0.5),
        (replace_owner, 6),
        (isolated_successor, 4),
        (restart_after_claim, 0),  # Drawn first only if a search asks for it.
        (isolated_after_split, 0),
        (restart_half, 0),
        (long_split, 0),
    )
}
