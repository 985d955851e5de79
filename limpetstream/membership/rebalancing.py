"""Releases of rights, rebalancing, and removal of dead members."""

import asyncio
import dataclasses

from limpetstream import errors
from limpetstream.membership import _state, claims, events, messages, probes, ranking
from limpetstream.telemetry import logs

# Each hand-over makes the callers of a group wait for a moment.
REBALANCE_INTERVAL_S = 1.0
# A better holder must have answered a probe this recently.
ALIVE_RESULT_MAX_AGE_S = 2.0
# Members without rights are probed by two others each.
WATCH_INTERVAL_S = 5.0
PROBERS_PER_MEMBER = 2
REMOVAL_RANK_DELAY_S = 1.0
RELEASE_RETRY_S = 0.2


@dataclasses.dataclass(slots=True)
class Rebalancer:
    """Gives rights away, and removes members whose process is gone."""

    state: _state.State
    prober: probes.Prober
    tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)
    resources_in_hand_over: set[str] = dataclasses.field(default_factory=set)
    _removing: set[str] = dataclasses.field(default_factory=set)
    _last_release: float = float("-inf")

    def step(self, now: float) -> None:
        """Start what is due.

        Args:
            now: Monotonic time.
        """
        if not self.state.is_view_fresh(now) or self.state.is_log_unreachable(now):
            return
        self._rebalance(now)
        self._watch(now)
        self._remove_dead(now)

    def _rebalance(self, now: float) -> None:
        if (
            now - self._last_release < REBALANCE_INTERVAL_S
            or self.resources_in_hand_over
        ):
            return
        able = claims.eligible_members(self.state, self.prober)
        if not able:
            return
        for resource, data_centre in self.state.resources().items():
            right = self.state.usable_right(resource, now)
            if right is None or right.kept_by_promises:
                continue
            best = ranking.ranked(able, resource, data_centre)[0]
            if best.id == self.state.own_id or not self._alive(best.id, now):
                continue
            self._last_release = now
            self._spawn(self.release(resource))
            return

    def _alive(self, member: str, now: float) -> bool:
        """Return whether a member could claim now; keep probing it."""
        self.prober.probe_if_due(member, now, interval_s=ALIVE_RESULT_MAX_AGE_S / 2)
        finding = self.prober.result_by_member.get(member)
        return (
            finding is not None
            and finding.log_reachable
            and now - finding.sent_at < ALIVE_RESULT_MAX_AGE_S
        )

    async def release(self, resource: str) -> None:
        """Finish the work under a right, stop using it and release it.

        Args:
            resource: Resource whose right this instance holds.
        """
        if resource in self.resources_in_hand_over:
            return
        self.resources_in_hand_over.add(resource)
        try:
            await self.state.hand_over(resource)
            await self._release(resource)
        except Exception as error:
            # The hand-over belongs to another slice; the right stays usable.
            logs.emit(events.HAND_OVER_FAILED, resource=resource, detail=str(error))
        finally:
            self.resources_in_hand_over.discard(resource)

    async def release_all(self) -> None:
        """Hand over and release every right, for a planned stop."""
        names = list(self.state.right_by_resource)
        await asyncio.gather(*(self.release(name) for name in names))

    async def _release(self, resource: str) -> None:
        state = self.state
        right = state.right_by_resource.pop(resource, None)
        if right is None:
            return
        # Never used again, whatever becomes of the append.
        right.ended = True
        state.releasing.add(resource)
        try:
            while state.holds_in_view(resource, right.epoch):
                try:
                    await state.committer.append(
                        "right.release",
                        messages.Release(resource),
                        resource=resource,
                        epoch=right.epoch,
                        urgent=True,
                    )
                except errors.LogUnavailable:
                    if state.committer.retired:
                        return
                    await state.clock.sleep(RELEASE_RETRY_S)
            logs.emit(events.RIGHT_RELEASED, resource=resource, epoch=right.epoch)
        finally:
            state.releasing.discard(resource)

    def _watch(self, now: float) -> None:
        """Probe the members that this one watches over."""
        able = claims.eligible_members(self.state, self.prober)
        for member in self.state.members.by_id:
            others = [each for each in able if each.id != member]
            watchers = ranking.ranked(others, f"watch/{member}")[:PROBERS_PER_MEMBER]
            if any(each.id == self.state.own_id for each in watchers):
                self.prober.probe_if_due(member, now, interval_s=WATCH_INTERVAL_S)

    def _remove_dead(self, now: float) -> None:
        able = claims.eligible_members(self.state, self.prober)
        for member, gone_at in self.prober.gone_at_by_member.items():
            if member in self._removing or member not in self.state.members.by_id:
                continue
            if self.state.rights.holds_any(member):
                continue
            order = ranking.ranked(able, f"remove/{member}")
            rank = ranking.rank_of(order, self.state.own_id)
            if rank is not None and now - gone_at >= (rank + 1) * REMOVAL_RANK_DELAY_S:
                self._removing.add(member)
                self._spawn(self._remove(member))

    async def _remove(self, member: str) -> None:
        try:
            apply_result = await self.state.committer.append(
                "member.leave", messages.Leave(member)
            )
            if apply_result.void_reason is None:
                logs.emit(events.DEAD_MEMBER_REMOVED, member=member)
        except errors.LogUnavailable:
            # Tried again at a later step if the member is still there.
            pass
        finally:
            self._removing.discard(member)

    def _spawn(self, run: object) -> None:
        task = asyncio.ensure_future(run)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
