"""Builds crowds of clients that load one process, and watches the process.

A client is the bytes that it sends on one connection. Most clients stop just
short of the end of their request and keep the connection open.
"""

import asyncio
import contextlib
import dataclasses
import http.client
import itertools
import os
import pathlib
import random
import selectors
import socket
import threading
import time
from collections.abc import Callable, Iterable, Iterator

from emulator import deployment
from tests import stop_builders

MB = 1_000_000
MEMORY_MB = 128  # An idle process takes 42.
MAX_FDS = 4000
LOW_MAX_FDS = 500
FILE_FDS = 200  # The platform reserves them for files; see DEPLOY.md.
METRICS_PORT = 9464
LEGAL_BYTES = 262_144  # Limit of a caller's body.

GRACE_S = 2.0
STOP_LIMIT_S = 8.0
SEND_LIMIT_S = 5.0
OPEN_S = 1.0  # For which clients keep their connections after the last byte.
WATCH_AFTER_S = 1.5
SAMPLE_INTERVAL_S = 0.05
DEADLINE_MS = 10_000
ANSWER_LIMIT_S = 12.0
MAX_ATTEMPTS = 10
MAX_RETRY_AFTER_S = 3.0
READ_BYTES = 65_536
SMALL_BUFFER_BYTES = 4096  # Of clients that read nothing.

LISTEN_STATE = "0A"


@dataclasses.dataclass(slots=True)
class Client:
    """One client of a crowd.

    Args:
        pieces: What it sends; it sends a piece before other clients go on.
        port: Port to which it connects.
        reads: Whether it reads what the process answers.
    """

    pieces: Iterable[bytes]
    port: int = deployment.CALLER_PORT
    reads: bool = True


@dataclasses.dataclass(slots=True)
class Peak:
    """Most that a process has taken.

    Args:
        memory_bytes: Resident memory and what its connections hold unread.
        unread_bytes: What its connections hold unread, in the kernel.
        sockets: Open sockets and pipes.
    """

    memory_bytes: int = 0
    unread_bytes: int = 0
    sockets: int = 0

    def __str__(self) -> str:
        return (
            f"{self.memory_bytes / MB:.0f} MB ({self.unread_bytes / MB:.0f} MB of it "
            f"unread at most), {self.sockets} sockets"
        )


@contextlib.contextmanager
def watched(pid: int, ip: str) -> Iterator[Peak]:
    """Sample what a process takes while the context is open.

    Args:
        pid: Id of the process.
        ip: Address on which it listens.
    """
    peak = Peak()
    ended = threading.Event()

    def sample_until_ended() -> None:
        while not ended.wait(SAMPLE_INTERVAL_S):
            with contextlib.suppress(OSError):  # The process has ended.
                _sample(peak, pid, ip)

    thread = threading.Thread(target=sample_until_ended)
    thread.start()
    try:
        yield peak
    finally:
        ended.set()
        thread.join()


def _sample(peak: Peak, pid: int, ip: str) -> None:
    process = pathlib.Path(f"/proc/{pid}")
    unread = _unread_bytes(ip)
    resident_pages = int((process / "statm").read_text().split()[1])
    resident = resident_pages * os.sysconf("SC_PAGE_SIZE")
    peak.memory_bytes = max(peak.memory_bytes, resident + unread, _high_water(process))
    peak.unread_bytes = max(peak.unread_bytes, unread)
    peak.sockets = max(peak.sockets, _count_sockets(process))


def _high_water(process: pathlib.Path) -> int:
    for line in (process / "status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    return 0


def _unread_bytes(ip: str) -> int:
    """Return what the connections to an address have received unread."""
    local = socket.inet_aton(ip)[::-1].hex().upper()
    total = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1].startswith(f"{local}:") and fields[3] != LISTEN_STATE:
            total += int(fields[4].split(":")[1], 16)
    return total


def _count_sockets(process: pathlib.Path) -> int:
    count = 0
    for path in (process / "fd").iterdir():
        with contextlib.suppress(OSError):  # Closed meanwhile.
            count += os.readlink(path).startswith(("socket:", "pipe:"))
    return count


def send(ip: str, clients: Iterable[Client]) -> None:
    """Send what all clients of a crowd send, then keep them open for a while.

    Refused clients do not come again.
    """
    with selectors.DefaultSelector() as selector, contextlib.ExitStack() as stack:
        for client in clients:
            connection = stack.enter_context(socket.socket())
            connection.setblocking(False)
            if not client.reads:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
                )
            connection.connect_ex((ip, client.port))
            sender = _Sender(connection, iter(client.pieces), client.reads)
            selector.register(connection, sender.events(), sender)
        send_until = time.monotonic() + SEND_LIMIT_S
        while time.monotonic() < send_until and any(
            key.data.is_sending for key in selector.get_map().values()
        ):
            _turn(selector)
        open_until = time.monotonic() + OPEN_S
        while time.monotonic() < open_until:
            _turn(selector)
            time.sleep(SAMPLE_INTERVAL_S)


def _turn(selector: selectors.BaseSelector) -> None:
    for key, events in selector.select(SAMPLE_INTERVAL_S):
        sender = key.data
        try:
            if events & selectors.EVENT_READ and not sender.read():
                selector.unregister(key.fileobj)
                continue
            if events & selectors.EVENT_WRITE:
                sender.write()
        except BlockingIOError:
            continue
        except OSError:  # The process has refused the connection or reset it.
            selector.unregister(key.fileobj)
            continue
        if not sender.events():
            selector.unregister(key.fileobj)
        elif key.events != sender.events():
            selector.modify(key.fileobj, sender.events(), sender)


class _Sender:
    """Sends the pieces of one client.

    Args:
        connection: Its connection.
        pieces: What is left to send.
        reads: Whether it reads.
    """

    def __init__(
        self, connection: socket.socket, pieces: Iterator[bytes], reads: bool
    ) -> None:
        self._connection = connection
        self._pieces = pieces
        self._reads = reads
        self._unsent = memoryview(b"")
        self.is_sending = True

    def events(self) -> int:
        """Return the events that the client waits for."""
        return selectors.EVENT_READ * self._reads | (
            selectors.EVENT_WRITE * self.is_sending
        )

    def read(self) -> bool:
        """Drop a part of the answers; return whether more may come."""
        return self._connection.recv(READ_BYTES) != b""

    def write(self) -> None:
        """Send the rest of a piece, or the next one."""
        if not self._unsent:
            piece = next(self._pieces, None)
            if piece is None:
                self.is_sending = False
                return
            self._unsent = memoryview(piece)
        self._unsent = self._unsent[self._connection.send(self._unsent) :]


def head(*lines: str, path: str = "", method: str = "POST") -> bytes:
    """Return the head of a request to submit a job, with additional lines."""
    path = path or stop_builders.job_path(new_job_id())
    headers = deployment.headers(DEADLINE_MS)
    rows = [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([f"{method} {path} HTTP/1.1", *rows, *lines, "", ""]).encode()


def new_job_id() -> str:
    """Return the id of a job that was not submitted before."""
    return f"{random.SystemRandom().getrandbits(64):016x}"


def announced(length: int, *lines: str, path: str = "") -> bytes:
    """Return the head of a request with a body of a length."""
    return head(f"Content-Length: {length}", *lines, path=path)


def chunked(path: str = "") -> bytes:
    """Return the head of a request whose body comes in chunks."""
    return head("Transfer-Encoding: chunked", path=path)


def chunk(size: int) -> bytes:
    """Return a chunk of a body."""
    return b"%x\r\n%s\r\n" % (size, b" " * size)


def whole(body: bytes, *lines: str) -> bytes:
    """Return a whole request."""
    return announced(len(body), *lines) + body


def unfinished_announced(
    count: int, *, piece_bytes: int = LEGAL_BYTES, path: str = "", **options
) -> list[Client]:
    """Return clients whose body of legal size lacks its last byte."""
    length = LEGAL_BYTES - 1
    pieces = [b" " * piece_bytes] * (length // piece_bytes)
    pieces.append(b" " * (length - 1 - piece_bytes * len(pieces)))
    return [
        Client([announced(length, path=path), *pieces], **options) for _ in range(count)
    ]


def unfinished_chunked(
    count: int,
    *,
    sizes: tuple[int, ...] = (4096,),
    total_bytes: int = 245_760,
    chunks_per_piece: int = 1,
    path: str = "",
    **options,
) -> list[Client]:
    """Return clients that send chunks up to a total and never the last one."""
    piece = b"".join(map(chunk, sizes)) * chunks_per_piece
    piece_count = total_bytes // (sum(sizes) * chunks_per_piece)
    return [
        Client(
            itertools.chain([chunked(path)], itertools.repeat(piece, piece_count)),
            **options,
        )
        for _ in range(count)
    ]


def idle(count: int, **options) -> list[Client]:
    """Return clients that send nothing."""
    return [Client([], **options) for _ in range(count)]


def unfinished_heads(count: int, **options) -> list[Client]:
    """Return clients that send many short headers and no end of the head."""
    rows = "".join(f"h{number}: 1\r\n" for number in range(5000)).encode()
    start = head()[:-2]
    return [Client([start + rows], **options) for _ in range(count)]


def many_headers(count: int, **options) -> list[Client]:
    """Return clients whose whole head has many short headers."""
    rows = [f"h{number}: 1" for number in range(5000)]
    return [
        Client([head("Content-Length: 2", *rows) + b"{"], **options)
        for _ in range(count)
    ]


def long_queries(count: int, **options) -> list[Client]:
    """Return clients with many arguments and an unfinished body."""
    filler = "x" * 50
    query = "&".join(f"a{number}={filler}" for number in range(990))
    return [
        Client(
            [announced(2, path=f"{stop_builders.job_path()}?{query}") + b"{"],
            **options,
        )
        for _ in range(count)
    ]


def long_paths() -> list[Client]:
    """Return unfinished requests for long paths to two listeners."""
    start = announced(250_000, path="/" + "p" * 19_500)
    clients = [
        *[Client([start, b" " * 28_000]) for _ in range(500)],
        *[Client([start, b" " * 4000], port=deployment.PEER_PORT) for _ in range(500)],
    ]
    random.Random(61).shuffle(clients)
    return clients


def forms(count: int, **options) -> list[Client]:
    """Return clients that send whole forms with many fields."""
    body = b"&".join(b"f%d=1" % number for number in range(28_000))
    form = whole(body, "Content-Type: application/x-www-form-urlencoded")
    return [Client([form], **options) for _ in range(count)]


def invalid_steps(
    count: int, *, last: bytes = b'{"count":0}', requests: int = 1, **options
) -> list[Client]:
    """Return clients that submit jobs with too many invalid steps.

    Args:
        count: Number of clients.
        last: Last step.
        requests: Number of requests of each client.
        options: Fields of the clients.
    """
    steps = b",".join([b'{"count":0}'] * 21_000 + [last])
    request = whole(b'{"spec":"","steps":[%s]}' % steps)
    return [Client([request] * requests, **options) for _ in range(count)]


def invalid_jobs() -> list[Client]:
    """Return clients whose jobs are refused when decoded or when checked."""
    clients = [*invalid_steps(80), *invalid_steps(420, last=b'{"count":""}')]
    random.Random(61).shuffle(clients)
    return clients


def oversized_values(count: int, **options) -> list[Client]:
    """Return clients that submit jobs with one oversized value."""
    filler = b"x" * 250_000
    earlier = b",".join([b"0"] * 125_000)
    bodies = [
        b'{"spec":"%s","steps":[{"count":1}]}' % filler,
        b'{"spec":"","steps":[{"count":1,"after":[%s]}]}' % earlier,
        b'{"spec":"","steps":[{"count":0,"image":"%s"}]}' % filler,
    ]
    return [
        Client([whole(body)], **options)
        for body in itertools.islice(itertools.cycle(bodies), count)
    ]


def chunked_over_the_limit(count: int, **options) -> list[Client]:
    """Return clients that send chunks far past the limit."""
    return unfinished_chunked(
        count, sizes=(65_536,), total_bytes=4 * 1_048_576, **options
    )


def announced_over_the_limit(count: int, **options) -> list[Client]:
    """Return clients that announce bodies over the limit and send a part."""
    piece = b" " * 65_536
    lengths = itertools.cycle([2**30, 1_100_000, 4_000_000, 900_000])
    return [
        Client([announced(length), *[piece] * min(64, length // len(piece))], **options)
        for length in itertools.islice(lengths, count)
    ]


def pipelined(count: int, *, path: str, requests: int, **options) -> list[Client]:
    """Return clients that send many requests and read no answers."""
    piece = head(method="GET", path=path) * 20
    return [
        Client([piece] * (requests // 20), reads=False, **options) for _ in range(count)
    ]


def others(port: int, path: str) -> list[Client]:
    """Return a crowd of unfinished requests to a listener."""
    return [
        *unfinished_announced(200, port=port, path=path),
        *unfinished_chunked(250, port=port, path=path),
        *unfinished_heads(150, port=port),
    ]


def mixed() -> list[Client]:
    """Return clients of all kinds in an order that mixes them."""
    clients = [
        *unfinished_announced(120),
        *unfinished_announced(60, piece_bytes=16_384),
        *unfinished_chunked(120),
        *unfinished_chunked(40, sizes=(1, 2), total_bytes=60_000, chunks_per_piece=100),
        *invalid_steps(20),
        *oversized_values(60),
        *chunked_over_the_limit(40),
        *announced_over_the_limit(40),
        *idle(60),
        *unfinished_heads(60),
        *many_headers(20),
        *long_queries(20),
        *forms(10),
        *unfinished_announced(40, port=deployment.PEER_PORT, path="/shard"),
    ]
    random.Random(61).shuffle(clients)
    return clients


def submit(ip: str, body: bytes | Iterable[bytes]) -> tuple[int, float]:
    """Submit a job as an ordinary caller.

    Args:
        ip: Address of the instance.
        body: Body, or its chunks.

    Returns:
        Status, or 0 if the connection ended without an answer, and the value
        of ``Retry-After``, or 0.
    """
    headers = deployment.headers(DEADLINE_MS)
    is_chunked = not isinstance(body, bytes)
    if is_chunked:
        headers["Transfer-Encoding"] = "chunked"
    connection = http.client.HTTPConnection(
        ip, deployment.CALLER_PORT, timeout=ANSWER_LIMIT_S
    )
    try:
        connection.request(
            "POST",
            stop_builders.job_path(new_job_id()),
            body,
            headers,
            encode_chunked=is_chunked,
        )
        response = connection.getresponse()
        response.read()
        return response.status, float(response.headers.get("Retry-After", 0))
    except (OSError, http.client.HTTPException):
        return 0, 0.0
    finally:
        connection.close()


def submit_with_retries(ip: str) -> int:
    """Submit a job, again after each refusal; return the last status."""
    status = 0
    for _ in range(MAX_ATTEMPTS):
        status, retry_after_s = submit(ip, stop_builders.job_body())
        if status != 503 or retry_after_s == 0:
            return status
        time.sleep(min(retry_after_s, MAX_RETRY_AFTER_S))
    return status


def padded_body() -> bytes:
    """Return the body of a valid job that has the largest legal size."""
    return stop_builders.job_body().ljust(LEGAL_BYTES)


async def faults_of_crowd(
    directory: pathlib.Path,
    build: Callable[[], list[Client]],
    *,
    max_fds: int = MAX_FDS,
) -> list[str]:
    """Send a crowd to an instance; return what does not hold.

    Args:
        directory: Directory of the settings file.
        build: Builds the crowd.
        max_fds: Descriptors that the instance may have, in its settings.
    """
    faults = []
    limits = {"memory_mb": MEMORY_MB, "max_fds": max_fds}
    async with stop_builders.running(
        directory, grace_s=GRACE_S, limits=limits
    ) as instance:
        status = await asyncio.to_thread(submit_with_retries, instance.ip)
        if status != 200:
            faults.append(f"a request before the crowd got {status}")
        with watched(instance.process.popen.pid, instance.ip) as peak:
            await asyncio.to_thread(send, instance.ip, build())
            await asyncio.sleep(WATCH_AFTER_S)
        print(f"peak: {peak}")
        if peak.memory_bytes > MEMORY_MB * MB:
            faults.append(f"memory over {MEMORY_MB} MB: {peak}")
        if peak.sockets > max_fds - FILE_FDS:
            faults.append(f"more than {max_fds - FILE_FDS} sockets: {peak}")
        status = await asyncio.to_thread(submit_with_retries, instance.ip)
        if status != 200:
            faults.append(f"a request after the crowd got {status}")
        if instance.process.exit_status is not None:
            faults.append(f"the process ended with {instance.process.exit_status}")
        elif status != 0 and not await instance.stop(STOP_LIMIT_S):
            faults.append("the process did not end in order on SIGTERM")
    return faults


async def calm_answers(
    directory: pathlib.Path, bodies: list[bytes | list[bytes]]
) -> list[int]:
    """Return the statuses of jobs that are submitted one after another."""
    limits = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
    async with stop_builders.running(
        directory, grace_s=GRACE_S, limits=limits
    ) as instance:
        answers = [
            await asyncio.to_thread(submit, instance.ip, body) for body in bodies
        ]
    return [status for status, _ in answers]


async def answers_of_repeat(directory: pathlib.Path) -> tuple[int, bytes, bytes]:
    """Send two requests that give way to a crowd, one for a stored job.

    Returns:
        Status of the first request for the job, and the answers to the repeat
        and to the request for another job.
    """
    limits = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
    async with stop_builders.running(
        directory, grace_s=GRACE_S, limits=limits
    ) as instance:
        connection = await instance.connect()
        first = await stop_builders.call(
            connection, "POST", stop_builders.job_path(), stop_builders.job_body()
        )
        connection[1].close()
        unfinished = []
        for path in (stop_builders.job_path(), ""):
            reader, writer = await instance.connect()
            # The interim answer tells that the request began before the crowd.
            writer.write(announced(LEGAL_BYTES, "Expect: 100-continue", path=path))
            async with asyncio.timeout(ANSWER_LIMIT_S):
                await reader.readuntil(b"\r\n\r\n")
            writer.write(b" " * READ_BYTES)
            await writer.drain()
            unfinished.append((reader, writer))
        await asyncio.to_thread(send, instance.ip, unfinished_announced(120))
        answers = []
        for reader, writer in unfinished:
            async with asyncio.timeout(ANSWER_LIMIT_S):
                answers.append(await reader.read(READ_BYTES))
            writer.close()
    return first.status, answers[0], answers[1]


def chunks_of(body: bytes, size: int) -> list[bytes]:
    """Return the parts of a body, all but the last of one size."""
    return [body[start : start + size] for start in range(0, len(body), size)]
