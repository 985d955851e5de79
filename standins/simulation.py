"""Simulates the platform that the product runs on, without any transport.

``standins.platform`` serves the simulation over HTTP, and
``standins.memory_clients`` gives tests direct access to it, so both run the
same code under the same fault switches.
"""

import copy
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, TypeVar

from limpetstream import clock, errors
from limpetstream.platform import messages
from standins import faults, fleet, instance_registry, log_service, usage

PAUSE_POLL_INTERVAL_S = 0.02
MAX_PAUSE_S = 600.0
DESK_WORK_CLASS = "desk"

Result = TypeVar("Result")


class Platform:
    """One simulated platform: log, instance list, workers and usage samples.

    Args:
        clock: Source of time.
        seed: Seed of all random decisions.
    """

    def __init__(self, *, clock: clock.Clock, seed: int = 1) -> None:
        self.clock = clock
        self.faults = faults.Faults(seed=seed)
        self.fault_sampler = faults.FaultSampler(self.faults)
        self.breaches = faults.Breaches()
        self.fleet = fleet.Fleet(
            switches=self.faults, breaches=self.breaches, seed=seed
        )
        self.log = log_service.LogService(
            clock=clock, switches=self.faults, sampler=self.fault_sampler
        )
        self.instance_registry = instance_registry.InstanceRegistry(
            clock=clock, switches=self.faults
        )
        self.usage = usage.UsageRecorder(
            clock=clock, switches=self.faults, fleet=self.fleet
        )

    def set_faults(self, **changes: Any) -> None:
        """Set the named fault switches and leave the others unchanged.

        Raises:
            BadCall: A switch does not exist or a value has the wrong type.
        """
        now = self.clock.monotonic()
        self.fleet.advance_all(now)
        before = copy.copy(self.faults)
        self.faults.merge(changes)
        self.fleet.apply_switches(now, before)
        self._sync_listed_workers()

    def put_instances(self, instances: Iterable[messages.Instance]) -> None:
        """Add or update instances of any role.

        The cores and memory that a backend server declares are reserved on
        its worker; tasks on that worker may only use the remaining capacity.
        """
        now = self.clock.monotonic()
        for instance in instances:
            self.instance_registry.put(instance)
            if instance.role == "worker" and instance.id not in self.fleet.worker_by_id:
                self.fleet.add_worker(instance, now)
            if instance.role == "backend" and instance.worker:
                self.fleet.reserved_by_worker[instance.worker] = instance

    def remove_instances(self, ids: Iterable[str]) -> None:
        """Remove instances from the list."""
        for instance_id in ids:
            removed = self.instance_registry.actual_by_id.get(instance_id)
            if removed is not None and removed.role == "backend":
                self.fleet.reserved_by_worker.pop(removed.worker, None)
            self.instance_registry.remove(instance_id)

    def set_data_centre(self, name: str, *, out: bool) -> None:
        """Record when a data centre is taken out, to detect late starts."""
        if out:
            self.fleet.out_since_by_data_centre[name] = self.clock.monotonic()
        else:
            self.fleet.out_since_by_data_centre.pop(name, None)

    def desk_slowdowns(self) -> dict[str, float]:
        """Return, by worker, the slowdown factor of a desk request there."""
        self.fleet.advance_all(self.clock.monotonic())
        return {
            worker.id: round(worker.slowdown(DESK_WORK_CLASS, self.faults), 4)
            for worker in self.fleet.worker_by_id.values()
        }

    async def append(self, stream: str, records: list[str]) -> int:
        """Append one frame after the simulated network delay."""
        return await self._with_network_delay(lambda: self.log.append(stream, records))

    async def read(
        self, stream: str, start: int, *, max_frames: int, wait_ms: int
    ) -> messages.Page:
        """Read frames after the simulated network delay."""
        return await self._with_network_delay(
            lambda: self.log.read(stream, start, max_frames=max_frames, wait_ms=wait_ms)
        )

    async def read_instances(self, known: str = "") -> messages.InstanceList:
        """Read the instance list after the simulated network delay."""
        return await self._with_network_delay(
            lambda: _call_at_once(lambda: self.instance_registry.read(known))
        )

    async def read_usage(self, since: int) -> messages.Usage:
        """Read usage samples after the simulated network delay."""
        return await self._with_network_delay(
            lambda: _call_at_once(lambda: self.usage.samples_since(since))
        )

    async def call_worker(
        self, name: str, worker_id: str, effect: Callable[[float], Result]
    ) -> Result:
        """Execute one call on a worker under the fault switches.

        A paused worker executes the call after it is resumed, even if the
        client has given up by then, like a request left in a socket buffer.

        Args:
            name: Name of the call, which decides whether its answer may be
                lost.
            worker_id: Worker that receives the call.
            effect: Applies the call, given the platform's time in seconds.

        Raises:
            PlatformUnavailable: The worker is dead, unknown or paused for
                longer than ``MAX_PAUSE_S``.
            AnswerLost: The call took effect and its answer was dropped.
        """

        async def call() -> Result:
            worker = self.fleet.worker_by_id.get(worker_id)
            gives_up_at = self.clock.monotonic() + MAX_PAUSE_S
            while worker is not None and worker.paused:
                if self.clock.monotonic() >= gives_up_at:
                    raise errors.PlatformUnavailable(
                        f"worker {worker_id} stayed paused for longer than MAX_PAUSE_S"
                    )
                await self.clock.sleep(PAUSE_POLL_INTERVAL_S)
            result = effect(self.clock.monotonic())
            if self.fault_sampler.drops_answer(name):
                raise faults.AnswerLost(f"answer to {name} lost")
            return result

        return await self._with_network_delay(call)

    async def _with_network_delay(
        self, call: Callable[[], Awaitable[Result]]
    ) -> Result:
        await self._wait_packet_delay()
        result = await call()
        await self._wait_packet_delay()
        return result

    async def _wait_packet_delay(self) -> None:
        delay_s = self.fault_sampler.packet_delay_s()
        if delay_s > 0:
            await self.clock.sleep(delay_s)

    def _sync_listed_workers(self) -> None:
        """Remove dead workers from the list and add revived ones again."""
        for worker in self.fleet.worker_by_id.values():
            listed = worker.id in self.instance_registry.actual_by_id
            if worker.dead and listed:
                self.instance_registry.remove(worker.id)
            elif not worker.dead and not listed:
                self.instance_registry.put(
                    messages.Instance(
                        worker.id,
                        "worker",
                        data_centre=worker.data_centre,
                        rack=worker.rack,
                        cores=worker.cores,
                        memory_gb=worker.memory_gb,
                        accelerators=worker.accelerators,
                    )
                )


async def _call_at_once(call: Callable[[], Result]) -> Result:
    return call()
