"""Responses of servers whose status is none, with a valid signature and a whole body."""
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_fleet as pf  # noqa: E402  the path is set above
from platform_fleet import call, check, forget  # noqa: E402

STATUSES = ("000", "001", "099", "600", "700", "999")


def respond(server, status, more=""):
    def run(request):
        head = server.headers(request)
        lines = "".join(f"{name}: {value}\r\n" for name, value in head.items())
        request.connection.sendall(f"HTTP/1.1 {status} Text\r\n{lines}{more}Content-Length: 4\r\n\r\nbody".encode())
    return run


def set_behaviours(servers, status, more="", count=1):
    for server in servers:
        server.behaviours = [respond(server, status, more)] * count


def arrivals(servers):
    return sum(len(server.seen) for server in servers)


# Guards against such a response that reaches the caller as an answer, or is taken for a proof that nothing ran.
def case_at_most_once(fleet):
    """a request that may run once gets 502, whatever else such a response says, and is not repeated"""
    for status in STATUSES:
        for more in ("", "Not-Executed: 1\r\n", "Retry-After: 5\r\n"):
            forget(fleet)
            set_behaviours(fleet.plain, status, more)
            answer = call(fleet.gateways[0], "/once/1", "POST", b"b")
            check(answer.status == 502, f"{status} {more!r}: caller got {answer.status}")
            check(arrivals(fleet.plain) == 1, f"{status} {more!r}: {arrivals(fleet.plain)} sends")


# Guards against an idempotent request or a stream that ends with such a response although another server is sound.
def case_repeated(fleet):
    """a request that may be repeated and a stream are served by another server"""
    for status in STATUSES:
        forget(fleet)
        pf.restart_servers(fleet.plain + fleet.engines)
        fleet.plain[0].behaviours = [respond(fleet.plain[0], status)]
        for _ in range(4):
            answer = call(fleet.gateways[0], "/read/1")
            check(answer.status == 200 and answer.whole, f"{status}: caller got {answer.status}")
        fleet.engines[0].behaviours = [respond(fleet.engines[0], status)]
        for _ in range(4):
            answer = call(fleet.gateways[0], "/stream/1", "POST", b"b")
            check(answer.status == 200 and answer.whole, f"{status}: stream ended with {answer.status}")


if __name__ == "__main__":
    pf.run_cases([case_at_most_once, case_repeated])
