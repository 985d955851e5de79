"""Bodies of membership records, and of attestation messages.

A member sends an attestation request to probe another member, or to ask it
for promises during a log outage.
"""

import dataclasses

ATTESTATION_PATH = "/peer/v1/attest"


@dataclasses.dataclass(slots=True)
class Join:
    """Body of ``member.join``; the writer is the new member."""

    data_centre: str
    peer_address: str
    caller_address: str


@dataclasses.dataclass(slots=True)
class Leave:
    """Body of ``member.leave``.

    A member that writes it about itself announces a planned stop. Another
    member writes it to remove a member whose process has ended.
    """

    instance: str


@dataclasses.dataclass(slots=True)
class Claim:
    """Body of ``right.claim``.

    Args:
        resource: Resource to claim.
        supersedes: Offset of the last claim or renewal of the current holder;
            None for a free resource.
        seen: Offset up to which (exclusive) the claimant has read the log.
        gone: Whether the process of the holder is known to have ended.
    """

    resource: str
    supersedes: int | None
    seen: int
    gone: bool = False


@dataclasses.dataclass(slots=True)
class Renew:
    """Body of ``right.renew``.

    Args:
        resources: Resources whose rights to renew.
        epochs: Epoch of each of these rights, in the same order.
        seen: Offset up to which (exclusive) the holder has read the log.
    """

    resources: list[str]
    epochs: list[int]
    seen: int


@dataclasses.dataclass(slots=True)
class Release:
    """Body of ``right.release``; the envelope has the epoch of the right."""

    resource: str


@dataclasses.dataclass(slots=True)
class AttestationRequest:
    """Attestation request: a probe, or a request for promises.

    Args:
        asker: Id of the member that sends the request.
        to: Id of the member that should answer. A process with another id
            that now listens at the address attests nothing.
        promise: Whether the asker requests promises not to claim.
        resources: Resources that the request is about.
        epochs: Epoch of the asker's right to each resource, in the same
            order; empty unless ``promise`` is set.
    """

    asker: str
    to: str
    promise: bool = False
    resources: list[str] = dataclasses.field(default_factory=list)
    epochs: list[int] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class AttestationReply:
    """Answer to ``AttestationRequest``.

    Args:
        instance: Id of the member that answers.
        log_reachable: Whether it can reach the log.
        held: Requested resources to which it has a usable right now.
        promised: Requested resources that it promises not to claim.
    """

    instance: str
    log_reachable: bool
    held: list[str]
    promised: list[str]
