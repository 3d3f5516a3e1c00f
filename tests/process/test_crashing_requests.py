"""Whole requests that crash servers: they come again, and soon no gateway sends them to a server any more."""
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_fleet as pf  # noqa: E402  the path is set above
from platform_fleet import call, check, wait_for  # noqa: E402
from crashing_servers import Crashing, up  # noqa: E402

# Three crashes decide; one more may be under way at another gateway.
MOST_CRASHES = 4
# From then on a request that crashes servers is rejected at each gateway in touch.
STABLE_S = 3.0
DEADLY, SOUND = b"deadly", b"sound"
SHARED = {"Prompt-Prefix": "shared:100,own:100"}
HOSTS = iter(range(60, 100))


def stream(gateway, body, path="/stream/1", key="key-1"):
    return call(gateway, path, "POST", body, key=key, headers=SHARED)


class Deadly:
    """Lets servers crash on requests with one body."""

    def __init__(self, servers, body):
        self.servers = servers
        self.crashing = [Crashing(server, lambda request: request.body == body) for server in servers]

    def crashes(self):
        return sum(each.crashes for each in self.crashing)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for each in self.crashing:
            each.end()
        up(self.servers)


def send_until_rejected(gateways, body, deadly, most=8):
    """Sends a request again and again, and sound ones with the same parts between; returns the statuses."""
    statuses = []
    for number in range(most):
        gateway = gateways[number % len(gateways)]
        statuses.append(stream(gateway, body).status)
        up(deadly.servers)
        sound = stream(gateway, SOUND + str(number).encode())
        check(sound.status == 200 and sound.whole, f"a sound request with the same parts: {sound.status}")
    return statuses


def rejects(gateway, body):
    answer = stream(gateway, body)
    return answer.status == 503 and float(answer.headers["Retry-After"]) > 1 and b"not_run" in answer.body


# Guards against a request that crashes one server after the other, because sound requests share its parts (BUDGET).
def case_request_comes_again(fleet):
    """a request that crashes servers is soon rejected at every gateway, and sound requests with its parts are served"""
    with Deadly(fleet.engines, DEADLY) as deadly:
        statuses = send_until_rejected(fleet.gateways, DEADLY, deadly)
        check(deadly.crashes() <= MOST_CRASHES, f"{deadly.crashes()} crashes, statuses {statuses}")
        before = deadly.crashes()
        for gateway in fleet.gateways:
            check(rejects(gateway, DEADLY), "rejected at once, as not run")
        check(deadly.crashes() == before, "no further crash")


# Guards against a request that is refused because it resembles one that crashes servers.
def case_similar_requests(fleet):
    """requests with another path, customer or body than one that crashes servers are served"""
    for gateway in fleet.gateways:
        check(rejects(gateway, DEADLY), "the request itself is rejected")
        check(stream(gateway, DEADLY, path="/stream/2").status == 200, "another path")
        check(stream(gateway, DEADLY + b"!").status == 200, "another body")
        check(stream(gateway, DEADLY, key="key-south").status == 200, "another customer")
        check(not rejects(gateway, SOUND), "another request")
        check(rejects(gateway, DEADLY), "the request itself is still rejected")


# Guards against a gateway that sends a request to servers because it started after the crashes.
def case_gateway_starts(fleet):
    """a gateway that starts later rejects a request that crashed servers before"""
    late = fleet.gateway(next(HOSTS))
    wait_for(lambda: call(late, "/marigoldyard/ready", port=pf.READY_PORT).status == 200, "ready")
    wait_for(lambda: "crashing_request_blocked" in late.log_text(), "it knows the request", timeout=STABLE_S)
    check(rejects(late, DEADLY), "rejected")


# Guards against a gateway that misses the news of crashes while it stands still.
def case_gateway_stands_still(fleet):
    """a gateway that stood still during the crashes rejects the request when it is in touch again"""
    still, other = fleet.gateways
    with Deadly(fleet.engines, b"while still") as deadly:
        still.process.send_signal(signal.SIGSTOP)
        try:
            send_until_rejected([other], b"while still", deadly, most=4)
        finally:
            still.process.send_signal(signal.SIGCONT)
        check(deadly.crashes() <= MOST_CRASHES, f"{deadly.crashes()} crashes")
        time.sleep(STABLE_S)
        before = deadly.crashes()
        check(rejects(still, b"while still"), "rejected")
        check(deadly.crashes() == before, "no further crash")


# Guards against crashes that are forgotten when every gateway that saw them ends, one after the other.
def case_gateways_restart(fleet):
    """crashes are remembered while gateways restart one after the other between them"""
    body = b"while restarting"
    with Deadly(fleet.engines, body) as deadly:
        gateways = [fleet.gateway(next(HOSTS))]
        wait_for(lambda: call(gateways[0], "/marigoldyard/ready", port=pf.READY_PORT).status == 200, "ready")
        for _ in range(4):
            stream(gateways[-1], body)
            up(fleet.engines)
            check(stream(gateways[-1], SOUND).status == 200, "a sound request with the same parts")
            gateways[-1].process.send_signal(signal.SIGTERM)
            gateways.append(fleet.gateway(next(HOSTS)))
            wait_for(lambda: call(gateways[-1], "/marigoldyard/ready", port=pf.READY_PORT).status == 200, "ready")
        time.sleep(STABLE_S)
        check(deadly.crashes() <= MOST_CRASHES, f"{deadly.crashes()} crashes")
        check(rejects(gateways[-1], body), "rejected at the last one")


# Guards against requests without a prompt, whose crashes were not looked at.
def case_plain_service(fleet):
    """a request to a plain service that crashes servers is rejected as well"""
    with Deadly(fleet.plain, b"plain") as deadly:
        statuses = []
        for number in range(8):
            statuses.append(call(fleet.gateways[number % 2], "/once/1", "POST", b"plain").status)
            up(fleet.plain)
        check(deadly.crashes() <= MOST_CRASHES, f"{deadly.crashes()} crashes, statuses {statuses}")
        check(statuses[-1] == 503, f"rejected: {statuses}")
        check(call(fleet.gateways[0], "/once/1", "POST", b"other").status == 200, "others are served")


# Guards against a sound request that is rejected for good because many copies of it were at servers that lost power
# together.
def case_common_cause(fleet):
    """a sound request whose copies were at servers that crashed together is served again"""
    body, crashing = b"copies", threading.Event()
    with Deadly(fleet.engines, None) as deadly:
        for each in deadly.crashing:
            each.matches = lambda request: request.body == body and crashing.wait(1.0)
        threads = [threading.Thread(target=stream, args=(fleet.gateways[n % 2], body)) for n in range(6)]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        crashing.set()
        time.sleep(0.1)
        for each in deadly.crashing:
            each.matches = lambda request: False
        for thread in threads:
            thread.join()
        up(fleet.engines)
        for gateway in fleet.gateways:
            answer = stream(gateway, body)
            check(answer.status == 200, f"served: {answer.status} {answer.body}")


# Guards against crashes that nobody sees because the caller has left before.
def case_caller_leaves(fleet):
    """a request whose callers leave before it crashes a server is found as well"""
    body = b"left"
    with Deadly(fleet.engines, None) as deadly:
        for each in deadly.crashing:
            each.matches = lambda request: request.body == body and not time.sleep(0.3)
        for number in range(8):
            try:
                call(fleet.gateways[number % 2], "/stream/1", "POST", body, headers=SHARED, timeout=0.15)
            except OSError:
                pass
            time.sleep(0.4)
            up(fleet.engines)
        check(deadly.crashes() <= MOST_CRASHES, f"{deadly.crashes()} crashes")
        check(rejects(fleet.gateways[0], body), "rejected")


# Guards against a request that crashes servers only after it has begun there.
def case_begun_stream(fleet):
    """a request that crashes servers in the middle of its stream is found as well"""
    body = b"begun"
    with Deadly(fleet.engines, body) as deadly:
        for each in deadly.crashing:
            def crash(request, each=each, usual=each.crash):
                each.engine.stream(3, stop_after=2, pause=0.05)(request)
                usual(request)
            each.crash = crash
        for number in range(8):
            stream(fleet.gateways[number % 2], body)
            up(fleet.engines)
        check(deadly.crashes() <= MOST_CRASHES, f"{deadly.crashes()} crashes")
        check(rejects(fleet.gateways[0], body), "rejected")


# Guards against evidence that is lost with a freeze: when the gateway goes on, the server is back.
def case_frozen_at_crash(fleet):
    """a crash counts that a gateway learns of when the server is back"""
    body, gateway = b"frozen", fleet.gateways[0]
    with Deadly(fleet.engines, None) as deadly:
        for each in deadly.crashing:
            each.matches = lambda request: request.body == body and not time.sleep(0.2)
        for _ in range(3):
            caller = threading.Thread(target=stream, args=(gateway, body))
            caller.start()
            time.sleep(0.1)
            gateway.process.send_signal(signal.SIGSTOP)
            time.sleep(1.2)
            gateway.process.send_signal(signal.SIGCONT)
            caller.join()
            up(fleet.engines)
        time.sleep(STABLE_S)
        before = deadly.crashes()
        check(rejects(fleet.gateways[1], body), f"rejected after {before} crashes")
        check(deadly.crashes() == before, "no further crash")


# Guards against requests on another host that are taken for one that crashes servers, or clear it.
def case_other_host(fleet):
    """a request to another host is another request"""
    body, other = b"host", {**SHARED, "Host": "b.example"}
    with Deadly(fleet.engines, None) as deadly:
        for each in deadly.crashing:
            each.matches = lambda request: request.body == body and request.headers["Host"] == "a.example"
        for number in range(6):
            gateway = fleet.gateways[number % 2]
            stream(gateway, body)
            up(fleet.engines)
            check(call(gateway, "/stream/1", "POST", body, headers=other).status == 200, "the other host is served")
        check(deadly.crashes() <= MOST_CRASHES, f"{deadly.crashes()} crashes")


def add_routes(fleet):
    """Adds a customer and a host."""
    routes = pf.configuration(1)["routes"]
    routes.append(pf.route("r-other", "b.example", "/stream/", "streaming", "engines", resume_streams=True,
                           target_gap_ms=300))
    fleet.configure(routes=routes, tenants={"south": ["key-south"]})
    time.sleep(1.0)


CASES = [case_request_comes_again, case_similar_requests, case_gateway_starts, case_gateway_stands_still,
         case_gateways_restart, case_plain_service, case_common_cause, case_caller_leaves, case_begun_stream,
         case_frozen_at_crash, case_other_host]

if __name__ == "__main__":
    pf.run_cases(CASES, add_routes)
