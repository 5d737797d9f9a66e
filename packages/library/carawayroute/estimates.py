"""Run times learnt per kind, since declared ones are far off."""

SMOOTHING_FACTOR = 0.1
# Deviations above the mean within which nearly all runs end.
BOUND_DEVIATIONS = 2.0


class _Estimate:
    __slots__ = ("deviation_ms", "mean_ms")

    def __init__(self, run_ms: float) -> None:
        self.mean_ms = run_ms
        self.deviation_ms = run_ms / 2


class RunTimeEstimator:
    """Learn the mean run time of each key, and how far runs lie from it, from observations.

    :param default_ms: estimate of a key that has not been observed.
    """

    __slots__ = ("_estimate_by_key", "default_ms")

    def __init__(self, default_ms: float = 1000.0) -> None:
        self.default_ms = default_ms
        self._estimate_by_key: dict[str, _Estimate] = {}

    def observe(self, key: str, run_ms: float) -> None:
        """Count one finished run."""
        estimate = self._estimate_by_key.get(key)
        if estimate is None:
            self._estimate_by_key[key] = _Estimate(run_ms)
            return
        error_ms = run_ms - estimate.mean_ms
        estimate.mean_ms += SMOOTHING_FACTOR * error_ms
        estimate.deviation_ms += SMOOTHING_FACTOR * (abs(error_ms) - estimate.deviation_ms)

    def expect_ms(self, key: str, fallback_ms: float | None = None) -> float:
        """Return the expected run time of a key."""
        estimate = self._estimate_by_key.get(key)
        if estimate is None:
            return self.default_ms if fallback_ms is None else fallback_ms
        return estimate.mean_ms

    def bound_ms(self, key: str, fallback_ms: float | None = None) -> float:
        """Return the time within which nearly all runs of a key end."""
        estimate = self._estimate_by_key.get(key)
        if estimate is None:
            return self.expect_ms(key, fallback_ms)
        return estimate.mean_ms + BOUND_DEVIATIONS * estimate.deviation_ms
