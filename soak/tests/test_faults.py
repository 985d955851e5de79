"""Tests of the faults of the soak."""

import asyncio
import signal
import types

from soak import _faults
from standins import processes

SLOW_START = """import signal, sys, time
time.sleep(0.5)
signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(0))
time.sleep(60)
"""


def test_a_stop_waits_for_the_handler_though_hangups_are_ignored(tmp_path):
    """Guards against a stop that ends a process as a crash would.

    Soak, seed 3, in a run under ``nohup``: SIGHUP counted as handled from the
    start, so SIGTERM was sent before the program handled it.
    """
    script = tmp_path / "slow_start.py"
    script.write_text(SLOW_START)

    async def run():
        with processes.process_group("build/tests") as group:
            process = group.start_script(
                "slow-start", str(script), value_by_variable={}
            )
            instance = types.SimpleNamespace(process=process)
            await _faults._wait_for_signal_handlers(instance)
            return await process.stop()

    ignored = signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        assert asyncio.run(run()) == 0
    finally:
        signal.signal(signal.SIGHUP, ignored)
