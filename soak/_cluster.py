"""One deployment on loopback: instances as processes, all else in here."""

import asyncio
import contextlib
import dataclasses
import itertools
import os
import pathlib
import random
from collections.abc import AsyncIterator

from emulator import deployment, executors, store
from limpetstream import clock as clock_module
from limpetstream.border import simple_server
from limpetstream.executors import messages
from limpetstream.platform import http
from standins import keyed_store, link, processes, step_executors

DIRECTORY = "build/soak"
DATA_CENTRES = ("a", "b")
CAPACITY = messages.Capacity(16_000, 64_000, 0)
READY_TIMEOUT_S = 20.0
MAX_CLUSTERS_AT_ONCE = 5  # Worlds of one process that may exist at the same time.
STOP_TIMEOUT_S = 6.0  # From SIGTERM to SIGKILL, as the platform's pages say.


_numbers = itertools.count()


@dataclasses.dataclass(slots=True)
class Instance:
    """One instance and what lies between it and the others.

    Args:
        name: Its name.
        ip: Its address on loopback.
        settings_path: Its settings file.
        client: The store as it reaches it, with switches.
        store_link: Its connections to the store.
        caller_link: Connections of the callers to it.
        process: Its process; None while it is away.
        is_busy: Whether a fault is ending or starting the process.
    """

    name: str
    ip: str
    settings_path: pathlib.Path
    client: keyed_store.Client
    store_link: link.Link
    caller_link: link.Link
    process: processes.Process | None = None
    is_busy: bool = False


@dataclasses.dataclass(slots=True)
class LinkedExecutor:
    """One executor and the link to it."""

    executor: step_executors.Executor
    link: link.Link


class Cluster:
    """Everything of one run.

    Args:
        seed: Seed of all choices.
        group: Starts the processes.
    """

    def __init__(self, seed: int, group: processes.ProcessGroup) -> None:
        loop = asyncio.get_running_loop()
        # Apart, so that what callers and executors draw moves no fault.
        self.random = random.Random(seed)
        self.fault_choices = random.Random(seed)
        self.caller_choices = random.Random(seed)
        self.store = keyed_store.Store(seed=seed)
        self.breaches = step_executors.Breaches(loop)
        self.size_by_spec: dict[str, tuple[int, float]] = {}
        self.instance_by_name: dict[str, Instance] = {}
        self.linked_executor_by_id: dict[str, LinkedExecutor] = {}
        self.findings: list[str] = []
        self.version = 0
        self.client = http.Client(base_url="", clock=clock_module.Clock())
        self.group = group
        self._stack = contextlib.AsyncExitStack()
        self._number = next(_numbers)

    async def build(self, *, instance_count: int, executor_count: int) -> None:
        """Bring up the platform, then the instances."""
        self.configure()
        for number in range(executor_count):
            await self.add_executor(f"x{number}")
        for number in range(instance_count):
            await self._add_instance(number)
        for instance in self.instance_by_name.values():
            self.start(instance)
        async with asyncio.TaskGroup() as waiting:
            for instance in self.instance_by_name.values():
                waiting.create_task(self.wait_until_ready(instance))

    async def close(self) -> None:
        """Take everything down but the processes."""
        self.client.close()
        await self._stack.aclose()

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        deployment.configure(self.store, version=self.version, max_attempts=4)

    async def add_executor(self, executor_id: str) -> None:
        """Add an executor behind a link of its own and list it."""
        number = len(self.linked_executor_by_id)
        executor = step_executors.Executor(
            messages.Listing(
                executor_id,
                "",
                DATA_CENTRES[number % len(DATA_CENTRES)],
                "service",
                messages.READY,
                CAPACITY,
                ("kind", f"rack-{number % 2}"),
                born_ms=1000,
            ),
            self.breaches,
            self.size_by_spec,
            self.random,
            rate=self.random.choice([0.98, 1.0]),
            born_at=asyncio.get_running_loop().time(),
        )
        between = await self._served(executors.ExecutorHandler(executor).answer)
        executor.listing.address = f"127.0.0.1:{between.port}"
        self.linked_executor_by_id[executor_id] = LinkedExecutor(executor, between)
        self.breaches.advance_by_executor[executor_id] = executor.advance
        executors.publish_listing(self.store, executor)

    def restart_executor(self, machine: LinkedExecutor) -> None:
        """Begin a new life of an executor; what ran there is gone."""
        machine.executor.restart()
        executors.publish_listing(self.store, machine.executor)

    def start(self, instance: Instance) -> None:
        """Start the process of an instance."""
        instance.process = self.group.start_script(
            instance.name,
            deployment.PROGRAM,
            value_by_variable=deployment.environment(str(instance.settings_path)),
        )

    async def wait_until_ready(self, instance: Instance) -> None:
        """Wait until an instance says that it is ready.

        Raises:
            ProcessFailed: It ended, or was not ready in time.
        """
        url = f"http://{instance.ip}:{deployment.READY_PORT}"
        await instance.process.wait_until_ready(url, timeout_s=READY_TIMEOUT_S)

    async def stop(self, instance: Instance) -> None:
        """Stop an instance as planned; note when it does not end in time."""
        process, instance.process = instance.process, None
        if process is None:
            return
        process.resume()
        status = await process.stop(timeout_s=STOP_TIMEOUT_S)
        if status != 0:
            self.findings.append(f"{instance.name} ended with {status} after SIGTERM")
            process.kill()

    async def _add_instance(self, number: int) -> None:
        name = f"instance-{number}"
        ip = _address(self._number, number)
        client = keyed_store.Client(self.store)
        store_link = await self._served(store.StoreHandler(client).answer)
        path = self.group.log_directory / f"{name}.json"
        path.write_bytes(
            deployment.settings_file(
                name=name,
                ip=ip,
                data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
                store_address=f"127.0.0.1:{store_link.port}",
            )
        )
        caller_link = await self._stack.enter_async_context(
            link.open_link(deployment.CALLER_PORT, target_host=ip)
        )
        self.instance_by_name[name] = Instance(
            name, ip, path, client, store_link, caller_link
        )

    async def _served(self, answer: simple_server.Responder) -> link.Link:
        """Serve on loopback behind a link."""
        port = processes.free_port()
        await self._stack.enter_async_context(
            simple_server.serve(f"127.0.0.1:{port}", answer)
        )
        return await self._stack.enter_async_context(link.open_link(port))


def _address(cluster: int, instance: int) -> str:
    """Return an address of loopback that other runs do not use."""
    pid = os.getpid()
    third = pid // 200 % 50 * MAX_CLUSTERS_AT_ONCE + cluster % MAX_CLUSTERS_AT_ONCE
    return f"127.{16 + pid % 200}.{third}.{instance + 2}"


@contextlib.asynccontextmanager
async def open_cluster(
    seed: int, *, instance_count: int, executor_count: int
) -> AsyncIterator[Cluster]:
    """Give a running deployment whose processes end with the block.

    Args:
        seed: Seed of all choices.
        instance_count: Number of instances.
        executor_count: Number of executors.
    """
    with processes.process_group(f"{DIRECTORY}/{seed}") as group:
        for old in group.log_directory.glob("*.log"):
            old.unlink()
        cluster = Cluster(seed, group)
        try:
            await cluster.build(
                instance_count=instance_count, executor_count=executor_count
            )
            yield cluster
        finally:
            for instance in cluster.instance_by_name.values():
                if instance.process is not None:
                    instance.process.kill()
            await cluster.close()
