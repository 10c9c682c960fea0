"""A cluster of gateway processes, timed replicas and callers on kept connections.

Every request is recorded at its caller and at the replicas that received it;
`Fleet.lost()` returns those whose connection ended without a whole answer."""

import json
import pathlib
import random
import resource
import signal
import socket
import subprocess
import sys
import threading
import time

TESTS = pathlib.Path(__file__).resolve().parents[1]
sys.path[:0] = [str(TESTS / "process"), str(TESTS / "standins" / "users_platform")]
from gateway_fixture import BUILD, KEY, Gateway, free_ports, make_config, route  # noqa: E402
from replica import Replica  # noqa: E402
from store import Store  # noqa: E402

LOSS_SLACK_S, GRACE_S, LATE_SEND_S, KEPT_S = 0.2, 8, 3, 9
# Kind: share, method, path, prompt tokens, events, deadline in ms (0 events: an application call).
KINDS = {
    "stop-query": (29.8, "POST", "/stream/", 5000, 32, 10000),
    "account-summary": (1.62, "POST", "/stream/", 45040, 19, 10000),
    "route-ledger": (1.37, "POST", "/stream/", 133040, 16, 15000),
    "drop-record": (3, "POST", "/post/", 0, 0, 600),
    "stock-lookup": (3, "GET", "/get/", 0, 0, 600),
}


class TimedReplica(Replica):
    """Answers in the time of an engine or an application; notes what it receives."""

    def __init__(self, identity, slots, events, seed):
        self.arrivals, self.free, self.draining = [], threading.Semaphore(slots), False
        self._events, self._random = events, random.Random(seed)
        super().__init__(identity)

    def _answer(self, connection, fields, _):
        target = self.requests.pop()["target"]
        note = {"id": target.rsplit("/", 1)[1], "replica": self.identity, "at": time.monotonic(),
                "outcome": "working", "events": 0}
        self.arrivals.append(note)
        if self.draining or not self.free.acquire(blocking=False):
            note["outcome"] = "refused"
            connection.sendall(self._head("503 Busy", fields, ["Not-Executed: 1", "Retry-After: 0",
                                                               "Content-Length: 0"]))
            return True
        try:
            if self._events:
                self._generate(connection, fields, note)
            else:
                time.sleep(0.015)
                connection.sendall(self._whole(fields, b"x" * 800))
            note["outcome"] = "answered"
        except OSError:
            note["outcome"] = "closed by the gateway"
            raise
        finally:
            note["end"] = time.monotonic()
            self.free.release()
        return True

    def _generate(self, connection, fields, note):
        prompt = int(fields.get("token-counts", "5000,300").split(",")[0])
        last = {kind[3]: kind[4] for kind in KINDS.values()}.get(prompt, 32)
        connection.sendall(self._head("200 OK", fields, [f"Response-Signature: {self.identity}",
                                                         "Content-Type: text/event-stream",
                                                         "Transfer-Encoding: chunked"]))
        time.sleep(prompt / 206000 + prompt * prompt / 2 * 0.138e-9)
        pause_at = self._random.randrange(2, 400)  # preemption
        for number in range(int(fields.get("last-event-id", 0)) + 1, last + 1):
            time.sleep(0.05 + (self._random.uniform(1, 4) if number == pause_at else 0))
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            note["events"] = number
        connection.sendall(b"0\r\n\r\n")


class Node(Gateway):
    """A gateway that can be stopped, started again and held to a share of a core."""

    def __init__(self, directory, name, store, share, **options):
        self.terms, self._share, self._over = [], share, False
        super().__init__(directory, name, store, grace_s=GRACE_S, **options)
        self.settings = pathlib.Path(directory) / f"{name}.ini"
        self._limit()
        if share < 1:
            threading.Thread(target=self._hold, daemon=True).start()

    def _limit(self):
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (4200, 4200))

    def _hold(self):
        while not self._over:
            for number, seconds in ((signal.SIGCONT, 0.1 * self._share), (signal.SIGSTOP, 0.1 * (1 - self._share))):
                self.process.send_signal(number)
                time.sleep(seconds)

    def restart(self):
        """SIGTERM, SIGKILL after the grace period, and a new process."""
        self.terms.append(time.monotonic())
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.process = subprocess.Popen(
            [str(BUILD / "apps/cassiashed/cassiashed"), "gateway", "--settings", str(self.settings)],
            stdout=self._log, stderr=subprocess.STDOUT)
        self._limit()

    def reload(self, rewrite):
        if rewrite:
            self.settings.write_text(self.settings.read_text() + "# rewritten\n")
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGHUP)

    def close(self):
        self._over = True
        super().close()


class Caller(threading.Thread):
    """Uses one connection after the other until `over`."""

    def __init__(self, fleet, name, node, style, seed):
        super().__init__(daemon=True)
        self._fleet, self._name, self._node, self._style = fleet, name, node, style
        self._random, self._count, self._ended = random.Random(seed), 0, None

    def run(self):
        while not self._fleet.over:
            try:
                with socket.create_connection((self._node.host, self._node.port), timeout=20) as peer:
                    self._use(peer)
            except OSError:
                time.sleep(0.1)

    def _request(self, pending):
        self._count += 1
        kind = self._random.choices(list(KINDS), [each[0] for each in KINDS.values()])[0]
        _, method, path, prompt, _, deadline = KINDS[kind]
        note = {"id": f"{self._name}-{self._count}", "kind": kind, "node": self._node.host, "style": self._style,
                "deadline": deadline / 1000, "outcome": "open", "received": 0, "sent": None}
        body = b"x" * (2000 if method == "POST" else 0)
        head = (f"{method} {path}{note['id']} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {note['id']}\r\n"
                f"Deadline-Milliseconds: {deadline}\r\nAuthorization: Bearer {KEY}\r\n")
        if prompt:
            head += f"Token-Counts: {prompt},300\r\n"
        if body and self._style == "chunked":
            head += "Transfer-Encoding: chunked\r\n\r\n"
            pieces = [head.encode()] + [b"1f4\r\n" + b"x" * 500 + b"\r\n"] * 4 + [b"0\r\n\r\n"]
        elif body:
            pieces = [f"{head}Content-Length: {len(body)}\r\n\r\n".encode()] + [body[:500]] * 4
        else:
            pieces = [f"{head}\r\n".encode()]
        if self._style not in ("chunked", "slow body"):
            pieces = [b"".join(pieces)]
        pending.append(note)
        self._fleet.requests.append(note)
        return note, pieces

    def _send(self, peer, pending):
        note, pieces = self._request(pending)
        for piece in pieces:
            peer.sendall(piece)
            time.sleep(0.1 if len(pieces) > 1 else 0)
        note["sent"] = time.monotonic()

    def _use(self, peer):
        pending, kept, self._ended = [], True, None
        reader = peer.makefile("rb")
        try:
            while kept and not self._fleet.over:
                while len(pending) < (2 if self._style == "pipelined" else 1):
                    self._send(peer, pending)
                kept = self._read_answer(reader, pending[0])
                refused = pending.pop(0)["status"] in (429, 503)
                if refused or not pending:
                    time.sleep(0.2 if refused else self._random.choice((0, 0.01, 0.2)))
            while kept and pending:
                kept = self._read_answer(reader, pending[0])
                pending.pop(0)
        except (OSError, ValueError) as error:
            for note in pending:
                note["error"] = repr(error)
            self._ended = None
        for note in pending:
            note.update(outcome="cut", end=self._ended or time.monotonic())

    def _read_answer(self, reader, note):
        """Returns whether the connection is kept. An incomplete answer is an OSError."""
        line, fields = reader.readline(), {}
        if not line:
            raise ConnectionError("closed before the answer")
        while (field := reader.readline()) not in (b"\r\n", b""):
            name, value = field.decode().split(":", 1)
            fields[name.lower()] = value.strip()
        note["status"] = int(line.split()[1])
        if fields.get("transfer-encoding") == "chunked":
            while size := int(reader.readline() or b"?", 16):
                piece = reader.read(size + 2)
                if len(piece) < size + 2:
                    raise ConnectionError("closed within the answer")
                note["received"] += piece.count(b"\n\n")
                if self._style == "slow reader":
                    time.sleep(0.1)
            reader.readline()
        elif len(reader.read(int(fields.get("content-length", 0)))) < int(fields.get("content-length", 0)):
            raise ConnectionError("closed within the answer")
        self._ended = time.monotonic()
        note.update(outcome="answered", end=self._ended)
        return fields.get("connection", "").lower() != "close"


class Fleet:
    STYLES = ("plain", "plain", "pipelined", "slow reader", "slow body", "chunked")

    def __init__(self, directory, seed, nodes=6, models=14, applications=3, callers=8, share=1.0):
        self.random, self.requests, self.over, self.plan = random.Random(seed), [], False, []
        self.store = Store()
        self.models = [TimedReplica(f"llm-{n}", 16, True, seed + n) for n in range(models)]
        self.applications = [TimedReplica(f"app-{n}", 6, False, seed + n) for n in range(applications)]
        for service, replicas in (("llm", self.models), ("app", self.applications)):
            for each in replicas:
                self.store.put("servers", each.identity, each.entry(service, slots=16 if service == "llm" else 6))
        self._version = 3
        self.configure()
        (internal,) = free_ports(1)
        hosts = [f"127.0.0.{n}" for n in range(2, 2 + nodes)]
        seeds = [f"{host}:{internal}" for host in hosts]
        self.nodes = [Node(directory, f"g{n}", self.store, share, host=host, internal_port=internal, seeds=seeds)
                      for n, host in enumerate(hosts)]
        self._callers = [Caller(self, f"{n}-{c}", node, self.STYLES[c % len(self.STYLES)], seed * 1000 + n * 100 + c)
                         for n, node in enumerate(self.nodes) for c in range(callers)]

    def configure(self):
        self._version += 1
        extra = [route(f"/extra-{self._version}/", "idempotent", "app")]
        self.store.put("op", "config", make_config(self._version, make_config(0)["routes"] + extra))

    def start(self, seconds=30):
        end = time.monotonic() + seconds
        while not all(node.is_ready() for node in self.nodes):
            if time.monotonic() > end:
                raise TimeoutError("the gateways are not ready")
            time.sleep(0.05)
        for caller in self._callers:
            caller.start()

    def run(self, seconds):
        """Planned work of the seed: stops in turn and of several, beside reloads, configurations and drains."""
        end, stops = time.monotonic() + seconds, []
        turn = self.random.sample(self.nodes, len(self.nodes))
        while time.monotonic() < end:
            stops = [each for each in stops if each.is_alive()]
            work = self.random.choice(("stop", "stop", "stop", "reload", "configure", "burst", "drain", "store"))
            self.plan.append((time.monotonic(), work))
            if work == "stop" and len(stops) < len(self.nodes) // 2:
                stops.append(threading.Thread(target=turn[0].restart))
                stops[-1].start()
                turn.append(turn.pop(0))
            elif work == "reload":
                for node in self.nodes:
                    node.reload(self.random.random() < 0.5)
            elif work in ("configure", "burst"):
                for _ in range(8 if work == "burst" else 1):
                    self.configure()
                    time.sleep(0.02)
            elif work == "drain":
                self._drain(self.random.choice(self.models))
            elif work == "store":
                self.store.mode = "busy"
                time.sleep(self.random.uniform(0.1, 2))
                self.store.mode = "ok"
            time.sleep(self.random.uniform(0.1, 1.2))
        self.store.mode = "ok"
        for each in stops:
            each.join()
        self.over = True
        for caller in self._callers:
            caller.join(20)

    def _drain(self, replica):
        replica.draining = not replica.draining
        self.store.put("servers", replica.identity, replica.entry(
            "llm", "draining" if replica.draining else "ready", sequence=len(self.plan) + 2))

    def lost(self):
        arrivals = {}
        for replica in self.models + self.applications:
            for note in replica.arrivals:
                arrivals.setdefault(note["id"], []).append(note)
        terms = {node.host: node.terms for node in self.nodes}
        for note in self.requests:
            note["arrivals"] = arrivals.get(note["id"], [])
        return [note for note in self.requests if self._is_lost(note, terms[note["node"]])]

    @staticmethod
    def _is_lost(note, terms):
        if note.get("status") == 200 and note["outcome"] == "answered":
            return note["received"] < KINDS[note["kind"]][4]
        if note["outcome"] != "cut" or note["sent"] is None or note["end"] - note["sent"] >= note["deadline"]:
            return False
        if not any(each["outcome"] != "refused" for each in note["arrivals"]):
            return note["end"] - note["sent"] > LOSS_SLACK_S
        return not any(note["sent"] <= term + LATE_SEND_S and
                       term + GRACE_S * 5 / 6 <= note["end"] <= term + GRACE_S + 1 for term in terms)

    def write(self, path):
        with open(path, "w", encoding="utf-8") as out:
            for entry in [{"plan": self.plan, "terms": {n.host: n.terms for n in self.nodes}}, *self.requests]:
                out.write(json.dumps(entry) + "\n")

    def close(self):
        self.over = True
        for each in [*self.nodes, *self.models, *self.applications, self.store]:
            each.close()
