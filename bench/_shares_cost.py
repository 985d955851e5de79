"""Times the order of waiting tasks by shares, for ``organisation_shares``."""

import random
import time

from limpetstream.organisations import settings
from limpetstream.shard import state, turn_order
from limpetstream.shard.tests import builders
from limpetstream.workflow import state as workflow_state
from standins import virtual_time

EXECUTORS = 176
RUNS_PER_EXECUTOR = 10
ORGANISATIONS = 72
REPEATS = 5


def measure(seed: int, waiting: int, width: int) -> tuple[float, float]:
    """Return the processor ms of an order by due time, and by shares.

    Each is the shortest of ``REPEATS``.

    Args:
        seed: Decides which organisation has which work.
        waiting: Number of tasks that wait.
        width: Number of tasks of each job.
    """
    draw = random.Random(seed)
    shard = builders.make_shard(virtual_time.Loop(), executors=EXECUTORS)
    shard.searches.available = set(shard.executor_by_id)
    for executor in shard.executor_by_id.values():
        for task in _make_job(shard, draw, RUNS_PER_EXECUTOR):
            builders.start_run(executor, task)
    due = []
    for _ in range(waiting // width):
        due += _make_job(shard, draw, width)
    names = [f"o{number}" for number in range(ORGANISATIONS)]
    by_name = {name: settings.Organisation(name) for name in names}
    took_ms: dict[bool, list[float]] = {False: [], True: []}
    for _ in range(REPEATS):
        for by_shares, times in took_ms.items():
            shard.view.configuration.organisation_by_name = by_name if by_shares else {}
            started = time.process_time()
            turn_order.sort(shard, due, 0.0)
            times.append((time.process_time() - started) * 1000)
    return min(took_ms[False]), min(took_ms[True])


def _make_job(
    shard: state.Shard, draw: random.Random, width: int
) -> list[workflow_state.Task]:
    """Return the tasks of a job of some organisation that have waited long."""
    step = builders.copy_step(
        builders.SHORT, count=width, cpu_millicores=draw.choice((500, 1000, 4000))
    )
    tasks = builders.make_tasks(shard, step)
    tasks[0].job.submission.organisation = f"o{draw.randrange(ORGANISATIONS)}"
    for task in tasks:
        task.ready_at = -1.0
    return tasks
