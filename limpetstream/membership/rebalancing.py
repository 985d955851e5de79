"""Releases rights, rebalances them, and removes members that are gone."""

import asyncio
import dataclasses

from limpetstream import errors
from limpetstream.membership import _state, claims, events, messages, probes, ranking
from limpetstream.telemetry import logs

# Minimum time between two releases for rebalancing: each hand-over makes the
# callers of a group wait for a moment.
REBALANCE_INTERVAL_S = 1.0
# A right is released for a better-ranked member only if that member answered a
# probe that is not older than this, and can reach the log.
MAX_READY_RESULT_AGE_S = 2.0
# Each member is probed by two others, so that those without rights, which
# nobody tries to take over from, are also found to be gone.
LIVENESS_PROBE_INTERVAL_S = 5.0
PROBERS_PER_MEMBER = 2
# Delay by rank until a member removes one that is gone, so that normally only
# the best-ranked one writes the record.
REMOVAL_RANK_DELAY_S = 1.0
RELEASE_RETRY_INTERVAL_S = 0.2


@dataclasses.dataclass(slots=True)
class Rebalancer:
    """Releases rights for better-ranked members, and removes gone members.

    Args:
        state: State of this process.
        prober: Probes the other members.
        tasks: Releases and removals in progress.
        resources_in_hand_over: Resources whose hand-over or release is in
            progress.
    """

    state: _state.State
    prober: probes.Prober
    tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)
    resources_in_hand_over: set[str] = dataclasses.field(default_factory=set)
    _removing: set[str] = dataclasses.field(default_factory=set)
    _last_release_at: float = float("-inf")

    def step(self, now: float) -> None:
        """Start the releases, probes and removals that are due.

        Args:
            now: Monotonic time in seconds.
        """
        if not self.state.is_view_fresh(now) or self.state.is_log_unreachable(now):
            return
        self._rebalance(now)
        self._probe_assigned_members(now)
        self._remove_gone_members(now)

    def _rebalance(self, now: float) -> None:
        if (
            now - self._last_release_at < REBALANCE_INTERVAL_S
            or self.resources_in_hand_over
        ):
            return
        candidates = claims.eligible_members(self.state, self.prober)
        if not candidates:
            return
        for resource, data_centre in self.state.resources().items():
            right = self.state.usable_right(resource, now)
            if right is None or right.kept_by_promises:
                continue
            best = ranking.ranked(candidates, resource, data_centre)[0]
            if best.id == self.state.own_id or not self._is_ready_to_claim(
                best.id, now
            ):
                continue
            self._last_release_at = now
            self._start_task(self.release(resource))
            return

    def _is_ready_to_claim(self, member: str, now: float) -> bool:
        """Return whether a member could claim now, and keep probing it."""
        self.prober.probe_if_due(member, now, interval_s=MAX_READY_RESULT_AGE_S / 2)
        result = self.prober.result_by_member.get(member)
        return (
            result is not None
            and result.log_reachable
            and now - result.sent_at < MAX_READY_RESULT_AGE_S
        )

    async def release(self, resource: str) -> None:
        """Finish the work under a right, stop using it, and release it.

        Args:
            resource: Resource whose right this instance holds.
        """
        if resource in self.resources_in_hand_over:
            return
        self.resources_in_hand_over.add(resource)
        try:
            await self.state.hand_over(resource)
            await self._append_release(resource)
        except Exception as error:
            # The hand-over is code of another package; if it fails, the right
            # stays usable.
            logs.emit(events.HAND_OVER_FAILED, resource=resource, detail=str(error))
        finally:
            self.resources_in_hand_over.discard(resource)

    async def release_all(self) -> None:
        """Hand over and release every right, for a planned stop."""
        names = list(self.state.right_by_resource)
        await asyncio.gather(*(self.release(name) for name in names))

    async def _append_release(self, resource: str) -> None:
        state = self.state
        right = state.right_by_resource.pop(resource, None)
        if right is None:
            return
        # The right is not used again, whether or not the append succeeds.
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
                    await state.clock.sleep(RELEASE_RETRY_INTERVAL_S)
            logs.emit(events.RIGHT_RELEASED, resource=resource, epoch=right.epoch)
        finally:
            state.releasing.discard(resource)

    def _probe_assigned_members(self, now: float) -> None:
        """Probe the members that this one has to probe, by their ranking."""
        candidates = claims.eligible_members(self.state, self.prober)
        for member in self.state.members.by_id:
            others = [each for each in candidates if each.id != member]
            probing_members = ranking.ranked(others, f"watch/{member}")[
                :PROBERS_PER_MEMBER
            ]
            if any(each.id == self.state.own_id for each in probing_members):
                self.prober.probe_if_due(
                    member, now, interval_s=LIVENESS_PROBE_INTERVAL_S
                )

    def _remove_gone_members(self, now: float) -> None:
        candidates = claims.eligible_members(self.state, self.prober)
        for member, gone_at in self.prober.gone_at_by_member.items():
            if member in self._removing or member not in self.state.members.by_id:
                continue
            if self.state.rights.holds_any(member):
                # It can be removed only after its rights have been claimed.
                continue
            order = ranking.ranked(candidates, f"remove/{member}")
            rank = ranking.rank_of(order, self.state.own_id)
            if rank is not None and now - gone_at >= (rank + 1) * REMOVAL_RANK_DELAY_S:
                self._removing.add(member)
                self._start_task(self._remove_member(member))

    async def _remove_member(self, member: str) -> None:
        try:
            apply_result = await self.state.committer.append(
                "member.leave", messages.Leave(member)
            )
            if apply_result.void_reason is None:
                logs.emit(events.DEAD_MEMBER_REMOVED, member=member)
        except errors.LogUnavailable:
            # A later step tries again if the member has not been removed.
            pass
        finally:
            self._removing.discard(member)

    def _start_task(self, coroutine: object) -> None:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
