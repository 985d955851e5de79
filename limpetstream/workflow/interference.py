"""Learns how much best-effort work raises the utilization of serving work.

Response times of a queue grow as ``1 / (1 - utilization)``, so a tail latency
that is a multiple of its target says little about how much work causes it.
Tail latencies are therefore converted to utilizations, which add up: the user
load of the serving job, and a weight for each core of a best-effort image.
Most pairs of images do not slow each other down at all.

The user load of a job oscillates by more than one best-effort task adds.
However, it does so equally at all tasks of the job, and these run beside
different best-effort work. Each report therefore corrects both the job's user
load and the weights, each in proportion to its uncertainty. This is a Kalman
filter that treats the load and each weight as independent blocks. With all
covariances, the errors are the same and a report costs ten times as much.
"""

import dataclasses
from collections.abc import Mapping

from limpetstream.workflow import load_forecast

# Tail latencies are given as shares of their target.
DEFAULT_IDLE_TAIL = 0.3  # Tail latency of an idle task, until a lower one is seen.
MIN_IDLE_TAIL = 0.02  # Reports are in whole milliseconds, so 0 is possible.
DEFAULT_PEAK = 0.55  # Peak utilization before any report.
# With these steps the peak settles where one report in twenty is above it.
PEAK_STEP_UP = 0.01
PEAK_STEP_DOWN = PEAK_STEP_UP / 19
TAIL_LIMIT = 0.85  # Tail latency up to which work is placed and paced.
# For work that need not be placed soon. Predictions of the utilization have an
# error of 0.07, which is about the distance from this limit to the target.
CALM_TAIL_LIMIT = 0.7
DEFAULT_WEIGHT = 0.008  # Utilization that a core adds, for an unknown pair.
# On both of the users' deployments, the learned weights of pairs without
# effect are -0.005 to 0.005, and those of other pairs 0.015 to 0.06.
MIN_RELEVANT_WEIGHT = 0.006
UNKNOWN_WEIGHT_VARIANCE = 0.0004  # 0.02 squared.
RESTORED_WEIGHT_VARIANCE = 0.00008  # Of a weight that an earlier owner learned.
REPORT_VARIANCE = 0.006  # One report has an error of 0.06 to 0.08.
KNOWN_WEIGHT_VARIANCE = 0.0001  # Two reports beside a whole task leave less.
MIN_CORES = 0.3  # Fewer cores in use are not evidence for a weight.
PROBE_DURATION_S = 1.5  # Time until a new run shows in the reports.
FORGETTING_FACTOR = 0.998  # Halves the influence of a report after 350 others.
REPORT_LAG_S = 0.25  # A report is the mean of the last half second.


@dataclasses.dataclass(slots=True)
class Estimate:
    """What has been learned about one serving image.

    Args:
        idle: Lowest reported tail latency, as a share of the target.
        peak: Utilization that few reports without best-effort work exceed.
        weight_by_image: Utilization that one core adds, by best-effort image.
    """

    idle: float = DEFAULT_IDLE_TAIL
    peak: float = DEFAULT_PEAK
    weight_by_image: dict[str, float] = dataclasses.field(default_factory=dict)


class InterferenceModel:
    """What has been learned about the images of one deployment."""

    def __init__(self) -> None:
        self._load_by_job: dict[str, load_forecast.LoadForecast] = {}
        self._estimate_by_serving: dict[str, Estimate] = {}
        self._variance_by_serving: dict[str, dict[str, float]] = {}
        self._probed_at_by_pair: dict[tuple[str, str], float] = {}

    def utilization(self, serving: str, tail: float) -> float:
        """Return the utilization, from 0 to 1, that explains a tail latency.

        Args:
            serving: Image of the serving task.
            tail: Tail latency as a share of its target.

        >>> round(InterferenceModel().utilization("desk", 1.0), 3)
        0.7
        """
        idle = self._estimate(serving).idle
        return 1.0 - idle / max(idle, tail)

    def limit(self, serving: str) -> float:
        """Return the utilization that corresponds to ``TAIL_LIMIT``."""
        idle = self._estimate(serving).idle
        return 1.0 - idle / (idle if idle > TAIL_LIMIT else TAIL_LIMIT)

    def calm_margin(self, serving: str) -> float:
        """Return by how much the limit for calm placement is lower."""
        calm = self.utilization(serving, CALM_TAIL_LIMIT)
        return self.limit(serving) - calm

    def peak(self, serving: str) -> float:
        """Return the utilization that user load alone rarely exceeds."""
        return self._estimate(serving).peak

    def weight(self, serving: str, best_effort: str) -> float:
        """Return the utilization that one core of a best-effort image adds."""
        weight_by_image = self._estimate(serving).weight_by_image
        return max(0.0, weight_by_image.get(best_effort, DEFAULT_WEIGHT))

    def weights(self, serving: str) -> Mapping[str, float]:
        """Return the known weights beside an image, by best-effort image."""
        return self._estimate(serving).weight_by_image

    def is_slowed_by(self, serving: str, best_effort: str) -> bool:
        """Return whether a serving image is slowed by a best-effort image."""
        return self.weight(serving, best_effort) >= MIN_RELEVANT_WEIGHT

    def added_utilization(
        self, serving: str, cores_by_image: Mapping[str, float]
    ) -> float:
        """Return the utilization that best-effort work adds.

        Args:
            serving: Image of the serving task.
            cores_by_image: Cores in use, by best-effort image.

        >>> model = InterferenceModel()
        >>> round(model.added_utilization("desk", {"batch": 5.0}), 3)
        0.04
        """
        weight_by_image = self._estimate(serving).weight_by_image
        added = 0.0
        for best_effort, cores in cores_by_image.items():
            weight = weight_by_image.get(best_effort, DEFAULT_WEIGHT)
            if weight > 0:
                added += weight * cores
        return added

    def may_probe(self, serving: str, best_effort: str, now: float) -> bool:
        """Return whether a run may start beside a serving image.

        It may if the weight of the pair is known, or if no other run has just
        been started to learn it.
        """
        variance_by_image = self._variance_by_serving.get(serving, {})
        if (
            variance_by_image.get(best_effort, UNKNOWN_WEIGHT_VARIANCE)
            < KNOWN_WEIGHT_VARIANCE
        ):
            return True
        probed_at = self._probed_at_by_pair.get((serving, best_effort))
        return probed_at is None or now - probed_at > PROBE_DURATION_S

    def note_probe(self, serving: str, best_effort: str, now: float) -> None:
        """Record that a best-effort run starts beside a serving run."""
        self._probed_at_by_pair[serving, best_effort] = now

    def note_tail(self, serving: str, tail: float) -> None:
        """Record a reported tail latency, as a share of its target."""
        estimate = self._estimate(serving)
        estimate.idle = min(estimate.idle, max(MIN_IDLE_TAIL, tail))

    def note_baseline(self, serving: str, utilization: float) -> None:
        """Record a reported utilization without best-effort work."""
        estimate = self._estimate(serving)
        if utilization > estimate.peak:
            estimate.peak += PEAK_STEP_UP
        else:
            estimate.peak -= PEAK_STEP_DOWN

    def user_load(self, job_id: str) -> load_forecast.LoadForecast | None:
        """Return the user load of a job; None while it is uncertain."""
        load = self._load_by_job.get(job_id)
        return load if load is not None and load.is_reliable_at_report else None

    def observe(
        self,
        job_id: str,
        serving: str,
        utilization: float,
        cores_by_image: Mapping[str, float],
        now: float,
    ) -> None:
        """Learn from one report of a job's tasks on one executor.

        Args:
            job_id: Job of the serving tasks.
            serving: Image of the serving tasks.
            utilization: Mean utilization of these tasks.
            cores_by_image: Cores in use on the executor, by best-effort image.
            now: Monotonic time of the report.
        """
        measured_at = now - REPORT_LAG_S
        load = self._load_by_job.get(job_id)
        if load is None:
            load = self._load_by_job[job_id] = load_forecast.LoadForecast(measured_at)
        weight_by_image = self._estimate(serving).weight_by_image
        variance_by_image = self._variance_by_serving.setdefault(serving, {})
        gains, variance = load.project_covariance(measured_at)
        variance += REPORT_VARIANCE
        error = utilization - load.predict(measured_at)
        covariance_by_image: dict[str, float] = {}
        for image, cores in cores_by_image.items():
            if cores <= MIN_CORES:
                continue
            if image not in variance_by_image:
                weight_by_image.setdefault(image, DEFAULT_WEIGHT)
                variance_by_image[image] = UNKNOWN_WEIGHT_VARIANCE
            covariance = covariance_by_image[image] = variance_by_image[image] * cores
            variance += covariance * cores
            error -= weight_by_image[image] * cores
        load.update(gains, error, variance, measured_at)
        for image, covariance in covariance_by_image.items():
            weight_by_image[image] += covariance * error / variance
            remaining = variance_by_image[image] - covariance * covariance / variance
            # Without this bound, forgetting would raise the variance without
            # limit while reports carry no information.
            variance_by_image[image] = min(
                UNKNOWN_WEIGHT_VARIANCE, remaining / FORGETTING_FACTOR
            )

    def forget_job(self, job_id: str) -> None:
        """Discard the user load of a job that has ended."""
        self._load_by_job.pop(job_id, None)

    def dump(self) -> dict[str, Estimate]:
        """Return the estimates to store, by serving image."""
        return self._estimate_by_serving

    def load(self, estimate_by_serving: dict[str, Estimate]) -> None:
        """Replace the estimates by stored ones.

        Their weights get ``RESTORED_WEIGHT_VARIANCE`` because they may no
        longer hold.
        """
        self._estimate_by_serving = estimate_by_serving
        self._variance_by_serving = {
            serving: dict.fromkeys(estimate.weight_by_image, RESTORED_WEIGHT_VARIANCE)
            for serving, estimate in estimate_by_serving.items()
        }

    def _estimate(self, serving: str) -> Estimate:
        estimate = self._estimate_by_serving.get(serving)
        if estimate is None:
            estimate = self._estimate_by_serving[serving] = Estimate()
        return estimate
