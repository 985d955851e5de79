"""Tests of owners of versions in which instances do not vote.

All run on virtual time.
"""

import asyncio

import loguru
import pytest

from limpetstream.shard import executor_records, ownership, proof
from limpetstream.shard.tests import schedules
from limpetstream.workflow import messages

EXECUTORS = 5
EARLIER = "m0"


@pytest.fixture(autouse=True)
def quiet():
    loguru.logger.remove()


@pytest.fixture
def earlier_version(monkeypatch):
    """Let one instance prove its ownership like versions without votes."""
    majorities_at = proof._majorities_at

    def of_version(shard):
        if shard.instance_quorum.member == EARLIER:
            return executor_records.majority_polled_at(shard)
        return majorities_at(shard)

    monkeypatch.setattr(proof, "_majorities_at", of_version)
    monkeypatch.setattr(ownership, "_do_instances_vote", lambda entries: False)


def test_no_task_runs_twice_beside_an_owner_of_an_earlier_version(earlier_version):
    """Guards against a successor that takes an owner for ended by time.

    The owner has lost the store and keeps three of five executors, of which
    the successor reaches none.
    """

    async def scenario(cluster):
        cluster.start(EARLIER).job_api._server._peers = None
        await asyncio.sleep(2)
        cluster.start("m1")
        await asyncio.sleep(2)
        assert cluster.owner_member() == EARLIER
        step = messages.Step(8, cpu_millicores=4000, memory_mb=100, long_running=True)
        assert await cluster.submit(schedules.job_id(0), [step], seconds=0.0)
        await asyncio.sleep(5)
        ids = list(cluster.executor_by_id)
        schedules.isolate(cluster, EARLIER, ids[:2], one_way=False)
        cluster.instance_by_member["m1"].executor_client.unreachable_ids |= set(ids[2:])
        await asyncio.sleep(proof.MAX_WITHOUT_APPEND_S + 15)

    cluster = schedules.run_scenario(scenario, executors=EXECUTORS)
    assert not cluster.breaches.found
