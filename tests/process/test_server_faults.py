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


def endless(before, piece, pause=0.0, own_head=True, **changes):
    """Writes a head, then bytes without end."""
    def run(server, request):
        head = head_lines(server, request, **changes) if own_head else b""
        try:
            request.connection.sendall(head + before)
        except OSError:
            pass
        write_until_closed(request, piece, pause)
        server.gone.append(time.monotonic())
    return run


CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
FILL = b"x" * 8192
CHUNK = b"2000\r\n" + FILL + b"\r\n"
EVENTS = b"Content-Type: text/event-stream\r\n" + CHUNKED
# Bytes without end that cannot be the response to a request.
ENDLESS = {
    "no HTTP": endless(b"", FILL, own_head=False),
    "a head": endless(b"", b"X-More: " + b"y" * 500 + b"\r\n"),
    "a line of a head": endless(b"X-More: ", FILL),
    "interim responses": endless(b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 50, own_head=False),
    "the body of another response": endless(CHUNKED, CHUNK, request_id="earlier"),
    "the body of another response without length": endless(b"\r\n", FILL, request_id="earlier"),
    "other responses": endless(b"Content-Length: 0\r\n\r\n", b"HTTP/1.1 200 OK\r\nAttempt-Id: earlier\r\n"
                               b"Content-Length: 0\r\n\r\n" * 50, request_id="earlier"),
    "a chunk extension": endless(CHUNKED + b"5;x=", FILL),
    "a trailer": endless(CHUNKED + b"0\r\nX-More: ", FILL),
    "a success without signature": endless(CHUNKED, CHUNK, signed=False),
    "a success without signature, slowly": endless(CHUNKED, b"1\r\nx\r\n", 0.05, signed=False),
    "a refusal": endless(b"Not-Executed: 1\r\n" + CHUNKED, CHUNK, status="503 Service Unavailable", signed=False),
    "a refusal, slowly": endless(b"Not-Executed: 1\r\n" + CHUNKED, b"1\r\nx\r\n", 0.05,
                                 status="503 Service Unavailable", signed=False),
    "a server error": endless(b"\r\n", FILL, status="500 Internal Server Error"),
}


def check_noticed(name, servers, started, took):
    check(took < NOTICE_LIMIT_S, f"{name}: answered after {took:.2f} s")
    pf.wait_for(lambda: any(server.gone for server in servers), f"{name}: the connection is closed", timeout=3)
    gone = min(at for server in servers for at in server.gone) - started
    check(gone < NOTICE_LIMIT_S, f"{name}: closed after {gone:.2f} s")


def call_timed(*args, **kwargs):
    started = time.monotonic()
    answer = call(*args, **kwargs)
    return answer, started, time.monotonic() - started


# Guards against bytes without end of a server: its request waited for them until its deadline, and they were stored.
def case_endless_bytes(fleet):
    """a request is retried as soon as its server sends bytes without end that are no response"""
    for name, behaviour in ENDLESS.items():
        forget(fleet)
        for server in fleet.plain:
            server.gone.clear()
        pf.restart_servers(fleet.plain)  # the kind before may have led to a backoff
        first_only(fleet.plain, behaviour)
        answer, started, took = call_timed(fleet.gateways[0], "/read/1")
        check(answer.status == 200 and answer.whole, f"{name}: status {answer.status}")
        check(arrivals(fleet.plain) == 2, f"{name}: it was sent twice")
        check_noticed(name, fleet.plain, started, took)


def case_endless_bytes_once(fleet):
    """a request that must run at most once is answered as soon as its server sends bytes without end"""
    for name, behaviour in ENDLESS.items():
        forget(fleet)
        for server in fleet.plain:
            server.gone.clear()
        pf.restart_servers(fleet.plain)  # the kind before may have led to a backoff
        first_only(fleet.plain, behaviour)
        answer, started, took = call_timed(fleet.gateways[0], "/once/1", "POST", b"b")
        expected = 503 if "refusal" in name else 502
        check(answer.status == expected, f"{name}: status {answer.status}")
        check(arrivals(fleet.plain) == 1, f"{name}: it was sent once")
        check_noticed(name, fleet.plain, started, took)


# Guards against a stream that was held by bytes without end inside one event until the deadline.
def case_endless_event(fleet):
    """a stream is continued at another server when one server sends an event without end"""
    begun = b"%x\r\n%s\r\n"
    for name, first, piece, pause in (("at once", b"", CHUNK, 0.0), ("slowly", b"", b"1\r\nx\r\n", 0.05),
                                      ("after an event", b"id: 1\ndata: a\n\n", CHUNK, 0.0),
                                      ("after an event, slowly", b"id: 1\ndata: a\n\n", b"1\r\nx\r\n", 0.05),
                                      ("as a chunk extension", b"id: 1\ndata: a\n\n", b"5;x=" + FILL, 0.0)):
        forget(fleet)
        for server in fleet.engines:
            server.gone.clear()
        text = EVENTS + (begun % (len(first), first) if first else b"") + (b"5;x=" if piece[:1] == b"5" else b"")
        first_only(fleet.engines, endless(text, FILL if piece[:1] == b"5" else piece, pause))
        answer, started, took = call_timed(fleet.gateways[0], "/stream/1", "POST", b"p")
        check(answer.whole and event_ids(answer) == [1, 2, 3], f"{name}: events {event_ids(answer)}")
        check_noticed(name, fleet.engines, started, took)


# Guards against a time limit that has no effect on a stream whose events never pause.
def case_endless_stream(fleet):
    """a stream of events without end ends at the deadline of its request, and does not look complete"""
    for kind in (True, False):
        forget(fleet)
        use_routes(fleet, [pf.route("r-stream", "a.example", "/stream/", "streaming", "engines", resume_streams=kind,
                                    target_gap_ms=300)])
        for pause in (0.0, 0.02):
            def run(server, request, pause=pause):
                first = int(request.headers.get("Last-Event-Id", 0)) + 1
                try:
                    request.connection.sendall(head_lines(server, request, more=["Content-Type: text/event-stream"])
                                               + b"\r\n")
                    while True:
                        request.connection.sendall(events(server, range(first, first + 10)))
                        first += 10
                        time.sleep(pause)
                except OSError:
                    request.close_connection = True
            for server in fleet.engines:
                server.behaviours = [lambda request, server=server: run(server, request)] * 2
            answer, _, took = call_timed(fleet.gateways[0], "/stream/1", "POST", b"p")
            ids = event_ids(answer)
            check(ids and ids == list(range(1, len(ids) + 1)), "events are missing or repeated")
            check(not answer.whole, "the stream does not look complete")
            check(took < 4, f"it ended after {took:.2f} s")


# Guards against memory that grows with the number of endless responses: 16 MB each.
def case_memory_bound(fleet):
    """many responses without end at once are cut off before they fill the gateway's memory"""
    pf.restart_servers(fleet.plain)  # faults of earlier cases would let one request at a time through
    for server in fleet.plain:
        fleet.store.put("servers/" + server.id, {
            "service": server.pool, "address": server.address, "zone": "z1", "version": "v1",
            "slots": ENDLESS_RESPONSES, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": server.born})
        server.behaviours = [lambda request, server=server: endless(b"\r\n", FILL * 8)(server, request)
                             for _ in range(2 * ENDLESS_RESPONSES)]
    time.sleep(1)
    answers = []

    def send():
        try:
            answers.append(call(fleet.gateways[0], "/once/1", "POST", b"b").status)
        except OSError as error:
            answers.append(error)
    threads = [threading.Thread(target=send) for _ in range(ENDLESS_RESPONSES)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    peak = pf.peak_memory_kb(fleet.gateways[0].process)
    print(f"peak memory with {ENDLESS_RESPONSES} responses without end: {peak >> 10} MB")
    check(peak < MEMORY_LIMIT_KB, f"{peak >> 10} MB")
    check(set(answers) == {502}, f"the callers got {set(answers)}")
    forget(fleet)
    for server in fleet.plain:
        server.register()
    pf.wait_for(lambda: call(fleet.gateways[0], "/read/1").status == 200, "further requests are served")


# Guards against memory that a caller fills with a chunk extension or a trailer: the time limit of the body had no effect
# on bytes that never stop.
def case_endless_request(fleet):
    """a request with a chunk extension or a trailer without end is rejected"""
    for name, begin in (("a chunk extension", b"5;x="), ("a trailer", b"0\r\nX-More: ")):
        with socket.create_connection((fleet.gateways[0].ip, pf.CALLER_PORT), timeout=5) as caller:
            caller.sendall(b"POST /once/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: endless\r\n"
                           b"Authorization: Bearer key-1\r\n" + CHUNKED + begin)
            started = time.monotonic()
            try:
                while time.monotonic() - started < 5:
                    caller.send(FILL)
            except OSError:
                pass
            took = time.monotonic() - started
            check(took < NOTICE_LIMIT_S, f"{name}: the connection is closed after {took:.1f} s")
            peak = pf.peak_memory_kb(fleet.gateways[0].process)
            check(peak < MEMORY_LIMIT_KB, f"{name}: {peak >> 10} MB")
    check(not arrivals(fleet.plain), "no server got a request")


# Guards against a response without length that is reset and looks complete, or that is whole and counts as broken.
def case_without_length(fleet):
    """a response without length is complete at the end of its connection, and broken off after a reset"""
    for end, whole in ((lambda request: request.cut(), True), (reset, False)):
        for path, body in (("/once/1", b"b"), ("/read/1", None)):
            forget(fleet)

            def run(server, request, end=end):
                request.connection.sendall(head_lines(server, request) + b"\r\nthe body")
                time.sleep(0.1)
                end(request)
            for server in fleet.plain:
                server.behaviours = [lambda request, server=server: run(server, request)] * 2
            answer = call(fleet.gateways[0], path, "POST" if body else "GET", body)
            if whole:
                check(answer.status == 200 and answer.whole and answer.body == b"the body", f"got {answer.body!r}")
            else:
                check(answer.status == 502, f"status {answer.status} after a reset")
            check(arrivals(fleet.plain) == 1 or not (whole or body), f"{arrivals(fleet.plain)} sends")


# Guards against a stream without length that ends inside an event and looks complete.
def case_stream_without_length(fleet):
    """a stream without length is complete at the end of its connection, unless that is inside an event or a reset"""
    for kind, resumable in (("r-stream", True), ("r-single", False)):
        routes = [pf.route(kind, "a.example", "/stream/", "streaming", "engines", resume_streams=resumable,
                           target_gap_ms=300)]
        use_routes(fleet, routes)
        for name, tail, end, whole in (("ends", b"", lambda request: request.cut(), True),
                                       ("ends inside an event", b"id: 4\ndata", lambda request: request.cut(), False),
                                       ("ends before the empty line", b"id: 4\ndata: x\n",
                                        lambda request: request.cut(), False),
                                       ("is reset", b"", reset, False)):
            forget(fleet)

            def run(server, request, tail=tail, end=end):
                if "Last-Event-Id" in request.headers:
                    return server.stream(5)(request)
                request.connection.sendall(head_lines(server, request, more=["Content-Type: text/event-stream"])
                                           + b"\r\n" + events(server, [1, 2, 3]) + tail)
                time.sleep(0.2)
                return end(request)
            for server in fleet.engines:
                server.behaviours = [lambda request, server=server: run(server, request)] * 2
            answer = call(fleet.gateways[0], "/stream/1", "POST", b"p")
            expected = [1, 2, 3, 4, 5] if resumable and not whole else [1, 2, 3]
            check(event_ids(answer) == expected, f"{kind} {name}: events {event_ids(answer)}")
            check(answer.whole == (whole or resumable), f"{kind} {name}: looks {'whole' if answer.whole else 'broken'}")


# Guards against a head that breaks off and reaches the caller as a success with an empty or short body.
def case_head_broken_off(fleet):
    """a server that closes inside its head never makes a success, on a new and on a kept connection"""
    use_routes(fleet)
    for path, servers, more in (("/once/1", fleet.plain, []),
                                ("/stream/1", fleet.engines, ["Content-Type: text/event-stream"])):
        length = 500  # of the head; longer than it can be
        position = 0
        while position < length:
            kept = position % 2 == 1

            def run(server, request, position=position):
                nonlocal length
                head = head_lines(server, request, more=["Content-Length: 8", *more]) + b"\r\n"
                length = len(head)
                request.connection.sendall(head[:position])
                request.cut()
            forget(fleet)
            for server in servers:
                usual = server.plain if server.models is None else server.stream(3)
                cut = [lambda request, server=server: run(server, request)] * 3
                server.behaviours = ([usual] if kept else []) + cut
            if kept:
                for _ in servers:
                    call(fleet.gateways[0], path, "POST", b"b")
            for server in servers:
                server.behaviours = [lambda request, server=server: run(server, request)] * 3
            answer = call(fleet.gateways[0], path, "POST", b"b")
            check(answer.status in (502, 503), f"{path} cut after {position} bytes: {answer.status} {answer.body!r}")
            check(answer.status == 502, f"{path} cut after {position} bytes: told that it did not run")
            position += 1 if servers is fleet.plain else 5


CASES = [case_repeated_refusal, case_error_after_stream_began, case_continued_at_third_server, case_endless_bytes,
         case_endless_bytes_once, case_endless_event, case_endless_stream,
         case_memory_bound, case_endless_request, case_without_length, case_stream_without_length,
         case_head_broken_off]


if __name__ == "__main__":
    pf.run_cases([first_routes(case) for case in CASES])
