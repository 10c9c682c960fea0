"""Crowds of callers and nodes that keep to no limit. The crowd and the bounds do not depend on the machine's speed:
the process lives, its memory stays below `memory_mb` and its descriptors below `file_descriptors`, and an ordinary
request is answered while the crowd holds its connections."""

import pathlib
import signal
import socket
import subprocess
import threading
import time
import unittest

from gateway_fixture import KEY, WHOLE, GatewayCase, make_config

CROWD = 100
CONNECTIONS = 320  # of a crowd that needs more descriptors than there are
BODY_LIMIT = 1_000_000
SHORT_OF_END = BODY_LIMIT - 20_000
MEMORY_MB = 48
DESCRIPTORS = 256
LIMITS = f"[limits]\nmemory_mb = {MEMORY_MB}\nfile_descriptors = {DESCRIPTORS}\n"
SEND_LIMIT_S = 15  # a caller whose bytes are not read keeps its connection and sends no more


def head(framing, path="/post/x", key=KEY):
    return (f"POST {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: crowd\r\nAuthorization: Bearer {key}\r\n"
            f"{framing}\r\n\r\n").encode()


CHUNKED = head("Transfer-Encoding: chunked")


def chunks(size, total):
    one = b"%x\r\n" % size + b"x" * size + b"\r\n"
    return one * (total // size)


class CrowdTest(GatewayCase):
    def setUp(self):
        super().setUp()
        self.gateway.close()
        config = make_config(4)
        config["limits"]["bodyBytes"] = BODY_LIMIT
        # Long enough for the whole crowd to hold its connections on a busy machine.
        config["limits"].update(headerTimeoutMs=20000, idleTimeoutMs=60000)
        self.store.put("op", "config", config)
        self.gateway = self.start_gateway("crowd", bounds=LIMITS)

    def peak(self):
        status = pathlib.Path(f"/proc/{self.gateway.process.pid}/status").read_text()
        return int(next(line for line in status.splitlines() if line.startswith("VmHWM")).split()[1]) << 10

    def descriptors(self):
        return len(list(pathlib.Path(f"/proc/{self.gateway.process.pid}/fd").iterdir()))

    def crowd(self, data, count=CROWD, port=None):
        """`count` connections that send `data` at once and stay open."""
        peers, threads = [], []

        def send(peer):
            try:
                peer.sendall(data)
            except OSError:
                pass

        for _ in range(count):
            try:
                peer = socket.create_connection((self.gateway.host, port or self.gateway.port), timeout=SEND_LIMIT_S)
            except OSError:
                continue
            self.addCleanup(peer.close)
            peers.append(peer)
            threads.append(threading.Thread(target=send, args=(peer,)))
            threads[-1].start()
        for each in threads:
            each.join()
        self.wait_until_read()
        return peers

    def unread(self):
        """Bytes in the receive queues of the process's ports."""
        ports = {f"{port:04X}" for port in (self.gateway.port, self.gateway.internal_port)}
        lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
        return sum(int(fields[4].split(":")[1], 16) for fields in map(str.split, lines)
                   if fields[1].split(":")[1] in ports)

    def wait_until_read(self):
        """Until the process has read what it takes: its queues are empty or stay as they are."""
        last, looks = None, 0
        while looks < 8:
            time.sleep(0.05)
            now = self.unread()
            looks, last = looks + 1 if now == last else 0, now

    def check(self, what, peers=()):
        self.assertIsNone(self.gateway.process.poll(), f"{what}: the process ended")
        descriptors = self.descriptors()
        answers = []
        # A refusal allows another try, as callers make it.
        for _ in range(5):
            answers.append(self.call("/get/x", deadline_ms=8000)[::2])
            if answers[-1] == (200, WHOLE):
                break
        peak = self.peak()
        print(f"{what}: peak {peak / 1e6:.1f} MB of {MEMORY_MB * 1.048576:.1f}, descriptors {descriptors} of "
              f"{DESCRIPTORS}, answers {[status for status, _ in answers]}", flush=True)
        for peer in peers:
            peer.close()
        self.assertIsNone(self.gateway.process.poll(), f"{what}: the process ended")
        self.assertLess(peak, MEMORY_MB << 20, what)
        self.assertLess(descriptors, DESCRIPTORS, what)
        self.assertEqual(answers[-1], (200, WHOLE), what)

    # Guards against bodies over the limit that are stored, with a length or without.
    def test_bodies_far_over_the_limit(self):
        self.check("10 GB announced", self.crowd(head("Content-Length: 10000000000") + b"x" * (2 * BODY_LIMIT)))
        self.check("just sent", self.crowd(CHUNKED + chunks(65536, 4 * BODY_LIMIT)))

    # Guards against unfinished bodies whose sum exceeds the memory of the host.
    def test_unfinished_bodies_in_large_chunks(self):
        self.check("chunks of 64 KB", self.crowd(CHUNKED + chunks(65536, SHORT_OF_END)))

    def test_unfinished_bodies_in_one_chunk(self):
        self.check("one chunk", self.crowd(CHUNKED + chunks(SHORT_OF_END, SHORT_OF_END)[:-2]))

    # Guards against the overhead of chunks, which exceeds the body.
    def test_unfinished_bodies_in_small_chunks(self):
        self.check("chunks of 16 bytes", self.crowd(CHUNKED + chunks(16, SHORT_OF_END)))

    def test_unfinished_bodies_with_a_length(self):
        self.check("with a length", self.crowd(head(f"Content-Length: {BODY_LIMIT}") + b"x" * SHORT_OF_END))

    # Guards against bodies that are small enough for the part of ordinary callers and fill it.
    def test_unfinished_small_bodies(self):
        self.check("small bodies", self.crowd(CHUNKED + chunks(1000, 60_000), count=CONNECTIONS))

    # Guards against connections that take every descriptor of the process.
    def test_connections_that_stop_anywhere(self):
        for what, data in (("in the head", b"POST /post/x HTTP/1.1\r\nHost: h.ex"),
                           ("in a size line", CHUNKED + b"5\r\nhello\r\n1f"),
                           ("between requests", b"GET /get/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer "
                            + KEY.encode() + b"\r\n\r\n"),
                           ("before a request", b"")):
            self.check(what, self.crowd(data, count=CONNECTIONS))

    def test_fields_extensions_and_trailers_without_end(self):
        endless = b"x" * (1 << 20)
        for what, data in (("fields", b"GET /get/x HTTP/1.1\r\nX: " + endless),
                           ("extensions", CHUNKED + b"2;" + endless),
                           ("trailers", CHUNKED + b"2\r\nno\r\n0\r\nX: " + endless)):
            self.check(what, self.crowd(data))

    def test_requests_without_reading_answers(self):
        one = f"GET /get/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer {KEY}\r\n\r\n".encode()
        self.check("pipelined", self.crowd(one * 300, count=20))

    # Guards against answers that are kept for callers who do not read them.
    def test_answers_that_are_not_read(self):
        count = 60  # below the connections that the service allows
        self.share_script(self.app, ["large"] * count + ["ok"])
        get = f"GET /get/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer {KEY}\r\n\r\n".encode()
        peers = self.crowd(get, count)
        self.wait_for(lambda: len(self.requests(self.app)) >= count, "all were sent")
        self.share_script(self.app, ["ok"])
        self.check("large answers", peers)

    def test_streams_that_are_not_read(self):
        self.share_script(self.llm, ["endless_body"])
        text = head("Token-Counts: 500,300\r\nContent-Length: 6", "/stream/x") + b"prompt"
        self.check("streams", self.crowd(text))

    # Guards against a planned stop that waits for bodies that never end.
    def test_a_stop_while_bodies_are_held_open(self):
        self.crowd(CHUNKED + chunks(65536, SHORT_OF_END))
        self.gateway.process.send_signal(signal.SIGTERM)
        try:
            self.assertEqual(self.gateway.process.wait(timeout=16), 0)
        except subprocess.TimeoutExpired:
            self.fail("the process outlived its grace")

    # Guards against the port of the nodes, which needs no bodies, taking in what callers may not send.
    def test_bodies_sent_to_the_port_of_nodes(self):
        self.check("node bodies", self.crowd(CHUNKED + chunks(65536, SHORT_OF_END), port=self.gateway.internal_port))

    def test_connections_to_the_port_of_nodes(self):
        self.check("node connections", self.crowd(b"GET /ro", count=CONNECTIONS, port=self.gateway.internal_port))

    # Guards against rows that are packed and kept for every reader that never reads them.
    def test_rows_that_are_not_read(self):
        config = make_config(5)
        config["notes"] = "x" * BODY_LIMIT
        self.store.put("op", "config", config)
        self.wait_for(lambda: b"config_in_force" in self.gateway.log_path.read_bytes()
                      and b"version=5" in self.gateway.log_path.read_bytes(), "the configuration is read")
        read = b"GET /rows/operator?after=0 HTTP/1.1\r\nHost: node\r\n\r\n"
        self.check("rows that are not read", self.crowd(read, port=self.gateway.internal_port))

    # Guards against limits that a caller inside the pages' limits meets while the system is calm.
    def test_the_largest_body_is_served_on_the_smallest_host(self):
        config = make_config(5)
        config["limits"]["bodyBytes"] = 4 << 20
        self.store.put("op", "config", config)
        gateway = self.start_gateway("smallest", bounds="[limits]\nmemory_mb = 160\nfile_descriptors = 256\n")
        body = b"x" * (4 << 20)
        pieces = [body[at:at + 60_000] for at in range(0, len(body), 60_000)]
        self.assertEqual(self.call("/post/x", "POST", body, gateway=gateway)[::2], (200, WHOLE))
        self.assertEqual(self.call("/post/x", "POST", iter(pieces), gateway=gateway)[::2], (200, WHOLE))
        self.assertEqual([request["body"] for request in self.requests(self.app)], [body, body])


if __name__ == "__main__":
    unittest.main()
