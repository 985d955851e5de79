"""Probes of other members: alive, holding, unreachable or gone."""

import asyncio
import dataclasses

import msgspec

from limpetstream import errors
from limpetstream.membership import _state, events, messages
from limpetstream.telemetry import logs

PROBE_TIMEOUT_S = 0.5

_encoder = msgspec.json.Encoder()
_answer_decoder = msgspec.json.Decoder(messages.AttestationReply)


@dataclasses.dataclass(slots=True)
class ProbeResult:
    """What the last probe of a member has shown.

    Args:
        sent_at: Monotonic time at which the probe was sent.
        held: Resources it says it holds; None if it did not answer.
        log_reachable: Whether it says that the log is within its reach.
    """

    sent_at: float
    held: set[str] | None
    log_reachable: bool


@dataclasses.dataclass(slots=True)
class Prober:
    """Sends probes, one at a time per member, and keeps the findings."""

    state: _state.State
    result_by_member: dict[str, ProbeResult] = dataclasses.field(default_factory=dict)
    gone_at_by_member: dict[str, float] = dataclasses.field(default_factory=dict)
    sent_at_by_member: dict[str, float] = dataclasses.field(default_factory=dict)
    _task_by_member: dict[str, asyncio.Task[None]] = dataclasses.field(
        default_factory=dict
    )

    def mark_gone(self, member: str) -> None:
        """Note that a member's process is gone; ids are never used again."""
        self.gone_at_by_member.setdefault(member, self.state.clock.monotonic())

    def close(self) -> None:
        """Stop the probes under way."""
        for task in list(self._task_by_member.values()):
            task.cancel()

    def prune(self) -> None:
        """Forget what is known about members that were removed."""
        known = self.state.members.by_id
        for table in (
            self.result_by_member,
            self.gone_at_by_member,
            self.sent_at_by_member,
        ):
            for member in [each for each in table if each not in known]:
                del table[member]

    def probe_if_due(self, member: str, now: float, *, interval_s: float) -> None:
        """Start a probe unless one was sent within the interval.

        Args:
            member: Member to probe.
            now: Monotonic time.
            interval_s: Least seconds between two probes of it.
        """
        if member in self._task_by_member or member in self.gone_at_by_member:
            return
        if now - self.sent_at_by_member.get(member, float("-inf")) < interval_s:
            return
        self.sent_at_by_member[member] = now
        task = asyncio.ensure_future(self._probe(member, now))
        self._task_by_member[member] = task
        task.add_done_callback(lambda _: self._task_by_member.pop(member, None))

    async def _probe(self, member: str, now: float) -> None:
        resources = sorted(self.state.rights.holdings_of(member))
        question = messages.AttestationRequest(
            self.state.own_id, member, resources=resources
        )
        answer = await self.query(question)
        if answer is None:
            self.result_by_member[member] = ProbeResult(now, None, False)
        else:
            self.result_by_member[member] = ProbeResult(
                now, set(answer.held), answer.log_reachable
            )

    async def query(
        self, question: messages.AttestationRequest
    ) -> messages.AttestationReply | None:
        """Send one question; None if there is no usable answer.

        A refused connection, or an answer by another process at the address
        of the member, is noted as gone.
        """
        try:
            reply = await self.state.peers.call(
                question.to,
                messages.ATTESTATION_PATH,
                _encoder.encode(question),
                timeout_s=PROBE_TIMEOUT_S,
            )
            if reply.status != 200:
                return None
            answer = _answer_decoder.decode(reply.body)
        except errors.PeerGone:
            self.mark_gone(question.to)
            return None
        except errors.PeerUnreachable:
            return None
        except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
            logs.emit(events.BAD_ATTESTATION, member=question.to, detail=str(error))
            return None
        if answer.instance != question.to:
            self.mark_gone(question.to)
            return None
        return answer
