"""In-memory store of keyed topics that can simulate faults.

Each ``Client`` has fault switches of its own. The ``Store`` that the clients
share applies their calls one at a time, like a linearizable store.
"""

import asyncio
import dataclasses
import random

from limpetstream import errors
from limpetstream.store import messages

RESPONSE_DELAY_S = 0.004
PARTITIONS_PER_GROUP = 4
# Shorter waits do not advance the virtual time.
MIN_WAIT_S = 1e-6
MAX_KEY_BYTES = 255
MAX_RECORD_BYTES = 262_144


@dataclasses.dataclass(slots=True)
class Partition:
    """Records of one partition and the state of its fenced writer.

    Args:
        records: Records that are kept, in the order of their offsets.
        first: Offset of the first record that is kept; dropping records
            leaves the offsets of the others unchanged.
        epoch: Highest epoch of a writer seen.
        next_sequence: Sequence number that the writer must use next.
        end_by_sequence: Answers to the writer's last five appends, for
            retries.
    """

    records: list[messages.Entry] = dataclasses.field(default_factory=list)
    first: int = 0
    epoch: int = -1
    next_sequence: int = 0
    end_by_sequence: dict[int, int] = dataclasses.field(default_factory=dict)

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)


class Store:
    """State of the store, which all clients share.

    Args:
        seed: Seed of the random decisions of all clients.
    """

    def __init__(self, *, seed: int = 0) -> None:
        self.random = random.Random(seed)
        self.down = False
        self.changed = asyncio.Event()
        self.group_by_name: dict[str, MemberGroup] = {}
        self._partition_by_location: dict[tuple[str, int], Partition] = {}
        self._newest_by_location: dict[tuple[str, int], dict[str, messages.Entry]] = {}

    def partition(self, topic: str, number: int) -> Partition:
        """Return a partition, which is created on first use."""
        return self._partition_by_location.setdefault((topic, number), Partition())

    def newest(self, topic: str, number: int) -> dict[str, messages.Entry]:
        """Return the newest record of each key that is not deleted."""
        return self._newest_by_location.setdefault((topic, number), {})

    def append(
        self,
        topic: str,
        number: int,
        entries: list[messages.Entry],
        writer: messages.Writer | None,
        at: int | None,
    ) -> int:
        """Append all entries and return the offset after them.

        An append that repeats the epoch and sequence number of an earlier one
        returns the earlier result and appends nothing.

        Args:
            topic: Topic.
            number: Number of the partition.
            entries: Entries; one without a value deletes its key.
            writer: Fenced writer; None for an unconditional append.
            at: Offset that the partition must end at; None for any.

        Raises:
            WriterFenced: A writer of a higher epoch has appended.
            SequenceConflict: The sequence number is not the next one.
            OffsetMoved: The partition does not end at ``at``.
        """
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
        """Drop the history; the newest record of each key stays readable."""
        for partition in self._partition_by_location.values():
            partition.first = partition.end
            partition.records.clear()
        self.wake_readers()

    def wake_readers(self) -> None:
        """Wake the reads that wait for a record."""
        self.changed.set()
        self.changed = asyncio.Event()

    def group(self, name: str) -> "MemberGroup":
        """Return a group, which is created on first use."""
        return self.group_by_name.setdefault(name, MemberGroup())


class MemberGroup:
    """Members of a group, among which the partitions are distributed."""

    def __init__(self) -> None:
        self.generation = 0
        self.last_seen_by_member: dict[str, float] = {}
        self.ttl_by_member: dict[str, float] = {}

    def members(self, now: float) -> list[str]:
        """Remove members whose time-to-live has passed; return the others."""
        expired = [
            member
            for member, seen in self.last_seen_by_member.items()
            if now - seen > self.ttl_by_member[member]
        ]
        for member in expired:
            self.remove(member)
        return sorted(self.last_seen_by_member)

    def remove(self, member: str) -> None:
        """Remove a member and reassign the partitions."""
        if self.last_seen_by_member.pop(member, None) is not None:
            self.generation += 1

    def owner(self, number: int, now: float) -> str | None:
        """Return the member that a partition is assigned to, if any."""
        members = self.members(now)
        if not members:
            return None
        return members[(number + self.generation) % len(members)]


@dataclasses.dataclass(slots=True)
class Faults:
    """Fault switches of one client.

    Args:
        cut: Calls are lost without an effect.
        refuse: Calls are refused at once.
        lost_answer_share: Share of the appends that take effect without an
            answer.
        delayed_share: Share of the appends that take effect seconds later,
            without an answer.
        delayed_keys: Topics with keys whose appends take effect seconds later,
            without an answer.
        delay_s: Additional delay of every answer. A call with a shorter time
            limit takes effect and has no answer.
        transfer_s: Time from the first to the last byte of an answer with
            records.
    """

    cut: bool = False
    refuse: bool = False
    lost_answer_share: float = 0.0
    delayed_share: float = 0.0
    delayed_keys: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    delay_s: float = 0.0
    transfer_s: float = 0.0


class Client:
    """Client through which one instance uses the store.

    Args:
        store: Store that the clients share.
    """

    def __init__(self, store: Store) -> None:
        self.store = store
        self.faults = Faults()
        self.calls = 0
        self._delayed_appends: set[asyncio.Task[None]] = set()

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
        """Append all entries or none; see ``Store.append``.

        Raises:
            PlatformUnavailable: No answer; the append may take effect later.
        """
        _check_sizes(entries)
        is_late = await self._reach_store(timeout_s)
        draw = self.store.random.random()
        is_delayed = any(
            (topic, entry.key) in self.faults.delayed_keys for entry in entries
        )
        if is_delayed or draw < self.faults.delayed_share:
            self._append_later(topic, partition, entries, writer, at)
            await asyncio.sleep(timeout_s)
            raise errors.PlatformUnavailable("append delayed, no answer in time")
        end = self.store.append(topic, partition, entries, writer, at)
        if draw < self.faults.delayed_share + self.faults.lost_answer_share:
            await asyncio.sleep(timeout_s)
            raise errors.PlatformUnavailable("answer to append lost")
        _check_in_time(is_late)
        return end

    def _append_later(
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
                return  # The append is fenced or out of order by now.

        task = asyncio.create_task(apply())
        self._delayed_appends.add(task)
        task.add_done_callback(self._delayed_appends.discard)

    async def read(
        self, topic: str, partition: int, start: int, *, wait_s: float, timeout_s: float
    ) -> messages.Page:
        """Return records from ``start``; if there is none, wait for one.

        Raises:
            OffsetExpired: The record at ``start`` was dropped.
        """
        loop = asyncio.get_running_loop()
        limit_at = loop.time() + timeout_s
        deadline = loop.time() + wait_s
        await self._simulate_network(timeout_s)
        while True:
            found = self.store.partition(topic, partition)
            if start < found.first:
                raise errors.OffsetExpired(found.first)
            entries = found.records[start - found.first :]
            remaining_s = deadline - loop.time()
            if entries or remaining_s < MIN_WAIT_S:
                page = messages.Page(list(entries), found.end)
                await self._simulate_transfer(page, limit_at - loop.time())
                return page
            changed = self.store.changed
            try:
                async with asyncio.timeout(remaining_s):
                    await changed.wait()
            except TimeoutError:
                continue

    async def newest(
        self, topic: str, partition: int, *, timeout_s: float
    ) -> messages.Page:
        """Return the newest record of each key, sorted by key."""
        await self._simulate_network(timeout_s)
        newest = self.store.newest(topic, partition)
        page = messages.Page(
            [newest[key] for key in sorted(newest)],
            self.store.partition(topic, partition).end,
        )
        await self._simulate_transfer(page, timeout_s)
        return page

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
        """Join a group or renew the membership; return the assignment.

        Every group has the same partitions.
        """
        is_late = await self._reach_store(timeout_s)
        now = asyncio.get_running_loop().time()
        member_group = self.store.group(group)
        member_group.members(now)
        if member not in member_group.last_seen_by_member:
            member_group.generation += 1
        member_group.last_seen_by_member[member] = now
        member_group.ttl_by_member[member] = ttl_s
        owned = [
            (topic, number)
            for number in range(PARTITIONS_PER_GROUP)
            if member_group.owner(number, now) == member
        ]
        _check_in_time(is_late)
        return messages.Assignment(member_group.generation, owned)

    async def leave(self, group: str, member: str, *, timeout_s: float) -> None:
        """Leave a group at once instead of after the time-to-live."""
        is_late = await self._reach_store(timeout_s)
        self.store.group(group).remove(member)
        _check_in_time(is_late)

    async def owners(
        self, group: str, *, timeout_s: float
    ) -> dict[tuple[str, int], str]:
        """Return the member that each partition is assigned to."""
        await self._simulate_network(timeout_s)
        now = asyncio.get_running_loop().time()
        owner_by_partition: dict[tuple[str, int], str] = {}
        for number in range(PARTITIONS_PER_GROUP):
            member = self.store.group(group).owner(number, now)
            if member is not None:
                owner_by_partition["keyed.limpetstream.progress", number] = member
        return owner_by_partition

    async def _simulate_network(self, timeout_s: float) -> None:
        """Wait until a call that changes nothing is answered."""
        _check_in_time(await self._reach_store(timeout_s))

    async def _reach_store(self, timeout_s: float) -> bool:
        """Wait until a call is answered, or its time limit has passed.

        Returns:
            Whether its answer comes too late; the store gets it all the same.

        Raises:
            PlatformUnavailable: The store does not get the call.
        """
        self.calls += 1
        if self.faults.cut:
            await asyncio.sleep(timeout_s)
            raise errors.PlatformUnavailable("client is cut off from the store")
        if self.store.down or self.faults.refuse:
            await asyncio.sleep(0.001)
            raise errors.PlatformUnavailable("store refused the call", not_applied=True)
        delay_s = RESPONSE_DELAY_S + self.faults.delay_s
        if delay_s >= timeout_s:
            await asyncio.sleep(timeout_s)
            return True
        await asyncio.sleep(delay_s)
        return False

    async def _simulate_transfer(self, page: messages.Page, timeout_s: float) -> None:
        if page.entries and self.faults.transfer_s >= timeout_s:
            await asyncio.sleep(timeout_s)
            raise errors.PlatformUnavailable("the answer is cut", answer_began=True)
        await asyncio.sleep(self.faults.transfer_s if page.entries else 0.0)


def _check_in_time(is_late: bool) -> None:
    """Fail a call whose answer comes too late, which tells nothing.

    Raises:
        PlatformUnavailable: The answer is late.
    """
    if is_late:
        raise errors.PlatformUnavailable("no answer in time")


def _check_sizes(entries: list[messages.Entry]) -> None:
    """Check the platform's limits of keys and records.

    Raises:
        ValueError: A key does not fit into the length that precedes it.
        PlatformUnavailable: The platform refuses a record of this size.
    """
    for entry in entries:
        key = entry.key.encode()
        if len(key) > MAX_KEY_BYTES:
            raise ValueError(f"key of {len(key)} bytes")
        if 1 + len(key) + len(entry.value or b"") > MAX_RECORD_BYTES:
            raise errors.PlatformUnavailable("record is too large", not_applied=True)
