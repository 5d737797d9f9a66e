"""Data types and helpers shared by the other modules."""

from carawayroute_schema import carawayroute_pb2 as pb

# (term number, step); the step is above 0 only for a leader elected without the log.
FencingToken = tuple[int, int]


class Instance:
    """An instance in the platform's instance list.

    :param role: ``entry``, ``runner`` or ``worker``.
    :param address: ``ip:port`` of its service.
    :param peer_address: ``ip:port`` for messages between entries; empty for other roles.
    :param capacity: number of slots of a runner or accelerators of a worker.
    :param leaving: whether the list marks the instance as shutting down.
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
    """The part of a gang on one worker, as reported by the worker.

    :param accelerators: number of accelerators that this part holds.
    :param parts: number of workers that the gang uses.
    :param status: ``reserved``, ``running``, ``done``, ``failed`` or ``checkpointed``.
    :param progress_ms: run time saved by the last checkpoint.
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
    """A runner's complete HTTP response to an attempt."""

    __slots__ = ("body", "content_type", "status")

    def __init__(self, status: int, body: bytes, content_type: str) -> None:
        self.status = status
        self.body = body
        self.content_type = content_type


def request_key(team: str, request_id: str) -> str:
    """Return the key that identifies a team's request."""
    return f"{team}/{request_id}"


def shape_accelerators(shape: pb.Shape) -> int:
    """Return the total number of accelerators of a gang."""
    return shape.members * shape.accelerators


def describe_shape(shape: pb.Shape) -> str:
    """Return a readable description of a shape, such as ``2x8 in one rack``."""
    adjacency_text = {pb.ANY: "anywhere", pb.RACK: "in one rack", pb.WORKER: "on one worker"}
    return f"{shape.members}x{shape.accelerators} {adjacency_text[shape.adjacency]}"
