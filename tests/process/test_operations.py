"""Operations run at most once under kills, freezes, cuts and repeats."""
import signal
import threading

import cases
from cases import CALLERS, check, fl

BODY = {"cup": "A-17"}


def registry(fleet):
    return fleet.vm("registry-1")


def executions(fleet, operation):
    return fl.request("GET", registry(fleet).endpoint_address, "/executions").json().get(operation, 0)


def opened(fleet, entry=0):
    reply = CALLERS[0].open_operation(fleet.entries()[entry].caller_address, "redemptions")
    check(reply.status == 201, f"an operation is opened, got {reply.status} {reply.body!r}")
    return reply.json()["id"]


def run_in_background(fleet, entry, operation, results):
    def call():
        try:
            results.append(CALLERS[0].run_operation(fleet.entries()[entry].caller_address, operation, BODY, 20))
        except OSError as error:
            results.append(error)
    thread = threading.Thread(target=call)
    thread.start()
    return thread


def parallel_repeats(fleet):
    """parallel repeats at all entries run once and return one answer"""
    operation, results = opened(fleet), []
    fleet.faults(registry(fleet).endpoint_address, delay_ms=300)
    threads = [run_in_background(fleet, i % 4, operation, results) for i in range(8)]
    for thread in threads:
        thread.join()
    fleet.faults(registry(fleet).endpoint_address, delay_ms=None)
    check(all(r.status == 200 for r in results), f"all succeed: {[getattr(r, 'status', r) for r in results]}")
    check(len({r.body for r in results}) == 1, "all get the recorded answer")
    check(executions(fleet, operation) == 1, "the service ran it once")


def entry_killed(fleet):
    """an entry killed during the run leaves the result to a repeat at another entry"""
    operation, results = opened(fleet, 3), []
    fleet.faults(registry(fleet).endpoint_address, delay_ms=800)
    thread = run_in_background(fleet, 3, operation, results)
    fl.wait_for(lambda: fleet.status(registry(fleet))["operations"]["running"] > 0, "the operation runs")
    fleet.entries()[3].daemon.kill()
    thread.join()
    reply = CALLERS[0].run_operation(fleet.entries()[0].caller_address, operation, BODY)
    fleet.faults(registry(fleet).endpoint_address, delay_ms=None)
    check(reply.status == 200, f"the repeat gets the answer, got {reply.status}")
    check(executions(fleet, operation) == 1, "the service ran it once")
    fleet.start_daemon(fleet.entries()[3])
    fleet.wait_ready([fleet.entries()[3]])
    cases.wait_linked(fleet)


def agent_frozen(fleet):
    """an agent frozen during the run and resumed late does not run it again"""
    operation, results = opened(fleet), []
    fleet.faults(registry(fleet).endpoint_address, delay_ms=300)
    thread = run_in_background(fleet, 0, operation, results)
    fl.wait_for(lambda: fleet.status(registry(fleet))["operations"]["running"] > 0, "the operation runs")
    registry(fleet).daemon.send(signal.SIGSTOP)
    repeat = run_in_background(fleet, 1, operation, results)
    threading.Event().wait(2.5)
    registry(fleet).daemon.send(signal.SIGCONT)
    thread.join()
    repeat.join()
    fleet.faults(registry(fleet).endpoint_address, delay_ms=None)
    check(all(r.status == 200 or r.json()["outcome"] == "unknown" for r in results),
          f"answers are complete or unknown: {[(r.status, r.body) for r in results]}")
    check(executions(fleet, operation) == 1, "the service ran it once")
    cases.wait_linked(fleet)
    late = CALLERS[0].run_operation(fleet.entries()[2].caller_address, operation, BODY)
    check(late.status == 200 and executions(fleet, operation) == 1, "a later repeat returns the record")


def entry_frozen(fleet):
    """an entry frozen with a run in its hands and resumed late does not run it again"""
    operation, results = opened(fleet), []
    fleet.entries()[1].daemon.send(signal.SIGSTOP)
    thread = run_in_background(fleet, 1, operation, results)
    reply = CALLERS[0].run_operation(fleet.entries()[0].caller_address, operation, BODY)
    threading.Event().wait(1.5)
    fleet.entries()[1].daemon.send(signal.SIGCONT)
    thread.join()
    check(reply.status == 200, "another entry runs it")
    check(executions(fleet, operation) == 1, "the service ran it once")


def connection_closed_after(fleet):
    """a service that runs and then closes the connection gives unknown, and no repeat runs it"""
    operation = opened(fleet)
    fleet.faults(registry(fleet).endpoint_address, drop_after=True)
    first = CALLERS[0].run_operation(fleet.entries()[0].caller_address, operation, BODY)
    fleet.faults(registry(fleet).endpoint_address, drop_after=None)
    second = CALLERS[0].run_operation(fleet.entries()[1].caller_address, operation, BODY)
    check(first.status != 200 and first.json()["outcome"] == "unknown", f"unknown: {first.body!r}")
    check(second.status != 200 and second.json()["outcome"] == "unknown", f"unknown again: {second.body!r}")
    check(executions(fleet, operation) == 1, "the service ran it once")


def service_refuses(fleet):
    """a service that proves it did not run gives not_run, and a repeat may run it"""
    operation = opened(fleet)
    fleet.faults(registry(fleet).endpoint_address, refuse=True)
    first = CALLERS[0].run_operation(fleet.entries()[0].caller_address, operation, BODY)
    fleet.faults(registry(fleet).endpoint_address, refuse=None)
    check(first.json()["outcome"] == "not_run" and executions(fleet, operation) == 0, f"not run: {first.body!r}")
    second = CALLERS[0].run_operation(fleet.entries()[1].caller_address, operation, BODY)
    check(second.status == 200 and executions(fleet, operation) == 1, "the repeat runs it once")


def other_caller(fleet):
    """another caller's key cannot run or read an operation"""
    operation = opened(fleet)
    reply = CALLERS[1].run_operation(fleet.entries()[0].caller_address, operation, BODY)
    check(reply.status in (403, 404) and executions(fleet, operation) == 0, f"refused: {reply.status} {reply.body!r}")


def agent_restarted(fleet):
    """an agent killed and restarted never runs an id of its earlier incarnation"""
    ran, fresh, results = opened(fleet), opened(fleet), []
    fleet.faults(registry(fleet).endpoint_address, delay_ms=800)
    thread = run_in_background(fleet, 0, ran, results)
    fl.wait_for(lambda: executions(fleet, ran) == 1 or fleet.status(registry(fleet))["operations"]["running"] > 0,
                "the operation runs")
    registry(fleet).daemon.kill()
    thread.join()
    fleet.faults(registry(fleet).endpoint_address, delay_ms=None)
    fleet.start_daemon(registry(fleet))
    fleet.wait_ready([registry(fleet)])
    cases.wait_linked(fleet)
    check(results[0].json()["outcome"] == "unknown", f"the cut run is unknown: {results[0].body!r}")
    for operation in (ran, fresh):
        reply = CALLERS[0].run_operation(fleet.entries()[1].caller_address, operation, BODY)
        check(reply.status != 200 and reply.json()["outcome"] in ("unknown", "not_run"), f"refused: {reply.body!r}")
    check(executions(fleet, ran) <= 1 and executions(fleet, fresh) == 0, "nothing ran again")
    again = opened(fleet)
    check(CALLERS[0].run_operation(fleet.entries()[0].caller_address, again, BODY).status == 200, "new ids run")


if __name__ == "__main__":
    cases.run([parallel_repeats, entry_killed, agent_frozen, entry_frozen, connection_closed_after, service_refuses,
               other_caller, agent_restarted])
