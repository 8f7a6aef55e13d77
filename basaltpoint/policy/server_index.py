"""Servers kept in order while the list changes: a change costs what changed, not how many there are."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable
from typing import Any, Generic, TypeVar

T = TypeVar("T")


class SortedItems(Generic[T]):
    """A list in the order of a key; putting in and taking out cost O(log n) looks at keys.

    The list itself moves its pointers on, which at 10,000 items costs less than the looks: a list of lists,
    as sortedcontainers has it, would gain nothing, and the platform's start imports no library for it.
    """

    def __init__(self, key: Callable[[T], Any]) -> None:
        """`key`: differs between any two items, and stays the same while an item is held."""
        self._key = key
        self.items: list[T] = []  # always the same list: whoever holds it sees each change

    def add(self, item: T) -> None:
        """Put an item in, unless it is held."""
        items, key = self.items, self._key(item)
        if not items or self._key(items[-1]) < key:
            items.append(item)  # what is new mostly comes last
            return
        at = bisect_left(items, key, key=self._key)
        if items[at] is not item:
            items.insert(at, item)

    def discard(self, item: T) -> None:
        """Take an item out, if it is held."""
        at = bisect_left(self.items, self._key(item), key=self._key)
        if at < len(self.items) and self.items[at] is item:
            del self.items[at]


class RotatingWindow(Generic[T]):
    """A bounded part of a list for each call, which goes on where the last call's ended."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._next = 0

    def next_items(self, items: list[T]) -> list[T]:
        """All of a short list; of a longer one the next items: in ceil(len / most) calls each comes once."""
        if len(items) <= self._most:
            return items
        begin = self._next % len(items)
        self._next = begin + self._most
        rest = max(0, self._next - len(items))
        return items[begin : self._next] + items[:rest]
