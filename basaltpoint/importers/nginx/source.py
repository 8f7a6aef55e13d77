"""nginx files as one tree: includes in their places, each directive with the file and line it stands in.

The syntax, the contexts and the argument counts are crossplane's. It says nothing of an include that leads
back to a file being read, nor by which way a file was reached; so the tree is made here.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import crossplane

DEEPEST = 32  # includes within each other; nginx has no bound of its own, but every one is an open file


@dataclass(frozen=True, slots=True)
class Place:
    """Where something stands, and the includes that led there, the outermost first."""

    file: str
    line: int
    chain: tuple[tuple[str, int], ...] = ()

    def __str__(self) -> str:
        by = "".join(f", included at {file}:{line}" for file, line in reversed(self.chain))
        return f"{self.file}:{self.line}{by}"


@dataclass(frozen=True, slots=True)
class Directive:
    """One directive; `block` is None for one that ends with a semicolon."""

    name: str
    args: tuple[str, ...]
    place: Place
    block: tuple[Directive, ...] | None = None

    def all(self, *names: str) -> Iterator[Directive]:
        """The directives of these names that stand directly in the block, in their order."""
        return (each for each in self.block or () if each.name in names)

    def last(self, name: str) -> Directive | None:
        """The one of this name that counts where the last does."""
        return next((each for each in reversed(self.block or ()) if each.name == name), None)


@dataclass(frozen=True, slots=True)
class Problem:
    place: Place
    text: str

    def __str__(self) -> str:
        return f"{self.place}: {self.text}"


class SourceError(ValueError):
    """Files that can't be read as nginx reads them; tells every problem found."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


class _Tree:
    """Puts the files that crossplane read into one another."""

    def __init__(self, files: list[dict[str, Any]]) -> None:
        self._files = files
        self._problems: dict[Problem, None] = {}  # each once, in their order

    def whole(self) -> tuple[Directive, ...]:
        tree = tuple(self._file(0, (), (0,)))
        if self._problems:
            raise SourceError(list(self._problems))
        return tree

    def _file(
        self, number: int, chain: tuple[tuple[str, int], ...], open_files: tuple[int, ...]
    ) -> Iterator[Directive]:
        file = self._files[number]
        for error in file["errors"]:
            # crossplane ends its texts with the place, which is told in front here.
            text = str(error["error"]).removesuffix(f" in {file['file']}:{error['line']}")
            self._problem(Place(file["file"], error["line"] or 1, chain), text)
        yield from self._block(file["file"], file["parsed"], chain, open_files)

    def _block(
        self,
        name: str,
        rows: list[dict[str, Any]],
        chain: tuple[tuple[str, int], ...],
        open_files: tuple[int, ...],
    ) -> Iterator[Directive]:
        for row in rows:
            place = Place(name, row["line"], chain)
            if row["directive"] == "include":
                yield from self._include(place, row, open_files)
                continue
            block = row.get("block")
            inner = None if block is None else tuple(self._block(name, block, chain, open_files))
            yield Directive(row["directive"], tuple(row["args"]), place, inner)

    def _include(self, place: Place, row: dict[str, Any], open_files: tuple[int, ...]) -> Iterator[Directive]:
        within = (*place.chain, (place.file, place.line))
        for number in row.get("includes", ()):
            if number in open_files:
                self._problem(place, f"include of {self._files[number]['file']}, which is being read already")
            elif len(within) > DEEPEST:
                self._problem(place, f"more than {DEEPEST} includes within each other")
            else:
                yield from self._file(number, within, (*open_files, number))

    def _problem(self, place: Place, text: str) -> None:
        self._problems[Problem(place, text)] = None


def read(path: str | Path) -> tuple[Directive, ...]:
    """The directives of a file and all it includes; relative names count from the first file's folder.

    Raises SourceError with every problem of syntax, context and argument count, and for a file that is
    missing (a mask that finds none is none, as in nginx) or includes itself, with the chain of includes.
    """
    return _Tree(crossplane.parse(str(path), strict=False)["config"]).whole()
