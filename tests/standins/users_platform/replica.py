"""Stand-in for a replica of the users' platform.

Each request is recorded; `script` decides what it gets, in turn; the last
entry repeats."""

import ctypes
import json
import socket
import struct
import threading
import time


def read_head(reader):
    """Request line and header fields (names in lower case); None at the end."""
    line = reader.readline()
    if not line:
        return None
    fields = {}
    while True:
        field = reader.readline().rstrip(b"\r\n")
        if not field:
            return line.decode().split(), fields
        name, value = field.decode().split(":", 1)
        fields[name.lower()] = value.strip()


def drop_packets(connection):
    """From now on the kernel drops what arrives for the socket and acknowledges none of it."""
    instruction = ctypes.create_string_buffer(struct.pack("=HBBI", 0x06, 0, 0, 0))  # BPF_RET 0
    program = struct.pack("@HP", 1, ctypes.addressof(instruction))
    connection.setsockopt(socket.SOL_SOCKET, 26, program)  # SO_ATTACH_FILTER


class Replica:
    """Behaviours of `script`: "ok", "events", "cut" (in the middle of an event),
    "reset" (after the request was read), "refuse" (not run), "truncate",
    "unsigned", "cut_head" (closes in the middle of its answer's head), "foreign"
    (an answer to another request first), "mute", "error" (its own 500),
    "unframed" (ends with its connection), "late:S" (events after S seconds),
    "late_event:S" (the same, but the head at once), "pause:S" (S seconds between two events), "slow:S" (a body that takes S
    seconds), "large" (a body of 16 MiB), "unframed_events" (events that end with
    the connection), "unframed_cut" (the same, in the middle of an event),
    "unframed_reset" (the same, by a reset), "unframed_none" (no event),
    "unframed_stall:S" (whole events, then a reset after S seconds), "refuse_late:S"
    (not run, after S seconds), "raw" (the
    bytes of `raw`, then a close), "raw:TEXT" (this text as a whole stream, with a
    length), "untyped:TEXT" (the same, without a type), "broken:TEXT" (this text of
    a stream, then the connection ends), those of `DOUBTFUL`, "sized_cut" (a length
    that ends in the middle of an event). Bytes without end until the caller closes:
    "endless_head", "endless_event" (after two whole events), "dripped_event" (the
    same, byte by byte), "endless_foreign" (an answer to another request),
    "endless_body", "endless_extension" (of a chunk), "endless_trailer",
    "endless_interim" (answers of status 102)."""

    # Answers that leave it open whether the request ran: status, fields, body, and
    # whether the real answer follows.
    DOUBTFUL = {
        "stray_refusal": ("503 Busy", ["Not-Executed: 1"], b"", True),
        "stray_misdirected": ("421 Misdirected", [], b"", True),
        "stray_answer": ("200 OK", ["Response-Signature: {replica}"], b"another", True),
        "two_ids": ("503 Busy", ["Attempt-Id: {id}", "Attempt-Id: another", "Not-Executed: 1"], b"", True),
        "refused_and_answered": ("503 Busy", ["Attempt-Id: {id}", "Not-Executed: 1"], b"busy", True),
        "refused_success": ("200 OK", ["Attempt-Id: {id}", "Response-Signature: {replica}", "Not-Executed: 1"],
                            b"whole body", False),
        "refused_error": ("500 Failed", ["Attempt-Id: {id}", "Response-Signature: {replica}", "Not-Executed: 1"],
                          b"failed", False),
        "bare_503": ("503 Busy", ["Attempt-Id: {id}", "Response-Signature: {replica}"], b"busy", False),
        "bare_429": ("429 Busy", ["Attempt-Id: {id}", "Response-Signature: {replica}"], b"busy", False),
        "bare_408": ("408 Late", ["Attempt-Id: {id}", "Response-Signature: {replica}"], b"late", False),
    }
    # After so much, a sender without end only waits.
    MOST_WITHOUT_END = 64 << 20

    def __init__(self, identity):
        self.identity, self.script, self.requests = identity, ["ok"], []
        self.closed_by_caller = threading.Event()
        # Memory: orders as received, the state of every reservation in reports
        # ("held", "used"), and whether reports are answered at all.
        self.orders, self.reservation_state, self.reports = [], "used", True
        self.order_pause = 0  # seconds before an order is answered
        self.endless_calls = False  # orders and reports are answered without end
        self.has_memory = True  # whether memory can be reserved
        self.event_pause = 0.02
        self.raw = lambda fields: b""  # the bytes of "raw", by the request's fields
        self.body_pause = 0  # seconds before the body of a request is read
        self.body_trickle = 0  # seconds for which it is then read in small pieces
        self.answers_early = False  # without reading the body; then closes, which resets
        self.gone_after = None  # seconds after a head from which on the machine gives no sign
        self.extra_fields = []  # lines of every answer's head
        self.sent_without_end = 0  # bytes, by the behaviours that never end
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def limit_receive_buffer(self, size):
        """Of connections that are accepted from now on."""
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    def entry(self, service, state="ready", **changes):
        return {"service": service, "address": f"127.0.0.1:{self.port}", "zone": "za", "version": "v1",
                "slots": 16, "state": state, "coldRemainingMs": 0, "sequence": 1, "born": 1000, **changes}

    def close(self):
        self._listener.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        reader = connection.makefile("rb")
        try:
            while True:
                head = read_head(reader)
                if head is None:
                    self.closed_by_caller.set()
                    return
                (method, target, _), fields = head
                if self.gone_after is not None:
                    time.sleep(self.gone_after)
                    drop_packets(connection)
                time.sleep(self.body_pause)
                body, length = b"", int(fields.get("content-length", 0))
                end = time.monotonic() + self.body_trickle
                while len(body) < length and time.monotonic() < end:
                    body += reader.read1(min(8192, length - len(body)))
                    time.sleep(0.2)
                if not self.answers_early:
                    body += reader.read(length - len(body))
                if target in ("/order", "/report"):
                    self._answer_engine_call(connection, target, body)
                    continue
                behaviour = self.script.pop(0) if len(self.script) > 1 else self.script[0]
                self.requests.append({"method": method, "target": target, "fields": fields,
                                      "body": body, "behaviour": behaviour, "port": connection.getpeername()[1]})
                if not self._answer(connection, fields, behaviour):
                    return
        except OSError:
            self.closed_by_caller.set()
        finally:
            reader.close()
            connection.close()

    def _answer_engine_call(self, connection, target, body):
        if target == "/order":
            order = json.loads(body)
            self.orders.append(order)
            time.sleep(self.order_pause)
            if not self.has_memory and order["operation"] == "reserve":
                connection.sendall(b"HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}")
                return
        elif not self.reports:
            return
        if self.endless_calls:
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 500000000\r\n\r\n")
            for _ in range(self.MOST_WITHOUT_END // 65536):
                connection.sendall(b" " * 65536)
            return
        held = {order["id"] for order in self.orders if order["operation"] == "reserve"}
        answer = json.dumps({"tickets": [{"id": each, "state": self.reservation_state} for each in held]}).encode()
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer) + answer)

    def _head(self, status, fields, extra, attempt=None):
        lines = [f"HTTP/1.1 {status}", f"Attempt-Id: {attempt or fields.get('attempt-id', '')}"]
        return ("\r\n".join(lines + extra + self.extra_fields) + "\r\n\r\n").encode()

    def _whole(self, fields, body=b"whole body", attempt=None, status="200 OK"):
        return self._head(status, fields, [f"Response-Signature: {self.identity}",
                                           f"Content-Length: {len(body)}"], attempt) + body

    def _answer(self, connection, fields, behaviour):
        """Returns whether the connection stays open."""
        if behaviour == "ok":
            connection.sendall(self._whole(fields))
        elif behaviour == "large":
            connection.sendall(self._whole(fields, b"x" * (16 << 20)))
        elif behaviour == "error":
            connection.sendall(self._whole(fields, b"failed", status="500 Internal Server Error"))
        elif behaviour == "foreign":
            connection.sendall(self._whole(fields, b"of another", "another") + self._whole(fields))
        elif behaviour.split(":")[0] in ("refuse", "refuse_late"):
            time.sleep(float(behaviour[12:] or 0))
            connection.sendall(self._head("503 Busy", fields, ["Not-Executed: 1", "Content-Length: 0"]))
        elif behaviour == "unsigned":
            connection.sendall(self._head("200 OK", fields, ["Content-Length: 2"]) + b"no")
        elif behaviour in self.DOUBTFUL:
            status, extra, body, follows = self.DOUBTFUL[behaviour]
            lines = [f"HTTP/1.1 {status}", *extra, f"Content-Length: {len(body)}"]
            text = "\r\n".join(lines).format(id=fields.get("attempt-id"), replica=self.identity)
            connection.sendall(text.encode() + b"\r\n\r\n" + body + (self._whole(fields) if follows else b""))
        elif behaviour == "cut_head":
            connection.sendall(self._whole(fields)[:30])
            return False
        elif behaviour == "raw":
            connection.sendall(self.raw(fields))
            return False
        elif behaviour == "truncate":
            connection.sendall(self._whole(fields)[:-4])
            return False
        elif behaviour == "unframed":
            connection.sendall(self._head("200 OK", fields, [f"Response-Signature: {self.identity}"]) + b"unframed")
            return False
        elif behaviour == "reset":
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            return False
        elif behaviour == "mute":
            if not connection.recv(1):
                self.closed_by_caller.set()
            return False
        elif behaviour.startswith(("endless", "dripped")):
            self._send_without_end(connection, fields, behaviour)
            return False
        elif behaviour.startswith("late:"):
            time.sleep(float(behaviour[5:]))
            return self._stream(connection, fields)
        elif behaviour.startswith("late_event:"):
            return self._stream(connection, fields, delay=float(behaviour[11:]))
        elif behaviour.startswith("pause:"):
            return self._stream(connection, fields, pause=float(behaviour[6:]))
        elif behaviour.startswith("slow:"):
            answer = self._whole(fields)
            for piece in (answer[:-4], answer[-4:-3], answer[-3:-2], answer[-2:-1], answer[-1:]):
                connection.sendall(piece)
                time.sleep(float(behaviour[5:]) / 4)
        elif behaviour.startswith(("unframed_", "sized_")):
            return self._stream_without_chunks(connection, fields, behaviour)
        elif behaviour.startswith(("raw:", "untyped:", "broken:")):
            return self._send_text(connection, fields, *behaviour.split(":", 1))
        elif behaviour in ("events", "cut"):
            return self._stream(connection, fields, behaviour == "cut")
        return True

    def _send_without_end(self, connection, fields, behaviour):
        kept = [f"Response-Signature: {self.identity}", "Transfer-Encoding: chunked"]
        if behaviour == "endless_head":
            connection.sendall(b"HTTP/1.1 200 OK\r\nX: ")
            piece = b"x" * 4096
        elif behaviour == "endless_interim":
            piece = b"HTTP/1.1 102 Processing\r\n\r\n" * 100
        elif behaviour in ("endless_extension", "endless_trailer"):
            chunk = b"2\r\nno\r\n0\r\nX: " if behaviour == "endless_trailer" else b"2;"
            connection.sendall(self._head("200 OK", fields, kept) + chunk)
            piece = b"x" * 4096
        else:
            other = "another" if behaviour == "endless_foreign" else None
            connection.sendall(self._head("200 OK", fields, kept, other))
            piece = b"1000\r\n" + b"x" * 4096 + b"\r\n"
        if behaviour.endswith("_event"):
            for number in (1, 2):
                event = f"id: {number}\ndata: token {number}\n\n".encode()
                connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        if behaviour == "dripped_event":
            piece = b"1\r\nx\r\n"
        sent = 0
        while True:
            if sent >= self.MOST_WITHOUT_END:
                connection.recv(1)
                return
            connection.sendall(piece)
            sent += len(piece)
            self.sent_without_end += len(piece)
            if behaviour == "dripped_event":
                time.sleep(0.05)

    def _stream_without_chunks(self, connection, fields, behaviour):
        first = int(fields.get("last-event-id", 0)) + 1
        events = "".join(f"id: {number}\ndata: token {number}\n\n" for number in range(first, 7)).encode()
        stall = float(behaviour.partition(":")[2] or 0.1)
        behaviour = behaviour.split(":")[0]
        if behaviour.endswith("_none"):
            events = b""
        elif behaviour.endswith("_stall"):
            events = b"".join(events.splitlines(True)[:6])  # two whole events
        elif not behaviour.endswith("_events"):
            events = events[:40]
        head = [f"Response-Signature: {self.identity}", "Content-Type: text/event-stream"]
        if behaviour.startswith("sized_"):
            head.append(f"Content-Length: {len(events)}")
        connection.sendall(self._head("200 OK", fields, head) + events)
        if behaviour.endswith(("_reset", "_stall")):
            time.sleep(stall)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        return False

    def _send_text(self, connection, fields, kind, text):
        head = [f"Response-Signature: {self.identity}"]
        if kind != "untyped":
            head.append("Content-Type: text/event-stream")
        if kind != "broken":
            head.append(f"Content-Length: {len(text)}")
            connection.sendall(self._head("200 OK", fields, head) + text.encode())
            return True
        head.append("Transfer-Encoding: chunked")
        connection.sendall(self._head("200 OK", fields, head) + f"{len(text):x}\r\n{text}\r\n".encode())
        return False

    def _stream(self, connection, fields, cut=False, pause=0, delay=0):
        """Six events; the ids go on after Last-Event-Id. `delay`: seconds before the first, `pause`: before the third."""
        connection.sendall(self._head("200 OK", fields, [f"Response-Signature: {self.identity}",
                                                         "Content-Type: text/event-stream",
                                                         "Transfer-Encoding: chunked"]))
        time.sleep(delay)
        first = int(fields.get("last-event-id", 0)) + 1
        for number in range(first, 7):
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            if number == 3:
                time.sleep(pause)
            if cut and number == 3:
                event = event[:9]
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            if cut and number == 3:
                return False
            time.sleep(self.event_pause)
        connection.sendall(b"0\r\n\r\n")
        return True
