"""The load generator as processes with real sockets: counts, a stopped worker, descriptor limits, the
ledger.
"""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from sockets import run
from standalone import KEY, config, standalone

from basaltpoint.load import coordinator, report, scenario
from basaltpoint.load.command import read_ledger, read_server_log
from basaltpoint.load.ledger import audit
from basaltpoint.load.stats import Stats
from basaltpoint.standins.server import IdempotencyKeys, ServerBehaviour, SharedIdempotencyKeys, StandInServer

ROOT = Path(__file__).parent.parent


def write_scenario(tmp_path: Path, target: str, top: str = "", rest: str = "", rate: float = 200.0) -> Path:
    path = tmp_path / "load.toml"
    path.write_text(
        f'target = ["{target}"]\nduration_s = 2.0\n{top}\n'
        f'[[plan]]\nname = "team"\naccounts = 5\nrate = {rate}\nkey = "{KEY}"\n'
        + (rest or '[[class]]\nname = "read"\naim_ms = 60000\ntimeout_ms = 20000\n')
    )
    return path


async def play(path: Path, **options: Any) -> Stats:
    return await coordinator.run(path, scenario.load(path), lambda progress: None, **options)


@pytest.mark.parametrize("processes", [1, 3])
def test_every_arrival_is_sent_once_and_counted(tmp_path: Path, processes: int) -> None:
    async def test() -> None:
        server = StandInServer(ServerBehaviour(workers=1000, draw_service_s=lambda rng: 0.005))
        await server.start()
        path = write_scenario(tmp_path, server.address, f"processes = {processes}")
        stats = await play(path, ledger=tmp_path / "ledger")
        summary = report.summary(stats, "x")
        idents = [request.ident for request in server.requests]
        assert (
            summary["total"]["served"] == summary["total"]["asked"] == len(idents) == len(set(idents)) > 300
        )
        client_attempts = read_ledger(tmp_path / "ledger")
        assert sorted(attempt.ident for attempt in client_attempts) == sorted(idents)
        assert all(attempt.answers == 1 for attempt in client_attempts)
        server.stop()

    run(test())


def test_a_stopped_worker_reports_an_unsound_interval(tmp_path: Path) -> None:
    """SIGSTOP for 300 ms: the run reports an unsound interval and loses no request."""

    async def test() -> None:
        server = StandInServer(ServerBehaviour(workers=1000, draw_service_s=lambda rng: 0.001))
        await server.start()
        path = write_scenario(
            tmp_path, server.address, rest='[health]\nstall_ms = 150\nlate_ms = 150\n[[class]]\nname = "r"\n'
        )
        pids: list[int] = []
        task = asyncio.create_task(play(path, started=pids.extend))
        while not server.requests:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.5)
        os.kill(pids[0], signal.SIGSTOP)
        await asyncio.sleep(0.3)
        os.kill(pids[0], signal.SIGCONT)
        stats = await task
        assert any(interval.to_s - interval.from_s >= 0.25 for interval in stats.unsound_intervals)
        summary = report.summary(stats, "x")
        assert summary["total"]["asked"] == len(server.requests)
        assert summary["lateness_ms"]["max"] >= 150
        server.stop()

    run(test())


def test_strict_exits_with_its_own_code(tmp_path: Path) -> None:
    """Descriptors run out: requests that cannot be sent count as missed, and the exit code says so."""

    async def test() -> None:
        server = StandInServer(ServerBehaviour(workers=1000, draw_service_s=lambda rng: 1.0))
        await server.start()
        path = write_scenario(tmp_path, server.address, rate=400.0)

        def limit_descriptors() -> None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64))

        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "basaltpoint", "load", "run", str(path), "--strict", "--json",
            str(tmp_path / "out.json"), "--html", str(tmp_path / "out.html"),
            cwd=ROOT, preexec_fn=limit_descriptors, stdout=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        assert await process.wait() == 3
        total = json.loads((tmp_path / "out.json").read_text())["runs"][0]["total"]
        assert total["missed"] > 100 and total["missed"] + total["served"] == total["asked"] > 600
        assert (tmp_path / "out.html").read_text().startswith("<!doctype html>")
        server.stop()

    run(test())


def test_the_ledger_and_the_server_logs_agree_through_the_limiter(tmp_path: Path) -> None:
    """Errors, resets, a drain and a surge: one response per attempt, no correction twice, no concurrent
    attempts.
    """

    async def test() -> None:
        servers, logs, keys = [], [], IdempotencyKeys()
        for number in range(3):
            logs.append((tmp_path / f"s{number}.log").open("wb"))
            behaviour = ServerBehaviour(
                workers=20,
                draw_service_s=lambda rng: rng.expovariate(200),
                error_fraction=0.02,
                reset_fraction=0.02,
            )
            servers.append(StandInServer(behaviour, seed=number, name=f"s{number}", log=logs[-1], keys=keys))
            await servers[-1].start()
        addresses = [server.address for server in servers]
        text = config(*addresses, rate="rate = 150\nburst = 100")
        async with standalone(tmp_path, text) as rig:
            top = "duration_s = 3.0\nprocesses = 2"
            rest = (
                "[retries]\nmost = 2\n"
                '[[class]]\nname = "read"\nshare = 3\ntimeout_ms = 20000\n'
                '[[class]]\nname = "fix"\nmethod = "POST"\npath = "/corrections/{n}"\nonce = true\n'
                '[[class]]\nname = "put"\nmethod = "PUT"\npath = "/o"\nkey_header = "Idempotency-Key"\n'
                '[[shape]]\nkind = "surge"\nplan = "team"\nfrom_s = 1\nto_s = 2\nfactor = 4\n'
            )
            path = write_scenario(tmp_path, "{}:{}".format(*rig.limiter.address), top, rest)
            path.write_text(path.read_text().replace("duration_s = 2.0\n", "", 1))
            task = asyncio.create_task(play(path, ledger=tmp_path / "ledger"))
            while sum(len(server.requests) for server in servers) < 200:
                await asyncio.sleep(0.01)
            rig.reload(config(*addresses, rate="rate = 150\nburst = 100", drain=(0,)))
            drained_s = asyncio.get_running_loop().time()
            stats = await task
            assert rig.is_idle
        for server, log in zip(servers, logs, strict=True):
            server.stop()
            log.close()
        client_attempts = read_ledger(tmp_path / "ledger")
        server_attempts = [row for number in range(3) for row in read_server_log(tmp_path / f"s{number}.log")]
        assert audit(client_attempts, server_attempts, {"s0": drained_s}) == []
        total = report.summary(stats, "x")["total"]
        assert total["refused"] > 0 and total["served"] > 200 and total["none"] == 0
        assert len(client_attempts) >= total["asked"] and {row.server for row in server_attempts} == {
            "s0",
            "s1",
            "s2",
        }

    run(test())


def run_command(*args: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "basaltpoint", "load", *args],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )


def test_the_commands(tmp_path: Path) -> None:
    path = write_scenario(tmp_path, "127.0.0.1:1")
    assert run_command("check", str(path)).returncode == 0
    path.write_text("target = 1")
    done = run_command("check", str(path))
    assert done.returncode == 2 and "target: found 1" in done.stderr
    log, trace = tmp_path / "access.log", tmp_path / "trace"
    log.write_text('1.2.3.4 - - [01/Dec/2026:09:00:00 +0000] "GET /a HTTP/1.1" 200 5\nrubbish\n')
    done = run_command("import", str(log), "-o", str(trace), "--account", "ip", "--salt", "s")
    assert done.returncode == 0 and "1 kept" in done.stdout and "line 2" in done.stdout
    assert json.loads(trace.read_text())["path"] == "/a"
    assert run_command("import", str(tmp_path / "none"), "-o", str(trace)).returncode == 2
    for name, value in (("a", 0.9), ("b", 0.5)):
        runs = [{"total": {"in_time": value}}] * 3
        (tmp_path / name).write_text(json.dumps({"runs": runs}))
    done = run_command("compare", str(tmp_path / "a"), str(tmp_path / "b"))
    assert done.returncode == 0 and "SURE" in done.stdout
    (tmp_path / "ledger").write_text('{"ident": "x", "answers": 0, "hung_up": false}\n')
    (tmp_path / "log").write_text("")
    done = run_command("audit", str(tmp_path / "ledger"), str(tmp_path / "log"))
    assert done.returncode == 4 and "lost: x" in done.stdout


def test_the_stand_in_server_as_a_process(tmp_path: Path) -> None:
    log = tmp_path / "log"
    args = ["standin", "--service", "fixed:1", "--name", "s9", "--log", str(log), "--stall", "5:1"]
    process = subprocess.Popen(
        [sys.executable, "-m", "basaltpoint", *args], cwd=ROOT, stdout=subprocess.PIPE, text=True
    )
    assert process.stdout
    address = process.stdout.readline().strip()

    async def test() -> None:
        stats = await play(write_scenario(tmp_path, address, rate=20.0))
        assert report.summary(stats, "x")["total"]["served"] > 5

    run(test())
    process.terminate()
    assert process.wait() == 0
    rows = read_server_log(log)
    assert rows and all(row.server == "s9" and row.ran and row.ended_s for row in rows)


def test_servers_with_shared_keys_drop_repeats_of_each_other(tmp_path: Path) -> None:
    one, other = SharedIdempotencyKeys(tmp_path), SharedIdempotencyKeys(tmp_path)
    assert not one.is_repeat("k", 10.0, 5.0) and other.is_repeat("k", 12.0, 5.0)
    assert not other.is_repeat("k", 16.0, 5.0) and one.is_repeat("k", 20.0, 5.0)
    assert not one.is_repeat("other", 12.0, 5.0)
