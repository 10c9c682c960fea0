"""What may follow a stream that was broken off: answers that do not continue it."""

import http.client
import unittest

from gateway_fixture import EVENTS, KEY, GatewayCase, make_config, route

TWO = 42  # bytes of the first two events
INSIDE = "broken:" + EVENTS[:50].decode()  # in the middle of the third event
BETWEEN = "broken:" + EVENTS[:TWO].decode()  # after the second event


def events(*ids):
    return "".join(f"id: {number}\ndata: token {number}\n\n" for number in ids)


class ResumeTest(GatewayCase):
    def setUp(self):
        super().setUp()
        self.llm.append(self.make_replica("llm-2"))
        self.store.put("servers", "llm-2", self.llm[2].entry("llm"))
        self.store.put("op", "config", make_config(4, [
            route("/get/", "idempotent", "app"),
            route("/stream/", "streaming", "llm", resumable=True, targetGapMs=250, timeoutMs=12000, maxAttempts=3),
        ]))
        self.wait_for_replicas()

    def wait_for_replicas(self):
        for event in (b"event=config_in_force version=4", b"endpoint=llm-2"):
            self.wait_for(lambda: event in self.gateway.log_path.read_bytes(), event)

    def ask(self, *script, **fields):
        """Whether the answer is complete, and its body."""
        self.share_script(self.llm, list(script))
        connection = http.client.HTTPConnection("127.0.0.1", self.gateway.port, timeout=20)
        self.attempt += 1
        try:
            connection.request("POST", "/stream/x", b"prompt", {
                "Host": "h.example", "Attempt-Id": f"r{self.attempt}", "Authorization": f"Bearer {KEY}",
                "Token-Counts": "5000,300", "Deadline-Milliseconds": "8000", **fields})
            reply = connection.getresponse()
            return reply.status == 200, reply.read()
        except http.client.IncompleteRead as error:
            return False, error.partial
        finally:
            connection.close()

    def check_refused(self, answer, passed=b""):
        """`passed`: what of the answer continues the stream."""
        # Replicas that broke off much are avoided; a new gateway knows nothing of it.
        self.gateway.close()
        self.attempt += 1
        self.gateway = self.start_gateway(f"g{self.attempt}")
        self.wait_for_replicas()
        for broken in (INSIDE, BETWEEN):
            with self.subTest(broken=broken, answer=answer):
                self.assertEqual(self.ask(broken, answer), (False, EVENTS[:TWO] + passed))
                self.assertEqual(self.ask(broken, answer, "events"), (True, EVENTS))

    # Guards against a stream that ends as complete without its rest.
    def test_an_answer_without_an_event_is_refused(self):
        for answer in ("raw:", "raw:\n\n", "raw:: ping\n\n", "untyped:"):
            self.check_refused(answer)

    # Guards against pieces that come twice or are left out.
    def test_events_that_begin_elsewhere_are_refused(self):
        for answer in (events(1, 2, 3, 4, 5, 6), events(2, 3, 4, 5, 6), events(4, 5, 6)):
            self.check_refused("raw:" + answer)

    def test_events_that_skip_or_repeat_later_are_refused(self):
        for answer in (events(3, 5, 6), events(3, 3, 4), events(3, 1)):
            self.check_refused("raw:" + answer, EVENTS[TWO:TWO + 21])

    # Guards against an error's text, or another run, in the middle of a stream.
    def test_text_that_is_no_event_is_refused(self):
        for answer in ("raw:data: token 3\n\n", "untyped:internal error\n\n", 'untyped:{"error": "busy"}\n\n',
                       "untyped:<html>\n\n</html>\n\n"):
            self.check_refused(answer)

    # Guards against a whole second run behind the events of the first one.
    def test_a_stream_without_ids_is_not_resumed(self):
        self.assertEqual(self.ask("broken:data: a\n\ndata", "raw:data: a\n\ndata: b\n\n"), (False, b"data: a\n\n"))
        self.assertEqual(len(self.requests(self.llm)), 1)

    # Guards against events that the caller has from its earlier attempt.
    def test_events_before_the_callers_last_one_are_refused(self):
        fields = {"Last-Event-Id": "2"}
        self.assertEqual(self.ask("raw:" + events(1, 2, 3), "events", **fields), (True, EVENTS[TWO:]))
        self.assertEqual(self.ask("raw:", **fields), (True, b""))

    def test_a_continuation_may_break_off_too(self):
        self.assertEqual(self.ask(INSIDE, "broken:" + events(3, 4) + "id", "events"), (True, EVENTS))


if __name__ == "__main__":
    unittest.main()
