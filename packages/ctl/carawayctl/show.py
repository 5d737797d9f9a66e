"""Output of replies as aligned tables or JSON."""

import json

from google.protobuf import json_format
from google.protobuf.message import Message

from carawayroute.types import describe_shape
from carawayroute_schema import carawayroute_pb2 as pb


def as_json(message: Message) -> str:
    """Return a message as JSON, including fields with default values."""
    tree = json_format.MessageToDict(message, always_print_fields_with_no_presence=True)
    return json.dumps(tree, indent=2)


def table(columns: list[str], rows: list[list[object]]) -> str:
    """Return rows as aligned columns."""
    texts = [columns] + [[str(cell) for cell in row] for row in rows]
    widths = [max(len(row[index]) for row in texts) for index in range(len(columns))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in texts
    ]
    return "\n".join(line.rstrip() for line in lines)


def teams(reply: pb.TeamsReply) -> str:
    """Return the table of teams."""
    rows = [
        [team.id, team.weight, team.guarantees, team.jobs_queued, team.jobs_running]
        for team in reply.teams
    ]
    return table(["TEAM", "WEIGHT", "GUARANTEES", "QUEUED", "RUNNING"], rows)


def guarantees(reply: pb.GuaranteesReply) -> str:
    """Return the table of guarantees."""
    rows = [
        [
            f"{item.team}/{item.id}",
            item.region,
            describe_shape(item.shape),
            item.count,
            item.in_use,
            item.reclaimable,
            ", ".join(item.holders) or "-",
        ]
        for item in reply.guarantees
    ]
    columns = ["GUARANTEE", "REGION", "SHAPE", "COUNT", "IN USE", "RECLAIMABLE", "USED BY"]
    return table(columns, rows)


def workers(reply: pb.WorkersReply) -> str:
    """Return the table of workers."""
    rows = [
        [
            item.id,
            item.data_centre,
            item.rack,
            f"{item.free}/{item.accelerators}",
            item.status,
            ", ".join(item.jobs) or "-",
        ]
        for item in reply.workers
    ]
    return table(["WORKER", "DATA CENTRE", "RACK", "FREE", "STATUS", "JOBS"], rows)


def jobs(reply: pb.JobsReply) -> str:
    """Return the table of jobs."""
    rows = [
        [
            item.id,
            item.team,
            item.kind,
            describe_shape(item.shape),
            item.status,
            item.reason or ", ".join(item.workers) or "-",
        ]
        for item in reply.jobs
    ]
    return table(["JOB", "TEAM", "KIND", "SHAPE", "STATUS", "WHERE OR WHY"], rows)
