"""Simulates the platform's list of instances, which lags behind."""

import collections
import dataclasses
import uuid

from limpetstream import clock, errors
from limpetstream.platform import messages
from standins import faults


@dataclasses.dataclass(slots=True)
class Change:
    """A change of the list that readers do not see yet; None is a removal."""

    at: float
    instance_id: str
    instance: messages.Instance | None


class InstanceRegistry:
    """Registered instances, and the delayed list that readers see.

    Args:
        clock: Source of time.
        switches: Fault switches.
    """

    def __init__(self, *, clock: clock.Clock, switches: faults.Faults) -> None:
        self._clock = clock
        self._switches = switches
        self._pending: collections.deque[Change] = collections.deque()
        self._as_of_ms = 0
        # Versions must differ after a restart of the platform.
        self._run_id = uuid.uuid4().hex[:8]
        self._change_count = 0
        self.actual_by_id: dict[str, messages.Instance] = {}
        self.listed_by_id: dict[str, messages.Instance] = {}

    def put(self, instance: messages.Instance) -> None:
        """Add or update an instance; readers see it after the list's lag."""
        self.actual_by_id[instance.id] = instance
        self._pending.append(Change(self._clock.monotonic(), instance.id, instance))

    def remove(self, instance_id: str) -> None:
        """Remove an instance; readers see it after the list's lag."""
        self.actual_by_id.pop(instance_id, None)
        self._pending.append(Change(self._clock.monotonic(), instance_id, None))

    def read(self, known: str = "") -> messages.InstanceList:
        """Return the list as it was ``list_lag_ms`` ago.

        Args:
            known: Version that the reader has; if it is current, the answer
                contains no instances.

        Raises:
            PlatformUnavailable: The list is switched off.
        """
        if self._switches.list_down:
            raise errors.PlatformUnavailable(
                "instance list outage set by a fault switch"
            )
        lag_s = self._switches.list_lag_ms / 1000
        visible_until = self._clock.monotonic() - lag_s
        while self._pending and self._pending[0].at <= visible_until:
            change = self._pending.popleft()
            self._change_count += 1
            if change.instance is None:
                self.listed_by_id.pop(change.instance_id, None)
            else:
                self.listed_by_id[change.instance_id] = change.instance
        as_of_ms = self._clock.wall_ms() - int(lag_s * 1000)
        # A larger lag makes the list older, but its time never goes back.
        self._as_of_ms = max(self._as_of_ms, as_of_ms)
        version = f"{self._run_id}-{self._change_count}"
        if known == version:
            return messages.InstanceList(self._as_of_ms, None, version)
        listed = list(self.listed_by_id.values())
        return messages.InstanceList(self._as_of_ms, listed, version)
