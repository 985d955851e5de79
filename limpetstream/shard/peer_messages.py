"""Defines the requests between instances and their replies."""

import dataclasses
from typing import Annotated, Protocol

import msgspec

from limpetstream.shard import proof_ends as proof_ends_module
from limpetstream.workflow import checks, messages

MAX_CARRIED_IN_REQUEST = 100  # About 5 KB.


@dataclasses.dataclass(slots=True)
class CarriedCancel:
    """Cancel whose caller was told that its outcome is unknown.

    Args:
        job_id: The job.
        left_s: Seconds for which it is still asked for. Clocks of two
            instances cannot be compared.
    """

    job_id: Annotated[str, msgspec.Meta(pattern=f"^{checks.JOB_ID.pattern}")]
    left_s: float


@dataclasses.dataclass(slots=True)
class PeerRequest:
    """Request to another instance.

    Args:
        kind: ``state``, ``cancel``, ``waiting``, ``store``, ``epoch``,
            ``serves``, ``carry`` or ``room``.
        shard: Number of the shard that it concerns; 0 for ``carry``.
        job_id: Job for ``state`` and ``cancel``.
        queue: Queue for ``waiting``.
        submission: Job for ``store``.
        epoch: For ``epoch``, the epoch with which the sender owns the shard.
        proof_ends: For ``epoch``, since when owners of low epochs get no
            proof, as the sender knows.
        stopped_below: For ``epoch``, owners of lower epochs have stopped, as
            the sender knows; 0 in versions that do not tell.
        carried: For ``carry``, cancels that the receiver is to ask for.
        organisation: For ``state``, ``cancel``, ``waiting`` and ``store``,
            organisation of the key of the caller's request; empty for none
            and in versions that do not tell.
        configuration_version: Version of the configuration that the key was
            found in; 0 for none and in versions that do not tell.
    """

    kind: str
    shard: int
    job_id: str = ""
    queue: str = ""
    submission: messages.Submission | None = None
    epoch: int = 0
    proof_ends: list[proof_ends_module.ProofEnd] = dataclasses.field(
        default_factory=list
    )
    stopped_below: int = 0
    carried: Annotated[
        list[CarriedCancel], msgspec.Meta(max_length=MAX_CARRIED_IN_REQUEST)
    ] = dataclasses.field(default_factory=list)
    organisation: str = ""
    configuration_version: int = 0


@dataclasses.dataclass(slots=True)
class PeerReply:
    """Answer of another instance.

    Args:
        known: Whether the job is known; for ``store``, whether it is stored,
            for ``serves``, whether the member serves the shard, and for
            ``carry``, whether it has taken the cancels. Versions without
            ``carry`` answer false.
        state: State of the job.
        count: Number of waiting jobs; for ``room``, how much of the memory for
            jobs is in use, in percent. Versions without it answer 0.
        refused: Reason why the request failed; empty if it succeeded.
        retry_after_s: For a request that the owner refuses and would go on
            refusing, seconds after which the caller may come back; 0 if it
            may be tried again at once. For ``room``, the same for jobs.
        unknown: Whether a failed ``store`` or ``cancel`` may take effect.
        owner: Name of the member that owns the shard, if another member is
            believed to.
        epoch: For ``epoch``, the highest epoch of the shard that the member
            knows, with that of the request.
        member: For ``epoch``, ``serves`` and ``carry``, name of the member
            that answers.
        released: For ``epoch``, whether the member neither owns nor claims the
            shard, so that nothing is sent any more under the epochs that it
            has owned it with; false in versions that do not tell.
        proof_ends: For ``epoch``, as in the request, as the member knows.
        stopped_below: For ``epoch``, as in the request, as the member knows.
    """

    known: bool = False
    state: str = ""
    count: int = 0
    refused: str = ""
    retry_after_s: float = 0.0
    unknown: bool = False
    owner: str = ""
    epoch: int = 0
    member: str = ""
    released: bool = False
    proof_ends: list[proof_ends_module.ProofEnd] = dataclasses.field(
        default_factory=list
    )
    stopped_below: int = 0


class Peers(Protocol):
    """Requests between instances."""

    async def call(
        self, member: str, request: PeerRequest, *, timeout_s: float
    ) -> PeerReply:
        """Send a request to a member.

        Raises:
            PeerUnreachable: No usable answer came.
        """
        ...
