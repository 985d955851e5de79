"""Starts the project's instances as processes, with stand-ins around them."""

import asyncio
import contextlib
import dataclasses
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

from kit import executors as executors_module, gate, store as store_module

ROOT = pathlib.Path(__file__).resolve().parents[2]
METRICS_PORT = 9464  # Of the deploy file.
ZONES = ("gl-erie", "gl-huron")
HOST, PREFIX = "desk.example", "/jobs/"
READY_S = 30.0
# Limits of the small deployment's sheet.
THRESHOLDS = {
    "seed_staleness_s": 3,
    "addr_reuse_s": 2,
    "stable_window_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 5000,
    "evacuate_ms": 5000,
    "recovery_s": 12,
    "hold_max_ms": 10000,
    "stop_ms": 200,
    "gang_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "lease_ms": 3000,
}


@dataclasses.dataclass
class Reply:
    """Answer to a caller; status 0 if there was none."""

    status: int
    body: bytes = b""


@dataclasses.dataclass
class Instance:
    """One instance of the project."""

    name: str
    ip: str
    ports: tuple[int, int, int]  # Front, ready, first internal.
    gate: gate.Gate
    settings: pathlib.Path
    log: pathlib.Path
    process: "subprocess.Popen[bytes] | None" = None


class Cluster:
    """Instances as processes; store, executors and gates in this one."""

    def __init__(self, folder: pathlib.Path, record: pathlib.Path) -> None:
        self.store = store_module.Store()
        self.instances: list[Instance] = []
        self.executors: list[executors_module.Executor] = []
        self.events: list[dict[str, object]] = []
        self.began_at = time.monotonic()
        self._folder = folder
        self._record = record
        self._version = 0
        # Loopback addresses that other runs do not use.
        self._net = f"127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 250}"

    def note(self, what: str, **fields: object) -> None:
        """Record an event with its time."""
        at = round(time.monotonic() - self.began_at, 3)
        self.events.append({"at": at, "what": what, **fields})

    def save(self, verdict: str) -> None:
        """Write the record of all that was sent, answered and run."""
        lines = [json.dumps(event) for event in self.events]
        self._record.write_text("\n".join([*lines, verdict]) + "\n")

    async def build(self, instances: int, labels: list[list[str]]) -> None:
        """Start the stand-ins, and the instances until they are ready."""
        store_address = self.store.serve()
        self.configure()
        for number, labels_of_one in enumerate(labels):
            executor = executors_module.Executor(
                self.store,
                f"x{number}-{random.randrange(16**6):06x}",
                ZONES[number % len(ZONES)],
                labels_of_one,
                self.note,
            )
            executor.serve()
            self.executors.append(executor)
        ips = [f"{self._net}.{number + 2}" for number in range(instances)]
        ports = _common_ports(ips)
        for number, ip in enumerate(ips):
            store_gate = gate.Gate(store_address)
            await store_gate.open()
            name = f"front-{number}"
            self.instances.append(
                Instance(
                    name,
                    ip,
                    ports,
                    store_gate,
                    self._folder / f"{name}.json",
                    self._folder / f"{name}.log",
                )
            )
        for instance in self.instances:
            self.start(instance)
        for instance in self.instances:
            await self._wait_until_ready(instance)

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self._version += 7
        config = {
            "version": self._version,
            "routes": [
                {
                    "name": "quote-calc",
                    "host": HOST,
                    "path_prefix": PREFIX,
                    "service": "recover-desk",
                    "type": "non_idempotent",
                    "max_attempts": 4,
                    "stretch": 1.5,
                    "target_latency_ms": 250,
                    "timeout_ms": 3000,
                }
            ],
            "services": [{"name": "recover-desk", "max_connections": 64}],
            "limits": {"max_body_bytes": 262144},
        }
        self.store.write("keyed.op", "config", json.dumps(config).encode())

    def start(self, instance: Instance) -> None:
        """Start the process of an instance by the deploy file's command."""
        front, ready, internal = instance.ports
        number = self.instances.index(instance)
        settings = {
            "node_name": instance.name,
            "role": "front",
            "machine_class": "front",
            "serves": ["front"],
            "ip": instance.ip,
            "zone": ZONES[number % len(ZONES)],
            "region": "great-lakes",
            "zones": dict.fromkeys(ZONES, "great-lakes"),
            "listen_addresses": {
                "front": f"{instance.ip}:{front}",
                "ready": f"{instance.ip}:{ready}",
            },
            "internal_port_range": [internal, internal + 15],
            "seeds": [],
            "bootstrap": True,
            "limits": {"cpu_share": 0.43, "cpu_cores": 1, "memory_mb": 300},
            "heartbeat_ms": 1500,
            "thresholds": THRESHOLDS,
            "orders": "invocation",
            "platform": {"address": instance.gate.address, "form": "log", "parts": 24},
        }
        instance.settings.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["front"]["run"].split()
        kept = {"PATH", "HOME", "LANG"}
        environment = {k: v for k, v in os.environ.items() if k in kept}
        environment["LIMPETSTREAM_BOOT"] = str(instance.settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with instance.log.open("ab") as log:
            instance.process = subprocess.Popen(  # noqa: TID251
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.note("process", instance=instance.name)

    def signal(self, instance: Instance, number: int) -> None:
        """Send a signal to the process of an instance."""
        if instance.process is not None and instance.process.poll() is None:
            instance.process.send_signal(number)
            self.note("signal", instance=instance.name, number=int(number))

    def end(self) -> None:
        """Kill all processes."""
        for instance in self.instances:
            process = instance.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()

    async def _wait_until_ready(self, instance: Instance) -> None:
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            reply = await call(instance.ip, instance.ports[1], "GET", "/readiness")
            if reply.status == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{instance.name} is not ready")

    async def ask(
        self,
        instance: Instance,
        method: str,
        job_id: str,
        body: object = None,
        *,
        wait_s: float = 3.0,
    ) -> Reply:
        """Send a request of a client, and record it with its answer."""
        raw = b"" if body is None else json.dumps(body).encode()
        headers = {
            "Host": HOST,
            "X-Deadline-Ms": str(int(wait_s * 1000)),
            "Content-Type": "application/json",
        }
        self.note("sent", method=method, job=job_id, instance=instance.name)
        reply = await call(
            instance.ip,
            instance.ports[0],
            method,
            PREFIX + job_id,
            raw,
            headers,
            timeout_s=wait_s,
        )
        self.note(
            "answered",
            method=method,
            job=job_id,
            instance=instance.name,
            status=reply.status,
        )
        return reply

    def owner(self) -> Instance | None:
        """Return the instance that is announced as the owner of the tasks."""
        partition = self.store.partition["keyed.limpetstream.owners", 0]
        for value, _ in partition.newest().values():
            address = value.decode().partition("#")[0]
            for instance in self.instances:
                if address == f"{instance.ip}:{instance.ports[2]}":
                    return instance
        return None


async def call(
    host: str,
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    *,
    timeout_s: float = 1.0,
) -> Reply:
    """Send one HTTP request on a connection of its own."""
    lines = [f"{method} {path} HTTP/1.1"]
    fields = {"Host": f"{host}:{port}", **(headers or {}), "Connection": "close"}
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            head = await reader.readuntil(b"\r\n\r\n")
            length = 0
            for line in head.decode().split("\r\n"):
                name, _, value = line.partition(":")
                if name.lower() == "content-length":
                    length = int(value)
            return Reply(int(head.split()[1]), await reader.readexactly(length))
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return Reply(0)
    finally:
        if writer is not None:
            writer.close()


@contextlib.asynccontextmanager
async def open_cluster(
    case: pathlib.Path, *, instances: int, labels: list[list[str]]
) -> AsyncIterator[Cluster]:
    """Yield a running cluster, and end all of its processes afterwards."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(pathlib.Path(folder), case / "record.txt")
        try:
            await cluster.build(instances, labels)
            yield cluster
        finally:
            cluster.end()
            if os.environ.get("KEEP_LOGS"):
                for instance in cluster.instances:
                    target = pathlib.Path(os.environ["KEEP_LOGS"]) / instance.log.name
                    target.write_bytes(instance.log.read_bytes())


def job_id() -> str:
    """Return a new id of a job."""
    return f"{random.getrandbits(64):016x}"


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def report(broken: list[str], cluster: Cluster, limit: int = 10) -> int:
    """Print and record the verdict; return the exit status."""
    for line in broken[:limit]:
        print(line)
    verdict = f"BROKEN {len(broken)}" if broken else "HELD"
    print(verdict)
    cluster.save("\n".join([*broken, verdict]))
    return 1 if broken else 0


def main(play: object, limit_s: float = 115.0) -> None:
    """Run a scenario; exit with 2 if it cannot be run."""

    async def limited() -> None:
        status = 2
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            # The processes are ended also if the script is.
            loop.add_signal_handler(number, task.cancel)  # type: ignore[union-attr]
        try:
            async with asyncio.timeout(limit_s):
                status = await play()  # type: ignore[operator]
        except (Exception, asyncio.CancelledError) as error:
            print(f"could not run: {error!r}")
        sys.stdout.flush()
        os._exit(status)  # Open connections need no orderly end.

    asyncio.run(limited())


def _common_ports(ips: list[str]) -> tuple[int, int, int]:
    """Return three ports that are free on all addresses."""
    for _ in range(100):
        first = random.randrange(20000, 30000)
        ports = first, first + 1, first + 10
        if all(_is_free(ip, port) for ip in ips for port in (*ports, METRICS_PORT)):
            return ports
    raise RuntimeError("no free ports")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
        return True
