"""External faults of the soak test, one function for each kind.

The names of the functions appear in the outcome of a run.
"""

import asyncio
import contextlib
import random
import signal
from collections.abc import Awaitable, Callable

from tornado import httputil

from adapter import executors
from soak import _breaks, _cluster, _kept_requests
from standins import link

Fault = Callable[[_cluster.Cluster], Awaitable[None]]

# Longer than a lease and than the time-to-live of a member of a group.
MAX_FAULT_S = 6.0
MIN_FAULT_S = 0.3
# An instance tries for 2.1 s to store a job, and callers try again.
MAX_REFUSAL_S = 5.0
DELAY_MS = 120.0  # Thirty times the delay between two data centres.
POLL_INTERVAL_S = 0.01
EXECUTOR_RESTART_S = 0.5  # A real executor process cannot start faster.


async def kill(cluster: _cluster.Cluster) -> None:
    """Kill an instance; it restarts after 0.2 to 2 s."""
    instance = _reserve_instance(cluster)
    if instance is None:
        return
    instance.process.kill()
    await restart(cluster, instance, cluster.fault_choices)


async def terminate(cluster: _cluster.Cluster) -> None:
    """Stop an instance with SIGTERM; it restarts after 0.2 to 2 s.

    Callers keep connections to it open and use them until they are closed.
    """
    instance = _reserve_instance(cluster)
    if instance is None:
        return
    await _wait_for_signal_handlers(instance)
    async with _kept_requests.sending(
        instance.ip, cluster.kept_choices, cluster.findings, instance.name
    ):
        await cluster.stop(instance)
    await restart(cluster, instance, cluster.fault_choices)


async def pause(cluster: _cluster.Cluster) -> None:
    """Suspend an instance with SIGSTOP."""
    instance = _reserve_instance(cluster)
    if instance is None:
        return
    instance.process.pause()
    await hold(cluster.fault_choices)
    instance.process.resume()
    instance.is_busy = False


async def reload(cluster: _cluster.Cluster) -> None:
    """Make an instance reload its settings with SIGHUP."""
    instance = _reserve_instance(cluster)
    if instance is None:
        return
    await _wait_for_signal_handlers(instance)
    instance.process.popen.send_signal(signal.SIGHUP)
    instance.is_busy = False


async def kill_all(cluster: _cluster.Cluster) -> None:
    """Kill all instances at the same time."""
    instances = [
        instance
        for instance in cluster.instance_by_name.values()
        if instance.process is not None and not instance.is_busy
    ]
    for instance in instances:
        instance.is_busy = True
        instance.process.kill()
    await asyncio.gather(
        *[restart(cluster, instance, cluster.fault_choices) for instance in instances]
    )


async def store_link(cluster: _cluster.Cluster) -> None:
    """Disturb the link between an instance and the store."""
    await _disturb_link(cluster, _choose(cluster, cluster.instance_by_name).store_link)


async def caller_link(cluster: _cluster.Cluster) -> None:
    """Disturb the link between the callers and an instance."""
    await _disturb_link(cluster, _choose(cluster, cluster.instance_by_name).caller_link)


async def executor_link(cluster: _cluster.Cluster) -> None:
    """Disturb the link to an executor."""
    linked_executor = _choose(cluster, cluster.linked_executor_by_id)
    await _disturb_link(cluster, linked_executor.link)
    if linked_executor.is_restarting:
        linked_executor.link.cut()


async def store_down(cluster: _cluster.Cluster) -> None:
    """Make the store refuse all calls."""
    cluster.store.down = True
    await hold(cluster.fault_choices)
    cluster.store.down = False


async def store_writes(cluster: _cluster.Cluster) -> None:
    """Lose answers to appends, or apply appends seconds later."""
    faults = _choose(cluster, cluster.instance_by_name).client.faults
    faults.lost_answer_share = cluster.fault_choices.choice([0.0, 0.3])
    faults.delayed_share = 0.3 - faults.lost_answer_share
    await hold(cluster.fault_choices)
    faults.lost_answer_share = faults.delayed_share = 0.0


async def store_history(cluster: _cluster.Cluster) -> None:
    """Drop all but the newest record of each key from the store."""
    cluster.store.drop_history()


async def executor_life(cluster: _cluster.Cluster) -> None:
    """Crash an executor and restart it under the same id."""
    linked_executor = _choose(cluster, cluster.linked_executor_by_id)
    if linked_executor.is_restarting:
        return
    with linked_executor.down():
        linked_executor.link.cut()
        await asyncio.sleep(EXECUTOR_RESTART_S)
        linked_executor.restart()
    linked_executor.link.restore()


async def late_orders(cluster: _cluster.Cluster) -> None:
    """Apply orders at an executor seconds later, without an answer.

    Orders are requests to start a run, and in half of the cases also to stop
    one. If the executor restarts meanwhile, its next process carries them out.
    """
    linked_executor = _choose(cluster, cluster.linked_executor_by_id)
    share_by_path = linked_executor.late_calls.share_by_path
    share_by_path[executors.START_PATH] = 0.5
    share_by_path[executors.STOP_PATH] = cluster.cancel_choices.choice([0.0, 0.5])
    await hold(cluster.fault_choices)
    share_by_path.clear()


async def executor_joins(cluster: _cluster.Cluster) -> None:
    """Add an executor."""
    await cluster.add_executor(f"x{len(cluster.linked_executor_by_id)}")


async def configuration(cluster: _cluster.Cluster) -> None:
    """Write the next version of the configuration."""
    cluster.configure()


async def data_centre_one_way(cluster: _cluster.Cluster) -> None:
    """Hold back what a data centre sends, or what it is sent."""
    data_centre = cluster.cut_choices.choice(_cluster.DATA_CENTRES)
    await _cut_one_way(cluster, cluster.members_of(data_centre))


async def owner_one_way(cluster: _cluster.Cluster) -> None:
    """Hold back what the owner sends, or what it is sent."""
    owner = cluster.owners.newest()
    await _cut_one_way(cluster, frozenset([owner] if owner else []))


async def store_restart(cluster: _cluster.Cluster) -> None:
    """Break all connections after an append of a job, then refuse calls.

    The append is done and its answer lost; in half of the cases only some of
    the instances are concerned.
    """
    await _break_after_append(cluster, is_single=False)


async def store_hangs_up(cluster: _cluster.Cluster) -> None:
    """Close the connection of an append of a job, then refuse calls."""
    await _break_after_append(cluster, is_single=True)


# Injected beside the others, with random decisions of their own.
BREAKS: tuple[Fault, ...] = (store_restart, store_hangs_up)
CUTS: tuple[Fault, ...] = (data_centre_one_way, owner_one_way)

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


def _reserve_instance(cluster: _cluster.Cluster) -> _cluster.Instance | None:
    """Reserve a running instance for one fault; None if none is free."""
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


async def _wait_for_signal_handlers(instance: _cluster.Instance) -> None:
    """Wait until the program has installed its signal handlers, or ended.

    It handles SIGTERM last. It may have inherited SIGHUP as ignored, from
    ``nohup`` for example.
    """
    while instance.process.exit_status is None:
        if instance.process.handles_signal(signal.SIGTERM):
            return
        await asyncio.sleep(POLL_INTERVAL_S)


async def restart(
    cluster: _cluster.Cluster, instance: _cluster.Instance, choices: random.Random
) -> None:
    """Start the process of an instance again after 0.2 to 2 s."""
    instance.process = None
    await asyncio.sleep(choices.uniform(0.2, 2.0))
    cluster.start(instance)
    instance.is_busy = False


async def _disturb_link(cluster: _cluster.Cluster, disturbed: link.Link) -> None:
    disturbance = cluster.fault_choices.choice(
        ["pause", "mute", "cut", "reset", "delay"]
    )
    if disturbance == "pause":
        disturbed.is_paused = True
    elif disturbance == "mute":
        disturbed.is_return_paused = True
    elif disturbance == "delay":
        disturbed.delay_ms = DELAY_MS
    else:
        disturbed.cut()
    if disturbance != "reset":
        await hold(cluster.fault_choices)
    disturbed.restore()
    disturbed.delay_ms = 0.0


async def _cut_one_way(cluster: _cluster.Cluster, inside: frozenset[str]) -> None:
    is_inward = cluster.cut_choices.choice([False, True])
    with cluster.network.cut(inside, is_inward=is_inward):
        await hold(cluster.cut_choices)


async def _break_after_append(cluster: _cluster.Cluster, *, is_single: bool) -> None:
    """Break connections to the store after an append of a job.

    Args:
        cluster: Cluster to disturb.
        is_single: Whether only the connection of the append is closed;
            otherwise all those of the instances concerned are reset.
    """
    choices = cluster.break_choices
    names = list(cluster.instance_by_name)
    count = choices.choice([len(names), len(names), choices.randint(1, len(names))])
    instances = frozenset(choices.sample(names, count))
    status = choices.choice([503, 503, 429, None])  # None refuses connections.
    refused_s = choices.uniform(MIN_FAULT_S, MAX_REFUSAL_S)
    links = [cluster.instance_by_name[name].store_link for name in sorted(instances)]
    with contextlib.ExitStack() as stack:

        def break_connections(request: httputil.HTTPServerRequest) -> None:
            if status is not None:
                refusal = _breaks.Refusal(instances, status)
                stack.enter_context(cluster.gate.refusing(refusal))
            for each in links:
                if status is None:
                    each.refuse()
                if not is_single:
                    each.reset()
            request.connection.stream.close()

        if await cluster.gate.wait_for_append(
            instances, break_connections, timeout_s=MAX_FAULT_S
        ):
            await asyncio.sleep(refused_s)
        for each in links:
            await each.listen()


async def hold(choices: random.Random) -> None:
    """Wait as long as a fault lasts."""
    await asyncio.sleep(choices.uniform(MIN_FAULT_S, MAX_FAULT_S))


def _choose(cluster: _cluster.Cluster, value_by_name: dict) -> object:
    return cluster.fault_choices.choice(list(value_by_name.values()))
