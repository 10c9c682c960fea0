"""Peers that send bytes without end, in any part of an answer or a request."""

import pathlib
import socket
import threading
import unittest

from gateway_fixture import EVENTS, KEY, WHOLE, GatewayCase


class EndlessTest(GatewayCase):
    PROCESS_BYTES = 48 << 20  # of a process with some requests
    ENDLESS = ("endless_head", "endless_interim", "endless_extension", "endless_trailer", "endless_foreign")

    def peak(self):
        status = pathlib.Path(f"/proc/{self.gateway.process.pid}/status").read_text()
        return int(next(line for line in status.splitlines() if line.startswith("VmHWM")).split()[1]) << 10

    def at_once(self, count, call):
        threads = [threading.Thread(target=call) for _ in range(count)]
        for each in threads:
            each.start()
        for each in threads:
            each.join()

    # Guards against a process that runs out of memory by an answer whose head, chunk or trailer never ends.
    def test_answers_without_end_are_neither_kept_nor_awaited(self):
        for behaviour in self.ENDLESS:
            self.share_script(self.app, [behaviour, "ok"])
            self.assertEqual(self.call("/get/x")[::2], (200, WHOLE), behaviour)
            self.share_script(self.llm, [behaviour, "events"])
            self.assertEqual(self.stream()[::2], (200, EVENTS), behaviour)
        self.assertLess(self.peak(), self.PROCESS_BYTES)

    def test_many_answers_without_end_at_once_fit_into_memory(self):
        for behaviour in ("endless_extension", "endless_trailer"):
            self.share_script(self.app, [behaviour])
            self.at_once(40, lambda: self.call("/post/x", "POST", b"drop"))
        self.assertLess(self.peak(), self.PROCESS_BYTES + (40 << 18))
        self.share_script(self.app, ["ok"])
        self.assertEqual(self.call("/get/x")[0], 200)

    # Guards against answers to orders and reports that are kept up to 64 MB each.
    def test_orders_answered_without_end_are_not_kept(self):
        for each in self.llm:
            each.endless_calls = True
        self.at_once(10, lambda: self.call("/stream/x", "POST", b"prompt", deadline_ms=12000,
                                           **{"Token-Counts": "300000,700"}))
        self.assertTrue(any(each.orders for each in self.llm))
        self.assertLess(self.peak(), self.PROCESS_BYTES)

    # Guards against a caller whose chunk or trailer never ends.
    def test_a_request_without_end_is_refused(self):
        head = (f"POST /post/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer {KEY}\r\n"
                "Transfer-Encoding: chunked\r\n\r\n").encode()
        for begin in (b"2;", b"2\r\nno\r\n0\r\nX: "):
            with socket.create_connection((self.gateway.host, self.gateway.port), timeout=5) as peer:
                peer.sendall(head + begin)
                answer = b""
                try:
                    for _ in range((64 << 20) // 65536):
                        peer.sendall(b"x" * 65536)
                except OSError:
                    pass
                try:
                    answer = peer.recv(65536)
                except OSError:
                    pass
            self.assertIn(answer.split(b" ")[1:2], ([], [b"400"]))
        self.assertLess(self.peak(), self.PROCESS_BYTES)
        self.assertEqual(self.requests(self.app), [])

    # Guards against a store whose answer never ends.
    def test_rows_without_end_are_not_kept(self):
        self.store.mode = "endless"
        self.store.put("servers", "app-9", self.app[0].entry("app"))
        self.wait_for(lambda: b"event=store_lost" in self.gateway.log_path.read_bytes(), "the answer is given up", 30)
        self.store.mode = "ok"
        self.wait_for(lambda: b"endpoint=app-9" in self.gateway.log_path.read_bytes(), "the row is read", 30)
        self.assertLess(self.peak(), self.PROCESS_BYTES)


if __name__ == "__main__":
    unittest.main()
