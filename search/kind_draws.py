"""Draws schedules with every kind of task and with changes of executors."""

import dataclasses
import random
from collections.abc import Callable

from limpetstream.workflow import messages
from search import draws, executor_faults, fault_world, overlapping_faults, schedules
from standins import shard_cluster

CALM_STRETCH_S = 14.0  # Long enough for the rule on work that stands still.
LAST_SUBMISSION_S = 13.0
CROWDED_SHARE = 0.15  # Schedules in which serving work slows the rest.
MAX_ATTEMPTS = 1000  # Runs that fail are a fault here, not the job's.


def draw(seed: int) -> schedules.Schedule:
    """Draw a schedule; tasks that last use a third of the processors at most.

    Args:
        seed: Seed of all draws.
    """
    generator = random.Random(f"kinds {seed}")
    executors = generator.randint(6, 9)
    instances, reserves = generator.choice([(3, 0), (3, 0), (2, 0), (4, 0), (1, 2)])
    faults = _draw_faults(generator)
    is_crowded = generator.random() < CROWDED_SHARE
    draw_lasting = _crowding_jobs if is_crowded else _lasting_jobs
    jobs = draw_lasting(generator, executors)
    at = 0.0
    while at < LAST_SUBMISSION_S:
        jobs.append(_draw_job(generator, at))
        at += generator.uniform(0.3, 1.4)
    resets = generator.random() < 0.5
    for _ in range(generator.choice([0, 0, 1, 2])):
        _add_calm(generator, faults, jobs)
    return schedules.Schedule(
        seed,
        executors,
        instances,
        reserves,
        resets,
        jobs,
        faults,
        is_watched=True,
    )


def _draw_faults(generator: random.Random) -> list[schedules.Fault]:
    weight_by_kind = {
        kind: weight
        for faults in (overlapping_faults.FAULTS, executor_faults.FAULTS)
        for kind, (_function, weight) in faults.items()
    }
    kinds = generator.choices(
        list(weight_by_kind), list(weight_by_kind.values()), k=generator.randint(1, 6)
    )
    return [draws.draw_fault(generator, kind) for kind in kinds]


def _add_calm(
    generator: random.Random, faults: list[schedules.Fault], jobs: list[schedules.Job]
) -> None:
    """Put a stretch of calm into a schedule."""
    last_at = max(fault.at for fault in faults)
    pause_at = generator.uniform(2.0, max(6.0, last_at + 1.0))
    for part in [*faults, *jobs]:
        if part.at > pause_at:
            part.at += CALM_STRETCH_S
    for job in jobs:
        if job.cancelled_at is not None and job.cancelled_at > pause_at:
            job.cancelled_at += CALM_STRETCH_S


def _lasting_jobs(generator: random.Random, executors: int) -> list[schedules.Job]:
    """Draw one to three jobs whose tasks last."""
    kinds = [
        _step(executors // 2, 4000, long_running=True),
        _step(3, 2000, long_running=True, max_per_executor=1),
        _step(2, 2000, memory_mb=24_000, long_running=True),
        _step(2, 2000, long_running=True, required_label=fault_world.LARGE),
        _step(2, 2000, long_running=True, fills=True, image=_image(generator)),
    ]
    count = generator.choice([2, 3, executors, executors])
    serving = _step(
        count,
        2000,
        long_running=True,
        image=generator.choice(["serving-a", "serving-b"]),
        tail_target_ms=50.0,
        may_miss=generator.choice([0, 1]),
        max_per_executor=int(count == executors),  # One on each.
    )
    steps = generator.sample(kinds, generator.randint(0, 2))
    if generator.random() < 0.6 or not steps:
        steps.append(serving)
    return [
        schedules.Job(
            generator.choice([0.0, generator.uniform(0.0, LAST_SUBMISSION_S)]),
            [step],
            [0.0],
            queue=_queue(generator),
        )
        for step in steps
    ]


def _crowding_jobs(generator: random.Random, executors: int) -> list[schedules.Job]:
    """Draw serving work on each executor, and what slows it beside it.

    Less than half of the processors are in use, and further best-effort work
    of that image would bring the serving work over its target.
    """
    letter = generator.choice("ab")
    serving = _step(
        executors,
        1000,
        long_running=True,
        image=f"serving-{letter}",
        tail_target_ms=50.0,
        max_per_executor=1,
    )
    filling = _step(
        executors, 6000, long_running=True, fills=True, image=f"batch-{letter}"
    )
    return [
        schedules.Job(0.0, [step], [0.0], queue=_queue(generator))
        for step in (serving, filling)
    ]


def _draw_job(generator: random.Random, at: float) -> schedules.Job:
    """Draw a job that ends."""
    draw_steps, weight = zip(*_KINDS, strict=True)
    steps, seconds_by_step = generator.choices(draw_steps, weight)[0](generator)
    cancelled_at = at + generator.uniform(0.5, 8.0)
    return schedules.Job(
        at,
        steps,
        seconds_by_step,
        cancelled_at if generator.random() < 0.1 else None,
        _queue(generator),
    )


Drawn = tuple[list[messages.Step], list[float]]


def _chain(generator: random.Random) -> Drawn:
    """Return short steps, each of which follows the one before."""
    count, cpu = generator.choice([1, 1, 2, 3]), generator.choice([2000, 4000])
    length = generator.randint(1, 4)
    steps = [
        _step(
            count,
            cpu,
            after=(number - 1,) if number else (),
            checkpoints=generator.random() < 0.3,
        )
        for number in range(length)
    ]
    return steps, [generator.uniform(0.3, 3.0) for _ in steps]


def _diamond(generator: random.Random) -> Drawn:
    """Return two steps that follow one, and one that follows both."""
    afters = generator.choice([[(), (0,), (0,), (1, 2)], [(), (), (0, 1)]])
    steps = [_step(generator.choice([1, 2]), 2000, after=after) for after in afters]
    return steps, [generator.uniform(0.3, 3.0) for _ in steps]


def _gang(generator: random.Random) -> Drawn:
    """Return a gang, sometimes after another step."""
    gang = _step(generator.randint(2, 5), generator.choice([2000, 4000]), gang=True)
    if generator.random() < 0.3:
        gang.after = (0,)
        return [_step(1, 2000), gang], [1.0, generator.uniform(1.0, 4.0)]
    return [gang], [generator.uniform(1.0, 6.0)]


def _best_effort(generator: random.Random) -> Drawn:
    """Return a best-effort step with short or long tasks."""
    cpu = generator.choice([1000, 2000, 4000, 8000])
    step = _step(
        generator.randint(1, 4),
        cpu,
        fills=True,
        image=_image(generator),
        checkpoints=generator.random() < 0.5,
    )
    seconds = [generator.uniform(0.5, 3.0), generator.uniform(4.0, 10.0)]
    return [step], [generator.choice(seconds)]


def _bound(generator: random.Random) -> Drawn:
    """Return a step whose tasks suit some executors only."""
    changes = generator.choice(
        [
            {"required_label": fault_world.LARGE},
            {"accelerators": 1, "required_label": fault_world.LARGE},
            {"accelerators": 2},
            {"max_per_executor": 1},
            {"rack_sensitive": True},
            {"data_rack": "rack-0"},
            {"memory_mb": 24_000},
        ]
    )
    step = _step(generator.randint(1, 3), 2000, **changes)
    return [step], [generator.uniform(0.5, 6.0)]


def _step(count: int, cpu: int, **options: object) -> messages.Step:
    options = {"memory_mb": schedules.MEMORY_MB, **options}
    return messages.Step(count, cpu_millicores=cpu, **options)


def _image(generator: random.Random) -> str:
    return generator.choice(["batch-a", "batch-b"])


def _queue(generator: random.Random) -> messages.Queue:
    queue = generator.choice([shard_cluster.QUEUE, shard_cluster.BATCH])
    return dataclasses.replace(queue, max_attempts=MAX_ATTEMPTS)


_KINDS: tuple[tuple[Callable[[random.Random], Drawn], int], ...] = (
    (_chain, 4),
    (_diamond, 2),
    (_gang, 2),
    (_best_effort, 4),
    (_bound, 4),
)
