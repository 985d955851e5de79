"""Extends rights during a log outage by promises of the other members.

Without the log, a holder cannot renew its rights. It asks the other members
for promises, with the attestation requests that also serve as probes. Members
that cannot reach the log promise for a while not to claim the resources of the
holder. A holder that has the promises of all other members, except those that
are gone, keeps its rights without renewals.
"""

import asyncio
import dataclasses

import msgspec

from limpetstream import errors
from limpetstream.membership import _state, events, messages, probes
from limpetstream.telemetry import logs

QUERY_INTERVAL_S = 0.5
# Requests are more frequent until promises extend a right: all members have to
# promise before the rights expire.
FIRST_QUERY_INTERVAL_S = 0.25
# With timely renewals, a right always has more time left than this. A holder
# starts to ask for promises when less is left, even before the log counts as
# unreachable (``_state.State.is_log_unreachable``). It relies on the promises
# only once the log does.
LATE_RENEWAL_REMAINING_S = 1.1
TICK_S = 0.05

_request_decoder = msgspec.json.Decoder(messages.AttestationRequest)
_encoder = msgspec.json.Encoder()


@dataclasses.dataclass(slots=True)
class OutageExtender:
    """Asks the other members for promises, and extends rights by them.

    It asks while renewals are late or the log is unreachable.

    Args:
        state: State of this process.
        prober: Sends the requests, and knows which members are gone.
        requested_at_by_promise: Monotonic time in seconds at which the last
            granted promise was requested, by (member, resource). A holder
            relies on a promise for ``_state.RIGHT_DURATION_S`` from its
            request. The giver is bound from its answer, which is later, and
            for ``_state.PROMISE_DURATION_S``, which is longer.
        active: Whether any right is kept by promises now.
    """

    state: _state.State
    prober: probes.Prober
    requested_at_by_promise: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    active: bool = False
    _last_query_at: float = float("-inf")
    _query_task_by_member: dict[str, asyncio.Task[None]] = dataclasses.field(
        default_factory=dict
    )

    async def run(self) -> None:
        """Check whether promises are needed until the task is cancelled."""
        try:
            while True:
                self.step(self.state.clock.monotonic())
                await self.state.clock.sleep(TICK_S)
        finally:
            for task in list(self._query_task_by_member.values()):
                task.cancel()

    def step(self, now: float) -> None:
        """Ask for promises if that is due, and extend the rights by them."""
        rights = self._usable_rights(now)
        if self._is_needed(rights, now):
            interval_s = QUERY_INTERVAL_S if self.active else FIRST_QUERY_INTERVAL_S
            if now - self._last_query_at >= interval_s:
                self._last_query_at = now
                self._ask_all(rights, now)
            self.extend_rights(now)
        elif self.requested_at_by_promise:
            self.requested_at_by_promise.clear()
        self._set_active(any(right.kept_by_promises for right in rights))

    def _usable_rights(self, now: float) -> list[_state.Right]:
        held = (
            self.state.usable_right(name, now) for name in self.state.right_by_resource
        )
        return [right for right in held if right is not None]

    def _is_needed(self, rights: list[_state.Right], now: float) -> bool:
        if not rights:
            return False
        renewal_late = any(
            right.expires_at - now < LATE_RENEWAL_REMAINING_S for right in rights
        )
        return renewal_late or self.state.is_log_unreachable(now)

    def _members_to_ask(self) -> list[str]:
        """Return all other members, except those known to be gone."""
        return [
            member
            for member in self.state.members.by_id
            if member != self.state.own_id
            and member not in self.prober.gone_at_by_member
        ]

    def _ask_all(self, rights: list[_state.Right], now: float) -> None:
        resources = [right.resource for right in rights]
        epochs = [right.epoch for right in rights]
        for member in self._members_to_ask():
            if member in self._query_task_by_member:
                continue
            request = messages.AttestationRequest(
                self.state.own_id, member, True, resources, epochs
            )
            task = asyncio.ensure_future(self._ask(request, now))
            self._query_task_by_member[member] = task
            task.add_done_callback(
                lambda _, member=member: self._query_task_by_member.pop(member, None)
            )

    async def _ask(
        self, request: messages.AttestationRequest, requested_at: float
    ) -> None:
        answer = await self.prober.query(request)
        if answer is None:
            return
        epoch_by_resource = dict(zip(request.resources, request.epochs, strict=True))
        for resource in answer.promised:
            right = self.state.right_by_resource.get(resource)
            # The right may have been lost and claimed again in the meantime.
            if right is not None and right.epoch == epoch_by_resource.get(resource):
                self.requested_at_by_promise[request.to, resource] = requested_at
        self.extend_rights(self.state.clock.monotonic())

    def extend_rights(self, now: float) -> None:
        """Extend each right for as long as all members to ask have promised.

        The extension starts only when this instance counts the log as
        unreachable.

        A right that has expired is not extended: another member may have used
        the resource since, and the log is not there to tell.
        """
        members = self._members_to_ask()
        for right in self._usable_rights(now):
            requested_at = min(
                (
                    self.requested_at_by_promise.get(
                        (member, right.resource), float("-inf")
                    )
                    for member in members
                ),
                # Without other members no promise is needed: a member whose
                # join this instance has not read may claim only if this
                # process is known to have ended, see
                # ``rights.Rights.apply_claim``.
                default=now,
            )
            expires_at = requested_at + _state.RIGHT_DURATION_S
            if expires_at > right.expires_at and self.state.is_log_unreachable(now):
                right.expires_at = expires_at
                right.kept_by_promises = True

    def _set_active(self, active: bool) -> None:
        if active != self.active:
            logs.emit(
                events.OUTAGE_EXTENSION_STARTED
                if active
                else events.OUTAGE_EXTENSION_ENDED
            )
        self.active = active


async def answer_attestation(state: _state.State, body: bytes) -> bytes:
    """Answer a ``POST /peer/v1/attest``, which ``peers.handlers`` verified.

    The answer says what this instance holds and whether it reaches the log,
    and makes the promises that were requested.

    Args:
        state: State of this process, ``MembershipAgent.state``.
        body: JSON of ``messages.AttestationRequest``.

    Returns:
        JSON of ``messages.AttestationReply``.

    Raises:
        Rejected: The request is malformed.
    """
    try:
        request = _request_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        logs.emit(events.BAD_ATTESTATION, detail=str(error))
        raise errors.Rejected(400, "bad-input", str(error)) from error
    now = state.clock.monotonic()
    if request.to != state.own_id:
        # The request is for an earlier process at this address. The asker
        # concludes from the id in the answer that this process has ended, and
        # ignores the rest.
        return _encoder.encode(messages.AttestationReply(state.own_id, True, [], []))
    held = [name for name in request.resources if state.usable_right(name, now)]
    promised = grant_promises(state, request, now) if request.promise else []
    answer = messages.AttestationReply(
        state.own_id, not state.is_log_unreachable(now), held, promised
    )
    return _encoder.encode(answer)


def grant_promises(
    state: _state.State, request: messages.AttestationRequest, now: float
) -> list[str]:
    """Promise not to claim the asker's resources, where that is safe.

    Nothing is promised while this instance can reach the log, or to an asker
    that is not a member.

    Args:
        state: State of this process.
        request: Request with the resources and epochs of the asker.
        now: Monotonic time in seconds.

    Returns:
        The resources that this instance promises not to claim.
    """
    if not state.is_log_unreachable(now) or request.asker not in state.members.by_id:
        return []
    granted = []
    # A resource without an epoch, as in a malformed request, is not promised.
    for resource, epoch in zip(request.resources, request.epochs, strict=False):
        # The asker may already have been superseded if this instance has a
        # claim in progress, or if the asker is not the holder in its view.
        if resource in state.claiming:
            continue
        if not state.rights.holds(resource, request.asker, epoch):
            continue
        state.promised_until_by_resource[resource] = now + _state.PROMISE_DURATION_S
        granted.append(resource)
    return granted
