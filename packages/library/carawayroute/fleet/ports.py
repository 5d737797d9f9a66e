"""What the fleet asks of the platform, as protocols that adapters satisfy."""

from typing import Protocol

from carawayroute.fleet.types import Configuration, Runner, RunnerReport


class AppendResult:
    """Where the records of an append stand.

    :param offset: of the first one.
    :param end: of the partition after the last one.
    """

    __slots__ = ("end", "offset")

    def __init__(self, offset: int, end: int) -> None:
        self.offset = offset
        self.end = end


class KeyedRecord:
    """A record of a keyed topic; an empty value drops the key."""

    __slots__ = ("key", "offset", "value")

    def __init__(self, offset: int, key: str, value: bytes) -> None:
        self.offset = offset
        self.key = key
        self.value = value


class RecordPage:
    """Records of a partition.

    :param next_offset: where to read on.
    :param end: offset at which the partition ends.
    """

    __slots__ = ("end", "next_offset", "records")

    def __init__(self, records: list[KeyedRecord], next_offset: int, end: int) -> None:
        self.records = records
        self.next_offset = next_offset
        self.end = end


class Store(Protocol):
    """The platform's store: keyed topics of one partition each."""

    async def append(
        self,
        topic: str,
        records: list[tuple[str, bytes]],
        at: int | None = None,
        producer: str = "",
        epoch: int = 0,
        sequence: int | None = None,
    ) -> AppendResult:
        """Append records, all or none; without records only the producer's epoch is set.

        :param at: condition: the offset at which the topic ends.
        :raises StoreError: as the class of the error says.
        """

    async def read(self, topic: str, offset: int, wait_ms: int) -> RecordPage:
        """Return records from an offset on, waiting for the first one.

        :raises StoreTrimmedError: they are no longer kept.
        :raises StoreError: the store did not answer.
        """

    async def newest(self, topic: str) -> RecordPage:
        """Return the newest record of each key; what is appended meanwhile may be missing.

        :raises StoreError: the store did not answer.
        """


class RunnerClient(Protocol):
    """Orders to runners. Each carries the planner's term as a fencing token."""

    async def hold(
        self, runner: Runner, term: int, acknowledged: int, lease_until_ms: int, wait_ms: int
    ) -> RunnerReport:
        """Extend the lease, acknowledge ends, and return what runs and what ended.

        :param lease_until_ms: by the runner's clock, 0 to leave the lease as it is.
        :raises RunnerError: as the class of the error says.
        """

    async def start(
        self,
        runner: Runner,
        term: int,
        task: str,
        run: int,
        spec: str,
        checkpoint: str,
        lease_until_ms: int,
        ticket: str = "",
    ) -> int:
        """Start a task and return the runner's clock.

        :raises RunnerError: as the class of the error says.
        """

    async def stop(self, runner: Runner, term: int, task: str, run: int) -> int:
        """Stop a run, or bar it from starting later, and return the runner's clock.

        :raises RunnerError: as the class of the error says.
        """


class PlatformFormat(Protocol):
    """Where the platform keeps configuration and runners in the store, and how they read.

    :ivar configuration_topic: topic of the configuration, under `configuration_key`.
    :ivar runners_topic: topic of the runners, each under its id.
    """

    configuration_topic: str
    configuration_key: str
    runners_topic: str

    def decode_configuration(self, value: bytes) -> Configuration:
        """Return a configuration.

        :raises FormatError: it cannot be read.
        """

    def decode_runner(self, runner_id: str, value: bytes) -> Runner:
        """Return a runner.

        :raises FormatError: the entry names none that can be used.
        """
