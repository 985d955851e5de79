"""Sends to executors over real sockets."""

import asyncio
import socket

import pytest

from limpetstream import clock as clocks, errors
from limpetstream.desk import sender
from limpetstream.desk.tests import builders, sockets
from limpetstream.settings import schema


def run(main):
    """Run a coroutine on real time."""
    asyncio.run(main())


async def send(
    address, *, idempotent=True, check=lambda: None, shared_sender=None, **options
):
    """Send one request and return the result."""
    request_sender = shared_sender or sender.Sender(clocks.Clock())
    world = builders.World({}, {})
    request = builders.request(world, idempotent=idempotent)
    options.setdefault("timeout_s", 2.0)
    try:
        return await request_sender.send(
            sockets.executor(address), request, schema.Service(), check=check, **options
        )
    finally:
        if shared_sender is None:
            request_sender.close_all()


@pytest.mark.parametrize("script", [sockets.cut, sockets.short, sockets.unbounded])
@pytest.mark.parametrize("idempotent", [True, False])
def test_no_answer_is_written_and_sent_once(script, idempotent):
    """Guards against accepting truncated answers and a wrong "not run"."""

    async def main():
        async with sockets.executors(script) as [(executor, address)]:
            result = await send(address, idempotent=idempotent)
            assert result.answer is None
            assert result.written
            assert len(executor.requests) == 1

    run(main)


def test_connection_cut_after_reuse():
    """Guards against libcurl's own resend of a non-idempotent request."""

    async def script(reader, writer, number):
        if number % 2:
            await sockets.good(reader, writer, number)
        else:
            writer.close()

    async def main():
        async with sockets.executors(script) as [(executor, address)]:
            shared_sender = sender.Sender(clocks.Clock())
            assert (
                await send(address, idempotent=True, shared_sender=shared_sender)
            ).answer
            result = await send(address, idempotent=False, shared_sender=shared_sender)
            assert result.answer is None
            assert result.written
            await asyncio.sleep(0.05)
            assert len(executor.requests) == 2
            shared_sender.close_all()

    run(main)


def test_split_answer_is_whole():
    """Guards against answers that are passed on before they are complete."""

    async def main():
        async with sockets.executors(sockets.split) as [(_, address)]:
            assert (await send(address)).answer.body == b"in pieces"

    run(main)


def test_refused_connection_is_not_written():
    """Guards against "unknown" for a request that cannot have run."""

    async def main():
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            result = await send(f"127.0.0.1:{closed.getsockname()[1]}")
            assert (result.answer, result.written) == (None, False)

    run(main)


def test_silent_executor_is_written():
    """Guards against "not run" for a request that was sent and timed out."""

    async def silent(reader, writer, number):
        await asyncio.sleep(0.6)

    async def main():
        async with sockets.executors(silent) as [(_, address)]:
            result = await send(address, timeout_s=0.3)
            assert (result.answer, result.written) == (None, True)

    run(main)


@pytest.mark.parametrize("passes", [0, 1])
def test_last_check_is_made_when_the_request_is_written(passes):
    """Guards against a write after a pause that outlasts the right."""
    calls = []

    def check():
        calls.append(1)
        if len(calls) > passes:
            raise errors.RightEnded("ended")

    async def main():
        async with sockets.executors(sockets.good) as [(executor, address)]:
            with pytest.raises(errors.RightEnded):
                await send(address, check=check)
            await asyncio.sleep(0.02)
            assert not executor.requests

    run(main)


def test_connections_are_bounded_also_idle_ones():
    """Guards against more than 9 connections of a holder to an executor."""

    async def slow(reader, writer, number):
        await asyncio.sleep(0.02)
        await sockets.good(reader, writer, number)

    async def main():
        async with sockets.executors(slow) as [(executor, address)]:
            shared_sender = sender.Sender(clocks.Clock())
            for mark in (True, False, True, False):
                await asyncio.gather(
                    *(
                        send(address, idempotent=mark, shared_sender=shared_sender)
                        for _ in range(8)
                    )
                )
            assert executor.peak_connections <= 9
            shared_sender.close("executors/dc0/0")
            await asyncio.sleep(0.05)
            assert executor.open_connections == 0

    run(main)
