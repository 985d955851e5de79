"""Plays a few schedules of planned stops and of jobs that are stored late."""

import pytest

from limpetstream.border import closing
from limpetstream.shard import unknown_cancels
from search import plays, stop_draws

SEEDS = range(0, 30)
RED_SEED_IF_REQUESTS_KNOW_NO_STOP = 44
RED_SEED_IF_CANCELS_STAY_IN_MEMORY = 3


def play(seed):
    return plays.play(stop_draws.draw(seed)).breaches


def test_a_short_search_with_planned_stops_breaks_nothing():
    """Guards against cut off requests, and against cancelled jobs that run."""
    breaches_by_seed = {seed: play(seed) for seed in SEEDS}
    assert not {seed: found for seed, found in breaches_by_seed.items() if found}


def test_the_search_finds_requests_that_a_stop_cuts_off(monkeypatch):
    """Guards against a search that is clean with the fault of review/10."""
    seed = RED_SEED_IF_REQUESTS_KNOW_NO_STOP
    assert not play(seed)
    monkeypatch.setattr(closing.Closing, "begin", lambda closing, answer_by: None)
    assert any("requests cut off" in breach for breach in play(seed))


def test_the_search_finds_cancels_that_an_owner_forgets(monkeypatch):
    """Guards against a search that is clean with the fault of review/7."""
    seed = RED_SEED_IF_CANCELS_STAY_IN_MEMORY
    assert not play(seed)

    def note(shard, job_id):
        shard.cancelled_at_by_unknown_job[job_id] = shard.clock.monotonic()

    monkeypatch.setattr(unknown_cancels, "note", note)
    assert any("after its job was cancelled" in breach for breach in play(seed))


@pytest.mark.parametrize("seed", SEEDS[:5])
def test_a_draw_has_stops_and_late_jobs(seed):
    """Guards against a search that plays neither."""
    schedule = stop_draws.draw(seed)
    assert any(fault.kind.startswith("stop_in_") for fault in schedule.faults)
    assert any(job.stored_after_s is not None for job in schedule.jobs)
