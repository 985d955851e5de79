"""Runs random fault schedules with organisations whose limits change."""

import asyncio
import random

from limpetstream import errors
from limpetstream.organisations.tests import builders
from limpetstream.shard.tests import schedules
from limpetstream.workflow import messages

JOBS = 14
FINAL_LIMITS = {"acme": (16_000, 8000, 0), "globex": (24_000, 0, 0)}
LIMITS = [
    {"acme": (12_000, 0, 0), "globex": (8000, 0, 0)},
    {"acme": (8000, 4000, 0), "globex": (24_000, 0, 0)},
    {"acme": (16_000, 2500, 0), "globex": (20_000, 3000, 0)},
]
NEEDS = [(1000, 500), (2000, 300), (4000, 1000), (6000, 800)]


async def cut_executors(cluster, generator, round_):
    """Cut several executors off, and let an owner change meanwhile."""
    ids = generator.sample(sorted(cluster.executor_by_id), 2)
    for executor_id in ids:
        cluster.executor_by_id[executor_id].cut = True
    await asyncio.sleep(generator.uniform(0.0, 2.0))
    await schedules.kill_owner(cluster, generator, round_)
    await asyncio.sleep(generator.uniform(0.5, 8.0))
    for executor_id in ids:
        cluster.executor_by_id[executor_id].cut = False


async def replace_all(cluster, generator, round_):
    """Kill all instances at once; two others have just started."""
    members = list(cluster.instance_by_member)
    for number in range(2):
        cluster.start(f"a{round_}-{number}")
    for member in members:
        await cluster.kill(member)


FAULTS = [
    schedules.kill_owner,
    schedules.freeze_owner,
    schedules.cut_owner_from_store,
    schedules.cut_executor,
    schedules.restart_executor,
    schedules.delay_starts,
    replace_all,
    schedules.isolate_owner,
    cut_executors,
    cut_executors,
]


def run(seed, faults=FAULTS):
    """Run one schedule; return its check."""
    return builders.run_scenario(
        lambda cluster, check: _schedule(cluster, check, seed, faults), seed=seed
    )


async def _schedule(cluster, check, seed, faults):
    generator = random.Random(seed)
    check.set_limits(**generator.choice(LIMITS))
    for number in range(3):
        cluster.start(f"m{number}")
    await asyncio.sleep(2)
    background = [
        asyncio.create_task(schedules.inject(cluster, generator, faults)),
        asyncio.create_task(_change_limits(check, generator)),
    ]
    accepted = []
    for number in range(JOBS):
        name = schedules.job_id(number)
        check.organisation_by_job[name] = generator.choice(["acme", "acme", "globex"])
        step = _make_step(generator)
        seconds = 0.0 if step.long_running else generator.choice([0.3, 1.0, 2.5])
        if await cluster.submit(name, [step], seconds=seconds):
            accepted.append((name, step))
        await asyncio.sleep(generator.uniform(0.1, 0.6))
        await _cancel_some(cluster, generator, accepted)
    for task in background:
        await task
    check.set_limits(**FINAL_LIMITS)
    await _end_all(cluster, accepted)


def _make_step(generator):
    cpu, memory = generator.choice(NEEDS)
    kind = generator.choice(["", "", "", "fills", "gang", "long_running"])
    count = generator.randint(1, 2 if kind == "gang" else 4)
    return messages.Step(
        count,
        cpu_millicores=cpu,
        memory_mb=memory,
        image="image",
        **({kind: True} if kind else {}),
    )


async def _change_limits(check, generator):
    for _ in range(3):
        await asyncio.sleep(generator.uniform(0.5, 4.0))
        check.set_limits(**generator.choice(LIMITS))


async def _cancel_some(cluster, generator, accepted):
    if accepted and generator.random() < 0.2:
        name, _step = accepted.pop(generator.randrange(len(accepted)))
        await _cancel(cluster, name)


async def _cancel(cluster, name):
    for _ in range(8):
        member = cluster.random.choice(list(cluster.instance_by_member))
        try:
            await cluster.instance_by_member[member].job_api.cancel(name, wait_s=3.0)
            return
        except (errors.NotRun, errors.OutcomeUnknown):
            await asyncio.sleep(0.5)


async def _end_all(cluster, accepted):
    for name, step in accepted:
        if step.long_running:
            await _cancel(cluster, name)
    for name, step in accepted:
        if not step.long_running:
            state = await cluster.wait_until_final(name, limit_s=60)
            assert state == "completed", name
