"""Composes the sites of `benchmarks/sites/` and runs them in the platform's simulator in one call.

    python benchmarks/sites.py --bench PATH/TO/lbsim --wire PATH/TO/wire.json --why "the purpose" [SITE ...]

`base.toml` holds the settings that the sites share, and a site's tables are merged into it. A table merged
into a list of tables (the tiers) is merged into each of them; any other list replaces that of the base. The
simulator writes its snapshots to journal/.
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

LIMITER_COUNTS = (2, 3, 4, 6)
METER_DELAYS_MS = (300, 800, 1400, 2000)
SITES = Path(__file__).parent / "sites"


def merge(base: Any, overlay: Any) -> Any:
    """Merges `overlay` into `base`, recursively."""
    if isinstance(overlay, dict) and isinstance(base, list):
        return [merge(each, overlay) for each in base]
    if isinstance(overlay, dict) and isinstance(base, dict):
        return {**base, **{key: merge(base.get(key), value) for key, value in overlay.items()}}
    return overlay


def compose_site(name: str) -> dict[str, Any]:
    """Returns a site merged into the base. Raises FileNotFoundError for an unknown name."""
    base = tomllib.loads((SITES / "base.toml").read_text())
    site: dict[str, Any] = merge(base, tomllib.loads((SITES / f"{name}.toml").read_text()))
    return site


def grid_variants(site: dict[str, Any]) -> dict[str, dict[str, Any]]:
    """Returns variants of a site by number of limiters and delay of the meter (in ms), by name."""
    variants = {}
    for limiters in LIMITER_COUNTS:
        for meter_delay_ms in METER_DELAYS_MS:
            name = f"{site['name']}-{limiters}-{meter_delay_ms}"
            scale = {"balancers": limiters, "big_balancers": limiters, "twin_balancers": limiters}
            fam = {"meter_late_ms": meter_delay_ms}
            variants[name] = merge(site, {"name": name, "stock": site["name"], "scale": scale, "fam": fam})
    return variants


def site_names() -> list[str]:
    return sorted(path.stem for path in SITES.glob("*.toml") if path.stem != "base")


def main() -> int:
    parser = argparse.ArgumentParser(description="Run the module on the sites of benchmarks/sites/.")
    parser.add_argument(
        "sites", nargs="*", metavar="SITE", help=f"of {', '.join(site_names())}; all by default"
    )
    parser.add_argument("--bench", required=True, type=Path, help="path of the simulator's executable")
    parser.add_argument("--wire", required=True, type=Path, help="protocol description that the adapter uses")
    parser.add_argument("--why", required=True, help="purpose of the run, one sentence for the journal")
    parser.add_argument(
        "--quick", action="store_true", help="run only the four days with the greatest weight"
    )
    parser.add_argument(
        "--grid",
        action="store_true",
        help="run variants of each site by number of limiters and delay of the meter",
    )
    args = parser.parse_args()
    if unknown := sorted(set(args.sites) - set(site_names())):
        parser.error(f"no site {unknown[0]!r}; there are {', '.join(site_names())}")
    sites = {name: compose_site(name) for name in args.sites or site_names()}
    if args.grid:
        sites = {name: site for each in sites.values() for name, site in grid_variants(each).items()}
    with tempfile.TemporaryDirectory() as folder:
        files = []
        for name, site in sites.items():
            files.append(Path(folder) / f"{name}.toml")
            files[-1].write_text(tomli_w.dumps({**site, "wire": str(args.wire.resolve())}))
        quick = ["--quick"] if args.quick else []
        command = [str(args.bench.resolve()), "score", *map(str, files), *quick, "--why", args.why]
        return subprocess.run(command, check=False).returncode


if __name__ == "__main__":
    sys.exit(main())
