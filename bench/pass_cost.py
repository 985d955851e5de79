"""Measures a scheduling pass while many tasks wait that fit nowhere.

Every executor is full of short and best-effort runs that end soon. Half as
many long-running tasks as executors wait, at most 300, each of a size of its
own, and twice as many short ones. The long-running tasks look for runs to
preempt in each pass. The queues are as many as in the users' deployments.
"""

import time

import loguru
import pytest

from bench import result
from limpetstream.shard import scheduling, searches, state
from limpetstream.shard.tests import builders
from limpetstream.workflow import messages
from standins import shard_cluster, virtual_time

EXECUTOR_COUNTS = (24, 176, 2300)
MAX_LONG_RUNNING = 300
QUEUE_COUNT = 12
PASSES = 20
PASS_S = 0.004
WAITING_COUNTS = (1000, 10_000, 30_000)
WAITING_PASSES = 6
MAX_ROUND_PASSES = 1000
MAX_MEASURED_S = 20.0  # Stops the passes of one size.


def run(seed: int) -> result.Result:
    """Measure the first pass, the later ones and their work at each size.

    Each size is measured again with nothing kept from pass to pass.
    """
    loguru.logger.remove()
    figures: dict[str, object] = {}
    for size in EXECUTOR_COUNTS:
        took_ms, forgetful_ms = _measure_passes(size), _measure_passes(size, keep=False)
        visits, visited_passes = _count_visits(size)
        at = f"at {size} executors"
        figures[f"first pass {at} (ms)"] = round(took_ms[0], 1)
        figures[f"longest pass {at} (ms)"] = round(max(took_ms), 1)
        figures[f"{len(took_ms)} passes {at} (ms)"] = round(sum(took_ms), 1)
        figures[f"{len(forgetful_ms)} passes, nothing kept, {at} (ms)"] = round(
            sum(forgetful_ms), 1
        )
        figures[f"ratio of a mean pass, kept to not kept, {at}"] = round(
            sum(took_ms) * len(forgetful_ms) / len(took_ms) / sum(forgetful_ms), 3
        )
        figures[f"visits in {visited_passes} passes {at}"] = visits
        figures[f"passes of the first round {at}"] = _count_round(size)
    for count in WAITING_COUNTS:
        figures[f"later pass, {count} wait at 176 executors (ms)"] = round(
            _measure_waiting(count), 1
        )
    return result.Result("pass_cost", seed, figures, {})


def _measure_passes(size: int, *, keep: bool = True) -> list[float]:
    """Return how many milliseconds each of the first passes takes."""
    loop, shard = _make_full_shard(size)
    took_ms: list[float] = []
    while len(took_ms) < PASSES and sum(took_ms) < MAX_MEASURED_S * 1000:
        if not keep:
            shard.searches = searches.Searches()
        started = time.perf_counter()
        scheduling.run_pass(shard)
        took_ms.append((time.perf_counter() - started) * 1000)
        _advance(shard, loop)
    return took_ms


def _measure_waiting(count: int) -> float:
    """Return the milliseconds of a pass over tasks whose search has failed."""
    loop, shard = _make_full_shard(176)
    for number in range(count // 10):
        step = builders.copy_step(
            builders.SHORT, count=10, cpu_millicores=6_000 + number % 50
        )
        shard.waiting_tasks.extend(builders.make_tasks(shard, step))
    took_ms = 0.0
    for _ in range(WAITING_PASSES):
        started = time.perf_counter()
        scheduling.run_pass(shard)
        took_ms = (time.perf_counter() - started) * 1000
        _advance(shard, loop)
    return took_ms


def _count_visits(size: int) -> tuple[int, int]:
    """Return the executors and runs that two passes look at, and two."""
    loop, shard = _make_full_shard(size)
    with pytest.MonkeyPatch.context() as patch:
        visits = builders.count_visits(shard, patch)
        for _ in range(2):
            scheduling.run_pass(shard)
            _advance(shard, loop)
    return visits.executors + visits.runs, 2


def _count_round(size: int) -> int:
    """Return how many passes it takes until each task had its turn."""
    loop, shard = _make_full_shard(size)
    for passes in range(1, MAX_ROUND_PASSES):
        scheduling.run_pass(shard)
        _advance(shard, loop)
        if shard.searches.round_number:
            return passes
    return MAX_ROUND_PASSES


def _advance(shard: state.Shard, loop: virtual_time.Loop) -> None:
    loop._virtual.now += PASS_S
    shard.ownership_proven_at = loop.time()


def _make_full_shard(size: int) -> tuple[virtual_time.Loop, state.Shard]:
    """Return a shard with no capacity left, and the tasks that wait."""
    loop = virtual_time.Loop()
    shard = builders.make_shard(loop, executors=size)
    shard.view.configuration = messages.Configuration(1, _queues())
    shard.run_s_by_queue["batch"] = 0.8
    for executor in shard.executor_by_id.values():
        for step in (
            builders.copy_step(builders.SHORT, count=10),
            builders.copy_step(builders.BEST_EFFORT, count=3),
        ):
            for task in builders.make_tasks(shard, step):
                builders.start_run(executor, task, start_requested_at=-0.2)
    for number in range(min(MAX_LONG_RUNNING, size // 2)):
        step = builders.copy_step(
            builders.SERVING, cpu_millicores=13_000 + number, max_per_executor=2
        )
        _add_waiting(shard, step)
        for half in range(2):
            step = builders.copy_step(
                builders.SHORT, cpu_millicores=6_000 + 2 * number + half
            )
            _add_waiting(shard, step)
    return loop, shard


def _queues() -> list[messages.Queue]:
    """Return the queues; that of the runs and tasks comes last."""
    others = [
        messages.Queue(f"q{n}", "host", f"/{n}/", "service", 0, 3, 2.0, 1000.0)
        for n in range(QUEUE_COUNT - 1)
    ]
    return [*others, shard_cluster.BATCH]


def _add_waiting(shard: state.Shard, step: messages.Step) -> None:
    for task in builders.make_tasks(shard, step):
        task.ready_at = -0.5
        shard.waiting_tasks.append(task)
