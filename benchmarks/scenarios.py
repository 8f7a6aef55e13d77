"""Runs the limiter under the example scenarios: a surge of a plan, a runaway account, stalled servers.

    python benchmarks/scenarios.py [surge.toml ...]

For each of examples/load/*.toml, starts three stand-in servers and a limiter with examples/demo.toml, runs
the load, audits the ledger against the servers' logs, and prints one table.
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

EXTRA_SERVER_ARGS = {"stall.toml": ["--stall", "10:2"]}


def start_command(*args: str) -> subprocess.Popen[str]:
    command = [sys.executable, "-m", "basaltpoint", *args]
    return subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)


def free_address() -> str:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


def wait_until_listening(address: str) -> None:
    host, port = address.split(":")
    while True:
        try:
            socket.create_connection((host, int(port))).close()
            return
        except OSError:
            time.sleep(0.05)


def run_scenario(path: Path, folder: Path) -> None:
    keys_dir = folder / "keys"
    keys_dir.mkdir()
    servers, logs = [], [folder / f"s{number}.log" for number in (1, 2, 3)]
    text, address = (ROOT / "examples/demo.toml").read_text(), free_address()
    for number, log in enumerate(logs, 1):
        extra_args = EXTRA_SERVER_ARGS.get(path.name, [])
        args = ["--name", f"s{number}", "--workers", "8", "--service", "exp:20", "--log", str(log)]
        args += ["--keys", str(keys_dir), *extra_args]
        servers.append(start_command("standin", *args))
        assert servers[-1].stdout
        text = text.replace(f"127.0.0.1:900{number}", servers[-1].stdout.readline().strip())
    (folder / "limiter.toml").write_text(text.replace("127.0.0.1:8080", address))
    scenario_file = folder / path.name
    scenario_file.write_text(path.read_text().replace("127.0.0.1:8080", address))
    limiter = start_command("serve", str(folder / "limiter.toml"))
    try:
        wait_until_listening(address)
        loaded = scenario.load(scenario_file)
        run = coordinator.run(scenario_file, loaded, lambda progress: None, ledger=folder / "ledger")
        summary = report.summary(asyncio.run(run), path.name)
    finally:
        for process in (limiter, *servers):
            process.send_signal(signal.SIGTERM)
            process.wait()
    findings = audit(read_ledger(folder / "ledger"), [row for log in logs for row in read_server_log(log)])
    print(f"\n{path.name}\n{report.text(summary)}\naudit: {len(findings)} findings")
    for finding in findings:
        print(f"  {finding.kind}: {finding.ident}: {finding.detail}")


def main() -> None:
    selected = sys.argv[1:]
    for path in sorted((ROOT / "examples/load").glob("*.toml")):
        if selected and path.name not in selected:
            continue
        with tempfile.TemporaryDirectory() as folder:
            run_scenario(path, Path(folder))


if __name__ == "__main__":
    main()
