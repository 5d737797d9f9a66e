"""Exceptions that the library raises."""


class CarawayrouteError(Exception):
    """Base class of the exceptions that carawayroute raises."""


class LogError(CarawayrouteError):
    """An operation on the log failed."""


class LogUnavailableError(LogError):
    """The record was definitely not appended."""


class LogUncertainError(LogError):
    """The record may or may not have been appended."""


class LogExpiredError(LogError):
    """Retention removed records before they were read.

    :param earliest: offset of the oldest record in the log.
    """

    def __init__(self, earliest: int) -> None:
        super().__init__(f"the log starts at offset {earliest}")
        self.earliest = earliest


class ConfigurationError(CarawayrouteError):
    """A configuration is invalid.

    :param errors: one item for each invalid field.
    """

    def __init__(self, errors: list["FieldProblem"]) -> None:
        super().__init__("; ".join(str(error) for error in errors))
        self.errors = errors


class FieldProblem:
    """An invalid configuration field: its path and the reason."""

    __slots__ = ("path", "reason")

    def __init__(self, path: str, reason: str) -> None:
        self.path = path
        self.reason = reason

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}"


class VersionConflictError(CarawayrouteError):
    """Another configuration was published on the same base version.

    :param current: version in force.
    """

    def __init__(self, current: int) -> None:
        super().__init__(f"version {current} is in force; read it and publish again")
        self.current = current


class WorkerError(CarawayrouteError):
    """A request to a worker failed."""


class WorkerUnreachableError(WorkerError):
    """A worker did not answer; the request may have taken effect."""


class WorkerRefusedError(WorkerError):
    """A worker refused a request, which had no effect."""


class EndpointError(CarawayrouteError):
    """A runner did not return a complete answer."""


class EndpointNotReachedError(EndpointError):
    """The request did not run: it never reached the runner, or the runner refused it."""


class EndpointLeavingError(EndpointNotReachedError):
    """The runner refused the request because it is shutting down."""


class EndpointUncertainError(EndpointError):
    """The runner may have run the request."""


class RefusedError(CarawayrouteError):
    """A request was refused without being run.

    :param reason: reason that the caller is given.
    :param retry_after_ms: suggested delay before a retry; 0 for no suggestion.
    """

    def __init__(self, reason: str, retry_after_ms: int = 0) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_ms = retry_after_ms
