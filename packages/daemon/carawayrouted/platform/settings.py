"""Decoding of the settings file that the platform writes for each process."""

import os

from carawayroute.exceptions import CarawayrouteError
from carawayroute.fleet.exceptions import FormatError
from carawayrouted.platform.decoding import (
    MAX_PORT,
    MAX_UINT32,
    Fields,
    check_list,
    check_text,
    check_whole,
    decode_json,
    parse_address,
)

PATH_VARIABLE = "CARAWAYROUTE_CONFIG"
MAX_SECONDS = 1_000_000.0
MAX_CORES = 100_000.0


class PlatformSettingsError(CarawayrouteError):
    """The settings file cannot be read, or a field is missing or malformed."""


class Address:
    """A host and a port.

    :param what: name of the address in the error.
    :raises FormatError: the text is not ``host:port``.
    """

    __slots__ = ("host", "port")

    def __init__(self, text: str, what: str = "address") -> None:
        self.host, self.port = parse_address(text, what)

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class PlatformSettings:
    """The settings of a process.

    :param fields: the decoded settings file.
    :raises PlatformSettingsError: a field is missing or malformed.
    :ivar seeds: addresses of some peers' links.
    :ivar max_lease_ms: longest lease that runners grant.
    :ivar stop_timeout_ms: longest time that a runner takes to stop a run.
    :ivar grace_ms: time from SIGTERM to SIGKILL.
    :ivar runner_heartbeat_ms: time between two writes of a runner's entry in the store, 0 if it is
        not known.
    :ivar state_retention_ms: how long the state of an ended job can be queried.
    """

    __slots__ = (
        "advice",
        "callers",
        "cores",
        "data_centre",
        "grace_ms",
        "instance",
        "link_mbps",
        "max_lease_ms",
        "peer",
        "readiness",
        "region",
        "runner_heartbeat_ms",
        "seeds",
        "state_retention_ms",
        "stop_timeout_ms",
        "store",
    )

    def __init__(self, fields: dict) -> None:
        try:
            self._decode(Fields(fields))
        except FormatError as error:
            raise PlatformSettingsError(
                f"missing or malformed field in the settings file: {error}"
            ) from error

    def _decode(self, fields: Fields) -> None:
        listen = fields.object("listen", required=True)
        bounds = fields.object("bounds", required=True)
        limits = fields.object("limits")
        self.instance = fields.text("node_name", least_bytes=1)
        self.data_centre = fields.text("zone")
        self.region = fields.text("region")
        self.callers = Address(listen.text("front"), "front")
        self.readiness = Address(listen.text("ready"), "ready")
        ports = check_list(fields.items("internal_ports"), "internal_ports", least=1)
        port = check_whole(ports[0], "internal_ports", 1, MAX_PORT)
        self.peer = Address(f"{fields.text('ip')}:{port}", "ip")
        # ``seeds`` gives another port of the peers; their links use the same port on all
        # machines.
        seeds = [
            Address(check_text(text, "a seed"), "a seed")
            for text in fields.items("seeds", default=[])
        ]
        self.seeds = tuple(f"{seed.host}:{self.peer.port}" for seed in seeds)
        store = fields.object("platform", required=True)
        self.store = Address(store.text("address"), "the platform's address")
        advice = fields.text("advice", default="")
        self.advice = Address(advice, "advice") if advice else None
        self.max_lease_ms = int(bounds.number("hold_max_ms", 0, MAX_UINT32))
        self.stop_timeout_ms = int(bounds.number("stop_timeout_ms", 0, MAX_UINT32))
        self.grace_ms = int(bounds.number("grace_s", 0, MAX_SECONDS) * 1000)
        self.state_retention_ms = int(bounds.number("status_s", 0, MAX_SECONDS) * 1000)
        self.runner_heartbeat_ms = int(fields.number("heartbeat_ms", 0, MAX_UINT32, default=0))
        cpu_share = limits.number("cpu_share", 0, MAX_CORES, default=1.0)
        self.cores = cpu_share * limits.number("cores", 0, MAX_CORES, default=1.0)
        self.link_mbps = limits.number("link_mbps", 0, MAX_UINT32, default=1000.0)


def read_settings(path: str | None = None) -> PlatformSettings:
    """Read the settings file.

    :param path: the file; by default the value of ``CARAWAYROUTE_CONFIG``.
    :raises PlatformSettingsError: the file cannot be read or decoded.
    """
    path = path or os.environ.get(PATH_VARIABLE, "")
    try:
        with open(path, "rb") as file:
            fields = decode_json(file.read())
    except (OSError, ValueError, FormatError) as error:
        raise PlatformSettingsError(f"{path or PATH_VARIABLE}: {error}") from error
    if not isinstance(fields, dict):
        raise PlatformSettingsError(f"{path}: the document is not an object")
    return PlatformSettings(fields)
