"""Replicas that are silent for a while in the middle of their work."""

import signal
import threading
import time
import unittest

from gateway_fixture import EVENTS, WHOLE, GatewayCase, make_config, route


class SilenceTest(GatewayCase):
    def setUp(self):
        super().setUp()
        self.store.put("op", "config", make_config(4, [
            route("/get/", "idempotent", "app", timeoutMs=8000),
            route("/stream/", "streaming", "llm", resumable=True, targetGapMs=250, timeoutMs=12000),
            route("/once/", "streaming", "llm", targetGapMs=250, timeoutMs=12000),
        ]))
        self.wait_for(lambda: b"event=config_in_force version=4" in self.gateway.log_path.read_bytes(), "version 4")

    def leave_one_engine(self):
        self.store.remove("servers", "llm-1")
        self.wait_for(lambda: b"event=endpoint_removed endpoint=llm-1" in self.gateway.log_path.read_bytes(),
                      "one engine is left")

    def ask(self, path):
        return self.call(path, "POST", b"prompt", deadline_ms=12000, **{"Token-Counts": "5000,300"})

    # Guards against streams that are cut while their only engine reads a preempted prompt again.
    def test_a_silent_stream_goes_on_where_no_other_engine_could_resume_it(self):
        self.leave_one_engine()
        self.llm[0].script = ["pause:4"]
        for path in ("/stream/x", "/once/x"):
            status, _, body = self.ask(path)
            self.assertEqual((status, body), (200, EVENTS), path)
        self.assertEqual(len(self.llm[0].requests), 2)

    # Guards against a second run, or a 502, of a stream that may not be repeated.
    def test_a_stream_that_may_not_be_repeated_waits_for_its_first_event(self):
        for each in self.llm:
            each.script = ["late:3"]
        status, _, body = self.ask("/once/x")
        self.assertEqual((status, body), (200, EVENTS))
        self.assertEqual(len(self.requests(self.llm)), 1)

    # Guards against a resumable stream that is abandoned before its first event with no other engine left.
    def test_a_late_first_event_is_awaited_where_no_other_engine_is_left(self):
        self.leave_one_engine()
        self.llm[0].script = ["late:3"]
        status, _, body = self.ask("/stream/x")
        self.assertEqual((status, body), (200, EVENTS))

    # Guards against callers that wait in vain for an engine that went dark, instead of retrying elsewhere.
    def test_a_caller_is_told_soon_that_the_last_attempt_got_no_answer(self):
        third = self.make_replica("llm-2")
        third.script = ["events"]
        self.store.put("servers", third.identity, third.entry("llm"))
        self.wait_for(lambda: b"endpoint=llm-2" in self.gateway.log_path.read_bytes(), "three engines")
        every = self.llm + [third]
        self.share_script(every, ["mute"])
        begin = time.monotonic()
        self.assertEqual(self.ask("/stream/x")[0], 502)
        self.assertLess(time.monotonic() - begin, 6)
        self.assertEqual(len(self.requests(every)), 2)

    def test_a_silent_stream_is_resumed_at_another_engine(self):
        self.share_script(self.llm, ["pause:9", "events"])
        begin = time.monotonic()
        status, _, body = self.ask("/stream/x")
        self.assertEqual((status, body), (200, EVENTS))
        self.assertLess(time.monotonic() - begin, 5)
        self.assertEqual(len(self.requests(self.llm)), 2)

    # Guards against streams that are given up for an engine that then refuses, fails or stays silent as well.
    def test_a_silent_stream_is_kept_until_another_engine_continues_it(self):
        for other in ("refuse", "reset", "error", "cut_head", "mute"):
            with self.subTest(other):
                self.share_script(self.llm, ["pause:4", other])
                self.assertEqual(self.ask("/stream/x")[::2], (200, EVENTS))
                self.assertEqual(len(self.requests(self.llm)), 2)

    # Guards against a silent stream that is suspended where its next attempt would not be allowed.
    def test_a_silent_stream_goes_on_after_its_key_was_removed(self):
        strict = self.start_gateway("strict", bounds="revoke_fail_closed = yes\nrevoke_ms = 1500\n")
        self.share_script(self.llm, ["pause:6", "events"])
        others_only = make_config(5, [route("/stream/", "streaming", "llm", resumable=True, targetGapMs=250,
                                            timeoutMs=12000)], keys=("other",))
        timer = threading.Timer(1, self.store.put, ("op", "config", others_only))
        timer.start()
        answer = self.call("/stream/x", "POST", b"prompt", gateway=strict, deadline_ms=12000,
                           **{"Token-Counts": "5000,300"})
        timer.join()
        self.assertEqual(answer[::2], (200, EVENTS))

    # Guards against many streams that fall silent at once and exceed the retry budget together.
    def test_streams_beyond_the_retry_budget_go_on(self):
        tight = self.start_gateway("tight", bounds="retry_window_s = 2\nretry_slack = 2\n")
        self.share_script(self.llm, ["pause:6"] * 12 + ["refuse"])
        answers = []
        calls = [threading.Thread(target=lambda: answers.append(
            self.call("/stream/x", "POST", b"prompt", gateway=tight, deadline_ms=12000, **{"Token-Counts": "5000,300"})))
            for _ in range(12)]
        for each in calls:
            each.start()
        self.wait_for(lambda: len(self.requests(self.llm)) == 12, "all are passed on")
        time.sleep(2)
        tight.process.send_signal(signal.SIGSTOP)
        time.sleep(0.8)
        tight.process.send_signal(signal.SIGCONT)
        for each in calls:
            each.join()
        self.assertEqual([answer[::2] for answer in answers], [(200, EVENTS)] * 12)

    # Guards against the second endpoint of a broken stream that is given up for a third one, which then refuses.
    def test_the_only_attempt_left_of_a_broken_stream_is_kept(self):
        third = self.make_replica("llm-2")
        self.store.put("servers", third.identity, third.entry("llm"))
        self.store.put("op", "config", make_config(5, [
            route("/stream/", "streaming", "llm", resumable=True, targetGapMs=250, timeoutMs=12000, maxAttempts=3)]))
        self.wait_for(lambda: b"event=config_in_force version=5" in self.gateway.log_path.read_bytes(), "version 5")
        self.wait_for(lambda: b"endpoint=llm-2" in self.gateway.log_path.read_bytes(), "three engines")
        self.share_script(self.llm + [third], ["cut", "late:4", "refuse"])
        self.assertEqual(self.ask("/stream/x")[::2], (200, EVENTS))

    # Guards against a late first event that is given up for an engine that then refuses.
    def test_a_late_first_event_is_kept_until_another_engine_answers(self):
        self.share_script(self.llm, ["late:4", "refuse"])
        self.assertEqual(self.ask("/stream/x")[::2], (200, EVENTS))

    # Guards against a late answer that gets the head of another one, which brought no event.
    def test_a_late_first_event_keeps_the_head_of_its_answer(self):
        for other in ("unframed_none", "error"):
            with self.subTest(other):
                self.share_script(self.llm, ["late_event:4", other])
                status, fields, body = self.ask("/stream/x")
                self.assertEqual((status, body), (200, EVENTS))
                late = [each for each in self.llm if each.requests[0]["behaviour"].startswith("late_event")]
                self.assertEqual(fields["Response-Signature"], late[0].identity)

    # Guards against streams that are broken off because no other engine is free at that very moment.
    def test_a_broken_stream_waits_for_an_engine_that_can_resume_it(self):
        self.leave_one_engine()
        self.llm[0].script = ["cut"]
        threading.Timer(0.5, self.store.put, ("servers", "llm-1", self.llm[1].entry("llm"))).start()
        status, _, body = self.ask("/stream/x")
        self.assertEqual((status, body), (200, EVENTS))

    # Guards against answers of idempotent calls that are cut, while they arrive, at half of their time.
    def test_an_answer_that_is_still_arriving_is_not_cut(self):
        self.share_script(self.app, ["slow:2.4"])
        self.assertEqual(self.call("/get/x", deadline_ms=4000)[::2], (200, WHOLE))
        self.assertEqual(len(self.requests(self.app)), 1)

    # Guards against calls that end with a time-out although no other replica could answer them.
    def test_a_late_answer_is_awaited_where_no_other_replica_is_left(self):
        self.store.remove("servers", "app-1")
        self.wait_for(lambda: b"event=endpoint_removed endpoint=app-1" in self.gateway.log_path.read_bytes(),
                      "one replica is left")
        self.app[0].script = ["late:2.5"]
        status, _, body = self.call("/get/x", deadline_ms=4000)
        self.assertEqual((status, body), (200, EVENTS))


if __name__ == "__main__":
    unittest.main()
