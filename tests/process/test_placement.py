"""Regions that a route or a customer allows, evacuations of a failure domain, and cold servers."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_fleet as pf  # noqa: E402  the path is set above
from platform_fleet import call, check, wait_for  # noqa: E402

# Bounds of the users' sites, in seconds.
CONFIG_APPLY_S, EVACUATION_S = 3, 5
# Of a cold server: requests that it tolerates in a second, and the factor and reserve of the settings.
COLD_RATE, COLD_OVERSHOOT, COLD_RESERVE, COLD_S = 6, 1.5, 2, 4
COLD_BOUND = COLD_RATE * COLD_OVERSHOOT + COLD_RESERVE


class PlacementFleet(pf.PlatformFleet):
    """The first plain server is in region r1, the second one in r2."""

    def gateway(self, host, stdout=None, **more):
        return super().gateway(host, stdout, cold_overshoot=COLD_OVERSHOOT, cold_reserve=COLD_RESERVE, **more)


def prepare(fleet):
    fleet.plain[1].zone = "z2"
    fleet.plain[1].register()


def routes(**limits):
    """The usual routes; `limits` adds routes by name, with the regions that they allow."""
    return pf.configuration(1)["routes"] + [
        pf.route(f"r-{name}", "a.example", f"/{name}/", "idempotent", "plain", allowed_regions=regions)
        for name, regions in limits.items()]


def in_force(fleet, path):
    wait_for(lambda: all(call(g, path).status != 404 for g in fleet.gateways), f"{path} is known",
             timeout=CONFIG_APPLY_S)


def send_many(fleet, path, count=10, key="key-1"):
    return [call(gateway, path, key=key) for _ in range(count) for gateway in fleet.gateways]


# Guards against a request that reaches a server outside the regions of its route, also when it is repeated because the
# only server there fails.
def case_limited_route(fleet):
    """a route reaches servers of its regions only, also when they fail"""
    near, far = fleet.plain
    fleet.configure(routes=routes(home=["r2"]))
    in_force(fleet, "/home/1")
    pf.forget(fleet)
    check(all(answer.status == 200 for answer in send_many(fleet, "/home/1")), "requests are served")
    check(not near.seen and far.seen, "only the server of the allowed region gets them")
    far.behaviours = [far.lose] * 4
    for gateway in fleet.gateways:
        call(gateway, "/home/1")
    check(not near.seen, "a repeated request stays in the region")


# Guards against a limit of a customer that a route without one, or with another one, widens.
def case_limited_customer(fleet):
    """the limits of route and customer both bind, and what no region satisfies is rejected at once"""
    near, far = fleet.plain
    fleet.version += 1
    content = pf.configuration(fleet.version, fleet.origin, routes=routes(home=["r2"]), tenants={"south": ["key-s"]})
    content["tenants"][1]["allowed_regions"] = ["r1", "nowhere", 7]
    fleet.store.put("op/config", content)
    wait_for(lambda: all(call(g, "/read/1", key="key-s").status == 200 for g in fleet.gateways), "the key is known",
             timeout=CONFIG_APPLY_S)
    pf.forget(fleet)
    check(all(answer.status == 200 for answer in send_many(fleet, "/read/1", key="key-s")), "requests are served")
    check(near.seen and not far.seen, "only the region of the customer gets them")
    pf.forget(fleet)
    started = time.monotonic()
    answers = send_many(fleet, "/home/1", key="key-s")
    check(all(answer.status == 503 and "Retry-After" in answer.headers for answer in answers), "they are rejected")
    check(time.monotonic() - started < 1 * len(answers), "no rejection waits for the deadline of 3 s")
    check(not near.seen and not far.seen, "no server gets what no region may serve")
    check("region_limit_invalid" in fleet.gateways[0].log_text(), "the unknown region is in the log")


def sends_after(server, moment):
    return [at for at in server.seen_at if at > moment]


class Callers:
    """Callers that send to both gateways all the time."""

    def __init__(self, fleet, path):
        self.fleet, self.path, self.ended = fleet, path, threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(g,), daemon=True) for g in fleet.gateways]

    def run(self, gateway):
        while not self.ended.wait(0.02):
            call(gateway, self.path)

    def __enter__(self):
        for thread in self.threads:
            thread.start()

    def __exit__(self, *_):
        self.ended.set()
        for thread in self.threads:
            thread.join()


def evacuate_while(fleet, turn_away):
    """Evacuates z2 and takes it back while the store does not serve the second gateway."""
    far, turned_away = fleet.plain[1], fleet.gateways[1].host
    turn_away(turned_away)
    with Callers(fleet, "/home/1"):
        fleet.store.put("op/evacuate/z2", {})
        acknowledged = time.monotonic()
        time.sleep(EVACUATION_S + 1)
        check(not sends_after(far, acknowledged + EVACUATION_S), "the evacuated server gets no request")
        fleet.store.remove("op/evacuate/z2")
        before = len(far.seen_at)
        wait_for(lambda: len(far.seen_at) > before, "it gets requests after the evacuation", timeout=EVACUATION_S)


# Guards against an evacuation that a gateway does not learn of, because the store does not serve it.
def case_evacuation(fleet):
    """an evacuation and its end reach all gateways in time, also those that the store turns away"""
    fleet.configure(routes=routes(home=["r2"]))
    in_force(fleet, "/home/1")
    evacuate_while(fleet, lambda host: None)
    for clients in (fleet.store.turned_away, fleet.store.over_rate, fleet.store.silent):
        evacuate_while(fleet, clients.add)
        clients.clear()


# Guards against a gateway that sends to an evacuated domain before it has read the store after its start.
def case_restart_in_evacuation(fleet):
    """a gateway that starts during an evacuation sends nothing to the domain"""
    far = fleet.plain[1]
    fleet.store.put("op/evacuate/z2", {})
    time.sleep(EVACUATION_S)
    fleet.daemons.remove(fleet.gateways[1])
    fleet.gateways[1].stop()
    pf.forget(fleet)
    fleet.gateways[1] = fleet.gateway(41)
    deadline = time.monotonic() + 3
    while time.monotonic() < deadline:
        try:
            call(fleet.gateways[1], "/read/1", timeout=1)
        except OSError:
            time.sleep(0.02)
    check(not far.seen, "the evacuated server gets no request")
    fleet.store.remove("op/evacuate/z2")
    wait_for(lambda: call(fleet.gateways[1], "/read/1").status == 200, "it serves")


# Guards against requests that wait for the end of their time although their only region is evacuated.
def case_only_home_evacuated(fleet):
    """a request whose only region is evacuated is rejected at once, and others are served"""
    fleet.configure(routes=routes(home=["r2"]))
    in_force(fleet, "/home/1")
    fleet.store.put("op/evacuate/z2", {})
    wait_for(lambda: all(call(g, "/home/1").status == 503 for g in fleet.gateways), "it is rejected",
             timeout=EVACUATION_S)
    started = time.monotonic()
    answers = send_many(fleet, "/home/1", count=3)
    check(all(answer.status == 503 for answer in answers), "requests are rejected")
    check(time.monotonic() - started < 1 * len(answers), "no rejection waits for the deadline of 3 s")
    check(all(answer.status == 200 for answer in send_many(fleet, "/read/1", count=3)), "other requests are served")
    fleet.store.remove("op/evacuate/z2")
    wait_for(lambda: all(call(g, "/home/1").status == 200 for g in fleet.gateways), "it is served again",
             timeout=EVACUATION_S)


def busiest_second(times):
    return max((sum(1 for at in times if start <= at < start + 1) for start in times), default=0)


# Guards against a herd of all gateways on a server that came back cold, which crashes it.
def case_cold_server(fleet):
    """a cold server gets no more requests in a second than it tolerates, from all gateways together"""
    cold = fleet.plain[1]
    fleet.version += 1
    content = pf.configuration(fleet.version, fleet.origin, routes=routes(cold=["r2"]))
    content["services"][0].update(cold_start_s=COLD_S, cold_per_s=COLD_RATE)
    fleet.store.put("op/config", content)
    in_force(fleet, "/cold/1")
    wait_for(lambda: all(call(g, "/cold/1").status == 200 for g in fleet.gateways), "the server is used")
    cold.register(cold_ms=COLD_S * 1000)
    time.sleep(1)  # until all gateways have the record
    pf.forget(fleet)
    cold.seen_at.clear()
    started = time.monotonic()
    crowd = [threading.Thread(target=call, args=(gateway, "/cold/1"), daemon=True)
             for gateway in fleet.gateways for _ in range(20)]
    for each in crowd:
        each.start()
    for each in crowd:
        each.join()
    while time.monotonic() < started + COLD_S - 2:
        send_many(fleet, "/cold/1", count=1)
    times = [at for at in cold.seen_at if at < started + COLD_S - 1]
    check(times, "the cold server gets requests")
    check(busiest_second(times) <= COLD_BOUND, f"at most {COLD_BOUND} in a second, saw {busiest_second(times)}")


pf.run_cases([case_limited_route, case_limited_customer, case_evacuation, case_restart_in_evacuation,
              case_only_home_evacuated, case_cold_server], prepare, PlacementFleet)
