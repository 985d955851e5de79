"""Tests of starting, pausing, stopping and killing processes."""

import asyncio
import signal

import pytest

from limpetstream import clock, errors
from limpetstream.platform import http
from standins import processes

LOGS = "build/tests"


def start_platform(
    group: processes.ProcessGroup, name: str
) -> tuple[processes.Process, str]:
    """Start a platform stand-in; return its process and URL."""
    port = processes.free_port()
    arguments = ("--port", str(port), "--layout", "alto-valle")
    process = group.start(name, "standins.platform", *arguments)
    return process, f"http://127.0.0.1:{port}"


def test_platform_process_gets_ready_pauses_and_stops() -> None:
    """Guards against a paused process that answers, and a failing stop."""

    async def main() -> None:
        with processes.process_group(LOGS) as group:
            process, url = start_platform(group, "platform-stop")
            await process.wait_until_ready(url, "/breaches")
            client = http.Client(base_url=url, clock=clock.Clock())
            process.pause()
            with pytest.raises(errors.PlatformUnavailable):
                await client.call("GET", "/breaches", timeout_s=0.2)
            process.resume()
            await process.wait_until_ready(url, "/breaches")
            client.close()
            assert await process.stop() == 0

    asyncio.run(main())


def test_a_process_that_does_not_exit_tells_what_it_does(tmp_path) -> None:
    """Guards against an instance that holds on without a trace."""
    script = tmp_path / "sleeper.py"
    script.write_text(
        "import time\ndef hold_on():\n    print('holds', flush=True)\n"
        "    time.sleep(60)\nhold_on()\n"
    )

    async def main() -> None:
        with processes.process_group(LOGS) as group:
            (group.log_directory / "sleeper.log").unlink(missing_ok=True)
            variables = {"PYTHONFAULTHANDLER": "1"}
            process = group.start_script(
                "sleeper", str(script), value_by_variable=variables
            )
            while "holds" not in process.log_path.read_text():
                await asyncio.sleep(0.05)
            await process.dump_stacks()
            assert process.exit_status == -signal.SIGABRT
            text = process.log_path.read_text()
            assert "wchan: " in text
            assert "in hold_on" in text
            await process.dump_stacks()  # It has ended; nothing happens.
            assert process.log_path.read_text() == text

    asyncio.run(main())


def test_group_ends_its_processes_also_after_an_error() -> None:
    """Guards against processes that outlive a failed test."""

    async def main() -> None:
        kept: list[processes.Process] = []
        with pytest.raises(RuntimeError), processes.process_group(LOGS) as group:
            for name in ("platform-killed", "platform-paused"):
                process, url = start_platform(group, name)
                await process.wait_until_ready(url, "/breaches")
                kept.append(process)
            kept[0].kill()
            kept[1].pause()
            raise RuntimeError("test failed")
        assert kept[0].exit_status == -signal.SIGKILL
        assert kept[1].exit_status is not None

    asyncio.run(main())


def test_process_that_ends_at_once_is_reported_with_its_output() -> None:
    """Guards against waiting until the time limit for an ended process."""

    async def main() -> None:
        with processes.process_group(LOGS) as group:
            process = group.start("broken", "standins.no_such_module")
            with pytest.raises(processes.ProcessFailed, match="no_such_module"):
                await process.wait_until_ready("http://127.0.0.1:9", timeout_s=60.0)

    asyncio.run(main())


def test_backend_process_registers_with_the_platform() -> None:
    """Guards against a backend process that does not reach the platform."""

    async def main() -> None:
        with processes.process_group(LOGS) as group:
            process, url = start_platform(group, "platform-backend")
            await process.wait_until_ready(url, "/breaches")
            port = processes.free_port()
            backend = group.start(
                "backend",
                "standins.backend",
                *("--platform-url", url, "--layout", "alto-valle"),
                *("--control-port", str(port)),
            )
            await backend.wait_until_ready(f"http://127.0.0.1:{port}", "/stats")
            client = http.Client(base_url=url, clock=clock.Clock())
            for _ in range(600):
                body = (await client.call("GET", "/instances", timeout_s=2.0)).body
                if b"mesa-prensa-camara-fria-w11" in body:
                    break
                await asyncio.sleep(0.05)
            assert b"mesa-prensa-camara-fria-w11" in body
            client.close()

    asyncio.run(main())


def test_free_ports_lie_below_the_ephemeral_range() -> None:
    """Guards against a port that an outgoing connection takes first.

    A backend process once failed because one of its executors had taken the
    port of its control calls.
    """
    with open("/proc/sys/net/ipv4/ip_local_port_range") as file:
        first_kernel_port = int(file.read().split()[0])
    ports = [processes.free_port() for _ in range(200)]
    assert len(set(ports)) == len(ports)
    assert max(ports) < first_kernel_port
