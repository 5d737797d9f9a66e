"""Publishing configuration so that of racing operators exactly one wins."""

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
    """Put a checked configuration in force and return its version.

    :param based_on: the version that the operator read before.
    :raises VersionConflictError: another operator was first; nothing was changed.
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
