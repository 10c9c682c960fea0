"""One gateway process between the stand-ins, for the gateway_*_test.py files."""

import http.client
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time
import unittest

TESTS = pathlib.Path(__file__).resolve().parents[1]
sys.path[:0] = [str(TESTS / "harness"), str(TESTS / "standins" / "users_platform")]
from cluster import free_ports  # noqa: E402
from replica import Replica  # noqa: E402
from store import Store  # noqa: E402

BUILD = pathlib.Path(os.environ.get("CASSIASHED_BUILD", "build"))
KEY = "key-1"
WHOLE = b"whole body"
EVENTS = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, 7))


def route(prefix, kind, service, **extra):
    return {"name": prefix, "host": "h.example", "pathPrefix": prefix, "kind": kind, "service": service,
            "timeoutMs": 4000, "targetLatencyMs": 300, "priority": 1, "maxAttempts": 2,
            "allowAnonymous": False, **extra}


def make_config(version, routes=None, keys=(KEY,)):
    routes = routes or [
        route("/get/", "idempotent", "app"),
        route("/post/", "non_idempotent", "app"),
        route("/stream/", "streaming", "llm", resumable=True, targetGapMs=250, timeoutMs=12000),
        route("/open/", "idempotent", "app", allowAnonymous=True),
        route("/short/", "non_idempotent", "app", timeoutMs=400),
    ]
    engine = {"slots": 16, "kvCacheTokens": 232000, "stride": 43, "step_ms": 1.02, "read_per_s": 206000.0,
              "pairs_per_m": 0.138, "chunk": 2048}
    return {"version": version, "routes": routes,
            "services": [{"name": "app", "healthPath": "/health", "connectionLimit": 96},
                         {"name": "llm", "healthPath": "/health", "connectionLimit": 200, "engine": engine}],
            "limits": {"headerBytes": 8192, "bodyBytes": 100000, "headerTimeoutMs": 1000, "idleTimeoutMs": 5000},
            "tenants": [{"name": "w1", "apiKeys": list(keys)}]}


class Gateway:
    """One gateway process. `names` counts up, so that several can be started."""

    def __init__(self, directory, name, store, grace_s=8, host="127.0.0.1", seeds=(), internal_port=None,
                 store_port=None, bounds=""):
        self.port, self.ready_port, free_port, self.metrics_port = free_ports(4)
        self.internal_port = internal_port or free_port
        self.host = host
        settings = pathlib.Path(directory) / f"{name}.ini"
        self.log_path = pathlib.Path(directory) / f"{name}.log"
        settings.write_text(
            f"[gateway]\nname = {name}\nzone = za\nregion = r\nlisten = {host}:{self.port}\n"
            f"readiness = {host}:{self.ready_port}\ninternal = {host}:{self.internal_port}\n"
            f"metrics = {host}:{self.metrics_port}\n"
            f"[store]\naddress = 127.0.0.1:{store_port or store.port}\n[cluster]\nseeds = {','.join(seeds)}\n"
            f"zone_regions = za:r\n[bounds]\ngrace_s = {grace_s}\n{bounds}")
        self._log = open(self.log_path, "wb")
        self.process = subprocess.Popen(
            [str(BUILD / "apps/cassiashed/cassiashed"), "gateway", "--settings", str(settings)],
            stdout=self._log, stderr=subprocess.STDOUT)

    def is_ready(self):
        connection = http.client.HTTPConnection(self.host, self.ready_port, timeout=2)
        try:
            connection.request("GET", "/readiness")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def close(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self._log.close()


class GatewayCase(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = directory.name
        self.store = Store()
        self.addCleanup(self.store.close)
        self.app = [self.make_replica(f"app-{n}") for n in range(2)]
        self.llm = [self.make_replica(f"llm-{n}") for n in range(2)]
        for each in self.app:
            self.store.put("servers", each.identity, each.entry("app"))
        for each in self.llm:
            each.script = ["events"]
            self.store.put("servers", each.identity, each.entry("llm"))
        self.store.put("op", "config", make_config(3))
        self.gateway = self.start_gateway("g1")
        self.attempt = 0

    def make_replica(self, identity):
        result = Replica(identity)
        self.addCleanup(result.close)
        return result

    def start_gateway(self, name, **options):
        result = Gateway(self.directory, name, self.store, **options)
        self.addCleanup(result.close)
        self.wait_for(result.is_ready, f"{name} is ready")
        return result

    def wait_for(self, condition, what, seconds=20):
        end = time.monotonic() + seconds
        while not condition():
            self.assertLess(time.monotonic(), end, f"not in time: {what}")
            time.sleep(0.02)

    def call(self, path, method="GET", body=None, key=KEY, gateway=None, deadline_ms=3000, **fields):
        """Status, header fields and body; status 0 if the answer is incomplete."""
        target = gateway or self.gateway
        self.attempt += 1
        connection = http.client.HTTPConnection(target.host, target.port, timeout=20)
        headers = {"Host": "h.example", "Attempt-Id": f"a{self.attempt}",
                   "Deadline-Milliseconds": str(deadline_ms), **fields}
        if key:
            headers["Authorization"] = f"Bearer {key}"
        try:
            connection.request(method, path, body, headers)
            reply = connection.getresponse()
            return reply.status, reply.headers, reply.read()
        except (OSError, http.client.HTTPException):
            return 0, {}, b""
        finally:
            connection.close()

    def share_script(self, replicas, script):
        """The replicas take their behaviours from one list, whoever is asked."""
        for each in replicas:
            each.script, each.requests = script, []

    def stream(self):
        return self.call("/stream/x", "POST", b"prompt", **{"Token-Counts": "5000,300"})

    def requests(self, replicas):
        return [request for each in replicas for request in each.requests]

    def raw(self, text, wait=3):
        """What the gateway answers to these bytes until it closes or falls silent."""
        with socket.create_connection((self.gateway.host, self.gateway.port), timeout=wait) as peer:
            peer.sendall(text)
            answer = b""
            try:
                while piece := peer.recv(65536):
                    answer += piece
            except OSError:
                pass
            return answer
