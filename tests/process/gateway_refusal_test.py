"""Answers of faulty replicas that leave it open whether a request ran."""

import unittest

from gateway_fixture import WHOLE, GatewayCase

# Statuses that callers take for "did not run and never will".
PROMISES = (408, 421, 429, 503)


class RefusalTest(GatewayCase):
    def post(self, behaviour):
        """Status and body of a call that may not be repeated; every replica behaves the same."""
        self.share_script(self.app, [behaviour])
        status, _, body = self.call("/post/x", "POST", b"drop")
        return status, body

    # Guards against a refusal, or an answer, of another request that is taken for the one to this request.
    def test_answers_without_the_id_of_the_request_are_skipped(self):
        for behaviour in ("stray_refusal", "stray_misdirected", "stray_answer", "two_ids"):
            with self.subTest(behaviour):
                self.assertEqual(self.post(behaviour), (200, WHOLE))
                self.assertEqual(len(self.requests(self.app)), 1)

    # Guards against a promise that a request did not run where its endpoint may have run it.
    def test_a_doubtful_refusal_promises_nothing(self):
        for behaviour in ("refused_and_answered", "refused_success", "refused_error", "bare_503", "bare_429",
                          "bare_408"):
            with self.subTest(behaviour):
                self.assertNotIn(self.post(behaviour)[0], (*PROMISES, 200))
                self.assertEqual(len(self.requests(self.app)), 1)

    def test_a_true_refusal_is_retried_and_promised(self):
        self.assertEqual(self.post("refuse")[0], 503)
        self.assertEqual(len(self.requests(self.app)), 2)

    # Guards against a request without an id that gets the answer of an earlier one on a kept connection.
    def test_requests_without_an_id_use_no_kept_connection(self):
        self.store.remove("servers", "app-1")
        self.wait_for(lambda: b"event=endpoint_removed endpoint=app-1" in self.gateway.log_path.read_bytes(),
                      "one replica is left")
        self.call("/get/x")
        request = "GET /get/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\n\r\n"
        self.assertIn(WHOLE, self.raw(request.encode(), wait=1))
        ports = [each["port"] for each in self.app[0].requests]
        self.assertEqual(len(set(ports)), 2)


if __name__ == "__main__":
    unittest.main()
