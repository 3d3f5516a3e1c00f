"""Odd entries of another writer among the records of the store: nothing is sent to them, and all else is followed."""
import base64
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_fleet as pf  # noqa: E402  the path is set above
from platform_fleet import call, check, wait_for  # noqa: E402

# As in the settings of the users' sites: a changed configuration is in force within this time.
CONFIGURATION_LIMIT_S = 2
DEPTH = 100_000
ODD_ENTRIES = 10_000
REQUESTS = 20


def record(host, **changes):
    return {"service": "plain", "address": f"{pf.NET}.20.{host}:{pf.SERVER_PORT}", "zone": "z1", "version": "v1",
            "slots": 4, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 1790000000000, **changes}


def odd_values():
    """Values by the name of what is odd about them."""
    ip = f"{pf.NET}.20.19"
    nested = b"[" * DEPTH + b"]" * DEPTH
    values = {f"address-{number}": record(19, address=text) for number, text in enumerate(
        [f"{ip}:0", f"{ip}:65536", f"{ip}:99999", f"{ip}:-1", f"{ip}:", ":80", "server.example:80", ip, ""])}
    values |= {f"slots-{number}": record(19, slots=slots) for number, slots in enumerate([-1, 1.5, "4", 10 ** 400])}
    values |= {f"born-{number}": record(19, born=born) for number, born in enumerate([-1, 1.5, 10 ** 400])}
    values |= {"nested": nested, "nested-open": b"[" * DEPTH, "nested-field": b'{"service":"plain","x":' + nested + b"}",
               "no-bytes": b"", "binary": bytes(range(256)), "text": b"servers", "list": [record(19)],
               "pool": record(19, service=["plain"]), "state": record(19, state="asleep")}
    return values


def put_raw(store, key, text):
    """Puts an item whose value is not base64."""
    store.put(key, b"")
    store.items[key]["value"] = text


def check_served(fleet, what):
    """Requests are served at both gateways, and none was sent to a server of an odd entry."""
    for gateway in fleet.gateways:
        for number in range(REQUESTS):
            answer = call(gateway, f"/once/{number}", "POST", b"b")
            check(answer.status == 200, f"{what}: status {answer.status} {answer.body!r}")
        check('"server":"i-odd' not in gateway.log_text(), f"{what}: a request was sent to an odd entry")


def check_followed(fleet, what):
    """Both gateways still follow the store: a configuration and a server that leaves."""
    check(all(gateway.process.poll() is None for gateway in fleet.gateways), f"{what}: no process ended")
    fleet.configure()
    for gateway in fleet.gateways:
        wait_for(lambda g=gateway: f'"revision":{fleet.version}' in g.log_text(),
                 f"{what}: the configuration is in force", CONFIGURATION_LIMIT_S)
    fleet.plain[0].register("draining")
    time.sleep(CONFIGURATION_LIMIT_S)
    fleet.plain[0].seen.clear()
    check_served(fleet, what)
    check(not fleet.plain[0].seen, f"{what}: the server that leaves got no request")
    fleet.plain[0].register()


# Guards against records of another writer that join the pool, or that end the reading of the store.
def case_odd_values(fleet):
    """odd values name no server, and the store is followed beside them"""
    for name, value in odd_values().items():
        fleet.store.put(f"servers/i-odd-{name}", value)
    for number, text in enumerate(["?", "YQ=", "a" * 7, "\u017e\u0161"]):
        put_raw(fleet.store, f"servers/i-odd-raw-{number}", text)
    time.sleep(1)
    check_served(fleet, "odd values")
    check_followed(fleet, "odd values")


# The listing that a process reads at its start holds the odd entries too.
def case_start_beside_odd_values(fleet):
    """a gateway that starts beside odd values is ready and serves"""
    gateway = fleet.gateway(42)
    wait_for(lambda: call(gateway, "/marigoldyard/ready", port=pf.READY_PORT).status == 200, "ready")
    answer = call(gateway, "/read/1")
    check(answer.status == 200, f"status {answer.status} {answer.body!r}")
    check(gateway.process.poll() is None, "it did not end")


# A good record that another writer replaces by an odd one, whose server still runs.
def case_replaced_record(fleet):
    """an odd value in place of a good record hides no other server"""
    key = "servers/" + fleet.plain[0].id
    for value in (b"[" * DEPTH, record(19, address="x:99999"), None):
        if value is None:
            put_raw(fleet.store, key, "?")
        else:
            fleet.store.put(key, value)
        time.sleep(0.7)
        check_served(fleet, "a replaced record")
    fleet.plain[0].register()
    time.sleep(0.7)
    check_followed(fleet, "a replaced record")


# Guards against gateways that end, or keep a sound server out, when the address that a server had is given to another.
def case_moved_server(fleet):
    """servers at the first address of one that moved are used, before and after it leaves"""
    first = fleet.plain[0]
    original, first.id = first.id, "i-successor"
    moved = pf.Backend(fleet.store, original, 15, "plain")
    time.sleep(0.7)
    try:
        first.register()
        time.sleep(0.7)
        first.seen.clear()
        check_served(fleet, "beside the server that moved")
        check(first.seen, "the server at the first address gets requests")
        for leaving in (original, "i-successor"):
            fleet.store.remove("servers/" + leaving)
            time.sleep(0.7)
        first.id = "i-second-successor"
        first.register()
        time.sleep(0.7)
        check(all(gateway.process.poll() is None for gateway in fleet.gateways), "no gateway ended")
        first.seen.clear()
        check_served(fleet, "after the server that moved has left")
        check(first.seen, "the next server at the first address gets requests")
    finally:
        moved.close()
        fleet.store.remove("servers/" + first.id)
        first.id = original
        first.register()
        time.sleep(0.7)


def case_odd_configuration(fleet):
    """an odd configuration and an odd version leave what is in force, and later ones are followed"""
    for value in (b"[" * DEPTH, b"", b"\xff", {"version": -1}, {"version": 10 ** 400}, [1], "text"):
        fleet.store.put("op/config", value)
        fleet.store.put("op/version/m", value)
        time.sleep(0.4)
    check_served(fleet, "an odd configuration")
    check_followed(fleet, "an odd configuration")


def case_many_odd_entries(fleet):
    """ten thousand odd entries delay no change"""
    store, value = fleet.store, base64.b64encode(b"[" * 200).decode()
    with store.lock:
        for number in range(ODD_ENTRIES):
            store.revision += 1
            key = f"servers/i-odd-many-{number}"
            store.items[key] = {"key": key, "value": value, "revision": store.revision, "created": store.revision,
                                "lease": 0}
        store.lock.notify_all()
    time.sleep(1)
    check_followed(fleet, "many odd entries")
    with store.lock:
        for key in [key for key in store.items if key.startswith("servers/i-odd-many-")]:
            del store.items[key]


CASES = [case_odd_values, case_start_beside_odd_values, case_replaced_record, case_moved_server,
         case_odd_configuration, case_many_odd_entries]


if __name__ == "__main__":
    pf.run_cases(CASES)
