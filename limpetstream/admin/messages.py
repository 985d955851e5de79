"""Request and reply bodies of the operators' API."""

import dataclasses
from typing import Any

from limpetstream.settings import changes, schema
from limpetstream.telemetry import histograms


@dataclasses.dataclass(slots=True)
class MemberAddress:
    """Base URL at which an entry instance answers operators."""

    instance: str
    url: str


@dataclasses.dataclass(slots=True)
class LatencyReport:
    """Latency slices that one entry instance can read.

    Args:
        instance: Instance that answered.
        members: All entry instances.
        service_by_name: Effective settings of the desk services.
        slices: Slices of this instance, and those of all instances on the
            log.
    """

    instance: str
    members: list[MemberAddress]
    service_by_name: dict[str, schema.Service]
    slices: list[histograms.Slice]


@dataclasses.dataclass(slots=True)
class EditRequest:
    """An edit of the settings tree.

    Args:
        changes: Changes that take effect together or not at all.
        reason: Reason for the edit, kept in the history.
        base_version: Version of the settings that the edit is based on; -1
            for the current version.
        dry_run: Whether to return the effective difference only.
    """

    changes: list[changes.Change]
    reason: str
    base_version: int = -1
    dry_run: bool = False


@dataclasses.dataclass(slots=True)
class EffectiveChange:
    """Difference of one effective value."""

    path: str
    key: str
    before: Any
    after: Any


@dataclasses.dataclass(slots=True)
class EditReply:
    """Result of an edit.

    Args:
        version: Version of the settings that the edit created; the current
            version for a dry run.
        difference: Effective values that differ.
    """

    version: int
    difference: list[EffectiveChange]


@dataclasses.dataclass(slots=True)
class DataCentreRequest:
    """Takes a data centre out of service or brings it back.

    Args:
        state: ``in`` or ``out``.
        reason: Reason for the edit, kept in the history.
        base_version: Version of the settings that the edit is based on; -1
            for the current version.
    """

    state: str
    reason: str
    base_version: int = -1


@dataclasses.dataclass(slots=True)
class UndoRequest:
    """Undoes an earlier edit by appending a new edit."""

    version: int
    reason: str
