"""How much filling work raises the utilization of serving work beside it.

The response times of a queue grow as ``1 / (1 - utilization)``, so a tail that
is a multiple of its target says little about how much work causes it. Tails
are therefore turned into utilizations, which add up: that of the serving
task's own users, and a weight for each core of a filling image. Most pairs of
images do not disturb each other at all.

The load of a task's own users swings by more than a filling task adds, but
alike at all tasks of a job, which stand beside different filling work. Each
look therefore corrects both the job's load and the weights, each as far as it
is uncertain: a Kalman filter whose blocks, the load and each weight, are taken
for independent. With all covariances the errors are the same and a look costs
ten times as much.
"""

import dataclasses
from collections.abc import Mapping

from limpetstream.workflow import load_forecast

DEFAULT_IDLE_TAIL = 0.3  # Highest share of the target that counts as an idle tail.
MIN_IDLE_TAIL = 0.02  # Tails are reported in whole milliseconds, so 0 may come.
DEFAULT_PEAK = 0.55  # Utilization at its highest, before any report.
# The peak follows the reports: one in twenty may be above it.
PEAK_STEP_UP = 0.01
PEAK_STEP_DOWN = PEAK_STEP_UP / 19
TAIL_LIMIT = 0.85  # Share of the target that work is placed and paced for.
DEFAULT_WEIGHT = 0.008  # Utilization added by a core, of a pair never seen.
# Weights of pairs without effect were learned as -0.005 to 0.005, those of
# the others as 0.015 to 0.06, on both of the users' deployments.
MIN_RELEVANT_WEIGHT = 0.006
UNKNOWN_WEIGHT_VARIANCE = 0.0004  # Of a weight that is not known: 0.02 squared.
RESTORED_WEIGHT_VARIANCE = 0.00008  # Of a weight that an earlier owner has learned.
REPORT_VARIANCE = 0.006  # Of one report: errors of 0.06 to 0.08 remain.
KNOWN_WEIGHT_VARIANCE = 0.0001  # Two reports beside a whole task leave less.
MIN_CORES = 0.3  # Less in use tells nothing of a weight.
PROBE_DURATION_S = 1.5  # Until a run that has just started shows in the reports.
FORGETTING_FACTOR = 0.998  # Halves what a report tells after 350 further ones.
REPORT_LAG_S = 0.25  # A report is the mean of the last half second.


@dataclasses.dataclass(slots=True)
class Estimate:
    """What is known of one serving image.

    Args:
        idle: Lowest tail seen, as a share of the target.
        peak: Utilization without filling work that few reports exceed.
        weight_by_image: Utilization added by a core, by filling image.
    """

    idle: float = DEFAULT_IDLE_TAIL
    peak: float = DEFAULT_PEAK
    weight_by_image: dict[str, float] = dataclasses.field(default_factory=dict)


class InterferenceModel:
    """What has been learned of the images of one deployment."""

    def __init__(self) -> None:
        self._load_by_job: dict[str, load_forecast.LoadForecast] = {}
        self._estimate_by_serving: dict[str, Estimate] = {}
        self._variance_by_serving: dict[str, dict[str, float]] = {}
        self._probed_at_by_pair: dict[tuple[str, str], float] = {}

    def utilization(self, serving: str, tail: float) -> float:
        """Return the utilization, from 0 to 1, that explains a tail.

        Args:
            serving: Image of the serving task.
            tail: Tail as a share of its target.

        >>> round(InterferenceModel().utilization("desk", 1.0), 3)
        0.7
        """
        idle = self._estimate(serving).idle
        return 1.0 - idle / max(idle, tail)

    def limit(self, serving: str) -> float:
        """Return the utilization up to which the tail is below its target."""
        return self.utilization(serving, TAIL_LIMIT)

    def peak(self, serving: str) -> float:
        """Return the utilization that the task's own users reach at times."""
        return self._estimate(serving).peak

    def weight(self, serving: str, filling: str) -> float:
        """Return the utilization that one core of a filling image adds."""
        weight_by_image = self._estimate(serving).weight_by_image
        return max(0.0, weight_by_image.get(filling, DEFAULT_WEIGHT))

    def weights(self, serving: str) -> Mapping[str, float]:
        """Return the known weights of a serving image, by filling image."""
        return self._estimate(serving).weight_by_image

    def slows(self, serving: str, filling: str) -> bool:
        """Return whether slowing a filling image would help a serving one."""
        return self.weight(serving, filling) >= MIN_RELEVANT_WEIGHT

    def added_utilization(
        self, serving: str, cores_by_image: Mapping[str, float]
    ) -> float:
        """Return the utilization that filling work adds.

        >>> model = InterferenceModel()
        >>> round(model.added_utilization("desk", {"batch": 5.0}), 3)
        0.04
        """
        return sum(
            self.weight(serving, filling) * cores
            for filling, cores in cores_by_image.items()
        )

    def may_probe(self, serving: str, filling: str, now: float) -> bool:
        """Return whether a pair is known, or no other run tries it out."""
        variance_by_image = self._variance_by_serving.get(serving, {})
        if (
            variance_by_image.get(filling, UNKNOWN_WEIGHT_VARIANCE)
            < KNOWN_WEIGHT_VARIANCE
        ):
            return True
        probed_at = self._probed_at_by_pair.get((serving, filling))
        return probed_at is None or now - probed_at > PROBE_DURATION_S

    def note_probe(self, serving: str, filling: str, now: float) -> None:
        """Note that a filling run begins beside a serving one."""
        self._probed_at_by_pair[serving, filling] = now

    def note_tail(self, serving: str, tail: float) -> None:
        """Note a reported tail, as a share of its target."""
        estimate = self._estimate(serving)
        estimate.idle = min(estimate.idle, max(MIN_IDLE_TAIL, tail))

    def note_baseline(self, serving: str, utilization: float) -> None:
        """Note a utilization without filling work."""
        estimate = self._estimate(serving)
        if utilization > estimate.peak:
            estimate.peak += PEAK_STEP_UP
        else:
            estimate.peak -= PEAK_STEP_DOWN

    def user_load(self, job_id: str) -> load_forecast.LoadForecast | None:
        """Return the load of a job's own users; None while it is uncertain."""
        load = self._load_by_job.get(job_id)
        return load if load is not None and load.is_reliable(load.seen_at) else None

    def observe(
        self,
        job_id: str,
        serving: str,
        utilization: float,
        cores_by_image: Mapping[str, float],
        now: float,
    ) -> None:
        """Learn from the report of a job's tasks on one executor.

        Args:
            job_id: Job of the serving tasks.
            serving: Image of the serving tasks.
            utilization: Mean utilization of these tasks.
            cores_by_image: Cores in use beside them, by filling image.
            now: Monotonic time of the report.
        """
        covered = now - REPORT_LAG_S
        load = self._load_by_job.get(job_id)
        if load is None:
            load = self._load_by_job[job_id] = load_forecast.LoadForecast(covered)
        weight_by_image = self._estimate(serving).weight_by_image
        variance_by_image = self._variance_by_serving.setdefault(serving, {})
        gains, variance = load.project_covariance(covered)
        variance += REPORT_VARIANCE
        error = utilization - load.predict(covered)
        spread_by_image: dict[str, float] = {}
        for image, cores in cores_by_image.items():
            if cores <= MIN_CORES:
                continue
            if image not in variance_by_image:
                weight_by_image.setdefault(image, DEFAULT_WEIGHT)
                variance_by_image[image] = UNKNOWN_WEIGHT_VARIANCE
            spread = spread_by_image[image] = variance_by_image[image] * cores
            variance += spread * cores
            error -= weight_by_image[image] * cores
        load.update(gains, error, variance, covered)
        for image, spread in spread_by_image.items():
            weight_by_image[image] += spread * error / variance
            left = variance_by_image[image] - spread * spread / variance
            # Forgetting must not grow what is never reported.
            variance_by_image[image] = min(
                UNKNOWN_WEIGHT_VARIANCE, left / FORGETTING_FACTOR
            )

    def forget_job(self, job_id: str) -> None:
        """Drop the load of a job that has ended."""
        self._load_by_job.pop(job_id, None)

    def dump(self) -> dict[str, Estimate]:
        """Return what is known by serving image, to be stored."""
        return self._estimate_by_serving

    def load(self, estimate_by_serving: dict[str, Estimate]) -> None:
        """Start from what was stored; it may have become less certain."""
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
