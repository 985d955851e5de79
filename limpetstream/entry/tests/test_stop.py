"""Tests of the planned stop of an entry instance."""

import asyncio

import pytest

from limpetstream.entry import process
from limpetstream.entry.tests import builders

STOP_TIMEOUT_S = 30.0


def test_planned_stop_ends_without_the_log(monkeypatch: pytest.MonkeyPatch):
    """Guards against a stop that hangs because the log cannot confirm the
    release of rights: two processes still ran 20 minutes after SIGTERM."""
    monkeypatch.setattr(process, "LEAVE_TIMEOUT_S", 0.3)
    monkeypatch.setattr(process, "RELEASE_TIMEOUT_S", 0.3)
    monkeypatch.setattr(process, "FLUSH_TIMEOUT_S", 0.3)

    async def run() -> None:
        async with builders.deployment("stop-1") as (running, platform, _):
            components = running[0].components
            while not components.core.rights.holdings_of("stop-1"):
                await asyncio.sleep(0.05)
            platform.set_faults(log_down=True)
            await process.stop_gracefully(components, running[0].lifecycle)

    async def run_in_time() -> None:
        # The limit also covers the end of the deployment, which once hung.
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await run()

    asyncio.run(run_in_time())
