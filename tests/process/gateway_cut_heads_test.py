"""Answers of replicas that end inside their head, or whose head has an unusual form."""

import time
import unittest

from gateway_fixture import EVENTS, WHOLE, GatewayCase

SIGNED = "Attempt-Id: {id}\r\nResponse-Signature: {replica}\r\n"
OLD = "HTTP/1.0 200 OK\r\n" + SIGNED + "Content-Length: 10\r\n\r\n"
FOLDED = "HTTP/1.1 200 OK\r\nX-Note: a\r\n b\r\n" + SIGNED + "Content-Length: 10\r\n\r\n"
CHUNKED = "HTTP/1.1 200 OK\r\n" + SIGNED + "Transfer-Encoding: chunked\r\n\r\n"
BARE_LINES = OLD.replace("\r\n", "\n")
EVENT_HEAD = "HTTP/1.1 200 OK\r\n" + SIGNED + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


class CutHeadsTest(GatewayCase):
    def set_raw(self, replicas, head, size=None):
        """`head`, cut behind `size` bytes. Returns its whole length."""
        def raw_of(replica):
            def raw(fields):
                text = head.format(id=fields.get("attempt-id"), replica=replica.identity).encode()
                self.length = len(text)
                return text[:size]
            return raw
        for each in replicas:
            each.raw = raw_of(each)

    def each_cut(self, replicas, head, step=1):
        size, self.length = 0, 1
        while size <= self.length:
            self.set_raw(replicas, head, size)
            yield size
            size += step

    def stream_once_admitted(self):
        """Asks again while the capacity of engines that just failed admits no request."""
        for _ in range(40):
            reply = self.stream()
            if self.requests(self.llm):
                return reply
            time.sleep(0.25)
        self.fail("no replica was asked")

    # Guards against a head that ends early and is relayed as an answer with an empty body.
    def test_a_head_cut_at_any_byte_is_no_answer(self):
        for name, head in (("old", OLD), ("folded", FOLDED), ("chunked", CHUNKED), ("bare", BARE_LINES)):
            for size in self.each_cut(self.app, head):
                self.share_script(self.app, ["raw"])
                status, _, body = self.call("/post/x", "POST", b"drop")
                self.assertEqual(status, 502, (name, size, body))

    def test_a_whole_answer_with_an_old_or_folded_head_is_relayed(self):
        for head in (OLD, FOLDED):
            self.set_raw(self.app, head + WHOLE.decode())
            self.share_script(self.app, ["raw"])
            self.assertEqual(self.call("/post/x", "POST", b"drop")[::2], (200, WHOLE), head)

    # Guards against a stream that ends as complete where the answer that continues it has a cut head.
    def test_a_stream_whose_continuation_has_a_cut_head_looks_incomplete(self):
        for size in self.each_cut(self.llm, EVENT_HEAD, step=13):
            self.share_script(self.llm, ["cut", "raw"])
            status, _, body = self.stream_once_admitted()
            self.assertEqual((status, body), (0, b""), size)

    def test_a_first_cut_head_of_a_stream_is_tried_elsewhere(self):
        for size in self.each_cut(self.llm, EVENT_HEAD, step=13):
            self.share_script(self.llm, ["raw", "events"])
            self.assertEqual(self.stream_once_admitted()[::2], (200, EVENTS), size)


if __name__ == "__main__":
    unittest.main()
