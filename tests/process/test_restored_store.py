"""A store that comes back from a copy: its revisions go back, and what was written since is written again later."""
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_fleet as pf  # noqa: E402  the path is set above
from platform_fleet import call, check, forget, wait_for  # noqa: E402

# Bounds of the users' sites, in seconds.
CONFIG_APPLY_S, DRAIN_S = 2, 2
BASE_ROUTES = pf.configuration(1)["routes"]


def routes_with(*prefixes):
    return BASE_ROUTES + [pf.route(f"r-{prefix}", "a.example", f"/{prefix}/", "idempotent", "plain")
                          for prefix in prefixes]


def write_much(fleet):
    """Moves the revision on, so that those of the copy are far below it."""
    for _ in range(20):
        for server in fleet.plain:
            server.register()


def all_serve(fleet, path, key="key-1"):
    return all(call(gateway, path, key=key).status == 200 for gateway in fleet.gateways)


def wait_served(fleet, path, key="key-1"):
    """Waits until all gateways serve a path; fails when a configuration is not in force in time."""
    wait_for(lambda: all_serve(fleet, path, key), f"{path} is served", timeout=CONFIG_APPLY_S)


def hold(seconds, condition, what):
    """Checks a condition again and again for a time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        check(condition(), what)
        time.sleep(0.05)


# Guards against changes that are ignored after a restore, because their revisions are lower than known ones.
def case_change_after_restore(fleet):
    """a change after a restore is in force in time, and one that the copy lacks stays in force"""
    fleet.configure(routes=routes_with("first"))
    wait_served(fleet, "/first/1")
    copy = fleet.store.copy()
    write_much(fleet)
    fleet.configure(routes=routes_with("first", "second"))
    wait_served(fleet, "/second/1")
    fleet.store.restore(copy)
    hold(2.5, lambda: all_serve(fleet, "/second/1"), "a route that was added before the restore is served")
    fleet.configure(routes=routes_with("first", "second", "third"))
    wait_served(fleet, "/third/1")
    fleet.configure(routes=routes_with("third"))
    wait_for(lambda: all(call(g, "/first/1").status == 404 for g in fleet.gateways), "a dropped route is not served",
             timeout=CONFIG_APPLY_S)


# Guards against a key that was withdrawn and is accepted again, because the copy still has it.
def case_withdrawn_key(fleet):
    """a key that was withdrawn before a restore is not accepted after it"""
    fleet.configure(keys=("key-1", "key-2"))
    wait_served(fleet, "/read/1", key="key-2")
    copy = fleet.store.copy()
    write_much(fleet)
    fleet.configure()
    refused = lambda: all(call(g, "/read/1", key="key-2").status == 401 for g in fleet.gateways)
    wait_for(refused, "the key is refused", timeout=CONFIG_APPLY_S)
    fleet.store.restore(copy)
    hold(2.5, refused, "a withdrawn key is refused")


# Guards against a server that left and gets requests again, because the copy is from before it left.
def case_server_left(fleet):
    """a server that left before a restore gets no requests after it, and one that returns does"""
    stays, leaves = fleet.plain
    for leave in (lambda: leaves.register("draining"), lambda: fleet.store.remove("servers/" + leaves.id)):
        copy = fleet.store.copy()
        write_much(fleet)
        leave()
        time.sleep(DRAIN_S)
        forget(fleet)
        fleet.store.restore(copy)
        with pf.Heartbeats([stays]):
            hold(3, lambda: all_serve(fleet, "/read/1") and not leaves.seen, "the server that left gets no requests")
        leaves.born += 1000
        leaves.register()
        wait_for(lambda: all_serve(fleet, "/read/1") and leaves.seen, "it gets requests after its restart", timeout=3)


# Guards against servers that are taken for gone, because they registered after the copy was made.
def case_server_joined(fleet):
    """a server that joined after the copy was made serves on while it registers again"""
    copy = fleet.store.copy()
    added = pf.Backend(fleet.store, "i-plain-added", 15, "plain")
    wait_for(lambda: all_serve(fleet, "/read/1") and added.seen, "it serves", timeout=3)
    for server in fleet.plain:
        server.register("draining")
    time.sleep(1)
    fleet.store.restore(copy)
    with pf.Heartbeats([added]):
        hold(3, lambda: all_serve(fleet, "/read/1"), "requests are served")
    for server in fleet.plain:
        server.register()
    fleet.store.remove("servers/" + added.id)
    added.close()


# Guards against a process that starts after a restore, reads the copy and puts an older configuration into force than
# the other gateways have.
def case_start_after_restore(fleet):
    """a gateway that starts after a restore learns from the others what the copy lacks"""
    copy = fleet.store.copy()
    write_much(fleet)
    fleet.configure(routes=routes_with("late"))
    wait_served(fleet, "/late/1")
    fleet.store.put("op/version/m", {"model": "m", "version": 2})
    for engine in fleet.engines:
        engine.models = {"m": 2}
        engine.register()
    wait_for(lambda: all("version_required" in g.log_text() for g in fleet.gateways), "version 2 is required", timeout=10)
    fleet.store.restore(copy)
    for engine in fleet.engines:
        engine.models = {"m": 1}  # restarted with outdated weights; it may get no requests
        engine.born += 1000
        engine.register()
    gateway = fleet.gateway(48)
    wait_for(lambda: pf.is_ready(gateway), "ready")
    wait_for(lambda: call(gateway, "/late/1").status == 200, "the latest configuration is in force",
             timeout=CONFIG_APPLY_S)
    hold(2, lambda: call(gateway, "/late/1").status == 200, "it stays in force")
    forget(fleet)
    answer = call(gateway, "/stream/1", "POST", b"p")
    check(answer.status == 503, f"no server has the required version: status {answer.status} {answer.body!r}")
    check(not any(engine.seen for engine in fleet.engines), "a server with an older version gets no request")


# Guards against a server that registers again after a restore, before the gateways list the keys, and is taken for one of
# the copy: its later heartbeats do not change its record.
def case_registers_before_listing(fleet):
    """a server that registers again before the first listing after a restore gets requests"""
    stays, returns = fleet.plain
    fleet.store.remove("servers/" + returns.id)
    time.sleep(1)
    copy = fleet.store.copy()
    write_much(fleet)  # also registers the server
    fleet.store.remove("servers/" + returns.id)
    time.sleep(1)
    forget(fleet)
    fleet.store.restore(copy, write=returns.register)
    wait_for(lambda: all_serve(fleet, "/read/1") and returns.seen, "it gets requests", timeout=3)


CASES = [case_change_after_restore, case_withdrawn_key, case_server_left, case_server_joined, case_start_after_restore,
         case_registers_before_listing]

if __name__ == "__main__":
    pf.run_cases(CASES)
