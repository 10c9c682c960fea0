"""Stand-in for the platform's API for duties that one node has for all."""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class DutyApi:
    """`calls`: (time, path, holder, fence, body) of every accepted call. `status`: of the answers;
    0: the connection ends without one, though the call counts."""

    def __init__(self):
        self.calls = []
        self.status = 200
        api = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                status = api.status
                if status in (0, 200):
                    api.calls.append((time.monotonic(), self.path, self.headers["Duty-Holder"],
                                      int(self.headers["Fencing-Token"]), body))
                self.close_connection = True
                if status:
                    self.send_response(status)
                    self.send_header("Content-Length", "0")
                    self.end_headers()

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        self.port = self._server.server_port
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self):
        self._server.shutdown()
        self._server.server_close()
