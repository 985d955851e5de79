"""Tests of the interference model with patterns of load, without a network.

The reports come from a queue model: ``tail = idle / (1 - utilization)``. Its
user load oscillates, as it does on the users' deployments.
"""

import math
import random

import pytest

from limpetstream.workflow import interference, load_forecast

IDLE_TAIL = 0.22  # Share of the target, on both deployments.
PERIOD_S = 10.0
POLL_INTERVAL_S = 0.35
CORES = 7.0
EXECUTORS = 3
JOB = "0000000000000001"


def user_load(now, phase, period):
    """Return the utilization that the users of a serving job cause."""
    return 0.42 * (1 + 0.5 * math.sin(2 * math.pi * (now / period + phase)))


def report(utilization, source):
    """Return a tail latency as a share of its target.

    It is a whole number of milliseconds, of a target of 18.
    """
    noisy = utilization + source.gauss(0.0, 0.05)
    tail = IDLE_TAIL / max(0.02, 1 - noisy)
    return max(1, round(tail * 18)) / 18


def learn_model(weight_by_image, *, seed, seconds=60.0, period=PERIOD_S):
    """Return the model after runs of 2.7 s have come and gone at random.

    One serving job has a task on each of three executors.

    Returns:
        Model, and the phase of the user load.
    """
    model = interference.InterferenceModel()
    source = random.Random(seed)
    phase = source.random()
    ends = {(e, image): [] for e in range(EXECUTORS) for image in weight_by_image}
    for poll in range(int(seconds / POLL_INTERVAL_S)):
        for executor in range(EXECUTORS):
            now = (poll + executor / EXECUTORS) * POLL_INTERVAL_S
            cores = {}
            for image in weight_by_image:
                running = ends[executor, image]
                running[:] = [end for end in running if end > now]
                if len(running) < 2 and source.random() < 0.08:
                    running.append(now + 2.7)
                cores[image] = CORES * len(running)
            added = sum(weight_by_image[image] * cores[image] for image in cores)
            measured_at = now - interference.REPORT_LAG_S
            tail = report(user_load(measured_at, phase, period) + added, source)
            model.note_tail("desk", tail)
            utilization = model.utilization("desk", tail)
            model.observe(JOB, "desk", utilization, cores, now)
            if not any(cores.values()):
                model.note_baseline("desk", utilization)
    return model, phase


@pytest.mark.parametrize("seed", range(20))
def test_pairs_without_effect_are_told_from_those_with_an_effect(seed):
    """Guards against best-effort work that waits without need.

    The user load oscillates by more than one best-effort task adds. A model
    of tail latencies instead of utilizations therefore confused pairs with and
    without effect.
    """
    model, _ = learn_model({"calm": 0.0, "press": 0.03}, seed=seed)
    assert model.weight("desk", "calm") < 0.01
    assert model.weight("desk", "press") > 0.01


@pytest.mark.parametrize("seed", range(5))
def test_peak_outlasts_a_trough_and_tolerates_an_outlier(seed):
    """Guards against headroom that is given away at the trough of a load.

    A peak that halves within 15 s does so. A peak that is kept forever lets
    one outlier close an image to all best-effort work.
    """
    model, _ = learn_model({}, seed=seed, seconds=120.0)
    peak = model.peak("desk")
    assert 0.5 < peak < 0.75
    model.note_baseline("desk", 0.99)
    assert model.peak("desk") - peak < 0.02


def test_one_run_at_a_time_probes_an_unknown_pair():
    """Guards against a new image that slows all executors down at once."""
    model = interference.InterferenceModel()
    assert model.may_probe("desk", "press", 0.0)
    model.note_probe("desk", "press", 0.0)
    assert not model.may_probe("desk", "press", 1.0)
    assert model.may_probe("desk", "press", 2.0)
    model.note_probe("desk", "press", 2.0)
    for number in range(4):
        now = 2.5 + POLL_INTERVAL_S * number
        model.observe(JOB, "desk", 0.6, {"press": CORES}, now)
    assert model.may_probe("desk", "press", 3.4)


def test_model_survives_its_stored_form():
    """Guards against a new owner that probes every pair again."""
    model, _ = learn_model({"press": 0.03}, seed=1)
    restored = interference.InterferenceModel()
    restored.load(model.dump())
    assert restored.weight("desk", "press") == model.weight("desk", "press")
    assert restored.peak("desk") == model.peak("desk")
    assert restored.may_probe("desk", "press", 0.0)


@pytest.mark.parametrize("period", [PERIOD_S, 14.0])
@pytest.mark.parametrize("seed", range(5))
def test_user_load_is_predicted_half_a_second_ahead(seed, period):
    """Guards against best-effort work that is slowed only after a crest.

    The user load oscillates, with a period that differs by deployment.
    """
    predicted_error = prior_error = 0.0
    for seconds in range(30, 50):
        model, phase = learn_model(
            {"press": 0.03}, seed=seed, seconds=seconds, period=period
        )
        load = model.user_load(JOB)
        assert load is not None
        ahead = load.reported_at + interference.REPORT_LAG_S + 0.5
        truth = user_load(ahead, phase, period)
        predicted_error += (load.predict(ahead) - truth) ** 2
        prior_error += (load_forecast.PRIOR_MEAN - truth) ** 2
    assert predicted_error < prior_error


def test_load_of_a_job_is_forgotten_with_it():
    """Guards against state that grows with every job that ever ran."""
    model, _ = learn_model({"press": 0.03}, seed=1)
    model.forget_job(JOB)
    assert model.user_load(JOB) is None


def test_load_outlasts_a_suspension():
    """Guards against an arithmetic overflow after a suspension."""
    model, _ = learn_model({"press": 0.03}, seed=1)
    model.observe(JOB, "desk", 0.5, {}, 1e6)
    assert model.user_load(JOB) is None or 0 < model.user_load(JOB).predict(1e6) < 1
