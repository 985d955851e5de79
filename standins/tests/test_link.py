"""Tests of the link on loopback sockets."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from standins import link


@contextlib.asynccontextmanager
async def echo_link(**values: float) -> AsyncIterator[link.Link]:
    """Open a link to an echo server."""

    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(1000):
                writer.write(chunk)
            writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    async with link.open_link(server.sockets[0].getsockname()[1], **values) as opened:
        yield opened
    server.close()


def test_bytes_pass_whole_and_in_order_with_delay() -> None:
    """Guards against bytes that jitter reorders, and a missing delay."""

    async def main() -> None:
        async with echo_link(delay_ms=20, jitter_ms=10) as opened:
            reader, writer = await asyncio.open_connection("127.0.0.1", opened.port)
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            sent = bytes(range(256)) * 2000
            writer.write(sent)
            writer.write_eof()
            assert await reader.read(-1) == sent
            assert loop.time() - started_at >= 0.04
            writer.close()

    asyncio.run(main())


def test_cut_ends_connections_and_refuses_new_ones() -> None:
    """Guards against a cut that leaves old connections open."""

    async def main() -> None:
        async with echo_link() as opened:
            reader, writer = await asyncio.open_connection("127.0.0.1", opened.port)
            writer.write(b"x")
            assert await reader.readexactly(1) == b"x"
            opened.cut()
            with pytest.raises(ConnectionResetError):
                await reader.read(1)
            late_reader, late_writer = await asyncio.open_connection(
                "127.0.0.1", opened.port
            )
            with pytest.raises(ConnectionResetError):
                await late_reader.read(1)
            opened.restore()
            reader, writer = await asyncio.open_connection("127.0.0.1", opened.port)
            writer.write(b"y")
            assert await reader.readexactly(1) == b"y"
            writer.close()
            late_writer.close()

    asyncio.run(main())


def test_pause_holds_bytes_until_it_ends() -> None:
    """Guards against a pause that drops bytes or lets them through."""

    async def main() -> None:
        async with echo_link() as opened:
            reader, writer = await asyncio.open_connection("127.0.0.1", opened.port)
            opened.pause()
            writer.write(b"x")
            answer = asyncio.create_task(reader.readexactly(1))
            done, _ = await asyncio.wait([answer], timeout=0.1)
            assert not done
            opened.restore()
            assert await answer == b"x"
            writer.close()

    asyncio.run(main())


def test_refused_connections_are_accepted_again_on_the_same_port() -> None:
    """Guards against a refusal that resets open connections."""

    async def main() -> None:
        async with echo_link() as opened:
            port = opened.port
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            opened.refuse()
            opened.refuse()
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"x")
            assert await reader.readexactly(1) == b"x"
            await opened.listen()
            await opened.listen()
            late_reader, late_writer = await asyncio.open_connection("127.0.0.1", port)
            late_writer.write(b"y")
            assert await late_reader.readexactly(1) == b"y"
            writer.close()
            late_writer.close()

    asyncio.run(main())
