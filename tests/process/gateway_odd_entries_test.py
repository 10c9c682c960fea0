"""Entries of another writer among those of the replicas."""

import json
import unittest

from gateway_fixture import KEY, GatewayCase

DEPTH = 30000  # of an entry below the 64 KiB of a row


def nested(opening, closing, middle=""):
    return opening * DEPTH + middle + closing * DEPTH


class OddEntriesTest(GatewayCase):
    # Values that a field may have, however unlikely.
    VALID = {"coldRemainingMs": ("4294967297", "2147483648", "-9223372036854775809", "-1", "0", "0.5"),
             "born": ("4294967297", "2147483648", "0"), "zone": ('"5"',), "service": ('"5"',)}

    def odd_entries(self):
        """Raw values by key; none of them names a replica to use."""
        fields = self.app[0].entry("app")
        numbers = ("1e999", "-1e999", "1e308", "18446744073709551615", "18446744073709551616", "9223372036854775808",
                   "-9223372036854775809", "4294967297", "2147483648", "-1", "0", "0.5", "null", "true", '"5"', "[]",
                   "{}", nested("[", "]"))
        addresses = ("127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999999999999999999", "127.0.0.1:-1", "127.0.0.1:",
                     "127.0.0.1", ":80", "", "host:80", "256.0.0.1:80", "0.0.0.0:80", "127.0.0.1:80x", "127.0.0.1:1e3")
        values = {"nested": nested("[", "]"), "nested-open": "[" * 60000,
                  "nested-objects": '{"a":' * 9000 + "1" + "}" * 9000, "bytes": b"\xff\xfe\x00", "empty": b"",
                  "huge-number": "1" * 60000, "list": "[]", "text": '"app"'}
        for name, value in fields.items():
            if name in ("version", "sequence"):
                continue  # not read
            without = {key: other for key, other in fields.items() if key != name}
            if name != "born":  # may be missing
                values[f"no-{name}"] = json.dumps(without)
            odd = numbers + tuple(map(json.dumps, addresses)) if name == "address" else numbers
            for count, text in enumerate(each for each in odd if each not in self.VALID.get(name, ())):
                values[f"{name}-{count}"] = json.dumps(without)[:-1] + f', "{name}": {text}}}'
        # An unread field that is odd does not hide a valid entry, but an entry that cannot be read does.
        values["unread-number"] = json.dumps(fields)[:-1] + ', "more": 1e999}'
        for count, key in enumerate(("line\r\nX-Injected: 1", "two words", "caf\u00e9", "tab\t")):
            values[key] = json.dumps(fields)
        return {key: value if isinstance(value, bytes) else value.encode() for key, value in values.items()}

    # Guards against processes that end, or stop to follow the replicas, at an entry that names none.
    def test_odd_entries_change_nothing_for_the_others(self):
        odd = self.odd_entries()
        self.store.remove("servers", "app-0")
        for key, value in odd.items():
            self.store.put("servers", key, value)
        self.store.put("servers", "app-2", self.app[0].entry("other"))
        self.wait_for(lambda: b"endpoint=app-2" in self.gateway.log_path.read_bytes(), "the rows are read")
        self.app[0].requests = []
        for _ in range(20):
            self.assertEqual(self.call("/get/x")[0], 200)
        rejected = self.gateway.log_path.read_bytes().count(b"event=endpoint_row_rejected")
        self.assertEqual(self.app[0].requests, [])
        self.assertGreater(rejected, len(odd) * 0.8)
        self.assertIsNone(self.gateway.process.poll())
        # A process that starts reads them all at once.
        starting = self.start_gateway("starting")
        self.assertEqual(self.call("/get/x", gateway=starting)[0], 200)
        self.store.put("servers", "app-3", self.app[0].entry("app"))
        self.wait_for(lambda: b"endpoint=app-3" in starting.log_path.read_bytes(), "the rows are followed")

    # Guards against numbers of a caller that are out of range.
    def test_odd_numbers_of_a_caller_do_no_harm(self):
        for text in ("1e308", "-1e308", "1e999", "nan", "inf", "-1", "0", "18446744073709551616", "x", ""):
            status, _, _ = self.call("/stream/x", "POST", b"prompt", **{"Token-Counts": f"{text},{text}",
                                                                        "Length-Hint": text})
            self.assertIn(status, (200, 503), text)
            answer = self.raw(f"POST /post/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer {KEY}\r\n"
                              f"Connection: close\r\nDeadline-Milliseconds: {text}\r\n"
                              f"Content-Length: 0\r\n\r\n".encode(), wait=6)
            self.assertIn(answer.split(b" ")[1:2], ([b"200"], [b"503"], [b"504"]), text)
        self.assertEqual(self.call("/get/x")[0], 200)
        self.assertIsNone(self.gateway.process.poll())


if __name__ == "__main__":
    unittest.main()
