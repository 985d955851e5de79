"""Tests of reads of the store on connections that have gone silent."""

import asyncio

import loguru
import pytest

from limpetstream import errors
from limpetstream.shard import names
from limpetstream.shard.tests import schedules

COUNTED_S = 5.0  # Within this time an accepted job is counted as waiting.
MARGIN_S = 1.0


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


class SilentRead:
    """Lets the next read of new jobs be on a connection that is silent."""

    def __init__(self, store):
        self.begun = asyncio.Event()
        self._read = store.read
        store.read = self.read

    async def read(self, topic, *arguments, timeout_s, **options):
        if topic != names.SUBMISSIONS_TOPIC or self.begun.is_set():
            return await self._read(topic, *arguments, timeout_s=timeout_s, **options)
        self.begun.set()
        await asyncio.sleep(timeout_s)
        raise errors.PlatformUnavailable("no answer")


def test_a_silent_connection_does_not_hide_an_accepted_job_for_long():
    """Guards against a job that is accepted and neither counted nor started.

    The only read of new jobs waited for 5.7 s on the silent connection. There
    is no executor, so the job waits.
    """

    async def scenario(cluster):
        loop = asyncio.get_running_loop()
        instance = cluster.start("m0")
        await asyncio.sleep(4)
        silent = SilentRead(instance.store)
        await silent.begun.wait()
        accepted_at = loop.time()
        assert await cluster.submit(
            schedules.job_id(0), schedules.steps(1), seconds=1.0
        )
        while not await instance.job_api.count_waiting_jobs("desk", wait_s=3.0):
            await asyncio.sleep(0.05)
            assert loop.time() < accepted_at + COUNTED_S - MARGIN_S

    schedules.run_scenario(scenario, executors=0)
