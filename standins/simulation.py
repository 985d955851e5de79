"""All parts of the platform stand-in, without any transport.

``standins.platform`` puts HTTP around it and ``standins.memory`` gives it to
tests directly, so both follow the same code and the same fault switches.
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
    """One platform.

    Args:
        clock: Source of time.
        seed: Seed of everything random.
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
        """Set fault switches by name; the others stay.

        Raises:
            BadCall: A name or a type is wrong.
        """
        now = self.clock.monotonic()
        self.fleet.advance_all(now)
        before = copy.copy(self.faults)
        self.faults.merge(changes)
        self.fleet.apply_switches(now, before)
        self._list_workers()

    def put_instances(self, instances: Iterable[messages.Instance]) -> None:
        """Add or change instances of any role.

        A backend server that tells its cores and memory reserves them on its
        worker, so that tasks beside it count against what is left.
        """
        now = self.clock.monotonic()
        for instance in instances:
            self.instance_registry.put(instance)
            if instance.role == "worker" and instance.id not in self.fleet.worker_by_id:
                self.fleet.add_worker(instance, now)
            if instance.role == "backend" and instance.worker:
                self.fleet.reserved_by_worker[instance.worker] = instance

    def remove_instances(self, ids: Iterable[str]) -> None:
        """Take instances off the list."""
        for instance_id in ids:
            gone = self.instance_registry.actual_by_id.get(instance_id)
            if gone is not None and gone.role == "backend":
                self.fleet.reserved_by_worker.pop(gone.worker, None)
            self.instance_registry.remove(instance_id)

    def set_data_centre(self, name: str, *, out: bool) -> None:
        """Note when a data centre was taken out, to find late starts."""
        if out:
            self.fleet.out_since_by_data_centre[name] = self.clock.monotonic()
        else:
            self.fleet.out_since_by_data_centre.pop(name, None)

    def desk_slowdowns(self) -> dict[str, float]:
        """Return by worker how much its tasks slow a desk request there."""
        self.fleet.advance_all(self.clock.monotonic())
        return {
            worker.id: round(worker.slowdown(DESK_WORK_CLASS, self.faults), 4)
            for worker in self.fleet.worker_by_id.values()
        }

    async def append(self, stream: str, records: list[str]) -> int:
        """Append one frame, with the delay of packets."""
        return await self._carried(lambda: self.log.append(stream, records))

    async def read(
        self, stream: str, start: int, *, max_frames: int, wait_ms: int
    ) -> messages.Page:
        """Read frames, with the delay of packets."""
        return await self._carried(
            lambda: self.log.read(stream, start, max_frames=max_frames, wait_ms=wait_ms)
        )

    async def read_instances(self, known: str = "") -> messages.InstanceList:
        """Read the list, with the delay of packets."""
        return await self._carried(
            lambda: _now(lambda: self.instance_registry.read(known))
        )

    async def read_usage(self, since: int) -> messages.Usage:
        """Read usage samples, with the delay of packets."""
        return await self._carried(
            lambda: _now(lambda: self.usage.samples_since(since))
        )

    async def call_worker(
        self, name: str, worker_id: str, effect: Callable[[float], Result]
    ) -> Result:
        """Carry out one call on a worker under the fault switches.

        A paused worker carries the call out when it is resumed, whether or
        not the client still waits, as with a call left in a socket.

        Args:
            name: Name of the call, for lost answers.
            worker_id: Worker that it is for.
            effect: Carries it out, given the platform's time.

        Raises:
            PlatformUnavailable: The worker is dead or unknown.
            AnswerLost: It took effect and the answer was dropped.
        """

        async def call() -> Result:
            worker = self.fleet.worker_by_id.get(worker_id)
            given_up_at = self.clock.monotonic() + MAX_PAUSE_S
            while worker is not None and worker.paused:
                if self.clock.monotonic() >= given_up_at:
                    raise errors.PlatformUnavailable(f"worker {worker_id} is paused")
                await self.clock.sleep(PAUSE_POLL_INTERVAL_S)
            result = effect(self.clock.monotonic())
            if self.fault_sampler.drops_answer(name):
                raise faults.AnswerLost(f"answer to {name} lost")
            return result

        return await self._carried(call)

    async def _carried(self, call: Callable[[], Awaitable[Result]]) -> Result:
        await self._packet()
        result = await call()
        await self._packet()
        return result

    async def _packet(self) -> None:
        delay_s = self.fault_sampler.packet_delay_s()
        if delay_s > 0:
            await self.clock.sleep(delay_s)

    def _list_workers(self) -> None:
        """Take dead workers off the list and put revived ones back."""
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


async def _now(call: Callable[[], Result]) -> Result:
    return call()
