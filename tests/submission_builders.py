"""Builds an instance between a store and another instance that can break."""

import contextlib

from adapter import store as store_module
from limpetstream import clock, errors
from limpetstream.platform import http
from limpetstream.shard import job_api, names, peering
from limpetstream.workflow import messages
from tests import breaking_servers

JOB_ID = "5c0e7a21d94b36f8"
OTHER_JOB_ID = "5c0e7a21d94b36f9"
THIRD_JOB_ID = "5c0e7a21d94b36fa"
WAIT_S = 1.0


class System:
    """An instance, and a store and another instance that can break.

    Attributes:
        store: Server in place of the store.
        peer: Server in place of the other instance.
        stored: Jobs that the store or the other instance has stored.
        api: Operations of the instance.
    """

    def __init__(self, client):
        self.stored = []
        self.store = breaking_servers.BreakingServer(self._answer_store)
        self.peer = breaking_servers.BreakingServer(self._answer_peer)
        self.api = job_api.JobApi(
            store=None,
            peers=peering.HttpPeers(client),
            server=None,
            owner_by_shard={},
            claimed_shards=(),
            member="127.0.0.1:1#here",
            shard_count=1,
            clock=clock.Clock(),
        )

    def connect(self, client):
        """Let the instance use the store, whose port is known by now."""
        self.api._store = store_module.Store(client, f"127.0.0.1:{self.store.port}")

    async def learn_members(self):
        """Let the instance learn of the other one, as a lookup does."""
        await self.api._look_up_owners()

    def _answer_store(self, path, body):
        if path == store_module.APPEND_PATH:
            self.stored.append(body)
            return {"offset": 0, "end": 1}
        return [[names.PROGRESS_TOPIC, 0, f"127.0.0.1:{self.peer.port}#there", 0]]

    def _answer_peer(self, path, body):
        self.stored.append(body)
        return {"known": True}


@contextlib.asynccontextmanager
async def open_system():
    client = http.Client(base_url="", clock=clock.Clock())
    system = System(client)
    async with system.store.listening(), system.peer.listening():
        system.connect(client)
        try:
            yield system
        finally:
            client.close()


async def submit(system, job_id=JOB_ID, **options):
    """Hand a job in and return ``stored``, ``refused`` or ``unknown``."""
    submission = messages.Submission(
        job_id=job_id,
        queue="r-1",
        service="service",
        spec="spec",
        steps=[messages.Step(1)],
        max_attempts=4,
        accepted_ms=0,
    )
    try:
        await system.api.submit(submission, **{"wait_s": WAIT_S, **options})
    except errors.NotRun:
        return "refused"
    except errors.OutcomeUnknown:
        return "unknown"
    return "stored"
