"""Divides the quota of each team among regions that may be partitioned.

Each region has a share of every team's quota and may use it during a network
partition too. Shares change only by transfers, which are records on the global
stream, the log that all regions read in the same order. The lender appends one
to lend, and the borrower appends one to return the loan. The source of a
transfer lowers its limit before it appends the record, and the target raises
its limit after it has read the record. The sum of the limits in force
therefore never exceeds the whole quota, however far each region has read the
stream.
"""

import dataclasses

from limpetstream import amounts, errors


@dataclasses.dataclass(slots=True)
class Transfer:
    """A loan or its return: an amount that moves between two regions' shares.

    Args:
        id: Unique id, so that a repeated record is applied once.
        team: Team whose quota it is.
        source: Region whose share shrinks, and which appends the record.
        target: Region whose share grows.
        size: Amount that moves.
    """

    id: str
    team: str
    source: str
    target: str
    size: amounts.Amount


@dataclasses.dataclass(slots=True)
class RegionShares:
    """Shares of all regions as one region has read them.

    Shares are limited amounts; ``quotas.UNLIMITED`` is not supported.

    Args:
        region: This region.
        share_by_key: Shares by (team, region), as of the last record read.
            All regions must start with the same shares.
        unconfirmed_by_id: Transfers from this region that it has not read
            back from the stream yet.
        applied_ids: Ids of all transfers that were read, void ones included.
    """

    region: str
    share_by_key: dict[tuple[str, str], amounts.Amount]
    unconfirmed_by_id: dict[str, Transfer] = dataclasses.field(default_factory=dict)
    applied_ids: set[str] = dataclasses.field(default_factory=set)

    def limit(self, team: str) -> amounts.Amount:
        """Return what the team may use in this region now.

        That is the region's share minus the transfers from this region that it
        has not read back from the stream yet.
        """
        limit = self.share_by_key.get((team, self.region), amounts.ZERO)
        for transfer in self.unconfirmed_by_id.values():
            if transfer.team == team:
                limit = amounts.subtract(limit, transfer.size)
        return limit

    def lend(
        self, transfer: Transfer, used: amounts.Amount, *, connected: bool
    ) -> Transfer:
        """Lower this region's limit and return the transfer to append.

        The caller appends the transfer to the global stream. The limit stays
        lowered until ``apply`` gets the transfer back from the stream, also if
        the append fails.

        Args:
            transfer: The transfer, a loan or a return.
            used: What the team uses in this region.
            connected: Whether the global stream is reachable.

        Raises:
            NotRun: The regions are partitioned, the source is another region,
                or the amount is negative or in use.
        """
        if not connected:
            raise errors.NotRun(
                "region-apart", "quota is not lent while regions are partitioned"
            )
        if transfer.source != self.region or min(transfer.size) < 0:
            raise errors.NotRun(
                "not-owner", "the source is another region or the amount is negative"
            )
        unused = amounts.subtract(self.limit(transfer.team), used)
        if not amounts.fits(transfer.size, unused):
            raise errors.NotRun("quota", "the team uses the share in this region")
        self.unconfirmed_by_id[transfer.id] = transfer
        return transfer

    def apply(self, transfer: Transfer) -> str | None:
        """Apply a transfer that was read from the global stream.

        Returns:
            Why the transfer changes no share, because it is void or was read
            before; None if it was applied.
        """
        if transfer.id in self.applied_ids:
            return "repeated"
        self.applied_ids.add(transfer.id)
        self.unconfirmed_by_id.pop(transfer.id, None)
        source, target = (
            (transfer.team, transfer.source),
            (transfer.team, transfer.target),
        )
        owned = self.share_by_key.get(source, amounts.ZERO)
        if min(transfer.size) < 0 or not amounts.fits(transfer.size, owned):
            return "the source does not own this much"
        self.share_by_key[source] = amounts.subtract(owned, transfer.size)
        before = self.share_by_key.get(target, amounts.ZERO)
        self.share_by_key[target] = amounts.add(before, transfer.size)
        return None
