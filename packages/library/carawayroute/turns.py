"""Turns of waiting work at the searches for room, of which a pass can make only so many.

Load pattern: some work cannot be placed for the time being, as the only runners that it may use are
away or full. It keeps its rank from pass to pass. If each pass searched room only for the first
items of the ranking, a few hundred of these would keep it from ever getting to the others.

Half of the searches of a pass go by rank, so that important work is placed first. The others go to
the items that were left out the longest ago, whatever their rank.
"""

from collections.abc import Hashable
from itertools import islice


class Turns:
    """Admits a limited number of items in each pass; those that are left out come first later.

    :param limit: number of items that are admitted in a pass.
    :ivar skipped: number of times that an item was left out in the current pass.
    """

    __slots__ = ("_by_rank", "_left_out", "_limit", "_reserved", "skipped")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        # Ordered by the pass in which an item was first left out.
        self._left_out: dict[Hashable, None] = {}
        self._reserved: frozenset[Hashable] = frozenset()
        self._by_rank = limit
        self.skipped = 0

    def begin_pass(self) -> None:
        """Reserve up to half of the admissions for items that were left out before."""
        self._reserved = frozenset(islice(self._left_out, self._limit // 2))
        for key in self._reserved:
            del self._left_out[key]
        self._by_rank = self._limit - len(self._reserved)
        self.skipped = 0

    def admit(self, key: Hashable, queued: bool = True) -> bool:
        """Return whether it is an item's turn in this pass; items ask in order of rank.

        :param queued: whether the item is remembered if it is left out.
        """
        if key in self._reserved:
            return True
        if self._by_rank > 0:
            self._by_rank -= 1
            self._left_out.pop(key, None)
            return True
        self.skipped += 1
        if queued:
            self._left_out.setdefault(key)
        return False
