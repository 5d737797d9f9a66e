"""Tests of what a scheduling pass remembers about shapes that do not fit, and of what it costs."""

import math

from fleet_builders import (
    BATCH,
    NORMAL,
    OTHER,
    URGENT,
    assign,
    candidate,
    configuration,
    job,
    job_table_of,
    step,
)

from carawayroute.fleet import preemption
from carawayroute.fleet.fit_cache import FitCache, shape_of
from carawayroute.fleet.scheduler import SchedulingPass, StopCost
from carawayroute.fleet.types import Capacity

ID = "{:016x}"


def full_fleet(runners, waiting):
    """Return a pass over a full fleet of batch work with a queue of gangs of two shapes.

    :param runners: number of runners, each with eight accelerators in use.
    :param waiting: number of waiting gangs.
    """
    candidates = [candidate(f"w{n}", f"r1-{n // 20}", free=0) for n in range(runners)]
    running = [job(ID.format(n), [step(8, 1, estimate_ms=60_000)], BATCH) for n in range(runners)]
    gangs = [
        job(ID.format(runners + n), [step(4 + n % 2, 8, gang=True)], NORMAL, OTHER)
        for n in range(waiting)
    ]
    job_table = job_table_of(*running, *gangs)
    for n in range(runners):
        assign(job_table.jobs_by_id[ID.format(n)].stage(0, 0), dict.fromkeys(range(8), f"w{n}"))
    return SchedulingPass(
        job_table,
        configuration(),
        candidates,
        100.0,
        lambda stage: stage.step.estimate_ms,
        lambda stage, index: StopCost(50_000.0, stoppable=True),
    )


def test_shape_that_did_not_fit_is_not_tried_for_more_tasks():
    fits = FitCache()
    fits.note_unplaceable(("a",), 5)
    assert fits.is_unplaceable(("a",), 5)
    assert fits.is_unplaceable(("a",), 6)
    assert not fits.is_unplaceable(("a",), 4)
    assert not fits.is_unplaceable(("b",), 6)
    fits.note_unplaceable(("a",), 7)
    assert fits.is_unplaceable(("a",), 5)


def test_room_that_costs_too_much_is_not_searched_for_more_tasks():
    fits = FitCache()
    fits.note_cost(("a",), 3, 2.0)
    assert fits.is_too_costly(("a",), 3, 1.9)
    assert fits.is_too_costly(("a",), 4, 1.9)
    assert not fits.is_too_costly(("a",), 4, 2.0)
    assert not fits.is_too_costly(("a",), 2, 1.9)
    fits.note_cost(("a",), 4, math.inf)
    assert fits.is_too_costly(("a",), 4, 1e300)


def test_stages_of_one_shape_share_what_is_known():
    job_table = job_table_of(
        job(ID.format(1), [step(4, 8, gang=True)], URGENT),
        job(ID.format(2), [step(7, 8, gang=True)], URGENT),
        job(ID.format(3), [step(4, 4, gang=True)], URGENT),
        job(ID.format(4), [step(4, 8, gang=True, most_per_runner=1)], URGENT),
    )
    first, second, third, fourth = (
        shape_of(found.stage(0, 0)) for found in job_table.jobs_by_id.values()
    )
    assert first == second
    assert first != third
    assert first != fourth


def test_victims_are_searched_once_for_gangs_of_one_shape_that_cannot_pay(monkeypatch):
    """A queue of 200 gangs on a full fleet cost a search for victims for each of the first 12."""
    searches = []
    choose = preemption.choose
    monkeypatch.setattr(
        preemption, "choose", lambda *args, **kw: searches.append(1) or choose(*args, **kw)
    )
    assert full_fleet(40, 200).run() == []
    assert 0 < len(searches) <= 2


def test_longer_queue_of_the_same_shapes_looks_at_no_more_runners(monkeypatch):
    """Each waiting gang cost a look at every runner: fleet times backlog."""

    def looks(waiting):
        one = full_fleet(40, waiting)
        seen = []
        count_fitting = Capacity.count_fitting
        with monkeypatch.context() as patch:
            patch.setattr(
                Capacity,
                "count_fitting",
                lambda self, *args: seen.append(1) or count_fitting(self, *args),
            )
            one.run()
        return len(seen)

    assert looks(200) <= looks(20)
