"""Gateways whose store comes back from an older copy: versions are given out again in a new era."""

import socket
import time
import unittest

from gateway_fixture import KEY, GatewayCase, free_ports, make_config

SECOND_KEY = "key-2"
HELD_SECONDS = 3  # in which a state that must not return is looked for
BOUND_SECONDS = 4


class StoreEraTest(GatewayCase):
    def filler(self, count):
        return [("other", f"row-{number}", {"number": number}) for number in range(count)]

    def forget_requests(self):
        for each in self.app:
            each.requests.clear()

    def wait_for_keys(self, known, unknown, gateway=None):
        self.wait_for(lambda: self.call("/get/x", key=known, gateway=gateway)[0] == 200, "the new key", BOUND_SECONDS)
        self.wait_for(lambda: self.call("/get/x", key=unknown, gateway=gateway)[0] == 401, "no old key", BOUND_SECONDS)

    def lose_configurations(self, versions):
        """A copy of before, and versions of the configuration that this gateway knows since."""
        copy = self.store.copy()
        for version in versions:
            self.store.put("op", "config", make_config(version, keys=(KEY, SECOND_KEY)))
        self.wait_for(lambda: self.call("/get/x", key=SECOND_KEY)[0] == 200, "the configuration before", BOUND_SECONDS)
        time.sleep(0.5)  # the next call waits
        return copy

    def publish_after_restore(self, filler=(), **options):
        copy = self.lose_configurations((5, 6))
        self.store.restore(copy, [("op", "config", make_config(7, keys=(SECOND_KEY,))), *filler], **options)
        self.wait_for_keys(SECOND_KEY, KEY)

    # Guards against a gateway that takes a change after the restore for one that it has: its version is lower.
    def test_a_configuration_with_versions_behind(self):
        self.publish_after_restore()

    # Guards against a feed that goes on as if nothing had happened: the versions have reached those of before.
    def test_a_configuration_with_versions_caught_up(self):
        self.publish_after_restore(self.filler(5))

    # Guards against a call that waits for versions of before, which the store gives out only much later.
    def test_a_configuration_while_the_call_of_before_waits(self):
        self.publish_after_restore(breaks_polls=False)

    # Guards against later changes that only the call of before would have shown.
    def test_each_change_after_the_restore_is_known(self):
        self.publish_after_restore(breaks_polls=False)
        self.store.put("op", "config", make_config(8, keys=(KEY,)))
        self.wait_for_keys(KEY, SECOND_KEY)

    # Guards against a call of before that fails after it was replaced and counts as a loss of the store.
    def test_the_call_of_before_fails_after_it_was_replaced(self):
        copy = self.lose_configurations((5, 6))
        polls = self.store.polls()
        self.store.restore(copy, breaks_polls=False)
        for table in (b"operator", b"endpoints"):
            line = b"event=store_era_changed table=" + table
            self.wait_for(lambda line=line: line in self.gateway.log_path.read_bytes(), "era 1", BOUND_SECONDS)
        self.store.break_polls(polls)
        time.sleep(0.5)
        self.assertNotIn(b"event=store_lost", self.gateway.log_path.read_bytes())

    # Guards against an age that is taken after the rows are confirmed: then it is always zero.
    def test_the_age_before_the_rows_is_logged(self):
        time.sleep(1)
        self.store.put("op", "config", make_config(5, keys=(KEY,)))
        lines = lambda: [line for line in self.gateway.log_path.read_text().splitlines() if "event=rows_read" in line]
        count = len(lines())
        self.wait_for(lambda: len(lines()) > count or "table=operator rows=1" in lines()[-1], "rows", BOUND_SECONDS)
        age = int(lines()[-1].split("known_age_ms=")[1].split()[0])
        self.assertGreaterEqual(age, 100)

    # Guards against a zone that gets requests again because the store lost the order for some seconds.
    def test_a_lost_evacuation_stays_in_force_until_it_is_written_again(self):
        copy = self.store.copy()
        self.store.put("op", "evacuate/za", {})
        self.wait_for(lambda: self.call("/get/x")[0] != 200, "zone out", BOUND_SECONDS)
        self.store.restore(copy, self.filler(5))
        self.store.forget_history()
        self.forget_requests()
        end = time.monotonic() + HELD_SECONDS
        while time.monotonic() < end:
            self.call("/get/x", deadline_ms=300)
        self.assertEqual(self.requests(self.app), [])
        self.store.put("op", "evacuate/za", {})
        time.sleep(1)
        self.store.remove("op", "evacuate/za")
        self.wait_for(lambda: self.call("/get/x")[0] == 200, "zone in", BOUND_SECONDS)

    # Guards against a leaving replica whose older row came back, and against rows that are taken for known ones.
    def test_a_draining_replica_is_not_used_again_and_new_rows_are(self):
        leaving, other = self.app
        copy = self.store.copy()
        self.store.put("servers", leaving.identity, leaving.entry("app", state="draining"))
        for number in range(4):
            self.store.put("servers", other.identity, other.entry("app", sequence=number))
        self.wait_for(lambda: b"draining" in self.gateway.log_path.read_bytes(), "draining", BOUND_SECONDS)
        time.sleep(0.5)
        self.forget_requests()
        self.store.restore(copy)
        started = self.make_replica("app-2")
        self.store.put("servers", started.identity, started.entry("app"))
        self.store.put("servers", other.identity, other.entry("app", state="draining"))
        end = time.monotonic() + HELD_SECONDS
        while time.monotonic() < end:
            self.call("/get/x")
        self.assertEqual(leaving.requests, [])
        other.requests.clear()
        for _ in range(20):
            self.assertEqual(self.call("/get/x")[0], 200)
        self.assertEqual((leaving.requests, other.requests), ([], []))

    def remove_replica(self, replica):
        """Returns the copy of before."""
        copy = self.store.copy()
        self.store.remove("servers", replica.identity)
        self.wait_for(lambda: b"event=endpoint_removed" in self.gateway.log_path.read_bytes(), "removed", BOUND_SECONDS)
        self.forget_requests()
        return copy

    def restore_and_wait(self, copy, rows=()):
        self.store.restore(copy, rows)
        line = f"event=store_era_changed table=endpoints era={self.store.era} ".encode()
        self.wait_for(lambda: line in self.gateway.log_path.read_bytes(), f"era {self.store.era}", BOUND_SECONDS)

    def call_for(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.assertEqual(self.call("/get/x")[0], 200)
            time.sleep(0.02)

    # Guards against a removal that is forgotten when it is written again, so that a second copy brings the replica back.
    def test_a_removed_replica_is_not_used_after_a_second_restore(self):
        copy = self.remove_replica(self.app[0])
        self.restore_and_wait(copy)
        self.store.remove("servers", self.app[0].identity)
        time.sleep(1)
        self.restore_and_wait(copy)
        self.call_for(HELD_SECONDS)
        self.assertEqual(self.app[0].requests, [])

    # Guards against a row held back in one era that is used in the next, in which the store doesn't have it.
    def test_a_held_row_ends_with_its_era(self):
        copy = self.remove_replica(self.app[0])
        later = self.store.copy()
        self.restore_and_wait(copy)
        self.restore_and_wait(later)
        self.call_for(12)
        self.assertEqual(self.app[0].requests, [])

    # Guards against a living replica that counts as removed because one restore lost its row and the next has it.
    def test_a_replica_that_only_a_restore_lost_is_used(self):
        copy = self.store.copy()
        for each in self.app:
            self.store.remove("servers", each.identity)
        started = self.make_replica("app-2")
        self.store.put("servers", started.identity, started.entry("app"))
        self.wait_for(lambda: self.call("/get/x")[0] == 200 and started.requests, "the replica", BOUND_SECONDS)
        self.restore_and_wait(copy)
        self.restore_and_wait(copy, [("servers", started.identity, started.entry("app"))])
        time.sleep(2)
        started.requests.clear()
        self.call_for(1)
        self.assertNotEqual(started.requests, [])

    # Guards against gateways that starting ones don't find, since their own row is gone.
    def test_the_row_of_a_gateway_is_written_again(self):
        copy = self.store.copy()
        self.start_gateway("g2")
        self.store.restore(copy)
        self.assertIsNone(self.store.value("nodes", "g2"))
        self.wait_for(lambda: self.store.value("nodes", "g2"), "the row", BOUND_SECONDS)

    # Guards against two gateways that never find each other: one starts between the read and the write of the other.
    def test_a_gateway_that_starts_while_the_row_is_written_again_is_found(self):
        copy = self.store.copy()
        row = copy[0].pop(("nodes", "g1"))["value"].replace(b"127.0.0.1", b"127.0.0.9")
        self.store.before_write = lambda: self.store.put("nodes", "started", row)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as started:
            started.bind(("127.0.0.9", self.gateway.internal_port))
            started.settimeout(BOUND_SECONDS)
            self.restore_and_wait(copy)
            self.assertIn(b"g1", started.recv(65536))

    # Guards against a gateway that holds the older era's rows because their versions are higher than a peer's.
    def test_a_gateway_without_the_store_learns_the_era_from_another(self):
        internal, refused = free_ports(2)
        self.start_gateway("reader", host="127.0.0.2", internal_port=internal)
        cut = self.start_gateway("cut", host="127.0.0.3", internal_port=internal, seeds=[f"127.0.0.2:{internal}"],
                                 store_port=refused)
        copy = self.lose_configurations((5, 6))
        self.wait_for(lambda: self.call("/get/x", key=SECOND_KEY, gateway=cut)[0] == 200, "version 6", BOUND_SECONDS)
        self.store.restore(copy, [("op", "config", make_config(7, keys=(SECOND_KEY,)))])
        self.wait_for_keys(SECOND_KEY, KEY, gateway=cut)

    # Guards against a damaged header that ends the use of the store, or by which rows of an older copy are taken.
    def test_an_era_that_cannot_be_right_changes_nothing(self):
        self.store.restore(self.store.copy())
        self.store.restore(self.store.copy())
        self.wait_for(lambda: b"era=2" in self.gateway.log_path.read_bytes(), "era 2", BOUND_SECONDS)
        for version, era in enumerate(("-3", "x", "99999999999999999999", "2.5", 1, None), start=10):
            self.store.era = era
            self.store.put("op", "config", make_config(version, keys=(SECOND_KEY,)))
            time.sleep(1.5)
            self.assertEqual(self.call("/get/x", key=KEY)[0], 200, f"Store-Era: {era}")
        self.assertIn(b"store_era_rejected", self.gateway.log_path.read_bytes())
        self.store.era = 3
        self.wait_for_keys(SECOND_KEY, KEY)


if __name__ == "__main__":
    unittest.main()
