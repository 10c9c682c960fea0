"""Connections that callers keep using while their gateway stops."""

import http.client
import signal
import socket
import time
import unittest

from gateway_fixture import EVENTS, KEY, GatewayCase


class KeptConnectionsTest(GatewayCase):
    def setUp(self):
        super().setUp()
        self.stopping = self.start_gateway("stopping")

    def connect(self):
        peer = socket.create_connection((self.stopping.host, self.stopping.port), timeout=15)
        self.addCleanup(peer.close)
        return peer

    def signal(self, number):
        self.stopping.process.send_signal(number)

    def request(self, path, method="GET", length=None):
        self.attempt += 1
        fields = [f"{method} {path} HTTP/1.1", "Host: h.example", f"Attempt-Id: a{self.attempt}",
                  "Deadline-Milliseconds: 12000", f"Authorization: Bearer {KEY}", "Token-Counts: 5000,300"]
        if method == "POST":
            fields.append(f"Content-Length: {length or 0}")
        return ("\r\n".join(fields) + "\r\n\r\n").encode()

    @staticmethod
    def read_all(peer):
        """Everything until the connection ends; a reset counts as its end."""
        received = b""
        try:
            while piece := peer.recv(65536):
                received += piece
        except ConnectionResetError:
            pass
        return received

    @staticmethod
    def read_until(peer, end):
        received = b""
        while not received.endswith(end) and (piece := peer.recv(65536)):
            received += piece
        return received

    @staticmethod
    def read_answer(peer):
        answer = http.client.HTTPResponse(peer)
        answer.begin()
        answer.read()
        return answer

    # Guards against a request that was sent early and is dropped with its connection.
    def test_a_request_sent_behind_a_stream_is_answered(self):
        for each in self.llm:
            each.script = ["late:1"]
        peer = self.connect()
        peer.sendall(self.request("/stream/x", "POST") + self.request("/get/x"))
        self.wait_for(lambda: self.requests(self.llm), "the stream is passed on")
        self.signal(signal.SIGTERM)
        self.assertEqual(self.read_all(peer).count(b"HTTP/1.1 "), 2)

    # Guards against a kept connection that ends with its stream, so that the next request crosses the close.
    def test_a_connection_that_was_promised_is_kept_behind_its_stream(self):
        for each in self.llm:
            each.script = ["pause:1"]
        peer = self.connect()
        peer.sendall(self.request("/stream/x", "POST"))
        self.wait_for(lambda: self.requests(self.llm), "the stream is passed on")
        self.signal(signal.SIGTERM)
        self.read_until(peer, b"\r\n0\r\n\r\n")
        time.sleep(0.3)
        peer.sendall(self.request("/get/x"))
        answer = self.read_all(peer)
        self.assertTrue(answer.startswith(b"HTTP/1.1 "), answer)
        self.assertIn(b"Connection: close", answer)

    # Guards against requests that lie in sockets, or in the listening queue, when a slow process ends.
    def test_requests_that_a_slow_process_has_not_read_are_answered(self):
        kept = [self.connect() for _ in range(10)]
        for peer in kept:
            peer.sendall(self.request("/get/x"))
            self.read_until(peer, b"whole body")
        self.signal(signal.SIGTERM)
        time.sleep(2.9)
        self.signal(signal.SIGSTOP)
        time.sleep(0.1)
        peers = kept + [self.connect() for _ in range(10)]
        for peer in peers:
            peer.sendall(self.request("/get/x"))
        time.sleep(0.5)
        self.signal(signal.SIGCONT)
        for peer in peers:
            self.assertTrue(self.read_all(peer).startswith(b"HTTP/1.1 "))
        self.assertEqual(self.stopping.process.wait(3), 0)

    # Guards against a process that ends while the body of a request arrives.
    def test_a_body_that_arrives_across_the_stop_is_answered(self):
        peer = self.connect()
        peer.sendall(self.request("/get/x", "POST", length=60000))
        self.signal(signal.SIGTERM)
        for _ in range(20):
            time.sleep(0.17)
            peer.sendall(b"x" * 3000)
        self.assertTrue(self.read_all(peer).startswith(b"HTTP/1.1 "))
        self.assertEqual(self.stopping.process.wait(3), 0)

    # Guards against a request that arrives after its predecessor's answer began to arrive here, and before the caller
    # was told that the connection ends.
    def test_a_request_sent_before_the_answer_is_answered(self):
        for each in self.app:
            each.script = ["slow:2", "ok"]
        peer = self.connect()
        peer.sendall(self.request("/get/x"))
        self.wait_for(lambda: self.requests(self.app), "it is passed on")
        self.signal(signal.SIGTERM)
        time.sleep(0.5)
        peer.sendall(self.request("/get/x"))
        self.assertEqual(self.read_all(peer).count(b"HTTP/1.1 "), 2)

    # Guards against a request that crosses the head of a long answer and is dropped with its connection.
    def test_a_request_that_crosses_the_head_of_a_stream_is_answered(self):
        for each in self.llm:
            each.script = ["pause:1"]
        peer = self.connect()
        self.signal(signal.SIGTERM)
        time.sleep(0.2)
        peer.sendall(self.request("/stream/x", "POST"))
        self.wait_for(lambda: self.requests(self.llm), "the stream is passed on")
        peer.sendall(self.request("/get/x"))
        self.assertEqual(self.read_all(peer).count(b"HTTP/1.1 "), 2)

    # The same behind an answer of known length.
    def test_a_request_that_crosses_the_head_of_a_slow_answer_is_answered(self):
        for each in self.app:
            each.script = ["slow:1", "ok"]
        peer = self.connect()
        self.signal(signal.SIGTERM)
        time.sleep(0.2)
        peer.sendall(self.request("/get/x"))
        self.wait_for(lambda: self.requests(self.app), "the request is passed on")
        time.sleep(0.2)
        peer.sendall(self.request("/get/y"))
        self.assertEqual(self.read_all(peer).count(b"HTTP/1.1 "), 2)

    # Guards against a process that callers keep running by using their connections.
    def test_callers_that_go_on_do_not_keep_the_process(self):
        peer = self.connect()
        self.signal(signal.SIGTERM)
        begin = time.monotonic()
        answers = 0
        try:
            while time.monotonic() - begin < 9:
                peer.sendall(self.request("/get/x"))
                answer = self.read_answer(peer)
                answers += 1
                if answer.will_close:
                    peer = self.connect()
                time.sleep(0.05)
        except (OSError, http.client.HTTPException):
            pass  # the process is gone
        self.assertGreater(answers, 10)
        self.assertEqual(self.stopping.process.wait(2), 0)
        self.assertLess(time.monotonic() - begin, 8)

    # Guards against runs that go on for callers that left after they had sent their next request.
    def test_a_caller_that_leaves_after_sending_early_ends_its_run(self):
        self.share_script(self.llm, ["mute"])
        peer = self.connect()
        peer.sendall(self.request("/stream/x", "POST"))
        self.wait_for(lambda: self.requests(self.llm), "the stream is passed on")
        peer.sendall(self.request("/get/x"))
        time.sleep(0.2)
        peer.close()
        self.wait_for(lambda: any(each.closed_by_caller.is_set() for each in self.llm), "the run ends", seconds=0.5)

    def test_a_stream_across_the_stop_is_whole(self):
        for each in self.llm:
            each.script = ["pause:4"]
        peer = self.connect()
        peer.sendall(self.request("/stream/x", "POST"))
        self.wait_for(lambda: self.requests(self.llm), "the stream is passed on")
        self.signal(signal.SIGTERM)
        body = self.read_all(peer).split(b"\r\n\r\n", 1)[1]
        pieces = [line for line in body.split(b"\r\n") if line.startswith(b"id: ")]
        self.assertEqual(b"".join(pieces), EVENTS)


if __name__ == "__main__":
    unittest.main()
