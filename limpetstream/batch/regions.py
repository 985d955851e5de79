"""Quota shares of regions, with and without contact to the global stream.

Each region has a share of every team's quota. A share changes only by records
on the global stream: the lender writes a loan, the borrower writes its return.
Whoever gives something away lowers its own limit before the append; whoever
gets it raises its limit after reading the record. So the limits in force never
add up to more than the whole, however far the regions' reading differs.
"""

import dataclasses

from limpetstream import errors
from limpetstream.batch import quotas


@dataclasses.dataclass(slots=True)
class Transfer:
    """A share that passes from one region to another.

    Args:
        id: Unique id, so that a repeated record counts once.
        team: Team whose quota it is.
        source: Region that gives and that wrote the record.
        target: Region that gets.
        size: How much.
    """

    id: str
    team: str
    source: str
    target: str
    size: quotas.Amount


@dataclasses.dataclass(slots=True)
class RegionShares:
    """One region's reading of the shares.

    Args:
        region: This region.
        share_by_key: Shares by (team, region), as of the last record read.
        given: Transfers of this region that it has not read back yet.
        seen: Ids of transfers that were folded.
    """

    region: str
    share_by_key: dict[tuple[str, str], quotas.Amount]
    unconfirmed_by_id: dict[str, Transfer] = dataclasses.field(default_factory=dict)
    applied_ids: set[str] = dataclasses.field(default_factory=set)

    def limit(self, team: str) -> quotas.Amount:
        """Return what the team may use in this region now."""
        limit = self.share_by_key.get((team, self.region), quotas.ZERO)
        for transfer in self.unconfirmed_by_id.values():
            if transfer.team == team:
                limit = quotas.subtract(limit, transfer.size)
        return limit

    def lend(
        self, transfer: Transfer, used: quotas.Amount, *, connected: bool
    ) -> Transfer:
        """Lower the own limit and return the record to append.

        Args:
            transfer: What to give.
            used: What the team uses in this region.
            connected: Whether the global stream is in reach.

        Raises:
            NotRun: The regions are apart, or the share is in use.
        """
        if not connected:
            raise errors.NotRun(
                "region-apart", "nothing is lent while regions are apart"
            )
        if transfer.source != self.region or min(transfer.size) < 0:
            raise errors.NotRun("not-owner", "a region gives only its own share")
        left = quotas.subtract(self.limit(transfer.team), used)
        if not quotas.fits(transfer.size, left):
            raise errors.NotRun("quota", "the share is in use")
        self.unconfirmed_by_id[transfer.id] = transfer
        return transfer

    def apply(self, transfer: Transfer) -> str | None:
        """Fold a transfer in the order of the global stream."""
        if transfer.id in self.applied_ids:
            return "repeated"
        self.applied_ids.add(transfer.id)
        self.unconfirmed_by_id.pop(transfer.id, None)
        source, target = (
            (transfer.team, transfer.source),
            (transfer.team, transfer.target),
        )
        owned = self.share_by_key.get(source, quotas.ZERO)
        if min(transfer.size) < 0 or not quotas.fits(transfer.size, owned):
            return "the source does not own this much"
        self.share_by_key[source] = quotas.subtract(owned, transfer.size)
        before = self.share_by_key.get(target, quotas.ZERO)
        self.share_by_key[target] = quotas.add(before, transfer.size)
        return None
