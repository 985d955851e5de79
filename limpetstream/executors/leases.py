"""End of an executor's lease, on its clock and on ours.

The executor's steady clock may run up to 2% slow, so a lease of one second on
it may last 1/0.98 s here. A reading taken between the sending and the
receiving of a call bounds both ways.
"""

import dataclasses
import math

MIN_CLOCK_RATE = 0.98  # Platform's bound on the rate of an executor's clock.
LEASE_S = 4.0  # Covers a take-over (2 s) and one lost renewal.
EXPIRY_MARGIN_S = 0.15  # An executor kills what has lapsed a moment later.


@dataclasses.dataclass(slots=True)
class Lease:
    """What is known of one executor's clock and lease.

    Args:
        duration_s: Length of the lease that is asked for.
        clock_ms: Newest reading of the executor's clock.
        sent_at: Monotonic time before the call that brought the reading.
        received_at: Monotonic time after it.
        deadline_ms: Latest deadline that was ever sent.
        expires_at: Monotonic time after which everything there has lapsed.
    """

    duration_s: float = LEASE_S
    clock_ms: int | None = None
    sent_at: float = 0.0
    received_at: float = 0.0
    deadline_ms: int = 0
    expires_at: float = -math.inf

    def observe(self, clock_ms: int, sent_at: float, received_at: float) -> None:
        """Note a reading of the executor's clock."""
        if self.clock_ms is not None and clock_ms < self.clock_ms:
            return
        self.clock_ms = clock_ms
        self.sent_at = sent_at
        self.received_at = received_at
        if self.deadline_ms:
            # An older reading can only have overestimated the end.
            bound = self._bound()
            known = self.expires_at > -math.inf
            self.expires_at = min(self.expires_at, bound) if known else bound

    def extend(self, now: float) -> int | None:
        """Return the deadline to send now; None before the first reading."""
        if self.clock_ms is None:
            return None
        elapsed_ms = (now - self.sent_at) * 1000
        wanted = int(self.clock_ms + elapsed_ms + self.duration_s * 1000)
        if wanted > self.deadline_ms:
            self.deadline_ms = wanted
            self.expires_at = self._bound()
        return self.deadline_ms

    def _bound(self) -> float:
        left_s = max(0.0, (self.deadline_ms - (self.clock_ms or 0)) / 1000)
        return self.received_at + left_s / MIN_CLOCK_RATE + EXPIRY_MARGIN_S
