"""`basaltpoint check` reports all problems with file, key path, what was found and what is allowed.

The golden file tests/golden/check.txt contains the messages of each case. `python tests/test_check.py` generates
it from the cases; review its diff before it is committed.
"""

from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path

import pytest

from basaltpoint.config.build import NumberRegistry, load
from basaltpoint.config.decode import FileError
from basaltpoint.config.reference import reference

ROOT = Path(__file__).parent.parent
GOLDEN = Path(__file__).parent / "golden" / "check.txt"
VALID_FILE = """listen = "127.0.0.1:8080"

[identity]
header = "X-Api-Key"

[[plan]]
name = "team"
rate = 10
burst = 20

[[account]]
name = "one"
plan = "team"
keys = ["sha256:0000000000000000000000000000000000000000000000000000000000000001"]

[[class]]
name = "read"
effect = "safe"

[[class]]
name = "put"
effect = "keyed"
window_ms = 5000

[[server]]
name = "s1"
address = "127.0.0.1:9001"

[[pool]]
name = "main"
servers = ["s1"]

[[route]]
name = "all"
prefix = "/api"
pool = "main"
class = "read"
"""

# By name: a text of the valid file and its replacement. With an empty text the replacement is appended.
CASES: dict[str, tuple[str, str]] = {
    "no TOML": ("[[pool]]", "[[pool]"),
    "a key twice": ('name = "team"', 'name = "team"\nname = "x"'),
    "unknown top key": ("listen =", "lisen = 1\nlisten ="),
    "unknown key far from any": ("listen =", "zzz = 1\nlisten ="),
    "unknown key in a table": ("rate = 10", "rate = 10\nbrust = 3"),
    "unknown table": ("[identity]", "[identiy]"),
    "listen missing": ('listen = "127.0.0.1:8080"', ""),
    "listen a name": ('"127.0.0.1:8080"', '"localhost:8080"'),
    "listen without port": ('"127.0.0.1:8080"', '"127.0.0.1"'),
    "listen port too high": ('"127.0.0.1:8080"', '"127.0.0.1:70000"'),
    "listen a number": ('"127.0.0.1:8080"', "8080"),
    "rate a text": ("rate = 10", 'rate = "10"'),
    "rate zero": ("rate = 10", "rate = 0"),
    "rate missing": ("rate = 10\n", ""),
    "rate true": ("rate = 10", "rate = true"),
    "burst negative": ("burst = 20", "burst = -1"),
    "parallel a fraction": ("burst = 20", "burst = 20\nparallel = 1.5"),
    "ceiling half": ("burst = 20", "burst = 20\nceiling_rate = 50"),
    "ceiling below the rate": ("burst = 20", "burst = 20\nceiling_rate = 5\nceiling_burst = 5"),
    "plan named badly": ('name = "team"', 'name = "a team"'),
    "plan twice": ("[[account]]", '[[plan]]\nname = "team"\nrate = 1\nburst = 1\n\n[[account]]'),
    "no plan": ('[[plan]]\nname = "team"\nrate = 10\nburst = 20\n', ""),
    "plan a table, not a list": ("[[plan]]", "[plan]"),
    "account of no plan": ('plan = "team"', 'plan = "tema"'),
    "key as it is": (
        '"sha256:0000000000000000000000000000000000000000000000000000000000000001"',
        '"secret-key"',
    ),
    "key too short": ('0001"]', '001"]'),
    "no keys": (
        'keys = ["sha256:0000000000000000000000000000000000000000000000000000000000000001"]',
        "keys = []",
    ),
    "two accounts with one key": (
        '[[class]]\nname = "read"',
        '[[account]]\nname = "two"\nplan = "team"\nkeys = '
        '["sha256:0000000000000000000000000000000000000000000000000000000000000001"]\n\n[[class]]\nname = "read"',
    ),
    "account twice": (
        '[[class]]\nname = "read"',
        '[[account]]\nname = "one"\nplan = "team"\nkeys = '
        '["sha256:0000000000000000000000000000000000000000000000000000000000000002"]\n\n[[class]]\nname = "read"',
    ),
    "accounts file missing": ("listen =", 'accounts_file = "no-such-file"\nlisten ='),
    "strangers without a plan": ('header = "X-Api-Key"', 'no_key = "anonymous"'),
    "strangers of an unknown plan": (
        'header = "X-Api-Key"',
        'no_key = "anonymous"\nanonymous_plan = "guest"',
    ),
    "no_key unknown": ('header = "X-Api-Key"', 'no_key = "allow"'),
    "identity header not a token": ('header = "X-Api-Key"', 'header = "X Api Key"'),
    "trusted proxy no network": ('header = "X-Api-Key"', 'trusted_proxies = ["10.0.0.0/8", "10.0.0.1/8"]'),
    "effect unknown": ('effect = "safe"', 'effect = "idempotent"'),
    "keyed without a window": ("window_ms = 5000", ""),
    "window of a safe class": ('effect = "safe"', 'effect = "safe"\nwindow_ms = 10'),
    "aim past the deadline": ('effect = "safe"', 'effect = "safe"\naim_ms = 9000\ndeadline_ms = 100'),
    "late worth above one": ('effect = "safe"', 'effect = "safe"\nlate_worth = 2'),
    "class twice": ('name = "put"', 'name = "read"'),
    "server address a name": ('"127.0.0.1:9001"', '"server:9001"'),
    "two servers at one address": (
        "[[pool]]",
        '[[server]]\nname = "s2"\naddress = "127.0.0.1:9001"\n\n[[pool]]',
    ),
    "weight zero": ('address = "127.0.0.1:9001"', 'address = "127.0.0.1:9001"\nweight = 0'),
    "pool without servers": ('servers = ["s1"]', "servers = []"),
    "pool of an unknown server": ('servers = ["s1"]', 'servers = ["s1", "s9"]'),
    "pool names a server twice": ('servers = ["s1"]', 'servers = ["s1", "s1"]'),
    "servers not a list": ('servers = ["s1"]', 'servers = "s1"'),
    "route of an unknown pool": ('pool = "main"', 'pool = "mian"'),
    "route of an unknown class": ('class = "read"\n', 'class = "raed"\n'),
    "route without a class": ('class = "read"\n', ""),
    "path and prefix": ('prefix = "/api"', 'prefix = "/api"\npath = "/x"'),
    "prefix not in normal form": ('prefix = "/api"', 'prefix = "/api/../x"'),
    "prefix with a query": ('prefix = "/api"', 'prefix = "/api?x=1"'),
    "prefix without a slash": ('prefix = "/api"', 'prefix = "api"'),
    "regex broken": ('prefix = "/api"', 'regex = "(a"'),
    "regex with look-ahead": ('prefix = "/api"', 'regex = "(?=a)"'),
    "rewrite of a path": ('prefix = "/api"', 'path = "/api"\nrewrite = "/x"'),
    "host in capitals": ('prefix = "/api"', 'prefix = "/api"\nhosts = ["API.test"]'),
    "host with a port": ('prefix = "/api"', 'prefix = "/api"\nhosts = ["api.test:80"]'),
    "method in small letters": ('prefix = "/api"', 'prefix = "/api"\nmethods = ["get"]'),
    "header set with a line break": ('prefix = "/api"', 'prefix = "/api"\nset_headers = { X-A = "a\\nb" }'),
    "framing header set": ('prefix = "/api"', 'prefix = "/api"\nset_headers = { Content-Length = "3" }'),
    "units beyond every burst": ('prefix = "/api"', 'prefix = "/api"\nunits = 21'),
    "two routes alike": ("", '\n[[route]]\nname = "again"\nprefix = "/api"\npool = "main"\nclass = "put"\n'),
    "health path": ("[identity]", '[health]\npath = "health"\n\n[identity]'),
    "attempts zero": ("[identity]", "[upstream]\nattempts = 0\n\n[identity]"),
    "memory too small": ("[identity]", "[limits]\nmemory_mb = 1\n\n[identity]"),
    "several at once": ("rate = 10\nburst = 20", 'rate = -1\nburst = "x"\nextra = 1'),
    "several across tables": ('servers = ["s1"]', 'servers = ["s2", "s3", "s2"]'),
}


def messages(folder: Path, name: str) -> str:
    """Returns the messages of a case, without the folder in their paths."""
    old, new = CASES[name]
    assert old in VALID_FILE, name
    path = folder / "limiter.toml"
    path.write_text(VALID_FILE + new if not old else VALID_FILE.replace(old, new, 1))
    try:
        load(path)
    except FileError as error:
        return str(error).replace(f"{folder}/", "")
    return "good"


def golden() -> dict[str, str]:
    blocks = GOLDEN.read_text().strip().split("\n\n")
    return {block.partition("\n")[0].removeprefix("# "): block.partition("\n")[2] for block in blocks}


@pytest.mark.parametrize("name", CASES)
def test_messages_of_an_invalid_file(tmp_path: Path, name: str) -> None:
    reported = messages(tmp_path, name)
    assert reported != "good"
    assert reported == golden()[name]


def test_the_golden_file_has_exactly_the_cases() -> None:
    assert set(golden()) == set(CASES) and len(CASES) >= 40


def test_the_valid_file_is_accepted(tmp_path: Path) -> None:
    path = tmp_path / "limiter.toml"
    path.write_text(VALID_FILE)
    assert len(load(path).routes.routes) == 1


def test_accounts_are_read_from_a_separate_file(tmp_path: Path) -> None:
    path, lines = tmp_path / "limiter.toml", tmp_path / "accounts.jsonl"
    path.write_text(VALID_FILE.replace("listen =", 'accounts_file = "accounts.jsonl"\nlisten =', 1))
    rows = [f'{{"name": "a{n}", "plan": "team", "keys": ["sha256:{n:064x}"]}}' for n in range(10, 20)]
    lines.write_text("\n".join(rows) + "\n\n")
    assert len(load(path).accounts) == 11
    bad = ["{", "7", '{"name": "b", "plan": "team"}', rows[0], '{"name": "c", "plan": "tema", "keys": []}']
    lines.write_text("\n".join([rows[0], *bad]))
    with pytest.raises(FileError) as raised:
        load(path)
    reported = [(problem.path, problem.file.rsplit("/", 1)[-1]) for problem in raised.value.problems]
    assert ("line 2", "accounts.jsonl") in reported and ("line 4.keys", "accounts.jsonl") in reported
    assert ("accounts.jsonl:5.name", "limiter.toml") in reported
    assert ("accounts.jsonl:6.plan", "limiter.toml") in reported


def test_numbers_are_stable_over_reloads_and_an_invalid_file_assigns_none(tmp_path: Path) -> None:
    path, numbers = tmp_path / "limiter.toml", NumberRegistry()
    path.write_text(VALID_FILE)
    before = load(path, numbers)
    path.write_text(VALID_FILE.replace('name = "s1"', 'name = "s0"').replace('["s1"]', '["nope"]'))
    with pytest.raises(FileError):
        load(path, numbers)
    two = '[[server]]\nname = "s0"\naddress = "127.0.0.1:9002"\n\n[[server]]\nname = "s1"'
    path.write_text(
        VALID_FILE.replace('[[server]]\nname = "s1"', two).replace("127.0.0.1:9001", "127.0.0.1:9001", 1)
    )
    after = load(path, numbers)
    assert after.servers[1].number == before.servers[0].number
    assert after.pools == before.pools


def command(*args: str, stdin: str = "") -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "basaltpoint", *args], cwd=ROOT, input=stdin, capture_output=True, text=True,
        check=False,
    )  # fmt: skip


def test_the_commands(tmp_path: Path) -> None:
    path = tmp_path / "limiter.toml"
    path.write_text(VALID_FILE.replace("rate = 10", "rate = 0"))
    done = command("check", str(path))
    assert done.returncode == 2 and f"{path}: plan[0].rate: found 0" in done.stderr
    assert command("serve", str(path)).returncode == 2
    path.write_text(VALID_FILE)
    done = command("check", str(path))
    assert done.returncode == 0 and "1 routes" in done.stdout
    done = command("hash-key", stdin="a-key-of-the-tests\n")
    assert done.stdout.startswith("sha256:") and len(done.stdout) == 72
    assert command("hash-key", stdin="short\n").returncode == 2


def test_the_example_is_valid_and_the_reference_matches_the_schema() -> None:
    load(ROOT / "examples/demo.toml")
    assert (ROOT / "docs/guide/reference.md").read_text() == reference()


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as made:
        GOLDEN.parent.mkdir(exist_ok=True)
        GOLDEN.write_text("\n\n".join(f"# {name}\n{messages(Path(made), name)}" for name in CASES) + "\n")
