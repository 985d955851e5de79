"""Plays a few schedules in which most jobs are cancelled."""

import pytest

from limpetstream.shard import (
    carried_cancels,
    shard_server,
    status_reports,
    stops,
)
from limpetstream.workflow import messages
from search import cancel_draws, plays

SEEDS = range(0, 30)
RED_SEED_IF_CANCELLED_RUNS_ARE_NOT_STOPPED = 0
RED_SEED_IF_UNKNOWN_RUNS_ARE_NOT_STOPPED = 90
RED_SEED_IF_UNKNOWN_CANCELS_ARE_NOT_CARRIED_ON = 10760
RED_SEED_IF_AN_OWNER_THAT_ENDS_RAISES_ANY_ERROR = 2475


def play(seed):
    return plays.play(cancel_draws.draw(seed)).breaches


def test_a_short_search_with_cancels_breaks_nothing():
    """Guards against tasks that start or run on after their job's cancel."""
    breaches_by_seed = {seed: play(seed) for seed in SEEDS}
    assert not {seed: found for seed, found in breaches_by_seed.items() if found}


def test_the_search_finds_runs_of_cancelled_jobs_that_go_on(monkeypatch):
    """Guards against a search that is clean if a cancel stops nothing."""
    seed = RED_SEED_IF_CANCELLED_RUNS_ARE_NOT_STOPPED
    assert not play(seed)
    stop_run = stops.stop_run

    def stop_others(shard, executor, run, reason):
        if reason != messages.CANCELLED:
            stop_run(shard, executor, run, reason)

    monkeypatch.setattr(stops, "stop_run", stop_others)
    assert any("goes on" in breach for breach in play(seed))


def test_the_search_finds_runs_that_no_open_task_needs(monkeypatch):
    """Guards against a search that is clean if later owners stop nothing."""
    seed = RED_SEED_IF_UNKNOWN_RUNS_ARE_NOT_STOPPED
    assert not play(seed)
    monkeypatch.setattr(status_reports, "_stop_unknown", lambda *arguments: None)
    assert any("goes on" in breach for breach in play(seed))


def test_the_search_finds_cancels_that_only_an_ended_owner_knew(monkeypatch):
    """Guards against a search that is clean if nobody asks for them again."""
    seed = RED_SEED_IF_UNKNOWN_CANCELS_ARE_NOT_CARRIED_ON
    assert not play(seed)
    monkeypatch.setattr(
        carried_cancels.CarriedCancels, "add", lambda carried, job_id: None
    )
    assert any("goes on" in breach for breach in play(seed))


def test_the_search_finds_errors_of_owners_that_end(monkeypatch):
    """Guards against a search that is clean if requests meet such an error."""
    seed = RED_SEED_IF_AN_OWNER_THAT_ENDS_RAISES_ANY_ERROR
    assert not play(seed)
    monkeypatch.setattr(
        shard_server, "_spawn", lambda group, coroutine: group.create_task(coroutine)
    )
    assert any("RuntimeError" in breach for breach in play(seed))


@pytest.mark.parametrize("seed", SEEDS[:5])
def test_most_jobs_of_a_draw_are_cancelled(seed):
    """Guards against a search that cancels too little."""
    jobs = cancel_draws.draw(seed).jobs
    cancelled = [job for job in jobs if job.cancelled_at is not None]
    assert len(cancelled) > len(jobs) / 3


def test_lasting_jobs_are_cancelled_too():
    """Guards against a search without runs that would never end."""
    jobs = [job for seed in SEEDS for job in cancel_draws.draw(seed).jobs]
    assert any(job.lasts() and job.cancelled_at is not None for job in jobs)
