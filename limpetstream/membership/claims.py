"""Claims rights to resources that are free, or whose holder has failed.

A right is a renewable, time-limited, exclusive lease on a resource, that is on
the workers of a data centre or on one group of its executors. If a call to the
holder has shown that its process has ended, its right is superseded at once. A
holder that does not renew its right is superseded only after the claim wait
(``_state.CLAIM_WAIT_S``), which is longer than a right lasts.
"""

import asyncio
import dataclasses

from limpetstream import errors
from limpetstream.membership import _state, events, members, messages, probes, ranking
from limpetstream.telemetry import logs

# Each candidate gives the one ranked before it this much time to claim first.
RANK_DELAY_S = 0.5
# A holder is probed if its last renewal was read longer ago than this.
SUSPECT_AFTER_S = 0.9
PROBE_INTERVAL_S = 0.3
# Maximum age of the probe result that a claim relies on.
MAX_PROBE_RESULT_AGE_S = 1.2
# Delay from the join to the first claim, so that instances that start together
# read one another's joins first. The membership agent waits for it.
FIRST_CLAIM_DELAY_S = 0.3


@dataclasses.dataclass(slots=True)
class ClaimPlan:
    """A claim that this instance may make.

    Args:
        supersedes: Offset of the claim or renewal that the claim supersedes;
            None for a free resource.
        gone: Whether the process of the holder has ended, according to a call
            to it (``Prober.gone_at_by_member``) or to the platform's instance
            list. After the former there is no claim wait; the list may be
            wrong and does not shorten the wait.
        allowed_from: Monotonic time in seconds from which the best-ranked
            candidate may claim. The others wait longer, by their rank.
    """

    supersedes: int | None
    gone: bool
    allowed_from: float


def plan_claim(
    state: _state.State, prober: probes.Prober, resource: str, now: float
) -> ClaimPlan | None:
    """Return the claim that may be made on a resource, or None.

    Probes the holder of the resource if its renewal is late, and notes since
    when the resource is free.

    Args:
        state: State of this process.
        prober: Results of probing the other members.
        resource: Resource to claim.
        now: Monotonic time in seconds.
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
    gone_at = prober.gone_at_by_member.get(holding.instance)
    if gone_at is not None:
        # A process that has ended does not use its right any more.
        return ClaimPlan(supersedes, True, gone_at)
    read_at = state.renewal_read_at_by_resource.setdefault(resource, now)
    # While the view was too old for decisions, renewals may have been written
    # that this instance has not read: the wait starts again.
    wait_started_at = max(read_at, state.view_last_stale_at)
    if now - wait_started_at > SUSPECT_AFTER_S:
        prober.probe_if_due(holding.instance, now, interval_s=PROBE_INTERVAL_S)
    # The probe has to be recent, and sent after the last renewal was read.
    result = prober.result_by_member.get(holding.instance)
    if result is None or result.sent_at <= max(now - MAX_PROBE_RESULT_AGE_S, read_at):
        return None
    holder = state.members.by_id.get(holding.instance)
    me = state.members.by_id[state.own_id]
    # The platform's list may be wrong, so the claim still waits below.
    gone = holder is not None and state.is_gone(holder)
    # In a log outage, a holder keeps its right by promises of the members
    # whose joins it has read (see ``outage_extension``). When it last renewed,
    # it had read the log up to ``holding.seen``. If this instance joined after
    # that, it is not asked, and its claim would be void unless it says that
    # the holder is gone (see ``rights.Rights.apply_claim``).
    if not gone and me.joined_offset >= holding.seen:
        return None
    if result.held is not None and resource in result.held:
        return None
    # A holder that answers that it has a usable right is not superseded,
    # however late its renewals are; one that did not answer (``held`` is None)
    # may be. An answer without the resource does not shorten the wait: the
    # holder may not yet have read a renewal in the log that will extend its
    # right.
    allowed_from = wait_started_at + _state.CLAIM_WAIT_S
    return ClaimPlan(supersedes, gone, allowed_from) if now >= allowed_from else None


def eligible_members(
    state: _state.State, prober: probes.Prober
) -> list[members.Member]:
    """Return the members that are neither leaving nor known to be gone."""
    return [
        member
        for member in state.members.active()
        if member.id not in prober.gone_at_by_member
    ]


@dataclasses.dataclass(slots=True)
class Claimer:
    """Makes the claims of this instance, each in its own task."""

    state: _state.State
    prober: probes.Prober
    tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)

    def step(self, now: float) -> None:
        """Start the claims that may be made now.

        A resource is skipped while this instance is bound by a promise to its
        holder not to claim it (see ``outage_extension``).

        Args:
            now: Monotonic time in seconds.
        """
        state = self.state
        me = state.members.by_id.get(state.own_id)
        if me is None or me.leaving or not state.is_view_fresh(now):
            return
        candidates = eligible_members(state, self.prober)
        for resource, data_centre in state.resources().items():
            if resource in state.claiming or state.has_promised(resource, now):
                continue
            plan = plan_claim(state, self.prober, resource, now)
            if plan is None:
                continue
            holding = state.rights.holding_of(resource)
            others = [m for m in candidates if not holding or m.id != holding.instance]
            order = ranking.ranked(others, resource, data_centre)
            rank = ranking.rank_of(order, state.own_id)
            if rank is not None and now - plan.allowed_from >= rank * RANK_DELAY_S:
                self._start(resource, plan)

    def _start(self, resource: str, plan: ClaimPlan) -> None:
        self.state.claiming.add(resource)
        task = asyncio.ensure_future(self._claim(resource, plan))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _claim(self, resource: str, plan: ClaimPlan) -> None:
        state = self.state
        body = messages.Claim(
            resource, plan.supersedes, state.view.next_offset, plan.gone
        )
        sent_at = state.clock.monotonic()
        try:
            # Waits without a time limit: until the outcome of the claim is
            # known, this instance must not promise the holder that it will not
            # claim the resource (see ``outage_extension.grant_promises``).
            apply_result = await state.committer.append(
                "right.claim", body, timeout_s=None, urgent=True
            )
        except errors.LogUnavailable:
            # Either the record was never sent, or its outcome cannot be known
            # any more: the view has moved past the record's place in the log,
            # or this instance is no longer a member. If the record was sent
            # and the claim is valid, the next renewal includes the right.
            return
        finally:
            state.claiming.discard(resource)
        if apply_result.void_reason is None:
            # The offset of a claim is the epoch of its right. A later claim
            # may already have superseded this one in the view.
            if state.holds_in_view(resource, apply_result.offset):
                # A claim that was read back late gives an expired right, which
                # the next renewal extends.
                expires_at = sent_at + _state.RIGHT_DURATION_S
                right = _state.Right(resource, apply_result.offset, expires_at)
                state.right_by_resource[resource] = right
                logs.emit(events.RIGHT_CLAIMED, resource=resource, epoch=right.epoch)
