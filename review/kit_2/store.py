"""Stands in for the platform's store, as ``PROTOCOL.md`` describes it."""

import asyncio
import base64
import dataclasses
import struct
import time
from collections.abc import Callable

import wire

APPEND_S = 0.004  # Usual time of an answer.
PARTS = 24
PAGE_ITEMS = 500


@dataclasses.dataclass(slots=True)
class Partition:
    """Records of one partition, and its writers."""

    records: list[bytes] = dataclasses.field(default_factory=list)
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    epoch_by_producer: dict[str, int] = dataclasses.field(default_factory=dict)
    next_by_producer: dict[str, int] = dataclasses.field(default_factory=dict)
    replies: dict[tuple[str, int, int], wire.Reply] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class Group:
    """Members of a group, and the partitions that each has."""

    generation: int = 0
    topic: str = ""
    seen_at: dict[str, float] = dataclasses.field(default_factory=dict)
    ttl_s: dict[str, float] = dataclasses.field(default_factory=dict)
    owner_by_part: dict[int, str] = dataclasses.field(default_factory=dict)


Lose = Callable[[str, wire.Request], float | None]


class Store:
    """Log with keyed topics and groups, shared by all instances.

    ``lose`` is asked about each append with the name of the instance that has
    sent it; it returns after how many seconds the append is done without an
    answer, or None to serve it.
    """

    def __init__(self) -> None:
        self.lose: Lose = lambda instance, request: None
        self.appends = 0
        self.lost = 0
        self._partitions: dict[tuple[str, int], Partition] = {}
        self._groups: dict[str, Group] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def serve(self, instance: str, host: str, port: int) -> asyncio.Server:
        """Serve one instance at an address of its own."""

        async def answer(request: wire.Request) -> wire.Reply:
            return await self._answer(instance, request)

        return await wire.serve(host, port, answer)

    def partition(self, topic: str, part: int) -> Partition:
        """Return a partition, which is made on first use."""
        return self._partitions.setdefault((topic, part), Partition())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a key of partition 0 as the operator or an executor."""
        name = key.encode()
        self._add(self.partition(topic, 0), [bytes([len(name)]) + name + value])

    def newest(self, topic: str, part: int) -> dict[str, tuple[int, bytes]]:
        """Return offset and value of the newest record of each key."""
        found: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(self.partition(topic, part).records):
            key = record[1 : 1 + record[0]].decode()
            value = record[1 + record[0] :]
            found.pop(key, None)
            if value:
                found[key] = offset, value
        return found

    async def _answer(self, instance: str, request: wire.Request) -> wire.Reply:
        call = request.path.rpartition("/")[2]
        if call == "log-append":
            return await self._append(instance, request)
        if call == "log-read":
            return await self._read(request)
        await asyncio.sleep(APPEND_S)
        if call == "log-newest":
            return self._newest(request)
        if call == "log-join":
            return self._join(request)
        if call == "log-leave":
            body = request.json()
            self._drop(self._groups.setdefault(body["group"], Group()), body["member"])
            return wire.as_json({})
        if call == "log-owners":
            group = self._groups.setdefault(request.query["group"], Group())
            self._expire(group)
            rows = [
                [group.topic, part, member, 0]
                for part, member in sorted(group.owner_by_part.items())
            ]
            return wire.as_json({"parts": rows})
        return wire.Reply(404)

    async def _append(self, instance: str, request: wire.Request) -> wire.Reply:
        self.appends += 1
        late_s = self.lose(instance, request)
        if late_s is None:
            await asyncio.sleep(APPEND_S)
            return self._apply(request)
        self.lost += 1
        task = asyncio.create_task(self._apply_late(request, late_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return wire.Reply(0)

    async def _apply_late(self, request: wire.Request, late_s: float) -> None:
        await asyncio.sleep(late_s)
        self._apply(request)

    def _apply(self, request: wire.Request) -> wire.Reply:
        query = request.query
        partition = self.partition(query["topic"], int(query["part"]))
        if "producer" in query:
            refusal = self._check_writer(partition, query)
            if refusal is not None:
                return refusal
        if "at" in query and int(query["at"]) != len(partition.records):
            return wire.as_json({"end": len(partition.records)}, 412)
        records, position = [], 0
        while position < len(request.body):
            (length,) = struct.unpack_from(">I", request.body, position)
            records.append(request.body[position + 4 : position + 4 + length])
            position += 4 + length
        offset = len(partition.records)
        self._add(partition, records)
        reply = wire.as_json({"offset": offset, "end": len(partition.records)})
        if "producer" in query:
            producer = query["producer"]
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            partition.epoch_by_producer[producer] = epoch
            partition.next_by_producer[producer] = sequence + 1
            partition.replies[producer, epoch, sequence] = reply
            partition.replies.pop((producer, epoch, sequence - 5), None)
        return reply

    def _check_writer(
        self, partition: Partition, query: dict[str, str]
    ) -> wire.Reply | None:
        producer = query["producer"]
        epoch, sequence = int(query["epoch"]), int(query["sequence"])
        known = partition.epoch_by_producer.get(producer, -1)
        if epoch < known:
            return wire.as_json({"reason": "fenced"}, 409)
        if epoch > known:
            return None
        earlier = partition.replies.get((producer, epoch, sequence))
        if earlier is not None:
            return earlier
        expected = partition.next_by_producer[producer]
        if sequence != expected:
            return wire.as_json({"reason": "seq", "sequence": expected}, 409)
        return None

    def _add(self, partition: Partition, records: list[bytes]) -> None:
        partition.records.extend(records)
        partition.changed.set()
        partition.changed = asyncio.Event()

    async def _read(self, request: wire.Request) -> wire.Reply:
        query = request.query
        partition = self.partition(query["topic"], int(query["part"]))
        start, changed = int(query["from"]), partition.changed
        if start >= len(partition.records):
            try:
                async with asyncio.timeout(int(query.get("wait_ms", 0)) / 1000):
                    await changed.wait()
            except TimeoutError:
                pass
        await asyncio.sleep(APPEND_S)
        body = struct.pack(">QQ", len(partition.records), 0)
        most = int(query.get("max_kb", 1024)) * 1024
        for record in partition.records[start:]:
            if len(body) + len(record) > most:
                break
            body += struct.pack(">I", len(record)) + record
        return wire.Reply(200, body)

    def _newest(self, request: wire.Request) -> wire.Reply:
        topic, part = request.query["topic"], int(request.query["part"])
        after = request.query.get("after", "")
        found = self.newest(topic, part)
        keys = sorted(key for key in found if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(found[key][1]).decode(),
                "offset": found[key][0],
            }
            for key in keys[:PAGE_ITEMS]
        ]
        end = len(self.partition(topic, part).records)
        return wire.as_json(
            {"items": items, "has_more": len(keys) > PAGE_ITEMS, "end": end}
        )

    def _join(self, request: wire.Request) -> wire.Reply:
        body = request.json()
        group = self._groups.setdefault(body["group"], Group())
        member, group.topic = body["member"], body["topics"][0]
        self._expire(group)
        is_new = member not in group.seen_at
        group.seen_at[member] = time.monotonic()
        group.ttl_s[member] = body["ttl_ms"] / 1000
        if is_new:
            self._deal(group)
        parts = [
            [group.topic, part, 0]
            for part, owner in sorted(group.owner_by_part.items())
            if owner == member
        ]
        return wire.as_json({"generation": group.generation, "parts": parts})

    def _expire(self, group: Group) -> None:
        now = time.monotonic()
        for member, seen_at in list(group.seen_at.items()):
            if now - seen_at > group.ttl_s[member]:
                self._drop(group, member)

    def _drop(self, group: Group, member: str) -> None:
        if group.seen_at.pop(member, None) is not None:
            del group.ttl_s[member]
            self._deal(group)

    def _deal(self, group: Group) -> None:
        """Distribute the partitions evenly; each member keeps what it may."""
        group.generation += 1
        members = list(group.seen_at)
        share = -(-PARTS // len(members)) if members else 0
        kept: dict[str, int] = dict.fromkeys(members, 0)
        owner_by_part = {}
        for part, owner in sorted(group.owner_by_part.items()):
            if owner in kept and kept[owner] < share:
                kept[owner] += 1
                owner_by_part[part] = owner
        for part in range(PARTS):
            if part not in owner_by_part and members:
                owner = min(members, key=lambda member: kept[member])
                kept[owner] += 1
                owner_by_part[part] = owner
        group.owner_by_part = owner_by_part
