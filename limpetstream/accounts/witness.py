"""Copies account entries to another member while the log is unresponsive."""

import dataclasses
from collections.abc import Callable
from typing import Any

import msgspec
import xxhash

from limpetstream import clock as clocks, errors
from limpetstream.accounts import events, index as indexes, messages
from limpetstream.records import codec
from limpetstream.telemetry import logs

WITNESS_PATH = "/peer/v1/witness"
CALL_TIMEOUT_S = 0.3
MAX_ASKED_MEMBERS = 3  # members asked per copy; limits the load during an outage


@dataclasses.dataclass(slots=True)
class CopyRequest:
    """Body of a request to ``WITNESS_PATH``.

    Args:
        origin: Instance that wrote the records.
        lines: Records of the accounts stream; empty for a probe.
    """

    origin: str
    lines: list[str]


_decoder = msgspec.json.Decoder(CopyRequest)


def rank_members(instance: str, members: list[str]) -> list[str]:
    """Return the other members in the order in which they are asked.

    Rendezvous hashing spreads the copies of the instances over the members.

    >>> sorted(rank_members("e1", ["e1", "e2", "e3"]))
    ['e2', 'e3']
    """
    return sorted(
        (each for each in members if each != instance),
        key=lambda each: xxhash.xxh64_intdigest(f"{instance}|{each}".encode()),
    )


@dataclasses.dataclass(slots=True)
class WitnessClient:
    """Sends copies to another member and remembers which one took them.

    Args:
        instance: Id of this instance.
        peers: Client for other members (``peers.client.PeerClient``).
        members: Returns the ids of the members in the view.
        clock: Source of monotonic time.
        last_reached_at: Monotonic time at which a member last took a copy or
            probe.
        ended_members: Members whose process has ended; their copies are lost.
    """

    instance: str
    peers: Any
    members: Callable[[], list[str]]
    clock: clocks.Clock
    last_reached_at: float = float("-inf")
    ended_members: set[str] = dataclasses.field(default_factory=set)
    _preferred: str = ""

    async def copy(self, lines: list[str]) -> str | None:
        """Copy records to one member.

        Args:
            lines: Records to copy; empty for a probe, which only finds out
                whether a member would take copies.

        Returns:
            The member that took the copy, or None if none did.
        """
        body = msgspec.json.encode(CopyRequest(self.instance, lines))
        for member in self._candidates():
            if await self._ask(member, body):
                self._preferred = member
                self.last_reached_at = self.clock.monotonic()
                return member
        logs.emit(events.WITNESS_FAILED, records=len(lines))
        return None

    def live_members(self) -> set[str]:
        """Return the other members whose process has not ended."""
        others = set(self.members()) - {self.instance}
        self.ended_members &= others
        return others - self.ended_members

    def _candidates(self) -> list[str]:
        candidates = rank_members(self.instance, list(self.live_members()))
        # The member that took the last copy is asked first, so that not every
        # copy waits for a slow member.
        candidates.sort(key=lambda each: each != self._preferred)
        return candidates[:MAX_ASKED_MEMBERS]

    async def _ask(self, member: str, body: bytes) -> bool:
        try:
            reply = await self.peers.call(
                member, WITNESS_PATH, body, timeout_s=CALL_TIMEOUT_S
            )
        except errors.PeerGone:
            self.ended_members.add(member)
            return False
        except (errors.PeerUnreachable, errors.PeerRefused):
            if member == self._preferred:
                self._preferred = ""
            return False
        return reply.status == 200


def accept_copy(
    member: str, body: bytes, keep_copies: Callable[[list[str]], bool]
) -> None:
    """Check and store copies from another member; serves ``WITNESS_PATH``.

    Args:
        member: Authenticated member that sent the message.
        body: Body of the message.
        keep_copies: ``Ledger.keep_copies`` of this instance.

    Raises:
        Rejected: The message is invalid, or there is no memory for it.
    """
    try:
        request = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeError) as error:
        raise errors.Rejected(400, "bad-body", str(error)) from error
    if request.origin != member:
        raise errors.Rejected(
            403,
            "not-origin",
            "copies must be sent by the instance that wrote the records",
        )
    for line in request.lines:
        try:
            envelope = codec.decode(line)
        except errors.RecordError as error:
            raise errors.Rejected(400, "bad-record", str(error)) from error
        if envelope.w != member or indexes.record_kind(line) != messages.BATCH_KIND:
            raise errors.Rejected(
                400, "bad-record", "record is not an account batch of the sender"
            )
    if request.lines and not keep_copies(request.lines):
        raise errors.Rejected(503, "no-memory", "no memory left for copies")
