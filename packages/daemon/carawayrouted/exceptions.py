"""Exceptions raised by the daemon."""

from carawayroute.exceptions import CarawayrouteError


class DaemonError(CarawayrouteError):
    """Base class of the daemon's exceptions."""


class SettingError(DaemonError):
    """A setting is missing, unknown or invalid."""


class LogNotReadError(DaemonError):
    """The log cannot be read, so a denial cannot be proved; the request was not run."""


class BadRequestError(DaemonError):
    """A caller's request is invalid and was not run.

    :param status: HTTP status, 4xx.
    :param code: machine-readable name of the error.
    :param reason: explanation for the caller.
    """

    def __init__(self, status: int, code: str, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.code = code
        self.reason = reason


class StoppingError(DaemonError):
    """A request was ended because the instance is stopping."""
