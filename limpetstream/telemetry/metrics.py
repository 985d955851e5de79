"""Counters and gauges, exported in the Prometheus text format."""

import dataclasses

import prometheus_client


@dataclasses.dataclass(slots=True)
class Metrics:
    """Counters and gauges of one process, created at their first use.

    The first use of a metric determines the names of its labels.

    Args:
        registry: Registry of the Prometheus client.
        counter_by_name: Counters; names lack the prefix ``limpetstream_``.
        gauge_by_name: Gauges, named likewise.
    """

    registry: prometheus_client.CollectorRegistry = dataclasses.field(
        default_factory=prometheus_client.CollectorRegistry
    )
    counter_by_name: dict[str, prometheus_client.Counter] = dataclasses.field(
        default_factory=dict
    )
    gauge_by_name: dict[str, prometheus_client.Gauge] = dataclasses.field(
        default_factory=dict
    )

    def increment(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add an amount to a counter."""
        counter = self.counter_by_name.get(name)
        if counter is None:
            counter = prometheus_client.Counter(
                f"limpetstream_{name}", name, sorted(labels), registry=self.registry
            )
            self.counter_by_name[name] = counter
        (counter.labels(**labels) if labels else counter).inc(amount)

    def set(self, name: str, value: float, **labels: str) -> None:
        """Set the value of a gauge."""
        gauge = self.gauge_by_name.get(name)
        if gauge is None:
            gauge = prometheus_client.Gauge(
                f"limpetstream_{name}", name, sorted(labels), registry=self.registry
            )
            self.gauge_by_name[name] = gauge
        (gauge.labels(**labels) if labels else gauge).set(value)

    def counter_values(self, name: str) -> list[tuple[dict[str, str], float]]:
        """Return the labels and value of each time series of a counter."""
        counter = self.counter_by_name.get(name)
        if counter is None:
            return []
        return [
            (dict(sample.labels), sample.value)
            for family in counter.collect()
            for sample in family.samples
            if sample.name.endswith("_total")
        ]

    def scrape(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
