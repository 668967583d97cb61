"""Finds a few endpoints of a service for a request, however many there are."""

from collections import OrderedDict
from collections.abc import Iterable
from math import log
from random import Random
from zlib import crc32

from attrs import define, field

from pistachiolever.gateway.const import (
    FREE_SAMPLES,
    HOMES,
    MAX_CACHED_HOMES,
    RANDOM_SAMPLES,
)
from pistachiolever.slowdown.capacity_classes import CapacityClasses

# An odd 64-bit constant and the shifts of a common integer hash (splitmix64).
_MIX_FACTOR = 0xBF58476D1CE4E5B9
_MIX_MASK = 0xFFFFFFFFFFFFFFFF
_MIX_SHIFT = 31
# Bits of a hash that a float holds exactly with a half added, which avoids log(0) and
# log(1), and the number of their values.
_FLOAT_BITS = 52
_FLOAT_VALUES = 2.0**_FLOAT_BITS


@define
class IndexedSet:
    """A set of ids from which random ones can be drawn in constant time."""

    ids: list[str] = field(factory=list)
    place_by_id: dict[str, int] = field(factory=dict)

    def add(self, item: str) -> None:
        """Add an id."""
        if item not in self.place_by_id:
            self.place_by_id[item] = len(self.ids)
            self.ids.append(item)

    def discard(self, item: str) -> None:
        """Remove an id if it is there."""
        place = self.place_by_id.pop(item, None)
        if place is None:
            return
        last = self.ids.pop()
        if last != item:
            self.ids[place] = last
            self.place_by_id[last] = place

    def sample(self, count: int, rng: Random) -> Iterable[str]:
        """Return some random ids, all of them if there are so few."""
        if len(self.ids) <= count:
            return list(self.ids)
        return {self.ids[int(rng.random() * len(self.ids))] for _ in range(count)}


@define
class ServiceIndex:
    """The ready endpoints of one service.

    `free` are those that have, as far as known, a free slot. `homes_by_part` caches the
    endpoints that all routers choose for a shared part of prompts. `classes` are the
    capacity classes, by which an engine is home to more parts or fewer.
    """

    ready: IndexedSet = field(factory=IndexedSet)
    free: IndexedSet = field(factory=IndexedSet)
    hash_by_id: dict[str, int] = field(factory=dict)
    homes_by_part: OrderedDict[str, list[str]] = field(factory=OrderedDict)
    classes: CapacityClasses = field(factory=CapacityClasses)

    def add(self, endpoint_id: str) -> None:
        """Add an endpoint; it counts as free until its load is known."""
        if endpoint_id in self.hash_by_id:
            return
        self.ready.add(endpoint_id)
        self.free.add(endpoint_id)
        self.hash_by_id[endpoint_id] = _hash(endpoint_id)
        self.homes_by_part.clear()

    def discard(self, endpoint_id: str) -> None:
        """Remove an endpoint."""
        if self.hash_by_id.pop(endpoint_id, None) is not None:
            self.ready.discard(endpoint_id)
            self.free.discard(endpoint_id)
            self.classes.discard(endpoint_id)
            self.homes_by_part.clear()

    def update_load(self, endpoint_id: str, is_full: bool) -> None:
        """Apply whether an endpoint has a free slot."""
        if endpoint_id not in self.hash_by_id or is_full:
            self.free.discard(endpoint_id)
        else:
            self.free.add(endpoint_id)

    def update_rate(self, endpoint_id: str, rate: float, now: float) -> None:
        """Apply the lasting prefill rate of an endpoint; 0 if it is not known."""
        if endpoint_id not in self.hash_by_id:
            return
        self.classes.update_rate(endpoint_id, rate)
        if self.classes.review(now):
            self.homes_by_part.clear()

    def homes(self, part_id: str) -> list[str]:
        """Return the endpoints for a shared part, by weighted rendezvous hashing.

        All routers that know the same endpoints and classes return the same ones in the
        same order.
        """
        homes = self.homes_by_part.get(part_id)
        if homes is None:
            part = _hash(part_id)
            scores = self._scores(part)
            scores.sort(reverse=True)
            homes = [endpoint_id for _, endpoint_id in scores[:HOMES]]
            self.homes_by_part[part_id] = homes
            if len(self.homes_by_part) > MAX_CACHED_HOMES:
                self.homes_by_part.popitem(last=False)
        return homes

    def _scores(self, part: int) -> list[tuple[float, str]]:
        """Return the score of each endpoint for a part; the highest ones are homes."""
        if not self.classes.class_by_id:
            return [
                (_mix(part ^ number), endpoint_id)
                for endpoint_id, number in self.hash_by_id.items()
            ]
        return [
            (
                -self.classes.weight(endpoint_id) / log(_fraction(_mix(part ^ number))),
                endpoint_id,
            )
            for endpoint_id, number in self.hash_by_id.items()
        ]

    def choose(self, part_id: str, rng: Random) -> dict[str, None]:
        """Return the endpoints to consider for a request, in no order.

        Those are the homes of its shared part, some that are free and some at random.
        """
        chosen = dict.fromkeys(self.homes(part_id)) if part_id else {}
        chosen.update(dict.fromkeys(self.free.sample(FREE_SAMPLES, rng)))
        chosen.update(dict.fromkeys(self.ready.sample(RANDOM_SAMPLES, rng)))
        return chosen


def _hash(text: str) -> int:
    """Return 64 bits that are the same in every router."""
    data = text.encode()
    return (crc32(data) << 32) | crc32(data[::-1])


def _fraction(number: int) -> float:
    """Return 64 bits as a number between 0 and 1, in the same order."""
    return ((number >> (64 - _FLOAT_BITS)) + 0.5) / _FLOAT_VALUES


def _mix(number: int) -> int:
    """Return a number of which each bit depends on all bits of the input."""
    number = ((number ^ (number >> _MIX_SHIFT)) * _MIX_FACTOR) & _MIX_MASK
    number = ((number ^ (number >> _MIX_SHIFT)) * _MIX_FACTOR) & _MIX_MASK
    return number ^ (number >> _MIX_SHIFT)
