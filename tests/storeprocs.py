"""Runs replicas as processes on loopback, with certificates from a test authority."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import trustme
from waiting import TEST_TIMEOUT_S

from basaltpoint.links.transport import Tls
from basaltpoint.store.client import Client, Endpoint, StoreError
from basaltpoint.store.command import CRASH_POINT_VARIABLE


def free_ports(count: int) -> list[int]:
    """Returns free ports; members must know each other's addresses before they start."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Authority:
    """A certificate authority that writes certificates into a folder."""

    def __init__(self, path: Path) -> None:
        self._ca = trustme.CA()
        self.path = path
        path.mkdir(parents=True, exist_ok=True)
        self._ca.cert_pem.write_to_path(str(path / "ca.pem"))

    def issue(self, name: str) -> Tls:
        """Issues a certificate and key for a name."""
        issued = self._ca.issue_cert(name)
        cert, key = self.path / f"{name}.pem", self.path / f"{name}.key"
        issued.private_key_pem.write_to_path(str(key))
        cert.write_bytes(b"".join(blob.bytes() for blob in issued.cert_chain_pems))
        return Tls(cert, key, self.path / "ca.pem")


class Cluster:
    """Replicas r0, r1, ... of one cluster."""

    def __init__(self, path: Path, size: int = 3, extra_config: str = "") -> None:
        self.path, self.extra_config = path, extra_config
        self.authority = Authority(path / "tls")
        self.names = [f"r{at}" for at in range(size)]
        self.addresses = {
            name: f"127.0.0.1:{port}" for name, port in zip(self.names, free_ports(size), strict=True)
        }
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.environment: dict[str, dict[str, str]] = {}  # extra variables by replica, for later starts
        for name in self.names:
            self.write_config(name)
        self.client_tls = self.authority.issue("client")

    def write_config(self, name: str, join: bool = False, cluster: str = "test") -> Path:
        """Writes the configuration file of a replica."""
        folder = self.path / name
        folder.mkdir(exist_ok=True)
        tls = self.authority.issue(name)
        members = ", ".join(
            f'"{each}@{self.addresses[each]}"' for each in self.names if each in self.addresses
        )
        text = f'[store]\ncluster = "{cluster}"\nname = "{name}"\ndir = "data"\n'
        text += f'listen = "{self.addresses[name]}"\nmembers = [{members}]\njoin = {str(join).lower()}\n'
        text += (
            f'cert = "{tls.cert}"\nkey = "{tls.key}"\nauthority = "{tls.authority}"\n{self.extra_config}\n'
        )
        file = folder / "store.toml"
        file.write_text(text)
        return file

    def start(self, *names: str, crash: str = "") -> None:
        for name in names or self.names:
            with open(self.path / name / "log.txt", "ab") as out:
                self.running[name] = subprocess.Popen(
                    [
                        sys.executable,
                        "-m",
                        "basaltpoint",
                        "store",
                        "run",
                        str(self.path / name / "store.toml"),
                    ],
                    stdout=out,
                    stderr=out,
                    env={**os.environ, CRASH_POINT_VARIABLE: crash, **self.environment.get(name, {})},
                )

    def kill(self, name: str, signal_number: int = signal.SIGKILL) -> None:
        process = self.running.pop(name)
        process.send_signal(signal_number)
        process.wait(TEST_TIMEOUT_S)

    def stop(self) -> None:
        for process in self.running.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait(TEST_TIMEOUT_S)
        self.running.clear()

    def log(self, name: str) -> str:
        return (self.path / name / "log.txt").read_text()

    def client(self, *names: str) -> Client:
        """Returns a client of these replicas, or of all."""
        endpoints = [Endpoint(self.addresses[name], name) for name in names or self.names]
        return Client(endpoints, "test", self.client_tls)

    def local(self, name: str) -> Client:
        """Returns a client of this replica alone, over its Unix socket."""
        return Client([Endpoint(str(self.path / name / "data" / "socket"))])

    async def leader(self) -> str:
        """Waits until there is a leader and returns its name."""
        end = time.monotonic() + TEST_TIMEOUT_S
        while time.monotonic() < end:
            for name in list(self.running):
                with contextlib.suppress(StoreError, FileNotFoundError):
                    client = self.local(name)
                    try:
                        found = await client.status(0.5)
                    finally:
                        client.close()
                    if found.role == "leader":
                        return name
            await asyncio.sleep(0.02)
        raise AssertionError("no leader")


@contextlib.contextmanager
def cluster(path: Path, size: int = 3, extra_config: str = "", start: bool = True) -> Iterator[Cluster]:
    processes = Cluster(path, size, extra_config)
    try:
        if start:
            processes.start()
        yield processes
    finally:
        processes.stop()
