"""Stand-in for the store of the users' platform: rows, long polls, failures."""

import base64
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse


class Store:
    """Rows by (table, key). `mode` makes it fail: "ok", "busy", "silent" or "endless".
    `body_seconds`: time in which the body of an answer arrives. `era`: value of the header `Store-Era`; None: no such
    header."""

    def __init__(self):
        self.mode = "ok"
        self.body_seconds = 0
        self.era = None
        self.before_write = lambda: None  # called before a write is carried out
        self._forgotten_polls = 0
        self._broken_polls = 0
        self._polls = 0
        self._rows = {}
        self._version = 0
        self._forgotten = 0
        self._changed = threading.Condition()
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_GET(self):
                store._serve(self)

            def do_POST(self):
                store._serve(self)

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        self.port = self._server.server_port
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, table, key, value):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self._changed:
            self._version += 1
            self._rows[table, key] = {"value": raw, "version": self._version, "gone": False}
            self._changed.notify_all()

    def remove(self, table, key):
        with self._changed:
            self._version += 1
            self._rows[table, key] = {"value": b"", "version": self._version, "gone": True}
            self._changed.notify_all()

    def copy(self):
        """A copy to come back from."""
        with self._changed:
            return {key: dict(row) for key, row in self._rows.items()}, self._version

    def restore(self, copy, rows=(), breaks_polls=True):
        """Comes back from a copy: what was written since is gone and its versions are given out again. Before the next
        call is answered, the (table, key, value) of `rows` are written. Polls that wait lose their connection or,
        without `breaks_polls`, go on waiting."""
        with self._changed:
            self._rows, self._version = {key: dict(row) for key, row in copy[0].items()}, copy[1]
            self._forgotten = min(self._forgotten, self._version)
            self.era = (self.era or 0) + 1
            for table, key, value in rows:
                self.put(table, key, value)
            if breaks_polls:
                self._broken_polls = self._polls
            self._changed.notify_all()

    def polls(self):
        """Number of polls that were begun."""
        with self._changed:
            return self._polls

    def break_polls(self, number):
        """The first `number` polls that still wait lose their connection."""
        with self._changed:
            self._broken_polls = number
            self._changed.notify_all()

    def value(self, table, key):
        with self._changed:
            row = self._rows.get((table, key))
            return row["value"] if row and not row["gone"] else None

    def forget_history(self):
        """Later long polls from before now are told that the history is gone."""
        with self._changed:
            self._rows = {k: r for k, r in self._rows.items() if not r["gone"]}
            self._version += 1
            self._forgotten = self._version
            self._changed.notify_all()

    def forget_polls(self):
        """Long polls that wait now keep their connection and get no answer."""
        with self._changed:
            self._forgotten_polls = self._polls

    def close(self):
        self._server.shutdown()
        self._server.server_close()

    @staticmethod
    def _now_ms():
        return int(time.monotonic() * 1000)

    def _describe(self, table, key, row):
        result = {"table": table, "part": "", "key": key, "rowVersion": row["version"]}
        if row["gone"]:
            result["tombstone"] = True
        else:
            result["value"] = base64.b64encode(row["value"]).decode()
        return result

    def _select(self, table, after, with_gone):
        return [
            self._describe(t, k, r)
            for (t, k), r in sorted(self._rows.items(), key=lambda item: item[1]["version"])
            if t == table and r["version"] > after and (with_gone or not r["gone"])
        ]

    def _serve(self, call):
        length = int(call.headers.get("Content-Length", 0))
        body = call.rfile.read(length)
        if self.mode == "silent":
            time.sleep(30)
            return
        if self.mode == "busy":
            self._reply(call, 503, {})
            return
        if self.mode == "endless":
            self._send_without_end(call)
            return
        url = urlparse(call.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/rows-get":
            with self._changed:
                rows = sorted(self._select(query["table"], 0, False), key=lambda r: r["key"])
                self._reply(call, 200, {"rows": rows, "morePages": False, "rowVersion": self._version,
                                        "nowMs": self._now_ms()})
        elif url.path == "/rows-feed":
            self._follow(call, query)
        elif url.path == "/rows-tx":
            self.before_write()
            for write in json.loads(body)["writes"]:
                self.put(write["table"], write["key"], base64.b64decode(write["value"]))
            self._reply(call, 200, {"rowVersion": self._version})
        else:
            self._reply(call, 404, {})

    def _follow(self, call, query):
        after = int(query["afterRevision"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        with self._changed:
            self._polls += 1
            number = self._polls
            is_unknown = after > self._version and self.era is not None
            while True:
                if number <= self._forgotten_polls:
                    self._changed.release()
                    time.sleep(60)
                    self._changed.acquire()
                    return
                if number <= self._broken_polls:
                    call.close_connection = True
                    return
                if after < self._forgotten or is_unknown:
                    status, answer = 410, {}
                    break
                rows = self._select(query["table"], after, True)
                left = end - time.monotonic()
                if rows or left <= 0:
                    status, answer = 200, {"rows": rows, "rowVersion": self._version, "nowMs": self._now_ms()}
                    break
                self._changed.wait(left)
        if self.mode == "busy":
            status, answer = 503, {}
        if self.mode == "endless":
            self._send_without_end(call)
            return
        self._reply(call, status, answer)

    @staticmethod
    def _send_without_end(call):
        try:
            call.send_response(200)
            call.send_header("Content-Length", str(1 << 40))
            call.end_headers()
            for _ in range((64 << 20) // 65536):
                call.wfile.write(b" " * 65536)
        except OSError:
            pass  # the caller is gone
        call.close_connection = True

    def _reply(self, call, status, answer):
        text = json.dumps(answer).encode()
        try:
            call.send_response(status)
            call.send_header("Content-Type", "application/json")
            if self.era is not None:
                call.send_header("Store-Era", str(self.era))
            call.send_header("Content-Length", str(len(text)))
            call.end_headers()
            pieces = 20 if self.body_seconds else 1
            size = -(-len(text) // pieces)
            for at in range(0, len(text), size):
                call.wfile.write(text[at:at + size])
                time.sleep(self.body_seconds / pieces)
        except OSError:
            pass  # the caller is gone
