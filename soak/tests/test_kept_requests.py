"""Tests of the requests that callers send to an instance during its stop."""

import asyncio
import os
import random

import pytest

from emulator import deployment
from soak import _kept_requests

# Of this process, as two runs of the suite may overlap.
IP = f"127.{16 + os.getpid() % 200}.{os.getpid() // 200 % 250}.3"
ANSWER = b"HTTP/1.1 503 -\r\nContent-Length: 2\r\n\r\n{}"


def findings_of(*, reads, answers, closes_after_s):
    """Return what is found at a server that handles every request alike."""
    findings = []

    async def handle(reader, writer):
        try:
            if reads:
                await reader.readuntil(b"\r\n\r\n")
            if answers:
                writer.write(ANSWER)
            await asyncio.sleep(closes_after_s)
        finally:
            writer.close()  # Also as the test ends.

    async def run():
        server = await asyncio.start_server(handle, IP, deployment.CALLER_PORT)
        async with server:
            async with _kept_requests.sending(IP, random.Random(1), findings, "x"):
                await asyncio.sleep(3.0)

    asyncio.run(run())
    return findings


@pytest.mark.parametrize(
    ("reads", "answers", "closes_after_s", "is_found"),
    [(True, False, 1.5, True), (True, True, 0.0, False), (False, False, 0.0, False)],
    ids=["read and cut off", "answered", "closed while idle"],
)
def test_only_requests_that_were_read_count_as_cut_off(
    reads, answers, closes_after_s, is_found
):
    """Guards against a soak that looks through requests without an answer."""
    found = findings_of(reads=reads, answers=answers, closes_after_s=closes_after_s)
    assert bool(found) == is_found
