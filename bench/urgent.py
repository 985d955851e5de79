"""Urgent arrivals on a system that is full of batch work."""

import asyncio
import random

import loguru

from bench import _batch_world, _desk_executors, result
from standins import virtual_time

CENTRES = ("a", "b", "c")
WORKERS = 24
CORES = 16.0
WAVES = 12
PER_WAVE = 8
USAGE_LAG_S = 10.0
CHECKPOINT_S = 0.7
STOP_S = 0.2
LIMIT_S = 9.9


def run(seed: int) -> result.Result:
    """Measure starts with preemption and, in the same run, without."""
    loguru.logger.remove()
    ours = _play(seed, "urgent")
    plain = _play(seed, "normal")
    figures: dict[str, object] = {
        "workers": WORKERS,
        "a checkpoint takes (s)": CHECKPOINT_S,
        "urgent tasks": len(ours["delays"]),
        "worst start (s)": round(max(ours["delays"]), 2),
        "median start (s)": round(sorted(ours["delays"])[len(ours["delays"]) // 2], 2),
        "never started": ours["missing"],
        "evictions": ours["evictions"],
        "breaches": ours["breaches"] or "none",
        "without urgency: started within 9.9 s": sum(
            delay <= LIMIT_S for delay in plain["delays"]
        ),
        "without urgency: worst start (s)": round(max(plain["delays"], default=0.0), 2),
    }
    bounds = {
        "every urgent start within 9.9 s": ours["missing"] == 0
        and max(ours["delays"]) <= LIMIT_S,
        "nothing above capacity": "over capacity" not in ours["breaches"],
        "no other breach": not ours["breaches"],
    }
    return result.Result("urgent", seed, figures, bounds)


def _play(seed: int, priority: str) -> dict:
    loop = virtual_time.Loop()
    return virtual_time.run(_main(seed, priority, loop), loop=loop)


async def _main(seed: int, priority: str, loop: virtual_time.Loop) -> dict:
    world = _batch_world.make(seed, loop, data_centres=CENTRES)
    for number in range(WORKERS):
        centre = CENTRES[number % len(CENTRES)]
        rack = f"r{number // 6}"
        world.add_worker(f"w{number}", centre, rack, cores=CORES, memory_gb=64.0)
    world.read_usage_samples = _desk_executors.DeskExecutors(
        world, {}, USAGE_LAG_S, used_core_share=1.2
    ).read_samples
    for number in range(3):
        world.add_entry(f"e{number}")
    for entry in world.entry_by_id.values():
        entry.client.stall_s_by_method.update(checkpoint=CHECKPOINT_S, stop=STOP_S)
        entry.client.stall_probability, entry.client.lost_answer_probability = (
            0.02,
            0.01,
        )
    world.start()
    await asyncio.sleep(6.0)
    source = random.Random(seed)
    for number in range(12):
        await world.submit(
            f"batch{number}",
            tasks=20,
            cores=source.choice([1.0, 2.0, 4.0]),
            run_s=source.uniform(60.0, 900.0),
            priority=source.choice(["normal", "low"]),
            work_class=f"class-{number % 4}",
        )
    await asyncio.sleep(15.0)
    submitted = await _waves(world, source, priority)
    await asyncio.sleep(30.0)
    return _figures(world, submitted)


async def _waves(
    world: _batch_world.World, source: random.Random, priority: str
) -> dict[str, float]:
    """Submit waves of tasks; return when each was submitted."""
    submitted: dict[str, float] = {}
    for wave in range(WAVES):
        for number in range(PER_WAVE):
            name = f"u{wave}-{number}"
            submitted[f"{name}/0"] = world.loop.time()
            await world.submit(
                name,
                cores=source.choice([2.0, 6.0, 12.0]),
                run_s=source.uniform(5.0, 20.0),
                priority=priority,
                team="blue",
                work_class="urgent",
            )
        await asyncio.sleep(source.uniform(8.0, 14.0))
    return submitted


def _figures(world: _batch_world.World, submitted: dict[str, float]) -> dict:
    delays, missing = [], 0
    for task, at_s in submitted.items():
        runs = world.monitor.runs_by_task.get(task)
        if runs:
            delays.append(runs[0][1].started_at - at_s)
        else:
            missing += 1
    return {
        "delays": delays,
        "missing": missing,
        "evictions": world.monitor.evictions,
        "breaches": {kind: len(all_) for kind, all_ in world.monitor.breaches.items()},
    }
