"""Duties that one of several gateways has for all: one holder, and what it reports."""

import signal
import time
import unittest

from gateway_fixture import GatewayCase, free_ports, make_config
from duty_api import DutyApi  # found by the path that gateway_fixture sets

LEASE_S = 1.0
WINDOW_S = 2


class DutiesTest(GatewayCase):
    def setUp(self):
        super().setUp()
        self.api = DutyApi()
        self.addCleanup(self.api.close)
        self.internal = free_ports(1)[0]
        self.gateways = {}
        for name, host in (("d1", "127.0.0.2"), ("d2", "127.0.0.3"), ("d3", "127.0.0.4")):
            self.start_candidate(name, host)
        self.wait_for(self.reports, "the first report", 20)

    def start_candidate(self, name, host):
        self.gateways[name] = self.start_gateway(
            name, host=host, internal_port=self.internal, seeds=[f"127.0.0.{n}:{self.internal}" for n in (2, 3, 4)],
            bounds=f"[duties]\naddress = 127.0.0.1:{self.api.port}\nduties = usage_reporting, scaling\n"
                   f"calls_per_second = 50\nlease_ms = {LEASE_S * 1000:.0f}\nusage_window_s = {WINDOW_S}\n"
                   "usage_late_s = 8\n")

    def tearDown(self):
        """Whatever happened, nothing that the platform could not undo was done."""
        highest, last_at, previous, counts = 0, {}, None, {}
        holders = {}
        for at, path, holder, fence, body in self.api.calls:
            self.assertGreaterEqual(fence, highest)
            highest = fence
            self.assertEqual(holders.setdefault(fence, holder), holder)
            if previous not in (None, holder) and holder in last_at:
                self.assertGreater(at - last_at[holder], LEASE_S)
            previous, last_at[holder] = holder, at
            if path == "/usage":
                self.assertEqual(counts.setdefault(body["window"], body["counts"]), body["counts"])

    def reports(self):
        return [call for call in self.api.calls if call[1] == "/usage"]

    def holder(self):
        return self.api.calls[-1][2]

    # Guards against requests that are counted at one node and reported by none, or twice.
    def test_requests_at_all_nodes_are_reported_once(self):
        begin = int(time.time() / WINDOW_S)
        for name, number in (("d1", 3), ("d2", 5), ("d3", 7)):
            for _ in range(number):
                self.assertEqual(self.call("/get/x", gateway=self.gateways[name])[0], 200)
        end = int(time.time() / WINDOW_S)
        self.wait_for(lambda: self.reports()[-1][4]["window"] > end, "the windows are reported", 15)
        counts = {body["window"]: body["counts"].get("w1", 0) for _, _, _, _, body in self.reports()}
        self.assertEqual(sum(counts.get(window, 0) for window in range(begin, end + 1)), 15)

    # Guards against two holders at once, and against a later holder that reports other counts.
    def test_a_killed_and_a_frozen_holder_are_replaced(self):
        first = self.holder()
        self.gateways[first].process.kill()
        self.wait_for(lambda: self.holder() != first, "another holder", 15)
        second = self.holder()
        process = self.gateways[second].process
        process.send_signal(signal.SIGSTOP)
        self.addCleanup(process.send_signal, signal.SIGCONT)
        self.wait_for(lambda: self.holder() not in (first, second), "a third holder", 15)
        process.send_signal(signal.SIGCONT)
        before = len(self.reports())
        self.wait_for(lambda: len(self.reports()) >= before + 3, "the third holder goes on", 15)
        self.assertNotIn(self.holder(), (first, second))

    # Guards against duties that are given up after an outage of the API or of the store.
    def test_reports_go_on_after_outages(self):
        self.api.status = 0
        time.sleep(2 * WINDOW_S)
        self.api.status = 429
        time.sleep(WINDOW_S)
        self.api.status = 200
        before = len(self.reports())
        self.wait_for(lambda: len(self.reports()) >= before + 2, "reports after the API failed", 15)
        self.store.mode = "busy"
        time.sleep(2 * LEASE_S)
        calls = len(self.api.calls)
        time.sleep(2 * LEASE_S)
        self.assertEqual(len(self.api.calls), calls)
        self.store.mode = "ok"
        self.wait_for(lambda: len(self.api.calls) > calls, "reports after the store failed", 15)

    # Guards against replicas that callers wait for.
    def test_replicas_are_ordered_for_the_load(self):
        config = make_config(4)
        config["services"][1]["scaling"] = {"minimum": 1, "maximum": 9, "bootS": 1.0}
        self.store.put("op", "config", config)
        self.wait_for(lambda: "version=4" in self.gateways[self.holder()].log_path.read_text(), "version 4")

        def ordered():
            gateway = self.gateways[self.holder()]
            self.call("/stream/x", "POST", b"prompt", gateway=gateway, **{"Token-Counts": "50000,300"})
            return any(path == "/scale" for _, path, _, _, _ in self.api.calls)

        self.wait_for(ordered, "an order", 20)
        order = next(body for _, path, _, _, body in self.api.calls if path == "/scale")
        self.assertEqual(order["service"], "llm")
        self.assertTrue(2 < order["desiredCount"] <= 9)


if __name__ == "__main__":
    unittest.main()
