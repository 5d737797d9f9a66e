"""Protocols of the platform services that the library uses; adapters implement them."""

from typing import Protocol

from carawayroute.types import Answer, Attempt, FencingToken, Instance
from carawayroute_schema import carawayroute_pb2 as pb


class Log(Protocol):
    """The platform's append-only log."""

    async def append(self, data: bytes) -> int:
        """Append a record and return its offset.

        :raises LogUnavailableError: the record was definitely not appended.
        :raises LogUncertainError: the record may have been appended.
        """

    async def read(self, offset: int, wait_ms: int, limit: int) -> list[pb.OffsetRecord]:
        """Return records from an offset on, waiting up to ``wait_ms`` for the first one.

        :raises LogExpiredError: retention has removed the offset.
        :raises LogError: the log did not respond.
        """


class InstanceList(Protocol):
    """The platform's instance list, which lags behind the actual instances."""

    async def read(self) -> list[Instance]:
        """Return all instances, including those that are leaving.

        :raises CarawayrouteError: the list could not be read.
        """


class Workers(Protocol):
    """The platform's workers, which accept orders only from the holder of their lease.

    :raises WorkerError: from every method, if the worker refuses or cannot be reached.
    """

    async def renew(
        self, worker: Instance, holder: str, token: FencingToken, lease_ms: int
    ) -> list[Attempt]:
        """Acquire or renew the lease on a worker and return its attempts."""

    async def reserve(
        self, worker: Instance, holder: str, token: FencingToken, attempt: Attempt
    ) -> None:
        """Reserve accelerators for a part of a gang."""

    async def start(
        self,
        worker: Instance,
        holder: str,
        token: FencingToken,
        attempt: Attempt,
        job: pb.JobAccepted,
    ) -> None:
        """Start a reserved part."""

    async def release(
        self, worker: Instance, holder: str, token: FencingToken, attempt_id: str, checkpoint: bool
    ) -> int:
        """Stop a part and free its accelerators.

        :param checkpoint: whether to save the progress first.
        :return: saved progress in ms.
        """


class Endpoints(Protocol):
    """The runners that process quick requests."""

    async def run(
        self, runner: Instance, attempt_id: str, kind: str, body: bytes, timeout_ms: float
    ) -> Answer:
        """Send a request to a runner and return its complete answer.

        :raises EndpointNotReachedError: the runner definitely did not run the request.
        :raises EndpointUncertainError: the runner may have run the request.
        """
