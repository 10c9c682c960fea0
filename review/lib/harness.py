"""Runs gateways of the project against stand-ins on loopback, for the cases in review/.

The store is the project's own stand-in (tests/standins/users_platform). Replicas
and clients are here: they speak what PROTOCOL.md says and record what they see."""

import json
import os
import pathlib
import select
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "tests" / "standins" / "users_platform")]
from store import Store  # noqa: E402

PROGRAM = ROOT / "target" / "apps" / "cassiashed" / "cassiashed"
KEY = "key-of-tenant-1"
HOST = "app.example"
# run.sh passes TROUBLE on; without an argument the disruption is played.
TROUBLE = (sys.argv[1] if len(sys.argv) > 1 else "1") != "0"
START = time.monotonic()

# Figures of polish-llm on the sheet of brightfloor-qld-grown.
ENGINE = {"slots": 12, "kvCacheTokens": 232000, "stride": 48, "step_ms": 1.02, "per_seq_ms": 0.00226,
          "context_per_k": 0.00431, "read_per_s": 206000.0, "pairs_per_m": 0.138, "chunk": 2048, "hopMs": 0.075}

# Bounds of the same sheet.
BOUNDS = """drain_ms = 3000
config_apply_ms = 3000
grace_s = 8
retry_window_s = 10
retry_ratio = 0.2
retry_slack = 238
cold_overage = 1.5
cold_slack = 5
reservation_max_ms = 20000
reservation_free_ms = 4000
revoke_ms = 5000
"""
STABILITY_WINDOW_S = 4.0
GRACE_S = 8.0
LOSS_SLACK_S = 0.2


def read_ms(tokens):
    """Time in which one engine reads a prompt alone (`read_per_s`, `pairs_per_m`)."""
    return tokens / (ENGINE["read_per_s"] / 1000) + tokens * tokens / 2 / 1e6 * ENGINE["pairs_per_m"]


def now():
    return time.monotonic() - START


class Record:
    """record.txt: what was sent, answered and run, in order of time."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self._lock = threading.Lock()

    def __call__(self, text):
        with self._lock:
            self._file.write(f"{now():8.3f} s  {text}\n")
            self._file.flush()


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def read_head(reader):
    """First line and fields (names in lower case); None at the end."""
    line = reader.readline()
    if not line:
        return None
    fields = {}
    while True:
        field = reader.readline()
        if not field:
            return None
        field = field.rstrip(b"\r\n")
        if not field:
            return line.decode().split(None, 2), fields
        name, value = field.decode().split(":", 1)
        fields[name.lower()] = value.strip()


def read_request(reader):
    head = read_head(reader)
    if head is None:
        return None
    (method, target, _), fields = head
    length = int(fields.get("content-length", 0))
    body = reader.read(length)
    return (method, target, fields, body) if len(body) == length else None


class Replica:
    """A sound replica. `answer(replica, connection, request)` answers one request
    and returns whether the connection stays open. Orders are answered by `order`."""

    def __init__(self, identity, record, answer, order=None):
        self.identity, self.record, self.answer, self.order = identity, record, answer, order
        self.runs = {}  # by attempt: begin and end (None while the replica works)
        self.used_tokens = 0  # memory that others use
        self.order_count = 0
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self, service, **changes):
        return {"service": service, "address": f"127.0.0.1:{self.port}", "zone": "za", "version": "v1", "slots": 12,
                "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1790000000000, **changes}

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        reader = connection.makefile("rb")
        try:
            while True:
                request = read_request(reader)
                if request is None:
                    return
                method, target, fields, body = request
                if target == "/report":
                    self._json(connection, 200, {"stage": "combined", "models": [{"name": "m", "version": 1}],
                                                 "busy": False, "sequence": 1, "waiting": 0,
                                                 "running": sum(run[1] is None for run in self.runs.values()),
                                                 "kvCacheUsed": self.used_tokens,
                                                 "kvCacheTotal": ENGINE["kvCacheTokens"], "pace": 1.0,
                                                 "handles": 0, "tickets": []})
                    continue
                if target == "/order":
                    self.order_count += 1
                    status, reply = self.order(json.loads(body)) if self.order else (200, {"freeCapacity": 0})
                    self._json(connection, status, reply)
                    continue
                if fields.get("expected-instance", self.identity) != self.identity:
                    connection.sendall(self.head("421 Misdirected Request", fields, ["Content-Length: 0"], False))
                    continue
                attempt = fields.get("attempt-id", "")
                self.record(f"{attempt} reaches {self.identity}")
                run = self.runs[attempt] = [now(), None]
                try:
                    stays_open = self.answer(self, connection, (method, target, fields, body))
                finally:
                    run[1] = now()
                if not stays_open:
                    return
        except OSError as failure:
            self.record(f"{self.identity}: its caller closed the connection ({failure.__class__.__name__})")
        finally:
            reader.close()
            connection.close()

    @staticmethod
    def _json(connection, status, value):
        text = json.dumps(value).encode()
        connection.sendall(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                           % (status, len(text)) + text)

    def head(self, status, fields, extra=(), signed=True):
        lines = [f"HTTP/1.1 {status}", f"Attempt-Id: {fields.get('attempt-id', '')}"]
        if signed:
            lines.append(f"Response-Signature: {self.identity}")
        return ("\r\n".join([*lines, *extra]) + "\r\n\r\n").encode()

    @staticmethod
    def work(connection, seconds):
        """Works for a time; drops the request when its connection closes."""
        readable, _, _ = select.select([connection], [], [], seconds)
        if readable:
            raise ConnectionAbortedError

    def start_stream(self, connection, fields):
        connection.sendall(self.head("200 OK", fields, ["Content-Type: text/event-stream",
                                                        "Transfer-Encoding: chunked"]))

    @staticmethod
    def send_event(connection, number):
        event = b"id: %d\ndata: tokens %d\n\n" % (number, number)
        connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))

    def end_stream(self, connection, fields):
        connection.sendall(b"0\r\n\r\n")
        self.record(f"{fields['attempt-id']} run to its end by {self.identity}")


class Gateway:
    """One gateway process, started as the deploy file says."""

    def __init__(self, directory, name, store, record, seeds=(), host="127.0.0.1", internal=None):
        self.port, self.ready_port, free = free_ports(3)
        self.internal, self.record, self.name, self.host = internal or free, record, name, host
        self.settings = pathlib.Path(directory) / f"{name}.ini"
        self.settings.write_text(
            f"[gateway]\nname = {name}\nzone = za\nregion = r\nlisten = {host}:{self.port}\n"
            f"readiness = {host}:{self.ready_port}\ninternal = {host}:{self.internal}\n\n"
            f"[store]\naddress = 127.0.0.1:{store.port}\n\n[cluster]\nseeds = {','.join(seeds)}\nzone_regions = za:r\n\n"
            f"[limits]\ncpu_share = 0.5\nmemory_mb = 512\nfile_descriptors = 8192\nlink_mbps = 200\n\n"
            f"[bounds]\n{BOUNDS}")
        self.log = open(pathlib.Path(directory) / f"{name}.log", "ab")
        self.process = None
        self.start()

    def start(self):
        self.process = subprocess.Popen([str(PROGRAM), "gateway", "--settings", str(self.settings)], cwd=ROOT,
                                        stdout=self.log, stderr=subprocess.STDOUT)
        self.record(f"{self.name}: process {self.process.pid} started")

    def is_ready(self):
        try:
            with socket.create_connection((self.host, self.ready_port), timeout=1) as peer:
                peer.sendall(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return peer.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_ready(self, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.is_ready():
                self.record(f"{self.name}: ready")
                return
            time.sleep(0.02)
        raise RuntimeError("the gateway is not ready")

    def terminate(self):
        """SIGTERM, and SIGKILL after the grace period, as the platform does."""
        self.record(f"{self.name}: SIGTERM")
        self.process.send_signal(signal.SIGTERM)
        process = self.process

        def kill_later():
            try:
                process.wait(GRACE_S)
                self.record(f"{self.name}: the process has ended")
            except subprocess.TimeoutExpired:
                process.kill()
                self.record(f"{self.name}: SIGKILL after the grace period")

        threading.Thread(target=kill_later, daemon=True).start()
        return now()

    def close(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


class Answer:
    """`status` is 0 without a head; `complete` tells whether the whole answer came."""

    def __init__(self):
        self.status, self.fields, self.body, self.complete = 0, {}, b"", False
        self.sent_at = self.first_at = self.ended_at = None


def request_bytes(attempt, path, method="GET", body=b"", deadline_ms=10000, **fields):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Attempt-Id: {attempt}",
             f"Deadline-Milliseconds: {deadline_ms}", f"Authorization: Bearer {KEY}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def read_answer(peer, result, patience_s):
    """Reads one answer; gives up after `patience_s` without a byte."""
    peer.settimeout(patience_s)
    reader = peer.makefile("rb", 65536)
    read = reader.read
    try:
        head = read_head(reader)
        if head is None:
            return
        result.status, result.fields = int(head[0][1]), head[1]
        result.first_at = now()
        if result.fields.get("transfer-encoding") == "chunked":
            while True:
                line = reader.readline()
                if not line.strip():
                    return
                size = int(line, 16)
                piece = reader.read(size)
                end = reader.readline()
                result.body += piece
                if len(piece) < size or not end:
                    return
                if size == 0:
                    break
        elif "content-length" in result.fields:
            length = int(result.fields["content-length"])
            size = 0
            while size < length:
                piece = read(min(65536, length - size))
                if not piece:
                    return
                size += len(piece)
                if len(result.body) < 65536:
                    result.body += piece
        else:
            result.body = reader.read()
        result.complete = True
    except OSError as failure:
        result.fields["failure"] = failure.__class__.__name__
    finally:
        result.ended_at = now()


def call(record, gateway, attempt, patience_s, peer=None, **request):
    """One attempt of a client on `peer`, or on a new connection."""
    result = Answer()
    own = peer is None
    try:
        if own:
            peer = socket.create_connection((gateway.host, gateway.port), timeout=1)
        result.sent_at = now()
        peer.sendall(request_bytes(attempt, **request))
        record(f"{attempt} sent to {gateway.name}")
        read_answer(peer, result, patience_s)
    except OSError as failure:
        result.fields["failure"] = failure.__class__.__name__
        result.ended_at = now()
    finally:
        if own and peer:
            peer.close()
    record(f"{attempt} ends: status {result.status}, {len(result.body)} bytes kept, "
           f"{'complete' if result.complete else 'cut: the connection ended without a complete answer'}"
           f"{' (' + result.fields['failure'] + ')' if 'failure' in result.fields else ''}")
    return result


def ends_lost(record, result, limit_s, stopped_at, replicas, attempt):
    """LOST around the SIGTERM of the machine that took the request, as RULES.md has it."""
    if result.complete:
        return False
    if not stopped_at <= result.ended_at <= stopped_at + GRACE_S + 1:
        record(f"{attempt}: not counted, it did not end around the SIGTERM")
        return False
    runs = [each.runs[attempt] for each in replicas if attempt in each.runs]
    if not runs and result.ended_at - result.sent_at <= LOSS_SLACK_S:
        record(f"{attempt}: not counted, not passed on and cut within lossSlackMs")
        return False
    if result.ended_at - result.sent_at >= limit_s:
        record(f"{attempt}: not counted, its time was over")
        return False
    last_sixth = stopped_at + GRACE_S * 5 / 6
    at_work = any(begin <= stopped_at + GRACE_S and (end is None or end >= last_sixth) for begin, end in runs)
    if at_work and result.sent_at <= stopped_at + 3:
        record(f"{attempt}: not counted, its replica was at work in the last sixth of gracePeriodS")
        return False
    record(f"{attempt}: LOST, read by {'a process and passed on' if runs else 'a process, never passed on'}, "
           f"cut {result.ended_at - stopped_at:.2f} s after the SIGTERM and {result.ended_at - result.sent_at:.2f} s "
           f"after it was sent; its time was {limit_s:.0f} s")
    return True


class Client(threading.Thread):
    def __init__(self, *arguments, **request):
        super().__init__(daemon=True)
        self._arguments, self._request, self.result = arguments, request, None
        self.start()

    def run(self):
        self.result = call(*self._arguments, **self._request)


def route(prefix, kind, service, **extra):
    return {"name": prefix.strip("/"), "host": HOST, "pathPrefix": prefix, "kind": kind, "service": service,
            "timeoutMs": 10000, "targetLatencyMs": 300, "priority": 1, "maxAttempts": 2, "allowAnonymous": False,
            **extra}


def config(routes, version=1):
    return {"version": version, "routes": routes,
            "services": [{"name": "app", "healthPath": "/health", "connectionLimit": 550, "coldStartS": 0, "coldPerS": 0},
                         {"name": "llm", "healthPath": "/health", "connectionLimit": 658, "coldStartS": 3.0,
                          "coldPerS": 17.0, "engine": ENGINE}],
            "limits": {"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "tenant-1", "apiKeys": [KEY]}]}


def main(folder, play):
    """Runs `play(record, directory, cleanups)`, which returns whether the rule held."""
    if not PROGRAM.exists():
        print("the program is not built")
        sys.exit(2)
    record, cleanups, status = Record(folder), [], 2
    record(f"TROUBLE={'1' if TROUBLE else '0'}")
    with tempfile.TemporaryDirectory() as directory:
        try:
            status = 0 if play(record, directory, cleanups) else 1
            record("the rule held" if status == 0 else "the rule was broken")
        except Exception as failure:  # the case could not run
            record(f"could not run: {failure!r}")
            print(f"could not run: {failure!r}")
        finally:
            for each in reversed(cleanups):
                each()
            log = pathlib.Path(os.environ.get("REVIEW_KEEP_LOG", ""))
            if os.environ.get("REVIEW_KEEP_LOG"):
                for path in pathlib.Path(directory).glob("*.log"):
                    (log / path.name).write_bytes(path.read_bytes())
    print({0: "held", 1: "broken", 2: "could not run"}[status])
    sys.stdout.flush()
    os._exit(status)
