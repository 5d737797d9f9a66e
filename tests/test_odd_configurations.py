"""Odd configurations: each is refused as a whole, and the one before stays in force."""

import json

import pytest
from fleet_builders import configuration_bytes, run_scenario
from hypothesis import given
from odd_builders import (
    CONFIGURATION,
    DEEP,
    HUGE_NUMBER,
    UNCONVERTIBLE_NUMBER,
    odd_bytes,
    with_fragment,
)

from carawayroute.fleet.exceptions import FormatError
from carawayrouted.platform.configuration import decode_configuration

ODD_VALUES = [
    (("later",), DEEP),
    (("version",), "1e999"),
    (("version",), HUGE_NUMBER),
    (("version",), UNCONVERTIBLE_NUMBER),
    (("version",), "-1"),
    (("version",), '"7"'),
    (("routes",), "{}"),
    (("routes", 0), "[]"),
    (("routes", 0, "stretch"), "NaN"),
    (("routes", 0, "stretch"), "1e999"),
    (("routes", 0, "stretch"), "-1"),
    (("routes", 0, "max_attempts"), "1e30"),
    (("routes", 0, "priority"), str(2**32)),
    (("routes", 0, "priority"), "-1"),
    (("routes", 0, "target_latency_ms"), "1e30"),
    (("routes", 0, "target_latency_ms"), "-5"),
    (("routes", 0, "public"), '"no"'),
    (("routes", 0, "host"), "7"),
    (("routes", 0, "path_prefix"), "[]"),
    (("routes", 0, "name"), '"\\ud800"'),
    (("routes", 0, "service"), "null"),
    (("services",), '"render"'),
    (("services", 0, "name"), "[]"),
    (("services", 0, "rejects_overload"), "1"),
    (("tenants", 0, "api_keys"), '"key"'),
    (("tenants", 0, "api_keys", 0), "7"),
    (("tenants", 0, "guaranteed", "gpu"), "-1"),
    (("tenants", 0, "guaranteed", "gpu"), "NaN"),
    (("tenants", 0, "guaranteed"), "[1]"),
    (("limits", "max_body_bytes"), "-1"),
    (("limits",), "[1]"),
]


@pytest.mark.parametrize(("path", "fragment"), ODD_VALUES)
def test_configuration_with_an_odd_value_is_refused(path, fragment):
    """Nesting and a version of 1e999 ended the follower of the configuration; a stretch of NaN was
    accepted and made a job's value unknown."""
    with pytest.raises(FormatError) as caught:
        decode_configuration(with_fragment(CONFIGURATION, path, fragment))
    assert len(str(caught.value)) < 300


@pytest.mark.parametrize(
    ("path", "fragment"),
    [
        (("later",), "[[[]]]"),
        (("routes", 0, "max_attempts"), "3.0"),
        (("routes", 0, "target_latency_ms"), "403.5"),
        (("routes", 0, "stretch"), "2"),
        (("routes", 0, "public"), "null"),
        (("services",), "null"),
        (("limits",), "null"),
        (("tenants", 0, "guaranteed"), "null"),
        (("routes",), "[]"),
    ],
)
def test_configuration_within_the_protocol_is_accepted(path, fragment):
    assert decode_configuration(with_fragment(CONFIGURATION, path, fragment)).version == 1


def test_large_configuration_is_accepted():
    """The store takes records of 262,144 bytes."""
    value = configuration_bytes(routes=1_000)
    assert 200_000 < len(value) < 262_144
    assert len(decode_configuration(value).queues_by_name) == 1_003


@given(odd_bytes(CONFIGURATION))
def test_any_configuration_is_refused_or_in_range(value):
    try:
        configuration = decode_configuration(value)
    except FormatError as error:
        assert len(str(error)) < 300
        return
    assert 0 <= configuration.version < 2**63
    for queue in configuration.queues_by_name.values():
        assert 0 <= queue.priority < 2**32
        assert 0 <= queue.max_attempts < 2**32
        assert 0 <= queue.target_ms < 2**32
        assert 0 <= queue.deadline_factor < 1e9
        assert isinstance(queue.public, bool)
    for team in configuration.teams_by_name.values():
        assert 0 <= team.guaranteed_accelerators < 2**32


@pytest.mark.parametrize(
    "value", [DEEP.encode(), with_fragment(CONFIGURATION, ("version",), "1e999"), b"\xff", b"[]"]
)
def test_later_configuration_comes_into_force_after_an_odd_one(value):
    """The follower of the configuration ended at the odd one."""

    async def scenario(fleet):
        for key in ("config", "", "x" * 255, "config\ufffd"):
            fleet.store.put("keyed.op", key, value)
        await fleet.clock.sleep_ms(400)
        fleet.store.put("keyed.op", "config", configuration_bytes(version=7))
        await fleet.clock.sleep_ms(400)
        for node in fleet.nodes_by_name.values():
            assert node.configuration.version == 7

    run_scenario(scenario)


def test_unicode_is_accepted():
    fields = json.loads(configuration_bytes())
    fields["tenants"][0]["name"] = "überall 漢字"
    assert "überall 漢字" in decode_configuration(json.dumps(fields).encode()).teams_by_name
