"""Stops one owner after the other while callers cancel their jobs.

Each owner serves for two seconds, as in a rolling restart that the owner moves
ahead of. Callers cancel each job soon after it was accepted, and ask at most
as often as the users' callers do. No task may start 3 s after the cancel of
its job was acknowledged, or was due to be. By the users' rule on acks a tenth
of the cancels, two at least, may stay without an answer.

Run it with ``python -m soak.planned_stops --seed 1 --seconds 55``.
"""

import asyncio
import dataclasses
import functools
import sys

import fire
import loguru
import msgspec

from emulator import deployment
from limpetstream.workflow import messages
from soak import _cluster, _faults, _stalls
from standins import cancelled_runs

INSTANCES = 7
EXECUTORS = 8
STOP_INTERVAL_S = 2.3
JOB_INTERVAL_S = 0.15
CANCEL_WITHIN_S = 2.0  # Of the acknowledgement of the job.
DEADLINE_MS = 3000
TIMEOUT_S = 4.0  # One second more, for late answers.
MAX_UNANSWERED_SHARE, MIN_UNANSWERED = 0.1, 3
ATTEMPTS = 5  # The users' callers try again up to four times.
MAX_PAUSE_S = 1.0  # Between two attempts.
LOOK_S = 0.1
# Two steps of four tasks of 2 cores; the jobs use 0.8 of all cores if none is
# cancelled.
TASKS, STEPS, MILLICORES, TASK_S = 4, 2, 2000, 1.0


@dataclasses.dataclass(slots=True)
class Outcome:
    """What one play has shown.

    Args:
        seed: Seed of the callers' random decisions.
        accepted: Number of jobs whose submission was acknowledged.
        cancels: Number of jobs whose cancelling was asked for.
        unanswered: Those among them without an acknowledgement after the time
            within which it is due.
        starts: Number of runs that executors started.
        owners: Owners that were stopped.
        findings: Violated guarantees; empty if all hold.
        stalls: For how long this process stood still.
    """

    seed: int
    accepted: int = 0
    cancels: int = 0
    unanswered: int = 0
    starts: int = 0
    owners: list[str] = dataclasses.field(default_factory=list)
    findings: list[str] = dataclasses.field(default_factory=list)
    stalls: str = ""


async def play(
    seed: int,
    *,
    seconds: float,
    stop_interval_s: float = STOP_INTERVAL_S,
    lost: int = 0,
) -> Outcome:
    """Stop owners and cancel jobs for a time.

    Args:
        seed: Seed of the callers' random decisions.
        seconds: How long owners are stopped and jobs are submitted.
        stop_interval_s: Seconds from one stop to the next.
        lost: Number of owners that are killed for good in place of the first
            stops, so that nobody learns from them that they have ended.
    """
    outcome = Outcome(seed)
    opened = _cluster.open_cluster(
        seed, instance_count=INSTANCES, executor_count=EXECUTORS
    )
    async with opened as cluster, _stalls.watch() as stall_watch:
        async with asyncio.TaskGroup() as watching:
            watch = watching.create_task(_watch(cluster))
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    _stop_owners(cluster, outcome, seconds, stop_interval_s, lost)
                )
                for number in range(int(seconds / JOB_INTERVAL_S)):
                    group.create_task(_run_caller(cluster, outcome, number))
            watch.cancel()
        outcome.starts = cluster.breaches.starts
        outcome.findings = cluster.breaches.found + cluster.findings
        _check_acknowledgements(outcome)
        outcome.stalls = _stalls.summarize(stall_watch.stalls)
    return outcome


def _check_acknowledgements(outcome: Outcome) -> None:
    """Add a finding if too many cancels have no answer in time."""
    most = max(MIN_UNANSWERED - 1, MAX_UNANSWERED_SHARE * outcome.cancels)
    if outcome.unanswered > most:
        outcome.findings.append(
            f"{outcome.unanswered} of {outcome.cancels} cancels had no answer "
            f"within {cancelled_runs.ACKNOWLEDGEMENT_S:.0f} s"
        )


async def _watch(cluster: _cluster.Cluster) -> None:
    """Advance the executors, and note due cancels, until cancelled."""
    judge = cancelled_runs.CancelledRuns(
        cluster.breaches, max_stop_s=deployment.MAX_STOP_S
    )
    loop = asyncio.get_running_loop()
    steady_since = loop.time()
    while True:
        for advance in cluster.breaches.advance_by_executor.values():
            advance()
        # A stop excuses runs that go on, and no start.
        judge.look(
            [each.executor for each in cluster.linked_executor_by_id.values()],
            loop.time(),
            undisturbed_since=float("inf"),
            steady_since=steady_since,
        )
        await asyncio.sleep(LOOK_S)


async def _stop_owners(
    cluster: _cluster.Cluster,
    outcome: Outcome,
    seconds: float,
    stop_interval_s: float,
    lost: int,
) -> None:
    loop = asyncio.get_running_loop()
    async with asyncio.TaskGroup() as stops:
        ends_at = loop.time() + seconds
        while loop.time() < ends_at:
            await asyncio.sleep(stop_interval_s)
            name = cluster.owners.newest()
            if name is None:
                continue
            instance = cluster.instance_by_name[name]
            if instance.process is not None and not instance.is_busy:
                outcome.owners.append(name)
                instance.is_busy = True
                if len(outcome.owners) <= lost:
                    instance.process.kill()
                    instance.process = None
                else:
                    stops.create_task(_stop(cluster, instance))


async def _stop(cluster: _cluster.Cluster, instance: _cluster.Instance) -> None:
    await cluster.stop(instance)
    await _faults.restart(cluster, instance, cluster.fault_choices)


async def _run_caller(cluster: _cluster.Cluster, outcome: Outcome, number: int) -> None:
    """Submit a job and cancel it."""
    choices = cluster.caller_choices
    await asyncio.sleep(number * JOB_INTERVAL_S)
    job_id = f"{choices.getrandbits(64):016x}"
    cluster.size_by_spec[job_id] = (MILLICORES, TASK_S)
    steps = [
        messages.Step(
            TASKS,
            cpu_millicores=MILLICORES,
            memory_mb=50,
            estimate_ms=int(TASK_S * 1000),
            after=(step - 1,) if step else (),
        )
        for step in range(STEPS)
    ]
    ask = functools.partial(_ask, cluster, job_id)
    if not await ask("POST", (200,), deployment.job_body(job_id, steps)):
        return
    outcome.accepted += 1
    await asyncio.sleep(choices.uniform(0.0, CANCEL_WITHIN_S))
    outcome.cancels += 1
    breaches, loop = cluster.breaches, asyncio.get_running_loop()
    asked_at = breaches.cancel_asked_at[job_id] = loop.time()
    is_done = await ask("DELETE", (200, 410))
    if is_done:
        breaches.cancelled_at.setdefault(job_id, loop.time())
    answered_s = loop.time() - asked_at
    is_late = answered_s > cancelled_runs.ACKNOWLEDGEMENT_S
    outcome.unanswered += is_late or not is_done
    # Whatever a caller has been told, the rule holds until all tasks are done.
    await asyncio.sleep(max(0.0, 10.0 - answered_s))


async def _ask(
    cluster: _cluster.Cluster,
    job_id: str,
    method: str,
    expected: tuple[int, ...],
    body: bytes | None = None,
) -> bool:
    """Ask random instances until one gives an expected answer."""
    choices = cluster.caller_choices
    for _ in range(ATTEMPTS):
        instance = choices.choice(list(cluster.instance_by_name.values()))
        answer = await cluster.client.call(
            method,
            instance.caller_link.port,
            f"{deployment.PREFIX}{job_id}",
            body,
            headers=deployment.headers(DEADLINE_MS),
            timeout_s=TIMEOUT_S,
        )
        if answer.status in expected:
            return True
        await asyncio.sleep(choices.uniform(0.1, MAX_PAUSE_S))
    return False


def main(
    seed: int = 1,
    seconds: float = 55.0,
    stop_interval_s: float = STOP_INTERVAL_S,
    lost: int = 0,
) -> None:
    """Play one seed; exit 1 if a guarantee was violated.

    Args:
        seed: Seed of the callers' random decisions.
        seconds: How long owners are stopped and jobs are submitted.
        stop_interval_s: Seconds from one stop to the next.
        lost: Number of owners that are killed for good first.
    """
    loguru.logger.remove()
    outcome = asyncio.run(
        play(seed, seconds=seconds, stop_interval_s=stop_interval_s, lost=lost)
    )
    print(msgspec.json.encode(dataclasses.asdict(outcome)).decode(), flush=True)
    sys.exit(1 if outcome.findings else 0)


if __name__ == "__main__":
    fire.Fire(main)
