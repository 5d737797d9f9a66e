"""Data types of the fleet: configuration, runners and runner reports."""

import re

from carawayroute_schema import records_pb2 as pb

TASK_ID = re.compile(r"([^.]+)\.([0-9]+)\.([0-9]+)\.([0-9]+)")


class Queue:
    """A queue of jobs.

    :param host: host name whose requests the queue takes.
    :param prefix: path prefix whose requests the queue takes.
    :param service: service whose runners execute the jobs.
    :param priority: 0 is the most urgent.
    :param max_attempts: failures of one task, or of one gang, after which its job fails.
    :param deadline_factor: a job is on time if it ends within this many times its critical path,
        plus ``target_ms``.
    :param target_ms: fixed part of the deadline, in ms.
    :param needs_advice: only runners named by the advice service may run its steps.
    """

    __slots__ = (
        "deadline_factor",
        "host",
        "max_attempts",
        "name",
        "needs_advice",
        "prefix",
        "priority",
        "public",
        "service",
        "target_ms",
    )

    def __init__(
        self,
        name: str,
        host: str,
        prefix: str,
        service: str,
        priority: int = 0,
        max_attempts: int = 1,
        deadline_factor: float = 1.0,
        target_ms: int = 0,
        public: bool = False,
        needs_advice: bool = False,
    ) -> None:
        self.name = name
        self.host = host
        self.prefix = prefix
        self.service = service
        self.priority = priority
        self.max_attempts = max_attempts
        self.deadline_factor = deadline_factor
        self.target_ms = target_ms
        self.public = public
        self.needs_advice = needs_advice


class Team:
    """A team with its API keys and its number of guaranteed accelerators."""

    __slots__ = ("guaranteed_accelerators", "keys", "name")

    def __init__(self, name: str, keys: list[str], guaranteed_accelerators: int = 0) -> None:
        self.name = name
        self.keys = keys
        self.guaranteed_accelerators = guaranteed_accelerators


class CallerLimits:
    """Limits on callers' requests."""

    __slots__ = ("body_bytes", "header_bytes", "header_timeout_ms", "idle_timeout_ms")

    def __init__(
        self,
        header_bytes: int = 16_384,
        body_bytes: int = 262_144,
        header_timeout_ms: int = 3_000,
        idle_timeout_ms: int = 15_000,
    ) -> None:
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_timeout_ms = header_timeout_ms
        self.idle_timeout_ms = idle_timeout_ms


class Configuration:
    """One version of the operators' configuration."""

    __slots__ = (
        "guarding_services",
        "limits",
        "queues_by_host",
        "queues_by_name",
        "standby_services",
        "teams_by_key",
        "teams_by_name",
        "version",
    )

    def __init__(
        self,
        version: int,
        queues: list[Queue],
        teams: list[Team],
        limits: CallerLimits,
        guarding_services: frozenset[str] = frozenset(),
        standby_services: frozenset[str] = frozenset(),
    ) -> None:
        self.version = version
        self.limits = limits
        self.guarding_services = guarding_services
        self.standby_services = standby_services
        self.queues_by_name = {queue.name: queue for queue in queues}
        self.queues_by_host: dict[str, list[Queue]] = {}
        for queue in queues:
            self.queues_by_host.setdefault(queue.host, []).append(queue)
        for found in self.queues_by_host.values():
            found.sort(key=lambda queue: len(queue.prefix), reverse=True)
        self.teams_by_name = {team.name: team for team in teams}
        self.teams_by_key = {key: team for team in teams for key in team.keys}

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host with the longest prefix that matches a path."""
        for queue in self.queues_by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None


class Capacity:
    """Amounts of each resource: the capacity of a runner, or the demand of a task."""

    __slots__ = ("accelerators", "cpu_millis", "memory_mb")

    def __init__(self, cpu_millis: int, memory_mb: int, accelerators: int) -> None:
        self.cpu_millis = cpu_millis
        self.memory_mb = memory_mb
        self.accelerators = accelerators

    @staticmethod
    def needed_by(step: pb.Step) -> "Capacity":
        """Return the demand of each task of a step; filling tasks use what cpu is left."""
        return Capacity(0 if step.fills else step.cpu_millis, step.memory_mb, step.accelerators)

    def count_fitting(self, demand: "Capacity", limit: int) -> int:
        """Return how many times a demand fits, at most ``limit``.

        Nothing fits if any resource is negative, whether or not the demand needs it.
        """
        accelerators, memory_mb, cpu_millis = self.accelerators, self.memory_mb, self.cpu_millis
        if accelerators < 0 or memory_mb < 0 or cpu_millis < 0:
            return 0
        # The planner's passes spend much of their time here, so builtin calls are avoided.
        count = limit
        if demand.accelerators > 0 and accelerators < count * demand.accelerators:
            count = accelerators // demand.accelerators
        if demand.memory_mb > 0 and memory_mb < count * demand.memory_mb:
            count = memory_mb // demand.memory_mb
        if demand.cpu_millis > 0 and cpu_millis < count * demand.cpu_millis:
            count = cpu_millis // demand.cpu_millis
        return count if count > 0 else 0

    @property
    def is_exceeded(self) -> bool:
        """Return whether any resource is negative, so that more is in use than there is."""
        return self.cpu_millis < 0 or self.memory_mb < 0 or self.accelerators < 0

    def subtract(self, demand: "Capacity", count: int = 1) -> None:
        """Subtract ``count`` times a demand; a negative count adds."""
        self.cpu_millis -= demand.cpu_millis * count
        self.memory_mb -= demand.memory_mb * count
        self.accelerators -= demand.accelerators * count

    def lower_to(self, bound: "Capacity") -> None:
        """Reduce each resource to its value in ``bound`` where it is larger."""
        self.cpu_millis = min(self.cpu_millis, bound.cpu_millis)
        self.memory_mb = min(self.memory_mb, bound.memory_mb)
        self.accelerators = min(self.accelerators, bound.accelerators)

    def raise_to(self, bound: "Capacity") -> None:
        """Raise each resource to its value in ``bound`` where it is smaller."""
        self.cpu_millis = max(self.cpu_millis, bound.cpu_millis)
        self.memory_mb = max(self.memory_mb, bound.memory_mb)
        self.accelerators = max(self.accelerators, bound.accelerators)

    def copy(self) -> "Capacity":
        """Return an independent copy."""
        return Capacity(self.cpu_millis, self.memory_mb, self.accelerators)


class Runner:
    """A runner as listed by the platform.

    :param id: identifies the runner; a restarted runner keeps its id.
    :param boot_ms: wall-clock time at which the runner process started, 0 if unknown.
    """

    __slots__ = (
        "address",
        "boot_ms",
        "capacity",
        "data_centre",
        "draining",
        "id",
        "labels",
        "rack",
        "service",
    )

    def __init__(
        self,
        id: str,
        service: str,
        address: str,
        data_centre: str,
        capacity: Capacity,
        labels: frozenset[str] = frozenset(),
        rack: str = "",
        draining: bool = False,
        boot_ms: int = 0,
    ) -> None:
        self.id = id
        self.service = service
        self.address = address
        self.data_centre = data_centre
        self.capacity = capacity
        self.labels = labels
        self.rack = rack
        self.draining = draining
        self.boot_ms = boot_ms


class TaskId:
    """Identifies a task by job, occurrence, step and index."""

    __slots__ = ("index", "job_id", "occurrence", "step")

    def __init__(self, job_id: str, occurrence: int, step: int, index: int) -> None:
        self.job_id = job_id
        self.occurrence = occurrence
        self.step = step
        self.index = index

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"

    @staticmethod
    def parse(text: str) -> "TaskId":
        """Parse a task id.

        :raises ValueError: the text is not a task id.
        """
        match = TASK_ID.fullmatch(text)
        if match is None:
            raise ValueError(f"{text[:100]!r} is not the id of a task")
        job_id, occurrence, step, index = match.groups()
        return TaskId(job_id, int(occurrence), int(step), int(index))


class RunningTask:
    """A run that a runner reports as running."""

    __slots__ = ("checkpoint", "percent", "run", "task")

    def __init__(self, task: str, run: int, checkpoint: str, percent: int) -> None:
        self.task = task
        self.run = run
        self.checkpoint = checkpoint
        self.percent = percent


class EndedTask:
    """The end of a run, which a runner reports until it is acknowledged.

    :param outcome: ``done``, ``failed``, ``stopped``, ``lapsed``, ``broken`` or ``alone``.
    """

    __slots__ = ("checkpoint", "number", "outcome", "run", "task")

    def __init__(self, number: int, task: str, run: int, outcome: str, checkpoint: str) -> None:
        self.number = number
        self.task = task
        self.run = run
        self.outcome = outcome
        self.checkpoint = checkpoint


class RunnerReport:
    """A runner's answer to a status poll.

    :param clock_ms: the runner's own clock.
    :param boot_ms: wall-clock time at which the runner process started, 0 if unknown.
    :param ended: ends that are not acknowledged, the earliest first.
    :param lists_all_ends: whether there are no others. Only then a run that the report does not
        list is known not to have ended.
    """

    __slots__ = ("boot_ms", "clock_ms", "ended", "lists_all_ends", "running")

    def __init__(
        self,
        clock_ms: int,
        boot_ms: int,
        running: list[RunningTask],
        ended: list[EndedTask],
        lists_all_ends: bool = True,
    ) -> None:
        self.clock_ms = clock_ms
        self.boot_ms = boot_ms
        self.running = running
        self.ended = ended
        self.lists_all_ends = lists_all_ends

    def shows(self, task: str, run: int) -> bool:
        """Return whether the report lists a run as running or ended."""
        items = (*self.running, *self.ended)
        return any(item.task == task and item.run == run for item in items)
