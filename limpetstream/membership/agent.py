"""Membership agent: joins, and claims, renews and hands over rights.

It drives the parts that claim, rebalance and extend rights.
"""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable
from typing import Any

from limpetstream import clock, errors
from limpetstream.membership import (
    _state,
    claims,
    events,
    members,
    messages,
    outage_extension,
    probes,
    rebalancing,
    rights,
)
from limpetstream.records import committer, view
from limpetstream.telemetry import logs

TICK_S = 0.05

Right = _state.Right


async def no_hand_over(resource: str) -> None:
    """Do nothing: there is no work to finish before the release."""


@dataclasses.dataclass(slots=True)
class MembershipAgent:
    """Joins this instance to the members, and claims and renews its rights.

    Args:
        committer: Appends to the control stream; its writer is the member id.
        view: View of the control stream, with members and rights registered.
        members: Members, as of the view.
        rights: Holdings, as of the view.
        peers: Client for messages to members, see ``peers.client.PeerClient``.
        clock: Clock of this process.
        random: Source of jitter.
        join: Body of the ``member.join`` of this instance.
        resources: Returns the data centre of every resource, by the name of
            the resource.
        hand_over: Finishes the work under a right before its release.
        is_gone: Whether the platform's instance list says that a member's
            instance has ended; called only for members that do not answer.
        on_removed: Called after this instance was removed from the members.
        joined: Whether this instance has joined.
    """

    committer: committer.Committer
    view: view.View
    members: members.Members
    rights: rights.Rights
    peers: Any
    clock: clock.Clock
    random: random.Random
    join: messages.Join
    resources: Callable[[], dict[str, str]]
    hand_over: Callable[[str], Awaitable[None]] = no_hand_over
    is_gone: Callable[[members.Member], bool] = lambda member: False
    on_removed: Callable[[], None] = lambda: None
    state: _state.State = dataclasses.field(init=False)
    prober: probes.Prober = dataclasses.field(init=False)
    claimer: claims.Claimer = dataclasses.field(init=False)
    rebalancer: rebalancing.Rebalancer = dataclasses.field(init=False)
    outage_extender: outage_extension.OutageExtender = dataclasses.field(init=False)
    joined: bool = False
    _joined_at: float = 0.0
    _last_renewal_at: float = float("-inf")
    _renewals: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)

    def __post_init__(self) -> None:
        self.state = _state.State(
            self.committer,
            self.view,
            self.members,
            self.rights,
            self.peers,
            self.clock,
            self.random,
            self.resources,
            self.hand_over,
            self.is_gone,
        )
        self.prober = probes.Prober(self.state)
        self.claimer = claims.Claimer(self.state, self.prober)
        self.rebalancer = rebalancing.Rebalancer(self.state, self.prober)
        self.outage_extender = outage_extension.OutageExtender(self.state, self.prober)
        self.view.listeners.append(self._on_entry)
        self.view.restart_listeners.append(self._on_view_restart)

    def usable_right(self, resource: str, now: float) -> Right | None:
        """Return the right to a resource if this instance may use it now."""
        return self.state.usable_right(resource, now)

    def is_log_unreachable(self, now: float) -> bool:
        """Return whether reads or appends have failed for too long."""
        return self.state.is_log_unreachable(now)

    def report_gone(self, member: str) -> None:
        """Record that a member has ended, since it refused a connection."""
        self.prober.mark_gone(member)

    async def answer_attestation(self, body: bytes) -> bytes:
        """Answer ``POST /peer/v1/attest``, see ``outage_extension``."""
        return await outage_extension.answer_attestation(self.state, body)

    async def run(self) -> None:
        """Join, then claim and renew rights until cancelled or removed."""
        await self._join()
        outage_task = asyncio.ensure_future(self.outage_extender.run())
        try:
            while self.state.own_id in self.members.by_id:
                self.step(self.clock.monotonic())
                await self.clock.sleep(TICK_S)
        finally:
            outage_task.cancel()
            self.prober.close()
            for task in [*self._renewals, *self.claimer.tasks, *self.rebalancer.tasks]:
                task.cancel()
        self._stop_after_removal()

    def step(self, now: float) -> None:
        """Start the renewals, claims and releases that are due.

        Args:
            now: Monotonic time in seconds.
        """
        if not self.state.is_view_fresh(now):
            self.state.view_last_stale_at = now
        if now - self._last_renewal_at >= _state.RENEWAL_INTERVAL_S:
            self._last_renewal_at = now
            self._start_renewal(now)
        if now - self._joined_at >= claims.FIRST_CLAIM_DELAY_S:
            self.claimer.step(now)
            self.rebalancer.step(now)
        self.prober.prune()

    async def leave(self) -> None:
        """Announce a planned stop: this instance claims no more rights.

        It keeps those that it holds until ``release_all``.

        Raises:
            LogUnavailable: The record was not read back in time.
        """
        await self.committer.append(
            "member.leave", messages.Leave(self.state.own_id), urgent=True
        )

    async def release_all(self) -> None:
        """Hand over and release every right, as the last step of a stop."""
        await self.rebalancer.release_all()

    async def _join(self) -> None:
        while not self.state.is_view_fresh(self.clock.monotonic()):
            await self.clock.sleep(TICK_S)
        while self.state.own_id not in self.members.by_id:
            try:
                await self.committer.append("member.join", self.join, timeout_s=None)
            except errors.LogUnavailable:
                await self.clock.sleep(TICK_S)
        self.joined = True
        self._joined_at = now = self.clock.monotonic()
        for member in self.members.by_id:
            if member != self.state.own_id:
                self.prober.probe_if_due(
                    member, now, interval_s=claims.PROBE_INTERVAL_S
                )
        logs.emit(events.JOINED, data_centre=self.join.data_centre)

    def _start_renewal(self, now: float) -> None:
        """Renew all rights in one record.

        This includes rights whose claim was read back too late to be used.
        """
        epoch_by_resource = {
            resource: holding.epoch
            for resource, holding in self.rights.holdings_of(self.state.own_id).items()
            if resource not in self.state.releasing
        }
        if epoch_by_resource:
            task = asyncio.ensure_future(self._renew(epoch_by_resource, now))
            self._renewals.add(task)
            task.add_done_callback(self._renewals.discard)

    async def _renew(self, epoch_by_resource: dict[str, int], sent_at: float) -> None:
        body = messages.Renew(
            list(epoch_by_resource),
            list(epoch_by_resource.values()),
            self.view.next_offset,
        )
        try:
            apply_result = await self.committer.append(
                "right.renew", body, timeout_s=_state.RIGHT_DURATION_S, urgent=True
            )
        except errors.LogUnavailable:
            return
        if apply_result.void_reason is None:
            for resource, epoch in epoch_by_resource.items():
                self._extend_right(resource, epoch, sent_at + _state.RIGHT_DURATION_S)

    def _extend_right(self, resource: str, epoch: int, expires_at: float) -> None:
        state = self.state
        if not state.holds_in_view(resource, epoch) or resource in state.releasing:
            return
        right = state.right_by_resource.get(resource)
        if right is None or right.epoch != epoch:
            right = _state.Right(resource, epoch, expires_at)
            state.right_by_resource[resource] = right
        # Promises may have extended the right for longer than this renewal.
        if expires_at >= right.expires_at:
            right.expires_at = expires_at
            right.kept_by_promises = False

    def _on_entry(self, entry: view.Entry, apply_result: view.ApplyResult) -> None:
        if apply_result.void_reason is not None:
            return
        now = self.clock.monotonic()
        if entry.kind == "right.renew":
            for resource in entry.body.resources:
                self.state.renewal_read_at_by_resource[resource] = now
        elif entry.kind == "right.claim":
            self.state.renewal_read_at_by_resource[entry.body.resource] = now
            self._drop_right_if_lost(entry.body.resource)
        elif entry.kind == "right.release":
            self.state.renewal_read_at_by_resource.pop(entry.body.resource, None)

    def _on_view_restart(self) -> None:
        now = self.clock.monotonic()
        self.state.view_last_stale_at = now
        # A snapshot has no times of renewals, so the claim waits start again.
        self.state.renewal_read_at_by_resource = dict.fromkeys(
            self.rights.holding_by_resource, now
        )
        for resource in list(self.state.right_by_resource):
            self._drop_right_if_lost(resource)

    def _drop_right_if_lost(self, resource: str) -> None:
        right = self.state.right_by_resource.get(resource)
        if right is not None and not self.state.holds_in_view(resource, right.epoch):
            right.ended = True
            del self.state.right_by_resource[resource]
            logs.emit(events.RIGHT_LOST, resource=resource, epoch=right.epoch)

    def _stop_after_removal(self) -> None:
        for right in self.state.right_by_resource.values():
            right.ended = True
        self.state.right_by_resource.clear()
        self.committer.retire()
        logs.emit(events.REMOVED)
        self.on_removed()
