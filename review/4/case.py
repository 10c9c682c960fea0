"""A stream whose request is preempted midway, at a machine that got SIGTERM."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from harness import STABILITY_WINDOW_S, TROUBLE, Client, Gateway, Replica, Store, config, ends_lost, main, read_ms, route

PROMPT_TOKENS = 200000  # fits into one engine's memory of 232,000 tokens
OUTPUT_TOKENS = 500
EVENTS = 12
EVENT_GAP_S = 0.05
PREEMPTED_AFTER = 5  # events
DEADLINE_S = 15.0
PATIENCE_S = 12.0  # four times the objective of 3 s


def stream(replica, connection, request):
    """A stream whose request is preempted for want of memory and read again."""
    fields = request[2]
    replica.work(connection, 0.1)
    replica.start_stream(connection, fields)
    for number in range(int(fields.get("last-event-id", 0)) + 1, EVENTS + 1):
        if TROUBLE and number == PREEMPTED_AFTER + 1:
            replica.record(f"{fields['attempt-id']} is preempted at {replica.identity} and read again")
            replica.work(connection, read_ms(PROMPT_TOKENS) / 1000)
        replica.send_event(connection, number)
        replica.work(connection, EVENT_GAP_S)
    replica.end_stream(connection, fields)
    return True


def play(record, directory, cleanups):
    record(f"reading {PROMPT_TOKENS} tokens again takes {read_ms(PROMPT_TOKENS):.0f} ms")
    store = Store()
    cleanups.append(store.close)
    replica = Replica("llm-0", record, stream)
    store.put("servers", replica.identity, replica.entry("llm"))
    shared = dict(timeoutMs=15000, targetLatencyMs=3000, targetGapMs=1000)
    store.put("op", "config", config([route("/resumable/", "streaming", "llm", resumable=True, **shared),
                                      route("/once/", "streaming", "llm", **shared)]))
    gateway = Gateway(directory, "front-1", store, record)
    cleanups.append(gateway.close)
    gateway.wait_ready()
    time.sleep(STABILITY_WINDOW_S + 0.2)
    kinds = ("resumable", "once")
    clients = [Client(record, gateway, f"ledger-{kind}", PATIENCE_S, path=f"/{kind}/ledger", method="POST",
                      body=b"prompt", deadline_ms=int(DEADLINE_S * 1000),
                      Token_Counts=f"{PROMPT_TOKENS},{OUTPUT_TOKENS}", Model="m") for kind in kinds]
    time.sleep(0.25)
    stopped_at = gateway.terminate()
    for client in clients:
        client.join()
    lost = [ends_lost(record, client.result, DEADLINE_S, stopped_at, [replica], f"ledger-{kind}")
            for kind, client in zip(kinds, clients)]
    return not any(lost)


main(FOLDER, play)
