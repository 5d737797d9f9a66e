"""Run-time estimates from observed runs, because declared run times are inaccurate."""

SMOOTHING_FACTOR = 0.1
# Nearly all runs end within this many mean deviations above the mean.
BOUND_DEVIATIONS = 2.0


class _Estimate:
    __slots__ = ("deviation_ms", "mean_ms")

    def __init__(self, run_ms: float) -> None:
        self.mean_ms = run_ms
        self.deviation_ms = run_ms / 2


class RunTimeEstimator:
    """Exponentially weighted mean and mean deviation of run times, by key.

    :param default_ms: estimate for a key without observations.
    """

    __slots__ = ("_estimate_by_key", "default_ms")

    def __init__(self, default_ms: float = 1000.0) -> None:
        self.default_ms = default_ms
        self._estimate_by_key: dict[str, _Estimate] = {}

    def observe(self, key: str, run_ms: float) -> None:
        """Add the run time of a finished run."""
        estimate = self._estimate_by_key.get(key)
        if estimate is None:
            self._estimate_by_key[key] = _Estimate(run_ms)
            return
        error_ms = run_ms - estimate.mean_ms
        estimate.mean_ms += SMOOTHING_FACTOR * error_ms
        estimate.deviation_ms += SMOOTHING_FACTOR * (abs(error_ms) - estimate.deviation_ms)

    def expect_ms(self, key: str, fallback_ms: float | None = None) -> float:
        """Return the mean run time of a key.

        :param fallback_ms: used instead of ``default_ms`` for a key without observations.
        """
        estimate = self._estimate_by_key.get(key)
        if estimate is None:
            return self.default_ms if fallback_ms is None else fallback_ms
        return estimate.mean_ms

    def bound_ms(self, key: str, fallback_ms: float | None = None) -> float:
        """Return an upper bound of the run time that nearly all runs of a key meet.

        :param fallback_ms: as for `expect_ms`.
        """
        estimate = self._estimate_by_key.get(key)
        if estimate is None:
            return self.expect_ms(key, fallback_ms)
        return estimate.mean_ms + BOUND_DEVIATIONS * estimate.deviation_ms
