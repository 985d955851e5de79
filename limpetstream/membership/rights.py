"""State of the rights: which member holds which resource.

The state is built by applying claim, renewal and release records in log order.
"""

import dataclasses
from collections.abc import Iterable
from typing import Any

import msgspec

from limpetstream.membership import members, messages
from limpetstream.records import registry as records_registry, view


@dataclasses.dataclass(slots=True)
class Holding:
    """The right to one resource as of a place in the log.

    Args:
        instance: Id of the member that holds the right.
        epoch: Offset of its claim; a later claim has a higher epoch.
        renewed_offset: Offset of its last claim or renewal.
        seen: Offset up to which (exclusive) the holder had read the log when
            it wrote that record.
        clean: Whether the resource was free when it was claimed, so that no
            work of an earlier holder can still be in progress.
    """

    instance: str
    epoch: int
    renewed_offset: int
    seen: int
    clean: bool = False


@dataclasses.dataclass(slots=True)
class _Row:
    """Snapshot row of one holding."""

    resource: str
    holding: Holding


@dataclasses.dataclass(slots=True)
class Rights:
    """Holdings by resource, as claims, renewals and releases set them.

    Args:
        members: State of the members; only members claim, renew and release.
        holding_by_resource: Current holding of each resource that is not
            free.
    """

    members: members.Members
    holding_by_resource: dict[str, Holding] = dataclasses.field(default_factory=dict)

    def __post_init__(self) -> None:
        self.members.holds_any = self.holds_any

    def register(self, target: view.View, types: records_registry.Registry) -> None:
        """Register the record kinds, appliers, fencing and snapshot part."""
        types.register("right.claim", 1, messages.Claim)
        types.register("right.renew", 1, messages.Renew)
        types.register("right.release", 1, messages.Release)
        target.register_applier("right.claim", self.apply_claim)
        target.register_applier("right.renew", self.apply_renew)
        target.register_applier("right.release", self.apply_release)
        target.register_state("rights", self.dump, self.load)
        target.holds_right = self.holds

    def holding_of(self, resource: str) -> Holding | None:
        """Return the current holding of a resource, or None if it is free."""
        return self.holding_by_resource.get(resource)

    def holds(self, resource: str, writer: str, epoch: int) -> bool:
        """Return whether ``writer`` holds the resource at ``epoch``."""
        holding = self.holding_by_resource.get(resource)
        return (
            holding is not None
            and holding.instance == writer
            and holding.epoch == epoch
        )

    def holds_any(self, instance: str) -> bool:
        """Return whether a member holds a right to any resource."""
        return any(
            each.instance == instance for each in self.holding_by_resource.values()
        )

    def holdings_of(self, instance: str) -> dict[str, Holding]:
        """Return the holdings of one member, by resource."""
        return {
            resource: holding
            for resource, holding in self.holding_by_resource.items()
            if holding.instance == instance
        }

    def apply_claim(self, entry: view.Entry) -> str | None:
        """Apply ``right.claim``; return why it is void, or None."""
        claimant = self.members.by_id.get(entry.writer)
        if claimant is None:
            return "not a member"
        if claimant.leaving:
            return "the claimant is leaving"
        body = entry.body
        holding = self.holding_by_resource.get(body.resource)
        if holding is not None:
            if body.supersedes != holding.renewed_offset:
                return "superseded by a later claim or renewal"
            # In a log outage the holder asks only the members whose joins it
            # has read for promises. A member that joined later has made no
            # promise, so it may not take the right over.
            if not body.gone and claimant.joined_offset >= holding.seen:
                return "the holder had not read the claimant's join"
        self.holding_by_resource[body.resource] = Holding(
            entry.writer, entry.offset, entry.offset, body.seen, holding is None
        )
        return None

    def apply_renew(self, entry: view.Entry) -> str | None:
        """Apply ``right.renew``; void if the writer holds none of the rights.

        Rights that the writer does not hold at the given epoch are skipped.
        """
        if entry.writer not in self.members.by_id:
            return "not a member"
        renewed = 0
        for resource, epoch in zip(
            entry.body.resources, entry.body.epochs, strict=False
        ):
            if self.holds(resource, entry.writer, epoch):
                holding = self.holding_by_resource[resource]
                holding.renewed_offset = entry.offset
                holding.seen = max(holding.seen, entry.body.seen)
                renewed += 1
        return None if renewed else "no right held"

    def apply_release(self, entry: view.Entry) -> str | None:
        """Apply ``right.release``; the view has already checked the epoch."""
        if entry.resource != entry.body.resource:
            return "the resource differs from that of the envelope"
        del self.holding_by_resource[entry.body.resource]
        return None

    def dump(self) -> Iterable[Any]:
        """Yield the rows of the state for a snapshot."""
        for resource, holding in self.holding_by_resource.items():
            yield _Row(resource, holding)

    def load(self, objects: Iterable[Any]) -> None:
        """Replace the state with the rows of a snapshot."""
        self.holding_by_resource.clear()
        for each in objects:
            row = msgspec.convert(each, _Row)
            self.holding_by_resource[row.resource] = row.holding
