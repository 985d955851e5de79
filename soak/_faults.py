"""Faults that are injected from outside, one function for each kind."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from soak import _world
from standins import link

Fault = Callable[[_world.World], Awaitable[None]]

LONGEST_S = 6.0  # Longer than a lease and than the store forgives a member.
DELAY_MS = 120.0  # Thirty times the way between two data centres.
POLL_S = 0.01
RESTART_S = 0.5  # A process of an executor can not start in less.


async def kill(world: _world.World) -> None:
    """Kill an instance; it starts again soon."""
    instance = _claim(world)
    if instance is None:
        return
    instance.process.kill()
    await _restart(world, instance)


async def terminate(world: _world.World) -> None:
    """Stop an instance as planned; it starts again soon."""
    instance = _claim(world)
    if instance is None:
        return
    await _started(instance)
    await world.stop(instance)
    await _restart(world, instance)


async def pause(world: _world.World) -> None:
    """Let an instance stand still without its knowledge."""
    instance = _claim(world)
    if instance is None:
        return
    instance.process.pause()
    await _while(world)
    instance.process.resume()
    instance.is_busy = False


async def reload(world: _world.World) -> None:
    """Tell an instance that its settings have changed."""
    instance = _claim(world)
    if instance is None:
        return
    await _started(instance)
    instance.process.popen.send_signal(signal.SIGHUP)
    instance.is_busy = False


async def kill_all(world: _world.World) -> None:
    """Kill every instance at the same moment."""
    claimed = [
        instance
        for instance in world.instance_by_name.values()
        if instance.process is not None and not instance.is_busy
    ]
    for instance in claimed:
        instance.is_busy = True
        instance.process.kill()
    await asyncio.gather(*[_restart(world, instance) for instance in claimed])


async def store_link(world: _world.World) -> None:
    """Disturb the connections of an instance to the store."""
    await _disturb(world, _any(world, world.instance_by_name).store_link)


async def caller_link(world: _world.World) -> None:
    """Disturb the connections of the callers to an instance."""
    await _disturb(world, _any(world, world.instance_by_name).caller_link)


async def executor_link(world: _world.World) -> None:
    """Disturb the connections to an executor."""
    await _disturb(world, _any(world, world.machine_by_id).link)


async def store_down(world: _world.World) -> None:
    """Let the store refuse everything."""
    world.core.down = True
    await _while(world)
    world.core.down = False


async def store_writes(world: _world.World) -> None:
    """Lose answers of writes, or carry writes out seconds later."""
    faults = _any(world, world.instance_by_name).client.faults
    faults.lose_share = world.fault_choices.choice([0.0, 0.3])
    faults.late_share = 0.3 - faults.lose_share
    await _while(world)
    faults.lose_share = faults.late_share = 0.0


async def store_history(world: _world.World) -> None:
    """Let the store forget all but the newest record of each key."""
    world.core.forget_history()


async def executor_life(world: _world.World) -> None:
    """Let an executor crash and start anew under its id."""
    machine = _any(world, world.machine_by_id)
    machine.link.cut()
    await asyncio.sleep(RESTART_S)
    world.restart_executor(machine)
    machine.link.restore()


async def late_orders(world: _world.World) -> None:
    """Carry out starts at an executor seconds later, without an answer."""
    executor = _any(world, world.machine_by_id).executor
    executor.late_share = 0.5
    await _while(world)
    executor.late_share = 0.0


async def executor_joins(world: _world.World) -> None:
    """Add an executor."""
    await world.add_executor(f"x{len(world.machine_by_id)}")


async def configuration(world: _world.World) -> None:
    """Write a further version of the configuration."""
    world.configure()


ALL: tuple[Fault, ...] = (
    kill,
    terminate,
    pause,
    reload,
    kill_all,
    store_link,
    caller_link,
    executor_link,
    store_down,
    store_writes,
    store_history,
    executor_life,
    late_orders,
    executor_joins,
    configuration,
)


def _claim(world: _world.World) -> _world.Instance | None:
    """Return an instance for this fault alone; None if all are taken."""
    free = [
        instance
        for instance in world.instance_by_name.values()
        if instance.process is not None and not instance.is_busy
    ]
    if not free:
        return None
    instance = world.fault_choices.choice(free)
    instance.is_busy = True
    return instance


async def _started(instance: _world.Instance) -> None:
    """Wait until the program handles its signals."""
    while instance.process.exit_status is None:
        if instance.process.handles(signal.SIGHUP):
            return
        await asyncio.sleep(POLL_S)


async def _restart(world: _world.World, instance: _world.Instance) -> None:
    instance.process = None
    await asyncio.sleep(world.fault_choices.uniform(0.2, 2.0))
    world.start(instance)
    instance.is_busy = False


async def _disturb(world: _world.World, between: link.Link) -> None:
    how = world.fault_choices.choice(["pause", "mute", "cut", "reset", "delay"])
    if how == "pause":
        between.is_paused = True
    elif how == "mute":
        between.is_mute = True
    elif how == "delay":
        between.delay_ms = DELAY_MS
    else:
        between.cut()
    if how != "reset":
        await _while(world)
    between.restore()
    between.delay_ms = 0.0


async def _while(world: _world.World) -> None:
    await asyncio.sleep(world.fault_choices.uniform(0.3, LONGEST_S))


def _any(world: _world.World, value_by_name: dict) -> object:
    return world.fault_choices.choice(list(value_by_name.values()))
