"""Tests of quotas, regions, usage estimates, colocation and quarantine."""

import random

import hypothesis
import pytest
from hypothesis import strategies

from limpetstream import amounts, errors
from limpetstream.batch import (
    colocation,
    demand,
    quarantine,
    quotas,
    regions,
    usage_estimates,
)
from limpetstream.batch.tests import builders


def test_reclaim_names_the_borrower_with_the_lowest_weight():
    """Guards the order in which borrowed quota is reclaimed."""
    settings = builders.tree(teams=("red", "blue", "green"), quota=10.0)
    settings.team_by_name["blue"].weight = 4.0
    quota = quotas.Quotas(settings)
    quota.acquire("red", amounts.amount(13, 0, 0))
    quota.acquire("blue", amounts.amount(13, 0, 0))
    assert (
        quota.borrowed_share("red")
        > quota.borrowed_share("blue")
        > quota.borrowed_share("green")
    )
    assert quota.denial_reason("green", amounts.amount(10, 0, 0)) is None
    assert quota.denial_reason("red", amounts.amount(5, 0, 0)) is not None
    need = amounts.amount(1, 0, 0)
    order = sorted(
        ["red", "blue", "green"], key=lambda t: quota.fair_share_key(t, need)
    )
    assert order == ["green", "blue", "red"]


TRANSFERS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["give", "read", "apart", "joined"]),
        strategies.sampled_from(["north", "south", "west"]),
        strategies.sampled_from(["north", "south", "west"]),
        strategies.integers(1, 6),
    ),
    max_size=60,
)


@hypothesis.settings(
    derandomize=True,
    deadline=None,
    phases=[hypothesis.Phase.generate],
    max_examples=200,
)
@hypothesis.given(TRANSFERS)
def test_regions_apart_never_exceed_the_whole_quota(steps):
    """Guards against quota that two partitions use at once (hazard 16)."""
    names = ["north", "south", "west"]
    shares = {
        name: regions.RegionShares(name, {("red", one): (10, 10, 0) for one in names})
        for name in names
    }
    stream, position, partitioned = [], dict.fromkeys(names, 0), set()
    for number, (what, one, other, size) in enumerate(steps):
        if what == "give":
            loan = regions.Transfer(f"t{number}", "red", one, other, (size, size, 0))
            before = shares[one].limit("red")
            try:
                loan = shares[one].lend(
                    loan, (4, 4, 0), connected=one not in partitioned
                )
                stream.append(loan)
                assert before[0] - size >= 4
            except errors.NotRun:
                assert shares[one].limit("red") == before
        elif what == "read" and one not in partitioned:
            for transfer in stream[position[one] :][:2]:
                shares[one].apply(transfer)
                position[one] += 1
        else:
            (partitioned.add if what == "apart" else partitioned.discard)(one)
        assert sum(shares[name].limit("red")[0] for name in names) <= 30
        assert all(shares[name].limit("red")[0] >= 4 for name in names)


def test_nothing_is_lent_while_regions_are_apart():
    """Guards against lending during a partition (hazard 16)."""
    shares = regions.RegionShares("north", {("red", "north"): (10, 10, 0)})
    transfer = regions.Transfer("t1", "red", "north", "south", (1, 1, 0))
    with pytest.raises(errors.NotRun):
        shares.lend(transfer, (0, 0, 0), connected=False)
    assert shares.limit("red") == (10, 10, 0)


def test_late_samples_count_by_their_own_time():
    """Guards against delayed samples that override more recent ones."""
    estimate = usage_estimates.DecayingMean(0.0, 0.0)
    for second in range(600, 620):
        estimate.add(1.0, second)
    estimate.add(9.0, 0.0)
    assert estimate.mean < 1.1
    estimate.add(9.0, 1200.0)
    assert estimate.mean > 3.0


def test_the_noisy_class_gets_the_blame():
    """Guards the attribution of a slowdown to classes on the same worker."""
    model, source = usage_estimates.UsageModel(), random.Random(1)
    for second in range(400):
        noisy, quiet = source.choice([0.0, 4.0]), source.choice([2.0, 6.0])
        slowdown = 1.0 + 0.2 * noisy
        model.add_slowdown(
            "quote", {"noisy": noisy, "quiet": quiet}, slowdown, float(second)
        )
    assert model.slowdown_per_core("quote", "noisy") > 0.1
    assert model.slowdown_per_core("quote", "quiet") < 0.05


def test_unsound_samples_are_ignored():
    """Guards against NaN and negative samples in an estimate."""
    model = usage_estimates.UsageModel()
    model.add_usage("plan", float("nan"), 1.0, 0.0)
    model.add_usage("plan", -1.0, 1.0, 0.0)
    model.add_slowdown("quote", {"plan": 1.0}, float("inf"), 0.0)
    assert model.size("plan") == (0.0, 0.0)
    assert model.slowdown_per_core("quote", "plan") == 0.0


def simulate_colocation(slowdown_at, seconds, lag=10):
    """Feed samples of one worker and return its actions with their times."""
    tracker, model = colocation.SlowdownTracker(), usage_estimates.UsageModel()
    share, actions = {"t1": 1.0}, []
    for now in range(seconds):
        if now >= lag:
            tracker.add(slowdown_at(now - lag, share["t1"]), float(now - lag))
        colocated = [colocation.ColocatedTask("t1", "noisy", 4.0, share["t1"])]
        steps = colocation.decide(tracker, ("quote",), colocated, model, float(now))
        if steps:
            tracker.record_action(float(now))
            actions += [(now, action) for action in steps]
            share["t1"] = steps[0].share if steps[0].kind == "throttle" else 0.0
        if share["t1"] == 0.0:
            break
    return actions


def test_a_single_late_sample_never_evicts():
    """Guards against an eviction after a single spike."""
    actions = simulate_colocation(lambda at, share: 9.0 if at == 20 else 1.0, 200)
    assert all(action.kind == "throttle" for _, action in actions)
    assert len(actions) <= 6


def test_an_eviction_needs_several_samples_after_the_last_step():
    """Guards against an eviction after one sample over the threshold."""
    model = usage_estimates.UsageModel()
    throttled = [colocation.ColocatedTask("t1", "noisy", 4.0, colocation.MIN_SHARE)]
    for samples, evicts in ((1, False), (colocation.EVICT_SAMPLES, True)):
        tracker = colocation.SlowdownTracker(last_action_at=0.0)
        for number in range(samples):
            tracker.add(9.0, 20.0 + number)
        steps = colocation.decide(tracker, ("quote",), throttled, model, 30.0)
        assert [action.kind for action in steps] == (["evict"] if evicts else [])


def test_steps_come_in_order_with_dwell():
    """Guards against eviction before throttling or without dwell time."""
    actions = simulate_colocation(lambda at, share: 4.0, 300)
    assert [action.kind for _, action in actions] == ["throttle", "throttle", "evict"]
    times = [now for now, _ in actions]
    assert times[2] - times[1] >= colocation.EVICT_DWELL_S


def test_colocation_does_not_oscillate():
    """Guards hysteresis: a steady task settles on a share."""
    actions = simulate_colocation(lambda at, share: 1.0 + 0.8 * share, 900)
    assert len([action for now, action in actions if now > 450]) <= 8
    assert not [action for _, action in actions if action.kind == "evict"]


def test_a_worker_that_fails_everything_is_set_aside_and_probed():
    """Guards against a bad worker that fails all tasks (hazard 12)."""
    worker_quarantine = quarantine.Quarantine()
    for number in range(3):
        assert not worker_quarantine.is_quarantined("w1", 0.0)
        worker_quarantine.record_end("w1", f"j{number}", f"j{number}/0", "failed", 0.0)
    assert worker_quarantine.is_quarantined("w1", 1.0)
    assert not worker_quarantine.is_quarantined("w1", 31.0)
    worker_quarantine.note_placement("w1", "j9/0", 31.0)
    assert worker_quarantine.is_quarantined("w1", 31.0)
    worker_quarantine.record_end("w1", "j9", "j9/0", "failed", 32.0)
    assert worker_quarantine.is_quarantined("w1", 32.0 + 59.0)
    worker_quarantine.note_placement("w1", "j9/1", 95.0)
    worker_quarantine.record_end("w1", "j9", "j9/1", "finished", 96.0)
    assert not worker_quarantine.is_quarantined("w1", 96.0)


def test_a_bad_job_quarantines_nobody():
    """Guards against quarantine of good workers because of a bad job."""
    worker_quarantine = quarantine.Quarantine()
    for number in range(50):
        worker_quarantine.record_end("w1", "bad", f"bad/{number}", "failed", 0.0)
    assert not worker_quarantine.is_quarantined("w1", 0.0)
    for name in ("bad2", "bad3"):
        worker_quarantine.record_end("w1", name, f"{name}/0", "failed", 0.0)
    assert worker_quarantine.is_quarantined("w1", 0.0)
    worker_quarantine.discount_job("bad")
    assert not worker_quarantine.is_quarantined("w1", 0.0)


def test_holders_agree_on_the_order_of_data_centres():
    """Guards against races of holders: each task has one rank 0."""
    weights = {"a": 8.0, "b": 4.0, "c": 1.0}
    firsts = dict.fromkeys(weights, 0)
    for number in range(600):
        ranks = {name: demand.rank(f"t{number}", name, weights) for name in weights}
        assert sorted(ranks.values()) == [0, 1, 2]
        firsts[min(ranks, key=ranks.get)] += 1
    assert firsts["a"] > firsts["b"] > firsts["c"] > 0
