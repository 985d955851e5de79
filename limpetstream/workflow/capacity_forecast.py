"""Forecasts what best-effort work can expect on one executor.

A forecast covers the next seconds. It holds the CPU that other work leaves
unused and how far best-effort work can run without overloading the serving
work beside it.
"""

import dataclasses
from collections.abc import Mapping

from limpetstream.executors import tracking
from limpetstream.workflow import interference, load_forecast, messages

# Offsets from now at which the load of serving work is predicted. Together
# they cover about the run of one task.
SAMPLE_OFFSETS_S = (0.3, 1.0, 1.7, 2.4)
# Share of its reserved CPU that serving work uses while its load is unknown.
DEFAULT_UTILIZATION = 0.6
MIN_CORES = 0.001  # Avoids a division by zero for tasks that request no CPU.
MAX_FORECAST_AGE_S = 0.1  # Predicted loads change by at most 0.015 in this time.


@dataclasses.dataclass(slots=True)
class ServingLoad:
    """Serving work of one image on an executor.

    Args:
        weight_by_image: Utilization that one core adds, by best-effort image.
        headrooms: Utilization that best-effort work may add, at each sample
            offset.
        lowest_headroom: Lowest of them; set once they are final.
        calm_margin: Part of the headroom that is left free where a task can
            wait for a better place.
        added_utilization: Utilization that the best-effort work on the
            executor adds at full speed.
    """

    weight_by_image: Mapping[str, float]
    headrooms: list[float]
    calm_margin: float = 0.0
    added_utilization: float = 0.0
    lowest_headroom: float = float("-inf")


@dataclasses.dataclass(slots=True)
class CapacityForecast:
    """What best-effort work can expect on one executor.

    Args:
        computed_at: Monotonic time to which the sample offsets are added.
        spare_cores: Cores that other work leaves to all best-effort work.
        best_effort_cores: Cores that the best-effort work on the executor
            uses at full speed.
        serving_loads: Serving work on the executor, one entry for each image.
    """

    computed_at: float
    spare_cores: float
    best_effort_cores: float
    serving_loads: list[ServingLoad]

    def cpu_share(self, step: messages.Step) -> float:
        """Return the share, up to 1, of its CPU that one more task gets."""
        cores = max(MIN_CORES, step.cpu_millicores / 1000)
        return min(1.0, self.spare_cores / (self.best_effort_cores + cores))

    def pace(self, step: messages.Step, *, calm: bool = False) -> float:
        """Return the share of its speed, up to 1, that one more task can keep.

        A task is slowed down while it would bring serving work over its
        utilization limit.

        Args:
            step: Step of the task.
            calm: Whether to leave the margin free that covers errors of the
                forecast. Beside images that it has not run with, a task is
                tried without it.
        """
        cores = max(MIN_CORES, step.cpu_millicores / 1000)
        lowest_paces = None
        for serving in self.serving_loads:
            weight = serving.weight_by_image.get(
                step.image, interference.DEFAULT_WEIGHT
            )
            if weight < interference.MIN_RELEVANT_WEIGHT:
                continue
            added = serving.added_utilization + weight * cores
            is_known = step.image in serving.weight_by_image
            margin = serving.calm_margin if calm and is_known else 0.0
            if serving.lowest_headroom - margin >= added:
                continue  # Full speed at each sample offset.
            paces = [
                min(1.0, max(0.0, headroom - margin) / added)
                for headroom in serving.headrooms
            ]
            lowest_paces = (
                paces if lowest_paces is None else list(map(min, lowest_paces, paces))
            )
        return 1.0 if lowest_paces is None else sum(lowest_paces) / len(lowest_paces)


class ForecastCache:
    """Recent forecasts, by executor."""

    def __init__(self) -> None:
        self._forecast_by_executor: dict[str, CapacityForecast] = {}

    def get(
        self,
        executor: tracking.Executor,
        model: interference.InterferenceModel,
        now: float,
    ) -> CapacityForecast:
        """Return a forecast that is at most ``MAX_FORECAST_AGE_S`` old.

        Args:
            executor: Executor.
            model: How images slow each other down on one executor.
            now: Monotonic time.
        """
        executor_id = executor.listing.executor_id
        cached = self._forecast_by_executor.get(executor_id)
        if cached is None or now - cached.computed_at > MAX_FORECAST_AGE_S:
            cached = self._forecast_by_executor[executor_id] = forecast(
                executor, model, now
            )
        return cached

    def drop(self, executor_id: str) -> None:
        """Discard the forecast of an executor that has been given a run."""
        self._forecast_by_executor.pop(executor_id, None)


def forecast(
    executor: tracking.Executor, model: interference.InterferenceModel, now: float
) -> CapacityForecast:
    """Return the forecast of an executor.

    Args:
        executor: Executor.
        model: How images slow each other down on one executor.
        now: Monotonic time.
    """
    serving_by_image: dict[str, ServingLoad] = {}
    used = executor.reserved_millicores / 1000
    phases = load_forecast.phases(now + offset for offset in SAMPLE_OFFSETS_S)
    for run in executor.serving_runs():
        image, limit = run.task.step.image, model.limit(run.task.step.image)
        load = model.user_load(run.task.job.submission.job_id)
        cores = run.task.step.cpu_millicores / 1000
        if load is None:
            headrooms = [limit - model.peak(image)] * len(SAMPLE_OFFSETS_S)
            used -= (1 - DEFAULT_UTILIZATION) * cores
        else:
            loads = load.predict_at_phases(phases)
            headrooms = [limit - predicted for predicted in loads]
            used -= (1 - min(1.0, max(0.0, sum(loads) / len(loads)))) * cores
        serving = serving_by_image.get(image)
        if serving is None:
            serving_by_image[image] = ServingLoad(
                model.weights(image), headrooms, model.calm_margin(image)
            )
        else:
            serving.headrooms = list(map(min, serving.headrooms, headrooms))
    cores_by_image: dict[str, float] = {}
    for run in executor.best_effort_runs():
        image = run.task.step.image
        cores = run.task.step.cpu_millicores / 1000
        cores_by_image[image] = cores_by_image.get(image, 0.0) + cores
    for image, serving in serving_by_image.items():
        serving.added_utilization = model.added_utilization(image, cores_by_image)
        serving.lowest_headroom = min(serving.headrooms)
    return CapacityForecast(
        now,
        executor.listing.capacity.cpu_millicores / 1000 - used,
        executor.best_effort_millicores / 1000,
        list(serving_by_image.values()),
    )
