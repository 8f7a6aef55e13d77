"""The sites of `benchmarks/sites/`, composed and played by the platform's simulator in one call.

    python benchmarks/sites.py --bench PATH/TO/lbsim --wire PATH/TO/wire.json --why "what is tried" [SITE ...]

`base.toml` holds what the sites share. A site's tables are laid over it; a table over a list of tables (one
tier) goes into each of them; any other list takes the place of the base's. The bench leaves its snapshots in
journal/.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path
from typing import Any

import tomli_w

LIMITERS = (2, 3, 4, 6)
LATE_MS = (300, 800, 1400, 2000)
SITES = Path(__file__).parent / "sites"


def laid_over(base: Any, top: Any) -> Any:
    """`base` with the entries of `top` in it."""
    if isinstance(top, dict) and isinstance(base, list):
        return [laid_over(each, top) for each in base]
    if isinstance(top, dict) and isinstance(base, dict):
        return {**base, **{key: laid_over(base.get(key), value) for key, value in top.items()}}
    return top


def composed(name: str) -> dict[str, Any]:
    """A site whole; FileNotFoundError where there is none of that name."""
    base = tomllib.loads((SITES / "base.toml").read_text())
    whole: dict[str, Any] = laid_over(base, tomllib.loads((SITES / f"{name}.toml").read_text()))
    return whole


def grid(site: dict[str, Any]) -> dict[str, dict[str, Any]]:
    """Variants of a site with so many limiters and its meter so late, by name."""
    variants = {}
    for limiters in LIMITERS:
        for late in LATE_MS:
            name = f"{site['name']}-{limiters}-{late}"
            scale = {"balancers": limiters, "big_balancers": limiters, "twin_balancers": limiters}
            fam = {"meter_late_ms": late}
            variants[name] = laid_over(
                site, {"name": name, "stock": site["name"], "scale": scale, "fam": fam}
            )
    return variants


def names() -> list[str]:
    return sorted(path.stem for path in SITES.glob("*.toml") if path.stem != "base")


def main() -> int:
    parser = argparse.ArgumentParser(description="Play the module on the sites of benchmarks/sites/.")
    parser.add_argument("sites", nargs="*", metavar="SITE", help=f"of {', '.join(names())}; all by default")
    parser.add_argument("--bench", required=True, type=Path, help="the simulator's program")
    parser.add_argument("--wire", required=True, type=Path, help="the wire's file that the adapter speaks")
    parser.add_argument("--why", required=True, help="one plain sentence for the journal")
    parser.add_argument("--quick", action="store_true", help="the four days that weigh most")
    parser.add_argument(
        "--grid", action="store_true", help="one site by number of limiters and lateness of its meter instead"
    )
    given = parser.parse_args()
    if unknown := sorted(set(given.sites) - set(names())):
        parser.error(f"no site {unknown[0]!r}; there are {', '.join(names())}")
    sites = {name: composed(name) for name in given.sites or names()}
    if given.grid:
        sites = {name: site for each in sites.values() for name, site in grid(each).items()}
    with tempfile.TemporaryDirectory() as folder:
        files = []
        for name, site in sites.items():
            files.append(Path(folder) / f"{name}.toml")
            files[-1].write_text(tomli_w.dumps({**site, "wire": str(given.wire.resolve())}))
        quick = ["--quick"] if given.quick else []
        call = [str(given.bench.resolve()), "score", *map(str, files), *quick, "--why", given.why]
        return subprocess.run(call, check=False).returncode


if __name__ == "__main__":
    sys.exit(main())
