"""Estimates and predicts the load that the users of a serving job cause.

The user load oscillates around a mean with a period of seconds. A Kalman
filter tracks the mean and one oscillation. Between two reports, its state
decays towards the prior within seconds (an Ornstein-Uhlenbeck process). The
period therefore only needs to be known roughly: over such a short time, an
oscillation of a similar period fits as well.
"""

import dataclasses
import math
from collections.abc import Iterable

# The users' deployments have periods of 10 and 14 s. With the decay time
# below, predictions with 12 s are about as good as with the true periods.
PERIOD_S = 12.0
# With 8 and with 12 s, predictions 0.6 s ahead come closest to the reports of
# both deployments (error 0.09, of which 0.07 is noise of the reports).
DECAY_TIME_S = 8.0
PRIOR_MEAN = 0.44  # Utilization; both deployments have 0.42 to 0.49.
PRIOR_MEAN_VARIANCE = 0.005  # 0.07 squared.
PRIOR_AMPLITUDE_VARIANCE = 0.025  # 0.16 squared; amplitudes are 0.2 to 0.25.
# Below this variance, the error of a prediction is close to the noise of the
# reports.
RELIABLE_VARIANCE = 0.006

Vector = tuple[float, float, float]


@dataclasses.dataclass(slots=True)
class LoadForecast:
    """Kalman filter of the utilization that a serving job's users cause.

    Args:
        reported_at: Monotonic time of the newest report.
        state: Mean, amplitude of the sine and amplitude of the cosine.
        covariance: Upper triangle of the state's covariance, row by row.
        is_reliable_at_report: Whether a prediction for ``reported_at`` is
            reliable.
    """

    reported_at: float
    state: Vector = (PRIOR_MEAN, 0.0, 0.0)
    covariance: tuple[float, float, float, float, float, float] = (
        PRIOR_MEAN_VARIANCE,
        0.0,
        0.0,
        PRIOR_AMPLITUDE_VARIANCE,
        0.0,
        PRIOR_AMPLITUDE_VARIANCE,
    )
    is_reliable_at_report: bool = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Work out what does not change until the next report."""
        self.is_reliable_at_report = self.is_reliable(self.reported_at)

    def predict(self, time: float) -> float:
        """Return the expected utilization at a monotonic time.

        >>> LoadForecast(0.0).predict(5.0)
        0.44
        """
        mean, sine, cosine = self.state
        angle = _angle(time)
        return mean + sine * math.sin(angle) + cosine * math.cos(angle)

    def predict_at_phases(self, phases: list[tuple[float, float]]) -> list[float]:
        """Return the expected utilizations at the times of ``phases``."""
        mean, sine, cosine = self.state
        return [mean + sine * sin + cosine * cos for sin, cos in phases]

    def predict_max(self, since: float, until: float) -> float:
        """Return the highest expected utilization between two times."""
        mean, sine, cosine = self.state
        crest = math.atan2(sine, cosine)
        begin, end = _angle(since), _angle(until)
        if (crest - begin) % math.tau <= end - begin:
            return mean + math.hypot(sine, cosine)
        return max(self.predict(since), self.predict(until))

    def project_covariance(self, time: float) -> tuple[Vector, float]:
        """Project the covariance of the state on a prediction.

        Args:
            time: Monotonic time of the prediction.

        Returns:
            Covariance of each state variable with the prediction, and the
            variance of the prediction.
        """
        a, b, c, d, e, f = self.covariance
        angle = _angle(time)
        sine, cosine = math.sin(angle), math.cos(angle)
        gains = (
            a + b * sine + c * cosine,
            b + d * sine + e * cosine,
            c + e * sine + f * cosine,
        )
        return gains, gains[0] + gains[1] * sine + gains[2] * cosine

    def is_reliable(self, time: float) -> bool:
        """Return whether a prediction for a monotonic time is reliable."""
        return self.project_covariance(time)[1] < RELIABLE_VARIANCE

    def update(self, gains: Vector, error: float, variance: float, time: float) -> None:
        """Correct the state with one report.

        Args:
            gains: Covariances that ``project_covariance`` returned.
            error: Reported utilization minus the predicted one.
            variance: Variance of the error.
            time: Monotonic time of the report.
        """
        first, second, third = gains
        scale = error / variance
        mean, sine, cosine = self.state
        a, b, c, d, e, f = self.covariance
        decay = math.exp(-max(0.0, time - self.reported_at) / DECAY_TIME_S)
        self.reported_at = time
        self.state = (
            PRIOR_MEAN + decay * (mean + first * scale - PRIOR_MEAN),
            decay * (sine + second * scale),
            decay * (cosine + third * scale),
        )
        decay *= decay
        self.covariance = (
            decay * (a - first * first / variance) + (1 - decay) * PRIOR_MEAN_VARIANCE,
            decay * (b - first * second / variance),
            decay * (c - first * third / variance),
            decay * (d - second * second / variance)
            + (1 - decay) * PRIOR_AMPLITUDE_VARIANCE,
            decay * (e - second * third / variance),
            decay * (f - third * third / variance)
            + (1 - decay) * PRIOR_AMPLITUDE_VARIANCE,
        )
        self.is_reliable_at_report = self.is_reliable(time)


def phases(times: Iterable[float]) -> list[tuple[float, float]]:
    """Return sine and cosine of the oscillation's phase at monotonic times.

    >>> LoadForecast(0.0).predict_at_phases(phases([5.0]))
    [0.44]
    """
    angles = [_angle(time) for time in times]
    return [(math.sin(angle), math.cos(angle)) for angle in angles]


def _angle(time: float) -> float:
    """Return the phase of the oscillation, in radians, at a monotonic time."""
    return math.tau * time / PERIOD_S
