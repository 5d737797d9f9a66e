"""Decoding of the operators' configuration from the platform's JSON format."""

from carawayroute.fleet.types import CallerLimits, Configuration, Queue, Team
from carawayrouted.platform.decoding import (
    MAX_INT64,
    MAX_UINT32,
    Fields,
    check_object,
    check_text,
    decode_object,
)

MAX_DEADLINE_FACTOR = 1_000_000.0
# A prefix is part of a URL, a key part of a header.
MAX_TEXT_BYTES = 8_192


def decode_configuration(value: bytes) -> Configuration:
    """Decode a configuration.

    :raises FormatError: a field is missing, malformed or out of range.
    """
    fields = decode_object(value)
    services = [check_object(one, "a service") for one in fields.items("services", default=[])]
    return Configuration(
        fields.whole("version", 0, MAX_INT64),
        [_queue(check_object(route, "a route")) for route in fields.items("routes")],
        [_team(check_object(tenant, "a tenant")) for tenant in fields.items("tenants", default=[])],
        _limits(fields.object("limits")),
        frozenset(one.text("name") for one in services if one.flag("rejects_overload")),
        frozenset(one.text("name") for one in services if one.flag("standby")),
    )


def _queue(route: Fields) -> Queue:
    return Queue(
        route.text("name"),
        route.text("host"),
        route.text("path_prefix", max_bytes=MAX_TEXT_BYTES),
        route.text("service"),
        priority=_amount(route, "priority", 0),
        max_attempts=_amount(route, "max_attempts", 1),
        deadline_factor=route.number("stretch", 0, MAX_DEADLINE_FACTOR, default=1.0),
        target_ms=_amount(route, "target_latency_ms", 0),
        public=route.flag("public"),
        needs_advice=len(route.object("advice")) > 0,
    )


def _team(tenant: Fields) -> Team:
    keys = [check_text(key, "a key", MAX_TEXT_BYTES) for key in tenant.items("api_keys")]
    return Team(tenant.text("name"), keys, _amount(tenant.object("guaranteed"), "gpu", 0))


def _limits(fields: Fields) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        _amount(fields, "max_header_bytes", defaults.header_bytes),
        _amount(fields, "max_body_bytes", defaults.body_bytes),
        _amount(fields, "header_timeout_ms", defaults.header_timeout_ms),
        _amount(fields, "idle_timeout_ms", defaults.idle_timeout_ms),
    )


def _amount(fields: Fields, name: str, default: int) -> int:
    """Return a number that records store in 32 bits, without its fraction."""
    return int(fields.number(name, 0, MAX_UINT32, default))
