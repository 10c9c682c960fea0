"""A small cluster of gateways, through planned work in series and at once."""

import tempfile
import unittest

from gateway_fixture import TESTS  # noqa: F401, for the path of the harness
from gateway_fleet import Fleet


class FleetTest(unittest.TestCase):
    # Guards against requests that end unanswered beside stops, reloads, configurations, drains and store outages.
    def test_no_request_is_lost_beside_planned_work(self):
        with tempfile.TemporaryDirectory() as directory:
            fleet = Fleet(directory, seed=2, nodes=3, models=5, applications=2, callers=6)
            self.addCleanup(fleet.close)
            fleet.start()
            fleet.run(15)
            lost = fleet.lost()
            answered = sum(note.get("status") == 200 for note in fleet.requests)
        self.assertEqual(lost, [])
        self.assertGreater(answered, 100)


if __name__ == "__main__":
    unittest.main()
