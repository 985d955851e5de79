"""Tests of the learning of interference: patterns of load, without a network.

The reports come from a queue model: ``tail = idle / (1 - utilization)``, with
a load of the users' own that swings, as on the users' deployments.
"""

import math
import random

import pytest

from limpetstream.workflow import interference, load_forecast

IDLE_TAIL = 0.22  # Share of the target, as measured on both deployments.
SWING_S = 10.0
LOOK_S = 0.35
CORES = 7.0
EXECUTORS = 3
JOB = "0000000000000001"


def own_load(now, phase, period):
    """Return the utilization that the users of a serving job cause."""
    return 0.42 * (1 + 0.5 * math.sin(2 * math.pi * (now / period + phase)))


def report(utilization, source):
    """Return a tail as a share of its target; whole milliseconds of 18."""
    blurred = utilization + source.gauss(0.0, 0.05)
    tail = IDLE_TAIL / max(0.02, 1 - blurred)
    return max(1, round(tail * 18)) / 18


def learned_from(weight_by_image, *, seed, seconds=60.0, period=SWING_S):
    """Return what is learned while runs of 2.7 s come and go at random.

    One serving job has a task on each of three executors.
    """
    learned = interference.InterferenceModel()
    source = random.Random(seed)
    phase = source.random()
    ends = {(e, image): [] for e in range(EXECUTORS) for image in weight_by_image}
    for look in range(int(seconds / LOOK_S)):
        for executor in range(EXECUTORS):
            now = (look + executor / EXECUTORS) * LOOK_S
            cores = {}
            for image in weight_by_image:
                running = ends[executor, image]
                running[:] = [end for end in running if end > now]
                if len(running) < 2 and source.random() < 0.08:
                    running.append(now + 2.7)
                cores[image] = CORES * len(running)
            added = sum(weight_by_image[image] * cores[image] for image in cores)
            middle = now - interference.REPORT_LAG_S
            tail = report(own_load(middle, phase, period) + added, source)
            learned.note_tail("desk", tail)
            utilization = learned.utilization("desk", tail)
            learned.observe(JOB, "desk", utilization, cores, now)
            if not any(cores.values()):
                learned.note_baseline("desk", utilization)
    return learned, phase


@pytest.mark.parametrize("seed", range(20))
def test_pairs_without_effect_are_told_from_those_that_disturb(seed):
    """Guards against filling work that waits for nothing.

    Pattern: the users' own load swings by more than a filling task adds. A
    model of tails held pairs without effect to disturb, and the reverse.
    """
    learned, _ = learned_from({"calm": 0.0, "press": 0.03}, seed=seed)
    assert learned.weight("desk", "calm") < 0.01
    assert learned.weight("desk", "press") > 0.01


@pytest.mark.parametrize("seed", range(5))
def test_peak_outlasts_a_trough_and_forgets_a_stray_report(seed):
    """Guards against room that is given away at the bottom of a swing.

    The peak once halved within 15 s; kept for ever, one stray report closed
    an image to all filling work.
    """
    learned, _ = learned_from({}, seed=seed, seconds=120.0)
    peak = learned.peak("desk")
    assert 0.5 < peak < 0.75
    learned.note_baseline("desk", 0.99)
    assert learned.peak("desk") - peak < 0.02


def test_one_run_at_a_time_tries_an_unknown_pair_out():
    """Guards against all executors being disturbed at once by a new image."""
    learned = interference.InterferenceModel()
    assert learned.may_probe("desk", "press", 0.0)
    learned.note_probe("desk", "press", 0.0)
    assert not learned.may_probe("desk", "press", 1.0)
    assert learned.may_probe("desk", "press", 2.0)
    learned.note_probe("desk", "press", 2.0)
    for number in range(4):
        now = 2.5 + LOOK_S * number
        learned.observe(JOB, "desk", 0.6, {"press": CORES}, now)
    assert learned.may_probe("desk", "press", 3.4)


def test_what_was_learned_survives_its_stored_form():
    """Guards against a new owner that tries every pair out again."""
    learned, _ = learned_from({"press": 0.03}, seed=1)
    restored = interference.InterferenceModel()
    restored.load(learned.dump())
    assert restored.weight("desk", "press") == learned.weight("desk", "press")
    assert restored.peak("desk") == learned.peak("desk")
    assert restored.may_probe("desk", "press", 0.0)


@pytest.mark.parametrize("period", [SWING_S, 14.0])
@pytest.mark.parametrize("seed", range(5))
def test_own_load_is_predicted_half_a_second_ahead(seed, period):
    """Guards against filling work that is slowed only after a crest.

    Pattern: the users' load swings; its period differs by deployment.
    """
    predicted = usual = 0.0
    for seconds in range(30, 50):
        learned, phase = learned_from(
            {"press": 0.03}, seed=seed, seconds=seconds, period=period
        )
        load = learned.user_load(JOB)
        assert load is not None
        ahead = load.seen_at + interference.REPORT_LAG_S + 0.5
        truth = own_load(ahead, phase, period)
        predicted += (load.predict(ahead) - truth) ** 2
        usual += (load_forecast.PRIOR_MEAN - truth) ** 2
    assert predicted < usual


def test_load_of_a_job_is_forgotten_with_it():
    """Guards against state that grows with every job that ever ran."""
    learned, _ = learned_from({"press": 0.03}, seed=1)
    learned.forget_job(JOB)
    assert learned.user_load(JOB) is None


def test_load_outlasts_a_suspension():
    """Guards against arithmetic that overflows after a suspension."""
    learned, _ = learned_from({"press": 0.03}, seed=1)
    learned.observe(JOB, "desk", 0.5, {}, 1e6)
    assert learned.user_load(JOB) is None or 0 < learned.user_load(JOB).predict(1e6) < 1
