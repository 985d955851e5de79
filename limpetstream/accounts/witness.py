"""Copies of account entries at another member while the log is silent."""

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
MAX_ASKED_MEMBERS = 3  # members asked for one copy; keeps an outage from a flood


@dataclasses.dataclass(slots=True)
class CopyRequest:
    """Body of a witness message.

    Args:
        origin: Instance that wrote the records.
        lines: Records of the accounts stream; none for a probe.
    """

    origin: str
    lines: list[str]


_decoder = msgspec.json.Decoder(CopyRequest)


def rank_members(instance: str, members: list[str]) -> list[str]:
    """Return the other members, best witness first (rendezvous hashing).

    >>> sorted(rank_members("e1", ["e1", "e2", "e3"]))
    ['e2', 'e3']
    """
    return sorted(
        (each for each in members if each != instance),
        key=lambda each: xxhash.xxh64_intdigest(f"{instance}|{each}".encode()),
    )


@dataclasses.dataclass(slots=True)
class WitnessClient:
    """Sends copies to one other member.

    Args:
        instance: Id of this instance.
        peers: Client for other members (``peers.client.PeerClient``).
        members: Returns the ids of the members in the view.
        clock: Time.
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
    _chosen: str = ""

    async def copy(self, lines: list[str]) -> str | None:
        """Copy records to one member.

        Args:
            lines: Records; none to find out whether a member would take any.

        Returns:
            The member that has them, or None if there is none.
        """
        body = msgspec.json.encode(CopyRequest(self.instance, lines))
        for member in self._candidates():
            if await self._ask(member, body):
                self._chosen = member
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
        found = rank_members(self.instance, list(self.live_members()))
        # The member that answered last comes first, so that a slow one is not
        # waited for again with every copy.
        found.sort(key=lambda each: each != self._chosen)
        return found[:MAX_ASKED_MEMBERS]

    async def _ask(self, member: str, body: bytes) -> bool:
        try:
            reply = await self.peers.call(
                member, WITNESS_PATH, body, timeout_s=CALL_TIMEOUT_S
            )
        except errors.PeerGone:
            self.ended_members.add(member)
            return False
        except (errors.PeerUnreachable, errors.PeerRefused):
            if member == self._chosen:
                self._chosen = ""
            return False
        return reply.status == 200


def accept_copy(
    member: str, body: bytes, keep_copies: Callable[[list[str]], bool]
) -> None:
    """Take a copy from another member; the receiving side of ``WITNESS_PATH``.

    Args:
        member: Member that sent the message, as authenticated.
        body: Body of the message.
        keep_copies: ``Ledger.keep_copies`` of this instance.

    Raises:
        Rejected: The message is not valid, or there is no memory for it.
    """
    try:
        found = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeError) as error:
        raise errors.Rejected(400, "bad-body", str(error)) from error
    if found.origin != member:
        raise errors.Rejected(403, "not-origin", "copies come from their writer")
    for line in found.lines:
        try:
            envelope = codec.decode(line)
        except errors.RecordError as error:
            raise errors.Rejected(400, "bad-record", str(error)) from error
        if envelope.w != member or indexes.record_kind(line) != messages.BATCH_KIND:
            raise errors.Rejected(400, "bad-record", "not a batch of its writer")
    if found.lines and not keep_copies(found.lines):
        raise errors.Rejected(503, "no-memory", "no memory left for copies")
