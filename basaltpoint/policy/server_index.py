"""Ordered collections of servers: the cost of a change does not depend on the number of servers."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable
from typing import Any, Generic, TypeVar

T = TypeVar("T")


class SortedItems(Generic[T]):
    """A list sorted by a key; adding and removing an item compare O(log n) keys.

    Each change also moves the list's following pointers, which costs less than the comparisons at 10,000
    items: a list of lists, as in sortedcontainers, would gain nothing and would be a further dependency.
    """

    def __init__(self, key: Callable[[T], Any]) -> None:
        """`key` must be unique for each item and constant while the list contains the item."""
        self._key = key
        self.items: list[T] = []  # changed in place, so that callers may keep a reference

    def add(self, item: T) -> None:
        """Adds an item unless the list contains it."""
        items, key = self.items, self._key(item)
        if not items or self._key(items[-1]) < key:
            items.append(item)  # most new items have the largest key
            return
        index = bisect_left(items, key, key=self._key)
        if items[index] is not item:
            items.insert(index, item)

    def discard(self, item: T) -> None:
        """Removes an item if the list contains it."""
        index = bisect_left(self.items, self._key(item), key=self._key)
        if index < len(self.items) and self.items[index] is item:
            del self.items[index]


class RotatingWindow(Generic[T]):
    """Returns a bounded part of a list at each call, starting where the previous call stopped."""

    def __init__(self, max_items: int) -> None:
        self._max_items = max_items
        self._next = 0

    def next_items(self, items: list[T]) -> list[T]:
        """Returns a short list whole, else its next items: each item within ceil(len / max_items) calls."""
        if len(items) <= self._max_items:
            return items
        start = self._next % len(items)
        self._next = start + self._max_items
        wrapped = max(0, self._next - len(items))
        return items[start : self._next] + items[:wrapped]
