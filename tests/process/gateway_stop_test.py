"""What a gateway that was told to stop does with the requests that it has."""

import signal
import socket
import threading
import time
import unittest

from gateway_fixture import GatewayCase, make_config, route

GRACE_S = 5
LONG_MS = 20000


class StopTest(GatewayCase):
    def setUp(self):
        super().setUp()
        long_prompts = dict(targetLatencyMs=3000, targetGapMs=1000, timeoutMs=LONG_MS)
        self.store.put("op", "config", make_config(4, [
            route("/get/", "idempotent", "app", timeoutMs=LONG_MS),
            route("/post/", "non_idempotent", "app", timeoutMs=LONG_MS),
            route("/stream/", "streaming", "llm", resumable=True, **long_prompts),
            route("/once/", "streaming", "llm", **long_prompts),
        ]))
        self.stopping = self.start_gateway("stopping", grace_s=GRACE_S)

    def stop(self):
        self.stopping.process.send_signal(signal.SIGTERM)

    def begin(self, path, tokens="5000,300"):
        """Starts a call; returns its thread and a list that gets status, Retry-After and duration."""
        result = []

        def run():
            begin = time.monotonic()
            status, fields, _ = self.call(path, "POST", b"prompt", gateway=self.stopping, deadline_ms=LONG_MS,
                                          **{"Token-Counts": tokens})
            result.extend([status, fields.get("Retry-After"), time.monotonic() - begin])

        thread = threading.Thread(target=run)
        thread.start()
        return thread, result

    def stop_during_an_answer(self):
        """A stream that has begun keeps the process until its end. Returns the time of the stop."""
        for each in self.llm:
            each.script = ["pause:9"]
        call, _ = self.begin("/once/x")
        self.addCleanup(call.join)
        self.wait_for(lambda: self.requests(self.llm), "the stream is passed on")
        self.stop()
        return time.monotonic()

    def connect(self):
        return socket.create_connection((self.stopping.host, self.stopping.port), timeout=2)

    # Guards against connections that the kernel still accepts for a process that serves no more.
    def test_connections_are_refused_at_the_very_end(self):
        stopped = self.stop_during_an_answer()
        time.sleep(stopped + GRACE_S - 0.6 - time.monotonic())
        self.assertIsNone(self.stopping.process.poll())
        with self.assertRaises(ConnectionRefusedError):
            self.connect()

    # Guards against connections that wait while the process is held up, and are reset by its end.
    def test_connections_that_waited_for_a_process_that_was_held_up_are_answered(self):
        stopped = self.stop_during_an_answer()
        time.sleep(stopped + GRACE_S - 0.95 - time.monotonic())
        self.stopping.process.send_signal(signal.SIGSTOP)
        waiting = [self.connect() for _ in range(5)]
        for peer in waiting:
            self.addCleanup(peer.close)
            peer.sendall(b"GET /get/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: late\r\n\r\n")
        time.sleep(stopped + GRACE_S - 0.3 - time.monotonic())
        self.stopping.process.send_signal(signal.SIGCONT)
        for peer in waiting:
            self.assertTrue(peer.recv(65536).startswith(b"HTTP/1.1 "))

    # Guards against requests that wait for memory and are closed without an answer when their process ends.
    def test_a_request_that_waits_for_memory_is_refused_at_once(self):
        for each in self.llm:
            each.has_memory = False
        calls = [self.begin("/stream/x", "300000,300") for _ in range(2)]
        self.wait_for(lambda: any(each.orders for each in self.llm), "memory is asked for")
        time.sleep(1)
        # Guards against orders that are repeated without a pause.
        self.assertLess(sum(len(each.orders) for each in self.llm), 100)
        stopped = time.monotonic()
        self.stop()
        for thread, result in calls:
            thread.join()
            self.assertEqual(result[0], 503)
            self.assertIsNotNone(result[1])
        self.assertLess(time.monotonic() - stopped, 2)
        self.assertEqual(self.requests(self.llm), [])

    # Guards against connections that are closed without a word when the grace period ends.
    def test_a_request_without_an_answer_is_told_so_at_the_end(self):
        for each in self.app + self.llm:
            each.script = ["late:9"]
        calls = {path: self.begin(path) for path in ("/get/x", "/post/x", "/stream/x", "/once/x")}
        targets = lambda: [request["target"] for request in self.requests(self.app + self.llm)]  # noqa: E731
        self.wait_for(lambda: set(targets()) == set(calls), "all are passed on")
        self.stop()
        for path, (thread, result) in calls.items():
            thread.join()
            # They were passed on, so that nobody can say that they did not run.
            self.assertEqual(result[0], 502, path)
        self.assertEqual([targets().count(path) for path in ("/post/x", "/once/x")], [1, 1])
        self.assertEqual(self.stopping.process.wait(GRACE_S), 0)

    # Guards against a process that is killed in the time that it leaves to the load balancer.
    def test_a_short_grace_period_ends_with_an_answer_too(self):
        self.stopping = self.start_gateway("short", grace_s=2)
        for each in self.app:
            each.script = ["late:9"]
        thread, result = self.begin("/post/x")
        self.wait_for(lambda: self.requests(self.app), "it is passed on")
        self.stop()
        thread.join()
        self.assertEqual(result[0], 502)
        self.assertEqual(self.stopping.process.wait(2), 0)

    # Guards against requests that are taken late, by the time that idle engines need, and cut at the end.
    def test_late_requests_are_refused_at_once_unless_they_surely_end(self):
        for each in self.llm:
            each.script = ["late:3"]
        early = self.begin("/once/x")
        self.wait_for(lambda: self.requests(self.llm), "a stream keeps the process running")
        self.stop()
        time.sleep(3.1)
        late = [self.begin(path) for path in ("/stream/x", "/once/x", "/get/x", "/post/x")]
        for thread, result in late:
            thread.join()
            self.assertEqual(result[0], 503)
            self.assertLess(result[2], 0.5)
        self.assertEqual(self.call("/post/x", "POST", b"drop", gateway=self.stopping, deadline_ms=600)[0], 200)
        early[0].join()
        self.assertEqual(early[1][0], 200)
        self.assertEqual(len(self.requests(self.llm)), 1)


if __name__ == "__main__":
    unittest.main()
