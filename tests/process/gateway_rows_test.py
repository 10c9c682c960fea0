"""Rows that reach a gateway slowly: from the store and from other gateways."""

import json
import re
import unittest

from gateway_fixture import TESTS, GatewayCase, free_ports, make_config, route
from node import Node

NODE_MESSAGES = TESTS.parent / "src" / "gateway" / "node_messages.h"
SECONDS = 3.0  # in which a large configuration arrives


class RowsTest(GatewayCase):
    # Guards against gateways that stay on an old configuration because they give up and repeat each read of it.
    def test_a_large_configuration_is_read_once_from_another_node(self):
        message_format = int(re.search(r"NodeMessageFormat = (\d+)", NODE_MESSAGES.read_text()).group(1))
        (internal,) = free_ports(1)
        reader = self.start_gateway("reader", host="127.0.0.2", internal_port=internal)
        self.store.mode = "silent"
        config = json.dumps(make_config(9, [route("/new/", "idempotent", "app")])).encode()
        node = Node("127.0.0.3", internal, "127.0.0.2", message_format, ["config", config, 1000, False], 1000, SECONDS)
        self.addCleanup(node.close)
        self.wait_for(lambda: self.call("/new/x", gateway=reader)[0] == 200, "version 9", SECONDS + 2)
        self.assertEqual((node.reads, node.most_reads_at_once), (1, 1))

    # Guards against configurations above some size that no gateway reads any more.
    def test_a_configuration_of_megabytes_is_read(self):
        routes = [route(f"/route-{number}/", "idempotent", "app") for number in range(20000)]
        config = json.dumps(make_config(9, routes)).encode()
        self.assertGreater(len(config), 4 << 20)
        self.store.put("op", "config", config)
        self.wait_for(lambda: self.call("/route-19999/x")[0] == 200, "version 9", 5)
        self.start_gateway("starting")

    # Guards against a gateway that never gets ready behind a slow link to the store.
    def test_a_table_that_arrives_slowly_from_the_store_is_read(self):
        self.store.body_seconds = SECONDS
        self.start_gateway("slow")


if __name__ == "__main__":
    unittest.main()
