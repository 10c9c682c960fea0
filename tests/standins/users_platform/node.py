"""Stand-in for another gateway: heartbeats and rows of a table."""

import socket
import struct
import threading
import time

# Fields of a heartbeat after its format, name and incarnation (src/gateway/node_messages.h).
EMPTY_LISTS = 7  # rows, requests, first tokens, ends, crashes, endpoints, nodes


def pack(value):
    """msgpack of the types that messages between gateways use."""
    if value is True or value is False:
        return b"\xc3" if value else b"\xc2"
    if isinstance(value, int):
        return b"\xcf" + struct.pack(">Q", value)
    if isinstance(value, float):
        return b"\xcb" + struct.pack(">d", value)
    if isinstance(value, (str, bytes)):
        raw = value.encode() if isinstance(value, str) else value
        return b"\xdb" + struct.pack(">I", len(raw)) + raw
    return b"\xdc" + struct.pack(">H", len(value)) + b"".join(map(pack, value))


class Node:
    """Tells the gateway at `target` that it holds newer operator rows, and sends
    them at `seconds` per answer. `reads` counts the answers that were asked for,
    `most_reads_at_once` those under way at the same time."""

    def __init__(self, host, port, target, message_format, row, version, seconds):
        self.reads, self._running, self.most_reads_at_once = 0, 0, 0
        self._row, self._version, self._seconds = row, version, seconds
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._datagrams.bind((host, port))
        self._listener = socket.create_server((host, port), backlog=64)
        self._heartbeat = pack([message_format, "stand-in", 1, version, 0, False, *[[]] * EMPTY_LISTS,
                                0, 0, 0, 0.5, False, [], [], [], 0, 0, []])
        threading.Thread(target=self._beat, args=((target, port),), daemon=True).start()
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._stopped.set()
        self._listener.close()
        self._datagrams.close()

    def _beat(self, target):
        while not self._stopped.wait(0.2):
            self._datagrams.sendto(self._heartbeat, target)

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        with connection, connection.makefile("rb") as reader:
            line = reader.readline().split()
            while reader.readline().strip():
                pass
            after = int(line[1].rpartition(b"=")[2])
            body = pack([after, self._version, [self._row], False])
            with self._lock:
                self.reads += 1
                self._running += 1
                self.most_reads_at_once = max(self.most_reads_at_once, self._running)
            try:
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
                pieces = 20
                size = -(-len(body) // pieces)
                for at in range(0, len(body), size):
                    connection.sendall(body[at:at + size])
                    time.sleep(self._seconds / pieces)
            except OSError:
                pass  # the gateway gave up
            with self._lock:
                self._running -= 1
