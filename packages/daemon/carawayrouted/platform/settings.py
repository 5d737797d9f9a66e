"""Decoding of the settings file that the platform writes for each process."""

import json
import os

from carawayroute.exceptions import CarawayrouteError

PATH_VARIABLE = "CARAWAYROUTE_CONFIG"


class PlatformSettingsError(CarawayrouteError):
    """The settings file cannot be read, or a field is missing or malformed."""


class Address:
    """An IP address and a port."""

    __slots__ = ("host", "port")

    def __init__(self, text: str) -> None:
        self.host, _, port = text.rpartition(":")
        self.port = int(port)

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
        "seeds",
        "state_retention_ms",
        "stop_timeout_ms",
        "store",
    )

    def __init__(self, fields: dict) -> None:
        try:
            bounds = fields["bounds"]
            self.instance: str = fields["node_name"]
            self.data_centre: str = fields["zone"]
            self.region: str = fields["region"]
            self.callers = Address(fields["listen"]["front"])
            self.readiness = Address(fields["listen"]["ready"])
            self.peer = Address(f"{fields['ip']}:{fields['internal_ports'][0]}")
            # ``seeds`` gives another port of the peers; their links use the same port on all
            # machines.
            seeds = [Address(text) for text in fields.get("seeds") or []]
            self.seeds = tuple(f"{seed.host}:{self.peer.port}" for seed in seeds)
            self.store = Address(fields["platform"]["address"])
            self.advice = Address(fields["advice"]) if fields.get("advice") else None
            self.max_lease_ms = int(bounds["hold_max_ms"])
            self.stop_timeout_ms = int(bounds["stop_timeout_ms"])
            self.grace_ms = int(bounds["grace_s"] * 1000)
            self.state_retention_ms = int(bounds["status_s"] * 1000)
            limits = fields.get("limits", {})
            self.cores = float(limits.get("cpu_share", 1.0)) * float(limits.get("cores", 1))
            self.link_mbps = float(limits.get("link_mbps", 1000.0))
        except (KeyError, TypeError, ValueError, IndexError) as error:
            raise PlatformSettingsError(
                f"missing or malformed field in the settings file: {error}"
            ) from error


def read_settings(path: str | None = None) -> PlatformSettings:
    """Read the settings file.

    :param path: the file; by default the value of ``CARAWAYROUTE_CONFIG``.
    :raises PlatformSettingsError: the file cannot be read or decoded.
    """
    path = path or os.environ.get(PATH_VARIABLE, "")
    try:
        with open(path, encoding="utf-8") as file:
            fields = json.load(file)
    except (OSError, ValueError) as error:
        raise PlatformSettingsError(f"{path or PATH_VARIABLE}: {error}") from error
    return PlatformSettings(fields)
