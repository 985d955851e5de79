"""Probes other members: whether they answer, what they hold, who is gone.

A probe is an attestation request without a request for promises.
"""

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
    """Result of the last probe of a member.

    Args:
        sent_at: Monotonic time in seconds at which the probe was sent.
        held: Resources to which the member says it has a usable right; None
            if it did not answer.
        log_reachable: Whether the member says that it can reach the log.
    """

    sent_at: float
    held: set[str] | None
    log_reachable: bool


@dataclasses.dataclass(slots=True)
class Prober:
    """Sends probes, one at a time per member, and keeps the last results.

    Args:
        state: State of this process.
        result_by_member: Result of the last probe, by member id.
        gone_at_by_member: Monotonic time in seconds at which a member's
            process was found to have ended.
        sent_at_by_member: Monotonic time in seconds of the last probe.
    """

    state: _state.State
    result_by_member: dict[str, ProbeResult] = dataclasses.field(default_factory=dict)
    gone_at_by_member: dict[str, float] = dataclasses.field(default_factory=dict)
    sent_at_by_member: dict[str, float] = dataclasses.field(default_factory=dict)
    _task_by_member: dict[str, asyncio.Task[None]] = dataclasses.field(
        default_factory=dict
    )

    def mark_gone(self, member: str) -> None:
        """Record that the process of a member has ended.

        A refused connection, or an answer of another process at its address,
        counts as proof of that; a time-out does not. This is final, since
        member ids are never reused.
        """
        self.gone_at_by_member.setdefault(member, self.state.clock.monotonic())

    def close(self) -> None:
        """Cancel the probes in progress."""
        for task in list(self._task_by_member.values()):
            task.cancel()

    def prune(self) -> None:
        """Drop the results of members that were removed."""
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

        Members that are gone, or whose last probe is still in progress, are
        not probed.

        Args:
            member: Id of the member to probe.
            now: Monotonic time in seconds.
            interval_s: Minimum seconds between two probes of the member.
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
        request = messages.AttestationRequest(
            self.state.own_id, member, resources=resources
        )
        answer = await self.query(request)
        if answer is None:
            self.result_by_member[member] = ProbeResult(now, None, False)
        else:
            self.result_by_member[member] = ProbeResult(
                now, set(answer.held), answer.log_reachable
            )

    async def query(
        self, request: messages.AttestationRequest
    ) -> messages.AttestationReply | None:
        """Send one attestation request; None if there is no usable answer.

        The member is marked as gone if its process has ended.
        """
        try:
            reply = await self.state.peers.call(
                request.to,
                messages.ATTESTATION_PATH,
                _encoder.encode(request),
                timeout_s=PROBE_TIMEOUT_S,
            )
            if reply.status != 200:
                return None
            answer = _answer_decoder.decode(reply.body)
        except errors.PeerGone:
            self.mark_gone(request.to)
            return None
        except errors.PeerUnreachable:
            return None
        except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
            logs.emit(events.BAD_ATTESTATION, member=request.to, detail=str(error))
            return None
        if answer.instance != request.to:
            self.mark_gone(request.to)
            return None
        return answer
