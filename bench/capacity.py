"""Extrapolate the measurements in capacity_points.csv to the required size of the system.

Prints the figures of the table in docs/CAPACITY.md: memory, processor time, traffic and appends to
the log.
"""

import csv
import pathlib

POINTS = pathlib.Path(__file__).with_name("capacity_points.csv")

# The required size of the system.
WORKERS = 3_200
REGIONS = 4
JOBS_A_DAY = 12_000
OPEN_JOBS = 10_000
CHANGES_A_DAY = 5_600
ENTRIES_A_REGION = 7
SECONDS_A_DAY = 86_400

# Limits for one node.
CORE_PERCENT = 1.3
MEMORY_MB = 128.0
BYTES_PER_SECOND = 4_096.0

# TCP/IP overhead of a packet, and packets in one exchange: request, reply and acknowledgement.
PACKET_BYTES = 60
PACKETS_PER_EXCHANGE = 3


class Point:
    """Measured processor time and memory of one daemon at a given number of jobs and workers."""

    def __init__(self, row: dict[str, str]) -> None:
        self.jobs = int(row["jobs"])
        self.workers = int(row["workers"])
        self.role = row["role"]
        self.core_percent = float(row["core %"])
        self.memory_mb = float(row["resident MB"])


def read_points() -> list[Point]:
    """Return the measurements in capacity_points.csv."""
    with open(POINTS, newline="") as stream:
        return [Point(row) for row in csv.DictReader(stream)]


def fit(pairs: list[tuple[float, float]]) -> tuple[float, float]:
    """Return intercept and slope of the least-squares line through (x, y) pairs."""
    count = len(pairs)
    mean_x = sum(x for x, _ in pairs) / count
    mean_y = sum(y for _, y in pairs) / count
    spread = sum((x - mean_x) ** 2 for x, _ in pairs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread
    return mean_y - slope * mean_x, slope


def main() -> None:
    """Print the extrapolated figures beside their limits."""
    points = read_points()
    region_workers = WORKERS / REGIONS
    for role in ("entry", "planner"):
        role_points = [point for point in points if point.role == role]
        base_mb, per_job = fit([(point.jobs, point.memory_mb) for point in role_points])
        memory_total_mb = base_mb + per_job * OPEN_JOBS
        idle_percent, per_worker = fit(
            [(point.workers, point.core_percent) for point in role_points]
        )
        core_total = idle_percent + per_worker * region_workers
        print(
            f"{role}: memory {base_mb:.1f} MB + {per_job * 1_000:.2f} KB a job"
            f" = {memory_total_mb:.0f} MB at {OPEN_JOBS} jobs ({MEMORY_MB:.0f} allowed)"
        )
        print(
            f"{role}: core {idle_percent:.2f} % + {per_worker:.4f} % a worker"
            f" = {core_total:.1f} % at {region_workers:.0f} workers ({CORE_PERCENT} allowed)"
        )
    peers = ENTRIES_A_REGION - 1
    other_regions = REGIONS - 1
    exchanges = peers / 1.0 + other_regions / 2.0
    overhead_bytes = exchanges * 2 * PACKETS_PER_EXCHANGE * PACKET_BYTES
    print(f"links: {exchanges:.1f} exchanges a second sent, as many answered")
    print(f"links: {overhead_bytes:.0f} B/s of TCP/IP alone ({BYTES_PER_SECOND:.0f} allowed)")
    appends = (JOBS_A_DAY * 3 + CHANGES_A_DAY) / SECONDS_A_DAY
    print(f"log: {appends:.2f} appends a second on a mean day")


if __name__ == "__main__":
    main()
