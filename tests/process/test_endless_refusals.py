"""Two of six servers send answers without end, while the other four have room for all requests."""
import collections
import os
import sys
import threading

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_fleet as pf  # noqa: E402  the path is set above
from platform_fleet import call, check, forget, wait_for  # noqa: E402
from test_server_faults import head_lines, write_until_closed  # noqa: E402

SERVERS = 6
CALLERS, REQUESTS = 40, 3
# Of CALLERS * REQUESTS. One request may meet both faulty servers before the gateway knows of either.
REQUIRED = 118
BLOCK = b"x" * 65536


def endless(server, status, *more, signed=False, request_id=None, piece=BLOCK, pause=0.0):
    """A behaviour: a head, and a body without length that goes on until the peer closes."""
    def run(request):
        request.connection.sendall(head_lines(server, request, status, signed, request_id, more) + b"\r\n")
        write_until_closed(request, piece, pause)
    return run


def run_callers(gateway):
    """Returns how often each status came, with whole and broken answers apart."""
    counts, lock = collections.Counter(), threading.Lock()

    def run():
        for _ in range(REQUESTS):
            try:
                answer = call(gateway, "/read/1", timeout=8)
                result = answer.status if answer.whole else "broken"
            except OSError as error:
                result = type(error).__name__
            with lock:
                counts[result] += 1
    threads = [threading.Thread(target=run) for _ in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return counts


def served(fleet, name, behaviour):
    """Lets the first two servers behave so, and returns how many requests are served."""
    forget(fleet)
    for server in fleet.plain[:2]:
        server.behaviours = [behaviour(server)] * (CALLERS * REQUESTS * 2)
    counts = run_callers(fleet.gateways[0])
    asked = [len(server.seen) for server in fleet.plain]
    print(f"{name}: {counts[200]} of {CALLERS * REQUESTS} served, {dict(counts)}, requests at servers {asked}",
          flush=True)
    return counts[200]


def check_served(fleet, name, behaviour):
    pf.restart_servers(fleet.plain)
    found = served(fleet, name, behaviour)
    check(found >= REQUIRED, f"{name}: {found} served")


# Guards against a server that refuses with a body without end and draws request after request, because it looks idle
# and sound: two such refusals use up the sends of a request, and its caller gets 503 although other servers have room.
def case_endless_refusals(fleet):
    """a server whose refusals have no end does not draw the next request"""
    check_served(fleet, "refusals", lambda s: endless(s, "503 Service Unavailable", "Not-Executed: 1"))


def case_slow_refusals(fleet):
    """a server whose refusals go on byte by byte does not draw the next request"""
    check_served(fleet, "slow refusals",
                 lambda s: endless(s, "503 Service Unavailable", "Not-Executed: 1", piece=b"x", pause=0.01))


# Guard against the same for other answers without end, of which two end a request too.
def case_misdirected(fleet):
    """a server that refuses as the wrong one, without end, does not draw the next request"""
    check_served(fleet, "421", lambda s: endless(s, "421 Misdirected Request"))


def case_endless_errors(fleet):
    """a server whose error answers have no end does not draw the next request"""
    check_served(fleet, "errors", lambda s: endless(s, "500 Internal Server Error"))


def case_endless_stale(fleet):
    """a server that sends a late response without end does not draw the next request"""
    check_served(fleet, "late responses", lambda s: endless(s, "200 OK", signed=True, request_id="earlier"))


# Guards against a bound that takes sound refusals for endless ones: the connection is kept, and the server asked again.
def case_sound_refusals(fleet):
    """a refusal whose body ends keeps its connection and leaves the server in use"""
    peers = collections.Counter()

    def refuse(server):
        def run(request):
            peers[request.client_address] += 1
            request.answer(503, b"x" * 20000, {"Not-Executed": "1", "Attempt-Id": request.headers["Attempt-Id"],
                                               "Keep-Alive": "timeout=5"})
        return run
    forget(fleet)
    for server in fleet.plain:
        server.behaviours = [refuse(server)] * 100
    for _ in range(30):
        check(call(fleet.gateways[0], "/read/1").status == 503, "all servers refuse")
    print(f"sound refusals: {sum(peers.values())} on {len(peers)} connections", flush=True)
    check(sum(peers.values()) == 60, "each request was sent twice")
    check(len(peers) < 60, "connections were used again")


def with_six(case):
    """Runs a case with SERVERS servers in the pool."""
    def run(fleet):
        more = [pf.Backend(fleet.store, f"i-plain-{n}", 10 + n, "plain") for n in range(len(fleet.plain), SERVERS)]
        fleet.plain += more  # the fleet closes them
        wait_for(lambda: all(f'"{s.id}"' in fleet.gateways[0].log_text() for s in more), "the servers are known")
        case(fleet)
    run.__doc__ = case.__doc__
    return run


if __name__ == "__main__":
    pf.run_cases([with_six(case) for case in (case_sound_refusals, case_endless_refusals, case_slow_refusals,
                                              case_misdirected, case_endless_errors, case_endless_stale)])
