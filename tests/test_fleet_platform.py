"""The platform adapter's formats and HTTP clients, and the non-blocking log output."""

import asyncio
import json
import os
import socket
import struct

import pytest
from aiohttp import web
from fleet_builders import configuration_bytes, runner_fields
from prometheus_client import generate_latest
from test_adapters import AppServer

from carawayroute.fleet.exceptions import (
    FormatError,
    RunnerNotListeningError,
    RunnerUnansweredError,
    StoreRefusedError,
    StoreUnansweredError,
)
from carawayroute_standins.fleet.taskrunner import make_runner
from carawayrouted.fleet_metrics import FleetMetrics
from carawayrouted.output import BoundedOutput
from carawayrouted.platform import store
from carawayrouted.platform.__main__ import metrics_port
from carawayrouted.platform.callers import BadJobError, decode_job
from carawayrouted.platform.configuration import decode_configuration
from carawayrouted.platform.http import HttpPool
from carawayrouted.platform.runners import RUNNER_CONNECTIONS, HttpRunners, decode_runner
from carawayrouted.platform.settings import PlatformSettings, PlatformSettingsError, read_settings
from carawayrouted.platform.store import _decode_records, _encode_record

ID = "0000000000000001"


def settings_fields(**changes) -> dict:
    """Return the fields of a settings file, with some changed."""
    fields = {
        "node_name": "front-1",
        "ip": "10.1.0.19",
        "zone": "a",
        "region": "south",
        "listen": {"front": "10.1.0.19:8521", "ready": "10.1.0.19:8523"},
        "internal_ports": [7000, 7015],
        "seeds": ["10.1.0.19:8526", "10.2.0.35:8526"],
        "limits": {"cpu_share": 0.5, "cores": 2, "link_mbps": 5.0},
        "platform": {"address": "10.200.1.7:8524"},
        "bounds": {"hold_max_ms": 10_000, "stop_timeout_ms": 400, "grace_s": 6, "status_s": 120},
        "later_field": None,
    }
    return {**fields, **changes}


def test_settings_are_decoded():
    settings = PlatformSettings(settings_fields())
    assert (settings.instance, settings.cores, settings.grace_ms) == ("front-1", 1.0, 6_000)
    assert settings.seeds == ("10.1.0.19:7000", "10.2.0.35:7000")


@pytest.mark.parametrize("name", ["node_name", "listen", "bounds", "platform", "internal_ports"])
def test_missing_setting_is_named(name):
    fields = settings_fields()
    del fields[name]
    with pytest.raises(PlatformSettingsError, match=name):
        PlatformSettings(fields)


def test_settings_file_with_invalid_json_is_refused(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text("{")
    with pytest.raises(PlatformSettingsError):
        read_settings(str(path))


@pytest.mark.parametrize("text", ["0", "65536", "x", "-1", ""])
def test_wrong_metrics_port_is_refused(text):
    with pytest.raises(PlatformSettingsError):
        metrics_port({"CARAWAYROUTED_METRICS_PORT": text})


def test_runner_entry_is_decoded():
    fields = runner_fields(make_runner("w1", "r1-3"))
    runner = decode_runner("w1", json.dumps({**fields, "new": 1}).encode())
    assert (runner.rack, runner.capacity.accelerators, runner.draining) == ("r1-3", 8, False)


@pytest.mark.parametrize(
    "change",
    [
        {"state": "sleeping"},
        {"service": 3},
        {"address": "nowhere"},
        {"address": 7},
        {"labels": None},
        {"capacity": None},
        {"capacity": {"cpu": "8", "mem_mb": 1, "gpu": 1}},
        {"capacity": {"cpu": 8, "mem_mb": 1}},
    ],
)
def test_malformed_runner_entry_is_refused(change):
    fields = {**runner_fields(make_runner("w1", "r1-3")), **change}
    with pytest.raises(FormatError):
        decode_runner("w1", json.dumps(fields).encode())


def test_longest_prefix_wins():
    fields = json.loads(configuration_bytes())
    route = fields["routes"][0]
    fields["routes"].append({**route, "name": "inner", "path_prefix": "/preview/b/"})
    configuration = decode_configuration(json.dumps(fields).encode())
    assert configuration.find_queue("h", "/preview/b/" + ID).name == "inner"
    assert configuration.find_queue("h", "/preview/" + ID).name == "preview"
    assert configuration.find_queue("other", "/preview/" + ID) is None


def test_guarantee_is_decoded():
    configuration = decode_configuration(configuration_bytes(guaranteed=56))
    assert configuration.teams_by_key["key-owner"].guaranteed_accelerators == 56
    assert configuration.teams_by_key["key-other"].guaranteed_accelerators == 0


def test_job_fields_are_decoded():
    body = {
        "spec": "s",
        "steps": [
            {"count": 4, "cpu": 500, "mem_mb": 256, "gpu": 2, "gang": True, "same_rack": True},
            {"count": 1, "depends_on": [0], "saves_progress": True, "anti_affinity": 2},
        ],
        "repeat_count": 3,
        "start_at_ms": 5,
        "interval_ms": 7,
        "unknown": {},
    }
    job = decode_job(ID, json.dumps(body).encode())
    first, second = job.steps
    assert (first.gang, first.same_rack, first.accelerators) == (True, True, 2)
    assert (list(second.depends_on), second.checkpoints, second.most_per_runner) == ([0], True, 2)
    assert (job.occurrences, job.first_due_ms, job.interval_ms) == (3, 5, 7)


@pytest.mark.parametrize(
    "step",
    [
        {},
        {"count": 0},
        {"count": -1},
        {"count": 1.5},
        {"count": True},
        {"count": "1"},
        {"count": 1, "gpu": -1},
        {"count": 1, "depends_on": [0]},
        {"count": 1, "depends_on": "0"},
        {"count": 10_001},
        [],
        None,
    ],
)
def test_invalid_step_is_refused(step):
    with pytest.raises(BadJobError):
        decode_job(ID, json.dumps({"spec": "", "steps": [step]}).encode())


def test_encoded_records_are_decoded():
    body = struct.pack(">QQ", 12, 3) + _encode_record("a/1", b"x" * 300) + _encode_record("b", b"")
    found = _decode_records(body, 10)
    assert [(one.offset, one.key, len(one.value)) for one in found.records] == [
        (10, "a/1", 300),
        (11, "b", 0),
    ]
    assert (found.next_offset, found.end) == (12, 12)


def test_incomplete_record_is_left_for_the_next_read():
    whole = struct.pack(">QQ", 12, 0) + _encode_record("a", b"1") + _encode_record("b", b"2")
    found = _decode_records(whole[:-1], 10)
    assert (len(found.records), found.next_offset) == (1, 11)


def test_output_does_not_block_on_stalled_reader():
    reading, writing = os.pipe()
    try:
        output = BoundedOutput(writing, max_buffered_bytes=10_000)
        for _ in range(20_000):
            output.write("a line of a log that nobody reads\n")
        assert output.dropped > 0
        assert os.read(reading, 65_536).startswith(b"a line")
        output.flush()
        lines_before = output.lines
        output.write("later\n")
        assert output.lines == lines_before + 1
    finally:
        os.close(reading)
        os.close(writing)


def test_info_lines_are_rate_limited_and_warnings_are_not():
    reading, writing = os.pipe()
    try:
        output = BoundedOutput(writing)
        for _ in range(3_000):
            output.write('{"level": "info"}\n')
        assert 1_000 < output.dropped < 2_000
        lines_before = output.lines
        output.write('{"level": "warning"}\n')
        assert output.lines == lines_before + 1
    finally:
        os.close(reading)
        os.close(writing)


def test_counts_are_shown_by_label():
    metrics = FleetMetrics()
    counts = {"lease expired": 2}
    metrics.counts("runs_given_up", "Runs given up.", "evidence", lambda: counts)
    counts["lease expired"] = 3
    text = generate_latest(metrics.registry).decode()
    assert 'carawayroute_runs_given_up_total{evidence="lease expired"} 3.0' in text


def test_counts_are_shown_by_several_labels():
    metrics = FleetMetrics()
    counts = {("absent", "behind"): 2, ("found", "record"): 1}
    metrics.counts_by_labels(
        "job_lookups", "Lookups of jobs.", ("outcome", "evidence"), lambda: counts
    )
    text = generate_latest(metrics.registry).decode()
    assert 'carawayroute_job_lookups_total{evidence="behind",outcome="absent"} 2.0' in text
    assert 'carawayroute_job_lookups_total{evidence="record",outcome="found"} 1.0' in text


def test_read_fits_through_the_slowest_link_in_time():
    """Reads of 1 MB timed out repeatedly over slow links (cornice-sched-grown trouble-1)."""
    smallest_link_bits_per_ms = 5_000
    assert store.READ_KB * 1_024 * 8 / smallest_link_bits_per_ms < store.READ_TIMEOUT_MS / 2


def test_refused_connection_raises_not_listening():
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{closed.getsockname()[1]}"

    async def call():
        pool = HttpPool()
        runner = make_runner("w1", "r1-0")
        runner.address = address
        try:
            with pytest.raises(RunnerNotListeningError):
                await HttpRunners(pool).hold(runner, 1, 0, 0, 0)
        finally:
            await pool.close()

    asyncio.run(call())


def test_page_retry_does_not_repeat_earlier_pages(monkeypatch):
    """After a restart of all instances, those behind slow links started over at each time-out and
    never caught up (cornice-sched-grown trouble-2)."""
    asked = []

    async def newest(request):
        after = request.query.get("depends_on", "")
        asked.append(after)
        if after == "k2" and asked.count(after) == 1:
            await asyncio.sleep(1)
        keys = {"": ["k1", "k2"], "k2": ["k3"]}[after]
        items = [{"key": key, "value": "dg==", "offset": 1} for key in keys]
        return web.json_response({"items": items, "has_more": not after, "end": 9})

    async def run():
        app = web.Application()
        app.router.add_get("/v1/log-newest", newest)
        pool = HttpPool()
        monkeypatch.setattr(store, "PAGE_READ_TIMEOUT_MS", 200)
        try:
            async with AppServer(app) as site:
                found = await store.HttpStore(pool, site.address).newest("keyed.t")
            assert [record.key for record in found.records] == ["k1", "k2", "k3"]
        finally:
            await pool.close()

    asyncio.run(run())
    assert asked == ["", "k2", "k2"]


def test_bytes_and_unanswered_calls_of_the_store_are_counted(monkeypatch):
    """The first read is answered, the second times out half way, the third is cancelled there,
    and the fourth finds no listener."""
    page = struct.pack(">QQ", 1, 0) + _encode_record("a", b"x" * 83)
    asked = []

    async def read(request):
        asked.append(request.query["from"])
        if len(asked) == 1:
            return web.Response(body=page)
        response = web.StreamResponse(headers={"Content-Length": str(len(page))})
        await response.prepare(request)
        await response.write(page[:50])
        await asyncio.sleep(1)
        return response

    async def run():
        app = web.Application()
        app.router.add_get("/v1/log-read", read)
        pool = HttpPool()
        monkeypatch.setattr(store, "READ_TIMEOUT_MS", 200)
        try:
            async with AppServer(app) as site:
                client = store.HttpStore(pool, site.address)
                await client.read("keyed.t", 0, 0)
                assert client.bytes_by_kind == {"read": len(page)}
                assert not client.unanswered_by_kind
                with pytest.raises(StoreUnansweredError):
                    await client.read("keyed.t", 0, 0)
                assert client.bytes_by_kind == {"read": len(page) + 50}
                with pytest.raises(TimeoutError):
                    async with asyncio.timeout(0.1):
                        await client.read("keyed.t", 0, 0)
                assert client.bytes_by_kind == {"read": len(page) + 100}
            with pytest.raises(StoreRefusedError):
                await client.read("keyed.t", 0, 0)
        finally:
            await pool.close()
        causes = ("timed_out", "cancelled", "not_sent")
        assert client.unanswered_by_kind == {("read", cause): 1 for cause in causes}

    asyncio.run(run())


def test_slow_runner_stays_below_its_connection_limit():
    """Stops that timed out opened 20 connections a second. A runner that kept each for 4 s accepted
    no new ones while stops were sent (cornice-sched-grown trouble-3)."""
    opened = []

    async def hold_open(reader, writer):
        opened.append(writer)
        # The platform's runners keep an abandoned connection open for this long.
        await asyncio.sleep(4)
        writer.close()

    async def run():
        server = await asyncio.start_server(hold_open, "127.0.0.1", 0)
        runner = make_runner("w1", "r1-0")
        runner.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        pool = HttpPool(RUNNER_CONNECTIONS)
        client = HttpRunners(pool)

        async def stop(number):
            for _ in range(4):
                with pytest.raises(RunnerUnansweredError):
                    await client.stop(runner, 1, f"t{number}", 1)

        await asyncio.gather(*(stop(number) for number in range(20)))
        await pool.close()
        server.close()
        for writer in opened:
            writer.transport.abort()

    asyncio.run(run())
    assert len(opened) < 64
