"""Tests of what an instance does with requests that others admitted."""

import types

import msgspec
import pytest

from limpetstream import errors
from limpetstream.organisations import revocations
from limpetstream.shard import job_api, peer_messages
from limpetstream.workflow import messages
from standins import keyed_store, virtual_time

JOB_ID = "5c0e7a21d94b36f8"
JOB = messages.Submission(JOB_ID, "q", "service", "spec", [messages.Step(1)])
OLD = revocations.Admission("north", 1)


class RecordingPeers:
    """Records the requests to other instances, which all store jobs."""

    def __init__(self):
        self.requests = []

    async def call(self, member, request, *, timeout_s):
        self.requests.append(request)
        return peer_messages.PeerReply(known=True)


def make_api(loop, peers=None):
    """Return an instance that knows that version 2 removed a key long ago."""
    known = revocations.Revocations(5.0, is_strict=True)
    known.note({"north"}, 2, loop.time() - 5.1)
    return job_api.JobApi(
        store=keyed_store.Client(keyed_store.Store()),
        peers=peers,
        server=types.SimpleNamespace(shard_by_number={}),
        owner_by_shard={},
        claimed_shards=(),
        member="m0",
        shard_count=1,
        clock=virtual_time.make_clock(loop),
        revocations=known,
    )


@pytest.mark.parametrize("kind", sorted(job_api.ADMITTED_KINDS))
def test_requests_admitted_by_a_removed_key_are_refused(kind):
    """Guards against effects of a request that its instance admitted wrongly.

    Also against a refusal of requests of versions that tell no admission, and
    of those that carry on a cancel.
    """
    loop = virtual_time.Loop()

    async def scenario():
        api = make_api(loop)
        old = peer_messages.PeerRequest(kind, 0, JOB_ID, "q", JOB)
        old.organisation, old.configuration_version = "north", 1
        replies = [await api.answer_peer(old)]
        raw = msgspec.json.decode(msgspec.json.encode(old))
        for version in (2, None):
            raw["configuration_version"] = version
            if version is None:
                del raw["configuration_version"], raw["organisation"]
            request = msgspec.convert(raw, peer_messages.PeerRequest)
            replies.append(await api.answer_peer(request))
        return [(reply.refused == job_api.REVOKED, reply.unknown) for reply in replies]

    replies = virtual_time.run(scenario(), loop=loop)
    assert replies == [(True, False), (False, False), (False, False)]


def test_each_operation_tells_how_it_was_admitted():
    """Guards against an operation whose request cannot be checked."""
    loop = virtual_time.Loop()
    peers = RecordingPeers()

    async def scenario():
        api = make_api(loop, peers)
        for call in (
            api.job_state(JOB_ID, wait_s=1.0, admission=OLD),
            api.cancel(JOB_ID, wait_s=1.0, admission=OLD),
            api.count_waiting_jobs("q", wait_s=1.0, admission=OLD),
        ):
            with pytest.raises(errors.NotRun, match=job_api.REVOKED):
                await call
        api._store.faults.refuse, api._members = True, ["m0", "m1"]
        await api.submit(JOB, wait_s=3.0, admission=OLD)
        api._member_by_shard = {0: "m1"}
        assert await api._cancel_once(JOB_ID)

    virtual_time.run(scenario(), loop=loop)
    told = [(r.kind, r.organisation, r.configuration_version) for r in peers.requests]
    assert told == [("store", "north", 1), ("cancel", "", 0)]
