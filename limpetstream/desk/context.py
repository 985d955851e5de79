"""What a holder sees of the rest of the process, and the last checks."""

import dataclasses
import random
from typing import Any

from limpetstream import clock as clocks, errors
from limpetstream.desk import messages, sender, slots
from limpetstream.settings import schema

VIEW_MAX_AGE_S = 1.0
LIST_MAX_AGE_S = 1.0


@dataclasses.dataclass(slots=True)
class Context:
    """What the rest of the process knows; see section 3.4 of the design.

    Args:
        view: Has ``age(now)``.
        directory: Has ``by_id`` of instances, ``age(now)`` and ``fresh_at``.
        tree: Settings tree.
        membership_agent: Has ``usable_right(resource, now)``.
        rights: Has ``holding_of(resource)``.
        members: Has ``by_id``.
        clock: Time.
        rng: Random numbers.
        groups: Groups that the executors of a data centre form.
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
        """Return the settings of a service; defaults when it was removed."""
        try:
            return self.tree.service(name)
        except KeyError:
            return schema.Service()

    def is_in_service(self, data_centre: str) -> bool:
        """Tell whether a data centre is in service."""
        try:
            return self.tree.data_centre(data_centre).state == "in"
        except KeyError:
            return True

    def listed_executors(self) -> list[slots.ListedExecutor]:
        """Return the executors that may get new work."""
        return [
            slots.ListedExecutor(
                each.id,
                each.address,
                each.worker,
                each.data_centre,
                each.service,
                slots.group_of(each.id, each.data_centre, self.groups_per_data_centre),
            )
            for each in self.directory.by_id.values()
            if each.role == "backend"
            and each.state == "live"
            and self.is_in_service(each.data_centre)
        ]

    def check_send_allowed(
        self, executor: slots.Executor, request: messages.Request, epoch: int | None
    ) -> None:
        """Check directly before a send that it is still allowed.

        Args:
            executor: Executor that is to get the request.
            request: Request.
            epoch: Epoch at which the slots of its group are counted.

        Raises:
            RightEnded: The group is not held until after the send bound.
            ViewStale: The view or the instance list is too old.
            NotRun: The executor may not get new work.
        """
        now = self.clock.monotonic()
        self._check_right(executor.group, epoch, now)
        # Idempotent sends go on while the right is kept in a log outage.
        if not request.idempotent and self.view.age(now) >= VIEW_MAX_AGE_S:
            raise errors.ViewStale("the view of the log is too old")
        if self.directory.age(now) >= LIST_MAX_AGE_S:
            raise errors.ViewStale("the instance list is too old")
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
            raise errors.RightEnded(f"{group} is not held")
        right.ensure_valid_at(now)
        if right.expires_at < now + sender.WRITE_START_MAX_S:
            raise errors.RightEnded(f"{group} ends too soon")
