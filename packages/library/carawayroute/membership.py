"""Membership: the platform's instance list combined with observed departures."""

from carawayroute.clock import Clock
from carawayroute.misc import rendezvous
from carawayroute.types import Instance

# Longer than the list lags behind; after this time the list alone decides.
OBSERVATION_TTL_MS = 120_000


class Membership:
    """Instances from the platform's list, and those seen leaving by this instance or a peer.

    An instance that any source reports as leaving gets no new work. An observation ends early if
    the instance reports that it is not leaving, or is listed under a new address, which means that
    it was replaced.
    """

    __slots__ = (
        "_address_by_id",
        "_clock",
        "_instances_by_role",
        "_leaving_until_by_id",
        "_directly_observed",
        "by_id",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.by_id: dict[str, Instance] = {}
        self._instances_by_role: dict[str, list[Instance]] = {}
        self._leaving_until_by_id: dict[str, float] = {}
        self._address_by_id: dict[str, str] = {}
        self._directly_observed: set[str] = set()

    def update(self, listed: list[Instance]) -> None:
        """Apply a new version of the instance list."""
        self.by_id = {instance.id: instance for instance in listed}
        self._instances_by_role = {}
        for instance in sorted(listed, key=lambda instance: instance.id):
            self._instances_by_role.setdefault(instance.role, []).append(instance)
        for instance in listed:
            recorded_address = self._address_by_id.get(instance.id)
            if recorded_address is not None and recorded_address != instance.address:
                self._clear_observation(instance.id)

    def observe_leaving(self, instance_id: str, direct: bool = True) -> None:
        """Record that an instance is leaving.

        :param direct: observed by this instance, which then tells its peers; otherwise reported by
            a peer.
        """
        if instance_id not in self._leaving_until_by_id or direct:
            self._leaving_until_by_id[instance_id] = self._clock.now_ms() + OBSERVATION_TTL_MS
        if direct:
            self._directly_observed.add(instance_id)
        instance = self.by_id.get(instance_id)
        if instance is not None:
            self._address_by_id[instance_id] = instance.address

    def observe_not_leaving(self, instance_id: str) -> None:
        """Record that an instance reports that it is not leaving, as after a restart."""
        self._clear_observation(instance_id)

    def _clear_observation(self, instance_id: str) -> None:
        self._leaving_until_by_id.pop(instance_id, None)
        self._address_by_id.pop(instance_id, None)
        self._directly_observed.discard(instance_id)

    def directly_observed_leaving(self) -> list[str]:
        """Return the ids of leaving instances that this instance observed, for its peers."""
        return sorted(
            instance_id for instance_id in self._directly_observed if self.is_leaving(instance_id)
        )

    def is_leaving(self, instance_id: str) -> bool:
        """Return whether any source says that an instance is leaving."""
        until_ms = self._leaving_until_by_id.get(instance_id)
        if until_ms is not None:
            if self._clock.now_ms() < until_ms:
                return True
            self._clear_observation(instance_id)
        instance = self.by_id.get(instance_id)
        return instance is not None and instance.leaving

    def live(self, role: str, region: str | None = None) -> list[Instance]:
        """Return the instances of a role that are not leaving, ordered by id.

        :param region: limits the result to a region.
        """
        return [
            instance for instance in self.listed(role, region) if not self.is_leaving(instance.id)
        ]

    def listed(self, role: str, region: str | None = None) -> list[Instance]:
        """Return the instances of a role, including those that are leaving, ordered by id.

        :param region: limits the result to a region.
        """
        instances = self._instances_by_role.get(role, [])
        return [instance for instance in instances if region in (None, instance.region)]

    def link_targets(self, instance_id: str, region: str) -> list[Instance]:
        """Return the entries that an entry connects to.

        These are all entries of its region and one of each other region, chosen by rendezvous
        hashing. The number of links thus grows with the region and not with the whole fleet.
        """
        by_region: dict[str, dict[str, Instance]] = {}
        for instance in self.listed("entry"):
            if instance.id != instance_id:
                by_region.setdefault(instance.region, {})[instance.id] = instance
        targets = list(by_region.pop(region, {}).values())
        for other, entries_by_id in sorted(by_region.items()):
            first = rendezvous(f"{instance_id}/{other}", entries_by_id)[0]
            targets.append(entries_by_id[first])
        return targets
