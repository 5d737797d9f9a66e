"""Hierarchical fair queue with shares per kind, team and caller, and early refusal."""

from collections import deque
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from carawayroute.exceptions import RefusedError

T = TypeVar("T")

# Keys of a request at each level of the queue: kind, team, caller.
Path = tuple[str, str, str]


class _Level(Generic[T]):
    """One node of the hierarchy: a weighted choice between children, or a FIFO leaf.

    :param weight: share of the parent's service relative to the node's siblings.
    :param start_tag: virtual time, on the parent's scale, at which the next service starts.
    :ivar virtual_time: start tag of the child served last.
    :ivar waiting: number of items queued in the node and below it.
    """

    __slots__ = ("children_by_key", "items", "start_tag", "virtual_time", "waiting", "weight")

    def __init__(self, weight: float, start_tag: float) -> None:
        self.weight = weight
        self.start_tag = start_tag
        self.virtual_time = 0.0
        self.waiting = 0
        self.children_by_key: dict[str, _Level[T]] = {}
        self.items: deque[T] = deque()

    def child(self, key: str, weight: float) -> "_Level[T]":
        """Return the child for a key; a new or idle one starts at the current virtual time.

        An idle child therefore saves up no service.
        """
        child = self.children_by_key.get(key)
        if child is None:
            child = self.children_by_key[key] = _Level(weight, self.virtual_time)
        elif child.waiting == 0:
            child.start_tag = max(child.start_tag, self.virtual_time)
        child.weight = weight
        return child

    def next_child(self) -> "tuple[str, _Level[T]]":
        """Return the waiting child with the least service in proportion to its weight."""
        waiting = (pair for pair in self.children_by_key.items() if pair[1].waiting)
        return min(waiting, key=lambda pair: pair[1].start_tag)

    def share_of(self, key: str, weight: float) -> float:
        """Return the share of this node's service that a child gets among the waiting children."""
        others = sum(
            child.weight
            for name, child in self.children_by_key.items()
            if child.waiting and name != key
        )
        return weight / (others + weight)


class FairQueue(Generic[T]):
    """Queue requests by kind, then team, then caller, each served in proportion to its weight.

    Start-time fair queueing at every level. Service is measured in expected run time, so that long
    requests do not crowd out short ones. A flood of one kind, team or caller only lengthens its own
    queue: all others keep at least their share.

    :param weights: returns the weights of kind, team and caller for a path.
    """

    __slots__ = ("_root", "_weights")

    def __init__(self, weights: Callable[[Path], tuple[float, float, float]]) -> None:
        self._weights = weights
        self._root: _Level[T] = _Level(1.0, 0.0)

    def __len__(self) -> int:
        return self._root.waiting

    def push(self, path: Path, item: T) -> None:
        """Append an item to its caller's queue."""
        level = self._root
        level.waiting += 1
        for key, weight in zip(path, self._weights(path), strict=True):
            level = level.child(key, weight)
            level.waiting += 1
        level.items.append(item)

    def pop(self, cost_ms: Callable[[T], float]) -> T | None:
        """Remove and return the next item, charging its cost at every level of its path.

        :param cost_ms: returns the expected run time of an item.
        :returns: the item, or ``None`` if the queue is empty.
        """
        if self._root.waiting == 0:
            return None
        visited = [self._root]
        level = self._root
        while level.children_by_key:
            _, child = level.next_child()
            level.virtual_time = max(level.virtual_time, child.start_tag)
            visited.append(child)
            level = child
        item = level.items.popleft()
        cost = cost_ms(item)
        for level in visited:
            level.waiting -= 1
        for level in visited[1:]:
            level.start_tag += cost / level.weight
        self._prune(visited)
        return item

    def remove(self, path: Path, item: T) -> bool:
        """Remove an item whose caller stopped waiting; return whether it was queued."""
        visited = [self._root]
        for key in path:
            child = visited[-1].children_by_key.get(key)
            if child is None:
                return False
            visited.append(child)
        try:
            visited[-1].items.remove(item)
        except ValueError:
            return False
        for level in visited:
            level.waiting -= 1
        return True

    def _prune(self, visited: list[_Level[T]]) -> None:
        """Delete idle children whose past service no longer affects the order."""
        for level in visited[:-1]:
            if len(level.children_by_key) < 64:
                continue
            for key, child in list(level.children_by_key.items()):
                if child.waiting == 0 and child.start_tag <= level.virtual_time:
                    del level.children_by_key[key]

    def items(self) -> Iterator[T]:
        """Iterate over all queued items, in no particular order."""
        levels = [self._root]
        while levels:
            level = levels.pop()
            yield from level.items
            levels.extend(level.children_by_key.values())

    def waiting_at(self, path: Path) -> int:
        """Return the number of items in a caller's own queue."""
        level = self._root
        for key in path:
            child = level.children_by_key.get(key)
            if child is None:
                return 0
            level = child
        return level.waiting

    def share_at(self, path: Path) -> float:
        """Return the share of the whole service that a caller's queue gets now."""
        level: _Level[T] | None = self._root
        share = 1.0
        for key, weight in zip(path, self._weights(path), strict=True):
            if level is None:
                break
            share *= level.share_of(key, weight)
            level = level.children_by_key.get(key)
        return share

    def expected_wait_ms(self, path: Path, cost_ms: float, slots: float) -> float:
        """Return how long a new item would wait behind its caller's own queue, in ms.

        :param cost_ms: expected run time of one item.
        :param slots: number of slots that serve the whole queue.
        """
        ahead = self.waiting_at(path)
        if ahead == 0 or slots <= 0:
            return 0.0
        return ahead * cost_ms / (slots * self.share_at(path))

    def check(self, path: Path, cost_ms: float, slots: float, remaining_ms: float) -> None:
        """Refuse a new item that is not expected to be answered within the caller's wait.

        :param cost_ms: expected run time of one item.
        :param slots: number of slots that serve the whole queue.
        :param remaining_ms: time for which the caller still waits.
        :raises RefusedError: with the time after which a retry may succeed.
        """
        expected_ms = self.expected_wait_ms(path, cost_ms, slots)
        late_ms = expected_ms + cost_ms - remaining_ms
        if late_ms > 0:
            raise RefusedError("the queue is longer than the caller can wait", int(late_ms) + 1)
