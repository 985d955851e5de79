"""One run: callers and faults at the same time, then what must hold."""

import asyncio
import dataclasses

from soak import _callers, _faults, _world

INSTANCES = 5
EXECUTORS = 6
PER_S = 4.0  # Jobs; they take about half of the executors' processors.
QUIET_S = 2.0  # Until the first fault.
SERIES_EVERY_S = 2.5  # Mean time between two series of faults.
MOST_IN_SERIES = 4
SETTLE_S = 30.0  # Recovery takes up to 12 s, an executor's silence 6 s more.


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
    opened = _world.opened(seed, instances=INSTANCES, executors_=EXECUTORS)
    async with opened as world:
        callers = _callers.Callers(world)
        played: list[str] = []
        async with asyncio.TaskGroup() as running:
            running.create_task(callers.run(seconds, per_s=PER_S))
            running.create_task(callers.watch(seconds))
            running.create_task(_inject(world, seconds, played))
        await callers.settle(limit_s=SETTLE_S)
        _judge(world, callers)
        await asyncio.gather(
            *[world.stop(instance) for instance in world.instance_by_name.values()]
        )
        jobs = callers.job_by_id.values()
        return Outcome(
            seed,
            played,
            len(jobs),
            sum(job.accepted for job in jobs),
            sum(not job.accepted and not job.unknown for job in jobs),
            world.breaches.starts,
            world.breaches.found + world.findings,
        )


async def _inject(world: _world.World, seconds: float, played: list[str]) -> None:
    """Play series of faults that overlap; return when all have ended."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    await asyncio.sleep(QUIET_S)
    async with asyncio.TaskGroup() as running:
        while loop.time() - began < seconds:
            fault = world.fault_choices.choice(_faults.ALL)
            running.create_task(_series(world, fault, began, played))
            await asyncio.sleep(world.fault_choices.expovariate(1 / SERIES_EVERY_S))


async def _series(
    world: _world.World, fault: _faults.Fault, began: float, played: list[str]
) -> None:
    for _ in range(world.fault_choices.randint(1, MOST_IN_SERIES)):
        at = asyncio.get_running_loop().time() - began
        played.append(f"{fault.__name__} at {at:.1f} s")
        await fault(world)
        await asyncio.sleep(world.fault_choices.uniform(0.0, 2.0))


def _judge(world: _world.World, callers: _callers.Callers) -> None:
    """Note what does not stand as it must after the calm."""
    for job in callers.job_by_id.values():
        if not job.accepted and not job.unknown:
            if job.job_id in world.breaches.started_jobs:
                world.findings.append(f"job {job.job_id} was refused and has run")
        elif job.final not in (None, "completed", "cancelled", "lost"):
            world.findings.append(f"job {job.job_id} ended as {job.final}")
        elif job.final == "cancelled" and not job.cancel_asked:
            world.findings.append(f"job {job.job_id} ended as cancelled by itself")
        elif callers.is_open(job):
            world.findings.append(
                f"job {job.job_id} does not end: {callers.running(job)} of "
                f"{job.tasks} tasks run, lasting {job.is_lasting}, cancelled "
                f"{job.cancelled}"
            )
