"""Prometheus metrics, served together with health and readiness."""

from collections.abc import Callable

from aiohttp import web
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from carawayroute.burn import WINDOWS_MS, BurnTracker
from carawayroute.clock import Clock

# A cancelled request or job does not count against the service level: its caller asked for it.
GOOD_OUTCOMES = ("done", "cancelled")
LATENCY_BUCKETS_S = (0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 15, 30, 60)


class Metrics:
    """The daemon's metrics in a separate registry."""

    def __init__(self, clock: Clock) -> None:
        self.burn = BurnTracker(clock)
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "carawayroute_requests",
            "Ended requests of callers.",
            ["team", "kind", "outcome"],
            registry=self.registry,
        )
        self.request_seconds = Histogram(
            "carawayroute_request_seconds",
            "Time from a request's arrival to its answer.",
            ["kind"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.bad_requests = Counter(
            "carawayroute_bad_requests",
            "Requests refused for what they ask.",
            ["code"],
            registry=self.registry,
        )
        self.jobs = Counter(
            "carawayroute_jobs",
            "Ended jobs, as read from the log.",
            ["team", "kind", "outcome"],
            registry=self.registry,
        )
        self.peer_bytes = Counter(
            "carawayroute_peer_bytes",
            "Payload bytes of the messages between daemons.",
            ["direction"],
            registry=self.registry,
        )

    def count_outcome(self, counter: Counter, team: str, kind: str, outcome: str) -> None:
        """Count how a request or job ended."""
        counter.labels(team, kind, outcome).inc()
        self.burn.count(team, kind, good=outcome in GOOD_OUTCOMES)

    def burn_view(self) -> list[dict]:
        """Return total and bad outcomes for each team, kind and window."""
        return [
            {"team": team, "kind": kind, "windows": self._windows(team, kind)}
            for team, kind in self.burn.counted()
        ]

    def _windows(self, team: str, kind: str) -> dict[str, dict[str, int]]:
        windows = {}
        for name, window_ms in WINDOWS_MS.items():
            count = self.burn.within(team, kind, window_ms)
            windows[name] = {"total": count.total, "bad": count.bad}
        return windows

    def gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read on each scrape."""
        Gauge(f"carawayroute_{name}", text, registry=self.registry).set_function(read)


def metrics_app(metrics: Metrics, not_ready_reason: Callable[[], str]) -> web.Application:
    """Return the HTTP application of metrics, health and readiness.

    :param not_ready_reason: returns why the instance is not ready, or an empty string if it is.
    """

    async def show(request: web.Request) -> web.Response:
        return web.Response(body=generate_latest(metrics.registry), content_type="text/plain")

    async def health(request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def ready(request: web.Request) -> web.Response:
        reason = not_ready_reason()
        if reason:
            return web.Response(text=reason + "\n", status=503)
        return web.Response(text="ready\n")

    async def burn(request: web.Request) -> web.Response:
        return web.json_response(metrics.burn_view())

    app = web.Application()
    app.router.add_get("/burn", burn)
    app.router.add_get("/metrics", show)
    app.router.add_get("/health", health)
    app.router.add_get("/ready", ready)
    return app
