"""Runs a cluster on loopback.

The instances are processes; store, executors and links run in this process.
"""

import asyncio
import contextlib
import dataclasses
import errno
import functools
import itertools
import os
import pathlib
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from concurrent import futures

from tornado import httputil

from emulator import deployment, organisations, store
from limpetstream.border import simple_server
from limpetstream.executors import messages
from soak import (
    _breaks,
    _connections,
    _cuts,
    _executors,
    _lasting,
    _late_calls,
    _organisations,
    _owners,
)
from standins import keyed_store, link, processes, step_executors

DIRECTORY = "build/soak"
STORE = "store"
DATA_CENTRES = ("a", "b")
READY_TIMEOUT_S = 20.0
MAX_PORT_ATTEMPTS = 5  # Another program rarely takes a free port first.
MAX_CLUSTERS_AT_ONCE = 5  # Clusters of one process at the same time.
# Time from SIGTERM to SIGKILL, as the platform's documentation states.
STOP_TIMEOUT_S = 6.0

SubmitLastingJob = Callable[..., Awaitable[None]]

_cluster_numbers = itertools.count()
# A start returns only once the new process executes its program, which takes
# seconds beside load. Its thread must outlive the processes: the kernel ends
# them with the thread that has started them.
_starter = futures.ThreadPoolExecutor(max_workers=1, thread_name_prefix="starter")


@dataclasses.dataclass(slots=True)
class Instance:
    """One instance and its links.

    Args:
        name: Name of the instance.
        ip: IP address on loopback.
        settings_path: Path of the settings file.
        client: Client of the store that serves this instance, with fault
            switches.
        store_link: Link from the instance to the store.
        caller_link: Link from the callers to the instance.
        process: Process of the instance; None while it is not running.
        is_busy: Whether a fault controls the process at the moment.
    """

    name: str
    ip: str
    settings_path: pathlib.Path
    client: keyed_store.Client
    store_link: link.Link
    caller_link: link.Link
    process: processes.Process | None = None
    is_busy: bool = False


class Cluster:
    """All parts of one run.

    Args:
        seed: Seed of all random decisions.
        group: Process group of the instances.
        max_lease_ms: Longest lease that executors grant.
        is_shared: Whether organisations share it.
    """

    def __init__(
        self,
        seed: int,
        group: processes.ProcessGroup,
        *,
        max_lease_ms: int = step_executors.MAX_LEASE_MS,
        is_shared: bool = False,
    ) -> None:
        loop = asyncio.get_running_loop()
        # Separate generators: draws for callers and executors must not change
        # the faults of a seed.
        self.seed = seed
        self.max_lease_ms = max_lease_ms
        self.random = random.Random(seed)
        self.fault_choices = random.Random(seed)
        self.caller_choices = random.Random(seed)
        self.cut_choices = random.Random(seed)
        self.leave_choices = random.Random(f"leaves {seed}")
        self.replacement_choices = random.Random(f"replacements {seed}")
        self.restart_choices = random.Random(f"restarts {seed}")
        self.break_choices = random.Random(f"breaks {seed}")
        self.patience_choices = random.Random(f"patience {seed}")
        self.kept_choices = random.Random(f"kept {seed}")
        self.abandon_choices = random.Random(f"abandons {seed}")
        self.cancel_choices = random.Random(f"cancels {seed}")
        self.gate = _breaks.StoreGate()
        self.submit_lasting_job: SubmitLastingJob | None = None
        self.is_patient = True  # Whether callers make all their attempts.
        self.has_late_calls = True  # Whether calls may reach executors seconds late.
        self.network = _cuts.Network()
        self.store = keyed_store.Store(seed=seed)
        self.owners = _owners.Owners(self.store)
        self.breaches = step_executors.Breaches(loop)
        self.size_by_spec: dict[str, tuple[int, float]] = {}
        self.organisations: _organisations.Organisations | None = None
        if is_shared:
            self.organisations = _organisations.Organisations(
                seed, self.breaches, self.size_by_spec
            )
        self.lasting_millicores = 0  # Of all jobs that callers tried to submit.
        self.disturbances = _lasting.Disturbances()
        self.instance_by_name: dict[str, Instance] = {}
        self.linked_executor_by_id: dict[str, _executors.LinkedExecutor] = {}
        self.findings: list[str] = []
        self.version = 0
        self.client = _connections.Client()
        self.group = group
        self._starting: set[asyncio.Task[None]] = set()
        self._stack = contextlib.AsyncExitStack()
        self._number = next(_cluster_numbers)
        self._ready_waits: set[asyncio.Task[None]] = set()
        self._replacement_numbers = itertools.count(1)

    async def build(self, *, instance_count: int, executor_count: int) -> None:
        """Start store and executors, then the instances.

        Raises:
            ProcessFailed: An instance ended, or was not ready in time.
        """
        self.configure()
        for number in range(executor_count):
            await self.add_executor(f"x{number}")
        for number in range(instance_count):
            await self._add_instance(number)
        for instance in self.instance_by_name.values():
            self.start(instance)
        await self.finish_starts()
        async with asyncio.TaskGroup() as task_group:
            for instance in self.instance_by_name.values():
                task_group.create_task(self.wait_until_ready(instance))

    async def close(self) -> None:
        """Stop everything except the processes."""
        for waiting in self._ready_waits:
            waiting.cancel()
        self.client.close()
        await self._stack.aclose()

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        if self.organisations is not None:
            self.organisations.configure(self.store, self.version)
            return
        deployment.configure(self.store, version=self.version, max_attempts=4)

    async def add_executor(self, executor_id: str) -> None:
        """Add an executor behind its own link and publish its entry."""
        number = len(self.linked_executor_by_id)
        self.linked_executor_by_id[executor_id] = await self._open_executor(
            executor_id, number, self.random
        )

    async def replace_executor(self, slot: str) -> None:
        """Add an executor in place of one that left, as another one.

        Args:
            slot: Key of the executor that left; faults choose by these keys.
        """
        number = list(self.linked_executor_by_id).index(slot)
        executor_id = f"{slot}-{next(self._replacement_numbers)}"
        self.linked_executor_by_id[slot] = await self._open_executor(
            executor_id, number, self.replacement_choices
        )

    async def _open_executor(
        self, executor_id: str, number: int, choices: random.Random
    ) -> _executors.LinkedExecutor:
        # Of its own, as the calls of real processes come in no fixed order.
        own_choices = random.Random(f"{executor_id} {self.seed}")
        executor = step_executors.Executor(
            messages.Listing(
                executor_id,
                "",
                DATA_CENTRES[number % len(DATA_CENTRES)],
                "service",
                messages.READY,
                _executors.CAPACITY,
                ("kind", f"rack-{number % 2}"),
                born_ms=1000,
            ),
            self.breaches,
            self.size_by_spec,
            choices,
            rate=choices.choice([0.98, 1.0]),
            born_at=asyncio.get_running_loop().time(),
            clock_start_ms=_executors.draw_clock_start_ms(own_choices),
            max_lease_ms=self.max_lease_ms,
        )
        late_calls = _late_calls.LateCalls(executor, own_choices)

        async def answer(request: httputil.HTTPServerRequest) -> simple_server.Response:
            sent_at = asyncio.get_running_loop().time()
            handle = functools.partial(late_calls.answer, sent_at=sent_at)
            caller = self.owners.find_caller(request)
            return await self.network.deliver(caller, executor_id, request, handle)

        executor_link = await self._serve_behind_link(answer)
        executor.listing.address = f"127.0.0.1:{executor_link.port}"
        self.breaches.advance_by_executor[executor_id] = executor.advance
        linked = _executors.LinkedExecutor(
            executor, executor_link, self.store, late_calls, own_choices
        )
        linked.publish()
        return linked

    def draw_patience(self, max_attempts: int) -> int:
        """Return after how many refusals a caller gives a job up."""
        if self.is_patient:
            return max_attempts
        return self.patience_choices.choice([1, 1, 2, 4, max_attempts])

    def start(self, instance: Instance) -> None:
        """Start the process of an instance, which is set once it runs."""
        self._starting.add(asyncio.create_task(self._start(instance)))

    async def finish_starts(self) -> None:
        """Wait until all processes that are being started run.

        Raises:
            ProcessFailed: One could not be started.
        """
        await asyncio.gather(*self._starting)

    async def _start(self, instance: Instance) -> None:
        start_script = functools.partial(
            self.group.start_script,
            instance.name,
            deployment.PROGRAM,
            value_by_variable={
                **deployment.environment(str(instance.settings_path)),
                "PYTHONFAULTHANDLER": "1",  # Lets dump_stacks print them.
            },
        )
        loop = asyncio.get_running_loop()
        with self.disturbances.active():
            instance.process = await loop.run_in_executor(_starter, start_script)
        waiting = asyncio.create_task(self._disturb_until_ready(instance))
        self._ready_waits.add(waiting)
        waiting.add_done_callback(self._ready_waits.discard)

    async def _disturb_until_ready(self, instance: Instance) -> None:
        """Count a start as a disturbance until it is ready or ends."""
        with (
            self.disturbances.active(),
            contextlib.suppress(processes.ProcessFailed),
        ):
            await self.wait_until_ready(instance)

    async def wait_until_ready(self, instance: Instance) -> None:
        """Wait until an instance reports that it is ready.

        Raises:
            ProcessFailed: The instance ended, or was not ready in time.
        """
        url = f"http://{instance.ip}:{deployment.READY_PORT}"
        await instance.process.wait_until_ready(url, timeout_s=READY_TIMEOUT_S)

    async def stop(self, instance: Instance) -> None:
        """Stop an instance; record a finding if it does not exit cleanly.

        If it does not exit at all, its log gets the stacks of its threads.
        """
        await self.finish_starts()
        process, instance.process = instance.process, None
        if process is None:
            return
        process.resume()
        status = await process.stop(timeout_s=STOP_TIMEOUT_S)
        if status != 0:
            self.findings.append(
                f"{instance.name} had exit status {status} after SIGTERM"
            )
            await process.dump_stacks()
            process.kill()

    async def _add_instance(self, number: int) -> None:
        name = f"instance-{number}"
        ip = _address(self._number, number)
        self.owners.name_by_ip[ip] = name
        client = keyed_store.Client(self.store)
        handler = store.StoreHandler(client)

        async def handle(request: httputil.HTTPServerRequest) -> simple_server.Response:
            return await self.gate.answer(name, request, handler.answer)

        async def answer(request: httputil.HTTPServerRequest) -> simple_server.Response:
            return await self.network.deliver(name, STORE, request, handle)

        store_link = await self._serve_behind_link(answer)
        path = self.group.log_directory / f"{name}.json"
        settings_file = deployment.settings_file(
            name=name,
            ip=ip,
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            store_address=f"127.0.0.1:{store_link.port}",
            max_lease_ms=self.max_lease_ms,
        )
        if self.organisations is not None:
            settings_file = organisations.with_strict_revocation(settings_file)
        path.write_bytes(settings_file)
        caller_link = await self._stack.enter_async_context(
            link.open_link(deployment.CALLER_PORT, target_host=ip)
        )
        self.instance_by_name[name] = Instance(
            name, ip, path, client, store_link, caller_link
        )

    def members_of(self, data_centre: str) -> frozenset[str]:
        """Return the names of the instances and executors in a data centre."""
        members = {
            linked.executor_id
            for linked in self.linked_executor_by_id.values()
            if linked.executor.listing.data_centre == data_centre
        }
        for number, name in enumerate(self.instance_by_name):
            if DATA_CENTRES[number % len(DATA_CENTRES)] == data_centre:
                members.add(name)
        return frozenset(members)

    async def _serve_behind_link(self, answer: simple_server.Responder) -> link.Link:
        """Serve ``answer`` on a free loopback port; return a link to it.

        Raises:
            OSError: Other programs took each port between its choice and use.
        """
        for attempt in range(1, MAX_PORT_ATTEMPTS + 1):
            port = processes.free_port()
            server = simple_server.serve(f"127.0.0.1:{port}", answer)
            try:
                await self._stack.enter_async_context(server)
            except OSError as error:
                if error.errno != errno.EADDRINUSE or attempt == MAX_PORT_ATTEMPTS:
                    raise
            else:
                break
        return await self._stack.enter_async_context(link.open_link(port))


def _address(cluster: int, instance: int) -> str:
    """Return a loopback address that other runs do not use."""
    pid = os.getpid()
    third_byte = pid // 200 % 50 * MAX_CLUSTERS_AT_ONCE + cluster % MAX_CLUSTERS_AT_ONCE
    return f"127.{16 + pid % 200}.{third_byte}.{instance + 2}"


@contextlib.asynccontextmanager
async def open_cluster(
    seed: int,
    *,
    instance_count: int,
    executor_count: int,
    max_lease_ms: int = step_executors.MAX_LEASE_MS,
    is_shared: bool = False,
) -> AsyncIterator[Cluster]:
    """Yield a running cluster; its processes are killed on exit.

    Args:
        seed: Seed of all random decisions.
        instance_count: Number of instances.
        executor_count: Number of executors at the start.
        max_lease_ms: Longest lease that executors grant.
        is_shared: Whether organisations share it.
    """
    with processes.process_group(f"{DIRECTORY}/{seed}") as group:
        for old_log in group.log_directory.glob("*.log"):
            old_log.unlink()
        cluster = Cluster(seed, group, max_lease_ms=max_lease_ms, is_shared=is_shared)
        try:
            await cluster.build(
                instance_count=instance_count, executor_count=executor_count
            )
            yield cluster
        finally:
            await cluster.finish_starts()
            for instance in cluster.instance_by_name.values():
                if instance.process is not None:
                    instance.process.kill()
            await cluster.close()
