"""Answers that are none: a status that HTTP does not know, and a part that is taken for a whole answer."""

import socket
import threading
import time
import unittest

from gateway_fixture import EVENTS, WHOLE, GatewayCase, make_config

ODD = ("000", "001", "099", "600", "999")


class OddAnswersTest(GatewayCase):
    def head(self, fields, status, more=""):
        return (f"HTTP/1.1 {status} Odd\r\nAttempt-Id: {fields.get('attempt-id', '')}\r\n"
                f"Response-Signature: app\r\n{more}\r\n").encode()

    def answer_raw(self, make):
        for each in self.app + self.llm:
            each.raw = make

    # Guards against an odd status that the caller gets as an answer, or as status 0 with an empty body.
    def test_a_status_that_is_none_of_http_is_a_failed_attempt(self):
        for status in ODD:
            for more in ("Content-Length: 2\r\n", ""):
                self.answer_raw(lambda fields: self.head(fields, status, more) + b"no")
                self.share_script(self.app, ["raw", "ok"])
                self.share_script(self.llm, ["raw", "events"])
                self.assertEqual(self.call("/get/x")[::2], (200, WHOLE), (status, more))
                self.assertEqual(self.stream()[::2], (200, EVENTS), (status, more))
                self.share_script(self.app, ["raw"])
                # It may have run, so no status that promises the opposite.
                self.assertEqual(self.call("/post/x", "POST", b"once")[0], 502, (status, more))
                self.assertEqual(len(self.requests(self.app)), 1, (status, more))
                time.sleep(0.1)

    def early_peer(self, end):
        """A replica that answers without a length after the head of a request and never reads its body."""
        listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.addCleanup(listener.close)

        def serve():
            while True:
                try:
                    connection, _ = listener.accept()
                except OSError:
                    return
                self.addCleanup(connection.close)
                data = b""
                while b"\r\n\r\n" not in data:
                    data += connection.recv(1)
                fields = dict(line.lower().split(": ", 1) for line in data.decode().split("\r\n")[1:] if ": " in line)
                connection.sendall(self.head(fields, "200") + b"a part")
                time.sleep(0.2)
                end(connection, int(fields.get("content-length", 0)))

        threading.Thread(target=serve, daemon=True).start()
        return listener.getsockname()[1]

    def use_early_peer(self, end):
        current = make_config(4)
        current["limits"]["bodyBytes"] = 4 << 20
        self.store.put("op", "config", current)
        port = self.early_peer(end)
        for each in self.app:
            self.store.put("servers", each.identity, {**each.entry("app"), "address": f"127.0.0.1:{port}"})
        self.wait_for(lambda: b"version=4" in self.gateway.log_path.read_bytes()
                      and self.call("/post/x", "POST", b"x")[2] == b"a part", "the replica is used")

    # Guards against a whole answer that is thrown away since it began before its request was read: replicas may read
    # on after it.
    def test_an_early_answer_that_ends_after_the_request_is_whole(self):
        def read_on(connection, left):
            while left > 0:
                left -= len(connection.recv(1 << 16))
            connection.shutdown(socket.SHUT_WR)

        self.use_early_peer(read_on)
        for size in (900_000, 3_900_000):
            self.assertEqual(self.call("/post/x", "POST", b"x" * size)[::2], (200, b"a part"), size)

    # Guards against a part of an answer that counts as whole, since its sender ended while it was still being sent
    # the request.
    def test_an_early_answer_without_a_length_is_not_whole(self):
        self.use_early_peer(lambda connection, _: connection.shutdown(socket.SHUT_WR))
        for size in (900_000, 3_900_000):
            status, _, body = self.call("/post/x", "POST", b"x" * size)
            self.assertNotEqual((status, body), (200, b"a part"), size)
            self.assertIn(status, (0, 502), size)


if __name__ == "__main__":
    unittest.main()
