"""Prometheus metrics of an instance on the platform."""

from collections.abc import Callable

from aiohttp import web
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from carawayrouted.metrics import LATENCY_BUCKETS_S


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

    async def show(self, request: web.BaseRequest) -> web.Response:
        """Return the metrics in the text format."""
        return web.Response(body=generate_latest(self.registry), content_type="text/plain")
