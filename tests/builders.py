"""Builders of configurations, jobs, instances and simulated clusters for the tests."""

import json

from carawayroute.config import read_configuration
from carawayroute.node import NodeSettings
from carawayroute.types import Instance
from carawayroute_schema import carawayroute_pb2 as pb
from carawayroute_standins.world import World

KEY_SHA256 = "0" * 64
QUICK_TIMES = {"maxWaitMs": 30_000, "expectedRunMs": 100, "maxBodyBytes": 65_536, "weight": 1}
GANG_TIMES = {"maxWaitMs": 600_000, "expectedRunMs": 5_000, "maxBodyBytes": 65_536, "weight": 1}


def shape_dict(members: int = 2, accelerators: int = 8, adjacency: str = "RACK") -> dict:
    """Return a shape as written in a configuration document."""
    return {"members": members, "accelerators": accelerators, "adjacency": adjacency}


def team_dict(name: str, guarantees: list[dict] | None = None, weight: int = 1) -> dict:
    """Return a team as written in a configuration document."""
    return {
        "id": name,
        "keySha256": KEY_SHA256,
        "weight": weight,
        "guarantees": guarantees or [],
    }


def guarantee_dict(
    shape: dict | None = None, count: int = 1, region: str = "south", name: str = "packs"
) -> dict:
    """Return a guarantee as written in a configuration document."""
    return {"id": name, "region": region, "shape": shape or shape_dict(), "count": count}


def configuration_dict(owner_count: int = 1) -> dict:
    """Return a configuration document: team ``owner`` with a guarantee, ``other`` without.

    :param owner_count: number of guaranteed gangs of ``owner``; 0 leaves the guarantee out.
    """
    guarantees = [guarantee_dict(count=owner_count)] if owner_count else []
    return {
        "teams": [team_dict("owner", guarantees), team_dict("other")],
        "kinds": [
            {"id": "preview", "service": "QUICK", "idempotent": True, **QUICK_TIMES},
            {"id": "export", "service": "QUICK", "idempotent": False, **QUICK_TIMES},
            {
                "id": "render",
                "service": "GANG",
                "idempotent": True,
                "checkpoint": True,
                **GANG_TIMES,
            },
            {"id": "cut-plan", "service": "GANG", "idempotent": False, **GANG_TIMES},
        ],
    }


def configuration(owner_count: int = 1) -> pb.Configuration:
    """Return `configuration_dict` read into a message."""
    return read_configuration(configuration_dict(owner_count))


def shape(members: int = 2, accelerators: int = 8, adjacency: int = pb.RACK) -> pb.Shape:
    """Return a shape message."""
    return pb.Shape(members=members, accelerators=accelerators, adjacency=adjacency)


def job(
    team: str = "other",
    kind: str = "render",
    request_id: str = "job-1",
    run_ms: int = 3_000,
    gang: pb.Shape | None = None,
    **fields: object,
) -> pb.JobAccepted:
    """Return an accepted job.

    :param run_ms: run time that the job's payload asks the simulated worker for.
    :param gang: shape of the job.
    :param fields: further fields of the message; ``fails`` goes into the payload.
    """
    payload = json.dumps({"run_ms": run_ms, "fails": fields.pop("fails", False)})
    return pb.JobAccepted(
        team=team,
        kind=kind,
        region=fields.pop("region", "south"),
        shape=gang or shape(),
        request_id=request_id,
        payload=payload,
        **fields,
    )


def worker(name: str, rack: str = "rack-1", accelerators: int = 8) -> Instance:
    """Return a worker in region ``south``."""
    return Instance(name, "worker", "south", name, "s1", rack, accelerators)


def runner(name: str, slots: int = 8) -> Instance:
    """Return a runner in region ``south``."""
    return Instance(name, "runner", "south", name, "s1", capacity=slots)


async def small_world(
    entries: dict[str, str] | None = None,
    workers: int = 4,
    runners: int = 3,
    retention_ms: int = 600_000,
    owner_count: int = 1,
    **settings: object,
) -> World:
    """Return a simulated cluster with ready nodes, a configuration in force and terms held.

    :param entries: region by name of entry.
    :param workers: number of workers per region with an entry.
    :param runners: number of runners per region with an entry.
    :param settings: further settings of every node.
    """
    world = World(retention_ms=retention_ms)
    entries = entries or {"a": "south", "b": "south", "c": "north"}
    for region in sorted(set(entries.values())):
        for index in range(workers):
            world.add_worker(f"worker-{region}-{index}", region, f"rack-{region}-{index // 4}")
        for index in range(runners):
            world.add_runner(f"runner-{region}-{index}", region)
    for name, region in entries.items():
        world.add_node(NodeSettings(name, region, retention_ms=retention_ms, **settings))
    await world.settle(2_500)
    await world.publish(configuration_dict(owner_count))
    await world.settle(2_500)
    return world
