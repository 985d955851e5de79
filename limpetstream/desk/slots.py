"""Slots and connections of the executors whose groups this instance holds."""

import dataclasses
from collections.abc import Callable, Collection, Iterable

import xxhash

from limpetstream.settings import schema

# At most this many instances may have connections to an executor at once.
CONCURRENT_HOLDERS_MAX = 7
# The clock of a backend server may run 2% slow, and a request may be 0.1 s
# on its way.
CLOCK_DRIFT_FACTOR = 1.02
TRANSIT_S = 0.1


def group_of(executor_id: str, data_centre: str, groups: int) -> str:
    """Return the resource that an executor belongs to.

    >>> group_of("e1", "gl-erie", 1)
    'executors/gl-erie/0'
    """
    number = xxhash.xxh64_intdigest(executor_id.encode()) % groups
    return f"executors/{data_centre}/{number}"


def slot_hold_s(max_run_s: float) -> float:
    """Return how long a slot counts as used when no answer arrives."""
    return max_run_s * CLOCK_DRIFT_FACTOR + TRANSIT_S


def connections_per_holder(service: schema.Service) -> int:
    """Return how many connections one holder may open to an executor.

    >>> connections_per_holder(schema.Service())
    9
    """
    return max(1, min(service.slots + 1, service.connections // CONCURRENT_HOLDERS_MAX))


@dataclasses.dataclass(slots=True)
class Executor:
    """One executor and what is running there.

    Args:
        id: Id in the instance list.
        address: ``host:port`` or URL.
        worker: Worker that it runs on.
        data_centre: Its data centre.
        service: Desk service.
        group: Resource that covers it.
        limit: Requests that may run there at once.
        blocked_until: Time until which a former holder's requests may run.
        listed: Whether it may get new work, by list and data centre.
        expires_at_by_slot: End of use by slot number when no answer arrives.
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
        """Return the slots that count as used."""
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
        """Return the slots that may take work now."""
        if not self.accepts_work:
            return 0
        return max(0, self.slot_limit - self.used_slots(now))


@dataclasses.dataclass(slots=True)
class Slot:
    """One used slot, to be given back with ``SlotTable.release``."""

    executor: Executor
    number: int


@dataclasses.dataclass(slots=True)
class ListedExecutor:
    """An executor of the instance list that may get new work."""

    id: str
    address: str
    worker: str
    data_centre: str
    service: str
    group: str


@dataclasses.dataclass(slots=True)
class SlotTable:
    """Ledger of one holder; every send takes a slot here first.

    A request needs one connection, so connections in use never exceed slots in
    use; idle ones are bounded by the sender's ``connections_per_holder``.
    """

    by_executor: dict[str, Executor] = dataclasses.field(default_factory=dict)
    by_service: dict[str, list[Executor]] = dataclasses.field(default_factory=dict)
    epoch_by_group: dict[str, int] = dataclasses.field(default_factory=dict)
    _entered_at_by_group: dict[str, float] = dataclasses.field(default_factory=dict)
    _next: int = 0

    def reconcile(
        self,
        now: float,
        epoch_by_group: dict[str, int],
        listed: Iterable[ListedExecutor],
        service: Callable[[str], schema.Service],
        *,
        clean: Collection[str] = (),
    ) -> list[str]:
        """Take over groups, executors and limits as they are now.

        Args:
            now: Monotonic time in seconds.
            epoch_by_group: Groups that this instance holds, with epochs.
            listed: Executors that may get new work.
            service: Settings by service name.
            clean: Groups whose former holder has finished its requests.

        Returns:
            Groups that were entered: claimed, or claimed again.
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
        for each in listed:
            if each.group in epoch_by_group:
                self._update(each, service(each.service))
        self._forget_unused(now)
        return entered

    def _update(self, listed: ListedExecutor, service: schema.Service) -> None:
        limit = min(service.slots, connections_per_holder(service))
        executor = self.by_executor.get(listed.id)
        if executor is None:
            executor = Executor(**_fields(listed), slot_limit=limit)
            self.by_executor[listed.id] = executor
        executor.address = listed.address
        executor.worker = listed.worker
        executor.slot_limit = limit
        executor.accepts_work = True
        # A group's former holder may have sent up to the moment of the claim.
        entered = self._entered_at_by_group[listed.group]
        executor.blocked_until = entered + slot_hold_s(service.max_run_s)

    def _forget_unused(self, now: float) -> None:
        # An executor that is missing from the list for a moment keeps slots.
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
        """Use a slot for one request; None when none is free."""
        if executor.free_slots(now) <= 0:
            return None
        self._next += 1
        executor.expires_at_by_slot[self._next] = now + slot_hold_s(max_run_s)
        return Slot(executor, self._next)

    def release(self, slot: Slot) -> None:
        """Free a slot: the answer arrived, or nothing was written."""
        slot.executor.expires_at_by_slot.pop(slot.number, None)


def _fields(listed: ListedExecutor) -> dict[str, str]:
    return {
        field.name: getattr(listed, field.name)
        for field in dataclasses.fields(ListedExecutor)
    }
