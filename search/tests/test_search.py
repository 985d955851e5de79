"""Plays a few schedules of overlapping faults; ``bench`` plays thousands."""

import pycurl
import pytest

from limpetstream import _curl, errors
from limpetstream.shard.tests import removals
from search import draws, kept_schedules, kind_draws, plays, transport_draws

SEEDS_BY_FIRST_FAULT = {
    "": range(0, 36),
    "restart_after_claim": range(55, 65),
    "isolated_after_split": range(0, 6),
    "restart_half": range(0, 5),
    "long_split": range(0, 3),
}
KIND_SEEDS = range(0, 30)
TRANSPORT_SEEDS = range(0, 30)
RED_SEED_IF_APPENDS_ARE_SENT_TWICE = 16
RED_SEED_IF_CALLS_BETWEEN_INSTANCES_ARE_SENT_TWICE = 59


@pytest.mark.parametrize("first", SEEDS_BY_FIRST_FAULT)
def test_a_short_search_breaks_nothing(first):
    """Guards against two runs of a task at once while faults overlap."""
    outcome_by_seed = {
        seed: plays.play(draws.draw(seed, first))
        for seed in SEEDS_BY_FIRST_FAULT[first]
    }
    assert all(outcome.starts for outcome in outcome_by_seed.values())
    assert not {
        seed: outcome.breaches
        for seed, outcome in outcome_by_seed.items()
        if outcome.breaches
    }


def test_a_short_search_with_every_kind_of_task_breaks_nothing():
    """Guards against accepted work that stands still beside free room."""
    breaches_by_seed = {}
    for seed in KIND_SEEDS:
        outcome = plays.play(kind_draws.draw(seed))
        assert outcome.starts
        if outcome.breaches:
            breaches_by_seed[seed] = outcome.breaches
    assert not breaches_by_seed


def test_a_short_search_with_broken_connections_breaks_nothing():
    """Guards against jobs that run though all their callers were refused."""
    breaches_by_seed = {}
    for seed in TRANSPORT_SEEDS:
        outcome = plays.play(transport_draws.draw(seed))
        assert outcome.starts
        if outcome.breaches:
            breaches_by_seed[seed] = outcome.breaches
    assert not breaches_by_seed


@pytest.fixture
def allow_resends(monkeypatch):
    """Let the HTTP library send the body of a call again."""

    def rewind(upload):
        upload._body.seek(0)
        return pycurl.SEEKFUNC_OK

    monkeypatch.setattr(_curl.Upload, "rewind", rewind)


def has_refused_job_that_ran(seed):
    breaches = plays.play(transport_draws.draw(seed)).breaches
    return any("REFUSED" in breach for breach in breaches)


def test_the_search_finds_an_answer_to_a_second_append(allow_resends, monkeypatch):
    """Guards against a search that is clean with the fault of issue 39."""
    seed = RED_SEED_IF_APPENDS_ARE_SENT_TWICE
    assert not has_refused_job_that_ran(seed)  # The copies are counted.
    is_refusal = property(lambda delivery: delivery.status in errors.REFUSAL_STATUSES)
    monkeypatch.setattr(errors.Delivery, "not_applied", is_refusal)
    assert has_refused_job_that_ran(seed)


def test_the_search_finds_an_answer_to_a_second_call_of_an_instance(allow_resends):
    """Guards against a search that breaks no connection between instances."""
    assert has_refused_job_that_ran(RED_SEED_IF_CALLS_BETWEEN_INSTANCES_ARE_SENT_TWICE)


@pytest.mark.parametrize("name", kept_schedules.RED_SEED_BY_REMOVAL)
def test_the_search_finds_a_removed_check(name):
    """Guards against a search that is clean whatever the product does."""
    first, seed = kept_schedules.RED_SEED_BY_REMOVAL[name]
    with removals.removed(name):
        outcome = plays.play(draws.draw(seed, first))
    assert outcome.breaches


def test_a_restarted_executor_settles_nothing_before_an_append():
    """Guards against a start after an end that a later owner acknowledged."""
    outcome = plays.play(kept_schedules.restart_after_isolated_successor())
    assert not outcome.breaches


def test_two_kills_of_one_instance_at_once_are_one():
    """Guards against a search that fails by an error of its own."""
    outcome = plays.play(draws.draw(2798))
    assert not outcome.breaches
