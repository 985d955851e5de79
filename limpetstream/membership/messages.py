"""Bodies of membership records and of messages between members."""

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

    Written by the member itself it announces a planned stop; written by
    another member it removes a member whose process is gone.
    """

    instance: str


@dataclasses.dataclass(slots=True)
class Claim:
    """Body of ``right.claim``.

    Args:
        resource: Resource that is claimed.
        supersedes: Offset of the present holder's last claim or renewal; None
            for a free resource.
        seen: Offset up to which (exclusive) the claimant has read the log.
        gone: Whether the holder's process is known to be gone.
    """

    resource: str
    supersedes: int | None
    seen: int
    gone: bool = False


@dataclasses.dataclass(slots=True)
class Renew:
    """Body of ``right.renew``.

    Args:
        resources: Resources whose rights are renewed.
        epochs: Epoch of each of these rights, in the same order.
        seen: Offset up to which (exclusive) the holder has read the log.
    """

    resources: list[str]
    epochs: list[int]
    seen: int


@dataclasses.dataclass(slots=True)
class Release:
    """Body of ``right.release``; the envelope names the epoch."""

    resource: str


@dataclasses.dataclass(slots=True)
class AttestationRequest:
    """Question to another member, as a probe or during a log outage.

    Args:
        asker: Member that asks.
        to: Member that is asked; another process at its address refuses.
        promise: Whether promises not to claim are asked for.
        resources: Resources that the question is about.
        epochs: Epochs at which the asker holds them, if it asks for promises.
    """

    asker: str
    to: str
    promise: bool = False
    resources: list[str] = dataclasses.field(default_factory=list)
    epochs: list[int] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class AttestationReply:
    """Answer to ``Attest``.

    Args:
        instance: Member that answers.
        log_reachable: Whether the log is within reach of it.
        held: Those of the resources whose rights it may use now.
        promised: Those of the resources that it promises not to claim.
    """

    instance: str
    log_reachable: bool
    held: list[str]
    promised: list[str]
