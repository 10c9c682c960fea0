"""Long answers of an idempotent route to callers that read slowly."""

import pathlib
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from harness import TROUBLE, Answer, Gateway, Replica, Store, config, ends_lost, main, now, request_bytes, route

ANSWER_BYTES = 32 * 1024 * 1024
READ_BYTES_PER_S = ANSWER_BYTES / 6.4  # without a pause
DEADLINE_S = 10.0
CALLERS = 1
PIECE = b"x" * 65536


def send_whole(replica, connection, request):
    """Sends its answer as fast as it is taken."""
    fields = request[2]
    connection.sendall(replica.head("200 OK", fields, [f"Content-Length: {ANSWER_BYTES}"]))
    for _ in range(ANSWER_BYTES // len(PIECE)):
        connection.sendall(PIECE)
    replica.record(f"{fields['attempt-id']} run to its end by {replica.identity}")
    return True


class Caller(threading.Thread):
    def __init__(self, record, gateway, attempt):
        super().__init__(daemon=True)
        self.record, self.attempt, self.result = record, attempt, Answer()
        self.taken = 0
        self.peer = socket.socket()
        self.peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        self.peer.settimeout(5)
        self.peer.connect(("127.0.0.1", gateway.port))
        self.result.sent_at = now()
        self.peer.sendall(request_bytes(attempt, "/export/all", deadline_ms=int(DEADLINE_S * 1000)))
        record(f"{attempt} sent to {gateway.name}")
        self.start()

    def run(self):
        result, head = self.result, b""
        try:
            while not head.endswith(b"\r\n\r\n"):  # unbuffered: the rest stays in the socket
                head += self.peer.recv(1) or self.end()
            result.status = int(head.split()[1])
            result.complete = result.status != 200  # an error answer of the gateway is an answer
            while not result.complete:
                if TROUBLE:
                    time.sleep(max(0, result.sent_at + self.taken / READ_BYTES_PER_S - now()))
                self.taken += len(self.peer.recv(65536) or self.end())
                result.complete = self.taken >= ANSWER_BYTES
        except OSError:
            pass
        result.ended_at = now()
        self.peer.close()
        self.record(f"{self.attempt} ends: status {result.status}, {self.taken} of {ANSWER_BYTES} bytes, "
                    f"{'complete' if result.complete else 'the connection ended in the middle of the answer'}")

    @staticmethod
    def end():
        raise ConnectionError


def play(record, directory, cleanups):
    store = Store()
    cleanups.append(store.close)
    replicas = [Replica(f"app-{number}", record, send_whole) for number in range(3)]
    for replica in replicas:
        store.put("servers", replica.identity, replica.entry("app"))
    store.put("op", "config", config([route("/export/", "idempotent", "app", timeoutMs=int(DEADLINE_S * 1000))]))
    gateway = Gateway(directory, "front-1", store, record)
    cleanups.append(gateway.close)
    gateway.wait_ready()
    time.sleep(3.2)  # stabilityWindowMs after the start
    callers = [Caller(record, gateway, f"export-{number}") for number in range(CALLERS)]
    time.sleep(0.2)
    stopped_at = gateway.terminate()
    for caller in callers:
        caller.join()
    lost = [ends_lost(record, caller.result, DEADLINE_S, stopped_at, replicas, caller.attempt) for caller in callers]
    return not any(lost)


main(FOLDER, play)
