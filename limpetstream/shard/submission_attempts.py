"""Keeps the account of the attempts to store one job.

A refusal promises that the job never runs, so each attempt must be known to
have had no effect. The account goes into the log line of the refusal.
"""

import dataclasses
from typing import Any

from limpetstream import clock as clock_module, errors
from limpetstream.shard import peer_messages

STORE = "store"
MAX_REASON_CHARACTERS = 120
MAX_ROWS = 12  # Attempts that ended differently.


@dataclasses.dataclass(slots=True, frozen=True)
class _Row:
    """Attempts that ended alike.

    Args:
        via: ``store``, or the name of the instance that was asked.
        outcome: ``not-run`` or ``unknown``.
        reason: Error, or the other instance's reason.
        status: HTTP status; 0 without an answer, or if it is not known.
        copies: How often the body was sent.
        opened_connections: Connections opened; 0 if an open one was used.
    """

    via: str
    outcome: str
    reason: str
    status: int = 0
    copies: int = 0
    opened_connections: int = 0


class Attempts:
    """Attempts to store one job within one request.

    Args:
        clock: Source of time.

    Attributes:
        may_be_stored: Whether any attempt may have stored the job.
        reason: Why the newest attempt failed.
        left_out: Attempts that are not among the rows.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self.may_be_stored = False
        self.reason = ""
        self.left_out = 0
        self._clock = clock
        self._began_at = clock.monotonic()
        self._numbers_by_row: dict[_Row, dict[str, int]] = {}

    def note_store(self, error: errors.PlatformUnavailable) -> None:
        """Note a failed append to the store."""
        self.reason = str(error)
        self._note(STORE, not error.not_applied, str(error), error.delivery)

    def note_peer(self, member: str, reply: peer_messages.PeerReply) -> None:
        """Note that another instance has not confirmed to have stored the job.

        Only a reply with a reason, and without doubt, tells that it has not.
        """
        self._note(member, reply.unknown or not reply.refused, reply.refused)

    def note_unreachable(self, member: str, error: errors.PeerUnreachable) -> None:
        """Note that another instance did not answer."""
        self._note(member, not error.not_applied, str(error), error.delivery)

    def note_cut(self, via: str) -> None:
        """Note an attempt that was cut off before it had ended."""
        self._note(via, True, "cut off")

    def rows(self) -> list[dict[str, Any]]:
        """Return the attempts in the order of their first ends, for the log.

        Those that ended alike are one row, with their number (``times``) and
        the time from the request to the end of the first one (``after_ms``).
        """
        return [
            {**dataclasses.asdict(row), **numbers}
            for row, numbers in self._numbers_by_row.items()
        ]

    def _note(
        self,
        via: str,
        may_be_stored: bool,
        reason: str,
        delivery: errors.Delivery | None = None,
    ) -> None:
        is_first_doubt = may_be_stored and not self.may_be_stored
        self.may_be_stored = self.may_be_stored or may_be_stored
        delivery = delivery or errors.Delivery()
        row = _Row(
            via,
            "unknown" if may_be_stored else "not-run",
            reason[:MAX_REASON_CHARACTERS],
            delivery.status,
            delivery.copies,
            delivery.opened_connections,
        )
        numbers = self._numbers_by_row.get(row)
        if numbers is not None:
            numbers["times"] += 1
        elif len(self._numbers_by_row) < MAX_ROWS or is_first_doubt:
            after_ms = round((self._clock.monotonic() - self._began_at) * 1000)
            self._numbers_by_row[row] = {"times": 1, "after_ms": after_ms}
        else:
            self.left_out += 1
