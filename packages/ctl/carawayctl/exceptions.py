"""Exceptions of the operators' command."""

from carawayroute.exceptions import CarawayrouteError


class CommandError(CarawayrouteError):
    """The command could not do what was asked; the text is one line for the operator."""
