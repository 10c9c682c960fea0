"""Requests that a machine takes more than 3 s after its SIGTERM and cannot finish."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from harness import STABILITY_WINDOW_S, TROUBLE, Client, Gateway, Replica, Store, config, ends_lost, free_ports, main, now, route

PROMPT_TOKENS, OUTPUT_TOKENS = 45000, 800  # account-summary on the sheet
DEADLINE_S = 10.0
PATIENCE_S = 6.0  # four times the objective of 1.5 s
FIRST_EVENT_S = 2.6  # other prompts are read before it
EVENTS = 19
EVENT_GAP_S = 0.1
ROLL_GAP_S = 1.0
SENT_AFTER_S = 3.6  # after the SIGTERM of the machine that takes the request


def stream(replica, connection, request):
    """A stream at a busy engine."""
    fields = request[2]
    replica.work(connection, FIRST_EVENT_S)
    replica.start_stream(connection, fields)
    for number in range(int(fields.get("last-event-id", 0)) + 1, EVENTS + 1):
        replica.send_event(connection, number)
        replica.work(connection, EVENT_GAP_S)
    replica.end_stream(connection, fields)
    return True


def play(record, directory, cleanups):
    store = Store()
    cleanups.append(store.close)
    replicas = [Replica(f"llm-{number}", record, stream) for number in range(3)]
    for replica in replicas:
        store.put("servers", replica.identity, replica.entry("llm"))
    store.put("op", "config", config([route("/summary/", "streaming", "llm", resumable=True, timeoutMs=10000,
                                            targetLatencyMs=1500, targetGapMs=600)]))
    (internal,) = free_ports(1)
    hosts = [f"127.0.0.{number}" for number in (1, 2, 3)]
    gateways = []
    for host in hosts:
        gateways.append(Gateway(directory, f"front-{host[-1]}", store, record,
                                [f"{each}:{internal}" for each in hosts], host, internal))
        cleanups.append(gateways[-1].close)
    for gateway in gateways:
        gateway.wait_ready()
    time.sleep(STABILITY_WINDOW_S + 0.2)

    def ask(name, gateway):
        return Client(record, gateway, name, PATIENCE_S, path="/summary/x", method="POST", body=b"prompt",
                      deadline_ms=int(DEADLINE_S * 1000), Token_Counts=f"{PROMPT_TOKENS},{OUTPUT_TOKENS}", Model="m")

    # Two of the zone's three machines are stopped in turn. One of three is in
    # rotation then, fewer than half, so the platform uses all of them. The first
    # one still streams an answer, so its process runs on and takes connections.
    stopping, other, _ = gateways
    asked = [("early", ask("early", stopping))]
    time.sleep(0.2)
    stopped_at = stopping.terminate() if TROUBLE else now()
    time.sleep(ROLL_GAP_S)
    if TROUBLE:
        other.terminate()
    time.sleep(max(0, stopped_at + SENT_AFTER_S - now()))
    record(f"in rotation: {[each.name for each in gateways if each.is_ready()]}")
    asked += [(name, ask(name, stopping)) for name in ("late-0", "late-1", "late-2")]
    for _, client in asked:
        client.join()
    lost = [ends_lost(record, client.result, DEADLINE_S, stopped_at, replicas, name) for name, client in asked]
    return not any(lost)


main(FOLDER, play)
