"""Runs real processes under faults, with the load of the demonstration."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable

from demo import cluster, desk_load, http_client, operations, plan, results
from standins import processes

ENTRY_COUNT = 5
WARM_UP_S = 3.0
REPLACE_AFTER_S = 0.5
SETTLE_TIMEOUT_S = 20.0
SETTLE_POLL_INTERVAL_S = 0.5
STOP_TIMEOUT_S = 5.0


@dataclasses.dataclass(slots=True)
class RunningDeployment:
    """One running deployment.

    Args:
        plan: Jobs and callers of the deployment.
        cluster: Its processes.
        client: Sends HTTP calls.
        load_generator: Sends the desk requests.
        outages: Start and end of each log outage, on the event loop's clock.
    """

    plan: plan.Plan
    cluster: cluster.Cluster
    client: http_client.HttpClient
    load_generator: desk_load.LoadGenerator
    outages: list[tuple[float, float]] = dataclasses.field(default_factory=list)

    def entry(self, number: int) -> cluster.Entry:
        """Return the entry instance at an index, in order of start."""
        return list(self.cluster.entry_by_id.values())[number]

    async def set_faults(self, **switches: object) -> None:
        """Set fault switches of the platform stand-in, by name."""
        url = f"{self.cluster.platform_url}/faults"
        await self.client.call("POST", url, body=switches)


Fault = Callable[[RunningDeployment], Awaitable[None]]


def kill(number: int) -> Fault:
    """Return a fault that kills an entry instance and starts another one."""

    async def run(running: RunningDeployment) -> None:
        entry = running.entry(number)
        entry.process.kill()
        running.cluster.entry_by_id.pop(entry.id)
        await asyncio.sleep(REPLACE_AFTER_S)
        await running.cluster.publish_entry_state(entry, "gone")
        await running.cluster.start_entry(entry.data_centre)

    return run


def pause(number: int, seconds: float) -> Fault:
    """Return a fault that pauses an entry instance with SIGSTOP."""

    async def run(running: RunningDeployment) -> None:
        entry = running.entry(number)
        entry.process.pause()
        await asyncio.sleep(seconds)
        entry.process.resume()

    return run


def log_outage(seconds: float) -> Fault:
    """Return a fault that makes the log unavailable for some seconds."""

    async def run(running: RunningDeployment) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await running.set_faults(log_down=True)
        await asyncio.sleep(seconds)
        await running.set_faults(log_down=False)
        running.outages.append((started_at, loop.time()))

    return run


def lost_answers(share: float, seconds: float) -> Fault:
    """Return a fault that drops answers of the platform.

    The calls take effect all the same.

    Args:
        share: Share of the answers that are lost.
        seconds: Duration of the fault.
    """

    async def run(running: RunningDeployment) -> None:
        await running.set_faults(lost_answer_probability=share)
        await asyncio.sleep(seconds)
        await running.set_faults(lost_answer_probability=0.0)

    return run


def data_centre_out_and_back(seconds: float) -> Fault:
    """Return a fault that takes a data centre out for some seconds."""

    async def run(running: RunningDeployment) -> None:
        for state, pause_s in (("out", seconds), ("in", 0.0)):
            with contextlib.suppress(operations.CallFailed):
                await operations.set_data_centre(
                    running.cluster,
                    running.client,
                    running.plan.data_centre_out,
                    state=state,
                )
            await asyncio.sleep(pause_s)

    return run


@dataclasses.dataclass(slots=True)
class Outcome:
    """Results of one run.

    Args:
        results: Counts as in the demonstration.
        outage_share: Answered share of the idempotent requests that were sent
            during a log outage; 1 without an outage.
    """

    results: results.Results
    outage_share: float

    @property
    def breaches(self) -> int:
        """Sum of all counts that must be 0."""
        results = self.results
        groups = (
            results.lost,
            results.done_twice,
            results.over_capacity,
            results.late_work,
        )
        return results.refused_but_run + sum(sum(each.values()) for each in groups)


async def run(
    name: str,
    faults: dict[float, Fault],
    *,
    deployment: str,
    seconds: float,
    per_s: float,
    seed: int,
) -> Outcome:
    """Run one scenario with processes of its own.

    Args:
        name: Name of the folder for settings and logs.
        faults: Faults by the second of load at which they begin.
        deployment: Key of ``layouts.layout_by_name``.
        seconds: Duration of the load.
        per_s: Desk requests per second.
        seed: Seed of the load and the stand-ins.
    """
    chosen_plan = plan.make(deployment)
    client = http_client.HttpClient()
    directory = f"build/faults/{name}"
    try:
        with processes.process_group(directory, stop_timeout_s=STOP_TIMEOUT_S) as group:
            started_cluster = cluster.Cluster(
                plan=chosen_plan,
                group=group,
                client=client,
                seed=seed,
                directory=directory,
            )
            load_generator = desk_load.LoadGenerator(
                plan=chosen_plan, cluster=started_cluster, client=client, seed=seed
            )
            running = RunningDeployment(
                chosen_plan, started_cluster, client, load_generator
            )
            await _start(running)
            return await _drive(running, faults, seconds=seconds, per_s=per_s)
    finally:
        client.close()


async def _start(running: RunningDeployment) -> None:
    await running.cluster.start_stand_ins()
    await running.cluster.seed_settings()
    names = running.plan.layout.data_centres
    entries = [
        await running.cluster.start_entry(names[number % len(names)])
        for number in range(ENTRY_COUNT)
    ]
    await running.cluster.wait_ready(entries)


async def _drive(
    running: RunningDeployment,
    faults: dict[float, Fault],
    *,
    seconds: float,
    per_s: float,
) -> Outcome:
    readiness_poll = asyncio.ensure_future(running.cluster.poll_readiness())
    keys = list(running.plan.key_by_caller.values())
    try:
        await asyncio.sleep(WARM_UP_S)
        for number, job in enumerate(running.plan.jobs):
            key = keys[number % len(keys)]
            await operations.submit_job(running.cluster, running.client, job, key=key)
        injected = [
            asyncio.ensure_future(_inject_at(at_s, fault, running))
            for at_s, fault in faults.items()
        ]
        await running.load_generator.run(seconds, per_s)
        await asyncio.gather(*injected)
        await _wait_for_tasks(running)
        await running.load_generator.resolve_unknown_outcomes()
        run_results = results.evaluate(
            running.load_generator.sent, running.plan.jobs, await _observe(running)
        )
        return Outcome(run_results, _outage_share(running))
    finally:
        readiness_poll.cancel()


async def _inject_at(at_s: float, fault: Fault, running: RunningDeployment) -> None:
    await asyncio.sleep(at_s)
    await fault(running)


async def _wait_for_tasks(running: RunningDeployment) -> None:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + SETTLE_TIMEOUT_S
    while loop.time() < deadline:
        url = f"{running.cluster.platform_url}/tasks"
        tasks = (await running.client.call("GET", url)).json()
        if not any(results.lost_tasks(job, tasks) for job in running.plan.jobs):
            return
        await asyncio.sleep(SETTLE_POLL_INTERVAL_S)


async def _observe(running: RunningDeployment) -> results.Observations:
    async def read(url: str) -> dict:
        return (await running.client.call("GET", url)).json()

    platform, backend = running.cluster.platform_url, running.cluster.backend_url
    return results.Observations(
        breaches=await read(f"{platform}/breaches"),
        totals=await read(f"{platform}/totals"),
        tasks=await read(f"{platform}/tasks"),
        stats=await read(f"{backend}/stats"),
        runs=await read(f"{backend}/runs"),
        accounts={
            caller: await operations.read_account(
                running.cluster, running.client, key=key
            )
            for caller, key in running.plan.key_by_caller.items()
        },
        planned_stop_status=0,
        stopped_entry="",
    )


def _outage_share(running: RunningDeployment) -> float:
    sent_in_outage = [
        sent
        for sent in running.load_generator.sent
        if sent.idempotent
        and any(start <= sent.sent_at <= end for start, end in running.outages)
    ]
    if not sent_in_outage:
        return 1.0
    return sum(sent.outcome == "answered" for sent in sent_in_outage) / len(
        sent_in_outage
    )
