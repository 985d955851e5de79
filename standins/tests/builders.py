"""Test data for the platform stand-in on virtual time."""

from collections.abc import Awaitable, Callable
from typing import Any

from limpetstream.platform import messages
from standins import memory_clients, simulation, virtual_time


def make_worker(worker_id: str = "w1", **values: Any) -> messages.Instance:
    """Return a worker with 64 cores, 250 GB and 2 accelerators."""
    defaults = {
        "role": "worker",
        "data_centre": "gl-erie",
        "rack": "erie-1",
        "cores": 64.0,
        "memory_gb": 250.0,
        "accelerators": 2,
    }
    return messages.Instance(worker_id, **{**defaults, **values})


def make_start(
    platform: simulation.Platform, worker: str = "w1", **values: Any
) -> messages.Start:
    """Return a start request with a lease of 8 s on the worker's clock."""
    lease_s = values.pop("lease_s", 8.0)
    clock_ms = platform.fleet.worker_by_id[worker].clock_ms(platform.clock.monotonic())
    defaults = {
        "attempt": "j/0/1",
        "task": "j/0",
        "job": "j",
        "work_class": "weekly-plan",
        "cores": 4.0,
        "memory_gb": 8.0,
        "accelerators": 0,
        "run_s": 5.0,
        "checkpoint": None,
        "lease_until_ms": clock_ms + int(lease_s * 1000),
    }
    return messages.Start(**{**defaults, **values})


Scenario = Callable[
    [simulation.Platform, memory_clients.MemoryLog, memory_clients.MemoryWorkers],
    Awaitable[Any],
]


def run_scenario(
    scenario: Scenario, *, workers: int = 2, **faults: Any
) -> simulation.Platform:
    """Run a scenario on a new platform and return the platform."""
    loop = virtual_time.Loop()
    platform = simulation.Platform(clock=virtual_time.make_clock(loop), seed=3)
    platform.put_instances(make_worker(f"w{n}") for n in range(1, workers + 1))
    platform.set_faults(**faults)

    async def main() -> None:
        await scenario(
            platform,
            memory_clients.MemoryLog(platform),
            memory_clients.MemoryWorkers(platform),
        )

    virtual_time.run(main(), loop=loop)
    return platform
