"""Error-budget burn rates from outcome counts over sliding windows."""

from collections import deque

from carawayroute.clock import Clock

BUCKET_MS = 10_000
WINDOWS_MS = {"5m": 300_000, "1h": 3_600_000, "6h": 21_600_000}


class _Bucket:
    __slots__ = ("bad", "began_ms", "total")

    def __init__(self, began_ms: float) -> None:
        self.began_ms = began_ms
        self.total = 0
        self.bad = 0


class OutcomeCount:
    """Number of outcomes, and of bad outcomes, in a window."""

    __slots__ = ("bad", "total")

    def __init__(self, total: int, bad: int) -> None:
        self.total = total
        self.bad = bad

    def burn_rate(self, objective: float) -> float:
        """Return the burn rate; at 1.0 the error budget lasts exactly one budget period.

        :param objective: target fraction of good outcomes, below 1.
        :return: error rate divided by the error budget; 0 without outcomes.
        """
        if self.total == 0:
            return 0.0
        return self.bad / self.total / (1 - objective)


class BurnRateTracker:
    """Count outcomes by team and kind, in buckets kept for the longest window."""

    __slots__ = ("_buckets_by_key", "_clock")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._buckets_by_key: dict[tuple[str, str], deque[_Bucket]] = {}

    def record(self, team: str, kind: str, good: bool) -> None:
        """Count one outcome for a team and kind."""
        now_ms = self._clock.now_ms()
        buckets = self._buckets_by_key.setdefault((team, kind), deque())
        if not buckets or now_ms - buckets[-1].began_ms >= BUCKET_MS:
            buckets.append(_Bucket(now_ms))
        buckets[-1].total += 1
        buckets[-1].bad += not good
        oldest_ms = now_ms - max(WINDOWS_MS.values())
        while buckets[0].began_ms < oldest_ms:
            buckets.popleft()

    def count_in_window(self, team: str, kind: str, window_ms: float) -> OutcomeCount:
        """Return the outcomes of the last ``window_ms``, at bucket resolution."""
        since_ms = self._clock.now_ms() - window_ms
        buckets = self._buckets_by_key.get((team, kind), ())
        recent = [bucket for bucket in buckets if bucket.began_ms >= since_ms]
        return OutcomeCount(sum(item.total for item in recent), sum(item.bad for item in recent))

    def counted_keys(self) -> list[tuple[str, str]]:
        """Return the (team, kind) pairs with at least one recorded outcome, sorted."""
        return sorted(self._buckets_by_key)
