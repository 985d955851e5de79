"""Rights during a log outage: attestations and promises."""

import asyncio
import dataclasses

import msgspec

from limpetstream import errors
from limpetstream.membership import _state, events, messages, probes
from limpetstream.telemetry import logs

QUERY_INTERVAL_S = 0.5
# Asked more often until the first full round, which has to come before the
# rights end at their normal time.
FIRST_QUERY_INTERVAL_S = 0.25
# Normal renewals leave more than this; asking starts when they fall behind.
LATE_RENEWAL_REMAINING_S = 1.1
TICK_S = 0.05

_question_decoder = msgspec.json.Decoder(messages.AttestationRequest)
_encoder = msgspec.json.Encoder()


@dataclasses.dataclass(slots=True)
class OutageExtender:
    """Asks all other members for promises while the log is out of reach."""

    state: _state.State
    prober: probes.Prober
    requested_at_by_promise: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    active: bool = False
    _last_ask: float = float("-inf")
    _asking_by_member: dict[str, asyncio.Task[None]] = dataclasses.field(
        default_factory=dict
    )

    async def run(self) -> None:
        """Watch the log's reach until the task is cancelled."""
        try:
            while True:
                self.step(self.state.clock.monotonic())
                await self.state.clock.sleep(TICK_S)
        finally:
            for task in list(self._asking_by_member.values()):
                task.cancel()

    def step(self, now: float) -> None:
        """Ask if it is due, and extend the rights by what was promised."""
        rights = self._live(now)
        if self._needed(rights, now):
            interval_s = QUERY_INTERVAL_S if self.active else FIRST_QUERY_INTERVAL_S
            if now - self._last_ask >= interval_s:
                self._last_ask = now
                self._ask_all(rights, now)
            self.extend(now)
        elif self.requested_at_by_promise:
            self.requested_at_by_promise.clear()
        self._note(any(right.kept_by_promises for right in rights))

    def _live(self, now: float) -> list[_state.Right]:
        held = (
            self.state.usable_right(name, now) for name in self.state.right_by_resource
        )
        return [right for right in held if right is not None]

    def _needed(self, rights: list[_state.Right], now: float) -> bool:
        if not rights:
            return False
        late = any(
            right.expires_at - now < LATE_RENEWAL_REMAINING_S for right in rights
        )
        return late or self.state.is_log_unreachable(now)

    def _others(self) -> list[str]:
        """Members whose promise is needed: all whose process may live."""
        return [
            member
            for member in self.state.members.by_id
            if member != self.state.own_id
            and member not in self.prober.gone_at_by_member
        ]

    def _ask_all(self, rights: list[_state.Right], now: float) -> None:
        resources = [right.resource for right in rights]
        epochs = [right.epoch for right in rights]
        for member in self._others():
            if member in self._asking_by_member:
                continue
            question = messages.AttestationRequest(
                self.state.own_id, member, True, resources, epochs
            )
            task = asyncio.ensure_future(self._ask(question, now))
            self._asking_by_member[member] = task
            task.add_done_callback(
                lambda _, member=member: self._asking_by_member.pop(member, None)
            )

    async def _ask(
        self, question: messages.AttestationRequest, asked_at: float
    ) -> None:
        answer = await self.prober.query(question)
        if answer is None:
            return
        epoch_by_resource = dict(zip(question.resources, question.epochs, strict=True))
        for resource in answer.promised:
            right = self.state.right_by_resource.get(resource)
            # The right may have been claimed anew while the answer travelled.
            if right is not None and right.epoch == epoch_by_resource.get(resource):
                self.requested_at_by_promise[question.to, resource] = asked_at
        self.extend(self.state.clock.monotonic())

    def extend(self, now: float) -> None:
        """Keep each right as long as every other member has promised.

        A right that has already ended stays ended: another member may have
        used the resource in between, and the log cannot tell.
        """
        others = self._others()
        for right in self._live(now):
            asked_at = min(
                (
                    self.requested_at_by_promise.get(
                        (member, right.resource), float("-inf")
                    )
                    for member in others
                ),
                default=now,
            )
            until = asked_at + _state.RIGHT_DURATION_S
            if until > right.expires_at and self.state.is_log_unreachable(now):
                right.expires_at = until
                right.kept_by_promises = True

    def _note(self, active: bool) -> None:
        if active != self.active:
            logs.emit(
                events.OUTAGE_EXTENSION_STARTED
                if active
                else events.OUTAGE_EXTENSION_ENDED
            )
        self.active = active


async def answer_attestation(state: _state.State, body: bytes) -> bytes:
    """Answer one ``POST /peer/v1/attest`` of an authenticated member.

    Args:
        state: State of this process, ``MembershipAgent.state``.
        body: JSON of ``messages.Attest``.

    Returns:
        JSON of ``messages.Attested``.

    Raises:
        Rejected: The question is malformed.
    """
    try:
        question = _question_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        logs.emit(events.BAD_ATTESTATION, detail=str(error))
        raise errors.Rejected(400, "bad-input", str(error)) from error
    now = state.clock.monotonic()
    if question.to != state.own_id:
        # The question is for an earlier process at this address.
        return _encoder.encode(messages.AttestationReply(state.own_id, True, [], []))
    held = [name for name in question.resources if state.usable_right(name, now)]
    promised = grant_promises(state, question, now) if question.promise else []
    answer = messages.AttestationReply(
        state.own_id, not state.is_log_unreachable(now), held, promised
    )
    return _encoder.encode(answer)


def grant_promises(
    state: _state.State, question: messages.AttestationRequest, now: float
) -> list[str]:
    """Promise not to claim the asker's resources, as far as that is right.

    Args:
        state: State of this process.
        question: What the asker holds.
        now: Monotonic time.

    Returns:
        The resources that are promised.
    """
    if not state.is_log_unreachable(now) or question.asker not in state.members.by_id:
        return []
    given = []
    for resource, epoch in zip(question.resources, question.epochs, strict=False):
        # A claim of our own under way, or a holder in our view that is not the
        # asker, means that the asker may already have been superseded.
        if resource in state.claiming:
            continue
        if not state.rights.holds(resource, question.asker, epoch):
            continue
        state.promised_until_by_resource[resource] = now + _state.PROMISE_DURATION_S
        given.append(resource)
    return given
