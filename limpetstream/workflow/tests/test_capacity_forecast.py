"""Tests of what filling work can expect, without a network."""

from limpetstream.shard.tests import builders
from limpetstream.workflow import capacity_forecast, interference
from standins import virtual_time

WEIGHT = 0.03


def executor_beside(*filling):
    """Return an executor with frail serving work, and what is known of it."""
    shard = builders.make_shard(virtual_time.Loop())
    executor = shard.executor_by_id["x0"]
    step = builders.copy_step(builders.SERVING, count=4, image="frail")
    for task in builders.make_tasks(shard, step, queue="desk"):
        builders.start_run(executor, task, load=8.0)
    for image in filling:
        step = builders.copy_step(builders.FILLING, image=image)
        builders.start_run(executor, builders.make_tasks(shard, step)[0])
    weights = {"press": WEIGHT, "calm": 0.001}
    shard.interference_model.load(
        {"frail": interference.Estimate(weight_by_image=weights)}
    )
    return executor, shard.interference_model


def test_calm_work_keeps_its_speed_beside_work_that_disturbs():
    """Guards against calm work that waits for what others cause."""
    executor, learned = executor_beside("press", "press")
    made = capacity_forecast.forecast(executor, learned, 0.0)
    assert made.pace(builders.copy_step(builders.FILLING, image="calm")) == 1.0
    assert made.pace(builders.FILLING) < 1.0


def test_pace_falls_with_each_run_that_disturbs():
    """Guards against a step whose tasks all go where the first one fits."""
    paces = [
        capacity_forecast.forecast(*executor_beside(*["press"] * count), 0.0).pace(
            builders.FILLING
        )
        for count in range(4)
    ]
    assert paces == sorted(paces, reverse=True)
    assert paces[3] < paces[0]


def test_outlook_is_made_again_after_a_placement_and_when_it_is_old():
    """Guards against tasks that all see the room of the first one."""
    executor, learned = executor_beside()
    outlooks = capacity_forecast.ForecastCache()
    first = outlooks.of(executor, learned, 0.0)
    assert outlooks.of(executor, learned, capacity_forecast.MAX_AGE_S / 2) is first
    assert outlooks.of(executor, learned, capacity_forecast.MAX_AGE_S * 2) is not first
    second = outlooks.of(executor, learned, capacity_forecast.MAX_AGE_S * 2)
    outlooks.drop("x0")
    assert outlooks.of(executor, learned, capacity_forecast.MAX_AGE_S * 2) is not second
