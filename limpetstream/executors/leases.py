"""Tracks when an executor's lease ends, on its clock and on the local clock.

A lease is granted as a deadline on the executor's steady clock. That clock
may run up to 2% slow, so a lease of one second on it may last 1/0.98 s on the
local clock.

The executor reads its clock after a call is sent and before the answer is
received, and a call may wait for a second before it is answered. Both the
deadline and the end of a lease on the local clock are computed as if the clock
had been read when the answer was received. A lease is then never longer than
what a later owner waits for, and none is considered expired too early.
"""

import dataclasses
import math

MIN_CLOCK_RATE = 0.98  # Lowest clock rate that the platform guarantees.
# Executors are polled about once a second (``shard.sessions.POLL_WAIT_S``),
# and each poll renews the lease. While the owner of the shard stays the same,
# two consecutive renewals may be lost; if another instance takes the shard
# over, which takes 2 s, one may be lost.
LEASE_S = 4.0
EXPIRY_MARGIN_S = 0.15  # An executor kills runs shortly after the lease expires.


def longest_on_local_clock_s(lease_s: float) -> float:
    """Return how long a lease may last here, with the end of its runs."""
    return lease_s / MIN_CLOCK_RATE + EXPIRY_MARGIN_S


@dataclasses.dataclass(slots=True)
class Lease:
    """What is known about the clock and the lease of one executor.

    Args:
        duration_s: Longest time from the sending of a request to the deadline
            that the request carries, on the executor's clock.
        clock_ms: Newest reading of the executor's clock; None before the
            first.
        received_at: Monotonic time after the call that returned the reading.
        read_after: Monotonic time before which that reading was not taken.
        deadline_ms: Latest deadline that the executor can have been sent, on
            its clock; 0 before the first.
        expires_at: Monotonic time after which the lease has certainly expired
            and the executor has killed its runs; minus infinity until a
            deadline has been sent and the clock has been read.
        extended_at: Monotonic time of the newest call that carried a deadline;
            minus infinity before the first.
    """

    duration_s: float = LEASE_S
    clock_ms: int | None = None
    received_at: float = 0.0
    read_after: float = -math.inf
    deadline_ms: int = 0
    expires_at: float = -math.inf
    extended_at: float = -math.inf

    def observe(
        self, clock_ms: int, received_at: float, sent_at: float = -math.inf
    ) -> None:
        """Record a reading of the executor's clock, unless it is lower.

        The clock does not go back, so a reading that is lower than the newest
        one is older and is ignored. It does not run fast, so two readings are
        at least as far apart as they say.

        Args:
            clock_ms: Reading of the executor's clock.
            received_at: Monotonic time after the call that returned it.
            sent_at: Monotonic time before that call.
        """
        if self.clock_ms is not None:
            if clock_ms < self.clock_ms:
                return
            self.read_after += (clock_ms - self.clock_ms) / 1000
        self.read_after = max(self.read_after, sent_at)
        self.clock_ms = clock_ms
        self.received_at = received_at
        if self.deadline_ms:
            # Each reading gives an upper bound of the expiry time.
            bound = self._latest_expiry()
            is_known = self.expires_at > -math.inf
            self.expires_at = min(self.expires_at, bound) if is_known else bound

    def extend(self, now: float) -> int | None:
        """Extend the lease to ``duration_s`` from now; return its deadline.

        On the executor's clock the deadline is never further ahead than that.
        The deadline counts as sent even if the request that carries it has no
        answer, because such a request may still take effect.

        Args:
            now: Monotonic time.

        Returns:
            Deadline in milliseconds on the executor's clock; None before the
            first reading of that clock.
        """
        if self.clock_ms is None:
            return None
        self.extended_at = now
        # At least this much has passed on the executor's clock.
        elapsed_s = max(0.0, now - self.received_at) * MIN_CLOCK_RATE
        new_deadline_ms = self.clock_ms + int((elapsed_s + self.duration_s) * 1000)
        if new_deadline_ms > self.deadline_ms:
            self.deadline_ms = new_deadline_ms
            self.expires_at = self._latest_expiry()
        return new_deadline_ms

    def _latest_expiry(self) -> float:
        """Return the latest monotonic time at which the lease can expire."""
        left_s = max(0.0, (self.deadline_ms - (self.clock_ms or 0)) / 1000)
        return self.received_at + left_s / MIN_CLOCK_RATE + EXPIRY_MARGIN_S
