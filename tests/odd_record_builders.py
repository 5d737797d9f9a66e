"""Builders of odd records in the system's own topics, as another version or writer may leave."""

from fleet_builders import job, step

from carawayroute_schema import records_pb2 as pb

UNREADABLE = b"\xff\xff"
OTHER_ID = "00000000000000ee"


def odd_jobs() -> list[pb.Job]:
    """Return jobs that can be decoded but not planned."""
    return [
        pb.Job(team="owner"),
        pb.Job(id=OTHER_ID),
        job("0000000000000abc"),
        job(OTHER_ID, [pb.Step(count=0)]),
        job(OTHER_ID, [pb.Step(count=2**32 - 1)]),
        job(OTHER_ID, [step(depends_on=[0])]),
        job(OTHER_ID, [step(depends_on=[7]), step()]),
        _changed(stretch=float("nan")),
        _changed(stretch=float("inf")),
        _changed(stretch=-1.0),
        _changed(occurrences=2**32 - 1),
    ]


def _changed(**fields: float) -> pb.Job:
    found = job(OTHER_ID)
    for name, value in fields.items():
        setattr(found, name, value)
    return found


def odd_progress() -> list[pb.Progress]:
    """Return progress that does not match a job with one step of one task."""
    usual = {"runs": [1], "done": b"\x00", "failures": [0], "places": [0]}
    variants = [
        {**usual, "step": 1},
        {**usual, "step": 2**32 - 1},
        {**usual, "occurrence": 1},
        {**usual, "runs": []},
        {**usual, "runs": [1, 1]},
        {**usual, "done": b""},
        {**usual, "done": b"\x07"},
        {**usual, "failures": []},
        {**usual, "places": [1]},
        {**usual, "places": [9], "runners": ["w1"]},
        {**usual, "places": [1], "runners": [""]},
        {**usual, "checkpoints": {4: "x"}},
        {**usual, "crashes": [1, 1]},
        {**usual, "start_crashes": [1, 1, 1]},
        {**usual, "survived": b"\x01\x01"},
        {**usual, "survived": b"\x02"},
    ]
    # The first step is valid: it must not be applied without the others.
    valid = pb.StepProgress(**{**usual, "done": b"\x01"})
    return [
        pb.Progress(steps=[valid, pb.StepProgress(**fields)], begun=True, failed=True)
        for fields in variants
    ]


def odd_members() -> list[tuple[str, pb.Member]]:
    """Return announcements of instances under their names that cannot be used."""
    usual = {"instance": "n9", "address": "n9", "region": "south", "data_centre": "south-a"}
    return [
        ("", pb.Member(**{**usual, "instance": ""})),
        ("n9", pb.Member(**{**usual, "instance": "n1"})),
        ("n9", pb.Member(**{**usual, "address": ""})),
        ("n9", pb.Member(**{**usual, "address": "a b"})),
        ("n9", pb.Member(**{**usual, "address": "a\x00"})),
        ("n9", pb.Member(**{**usual, "address": "x" * 300})),
        ("n9", pb.Member(**usual, link_mbps=float("nan"))),
        ("n9", pb.Member(**usual, cores=float("inf"))),
    ]


def odd_speeds() -> list[bytes]:
    """Return encoded records of runner speeds that cannot be used."""
    return [
        UNREADABLE,
        pb.RunnerSpeeds(runners=["w1"]).SerializeToString(),
        pb.RunnerSpeeds(runners=["w1"], runs=[5, 5], log_percents=[1]).SerializeToString(),
        pb.RunnerSpeeds(
            runners=["w1", "w2"], runs=[5, 5], log_percents=[-(2**31), 2**31 - 1]
        ).SerializeToString(),
    ]


def odd_lost_runners() -> list[pb.LostRunner]:
    """Return runners that a planner could not reach, with ids or addresses that no runner has."""
    return [
        pb.LostRunner(id="", address="10.1.1.1:80"),
        pb.LostRunner(id="a\r\nb", address="10.1.1.1:80"),
        pb.LostRunner(id="w1", address=""),
        pb.LostRunner(id="w1", address="a b"),
        pb.LostRunner(id="x" * 300, address="10.1.1.1:80"),
    ]


def odd_job_records() -> list[tuple[str, bytes]]:
    """Return records with odd keys or values for the topic of jobs."""
    records = [("a/" + OTHER_ID, one.SerializeToString()) for one in odd_jobs()]
    records += [("m/" + name, one.SerializeToString()) for name, one in odd_members()]
    records += [("s/", value) for value in odd_speeds()]
    lost = odd_lost_runners()
    records += [("r/", UNREADABLE), ("r/", pb.LostRunners(runners=lost).SerializeToString())]
    valid = job(OTHER_ID).SerializeToString()
    keys = ("", "a", "a/", "c/", "p/", "m/", "x", "q/" + OTHER_ID, "x" * 255, "\ufffd", "a/\ufffd")
    records += [(key, value) for key in keys for value in (UNREADABLE, valid, b"")]
    records += [(kind + OTHER_ID, UNREADABLE) for kind in ("a/", "c/", "p/", "m/")]
    return records
