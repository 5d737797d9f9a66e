"""Prometheus metrics of an instance on the platform."""

from collections.abc import Callable, Iterator, Mapping

from aiohttp import web
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from carawayrouted.metrics import LATENCY_BUCKETS_S


class LabelledCounts(Collector):
    """A counter with labels whose values are read on each scrape.

    :param labels: names of the labels.
    :param read: returns the counts, keyed by the labels' values.
    """

    __slots__ = ("_labels", "_name", "_read", "_text")

    def __init__(
        self,
        name: str,
        text: str,
        labels: tuple[str, ...],
        read: Callable[[], Mapping[tuple[str, ...], int]],
    ) -> None:
        self._name = name
        self._text = text
        self._labels = labels
        self._read = read

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Yield the counter with its current values."""
        family = CounterMetricFamily(self._name, self._text, labels=self._labels)
        for values, count in sorted(self._read().items()):
            family.add_metric(values, count)
        yield family


class FleetMetrics:
    """Counters, gauges and latency histograms in a separate registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "carawayroute_calls",
            "Answered calls of callers.",
            ["method", "status"],
            registry=self.registry,
        )
        self.call_seconds = Histogram(
            "carawayroute_call_seconds",
            "Time from a call's arrival to its answer.",
            ["method"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )

    def count_call(self, method: str, status: int, duration_ms: float) -> None:
        """Count an answered call."""
        self.requests.labels(method, str(status)).inc()
        self.call_seconds.labels(method).observe(duration_ms / 1000)

    def gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read on each scrape."""
        Gauge(f"carawayroute_{name}", text, registry=self.registry).set_function(read)

    def counts(
        self, name: str, text: str, label: str, read: Callable[[], Mapping[str, int]]
    ) -> None:
        """Add a counter by label whose values are read on each scrape."""
        self.counts_by_labels(
            name, text, (label,), lambda: {(value,): count for value, count in read().items()}
        )

    def counts_by_labels(
        self,
        name: str,
        text: str,
        labels: tuple[str, ...],
        read: Callable[[], Mapping[tuple[str, ...], int]],
    ) -> None:
        """Add a counter by several labels whose values are read on each scrape."""
        self.registry.register(LabelledCounts(f"carawayroute_{name}", text, labels, read))

    async def show(self, request: web.BaseRequest) -> web.Response:
        """Return the metrics in the text format."""
        return web.Response(body=generate_latest(self.registry), content_type="text/plain")
