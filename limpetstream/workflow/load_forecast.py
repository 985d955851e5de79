"""Load of a serving job's own users, followed and predicted.

The load swings within seconds around a mean. It is followed as the mean and
one oscillation by a Kalman filter. Between two reports the state returns to
its usual value within some seconds (an Ornstein-Uhlenbeck process), so that
the period need not be known well: over such a time an oscillation of a similar
period fits.
"""

import dataclasses
import math

# Periods of the users' deployments are 10 and 14 s; with the memory below,
# 12 s leaves about the same errors there as the true ones.
PERIOD_S = 12.0
# Predictions 0.6 s ahead differed least from reports of both deployments with
# 8 and 12 s (by 0.09, of which 0.07 is the reports' own error).
DECAY_TIME_S = 8.0
PRIOR_MEAN = 0.44  # Utilization; 0.42 to 0.49 was seen on both deployments.
PRIOR_MEAN_VARIANCE = 0.005  # 0.07 squared, from the same reports.
PRIOR_AMPLITUDE_VARIANCE = 0.025  # 0.16 squared: amplitudes of 0.2 to 0.25 were seen.
RELIABLE_VARIANCE = 0.006  # A prediction with less comes close to the reports' noise.

Vector = tuple[float, float, float]


@dataclasses.dataclass(slots=True)
class LoadForecast:
    """Utilization that the users of one serving job cause.

    Args:
        seen_at: Monotonic time of the newest report.
        state: Mean, and the amplitudes of the sine and of the cosine.
        covariance: Upper triangle of its covariance, row by row.
    """

    seen_at: float
    state: Vector = (PRIOR_MEAN, 0.0, 0.0)
    covariance: tuple[float, float, float, float, float, float] = (
        PRIOR_MEAN_VARIANCE,
        0.0,
        0.0,
        PRIOR_AMPLITUDE_VARIANCE,
        0.0,
        PRIOR_AMPLITUDE_VARIANCE,
    )

    def predict(self, time: float) -> float:
        """Return the utilization that is expected at a monotonic time.

        >>> LoadForecast(0.0).predict(5.0)
        0.44
        """
        mean, sine, cosine = self.state
        angle = _angle(time)
        return mean + sine * math.sin(angle) + cosine * math.cos(angle)

    def predict_max(self, since: float, until: float) -> float:
        """Return the highest utilization expected between two times."""
        mean, sine, cosine = self.state
        angle = math.atan2(sine, cosine)  # Of the crest.
        begin, end = _angle(since), _angle(until)
        if (angle - begin) % math.tau <= end - begin:
            return mean + math.hypot(sine, cosine)
        return max(self.predict(since), self.predict(until))

    def project_covariance(self, time: float) -> tuple[Vector, float]:
        """Return covariance times input, and the variance of a prediction."""
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
        """Return whether predictions can be relied on."""
        return self.project_covariance(time)[1] < RELIABLE_VARIANCE

    def update(self, gains: Vector, error: float, variance: float, time: float) -> None:
        """Apply one report.

        Args:
            gains: What ``project_covariance`` returned.
            error: Report less prediction.
            variance: Variance of the error.
            time: Monotonic time of the report.
        """
        first, second, third = gains
        scale = error / variance
        mean, sine, cosine = self.state
        a, b, c, d, e, f = self.covariance
        kept = math.exp(-max(0.0, time - self.seen_at) / DECAY_TIME_S)
        self.seen_at = time
        self.state = (
            PRIOR_MEAN + kept * (mean + first * scale - PRIOR_MEAN),
            kept * (sine + second * scale),
            kept * (cosine + third * scale),
        )
        kept *= kept
        self.covariance = (
            kept * (a - first * first / variance) + (1 - kept) * PRIOR_MEAN_VARIANCE,
            kept * (b - first * second / variance),
            kept * (c - first * third / variance),
            kept * (d - second * second / variance)
            + (1 - kept) * PRIOR_AMPLITUDE_VARIANCE,
            kept * (e - second * third / variance),
            kept * (f - third * third / variance)
            + (1 - kept) * PRIOR_AMPLITUDE_VARIANCE,
        )


def _angle(time: float) -> float:
    return math.tau * time / PERIOD_S
