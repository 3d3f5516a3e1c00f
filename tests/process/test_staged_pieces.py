"""Staged pieces that become corrupted after they were read back."""
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_fleet as pf  # noqa: E402  the path is set above
from platform_fleet import call, check, wait_for  # noqa: E402

# Bound of a version, and of a load after that.
VERSION_S = 8


def declare(fleet):
    """Declares the next version; returns its number."""
    fleet.weights = getattr(fleet, "weights", 1) + 1
    fleet.store.put("op/version/m", {"model": "m", "version": fleet.weights})
    return fleet.weights


def start_stagers(fleet):
    """The stager of each engine, which knows of the others."""
    if not hasattr(fleet, "stagers"):
        fleet.stagers = {engine: fleet.stager(engine) for engine in fleet.engines}
        wait_for(lambda: all("version_wanted" in s.log_text() for s in fleet.stagers.values()), "stagers know version 1")
    for engine in fleet.engines:
        engine.load_s, engine.read_delay_s, engine.order_delay_s = 0.3, 0, 0
        engine.spoilt_in_order.clear()
        engine.reads.clear()
        engine.orders.clear()


def wait_loaded(fleet, version, timeout=VERSION_S):
    wait_for(lambda: all(e.models == {"m": version} for e in fleet.engines), f"version {version} is loaded", timeout)


def waiting_engine(fleet, version, load_s):
    """An engine that has staged a version and waits for the other one, whose load takes long."""
    def stages(engine):
        return [line for line in fleet.stagers[engine].log_text().splitlines()
                if '"load_stage"' in line and f'"version":"{version}"' in line]
    for engine in fleet.engines:
        engine.load_s = load_s

    def find():
        first = [e for e in fleet.engines if e.orders]
        second = [e for e in fleet.engines if not e.orders and any('"waiting"' in line for line in stages(e))]
        return second[0] if first and second else None
    return wait_for(find, "one engine loads and the other one waits")


def check_recent(engine):
    late = [age for ages in engine.spoilt_in_order for age in ages.values() if age > pf.SPOILT_LIMIT_S]
    check(not late, f"seconds since pieces were corrupted when they were loaded: {late}")


def check_sound(engine, version):
    check_recent(engine)
    staged = engine.orders[-1][2]
    check(all(staged[i] == pf.piece("m", version, i) for i in range(pf.PIECES)), "the pieces that were loaded are sound")


# Guards against an order over pieces that were read back before a long wait for the turn.
def case_corrupted_while_waiting(fleet):
    """a piece that becomes corrupted while a server waits for its turn is not loaded"""
    start_stagers(fleet)
    version = declare(fleet)
    engine = waiting_engine(fleet, version, load_s=4.5)
    engine.spoil(3)
    wait_loaded(fleet, version, timeout=VERSION_S + 5)
    check_sound(engine, version)


# Guards against an order that follows a freeze of the stager at once.
def case_corrupted_while_frozen(fleet):
    """a piece that becomes corrupted while a stager stands still is not loaded"""
    start_stagers(fleet)
    version = declare(fleet)
    engine = waiting_engine(fleet, version, load_s=1.5)
    fleet.stagers[engine].process.send_signal(signal.SIGSTOP)
    engine.spoil(0)
    engine.spoil(pf.PIECES - 1)
    time.sleep(pf.SPOILT_LIMIT_S + 1)
    fleet.stagers[engine].process.send_signal(signal.SIGCONT)
    wait_loaded(fleet, version)
    check_sound(engine, version)


# Guards against a read-back that is old when its last piece has been read.
def case_slow_reads(fleet):
    """a piece that becomes corrupted early in a slow read-back is not loaded late, on a server without weights"""
    start_stagers(fleet)
    version = declare(fleet)
    wait_loaded(fleet, version)
    engine = fleet.engines[0]
    engine.orders.clear()
    engine.reads.clear()
    engine.read_delay_s = 0.25
    engine.models, engine.born = {}, engine.born + 1000  # restarted
    engine.register()
    first = wait_for(lambda: engine.reads[:1], "a piece is read")[0]
    time.sleep(2 * engine.read_delay_s)
    engine.spoil(first)
    wait_loaded(fleet, version, timeout=VERSION_S + 5)
    check_recent(engine)


# Guards against requests on weights that were corrupt when the order was accepted, later than the reads count.
def case_late_acceptance(fleet):
    """a server that accepts its order late serves only if its pieces are still sound"""
    start_stagers(fleet)
    engine = fleet.engines[0]
    ended = threading.Event()

    def call_all_the_time():
        while not ended.wait(0.05):
            call(fleet.gateways[0], "/stream/1", "POST", b"p")
    callers = threading.Thread(target=call_all_the_time)
    callers.start()
    try:
        # After a restart the server has no weights, and no turn is announced to the gateways.
        for restart, corrupt in ((False, False), (False, True), (True, False), (True, True)):
            load_late(fleet, engine, restart, corrupt)
    finally:
        ended.set()
        callers.join()
    check(not engine.spoilt_runs, f"{engine.spoilt_runs} requests on corrupt weights")
    version = declare(fleet)
    wait_loaded(fleet, version, timeout=VERSION_S + 5)
    engine.seen.clear()
    wait_for(lambda: call(fleet.gateways[0], "/stream/1", "POST", b"p") and engine.seen, "the next version serves again")


def load_late(fleet, engine, restart, corrupt):
    """Loads a version with an order that is accepted late, and checks whether it is served."""
    text = lambda: fleet.stagers[engine].log_text()
    lates = text().count("order_accepted_late")
    engine.order_delay_s = pf.SPOILT_LIMIT_S + 0.5
    version = fleet.weights if restart else declare(fleet)
    ordered = lambda: text().count(f'"stage":"loading","model":"m","version":"{version}"')
    before = ordered()
    if restart:
        engine.models, engine.born = {}, engine.born + 1000
        engine.register()
    wait_for(lambda: ordered() > before, "the order is sent", VERSION_S)
    if corrupt:
        time.sleep(0.3)
        engine.spoil(2)
    wait_loaded(fleet, version, timeout=VERSION_S + 5)
    wait_for(lambda: text().count("order_accepted_late") > lates, "the late order is noticed")
    time.sleep(1.5)
    engine.seen.clear()
    for _ in range(20):
        call(fleet.gateways[0], "/stream/1", "POST", b"p")
    check(bool(engine.seen) != corrupt, f"{len(engine.seen)} requests after a late order, corrupt: {corrupt}")
    engine.order_delay_s = 0


# Guards against running streams that a load aborts before another server has begun with them.
def case_running_streams(fleet):
    """a load aborts no running streams, whether the other server has room for them or not, and comes within its bound"""
    start_stagers(fleet)
    for running in ((2, 4), (2, 1)):
        wait_loaded(fleet, getattr(fleet, "weights", 1))
        for engine, count in zip(fleet.engines, running):
            engine.orders.clear()
            engine.running = count
        version = declare(fleet)
        wait_loaded(fleet, version)
        orders = sorted((order for engine in fleet.engines for order in engine.orders), key=lambda order: order[0])
        modes = [order[1]["start_mode"] for order in orders]
        check(modes == ["queue", "queue"], f"running {running} of 4 slots: start modes {modes}")
    for engine in fleet.engines:
        engine.running = 0


# Guards against layers that closed a server for an older version and were corrupt: the rest of their version joins them.
def case_late_partial_load(fleet):
    """a version whose first layers were loaded late from corrupt pieces serves nothing"""
    start_stagers(fleet)
    wait_loaded(fleet, getattr(fleet, "weights", 1))
    engine = fleet.engines[0]
    fleet.origin.missing = {pf.PIECES - 1}
    try:
        version = declare(fleet)
        declared = time.monotonic()
        text = lambda: fleet.stagers[engine].log_text()
        staged = lambda: "partial_load_staged" in text()
        wait_for(staged, "layers are staged before the bound", VERSION_S)
        engine.order_delay_s = pf.SPOILT_LIMIT_S + 1
        # The order is under way. A stager that runs would stage the layers again when it gets no answer.
        time.sleep(max(0, declared + VERSION_S - 0.4 - time.monotonic()))
        engine.spoil(0)
        fleet.stagers[engine].process.send_signal(signal.SIGSTOP)
        wait_for(lambda: engine.orders, "layers are ordered", VERSION_S)
        fleet.stagers[engine].process.send_signal(signal.SIGCONT)
        check(engine.spoilt_in_order[-1].get(0, 0) > pf.SPOILT_LIMIT_S, "the order is accepted late")
        engine.order_delay_s = 0
    finally:
        fleet.origin.missing = set()
    other = fleet.engines[1]
    wait_for(lambda: other.models == {"m": version} and other.layers == (0, pf.LAYERS), "the other server has it", 20)
    time.sleep(3)  # in which this one would be completed too
    for _ in range(20):
        call(fleet.gateways[0], "/stream/1", "POST", b"p")
    check(not engine.spoilt_runs, f"{engine.spoilt_runs} requests on corrupt weights")
    check(not (engine.spoilt_weights and engine.layers == (0, pf.LAYERS)), "corrupt layers were completed")
    version = declare(fleet)
    wait_loaded(fleet, version, timeout=VERSION_S + 5)
    engine.seen.clear()
    wait_for(lambda: call(fleet.gateways[0], "/stream/1", "POST", b"p") and engine.seen, "the next version serves again")


CASES = [case_corrupted_while_waiting, case_corrupted_while_frozen, case_slow_reads, case_late_acceptance,
         case_running_streams, case_late_partial_load]

if __name__ == "__main__":
    pf.run_cases(CASES)
