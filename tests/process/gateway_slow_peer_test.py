"""Callers and endpoints that read slowly, and ones that are gone without a word."""

import socket
import time
import unittest

from gateway_fixture import KEY, GatewayCase, make_config, route

BODY_BYTES = 16 << 20


class SlowPeerTest(GatewayCase):
    def setUp(self):
        super().setUp()
        config = make_config(4, [route("/large/", "idempotent", "app", timeoutMs=40000),
                                 route("/post/", "non_idempotent", "app", timeoutMs=40000)])
        config["limits"]["bodyBytes"] = BODY_BYTES
        self.store.put("op", "config", config)
        self.wait_for(lambda: self.call("/large/x")[0] == 200, "the routes are in force")
        self.share_script(self.app, ["ok"])

    def slow_caller(self):
        """A caller of a large answer that reads nothing yet."""
        self.share_script(self.app, ["large"])
        peer = socket.socket()
        self.addCleanup(peer.close)
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        peer.settimeout(15)
        peer.connect((self.gateway.host, self.gateway.port))
        peer.sendall((f"GET /large/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: slow\r\nConnection: close\r\n"
                      f"Deadline-Milliseconds: 40000\r\nAuthorization: Bearer {KEY}\r\n\r\n").encode())
        return peer

    # Guards against callers that are taken for dead while their window is closed.
    def test_a_caller_that_reads_nothing_for_12_s_gets_the_whole_answer(self):
        peer = self.slow_caller()
        time.sleep(12)
        received = 0
        while piece := peer.recv(1 << 20):
            received += len(piece)
        self.assertGreater(received, BODY_BYTES)

    # Guards against endpoints that are taken for dead while their window is closed.
    def test_an_endpoint_that_reads_a_body_after_4_s_answers_it(self):
        for each in self.app:
            each.limit_receive_buffer(16384)
            each.body_pause = 5
        status, _, body = self.call("/post/x", "POST", b"x" * BODY_BYTES, deadline_ms=30000)
        self.assertEqual((status, body), (200, b"whole body"))
        self.assertEqual(len(self.requests(self.app)), 1)

    # Guards against a limit that counts on while small pieces are taken.
    def test_an_endpoint_that_reads_a_body_in_small_pieces_answers_it(self):
        for each in self.app:
            each.limit_receive_buffer(16384)
            each.body_trickle = 8
        status, _, body = self.call("/post/x", "POST", b"x" * BODY_BYTES, deadline_ms=30000)
        self.assertEqual((status, body), (200, b"whole body"))

    # Guards against endpoints that hold up their requests after their machine is gone.
    def test_an_endpoint_that_is_gone_is_found_in_twice_its_limit(self):
        for gone_after in (0, 2, 5):
            for each in self.app:
                each.limit_receive_buffer(16384)
                each.gone_after, each.body_pause = gone_after, 30
            begin = time.monotonic()
            status, _, _ = self.call("/post/x", "POST", b"x" * BODY_BYTES, deadline_ms=30000)
            took = time.monotonic() - begin - gone_after
            self.assertEqual(status, 502, gone_after)
            self.assertLess(took, 4 if gone_after == 0 else 6.5, gone_after)


if __name__ == "__main__":
    unittest.main()
