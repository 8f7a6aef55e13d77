"""The limiter under the example scenarios: a plan surges, an account runs away, servers stall.

    python benchmarks/scenarios.py [surge.toml ...]

For each of examples/load/*.toml: three stand-in servers, a limiter with examples/demo.toml, the load, and
an audit of the ledger against the servers' logs. Prints one table a scenario.
"""

from __future__ import annotations

import asyncio
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from basaltpoint.load import coordinator, report, scenario  # noqa: E402
from basaltpoint.load.command import read_ledger, read_server_log  # noqa: E402
from basaltpoint.load.ledger import audit  # noqa: E402

STALLED = {"stall.toml": ["--stall", "10:2"]}


def start(*args: str) -> subprocess.Popen[str]:
    command = [sys.executable, "-m", "basaltpoint", *args]
    return subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)


def free_address() -> str:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


def up(address: str) -> None:
    host, port = address.split(":")
    while True:
        try:
            socket.create_connection((host, int(port))).close()
            return
        except OSError:
            time.sleep(0.05)


def play(path: Path, folder: Path) -> None:
    keys = folder / "keys"
    keys.mkdir()
    servers, logs = [], [folder / f"s{number}.log" for number in (1, 2, 3)]
    text, address = (ROOT / "examples/demo.toml").read_text(), free_address()
    for number, log in enumerate(logs, 1):
        extra = STALLED.get(path.name, [])
        args = ["--name", f"s{number}", "--workers", "8", "--service", "exp:20", "--log", str(log)]
        args += ["--keys", str(keys), *extra]
        servers.append(start("standin", *args))
        assert servers[-1].stdout
        text = text.replace(f"127.0.0.1:900{number}", servers[-1].stdout.readline().strip())
    (folder / "limiter.toml").write_text(text.replace("127.0.0.1:8080", address))
    load = folder / path.name
    load.write_text(path.read_text().replace("127.0.0.1:8080", address))
    limiter = start("serve", str(folder / "limiter.toml"))
    try:
        up(address)
        setup = scenario.load(load)
        run = coordinator.run(load, setup, lambda told: None, ledger=folder / "ledger")
        made = report.summary(asyncio.run(run), path.name)
    finally:
        for process in (limiter, *servers):
            process.send_signal(signal.SIGTERM)
            process.wait()
    findings = audit(read_ledger(folder / "ledger"), [row for log in logs for row in read_server_log(log)])
    print(f"\n{path.name}\n{report.text(made)}\naudit: {len(findings)} findings")
    for one in findings:
        print(f"  {one.kind}: {one.ident}: {one.detail}")


def main() -> None:
    wanted = sys.argv[1:]
    for path in sorted((ROOT / "examples/load").glob("*.toml")):
        if wanted and path.name not in wanted:
            continue
        with tempfile.TemporaryDirectory() as folder:
            play(path, Path(folder))


if __name__ == "__main__":
    main()
