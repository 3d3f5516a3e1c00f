"""The demo: rolls a model out, serves, survives a killed agent, changes the version. Exits 0 only if all steps hold."""
import argparse
import json
import signal
import sys
import threading
import time

import fleet as fl

CHUNKS, CHUNK_BYTES = 32, 65536
CALLERS = [fl.new_caller("bar-riva"), fl.new_caller("kiosk-obala")]


def step(text):
    print(f"== {text}", flush=True)


def expect(condition, what):
    if not condition:
        raise fl.FleetError("check failed: " + what)
    print(f"   ok: {what}", flush=True)


def roll_out(fleet, revision, version, seed):
    """Publishes a version and waits until every engine has it. Returns (digest, seconds, copies drawn)."""
    drawn_before = fl.request("GET", fleet.store, "/state").json()["bytes_drawn"]
    digest = fleet.publish_version("cup-helper", version, CHUNKS, CHUNK_BYTES, seed)
    start = time.monotonic()
    fleet.publish_manifest(fl.demo_manifest(revision, digest, version, CALLERS))

    def everywhere():
        return all(digest in loaded(vm) for vm in fleet.agents("models"))

    fl.wait_for(everywhere, f"{version} is loaded on every engine", 60)
    seconds = time.monotonic() - start
    drawn = fl.request("GET", fleet.store, "/state").json()["bytes_drawn"] - drawn_before
    return digest, seconds, drawn / (CHUNKS * CHUNK_BYTES)


def loaded(vm):
    return [entry["weights"] for entry in fl.request("GET", vm.endpoint_address, "/state").json()["loaded"]]


def serve_stream(fleet, client, entry, outcomes):
    """One streamed completion through an entry; returns the number of pieces."""
    status, pieces, complete = client.stream(entry.caller_address, "deposits", "rules for glass cups", 12)
    outcomes["complete" if complete else "failed"] += 1
    expect(status == 200 and complete and len(pieces) >= 12, f"a streamed completion of {len(pieces)} pieces is whole")


def run_operation(fleet, client, outcomes):
    """Opens and runs one operation, repeats it at another entry, and checks that it ran once."""
    first, second = fleet.entries()[0], fleet.entries()[1]
    opened = client.open_operation(first.caller_address, "redemptions")
    expect(opened.status == 201, "an operation is opened")
    operation = opened.json()["id"]
    result = client.run_operation(first.caller_address, operation, {"cup": "A-17"})
    expect(result.status == 200, "the operation runs")
    repeat = client.run_operation(second.caller_address, operation, {"cup": "A-17"})
    expect(repeat.status == 200 and repeat.body == result.body, "a repeat at another entry returns the recorded answer")
    executions = fl.request("GET", fleet.vm("registry-1").endpoint_address, "/executions").json()
    expect(executions == {operation: 1}, "the service ran it once")
    outcomes["complete"] += 2


def kill_while_streaming(fleet, client, outcomes):
    """Kills the agent that serves a stream; the caller must see either a whole answer or an open failure."""
    killed = []

    def on_piece(count):
        if count == 3 and not killed:
            victim = next(vm for vm in fleet.agents("models") if fleet.status(vm)["running"] > 0)
            victim.daemon.kill()
            killed.append(victim)

    status, pieces, complete = client.stream(fleet.entries()[0].caller_address, "deposits", "long ledger", 200, 30,
                                             on_piece)
    expect(len(killed) == 1, f"agent {killed[0].name if killed else '?'} was killed while the stream ran")
    expect(not complete or len(pieces) >= 200, "the caller did not get a cut answer as a complete one")
    outcomes["complete" if complete else "failed"] += 1
    return killed[0]


def run_demo(fleet):
    outcomes = {"complete": 0, "not_run": 0, "failed": 0, "unknown": 0}
    client = CALLERS[0]
    step("start 4 entries, 4 agents and the stand-ins")
    fleet.start_all()
    step("roll out version v1")
    digest, seconds, copies = roll_out(fleet, 1, "v1", 1)
    fleet.wait_ready(fleet.vms)
    rollouts = [("v1", seconds, copies)]
    expect(copies <= 1.2, f"the store was drawn for {copies:.2f} copies for 3 engines")
    step("ask for entries and serve")
    listing = fl.request("GET", fleet.entries()[0].caller_address, "/v1/entries").json()
    expect(len(listing["entries"]) == 4 and listing["max_age_ms"] > 0, "4 entries are listed")
    serve_stream(fleet, client, fleet.entries()[0], outcomes)
    run_operation(fleet, client, outcomes)
    step("kill an agent while a stream runs, then serve again")
    victim = kill_while_streaming(fleet, client, outcomes)
    for entry in fleet.entries():
        serve_stream(fleet, client, entry, outcomes)
    fleet.start_daemon(victim)
    fleet.wait_ready([victim])
    step("change the version to v2 and serve from it")
    second, seconds, copies = roll_out(fleet, 2, "v2", 2)
    rollouts.append(("v2", seconds, copies))
    expect(copies <= 1.2, f"the store was drawn for {copies:.2f} copies")
    reply = fl.wait_for(lambda: (lambda r: r if r.status == 200 else None)(
        client.complete(fleet.entries()[2].caller_address, "ledgers")), "a completion from v2")
    expect(reply.json()["weights"] == second != digest, "the answer names the weights of v2")
    outcomes["complete"] += 1
    return rollouts, outcomes


def print_results(fleet, rollouts, outcomes):
    step("time line of all processes (last 40 events)")
    for event in fleet.timeline()[-40:]:
        print("  ", json.dumps(event))
    step("results")
    print(f"   {'version':10} {'seconds to all replicas':>24} {'copies drawn':>14}")
    for version, seconds, copies in rollouts:
        print(f"   {version:10} {seconds:24.2f} {copies:14.2f}")
    print("   requests by outcome: " + ", ".join(f"{name} {count}" for name, count in outcomes.items()))


def description(fleet):
    """The line that --serve prints."""
    return {
        "entries": [{"address": vm.caller_address, "operator_address": vm.operator, "failure_domain": vm.failure_domain,
                     "pid": vm.daemon.pid} for vm in fleet.entries()],
        "agents": [{"name": vm.name, "operator_address": vm.operator, "pid": vm.daemon.pid,
                    "endpoint_address": vm.endpoint_address}
                   for vm in fleet.agents()],
        "callers": [{"name": c.name, "key": c.key} for c in CALLERS],
        "products": [{"name": name, "model": "cup-helper", "ranks": ["urgent", "standard", "batch"]}
                     for name in ("deposits", "ledgers")],
        "services": ["redemptions"],
        "standins": [{"name": name, "control_address": address} for name, address in (
            ("configuration", fleet.configuration), ("vm_list", fleet.vm_list), ("store", fleet.store))] +
                    [{"name": vm.name + "-endpoint", "control_address": vm.endpoint_address} for vm in fleet.agents()]}


def serve(fleet):
    fleet.start_all()
    roll_out(fleet, 1, "v1", 1)
    fleet.wait_ready(fleet.vms)
    print(json.dumps(description(fleet)), flush=True)
    stop = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: stop.set())
    while not stop.wait(0.5):
        pass


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--serve", action="store_true", help="leave the fleet running until SIGINT or SIGTERM")
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    with fl.Fleet(fl.demo_vms()) as fleet:
        try:
            if arguments.serve:
                serve(fleet)
                return 0
            rollouts, outcomes = run_demo(fleet)
            print_results(fleet, rollouts, outcomes)
            step("all steps were checked")
            return 0
        except fl.FleetError as error:
            print(f"demo failed: {error}", file=sys.stderr)
            for process in fleet.processes():
                print(f"--- {process.name}\n{fleet.log_tail(process.name, 1200)}", file=sys.stderr)
            return 1


if __name__ == "__main__":
    sys.exit(main())
