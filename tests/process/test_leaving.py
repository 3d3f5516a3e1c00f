"""Leaving agents and entries cut nothing off and get no new work; dead agents get none either."""
import json
import os
import signal
import threading
import time

import cases
from cases import CALLERS, check, fl

TOKENS = 500
LEAVE_TIMEOUT_S = 20
EXIT_TIMEOUT_S = 40


class Load:
    """Callers that stream one completion after the other until the block ends."""

    def __init__(self, entries, tokens=TOKENS, callers_per_entry=2):
        self.results, self.stopped = [], threading.Event()
        self.tokens = tokens
        self.threads = [threading.Thread(target=self.call, args=(vm.caller_address,))
                        for vm in entries for _ in range(callers_per_entry)]

    def call(self, address):
        while not self.stopped.is_set():
            status, pieces, complete = CALLERS[0].stream(address, "deposits", "leaving", self.tokens)
            self.results.append((status, len("".join(pieces).split()), complete, "".join(pieces)[-200:]))
            if not complete:
                self.stopped.wait(0.05)

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *exception):
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def check_whole(self):
        """Every stream was served and is whole."""
        bad = [r for r in self.results if r[:3] != (200, self.tokens, True)]
        check(self.results and not bad, f"all {len(self.results)} streams are whole, bad: {bad[:5]}")

    def check_open(self):
        """No stream was ended as complete that is not whole."""
        check(all(r[1] == self.tokens for r in self.results if r[2]), "complete streams are whole")


def started(vm):
    """Work that ever reached the engine of a VM."""
    return set(fl.request("GET", vm.endpoint_address, "/state").json()["started"])


def wait_leaving(fleet, vm):
    """Waits until the process itself leaves, and for what it handed over just before."""
    fl.wait_for(lambda: fleet.status(vm)["stage"] != 0, f"{vm.name} leaves", LEAVE_TIMEOUT_S)
    time.sleep(0.3)


def wait_running(fleet, vm):
    try:
        fl.wait_for(lambda: fleet.status(vm)["running"] > 0, f"{vm.name} runs work")
    except fl.FleetError as error:
        page = fleet.status(vm)
        seen = [(entry.name, fleet.status(entry)["running"], state_at(fleet, entry, vm),
                 [e for e in fleet.status(entry)["endpoints"] if e["name"] == vm.name]) for entry in fleet.entries()]
        sent = [e for e in fleet.timeline() if e["event"] in ("work_sent", "work_unanswered")][-4:]
        raise fl.FleetError(f"{error}; ready {page['ready']}, models {page.get('models')}; entries {seen}; "
                            f"last work {sent}") from error


def exit_code(vm):
    return vm.daemon.child.wait(EXIT_TIMEOUT_S)


def state_at(fleet, observer, vm):
    return next((m["state"] for m in fleet.status(observer)["members"] if m["name"] == vm.name), None)


def restart(fleet, vm, code=None):
    """Starts a VM's daemon again as a live one, with the usual settings. A code is the exit code to expect before."""
    if vm.daemon.running() and code is not None:
        vm.daemon.send(signal.SIGTERM)
        check(exit_code(vm) == code, f"{vm.name} ended with {vm.daemon.child.returncode}, expected {code}")
    elif vm.daemon.running():
        vm.daemon.kill()
    fleet.listing_states.pop(vm.name, None)
    fleet.publish_vms()
    fleet.start_daemon(vm)
    fleet.wait_healthy(vm)
    fleet.wait_ready([vm])
    cases.wait_linked(fleet)
    fl.wait_for(lambda: all(state_at(fleet, entry, vm) == "live" for entry in fleet.entries()
                            if entry is not vm), f"{vm.name} is live again", LEAVE_TIMEOUT_S)


def events(fleet, vm, kind):
    page = fl.request("GET", vm.operator, "/timeline").json()
    return [event for event in page["events"] if event["event"] == kind]


def log_events(fleet, vm, kind):
    """Log lines of one kind of a VM's daemon, oldest first."""
    with open(os.path.join(fleet.folder, vm.name + ".log"), encoding="utf-8") as file:
        lines = [json.loads(line) for line in file if line.startswith("{")]
    return [line for line in lines if line["event"] == kind]


def agent_terminated(fleet):
    """SIGTERM to an agent cuts no stream, and no new work reaches its engine"""
    victim = fleet.agents("models")[0]
    with Load(fleet.entries()) as load:
        wait_running(fleet, victim)
        victim.daemon.send(signal.SIGTERM)
        wait_leaving(fleet, victim)
        before = started(victim)
        check(len(events(fleet, victim, "leaving")) == 1, "the time line has the departure")
        check(exit_code(victim) == 0, f"exit code {victim.daemon.child.returncode}")
        time.sleep(2)
    load.check_whole()
    check(started(victim) == before, f"no new work: {started(victim) - before}")
    check([e["cut"] for e in log_events(fleet, victim, "left")] == ["0"], "the log reports that nothing was cut")
    restart(fleet, victim)


def agent_listed_leaving(fleet):
    """an agent that the VM list names leaving cuts no stream, and no new work reaches its engine"""
    victim = fleet.agents("models")[1]
    with Load(fleet.entries()) as load:
        wait_running(fleet, victim)
        fleet.listing_states[victim.name] = "leaving"
        fleet.publish_vms()
        wait_leaving(fleet, victim)
        before = started(victim)
        for entry in fleet.entries():
            fl.wait_for(lambda entry=entry: state_at(fleet, entry, victim) == "leaving",
                        f"{entry.name} knows that {victim.name} leaves")
        time.sleep(3)
    load.check_whole()
    check(started(victim) == before, f"no new work: {started(victim) - before}")
    check(events(fleet, victim, "leaving"), "the time line has the departure")
    check(victim.daemon.running(), "it runs on until it is told to end")
    restart(fleet, victim, 0)


def listed_leaving_late_finish(fleet):
    """streams that outlast the drain deadline of a listed departure run on and are not reported as cut"""
    victim = fleet.agents("models")[1]
    victim.daemon.kill()
    fleet.agent_settings = {"drain_deadline_ms": 300}
    restart(fleet, victim)
    fleet.agent_settings = {}
    with Load(fleet.entries(), 1500) as load:
        wait_running(fleet, victim)
        fleet.listing_states[victim.name] = "leaving"
        fleet.publish_vms()
        wait_leaving(fleet, victim)
    load.check_whole()
    restart(fleet, victim, 0)


def entry_frozen(fleet):
    """an entry frozen before a departure and resumed after it places no work on the leaving endpoint"""
    entry, victim = fleet.entries()[2], fleet.agents("models")[2]
    entry.daemon.send(signal.SIGSTOP)
    late = Load([entry], 50, 6)
    others = [vm for vm in fleet.entries() if vm is not entry]
    try:
        with Load(others, 2500) as load:
            wait_running(fleet, victim)
            victim.daemon.send(signal.SIGTERM)
            wait_leaving(fleet, victim)
            before = started(victim)
            with late:
                time.sleep(0.2)
                check(victim.daemon.running(), "the endpoint still drains when the entry wakes")
                entry.daemon.send(signal.SIGCONT)
                time.sleep(2)
            check(exit_code(victim) == 0, f"exit code {victim.daemon.child.returncode}")
    finally:
        entry.daemon.send(signal.SIGCONT)
    load.check_whole()
    late.check_whole()
    check(started(victim) == before, f"no new work: {started(victim) - before}")
    restart(fleet, victim)


def service_leaving(fleet):
    """a leaving service agent refuses new operations with not_run and still answers recorded results"""
    victim, entries = fleet.vm("registry-1"), [vm.caller_address for vm in fleet.entries()]
    ran, idle = [CALLERS[0].open_operation(entries[0], "redemptions").json()["id"] for _ in range(2)]
    first = CALLERS[0].run_operation(entries[0], ran, {"cup": 1})
    check(first.status == 200, f"the operation runs before the departure, got {first.status}")
    fleet.listing_states[victim.name] = "leaving"
    fleet.publish_vms()
    wait_leaving(fleet, victim)
    for entry in entries:
        refused = CALLERS[0].open_operation(entry, "redemptions")
        check(refused.status != 201 and refused.json()["outcome"] == "not_run", f"no new operation: {refused.body!r}")
        repeat = CALLERS[0].run_operation(entry, ran, {"cup": 1})
        check(repeat.status == 200 and repeat.body == first.body, f"the recorded result is answered: {repeat.body!r}")
        unrun = CALLERS[0].run_operation(entry, idle, {"cup": 2})
        check(unrun.status != 200 and unrun.json()["outcome"] == "not_run", f"no new run: {unrun.body!r}")
    executions = fl.request("GET", victim.endpoint_address, "/executions").json()
    check(executions.get(ran) == 1 and idle not in executions, "the service ran the first operation only, once")
    restart(fleet, victim, 0)


def listed_at(vm):
    return {e["address"] for e in fl.request("GET", vm.caller_address, "/v1/entries").json()["entries"]}


def entry_terminated(fleet):
    """SIGTERM to an entry takes it off all lists while it serves those who were told of it, and cuts no stream"""
    victim = fleet.entries()[3]
    others = [vm for vm in fleet.entries() if vm is not victim]
    max_age = fl.request("GET", others[0].caller_address, "/v1/entries").json()["max_age_ms"] / 1000
    with Load([victim], TOKENS) as load:
        wait_running(fleet, victim)
        victim.daemon.send(signal.SIGTERM)
        told = time.monotonic()
        for vm in fleet.entries():
            fl.wait_for(lambda vm=vm: victim.caller_address not in listed_at(vm), f"{vm.name} lists it no more")
        check(events(fleet, victim, "leaving"), "the time line has the departure")
        time.sleep(max(0, told + max_age - TOKENS * 0.002 - 1 - time.monotonic()))
    load.check_whole()
    # The last stream begins within the announced time and ends after it.
    with Load([victim], 1200) as last:
        last.stopped.set()
    last.check_whole()
    check(exit_code(victim) == 0, f"exit code {victim.daemon.child.returncode}")
    check([e["cut"] for e in log_events(fleet, victim, "left")] == ["0"], "the log reports that nothing was cut")
    restart(fleet, victim)


def entry_listed_leaving(fleet):
    """an entry that the VM list names leaving is listed nowhere, also not by itself, and still serves"""
    victim = fleet.entries()[0]
    fleet.listing_states[victim.name] = "leaving"
    fleet.publish_vms()
    for vm in fleet.entries():
        fl.wait_for(lambda vm=vm: victim.caller_address not in listed_at(vm), f"{vm.name} lists it no more")
    with Load([victim]) as load:
        load.stopped.set()
    load.check_whole()
    fleet.listing_states.pop(victim.name)
    fleet.publish_vms()
    for vm in fleet.entries():
        fl.wait_for(lambda vm=vm: victim.caller_address in listed_at(vm), f"{vm.name} lists it again")


def deadline_too_short(fleet):
    """a drain deadline that cuts streams off is reported in the log and by the exit code"""
    for victim in (fleet.agents("models")[0], fleet.entries()[1]):
        fleet.agent_settings = fleet.entry_settings = {"drain_deadline_ms": 300}
        victim.daemon.kill()
        restart(fleet, victim)
        fleet.agent_settings, fleet.entry_settings = {}, {}
        with Load(fleet.entries(), 1500) as load:
            wait_running(fleet, victim)
            victim.daemon.send(signal.SIGTERM)
            check(exit_code(victim) == 1, f"{victim.name}: exit code {victim.daemon.child.returncode}")
        load.check_open()
        cut = log_events(fleet, victim, "left")[-1]["cut"]
        check(int(cut) > 0, f"{victim.name}: the log reports the cut count, got {cut}")
        restart(fleet, victim)


def check_no_work_after(fleet, victim):
    """From now on no entry sends work to the victim and its engine starts none."""
    known_us, before = time.time() * 1e6, started(victim)
    time.sleep(2)
    late = [e for e in fleet.timeline() if e["event"] == "work_sent" and e["endpoint"] == victim.name
            and e["wall_us"] > known_us]
    check(not late, f"no work is sent there: {late[:3]}")
    check(started(victim) == before, f"its engine starts nothing: {started(victim) - before}")


def agent_killed(fleet):
    """a killed agent gets no work from any entry 1 s later"""
    victim = fleet.agents("models")[1]
    with Load(fleet.entries(), 100) as load:
        wait_running(fleet, victim)
        victim.daemon.kill()
        time.sleep(1)
        states = [state_at(fleet, entry, victim) for entry in fleet.entries()]
        check("live" not in states, f"no entry takes it for live: {states}")
        check_no_work_after(fleet, victim)
    load.check_open()
    restart(fleet, victim)


def agent_frozen(fleet):
    """a frozen agent gets no work from an entry that suspects it, and serves again after it woke"""
    victim = fleet.agents("models")[1]
    with Load(fleet.entries(), 100) as load:
        wait_running(fleet, victim)
        victim.daemon.send(signal.SIGSTOP)
        try:
            for entry in fleet.entries():
                fl.wait_for(lambda entry=entry: state_at(fleet, entry, victim) in ("suspected", "dead"),
                            f"{entry.name} suspects {victim.name}")
            check_no_work_after(fleet, victim)
        finally:
            victim.daemon.send(signal.SIGCONT)
        wait_running(fleet, victim)
    load.check_open()
    cases.wait_linked(fleet)


if __name__ == "__main__":
    cases.run([agent_terminated, agent_listed_leaving, listed_leaving_late_finish, entry_frozen, service_leaving,
               entry_terminated, entry_listed_leaving, deadline_too_short, agent_killed, agent_frozen])
