"""Odd requests of callers: each is answered, and nothing odd is stored."""

import json
from types import SimpleNamespace
from unittest import mock

import pytest
from aiohttp import StreamReader
from aiohttp.test_utils import make_mocked_request
from fleet_builders import caller_app, configuration_bytes, run_scenario
from hypothesis import given
from odd_builders import (
    DEEP,
    DEEP_OBJECT,
    HUGE_NUMBER,
    UNCONVERTIBLE_NUMBER,
    odd_bytes,
    with_fragment,
)

from carawayrouted.platform import callers
from carawayrouted.platform.callers import BadJobError, CallerApp, decode_job
from carawayrouted.platform.configuration import decode_configuration

ID = "0000000000000001"
JOB = {
    "spec": "text",
    "steps": [
        {"count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": 900, "affinity": "r1-3"},
        {"count": 2, "gpu": 1, "depends_on": [0], "gang": True, "constraints": "a"},
    ],
    "repeat_count": 2,
    "start_at_ms": 1_700_000_000_000,
    "interval_ms": 1_000,
}


@pytest.mark.parametrize(
    ("path", "fragment"),
    [
        ((), DEEP),
        (("later",), DEEP_OBJECT),
        (("spec",), DEEP),
        (("spec",), '"\\ud800"'),
        (("steps",), "{}"),
        (("steps", 0), "[]"),
        (("steps", 0, "count"), HUGE_NUMBER),
        (("steps", 0, "count"), UNCONVERTIBLE_NUMBER),
        (("steps", 0, "count"), "1e999"),
        (("steps", 0, "count"), "NaN"),
        (("steps", 0, "cpu"), str(2**32)),
        (("steps", 0, "affinity"), "7"),
        (("steps", 0, "affinity"), '"\\udfff"'),
        (("steps", 0, "affinity"), json.dumps("x" * 300)),
        (("steps", 0, "constraints"), "[]"),
        (("steps", 1, "gang"), '"no"'),
        (("steps", 1, "gang"), "1"),
        (("steps", 1, "depends_on"), '"0"'),
        (("steps", 1, "depends_on"), "{}"),
        (("steps", 1, "depends_on"), "[0.5]"),
        (("steps", 1, "depends_on"), "[true]"),
        (("steps", 1, "depends_on"), json.dumps([0] * 10_000)),
        (("start_at_ms",), "1e30"),
        (("start_at_ms",), str(2**53 + 1)),
    ],
)
def test_job_with_an_odd_value_is_refused(path, fragment):
    """A body that is nested 3,000 levels deep raised RecursionError."""
    with pytest.raises(BadJobError) as caught:
        decode_job(ID, with_fragment(JOB, path, fragment))
    assert len(str(caught.value)) < 300


@pytest.mark.parametrize(
    ("path", "fragment"),
    [
        (("later",), "[[[]]]"),
        (("steps", 0, "count"), "4.0"),
        (("steps", 1, "gang"), "null"),
        (("steps", 0, "affinity"), "null"),
        (("steps", 0, "affinity"), '""'),
        (("steps", 1, "depends_on"), "null"),
        (("repeat_count",), "null"),
        (("spec",), json.dumps("ü" * 2_000)),
    ],
)
def test_job_within_the_protocol_is_accepted(path, fragment):
    assert len(decode_job(ID, with_fragment(JOB, path, fragment)).steps) == 2


@given(odd_bytes(JOB))
def test_any_body_is_refused_or_gives_a_job_in_range(body):
    try:
        job = decode_job(ID, body)
    except BadJobError as error:
        assert len(str(error)) < 300
        return
    assert 1 <= len(job.steps) <= callers.MAX_STEPS
    assert sum(step.count for step in job.steps) <= callers.MAX_TASKS
    for number, step in enumerate(job.steps):
        assert step.count >= 1
        assert all(earlier < number for earlier in step.depends_on)
    assert len(job.SerializeToString()) < 262_144


@pytest.mark.parametrize(
    ("text", "wait_ms"),
    [
        ("2500", 2_500),
        ("2500.5", 2_500.5),
        ("-5", 0),
        ("0", 0),
        ("nan", callers.DEFAULT_WAIT_MS),
        ("1e999", callers.DEFAULT_WAIT_MS),
        ("-inf", callers.DEFAULT_WAIT_MS),
        ("soon", callers.DEFAULT_WAIT_MS),
        ("", callers.DEFAULT_WAIT_MS),
        ("\udcff", callers.DEFAULT_WAIT_MS),
        ("1e18", callers.MAX_WAIT_MS),
    ],
)
def test_deadline_of_a_request_is_finite_and_in_range(text, wait_ms):
    """NaN and infinity reached the timers that a request waits on."""
    request = SimpleNamespace(headers={"X-Carawayroute-Deadline-Ms": text})
    assert callers._wait_ms(request) == wait_ms


@pytest.mark.parametrize("header", ["Bearer \udcff", "Bearer ", "Bearer  ", "Bearer", "\udcff", ""])
def test_key_that_is_not_text_is_unknown(header):
    """Bytes that are not UTF-8 raised an error instead of the answer 401, and an empty key in the
    configuration would have been the key of requests without one."""
    fields = json.loads(configuration_bytes())
    fields["tenants"][0]["api_keys"].append("")
    configuration = decode_configuration(json.dumps(fields).encode())
    request = SimpleNamespace(headers={"Authorization": header})
    assert CallerApp._team(configuration, request) is None
    request = SimpleNamespace(headers={"Authorization": "Bearer key-owner"})
    assert CallerApp._team(configuration, request).name == "owner"


def test_every_odd_body_is_answered_400():
    async def scenario(fleet):
        app = caller_app(fleet.nodes_by_name["n1"])
        headers = {"Host": "h", "Authorization": "Bearer key-owner"}
        for body in (b"[" * 1_500 + b"]" * 1_500, b"\xff", b"", b"[]", b"NaN"):
            payload = StreamReader(mock.Mock(_reading_paused=False), 2**16)
            payload.feed_data(body)
            payload.feed_eof()
            request = make_mocked_request(
                "POST", "/preview/" + ID, headers=headers, payload=payload
            )
            assert (await app.handle(request)).status == 400

    run_scenario(scenario)
