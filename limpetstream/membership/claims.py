"""Claims of resources: when, in which order, and what follows."""

import asyncio
import dataclasses

from limpetstream import errors
from limpetstream.membership import _state, events, members, messages, probes, ranking
from limpetstream.telemetry import logs

# The next in order claims only if the one before it has not within this time.
RANK_DELAY_S = 0.5
# A renewal this late makes the holder suspect; it is probed.
SUSPECT_AFTER_S = 0.9
PROBE_INTERVAL_S = 0.3
# A probe older than this says nothing about the present.
PROBE_RESULT_MAX_AGE_S = 1.2
# Instances that start together see one another before the first claims.
FIRST_CLAIM_DELAY_S = 0.3


@dataclasses.dataclass(slots=True)
class ClaimPlan:
    """A claim that may be made.

    Args:
        supersedes: Offset to supersede; None for a free resource.
        gone: Whether the holder's process is gone.
        allowed_from: Monotonic time since which it may be made, by the first
            in order.
    """

    supersedes: int | None
    gone: bool
    allowed_from: float


def plan_claim(
    state: _state.State, found: probes.Prober, resource: str, now: float
) -> ClaimPlan | None:
    """Return the claim that may be made on a resource, or None.

    Args:
        state: State of this process.
        found: Findings about the other members.
        resource: Resource to claim.
        now: Monotonic time.
    """
    holding = state.rights.holding_of(resource)
    if holding is None:
        return ClaimPlan(
            None, False, state.free_since_by_resource.setdefault(resource, now)
        )
    state.free_since_by_resource.pop(resource, None)
    if holding.instance == state.own_id:
        return None
    supersedes = holding.renewed_offset
    gone_at = found.gone_at_by_member.get(holding.instance)
    if gone_at is not None:
        return ClaimPlan(supersedes, True, gone_at)
    read_at = state.last_read_at_by_resource.setdefault(resource, now)
    waited_from = max(read_at, state.last_stale_at)
    if now - waited_from > SUSPECT_AFTER_S:
        found.probe_if_due(holding.instance, now, interval_s=PROBE_INTERVAL_S)
    finding = found.result_by_member.get(holding.instance)
    if finding is None or finding.sent_at <= max(now - PROBE_RESULT_MAX_AGE_S, read_at):
        return None
    holder = state.members.by_id.get(holding.instance)
    me = state.members.by_id[state.own_id]
    gone = holder is not None and state.is_gone(holder)
    if not gone and me.joined_offset >= holding.seen:
        return None
    if finding.held is not None and resource in finding.held:
        return None
    # An answer "not held" does not shorten the wait: the holder may not yet
    # have read a renewal that is in the log and will extend its right.
    allowed_from = waited_from + _state.CLAIM_WAIT_S
    return ClaimPlan(supersedes, gone, allowed_from) if now >= allowed_from else None


def eligible_members(state: _state.State, found: probes.Prober) -> list[members.Member]:
    """Return the members that may take a resource now."""
    return [
        member
        for member in state.members.active()
        if member.id not in found.gone_at_by_member
    ]


@dataclasses.dataclass(slots=True)
class Claimer:
    """Makes the claims of this process, each in a task of its own."""

    state: _state.State
    prober: probes.Prober
    tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)

    def step(self, now: float) -> None:
        """Claim what is due.

        Args:
            now: Monotonic time.
        """
        state = self.state
        me = state.members.by_id.get(state.own_id)
        if me is None or me.leaving or not state.is_view_fresh(now):
            return
        able = eligible_members(state, self.prober)
        for resource, data_centre in state.resources().items():
            if resource in state.claiming or state.has_promised(resource, now):
                continue
            planned = plan_claim(state, self.prober, resource, now)
            if planned is None:
                continue
            holding = state.rights.holding_of(resource)
            others = [m for m in able if not holding or m.id != holding.instance]
            order = ranking.ranked(others, resource, data_centre)
            rank = ranking.rank_of(order, state.own_id)
            if rank is not None and now - planned.allowed_from >= rank * RANK_DELAY_S:
                self._start(resource, planned)

    def _start(self, resource: str, planned: ClaimPlan) -> None:
        self.state.claiming.add(resource)
        task = asyncio.ensure_future(self._claim(resource, planned))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _claim(self, resource: str, planned: ClaimPlan) -> None:
        state = self.state
        body = messages.Claim(
            resource, planned.supersedes, state.view.next_offset, planned.gone
        )
        sent_at = state.clock.monotonic()
        try:
            # Waits for the fate however long it takes: until then this member
            # must not promise the resource to its holder.
            apply_result = await state.committer.append(
                "right.claim", body, timeout_s=None, urgent=True
            )
        except errors.LogUnavailable:
            return
        finally:
            state.claiming.discard(resource)
        if apply_result.void_reason is None:
            if state.holds_in_view(resource, apply_result.offset):
                until = sent_at + _state.RIGHT_DURATION_S
                right = _state.Right(resource, apply_result.offset, until)
                state.right_by_resource[resource] = right
                logs.emit(events.RIGHT_CLAIMED, resource=resource, epoch=right.epoch)
