"""Plays a few schedules of organisations with limits."""

from search import limit_draws, plays

SEEDS = range(0, 30)


def test_a_short_search_finds_no_start_over_a_limit():
    """Guards against owners that do not count what may be running."""
    breaches_by_seed = {}
    for seed in SEEDS:
        outcome = plays.play(limit_draws.draw(seed))
        assert outcome.starts
        if outcome.breaches:
            breaches_by_seed[seed] = outcome.breaches
    assert not breaches_by_seed


def test_a_draw_has_limits_that_are_lowered_as_the_owner_changes():
    """Guards against a search that plays neither."""
    for seed in SEEDS:
        schedule = limit_draws.draw(seed)
        kinds = {fault.kind for fault in schedule.faults}
        assert "lower_limits_and_replace_owner" in kinds
        limited = {job.organisation for job in schedule.jobs} - {""}
        assert limited <= schedule.limit_by_organisation.keys()
        assert not any(job.organisation for job in schedule.jobs if job.lasts())
