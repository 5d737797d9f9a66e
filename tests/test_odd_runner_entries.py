"""Odd entries among those of the runners: each is refused as a whole and harms only itself."""

import json

import pytest
from fleet_builders import runner_fields
from hypothesis import given
from odd_builders import (
    DEEP,
    DEEP_OBJECT,
    HUGE_NUMBER,
    ODD_FRAGMENTS,
    UNCONVERTIBLE_NUMBER,
    odd_bytes,
    runner_entry,
    runner_entry_with,
)

from carawayroute.fleet.exceptions import FormatError
from carawayroute_standins.fleet.taskrunner import make_runner
from carawayrouted.platform.runners import decode_runner

FIELDS = {**runner_fields(make_runner("w1", "r1-0")), "born": 1}


@pytest.mark.parametrize("path", [("unknown",), ("labels",), ("state",), ()])
@pytest.mark.parametrize("fragment", [DEEP, DEEP_OBJECT])
def test_deeply_nested_entry_is_refused(path, fragment):
    """It raised RecursionError, which ended the follower of the list of runners."""
    with pytest.raises(FormatError):
        decode_runner("w1", runner_entry_with(path, fragment))


@pytest.mark.parametrize(
    "address",
    [
        "10.1.1.1:0",
        "10.1.1.1:70000",
        "10.1.1.1:" + "9" * 40,
        "10.1.1.1:80²",
        "10.1.1.1:+80",
        "10.1.1.1: 80",
        "10.1.1.1:-1",
        "10.1.1.1:",
        "10.1.1.1",
        ":80",
        "host/path:80",
        "user@host:80",
        "host?q:80",
        "ho st:80",
        "host\r\nx:80",
        "10.1.1:80",
        "10.1.1.256:80",
        "010.1.1.1:80",
        "0.0.0.0:80",
        "224.0.0.1:80",
        "240.0.0.1:80",
        "255.255.255.255:80",
        "x" * 300 + ":80",
    ],
)
def test_address_that_no_runner_can_have_is_refused(address):
    with pytest.raises(FormatError):
        decode_runner("w1", runner_entry(address=address))


@pytest.mark.parametrize("address", ["10.1.1.1:1", "127.0.0.1:65535", "runner-1.zone_a.local:80"])
def test_address_of_a_runner_is_accepted(address):
    assert decode_runner("w1", runner_entry(address=address)).address == address


@pytest.mark.parametrize(
    ("path", "fragment"),
    [
        (("capacity", "cpu"), HUGE_NUMBER),
        (("capacity", "cpu"), UNCONVERTIBLE_NUMBER),
        (("capacity", "cpu"), str(2**63)),
        (("capacity", "cpu"), "NaN"),
        (("capacity", "mem_mb"), "1e999"),
        (("capacity", "gpu"), "-1"),
        (("capacity", "gpu"), "1.5"),
        (("capacity", "gpu"), str(2**32)),
        (("born",), str(2**70)),
        (("born",), "-1"),
        (("born",), "true"),
        (("service",), '""'),
        (("service",), '"\\ud800"'),
        (("service",), json.dumps("x" * 300)),
        (("labels",), json.dumps(["x"] * 20_000)),
        (("labels",), json.dumps(["x" * 300])),
        (("labels",), "[7]"),
        (("labels",), '"a"'),
    ],
)
def test_value_out_of_range_is_refused(path, fragment):
    """Capacities of 10^400 reached the placement, and their sum the planner's heartbeats."""
    with pytest.raises(FormatError):
        decode_runner("w1", runner_entry_with(path, fragment))


@pytest.mark.parametrize("runner_id", ["", "a b", "a\r\nX: y", "ä", "\ufffd", "x" * 256])
def test_runner_whose_id_cannot_be_sent_as_a_header_is_refused(runner_id):
    with pytest.raises(FormatError):
        decode_runner(runner_id, runner_entry())


@pytest.mark.parametrize("fragment", ODD_FRAGMENTS)
def test_unknown_field_does_not_matter_if_the_entry_is_json(fragment):
    try:
        runner = decode_runner("w1", runner_entry_with(("later",), fragment))
    except FormatError:
        return
    assert runner.id == "w1"


@given(odd_bytes(FIELDS))
def test_any_entry_is_refused_or_gives_a_runner_in_range(value):
    try:
        runner = decode_runner("w1", value)
    except FormatError as error:
        assert len(str(error)) < 300
        return
    host, _, port = runner.address.rpartition(":")
    assert host
    assert 1 <= int(port) <= 65_535
    for amount in (
        runner.capacity.cpu_millis,
        runner.capacity.memory_mb,
        runner.capacity.accelerators,
    ):
        assert 0 <= amount < 2**32
    assert 0 <= runner.boot_ms <= 2**53
    assert len(runner.labels) <= 64
