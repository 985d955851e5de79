"""Tests of the entry program for the users' platform, run as a process."""

import os
import signal
import subprocess
import sys
import time

from adapter import process_settings
from standins import processes

TIMEOUT_S = 20.0


def test_signals_before_the_start_has_finished(tmp_path):
    """Guards against a SIGHUP that ends a process which has just started.

    It failed in the soak, seed 21. Here the settings file is a pipe, so that
    the process waits after its imports and before its event loop runs.
    """
    pipe = tmp_path / "settings"
    os.mkfifo(pipe)
    process = subprocess.Popen(
        [sys.executable, "platform/front.py"],
        cwd=processes.ROOT,
        env=os.environ | {process_settings.PATH_VARIABLE: str(pipe)},
    )
    writer = -1
    try:
        writer = _open_when_read(pipe)
        process.send_signal(signal.SIGHUP)
        time.sleep(0.2)
        assert process.poll() is None
        process.send_signal(signal.SIGTERM)
        assert process.wait(TIMEOUT_S) == 0
    finally:
        process.kill()
        os.close(writer)


def _open_when_read(pipe):
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            return os.open(pipe, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            time.sleep(0.02)  # The process has not opened the pipe yet.
    raise AssertionError("the process did not open its settings file in time")
