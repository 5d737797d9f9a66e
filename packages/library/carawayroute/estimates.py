"""Run times learnt per kind, since declared ones are far off."""

SMOOTHING = 0.1


class RunTimes:
    """Learn the mean run time of each key from observations.

    :param default_ms: estimate of a key that has not been observed.
    """

    __slots__ = ("_mean_ms_by_key", "default_ms")

    def __init__(self, default_ms: float = 1000.0) -> None:
        self.default_ms = default_ms
        self._mean_ms_by_key: dict[str, float] = {}

    def observe(self, key: str, run_ms: float) -> None:
        """Count one finished run."""
        mean_ms = self._mean_ms_by_key.get(key)
        if mean_ms is None:
            self._mean_ms_by_key[key] = run_ms
        else:
            self._mean_ms_by_key[key] = mean_ms + SMOOTHING * (run_ms - mean_ms)

    def expect_ms(self, key: str, fallback_ms: float | None = None) -> float:
        """Return the expected run time of a key."""
        fallback_ms = self.default_ms if fallback_ms is None else fallback_ms
        return self._mean_ms_by_key.get(key, fallback_ms)
