"""Tests of an entry instance and crowds of clients that do not behave.

They check nothing that depends on speed: the process lives, its memory and
descriptors stay under a bound, and an ordinary request is answered.
"""

import asyncio

import pytest

from tests import entry_crowd_builders

MAX_PEAK_BYTES = 200 * 1024 * 1024  # Memory of the smallest machines.
MAX_DESCRIPTORS = 1200
BODY_LIMIT = 262_144
PEER_BODY_LIMIT = 4 * 1024 * 1024
# The crowds are to stay until the tests end them.
PATIENT_LIMITS = {"header_timeout_s": 60, "body_timeout_s": 60}


async def check_after(instance, crowd):
    """Check that an instance lives within its bounds and answers."""
    assert await instance.submit_job() == 200
    assert instance.process.exit_status is None
    assert instance.peak_bytes <= MAX_PEAK_BYTES
    assert crowd.max_descriptors <= MAX_DESCRIPTORS


def play(requests, *, is_peer=False, **limits):
    """Send a crowd's requests to an instance, and check it meanwhile."""

    async def run():
        async with entry_crowd_builders.instance(
            **PATIENT_LIMITS, **limits
        ) as instance:
            port = instance.peer_port if is_peer else instance.caller_port
            async with entry_crowd_builders.crowd(instance, port, requests) as crowd:
                await check_after(instance, crowd)

    asyncio.run(run())


@pytest.mark.parametrize("path", ["/v1/jobs", "/v1/desk/recover-desk"])
def test_many_bodies_that_stop_short_of_their_end(path):
    """Guards against unfinished bodies that take all memory."""
    play([entry_crowd_builders.announced(path, BODY_LIMIT, BODY_LIMIT - 1)] * 800)


def test_many_chunked_bodies_without_an_end():
    """Guards against tiny chunks that take many times their size."""
    requests = [
        *[entry_crowd_builders.chunked("/v1/jobs", BODY_LIMIT - 4096, 4096)] * 600,
        *[entry_crowd_builders.chunked("/v1/desk/recover-desk", 60_000, 2)] * 100,
    ]
    play(requests)


def test_bodies_far_over_the_limit():
    """Guards against bodies that are read before they are refused."""
    size = 7 * 1024 * 1024
    requests = [
        *[entry_crowd_builders.announced("/v1/jobs", size, size - 1)] * 30,
        *[entry_crowd_builders.chunked("/admin/v1/health", size, 65_536)] * 30,
    ]
    play(requests)


def test_large_bodies_on_the_peer_port():
    """Guards against a peer port that takes any number of large bodies."""
    parts = entry_crowd_builders.announced(
        "/peer/v1/forward", PEER_BODY_LIMIT, PEER_BODY_LIMIT - 1
    )
    play([parts] * 80, is_peer=True)


@pytest.mark.parametrize("is_idle", [True, False])
def test_all_connections_held(is_idle):
    """Guards against open connections that shut out other callers."""
    parts = [] if is_idle else entry_crowd_builders.announced("/v1/jobs", 1000, 999)
    play([parts] * 150, connections=100)


def test_a_large_job_in_calm():
    """Guards against bounds that refuse a single request within the limits.

    The request says that it is a form, as clients do by default.
    """

    async def run():
        async with entry_crowd_builders.instance() as instance:
            reply = await instance.client.call(
                "POST",
                f"http://127.0.0.1:{instance.caller_port}/v1/jobs",
                key=entry_crowd_builders.CALLER_KEY,
                body=entry_crowd_builders.large_job(),
                headers={"Content-Type": "application/x-www-form-urlencoded"},
            )
            assert reply.status == 200

    asyncio.run(run())
