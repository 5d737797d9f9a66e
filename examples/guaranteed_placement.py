"""Place a gang within a guarantee on a small fleet."""

from carawayroute.config import read_configuration
from carawayroute.placement import Fleet
from carawayroute.types import Instance
from carawayroute_schema import carawayroute_pb2 as pb

SHAPE = {"members": 2, "accelerators": 8, "adjacency": "RACK"}

configuration = read_configuration(
    {
        "teams": [
            {
                "id": "studio",
                "guarantees": [{"id": "packs", "region": "south", "shape": SHAPE, "count": 1}],
            }
        ],
        "kinds": [{"id": "render", "service": "GANG", "idempotent": True}],
    }
)
fleet = Fleet()
workers = [Instance(f"w{n}", "worker", "south", "", rack="r1", capacity=8) for n in range(4)]
fleet.set_workers(workers, unusable=set())
fleet.set_guarantees(configuration, "south")

shape = pb.Shape(members=2, accelerators=8, adjacency=pb.RACK)
job = pb.JobAccepted(job_id="j1", team="studio", kind="render", shape=shape)
plan = fleet.plan(job, configuration.kinds[0])
print(plan.workers, plan.guarantee)
