"""Tests of the forecasts for best-effort work, without a network."""

from limpetstream.shard.tests import builders
from limpetstream.workflow import capacity_forecast, interference
from standins import virtual_time

WEIGHT = 0.03


def make_executor(*best_effort_images):
    """Return an executor with sensitive serving work, and the model of it."""
    shard = builders.make_shard(virtual_time.Loop())
    executor = shard.executor_by_id["x0"]
    step = builders.copy_step(builders.SERVING, count=4, image="frail")
    for task in builders.make_tasks(shard, step, queue="desk"):
        builders.start_run(executor, task, load=8.0)
    for image in best_effort_images:
        step = builders.copy_step(builders.BEST_EFFORT, image=image)
        builders.start_run(executor, builders.make_tasks(shard, step)[0])
    weights = {"press": WEIGHT, "calm": 0.001}
    shard.interference_model.load(
        {"frail": interference.Estimate(weight_by_image=weights)}
    )
    return executor, shard.interference_model


def test_harmless_work_keeps_its_pace_beside_work_that_slows_serving():
    """Guards against harmless work that waits because of other work."""
    executor, model = make_executor("press", "press")
    forecast = capacity_forecast.forecast(executor, model, 0.0)
    assert forecast.pace(builders.copy_step(builders.BEST_EFFORT, image="calm")) == 1.0
    assert forecast.pace(builders.BEST_EFFORT) < 1.0


def test_pace_falls_with_each_run_that_slows_serving():
    """Guards against placing all tasks of a step where the first one fits."""
    paces = [
        capacity_forecast.forecast(*make_executor(*["press"] * count), 0.0).pace(
            builders.BEST_EFFORT
        )
        for count in range(4)
    ]
    assert paces == sorted(paces, reverse=True)
    assert paces[3] < paces[0]


def test_forecast_is_renewed_after_a_placement_and_when_it_is_old():
    """Guards against tasks that all see the capacity of the first one."""
    executor, model = make_executor()
    cache = capacity_forecast.ForecastCache()
    first = cache.get(executor, model, 0.0)
    assert cache.get(executor, model, capacity_forecast.MAX_FORECAST_AGE_S / 2) is first
    assert (
        cache.get(executor, model, capacity_forecast.MAX_FORECAST_AGE_S * 2)
        is not first
    )
    second = cache.get(executor, model, capacity_forecast.MAX_FORECAST_AGE_S * 2)
    cache.drop("x0")
    assert (
        cache.get(executor, model, capacity_forecast.MAX_FORECAST_AGE_S * 2)
        is not second
    )
