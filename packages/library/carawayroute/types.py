"""Plain data that the other modules share."""

from carawayroute_schema import carawayroute_pb2 as pb

FencingToken = tuple[int, int]


class Instance:
    """One entry of the platform's instance list.

    :param role: ``entry``, ``runner`` or ``worker``.
    :param address: ``ip:port`` of its service.
    :param peer_address: ``ip:port`` of the link between daemons, for entries.
    :param capacity: slots of a runner, accelerators of a worker.
    """

    __slots__ = (
        "address",
        "capacity",
        "data_centre",
        "id",
        "leaving",
        "peer_address",
        "rack",
        "region",
        "role",
    )

    def __init__(
        self,
        id: str,
        role: str,
        region: str,
        address: str,
        data_centre: str = "",
        rack: str = "",
        capacity: int = 0,
        peer_address: str = "",
        leaving: bool = False,
    ) -> None:
        self.id = id
        self.role = role
        self.region = region
        self.address = address
        self.data_centre = data_centre
        self.rack = rack
        self.capacity = capacity
        self.peer_address = peer_address
        self.leaving = leaving


class Attempt:
    """The part of a gang that stands on one worker, as the worker reports it.

    :param accelerators: held by this part.
    :param parts: workers over which the gang is spread.
    :param status: ``reserved``, ``running``, ``done``, ``failed`` or ``checkpointed``.
    :param progress_ms: run time that a checkpoint keeps.
    """

    __slots__ = (
        "accelerators",
        "attempt_id",
        "job_id",
        "parts",
        "progress_ms",
        "result",
        "status",
        "worker",
    )

    def __init__(
        self,
        attempt_id: str,
        job_id: str,
        worker: str,
        accelerators: int,
        parts: int,
        status: str = "reserved",
        progress_ms: int = 0,
        result: str = "",
    ) -> None:
        self.attempt_id = attempt_id
        self.job_id = job_id
        self.worker = worker
        self.accelerators = accelerators
        self.parts = parts
        self.status = status
        self.progress_ms = progress_ms
        self.result = result


class Answer:
    """The whole answer of a runner to one attempt."""

    __slots__ = ("body", "content_type", "status")

    def __init__(self, status: int, body: bytes, content_type: str) -> None:
        self.status = status
        self.body = body
        self.content_type = content_type


def request_key(team: str, request_id: str) -> str:
    """Return the key under which a team's request id is remembered."""
    return f"{team}/{request_id}"


def shape_accelerators(shape: pb.Shape) -> int:
    """Return the accelerators that a gang of this shape holds."""
    return shape.members * shape.accelerators


def describe_shape(shape: pb.Shape) -> str:
    """Return a shape in words, such as ``2x8 in one rack``."""
    adjacency_text = {pb.ANY: "anywhere", pb.RACK: "in one rack", pb.WORKER: "on one worker"}
    return f"{shape.members}x{shape.accelerators} {adjacency_text[shape.adjacency]}"
