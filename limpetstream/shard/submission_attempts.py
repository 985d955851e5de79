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
# Attempts that differ; a request has about ten, most of them alike.
MAX_ROWS = 12


@dataclasses.dataclass(slots=True)
class _Row:
    """Successive attempts that ended alike.

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
        may_be_stored: Whether an earlier request may have stored the job.

    Attributes:
        may_be_stored: Whether any attempt may have stored the job.
        reason: Why the newest attempt failed.
    """

    def __init__(
        self, clock: clock_module.Clock, *, may_be_stored: bool = False
    ) -> None:
        self.may_be_stored = may_be_stored
        self.reason = ""
        self._clock = clock
        self._began_at = clock.monotonic()
        self._rows: list[tuple[_Row, dict[str, int]]] = []

    def note_store(self, error: errors.PlatformUnavailable) -> None:
        """Note a failed append to the store."""
        delivery = error.delivery or errors.Delivery()
        self.reason = str(error)
        self._note(
            _Row(
                STORE,
                _outcome(not error.not_applied),
                str(error)[:MAX_REASON_CHARACTERS],
                delivery.status,
                delivery.copies,
                delivery.opened_connections,
            )
        )

    def note_peer(self, member: str, reply: peer_messages.PeerReply) -> None:
        """Note that another instance has not stored the job."""
        outcome = _outcome(reply.unknown)
        self._note(_Row(member, outcome, reply.refused[:MAX_REASON_CHARACTERS]))

    def rows(self) -> list[dict[str, Any]]:
        """Return the attempts in their order, for the log.

        Successive ones that ended alike are one row, with their number
        (``times``) and the time from the request to the end of the first one
        (``after_ms``).
        """
        return [{**dataclasses.asdict(row), **numbers} for row, numbers in self._rows]

    def _note(self, row: _Row) -> None:
        self.may_be_stored = self.may_be_stored or row.outcome == "unknown"
        if self._rows and self._rows[-1][0] == row:
            self._rows[-1][1]["times"] += 1
        elif len(self._rows) < MAX_ROWS:
            after_ms = round((self._clock.monotonic() - self._began_at) * 1000)
            self._rows.append((row, {"times": 1, "after_ms": after_ms}))


def _outcome(may_be_stored: bool) -> str:
    return "unknown" if may_be_stored else "not-run"
