"""The faults of the matrix, each switched on for one cell and healed again."""

import asyncio
import copy
from collections.abc import Awaitable, Callable

from builders import configuration_dict, job

from carawayroute.exceptions import CarawayrouteError
from carawayroute_standins.world import World

FAULT_MS = 8_000
PAUSE_MS = 12_000
SHORT_RETENTION_MS = 10_000


class Cell:
    """One run of the matrix: a world, the instance under fault, and what it is doing.

    :param actor: the entry of a quick request, or the planner of a gang.
    :param other: another entry, for repeated requests.
    :ivar repeat: sends the same request again at the other entry.
    :ivar cancel: takes the request back.
    """

    def __init__(self, world: World, region: str, actor: str, other: str) -> None:
        self.world = world
        self.region = region
        self.actor = actor
        self.other = other
        self.repeat: Callable[[], Awaitable[None]] | None = None
        self.cancel: Callable[[], Awaitable[None]] | None = None
        self.lost_workers: set[str] = set()

    def pick_worker(self) -> str:
        """Return a worker of the region that holds something, or any of them."""
        models = [
            model
            for model in self.world.workers_by_id.values()
            if model.instance.region == self.region
        ]
        return min(models, key=lambda model: model.free()).instance.id

    def pick_runner(self) -> str:
        """Return the region's runner that ran last, or any of them."""
        for entry in reversed(self.world.journal.all("run")):
            return str(entry.fields["runner"])
        return f"runner-{self.region}-0"


async def _heal_after(world: World, duration_ms: float, heal: Callable[[], None]) -> None:
    await world.run_for(duration_ms)
    heal()


def kill(cell: Cell) -> None:
    """Kill the instance; a replacement starts a little later."""
    cell.world.kill(cell.actor)
    cell.world.start_background(
        _heal_after(cell.world, 3_000, lambda: cell.world.start_node(cell.actor))
    )


def pause(cell: Cell) -> None:
    """Freeze the instance for longer than its leases."""
    cell.world.pause(cell.actor, PAUSE_MS)


def reset(cell: Cell) -> None:
    """Break connections to a machine for a moment."""
    world = cell.world
    machines = {cell.pick_runner(), cell.pick_worker()}
    world.unreachable_instances |= machines
    world.start_background(
        _heal_after(world, 60, lambda: world.unreachable_instances.difference_update(machines))
    )


def silent(cell: Cell) -> None:
    """Let connections to every runner, and to one worker, go silent."""
    world = cell.world
    runners, worker = set(world.runners_by_id), cell.pick_worker()
    world.silent_runners |= runners
    world.unreachable_instances.add(worker)

    def heal() -> None:
        world.silent_runners.clear()
        world.unreachable_instances.discard(worker)

    world.start_background(_heal_after(world, 2_500, heal))


def _log_fault(mode: str) -> Callable[[Cell], None]:
    def apply(cell: Cell) -> None:
        cell.world.log.mode = mode
        heal = lambda: setattr(cell.world.log, "mode", "up")  # noqa: E731
        cell.world.start_background(_heal_after(cell.world, FAULT_MS, heal))

    return apply


def expired(cell: Cell) -> None:
    """Freeze the instance for longer than the log keeps records."""
    cell.world.pause(cell.actor, SHORT_RETENTION_MS * 1.5)


def cut(cell: Cell) -> None:
    """Cut the regions off from each other, and one of them from the store."""
    cell.world.cut("south", "north")
    cell.world.start_background(_heal_after(cell.world, FAULT_MS, cell.world.heal))


def worker_lost(cell: Cell) -> None:
    """Lose a worker for good."""
    worker = cell.pick_worker()
    cell.lost_workers.add(worker)
    cell.world.unreachable_instances.add(worker)


def worker_failing(cell: Cell) -> None:
    """Let a worker fail everything that starts on it, and a runner everything it gets."""
    cell.world.workers_by_id[cell.pick_worker()].fails_everything = True
    cell.world.runners_by_id[cell.pick_runner()].mode = "fail"


def leaving(cell: Cell) -> None:
    """Let a runner and a worker leave."""
    world = cell.world
    world.runners_by_id[cell.pick_runner()].mode = "leaving"
    gone = copy.copy(world.workers_by_id[cell.pick_worker()].instance)
    gone.leaving = True
    world.instances.set(gone)


def repeated(cell: Cell) -> None:
    """Send the same request at another entry."""
    cell.world.start_background(cell.repeat())


def cancelled(cell: Cell) -> None:
    """Let the caller take the request back."""
    cell.world.start_background(cell.cancel())


def _guarantee_change(owner_count: int) -> Callable[[Cell], None]:
    def apply(cell: Cell) -> None:
        cell.world.start_background(_publish(cell, cell.other, owner_count))

    return apply


async def _publish(cell: Cell, name: str, owner_count: int) -> None:
    node = cell.world.nodes_by_id[name]
    try:
        await cell.world.publish(region_configuration(cell.region, owner_count), node)
    except CarawayrouteError:
        return


def region_configuration(region: str, owner_count: int) -> dict:
    """Return the configuration with the guarantee in a region."""
    tree = configuration_dict(owner_count)
    for team in tree["teams"]:
        for guarantee in team["guarantees"]:
            guarantee["region"] = region
    return tree


def racing(cell: Cell) -> None:
    """Let two operators publish at once."""
    for name, count in (("a", 0), (cell.other, 2)):
        cell.world.start_background(_publish(cell, name, count))


def lagging(cell: Cell) -> None:
    """Let the instance list lag far behind and then fail."""
    cell.world.instances.lag_ms = 30_000
    cell.world.instances.down = True


def burst(cell: Cell) -> None:
    """Submit a burst of small jobs."""
    cell.world.start_background(_burst(cell))


async def _burst(cell: Cell) -> None:
    for index in range(20):
        small = job(request_id=f"burst-{index}", run_ms=500, region=cell.region)
        small.shape.members = 1
        try:
            await cell.world.submit(cell.other, small)
        except CarawayrouteError:
            await asyncio.sleep(0.1)


FAULTS_BY_NAME: dict[str, Callable[[Cell], None]] = {
    "kill": kill,
    "pause": pause,
    "reset": reset,
    "silent": silent,
    "store-down": _log_fault("down"),
    "store-slow": _log_fault("slow"),
    "answer-lost": _log_fault("lose_answers"),
    "expired": expired,
    "region-cut": cut,
    "worker-lost": worker_lost,
    "worker-failing": worker_failing,
    "leaving": leaving,
    "repeated": repeated,
    "cancelled": cancelled,
    "guarantee-cut": _guarantee_change(0),
    "guarantee-raised": _guarantee_change(2),
    "operators-racing": racing,
    "list-lagging": lagging,
    "burst": burst,
}
