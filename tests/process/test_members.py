"""VMs that are replaced leave nothing behind in the other processes."""
import cases
from cases import CALLERS, check, fl

LAG_MS = 500


def knows(fleet, vm, name):
    return name in {m["name"] for m in fleet.status(vm)["members"]}


def gone_vm_is_forgotten(fleet):
    """a VM that is gone from the list is forgotten, its links are closed, and one of its name is taken in again"""
    gone = fleet.agents("models")[2]
    others = [vm for vm in fleet.vms if vm is not gone]
    before = {vm.name: fleet.status(vm)["links"]["peers"] for vm in others}
    gone.daemon.kill()
    fleet.listing_states[gone.name] = None
    fleet.publish_vms()
    fl.wait_for(lambda: not any(knows(fleet, vm, gone.name) for vm in others), "all processes forgot it", 60)
    after = {vm.name: fleet.status(vm)["links"]["peers"] for vm in others}
    check(all(after[vm.name] < before[vm.name] for vm in fleet.entries()), f"links of entries: {before} {after}")
    check(CALLERS[0].complete(fleet.entries()[0].caller_address, "deposits").status == 200, "the rest serves")
    del fleet.listing_states[gone.name]
    fleet.start_daemon(gone)
    fleet.publish_vms()
    fleet.wait_ready([gone])
    cases.wait_linked(fleet)


if __name__ == "__main__":
    cases.run([gone_vm_is_forgotten], entry_settings={"vm_list_lag_ms": LAG_MS},
              agent_settings={"vm_list_lag_ms": LAG_MS})
