"""Joins the owners' group and claims the shards assigned to this instance.

The store's group assigns shards to members. An assignment is only a hint,
because the group can rebalance at any moment. A member becomes the owner by
a claim: a conditional append with a higher epoch, which fences the journal.
The epoch is also the fencing token for executors.

Each change of owner pauses the work of the shard. An owner therefore keeps
its shard when the group assigns it to another member; that member claims it
only after the owner has left the group.

Instances with little processor time form a separate group, the reserve. They
own shards only while the main group has no member.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Annotated

import msgspec

from limpetstream import clock as clock_module, errors
from limpetstream.shard import (
    events,
    instance_quorum,
    names,
    proof_ends,
    unreadable,
)
from limpetstream.store import follower, messages
from limpetstream.telemetry import logs

JOIN_INTERVAL_S = 0.3  # Three tries within the shortest membership.
MEMBERSHIP_TTL_S = 1.0  # Shortest membership that the store allows.
JOIN_TIMEOUT_S = 0.5
CLAIM_TIMEOUT_S = 1.0
CLAIM_RETRY_S = 0.1
RELEASE_TIMEOUT_S = 0.25  # As long as the first try of a journal's append.
VACANCY_CHECK_INTERVAL_S = 0.4  # Between checks whether an owner has left.
STANDBY_INTERVAL_S = 1.0  # As long as a membership in the main group.
ACTIVE_INTERVAL_S = 2.0  # Shards are being served, so half as often is enough.
# An owner that the store refuses for so long has no proof of its ownership any
# more (``proof.MAX_WITHOUT_APPEND_S``): it does no work that could be lost.
STALLED_S = 20.0
REJOIN_PAUSE_S = 3.0  # Time for another member to claim what this one has left.
# Runs are numbered from the epoch times ``jobs.RUN_NUMBERS_PER_EPOCH``, which
# executors report as whole numbers below 2**53.
MAX_EPOCH = 2**39
Token = Annotated[int, msgspec.Meta(ge=0, le=MAX_EPOCH)]


@dataclasses.dataclass(slots=True)
class Claim:
    """A claim that was read back from the journal.

    Args:
        epoch: Epoch and fencing token of the owner.
        proven_at: Monotonic time in seconds before the claim was read back;
            until then no other instance had claimed the shard.
        instances_vote: Whether every earlier owner that may still act needs
            the votes of the instances in the journal.
        leases_recorded_from: Lowest epoch from which on every owner before
            this one has recorded each executor under its epoch on which it has
            extended a lease.
        starts_recorded_from: Lowest epoch from which on no owner before this
            one started a long-running task on an executor whose record said
            that none runs there.
        offset_by_voter: Offsets of the records of executors and instances
            that the journal held at the claim, by key.
        previous_epoch: Epoch of the owner before; 0 if its claim is unknown.
        previous_member: Name of that owner; empty if it is unknown.
        previous_released: Whether that owner has said in the journal that it
            has released the shard.
        stopped_below: Owners of lower epochs have stopped, as that owner knew.
    """

    epoch: int
    proven_at: float
    instances_vote: bool = False
    leases_recorded_from: int | None = None
    offset_by_voter: dict[str, int] = dataclasses.field(default_factory=dict)
    previous_epoch: int = 0
    previous_member: str = ""
    previous_released: bool = False
    stopped_below: int = 0
    starts_recorded_from: int | None = None


Serve = Callable[[int, Claim], Awaitable[None]]
IsServedBy = Callable[[int, str], Awaitable[bool | None]]


@dataclasses.dataclass(slots=True)
class OwnerRecord:
    """Claim of a shard, as it is stored in the journal.

    Args:
        epoch: Highest fencing token of the owner, and its epoch as it claims
            the shard. The next owner uses a higher one.
        member: Name of the owner in the group. It begins with the owner's
            peer address.
        instances_vote: Whether this owner and every earlier one that may
            still act need the votes of the instances in the journal.
        leases_recorded_from: Lowest epoch from which on every owner up to
            this one has recorded each executor under its epoch on which it has
            extended a lease, and records others before it extends one; None if
            this one does not, as at first (``shard/lease_records``).
        stopped_below: Owners of lower epochs have stopped, as this one knows;
            0 in versions that do not tell.
        released: Whether this owner has released the shard and sends nothing
            any more under its epoch.
        token_raises: By how much its highest token exceeds its epoch.
        starts_recorded_from: Lowest epoch from which on no owner up to this
            one starts a long-running task on an executor whose record says
            that none runs there; None in versions that do not know it.
    """

    epoch: Annotated[int, msgspec.Meta(ge=1, le=MAX_EPOCH)]
    member: str
    instances_vote: bool = False
    leases_recorded_from: int | None = None
    stopped_below: int = 0
    released: bool = False
    token_raises: Annotated[int, msgspec.Meta(ge=0)] = 0
    starts_recorded_from: int | None = None

    def claimed_epoch(self) -> int:
        """Return the epoch under which the owner has claimed the shard.

        It is 0, for an unknown one, if the record does not make sense.
        """
        return max(0, self.epoch - self.token_raises)


class Ownership:
    """Follows the group and serves the shards that it assigns to this member.

    Args:
        store: Store of keyed topics.
        member: Name of this member, which begins with its peer address.
        shard_count: Number of shards in use.
        serve: Serves one claimed shard until cancelled or fenced.
        clock: Source of time.
        reserve: Whether this member belongs to the reserve.
        membership_ttl_s: Seconds after which the group drops a member that
            does not renew its membership.
        is_served_by: Returns whether a member serves a shard, or None if it
            does not answer.
        stalled_s: Returns for how many seconds the store has refused or not
            answered what a shard needs to be served, although this member
            reaches the group.
    """

    def __init__(
        self,
        store: messages.Store,
        member: str,
        shard_count: int,
        serve: Serve,
        clock: clock_module.Clock,
        *,
        reserve: bool = False,
        membership_ttl_s: float = MEMBERSHIP_TTL_S,
        is_served_by: IsServedBy | None = None,
        stalled_s: Callable[[int], float] = lambda shard: 0.0,
    ) -> None:
        self.task_by_shard: dict[int, asyncio.Task[None]] = {}
        self.claimed_shards: set[int] = set()
        self.owner_by_shard: dict[int, str] = {}
        self.leaving = False
        self._store = store
        self._member = member
        self._shard_count = shard_count
        self._serve = serve
        self._clock = clock
        self._reserve = reserve
        self._group = names.RESERVE_GROUP if reserve else names.GROUP
        self._standby = False
        self._membership_ttl_s = membership_ttl_s
        self._generation = 0
        self._unreachable_since: float | None = None
        self._is_served_by = is_served_by
        self._stalled_s = stalled_s
        self._claiming_since_by_shard: dict[int, float] = {}
        self._rejoin_at = float("-inf")

    async def run(self) -> None:
        """Renew the membership and follow the assignments until cancelled."""
        watching = (
            asyncio.create_task(self._watch_main_group()) if self._reserve else None
        )
        try:
            while not self.leaving:
                if not self._standby and self._clock.monotonic() >= self._rejoin_at:
                    await self._join()
                await self._clock.sleep(JOIN_INTERVAL_S)
        finally:
            if watching is not None:
                watching.cancel()
            await self.release_all()

    async def leave(self) -> None:
        """Release all shards and leave the group."""
        self.leaving = True
        await self._leave_group()

    async def _leave_group(self) -> None:
        await self.release_all()
        try:
            await self._store.leave(self._group, self._member, timeout_s=JOIN_TIMEOUT_S)
        except errors.PlatformUnavailable as error:
            logs.emit(events.GROUP_UNREACHABLE, call="leave", error=str(error))

    async def release_all(self) -> None:
        """Stop serving every shard."""
        for shard in list(self.task_by_shard):
            await self._release(shard)

    async def _watch_main_group(self) -> None:
        """Stand by while the main group has members.

        This runs in a task of its own, so that a request for the main group's
        members that gets no answer does not delay the renewal of this
        member's membership.
        """
        failing = False
        while not self.leaving:
            try:
                member_by_partition = await self._store.owners(
                    names.GROUP, timeout_s=JOIN_TIMEOUT_S
                )
                failing = False
                await self._set_standby(bool(member_by_partition))
            except errors.PlatformUnavailable as error:
                if not failing:
                    logs.emit(events.GROUP_UNREACHABLE, call="owners", error=str(error))
                failing = True
            interval_s = STANDBY_INTERVAL_S if self._standby else ACTIVE_INTERVAL_S
            await self._clock.sleep(interval_s)

    async def _set_standby(self, standby: bool) -> None:
        if standby == self._standby:
            return
        self._standby = standby
        logs.emit(events.RESERVE_CHANGED, needed=not standby)
        if standby:
            await self._leave_group()

    async def _join(self) -> None:
        try:
            assignment = await self._store.join(
                self._group,
                self._member,
                names.PROGRESS_TOPIC,
                ttl_s=self._membership_ttl_s,
                generation=self._generation,
                timeout_s=JOIN_TIMEOUT_S,
            )
        except errors.PlatformUnavailable as error:
            if self._unreachable_since is None:
                self._unreachable_since = self._clock.monotonic()
                logs.emit(events.GROUP_UNREACHABLE, call="join", error=str(error))
            return
        if self._unreachable_since is not None:
            after_s = round(self._clock.monotonic() - self._unreachable_since, 3)
            self._unreachable_since = None
            logs.emit(events.GROUP_REACHED, after_s=after_s)
        if not self.leaving and not self._standby:
            await self._apply_assignment(assignment)
            await self._leave_if_stalled()

    async def _leave_if_stalled(self) -> None:
        """Leave the group for a while if a shard cannot be served from here.

        The membership says that this member is alive, so no other one would
        claim the shard.
        """
        now = self._clock.monotonic()
        for shard in self.claimed_shards:
            claiming_since = self._claiming_since_by_shard.get(shard, now)
            stalled_s = max(self._stalled_s(shard), now - claiming_since)
            if stalled_s > STALLED_S:
                logs.emit(
                    events.SHARD_STALLED, shard=shard, stalled_s=round(stalled_s, 3)
                )
                self._rejoin_at = now + REJOIN_PAUSE_S
                await self._leave_group()
                return

    async def _apply_assignment(self, assignment: messages.Assignment) -> None:
        assigned = {
            partition
            for topic, partition in assignment.partitions
            if topic == names.PROGRESS_TOPIC and partition < self._shard_count
        }
        if assignment.generation != self._generation:
            logs.emit(
                events.SHARDS_ASSIGNED,
                generation=assignment.generation,
                shards=sorted(assigned),
            )
        for shard in set(self.task_by_shard) - assigned - self.claimed_shards:
            await self._release(shard)
        # The next join accepts this generation, so shards that were assigned
        # to others must have been released before.
        self._generation = assignment.generation
        for shard in assigned:
            task = self.task_by_shard.get(shard)
            if task is None or task.done():
                self.task_by_shard[shard] = asyncio.create_task(self._own_shard(shard))

    async def _release(self, shard: int) -> None:
        task = self.task_by_shard.pop(shard)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def _own_shard(self, shard: int) -> None:
        reason = "handed over"
        epoch = 0
        try:
            await self._wait_until_vacant(shard)
            self.claimed_shards.add(shard)
            self._claiming_since_by_shard[shard] = self._clock.monotonic()
            claimed = await claim(self._store, shard, self._member, self._clock)
            del self._claiming_since_by_shard[shard]
            epoch = claimed.epoch
            logs.emit(events.SHARD_CLAIMED, shard=shard, epoch=epoch)
            announcing = asyncio.create_task(self._announce(shard))
            try:
                await self._serve(shard, claimed)
            finally:
                announcing.cancel()
        except (errors.WriterFenced, errors.TokenOutdated) as error:
            reason = f"{type(error).__name__}: {error}"
        except asyncio.CancelledError:
            raise
        except Exception as error:
            reason = f"{type(error).__name__}: {error}"
            logs.emit(events.SHARD_FAILED, shard=shard, epoch=epoch, error=reason)
        finally:
            self.claimed_shards.discard(shard)
            self._claiming_since_by_shard.pop(shard, None)
            logs.emit(events.SHARD_RELEASED, shard=shard, epoch=epoch, reason=reason)
        await self._withdraw_announcement(shard)

    async def _wait_until_vacant(self, shard: int) -> None:
        """Wait until the announced owner has left, or has stopped serving.

        An announcement may outlive the service, since its owner could not
        withdraw it. A member is asked twice, as it announces itself before it
        serves. One that does not answer for ``STALLED_S`` counts as gone.
        """
        denials, answered_at = 0, self._clock.monotonic()
        while True:
            try:
                page = await self._store.newest(
                    names.OWNERS_TOPIC, shard, timeout_s=JOIN_TIMEOUT_S
                )
                owner = _announced_owner(page.entries)
                if owner in (None, self._member):
                    return
                if owner not in await group_members(
                    self._store, timeout_s=JOIN_TIMEOUT_S
                ):
                    return
                self.owner_by_shard[shard] = owner
                is_served = await self._ask_whether_served(shard, owner)
                now = self._clock.monotonic()
                if is_served is not None:
                    answered_at = now
                denials = denials + 1 if is_served is False else 0
                if denials >= 2 or now - answered_at > STALLED_S:
                    return
            except errors.PlatformUnavailable as error:
                logs.emit(events.CLAIM_FAILED, shard=shard, error=str(error))
            await self._clock.sleep(VACANCY_CHECK_INTERVAL_S)

    async def _ask_whether_served(self, shard: int, owner: str) -> bool | None:
        if self._is_served_by is None:
            return True
        return await self._is_served_by(shard, owner)

    async def _announce(self, shard: int) -> None:
        """Announce this member as the owner; only the claim proves it.

        The append is conditional, so one that takes effect late does not
        replace the announcement of a later owner.
        """
        entry = messages.Entry(names.OWNER_KEY, self._member.encode())
        while True:
            try:
                page = await self._store.newest(
                    names.OWNERS_TOPIC, shard, timeout_s=JOIN_TIMEOUT_S
                )
                if _announced_owner(page.entries) == self._member:
                    return
                await self._store.append(
                    names.OWNERS_TOPIC,
                    shard,
                    [entry],
                    at=page.end,
                    timeout_s=JOIN_TIMEOUT_S,
                )
                return
            except (errors.PlatformUnavailable, errors.OffsetMoved) as error:
                logs.emit(events.CLAIM_FAILED, shard=shard, error=str(error))
            await self._clock.sleep(CLAIM_RETRY_S)

    async def _withdraw_announcement(self, shard: int) -> None:
        """Remove the announcement if it still names this member.

        Otherwise the other members would consider the shard owned as long as
        this member stays in the group.
        """
        while True:
            try:
                page = await self._store.newest(
                    names.OWNERS_TOPIC, shard, timeout_s=JOIN_TIMEOUT_S
                )
                if _announced_owner(page.entries) == self._member:
                    await self._store.append(
                        names.OWNERS_TOPIC,
                        shard,
                        [messages.Entry(names.OWNER_KEY, None)],
                        at=page.end,
                        timeout_s=JOIN_TIMEOUT_S,
                    )
                return
            except (errors.PlatformUnavailable, errors.OffsetMoved) as error:
                logs.emit(events.CLAIM_FAILED, shard=shard, error=str(error))
            await self._clock.sleep(CLAIM_RETRY_S)


async def group_members(store: messages.Store, *, timeout_s: float) -> set[str]:
    """Return the members of both groups that have a partition assigned.

    Raises:
        PlatformUnavailable: No usable answer came.
    """
    found: set[str] = set()
    for group in (names.GROUP, names.RESERVE_GROUP):
        member_by_partition = await store.owners(group, timeout_s=timeout_s)
        found.update(member_by_partition.values())
    return found


def _announced_owner(entries: list[messages.Entry]) -> str | None:
    for entry in entries:
        if entry.key == names.OWNER_KEY and entry.value is not None:
            return entry.value.decode(errors="replace")
    return None


@dataclasses.dataclass(slots=True)
class _Tries:
    """Tries of one claim; none of them has served anything.

    Args:
        records: Records that may have been stored.
        previous: Newest claim that was read and is none of them; None if
            there is none, or it cannot be read.
    """

    records: list[OwnerRecord] = dataclasses.field(default_factory=list)
    previous: OwnerRecord | None = None


async def claim(
    store: messages.Store, shard: int, member: str, clock: clock_module.Clock
) -> Claim:
    """Become the only writer of a shard.

    The append is conditional on the partition's end. Its success alone does
    not prove the claim: the store takes two claims of the same epoch for one
    append and its retry, and may confirm both. The record is therefore read
    back to see whose claim was stored. A claim without an answer is never
    relied on: the next try reads the partition again and claims a higher
    epoch.

    The store knows the highest epoch, but does not tell it, and the record may
    be damaged. After a refusal the next try therefore claims a higher epoch in
    any case, and each further refusal doubles the step.

    A claim that is cancelled after it was stored is released.

    Args:
        store: Store of keyed topics.
        shard: Number of the shard.
        member: Name of the claiming member.
        clock: Source of time.

    Returns:
        The claim that the store holds.
    """
    tries = _Tries()
    try:
        return await _try_claims(store, shard, member, clock, tries)
    except asyncio.CancelledError:
        if tries.records:
            await _release_unserved(store, shard, clock, tries)
        raise


async def _try_claims(
    store: messages.Store,
    shard: int,
    member: str,
    clock: clock_module.Clock,
    tries: _Tries,
) -> Claim:
    refused_epoch, step = 0, 1
    read_timeout_s = CLAIM_TIMEOUT_S
    while True:
        try:
            page = await store.newest(
                names.PROGRESS_TOPIC, shard, timeout_s=read_timeout_s
            )
            newest = newest_claim(page.entries)
            if newest not in tries.records:
                tries.previous = newest
            epoch = max(next_epoch(page.entries), refused_epoch + step)
            record = OwnerRecord(
                epoch,
                member,
                _do_instances_vote(page.entries),
                stopped_below=_stopped_below(tries.previous, epoch),
                starts_recorded_from=_starts_recorded_from(tries.previous, epoch),
            )
            before = page.entries
            tries.records.append(record)
            await store.append(
                names.PROGRESS_TOPIC,
                shard,
                [messages.Entry(names.OWNER_KEY, msgspec.json.encode(record))],
                writer=messages.Writer(names.WRITER, epoch, 0),
                at=page.end,
                timeout_s=CLAIM_TIMEOUT_S,
            )
            proven_at = clock.monotonic()
            page = await store.newest(
                names.PROGRESS_TOPIC, shard, timeout_s=read_timeout_s
            )
            winner = newest_claim(page.entries)
            if winner == record:
                return _make_claim(record, tries.previous, before, proven_at)
            refusal = f"another claim won: {winner}"
        except (errors.SequenceConflict, errors.WriterFenced) as error:
            refusal = str(error)
        except (errors.PlatformUnavailable, errors.OffsetMoved) as error:
            if getattr(error, "answer_began", False):
                read_timeout_s = follower.LONG_ANSWER_S
            logs.emit(events.CLAIM_FAILED, shard=shard, error=str(error))
            await clock.sleep(CLAIM_RETRY_S)
            continue
        step = 2 * step if refused_epoch else 1
        refused_epoch = epoch
        logs.emit(events.CLAIM_FAILED, shard=shard, error=refusal)
        await clock.sleep(CLAIM_RETRY_S)


async def _release_unserved(
    store: messages.Store, shard: int, clock: clock_module.Clock, tries: _Tries
) -> None:
    """Tell the next owner that a cancelled claim has served nothing.

    Which claim was stored is read first: the store takes one of the same epoch
    for a repeat of another member's, and would accept a release of that one.
    """
    reason = "the claim has not been stored yet"
    try:
        page = await store.newest(
            names.PROGRESS_TOPIC, shard, timeout_s=RELEASE_TIMEOUT_S
        )
        if newest_claim(page.entries) != tries.records[-1]:
            await clock.sleep(CLAIM_RETRY_S)  # The newest try may be under way.
            page = await store.newest(
                names.PROGRESS_TOPIC, shard, timeout_s=RELEASE_TIMEOUT_S
            )
        record = newest_claim(page.entries)
        if record is not None and record in tries.records:
            released = dataclasses.replace(
                record,
                leases_recorded_from=_leases_recorded_from(
                    tries.previous, record.epoch
                ),
                released=True,
            )
            await store.append(
                names.PROGRESS_TOPIC,
                shard,
                [messages.Entry(names.OWNER_KEY, msgspec.json.encode(released))],
                writer=messages.Writer(names.WRITER, record.epoch, 1),
                timeout_s=RELEASE_TIMEOUT_S,
            )
            return
    except (
        errors.PlatformUnavailable,
        errors.SequenceConflict,
        errors.WriterFenced,
    ) as error:
        reason = str(error)
    epoch = tries.records[-1].epoch
    logs.emit(events.RELEASE_NOT_STORED, shard=shard, epoch=epoch, error=reason)


def _make_claim(
    record: OwnerRecord,
    previous: OwnerRecord | None,
    before: list[messages.Entry],
    proven_at: float,
) -> Claim:
    """Return a claim that the store holds.

    Args:
        record: The claim.
        previous: Claim of the owner before; None if there is none, or it
            cannot be read.
        before: Entries that the journal held just before the claim.
        proven_at: Monotonic time in seconds before it was read back.
    """
    return Claim(
        record.epoch,
        proven_at,
        record.instances_vote,
        _leases_recorded_from(previous, record.epoch),
        offset_by_voter(before),
        previous.claimed_epoch() if previous else 0,
        previous.member if previous else "",
        previous.released if previous else False,
        previous.stopped_below if previous else 0,
        record.starts_recorded_from,
    )


def _do_instances_vote(entries: list[messages.Entry]) -> bool:
    """Return whether the instances in the journal bind all earlier owners.

    Owners of versions before that record do not ask for the votes. They are
    known to have ended once a later owner has written the record.
    """
    if not any(
        entry.key == names.OWNER_KEY and entry.value is not None for entry in entries
    ):
        return True  # There is no earlier owner.
    newest = newest_claim(entries)
    if newest is None:
        return False  # The record of the newest claim cannot be read.
    if newest.instances_vote:
        return True
    instances = instance_quorum.find_record(entries)
    return instances is not None and instances.epoch == newest.claimed_epoch()


def _stopped_below(previous: OwnerRecord | None, epoch: int) -> int:
    """Return below which epoch all owners have stopped at a new claim.

    The claim is conditional on the read of the one before, so no other owner
    comes between the two.
    """
    if previous is None:
        return proof_ends.FIRST_EPOCH
    known = max(previous.stopped_below, proof_ends.FIRST_EPOCH)
    is_chain_known = 0 < previous.claimed_epoch() <= known
    return epoch if previous.released and is_chain_known else known


def _leases_recorded_from(previous: OwnerRecord | None, epoch: int) -> int:
    """Return from which epoch on all owners record leases, up to a new one."""
    if previous is None or previous.leases_recorded_from is None:
        return epoch
    return min(previous.leases_recorded_from, epoch)


def _starts_recorded_from(previous: OwnerRecord | None, epoch: int) -> int:
    """Return from which epoch on all owners heed records, up to a new one."""
    if previous is None or previous.starts_recorded_from is None:
        return epoch
    return min(previous.starts_recorded_from, epoch)


def offset_by_voter(entries: list[messages.Entry]) -> dict[str, int]:
    """Return the offsets of the records that name voters, by key."""
    return {
        entry.key: entry.offset
        for entry in entries
        if entry.key == names.INSTANCES_KEY
        or entry.key.startswith(names.EXECUTOR_KEY_PREFIX)
    }


def next_epoch(entries: list[messages.Entry]) -> int:
    """Return the epoch that follows the newest claim among the entries.

    It also follows the highest token of the owner before, which is stored
    twice, as the claim may be damaged.
    """
    newest = newest_claim(entries)
    return max(newest.epoch if newest else 0, _highest_token(entries)) + 1


def _highest_token(entries: list[messages.Entry]) -> int:
    for entry in entries:
        if entry.key == names.TOKEN_KEY and entry.value is not None:
            try:
                return msgspec.json.decode(entry.value, type=Token)
            except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
                unreadable.log(names.PROGRESS_TOPIC, entry, error)
    return 0


def newest_claim(entries: list[messages.Entry]) -> OwnerRecord | None:
    """Return the newest claim among the entries; None if there is none.

    A record that cannot be decoded is logged and counts as none.
    """
    for entry in entries:
        if entry.key == names.OWNER_KEY and entry.value is not None:
            try:
                return msgspec.json.decode(entry.value, type=OwnerRecord)
            except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
                unreadable.log(names.PROGRESS_TOPIC, entry, error)
    return None
