"""Exceptions raised by limpetstream; all derive from LimpetstreamError."""

import dataclasses

# Statuses that tell that a call had no effect.
REFUSAL_STATUSES = frozenset({429, 503})


@dataclasses.dataclass(slots=True)
class Delivery:
    """How one call went out over HTTP.

    Args:
        status: HTTP status of the answer; 0 if none came.
        copies: How often the sending of the body was begun; 0 if no byte of it
            was sent, and more than once if the HTTP library has sent it again.
        opened_connections: Connections that were opened for the call; 0 if it
            used one that was open.
        has_body: Whether the call has a body.
    """

    status: int = 0
    copies: int = 0
    opened_connections: int = 0
    has_body: bool = False

    @property
    def not_applied(self) -> bool:
        """Whether a call with a body certainly had no effect.

        Either its only copy was refused, or no byte of the body was sent. A
        refusal of a second copy says nothing about the first one. How often a
        call without a body was sent is not known.
        """
        if self.status:
            return self.status in REFUSAL_STATUSES and self.copies == 1
        return self.has_body and self.copies == 0


class LimpetstreamError(Exception):
    """Base class of all errors that this package raises."""


class SettingsError(LimpetstreamError):
    """One validation finding in a settings file or a settings edit.

    Several findings are raised together in an ``ExceptionGroup``.

    Args:
        message: What is wrong and what was expected.
        file: Name of the file, or of the edit, that holds the value.
        line: Line number, from 1; 0 when there is none.
        key_path: Keys from the root to the value, joined by dots.
    """

    def __init__(
        self, message: str, *, file: str = "", line: int = 0, key_path: str = ""
    ) -> None:
        super().__init__(message)
        self.message = message
        self.file = file
        self.line = line
        self.key_path = key_path

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.key_path}: {self.message}"


class PlatformUnavailable(LimpetstreamError):
    """A call to the platform failed.

    The platform refused it, did not answer within the time limit, or gave an
    answer of an unexpected status or type.

    Args:
        message: The call and how it failed.
        not_applied: Whether the call certainly had no effect.
        answer_began: Whether a part of the answer arrived before the time
            limit.
        delivery: How the call went out; None if it is not known.
    """

    def __init__(
        self,
        message: str = "",
        *,
        not_applied: bool = False,
        answer_began: bool = False,
        delivery: Delivery | None = None,
    ) -> None:
        super().__init__(message)
        self.not_applied = not_applied
        self.answer_began = answer_began
        self.delivery = delivery


class LogUnavailable(PlatformUnavailable):
    """A call to the log failed; an append may still take effect."""


class OffsetExpired(LimpetstreamError):
    """The requested offset is older than the log's retention.

    Args:
        first: Oldest offset that the log still keeps.
    """

    def __init__(self, first: int) -> None:
        super().__init__(f"offset expired; the oldest offset kept is {first}")
        self.first = first


class WriterFenced(LimpetstreamError):
    """A writer with a higher epoch has taken over the partition."""


class OffsetMoved(LimpetstreamError):
    """A conditional append found the partition at another end offset.

    Args:
        end: Current end offset of the partition.
    """

    def __init__(self, end: int) -> None:
        super().__init__(f"the partition ends at offset {end}")
        self.end = end


class SequenceConflict(LimpetstreamError):
    """The partition expects another sequence number from this writer.

    Args:
        expected: Sequence number that the partition expects next.
    """

    def __init__(self, expected: int) -> None:
        super().__init__(f"the partition expects sequence number {expected}")
        self.expected = expected


class NotOwner(LimpetstreamError):
    """This instance does not own the shard that the call concerns."""


class TokenOutdated(LimpetstreamError):
    """An executor has seen a higher fencing token than this owner holds."""


class ExecutorReplaced(LimpetstreamError):
    """Another incarnation of the executor answers at its address."""


class RecordError(LimpetstreamError):
    """A log record is damaged, of an unknown kind or of a newer version."""


class RightEnded(LimpetstreamError):
    """The right to a resource ended before the action was carried out."""


class ViewStale(LimpetstreamError):
    """The view of the log or the instance list exceeds its maximum age."""


class NotRun(LimpetstreamError):
    """The work was refused; nothing was sent to a backend server or worker.

    Args:
        reason: Reason code from ``docs/OPERATORS.md``, such as ``overload``.
        detail: Human-readable explanation.
        retry_after_s: Seconds after which a retry makes sense; 0 if a retry
            never does.
    """

    def __init__(
        self, reason: str, detail: str = "", *, retry_after_s: float = 0.0
    ) -> None:
        super().__init__(f"{reason}: {detail}" if detail else reason)
        self.reason = reason
        self.detail = detail
        self.retry_after_s = retry_after_s


class OutcomeUnknown(LimpetstreamError):
    """It is unknown whether the work ran; query it by its request id."""


class PeerRefused(LimpetstreamError):
    """A message between entry instances was not authentic or too old."""


class PeerUnreachable(LimpetstreamError):
    """Another entry instance did not answer; it may still be running.

    Args:
        message: The call and how it failed.
        not_applied: Whether the call certainly had no effect.
        delivery: How the call went out; None if it is not known.
    """

    def __init__(
        self,
        message: str = "",
        *,
        not_applied: bool = False,
        delivery: Delivery | None = None,
    ) -> None:
        super().__init__(message)
        self.not_applied = not_applied
        self.delivery = delivery


class PeerGone(LimpetstreamError):
    """Another entry instance refused the connection: its process has ended."""


class Rejected(LimpetstreamError):
    """A request of a caller or operator is rejected.

    Args:
        status: HTTP status of the response.
        reason: Reason code from ``docs/OPERATORS.md``.
        detail: Human-readable explanation.
        findings: One line for each validation finding, with its location.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        detail: str = "",
        *,
        findings: tuple[str, ...] = (),
    ) -> None:
        super().__init__(f"{reason}: {detail}" if detail else reason)
        self.status = status
        self.reason = reason
        self.detail = detail
        self.findings = findings
