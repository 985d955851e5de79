"""A small deployment: store, executors, and the project's own processes.

The processes are started with the command of the deploy file. As the users'
pages say, one that has ended is started again after a short delay, and one
that exceeds the memory of its machine is killed.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import socket
import subprocess  # noqa: TID251
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator
from typing import Any

from kit_3 import (
    executors as executors_module,
    proxy as proxy_module,
    store as store_module,
    wire,
)

ROOT = pathlib.Path(__file__).resolve().parents[2]
METRICS_PORT = 9464  # Of the deploy file.
NET_TRIES = 200
HOST, PREFIX = "nony24.example", "/lohu930/"
RESTART_S = 1.0  # "restarted after a short delay"
LOOK_S = 0.05
CLIENT_TRIES = 5  # One, and four retries.
DEADLINE_MS = 3000
SHOWN_BREAKS = 100
# The bounds of gl, in the users' pages.
THRESHOLDS = {
    "stable_window_ms": 3000,
    "ack_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "hold_max_ms": 10000,
    "stop_ms": 200,
    "gang_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "require_fencing": False,
}


class Front:
    """One machine of the system.

    Args:
        name: Its name.
        ip: Its address.
        zone: Its zone.
        settings: Path of its settings file.
    """

    def __init__(self, name: str, ip: str, zone: str, settings: pathlib.Path) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.settings = settings
        self.process: subprocess.Popen[bytes] | None = None
        self.start_at = 0.0
        self.ready = False
        self.misses = 2
        self.peak_kb = 0
        self.memory_kills = 0
        self.own_ends = 0
        self.ends_on_purpose = 0


class World:
    """Everything of one run, and its record."""

    def __init__(self, record: pathlib.Path, *, fronts: int, executors: int) -> None:
        self.began_at = time.monotonic()
        self.memory_mb = 300
        self.store = store_module.Store()
        self.fronts: list[Front] = []
        self.executors: list[executors_module.Executor] = []
        self.starts: list[tuple[float, str, str, int]] = []
        self.ends: list[tuple[float, str, str, int, str]] = []
        # Runs whose end as done was taken note of, by task.
        self.taken_done: dict[str, set[int]] = {}
        self.broken: list[str] = []
        self.gang_by_run: dict[tuple[str, int], executors_module.Gang] = {}
        self.closing = False
        self._record = record.open("w")
        self._front_count, self._executor_count = fronts, executors
        self._directory = tempfile.TemporaryDirectory()
        self._base = 0
        self.front_port = self.ready_port = self.peer_port = 0
        self._command = tomllib.loads((ROOT / "deploy/system.toml").read_text())[
            "roles"
        ]["front"]["run"].split(" ")

    def note(self, text: str) -> None:
        """Write one line to the record."""
        self._record.write(f"{time.monotonic() - self.began_at:8.3f} {text}\n")
        self._record.flush()

    def note_start(self, executor: str, task: str, number: int, spec: str) -> None:
        """Note that a run has started."""
        self.starts.append((time.monotonic(), executor, task, number))
        if len(self.starts) <= 2000:
            self.note(f"start {task} run {number} on {executor}")

    def note_end(self, executor: str, task: str, number: int, how: str) -> None:
        """Note that a run has ended."""
        self.ends.append((time.monotonic(), executor, task, number, how))
        if len(self.ends) <= 2000:
            self.note(f"end {task} run {number} on {executor}: {how}")

    def note_taken(self, task: str, number: int, how: str) -> None:
        """Note that an end was taken note of."""
        if how == "done":
            self.taken_done.setdefault(task, set()).add(number)

    def breaks(self, rule: str, text: str) -> None:
        """Note that a rule is broken."""
        self.broken.append(rule)
        if len(self.broken) <= SHOWN_BREAKS:
            self.note(f"BROKEN {rule}: {text}")

    def starts_after_done(self) -> list[str]:
        """Return the starts that the rule TWICE excludes, as texts.

        A start after a run has ended ``done``, if that end was taken note of
        then or later.
        """
        done_at: dict[str, float] = {}
        for at, _executor, task, number, how in self.ends:
            if how == "done" and number in self.taken_done.get(task, ()):
                done_at.setdefault(task, at)
        return [
            f"{task} run {number} on {executor}, {at - done_at[task]:.3f} s after done"
            for at, executor, task, number in self.starts
            if task in done_at and at > done_at[task]
        ]

    def overlaps(self) -> list[str]:
        """Return the starts of tasks that were running at the same time."""
        events = [(at, 1, task, executor) for at, executor, task, _ in self.starts]
        events += [(at, 0, task, executor) for at, executor, task, _, _ in self.ends]
        running: dict[str, set[str]] = {}
        found = []
        for _at, is_start, task, executor in sorted(events):
            present = running.setdefault(task, set())
            if not is_start:
                present.discard(executor)
                continue
            if present:
                found.append(f"{task} on {executor} and {sorted(present)}")
            present.add(executor)
        return found

    def find_owner(self) -> Front | None:
        """Return the machine that last wrote under a condition."""
        member = self.store.last_conditional
        for front in self.fronts:
            if member.startswith(f"{front.ip}:"):
                return front
        return None

    def settings(self, front: Front) -> dict[str, Any]:
        """Return the settings file of a machine."""
        zones = ["gl-erie", "gl-huron", "gl-michigan", "gl-ontario"]
        return {
            "node_name": front.name,
            "role": "front",
            "machine_class": "front",
            "serves": ["front"],
            "ip": front.ip,
            "zone": front.zone,
            "region": "great-lakes",
            "zones": dict.fromkeys(zones, "great-lakes"),
            "listen_addresses": {
                "front": f"{front.ip}:{self.front_port}",
                "ready": f"{front.ip}:{self.ready_port}",
            },
            "internal_port_range": [self.peer_port, self.peer_port + 15],
            "seeds": [],
            "bootstrap": True,
            "fault_counted": False,
            "limits": {
                "cpu_share": 0.43,
                "cpu_cores": 1,
                "memory_mb": self.memory_mb,
                "max_fds": 4100,
                "bandwidth_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entrypoint": "vip",
            "heartbeat_ms": 1500,
            "thresholds": THRESHOLDS,
            "orders": "invocation",
            "platform": {
                "address": f"127.0.0.1:{self._base}",
                "form": "log",
                "writes_per_s": 600,
                "reads_per_s": 2000,
                "parts": 24,
                "append_ms": 1.0,
                "record_bytes": 262144,
                "call_bytes": 2097152,
                "keep_s": 300,
                "ttl_min_ms": 1000,
            },
        }

    def configure(self, version: int, *more_prefixes: str) -> None:
        """Write a configuration as the operator does."""
        route = {
            "name": "quote-calc",
            "host": HOST,
            "path_prefix": PREFIX,
            "service": "recover-desk",
            "priority": 0,
            "max_attempts": 4,
            "stretch": 1.5,
            "target_latency_ms": 250,
        }
        config = {
            "version": version,
            "routes": [
                route,
                *[
                    {**route, "name": prefix.strip("/"), "path_prefix": prefix}
                    for prefix in more_prefixes
                ],
            ],
            "services": [{"name": "recover-desk", "enforces_capacity": False}],
            "limits": {"max_body_bytes": 262144},
        }
        self.store.write("keyed.op", "config", json.dumps(config).encode())

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run everything; end all processes at the end."""
        servers, tasks = [], []
        salt = f"{random.randrange(16**6):06x}"
        server = await wire.serve("127.0.0.1", 0, self.store.handle)
        servers.append(server)
        self.proxy = proxy_module.Proxy(server.sockets[0].getsockname()[1])
        servers.append(await self.proxy.start())
        self._base = self.proxy.port
        self.configure(7)
        zones = ["gl-erie", "gl-huron", "gl-michigan", "gl-ontario"]
        options = {
            "salt": salt,
            "zones": zones,
            "rack": 6,
            "cpu": 64000,
            "mem_mb": 256000,
            "service": "recover-desk",
            "hold_max_ms": THRESHOLDS["hold_max_ms"],
            "stop_ms": THRESHOLDS["stop_ms"],
            "gang_ms": THRESHOLDS["gang_ms"],
        }
        for number in range(self._executor_count):
            executor = executors_module.Executor(self, self.store, number, options)
            server = await wire.serve("127.0.0.1", 0, executor.handle)
            servers.append(server)
            executor.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            self.executors.append(executor)
            tasks.append(asyncio.create_task(executor.live()))
        net, port = _free_net(self._front_count)
        self.front_port, self.ready_port, self.peer_port = port, port + 1, port + 2
        for number in range(self._front_count):
            name = f"front-{number}"
            path = pathlib.Path(self._directory.name) / f"{name}.json"
            front = Front(name, f"{net}.{number + 2}", zones[number % 4], path)
            path.write_text(json.dumps(self.settings(front)))
            self.fronts.append(front)
        tasks.append(asyncio.create_task(self._supervise()))
        tasks.append(asyncio.create_task(self._check_ready()))
        try:
            yield
        finally:
            self.closing = True
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for front in self.fronts:
                if front.process is not None and front.process.poll() is None:
                    front.process.kill()
                    front.process.wait()
            for server in servers:
                server.close()
            for front in self.fronts:
                self.note(
                    f"{front.name}: peak {front.peak_kb // 1024} MB, killed over its"
                    f" memory {front.memory_kills} times, ended by itself"
                    f" {front.own_ends} times"
                )
            self._record.close()
            self._directory.cleanup()

    def start(self, front: Front) -> None:
        """Start a process with the command of the deploy file."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["LANG"] = "C.UTF-8"
        environment["LIMPETSTREAM_BOOT"] = str(front.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        log = os.environ.get("KIT_LOGS")
        output = open(f"{log}/{front.name}.log", "ab") if log else subprocess.DEVNULL
        front.process = subprocess.Popen(  # noqa: TID251
            self._command,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
        )
        self.note(f"{front.name} started, process {front.process.pid}")

    def stop(self, front: Front, number: int) -> None:
        """Send a signal to the process of a machine."""
        if front.process is not None and front.process.poll() is None:
            front.ends_on_purpose += 1
            self.note(f"signal {number} to {front.name}")
            front.process.send_signal(number)

    async def _supervise(self) -> None:
        while True:
            now = time.monotonic()
            for front in self.fronts:
                if front.process is None:
                    if now >= front.start_at:
                        self.start(front)
                    continue
                if front.process.poll() is not None:
                    if not front.ends_on_purpose:
                        front.own_ends += 1
                        status = front.process.returncode
                        self.note(f"{front.name} has ended by itself: {status}")
                    front.ends_on_purpose = 0
                    front.process = None
                    front.start_at = max(front.start_at, now + RESTART_S)
                    front.ready, front.misses = False, 2
                    continue
                used_kb = _resident_kb(front.process.pid)
                front.peak_kb = max(front.peak_kb, used_kb)
                if used_kb > self.memory_mb * 1000:
                    front.memory_kills += 1
                    front.ends_on_purpose += 1
                    self.note(f"{front.name} uses {used_kb} kB and is killed")
                    front.process.kill()
            await asyncio.sleep(LOOK_S)

    async def _check_ready(self) -> None:
        while True:
            await asyncio.gather(*[self._check_one(front) for front in self.fronts])
            await asyncio.sleep(1.0)

    async def _check_one(self, front: Front) -> None:
        reply = await wire.call(
            front.ip, self.ready_port, "GET", "/limpetstream/readiness", timeout_s=1.0
        )
        front.misses = 0 if reply and reply[0] == 200 else front.misses + 1
        front.ready = front.misses < 2

    async def wait_until_ready(self, timeout_s: float) -> bool:
        """Wait until all machines are ready; return whether they are."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if all(front.ready for front in self.fronts):
                return True
            await asyncio.sleep(0.1)
        return False

    def pick(self, avoid: str = "") -> Front:
        """Choose a machine for a new connection, as the platform does."""
        ready = [front for front in self.fronts if front.ready] or self.fronts
        others = [front for front in ready if front.name != avoid] or ready
        return random.choice(others)

    async def request(
        self,
        method: str,
        job_id: str,
        body: Any = None,
        *,
        front: Front | None = None,
        deadline_ms: int = DEADLINE_MS,
        prefix: str = PREFIX,
    ) -> wire.Reply | None:
        """Send one request of a client; None without an answer."""
        front = front or self.pick()
        headers = {
            "Host": HOST,
            "X-Deadline-Ms": str(deadline_ms),
            "Content-Type": "application/json",
        }
        raw = json.dumps(body, separators=(",", ":")).encode() if body else b""
        reply = await wire.call(
            front.ip,
            self.front_port,
            method,
            prefix + job_id,
            headers=headers,
            body=raw,
            timeout_s=deadline_ms / 1000,
        )
        shown = f"{reply[0]} {reply[1][:100].decode()}" if reply else "no answer"
        self.note(f"{method} {prefix}{job_id} at {front.name}: {shown}")
        return reply

    async def submit(self, job_id: str, body: Any) -> int:
        """Submit a job as a client does; return the last status or 0."""
        avoid, status = "", 0
        for _ in range(CLIENT_TRIES):
            front = self.pick(avoid)
            reply = await self.request("POST", job_id, body, front=front)
            status = reply[0] if reply else 0
            if 200 <= status < 300 or status == 404:
                return status
            avoid = front.name
            await asyncio.sleep(0.3)
        return status

    async def state(self, job_id: str) -> str:
        """Return the state of a job; its status, or nothing, without one."""
        reply = await self.request("GET", job_id)
        if reply is None:
            return ""
        if reply[0] != 200:
            return str(reply[0])
        return json.loads(reply[1])["state"]


def new_id() -> str:
    """Return the id of a new job."""
    return f"{random.randrange(16**16):016x}"


def _resident_kb(pid: int) -> int:
    try:
        with open(f"/proc/{pid}/status") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1])
    except OSError:
        pass
    return 0


def _free_net(count: int) -> tuple[str, int]:
    """Return the start of loopback addresses, and the first of their ports.

    Ports are the same on all machines: two, and sixteen for their own use.

    Raises:
        OSError: No free ones were found.
    """
    for _ in range(NET_TRIES):
        net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        first = random.randrange(10_000, 30_000)
        try:
            for number in range(count):
                for port in (*range(first, first + 18), METRICS_PORT):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{number + 2}", port))
        except OSError:
            continue
        return net, first
    raise OSError("no free ports were found")
