"""Decoding of the operators' configuration from the platform's JSON format."""

import json

from carawayroute.fleet.exceptions import FormatError
from carawayroute.fleet.types import CallerLimits, Configuration, Queue, Team


def decode_configuration(value: bytes) -> Configuration:
    """Decode a configuration.

    :raises FormatError: a field is missing or malformed.
    """
    try:
        fields = json.loads(value)
        queues = [_queue(route) for route in fields["routes"]]
        teams = [_team(tenant) for tenant in fields.get("tenants", [])]
        services = fields.get("services", [])
        return Configuration(
            int(fields["version"]),
            queues,
            teams,
            _limits(fields.get("limits", {})),
            frozenset(one["name"] for one in services if one.get("rejects_overload")),
            frozenset(one["name"] for one in services if one.get("standby")),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise FormatError(f"{type(error).__name__}: {error}") from error


def _queue(route: dict) -> Queue:
    return Queue(
        route["name"],
        route["host"],
        route["path_prefix"],
        route["service"],
        priority=int(route.get("priority", 0)),
        max_attempts=int(route.get("max_attempts", 1)),
        deadline_factor=float(route.get("stretch", 1.0)),
        target_ms=int(route.get("target_latency_ms", 0)),
        public=bool(route.get("public", False)),
        needs_advice=bool(route.get("advice")),
    )


def _team(tenant: dict) -> Team:
    guaranteed = tenant.get("guaranteed") or {}
    return Team(tenant["name"], list(tenant["api_keys"]), int(guaranteed.get("gpu", 0)))


def _limits(fields: dict) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        int(fields.get("max_header_bytes", defaults.header_bytes)),
        int(fields.get("max_body_bytes", defaults.body_bytes)),
        int(fields.get("header_timeout_ms", defaults.header_timeout_ms)),
        int(fields.get("idle_timeout_ms", defaults.idle_timeout_ms)),
    )
