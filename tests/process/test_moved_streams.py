"""Streams in progress at a server that is about to load a version, while another server can take them or cannot."""
import http.client
import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_fleet as pf  # noqa: E402  the path is set above
from platform_fleet import check, wait_for  # noqa: E402
from test_silent_takeover import ENDS  # noqa: E402
from test_staged_pieces import declare, start_stagers, wait_loaded  # noqa: E402

EVENTS, PAUSE_S = 40, 0.1
STREAM_S = EVENTS * PAUSE_S
# Longest pause between events for which a stream of the route is on time.
GAP_S = 0.3
# Callers of the route abandon a stream after 2.4 s without an event.
LONGEST_PAUSE_S = 1.2
# For the delays of the processes of the test.
SLACK_S = 0.4
SLOTS = 4


class Caller:
    """Sends a stream request and records its events with their times."""

    def __init__(self, gateway, name):
        self.events, self.whole, self.status = [], False, None
        self.connection = http.client.HTTPConnection(gateway.ip, pf.CALLER_PORT, timeout=10)
        self.thread = threading.Thread(target=self.run, args=(name,), daemon=True)
        self.thread.start()

    def run(self, name):
        self.connection.request("POST", "/stream/1", b"p", {
            "Host": "a.example", "Attempt-Id": f"moved-{name}", "Model": "m", "Authorization": "Bearer key-1",
            "Token-Counts": "100,10", "Deadline-Ms": "8000"})
        try:
            response = self.connection.getresponse()
            self.status = response.status
            while line := response.readline():
                if line.startswith(b"id: "):
                    self.events.append((int(line[4:]), time.monotonic()))
                if line.startswith(b"data: "):
                    self.last_server = line[6:].decode().rpartition("-")[0]
            # A body that breaks off ends like a whole one when it is read line by line.
            self.whole = [number for number, _ in self.events] == list(range(1, EVENTS + 1))
        except (OSError, ValueError, http.client.HTTPException):
            pass

    def leave(self):
        self.connection.sock.shutdown(socket.SHUT_RDWR)
        self.connection.close()

    def longest_pause(self):
        times = [at for _, at in self.events]
        return max((after - before for before, after in zip(times, times[1:])), default=0)


def when_resumed(server, resumed):
    """A slow stream; one that began at another server runs `resumed`."""
    def run(request):
        chosen = resumed if "Last-Event-Id" in request.headers else server.stream(EVENTS, pause=PAUSE_S)
        return chosen(request)
    return run


def stream_at_each(fleet, resumed):
    """Begins one stream at each engine; returns the callers."""
    fleet.configure(routes=[pf.route("r-stream", "a.example", "/stream/", "streaming", "engines", resume_streams=True,
                                     target_gap_ms=int(GAP_S * 1000), timeout_ms=8000)])
    start_stagers(fleet)
    wait_loaded(fleet, getattr(fleet, "weights", 1))
    pf.restart_servers(fleet.engines)
    pf.forget(fleet)
    for engine in fleet.engines:
        engine.gone.clear()
        engine.behaviours = [when_resumed(engine, resumed(engine))] * 8
    callers = []
    for number in range(len(fleet.engines)):
        callers.append(Caller(fleet.gateways[0], f"{time.monotonic()}-{number}"))
        wait_for(lambda n=number: sum(len(e.active) for e in fleet.engines) > n, "the stream begins")
    check(all(len(e.active) == 1 for e in fleet.engines), "each engine has a stream")
    return callers


def finish(fleet, callers, version):
    """Waits until the callers have their streams and the engines the version; returns the engine that loaded first."""
    for caller in callers:
        caller.thread.join()
    wait_loaded(fleet, version, timeout=STREAM_S + 6)
    return min(fleet.engines, key=lambda engine: engine.orders[0][0])


# Guards against a stream that a load ends before another server has begun with it: the other one refuses or fails.
def case_other_server_refuses(fleet):
    """no stream is cut by a load of its server, however the server that was to take it over ends it"""
    wrong = []
    for name, end in ENDS.items():
        callers = stream_at_each(fleet, end)
        finish(fleet, callers, declare(fleet))
        wrong += [f"{name}: status {c.status}, {len(c.events)} events" for c in callers if not c.whole]
        wrong += [f"{name}: {c.longest_pause():.2f} s without an event" for c in callers
                  if c.longest_pause() > LONGEST_PAUSE_S]
        if not any("Last-Event-Id" in headers for e in fleet.engines for _, _, headers, _ in e.seen):
            wrong.append(f"{name}: no stream was to move")
    check(not wrong, "; ".join(wrong))


# Guards against a load that waits for the longest stream although another server has room for it.
def case_other_server_has_room(fleet):
    """a stream moves to a server with room, whole and in order, and its first server loads soon"""
    callers = stream_at_each(fleet, lambda engine: engine.stream(EVENTS, pause=PAUSE_S))
    version = declare(fleet)
    first = wait_for(lambda: [e for e in fleet.engines if e.models == {"m": version}], "the first engine loads",
                     timeout=STREAM_S)[0]
    check(all(c.thread.is_alive() for c in callers), "it did not wait for the streams to end")
    finish(fleet, callers, version)
    check(all(c.whole for c in callers), f"events {[len(c.events) for c in callers]}")
    check(all(c.last_server != first.id for c in callers), f"the streams ended at {[c.last_server for c in callers]}")


# Guards against streams that a load ends while the other server is full, and that find no place within a second.
def case_other_server_full(fleet):
    """a stream stays at a server that is about to load while the other one is full, and moves when that one has room"""
    for full_s in (STREAM_S + 2, 0.3):
        callers = stream_at_each(fleet, lambda engine: engine.stream(EVENTS, pause=PAUSE_S))
        for engine in fleet.engines:
            engine.running = SLOTS + 1
        time.sleep(0.5)  # until the gateways know of it
        version = declare(fleet)
        wait_for(lambda: any(e.orders for e in fleet.engines), "the first order")
        ends_at = time.monotonic() + full_s
        while time.monotonic() < ends_at and any(c.thread.is_alive() for c in callers):
            time.sleep(0.02)
        for engine in fleet.engines:
            engine.running = 0
        finish(fleet, callers, version)
        moved = [e.id for e in fleet.engines for _, _, headers, _ in e.seen if "Last-Event-Id" in headers]
        check(all(c.whole for c in callers), f"full for {full_s} s: events {[len(c.events) for c in callers]}")
        check(bool(moved) == (full_s < STREAM_S), f"full for {full_s} s: streams moved to {moved}")


# Guards against a caller that waits for a server which is slow to begin, while its first server could go on.
def case_other_server_is_slow(fleet):
    """a stream goes on at its server, long before its caller would leave, when the other one is slow to begin"""
    def begin_late(engine):
        def run(request):
            time.sleep(1.5)
            engine.stream(EVENTS, pause=PAUSE_S)(request)
        return run
    callers = stream_at_each(fleet, begin_late)
    finish(fleet, callers, declare(fleet))
    check(all(c.whole for c in callers), f"events {[len(c.events) for c in callers]}")
    pauses = [c.longest_pause() for c in callers]
    check(max(pauses) < LONGEST_PAUSE_S, f"longest pauses {pauses}")


# Guards against work that goes on at one of two servers after the caller has left.
def case_caller_leaves(fleet):
    """both servers of a stream that moves hear that its caller has left"""
    callers = stream_at_each(fleet, lambda engine: engine.hang)
    version = declare(fleet)
    asked = lambda: [e for e in fleet.engines if any("Last-Event-Id" in headers for _, _, headers, _ in e.seen)]
    wait_for(asked, "a stream is to move")
    for caller in callers:
        caller.leave()
    wait_for(lambda: not any(e.active for e in fleet.engines), "no server works for them", timeout=0.5 + SLACK_S)
    finish(fleet, callers, version)


CASES = [case_other_server_has_room, case_other_server_refuses, case_other_server_full, case_other_server_is_slow,
         case_caller_leaves]

if __name__ == "__main__":
    pf.run_cases(CASES)
