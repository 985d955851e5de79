"""Plays a few schedules of overlapping faults; ``bench`` plays thousands."""

import pytest

from limpetstream.shard.tests import removals
from search import draws, kept_schedules, kind_draws, plays

SEEDS_BY_FIRST_FAULT = {
    "": range(0, 36),
    "restart_after_claim": range(55, 65),
    "isolated_after_split": range(0, 6),
    "restart_half": range(0, 5),
    "long_split": range(0, 3),
}
KIND_SEEDS = range(0, 30)


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
