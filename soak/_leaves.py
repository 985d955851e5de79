"""Faults of many executors at once, around faults of the owner.

The random decisions are of their own, so that the other faults of a seed stay
the same.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable

from soak import _cluster, _executors, _faults

MIN_SHARE, MAX_SHARE = 0.5, 0.8  # Of the executors; half of them is a quorum.
MAX_OWNER_OFFSET_S = 2.0  # Time of the owner's fault, before or after.
NOTICE_S = (1.0, 2.5)  # The users' platform gives 2 s.
MAX_STAGGER_S = 1.0  # Between the first and the last executor that leaves.
MAX_LISTED_S = 2.0  # How long the entry of an executor outlives it.
JOIN_S = (1.0, 4.0)  # The users' platform replaces executors after 4 s.
# Any task fits into an executor that has used no more.
FULL_MILLICORES = _executors.CAPACITY.cpu_millicores - _executors.MAX_TASK_MILLICORES

OwnerFault = Callable[[_cluster.Cluster], Awaitable[None]]


async def leave(cluster: _cluster.Cluster) -> None:
    """Make many executors leave for good; others join seconds later."""
    await _leave_around(cluster, None)


async def leave_owner_killed(cluster: _cluster.Cluster) -> None:
    """Make many executors leave and kill the owner."""
    await _leave_around(cluster, _kill_owner)


async def leave_owner_frozen(cluster: _cluster.Cluster) -> None:
    """Make many executors leave and suspend the owner."""
    await _leave_around(cluster, _freeze_owner)


async def leave_owner_cut(cluster: _cluster.Cluster) -> None:
    """Make many executors leave and cut the owner off from the store."""
    await _leave_around(cluster, _cut_owner_from_store)


async def reborn(cluster: _cluster.Cluster) -> None:
    """Crash many executors behind a cut; they restart under the same ids."""
    chosen = _choose_executors(cluster, keep=0)
    async with asyncio.TaskGroup() as task_group:
        for _slot, linked in chosen:
            task_group.create_task(_restart_behind_cut(cluster, linked))


ALL: tuple[_faults.Fault, ...] = (
    leave,
    leave_owner_killed,
    leave_owner_frozen,
    leave_owner_cut,
    reborn,
)


async def _leave_around(
    cluster: _cluster.Cluster, owner_fault: OwnerFault | None
) -> None:
    choices = cluster.leave_choices
    notice_s = choices.choice([0.0, choices.uniform(*NOTICE_S)])
    offset_s = choices.uniform(-MAX_OWNER_OFFSET_S, MAX_OWNER_OFFSET_S)
    # The offset counts from the end of the notice.
    owner_delay_s = notice_s + offset_s
    executor_delay_s = max(0.0, -owner_delay_s)
    async with asyncio.TaskGroup() as task_group:
        if owner_fault is not None:
            task_group.create_task(
                _delay(max(0.0, owner_delay_s), owner_fault(cluster))
            )
        for slot, linked in _choose_executors(cluster, keep=_needed(cluster)):
            linked.is_leaving = True
            leaving = _leave_and_replace(cluster, slot, linked, notice_s)
            task_group.create_task(_delay(executor_delay_s, leaving))


async def _delay(seconds: float, action: Awaitable[None]) -> None:
    await asyncio.sleep(seconds)
    await action


def _needed(cluster: _cluster.Cluster) -> int:
    """Return how many executors hold all lasting tasks, however they lie."""
    return max(1, math.ceil(cluster.lasting_millicores / FULL_MILLICORES))


def _choose_executors(
    cluster: _cluster.Cluster, *, keep: int
) -> list[tuple[str, _executors.LinkedExecutor]]:
    """Choose a share of the executors; ``keep`` of them are not chosen."""
    staying = [
        (slot, linked)
        for slot, linked in cluster.linked_executor_by_id.items()
        if not linked.is_leaving
    ]
    running = [(slot, linked) for slot, linked in staying if not linked.is_restarting]
    share = cluster.leave_choices.uniform(MIN_SHARE, MAX_SHARE)
    count = min(round(share * len(staying)), len(running), len(staying) - keep)
    return cluster.leave_choices.sample(running, max(0, count))


async def _leave_and_replace(
    cluster: _cluster.Cluster,
    slot: str,
    linked: _executors.LinkedExecutor,
    notice_s: float,
) -> None:
    choices = cluster.leave_choices
    stagger_s = choices.uniform(0.0, MAX_STAGGER_S)
    is_silent = choices.choice([False, True])
    listed_s = choices.uniform(0.0, MAX_LISTED_S)
    join_s = choices.uniform(*JOIN_S)
    if notice_s:
        linked.announce_departure(notice_s)
    await asyncio.sleep(notice_s + stagger_s)
    while linked.is_restarting:
        await asyncio.sleep(_faults.POLL_INTERVAL_S)
    linked.end(is_silent=is_silent)
    await asyncio.sleep(listed_s)
    linked.unlist()
    await asyncio.sleep(join_s)
    await cluster.replace_executor(slot)


async def _restart_behind_cut(
    cluster: _cluster.Cluster, linked: _executors.LinkedExecutor
) -> None:
    cut_s = cluster.leave_choices.uniform(_faults.MIN_FAULT_S, _faults.MAX_FAULT_S)
    crash_s = cluster.leave_choices.uniform(0.0, cut_s)
    with linked.down():
        linked.link.pause()
        await asyncio.sleep(crash_s)
        linked.crash()
        # The new process is not there at once, however short the cut is.
        await asyncio.sleep(max(cut_s - crash_s, _faults.EXECUTOR_RESTART_S))
        # What lies in the connections to the former process does not arrive.
        linked.link.cut()
        linked.publish()
    linked.link.restore()


async def _kill_owner(cluster: _cluster.Cluster) -> None:
    instance = reserve_owner(cluster)
    if instance is not None:
        instance.process.kill()
        await _faults.restart(cluster, instance, cluster.leave_choices)


async def _freeze_owner(cluster: _cluster.Cluster) -> None:
    instance = reserve_owner(cluster)
    if instance is not None:
        instance.process.pause()
        await _faults.hold(cluster.leave_choices)
        instance.process.resume()
        instance.is_busy = False


async def _cut_owner_from_store(cluster: _cluster.Cluster) -> None:
    name = cluster.owners.newest()
    if name is None:
        return
    store_link = cluster.instance_by_name[name].store_link
    if cluster.leave_choices.choice([False, True]):
        store_link.pause()
    else:
        store_link.cut()
    await _faults.hold(cluster.leave_choices)
    store_link.restore()


def reserve_owner(cluster: _cluster.Cluster) -> _cluster.Instance | None:
    """Reserve the owner for one fault; None if another one controls it."""
    name = cluster.owners.newest()
    if name is None:
        return None
    instance = cluster.instance_by_name[name]
    if instance.process is None or instance.is_busy:
        return None
    instance.is_busy = True
    return instance
