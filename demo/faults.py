"""Runs of real processes under faults, with the demonstration's load."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable

from demo import cluster, load, plan, tally, web, work
from standins import processes

ENTRIES = 5
WARM_S = 3.0
REPLACE_AFTER_S = 0.5
SETTLE_S = 20.0
SETTLE_POLL_S = 0.5
CLOSE_S = 5.0


@dataclasses.dataclass(slots=True)
class World:
    """One running deployment.

    Args:
        plan: Jobs and callers.
        cluster: Processes.
        web: Sends calls.
        load: Desk requests.
        outages: Begin and end of each log outage, in seconds of load.
    """

    plan: plan.Plan
    cluster: cluster.Cluster
    web: web.Web
    load: load.Load
    outages: list[tuple[float, float]] = dataclasses.field(default_factory=list)

    def entry(self, number: int) -> cluster.Entry:
        """Return the entry instance that was started as this number."""
        return list(self.cluster.entry_by_id.values())[number]

    async def set_faults(self, **switches: object) -> None:
        """Set fault switches of the platform stand-in."""
        url = f"{self.cluster.platform_url}/faults"
        await self.web.call("POST", url, body=switches)


Fault = Callable[[World], Awaitable[None]]


def kill(number: int) -> Fault:
    """Return a fault that kills an entry instance and replaces it."""

    async def run(world: World) -> None:
        entry = world.entry(number)
        entry.process.kill()
        world.cluster.entry_by_id.pop(entry.id)
        await asyncio.sleep(REPLACE_AFTER_S)
        await world.cluster.list_entry(entry, "gone")
        await world.cluster.start_entry(entry.data_centre)

    return run


def pause(number: int, seconds: float) -> Fault:
    """Return a fault that stops an entry instance without its knowledge."""

    async def run(world: World) -> None:
        entry = world.entry(number)
        entry.process.pause()
        await asyncio.sleep(seconds)
        entry.process.resume()

    return run


def log_outage(seconds: float) -> Fault:
    """Return a fault that takes the log out of service."""

    async def run(world: World) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        await world.set_faults(log_down=True)
        await asyncio.sleep(seconds)
        await world.set_faults(log_down=False)
        world.outages.append((began, loop.time()))

    return run


def lost_answers(share: float, seconds: float) -> Fault:
    """Return a fault that drops answers of the platform after the effect."""

    async def run(world: World) -> None:
        await world.set_faults(lost_answer_probability=share)
        await asyncio.sleep(seconds)
        await world.set_faults(lost_answer_probability=0.0)

    return run


def out_and_back(seconds: float) -> Fault:
    """Return a fault that takes a data centre out and brings it back."""

    async def run(world: World) -> None:
        for state, pause_s in (("out", seconds), ("in", 0.0)):
            with contextlib.suppress(work.CallFailed):
                await work.set_data_centre(
                    world.cluster, world.web, world.plan.data_centre_out, state=state
                )
            await asyncio.sleep(pause_s)

    return run


@dataclasses.dataclass(slots=True)
class Outcome:
    """What one run showed.

    Args:
        tally: Counts of the demonstration.
        outage_share: Answered share of the idempotent requests that were sent
            in a log outage; 1 without an outage.
    """

    tally: tally.Tally
    outage_share: float

    @property
    def breaches(self) -> int:
        """Everything that must be 0, added up."""
        counted = self.tally
        groups = (
            counted.lost,
            counted.done_twice,
            counted.over_capacity,
            counted.late_work,
        )
        return counted.refused_but_run + sum(sum(each.values()) for each in groups)


async def run(
    name: str,
    faults: dict[float, Fault],
    *,
    deployment: str,
    seconds: float,
    per_s: float,
    seed: int,
) -> Outcome:
    """Run one scenario.

    Args:
        name: Name of the folder for settings and logs.
        faults: Faults by the second of load at which they begin.
        deployment: Key of ``layouts.layout_by_name``.
        seconds: Length of the load.
        per_s: Desk requests a second.
        seed: Seed of load and stand-ins.
    """
    chosen = plan.make(deployment)
    sender = web.Web()
    directory = f"build/faults/{name}"
    try:
        with processes.process_group(directory, stop_timeout_s=CLOSE_S) as group:
            made = cluster.Cluster(
                plan=chosen, group=group, web=sender, seed=seed, directory=directory
            )
            desk = load.Load(plan=chosen, cluster=made, web=sender, seed=seed)
            world = World(chosen, made, sender, desk)
            await _start(world)
            return await _drive(world, faults, seconds=seconds, per_s=per_s)
    finally:
        sender.close()


async def _start(world: World) -> None:
    await world.cluster.start_stand_ins()
    await world.cluster.seed_settings()
    names = world.plan.layout.data_centres
    entries = [
        await world.cluster.start_entry(names[number % len(names)])
        for number in range(ENTRIES)
    ]
    await world.cluster.wait_ready(entries)


async def _drive(
    world: World, faults: dict[float, Fault], *, seconds: float, per_s: float
) -> Outcome:
    watching = asyncio.ensure_future(world.cluster.watch())
    keys = list(world.plan.key_by_caller.values())
    try:
        await asyncio.sleep(WARM_S)
        for number, job in enumerate(world.plan.jobs):
            key = keys[number % len(keys)]
            await work.submit(world.cluster, world.web, job, key=key)
        begun = [
            asyncio.ensure_future(_at(at_s, fault, world))
            for at_s, fault in faults.items()
        ]
        await world.load.drive(seconds, per_s)
        await asyncio.gather(*begun)
        await _settle(world)
        await world.load.ask_again()
        counted = tally.count(world.load.sent, world.plan.jobs, await _seen(world))
        return Outcome(counted, _outage_share(world))
    finally:
        watching.cancel()


async def _at(at_s: float, fault: Fault, world: World) -> None:
    await asyncio.sleep(at_s)
    await fault(world)


async def _settle(world: World) -> None:
    loop = asyncio.get_running_loop()
    until = loop.time() + SETTLE_S
    while loop.time() < until:
        url = f"{world.cluster.platform_url}/tasks"
        tasks = (await world.web.call("GET", url)).json()
        if not any(tally.lost_tasks(job, tasks) for job in world.plan.jobs):
            return
        await asyncio.sleep(SETTLE_POLL_S)


async def _seen(world: World) -> tally.Seen:
    async def read(url: str) -> dict:
        return (await world.web.call("GET", url)).json()

    platform, backend = world.cluster.platform_url, world.cluster.backend_url
    return tally.Seen(
        breaches=await read(f"{platform}/breaches"),
        totals=await read(f"{platform}/totals"),
        tasks=await read(f"{platform}/tasks"),
        stats=await read(f"{backend}/stats"),
        runs=await read(f"{backend}/runs"),
        accounts={
            caller: await work.account(world.cluster, world.web, key=key)
            for caller, key in world.plan.key_by_caller.items()
        },
        planned_stop=0,
        stopped_entry="",
    )


def _outage_share(world: World) -> float:
    chosen = [
        sent
        for sent in world.load.sent
        if sent.idempotent
        and any(begin <= sent.sent_at <= end for begin, end in world.outages)
    ]
    if not chosen:
        return 1.0
    return sum(sent.outcome == "answered" for sent in chosen) / len(chosen)
