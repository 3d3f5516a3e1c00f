"""A request whose sound server pauses and goes on, while another server is asked and answers in some way."""
import http.client
import itertools
import os
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_fleet as pf  # noqa: E402  the path is set above
from platform_fleet import call, check, wait_for  # noqa: E402
from test_silent_servers import CALLER_TIMEOUT_S, EVENTS, event_ids, pausing_stream  # noqa: E402

ALL_EVENTS = list(range(1, EVENTS + 1))
SILENT_S = 1.7
DEADLINE = {"Deadline-Ms": "6000"}
# After this a gateway has read what its peer sent, and its peer what it sent.
READ_S = 0.5


def routes():
    return [pf.route("r-read", "a.example", "/read/", "idempotent", "plain", timeout_ms=6000),
            pf.route("r-once", "a.example", "/once/", "non_idempotent", "plain", timeout_ms=6000, max_attempts=1),
            pf.route("r-stream", "a.example", "/stream/", "streaming", "engines", resume_streams=True,
                     target_gap_ms=300, timeout_ms=8000)]


def shed_leaving(_):
    return lambda request: request.answer(503, b"", {"Not-Executed": "1", "Server-Leaving": "1"})


def other_weights(server):
    return lambda request: request.answer(421, b"", {"Not-Executed": "1", "Instance-Id": server.id})


def silent_then_closes(server):
    def run(request):
        time.sleep(SILENT_S)
        server.lose(request)
    return run


def write_events(server, request, first, last, is_first=True):
    """Events of a stream, after its head if they are the first ones."""
    if is_first:
        request.send_response(200)
        for name, value in {**server.headers(request), "Content-Type": "text/event-stream",
                            "Transfer-Encoding": "chunked"}.items():
            request.send_header(name, value)
        request.end_headers()
    for number in range(first, last + 1):
        text = f"id: {number}\ndata: {server.id}-{number}\n\n"
        request.wfile.write(f"{len(text):x}\r\n{text}\r\n".encode())


def one_event_then_closes(server):
    def run(request):
        number = int(request.headers.get("Last-Event-Id", 0)) + 1
        write_events(server, request, number, number)
        time.sleep(0.1)
        request.cut()
    return run


# How the other server ends the request.
ENDS = {"refuses": lambda server: server.shed, "refuses and leaves": shed_leaving, "has other weights": other_weights,
        "fails": lambda server: server.error, "closes": lambda server: server.lose,
        "is silent and closes": silent_then_closes, "sends one event and closes": one_event_then_closes,
        "answers without a signature": lambda server: server.unsigned}


def delayed_answer(server, pause):
    def run(request):
        time.sleep(pause)
        server.plain(request)
    return run


class FirstAndOther:
    """The first server that gets a request runs `first`, the other one `other`."""

    def __init__(self, servers, first, other):
        self.lock, self.arrivals = threading.Lock(), []  # ids of servers
        for server in servers:
            server.behaviours = [self.choose(server, first, other)] * 2

    def choose(self, server, first, other):
        def run(request):
            with self.lock:
                self.arrivals.append(server.id)
                chosen = first if len(self.arrivals) == 1 else other
            return chosen(server)(request)
        return run


def serve_anew(fleet, servers, path):
    """Restarts the servers, so that no gateway remembers what they did. The requests that show it earn retries."""
    for server in servers:
        server.born = int(time.time() * 1000)
        server.register()

    def both_serve():
        pf.forget(fleet)
        for server in servers:
            answer = delayed_answer(server, 0.1) if server in fleet.plain else server.stream(3, pause=0.05)
            server.behaviours = [answer] * 8
        callers = [threading.Thread(target=call, args=(fleet.gateways[0], path, "POST", b"p")) for _ in range(8)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        return all(len(server.seen) >= 3 for server in servers)
    wait_for(both_serve, "both servers get requests", timeout=15)
    pf.forget(fleet)


def ask_in_row(fleet, servers, path, first, other):
    """One request in a state without doubts; returns the answer and the ids of the servers that got it."""
    serve_anew(fleet, servers, path)
    order = FirstAndOther(servers, first, other)
    answer = call(fleet.gateways[0], path, "POST", b"p", headers=DEADLINE)
    return answer, order.arrivals


def check_table(fleet, servers, path, first, ends, is_right):
    """Checks all ends, and tells all that are wrong."""
    fleet.configure(routes=routes())
    time.sleep(READ_S)
    wrong = []
    for name in ends:
        answer, arrivals = ask_in_row(fleet, servers, path, first, ENDS[name])
        if len(set(arrivals)) != 2:
            wrong.append(f"{name}: it arrived at {arrivals}")
        elif not is_right(answer):
            wrong.append(f"{name}: status {answer.status}, whole {answer.whole}, events {event_ids(answer)}")
    check(not wrong, "; ".join(wrong))


def is_whole_stream(answer):
    return answer.status == 200 and answer.whole and event_ids(answer) == ALL_EVENTS


# Guards against a stream that is given up, while its sound server pauses, before another server has begun with it.
def case_other_server_refuses(fleet):
    """a stream whose server pauses is not cut when the server that was to take it over refuses"""
    check_table(fleet, fleet.engines, "/stream/1", lambda s: pausing_stream(s, 3, SILENT_S), list(ENDS), is_whole_stream)


# Guards against the same when the server goes on soon after the other one was asked.
def case_other_server_refuses_late(fleet):
    """a stream whose server pauses for little longer than the gateway waits is not cut, however the other server ends it"""
    check_table(fleet, fleet.engines, "/stream/1", lambda s: pausing_stream(s, 3, 1.2), list(ENDS), is_whole_stream)


# Guards against a failure in place of a stream that its server would begin.
def case_stream_not_begun(fleet):
    """a stream that has not begun keeps its server until another one has begun with it"""
    check_table(fleet, fleet.engines, "/stream/1", lambda s: pausing_stream(s, 0, SILENT_S), list(ENDS), is_whole_stream)


# Guards against a failure in place of an answer that its server would give.
def case_idempotent_request(fleet):
    """an idempotent request keeps its server until another one has answered it"""
    check_table(fleet, fleet.plain, "/read/1", lambda s: delayed_answer(s, 1.0),
                [name for name in ENDS if name != "sends one event and closes"], lambda answer: answer.status == 200)


# Guards against events of two runs in one stream when both go on in the same moment.
def case_both_go_on(fleet):
    """a stream has each event once, and changes its server once at most, when both servers go on together"""
    fleet.configure(routes=routes())
    time.sleep(READ_S)
    for pause in [1.0 + 0.02 * n for n in range(12)]:
        answer, arrivals = ask_in_row(fleet, fleet.engines, "/stream/1", lambda s, p=pause: pausing_stream(s, 3, p),
                                      lambda s: s.stream(EVENTS, pause=0.01))
        senders = [line[6:].rpartition("-")[0] for line in answer.body.decode().splitlines()
                   if line.startswith("data: ")]
        check(is_whole_stream(answer) and len(list(itertools.groupby(senders))) <= 2,
              f"pause {pause:.2f} s: whole {answer.whole}, events {event_ids(answer)} of {senders}, at {arrivals}")


def slow_stream(before, gap):
    """A stream that begins after `before` seconds, with a pause of `gap` after each event."""
    def make(server):
        def run(request):
            time.sleep(before)
            server.stream(EVENTS, pause=gap)(request)
        return run
    return make


def timed_events(fleet, first, other, limit):
    """Ids of the events that a caller gets until it leaves, `limit` seconds after its request, each with its time."""
    serve_anew(fleet, fleet.engines, "/stream/1")
    FirstAndOther(fleet.engines, first, other)
    connection = http.client.HTTPConnection(fleet.gateways[0].ip, pf.CALLER_PORT, timeout=limit)
    begun = time.monotonic()
    connection.request("POST", "/stream/1", b"p", {"Host": "a.example", "Attempt-Id": f"timed-{begun}", "Model": "m",
                                                   "Authorization": "Bearer key-1", "Token-Counts": "100,10", **DEADLINE})
    found = []
    try:
        response = connection.getresponse()
        while time.monotonic() < begun + limit:
            connection.sock.settimeout(begun + limit - time.monotonic())
            line = response.readline()
            if line.startswith(b"id: "):
                found.append((int(line[4:]), time.monotonic() - begun))
    except (OSError, ValueError, http.client.HTTPException):
        pass
    finally:
        connection.close()
    return found


# Guards against an event that is held for so long that its caller leaves without it.
def case_held_event(fleet):
    """a first event at the other server reaches the caller in time though the next one is slow"""
    fleet.configure(routes=routes())
    time.sleep(READ_S)
    for before, gap in ((0.1, 1.5), (1.0, 0.4)):  # the other server is asked after 1.2 s
        found = timed_events(fleet, lambda s: s.hang, slow_stream(before, gap), CALLER_TIMEOUT_S)
        check(found and found[0][0] == 1, f"begun {before} s after it was asked, gap {gap} s: {found}")


# Guards against an event that is held although no other server can answer any more.
def case_last_candidate(fleet):
    """a first event at the other server is forwarded at once when the silent server closes"""
    fleet.configure(routes=routes())
    time.sleep(READ_S)
    found = timed_events(fleet, silent_then_closes, slow_stream(SILENT_S - 1.2 - 0.15, 1.5), CALLER_TIMEOUT_S)
    check(found and found[0][1] < SILENT_S + 0.1, f"events {found}")


# Guards against a stream without an answer because the second of two silent servers has its own time limit.
def case_both_silent(fleet):
    """a stream that neither of two servers begins is answered before its caller leaves"""
    fleet.configure(routes=routes())
    time.sleep(READ_S)
    serve_anew(fleet, fleet.engines, "/stream/1")
    order = FirstAndOther(fleet.engines, lambda s: s.hang, lambda s: s.hang)
    begun = time.monotonic()
    answer = call(fleet.gateways[0], "/stream/1", "POST", b"p", headers=DEADLINE)
    took = time.monotonic() - begun
    check(answer.status == 502 and took < CALLER_TIMEOUT_S and len(order.arrivals) == 2,
          f"status {answer.status} after {took:.2f} s, at {order.arrivals}")


def rejection(status):
    return lambda server: lambda request: request.answer(status, b"no", {"Attempt-Id": request.headers["Attempt-Id"]})


# Guards against a rejection by one server that ends a request which its own server would serve.
def case_other_server_rejects(fleet):
    """an idempotent request is served by its own server when the other one rejects it, and rejected when both do"""
    fleet.configure(routes=routes())
    time.sleep(READ_S)
    for status in (400, 404):
        answer, arrivals = ask_in_row(fleet, fleet.plain, "/read/1", lambda s: delayed_answer(s, 1.0), rejection(status))
        check(answer.status == 200 and len(arrivals) == 2, f"status {answer.status} instead of 200, at {arrivals}")
    answer, arrivals = ask_in_row(fleet, fleet.plain, "/read/1", silent_then_closes, rejection(404))
    check(answer.status == 404 and len(arrivals) == 2, f"status {answer.status} instead of 404, at {arrivals}")


# Guards against an attempt that begins after the caller of a silent request has left.
def case_caller_leaves_at_timeout(fleet):
    """no further server gets a request whose caller left in the moment in which its server counts as silent"""
    fleet.configure(routes=routes())
    time.sleep(READ_S)
    gateway = fleet.gateways[0]
    for number in range(6):
        serve_anew(fleet, fleet.plain, "/read/1")
        for server in fleet.plain:
            server.gone.clear()
        order = FirstAndOther(fleet.plain, lambda s: s.hang, lambda s: s.hang)
        connection = http.client.HTTPConnection(gateway.ip, pf.CALLER_PORT)
        begun = time.monotonic()
        connection.request("POST", "/read/1", b"p", {"Host": "a.example", "Attempt-Id": f"at-timeout-{number}",
                                                     "Authorization": "Bearer key-1", **DEADLINE})
        time.sleep(max(0, begun + 0.575 - time.monotonic()))
        gateway.process.send_signal(signal.SIGSTOP)  # so that the close and the timeout are handled together
        connection.sock.shutdown(socket.SHUT_RDWR)
        connection.close()
        time.sleep(0.06)
        gateway.process.send_signal(signal.SIGCONT)
        time.sleep(READ_S)
        ended = sum(len(server.gone) for server in fleet.plain)
        check(ended == len(order.arrivals), f"trial {number}: {ended} of {len(order.arrivals)} servers heard of it")


# Guards against work that goes on at one of two servers after the caller has left.
def case_caller_leaves(fleet):
    """both servers of a request hear that its caller has left"""
    fleet.configure(routes=routes())
    time.sleep(READ_S)
    for path, servers in (("/stream/1", fleet.engines), ("/read/1", fleet.plain)):
        serve_anew(fleet, servers, path)
        for server in servers:
            server.gone.clear()
        order = FirstAndOther(servers, lambda s: s.hang, lambda s: s.hang)
        connection = http.client.HTTPConnection(fleet.gateways[0].ip, pf.CALLER_PORT)
        connection.request("POST", path, b"p", {"Host": "a.example", "Attempt-Id": f"left{path}", "Model": "m",
                                                "Authorization": "Bearer key-1", "Token-Counts": "100,10", **DEADLINE})
        wait_for(lambda o=order: len(o.arrivals) == 2, f"{path} arrives at both servers", timeout=3)
        left_at = time.monotonic()
        connection.sock.shutdown(socket.SHUT_RDWR)
        connection.close()
        wait_for(lambda s=servers: all(server.gone for server in s), f"both servers of {path} hear of it", timeout=3)
        took = max(server.gone[0] for server in servers) - left_at
        check(took < READ_S, f"{path}: it took {took:.2f} s")


# Guards against a third server that is asked, or a second one that no budget allows.
def case_attempts_are_bounded(fleet):
    """a silent request is sent to no more servers than its route allows, and one that may run once to one only"""
    fleet.configure(routes=routes())
    time.sleep(READ_S)
    answer, arrivals = ask_in_row(fleet, fleet.plain, "/read/1", lambda s: delayed_answer(s, 2.0),
                                  lambda s: delayed_answer(s, 2.5))
    check(answer.status == 200 and len(arrivals) == 2, f"idempotent: status {answer.status}, at {arrivals}")
    answer, arrivals = ask_in_row(fleet, fleet.plain, "/once/1", lambda s: delayed_answer(s, 2.0), lambda s: s.plain)
    check(answer.status == 200 and len(arrivals) == 1, f"at most once: status {answer.status}, at {arrivals}")


# Guards against a request with two servers that a planned stop leaves without an answer.
def case_planned_stop(fleet):
    """a request that two servers have is answered before a planned stop of its gateway ends"""
    fleet.configure(routes=routes())
    time.sleep(READ_S)
    serve_anew(fleet, fleet.plain, "/read/1")
    order = FirstAndOther(fleet.plain, lambda s: s.hang, lambda s: s.hang)
    gateway, answers = fleet.gateways[0], []
    caller = threading.Thread(target=lambda: answers.append(
        call(gateway, "/read/1", "POST", b"p", headers={"Deadline-Ms": "9000"})))
    caller.start()
    wait_for(lambda: len(order.arrivals) == 2, "it arrives at both servers", timeout=3)
    gateway.process.send_signal(signal.SIGTERM)
    caller.join()
    check(answers and answers[0].status in (502, 504), f"answers {[a.status for a in answers]}")


# Guards against a whole stream that ends as broken off, because the check whether the other server has crashed outlasts it.
def case_completes_during_check(fleet):
    """a stream that completes while the end of the other server is looked into is whole"""
    fleet.configure(routes=routes())
    time.sleep(READ_S)
    for number in range(3):
        body = f"suspect-{number}".encode()
        serve_anew(fleet, fleet.engines, "/stream/1")
        # A lost request whose server starts again is looked into for longer.
        for server in fleet.engines:
            server.behaviours = [server.lose]
        call(fleet.gateways[0], "/stream/1", "POST", body, headers=DEADLINE)
        time.sleep(0.2)  # until the gateway knows that the servers run
        pf.restart_servers(fleet.engines)
        pf.forget(fleet)
        ends = threading.Event()

        def goes_on(server, ends=ends):
            def run(request):
                write_events(server, request, 1, 3)
                time.sleep(1.25)
                ends.set()
                time.sleep(0.06)
                write_events(server, request, 4, EVENTS, is_first=False)
                request.wfile.write(b"0\r\n\r\n")
            return run

        def breaks_off(server, ends=ends):
            def run(request):
                ends.wait(3)
                write_events(server, request, 4, 4)
                time.sleep(0.03)
                request.cut()
            return run
        order = FirstAndOther(fleet.engines, goes_on, breaks_off)
        answer = call(fleet.gateways[0], "/stream/1", "POST", body, headers=DEADLINE)
        check(len(set(order.arrivals)) == 2, f"it arrived at {order.arrivals}")
        check(answer.status == 200 and answer.whole, f"status {answer.status}, whole {answer.whole}")


CASES = [case_other_server_refuses, case_other_server_refuses_late, case_stream_not_begun, case_idempotent_request,
         case_both_go_on, case_both_silent, case_held_event, case_last_candidate, case_other_server_rejects, case_caller_leaves,
         case_caller_leaves_at_timeout, case_attempts_are_bounded, case_completes_during_check,
         case_planned_stop]

if __name__ == "__main__":
    pf.run_cases(CASES)
