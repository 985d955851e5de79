"""Routing of a request to this instance or to another holder."""

import dataclasses
import statistics

from limpetstream.desk import (
    holder as holders,
    load_table as load_tables,
    messages,
    slots,
)

THIS_INSTANCE = ""
# Up to so many executors, the load of a service at this instance is computed
# for each request; with more, it is cached for ``MAX_CACHED_LOAD_AGE_S``.
MAX_UNCACHED_EXECUTORS = 32
MAX_CACHED_LOAD_AGE_S = 0.005


@dataclasses.dataclass(slots=True)
class Target:
    """Holder that is to run a request.

    Args:
        member: Id of the holder; empty for this instance.
        group: Group that was chosen; empty for this instance.
    """

    member: str = THIS_INSTANCE
    group: str = ""


@dataclasses.dataclass(slots=True)
class Router:
    """Chooses the holder of a request by expected completion time.

    Args:
        own_id: Id of this instance.
        data_centre: Data centre of this instance.
        holder: Holder of this instance's groups.
        load_table: Loads that other holders reported.
    """

    own_id: str
    data_centre: str
    holder: holders.Holder
    load_table: load_tables.LoadTable
    _cached_local_loads: tuple[float, list[messages.Load]] = dataclasses.field(
        default_factory=lambda: (float("-inf"), [])
    )
    _cached_load_by_service: dict[str, tuple[float, messages.Load]] = dataclasses.field(
        default_factory=dict
    )

    def choose(
        self, request: messages.Request, now: float, excluded: set[str]
    ) -> Target | None:
        """Return the next target, or None when there is no other.

        Args:
            request: Request to route.
            now: Monotonic time in seconds.
            excluded: Members that were already tried; ``THIS_INSTANCE`` for
                this instance.
        """
        run_s = self.holder.admission.queue(request.service).mean_run_s
        candidates = self._candidates(request.service, now, excluded)
        group_sizes = self.holder.observed.group_sizes_by_service.get(
            request.service, {}
        )
        weights = [group_sizes[candidate[0]] for candidate in candidates]
        peer = self.load_table.pick_group(request.service, candidates, weights, run_s)
        local_s = (
            self._local_completion_s(request.service, now)
            if THIS_INSTANCE not in excluded
            else None
        )
        if local_s is not None and (peer is None or local_s <= peer[2]):
            return Target()
        return Target(peer[1], peer[0]) if peer is not None else None

    def _local_completion_s(self, service: str, now: float) -> float | None:
        executors = self.holder.slot_table.by_service.get(service, ())
        load = self._cached_load_by_service.get(service)
        if (
            load is None
            or len(executors) <= MAX_UNCACHED_EXECUTORS
            or now - load[0] >= MAX_CACHED_LOAD_AGE_S
        ):
            load = (now, self.holder.measure_load(service, executors, now))
            self._cached_load_by_service[service] = load
        if load[1].slots == 0:
            return None
        return load_tables.completion_s(load[1])

    def _candidates(
        self, service: str, now: float, excluded: set[str]
    ) -> list[tuple[str, str, float]]:
        context = self.holder.context
        reachable = []
        for group in self.holder.observed.group_sizes_by_service.get(service, ()):
            holding = context.rights.holding_of(group)
            if holding is None or holding.instance == self.own_id:
                continue
            member = context.members.by_id.get(holding.instance)
            if member is None or holding.instance in excluded:
                continue
            reachable.append((group, member.id, self.round_trip_s(member.data_centre)))
        # Suspect and leaving members are chosen only if there are no others.
        trusted = [
            candidate
            for candidate in reachable
            if self.load_table.suspect_until.get(candidate[1], now) <= now
            and not context.members.by_id[candidate[1]].leaving
        ]
        return trusted or reachable

    def round_trip_s(self, data_centre: str) -> float:
        """Return the seconds to a data centre and back, weighted by link cost.

        0 is returned for this data centre and for an unknown one.
        """
        if data_centre == self.data_centre:
            return 0.0
        try:
            settings = self.holder.context.tree.data_centre(data_centre)
        except KeyError:
            return 0.0
        return 2.0 * settings.one_way_ms / 1000 * max(1.0, settings.link_cost)

    def local_loads(self, now: float) -> list[messages.Load]:
        """Return the load of each service in each group of this instance."""
        if now - self._cached_local_loads[0] < MAX_CACHED_LOAD_AGE_S:
            return self._cached_local_loads[1]
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
        self._cached_local_loads = (now, loads)
        return loads

    def update_reference_run_times(self, now: float) -> None:
        """Pass the typical run time over all groups to the health tracker."""
        holder, run_s_by_service = self.holder, {}
        for service in holder.observed.group_sizes_by_service:
            run_times_s = self.load_table.recent_run_s(service, now)
            run_times_s += [load.run_ms / 1000 for load in self.local_loads(now)]
            if run_times_s:
                run_s_by_service[service] = statistics.median(run_times_s)
        holder.health.reference_run_s_by_service = run_s_by_service
