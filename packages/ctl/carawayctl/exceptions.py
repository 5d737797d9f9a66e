"""Exceptions raised by the operators' command."""

from carawayroute.exceptions import CarawayrouteError


class CommandError(CarawayrouteError):
    """A command failed; the message is one line for the operator."""
