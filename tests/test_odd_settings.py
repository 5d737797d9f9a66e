"""Odd settings files: each is refused with an error that names the field."""

import json

import pytest
from hypothesis import given
from odd_builders import DEEP, HUGE_NUMBER, odd_bytes, with_fragment
from test_fleet_platform import settings_fields

from carawayrouted.platform.__main__ import metrics_port
from carawayrouted.platform.settings import PlatformSettings, PlatformSettingsError, read_settings

FIELDS = settings_fields(advice="10.200.1.9:8524")


def read(tmp_path, data: bytes) -> PlatformSettings:
    """Return the settings in a file."""
    path = tmp_path / "settings.json"
    path.write_bytes(data)
    return read_settings(str(path))


@pytest.mark.parametrize(
    ("path", "fragment", "name"),
    [
        ((), DEEP, "nested"),
        ((), "[]", "object"),
        ((), "\ufffd", "JSON"),
        (("bounds", "grace_s"), "1e999", "grace_s"),
        (("bounds", "grace_s"), "NaN", "NaN"),
        (("bounds", "grace_s"), "-1", "grace_s"),
        (("bounds", "hold_max_ms"), HUGE_NUMBER, "hold_max_ms"),
        (("bounds", "status_s"), '"120"', "status_s"),
        (("heartbeat_ms",), '"1500"', "heartbeat_ms"),
        (("listen", "front"), '"10.1.0.19:70000"', "front"),
        (("listen", "front"), '"10.1.0.19:8\u0665"', "front"),
        (("listen", "ready"), '"10.1.0.19"', "ready"),
        (("listen",), "[]", "listen"),
        (("internal_ports",), "[]", "internal_ports"),
        (("internal_ports", 0), "0", "internal_ports"),
        (("internal_ports", 0), "true", "internal_ports"),
        (("seeds", 0), '"nowhere"', "seed"),
        (("seeds",), '"10.1.0.19:8526"', "seeds"),
        (("platform", "address"), "7", "address"),
        (("advice",), '"x"', "advice"),
        (("limits", "cores"), "-1", "cores"),
        (("limits", "link_mbps"), '"fast"', "link_mbps"),
        (("node_name",), '"\\ud800"', "node_name"),
        (("node_name",), '""', "node_name"),
    ],
)
def test_settings_with_an_odd_value_are_refused(tmp_path, path, fragment, name):
    """Nesting and infinite numbers ended the program with a traceback."""
    with pytest.raises(PlatformSettingsError, match=name) as caught:
        read(tmp_path, with_fragment(FIELDS, path, fragment))
    assert len(str(caught.value)) < 300


@pytest.mark.parametrize(
    ("path", "fragment"),
    [
        (("seeds",), "null"),
        (("advice",), "null"),
        (("limits",), "{}"),
        (("later_field",), "[[{}]]"),
        (("bounds", "grace_s"), "0.5"),
        (("listen", "front"), '"0.0.0.0:8521"'),
    ],
)
def test_settings_within_the_platforms_pages_are_accepted(tmp_path, path, fragment):
    assert read(tmp_path, with_fragment(FIELDS, path, fragment)).instance == "front-1"


@given(odd_bytes(FIELDS))
def test_any_settings_are_refused_or_in_range(data):
    try:
        fields = json.loads(data)
    except (ValueError, RecursionError):
        return
    if not isinstance(fields, dict):
        return
    try:
        settings = PlatformSettings(fields)
    except PlatformSettingsError:
        return
    for address in (settings.callers, settings.readiness, settings.peer, settings.store):
        assert 1 <= address.port <= 65_535
    assert 0 <= settings.max_lease_ms < 2**32
    assert 0 <= settings.grace_ms < 2**42
    assert 0 <= settings.link_mbps < 2**32


@pytest.mark.parametrize("text", ["²", "٣", "+1", "1_0", "9" * 5_000, " 1"])
def test_metrics_port_has_ascii_digits(text):
    with pytest.raises(PlatformSettingsError):
        metrics_port({"CARAWAYROUTED_METRICS_PORT": text})
