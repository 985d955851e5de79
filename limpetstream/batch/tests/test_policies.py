"""Tests of quotas, regions, interference, colocation and quarantine."""

import random

import hypothesis
import pytest
from hypothesis import strategies

from limpetstream import errors
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
    """Guards the order in which borrowed quota is taken back."""
    settings = builders.tree(teams=("red", "blue", "green"), quota=10.0)
    settings.team_by_name["blue"].weight = 4.0
    quota = quotas.Quotas(settings)
    quota.acquire("red", quotas.amount(13, 0, 0))
    quota.acquire("blue", quotas.amount(13, 0, 0))
    assert (
        quota.borrowed_share("red")
        > quota.borrowed_share("blue")
        > quota.borrowed_share("green")
    )
    assert quota.denial_reason("green", quotas.amount(10, 0, 0)) is None
    assert quota.denial_reason("red", quotas.amount(5, 0, 0)) is not None
    need = quotas.amount(1, 0, 0)
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
    """Guards against quota that two parts use at once (hazard 16)."""
    names = ["north", "south", "west"]
    shares = {
        name: regions.RegionShares(name, {("red", one): (10, 10, 0) for one in names})
        for name in names
    }
    stream, position, apart = [], dict.fromkeys(names, 0), set()
    for number, (what, one, other, size) in enumerate(steps):
        if what == "give":
            made = regions.Transfer(f"t{number}", "red", one, other, (size, size, 0))
            before = shares[one].limit("red")
            try:
                made = shares[one].lend(made, (4, 4, 0), connected=one not in apart)
                stream.append(made)
                assert before[0] - size >= 4
            except errors.NotRun:
                assert shares[one].limit("red") == before
        elif what == "read" and one not in apart:
            for transfer in stream[position[one] :][:2]:
                shares[one].apply(transfer)
                position[one] += 1
        else:
            (apart.add if what == "apart" else apart.discard)(one)
        assert sum(shares[name].limit("red")[0] for name in names) <= 30
        assert all(shares[name].limit("red")[0] >= 4 for name in names)


def test_nothing_is_lent_while_regions_are_apart():
    """Guards hazard 16: each part keeps its share and lends nothing."""
    shares = regions.RegionShares("north", {("red", "north"): (10, 10, 0)})
    transfer = regions.Transfer("t1", "red", "north", "south", (1, 1, 0))
    with pytest.raises(errors.NotRun):
        shares.lend(transfer, (0, 0, 0), connected=False)
    assert shares.limit("red") == (10, 10, 0)


def test_late_samples_count_by_their_own_time():
    """Guards against old news that overrides what is known since."""
    estimate = usage_estimates.DecayingMean(0.0, 0.0)
    for second in range(600, 620):
        estimate.add(1.0, second)
    estimate.add(9.0, 0.0)
    assert estimate.mean < 1.1
    estimate.add(9.0, 1200.0)
    assert estimate.mean > 3.0


def test_the_noisy_class_gets_the_blame():
    """Guards the division of a slowdown over classes that share a worker."""
    model, source = usage_estimates.UsageModel(), random.Random(1)
    for second in range(400):
        noisy, quiet = source.choice([0.0, 4.0]), source.choice([2.0, 6.0])
        slowdown = 1.0 + 0.2 * noisy
        model.add_slowdown(
            "quote", {"noisy": noisy, "quiet": quiet}, slowdown, float(second)
        )
    assert model.per_core("quote", "noisy") > 0.1
    assert model.per_core("quote", "quiet") < 0.05


def test_unsound_samples_are_ignored():
    """Guards against NaN or negative figures that spoil an estimate."""
    model = usage_estimates.UsageModel()
    model.add_usage("plan", float("nan"), 1.0, 0.0)
    model.add_usage("plan", -1.0, 1.0, 0.0)
    model.add_slowdown("quote", {"plan": 1.0}, float("inf"), 0.0)
    assert model.size("plan") == (0.0, 0.0)
    assert model.per_core("quote", "plan") == 0.0


def play_colocation(slowdown_at, seconds, lag=10):
    """Play samples against one worker; return the steps with their times."""
    watch, model = colocation.SlowdownTracker(), usage_estimates.UsageModel()
    share, taken = {"t1": 1.0}, []
    for now in range(seconds):
        if now >= lag:
            watch.add(slowdown_at(now - lag, share["t1"]), float(now - lag))
        neighbours = [colocation.ColocatedTask("t1", "noisy", 4.0, share["t1"])]
        steps = colocation.decide(watch, ("quote",), neighbours, model, float(now))
        if steps:
            watch.record_action(float(now))
            taken += [(now, step) for step in steps]
            share["t1"] = steps[0].share if steps[0].kind == "throttle" else 0.0
        if share["t1"] == 0.0:
            break
    return taken


def test_a_single_late_sample_never_evicts():
    """Guards against an eviction for one spike."""
    taken = play_colocation(lambda at, share: 9.0 if at == 20 else 1.0, 200)
    assert all(step.kind == "throttle" for _, step in taken)
    assert len(taken) <= 6


def test_an_eviction_needs_several_samples_after_the_last_step():
    """Guards the last step: one sample over the threshold is not enough."""
    model = usage_estimates.UsageModel()
    throttled = [colocation.ColocatedTask("t1", "noisy", 4.0, colocation.MIN_SHARE)]
    for samples, evicts in ((1, False), (colocation.EVICT_SAMPLES, True)):
        watch = colocation.SlowdownTracker(last_action_at=0.0)
        for number in range(samples):
            watch.add(9.0, 20.0 + number)
        steps = colocation.decide(watch, ("quote",), throttled, model, 30.0)
        assert [step.kind for step in steps] == (["evict"] if evicts else [])


def test_steps_come_in_order_with_dwell():
    """Guards against eviction before throttling, and against haste."""
    taken = play_colocation(lambda at, share: 4.0, 300)
    assert [step.kind for _, step in taken] == ["throttle", "throttle", "evict"]
    times = [now for now, _ in taken]
    assert times[2] - times[1] >= colocation.EVICT_DWELL_S


def test_colocation_does_not_oscillate():
    """Guards hysteresis: a steady neighbour settles on a share."""
    taken = play_colocation(lambda at, share: 1.0 + 0.8 * share, 900)
    assert len([step for now, step in taken if now > 450]) <= 8
    assert not [step for _, step in taken if step.kind == "evict"]


def test_a_worker_that_fails_everything_is_set_aside_and_probed():
    """Guards hazard 12: one bad worker must not eat all tasks."""
    guard = quarantine.Quarantine()
    for number in range(3):
        assert not guard.is_quarantined("w1", 0.0)
        guard.record_end("w1", f"j{number}", f"j{number}/0", "failed", 0.0)
    assert guard.is_quarantined("w1", 1.0)
    assert not guard.is_quarantined("w1", 31.0)
    guard.note_placement("w1", "j9/0", 31.0)
    assert guard.is_quarantined("w1", 31.0)
    guard.record_end("w1", "j9", "j9/0", "failed", 32.0)
    assert guard.is_quarantined("w1", 32.0 + 59.0)
    guard.note_placement("w1", "j9/1", 95.0)
    guard.record_end("w1", "j9", "j9/1", "finished", 96.0)
    assert not guard.is_quarantined("w1", 96.0)


def test_a_bad_job_quarantines_nobody():
    """Guards against good workers that pay for a job that fails anywhere."""
    guard = quarantine.Quarantine()
    for number in range(50):
        guard.record_end("w1", "bad", f"bad/{number}", "failed", 0.0)
    assert not guard.is_quarantined("w1", 0.0)
    for name in ("bad2", "bad3"):
        guard.record_end("w1", name, f"{name}/0", "failed", 0.0)
    assert guard.is_quarantined("w1", 0.0)
    guard.discount_job("bad")
    assert not guard.is_quarantined("w1", 0.0)


def test_holders_agree_on_the_order_of_data_centres():
    """Guards against races: each task has one data centre of rank 0."""
    weights = {"a": 8.0, "b": 4.0, "c": 1.0}
    firsts = dict.fromkeys(weights, 0)
    for number in range(600):
        ranks = {name: demand.rank(f"t{number}", name, weights) for name in weights}
        assert sorted(ranks.values()) == [0, 1, 2]
        firsts[min(ranks, key=ranks.get)] += 1
    assert firsts["a"] > firsts["b"] > firsts["c"] > 0
