"""What the parts of the membership agent share in one process."""

import dataclasses
import random
from collections.abc import Awaitable, Callable
from typing import Any

from limpetstream import clock, errors
from limpetstream.membership import members, rights
from limpetstream.records import committer, view

RIGHT_DURATION_S = 2.0
RENEWAL_INTERVAL_S = 0.6
# Longer than the holder's bound at a 2% clock-rate difference.
CLAIM_WAIT_S = RIGHT_DURATION_S * 1.02 + 0.1
# The member that promises counts longer than the one that relies on it.
PROMISE_DURATION_S = CLAIM_WAIT_S
VIEW_MAX_AGE_S = 1.0
# Two polls of 0.2 s with their delays stay below it; a holder notices early
# enough to collect promises before its rights end.
LOG_UNREACHABLE_AFTER_S = 0.7


@dataclasses.dataclass(slots=True)
class Right:
    """This instance's right to one resource.

    Args:
        resource: Name of the resource.
        epoch: Epoch, for records written under the right.
        expires_at: Monotonic time at which it ends unless it is extended.
        kept_by_promises: Whether promises of the others keep it in a log
            outage; then only what section 6.3 of the design allows may go on.
        ended: Whether it is lost or released.
    """

    resource: str
    epoch: int
    expires_at: float
    kept_by_promises: bool = False
    ended: bool = False

    def ensure_valid_at(self, now: float) -> None:
        """Check the right directly before an effect.

        Args:
            now: Monotonic time at which the effect is over at the latest.

        Raises:
            RightEnded: The right does not last until then.
        """
        if self.ended or now >= self.expires_at:
            raise errors.RightEnded(f"the right to {self.resource} has ended")


@dataclasses.dataclass(slots=True)
class State:
    """State of the membership tasks in one process.

    Args:
        committer: Appends to the control stream; its writer is the member id.
        view: View of the control stream.
        members: Folded members.
        rights: Folded rights.
        peers: Client for messages to members, see ``peers.client.PeerClient``.
        clock: Time of this process.
        random: Source of jitter.
        resources: Gives the data centre of every resource by its name.
        hand_over: Finishes the work under a right before its release.
        is_gone: Whether the platform's list says that a member's instance is
            gone; used after the claim wait only, since the list may err.
    """

    committer: committer.Committer
    view: view.View
    members: members.Members
    rights: rights.Rights
    peers: Any
    clock: clock.Clock
    random: random.Random
    resources: Callable[[], dict[str, str]]
    hand_over: Callable[[str], Awaitable[None]]
    is_gone: Callable[[members.Member], bool]
    right_by_resource: dict[str, Right] = dataclasses.field(default_factory=dict)
    promised_until_by_resource: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    claiming: set[str] = dataclasses.field(default_factory=set)
    releasing: set[str] = dataclasses.field(default_factory=set)
    last_read_at_by_resource: dict[str, float] = dataclasses.field(default_factory=dict)
    free_since_by_resource: dict[str, float] = dataclasses.field(default_factory=dict)
    last_stale_at: float = float("-inf")

    @property
    def own_id(self) -> str:
        """Id of this member."""
        return self.committer.writer

    def is_view_fresh(self, now: float) -> bool:
        """Return whether the view is fresh enough for decisions."""
        return self.view.age(now) < VIEW_MAX_AGE_S

    def is_log_unreachable(self, now: float) -> bool:
        """Return whether the log is out of this instance's reach."""
        return (
            self.view.age(now) > LOG_UNREACHABLE_AFTER_S
            or self.committer.unconfirmed_s(now) > LOG_UNREACHABLE_AFTER_S
        )

    def has_promised(self, resource: str, now: float) -> bool:
        """Return whether a promise not to claim the resource is in force."""
        return self.promised_until_by_resource.get(resource, float("-inf")) > now

    def usable_right(self, resource: str, now: float) -> Right | None:
        """Return the right to a resource if this instance may use it now."""
        right = self.right_by_resource.get(resource)
        if right is None or right.ended or now >= right.expires_at:
            return None
        return None if self.has_promised(resource, now) else right

    def holds_in_view(self, resource: str, epoch: int) -> bool:
        """Return whether the view has this instance as the holder."""
        return self.rights.holds(resource, self.own_id, epoch)
