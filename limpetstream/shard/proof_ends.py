"""Holds since when it is known that owners of low epochs get no new proof.

It also holds of which owners it is known that they have stopped for good.

A new owner finds out that no earlier owner can prove its ownership any more,
and tells the other instances. Each keeps the time on its own clock. The owner
after it can then tell for how long that has been so, although the one that
found it out has ended.
"""

import dataclasses
import math

FIRST_EPOCH = 1
MAX_EPOCHS = 8  # Each change of owner needs one, and leases end within seconds.


@dataclasses.dataclass(slots=True)
class ProofEnd:
    """That proofs have ended, as one instance tells it to another.

    Args:
        epoch: Owners of lower epochs get no new proof.
        age_s: Seconds for which the sender knows that at least.
    """

    epoch: int
    age_s: float


@dataclasses.dataclass(slots=True)
class ProofEnds:
    """What an instance knows of the ends of proofs of one shard.

    Args:
        ended_at_by_epoch: Monotonic time in seconds after which no owner of a
            lower epoch has got a proof, by epoch.
        stopped_below: Owners of lower epochs have stopped: they neither act
            nor answer for the shard any more. That stays true, so it is told
            without an age.
    """

    ended_at_by_epoch: dict[int, float] = dataclasses.field(default_factory=dict)
    stopped_below: int = FIRST_EPOCH

    def note(self, epoch: int, ended_at: float) -> None:
        """Note that owners of lower epochs get no proof after a time."""
        known = self.ended_at_by_epoch.get(epoch, math.inf)
        self.ended_at_by_epoch[epoch] = min(known, ended_at)
        while len(self.ended_at_by_epoch) > MAX_EPOCHS:
            del self.ended_at_by_epoch[min(self.ended_at_by_epoch)]

    def note_stopped(self, epoch: int) -> None:
        """Note that owners of lower epochs have stopped."""
        self.stopped_below = max(self.stopped_below, epoch)

    def note_told(self, told: list[ProofEnd], now: float) -> None:
        """Note what another instance has told in a message received now.

        Clocks never run fast, and the message was under way for a time, so an
        end is never taken for older than it is.
        """
        for end in told:
            self.note(end.epoch, now - max(0.0, end.age_s))

    def tell(self, now: float) -> list[ProofEnd]:
        """Return what to tell another instance now."""
        return [
            ProofEnd(epoch, now - ended_at)
            for epoch, ended_at in self.ended_at_by_epoch.items()
        ]

    def ended_at(self, epoch: int) -> float:
        """Return after which time owners up to an epoch have got no proof.

        Returns:
            Monotonic time in seconds; infinity if it is not known.
        """
        return min(
            (at for above, at in self.ended_at_by_epoch.items() if above > epoch),
            default=math.inf,
        )
