"""Replicas that say in an answer that they leave, or want no requests for a while."""

import time
import unittest

from gateway_fixture import GatewayCase


class LeavingTest(GatewayCase):
    def seen(self, replica):
        return len(replica.requests)

    # Guards against requests to a replica that has said to this node that it leaves.
    def test_a_replica_that_says_that_it_leaves_gets_no_more_requests(self):
        self.app[0].extra_fields = ["Server-Leaving: 1"]
        self.wait_for(lambda: self.call("/get/x")[0] == 200 and self.seen(self.app[0]), "its first answer")
        count = self.seen(self.app[0])
        for _ in range(20):
            self.assertEqual(self.call("/get/x")[0], 200)
        self.assertEqual(self.seen(self.app[0]), count)
        # A new entry of the same replica changes nothing, a new replica at its address does.
        self.store.put("servers", "app-0", self.app[0].entry("app", sequence=2))
        self.store.put("servers", "app-1", self.app[1].entry("app", "draining"))
        self.wait_for(lambda: self.call("/get/x")[0] == 503, "no replica is left")
        self.app[0].extra_fields = []
        self.store.put("servers", "app-0", self.app[0].entry("app", born=2000))
        self.wait_for(lambda: self.call("/get/x")[0] == 200, "the next incarnation")

    # Guards against requests to a replica that has asked this node to stay away for a time.
    def test_a_replica_gets_no_requests_for_the_time_that_it_states(self):
        pause = 1.5
        self.store.remove("servers", "app-1")
        self.wait_for(lambda: b"event=endpoint_removed endpoint=app-1" in self.gateway.log_path.read_bytes(),
                      "one replica is left")
        self.app[0].script, self.app[0].extra_fields = ["refuse", "ok"], [f"Retry-After: {pause}"]
        self.assertEqual(self.call("/get/x")[0], 503)
        refused = time.monotonic()
        while time.monotonic() < refused + pause - 0.1:
            self.assertEqual(self.call("/get/x")[0], 503)
        self.assertEqual(self.seen(self.app[0]), 1)
        self.wait_for(lambda: self.call("/get/x")[0] == 200, "it is used again", 5)


if __name__ == "__main__":
    unittest.main()
