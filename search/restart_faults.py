"""Restarts of executors soon before their owner ends, for ``restart_draws``.

A fault is told the member and the executor of the event that it follows, as in
``overlapping_faults``.
"""

import random

from search import fault_world, former_calls

World = fault_world.World


def restart_and_end_owner(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """Restart executors, end their owner, and cut these executors off.

    Calls are late before and often after the restart. Some executors restart
    a second time.
    """
    chosen = _pick_executors(world, generator, executor)
    restart_at = generator.choice(
        [0.0, generator.uniform(0.0, 0.4), generator.uniform(0.4, 2.0)]
    )
    _delay_calls(world, generator, chosen, restart_at)
    for executor_id in chosen:
        _restart_later(world, generator, executor_id, restart_at)
    end_at = restart_at + generator.choice(
        [generator.uniform(0.05, 0.9), generator.uniform(0.5, 3.0)]
    )
    world.later(end_at, lambda: _end_owner(world, generator))
    if generator.random() < 0.85:
        cut_at = max(restart_at, end_at + generator.uniform(-0.3, 1.2))
        keys = [("executor", each) for each in chosen]
        world.later(cut_at, lambda: world.hold(generator.uniform(5.0, 12.0), *keys))


def end_owner_at_restart(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """End an owner as it notices a restart, and cut the executor off."""
    chosen = _pick_executors(world, generator, executor)
    restart_at = generator.choice([0.0, generator.uniform(0.0, 1.5)])
    _delay_calls(world, generator, chosen, restart_at)
    for executor_id in chosen:
        _restart_later(world, generator, executor_id, restart_at)
    delay_s = generator.choice(
        [0.0, generator.uniform(0.0, 0.03), generator.uniform(0.0, 1.5)]
    )
    cut_after_s = generator.uniform(0.0, 0.6)

    def react(owner: str, restarted: str) -> bool:
        if restarted not in chosen:
            return False

        def act() -> None:
            _end_owner(world, generator, owner)
            keys = [("executor", each) for each in chosen]
            world.later(
                cut_after_s, lambda: world.hold(generator.uniform(5.0, 12.0), *keys)
            )

        world.later(delay_s, act)
        return True

    world.watch("EXECUTOR_REPLACED", react)


def restart_at_late_start(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """Restart an executor while starts there are late, and cut it off.

    It is cut off about when its owner notices the restart, mostly before it
    rejects late calls. Its owner ends soon afterwards.
    """
    ids = list(world.cluster.executor_by_id)
    chosen = executor if executor in ids else generator.choice(ids)
    late_s = generator.uniform(0.3, 1.5)
    world.hold(late_s, (former_calls.LATE_CALLS, chosen))
    _restart_later(world, generator, chosen, generator.uniform(0.0, 0.6))
    cut_after_s = generator.choice([0.0, generator.uniform(0.0, 0.03), 0.3])
    end_after_s = cut_after_s + generator.uniform(0.05, 1.0)

    def react(owner: str, restarted: str) -> bool:
        if restarted != chosen:
            return False
        seconds = generator.uniform(9.0, 16.0)
        world.later(cut_after_s, lambda: world.hold(seconds, ("executor", chosen)))
        world.later(end_after_s, lambda: _end_owner(world, generator, owner))
        return True

    world.watch("EXECUTOR_REPLACED", react)


def late_calls(
    world: World, generator: random.Random, member: str, executor: str
) -> None:
    """Let a part of all calls to some executors be carried out late."""
    chosen = _pick_executors(world, generator, executor)
    _hold_late(world, generator, chosen, generator.uniform(0.5, 4.0))


def _pick_executors(world: World, generator: random.Random, executor: str) -> list[str]:
    """Return one to half of the executors, often with that of the event."""
    ids = list(world.cluster.executor_by_id)
    chosen = generator.sample(ids, generator.randint(1, max(1, len(ids) // 2)))
    if executor in ids and executor not in chosen and generator.random() < 0.6:
        chosen[0] = executor
    return chosen


def _delay_calls(
    world: World, generator: random.Random, chosen: list[str], seconds: float
) -> None:
    """Let calls be late from now on, mostly beyond a restart."""
    if generator.random() < 0.8:
        extra_s = generator.choice([0.02, generator.uniform(0.0, 3.0)])
        _hold_late(world, generator, chosen, seconds + extra_s)


def _hold_late(
    world: World, generator: random.Random, chosen: list[str], seconds: float
) -> None:
    kinds = [former_calls.LATE_CALLS]
    if generator.random() < 0.3:
        kinds += ["late starts", "late stops"]
    world.hold(seconds, *[(kind, each) for kind in kinds for each in chosen])


def _restart_later(
    world: World, generator: random.Random, executor_id: str, at: float
) -> None:
    down_s = generator.uniform(0.05, 0.8)

    def act() -> None:
        if executor_id in world.cluster.executor_by_id:
            world.restart(executor_id, down_s=down_s)

    world.later(at, act)
    if generator.random() < 0.25:
        world.later(at + down_s + generator.uniform(0.02, 3.0), act)


def _end_owner(world: World, generator: random.Random, member: str = "") -> None:
    """Kill or stop an owner, freeze it, or cut it off from all others."""
    owners = world.owners()
    if member not in owners:
        if not owners:
            return
        member = owners[-1]
    seconds = generator.uniform(2.5, 12.0)
    kind = generator.choice(["kill", "kill", "stop", "freeze", "cut off", "store"])
    if kind == "kill":
        world.kill(member)
    elif kind == "stop":
        world.stop(member)
    elif kind == "freeze":
        world.hold(seconds, ("frozen", member))
    elif kind == "store":
        world.hold(seconds, ("store", member), ("peers", member))
    else:
        calls = [("call", member, each) for each in world.cluster.executor_by_id]
        world.hold(seconds, ("store", member), ("peers", member), *calls)


FAULTS = {
    function.__name__: (function, weight)
    for function, weight in (
        (restart_and_end_owner, 6),
        (end_owner_at_restart, 3),
        (late_calls, 1),
        (restart_at_late_start, 0),  # Drawn by ``draw_long_running`` only.
    )
}
