"""Runs one seed of the soak test.

Callers submit jobs while faults are injected; afterwards the final states are
checked.
"""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable

from soak import (
    _callers,
    _cluster,
    _executors,
    _faults,
    _key_probes,
    _lasting,
    _leaves,
    _restarts,
    _room,
    _sizes,
    _stalls,
    _watch,
)

INSTANCES = 5
EXECUTORS = 6
# The jobs that do not last use 0.4 of the executors' processors.
JOBS_PER_S = 4.0
FAULT_FREE_START_S = 2.0
MEAN_SERIES_INTERVAL_S = 2.5  # Between the starts of two series of faults.
MEAN_CUT_INTERVAL_S = 12.0  # The same for cuts.
MEAN_LEAVE_INTERVAL_S = 8.0  # The same for many executors at once.
MEAN_RESTART_INTERVAL_S = 8.0  # The same for restarts before the owner ends.
MEAN_BREAK_INTERVAL_S = 12.0  # The same for broken connections to the store.
MAX_FAULTS_IN_SERIES = 4
MAX_LEASES_MS = (6000, 10_000, 10_000)  # Longest leases, as on the users' deployments.
# The longest lease may end a run without disturbance; the rule for lasting
# tasks holds from 6 s later, for waits of 3 s.
CALM_AFTER_LEASE_S = 9.0
# From the last fault on; 7 s are left to see whether the runs end.
MAX_CANCEL_DELAY_S = 8.0
# Recovery takes up to 12 s; the silence of an executor adds 6 s. Times for
# which the process of the soak stands still do not count.
SETTLE_TIMEOUT_S = 30.0

# A job of an invalid key that was stored would have been started by then.
SETTLE_AFTER_PROBES_S = 3.0

# Injects one kind of fault into a cluster for seconds, and notes each fault.
Injector = Callable[[_cluster.Cluster, float, list[str]], Awaitable[None]]


@dataclasses.dataclass(slots=True)
class Outcome:
    """Result of one run.

    Args:
        seed: Seed of the run.
        faults: Kind and time of each injected fault, and times for which the
            soak itself stood still.
        jobs: Number of jobs that callers tried to submit.
        accepted: Number of jobs whose submission was acknowledged.
        refused: Number of jobs whose every answer was a refusal.
        starts: Number of runs that executors started.
        room: What the executors had and what was reserved there, every few
            seconds and at the end.
        findings: Violated guarantees; empty if all hold.
        organisations: What was seen of organisations, if there are any.
    """

    seed: int
    faults: list[str]
    jobs: int
    accepted: int
    refused: int
    starts: int
    room: list[str]
    findings: list[str]
    organisations: list[str] = dataclasses.field(default_factory=list)


async def run(
    seed: int,
    *,
    seconds: float,
    cuts: bool = True,
    leaves: bool = True,
    breaks: bool = True,
    restarts: bool = True,
    late_calls: bool = True,
    instances: int = INSTANCES,
    executors: int = EXECUTORS,
    organisations: bool = False,
) -> Outcome:
    """Run one seed and return its result.

    Args:
        seed: Seed of jobs and faults.
        seconds: How long jobs are submitted and faults are injected.
        cuts: Whether connections are also cut in one direction.
        leaves: Whether many executors also leave or restart at once.
        breaks: Whether connections to the store also break after it has
            stored a job, and callers give up after fewer refusals.
        restarts: Whether executors also restart before the owner ends.
        late_calls: Whether some calls to these executors are carried out
            seconds late.
        instances: Number of instances.
        executors: Number of executors at the start.
        organisations: Whether organisations with keys and limits share the
            cluster.
    """
    injectors = [_inject]
    for injector, is_chosen in (
        (_inject_cuts, cuts),
        (_inject_leaves, leaves),
        (_inject_breaks, breaks),
        (_inject_restarts, restarts),
    ):
        if is_chosen:
            injectors.append(injector)
    lease_choices = random.Random(f"leases {seed}")
    max_lease_ms = lease_choices.choice(MAX_LEASES_MS if restarts else [6000])
    opened = _cluster.open_cluster(
        seed,
        instance_count=instances,
        executor_count=executors,
        max_lease_ms=max_lease_ms,
        is_shared=organisations,
    )
    async with opened as cluster, _stalls.watch() as stall_watch:
        cluster.is_patient = not breaks
        cluster.has_late_calls = late_calls
        callers = _callers.Callers(cluster, cluster.organisations)
        cluster.submit_lasting_job = callers.submit_lasting_job
        checker = _lasting.Checker(cluster.disturbances)
        injected: list[str] = []
        room: list[str] = []
        seen: list[str] = []
        async with asyncio.TaskGroup() as watching:
            watch = watching.create_task(
                _watch.watch(cluster, callers, checker, injected)
            )
            noting = watching.create_task(_room.note(cluster, callers, room))
            await _submit_and_inject(
                cluster, callers, injectors, seconds, injected, executors, seen
            )
            await asyncio.gather(
                callers.wait_until_settled(stall_watch, limit_s=SETTLE_TIMEOUT_S),
                callers.cancel_lasting_jobs(MAX_CANCEL_DELAY_S),
                asyncio.sleep(max_lease_ms / 1000 + CALM_AFTER_LEASE_S),
            )
            watch.cancel()
            noting.cancel()
            room.append(f"at the end: {_room.measure(cluster, callers)}")
        _check_final_states(cluster, callers)
        if cluster.organisations is not None:
            seen.append(str(cluster.organisations.limits))
        await asyncio.gather(
            *[cluster.stop(instance) for instance in cluster.instance_by_name.values()]
        )
        jobs = callers.job_by_id.values()
        return Outcome(
            seed,
            injected,
            len(jobs),
            sum(job.accepted for job in jobs),
            sum(job.is_refused for job in jobs),
            cluster.breaches.starts,
            room,
            cluster.breaches.found + checker.found + cluster.findings,
            seen,
        )


async def _submit_and_inject(
    cluster: _cluster.Cluster,
    callers: _callers.Callers,
    injectors: list[Injector],
    seconds: float,
    injected: list[str],
    executors: int,
    seen: list[str],
) -> None:
    """Submit jobs and inject faults; return when all faults have ended."""
    max_lasting_millicores = _sizes.max_lasting_millicores(
        executors * _executors.CAPACITY.cpu_millicores, per_s=JOBS_PER_S
    )
    async with asyncio.TaskGroup() as task_group:
        task_group.create_task(
            callers.run(
                seconds,
                per_s=JOBS_PER_S,
                max_lasting_millicores=max_lasting_millicores,
            )
        )
        task_group.create_task(callers.poll_jobs(seconds))
        for injector in injectors:
            task_group.create_task(injector(cluster, seconds, injected))
        if cluster.organisations is not None:
            task_group.create_task(_probe_keys(cluster, callers, seconds, seen))


async def _probe_keys(
    cluster: _cluster.Cluster,
    callers: _callers.Callers,
    seconds: float,
    seen: list[str],
) -> None:
    """Send requests with invalid keys; note the answers."""
    probes = _key_probes.Probes(cluster, callers, cluster.organisations)
    await probes.run(seconds)
    await asyncio.sleep(SETTLE_AFTER_PROBES_S)
    probes.check_jobs()
    seen.append(f"answers by key: {dict(sorted(probes.count_by_answer.items()))}")


async def _inject(
    cluster: _cluster.Cluster, seconds: float, injected: list[str]
) -> None:
    """Inject overlapping series of faults; return when all have ended."""
    await _inject_series_of(
        _faults.ALL,
        cluster,
        seconds,
        injected,
        choices=cluster.fault_choices,
        mean_interval_s=MEAN_SERIES_INTERVAL_S,
    )


async def _inject_cuts(
    cluster: _cluster.Cluster, seconds: float, injected: list[str]
) -> None:
    """Inject series of one-way cuts beside the other faults."""
    await _inject_series_of(
        _faults.CUTS,
        cluster,
        seconds,
        injected,
        choices=cluster.cut_choices,
        mean_interval_s=MEAN_CUT_INTERVAL_S,
    )


async def _inject_leaves(
    cluster: _cluster.Cluster, seconds: float, injected: list[str]
) -> None:
    """Inject series of faults of many executors beside the other faults."""
    await _inject_series_of(
        _leaves.ALL,
        cluster,
        seconds,
        injected,
        choices=cluster.leave_choices,
        mean_interval_s=MEAN_LEAVE_INTERVAL_S,
    )


async def _inject_breaks(
    cluster: _cluster.Cluster, seconds: float, injected: list[str]
) -> None:
    """Inject series of broken connections to the store beside the others."""
    await _inject_series_of(
        _faults.BREAKS,
        cluster,
        seconds,
        injected,
        choices=cluster.break_choices,
        mean_interval_s=MEAN_BREAK_INTERVAL_S,
    )


async def _inject_restarts(
    cluster: _cluster.Cluster, seconds: float, injected: list[str]
) -> None:
    """Inject restarts of executors before the owner ends beside the others."""
    await _inject_series_of(
        _restarts.ALL,
        cluster,
        seconds,
        injected,
        choices=cluster.restart_choices,
        mean_interval_s=MEAN_RESTART_INTERVAL_S,
        max_faults=1,
    )


async def _inject_series_of(
    faults: tuple[_faults.Fault, ...],
    cluster: _cluster.Cluster,
    seconds: float,
    injected: list[str],
    *,
    choices: random.Random,
    mean_interval_s: float,
    max_faults: int = MAX_FAULTS_IN_SERIES,
) -> None:
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    await asyncio.sleep(FAULT_FREE_START_S)
    async with asyncio.TaskGroup() as task_group:
        while loop.time() - started_at < seconds:
            fault = choices.choice(faults)
            task_group.create_task(
                _inject_series(
                    cluster, fault, started_at, injected, choices, max_faults
                )
            )
            await asyncio.sleep(choices.expovariate(1 / mean_interval_s))


async def _inject_series(
    cluster: _cluster.Cluster,
    fault: _faults.Fault,
    started_at: float,
    injected: list[str],
    choices: random.Random,
    max_faults: int,
) -> None:
    for _ in range(choices.randint(1, max_faults)):
        elapsed_s = asyncio.get_running_loop().time() - started_at
        injected.append(f"{fault.__name__} at {elapsed_s:.1f} s")
        with cluster.disturbances.active():
            await fault(cluster)
        await asyncio.sleep(choices.uniform(0.0, 2.0))


def _check_final_states(cluster: _cluster.Cluster, callers: _callers.Callers) -> None:
    """Add a finding for each job that is not in a permitted final state."""
    for job in callers.job_by_id.values():
        if job.is_refused:
            if job.job_id in cluster.breaches.started_jobs:
                cluster.findings.append(f"job {job.job_id} was refused but has run")
        elif job.final_state not in (None, "completed", "cancelled", "lost"):
            cluster.findings.append(f"job {job.job_id} ended as {job.final_state}")
        elif job.final_state == "cancelled" and not job.cancel_requested:
            cluster.findings.append(f"job {job.job_id} was cancelled without a request")
        elif callers.is_unsettled(job):
            cluster.findings.append(
                f"job {job.job_id} has not settled: "
                f"{callers.count_running_tasks(job)} of {job.tasks} tasks run, "
                f"long-running {job.is_long_running}, cancelled {job.cancelled}"
            )
