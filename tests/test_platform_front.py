"""Tests of the program of the users' platform as a process."""

import os
import signal
import subprocess
import sys
import time

from adapter import process_settings
from standins import processes

LIMIT_S = 20.0


def test_signals_before_the_start_has_finished(tmp_path):
    """Guards against a SIGHUP that ends a process which has just started.

    Seen in the soak, seed 21. The settings file is a pipe here, so the
    process waits with its imports done and its event loop not yet running.
    """
    pipe = tmp_path / "settings"
    os.mkfifo(pipe)
    started = subprocess.Popen(
        [sys.executable, "platform/front.py"],
        cwd=processes.ROOT,
        env=os.environ | {process_settings.PATH_VARIABLE: str(pipe)},
    )
    writer = -1
    try:
        writer = _open_once_read(pipe)
        started.send_signal(signal.SIGHUP)
        time.sleep(0.2)
        assert started.poll() is None
        started.send_signal(signal.SIGTERM)
        assert started.wait(LIMIT_S) == 0
    finally:
        started.kill()
        os.close(writer)


def _open_once_read(pipe):
    until = time.monotonic() + LIMIT_S
    while time.monotonic() < until:
        try:
            return os.open(pipe, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            time.sleep(0.02)  # Nobody reads it yet.
    raise AssertionError("the process does not read its settings")
