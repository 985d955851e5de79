"""Builds a small deployment: instances as processes, all else as stand-ins."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess  # noqa: TID251
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator
from typing import Any

import executors as executors_module
import store as store_module
import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST, PREFIX, QUEUE = "desk.example", "/jobs/", "r-desk"
ZONES = {"north": "valley", "south": "valley", "cold": "valley"}
# As on the site alto-valle-prensa.
THRESHOLDS = {
    "stable_window_ms": 3000,
    "ack_ms": 4000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "hold_max_ms": 6000,
    "stop_ms": 900,
    "gang_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "status_s": 120,
    "recovery_s": 12,
    "lease_ms": 3000,
}
HELD, BROKEN, NOT_RUN = 0, 1, 2
START_LIMIT_S = 20.0
CASE_LIMIT_S = 110.0


class CannotRunError(Exception):
    """The case could not be brought about."""


class Record:
    """Writes what was sent, answered and run to a file, with its time."""

    def __init__(self, path: pathlib.Path) -> None:
        self.rows: list[tuple[float, str, dict[str, Any]]] = []
        self._began_at = time.monotonic()
        self._file = path.open("w", buffering=1)

    def now(self) -> float:
        """Return the seconds since the record began."""
        return time.monotonic() - self._began_at

    def note(self, what: str, **fields: Any) -> None:
        """Write one row."""
        at = self.now()
        self.rows.append((at, what, fields))
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{at:8.3f} s  {what}  {text}\n")

    def starts_of(self, job_id: str) -> list[float]:
        """Return when executors have started tasks of a job."""
        return [
            at
            for at, what, fields in self.rows
            if what == "start" and fields["task"].startswith(job_id)
        ]


class Instance:
    """One instance as a process, with the command of the deploy file."""

    def __init__(
        self, name: str, ip: str, settings: dict[str, Any], folder: pathlib.Path
    ) -> None:
        self.name, self.ip = name, ip
        self.front = f"{ip}:8161"
        self.process: subprocess.Popen[bytes] | None = None
        self._boot = folder / f"{name}.json"
        self._boot.write_text(json.dumps(settings))
        self.log = folder / f"{name}.log"

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["front"]["run"].split(" ")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/tmp"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "LIMPETSTREAM_BOOT": str(self._boot),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(  # noqa: TID251
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process that this object has started."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def ended(self, limit_s: float) -> bool:
        """Wait for the end of the process; kill it after a time."""
        until = time.monotonic() + limit_s
        while self.process is not None and self.process.poll() is None:
            if time.monotonic() >= until:
                self.process.kill()
                self.process.wait()
                return False
            await asyncio.sleep(0.02)
        return True

    def log_has(self, event: str) -> bool:
        """Return whether the process has logged an event."""
        return self.log.exists() and event in self.log.read_text(errors="replace")


class World:
    """A running deployment."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = store_module.Store()
        self.instances: list[Instance] = []
        self.executors: list[executors_module.Executor] = []
        self.version = 0
        self.is_stopping = False
        self._tasks: list[asyncio.Task[None]] = []
        self._servers: list[asyncio.Server] = []

    def configure(self) -> None:
        """Write the next configuration as the operator."""
        self.version += 1
        value = {
            "version": self.version,
            "routes": [
                {
                    "name": QUEUE,
                    "host": HOST,
                    "path_prefix": PREFIX,
                    "type": "non_idempotent",
                    "timeout_ms": 3000,
                    "target_latency_ms": 300,
                    "priority": 0,
                    "service": "desk",
                    "max_attempts": 3,
                    "stretch": 1.5,
                }
            ],
            "services": [{"name": "desk", "enforces_capacity": False}],
            "limits": {"max_body_bytes": 262144},
        }
        self.store.put("keyed.op", "config", json.dumps(value).encode())

    async def build(self, folder: pathlib.Path, instances: int, executors: int) -> None:
        """Start the stand-ins and the instances, and wait until all serve."""
        self.configure()
        block = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        for number in range(executors):
            zone = list(ZONES)[number % len(ZONES)]
            executor = executors_module.Executor(
                f"i-{number:04d}", zone, self.store, self.record.note
            )
            host = f"{block}.{100 + number}"
            self._servers.append(await executor.serve(host, free_port(host)))
            self._tasks.append(asyncio.create_task(executor.run()))
            self.executors.append(executor)
        for number in range(instances):
            ip, store_host = f"{block}.{10 + number}", f"{block}.{50 + number}"
            name, port = f"front-{number}", free_port(store_host)
            self._servers.append(await self.store.serve(name, store_host, port))
            settings = instance_settings(name, ip, number, f"{store_host}:{port}")
            instance = Instance(name, ip, settings, folder)
            instance.start()
            self.instances.append(instance)
        await self.until(self._all_serve, "every instance serves and one owns")

    async def _all_serve(self) -> bool:
        for instance in self.instances:
            if await self.call(instance, "GET", PREFIX) != (200, {"waiting": 0}):
                return False
        return True

    async def until(
        self, holds: Any, what: str, limit_s: float = START_LIMIT_S
    ) -> None:
        """Wait until a condition holds."""
        until = time.monotonic() + limit_s
        while not await holds():
            if time.monotonic() >= until:
                raise CannotRunError(f"not reached: {what}")
            await asyncio.sleep(0.05)

    async def call(
        self, instance: Instance, method: str, path: str, body: Any = None
    ) -> tuple[int, Any]:
        """Send one request on a connection of its own."""
        try:
            connection = await wire.connect(instance.front)
        except OSError:
            return 0, None
        try:
            async with asyncio.timeout(5):
                return await connection.call(method, path, HOST, body)
        except TimeoutError:
            return 0, None
        finally:
            connection.close()

    async def owner(self) -> Instance:
        """Return the instance that has announced itself as the owner.

        That is the one that has written to the store under a condition last.
        """
        until = time.monotonic() + START_LIMIT_S
        while time.monotonic() < until:
            records = self.store.partition("keyed.limpetstream.owners", 0).records
            if records:
                name = records[-1][1 + records[-1][0] :].decode().partition(":")[0]
                for instance in self.instances:
                    if instance.ip == name:
                        return instance
            await asyncio.sleep(0.02)
        raise CannotRunError("no instance has announced itself")

    async def close(self) -> None:
        """End all that was started."""
        for instance in self.instances:
            instance.send(signal.SIGCONT)
            instance.send(signal.SIGKILL)
            await instance.ended(5.0)
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.close()


def instance_settings(
    name: str, ip: str, number: int, store_address: str
) -> dict[str, Any]:
    """Return the settings file of one instance."""
    return {
        "node_name": name,
        "role": "front",
        "machine_class": "front",
        "serves": ["front"],
        "ip": ip,
        "zone": list(ZONES)[number % len(ZONES)],
        "region": "valley",
        "zones": ZONES,
        "listen_addresses": {"front": f"{ip}:8161", "ready": f"{ip}:8167"},
        "internal_port_range": [7720, 7735],
        "seeds": [],
        "bootstrap": True,
        "fault_counted": False,
        "limits": {
            "cpu_share": 0.537,
            "cpu_cores": 2,
            "memory_mb": 300,
            "max_fds": 4100,
            "bandwidth_mbps": 1000.0,
            "disk_mb": 0,
        },
        "data_dir": None,
        "discovery": "platform",
        "entrypoint": "vip",
        "heartbeat_ms": 1100,
        "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
        "thresholds": THRESHOLDS,
        "orders": "invocation",
        "platform": {
            "address": store_address,
            "form": "log",
            "writes_per_s": 600,
            "reads_per_s": 2000,
            "parts": 24,
            "record_bytes": 262144,
            "call_bytes": 2097152,
            "keep_s": 300,
            "ttl_min_ms": 1000,
        },
    }


def free_port(host: str) -> int:
    """Return a port that is free at an address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def job(count: int = 1, ms: int | None = 300, cpu: int = 500) -> dict[str, Any]:
    """Return the body that submits a job of one step."""
    step: dict[str, Any] = {"count": count, "cpu": cpu, "mem_mb": 64}
    step["estimate_ms"] = ms or 1000
    if ms is None:
        step["long_running"] = True
    return {"spec": json.dumps({} if ms is None else {"ms": ms}), "steps": [step]}


def job_id() -> str:
    """Return a new id of a job."""
    return f"{random.getrandbits(64):016x}"


@contextlib.asynccontextmanager
async def world(
    folder: pathlib.Path, instances: int, executors: int
) -> AsyncIterator[World]:
    """Run a deployment; its record is written into a folder."""
    record = Record(folder / "record.txt")
    made = World(record)
    with tempfile.TemporaryDirectory() as temporary:
        try:
            await made.build(pathlib.Path(temporary), instances, executors)
            yield made
        finally:
            await made.close()
            kept = os.environ.get("LOGS")
            if kept:
                for path in pathlib.Path(temporary).glob("*.log"):
                    (pathlib.Path(kept) / path.name).write_bytes(path.read_bytes())


async def _within_limit(case: Any, folder: pathlib.Path, with_trouble: bool) -> str:
    async with asyncio.timeout(CASE_LIMIT_S):
        return await case(folder, with_trouble)


def main(case: Any, folder: pathlib.Path) -> None:
    """Run a case; exit with 1 if the rule was broken, 2 if it could not run.

    Args:
        case: Coroutine function of the folder and of whether there is trouble;
            returns what broke the rule, or an empty text.
        folder: Folder of the case.
    """
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(_within_limit(case, folder, with_trouble))
    except (CannotRunError, TimeoutError) as error:
        print(f"could not run: {error}")
        sys.exit(NOT_RUN)
    with (folder / "record.txt").open("a") as record:
        record.write(f"{'BROKEN: ' + broken if broken else 'held'}\n")
    print(f"BROKEN: {broken}" if broken else "held")
    sys.exit(BROKEN if broken else HELD)
