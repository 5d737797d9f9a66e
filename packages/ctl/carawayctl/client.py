"""Calling daemons: the first of several that can answer."""

import grpc

from carawayctl.exceptions import CommandError
from carawayroute_schema import carawayroute_pb2_grpc as pb_grpc

CALL_TIMEOUT_S = 10
# With these another instance may be able to answer; nothing was changed by the call.
TRY_NEXT = (grpc.StatusCode.FAILED_PRECONDITION, grpc.StatusCode.UNAVAILABLE)


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
                stub = pb_grpc.OperatorsStub(channel)
                try:
                    return getattr(stub, method)(request, timeout=CALL_TIMEOUT_S)
                except grpc.RpcError as error:
                    reason = f"{server}: {error.details()}"
                    if error.code() not in TRY_NEXT:
                        raise CommandError(reason) from error
        raise CommandError(reason)
