"""Load: many tasks at once, more than the owner has under way at a time."""

import asyncio

import loguru
import pytest

from limpetstream.shard.tests import (
    link_builders,
    processor_builders as builders,
    schedules,
)

EXECUTORS = 100
JOBS = 18
TASKS = 100
BYTES_PER_S = 25_000_000  # 200 Mbit/s.
# The aim for 95 of 100 first starts (issue 32).
MAX_WAIT_S = 0.5


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


def test_a_burst_of_tasks_starts_in_time():
    """Guards against tasks that wait 50 ms for each 64 starts.

    A pass is left out while many decided starts are not sent yet. The next one
    followed only when something else had changed, or after the pause of an
    owner without changes: the first 1,800 tasks of a day took 1.3 s, while the
    event loop was in time.
    """

    async def scenario(cluster):
        cluster.link_by_member["m0"] = link_builders.make_link(BYTES_PER_S)
        cluster.start("m0")
        await asyncio.sleep(2)
        job_ids = [schedules.job_id(number) for number in range(JOBS)]
        for job_id in job_ids:
            seen.submitted_at[job_id] = asyncio.get_running_loop().time()
        steps = schedules.steps(TASKS, cpu=100)
        submits = [cluster.submit(each, steps, seconds=1.0) for each in job_ids]
        assert all(await asyncio.gather(*submits))
        await asyncio.sleep(5)
        waits_s.extend(seen.waits_s(job_ids, TASKS))

    waits_s = []
    with builders.seeing() as seen:
        cluster = schedules.run_scenario(scenario, executors=EXECUTORS)
    assert waits_s[int(0.95 * len(waits_s))] <= MAX_WAIT_S
    assert not cluster.breaches.found
