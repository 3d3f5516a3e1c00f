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


class Resumed:
    """A first server that breaks off after two events, and a response of the server that is to continue."""

    def __init__(self, fleet, behaviour):
        self.fleet, self.behaviour = fleet, behaviour
        for server in fleet.engines:
            server.behaviours = [lambda request, server=server: self.run(server, request)]

    def run(self, server, request):
        if "Last-Event-Id" in request.headers:
            return self.behaviour(server, request)
        return server.stream(5, stop_after=2)(request)


def respond(status, body, signed=True, content_type="text/plain", framing="length"):
    def run(server, request):
        more = [f"Content-Type: {content_type}"]
        if framing == "length":
            more.append(f"Content-Length: {len(body)}")
        request.connection.sendall(head_lines(server, request, status, signed, more=more) + b"\r\n" + body)
        if framing == "close":
            request.cut()
    return run


# Guards against an error response of the server that is to continue a stream: callers found its text in their stream,
# or the stream ended as if it were complete.
def case_error_after_stream_began(fleet):
    """a stream whose continuation is answered with an error breaks off visibly and holds nothing of the error"""
    error = b"error\n\nid: 3\ndata: error\n\n"
    for name, behaviour in (("400", respond("400 Bad Request", error)),
                            ("404", respond("404 Not Found", error)),
                            ("404 without signature", respond("404 Not Found", error, signed=False)),
                            ("404 without length", respond("404 Not Found", error, framing="close")),
                            ("302", respond("302 Found", error)),
                            ("500", respond("500 Internal Server Error", error)),
                            ("503", respond("503 Service Unavailable", error)),
                            ("200 without signature", respond("200 OK", error, False, "text/event-stream")),
                            ("200 that is no event stream", respond("200 OK", error)),
                            ("refusal", lambda server, request: server.shed(request))):
        forget(fleet)
        Resumed(fleet, behaviour)
        answer = call(fleet.gateways[0], "/stream/1", "POST", b"p")
        check(arrivals(fleet.engines) == 2, f"after {name} the stream was to continue at another server")
        check(b"error" not in answer.body and b"HTTP" not in answer.body, f"after {name}: {answer.body!r}")
        check(event_ids(answer) == [1, 2], f"after {name}: events {event_ids(answer)}")
        check(not answer.whole, f"after {name} the stream does not look complete")


# Guards against a server that continues a stream wrongly: the stream broke off though another server could continue it.
def case_continued_at_third_server(fleet):
    """a stream that one server fails to continue is continued by another"""
    use_routes(fleet, [pf.route("r-stream", "a.example", "/stream/", "streaming", "engines", max_attempts=3,
                                resume_streams=True, target_gap_ms=300)])
    third = pf.Backend(fleet.store, "i-engine-third", 25, "engines", {"m": 1})
    fleet.engines.append(third)
    time.sleep(1)
    try:
        for name, behaviour in (("an error", respond("404 Not Found", b"error")),
                                ("repeated events", replay),
                                ("skipped events", lambda server, request: respond(
                                    "200 OK", events(server, [4, 5]), True, "text/event-stream")(server, request))):
            forget(fleet)
            used = threading.Event()

            def fail_once(server, request, used=used, behaviour=behaviour):
                if used.is_set():
                    return server.stream(5)(request)
                used.set()
                return behaviour(server, request)
            Resumed(fleet, fail_once)
            answer = call(fleet.gateways[0], "/stream/1", "POST", b"p")
            check(answer.whole and event_ids(answer) == [1, 2, 3, 4, 5], f"after {name}: events {event_ids(answer)}")
    finally:
        fleet.store.remove("servers/" + third.id)
        fleet.engines.remove(third)
        third.close()


def replay(server, request):
    return respond("200 OK", events(server, [2, 3, 4, 5]), True, "text/event-stream")(server, request)


CASES = [case_repeated_refusal,
         case_error_after_stream_began,
         case_continued_at_third_server]


if __name__ == "__main__":
    pf.run_cases([first_routes(case) for case in CASES])
