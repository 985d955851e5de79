"""One run: callers and faults at the same time, then what must hold."""

import asyncio
import dataclasses

from soak import _callers, _cluster, _faults

INSTANCES = 5
EXECUTORS = 6
JOBS_PER_S = 4.0  # Jobs; they take about half of the executors' processors.
FAULT_FREE_START_S = 2.0  # Until the first fault.
MEAN_SERIES_INTERVAL_S = 2.5  # Mean time between two series of faults.
MAX_FAULTS_IN_SERIES = 4
SETTLE_TIMEOUT_S = 30.0  # Recovery takes up to 12 s, an executor's silence 6 s more.


@dataclasses.dataclass(slots=True)
class Outcome:
    """What one run showed.

    Args:
        seed: Its seed.
        faults: Kind and second of each fault.
        jobs: Jobs that were handed in.
        accepted: Those that were acknowledged.
        refused: Those that were never handed in with success, for certain.
        starts: Tasks that executors started.
        findings: Broken promises; empty if all hold.
    """

    seed: int
    faults: list[str]
    jobs: int
    accepted: int
    refused: int
    starts: int
    findings: list[str]


async def run(seed: int, *, seconds: float) -> Outcome:
    """Play one seed.

    Args:
        seed: Seed of jobs and faults.
        seconds: How long jobs are handed in and faults are injected.
    """
    opened = _cluster.open_cluster(
        seed, instance_count=INSTANCES, executor_count=EXECUTORS
    )
    async with opened as cluster:
        callers = _callers.Callers(cluster)
        played: list[str] = []
        async with asyncio.TaskGroup() as running:
            running.create_task(callers.run(seconds, per_s=JOBS_PER_S))
            running.create_task(callers.poll_jobs(seconds))
            running.create_task(_inject(cluster, seconds, played))
        await callers.wait_until_settled(limit_s=SETTLE_TIMEOUT_S)
        _judge(cluster, callers)
        await asyncio.gather(
            *[cluster.stop(instance) for instance in cluster.instance_by_name.values()]
        )
        jobs = callers.job_by_id.values()
        return Outcome(
            seed,
            played,
            len(jobs),
            sum(job.accepted for job in jobs),
            sum(not job.accepted and not job.outcome_unknown for job in jobs),
            cluster.breaches.starts,
            cluster.breaches.found + cluster.findings,
        )


async def _inject(cluster: _cluster.Cluster, seconds: float, played: list[str]) -> None:
    """Play series of faults that overlap; return when all have ended."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    await asyncio.sleep(FAULT_FREE_START_S)
    async with asyncio.TaskGroup() as running:
        while loop.time() - began < seconds:
            fault = cluster.fault_choices.choice(_faults.ALL)
            running.create_task(_series(cluster, fault, began, played))
            await asyncio.sleep(
                cluster.fault_choices.expovariate(1 / MEAN_SERIES_INTERVAL_S)
            )


async def _series(
    cluster: _cluster.Cluster, fault: _faults.Fault, began: float, played: list[str]
) -> None:
    for _ in range(cluster.fault_choices.randint(1, MAX_FAULTS_IN_SERIES)):
        at = asyncio.get_running_loop().time() - began
        played.append(f"{fault.__name__} at {at:.1f} s")
        await fault(cluster)
        await asyncio.sleep(cluster.fault_choices.uniform(0.0, 2.0))


def _judge(cluster: _cluster.Cluster, callers: _callers.Callers) -> None:
    """Note what does not stand as it must after the calm."""
    for job in callers.job_by_id.values():
        if not job.accepted and not job.outcome_unknown:
            if job.job_id in cluster.breaches.started_jobs:
                cluster.findings.append(f"job {job.job_id} was refused and has run")
        elif job.final_state not in (None, "completed", "cancelled", "lost"):
            cluster.findings.append(f"job {job.job_id} ended as {job.final_state}")
        elif job.final_state == "cancelled" and not job.cancel_requested:
            cluster.findings.append(f"job {job.job_id} ended as cancelled by itself")
        elif callers.is_unsettled(job):
            cluster.findings.append(
                f"job {job.job_id} does not end: {callers.running_tasks(job)} of "
                f"{job.tasks} tasks run, lasting {job.is_long_running}, cancelled "
                f"{job.cancelled}"
            )
