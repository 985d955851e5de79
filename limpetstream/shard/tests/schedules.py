"""Runs random fault schedules over several instances on virtual time."""

import asyncio
import random

from limpetstream.workflow import messages
from standins import shard_cluster, virtual_time

LONGEST_S = 150  # Virtual seconds; a scenario that hangs fails.


def run_scenario(scenario, **options):
    random.seed(0)  # Back-off with jitter uses it.
    loop = virtual_time.Loop()
    asyncio.set_event_loop(loop)

    async def bounded():
        world = shard_cluster.ShardCluster(loop, **options)
        async with asyncio.timeout(LONGEST_S):
            await scenario(world)
        for member in list(world.instance_by_member):
            await world.kill(member)
        return world

    return virtual_time.run(bounded(), loop=loop)


def steps(count=4, *, chain=1, cpu=4000):
    return [
        messages.Step(
            count, cpu_millicores=cpu, memory_mb=100, after=(n - 1,) if n else ()
        )
        for n in range(chain)
    ]


def job_id(number):
    return f"{number:016x}"


def run_random_schedule(seed: int) -> shard_cluster.ShardCluster:
    """Run one random schedule; return its world with the breaches found."""
    return run_scenario(lambda world: random_schedule(world, seed), seed=seed)


async def random_schedule(world, seed):
    chance = random.Random(seed)
    for number in range(3):
        # Odd seeds have one instance in the main group and two in the reserve.
        world.start(f"m{number}", reserve=bool(seed % 2 and number))
    await asyncio.sleep(2)
    accepted = []
    faults = asyncio.create_task(inject(world, chance))
    for number in range(16):
        seconds = chance.choice([0.3, 1.0, 2.5])
        name = job_id(number)
        if await world.submit(name, steps(3, chain=2), seconds=seconds):
            accepted.append(name)
        await asyncio.sleep(chance.uniform(0.1, 0.8))
    await faults
    for name in accepted:
        assert await world.wait_until_final(name, limit_s=40) == "completed", name


async def inject(world, chance):
    for round_ in range(4):
        await asyncio.sleep(chance.uniform(0.3, 2.0))
        fault = chance.choice(FAULTS)
        await fault(world, chance, round_)


async def kill_owner(world, chance, round_):
    owner = world.owner_member()
    if owner:
        await world.kill(owner)
        world.start(f"r{round_}")


async def freeze_owner(world, chance, round_):
    owner = world.owner_member()
    if owner:
        await world.freeze(owner, chance.uniform(1.0, 5.0))


async def cut_owner_from_store(world, chance, round_):
    owner = world.owner_member()
    if owner:
        instance = world.instance_by_member[owner]
        instance.store.faults.cut = True
        await asyncio.sleep(chance.uniform(1.0, 5.0))
        instance.store.faults.cut = False


async def cut_executor(world, chance, round_):
    executor = chance.choice(list(world.executor_by_id.values()))
    executor.cut = True
    await asyncio.sleep(chance.uniform(0.5, 8.0))
    executor.cut = False


async def restart_executor(world, chance, round_):
    executor = chance.choice(list(world.executor_by_id.values()))
    executor.cut = True
    executor.restart()
    await asyncio.sleep(0.5)  # A process takes at least this long to start.
    executor.cut = False
    world.list_executor(executor)


async def lose_answers(world, chance, round_):
    for instance in world.instance_by_member.values():
        instance.store.faults.lost_answer_share = 0.3
        instance.store.faults.delayed_share = 0.2
    await asyncio.sleep(3.0)
    for instance in world.instance_by_member.values():
        instance.store.faults.lost_answer_share = 0.0
        instance.store.faults.delayed_share = 0.0


async def store_down(world, chance, round_):
    world.store.down = True
    await asyncio.sleep(chance.uniform(1.0, 6.0))
    world.store.down = False


async def late_orders(world, chance, round_):
    for executor in world.executor_by_id.values():
        executor.delayed_share = 0.3
    await asyncio.sleep(3.0)
    for executor in world.executor_by_id.values():
        executor.delayed_share = 0.0


async def forget_history(world, chance, round_):
    world.store.drop_history()


async def kill_all(world, chance, round_):
    for member in list(world.instance_by_member):
        await world.kill(member)
    for number in range(2):
        world.start(f"a{round_}-{number}")


FAULTS = [
    kill_owner,
    freeze_owner,
    cut_owner_from_store,
    cut_executor,
    restart_executor,
    lose_answers,
    store_down,
    late_orders,
    forget_history,
    kill_all,
]
