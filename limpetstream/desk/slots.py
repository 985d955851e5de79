"""Slots and connection limits of the executors that this instance holds.

An executor is a backend server of one desk service. The executors of a data
centre are divided into groups; the instance that holds the right on a group is
its holder and alone sends requests to its executors. A slot stands for one
request that may run at an executor.
"""

import dataclasses
from collections.abc import Callable, Collection, Iterable

import xxhash

from limpetstream.settings import schema

# Instances that may have connections to one executor at the same time.
MAX_CONCURRENT_HOLDERS = 7
# The clock of a backend server may run 2% slow, and a request may spend 0.1 s
# on the network.
CLOCK_DRIFT_FACTOR = 1.02
TRANSIT_S = 0.1


def group_of(executor_id: str, data_centre: str, groups: int) -> str:
    """Return the group, as a resource name, that an executor belongs to.

    Args:
        executor_id: Id of the executor.
        data_centre: Data centre of the executor.
        groups: Number of groups in that data centre.

    >>> group_of("e1", "gl-erie", 1)
    'executors/gl-erie/0'
    """
    number = xxhash.xxh64_intdigest(executor_id.encode()) % groups
    return f"executors/{data_centre}/{number}"


def slot_hold_s(max_run_s: float) -> float:
    """Return how long a slot stays in use when no answer arrives.

    Args:
        max_run_s: Longest run of the service by the backend server's clock, in
            seconds.
    """
    return max_run_s * CLOCK_DRIFT_FACTOR + TRANSIT_S


def connections_per_holder(service: schema.Service) -> int:
    """Return how many connections one holder may open to an executor.

    >>> connections_per_holder(schema.Service())
    9
    """
    return max(1, min(service.slots + 1, service.connections // MAX_CONCURRENT_HOLDERS))


@dataclasses.dataclass(slots=True)
class Executor:
    """One executor and the slots that are in use there.

    Args:
        id: Id in the instance list.
        address: ``host:port`` or URL.
        worker: Worker on which it runs.
        data_centre: Data centre of the worker.
        service: Name of the desk service.
        group: Resource whose right covers the executor.
        slot_limit: Requests that may run there at the same time.
        blocked_until: Monotonic time until which requests of a former holder
            may still run.
        accepts_work: Whether the instance list and the state of its data
            centre allow new work.
        expires_at_by_slot: Monotonic time by slot number at which a slot
            becomes free although no answer arrived.
    """

    id: str
    address: str
    worker: str
    data_centre: str
    service: str
    group: str
    slot_limit: int
    blocked_until: float = float("-inf")
    accepts_work: bool = True
    expires_at_by_slot: dict[int, float] = dataclasses.field(default_factory=dict)

    def used_slots(self, now: float) -> int:
        """Return the number of slots in use; expired ones are dropped.

        All slots count as used while requests of a former holder may run.
        """
        if now < self.blocked_until:
            return self.slot_limit
        if self.expires_at_by_slot and min(self.expires_at_by_slot.values()) <= now:
            self.expires_at_by_slot = {
                slot: until
                for slot, until in self.expires_at_by_slot.items()
                if until > now
            }
        return len(self.expires_at_by_slot)

    def free_slots(self, now: float) -> int:
        """Return the number of slots that may take work now."""
        if not self.accepts_work:
            return 0
        return max(0, self.slot_limit - self.used_slots(now))


@dataclasses.dataclass(slots=True)
class Slot:
    """One slot in use, to be returned with ``SlotTable.release``."""

    executor: Executor
    number: int


@dataclasses.dataclass(slots=True)
class ListedExecutor:
    """Entry of the instance list for an executor that may get new work."""

    id: str
    address: str
    worker: str
    data_centre: str
    service: str
    group: str


@dataclasses.dataclass(slots=True)
class SlotTable:
    """Slots of all executors of one holder; every send takes one first.

    A request needs one connection, so there are never more connections in use
    than slots in use. ``connections_per_holder`` also bounds the idle ones.
    """

    by_executor: dict[str, Executor] = dataclasses.field(default_factory=dict)
    by_service: dict[str, list[Executor]] = dataclasses.field(default_factory=dict)
    epoch_by_group: dict[str, int] = dataclasses.field(default_factory=dict)
    _entered_at_by_group: dict[str, float] = dataclasses.field(default_factory=dict)
    _last_number: int = 0

    def reconcile(
        self,
        now: float,
        epoch_by_group: dict[str, int],
        listed: Iterable[ListedExecutor],
        service: Callable[[str], schema.Service],
        *,
        clean: Collection[str] = (),
    ) -> list[str]:
        """Adopt the current groups, executors and limits.

        Args:
            now: Monotonic time in seconds.
            epoch_by_group: Groups that this instance holds, with epochs.
            listed: Executors that may get new work.
            service: Returns the settings of a service by its name.
            clean: Groups that their former holder handed over after its
                requests had ended.

        Returns:
            Groups that were claimed, or claimed again, since the last call.
        """
        entered = [
            group
            for group, epoch in epoch_by_group.items()
            if self.epoch_by_group.get(group) != epoch
        ]
        for group in entered:
            self._entered_at_by_group[group] = float("-inf") if group in clean else now
        self.epoch_by_group = dict(epoch_by_group)
        for executor in self.by_executor.values():
            executor.accepts_work = False
        for listed_executor in listed:
            if listed_executor.group in epoch_by_group:
                self._update(listed_executor, service(listed_executor.service))
        self._remove_unused(now)
        return entered

    def _update(self, listed: ListedExecutor, service: schema.Service) -> None:
        limit = min(service.slots, connections_per_holder(service))
        executor = self.by_executor.get(listed.id)
        if executor is None:
            executor = Executor(**_field_values(listed), slot_limit=limit)
            self.by_executor[listed.id] = executor
        executor.address = listed.address
        executor.worker = listed.worker
        executor.slot_limit = limit
        executor.accepts_work = True
        # The former holder of the group may have sent requests up to the
        # moment of the claim.
        entered = self._entered_at_by_group[listed.group]
        executor.blocked_until = entered + slot_hold_s(service.max_run_s)

    def _remove_unused(self, now: float) -> None:
        # An executor that is missing from the list only briefly keeps its
        # used slots.
        self.by_executor = {
            key: executor
            for key, executor in self.by_executor.items()
            if executor.accepts_work
            or (executor.expires_at_by_slot and executor.used_slots(now))
        }
        self.by_service = {}
        for executor in self.by_executor.values():
            self.by_service.setdefault(executor.service, []).append(executor)

    def take(self, executor: Executor, now: float, max_run_s: float) -> Slot | None:
        """Take a slot for one request; None when none is free.

        Args:
            executor: Executor that is to get the request.
            now: Monotonic time in seconds.
            max_run_s: Longest run of the service, in seconds.
        """
        if executor.free_slots(now) <= 0:
            return None
        self._last_number += 1
        executor.expires_at_by_slot[self._last_number] = now + slot_hold_s(max_run_s)
        return Slot(executor, self._last_number)

    def release(self, slot: Slot) -> None:
        """Free a slot after its answer arrived, or if nothing was written."""
        slot.executor.expires_at_by_slot.pop(slot.number, None)


def _field_values(listed: ListedExecutor) -> dict[str, str]:
    return {
        field.name: getattr(listed, field.name)
        for field in dataclasses.fields(ListedExecutor)
    }
