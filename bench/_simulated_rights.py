"""Rights on virtual time as in sections 6.1 and 6.3 of the design.

A stand-in for ``membership`` that follows the page: claims and renewals are
decided in log order, durations count from before the append, and holders
ask all members for promises while the log is down.
"""

import asyncio
import dataclasses

import xxhash

from limpetstream.desk.tests import builders

DURATION_S = 2.0
RENEW_S = 0.6
CLAIM_WAIT_S = DURATION_S * 1.02 + 0.1
ASK_S = 0.5
ASK_TIMEOUT_S = 0.4
RANK_S = 0.2
STEP_S = 0.1


@dataclasses.dataclass(slots=True)
class RightRecord:
    """What the log says about one group.

    Args:
        instance: Holder.
        epoch: Offset of its claim.
        offset: Offset of the last claim or renewal.
        readable_at: Time at which that record could be read.
    """

    instance: str
    epoch: int
    offset: int
    readable_at: float


class SimulatedRights:
    """Rights of all nodes of a world."""

    def __init__(self, world: builders.World) -> None:
        self.world = world
        self.record_by_group: dict[str, RightRecord] = {}
        self.offset = 0
        self.reading_since = dict.fromkeys(world.by_id, 0.0)
        self.promised_until: dict[tuple[str, str], float] = {}

    def start(self) -> None:
        """Run one membership agent for each node."""
        for node in self.world.by_id.values():
            self.world.spawn(self._run_agent(node))

    async def _run_agent(self, node: builders.Node) -> None:
        renewed = asked = float("-inf")
        while not node.dead:
            await node.wait_while_paused()
            now = self.world.loop_time()
            if not self._can_read_log(node):
                self.reading_since[node.id] = now
                if now - asked >= ASK_S:
                    asked = now
                    self.world.spawn(self._ask_for_promises(node, now))
            else:
                if now - renewed >= RENEW_S:
                    renewed = now
                    self.world.spawn(self._renew(node, now))
                await self._claim(node, now)
            await asyncio.sleep(STEP_S)

    def _can_read_log(self, node: builders.Node) -> bool:
        return self.world.log.up and not node.cut_off and not node.dead

    async def _append(self, node: builders.Node) -> bool:
        await asyncio.sleep(self.world.log.delay_s)
        if not self._can_read_log(node):
            return False
        self.offset += 1
        return True

    async def _renew(self, node: builders.Node, sent: float) -> None:
        epochs = {group: right.epoch for group, right in node.right_by_group.items()}
        if not await self._append(node):
            return
        for group, epoch in epochs.items():
            record = self.record_by_group[group]
            if (record.instance, record.epoch) != (node.id, epoch):
                node.right_by_group.pop(group, None)
                continue
            record.offset, record.readable_at = self.offset, self.world.loop_time()
            right = node.right_by_group.get(group)
            if right is not None and right.epoch == epoch:
                right.expires_at = max(right.expires_at, sent + DURATION_S)

    async def _ask_for_promises(self, node: builders.Node, asked: float) -> None:
        others = [each for each in self.world.by_id.values() if each is not node]
        answers = await asyncio.gather(
            *(self._request_promise(node, each) for each in others)
        )
        await node.wait_while_paused()
        # A right that ended while a member was silent goes on once all have
        # promised: nobody can have claimed it without the log.
        if all(answers):
            for right in node.right_by_group.values():
                right.expires_at = max(right.expires_at, asked + DURATION_S)

    async def _request_promise(
        self, asker: builders.Node, other: builders.Node
    ) -> bool:
        delay_s = self.world.delay_s(asker.data_centre, other.data_centre)
        await asyncio.sleep(delay_s)
        if other.dead:
            return True  # a refused connection: the process has ended
        if self.world.loop_time() < other.paused_until:
            await asyncio.sleep(ASK_TIMEOUT_S)
            return False
        if self._can_read_log(other):
            return False
        until = self.world.loop_time() + DURATION_S
        self.promised_until[other.id, asker.id] = until
        await asyncio.sleep(delay_s)
        return not asker.dead

    def _rank(self, node: builders.Node, group: str) -> int:
        data_centre = group.split("/")[1]

        def order(each: builders.Node) -> tuple[bool, int]:
            weight = xxhash.xxh64_intdigest(f"{group}/{each.id}".encode())
            return each.data_centre != data_centre, weight

        alive = [each for each in self.world.by_id.values() if not each.dead]
        return sorted(alive, key=order).index(node)

    async def _claim(self, node: builders.Node, now: float) -> None:
        for group in self.world.groups():
            record = self.record_by_group.get(group)
            if record is not None and not self._claimable(node, record, now):
                continue
            since = record.readable_at + CLAIM_WAIT_S if record is not None else 0.0
            gone = record is not None and self.world.by_id[record.instance].dead
            if not gone and now < since + RANK_S * self._rank(node, group):
                continue
            if gone and self._rank(node, group) > 0:
                continue
            await self._try_claim(node, group, record, now)

    def _claimable(self, node: builders.Node, record: RightRecord, now: float) -> bool:
        if record.instance == node.id:
            # Its own right ended, and nobody has claimed it.
            return now - record.readable_at >= CLAIM_WAIT_S
        if now < self.promised_until.get((node.id, record.instance), 0.0):
            return False
        holder = self.world.by_id[record.instance]
        if holder.dead:
            return True
        if now >= holder.paused_until:
            return False  # it answers the probe
        read_since = max(record.readable_at, self.reading_since[node.id])
        return now - read_since >= CLAIM_WAIT_S

    async def _try_claim(
        self, node: builders.Node, group: str, record: RightRecord | None, sent: float
    ) -> None:
        supersedes = record.offset if record is not None else None
        if not await self._append(node):
            return
        current = self.record_by_group.get(group)
        if current is not None and current.offset != supersedes:
            return
        now = self.world.loop_time()
        self.record_by_group[group] = RightRecord(
            node.id, self.offset, self.offset, now
        )
        self.world.holding_by_group[group] = builders.Holding(node.id, self.offset)
        node.right_by_group[group] = builders.Right(self.offset, sent + DURATION_S)
