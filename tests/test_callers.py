"""The callers' HTTP API: answers to valid and invalid requests and jobs."""

import asyncio
import json
import time

import aiohttp
import grpc
import pytest
from builders import configuration_dict, shape_dict
from test_adapters import AppServer

from carawayroute.node import NodeSettings
from carawayroute_schema import carawayroute_pb2 as pb
from carawayroute_standins.world import World
from carawayrouted.callers import CallerService
from carawayrouted.metrics import Metrics
from carawayrouted.operators import OperatorService

KEY = "owner-key"
# SHA-256 of KEY.
KEY_SHA256 = "8a6c2ac2eb1a2b4dd304c30cf0fb722f8aeba23b2395cccf64e1866fd38256f1"
HEADERS = {"Authorization": f"Bearer {KEY}", "Carawayroute-Team": "owner"}
JOB = {"kind": "render", "region": "south", "shape": shape_dict()}


async def configured_world() -> World:
    """Return a running system with entry ``a`` and a configuration in force."""
    world = World()
    for index in range(2):
        world.add_worker(f"worker-{index}", "south", "rack")
    world.add_runner("runner-0", "south")
    world.instances.lag_ms = 0
    world.add_node(NodeSettings("a", "south"))
    await world.run_for(300)
    tree = configuration_dict()
    tree["teams"][0]["keySha256"] = KEY_SHA256
    await world.publish(tree)
    await world.run_for(1_200)
    return world


async def serve_entry(world: World, scenario) -> None:
    """Run a scenario with an HTTP session and the URL of entry ``a``."""
    service = CallerService(world.nodes_by_id["a"], Metrics(world.clock))
    async with AppServer(service.app()) as site, aiohttp.ClientSession() as session:
        await scenario(session, f"http://{site.address}/v1")
    for node in world.nodes_by_id.values():
        await node.stop()


async def with_entry(scenario, log_mode: str = "up") -> None:
    """Run a scenario with an HTTP session and the URL of an entry in a running system."""
    world = await configured_world()
    world.log.mode = log_mode
    await serve_entry(world, scenario)


def send(method: str, path: str, log_mode: str = "up", **request) -> tuple[int, dict]:
    """Send one request to an entry and return the status and body of the answer."""
    answers = []

    async def scenario(session: aiohttp.ClientSession, url: str) -> None:
        request.setdefault("headers", HEADERS)
        async with session.request(method, url + path, **request) as response:
            answers.append((response.status, await response.json()))

    asyncio.run(with_entry(scenario, log_mode))
    return answers[0]


def test_quick_request_is_answered() -> None:
    body = json.dumps({"request": "r1", "run_ms": 5})
    status, answer = send("POST", "/kinds/preview/requests", data=body)
    assert (status, answer["request"]) == (200, "r1")


@pytest.mark.parametrize(
    ("headers", "code"),
    [
        ({}, "wrong_key"),
        ({**HEADERS, "Authorization": "Bearer other"}, "wrong_key"),
        ({**HEADERS, "Carawayroute-Team": "nobody"}, "wrong_key"),
        ({**HEADERS, "Authorization": f"Basic {KEY}"}, "wrong_key"),
        ({**HEADERS, "Carawayroute-Deadline-Ms": "0"}, "deadline_passed"),
        ({**HEADERS, "Carawayroute-Deadline-Ms": "soon"}, "bad_deadline"),
        ({**HEADERS, "Carawayroute-Request-Id": "with space"}, "bad_header"),
    ],
)
def test_wrong_headers(headers: dict, code: str) -> None:
    status, answer = send("POST", "/kinds/preview/requests", headers=headers, data=b"{}")
    assert 400 <= status < 500
    assert (answer["outcome"], answer["error"]) == ("not_run", code)


def test_unknown_kind() -> None:
    status, answer = send("POST", "/kinds/render/requests", data=b"{}")
    assert (status, answer["error"]) == (404, "unknown_kind")


def test_body_that_is_too_large() -> None:
    status, answer = send("POST", "/kinds/preview/requests", data=b"x" * 70_000)
    assert (status, answer["error"]) == (413, "too_large")


@pytest.mark.parametrize(
    ("job", "code"),
    [
        ("[]", "bad_json"),
        ("{", "bad_json"),
        ({"kind": "render"}, "bad_job"),
        ({**JOB, "colour": "red"}, "bad_job"),
        ({**JOB, "shape": {"members": "two"}}, "bad_job"),
        ({**JOB, "shape": shape_dict(members=0)}, "impossible_shape"),
        ({**JOB, "shape": shape_dict(members=3)}, "impossible_shape"),
        ({**JOB, "region": "nowhere"}, "impossible_shape"),
        ({**JOB, "kind": "preview"}, "unknown_kind"),
        ({**JOB, "deadline_ms": 1}, "deadline_passed"),
        ({**JOB, "run_ms": -1}, "bad_job"),
        ({**JOB, "payload": 5}, "bad_job"),
    ],
)
def test_wrong_job(job: object, code: str) -> None:
    body = job if isinstance(job, str) else json.dumps(job)
    status, answer = send("POST", "/jobs", data=body)
    assert 400 <= status < 500
    assert (answer["outcome"], answer["error"]) == ("not_run", code)


def test_job_is_accepted_watched_and_cancelled() -> None:
    async def scenario(session: aiohttp.ClientSession, url: str) -> None:
        job = {**JOB, "request_id": "r1", "payload": json.dumps({"run_ms": 60_000})}
        async with session.post(f"{url}/jobs", json=job, headers=HEADERS) as response:
            assert response.status == 202
            accepted = await response.json()
        async with session.post(f"{url}/jobs", json=job, headers=HEADERS) as response:
            assert (await response.json())["job"] == accepted["job"]
        other = {**job, "kind": "cut-plan"}
        async with session.post(f"{url}/jobs", json=other, headers=HEADERS) as response:
            assert (await response.json())["error"] == "request_id_used"
        path = f"{url}/jobs/{accepted['job']}"
        async with session.get(f"{path}?wait_ms=100", headers=HEADERS) as response:
            assert (await response.json())["outcome"] == "open"
        async with session.post(f"{path}/cancel", headers=HEADERS) as response:
            assert response.status == 202
        async with session.get(f"{path}?wait_ms=5000", headers=HEADERS) as response:
            assert (await response.json())["outcome"] == "cancelled"

    asyncio.run(with_entry(scenario))


def test_unknown_job() -> None:
    status, answer = send("GET", "/jobs/j-1")
    assert (status, answer["error"]) == (404, "unknown_job")


def test_job_is_refused_while_log_is_down() -> None:
    status, answer = send("POST", "/jobs", "down", json=JOB)
    assert (status, answer["outcome"]) == (503, "not_run")


def test_truncated_body_ends_request_in_time() -> None:
    async def scenario(session: aiohttp.ClientSession, url: str) -> None:
        host, port = url.split("/")[2].split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = ["POST /v1/kinds/preview/requests HTTP/1.1", "Host: x", "Content-Length: 100"]
        lines += [f"{name}: {value}" for name, value in HEADERS.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n{").encode())
        writer.write_eof()
        began = time.monotonic()
        assert b"Traceback" not in await asyncio.wait_for(reader.read(), 5)
        assert time.monotonic() - began < 5
        writer.close()

    asyncio.run(with_entry(scenario))


@pytest.mark.parametrize(("kind", "team"), [("preview", "nobody"), ("new-kind", "owner")])
def test_team_and_kind_are_not_denied_while_the_log_is_down(kind: str, team: str) -> None:
    """An entry that could not read the log answered 401 and 404."""
    headers = {**HEADERS, "Carawayroute-Team": team}
    path = f"/kinds/{kind}/requests"
    status, answer = send("POST", path, "down", headers=headers, data=b"{}")
    assert (status, answer["outcome"], answer["error"]) == (503, "not_run", "not_read")


def test_team_and_kind_that_were_just_added_are_known_to_an_entry_that_is_behind() -> None:
    """It answered 401 and 404 for what the operators had published at another entry."""

    async def run() -> None:
        world = await configured_world()
        publisher = world.add_node(NodeSettings("b", "south"))
        await world.run_for(1_200)
        log = world.nodes_by_id["a"].follower.log
        read = log.read

        async def read_only_on_request(offset: int, wait_ms: int, limit: int) -> list:
            if wait_ms:
                await world.run_for(60_000)
            return await read(offset, wait_ms, limit)

        log.read = read_only_on_request
        await world.run_for(700)
        tree = configuration_dict()
        for team in tree["teams"]:
            team["keySha256"] = KEY_SHA256
        tree["kinds"].append({**tree["kinds"][0], "id": "new-kind"})

        async def scenario(session: aiohttp.ClientSession, url: str) -> None:
            body = json.dumps({"request": "r1", "run_ms": 5})
            await world.publish(tree, publisher)
            other = {**HEADERS, "Carawayroute-Team": "other"}
            path = f"{url}/kinds/preview/requests"
            async with session.post(path, headers=other, data=body) as response:
                assert response.status == 200
            tree["kinds"].append({**tree["kinds"][0], "id": "newer-kind"})
            await world.publish(tree, publisher)
            path = f"{url}/kinds/newer-kind/requests"
            async with session.post(path, headers=HEADERS, data=body) as response:
                assert response.status == 200

        await serve_entry(world, scenario)

    asyncio.run(run())


def test_job_is_not_impossible_before_the_instance_list_is_read() -> None:
    """An entry that had not read the list yet answered that the region has no workers."""

    async def run() -> None:
        world = await configured_world()
        await world.nodes_by_id["a"].stop()
        world.instances.down = True
        world.start_node("a")
        await world.run_for(300)

        async def scenario(session: aiohttp.ClientSession, url: str) -> None:
            async with session.post(f"{url}/jobs", json=JOB, headers=HEADERS) as response:
                assert (response.status, (await response.json())["outcome"]) == (503, "not_run")

        await serve_entry(world, scenario)

    asyncio.run(run())


def test_repeat_of_an_accepted_job_is_not_impossible_while_workers_are_away() -> None:
    """A job that had been accepted was answered with 422 when its request was repeated."""

    async def run() -> None:
        world = await configured_world()
        job = {**JOB, "request_id": "r1", "payload": json.dumps({"run_ms": 60_000})}

        async def scenario(session: aiohttp.ClientSession, url: str) -> None:
            async with session.post(f"{url}/jobs", json=job, headers=HEADERS) as response:
                accepted = await response.json()
            world.instances.remove("worker-0")
            await world.run_for(1_500)
            async with session.post(f"{url}/jobs", json=job, headers=HEADERS) as response:
                assert response.status == 202
                assert (await response.json())["job"] == accepted["job"]
            other = {**job, "request_id": "r2"}
            async with session.post(f"{url}/jobs", json=other, headers=HEADERS) as response:
                assert (await response.json())["error"] == "impossible_shape"

        await serve_entry(world, scenario)

    asyncio.run(run())


class AbortedCall(Exception):
    """Raised by the context of a gRPC call that is aborted."""


class RecordingContext:
    """The context of a gRPC call, which raises the status that the call is aborted with."""

    async def abort(self, status: grpc.StatusCode, reason: str) -> None:
        raise AbortedCall(status)


def test_operators_cancellation_is_not_denied_while_the_log_is_down() -> None:
    """A job that the entry did not know was answered with NOT_FOUND."""

    async def run() -> None:
        world = await configured_world()
        world.log.mode = "down"
        service = OperatorService(world.nodes_by_id["a"])
        with pytest.raises(AbortedCall) as aborted:
            await service.CancelJob(pb.CancelRequest(job_id="j-1"), RecordingContext())
        assert aborted.value.args == (grpc.StatusCode.UNAVAILABLE,)
        world.log.mode = "up"
        with pytest.raises(AbortedCall) as aborted:
            await service.CancelJob(pb.CancelRequest(job_id="j-1"), RecordingContext())
        assert aborted.value.args == (grpc.StatusCode.NOT_FOUND,)
        await world.nodes_by_id["a"].stop()

    asyncio.run(run())
