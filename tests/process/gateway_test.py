"""The gateway between callers, replicas and the store of the users' platform."""

import http.client
import pathlib
import signal
import socket
import threading
import time
import unittest

from gateway_fixture import EVENTS, KEY, WHOLE, GatewayCase, make_config, route


class GatewayTest(GatewayCase):
    # Passing on.

    def test_request_and_answer_pass_unchanged(self):
        status, fields, body = self.call("/post/a?b=c", "POST", b"\0\1payload", **{"X-Kept": "1", "Tenant": "other"})
        self.assertEqual((status, body), (200, WHOLE))
        self.assertIn(fields["Response-Signature"], ("app-0", "app-1"))
        (seen,) = self.requests(self.app)
        self.assertEqual((seen["method"], seen["target"], seen["body"]), ("POST", "/post/a?b=c", b"\0\1payload"))
        self.assertEqual(seen["fields"]["x-kept"], "1")
        self.assertEqual(seen["fields"]["tenant"], "w1")
        self.assertEqual(seen["fields"]["expected-instance"], fields["Response-Signature"])
        self.assertLessEqual(int(seen["fields"]["deadline-milliseconds"]), 3000)
        self.assertNotIn("authorization", seen["fields"])

    def test_chunked_body_and_unframed_answer_pass(self):
        for each in self.app:
            each.script = ["unframed"]
        connection = http.client.HTTPConnection(self.gateway.host, self.gateway.port, timeout=10)
        connection.request("POST", "/get/x", iter([b"one", b"two"]),
                           {"Host": "h.example", "Attempt-Id": "c1", "Authorization": f"Bearer {KEY}"},
                           encode_chunked=True)
        self.assertEqual(connection.getresponse().read(), b"unframed")
        self.assertEqual(self.requests(self.app)[0]["body"], b"onetwo")

    def test_unknown_routes_and_keys_are_refused(self):
        self.assertEqual(self.call("/none/x")[0], 404)
        self.assertEqual(self.call("/get/x", key="other")[0], 401)
        self.assertEqual(self.call("/get/x", key=None)[0], 401)
        self.assertEqual(self.call("/open/x", key=None)[0], 200)
        self.assertEqual(len(self.requests(self.app)), 1)

    # Failures of replicas.

    def test_non_idempotent_call_is_never_sent_twice(self):
        for behaviour in ("reset", "truncate", "unsigned", "error"):
            self.share_script(self.app, [behaviour])
            status, _, _ = self.call("/post/x", "POST", b"drop")
            self.assertIn(status, (500, 502), behaviour)
            self.assertEqual(len(self.requests(self.app)), 1, behaviour)

    def test_refused_call_goes_to_another_replica_and_is_refused_truly(self):
        self.app[0].script = self.app[1].script = ["refuse"]
        status, fields, _ = self.call("/post/x", "POST", b"drop")
        self.assertEqual(status, 503)
        self.assertGreaterEqual(float(fields["Retry-After"]), 0)
        self.assertEqual([r["behaviour"] for r in self.requests(self.app)], ["refuse"] * 2)

    def test_idempotent_call_is_repeated(self):
        for behaviour in ("reset", "truncate", "unsigned", "error", "refuse"):
            # Whichever replica comes first fails; the other one answers.
            self.share_script(self.app, [behaviour, "ok"])
            self.assertEqual(self.call("/get/x")[::2], (200, WHOLE), behaviour)
            self.assertEqual(len(self.requests(self.app)), 2, behaviour)

    def test_answer_to_another_request_is_skipped(self):
        for each in self.app:
            each.script = ["foreign"]
        self.assertEqual(self.call("/post/x", "POST", b"drop")[::2], (200, WHOLE))

    def test_idle_connections_give_way_to_new_ones(self):
        # Two connections for this node and one that may join: a share of one.
        config = make_config(4)
        config["services"][0]["connectionLimit"] = 2
        self.store.put("op", "config", config)
        self.wait_for(lambda: b"event=config_in_force version=4" in self.gateway.log_path.read_bytes(), "version 4")
        for _ in range(6):
            self.assertEqual(self.call("/get/x")[0], 200)
        self.assertEqual(self.call("/post/x", "POST", b"drop")[0], 200)
        self.assertEqual(self.call("/get/x")[0], 200)

    def test_timeout_of_the_route_is_answered_in_time(self):
        for each in self.app:
            each.script = ["mute"]
        begin = time.monotonic()
        self.assertEqual(self.call("/short/x", "POST", b"drop")[0], 504)
        self.assertGreater(time.monotonic() - begin, 0.35)
        self.assertEqual(len(self.requests(self.app)), 1)

    # Servers that send without end.

    SOCKET_BYTES = 16 << 20  # that the kernel may hold between the two

    def test_bytes_without_end_go_on_elsewhere(self):
        for behaviour in ("endless_head", "endless_foreign"):
            self.share_script(self.app, [behaviour, "ok"])
            begin = time.monotonic()
            self.assertEqual(self.call("/get/x")[::2], (200, WHOLE), behaviour)
            self.assertLess(time.monotonic() - begin, 1.5, behaviour)
            self.assertEqual(len(self.requests(self.app)), 2, behaviour)
        self.assertLess(sum(each.sent_without_end for each in self.app), 2 * self.SOCKET_BYTES)

    def test_an_event_without_end_is_resumed_elsewhere(self):
        for behaviour, seconds in (("endless_event", 1.5), ("dripped_event", 4)):
            self.share_script(self.llm, [behaviour, "events"])
            begin = time.monotonic()
            status, _, body = self.stream()
            self.assertEqual((status, body), (200, EVENTS), behaviour)
            self.assertLess(time.monotonic() - begin, seconds, behaviour)
        self.assertLess(sum(each.sent_without_end for each in self.llm), self.SOCKET_BYTES)

    def test_an_answer_without_end_is_cut_off(self):
        self.share_script(self.app, ["endless_body"])
        begin = time.monotonic()
        self.assertEqual(self.call("/get/x", deadline_ms=20000)[0], 0)
        self.assertLess(time.monotonic() - begin, 3.5)
        self.assertLess(sum(each.sent_without_end for each in self.app), 3 * self.SOCKET_BYTES)

    def test_many_senders_without_end_leave_the_others_alone(self):
        for each in self.llm:
            each.script = ["endless_event"]
        threads = [threading.Thread(target=self.stream) for _ in range(300)]
        for each in threads:
            each.start()
        slowest = 0
        while any(each.is_alive() for each in threads):
            begin = time.monotonic()
            self.assertEqual(self.call("/get/x")[0], 200)
            slowest = max(slowest, time.monotonic() - begin)
        status = pathlib.Path(f"/proc/{self.gateway.process.pid}/status").read_text()
        peak = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        print(f"300 streams without end: peak {int(peak.split()[1]) / 1024:.0f} MB, slowest other {slowest:.2f} s")
        # 64 KiB of an event and as much in buffers a stream, besides the process itself.
        self.assertLess(int(peak.split()[1]) * 1024, (300 * 128 << 10) + (48 << 20))

    # Streams.

    def test_stream_passes_whole(self):
        status, fields, body = self.stream()
        self.assertEqual((status, body), (200, EVENTS))
        self.assertIn(fields["Response-Signature"], ("llm-0", "llm-1"))

    def test_broken_stream_goes_on_after_the_last_whole_event(self):
        self.share_script(self.llm, ["cut", "events"])
        status, fields, body = self.stream()
        self.assertEqual((status, body), (200, EVENTS))
        first = next(each for each in self.llm if each.requests[0]["behaviour"] == "cut")
        (resumed,) = (each for each in self.llm if each is not first)
        self.assertEqual(resumed.requests[0]["fields"]["last-event-id"], "2")
        self.assertEqual(fields["Response-Signature"], first.identity)

    def test_stream_that_breaks_at_all_replicas_looks_incomplete(self):
        self.share_script(self.llm, ["cut"])
        self.assertEqual(self.stream()[0], 0)
        self.assertEqual(len(self.requests(self.llm)), 2)

    def test_caller_that_leaves_ends_the_run(self):
        for each in self.llm:
            each.event_pause = 0.5
        with socket.create_connection((self.gateway.host, self.gateway.port)) as peer:
            peer.sendall(b"POST /stream/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: gone\r\n"
                         b"Token-Counts: 5000,300\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n")
            peer.recv(10)
        running = [each for each in self.llm if each.requests]
        self.assertTrue(running[0].closed_by_caller.wait(3))

    # Guards against requests that are sent after their callers left, by a process that was suspended meanwhile.
    def test_callers_that_left_while_the_process_was_suspended_cause_no_runs(self):
        self.share_script(self.app, ["slow:0.2"])
        calls = [threading.Thread(target=self.call, args=("/get/x",)) for _ in range(10)]
        for each in calls:
            each.start()
        for each in calls:
            each.join()  # leaves open connections, on which a request is sent at once
        self.share_script(self.app, ["ok"])
        self.gateway.process.send_signal(signal.SIGSTOP)
        self.addCleanup(self.gateway.process.send_signal, signal.SIGCONT)
        for number in range(20):
            with socket.create_connection((self.gateway.host, self.gateway.port)) as peer:
                peer.sendall(f"GET /get/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: left{number}\r\n"
                             f"Authorization: Bearer {KEY}\r\n\r\n".encode())
        self.gateway.process.send_signal(signal.SIGCONT)
        self.assertEqual(self.call("/get/x")[0], 200)
        self.assertEqual(len(self.requests(self.app)), 1)
        self.assertNotIn(b"event=attempt_sent id=left", self.gateway.log_path.read_bytes())

    # Memory at engines that help with a long prompt.

    def order_names(self, replica):
        return [order["operation"] for order in replica.orders]

    def test_reserved_memory_is_released_after_the_answer(self):
        status, _, body = self.call("/stream/x", "POST", b"prompt", deadline_ms=20000,
                                    **{"Token-Counts": "300000,700"})
        self.assertEqual((status, body), (200, EVENTS))
        (helper,) = (each for each in self.llm if each.orders)
        self.assertEqual(helper.requests, [])
        self.wait_for(lambda: "release" in self.order_names(helper), "the release")
        self.assertEqual({order["id"] for order in helper.orders}, {helper.orders[0]["id"]})

    def test_memory_is_not_kept_for_an_engine_that_went_dark(self):
        self.share_script(self.llm, ["mute"])
        for each in self.llm:
            each.reports, each.reservation_state = False, "held"
        with socket.create_connection((self.gateway.host, self.gateway.port)) as peer:
            peer.sendall(b"POST /stream/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: dark\r\n"
                         b"Token-Counts: 300000,700\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n")
            self.wait_for(lambda: self.requests(self.llm), "the request is sent")
            (helper,) = (each for each in self.llm if each.orders)
            helper.reports = True
            self.wait_for(lambda: "release" in self.order_names(helper), "the release")
            self.assertNotIn(b"event=attempt_ended id=dark", self.gateway.log_path.read_bytes())

    # Bad input.

    def test_malformed_requests_get_a_clear_answer(self):
        head = b"POST /post/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\n"
        cases = {
            b"two lengths": (head + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", b"400"),
            b"length and chunks": (head + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", b"400"),
            b"null byte": (head + b"X: a\0b\r\n\r\n", b"400"),
            b"no request": (b"nonsense\r\n\r\n", b"400"),
            b"large head": (head + b"X: " + b"a" * 9000 + b"\r\n\r\n", b"431"),
            b"large body": (head + b"Content-Length: 200000\r\n\r\n", b"413"),
            b"slow head": (head, b"408"),
        }
        for name, (text, status) in cases.items():
            self.assertEqual(self.raw(text).split(b" ")[1:2], [status], name)
        self.assertEqual(self.requests(self.app), [])
        self.assertEqual(self.call("/get/x")[0], 200)

    # Configuration and endpoints.

    def test_newer_configuration_comes_into_force_and_older_never(self):
        self.store.put("op", "config", make_config(9, [route("/new/", "idempotent", "app")], ["key-2"]))
        self.wait_for(lambda: self.call("/new/x", key="key-2")[0] == 200, "version 9")
        self.assertEqual(self.call("/get/x", key="key-2")[0], 404)
        self.assertEqual(self.call("/new/x")[0], 401)
        self.store.put("op", "config", make_config(5))
        time.sleep(1)
        self.assertEqual(self.call("/new/x", key="key-2")[0], 200)
        self.store.forget_history()
        self.store.put("op", "config", make_config(11))
        self.wait_for(lambda: self.call("/get/x")[0] == 200, "version 11 after lost history")

    def test_leaving_replicas_and_zones_get_no_requests(self):
        self.store.put("servers", "app-0", self.app[0].entry("app", "draining"))
        self.store.put("servers", "junk", {"service": "app", "address": 5})
        self.store.put("servers", "bytes", b"\xff\xfe")
        self.wait_for(lambda: b"endpoint=bytes" in self.gateway.log_path.read_bytes(), "the rows are read")
        for _ in range(10):
            self.assertEqual(self.call("/get/x")[0], 200)
        self.assertEqual(len(self.app[0].requests), 0)
        self.store.put("op", "evacuate/za", {})
        self.wait_for(lambda: self.call("/get/x")[0] == 503, "the zone is out")
        count = len(self.requests(self.app))
        self.assertEqual(self.call("/get/x")[0], 503)
        self.assertEqual(len(self.requests(self.app)), count)
        self.store.remove("op", "evacuate/za")
        self.wait_for(lambda: self.call("/get/x")[0] == 200, "the zone is back")

    FOLLOWS_AFTER = 1.5  # seconds from ready until a gateway waits for changes

    # Guards against a leaving that nobody reports: all who follow the endpoints wait for answers of a store that
    # has forgotten them.
    def test_forgotten_polls_do_not_hide_a_leaving_replica(self):
        time.sleep(self.FOLLOWS_AFTER)
        self.store.forget_polls()
        self.store.put("servers", "app-0", self.app[0].entry("app", "draining"))
        time.sleep(2)  # the drain bound
        self.app[0].requests = []
        for _ in range(20):
            self.assertEqual(self.call("/get/x")[0], 200)
        self.assertEqual(len(self.app[0].requests), 0)

    # Guards against keys and zones that stay in use since the operator's change waits in a forgotten call.
    def test_forgotten_polls_do_not_hide_a_configuration(self):
        time.sleep(self.FOLLOWS_AFTER)
        self.store.forget_polls()
        self.store.put("op", "config", make_config(9, keys=["key-2"]))
        time.sleep(2)  # the bound on configurations
        self.assertEqual(self.call("/get/x")[0], 401)
        self.assertEqual(self.call("/get/x", key="key-2")[0], 200)

    # Guards against a process that wakes up and sends by what it knew before it was stopped.
    def test_a_process_that_wakes_up_hears_of_leaving_replicas_first(self):
        time.sleep(self.FOLLOWS_AFTER)
        self.gateway.process.send_signal(signal.SIGSTOP)
        self.addCleanup(self.gateway.process.send_signal, signal.SIGCONT)
        self.store.put("servers", "app-0", self.app[0].entry("app", "draining"))
        answers = []
        calls = [threading.Thread(target=lambda: answers.append(self.call("/get/x", deadline_ms=8000)[0]))
                 for _ in range(20)]
        for each in calls:
            each.start()
        time.sleep(3)
        self.gateway.process.send_signal(signal.SIGCONT)
        for each in calls:
            each.join()
        self.assertEqual(answers, [200] * 20)
        self.assertEqual(len(self.app[0].requests), 0)

    # Guards against a prompt that is read by a helper which left while its memory was reserved.
    def test_a_helper_that_leaves_before_the_send_gets_no_work(self):
        time.sleep(self.FOLLOWS_AFTER)
        for each in self.llm:
            each.order_pause = 0.3
        result = []
        sending = threading.Thread(target=lambda: result.append(self.call(
            "/stream/x", "POST", b"prompt", deadline_ms=20000, **{"Token-Counts": "300000,700"})))
        sending.start()
        self.wait_for(lambda: any(each.orders for each in self.llm), "memory is reserved")
        (helper,) = (each for each in self.llm if each.orders)
        self.store.put("servers", helper.identity, helper.entry("llm", "draining"))
        sending.join()
        self.assertEqual([request for request in self.requests(self.llm) if "helpers" in request["fields"]], [])
        self.wait_for(lambda: "release" in self.order_names(helper), "the release")

    # Keys that may have been taken away.

    FAIL_CLOSED = "revoke_fail_closed = yes\nrevoke_ms = 1500\n"

    def test_keys_are_refused_once_they_cannot_be_confirmed(self):
        closed = self.start_gateway("closed", bounds=self.FAIL_CLOSED)
        time.sleep(3)
        self.assertEqual(self.call("/get/x", gateway=closed)[0], 200, "confirmed by the store")
        self.store.mode = "silent"
        lost = time.monotonic()
        self.wait_for(lambda: self.call("/get/x", gateway=closed)[0] == 503, "the key is refused", 5)
        self.assertLess(time.monotonic() - lost, 2.5)
        self.assertFalse(closed.is_ready())
        status, fields, _ = self.call("/get/x", gateway=closed)
        self.assertEqual(status, 503)
        self.assertGreater(float(fields["Retry-After"]), 0)
        self.assertEqual(self.call("/open/x", key=None, gateway=closed)[0], 200, "needs no key")
        self.assertEqual(self.call("/get/x")[0], 200, "another deployment fails open")
        self.store.mode = "ok"
        self.wait_for(lambda: self.call("/get/x", gateway=closed)[0] == 200, "the key is known again", 8)
        self.wait_for(closed.is_ready, "ready again")

    def test_a_node_that_hears_of_the_store_from_another_keeps_serving(self):
        first = self.start_gateway("first", bounds=self.FAIL_CLOSED)
        # Its store does not exist; it learns the rows and their age from the first one.
        second = self.start_gateway("second", bounds=self.FAIL_CLOSED, host="127.0.0.2", store_port=1,
                                    seeds=[f"127.0.0.1:{first.internal_port}"], internal_port=first.internal_port)
        time.sleep(3)
        for _ in range(10):
            self.assertEqual(self.call("/get/x", gateway=second)[0], 200)
            time.sleep(0.1)
        self.store.put("op", "config", make_config(9, keys=["key-2"]))
        self.wait_for(lambda: self.call("/get/x", gateway=second)[0] == 401, "the key is gone", 1.5)
        first.process.send_signal(signal.SIGSTOP)
        self.addCleanup(first.process.send_signal, signal.SIGCONT)
        self.wait_for(lambda: self.call("/get/x", key="key-2", gateway=second)[0] == 503, "nobody confirms", 5)
        first.process.send_signal(signal.SIGCONT)
        self.wait_for(lambda: self.call("/get/x", key="key-2", gateway=second)[0] == 200, "confirmed again", 5)

    def test_requests_are_served_while_the_store_is_away(self):
        self.store.mode = "busy"
        self.assertEqual(self.call("/get/x")[0], 200)
        self.assertTrue(self.gateway.is_ready())
        self.wait_for(lambda: b"event=store_lost" in self.gateway.log_path.read_bytes(), "the loss is logged", 30)
        self.store.mode = "ok"
        self.wait_for(lambda: b"event=store_regained" in self.gateway.log_path.read_bytes(), "the return is logged")

    # Stop.

    def test_stop_ends_streams_and_reports_not_ready(self):
        for each in self.llm:
            each.event_pause = 0.3
        with socket.create_connection((self.gateway.host, self.gateway.port), timeout=20) as peer:
            peer.sendall(b"POST /stream/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: last\r\n"
                         b"Token-Counts: 5000,300\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n")
            answer = peer.recv(10)
            self.gateway.process.send_signal(signal.SIGTERM)
            self.gateway.process.send_signal(signal.SIGTERM)
            self.wait_for(lambda: not self.gateway.is_ready(), "not ready")
            self.assertEqual(self.call("/get/x")[0], 200)
            while piece := peer.recv(65536):
                answer += piece
        self.assertIn(b"token 6", answer)
        self.assertTrue(answer.endswith(b"0\r\n\r\n"))
        self.assertEqual(self.gateway.process.wait(20), 0)


if __name__ == "__main__":
    unittest.main()
