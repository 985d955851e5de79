"""Adapts an owner's work to the time by which its event loop is late.

An owner whose processor is the limit serves everything late. Each executor is
then polled less often, so that more ends share an answer.
"""

import dataclasses

# The loop is late when a timer is later than this. A first start passes the
# loop about five times from its submission to the request; the aim for it is
# half a second.
MAX_LAG_S = 0.05
# The next poll acknowledges the ends of the last answer, which must not be
# older than the shortest restart (``shard.sessions.MIN_RESTART_S``).
MAX_PAUSE_S = 0.2
MIN_PAUSE_S = 0.025


@dataclasses.dataclass(slots=True)
class Lateness:
    """How late an event loop is, and what that allows.

    Args:
        lag_s: Longest time by which a timer was late in the last interval.
        pause_s: Time from an executor's answer to its next poll; 0 while the
            loop is in time.
        late_intervals: Number of intervals in a row with such a pause.
    """

    lag_s: float = 0.0
    pause_s: float = 0.0
    late_intervals: int = 0

    @property
    def is_late(self) -> bool:
        """Whether polls are grouped because the loop is late."""
        return self.pause_s > 0

    def note_lag(self, lag_s: float) -> None:
        """Lengthen the pause at once if a timer was late."""
        if lag_s > MAX_LAG_S:
            self.pause_s = min(MAX_PAUSE_S, max(self.pause_s, lag_s) * 2)

    def end_interval(self, lag_s: float) -> None:
        """Shorten the pause if no timer of an interval was late."""
        self.lag_s = lag_s
        if lag_s <= MAX_LAG_S:
            self.pause_s = self.pause_s / 2 if self.pause_s > MIN_PAUSE_S else 0.0
        self.late_intervals = self.late_intervals + 1 if self.is_late else 0
