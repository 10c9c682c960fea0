"""How answers without a length or chunks, and broken answers, reach the caller."""

import signal
import socket
import time
import unittest

from gateway_fixture import EVENTS, KEY, GatewayCase, make_config, route


class FramingTest(GatewayCase):
    BROKEN = ("unframed_cut", "unframed_reset", "unframed_none", "sized_cut")

    def setUp(self):
        super().setUp()
        config = make_config(4, [
            route("/get/", "idempotent", "app"),
            route("/stream/", "streaming", "llm", resumable=True, targetGapMs=250, timeoutMs=12000),
            route("/once/", "streaming", "llm", targetGapMs=250, timeoutMs=12000),
        ])
        config["limits"]["bodyBytes"] = 32 << 20
        self.store.put("op", "config", config)
        self.wait_for(lambda: b"event=config_in_force version=4" in self.gateway.log_path.read_bytes(), "version 4")

    def ask(self, path, body=b"prompt", **fields):
        return self.call(path, "POST", body, deadline_ms=9000, **{"Token-Counts": "5000,300"}, **fields)

    def old_caller(self, path, fields=""):
        """Bytes that a caller without chunks gets, and whether its connection is reset."""
        with socket.create_connection((self.gateway.host, self.gateway.port), timeout=5) as peer:
            peer.sendall(f"POST {path} HTTP/1.0\r\nHost: h.example\r\nAttempt-Id: old\r\nContent-Length: 0\r\n"
                         f"Token-Counts: 5000,300\r\nAuthorization: Bearer {KEY}\r\n{fields}\r\n".encode())
            answer = b""
            try:
                while piece := peer.recv(65536):
                    answer += piece
            except ConnectionResetError:
                return answer, True
            return answer, False

    def test_a_stream_that_ends_with_its_connection_is_whole(self):
        for each in self.llm:
            each.script = ["unframed_events"]
        for path in ("/stream/x", "/once/x"):
            status, fields, body = self.ask(path)
            self.assertEqual((status, body), (200, EVENTS), path)
            self.assertEqual(fields["Transfer-Encoding"], "chunked")

    # Guards against logs that do not tell how the answers of an endpoint are framed.
    def test_the_framing_of_an_answer_is_logged(self):
        for path, behaviour, framing in (("/once/a", "events", "chunked"), ("/once/b", "unframed_events", "close"),
                                         ("/get/a", "ok", "length")):
            self.share_script(self.llm + self.app, [behaviour])
            self.ask(path)
            logged = f"event=attempt_ended id=a{self.attempt} ".encode()
            self.wait_for(lambda: logged in self.gateway.log_path.read_bytes(), "the attempt is logged")
            line = self.gateway.log_path.read_bytes().partition(logged)[2].partition(b"\n")[0]
            self.assertIn(f" result=answered framing={framing} ".encode(), line)

    def check_looks_incomplete(self, behaviour):
        for path in ("/stream/x", "/once/x"):
            self.share_script(self.llm, [behaviour])
            self.assertIn(self.ask(path)[0], (0, 502), path)

    # Guards against streams that are broken off inside an event and framed as complete.
    def test_a_stream_that_ends_inside_an_event_looks_incomplete(self):
        self.check_looks_incomplete("unframed_cut")

    def test_a_stream_with_a_length_that_ends_inside_an_event_looks_incomplete(self):
        self.check_looks_incomplete("sized_cut")

    def test_a_stream_that_is_reset_looks_incomplete(self):
        self.check_looks_incomplete("unframed_reset")

    def test_a_stream_that_ends_before_its_first_event_looks_incomplete(self):
        self.check_looks_incomplete("unframed_none")

    # Guards against a stream without events that is framed as complete because the caller resumes it.
    def test_a_resumed_stream_that_ends_before_its_first_event_looks_incomplete(self):
        for path in ("/stream/x", "/once/x"):
            self.share_script(self.llm, ["unframed_none"])
            self.assertIn(self.ask(path, **{"Last-Event-Id": "2"})[0], (0, 502), path)

    # Guards against a reset that was noticed before the end of the stream was read, and then looks orderly.
    def test_a_silent_stream_that_is_reset_looks_incomplete(self):
        self.share_script(self.llm, ["unframed_stall:3", "refuse_late:2.5"])
        self.assertIn(self.ask("/stream/x")[0], (0, 502))

    # Guards against a reset that the sending of the request met, so that the end of the answer looks orderly.
    def test_an_early_answer_that_is_reset_looks_incomplete(self):
        for each in self.llm + self.app:
            each.limit_receive_buffer(4096)
            each.answers_early = True
        body = b"x" * (16 << 20)
        for path, replicas, behaviour in (("/once/x", self.llm, "unframed_events"), ("/get/x", self.app, "unframed")):
            with self.subTest(path):
                self.share_script(replicas, [behaviour])
                self.assertIn(self.ask(path, body)[0], (0, 502))

    # Guards against a broken stream that looks whole to a caller that reads long after the endpoint has closed.
    def test_a_broken_stream_looks_incomplete_to_a_slow_caller(self):
        events = b"".join(b"id: %d\ndata: %s\n\n" % (number, b"x" * 2000) for number in range(1, 3000))
        for each in self.llm:
            each.script = ["raw"]
            each.raw = lambda fields: (f"HTTP/1.1 200 OK\r\nAttempt-Id: {fields['attempt-id']}\r\n"
                                       "Response-Signature: s\r\n\r\n").encode() + events + b"id: 3000\ndata: xx"
        with socket.socket() as peer:
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
            peer.settimeout(5)
            peer.connect((self.gateway.host, self.gateway.port))
            peer.sendall(f"POST /once/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: slow\r\nContent-Length: 0\r\n"
                         f"Token-Counts: 5000,300\r\nAuthorization: Bearer {KEY}\r\n\r\n".encode())
            time.sleep(2)
            answer = b""
            while piece := peer.recv(65536):
                answer += piece
        self.assertIn(b"id: 2999\n", answer)
        self.assertFalse(answer.endswith(b"0\r\n\r\n"))

    def test_a_stream_that_ends_inside_an_event_is_resumed_elsewhere(self):
        for behaviour in self.BROKEN:
            self.share_script(self.llm, [behaviour, "unframed_events"])
            self.assertEqual(self.ask("/stream/x")[::2], (200, EVENTS), behaviour)

    # Guards against an answer that a caller cannot tell from a whole one, since it ends with its connection.
    def test_a_broken_stream_of_a_caller_without_chunks_is_reset(self):
        for each in self.llm:
            each.script = ["unframed_events"]
        for fields in ("", "Connection: keep-alive\r\n"):
            answer, was_reset = self.old_caller("/once/x", fields)
            self.assertTrue(answer.endswith(EVENTS))
            self.assertFalse(was_reset)
        for behaviour in ("cut", "unframed_cut", "sized_cut"):
            self.share_script(self.llm, [behaviour])
            answer, was_reset = self.old_caller("/once/x")
            self.assertNotIn(b"Content-Length", answer, behaviour)
            self.assertTrue(was_reset, behaviour)

    # Guards against a process whose end makes answers look complete.
    def test_the_end_of_the_process_resets_a_caller_without_chunks(self):
        for each in self.llm:
            each.script = ["pause:9"]
        with socket.create_connection((self.gateway.host, self.gateway.port), timeout=5) as peer:
            peer.sendall(f"POST /once/x HTTP/1.0\r\nHost: h.example\r\nAttempt-Id: old\r\nContent-Length: 0\r\n"
                         f"Token-Counts: 5000,300\r\nAuthorization: Bearer {KEY}\r\n\r\n".encode())
            while b"token 2" not in peer.recv(65536):
                pass
            self.gateway.process.send_signal(signal.SIGKILL)
            with self.assertRaises(ConnectionResetError):
                while peer.recv(65536):
                    pass

    # Guards against a body after the answer to a HEAD, which the caller would take for the next answer.
    def test_a_refused_head_request_gets_no_body(self):
        with socket.create_connection((self.gateway.host, self.gateway.port), timeout=5) as peer:
            for path, status in (("/none/x", b"404"), ("/get/x", b"200"), ("/none/x", b"404")):
                peer.sendall(f"HEAD {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: head\r\n"
                             f"Authorization: Bearer {KEY}\r\n\r\n".encode())
                answer = b""
                while not answer.endswith(b"\r\n\r\n"):
                    answer += peer.recv(65536)
                self.assertEqual(answer.split(b" ")[:2], [b"HTTP/1.1", status])


if __name__ == "__main__":
    unittest.main()
