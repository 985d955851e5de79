"""Tests of the planned stop of an entry instance."""

import asyncio

import pytest

from limpetstream.entry import process
from limpetstream.entry.tests import builders

LIMIT_S = 30.0


def test_planned_stop_ends_without_the_log(monkeypatch: pytest.MonkeyPatch):
    """Guards against a stop that waits for ever for releases that the log
    cannot confirm: two processes still ran 20 minutes after SIGTERM."""
    monkeypatch.setattr(process, "LEAVE_TIMEOUT_S", 0.3)
    monkeypatch.setattr(process, "RELEASE_TIMEOUT_S", 0.3)
    monkeypatch.setattr(process, "FLUSH_TIMEOUT_S", 0.3)

    async def run() -> None:
        async with builders.deployment("stop-1") as (running, platform, _):
            components = running[0].components
            while not components.core.rights.holdings_of("stop-1"):
                await asyncio.sleep(0.05)
            platform.set_faults(log_down=True)
            await process.stop_gracefully(components, running[0].life)

    async def run_in_time() -> None:
        # The end of the deployment is part of it: it once hung there.
        async with asyncio.timeout(LIMIT_S):
            await run()

    asyncio.run(run_in_time())
