"""What filling work can expect on one executor within the next seconds."""

import dataclasses
from collections.abc import Mapping

from limpetstream.executors import tracking
from limpetstream.workflow import interference, messages

# Times from now at which the load of serving work is looked up: together they
# cover about the run of a task.
SAMPLE_OFFSETS_S = (0.3, 1.0, 1.7, 2.4)
DEFAULT_UTILIZATION = 0.6  # Share of its processors that serving work uses, if unknown.
MIN_CORES = 0.001  # A task may ask for no processor at all.
MAX_AGE_S = 0.1  # Loads change by 0.015 in this time at most.


@dataclasses.dataclass(slots=True)
class ServingLoad:
    """Serving work of one image on an executor.

    Args:
        weight_by_image: Utilization that a core adds, by filling image.
        rooms: Utilization that filling work may add, at each sample.
        added: Utilization that the filling work there adds at full speed.
    """

    weight_by_image: Mapping[str, float]
    rooms: list[float]
    added: float = 0.0


@dataclasses.dataclass(slots=True)
class CapacityForecast:
    """What is expected on one executor.

    Args:
        made_at: Monotonic time from which the samples count.
        spare_cores: Cores that other work leaves to all filling work.
        best_effort_cores: Cores that the filling work there would use.
        neighbours: Serving work there.
    """

    made_at: float
    spare_cores: float
    best_effort_cores: float
    neighbours: list[ServingLoad]

    def share(self, step: messages.Step) -> float:
        """Return the part of its processors that one more task would get."""
        cores = max(MIN_CORES, step.cpu_millicores / 1000)
        return min(1.0, self.spare_cores / (self.best_effort_cores + cores))

    def pace(self, step: messages.Step) -> float:
        """Return the part of its speed that one more task could keep.

        It is slowed while it would bring serving work over the limit.
        """
        cores = max(MIN_CORES, step.cpu_millicores / 1000)
        kept = None
        for neighbour in self.neighbours:
            weight = neighbour.weight_by_image.get(
                step.image, interference.DEFAULT_WEIGHT
            )
            if weight < interference.MIN_RELEVANT_WEIGHT:
                continue
            added = neighbour.added + weight * cores
            paces = [min(1.0, max(0.0, left) / added) for left in neighbour.rooms]
            kept = paces if kept is None else list(map(min, kept, paces))
        return 1.0 if kept is None else sum(kept) / len(kept)


class ForecastCache:
    """Outlooks that were made lately, by executor."""

    def __init__(self) -> None:
        self._by_executor: dict[str, CapacityForecast] = {}

    def of(
        self,
        executor: tracking.Executor,
        learned: interference.InterferenceModel,
        now: float,
    ) -> CapacityForecast:
        """Return the outlook of an executor, at most ``MAX_AGE_S`` old."""
        executor_id = executor.listing.executor_id
        known = self._by_executor.get(executor_id)
        if known is None or now - known.made_at > MAX_AGE_S:
            known = self._by_executor[executor_id] = forecast(executor, learned, now)
        return known

    def drop(self, executor_id: str) -> None:
        """Forget an executor on which something was placed."""
        self._by_executor.pop(executor_id, None)


def forecast(
    executor: tracking.Executor, learned: interference.InterferenceModel, now: float
) -> CapacityForecast:
    """Return the outlook of an executor.

    Args:
        executor: Executor.
        learned: What is known of images beside each other.
        now: Monotonic time.
    """
    neighbour_by_image: dict[str, ServingLoad] = {}
    used = executor.reserved_millicores / 1000
    for run in executor.serving_runs():
        image, limit = run.task.step.image, learned.limit(run.task.step.image)
        load = learned.user_load(run.task.job.submission.job_id)
        cores = run.task.step.cpu_millicores / 1000
        if load is None:
            rooms = [limit - learned.peak(image)] * len(SAMPLE_OFFSETS_S)
            used -= (1 - DEFAULT_UTILIZATION) * cores
        else:
            loads = [load.predict(now + sample) for sample in SAMPLE_OFFSETS_S]
            rooms = [limit - each for each in loads]
            used -= (1 - min(1.0, max(0.0, sum(loads) / len(loads)))) * cores
        known = neighbour_by_image.get(image)
        if known is None:
            neighbour_by_image[image] = ServingLoad(learned.weights(image), rooms)
        else:
            known.rooms = list(map(min, known.rooms, rooms))
    cores_by_image: dict[str, float] = {}
    for run in executor.best_effort_runs():
        image = run.task.step.image
        cores = run.task.step.cpu_millicores / 1000
        cores_by_image[image] = cores_by_image.get(image, 0.0) + cores
    for image, neighbour in neighbour_by_image.items():
        neighbour.added = learned.added_utilization(image, cores_by_image)
    return CapacityForecast(
        now,
        executor.listing.capacity.cpu_millicores / 1000 - used,
        executor.best_effort_millicores / 1000,
        list(neighbour_by_image.values()),
    )
