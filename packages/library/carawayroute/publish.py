"""Publication of configurations with optimistic concurrency control."""

from carawayroute.exceptions import VersionConflictError
from carawayroute.log import LogFollower
from carawayroute_schema import carawayroute_pb2 as pb


async def publish(
    follower: LogFollower,
    configuration: pb.Configuration,
    based_on: int,
    author: str,
    timeout_ms: float,
) -> int:
    """Publish a validated configuration and return its version.

    :param based_on: the version that the operator edited.
    :raises VersionConflictError: that version is no longer in force; nothing was changed.
    :raises LogError: as `LogFollower.append`.
    """
    if based_on != follower.state.change.version:
        raise VersionConflictError(follower.state.change.version)
    change = pb.ConfigurationChange(
        version=based_on + 1, based_on=based_on, configuration=configuration, author=author
    )
    record = follower.make_record(configuration=change)
    if not await follower.append(record, timeout_ms):
        raise VersionConflictError(follower.state.change.version)
    return change.version
