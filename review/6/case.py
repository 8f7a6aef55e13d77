"""Clients offer HTTP/2 in their requests, as RFC 9110 allows: do servers get the bodies that clients sent?

Clients send uploads and corrections to the platform's limiter, one at a time on a connection. One in five
requests carries the header fields by which a client offers a change to HTTP/2 over plain TCP (Upgrade: h2c);
a recipient that does not want it ignores them. Each body is whole and follows its head at once.
"""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from rig_2 import rig

CLIENTS = 4
REQUESTS = 50  # of each client
OFFER_EVERY = 5  # requests
DEADLINE_S = 2.0
OFFER = (
    "Connection: Upgrade, HTTP2-Settings\r\n"
    "Upgrade: h2c\r\n"
    "HTTP2-Settings: AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA\r\n"
)


def play(case: rig.Case) -> None:
    lock = threading.Lock()
    ran: dict[str, bytes] = {}  # by Req-Id

    def serve(server: rig.Server, connection: rig.Connection) -> None:
        while (message := rig.read_message(connection.stream)) is not None:
            ident, body = message[1]["req-id"], message[2]
            with lock:
                ran[ident] = body
            case.record(f"{server.name} ran {ident} with a body of {len(body)} bytes")
            time.sleep(0.02)
            connection.reply(f"done with {len(body)} bytes".encode())

    servers = [rig.Server(f"s{number}", serve) for number in (1, 2, 3)]
    port = rig.free_port()
    rig.start_platform(case, rig.Discovery([rig.host(server) for server in servers]), port)
    counts = {"requests": 0, "offers": 0}

    def ask(client_number: int) -> None:
        client = rig.Client(("127.0.0.1", port))
        for number in range(1, REQUESTS + 1):
            ident = client_number * 1000 + number
            kind = ("obs-upload", "correction")[number % 2]
            body = f"observation {ident} ".encode() * (1 + number % 40)
            is_offered = case.trouble and number % OFFER_EVERY == 0
            head = rig.platform_request(ident, kind, DEADLINE_S, len(body))
            if is_offered:
                head = head[:-2] + OFFER.encode() + b"\r\n"
            with lock:
                counts["requests"] += 1
                counts["offers"] += is_offered
            client.send(head + body)
            answer = client.receive()
            name = f"{ident:016x}"
            offer = ", offering HTTP/2," if is_offered else ""
            case.record(f"client sent {kind} {name}{offer} with {len(body)} bytes and got {answer}")
            if (at_server := ran.get(name, body)) != body:
                case.breaks(
                    f"{kind} {name} was sent with a body of {len(body)} bytes and ran with {len(at_server)}; "
                    f"its client got {answer}"
                )
            if answer is None or is_offered:  # its connection may end
                client.close()
                client = rig.Client(("127.0.0.1", port))

    threads = [threading.Thread(target=ask, args=(number,)) for number in range(1, CLIENTS + 1)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    case.say(f"{counts}, {len(case.broken)} ran with another body")


rig.run_case(__file__, play)
