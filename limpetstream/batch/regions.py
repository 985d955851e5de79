"""Shares of the quotas per region, also during a network partition.

Each region has a share of every team's quota. A share changes only by records
on the global stream: the lender writes a loan, and the borrower writes its
return. The source lowers its limit before it appends the record, and the
target raises its limit after it has read the record. The limits in force
therefore never exceed the whole quota, whatever offsets the regions have read.
"""

import dataclasses

from limpetstream import errors
from limpetstream.batch import quotas


@dataclasses.dataclass(slots=True)
class Transfer:
    """A share that moves from one region to another.

    Args:
        id: Unique id, so that a repeated record is applied once.
        team: Team whose quota it is.
        source: Region that gives the share and writes the record.
        target: Region that receives the share.
        size: Amount that moves.
    """

    id: str
    team: str
    source: str
    target: str
    size: quotas.Amount


@dataclasses.dataclass(slots=True)
class RegionShares:
    """Shares of all regions as one region has read them.

    Args:
        region: This region.
        share_by_key: Shares by (team, region), as of the last record read.
        unconfirmed_by_id: Transfers of this region that it has not read back.
        applied_ids: Ids of the transfers that were applied.
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
        """Lower this region's limit and return the record to append.

        Args:
            transfer: The transfer.
            used: What the team uses in this region.
            connected: Whether the global stream is reachable.

        Raises:
            NotRun: The regions are partitioned, the share belongs to another
                region, or it is in use.
        """
        if not connected:
            raise errors.NotRun(
                "region-apart", "quota is not lent while regions are partitioned"
            )
        if transfer.source != self.region or min(transfer.size) < 0:
            raise errors.NotRun("not-owner", "a region can lend only its own share")
        unused = quotas.subtract(self.limit(transfer.team), used)
        if not quotas.fits(transfer.size, unused):
            raise errors.NotRun("quota", "the team uses the share in this region")
        self.unconfirmed_by_id[transfer.id] = transfer
        return transfer

    def apply(self, transfer: Transfer) -> str | None:
        """Apply a transfer from the global stream; return why it is void."""
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
