"""Example deployments, with the addresses of their instances."""

import pathlib

from carawayroute.types import Instance

RUNNERS_PER_DATA_CENTRE = 8
WORKERS_PER_DATA_CENTRE = 8
ENTRIES_PER_DATA_CENTRE = 2
SLOTS = 8
ACCELERATORS = 8


class Deployment:
    """A deployment: the region of each data centre, where the first region hosts the log."""

    __slots__ = ("name", "region_by_data_centre")

    def __init__(self, name: str, region_by_data_centre: dict[str, str]) -> None:
        self.name = name
        self.region_by_data_centre = region_by_data_centre

    @property
    def configuration_file(self) -> pathlib.Path:
        """Return the path of the configuration file that operators publish."""
        root = pathlib.Path(__file__).resolve().parents[3]
        return root / "deployments" / f"{self.name}.yaml"


DEPLOYMENTS_BY_NAME = {
    "deckmali": Deployment("deckmali", {"s1": "south", "s2": "south", "n1": "north"}),
    "cornice": Deployment("cornice", {"v1": "veneto", "v2": "veneto", "l1": "lombardia"}),
}


class Layout:
    """The instances of a deployment, on consecutive ports starting at `first_port`."""

    def __init__(self, deployment: Deployment, first_port: int) -> None:
        self.deployment = deployment
        self._port = first_port
        self.log_port = self._allocate_ports(1)
        self.list_port = self._allocate_ports(1)
        self.runners_by_data_centre: dict[str, list[Instance]] = {}
        self.workers_by_data_centre: dict[str, list[Instance]] = {}
        self.entries: list[Instance] = []
        self.ports_by_entry: dict[str, dict[str, int]] = {}
        for data_centre, region in deployment.region_by_data_centre.items():
            self.runners_by_data_centre[data_centre] = self._make_instances(
                "runner", region, data_centre, RUNNERS_PER_DATA_CENTRE, SLOTS
            )
            self.workers_by_data_centre[data_centre] = self._make_instances(
                "worker", region, data_centre, WORKERS_PER_DATA_CENTRE, ACCELERATORS
            )
            for index in range(ENTRIES_PER_DATA_CENTRE):
                self._add_entry(f"entry-{data_centre}-{index}", region, data_centre)

    def _allocate_ports(self, count: int) -> int:
        port = self._port
        self._port += count
        return port

    def _make_instances(
        self, role: str, region: str, data_centre: str, count: int, capacity: int
    ) -> list[Instance]:
        port = self._allocate_ports(count)
        return [
            Instance(
                f"{role}-{data_centre}-{index}",
                role,
                region,
                f"127.0.0.1:{port + index}",
                data_centre,
                f"rack-{data_centre}",
                capacity,
            )
            for index in range(count)
        ]

    def _add_entry(self, name: str, region: str, data_centre: str) -> None:
        first = self._allocate_ports(4)
        roles = ("caller_port", "operator_port", "peer_port", "metrics_port")
        ports = {role: first + index for index, role in enumerate(roles)}
        self.ports_by_entry[name] = ports
        self.entries.append(
            Instance(
                name,
                "entry",
                region,
                f"127.0.0.1:{ports['caller_port']}",
                data_centre,
                peer_address=f"127.0.0.1:{ports['peer_port']}",
            )
        )

    def all(self) -> list[Instance]:
        """Return every instance."""
        result = list(self.entries)
        for by_data_centre in (self.runners_by_data_centre, self.workers_by_data_centre):
            for instances in by_data_centre.values():
                result.extend(instances)
        return result
