"""Load that replicas state in their answers."""

import http.client
import unittest

from gateway_fixture import GatewayCase


class StatedLoadTest(GatewayCase):
    def stating(self, gateway):
        """How many endpoints have stated a load that this gateway uses."""
        connection = http.client.HTTPConnection(gateway.host, gateway.metrics_port, timeout=2)
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
        connection.close()
        return int(text.split("\ncassiashed_endpoints_stating_load ")[1].split("\n")[0])

    # Guards against stated loads that are not read, and malformed ones that are believed.
    def test_stated_loads_are_used_only_if_valid(self):
        for each in self.app:
            each.extra_fields = ["Server-Load: 1,x,16"]
        for _ in range(8):
            self.assertEqual(self.call("/get/x")[0], 200)
        self.assertEqual(self.stating(self.gateway), 0)
        for each in self.app:
            each.extra_fields = ["Server-Load: 16,24,16"]
        for _ in range(8):
            self.assertEqual(self.call("/get/x")[0], 200)
        self.assertGreaterEqual(self.stating(self.gateway), 1)

    # Guards against messages that carry loads which no node uses: engines are placed by the known requests.
    def test_loads_of_engines_are_not_kept(self):
        for each in self.llm:
            each.extra_fields = ["Server-Load: 1,0,16"]
        for _ in range(4):
            self.assertEqual(self.call("/stream/x", method="POST", body=b"{}")[0], 200)
        self.assertEqual(self.stating(self.gateway), 0)


if __name__ == "__main__":
    unittest.main()
