"""Exceptions of the library."""


class CarawayrouteError(Exception):
    """The base of every error that carawayroute raises on purpose."""


class LogError(CarawayrouteError):
    """The log did not do what was asked."""


class LogUnavailableError(LogError):
    """The log certainly did not take the record."""


class LogUncertainError(LogError):
    """The log may or may not have taken the record."""


class LogExpiredError(LogError):
    """Records were removed by retention before they were read.

    :param earliest: offset of the first record that the log still keeps.
    """

    def __init__(self, earliest: int) -> None:
        super().__init__(f"the log starts at offset {earliest}")
        self.earliest = earliest


class ConfigurationError(CarawayrouteError):
    """A configuration was refused.

    :param errors: one entry for each field that is wrong.
    """

    def __init__(self, errors: list["FieldProblem"]) -> None:
        super().__init__("; ".join(str(error) for error in errors))
        self.errors = errors


class FieldProblem:
    """Name a field of a configuration and what is wrong with it."""

    __slots__ = ("path", "reason")

    def __init__(self, path: str, reason: str) -> None:
        self.path = path
        self.reason = reason

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}"


class VersionConflictError(CarawayrouteError):
    """Another operator published first.

    :param current: version that is in force.
    """

    def __init__(self, current: int) -> None:
        super().__init__(f"version {current} is in force; read it and publish again")
        self.current = current


class WorkerError(CarawayrouteError):
    """A worker did not do what was asked."""


class WorkerUnreachableError(WorkerError):
    """A worker did not answer, so the request may have taken effect."""


class WorkerRefusedError(WorkerError):
    """A worker refused, so the request had no effect."""


class EndpointError(CarawayrouteError):
    """A runner did not give a whole answer."""


class EndpointNotReachedError(EndpointError):
    """No byte of the request reached the runner, or the runner said that it did not run it."""


class EndpointLeavingError(EndpointNotReachedError):
    """The runner refused because it is leaving."""


class EndpointUncertainError(EndpointError):
    """The runner may have run the request."""


class RefusedError(CarawayrouteError):
    """A request was refused before it ran.

    :param retry_after_ms: hint for the caller; 0 for none.
    """

    def __init__(self, reason: str, retry_after_ms: int = 0) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_ms = retry_after_ms
