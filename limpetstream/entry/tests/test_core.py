"""Tests of how the core judges whether the log is reachable."""

from limpetstream.entry import core as cores
from limpetstream.settings import schema


def test_an_append_on_its_way_is_no_outage():
    """Guards against refusing edits because another append is in flight."""
    settings = schema.Instance(
        "entry-1", "gl-erie", "http://127.0.0.1:9", ["test-peer-key-0123456789"]
    )
    with cores.open_core(settings) as core:
        now = core.clock.monotonic()
        core.view.fresh_at = now
        assert core.log_reachable()
        core.committer.in_flight_since = now
        assert core.log_reachable()
        core.committer.in_flight_since = now - cores.MAX_UNCONFIRMED_S
        assert not core.log_reachable()
