"""Who holds what: the folded state of rights."""

import dataclasses
from collections.abc import Iterable
from typing import Any

import msgspec

from limpetstream.membership import members, messages
from limpetstream.records import registry as records_registry, view


@dataclasses.dataclass(slots=True)
class Holding:
    """The present holder of a resource, by log order.

    Args:
        instance: Member that holds the right.
        epoch: Offset of its claim.
        renewed_offset: Offset of its last claim or renewal.
        seen: Offset up to which it had read the log when it wrote that.
        clean: Whether the resource was free when it was claimed, so that no
            work of an earlier holder can be under way.
    """

    instance: str
    epoch: int
    renewed_offset: int
    seen: int
    clean: bool = False


@dataclasses.dataclass(slots=True)
class _Row:
    """One holding as it stands in a snapshot."""

    resource: str
    holding: Holding


@dataclasses.dataclass(slots=True)
class Rights:
    """Folded state of claims, renewals and releases.

    Args:
        members: Members; only they claim, renew and release.
    """

    members: members.Members
    holding_by_resource: dict[str, Holding] = dataclasses.field(default_factory=dict)

    def __post_init__(self) -> None:
        self.members.holds_any = self.holds_any

    def register(self, target: view.View, types: records_registry.Registry) -> None:
        """Register the record kinds, appliers, fencing and snapshot state."""
        types.register("right.claim", 1, messages.Claim)
        types.register("right.renew", 1, messages.Renew)
        types.register("right.release", 1, messages.Release)
        target.register_applier("right.claim", self.apply_claim)
        target.register_applier("right.renew", self.apply_renew)
        target.register_applier("right.release", self.apply_release)
        target.register_state("rights", self.dump, self.load)
        target.holds_right = self.holds

    def holding_of(self, resource: str) -> Holding | None:
        """Return the present holding, or None for a free resource."""
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
        """Return whether a member holds any right."""
        return any(
            each.instance == instance for each in self.holding_by_resource.values()
        )

    def holdings_of(self, instance: str) -> dict[str, Holding]:
        """Return the holdings of one member by resource."""
        return {
            resource: holding
            for resource, holding in self.holding_by_resource.items()
            if holding.instance == instance
        }

    def apply_claim(self, entry: view.Entry) -> str | None:
        """Fold ``right.claim``."""
        claimant = self.members.by_id.get(entry.writer)
        if claimant is None:
            return "not a member"
        if claimant.leaving:
            return "the claimant is leaving"
        body = entry.body
        holding = self.holding_by_resource.get(body.resource)
        if holding is not None:
            if body.supersedes != holding.renewed_offset:
                return "claimed or renewed by another"
            # In a log outage the holder asks only the members it has read of
            # for promises, so no other may take the right from it.
            if not body.gone and claimant.joined_offset >= holding.seen:
                return "the holder has not read of the claimant"
        self.holding_by_resource[body.resource] = Holding(
            entry.writer, entry.offset, entry.offset, body.seen, holding is None
        )
        return None

    def apply_renew(self, entry: view.Entry) -> str | None:
        """Fold ``right.renew``; void if none of the rights is held."""
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
        """Fold ``right.release``; the view has checked the epoch."""
        if entry.resource != entry.body.resource:
            return "the resource is not that of the envelope"
        del self.holding_by_resource[entry.body.resource]
        return None

    def dump(self) -> Iterable[Any]:
        """Return the state as plain objects."""
        for resource, holding in self.holding_by_resource.items():
            yield _Row(resource, holding)

    def load(self, objects: Iterable[Any]) -> None:
        """Replace the state by dumped objects."""
        self.holding_by_resource.clear()
        for each in objects:
            row = msgspec.convert(each, _Row)
            self.holding_by_resource[row.resource] = row.holding
