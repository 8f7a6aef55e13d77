"""A server hangs while long bodies are sent to it: does each client of the standalone limiter get an answer?

Clients send corrections with long bodies, and tell with Req-Deadline how long they wait. One of three servers
hangs: its connections stay open, and it reads nothing.
"""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from rig_2 import rig

UPLOADS = 20
DEADLINE_S = 2.5
LATE_S = 0.55  # half a second after its time a request is lost; each limit is 50 ms longer
WATCH_S = 30.0  # for an answer that is late
HANGING = "s2"


def config(port: int, servers: list[rig.Server]) -> str:
    return f"""
listen = "127.0.0.1:{port}"

[[plan]]
name = "research"
rate = 100
burst = 200

[[account]]
name = "north"
plan = "research"
keys = ["{rig.digest(rig.KEY)}"]

[[class]]
name = "correction"
effect = "unsafe"
aim_ms = 1500
deadline_ms = 5000
deadline_header = "Req-Deadline"

{rig.server_tables(servers)}
[[route]]
name = "corrections"
prefix = "/correction"
methods = ["POST"]
pool = "main"
class = "correction"
"""


def play(case: rig.Case) -> None:
    def serve(server: rig.Server, connection: rig.Connection) -> None:
        if case.trouble and server.name == HANGING:
            case.record(f"{server.name} hangs on a new connection")
            time.sleep(rig.LIMIT_S)
            return
        while (message := rig.read_message(connection.stream)) is not None:
            case.record(f"{server.name} ran {message[0]}, {len(message[2])} bytes")
            connection.reply(b"done")

    servers = [rig.Server(f"s{number}", serve) for number in (1, 2, 3)]
    port = rig.free_port()
    rig.start_standalone(case, config(port, servers), port)
    size = rig.stalling_body_bytes()
    case.record(f"bodies of {size} bytes")
    counts = {"taken": 0, "answered in time": 0}
    lock = threading.Lock()

    def upload(number: int) -> None:
        target = f"/correction/{number}"
        client = rig.Client(("127.0.0.1", port))
        head = (
            f"POST {target} HTTP/1.1\r\nHost: api\r\nX-Api-Key: {rig.KEY}\r\nReq-Deadline: {DEADLINE_S}\r\n"
        )
        case.record(f"client sends {target}")
        try:
            client.send(f"{head}Content-Length: {size}\r\n\r\n".encode() + b"x" * size)
        except TimeoutError:
            case.record(f"client could not write all of {target}: it was not taken")
            return
        sent_s = time.monotonic()
        case.record(f"client has written the last byte of {target}")
        try:
            answer = client.receive(WATCH_S)
            text = f"got {answer}"
        except TimeoutError:
            answer, text = None, "got nothing"
        took_s = time.monotonic() - sent_s
        case.record(f"client of {target} {text} after {took_s:.3f} s")
        is_late = answer is None or took_s > DEADLINE_S + LATE_S
        with lock:
            counts["taken"] += 1
            counts["answered in time"] += not is_late
        if is_late:
            case.breaks(f"{target}, whose client waits for {DEADLINE_S} s, {text} after {took_s:.1f} s")

    threads = [threading.Thread(target=upload, args=(number,)) for number in range(UPLOADS)]
    for thread in threads:
        thread.start()
        time.sleep(0.05)
    for thread in threads:
        thread.join()
    case.say(f"{counts}")
    if not counts["taken"]:
        raise rig.CannotRunError("no request was taken")


rig.run_case(__file__, play)
