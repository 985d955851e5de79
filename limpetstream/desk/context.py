"""Access to the rest of the process, and the checks directly before a send."""

import dataclasses
import random
from typing import Any

from limpetstream import clock as clocks, errors
from limpetstream.desk import messages, sender, slots
from limpetstream.settings import schema

MAX_VIEW_AGE_S = 1.0
MAX_LIST_AGE_S = 1.0


@dataclasses.dataclass(slots=True)
class Context:
    """Parts of the process that desk requests use; section 3.4 of the design.

    Args:
        view: View of the log, with ``age(now)``.
        directory: Instance list, with ``by_id``, ``age(now)`` and
            ``fresh_at``.
        tree: Settings tree.
        membership_agent: Rights of this instance, with
            ``usable_right(resource, now)``.
        rights: Rights of all instances, with ``holding_of(resource)``.
        members: Entry instances, with ``by_id``.
        clock: Clock of this process.
        rng: Source of random numbers.
        groups_per_data_centre: Number of groups into which the executors of a
            data centre are divided.
    """

    view: Any
    directory: Any
    tree: Any
    membership_agent: Any
    rights: Any
    members: Any
    clock: clocks.Clock
    rng: random.Random
    groups_per_data_centre: int = 2

    def service(self, name: str) -> schema.Service:
        """Return the settings of a service, or defaults if it was removed."""
        try:
            return self.tree.service(name)
        except KeyError:
            return schema.Service()

    def is_in_service(self, data_centre: str) -> bool:
        """Tell whether a data centre is in service; unknown ones are."""
        try:
            return self.tree.data_centre(data_centre).state == "in"
        except KeyError:
            return True

    def listed_executors(self) -> list[slots.ListedExecutor]:
        """Return the executors that may get new work."""
        return [
            slots.ListedExecutor(
                instance.id,
                instance.address,
                instance.worker,
                instance.data_centre,
                instance.service,
                slots.group_of(
                    instance.id, instance.data_centre, self.groups_per_data_centre
                ),
            )
            for instance in self.directory.by_id.values()
            if instance.role == "backend"
            and instance.state == "live"
            and self.is_in_service(instance.data_centre)
        ]

    def check_send_allowed(
        self, executor: slots.Executor, request: messages.Request, epoch: int | None
    ) -> None:
        """Check directly before a send that it is still allowed.

        Args:
            executor: Executor that is to get the request.
            request: Request to send.
            epoch: Epoch of the right under which the slots of the executor's
                group are counted.

        Raises:
            RightEnded: The right on the group is not held, or ends within
                ``sender.MAX_WRITE_DELAY_S``.
            ViewStale: The view or the instance list is too old.
            NotRun: The executor may not get new work.
        """
        now = self.clock.monotonic()
        self._check_right(executor.group, epoch, now)
        # During a log outage, idempotent requests are still sent as long as
        # the right is held.
        if not request.idempotent and self.view.age(now) >= MAX_VIEW_AGE_S:
            raise errors.ViewStale(
                "the view of the log is too old for a non-idempotent send"
            )
        if self.directory.age(now) >= MAX_LIST_AGE_S:
            raise errors.ViewStale("the instance list is too old for a send")
        instance = self.directory.by_id.get(executor.id)
        if instance is None or instance.state != "live":
            raise errors.NotRun("executor-leaving", executor.id, retry_after_s=1.0)
        if not self.is_in_service(executor.data_centre):
            raise errors.NotRun(
                "data-centre-out", executor.data_centre, retry_after_s=1.0
            )

    def _check_right(self, group: str, epoch: int | None, now: float) -> None:
        right = self.membership_agent.usable_right(group, now)
        if right is None or right.epoch != epoch:
            raise errors.RightEnded(
                f"right on {group} is not held at the expected epoch"
            )
        right.ensure_valid_at(now)
        if right.expires_at < now + sender.MAX_WRITE_DELAY_S:
            raise errors.RightEnded(
                f"right on {group} ends before the request can be written"
            )
