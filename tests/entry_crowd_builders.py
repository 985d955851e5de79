"""Runs an entry instance as a process, and crowds of clients against it."""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
from collections.abc import AsyncIterator, Iterable

import msgspec

from demo import http_client
from limpetstream.admin import seeding
from standins import processes

ENTRY_ID = "entry-crowds"
PEER_KEY = "crowds-peer-key-0123456789"
CALLER_KEY = "demo-caller-key-till"
SETTINGS_TREE = "examples/brightwater.jsonc"
LOG_DIRECTORY = "build/entry-crowds"
START_LIMIT_S = 20.0
# Time for the ordinary request; it is tried again after a refusal.
ANSWER_LIMIT_S = 10.0
RETRY_INTERVAL_S = 0.2
# A crowd ends if the instance does not read or end its connections.
SEND_LIMIT_S = 8.0
SAMPLE_INTERVAL_S = 0.02
STOP_TIMEOUT_S = 1.0
PART_BYTES = 32_768
JOB = {
    "kind": "batch",
    "work_class": "planning",
    "tasks": [
        {"count": 1, "cores": 1, "memory_gb": 1, "accelerators": 0, "run_s": 0.1}
    ],
}


@dataclasses.dataclass(slots=True)
class Instance:
    """A running entry instance.

    Args:
        caller_port: Its port for callers.
        peer_port: Its port for other instances.
        process: Its process.
        client: Sends ordinary requests.
    """

    caller_port: int
    peer_port: int
    process: processes.Process
    client: http_client.HttpClient

    @property
    def peak_bytes(self) -> int:
        """Largest resident memory that the process has had."""
        path = pathlib.Path(f"/proc/{self.process.popen.pid}/status")
        for line in path.read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        raise processes.ProcessFailed("the process has no memory any more")

    @property
    def descriptors(self) -> int:
        """Number of its open descriptors."""
        directory = pathlib.Path(f"/proc/{self.process.popen.pid}/fd")
        return sum(1 for _ in directory.iterdir())

    async def submit_job(self) -> int:
        """Submit a job until it is answered; return the last status.

        The status is 0 if no connection was served.
        """
        status = 0
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + ANSWER_LIMIT_S
        while status != 200 and loop.time() < ends_at:
            try:
                reply = await self.client.call(
                    "POST",
                    f"http://127.0.0.1:{self.caller_port}/v1/jobs",
                    key=CALLER_KEY,
                    body=JOB,
                    headers={"Request-Id": "ordinary"},
                    timeout_s=ANSWER_LIMIT_S,
                )
                status = reply.status
            except (http_client.Refused, http_client.NoReply):
                status = 0
            if status != 200:
                await asyncio.sleep(RETRY_INTERVAL_S)
        return status


@contextlib.asynccontextmanager
async def instance(**limits: object) -> AsyncIterator[Instance]:
    """Run an entry instance and the platform stand-in as processes.

    Args:
        limits: Values of ``limits`` in its settings file.
    """
    client = http_client.HttpClient()
    with (
        processes.process_group(LOG_DIRECTORY, stop_timeout_s=STOP_TIMEOUT_S) as group,
        contextlib.closing(client),
    ):
        port = processes.free_port()
        platform_url = f"http://127.0.0.1:{port}"
        platform = group.start(
            "platform",
            "standins.platform",
            *("--port", str(port), "--layout", "brightwater", "--seed", "1"),
        )
        await platform.wait_until_ready(platform_url, "/breaches")
        tree = str(processes.ROOT / SETTINGS_TREE)
        await asyncio.to_thread(seeding.publish, platform_url, tree, "test")
        ports = processes.free_port(), processes.free_port()
        settings = {
            "id": ENTRY_ID,
            "data_centre": "gl-erie",
            "platform_url": platform_url,
            "peer_keys": [PEER_KEY],
            "host": "127.0.0.1",
            "caller_port": ports[0],
            "peer_port": ports[1],
            "limits": limits,
        }
        path = processes.ROOT / LOG_DIRECTORY / "settings.jsonc"
        path.write_text(json.dumps(settings))
        process = group.start(
            ENTRY_ID, "limpetstream.entry.program", "--settings", str(path)
        )
        await process.wait_until_ready(
            f"http://127.0.0.1:{ports[0]}", "/ready", timeout_s=START_LIMIT_S
        )
        yield Instance(*ports, process, client)


@dataclasses.dataclass(slots=True)
class Crowd:
    """Open connections, and the largest number of descriptors meanwhile."""

    writers: list[asyncio.StreamWriter] = dataclasses.field(default_factory=list)
    max_descriptors: int = 0


@contextlib.asynccontextmanager
async def crowd(
    target: Instance, port: int, requests: Iterable[list[bytes]]
) -> AsyncIterator[Crowd]:
    """Send requests, one a connection; the connections stay open in the block.

    The block begins once all was sent or the instance has ended or not read
    the rest within ``SEND_LIMIT_S``.

    Args:
        target: Instance that is sent to.
        port: Port of the instance.
        requests: Parts that are sent one after another.
    """
    opened = Crowd()

    async def send(parts: list[bytes]) -> None:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            opened.writers.append(writer)
            for part in parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0)

    async def sample() -> None:
        while target.process.exit_status is None:
            opened.max_descriptors = max(opened.max_descriptors, target.descriptors)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    sampling = asyncio.create_task(sample())
    try:
        await asyncio.wait(
            [asyncio.create_task(send(parts)) for parts in requests],
            timeout=SEND_LIMIT_S,
        )
        yield opened
    finally:
        sampling.cancel()
        for writer in opened.writers:
            writer.transport.abort()
        await asyncio.gather(sampling, return_exceptions=True)


def announced(path: str, announced_bytes: int, sent_bytes: int) -> list[bytes]:
    """Return a request whose body may stop before its announced end."""
    head = _head(path, f"Content-Length: {announced_bytes}")
    return [head, *_parts(b"x" * sent_bytes, PART_BYTES)]


def chunked(path: str, sent_bytes: int, chunk_bytes: int) -> list[bytes]:
    """Return a request whose body of chunks has no end."""
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    content = chunk * (sent_bytes // chunk_bytes)
    return [_head(path, "Transfer-Encoding: chunked"), *_parts(content, PART_BYTES)]


def large_job() -> bytes:
    """Return a valid job whose text is large for the limit of a body."""
    return msgspec.json.encode(JOB) + b" " * 200_000


def _head(path: str, *lines: str) -> bytes:
    rows = [
        f"POST {path} HTTP/1.1",
        "Host: x",
        f"Authorization: Bearer {CALLER_KEY}",
        *lines,
    ]
    return ("\r\n".join(rows) + "\r\n\r\n").encode()


def _parts(content: bytes, size: int) -> list[bytes]:
    return [content[at : at + size] for at in range(0, len(content), size)]
