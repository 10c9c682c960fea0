"""A prompt that waits for memory when its machine gets SIGTERM."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from harness import STABILITY_WINDOW_S, ENGINE, TROUBLE, Client, Gateway, Replica, Store, config, ends_lost, main, route

PROMPT_TOKENS, OUTPUT_TOKENS = 300000, 300  # more than the memory of one engine
DEADLINE_S = 15.0
STOPPED_AFTER_S = 1.0


def stream(replica, connection, request):
    fields = request[2]
    replica.work(connection, 1)
    replica.start_stream(connection, fields)
    for number in range(1, 8):
        replica.send_event(connection, number)
        replica.work(connection, 0.05)
    replica.end_stream(connection, fields)
    return True


def play(record, directory, cleanups):
    store = Store()
    cleanups.append(store.close)

    def order(body):
        if TROUBLE and body["operation"] == "reserve":
            return 409, {"freeCapacity": 4000}  # the rest is in use
        return 200, {"freeCapacity": ENGINE["kvCacheTokens"] - 100000}

    replicas = [Replica(f"llm-{number}", record, stream, order) for number in range(4)]
    for replica in replicas:
        replica.used_tokens = ENGINE["kvCacheTokens"] - 4000 if TROUBLE else 0
        store.put("servers", replica.identity, replica.entry("llm"))
    store.put("op", "config", config([route("/ledger/", "streaming", "llm", resumable=True, timeoutMs=15000,
                                            targetLatencyMs=3000, targetGapMs=1000)]))
    gateway = Gateway(directory, "front-1", store, record)
    cleanups.append(gateway.close)
    gateway.wait_ready()
    time.sleep(STABILITY_WINDOW_S + 0.2)
    names = ("ledger-0", "ledger-1")
    clients = [Client(record, gateway, name, 14.9, path="/ledger/x", method="POST", body=b"prompt",
                      deadline_ms=int(DEADLINE_S * 1000), Token_Counts=f"{PROMPT_TOKENS},{OUTPUT_TOKENS}", Model="m")
               for name in names]
    time.sleep(STOPPED_AFTER_S)
    stopped_at = gateway.terminate()
    for client in clients:
        client.join()
    record(f"orders to each replica: {[replica.order_count for replica in replicas]}")
    lost = [ends_lost(record, client.result, DEADLINE_S, stopped_at, replicas, name)
            for name, client in zip(names, clients)]
    return not any(lost)


main(FOLDER, play)
