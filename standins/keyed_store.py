"""Store of keyed topics in memory, with the faults of the platform's store.

Every client of the store is a ``Client`` with switches of its own; the
``Store`` behind it applies calls one at a time, as a linearizable store does.
"""

import asyncio
import dataclasses
import random

from limpetstream import errors
from limpetstream.store import messages

RESPONSE_DELAY_S = 0.004
PARTITIONS_PER_GROUP = 4
MIN_WAIT_S = 1e-6  # Virtual time does not move by less.


@dataclasses.dataclass(slots=True)
class Partition:
    """Records of one partition; trimmed ones keep their offsets."""

    records: list[messages.Entry] = dataclasses.field(default_factory=list)
    first: int = 0
    epoch: int = -1
    next_sequence: int = 0
    end_by_sequence: dict[int, int] = dataclasses.field(default_factory=dict)

    @property
    def end(self) -> int:
        """Offset after the last record."""
        return self.first + len(self.records)


class Store:
    """The store itself.

    Args:
        seed: Seed of its choices.
    """

    def __init__(self, *, seed: int = 0) -> None:
        self.random = random.Random(seed)
        self.down = False
        self.changed = asyncio.Event()
        self.group_by_name: dict[str, MemberGroup] = {}
        self._partition_by_place: dict[tuple[str, int], Partition] = {}
        self._newest_by_place: dict[tuple[str, int], dict[str, messages.Entry]] = {}

    def partition(self, topic: str, number: int) -> Partition:
        """Return a partition; it is made on first use."""
        return self._partition_by_place.setdefault((topic, number), Partition())

    def newest(self, topic: str, number: int) -> dict[str, messages.Entry]:
        """Return the newest record of each key."""
        return self._newest_by_place.setdefault((topic, number), {})

    def append(
        self,
        topic: str,
        number: int,
        entries: list[messages.Entry],
        writer: messages.Writer | None,
        at: int | None,
    ) -> int:
        """Apply an append and return the end."""
        partition = self.partition(topic, number)
        if writer is not None:
            if writer.epoch < partition.epoch:
                raise errors.WriterFenced(topic)
            if writer.epoch == partition.epoch:
                if writer.sequence in partition.end_by_sequence:
                    return partition.end_by_sequence[writer.sequence]
                if writer.sequence != partition.next_sequence:
                    raise errors.SequenceConflict(partition.next_sequence)
        if at is not None and at != partition.end:
            raise errors.OffsetMoved(partition.end)
        newest = self.newest(topic, number)
        for entry in entries:
            record = messages.Entry(entry.key, entry.value, partition.end)
            partition.records.append(record)
            if entry.value is None:
                newest.pop(entry.key, None)
            else:
                newest[entry.key] = record
        if writer is not None:
            if writer.epoch > partition.epoch:
                partition.epoch = writer.epoch
                partition.end_by_sequence.clear()
            partition.next_sequence = writer.sequence + 1
            partition.end_by_sequence[writer.sequence] = partition.end
            partition.end_by_sequence.pop(writer.sequence - 5, None)
        self.wake_readers()
        return partition.end

    def drop_history(self) -> None:
        """Drop all records; the newest of each key stays known."""
        for partition in self._partition_by_place.values():
            partition.first = partition.end
            partition.records.clear()
        self.wake_readers()

    def wake_readers(self) -> None:
        """Wake the reads that wait for a record."""
        self.changed.set()
        self.changed = asyncio.Event()

    def group(self, name: str) -> "MemberGroup":
        """Return a group; it is made on first use."""
        return self.group_by_name.setdefault(name, MemberGroup())


class MemberGroup:
    """Members that share the partitions."""

    def __init__(self) -> None:
        self.generation = 0
        self.last_seen_by_member: dict[str, float] = {}
        self.ttl_by_member: dict[str, float] = {}

    def members(self, now: float) -> list[str]:
        """Return the members that are in time, in a fixed order."""
        gone = [
            member
            for member, seen in self.last_seen_by_member.items()
            if now - seen > self.ttl_by_member[member]
        ]
        for member in gone:
            self.remove(member)
        return sorted(self.last_seen_by_member)

    def remove(self, member: str) -> None:
        """Remove a member; its partitions go to the others."""
        if self.last_seen_by_member.pop(member, None) is not None:
            self.generation += 1

    def owner(self, number: int, now: float) -> str | None:
        """Return the member that a partition is given to."""
        members = self.members(now)
        if not members:
            return None
        return members[(number + self.generation) % len(members)]


@dataclasses.dataclass(slots=True)
class Faults:
    """Switches of one client.

    Args:
        cut: Calls are lost without an effect.
        refuse: Calls are refused at once.
        lost_answer_share: Share of the writes that are done and not answered.
        delayed_share: Share of the writes that are done seconds later.
        delay_s: Further time of an answer.
    """

    cut: bool = False
    refuse: bool = False
    lost_answer_share: float = 0.0
    delayed_share: float = 0.0
    delay_s: float = 0.0


class Client:
    """The store as one instance reaches it.

    Args:
        store: Store.
    """

    def __init__(self, store: Store) -> None:
        self.store = store
        self.faults = Faults()
        self.calls = 0
        self._late: set[asyncio.Task[None]] = set()

    async def append(
        self,
        topic: str,
        partition: int,
        entries: list[messages.Entry],
        *,
        timeout_s: float,
        writer: messages.Writer | None = None,
        at: int | None = None,
    ) -> int:
        """Append all entries or none."""
        await self._reach(timeout_s)
        chance = self.store.random.random()
        if chance < self.faults.delayed_share:
            self._do_later(topic, partition, entries, writer, at)
            await asyncio.sleep(timeout_s)
            raise errors.PlatformUnavailable("late")
        end = self.store.append(topic, partition, entries, writer, at)
        if chance < self.faults.delayed_share + self.faults.lost_answer_share:
            await asyncio.sleep(timeout_s)
            raise errors.PlatformUnavailable("answer lost")
        return end

    def _do_later(
        self,
        topic: str,
        partition: int,
        entries: list[messages.Entry],
        writer: messages.Writer | None,
        at: int | None,
    ) -> None:
        async def apply() -> None:
            await asyncio.sleep(self.store.random.uniform(1.0, 6.0))
            try:
                self.store.append(topic, partition, entries, writer, at)
            except errors.LimpetstreamError:
                return  # Its condition does not hold any more.

        task = asyncio.create_task(apply())
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    async def read(
        self, topic: str, partition: int, start: int, *, wait_s: float, timeout_s: float
    ) -> messages.Page:
        """Return records from ``start``, waiting for one if there is none."""
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        await self._reach(timeout_s)
        while True:
            found = self.store.partition(topic, partition)
            if start < found.first:
                raise errors.OffsetExpired(found.first)
            entries = found.records[start - found.first :]
            left_s = until - loop.time()
            if entries or left_s < MIN_WAIT_S:
                return messages.Page(list(entries), found.end)
            changed = self.store.changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    async def newest(
        self, topic: str, partition: int, *, timeout_s: float
    ) -> messages.Page:
        """Return the newest record of each key."""
        await self._reach(timeout_s)
        newest = self.store.newest(topic, partition)
        return messages.Page(
            [newest[key] for key in sorted(newest)],
            self.store.partition(topic, partition).end,
        )

    async def join(
        self,
        group: str,
        member: str,
        topic: str,
        *,
        ttl_s: float,
        generation: int,
        timeout_s: float,
    ) -> messages.Assignment:
        """Join a group; each has the same partitions."""
        await self._reach(timeout_s)
        now = asyncio.get_running_loop().time()
        joined = self.store.group(group)
        joined.members(now)
        if member not in joined.last_seen_by_member:
            joined.generation += 1
        joined.last_seen_by_member[member] = now
        joined.ttl_by_member[member] = ttl_s
        owned = [
            (topic, number)
            for number in range(PARTITIONS_PER_GROUP)
            if joined.owner(number, now) == member
        ]
        return messages.Assignment(joined.generation, owned)

    async def leave(self, group: str, member: str, *, timeout_s: float) -> None:
        """Leave a group."""
        await self._reach(timeout_s)
        self.store.group(group).remove(member)

    async def owners(
        self, group: str, *, timeout_s: float
    ) -> dict[tuple[str, int], str]:
        """Return the member that each partition is given to."""
        await self._reach(timeout_s)
        now = asyncio.get_running_loop().time()
        found: dict[tuple[str, int], str] = {}
        for number in range(PARTITIONS_PER_GROUP):
            member = self.store.group(group).owner(number, now)
            if member is not None:
                found["keyed.limpetstream.progress", number] = member
        return found

    async def _reach(self, timeout_s: float) -> None:
        self.calls += 1
        if self.faults.cut:
            await asyncio.sleep(timeout_s)
            raise errors.PlatformUnavailable("cut off")
        if self.store.down or self.faults.refuse:
            await asyncio.sleep(0.001)
            raise errors.PlatformUnavailable("refused", not_applied=True)
        delay_s = RESPONSE_DELAY_S + self.faults.delay_s
        if delay_s >= timeout_s:
            await asyncio.sleep(timeout_s)
            raise errors.PlatformUnavailable("too slow", not_applied=True)
        await asyncio.sleep(delay_s)
