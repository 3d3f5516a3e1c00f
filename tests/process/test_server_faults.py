"""Responses of faulty servers: repeated refusals, errors inside streams, bytes without end, responses without length."""
import os
import socket
import struct
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_fleet as pf  # noqa: E402  the path is set above
from platform_fleet import call, check, forget  # noqa: E402

# An endless response is noticed long before the deadline of its request, which is 3 s.
NOTICE_LIMIT_S = 1.5
ENDLESS_RESPONSES = 60
# The VMs of gateways have a few hundred MB.
MEMORY_LIMIT_KB = 200 << 10


def arrivals(servers):
    return sum(len(server.seen) for server in servers)


def use_routes(fleet, routes=None):
    """Puts a configuration in force; without routes, the first one."""
    fleet.configure(routes=routes)
    for gateway in fleet.gateways:
        pf.wait_for(lambda g=gateway: f'"revision":{fleet.version}' in g.log_text(), "the configuration is in force")


def first_routes(case):
    """Runs a case with the first configuration."""
    def run(fleet):
        use_routes(fleet)
        case(fleet)
    run.__doc__ = case.__doc__
    return run


def head_lines(server, request, status="200 OK", signed=True, request_id=None, more=()):
    """Head of a response without the empty line at its end."""
    lines = [f"HTTP/1.1 {status}", f"Attempt-Id: {request_id or request.headers['Attempt-Id']}", *more]
    if signed:
        lines.append(f"Response-Signature: sig.{server.id}")
    if server.models:
        lines.append(f"Weight-Versions: {next(iter(server.models.values()))}")
    return "".join(line + "\r\n" for line in lines).encode()


def write_until_closed(request, piece, pause=0.0):
    """Writes a piece again and again; returns when the peer closes."""
    try:
        while True:
            request.connection.sendall(piece)
            time.sleep(pause)
    except OSError:
        pass
    request.close_connection = True


def reset(request):
    """Ends the connection with a reset."""
    request.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    request.close_connection = True
    request.wfile.flush()
    request.connection.close()


def events(server, numbers):
    return b"".join(f"id: {n}\ndata: {server.id}-{n}\n\n".encode() for n in numbers)


def event_ids(answer):
    return [int(line[4:]) for line in answer.body.decode(errors="replace").splitlines() if line.startswith("id: ")]


def first_only(servers, behaviour):
    """The next request fails at whichever server it reaches first; later ones are served as usual."""
    used = threading.Event()

    def once(server):
        def run(request):
            if used.is_set():
                return (server.plain if server.models is None else server.stream(3))(request)
            used.set()
            return behaviour(server, request)
        return run
    for server in servers:
        server.behaviours = [once(server)]


REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"


# Guards against a refusal of an earlier request that a server writes once more on a kept connection: callers were told
# "not run" for a request that ran, or it ran at a second server.
def case_repeated_refusal(fleet):
    """a refusal that a server repeats on a kept connection does not end the next request"""
    use_routes(fleet, [pf.route("r-once", "a.example", "/once/", "non_idempotent", "plain", max_attempts=2)])
    for name, line in (("without id", b""), ("with the earlier id", b"Attempt-Id: earlier\r\n")):
        for delay in (0.0, 0.2):
            forget(fleet)
            for server in fleet.plain:
                def repeat(request, server=server, line=line, delay=delay):
                    time.sleep(delay)
                    request.wfile.write(REFUSAL % line)
                    time.sleep(0.2)
                    server.plain(request)
                server.behaviours = [server.plain] * 2 + [repeat]
            for number in range(6):
                answer = call(fleet.gateways[0], "/once/1", "POST", b"b")
                check(answer.status == 200, f"request {number} {name}: status {answer.status} {answer.body!r}")
                check(arrivals(fleet.plain) == number + 1, f"request {number} {name} was sent once")


CASES = [case_repeated_refusal]


if __name__ == "__main__":
    pf.run_cases([first_routes(case) for case in CASES])
