"""Calling daemons: the first of several that can answer."""

import grpc

from carawayctl.exceptions import CommandError
from carawayroute_schema import carawayroute_pb2_grpc as pb_grpc

CONNECT_TIMEOUT_S = 2
# Longer than a daemon waits for the log, so that its answer arrives.
CALL_TIMEOUT_S = 10


class Client:
    """Call the operators' service of one of several daemons.

    :param servers: ``ip:port`` of each, separated by commas.
    """

    def __init__(self, servers: str) -> None:
        self._servers = [server.strip() for server in servers.split(",") if server.strip()]
        if not self._servers:
            raise CommandError("no server: give --server or set CARAWAYCTL_SERVER")

    def call(self, method: str, request):
        """Return the reply of the first server that can answer.

        :raises CommandError: with the reason that the last server gave.
        """
        reason = ""
        for server in self._servers:
            with grpc.insecure_channel(server) as channel:
                try:
                    grpc.channel_ready_future(channel).result(timeout=CONNECT_TIMEOUT_S)
                except grpc.FutureTimeoutError:
                    reason = f"{server}: cannot be reached"
                    continue
                stub = pb_grpc.OperatorsStub(channel)
                try:
                    return getattr(stub, method)(request, timeout=CALL_TIMEOUT_S)
                except grpc.RpcError as error:
                    reason = f"{server}: {_reason(error)}"
                    # Another instance may know what this one does not; nothing was changed.
                    if error.code() != grpc.StatusCode.FAILED_PRECONDITION:
                        raise CommandError(reason) from error
        raise CommandError(reason)


def _reason(error: grpc.RpcError) -> str:
    """Return what an operator is told of a call that failed."""
    if error.code() == grpc.StatusCode.DEADLINE_EXCEEDED:
        return "no answer in time; if this was a change, read before repeating it"
    return error.details()
