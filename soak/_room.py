"""Notes which processors lasting and other tasks have, while a run goes on."""

import asyncio
import dataclasses

from soak import _callers, _cluster, _executors

NOTE_INTERVAL_S = 5.0


@dataclasses.dataclass(slots=True)
class Room:
    """Millicores of the executors that are up and stay.

    Args:
        capacity: What they have.
        lasting: What runs of lasting tasks reserve there.
        others: What all other runs reserve there.
        wanted: What all lasting tasks of accepted jobs need of which nobody
            asked to cancel the job.
    """

    capacity: int
    lasting: int
    others: int
    wanted: int

    def __str__(self) -> str:
        return (
            f"of {self.capacity} millicores lasting tasks reserve {self.lasting}, "
            f"others {self.others}; all lasting tasks need {self.wanted}"
        )


def measure(cluster: _cluster.Cluster, callers: _callers.Callers) -> Room:
    """Advance all executors and add up what is reserved on them."""
    for advance in cluster.breaches.advance_by_executor.values():
        advance()
    lasting_ids = {
        job.job_id for job in callers.job_by_id.values() if job.is_long_running
    }
    room = Room(0, 0, 0, wanted_millicores(cluster, callers))
    for linked in cluster.linked_executor_by_id.values():
        if linked.is_leaving or linked.is_restarting:
            continue
        room.capacity += _executors.CAPACITY.cpu_millicores
        for name, run in linked.executor.run_by_task.items():
            if name.partition(".")[0] in lasting_ids:
                room.lasting += run.cpu
            else:
                room.others += run.cpu
    return room


def wanted_millicores(cluster: _cluster.Cluster, callers: _callers.Callers) -> int:
    """Return what the lasting tasks need that are to run now."""
    return sum(
        cluster.size_by_spec[job.job_id][0] * job.tasks
        for job in callers.job_by_id.values()
        if job.is_long_running and job.accepted and not job.cancel_requested
    )


async def note(
    cluster: _cluster.Cluster, callers: _callers.Callers, notes: list[str]
) -> None:
    """Add a line to ``notes`` every few seconds until cancelled."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while True:
        elapsed_s = loop.time() - started_at
        notes.append(f"{elapsed_s:.0f} s: {measure(cluster, callers)}")
        await asyncio.sleep(NOTE_INTERVAL_S)
