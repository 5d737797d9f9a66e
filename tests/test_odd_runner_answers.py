"""Odd answers of runners: each call ends with its result or with an error of the runner."""

import asyncio
import json

import pytest
from aiohttp import web
from hypothesis import given
from odd_builders import (
    DEEP,
    HUGE_NUMBER,
    ODD_FRAGMENTS,
    REPORT,
    odd_bytes,
    with_fragment,
)
from test_adapters import AppServer

from carawayroute.fleet.exceptions import FormatError, RunnerRefusedError, RunnerUnansweredError
from carawayroute_standins.fleet.taskrunner import make_runner
from carawayrouted.platform import http
from carawayrouted.platform.http import HttpPool
from carawayrouted.platform.runners import (
    HttpRunners,
    decode_clock,
    decode_refusal,
    decode_report,
)

CALLS = {
    "hold": lambda client, runner: client.hold(runner, 1, 0, 0, 0),
    "start": lambda client, runner: client.start(runner, 1, "t.0.0.0", 1, "s", "", 5),
    "stop": lambda client, runner: client.stop(runner, 1, "t.0.0.0", 1),
}


def ask(bodies: list[bytes], status: int = 200, calls: tuple[str, ...] = tuple(CALLS)) -> list:
    """Return what each call of a client makes of each body: a result or an exception."""
    outcomes: list = []
    waiting: list[bytes] = []

    async def answer(request):
        return web.Response(status=status, body=waiting[0])

    async def run():
        app = web.Application()
        app.router.add_post("/v1/{call}", answer)
        pool = HttpPool()
        runner = make_runner("w1", "r1-0")
        try:
            async with AppServer(app) as site:
                runner.address = site.address
                for body in bodies:
                    waiting[:] = [body]
                    for call in calls:
                        try:
                            outcomes.append(await CALLS[call](HttpRunners(pool), runner))
                        except Exception as error:
                            outcomes.append(error)
        finally:
            await pool.close()

    asyncio.run(run())
    return outcomes


def test_report_and_clock_are_decoded():
    report, started_ms, stopped_ms = ask([json.dumps(REPORT).encode()])
    assert (report.clock_ms, report.boot_ms, started_ms, stopped_ms) == (482_113, 1) + (
        482_113,
    ) * 2
    running, ended = report.running[0], report.ended[0]
    assert (running.run, running.checkpoint, running.percent) == (2, "00000bb87a21d94b", 41)
    assert (ended.number, ended.run, ended.outcome, ended.checkpoint) == (58, 1, "done", "")


def test_report_with_500_ends_is_decoded():
    ends = [[number, f"5c0e7a21d94b36f8.0.1.{number}", 1, "done", ""] for number in range(1, 501)]
    report = ask([json.dumps({**REPORT, "finished": ends}).encode()], calls=("hold",))[0]
    assert len(report.ended) == 500


@pytest.mark.parametrize(
    "body",
    [
        DEEP.encode(),
        b"[]",
        b"null",
        b"7",
        b"",
        b"{}",
        b"\xff",
        b'{"clock_ms": true}',
        b'{"clock_ms": %s}' % HUGE_NUMBER.encode(),
        b'{"clock_ms": 1e999}',
    ],
)
def test_answer_that_cannot_be_read_counts_as_none(body):
    """RecursionError and AttributeError left the client and ended the task that had called it."""
    for outcome in ask([body]):
        assert isinstance(outcome, RunnerUnansweredError)
        assert len(str(outcome)) < 300


@pytest.mark.parametrize(
    ("path", "fragment"),
    [
        (("born",), '"soon"'),
        (("born",), str(2**70)),
        (("running",), "{}"),
        (("running", 0), "7"),
        (("running", 0), '["t"]'),
        (("running", 0, 0), "7"),
        (("running", 0, 1), '"2"'),
        (("running", 0, 1), str(2**32)),
        (("running", 0, 1), "-1"),
        (("running", 0, 2), "[]"),
        (("running", 0, 2), '"\\ud800"'),
        (("running", 0, 3), '"41"'),
        (("running", 0, 3), "NaN"),
        (("finished", 0), '"done!"'),
        (("finished", 0, 0), "-1"),
        (("finished", 0, 0), HUGE_NUMBER),
        (("finished", 0, 3), DEEP),
        (("finished", 0, 4), json.dumps("x" * 300_000)),
    ],
)
def test_report_with_an_odd_value_is_not_believed(path, fragment):
    """Values of other types reached the planner: a runner's boot time that is text, for example,
    raised TypeError in the link, which no longer polled the runner."""
    outcome = ask([with_fragment(REPORT, path, fragment)], calls=("hold",))[0]
    assert isinstance(outcome, RunnerUnansweredError)


@pytest.mark.parametrize(("percent", "expected"), [("-3", 0), ("41.6", 42), ("250", 100)])
def test_progress_is_a_whole_percentage(percent, expected):
    body = with_fragment(REPORT, ("running", 0, 3), percent)
    report = ask([body], calls=("hold",))[0]
    assert report.running[0].percent == expected


@pytest.mark.parametrize("fragment", ['"fence"', '"room"', '"a new reason"'])
def test_refusal_with_a_reason_is_certain(fragment):
    body = b'{"clock_ms": 1, "reason": %s}' % fragment.encode()
    for outcome in ask([body], status=409):
        assert isinstance(outcome, RunnerRefusedError)
        assert outcome.reason == json.loads(fragment)


@pytest.mark.parametrize("body", [b"", b"{}", b"[]", b'{"reason": 7}', DEEP.encode()])
def test_refusal_that_cannot_be_read_tells_nothing(body):
    for outcome in ask([body], status=409):
        assert isinstance(outcome, RunnerUnansweredError)


@pytest.mark.parametrize("status", [200, 204, 301, 404, 500])
@pytest.mark.parametrize("body", [b"", b"<html>", b"# HELP python_info"])
def test_other_servers_are_no_runners(status, body):
    """An entry may name the address of one of our own instances."""
    for outcome in ask([body], status=status):
        assert isinstance(outcome, RunnerUnansweredError)


def test_another_process_at_the_address_refuses_all_calls():
    """Two entries may name the same address."""
    for outcome in ask([b""], status=421):
        assert isinstance(outcome, RunnerRefusedError)
        assert outcome.reason == "boot"


def test_endless_answer_is_not_kept(monkeypatch):
    """The body of an answer was read to its end, whatever its size."""
    monkeypatch.setattr(http, "MAX_ANSWER_BYTES", 10_000)
    for outcome in ask([b"x" * 200_000]):
        assert isinstance(outcome, RunnerUnansweredError)
        assert "bytes" in str(outcome)


@given(odd_bytes(REPORT))
def test_any_answer_gives_a_value_in_range_or_is_refused(body):
    for decode in (decode_report, decode_clock, decode_refusal):
        try:
            found = decode(body)
        except FormatError as error:
            assert len(str(error)) < 300
            continue
        if isinstance(found, str):
            assert len(found) <= 255
        elif isinstance(found, int):
            assert 0 <= found <= 2**53
        else:
            assert 0 <= found.clock_ms <= 2**53
            assert 0 <= found.boot_ms <= 2**53
            for running in found.running:
                assert 0 <= running.run < 2**32
                assert 0 <= running.percent <= 100
            for ended in found.ended:
                assert 0 <= ended.number <= 2**53
                assert 0 <= ended.run < 2**32


@pytest.mark.parametrize("fragment", ODD_FRAGMENTS)
def test_odd_clock_is_refused_or_in_range(fragment):
    for outcome in ask([with_fragment(REPORT, ("clock_ms",), fragment)], calls=("start", "stop")):
        assert isinstance(outcome, RunnerUnansweredError) or 0 <= outcome <= 2**53
