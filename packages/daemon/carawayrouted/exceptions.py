"""Exceptions of the daemon."""

from carawayroute.exceptions import CarawayrouteError


class DaemonError(CarawayrouteError):
    """The base of the daemon's own errors."""


class SettingError(DaemonError):
    """A setting is missing or wrong."""


class BadRequestError(DaemonError):
    """A caller's request cannot be taken as it is.

    :param status: HTTP status, 4xx.
    :param code: machine-readable name of the error.
    """

    def __init__(self, status: int, code: str, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.code = code
        self.reason = reason
