"""Watches from outside which tasks run, and should not, and the reverse."""

import asyncio
import math

from emulator import deployment
from soak import _callers, _cluster, _lasting
from standins import cancelled_runs

INTERVAL_S = 0.1  # A thirtieth of the shortest time that the rule names.
# Silence after which an owner extends the leases of an executor no longer. If
# the soak stands still for so long, the store and all executors are silent.
MAX_GAP_S = 1.0


async def watch(
    cluster: _cluster.Cluster,
    callers: _callers.Callers,
    checker: _lasting.Checker,
    notes: list[str],
) -> None:
    """Check lasting tasks and runs of cancelled jobs until cancelled.

    Args:
        cluster: Cluster that runs them.
        callers: Callers that have submitted them.
        checker: Receives what is seen.
        notes: Receives each time for which the soak itself stood still.
    """
    loop = asyncio.get_running_loop()
    started_at = observed_at = loop.time()
    cancelled = cancelled_runs.CancelledRuns(
        cluster.breaches, max_stop_s=deployment.MAX_STOP_S
    )
    while True:
        now = loop.time()
        if now - observed_at > MAX_GAP_S:
            cluster.disturbances.begin()
            cluster.disturbances.end(now)
            notes.append(
                f"soak stood still for {now - observed_at:.1f} s "
                f"until {now - started_at:.1f} s"
            )
        observed_at = now
        checker.observe(now, waiting_tasks(cluster, callers))
        calm_s = cluster.disturbances.calm_s(now)
        calm_since = now - calm_s if calm_s else math.inf
        cancelled.look(
            [each.executor for each in cluster.linked_executor_by_id.values()],
            now,
            undisturbed_since=calm_since,
            steady_since=calm_since,
        )
        await asyncio.sleep(INTERVAL_S)


def waiting_tasks(
    cluster: _cluster.Cluster, callers: _callers.Callers
) -> list[_lasting.WaitingTask]:
    """Return the lasting tasks of accepted jobs that do not run.

    A job whose cancellation was requested may or may not run.
    """
    breaches = cluster.breaches
    for advance in breaches.advance_by_executor.values():
        advance()
    waiting = []
    for job in callers.job_by_id.values():
        if not job.is_long_running or not job.accepted or job.cancel_requested:
            continue
        has_room = any(
            linked.has_room(cluster.size_by_spec[job.job_id][0])
            for linked in cluster.linked_executor_by_id.values()
        )
        for index in range(job.tasks):
            name = f"{job.job_id}.0.0.{index}"
            if not breaches.executors_by_task.get(name):
                ended_at = breaches.ended_at_by_task.get(name, job.accepted_at)
                since = max(ended_at, job.accepted_at)
                waiting.append(_lasting.WaitingTask(name, since, has_room))
    return waiting
