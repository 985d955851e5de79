"""Simulates rights on virtual time, as in sections 6.1 and 6.3 of the design.

It replaces ``membership`` in the desk benches: claims and renewals are decided
in log order, the duration of a right counts from before the append, and
holders ask all members for promises while the log is down.
"""

import asyncio
import dataclasses

import xxhash

from limpetstream.desk.tests import builders

RIGHT_DURATION_S = 2.0
RENEWAL_INTERVAL_S = 0.6
# As in ``membership``, a claimant waits longer than the right lasts, also when
# the rates of the clocks differ by 2%.
CLAIM_WAIT_S = RIGHT_DURATION_S * 1.02 + 0.1
ASK_INTERVAL_S = 0.5
ASK_TIMEOUT_S = 0.4
# Instances claim one after the other, the preferred one first.
CLAIM_DELAY_PER_RANK_S = 0.2
STEP_INTERVAL_S = 0.1


@dataclasses.dataclass(slots=True)
class RightRecord:
    """Right on one group of executors, as the log defines it.

    Args:
        instance: Id of the holder.
        epoch: Offset of its claim.
        offset: Offset of the last claim or renewal.
        readable_at: Virtual time from which that record could be read.
    """

    instance: str
    epoch: int
    offset: int
    readable_at: float


class SimulatedRights:
    """Rights of all entry instances of a simulated deployment.

    ``promised_until`` holds, by member and asker, the time until which the
    member has promised not to claim a right of the asker.
    """

    def __init__(self, world: builders.World) -> None:
        self.world = world
        self.record_by_group: dict[str, RightRecord] = {}
        self.offset = 0
        self.reading_since = dict.fromkeys(world.by_id, 0.0)
        self.promised_until: dict[tuple[str, str], float] = {}

    def start(self) -> None:
        """Start one membership agent for each entry instance."""
        for instance in self.world.by_id.values():
            self.world.spawn(self._run_agent(instance))

    async def _run_agent(self, instance: builders.Node) -> None:
        renewed_at = asked_at = float("-inf")
        while not instance.dead:
            await instance.wait_while_paused()
            now = self.world.loop_time()
            if not self._can_read_log(instance):
                self.reading_since[instance.id] = now
                if now - asked_at >= ASK_INTERVAL_S:
                    asked_at = now
                    self.world.spawn(self._ask_for_promises(instance, now))
            else:
                if now - renewed_at >= RENEWAL_INTERVAL_S:
                    renewed_at = now
                    self.world.spawn(self._renew(instance, now))
                await self._claim(instance, now)
            await asyncio.sleep(STEP_INTERVAL_S)

    def _can_read_log(self, instance: builders.Node) -> bool:
        return self.world.log.up and not instance.cut_off and not instance.dead

    async def _append(self, instance: builders.Node) -> bool:
        await asyncio.sleep(self.world.log.delay_s)
        if not self._can_read_log(instance):
            return False
        self.offset += 1
        return True

    async def _renew(self, instance: builders.Node, sent_at: float) -> None:
        epochs = {
            group: right.epoch for group, right in instance.right_by_group.items()
        }
        if not await self._append(instance):
            return
        for group, epoch in epochs.items():
            record = self.record_by_group[group]
            if (record.instance, record.epoch) != (instance.id, epoch):
                instance.right_by_group.pop(group, None)
                continue
            record.offset, record.readable_at = self.offset, self.world.loop_time()
            right = instance.right_by_group.get(group)
            if right is not None and right.epoch == epoch:
                right.expires_at = max(right.expires_at, sent_at + RIGHT_DURATION_S)

    async def _ask_for_promises(self, instance: builders.Node, asked_at: float) -> None:
        other_members = [
            each for each in self.world.by_id.values() if each is not instance
        ]
        answers = await asyncio.gather(
            *(self._request_promise(instance, each) for each in other_members)
        )
        await instance.wait_while_paused()
        # A right that expired while a member was silent is extended once all
        # have promised: without the log, nobody can have claimed it.
        if all(answers):
            for right in instance.right_by_group.values():
                right.expires_at = max(right.expires_at, asked_at + RIGHT_DURATION_S)

    async def _request_promise(
        self, asker: builders.Node, member: builders.Node
    ) -> bool:
        delay_s = self.world.delay_s(asker.data_centre, member.data_centre)
        await asyncio.sleep(delay_s)
        if member.dead:
            return True  # The connection is refused: the process has ended.
        if self.world.loop_time() < member.paused_until:
            await asyncio.sleep(ASK_TIMEOUT_S)
            return False
        if self._can_read_log(member):
            return False
        promised_until = self.world.loop_time() + RIGHT_DURATION_S
        self.promised_until[member.id, asker.id] = promised_until
        await asyncio.sleep(delay_s)
        return not asker.dead

    def _rank(self, instance: builders.Node, group: str) -> int:
        """Return the place of an instance among the claimants of a group.

        Instances of the group's data centre come first; a hash decides the
        order among them and among the others.
        """
        data_centre = group.split("/")[1]

        def sort_key(each: builders.Node) -> tuple[bool, int]:
            weight = xxhash.xxh64_intdigest(f"{group}/{each.id}".encode())
            return each.data_centre != data_centre, weight

        living = [each for each in self.world.by_id.values() if not each.dead]
        return sorted(living, key=sort_key).index(instance)

    async def _claim(self, instance: builders.Node, now: float) -> None:
        for group in self.world.groups():
            record = self.record_by_group.get(group)
            if record is not None and not self._is_claimable(instance, record, now):
                continue
            claimable_at = (
                record.readable_at + CLAIM_WAIT_S if record is not None else 0.0
            )
            holder_is_dead = (
                record is not None and self.world.by_id[record.instance].dead
            )
            if (
                not holder_is_dead
                and now
                < claimable_at + CLAIM_DELAY_PER_RANK_S * self._rank(instance, group)
            ):
                continue
            if holder_is_dead and self._rank(instance, group) > 0:
                continue
            await self._try_claim(instance, group, record, now)

    def _is_claimable(
        self, instance: builders.Node, record: RightRecord, now: float
    ) -> bool:
        if record.instance == instance.id:
            # Its own right has expired, and nobody has claimed it since.
            return now - record.readable_at >= CLAIM_WAIT_S
        if now < self.promised_until.get((instance.id, record.instance), 0.0):
            return False
        holder = self.world.by_id[record.instance]
        if holder.dead:
            return True
        if now >= holder.paused_until:
            return False  # It answers the liveness probe.
        read_since = max(record.readable_at, self.reading_since[instance.id])
        return now - read_since >= CLAIM_WAIT_S

    async def _try_claim(
        self,
        instance: builders.Node,
        group: str,
        record: RightRecord | None,
        sent_at: float,
    ) -> None:
        supersedes = record.offset if record is not None else None
        if not await self._append(instance):
            return
        current = self.record_by_group.get(group)
        if current is not None and current.offset != supersedes:
            return
        now = self.world.loop_time()
        self.record_by_group[group] = RightRecord(
            instance.id, self.offset, self.offset, now
        )
        self.world.holding_by_group[group] = builders.Holding(instance.id, self.offset)
        instance.right_by_group[group] = builders.Right(
            self.offset, sent_at + RIGHT_DURATION_S
        )
