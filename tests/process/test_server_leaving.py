"""Servers that say in their answers that they leave, or for how long they want no requests."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_fleet as pf  # noqa: E402  the path is set above
from platform_fleet import call, check, forget, wait_for  # noqa: E402

LEAVING = {"Server-Leaving": "1"}
# Time after which a change of the store is known to the gateways.
STORE_S = 1


def restart(fleet, servers, new_id=False):
    """Lets the records say that the servers started again, which ends what they said before if their ids are new."""
    for server in servers:
        server.born += 5000
        if new_id:
            fleet.store.remove("servers/" + server.id)
            server.id += "x"
        server.register()
    time.sleep(STORE_S)


def with_headers(server, status, headers, signed=True):
    """Answers with a status and headers, with the server's signature or as a request that was not run."""
    def run(request):
        own = server.headers(request) if signed else {"Attempt-Id": request.headers["Attempt-Id"], "Not-Executed": "1"}
        request.answer(status, b"answer of " + server.id.encode(), {**own, **headers})
    return run


def refuse(server, seconds):
    return with_headers(server, 503, {"Retry-After": str(seconds)}, signed=False)


def cut_after_head(server):
    def run(request):
        request.send_response(200)
        for name, value in {**server.headers(request), **LEAVING, "Content-Length": "100"}.items():
            request.send_header(name, value)
        request.end_headers()
        request.cut()
    return run


def late_answer(server):
    """Sends a late answer to an earlier request, which says that the server leaves, before the answer."""
    def run(request):
        request.wfile.write(b"HTTP/1.1 200 OK\r\nAttempt-Id: earlier\r\nServer-Leaving: 1\r\n"
                            b"Response-Signature: s\r\nContent-Length: 4\r\n\r\nlate")
        server.plain(request)
    return run


def send_until_reached(gateway, server, path="/read/1", method="GET"):
    """Sends requests until one has used up the behaviours of a server."""
    for _ in range(40):
        answer = call(gateway, path, method)
        if not server.behaviours:
            return answer
    check(False, "no request reached the server")
    return None


def send_together(gateway, count, path="/read/1", method="GET"):
    """Starts several requests, so that servers with requests in progress get some too; returns threads and answers."""
    answers = []
    threads = [threading.Thread(target=lambda: answers.append(call(gateway, path, method))) for _ in range(count)]
    for thread in threads:
        thread.start()
        time.sleep(0.02)
    return threads, answers


def check_avoided(gateway, server, others, path="/read/1", method="GET"):
    server.seen.clear()
    for other in others:
        other.seen.clear()
    for _ in range(10):
        check(call(gateway, path, method).status == 200, "another server answers")
    check(not server.seen, f"{len(server.seen)} of 10 requests reached the server")
    check(sum(len(other.seen) for other in others) == 10, "the others got them")


# Guards against requests to a server whose answer said that it leaves, while its record still says ready.
def case_leaving(fleet):
    """a server that says in an answer that it leaves gets no request until it has started again"""
    restart(fleet, fleet.plain + fleet.engines, new_id=True)
    gateway, leaver, other = fleet.gateways[0], *fleet.plain
    leaver.behaviours = [with_headers(leaver, 200, LEAVING)]
    answer = send_until_reached(gateway, leaver)
    check(answer.status == 200 and answer.body == b"answer of " + leaver.id.encode(), "the answer is forwarded")
    check("Server-Leaving" not in answer.headers, "the caller is not told")
    check_avoided(gateway, leaver, [other])
    leaver.register()
    time.sleep(STORE_S)
    check_avoided(gateway, leaver, [other])
    fleet.store.remove("servers/" + leaver.id)
    time.sleep(STORE_S)
    leaver.register()
    time.sleep(STORE_S)
    check_avoided(gateway, leaver, [other])
    said = [line for line in gateway.log_text().splitlines() if '"server_leaving"' in line]
    check(len(said) == 1, f"it is logged once, got {said}")
    restart(fleet, [leaver])
    send_until_reached(gateway, leaver)
    wait_for(lambda: call(gateway, "/read/1").status == 200 and leaver.seen, "it gets requests after its restart")


# Guards against a header that is read only in complete, successful answers to the request in progress.
def case_leaving_in_any_answer(fleet):
    """errors, refusals, late answers and answers that break off also say that a server leaves"""
    restart(fleet, fleet.plain + fleet.engines, new_id=True)
    gateway, leaver, other = fleet.gateways[0], *fleet.plain
    for behaviour in (with_headers(leaver, 500, LEAVING), with_headers(leaver, 503, LEAVING, signed=False),
                      cut_after_head(leaver), late_answer(leaver)):
        leaver.behaviours = [behaviour]
        check(send_until_reached(gateway, leaver).status == 200, "the request is answered")
        check_avoided(gateway, leaver, [other])
        restart(fleet, [leaver])


# Guards against a header of a stream that takes effect only at the end of the stream.
def case_leaving_stream(fleet):
    """a stream whose head says that its server leaves runs to its end, and no other request follows it"""
    restart(fleet, fleet.plain + fleet.engines, new_id=True)
    gateway, leaver, other = fleet.gateways[0], *fleet.engines
    usual = leaver.headers
    long_stream = leaver.stream(12, pause=0.15)

    def run(request):
        leaver.headers = lambda r: {**usual(r), **LEAVING}
        long_stream(request)
    leaver.behaviours = [run]
    try:
        long_running = None
        while leaver.behaviours:
            long_running = send_together(gateway, 1, "/stream/1", "POST")
            time.sleep(0.2)
        leaver.seen.clear()
        other.behaviours = [other.stream(3, pause=0.1) for _ in range(4)]
        threads, answers = send_together(gateway, 4, "/stream/1", "POST")
        for thread in threads:
            thread.join()
        check(not leaver.seen and [a.whole for a in answers] == [True] * 4, "the other server gets all streams")
        check(long_running[0][0].is_alive(), "the first stream runs")
        long_running[0][0].join()
        first = long_running[1][0]
        check(first.whole and first.body.count(b"id: ") == 12, "the first stream is whole")
    finally:
        leaver.headers = usual


# Guards against more than a few requests to a server within the time for which it asked for none.
def case_refusing(fleet):
    """a server gets no request for as long as its refusal says, also after answers to earlier requests"""
    restart(fleet, fleet.plain + fleet.engines, new_id=True)
    gateway, refuser, other = fleet.gateways[0], *fleet.plain
    refuser.behaviours = [refuser.slow, refuse(refuser, 2.5)]
    other.behaviours = [other.slow for _ in range(4)]
    threads, answers = send_together(gateway, 6, "/once/1", "POST")
    wait_for(lambda: not refuser.behaviours, "a request runs there and one was refused")
    refused_at = refuser.seen_at[-1]
    for thread in threads:
        thread.join()
    check(sorted(answer.status for answer in answers)[:5] == [200] * 5, "the other requests run to their end")
    while time.monotonic() - refused_at < 1.7:
        check_avoided(gateway, refuser, [other])
    wait_for(lambda: call(gateway, "/read/1").status == 200 and refuser.seen, "it gets requests afterwards", timeout=3)
    check(refuser.seen_at[-1] - refused_at >= 2.5, "not before")


# Guards against requests that wait until their own time limit, or are sent, although no server wants any.
def case_all_refusing(fleet):
    """a request that no server takes in time is rejected at once, with the time at which the first one does"""
    restart(fleet, fleet.plain + fleet.engines, new_id=True)
    gateway = fleet.gateways[0]
    for server, seconds in zip(fleet.plain, (6, 4.5)):
        server.behaviours = [refuse(server, seconds)]
    began = time.monotonic()
    call(gateway, "/read/1")  # refused by both
    told = time.monotonic()
    check(not any(server.behaviours for server in fleet.plain), "both refused")
    forget(fleet)
    for _ in range(5):
        sent = time.monotonic()
        answer = call(gateway, "/read/1")
        check(answer.status == 503 and time.monotonic() - sent < 0.4,
              f"status {answer.status} after {time.monotonic() - sent:.2f} s")
        after = sent + float(answer.headers["Retry-After"])
        check(began + 4.4 < after < told + 4.6 + 0.15 * 3, f"Retry-After points to {after - began:.2f} s")
    check(not any(server.seen for server in fleet.plain), "nothing was sent")
    restart(fleet, fleet.plain[:1])
    check(call(gateway, "/read/1").status == 503, "also after a restart under the same id")
    restart(fleet, fleet.plain[:1], new_id=True)
    check(call(gateway, "/read/1").status == 200, "another server at the address is used")


# Guards against requests that are rejected although a server takes requests again before their time limit.
def case_short_refusal(fleet):
    """a request waits for the end of a refusal that is shorter than its wait"""
    restart(fleet, fleet.plain + fleet.engines, new_id=True)
    gateway = fleet.gateways[0]
    for server in fleet.plain:
        server.behaviours = [refuse(server, 0.6)]
    began = time.monotonic()
    call(gateway, "/read/1")
    answer = call(gateway, "/read/1")
    check(answer.status == 200 and 0.5 < time.monotonic() - began < 1.5,
          f"status {answer.status} after {time.monotonic() - began:.2f} s")


# Guards against queued requests that stay in the queue until their own time limit.
def case_queued(fleet):
    """a queued request is rejected as soon as no server takes it in time"""
    restart(fleet, fleet.plain + fleet.engines, new_id=True)
    gateway = fleet.gateways[0]

    def refuse_late(server):
        def run(request):
            time.sleep(0.7)
            refuse(server, 6)(request)
        return run
    for server in fleet.plain:
        server.behaviours = [refuse_late(server)]
    for _ in range(8):
        threading.Thread(target=call, args=(gateway, "/once/1", "POST", b"b")).start()
        time.sleep(0.02)
        if not any(server.behaviours for server in fleet.plain):
            break
    slow_since = time.monotonic()
    for server in fleet.plain:
        server.behaviours = [refuse(server, 1)]
    call(gateway, "/read/1")
    check(not any(server.behaviours for server in fleet.plain), "both refused for a second")
    sent = time.monotonic()
    check(sent - slow_since < 0.5, "the late refusals are still to come")
    answer = call(gateway, "/read/1")
    check(answer.status == 503 and 0.05 < time.monotonic() - sent < 0.95,
          f"status {answer.status} after {time.monotonic() - sent:.2f} s")


# Guards against requests that wait for servers of which each has said that it leaves.
def case_all_leaving(fleet):
    """a request is rejected at once when every server leaves, and served when one joins"""
    restart(fleet, fleet.plain + fleet.engines, new_id=True)
    gateway = fleet.gateways[0]
    for server in fleet.plain:
        server.behaviours = [with_headers(server, 500, LEAVING)]
    call(gateway, "/read/1")
    check(not any(server.behaviours for server in fleet.plain), "both leave")
    forget(fleet)
    sent = time.monotonic()
    answer = call(gateway, "/read/1")
    check(answer.status == 503 and time.monotonic() - sent < 0.4,
          f"status {answer.status} after {time.monotonic() - sent:.2f} s")
    check(not any(server.seen for server in fleet.plain), "nothing was sent")
    restart(fleet, fleet.plain[:1])
    check(call(gateway, "/read/1").status == 200, "the server that started again answers")


# Guards against a server that is avoided by gateways that it told nothing.
def case_other_gateway(fleet):
    """a gateway that a server told nothing sends requests to it"""
    restart(fleet, fleet.plain + fleet.engines, new_id=True)
    refuser = fleet.plain[0]
    refuser.behaviours = [refuse(refuser, 5)]
    send_until_reached(fleet.gateways[0], refuser)
    send_until = time.monotonic() + 2
    refuser.seen.clear()
    while not refuser.seen and time.monotonic() < send_until:
        check(call(fleet.gateways[1], "/read/1").status == 200, "served")
    check(refuser.seen, "the other gateway uses the server")


CASES = [case_leaving, case_leaving_in_any_answer, case_leaving_stream, case_refusing, case_all_refusing,
         case_short_refusal, case_queued, case_all_leaving, case_other_gateway]


if __name__ == "__main__":
    pf.run_cases(CASES)
