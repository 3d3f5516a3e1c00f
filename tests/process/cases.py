"""Runs the cases of a process test on one fleet and prints one line for each."""
import os
import sys
import traceback

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts"))
import fleet as fl  # noqa: E402  the path is set above

CALLERS = [fl.new_caller("bar-riva"), fl.new_caller("kiosk-obala")]
CHUNKS, CHUNK_BYTES = 16, 32768


def check(condition, what):
    """Fails the case when a condition does not hold."""
    if not condition:
        raise fl.FleetError("check failed: " + what)


def ready_fleet(fleet, **changes):
    """Starts everything, rolls version v1 out and returns its digest."""
    fleet.start_all()
    digest = fleet.publish_version("cup-helper", "v1", CHUNKS, CHUNK_BYTES, 1)
    fleet.publish_manifest(fl.demo_manifest(1, digest, "v1", CALLERS, **changes))
    fleet.wait_ready(fleet.vms)
    wait_linked(fleet)
    return digest


def wait_linked(fleet):
    """Waits until every entry has heard a ready report of every live agent."""
    def linked():
        for vm in fleet.entries():
            ready = {e["name"] for e in fleet.status(vm)["endpoints"] if e["ready"]}
            if not {a.name for a in fleet.agents() if a.daemon.running()} <= ready:
                return False
        return True
    fl.wait_for(linked, "entries have reports of all agents")


def loaded(vm):
    """Weight digests that the engine of a VM runs."""
    return [entry["weights"] for entry in fl.request("GET", vm.endpoint_address, "/state").json()["loaded"]]


def run(cases, product_changes=None, **fleet_options):
    """Runs cases in order, each with the fleet; exits with 1 when one failed."""
    failed = 0
    with fl.Fleet(fl.demo_vms(), **fleet_options) as fleet:
        ready_fleet(fleet, **(product_changes or {}))
        for case in cases:
            try:
                case(fleet)
                print(f"case passed: {case.__doc__}", flush=True)
            except Exception:
                failed += 1
                print(f"case failed: {case.__doc__}\n{traceback.format_exc()}", flush=True)
                for process in fleet.processes():
                    print(f"--- {process.name}\n{fleet.log_tail(process.name, 800)}")
    sys.exit(1 if failed else 0)
