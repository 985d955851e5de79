"""Faults that are injected from outside, one function for each kind."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from soak import _cluster
from standins import link

Fault = Callable[[_cluster.Cluster], Awaitable[None]]

MAX_FAULT_S = 6.0  # Longer than a lease and than the store forgives a member.
DELAY_MS = 120.0  # Thirty times the way between two data centres.
POLL_INTERVAL_S = 0.01
EXECUTOR_RESTART_S = 0.5  # A process of an executor can not start in less.


async def kill(cluster: _cluster.Cluster) -> None:
    """Kill an instance; it starts again soon."""
    instance = _claim(cluster)
    if instance is None:
        return
    instance.process.kill()
    await _restart(cluster, instance)


async def terminate(cluster: _cluster.Cluster) -> None:
    """Stop an instance as planned; it starts again soon."""
    instance = _claim(cluster)
    if instance is None:
        return
    await _started(instance)
    await cluster.stop(instance)
    await _restart(cluster, instance)


async def pause(cluster: _cluster.Cluster) -> None:
    """Let an instance stand still without its knowledge."""
    instance = _claim(cluster)
    if instance is None:
        return
    instance.process.pause()
    await _while(cluster)
    instance.process.resume()
    instance.is_busy = False


async def reload(cluster: _cluster.Cluster) -> None:
    """Tell an instance that its settings have changed."""
    instance = _claim(cluster)
    if instance is None:
        return
    await _started(instance)
    instance.process.popen.send_signal(signal.SIGHUP)
    instance.is_busy = False


async def kill_all(cluster: _cluster.Cluster) -> None:
    """Kill every instance at the same moment."""
    claimed = [
        instance
        for instance in cluster.instance_by_name.values()
        if instance.process is not None and not instance.is_busy
    ]
    for instance in claimed:
        instance.is_busy = True
        instance.process.kill()
    await asyncio.gather(*[_restart(cluster, instance) for instance in claimed])


async def store_link(cluster: _cluster.Cluster) -> None:
    """Disturb the connections of an instance to the store."""
    await _disturb(cluster, _any(cluster, cluster.instance_by_name).store_link)


async def caller_link(cluster: _cluster.Cluster) -> None:
    """Disturb the connections of the callers to an instance."""
    await _disturb(cluster, _any(cluster, cluster.instance_by_name).caller_link)


async def executor_link(cluster: _cluster.Cluster) -> None:
    """Disturb the connections to an executor."""
    await _disturb(cluster, _any(cluster, cluster.linked_executor_by_id).link)


async def store_down(cluster: _cluster.Cluster) -> None:
    """Let the store refuse everything."""
    cluster.store.down = True
    await _while(cluster)
    cluster.store.down = False


async def store_writes(cluster: _cluster.Cluster) -> None:
    """Lose answers of writes, or carry writes out seconds later."""
    faults = _any(cluster, cluster.instance_by_name).client.faults
    faults.lost_answer_share = cluster.fault_choices.choice([0.0, 0.3])
    faults.delayed_share = 0.3 - faults.lost_answer_share
    await _while(cluster)
    faults.lost_answer_share = faults.delayed_share = 0.0


async def store_history(cluster: _cluster.Cluster) -> None:
    """Let the store forget all but the newest record of each key."""
    cluster.store.drop_history()


async def executor_life(cluster: _cluster.Cluster) -> None:
    """Let an executor crash and start anew under its id."""
    linked = _any(cluster, cluster.linked_executor_by_id)
    linked.link.cut()
    await asyncio.sleep(EXECUTOR_RESTART_S)
    cluster.restart_executor(linked)
    linked.link.restore()


async def late_orders(cluster: _cluster.Cluster) -> None:
    """Carry out starts at an executor seconds later, without an answer."""
    executor = _any(cluster, cluster.linked_executor_by_id).executor
    executor.delayed_share = 0.5
    await _while(cluster)
    executor.delayed_share = 0.0


async def executor_joins(cluster: _cluster.Cluster) -> None:
    """Add an executor."""
    await cluster.add_executor(f"x{len(cluster.linked_executor_by_id)}")


async def configuration(cluster: _cluster.Cluster) -> None:
    """Write a further version of the configuration."""
    cluster.configure()


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


def _claim(cluster: _cluster.Cluster) -> _cluster.Instance | None:
    """Return an instance for this fault alone; None if all are taken."""
    free = [
        instance
        for instance in cluster.instance_by_name.values()
        if instance.process is not None and not instance.is_busy
    ]
    if not free:
        return None
    instance = cluster.fault_choices.choice(free)
    instance.is_busy = True
    return instance


async def _started(instance: _cluster.Instance) -> None:
    """Wait until the program handles its signals."""
    while instance.process.exit_status is None:
        if instance.process.handles_signal(signal.SIGHUP):
            return
        await asyncio.sleep(POLL_INTERVAL_S)


async def _restart(cluster: _cluster.Cluster, instance: _cluster.Instance) -> None:
    instance.process = None
    await asyncio.sleep(cluster.fault_choices.uniform(0.2, 2.0))
    cluster.start(instance)
    instance.is_busy = False


async def _disturb(cluster: _cluster.Cluster, between: link.Link) -> None:
    how = cluster.fault_choices.choice(["pause", "mute", "cut", "reset", "delay"])
    if how == "pause":
        between.is_paused = True
    elif how == "mute":
        between.is_return_paused = True
    elif how == "delay":
        between.delay_ms = DELAY_MS
    else:
        between.cut()
    if how != "reset":
        await _while(cluster)
    between.restore()
    between.delay_ms = 0.0


async def _while(cluster: _cluster.Cluster) -> None:
    await asyncio.sleep(cluster.fault_choices.uniform(0.3, MAX_FAULT_S))


def _any(cluster: _cluster.Cluster, value_by_name: dict) -> object:
    return cluster.fault_choices.choice(list(value_by_name.values()))
