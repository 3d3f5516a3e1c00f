"""Servers that are sound, fall silent for a second or so and go on."""
import json
import os
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_fleet as pf  # noqa: E402  the path is set above
from platform_fleet import call, check, wait_for  # noqa: E402

EVENTS = 8
# Callers of these routes abandon a stream after 2.4 s without an event: eight times its gap.
CALLER_TIMEOUT_S = 2.4
PAUSE_S = 1.7  # of a sound server, "a second or so"


def pausing_stream(server, pause_after, pause):
    """A stream of EVENTS events with one pause after `pause_after` of them; 0 pauses before the head."""
    def run(request):
        head = server.headers(request)
        if pause_after == 0:
            time.sleep(pause)
        request.send_response(200)
        for name, value in {**head, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}.items():
            request.send_header(name, value)
        request.end_headers()
        for number in range(int(request.headers.get("Last-Event-Id", 0)) + 1, EVENTS + 1):
            text = f"id: {number}\ndata: {server.id}-{number}\n\n"
            request.wfile.write(f"{len(text):x}\r\n{text}\r\n".encode())
            if number == pause_after:
                time.sleep(pause)
        request.wfile.write(b"0\r\n\r\n")
    return run


def event_ids(answer):
    return [int(line[4:]) for line in answer.body.decode(errors="replace").splitlines() if line.startswith("id: ")]


class OnlyServer:
    """Leaves one server of a pool in use; the others are drained meanwhile."""

    def __init__(self, servers):
        self.server, self.others = servers[0], servers[1:]

    def __enter__(self):
        for other in self.others:
            other.register("draining")
        time.sleep(0.8)  # until the gateways have applied the change
        return self.server

    def __exit__(self, *_):
        for other in self.others:
            other.register()
        time.sleep(0.8)


def call_while(fleet, change, *args):
    """Sends one request and makes a change 0.3 s later; returns the answer."""
    answers = []
    caller = threading.Thread(target=lambda: answers.append(call(*args)))
    caller.start()
    time.sleep(0.3)
    change(fleet)
    caller.join()
    return answers[0]


def no_change(_):
    pass


# Guards against a stream that is cut while its server pauses although no other server can continue it.
def case_stream_pauses(fleet):
    """a stream whose server pauses is not cut when no other server can continue it"""
    for change in (no_change, lambda f: f.configure()):
        pf.forget(fleet)
        with OnlyServer(fleet.engines) as server:
            server.behaviours = [pausing_stream(server, 3, PAUSE_S)]
            answer = call_while(fleet, change, fleet.gateways[0], "/stream/1", "POST", b"p")
        check(answer.whole and event_ids(answer) == list(range(1, EVENTS + 1)),
              f"whole: {answer.whole}, events {event_ids(answer)}")


# Guards against a stream that is cut long before its caller would leave, on routes with the shortest time of callers.
def case_short_gaps(fleet):
    """a stream of a route with short gaps is not cut when its only server pauses"""
    fleet.configure(routes=[pf.route("r-stream", "a.example", "/stream/", "streaming", "engines", resume_streams=True,
                                     target_gap_ms=47, timeout_ms=6000)])
    time.sleep(0.5)
    for pause_after in (0, 3):
        with OnlyServer(fleet.engines) as server:
            server.behaviours = [pausing_stream(server, pause_after, PAUSE_S)]
            answer = call(fleet.gateways[0], "/stream/1", "POST", b"p")
        check(answer.status == 200 and answer.whole and event_ids(answer) == list(range(1, EVENTS + 1)),
              f"pause after {pause_after}: status {answer.status}, events {event_ids(answer)}")
    fleet.configure()
    time.sleep(0.5)


# Guards against a request that ends with a failure while its server pauses although no other server can take it.
def case_first_byte_pauses(fleet):
    """a request whose server pauses before its response is not given up when no other server can take it"""
    with OnlyServer(fleet.engines) as server:
        server.behaviours = [pausing_stream(server, 0, PAUSE_S)]
        answer = call(fleet.gateways[0], "/stream/1", "POST", b"p")
    check(answer.status == 200 and answer.whole and event_ids(answer) == list(range(1, EVENTS + 1)),
          f"stream: status {answer.status}, events {event_ids(answer)}")
    with OnlyServer(fleet.plain) as server:
        server.behaviours = [server.slow]
        answer = call(fleet.gateways[0], "/read/1")
    check(answer.status == 200, f"response: status {answer.status} {answer.body!r}")


# Guards against waiting at a silent server while another one could serve.
def case_other_server_takes_over(fleet):
    """a stream continues at another server when its own is silent for long"""
    for server in fleet.engines:
        server.behaviours = [pausing_stream(server, 3, 2.5)]
    started = time.monotonic()
    answer = call(fleet.gateways[0], "/stream/1", "POST", b"p")
    took = time.monotonic() - started
    check(answer.whole and event_ids(answer) == list(range(1, EVENTS + 1)), f"events {event_ids(answer)}")
    check(took < 2, f"it took {took:.2f} s")
    logged = lambda: any(line["event"] == "send_failed" and line["detail"] == "timed out"
                         for line in map(json.loads, fleet.gateways[0].log_text().splitlines()))
    wait_for(logged, "the attempt that was given up is logged", timeout=3)


def pause_beside_busy_server(fleet, busy, pausing):
    """Streams that pause at one server while the other one runs `busy` long streams; returns their answers."""
    fleet.configure(routes=[pf.route("r-stream", "a.example", "/stream/", "streaming", "engines", resume_streams=True,
                                     target_gap_ms=300, timeout_ms=10000)])
    paused, other = fleet.engines
    for servers in ([paused, other], [other, paused]):
        with OnlyServer(servers):  # a success ends the doubts that earlier cases left
            wait_for(lambda: call(fleet.gateways[0], "/stream/1", "POST", b"p").status == 200, "it serves", timeout=6)
    usual = paused.headers
    paused.headers = lambda request: {**usual(request), "Server-Load": "0,0,4"}
    other.headers = lambda request: {**usual(request), "Response-Signature": "sig." + other.id,
                                     "Server-Load": f"{busy},0,4"}
    long_answers, answers, threads = [], [], []

    def start(count, path, target):
        for _ in range(count):
            threads.append(threading.Thread(target=lambda: target.append(
                call(fleet.gateways[0], path, "POST", b"p", headers={"Deadline-Ms": "9000"}))))
            threads[-1].start()
    try:
        with OnlyServer([other, paused]):
            other.behaviours = [other.stream(70, pause=0.1)] * busy + [other.stream(EVENTS, pause=0.5)] * pausing
            start(busy, "/stream/long", long_answers)
            time.sleep(0.3)
        with OnlyServer([paused, other]):
            paused.behaviours = [pausing_stream(paused, 3, PAUSE_S)] * pausing
            start(pausing, "/stream/1", answers)
            time.sleep(0.2)
        for thread in threads:
            thread.join()
    finally:
        del paused.headers, other.headers
    check(all(answer.whole for answer in long_answers), "the long streams are whole")
    return answers


# Guards against a stream that is given up for a server which, for a request that is late, has no place.
def case_other_server_nearly_full(fleet):
    """a stream whose server pauses is not cut when the other server takes no late requests"""
    answers = pause_beside_busy_server(fleet, 3, 1)
    check(all(answer.whole and event_ids(answer) == list(range(1, EVENTS + 1)) for answer in answers),
          f"events {[event_ids(answer) for answer in answers]}")


# Guards against several streams that are given up at once for the same place at another server.
def case_one_place_for_many(fleet):
    """no stream is cut when the server of several pauses and the other server has a place for one"""
    answers = pause_beside_busy_server(fleet, 2, 3)
    check(all(answer.whole and event_ids(answer) == list(range(1, EVENTS + 1)) for answer in answers),
          f"events {[event_ids(answer) for answer in answers]}")


# Guards against work that goes on for nobody: a server that stands still does not hear that its caller left.
def case_given_up_before_caller_leaves(fleet):
    """a stream whose server stays silent ends before its caller would abandon it, and has an answer if it has not begun"""
    for pause_after in (0, 3):
        with OnlyServer(fleet.engines) as server:
            server.behaviours = [pausing_stream(server, pause_after, 5)]
            started = time.monotonic()
            answer = call(fleet.gateways[0], "/stream/1", "POST", b"p", headers={"Deadline-Ms": "6000"})
            took = time.monotonic() - started
        check(PAUSE_S < took < CALLER_TIMEOUT_S, f"it took {took:.2f} s")
        check(answer.status == 502 if pause_after == 0 else not answer.whole,
              f"status {answer.status}, whole: {answer.whole}")


CASES = [case_stream_pauses, case_short_gaps, case_first_byte_pauses, case_other_server_takes_over, case_one_place_for_many,
         case_other_server_nearly_full, case_given_up_before_caller_leaves]

if __name__ == "__main__":
    pf.run_cases(CASES)
