"""Protocols that adapters of the platform's store, runners and record formats implement."""

from typing import Protocol

from carawayroute.fleet.types import Configuration, Runner, RunnerReport


class AppendResult:
    """The result of an append.

    :param offset: offset of the first appended record.
    :param end: offset at which the partition ends after the append.
    """

    __slots__ = ("end", "offset")

    def __init__(self, offset: int, end: int) -> None:
        self.offset = offset
        self.end = end


class KeyedRecord:
    """A record of a keyed topic; an empty value deletes the key."""

    __slots__ = ("key", "offset", "value")

    def __init__(self, offset: int, key: str, value: bytes) -> None:
        self.offset = offset
        self.key = key
        self.value = value


class RecordPage:
    """The result of a read from a partition.

    :param next_offset: offset from which to continue reading.
    :param end: offset at which the partition ends.
    :param age_ms: how long before this read the store was asked for ``end``, 0 if it was asked
        afterwards.
    """

    __slots__ = ("age_ms", "end", "next_offset", "records")

    def __init__(
        self, records: list[KeyedRecord], next_offset: int, end: int, age_ms: float = 0.0
    ) -> None:
        self.age_ms = age_ms
        self.records = records
        self.next_offset = next_offset
        self.end = end


class RecordReader(Protocol):
    """Reads keyed topics, each with one partition."""

    async def read(self, topic: str, offset: int, wait_ms: int) -> RecordPage:
        """Return records from an offset on.

        :param wait_ms: longest time to wait for the first record.
        :raises StoreTrimmedError: the records have been removed by retention.
        :raises StoreError: the read failed.
        """

    async def newest(self, topic: str) -> RecordPage:
        """Return the newest record of each key; concurrent appends may be missing.

        :raises StoreError: the read failed.
        """


class Store(RecordReader, Protocol):
    """The platform's store of keyed topics."""

    async def read(self, topic: str, offset: int, wait_ms: int, max_kb: int = 0) -> RecordPage:
        """Return records from an offset on.

        :param wait_ms: longest time to wait for the first record.
        :param max_kb: largest size of the records together, 0 for the usual one.
        :raises StoreTrimmedError: the records have been removed by retention.
        :raises StoreError: the read failed.
        """

    async def append(
        self,
        topic: str,
        records: list[tuple[str, bytes]],
        at: int | None = None,
        producer: str = "",
        epoch: int = 0,
        sequence: int | None = None,
    ) -> AppendResult:
        """Append all records or none; without records only the producer's epoch is set.

        :param records: pairs of key and value.
        :param at: append only if the topic ends at this offset.
        :param producer: name under which the store checks epochs and sequence numbers.
        :param epoch: the producer's epoch; the store rejects lower epochs than the newest.
        :param sequence: number of the append within the epoch, so that a repeated append is stored
            once.
        :raises StoreError: the subclass says whether the append may have taken effect.
        """


class RunnerClient(Protocol):
    """Sends requests to runners; each carries the planner's term as a fencing token."""

    async def hold(
        self, runner: Runner, term: int, acknowledged: int, lease_until_ms: int, wait_ms: int
    ) -> RunnerReport:
        """Renew the lease, acknowledge ended runs, and return the running and ended ones.

        :param acknowledged: number up to which ends are acknowledged.
        :param lease_until_ms: end of the lease on the runner's clock, 0 to leave it unchanged.
        :param wait_ms: longest time to wait for a task to end.
        :raises RunnerError: the subclass says whether the request may have taken effect.
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
        """Start a run of a task and return the runner's clock in ms.

        :param run: number of the run of this task.
        :param checkpoint: checkpoint from which to resume, empty to start from the beginning.
        :param lease_until_ms: end of the lease on the runner's clock.
        :raises RunnerError: the subclass says whether the request may have taken effect.
        """

    async def stop(self, runner: Runner, term: int, task: str, run: int) -> int:
        """Stop a run, or prevent it from starting later, and return the runner's clock in ms.

        :raises RunnerError: the subclass says whether the request may have taken effect.
        """


class PlatformFormat(Protocol):
    """Topics, keys and encoding of the platform's configuration and runner records.

    :ivar configuration_topic: topic of the configuration.
    :ivar configuration_key: key of the configuration in that topic.
    :ivar runners_topic: topic of the runners, keyed by runner id.
    """

    configuration_topic: str
    configuration_key: str
    runners_topic: str

    def decode_configuration(self, value: bytes) -> Configuration:
        """Decode a configuration record.

        :raises FormatError: the record cannot be decoded.
        """

    def decode_runner(self, runner_id: str, value: bytes) -> Runner:
        """Decode a runner record.

        :raises FormatError: the record does not describe a usable runner.
        """
