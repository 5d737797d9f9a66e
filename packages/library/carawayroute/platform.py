"""What the library asks of the platform, as protocols that adapters satisfy."""

from typing import Protocol

from carawayroute.types import Answer, Attempt, FencingToken, Instance
from carawayroute_schema import carawayroute_pb2 as pb


class Log(Protocol):
    """The platform's append-only log."""

    async def append(self, data: bytes) -> int:
        """Append a record and return its offset.

        :raises LogUnavailableError: the record was certainly not taken.
        :raises LogUncertainError: the record may have been taken.
        """

    async def read(self, offset: int, wait_ms: int, limit: int) -> list[pb.OffsetRecord]:
        """Return the records from an offset on, waiting for the first one.

        :raises LogExpiredError: the offset has been removed by retention.
        :raises LogError: the log did not answer.
        """


class InstanceList(Protocol):
    """The platform's lagging list of instances."""

    async def read(self) -> list[Instance]:
        """Return all instances, live and leaving.

        :raises CarawayrouteError: the list did not answer.
        """


class Workers(Protocol):
    """The platform's workers, which run tasks under leases."""

    async def renew(
        self, worker: Instance, holder: str, token: FencingToken, lease_ms: int
    ) -> list[Attempt]:
        """Take or extend the lease on a worker and return what the worker holds."""

    async def reserve(
        self, worker: Instance, holder: str, token: FencingToken, attempt: Attempt
    ) -> None:
        """Set accelerators aside for one member of a gang."""

    async def start(
        self,
        worker: Instance,
        holder: str,
        token: FencingToken,
        attempt: Attempt,
        job: pb.JobAccepted,
    ) -> None:
        """Start a reserved member."""

    async def release(
        self, worker: Instance, holder: str, token: FencingToken, attempt_id: str, checkpoint: bool
    ) -> int:
        """Stop a member and free its accelerators; return the progress kept, in ms."""


class Endpoints(Protocol):
    """The runners that answer quick requests."""

    async def run(
        self, runner: Instance, attempt_id: str, kind: str, body: bytes, timeout_ms: float
    ) -> Answer:
        """Send a request to a runner and return its whole answer.

        :raises EndpointNotReachedError: the runner certainly did not run the request.
        :raises EndpointUncertainError: the runner may have run the request.
        """
