"""Stands in for the platform's metadata store, on loopback.

It follows the section on the store in PROTOCOL.md: topics of partitions,
conditional and sequenced appends, long polls, the newest record of each key,
and groups. Everything that an append has changed stays, whether or not its
answer arrives.
"""

import asyncio
import base64
import collections
import dataclasses
import json
import struct
import time
from collections.abc import Awaitable, Callable

from tornado import httpserver, httputil, netutil

ANSWER_S = 0.004  # A usual answer, as on the sheets of the deployments.
PAGE_RECORDS = 500
REPEATS_KEPT = 5
LENGTH = struct.Struct(">I")
HEADER = struct.Struct(">QQ")

Answer = tuple[int, bytes]


@dataclasses.dataclass
class Writer:
    """What a partition knows of one producer."""

    epoch: int = -1
    sequence: int = -1
    answers: dict[int, bytes] = dataclasses.field(default_factory=dict)


class Partition:
    """One partition of a topic."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.writers: dict[str, Writer] = collections.defaultdict(Writer)
        self.changed = asyncio.Event()

    def append(self, records: list[bytes]) -> int:
        """Append records; return the offset of the first."""
        first = len(self.records)
        self.records.extend(records)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return first

    def newest(self) -> dict[bytes, tuple[bytes, int]]:
        """Return the newest value and its offset by key."""
        found: dict[bytes, tuple[bytes, int]] = {}
        for offset, record in enumerate(self.records):
            size = record[0]
            key, value = record[1 : 1 + size], record[1 + size :]
            found.pop(key, None)
            if value:
                found[key] = value, offset
        return found


@dataclasses.dataclass
class Group:
    """One group of members that share partitions."""

    generation: int = 0
    seen_at: dict[str, float] = dataclasses.field(default_factory=dict)
    ttl_s: dict[str, float] = dataclasses.field(default_factory=dict)
    topics: set[str] = dataclasses.field(default_factory=set)
    owner: dict[tuple[str, int], str] = dataclasses.field(default_factory=dict)


class Store:
    """The store; ``delay_s`` is how long an answer takes."""

    def __init__(self, parts: int = 24) -> None:
        self.delay_s = ANSWER_S
        self.is_busy = False  # Answers 503 to every call, which does nothing.
        self.parts = parts
        self.partition: dict[tuple[str, int], Partition] = collections.defaultdict(
            Partition
        )
        self.group: dict[str, Group] = collections.defaultdict(Group)
        # Called with topic and records before an append; it returns seconds
        # after which the append is done without an answer, or None.
        self.divert: Callable[[str, list[bytes]], float | None] = lambda t, r: None
        # Set, and replaced, when records of a topic were appended.
        self.appended: dict[str, asyncio.Event] = collections.defaultdict(asyncio.Event)
        self._answer_by_call: dict[str, Callable[..., Awaitable[Answer]]] = {
            "log-append": self._append,
            "log-read": self._read,
            "log-newest": self._newest,
            "log-join": self._join,
            "log-leave": self._leave,
            "log-owners": self._owners,
        }
        self._tasks: set[asyncio.Task[None]] = set()

    def serve(self) -> str:
        """Serve the store; return its address."""

        def receive(request: httputil.HTTPServerRequest) -> None:
            task = asyncio.create_task(self._respond(request))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

        server = httpserver.HTTPServer(receive, max_body_size=2 << 20)
        (socket,) = netutil.bind_sockets(0, "127.0.0.1")
        server.add_socket(socket)
        return f"127.0.0.1:{socket.getsockname()[1]}"

    def write(self, topic: str, key: str, value: bytes | None) -> None:
        """Write a record as the operator or an executor does."""
        name = key.encode()
        record = bytes([len(name)]) + name + (value or b"")
        self.partition[topic, 0].append([record])

    async def _respond(self, request: httputil.HTTPServerRequest) -> None:
        call = request.path.rpartition("/")[2]
        handler = self._answer_by_call.get(call)
        status, body = 404, b"{}"
        if self.is_busy:
            status = 503
        elif handler is not None:
            status, body = await handler(request)
        await asyncio.sleep(self.delay_s)
        try:
            await request.connection.write_headers(
                httputil.ResponseStartLine("HTTP/1.1", status, "-"),
                httputil.HTTPHeaders({"Content-Length": str(len(body))}),
                body,
            )
            request.connection.finish()
        except Exception:
            return  # The connection has ended.

    async def _append(self, request: httputil.HTTPServerRequest) -> Answer:
        topic = _text(request, "topic")
        partition = self.partition[topic, int(_text(request, "part"))]
        records = _split(request.body)
        late_s = self.divert(topic, records)
        if late_s is not None:
            await asyncio.sleep(late_s)
            self._apply(partition, request, records)
            await asyncio.sleep(3600)
        answer = self._apply(partition, request, records)
        self.appended.pop(topic, asyncio.Event()).set()
        return answer

    def _apply(
        self,
        partition: Partition,
        request: httputil.HTTPServerRequest,
        records: list[bytes],
    ) -> Answer:
        end = len(partition.records)
        has_writer = "producer" in request.arguments
        if has_writer:
            writer = partition.writers[_text(request, "producer")]
            epoch = int(_text(request, "epoch"))
            sequence = int(_text(request, "sequence"))
            if epoch < writer.epoch:
                return 409, _json({"reason": "fenced"})
            if epoch == writer.epoch and sequence in writer.answers:
                return 200, writer.answers[sequence]
            if epoch == writer.epoch and sequence != writer.sequence + 1:
                expected = writer.sequence + 1
                return 409, _json({"reason": "seq", "sequence": expected})
        if "at" in request.arguments and int(_text(request, "at")) != end:
            return 412, _json({"end": end})
        offset = partition.append(records)
        body = _json({"offset": offset, "end": len(partition.records)})
        if has_writer:
            if epoch > writer.epoch:
                writer.answers.clear()
            writer.epoch, writer.sequence = epoch, sequence
            writer.answers[sequence] = body
            while len(writer.answers) > REPEATS_KEPT:
                del writer.answers[min(writer.answers)]
        return 200, body

    async def _read(self, request: httputil.HTTPServerRequest) -> Answer:
        key = _text(request, "topic"), int(_text(request, "part"))
        partition, start = self.partition[key], int(_text(request, "from"))
        wait_s = int(_text(request, "wait_ms", "0")) / 1000
        until = time.monotonic() + wait_s
        while len(partition.records) <= start and time.monotonic() < until:
            try:
                async with asyncio.timeout(until - time.monotonic()):
                    await partition.changed.wait()
            except TimeoutError:
                break
        content = HEADER.pack(len(partition.records), 0)
        for record in partition.records[start:]:
            content += LENGTH.pack(len(record)) + record
            if len(content) > 1_000_000:
                break
        return 200, content

    async def _newest(self, request: httputil.HTTPServerRequest) -> Answer:
        key = _text(request, "topic"), int(_text(request, "part"))
        partition, after = self.partition[key], _text(request, "after", "").encode()
        found = sorted(partition.newest().items())
        items = [item for item in found if item[0] > after]
        page = [
            {
                "key": name.decode(errors="replace"),
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for name, (value, offset) in items[:PAGE_RECORDS]
        ]
        has_more = len(items) > PAGE_RECORDS
        end = len(partition.records)
        return 200, _json({"items": page, "has_more": has_more, "end": end})

    async def _join(self, request: httputil.HTTPServerRequest) -> Answer:
        body = json.loads(request.body)
        group, member = self.group[body["group"]], body["member"]
        self._expire(group)
        is_new = member not in group.seen_at
        group.seen_at[member] = time.monotonic()
        group.ttl_s[member] = body["ttl_ms"] / 1000
        if is_new or not group.topics.issuperset(body["topics"]):
            group.topics.update(body["topics"])
            self._deal(group)
        parts = [[t, p, 0] for (t, p), owner in group.owner.items() if owner == member]
        return 200, _json({"generation": group.generation, "parts": parts})

    async def _leave(self, request: httputil.HTTPServerRequest) -> Answer:
        body = json.loads(request.body)
        group = self.group[body["group"]]
        if group.seen_at.pop(body["member"], None) is not None:
            self._deal(group)
        return 200, b"{}"

    async def _owners(self, request: httputil.HTTPServerRequest) -> Answer:
        group = self.group[_text(request, "group")]
        self._expire(group)
        rows = [[t, p, owner, 0] for (t, p), owner in group.owner.items()]
        return 200, _json({"parts": rows})

    def _expire(self, group: Group) -> None:
        now = time.monotonic()
        gone = [m for m, at in group.seen_at.items() if now - at > group.ttl_s[m]]
        for member in gone:
            del group.seen_at[member]
        if gone:
            self._deal(group)

    def _deal(self, group: Group) -> None:
        group.generation += 1
        members = sorted(group.seen_at)
        group.owner = {
            (topic, part): members[part % len(members)]
            for topic in sorted(group.topics)
            for part in range(self.parts)
            if members
        }


def _json(value: object) -> bytes:
    return json.dumps(value).encode()


def _text(request: httputil.HTTPServerRequest, name: str, default: str = "") -> str:
    values = request.arguments.get(name)
    return values[0].decode() if values else default


def _split(body: bytes) -> list[bytes]:
    records, position = [], 0
    while position < len(body):
        (length,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        records.append(body[position : position + length])
        position += length
    return records
