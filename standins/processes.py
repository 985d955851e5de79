"""Starts, signals and ends processes of this repository on loopback.

The demo, tests and benches use it.
"""

import asyncio
import contextlib
import ctypes
import dataclasses
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator

from limpetstream import clock, errors
from limpetstream.platform import http

ROOT = pathlib.Path(__file__).resolve().parent.parent
POLL_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 10.0
LOG_TAIL_CHARACTERS = 1000
DUMP_TIMEOUT_S = 2.0  # For a process to print its stacks.
PR_SET_PDEATHSIG = 1
FIRST_PORT = 15_000
END_PORT = 32_000
MAX_PORT_ATTEMPTS = 1000

_used_ports: set[int] = set()
_libc = ctypes.CDLL(None, use_errno=True)


class ProcessFailed(Exception):
    """A process could not be started, ended early or was not ready in time."""


def _kill_on_parent_death() -> None:
    """Make the kernel kill this process if its parent process dies."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


@dataclasses.dataclass(slots=True)
class Process:
    """One started process.

    Args:
        name: Name of the process and of its log file.
        popen: Handle of the process.
        log_path: File that receives its output.
    """

    name: str
    popen: subprocess.Popen[bytes]
    log_path: pathlib.Path

    @property
    def exit_status(self) -> int | None:
        """Exit status, negative for a signal; None while it runs."""
        return self.popen.poll()

    def handles_signal(self, number: signal.Signals) -> bool:
        """Return whether the process handles or ignores a signal.

        An interpreter that has just started does not yet; until then, the
        signal ends the process whatever the program does.
        """
        try:
            status = pathlib.Path(f"/proc/{self.popen.pid}/status").read_text()
        except OSError:
            return False
        value_by_name = dict(
            line.split(":", 1) for line in status.splitlines() if ":" in line
        )
        masks = (value_by_name.get(name, "0") for name in ("SigIgn", "SigCgt"))
        return any(int(mask, 16) >> (number - 1) & 1 for mask in masks)

    def terminate(self) -> None:
        """Send SIGTERM without waiting for the exit."""
        self._send(signal.SIGTERM)

    def kill(self) -> None:
        """Send SIGKILL and wait for the exit."""
        self._send(signal.SIGKILL)
        self.popen.wait()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP, which it cannot notice."""
        self._send(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self._send(signal.SIGCONT)

    async def stop(self, *, timeout_s: float = STOP_TIMEOUT_S) -> int | None:
        """Send SIGTERM and wait for the exit.

        Returns:
            The exit status, or None if the process still runs after
            ``timeout_s``.
        """
        self.terminate()
        return await self.wait_for_exit(timeout_s=timeout_s)

    async def wait_for_exit(self, *, timeout_s: float = STOP_TIMEOUT_S) -> int | None:
        """Wait for the exit; return the exit status, or None on a time-out."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while self.exit_status is None and loop.time() < deadline:
            await asyncio.sleep(POLL_INTERVAL_S)
        return self.exit_status

    async def dump_stacks(self) -> None:
        """End a process that does not exit; its log tells what it does.

        The kernel's view of each thread comes first, then the stacks that a
        process started with ``PYTHONFAULTHANDLER`` prints before it ends.
        """
        if self.exit_status is not None:
            return
        lines = [_describe_thread(path) for path in _thread_paths(self.popen.pid)]
        with self.log_path.open("a") as log:
            log.write("".join(f"thread {line}\n" for line in lines))
        self._send(signal.SIGABRT)
        await self.wait_for_exit(timeout_s=DUMP_TIMEOUT_S)

    async def wait_until_ready(
        self, base_url: str, path: str = "/", *, timeout_s: float = 15.0
    ) -> None:
        """Wait until a URL answers with status 200.

        Raises:
            ProcessFailed: The process ended, or the time limit was reached.
        """
        client = http.Client(base_url=base_url, clock=clock.Clock())
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        try:
            while loop.time() < deadline and self.exit_status is None:
                with contextlib.suppress(errors.PlatformUnavailable):
                    answer = await client.call("GET", path, timeout_s=1.0)
                    if answer.status == 200:
                        return
                await asyncio.sleep(POLL_INTERVAL_S)
        finally:
            client.close()
        raise ProcessFailed(
            f"{self.name} was not ready in time (exit status {self.exit_status}): "
            f"{self.log_tail()}"
        )

    def log_tail(self) -> str:
        """Return the last part of its output."""
        text = self.log_path.read_text(errors="replace")
        return text[-LOG_TAIL_CHARACTERS:]

    def _send(self, number: signal.Signals) -> None:
        if self.popen.poll() is None:
            self.popen.send_signal(number)


def _thread_paths(pid: int) -> list[pathlib.Path]:
    return list(pathlib.Path(f"/proc/{pid}/task").glob("*"))


def _describe_thread(path: pathlib.Path) -> str:
    """Return state, function of the kernel and system call of a thread."""
    texts = [path.name]
    for name in ("stat", "wchan", "syscall"):
        try:
            texts.append(f"{name}: {(path / name).read_text().strip()}")
        except OSError as error:
            texts.append(f"{name}: {error}")
    return ", ".join(texts)


@dataclasses.dataclass(slots=True)
class ProcessGroup:
    """Processes that are ended together.

    Args:
        log_directory: Directory of the log files.
        stop_timeout_s: Time for all processes together to end after SIGTERM.
        process_by_name: Started processes.
    """

    log_directory: pathlib.Path
    stop_timeout_s: float = STOP_TIMEOUT_S
    process_by_name: dict[str, Process] = dataclasses.field(default_factory=dict)

    def start(self, name: str, module: str, *arguments: str) -> Process:
        """Start ``python -m module arguments``.

        Args:
            name: Name of the process and its log file; a new process of the
                same name replaces one that has ended.
            module: Module of this repository.
            arguments: Arguments of the command line.

        Raises:
            ProcessFailed: A process of this name still runs.
        """
        return self._start(name, ["-m", module, *arguments], {}, "wb")

    def start_script(
        self, name: str, path: str, *, value_by_variable: dict[str, str]
    ) -> Process:
        """Start ``python path`` and append its output to the log file.

        Args:
            name: As in ``start``.
            path: Script, relative to the root of this repository.
            value_by_variable: Additional environment variables.
        """
        return self._start(name, [path], value_by_variable, "ab")

    def _start(
        self,
        name: str,
        arguments: list[str],
        value_by_variable: dict[str, str],
        mode: str,
    ) -> Process:
        previous = self.process_by_name.get(name)
        if previous is not None and previous.exit_status is None:
            raise ProcessFailed(f"cannot start {name}: its last process still runs")
        log_path = self.log_directory / f"{name}.log"
        with log_path.open(mode) as output:
            popen = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                env=os.environ | value_by_variable,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                preexec_fn=_kill_on_parent_death,
            )
        self.process_by_name[name] = Process(name, popen, log_path)
        return self.process_by_name[name]

    def close(self) -> None:
        """End all: SIGTERM first, SIGKILL after ``stop_timeout_s``."""
        for process in self.process_by_name.values():
            process.resume()
            process.terminate()
        deadline = time.monotonic() + self.stop_timeout_s
        for process in self.process_by_name.values():
            try:
                process.popen.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()


@contextlib.contextmanager
def process_group(
    log_directory: str = "build/processes", *, stop_timeout_s: float = STOP_TIMEOUT_S
) -> Iterator[ProcessGroup]:
    """Yield a group whose processes are ended when the context is left.

    Args:
        log_directory: Directory of the logs, relative to the repository root.
        stop_timeout_s: Time for all processes together to end after SIGTERM.
    """
    directory = ROOT / log_directory
    directory.mkdir(parents=True, exist_ok=True)
    started = ProcessGroup(directory, stop_timeout_s)
    try:
        yield started
    finally:
        started.close()


def free_port() -> int:
    """Return a free port of 127.0.0.1 that was not returned before.

    The port lies below the range from which the kernel assigns ports to
    outgoing connections and to sockets bound to port 0. A port of that range
    would often be taken before the started process listens on it.

    Raises:
        ProcessFailed: No free port was found.
    """
    source = random.SystemRandom()
    for _ in range(MAX_PORT_ATTEMPTS):
        port = source.randrange(FIRST_PORT, END_PORT)
        if port in _used_ports:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            _used_ports.add(port)
            return port
    raise ProcessFailed("no free port found within MAX_PORT_ATTEMPTS attempts")
