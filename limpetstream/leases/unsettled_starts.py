"""Tracks starts that an executor may carry out, or has carried out unseen.

An executor may carry a start out seconds after it was sent, also if a new
process has taken its id since. Each call is carried out once, and a listing by
the same process that follows shows the run. So a start is settled once a poll
is answered that was sent after its answer, or after its longest delay, by the
process that was known before.
"""

import dataclasses
import math

EARLIER_OWNERS = 0  # Number that stands for all starts of earlier owners.


@dataclasses.dataclass(slots=True)
class _Call:
    """One start request, or all those of earlier owners.

    Args:
        sent_by: Monotonic time by which it was sent; infinity while it is
            under way.
        answered_at: Monotonic time of its answer; infinity before.
    """

    sent_by: float = math.inf
    answered_at: float = math.inf


@dataclasses.dataclass(slots=True)
class UnsettledStarts:
    """Starts of long-running tasks on one executor that are not settled.

    Args:
        call_by_number: The calls, by a number of their own.
        last_number: Number of the newest call.
    """

    call_by_number: dict[int, _Call] = dataclasses.field(default_factory=dict)
    last_number: int = EARLIER_OWNERS


def note_begun(starts: UnsettledStarts) -> int:
    """Note that a start is about to be sent; return the number of the call."""
    starts.last_number += 1
    starts.call_by_number[starts.last_number] = _Call()
    return starts.last_number


def note_ended(starts: UnsettledStarts, number: int, now: float) -> None:
    """Note that a call is not sent any more, whether or not it was answered.

    Its delay counts from then, as the process may have been suspended between
    its last check and the sending.
    """
    call = starts.call_by_number.get(number)
    if call is not None:
        call.sent_by = now


def note_answered(starts: UnsettledStarts, number: int, now: float) -> None:
    """Note that a call was answered, by whichever process."""
    call = starts.call_by_number.get(number)
    if call is not None:
        call.answered_at = now


def note_earlier_owners(starts: UnsettledStarts) -> None:
    """Note that earlier owners may have sent starts, at unknown times."""
    starts.call_by_number[EARLIER_OWNERS] = _Call()


def settle(
    starts: UnsettledStarts,
    polled_at: float,
    *,
    max_delay_s: float,
    earlier_sent_by: float,
) -> None:
    """Drop the starts that an answer to a poll settles.

    Args:
        starts: Starts on the executor, whose process has not changed.
        polled_at: Monotonic time before the answered poll was sent.
        max_delay_s: Longest time from the sending of a call until it is
            carried out.
        earlier_sent_by: Monotonic time by which earlier owners have sent
            their last start.
    """
    for number, call in list(starts.call_by_number.items()):
        if number == EARLIER_OWNERS:
            call.sent_by = min(call.sent_by, earlier_sent_by)
        is_answered = call.answered_at < polled_at
        if is_answered or call.sent_by + max_delay_s < polled_at:
            del starts.call_by_number[number]
