"""gRPC calls to the first of several daemons that can answer."""

import grpc

from carawayctl.exceptions import CommandError
from carawayroute_schema import carawayroute_pb2_grpc as pb_grpc

CONNECT_TIMEOUT_S = 2
# Longer than a daemon's wait for the log, so that its error reaches the operator.
CALL_TIMEOUT_S = 10


class Client:
    """Client of the operators' service of several daemons.

    :param servers: ``ip:port`` of each daemon, separated by commas.
    :raises CommandError: no server is given.
    """

    def __init__(self, servers: str) -> None:
        self._servers = [server.strip() for server in servers.split(",") if server.strip()]
        if not self._servers:
            raise CommandError("no server given: use --server or set CARAWAYCTL_SERVER")

    def call(self, method: str, request):
        """Return the reply of the first server that can answer.

        :param method: name of the remote procedure.
        :raises CommandError: no server answered; the message is the last server's reason.
        """
        reason = ""
        for server in self._servers:
            with grpc.insecure_channel(server) as channel:
                try:
                    grpc.channel_ready_future(channel).result(timeout=CONNECT_TIMEOUT_S)
                except grpc.FutureTimeoutError:
                    reason = f"{server}: cannot connect"
                    continue
                stub = pb_grpc.OperatorsStub(channel)
                try:
                    return getattr(stub, method)(request, timeout=CALL_TIMEOUT_S)
                except grpc.RpcError as error:
                    reason = f"{server}: {_reason(error)}"
                    # FAILED_PRECONDITION changed nothing, and another instance may be able to
                    # answer.
                    if error.code() != grpc.StatusCode.FAILED_PRECONDITION:
                        raise CommandError(reason) from error
        raise CommandError(reason)


def _reason(error: grpc.RpcError) -> str:
    """Return the reason of a failed call as shown to the operator."""
    if error.code() == grpc.StatusCode.DEADLINE_EXCEEDED:
        return "no answer in time; a change may have been applied, so read before repeating it"
    return error.details()
