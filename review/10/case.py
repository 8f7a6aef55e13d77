"""A server hangs while long bodies are sent to it: do clients of the platform's limiter get answers in time?

Clients send uploads and corrections with long bodies. One of three servers hangs: its connections stay open,
and it reads nothing.
"""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from rig_2 import rig

UPLOADS = 20
DEADLINE_S = 2.0
LATE_S = 0.55  # half a second after its time a request is lost; each limit is 50 ms longer
WATCH_S = 30.0  # for an answer that is late
HANGING = "s2"


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
    rig.start_platform(case, rig.Discovery([rig.host(server) for server in servers]), port)
    size = rig.stalling_body_bytes()
    case.record(f"bodies of {size} bytes")
    counts = {"taken": 0, "answered in time": 0}
    lock = threading.Lock()

    def upload(number: int) -> None:
        kind = ("obs-upload", "correction")[number % 2]
        name = f"{kind} {number}"
        client = rig.Client(("127.0.0.1", port))
        case.record(f"client sends {name}")
        try:
            client.send(rig.platform_request(number, kind, DEADLINE_S, size) + b"x" * size)
        except TimeoutError:
            case.record(f"client could not write all of {name}: it was not taken")
            return
        sent_s = time.monotonic()
        case.record(f"client has written the last byte of {name}")
        try:
            answer = client.receive(WATCH_S)
            text = f"got {answer}"
        except TimeoutError:
            answer, text = None, "got nothing"
        took_s = time.monotonic() - sent_s
        case.record(f"client of {name} {text} after {took_s:.3f} s")
        is_late = answer is None or took_s > DEADLINE_S + LATE_S
        with lock:
            counts["taken"] += 1
            counts["answered in time"] += not is_late
        if is_late:
            case.breaks(f"{name}, whose client waits for {DEADLINE_S} s, {text} after {took_s:.1f} s")

    threads = [threading.Thread(target=upload, args=(number,)) for number in range(1, UPLOADS + 1)]
    for thread in threads:
        thread.start()
        time.sleep(0.05)
    for thread in threads:
        thread.join()
    case.say(f"{counts}")
    if not counts["taken"]:
        raise rig.CannotRunError("no request was taken")


rig.run_case(__file__, play)
