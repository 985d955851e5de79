"""Measures how fast urgent tasks start on a system full of batch work."""

import asyncio
import random

import loguru

from bench import _batch_world, _desk_executors, result
from standins import virtual_time

DATA_CENTRES = ("a", "b", "c")
WORKERS = 24
CORES = 16.0
WAVES = 12
TASKS_PER_WAVE = 8
USAGE_LAG_S = 10.0
CHECKPOINT_DELAY_S = 0.7
STOP_DELAY_S = 0.2
MAX_START_S = 9.9


def run(seed: int) -> result.Result:
    """Measure the starts of urgent tasks, compared with normal ones."""
    loguru.logger.remove()
    urgent = _play(seed, "urgent")
    normal = _play(seed, "normal")
    figures: dict[str, object] = {
        "workers": WORKERS,
        "a checkpoint takes (s)": CHECKPOINT_DELAY_S,
        "urgent tasks": len(urgent["delays"]),
        "worst start (s)": round(max(urgent["delays"]), 2),
        "median start (s)": round(
            sorted(urgent["delays"])[len(urgent["delays"]) // 2], 2
        ),
        "never started": urgent["missing"],
        "evictions": urgent["evictions"],
        "breaches": urgent["breaches"] or "none",
        "without urgency: started within 9.9 s": sum(
            delay <= MAX_START_S for delay in normal["delays"]
        ),
        "without urgency: worst start (s)": round(
            max(normal["delays"], default=0.0), 2
        ),
    }
    bounds = {
        "every urgent start within 9.9 s": urgent["missing"] == 0
        and max(urgent["delays"]) <= MAX_START_S,
        "nothing above capacity": "over capacity" not in urgent["breaches"],
        "no other breach": not urgent["breaches"],
    }
    return result.Result("urgent", seed, figures, bounds)


def _play(seed: int, priority: str) -> dict:
    loop = virtual_time.Loop()
    return virtual_time.run(_main(seed, priority, loop), loop=loop)


async def _main(seed: int, priority: str, loop: virtual_time.Loop) -> dict:
    world = _batch_world.make(seed, loop, data_centres=DATA_CENTRES)
    for number in range(WORKERS):
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        rack = f"r{number // 6}"
        world.add_worker(f"w{number}", data_centre, rack, cores=CORES, memory_gb=64.0)
    world.read_usage_samples = _desk_executors.DeskExecutors(
        world, {}, USAGE_LAG_S, used_core_share=1.2
    ).read_samples
    for number in range(3):
        world.add_entry(f"e{number}")
    for entry in world.entry_by_id.values():
        entry.client.stall_s_by_method.update(
            checkpoint=CHECKPOINT_DELAY_S, stop=STOP_DELAY_S
        )
        entry.client.stall_probability, entry.client.lost_answer_probability = (
            0.02,
            0.01,
        )
    world.start()
    await asyncio.sleep(6.0)
    rng = random.Random(seed)
    for number in range(12):
        await world.submit(
            f"batch{number}",
            tasks=20,
            cores=rng.choice([1.0, 2.0, 4.0]),
            run_s=rng.uniform(60.0, 900.0),
            priority=rng.choice(["normal", "low"]),
            work_class=f"class-{number % 4}",
        )
    await asyncio.sleep(15.0)
    submitted = await _submit_waves(world, rng, priority)
    await asyncio.sleep(30.0)
    return _figures(world, submitted)


async def _submit_waves(
    world: _batch_world.World, rng: random.Random, priority: str
) -> dict[str, float]:
    """Submit waves of tasks; return the time of submission by task id."""
    submitted: dict[str, float] = {}
    for wave in range(WAVES):
        for number in range(TASKS_PER_WAVE):
            name = f"u{wave}-{number}"
            submitted[f"{name}/0"] = world.loop.time()
            await world.submit(
                name,
                cores=rng.choice([2.0, 6.0, 12.0]),
                run_s=rng.uniform(5.0, 20.0),
                priority=priority,
                team="blue",
                work_class="urgent",
            )
        await asyncio.sleep(rng.uniform(8.0, 14.0))
    return submitted


def _figures(world: _batch_world.World, submitted: dict[str, float]) -> dict:
    start_delays_s, never_started = [], 0
    for task, at_s in submitted.items():
        runs = world.monitor.runs_by_task.get(task)
        if runs:
            start_delays_s.append(runs[0][1].started_at - at_s)
        else:
            never_started += 1
    return {
        "delays": start_delays_s,
        "missing": never_started,
        "evictions": world.monitor.evictions,
        "breaches": {kind: len(all_) for kind, all_ in world.monitor.breaches.items()},
    }
