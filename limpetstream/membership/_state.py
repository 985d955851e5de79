"""State that the components of the membership agent share in one process."""

import dataclasses
import random
from collections.abc import Awaitable, Callable
from typing import Any

from limpetstream import clock, errors
from limpetstream.membership import members, rights
from limpetstream.records import committer, view

# A right lasts this long from before the append of its claim or last renewal.
# The other members count from when they read that record, which is later.
RIGHT_DURATION_S = 2.0
RENEWAL_INTERVAL_S = 0.6
# A claimant waits longer than the right lasts for its holder, also when the
# rates of their clocks differ by 2%.
CLAIM_WAIT_S = RIGHT_DURATION_S * 1.02 + 0.1
# A promise binds its giver for longer than the asker relies on it, which is
# ``RIGHT_DURATION_S`` from before the request.
PROMISE_DURATION_S = CLAIM_WAIT_S
MAX_VIEW_AGE_S = 1.0
# Two polls of 0.2 s with their delays stay below this limit, and a holder
# notices an outage early enough to collect promises before its rights end.
LOG_UNREACHABLE_AFTER_S = 0.7


@dataclasses.dataclass(slots=True)
class Right:
    """This instance's right to one resource.

    Args:
        resource: Name of the resource.
        epoch: Epoch for records that are written under the right: the offset
            of its claim.
        expires_at: Monotonic time in seconds at which it ends unless it is
            extended.
        kept_by_promises: Whether it was last extended by promises of the
            other members, in a log outage. Then only the work that section
            6.3 of the design allows may continue.
        ended: Whether it was lost or released.
    """

    resource: str
    epoch: int
    expires_at: float
    kept_by_promises: bool = False
    ended: bool = False

    def ensure_valid_at(self, now: float) -> None:
        """Check that the right is valid, directly before an effect.

        Args:
            now: Monotonic time in seconds by which the effect has ended.

        Raises:
            RightEnded: The right was lost or released, or expires by then.
        """
        if self.ended or now >= self.expires_at:
            raise errors.RightEnded(f"the right to {self.resource} has ended")


@dataclasses.dataclass(slots=True)
class State:
    """State that the tasks of the membership agent share.

    Args:
        committer: Appends to the control stream; its writer is the member id.
        view: View of the control stream.
        members: Members, as of the view.
        rights: Holdings, as of the view.
        peers: Client for messages to members, see ``peers.client.PeerClient``.
        clock: Clock of this process.
        random: Source of jitter.
        resources: Returns the data centre of every resource, by the name of
            the resource.
        hand_over: Finishes the work under a right before its release.
        is_gone: Whether the platform's instance list says that a member's
            instance has ended. It never shortens the claim wait, since the
            list may be wrong; for what probes find, see
            ``Prober.gone_at_by_member``.
        right_by_resource: Rights of this instance.
        promised_until_by_resource: Monotonic time in seconds until which this
            instance has promised not to claim a resource.
        claiming: Resources for which a claim of this instance is in progress.
        releasing: Resources for which a release of this instance is in
            progress.
        renewal_read_at_by_resource: Monotonic time in seconds at which the
            last renewal of a right, or its claim, was read from the log.
        free_since_by_resource: Monotonic time in seconds at which a resource
            was first seen to be free.
        view_last_stale_at: Monotonic time in seconds at which the view was
            last too old for decisions, or was replaced by a snapshot.
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
    renewal_read_at_by_resource: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    free_since_by_resource: dict[str, float] = dataclasses.field(default_factory=dict)
    view_last_stale_at: float = float("-inf")

    @property
    def own_id(self) -> str:
        """Id of this member."""
        return self.committer.writer

    def is_view_fresh(self, now: float) -> bool:
        """Return whether the view is recent enough for decisions."""
        return self.view.age(now) < MAX_VIEW_AGE_S

    def is_log_unreachable(self, now: float) -> bool:
        """Return whether reads or appends have failed for too long.

        The limit is ``LOG_UNREACHABLE_AFTER_S``.
        """
        return (
            self.view.age(now) > LOG_UNREACHABLE_AFTER_S
            or self.committer.unconfirmed_s(now) > LOG_UNREACHABLE_AFTER_S
        )

    def has_promised(self, resource: str, now: float) -> bool:
        """Return whether this instance must not claim the resource now.

        It has then promised that to the holder, see ``outage_extension``.
        """
        return self.promised_until_by_resource.get(resource, float("-inf")) > now

    def usable_right(self, resource: str, now: float) -> Right | None:
        """Return the right to a resource if this instance may use it now.

        An instance that has promised a resource to another member does not
        use a right to it either.
        """
        right = self.right_by_resource.get(resource)
        if right is None or right.ended or now >= right.expires_at:
            return None
        return None if self.has_promised(resource, now) else right

    def holds_in_view(self, resource: str, epoch: int) -> bool:
        """Return whether this instance is the holder in the view."""
        return self.rights.holds(resource, self.own_id, epoch)
