"""Executors that restart under their ids before the owner ends.

Calls to the former processes reach the next ones. A new owner does not reach
these, so it has to know for how long their runs may hold a lease. The random
decisions are of their own, so that the other faults of a seed stay the same.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterator

from soak import _cluster, _executors, _faults, _late_calls, _leaves

MAX_EXECUTORS = 3  # Half of them, so that there is room for their tasks.
DOWN_S = (0.05, 0.8)
MAX_STAGGER_S = 0.3  # Between the first and the last crash.
SECOND_CRASH_SHARE = 0.25
SECOND_CRASH_DELAY_S = (0.05, 1.5)
OWNER_DELAY_S = (0.1, 1.5)  # From the last restart to the owner's fault.
CUT_DELAY_S = (0.0, 1.0)  # From the owner's fault to the cut of the executors.
CUT_S = (6.0, 12.0)
OWNER_FAULT_S = (2.0, 8.0)  # Of an owner that goes on afterwards.
LATE_SHARE = 0.2  # Of all calls to these executors.
# Tasks of a job that lasts, so that runs lie on the restarted executors.
LASTING_TASKS = 12
LASTING_MILLICORES = 200
LATE_LEAD_S = 0.5  # From the first call that is late to the first crash.


async def restart_owner_killed(cluster: _cluster.Cluster) -> None:
    """Restart executors, kill the owner and cut these executors off."""
    await _restart_before(cluster, _kill_owner)


async def restart_owner_terminated(cluster: _cluster.Cluster) -> None:
    """Restart executors, stop the owner and cut these executors off."""
    await _restart_before(cluster, _terminate_owner)


async def restart_owner_frozen(cluster: _cluster.Cluster) -> None:
    """Restart executors, suspend the owner and cut these executors off."""
    await _restart_before(cluster, _freeze_owner)


async def restart_owner_cut(cluster: _cluster.Cluster) -> None:
    """Restart executors, then cut the owner and these executors off."""
    await _restart_before(cluster, _cut_owner_off)


ALL: tuple[_faults.Fault, ...] = (
    restart_owner_killed,
    restart_owner_terminated,
    restart_owner_frozen,
    restart_owner_cut,
)


async def _restart_before(
    cluster: _cluster.Cluster,
    owner_fault: Callable[[_cluster.Cluster], Awaitable[None]],
) -> None:
    choices = cluster.restart_choices
    running = [
        linked
        for linked in cluster.linked_executor_by_id.values()
        if not linked.is_leaving and not linked.is_restarting
    ]
    count = choices.randint(1, MAX_EXECUTORS)
    chosen = choices.sample(running, min(count, len(running)))
    late_share = choices.choice([0.0, LATE_SHARE])
    if not cluster.has_late_calls:
        late_share = 0.0
    owner_delay_s = choices.uniform(*OWNER_DELAY_S)
    cut_delay_s = choices.uniform(*CUT_DELAY_S)
    cut_s = choices.uniform(*CUT_S)
    for linked in chosen:
        for path in _late_calls.ORDER_PATHS:
            linked.late_calls.share_by_path[path] = late_share
    await asyncio.sleep(LATE_LEAD_S)
    await asyncio.gather(*[_restart(cluster, linked) for linked in chosen])
    async with asyncio.TaskGroup() as task_group:
        task_group.create_task(
            cluster.submit_lasting_job(LASTING_TASKS, cpu=LASTING_MILLICORES)
        )
        await asyncio.sleep(owner_delay_s)
        task_group.create_task(owner_fault(cluster))
        await asyncio.sleep(cut_delay_s)
        executor_ids = frozenset(linked.executor_id for linked in chosen)
        with _cut_off(cluster, executor_ids):
            await asyncio.sleep(cut_s)
    for linked in chosen:
        linked.late_calls.share_by_path.clear()


async def _restart(
    cluster: _cluster.Cluster, linked: _executors.LinkedExecutor
) -> None:
    """Restart an executor, sometimes twice."""
    choices = cluster.restart_choices
    delays_s = [choices.uniform(0.0, MAX_STAGGER_S)]
    if choices.random() < SECOND_CRASH_SHARE:
        delays_s.append(choices.uniform(*SECOND_CRASH_DELAY_S))
    for delay_s in delays_s:
        down_s = choices.uniform(*DOWN_S)
        await asyncio.sleep(delay_s)
        if linked.is_restarting:  # Another fault has ended it.
            return
        with linked.down():
            linked.link.cut()
            linked.crash()
            await asyncio.sleep(down_s)
            linked.publish()
        linked.link.restore()


@contextlib.contextmanager
def _cut_off(cluster: _cluster.Cluster, members: frozenset[str]) -> Iterator[None]:
    """Hold back what some members send and are sent."""
    with (
        cluster.network.cut(members, is_inward=False),
        cluster.network.cut(members, is_inward=True),
    ):
        yield


async def _kill_owner(cluster: _cluster.Cluster) -> None:
    instance = _leaves.reserve_owner(cluster)
    if instance is not None:
        instance.process.kill()
        await _faults.restart(cluster, instance, cluster.restart_choices)


async def _terminate_owner(cluster: _cluster.Cluster) -> None:
    instance = _leaves.reserve_owner(cluster)
    if instance is not None:
        await cluster.stop(instance)
        await _faults.restart(cluster, instance, cluster.restart_choices)


async def _freeze_owner(cluster: _cluster.Cluster) -> None:
    instance = _leaves.reserve_owner(cluster)
    if instance is not None:
        instance.process.pause()
        await asyncio.sleep(cluster.restart_choices.uniform(*OWNER_FAULT_S))
        instance.process.resume()
        instance.is_busy = False


async def _cut_owner_off(cluster: _cluster.Cluster) -> None:
    name = cluster.owners.newest()
    if name is not None:
        with _cut_off(cluster, frozenset([name])):
            await asyncio.sleep(cluster.restart_choices.uniform(*OWNER_FAULT_S))
