"""Tells how old the newest proof is that the configuration is up to date."""

# Part of the time allowed for revocation at which keys are no longer accepted.
# The clocks of two machines differ in rate.
LIMIT_SHARE = 0.8
# Part of that limit above which a read returns at once instead of waiting for
# changes. Each answered read is younger when the next one is sent, so that no
# read is added while the store answers.
PROOF_SHARE = 0.5
# Longest wait of a read for changes, as part of the time allowed for
# revocation. The age before an answer is that of two waits, and the rest of
# ``LIMIT_SHARE`` is left for repeating a read that is not answered.
WAIT_SHARE = 0.2


class Freshness:
    """Age of the newest read of the configuration that was answered.

    A read shows all that the store acknowledged before the read was sent.

    Args:
        revoke_s: Seconds from the acknowledgement of a configuration after
            which a key that it lacks is no longer accepted.
        is_strict: Whether that also holds for an instance that cannot reach
            the store. Otherwise the configuration always counts as fresh.

    Attributes:
        sent_at: Monotonic time before the newest answered read was sent.
    """

    __slots__ = ("is_strict", "limit_s", "sent_at", "_revoke_s", "_has_failed")

    def __init__(self, revoke_s: float, *, is_strict: bool) -> None:
        self.is_strict = is_strict
        self.limit_s = revoke_s * LIMIT_SHARE
        self._revoke_s = revoke_s
        self.sent_at = float("-inf")
        self._has_failed = False

    def note_read(self, sent_at: float) -> None:
        """Note that a read was answered with everything up to its end.

        Args:
            sent_at: Monotonic time before the read was sent.
        """
        self.sent_at = max(self.sent_at, sent_at)
        self._has_failed = False

    def note_failure(self) -> None:
        """Note that a read has failed."""
        self._has_failed = True

    def age_s(self, now: float) -> float:
        """Return the seconds since the newest answered read was sent."""
        return now - self.sent_at

    def is_fresh(self, now: float) -> bool:
        """Return whether requests with a key may be judged.

        Args:
            now: Monotonic time after the request was read. An earlier time
                would admit a request that arrived while the process was
                suspended.
        """
        return not self.is_strict or self.age_s(now) <= self.limit_s

    def is_read_due(self, now: float) -> bool:
        """Return whether a read should return at once instead of waiting."""
        if not self.is_strict:
            return False
        return self._has_failed or self.age_s(now) > self.limit_s * PROOF_SHARE

    def read_wait_s(self, usual_s: float) -> float:
        """Return how long a read waits for changes.

        Args:
            usual_s: Seconds for which it waits if no proof is needed.
        """
        if not self.is_strict:
            return usual_s
        return min(usual_s, self._revoke_s * WAIT_SHARE)
