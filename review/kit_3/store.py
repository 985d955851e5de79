"""Stand-in of the platform's store in its form as a log.

It loses nothing that it has acknowledged, answers one call after the other,
and pages its lists as the users' protocol page says.
"""

import asyncio
import base64
import struct
import time
from collections.abc import Callable

from kit_3 import wire

PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
KEPT_ANSWERS = 5
ANSWER_S = 0.004  # An answer takes 4 ms.


class Part:
    """One partition."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[bytes, tuple[bytes, int]] = {}
        self.epoch = -1
        self.next_sequence = 0
        self.answer_by_sequence: dict[int, wire.Reply] = {}
        self.grown = asyncio.Event()

    def put(self, records: list[bytes], keyed: bool) -> None:
        """Append records and wake readers."""
        for record in records:
            if keyed:
                size = record[0]
                key, value = record[1 : 1 + size], record[1 + size :]
                if value:
                    self.newest[key] = value, len(self.records)
                else:
                    self.newest.pop(key, None)
            self.records.append(record)
        self.grown.set()
        self.grown = asyncio.Event()


class Group:
    """Members of one group and their partitions."""

    def __init__(self) -> None:
        self.generation = 0
        self.expires_by_member: dict[str, float] = {}
        self.member_by_part: dict[tuple[str, int], str] = {}

    def deal(self, topics: list[str], parts: int) -> None:
        """Distribute the partitions evenly, and keep what can be kept."""
        members = sorted(self.expires_by_member)
        keys = [(topic, number) for topic in topics for number in range(parts)]
        most = -(-len(keys) // len(members)) if members else 0
        kept: dict[tuple[str, int], str] = {}
        count = dict.fromkeys(members, 0)
        for key in keys:
            member = self.member_by_part.get(key, "")
            if member in count and count[member] < most:
                kept[key] = member
                count[member] += 1
        for key in keys:
            if key not in kept and members:
                member = min(members, key=lambda each: count[each])
                kept[key] = member
                count[member] += 1
        self.member_by_part = kept
        self.generation += 1


class Store:
    """The store; ``gate`` may hold up, drop or refuse a call.

    Args:
        parts: Partitions of each topic.
    """

    def __init__(self, parts: int = 24) -> None:
        self.parts = parts
        self.part_by_place: dict[tuple[str, int], Part] = {}
        self.group_by_name: dict[str, Group] = {}
        self.gate: Callable[[wire.Request], str] = lambda request: ""
        self.calls = 0
        self.last_conditional = ""

    def part(self, topic: str, number: int) -> Part:
        """Return a partition, which is made on first use."""
        return self.part_by_place.setdefault((topic, number), Part())

    def write(self, topic: str, key: str, value: bytes) -> None:
        """Write a record as the operator or an executor does."""
        raw = key.encode()
        self.part(topic, 0).put([bytes([len(raw)]) + raw + value], True)

    async def handle(self, request: wire.Request) -> wire.Reply | None:
        """Answer one call."""
        self.calls += 1
        fault = self.gate(request)
        if fault == "refuse":
            return wire.as_json({"error": "busy"}, 503)
        if fault == "drop":
            await asyncio.sleep(30)
            return None
        await asyncio.sleep(ANSWER_S)
        reply = await self._answer(request)
        if fault == "lose":
            await asyncio.sleep(30)
            return None
        return reply

    async def _answer(self, request: wire.Request) -> wire.Reply:
        name = request.path.rpartition("/")[2]
        if name == "log-append":
            return self._append(request)
        if name == "log-read":
            return await self._read(request)
        if name == "log-newest":
            return self._newest(request)
        if name == "log-join":
            return self._join(request.json())
        if name == "log-leave":
            return self._leave(request.json())
        if name == "log-owners":
            return self._owners(request.query["group"])
        return wire.as_json({"error": "no such call"}, 404)

    def _append(self, request: wire.Request) -> wire.Reply:
        query = request.query
        topic = query["topic"]
        if topic in ("keyed.op", "keyed.servers"):
            return wire.as_json({"error": "not yours"}, 403)
        part = self.part(topic, int(query["part"]))
        end = len(part.records)
        epoch, sequence = -1, 0
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            if epoch < part.epoch:
                return wire.as_json({"reason": "fenced"}, 409)
            if epoch == part.epoch:
                if sequence in part.answer_by_sequence:
                    return part.answer_by_sequence[sequence]
                if sequence != part.next_sequence:
                    answer = {"reason": "seq", "sequence": part.next_sequence}
                    return wire.as_json(answer, 409)
        if "at" in query and int(query["at"]) != end:
            return wire.as_json({"end": end}, 412)
        if "at" in query and b'"member":"' in request.body:
            rest = request.body.partition(b'"member":"')[2]
            self.last_conditional = rest.partition(b'"')[0].decode()
        part.put(_split(request.body), topic.startswith("keyed."))
        reply = wire.as_json({"offset": end, "end": len(part.records)})
        if epoch >= 0:
            if epoch > part.epoch:
                part.epoch = epoch
                part.answer_by_sequence.clear()
            part.next_sequence = sequence + 1
            part.answer_by_sequence[sequence] = reply
            for old in sorted(part.answer_by_sequence)[:-KEPT_ANSWERS]:
                del part.answer_by_sequence[old]
        return reply

    async def _read(self, request: wire.Request) -> wire.Reply:
        query = request.query
        part = self.part(query["topic"], int(query["part"]))
        start = int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while len(part.records) <= start and time.monotonic() < until:
            try:
                async with asyncio.timeout(until - time.monotonic()):
                    await part.grown.wait()
            except TimeoutError:
                break
        most = int(query.get("max_kb", "1024")) * 1024
        chunks, size = [struct.pack(">QQ", len(part.records), 0)], 0
        for record in part.records[start:]:
            size += 4 + len(record)
            if size > most:
                break
            chunks.append(struct.pack(">I", len(record)) + record)
        return 200, b"".join(chunks)

    def _newest(self, request: wire.Request) -> wire.Reply:
        query = request.query
        part = self.part(query["topic"], int(query["part"]))
        after = query.get("after", "").encode()
        items, size, has_more = [], 0, False
        for key in sorted(part.newest):
            if key <= after:
                continue
            value, offset = part.newest[key]
            size += len(key) + len(value)
            if len(items) >= PAGE_ITEMS or (items and size > PAGE_BYTES):
                has_more = True
                break
            text = base64.b64encode(value).decode()
            items.append({"key": key.decode(), "value": text, "offset": offset})
        end = len(part.records)
        return wire.as_json({"items": items, "has_more": has_more, "end": end})

    def _expire(self, group: Group, topics: list[str]) -> None:
        now = time.monotonic()
        gone = [name for name, at in group.expires_by_member.items() if at < now]
        for name in gone:
            del group.expires_by_member[name]
        if gone:
            group.deal(topics, self.parts)

    def _topics(self, group: Group) -> list[str]:
        return sorted({topic for topic, _ in group.member_by_part})

    def _join(self, body: dict) -> wire.Reply:
        group = self.group_by_name.setdefault(body["group"], Group())
        member = body["member"]
        self._expire(group, body["topics"])
        is_new = member not in group.expires_by_member
        group.expires_by_member[member] = time.monotonic() + body["ttl_ms"] / 1000
        if is_new:
            group.deal(body["topics"], self.parts)
        rows = [
            [topic, number, 0]
            for (topic, number), owner in group.member_by_part.items()
            if owner == member
        ]
        return wire.as_json({"generation": group.generation, "parts": rows})

    def _leave(self, body: dict) -> wire.Reply:
        group = self.group_by_name.setdefault(body["group"], Group())
        if group.expires_by_member.pop(body["member"], None) is not None:
            group.deal(self._topics(group), self.parts)
        return wire.as_json({})

    def _owners(self, name: str) -> wire.Reply:
        group = self.group_by_name.setdefault(name, Group())
        self._expire(group, self._topics(group))
        rows = [
            [topic, number, member, 0]
            for (topic, number), member in group.member_by_part.items()
        ]
        return wire.as_json({"parts": rows})


def _split(body: bytes) -> list[bytes]:
    """Return the records of an append."""
    records, position = [], 0
    while position < len(body):
        (size,) = struct.unpack_from(">I", body, position)
        records.append(body[position + 4 : position + 4 + size])
        position += 4 + size
    return records
