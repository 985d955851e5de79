"""Choice between the own groups and the groups of other holders."""

import dataclasses
import statistics

from limpetstream.desk import (
    holder as holders,
    load_table as load_tables,
    messages,
    slots,
)

THIS_INSTANCE = ""
# Above this number of executors, the sums over them are kept for a moment.
UNCACHED_EXECUTORS_MAX = 32
SUMMARY_VALID_S = 0.005


@dataclasses.dataclass(slots=True)
class Target:
    """Where a request goes next.

    Args:
        member: Holder to forward to; empty for this instance.
        group: Group that was chosen; empty for this instance.
    """

    member: str = THIS_INSTANCE
    group: str = ""


@dataclasses.dataclass(slots=True)
class Router:
    """Chooses a holder by expected completion time.

    Args:
        own_id: Id of this instance.
        data_centre: Data centre of this instance.
        holder: The own groups.
        load_table: What others told about theirs.
    """

    own_id: str
    data_centre: str
    holder: holders.Holder
    load_table: load_tables.LoadTable
    _loads: tuple[float, list[messages.Load]] = dataclasses.field(
        default_factory=lambda: (float("-inf"), [])
    )
    _summary_by_service: dict[str, tuple[float, messages.Load]] = dataclasses.field(
        default_factory=dict
    )

    def choose(
        self, request: messages.Request, now: float, excluded: set[str]
    ) -> Target | None:
        """Return the next target, or None when there is no other.

        Args:
            request: Request to place.
            now: Monotonic time in seconds.
            excluded: Members that were tried; ``THIS_INSTANCE`` for this
                instance.
        """
        run_s = self.holder.admission.queue(request.service).mean_run_s
        candidates = self._candidates(request.service, now, excluded)
        counts = self.holder.observed.group_sizes_by_service.get(request.service, {})
        weights = [counts[each[0]] for each in candidates]
        peer = self.load_table.pick_group(request.service, candidates, weights, run_s)
        own_s = (
            self._own_s(request.service, now) if THIS_INSTANCE not in excluded else None
        )
        if own_s is not None and (peer is None or own_s <= peer[2]):
            return Target()
        return Target(peer[1], peer[0]) if peer is not None else None

    def _own_s(self, service: str, now: float) -> float | None:
        executors = self.holder.slot_table.by_service.get(service, ())
        load = self._summary_by_service.get(service)
        if (
            load is None
            or len(executors) <= UNCACHED_EXECUTORS_MAX
            or now - load[0] >= SUMMARY_VALID_S
        ):
            load = (now, self.holder.measure_load(service, executors, now))
            self._summary_by_service[service] = load
        if load[1].slots == 0:
            return None
        return load_tables.completion_s(load[1])

    def _candidates(
        self, service: str, now: float, excluded: set[str]
    ) -> list[tuple[str, str, float]]:
        context = self.holder.context
        found = []
        for group in self.holder.observed.group_sizes_by_service.get(service, ()):
            holding = context.rights.holding_of(group)
            if holding is None or holding.instance == self.own_id:
                continue
            member = context.members.by_id.get(holding.instance)
            if member is None or holding.instance in excluded:
                continue
            found.append((group, member.id, self.round_trip_s(member.data_centre)))
        trusted = [
            each
            for each in found
            if self.load_table.suspect_until.get(each[1], now) <= now
            and not context.members.by_id[each[1]].leaving
        ]
        return trusted or found

    def round_trip_s(self, data_centre: str) -> float:
        """Return the time to a data centre and back, weighted by link cost."""
        if data_centre == self.data_centre:
            return 0.0
        try:
            there = self.holder.context.tree.data_centre(data_centre)
        except KeyError:
            return 0.0
        return 2.0 * there.one_way_ms / 1000 * max(1.0, there.link_cost)

    def local_loads(self, now: float) -> list[messages.Load]:
        """Return the load of each service in each held group."""
        if now - self._loads[0] < SUMMARY_VALID_S:
            return self._loads[1]
        by_key: dict[tuple[str, str], list[slots.Executor]] = {}
        for executor in self.holder.slot_table.by_executor.values():
            if executor.accepts_work:
                key = (executor.service, executor.group)
                by_key.setdefault(key, []).append(executor)
        loads = []
        for (service, group), executors in by_key.items():
            load = self.holder.measure_load(service, executors, now)
            load.group, load.holder = group, self.own_id
            loads.append(load)
        self._loads = (now, loads)
        return loads

    def update_reference_run_times(self, now: float) -> None:
        """Tell the own health how long a run usually takes elsewhere."""
        holder, reference = self.holder, {}
        for service in holder.observed.group_sizes_by_service:
            known = self.load_table.recent_run_s(service, now)
            known += [load.run_ms / 1000 for load in self.local_loads(now)]
            if known:
                reference[service] = statistics.median(known)
        holder.health.reference_run_s_by_service = reference
