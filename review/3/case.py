"""A server hangs in the middle of a long request: its client has to get a final answer in its time."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig  # noqa: E402

SERVERS = 4  # one of them hangs: a quarter
CLIENTS = 12
BODY_BYTES = 6_000_000  # of up to 32 MB
DEADLINE_S = 2.0  # 80% of what the class allows
LATE_BY_S = 0.5  # up to so much after its time an answer only earns nothing
RULE_MARGIN_S = 0.05  # each time limit on sockets is so much longer
TEST_MARGIN_S = 0.25  # for this test's own delays
LOOK_ON_S = 12.0  # how long a client is observed, to see when the answer comes
HANG_AFTER_BYTES = 256 * 1024


async def case(record: rig.Record) -> list[str]:
    ran: dict[str, str] = {}
    hung: list[str] = []

    def server(name: str, hangs: bool):
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                while True:
                    head = (await reader.readuntil(b"\r\n\r\n")).decode()
                    headers = {
                        key.lower(): value
                        for key, _, value in (row.partition(": ") for row in head.split("\r\n"))
                    }
                    ident, length = headers["req-id"], int(headers["content-length"])
                    record.write(
                        f"{name}: the head of {ident} has come, told Req-Deadline {headers['req-deadline']}"
                    )
                    left = length
                    while left:
                        if hangs and length - left >= HANG_AFTER_BYTES:
                            hung.append(ident)
                            record.write(f"{name}: hangs in the middle of {ident}")
                            writer.transport.pause_reading()
                            await asyncio.sleep(60)
                        left -= len(await reader.readexactly(min(left, 65536)))
                    ran[ident] = name
                    record.write(f"{name}: {ident} runs")
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + ident.encode())
            except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
                pass
            finally:
                writer.transport.abort()

        return serve

    async def client(limiter: rig.Limiter, number: int) -> str | None:
        """Sends one request; returns how the rule was broken, if it was."""
        ident, loop = f"{number:016x}", asyncio.get_running_loop()
        sock = await rig.connect(limiter.address)
        written_at: list[float] = []

        async def send() -> None:
            extra = f"Idempotency-Key: {number:032x}\r\nContent-Length: {BODY_BYTES}\r\n"
            await loop.sock_sendall(
                sock, rig.request_head("POST", "obs-upload", ident, DEADLINE_S, extra=extra)
            )
            body = bytes(65536)
            for start in range(0, BODY_BYTES, len(body)):
                await loop.sock_sendall(sock, body[: BODY_BYTES - start])
            written_at.append(time.monotonic())
            record.write(f"client {ident}: last byte written")

        sending = asyncio.create_task(send())
        try:
            async with asyncio.timeout(LOOK_ON_S):
                answer = await loop.sock_recv(sock, 65536)
            text = answer.split(b"\r\n")[0].decode() or "closed with no answer"
        except TimeoutError:
            text = "no answer"
        except ConnectionError as error:
            text = f"no answer, {error!r}"
        answered_at = time.monotonic()
        sending.cancel()
        sock.close()
        if not written_at:
            record.write(f"client {ident}: {text}; its last byte was not written, so nothing is owed")
            return None
        after_s = answered_at - written_at[0]
        record.write(f"client {ident}: {text!r} {after_s:.3f} s after its last byte")
        in_time = after_s <= DEADLINE_S + LATE_BY_S + RULE_MARGIN_S + TEST_MARGIN_S
        if text.startswith("HTTP/1.1 ") and in_time:
            return None
        return f"{ident} waited for {DEADLINE_S} s and had {text!r} {after_s:.3f} s after its last byte"

    servers = [
        await asyncio.start_server(server(f"s{n}", rig.TROUBLE and n == 1), "127.0.0.1", 0)
        for n in range(1, SERVERS + 1)
    ]
    entries = [
        rig.host_entry(f"s{n}", each.sockets[0].getsockname()[:2]) for n, each in enumerate(servers, start=1)
    ]
    async with rig.world(FOLDER, entries, record) as (agent, limiter):
        await limiter.start(agent, rig.settings())
        clients = []
        for number in range(1, CLIENTS + 1):
            clients.append(asyncio.create_task(client(limiter, number)))
            await asyncio.sleep(0.02)
        found = await asyncio.gather(*clients)
        for each in servers:
            each.close()
        if limiter.process and limiter.process.returncode is not None:
            return [f"the limiter ended with {limiter.process.returncode}"]
    if rig.TROUBLE and not hung:
        raise rig.CouldNotRunError("no request met the server that hangs")
    return [text for text in found if text]


rig.main(case, FOLDER)
