"""Connections that callers keep open: each request that a gateway reads on one gets an answer."""
import http.client
import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_fleet as pf  # noqa: E402  the path is set above
from platform_fleet import call, check, wait_for  # noqa: E402

# Idle limits before and after a change, in milliseconds.
SHORT_MS, LONG_MS = 1000, 8000
# A connection may stay open this long beyond its limit.
MOST_EXTRA_S = 3.0
HOSTS = iter(range(60, 100))


class Kept:
    """A connection of a caller, never opened again."""

    def __init__(self, gateway):
        self.connection = http.client.HTTPConnection(gateway.ip, pf.CALLER_PORT, timeout=10)
        self.connection.connect()
        self.connection.auto_open = 0

    def send(self, path="/read/1", method="GET", body=None):
        self.connection.request(method, path, body, {
            "Host": "a.example", "Attempt-Id": f"kept-{next(pf.NUMBER)}", "Deadline-Ms": "3000", "Model": "m",
            "Token-Counts": "100,10", "Authorization": "Bearer key-1"})

    def receive(self):
        response = self.connection.getresponse()
        body = response.read()
        return pf.Answer(response.status, dict(response.getheaders()), body, True)

    def call(self, *request):
        self.send(*request)
        return self.receive()

    def wait_for_close(self):
        """Seconds until the gateway closes."""
        begun = time.monotonic()
        check(self.connection.sock.recv(1) == b"", "closed without a byte")
        return time.monotonic() - begun


def set_limits(fleet, wait_s=0.8, routes=None, **limits):
    """Changes limits, and waits until all gateways know."""
    fleet.version += 1
    changed = pf.configuration(fleet.version, fleet.origin, routes=routes)
    changed["limits"].update(limits)
    fleet.store.put("op/config", changed)
    time.sleep(wait_s)


# Guards against a connection that is closed by the limit of its last request although a change has raised it (LOST).
def case_raised_limit(fleet):
    """a request on a connection that was idle while the idle limit was raised is answered"""
    set_limits(fleet, idle_timeout_ms=SHORT_MS)
    kept = [Kept(gateway) for gateway in fleet.gateways]
    for each in kept:
        check(each.call().status == 200, "the first request")
    set_limits(fleet, idle_timeout_ms=LONG_MS)
    time.sleep(SHORT_MS / 1000 + MOST_EXTRA_S)
    for each in kept:
        check(each.call().status == 200, "a request within the raised limit")


# Guards against a whole request that is read while its connection is closed, and dropped (LOST).
def case_crossing_request(fleet):
    """a request that crosses the end of an idle connection is not read"""
    set_limits(fleet, idle_timeout_ms=SHORT_MS)
    for delay_s in (0.0, 0.1, 0.3):
        kept = Kept(fleet.gateways[0])
        check(kept.call().status == 200, "the first request")
        waited = kept.wait_for_close()
        check(SHORT_MS / 1000 <= waited <= SHORT_MS / 1000 + MOST_EXTRA_S, f"closed after {waited:.2f} s")
        time.sleep(delay_s)
        try:
            kept.send()
            time.sleep(0.1)  # until the reset, which tells that the request was not read
            kept.connection.sock.send(b"x")
            check(False, f"no reset {delay_s} s after the close")
        except ConnectionError:
            pass


# Guards against a request that is refused by limits that were in force when its connection became idle.
def case_limits_of_the_request(fleet):
    """a request is held to the limits in force when it arrives, not to those before its connection was idle"""
    set_limits(fleet, max_body_bytes=1000)
    kept = Kept(fleet.gateways[0])
    check(kept.call().status == 200, "the first request")
    set_limits(fleet, max_body_bytes=100000)
    answer = kept.call("/once/1", "POST", b"x" * 50000)
    check(answer.status == 200, f"a body within the new limit: {answer.status}")


# Guards against the next request on a connection that is read and dropped, because a planned stop began while a stream
# was under way whose head did not announce the close (LOST).
def case_stop_during_stream(fleet):
    """a request that follows a stream on its connection is answered when a planned stop began in between"""
    set_limits(fleet)
    for path, method in (("/read/1", "GET"), ("/once/1", "POST")):
        gateway = fleet.gateway(next(HOSTS))
        wait_for(lambda g=gateway: call(g, "/marigoldyard/ready", port=pf.READY_PORT).status == 200, "ready")
        for engine in fleet.engines:
            engine.behaviours = [engine.stream(6, pause=0.2)]
        kept = Kept(gateway)
        kept.send("/stream/1", "POST", b"p")
        time.sleep(0.5)
        gateway.process.send_signal(signal.SIGTERM)
        stream = kept.receive()
        check(stream.status == 200 and "connection" not in {name.lower() for name in stream.headers}, "the stream")
        answer = kept.call(path, method, b"b" if method == "POST" else None)
        check(answer.status in (200, 503), f"the next request: {answer.status}")
        check(answer.headers.get("Connection") == "close", "the close is announced")
        check(gateway.process.wait(6) == 0, "it exits by itself")


CASES = [case_raised_limit, case_crossing_request, case_limits_of_the_request, case_stop_during_stream]

if __name__ == "__main__":
    pf.run_cases(CASES)
