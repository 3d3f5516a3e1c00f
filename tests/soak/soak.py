"""Runs gateways and stagers as processes, injects faults from outside, and checks what callers and servers see.

soak.py --seeds 50            seeds from --first on
soak.py --minutes 5           fresh seeds until the time is over
A broken promise prints the seed and keeps the logs (--keep FOLDER); exit code 1.
"""
import argparse
import os
import random
import signal
import sys
import threading
import time
import traceback

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import world as w  # noqa: E402  the path is set above
import configurations  # noqa: E402
import kept_connections  # noqa: E402
import late_starts  # noqa: E402
from world import pf, wait_for  # noqa: E402

FAULT_TIME_S, CALLERS, KEPT_CALLERS, FAULTS_PER_RUN = 7.0, 6, 6, 9
LONGEST_FAULT_S = 3.0
# Of the requests after the recovery time; single ones may meet an end of a process.
SERVED_SHARE = 0.9


def store_away(world, rng, wait):
    """The store turns gateways or stagers away, or falls silent for them."""
    hosts = rng.sample(w.GATEWAYS + w.ENGINES, rng.randint(1, len(w.GATEWAYS + w.ENGINES)))
    marked = rng.choice((world.store.turned_away, world.store.silent))
    cut_off = [server.id for host, server in zip(w.ENGINES, world.engines) if host in hosts]
    with world.record.span("store_away", [host for host in hosts if host in w.GATEWAYS]), \
            world.late_starts.stagers.span("store_away", cut_off):
        marked.update(hosts)
        wait()
        marked.difference_update(hosts)


def store_forgets(world, rng, wait):
    """The store loses its history."""
    world.store.forgotten = world.store.revision
    wait()


def process_killed(world, rng, wait):
    """Some gateways are killed and started again."""
    hosts = rng.sample(w.GATEWAYS, rng.randint(1, len(w.GATEWAYS)))
    with world.record.span("gateway_killed", hosts):
        for host in hosts:
            world.gateways[host].stop()
        time.sleep(rng.uniform(0.1, 0.8))
        for host in hosts:
            world.gateways[host] = world.fleet.gateway(host)


def stager_killed(world, rng, wait):
    """A stager is killed and started again."""
    server = rng.choice(world.engines)
    with world.late_starts.stagers.span("stager_killed", [server.id]):
        world.stagers[server].stop()
        time.sleep(rng.uniform(0.1, 0.8))
        world.stagers[server] = world.fleet.stager(server)


def process_paused(world, rng, wait):
    """Gateways and stagers are paused."""
    daemons = [d for d in [*world.gateways.values(), *world.stagers.values()] if d.process.poll() is None]
    chosen = rng.sample(daemons, rng.randint(1, 3))
    unstaged = [server.id for server, stager in world.stagers.items() if stager in chosen]
    with world.record.span("gateway_paused", [d.host for d in chosen if d.host in w.GATEWAYS]), \
            world.late_starts.stagers.span("stager_paused", unstaged):
        for daemon in chosen:
            daemon.process.send_signal(signal.SIGSTOP)
        wait()
        for daemon in chosen:
            if daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)


def link_fault(world, rng, wait):
    """Connections to some servers are delayed, silenced, cut one way or refused."""
    servers = rng.sample(world.plain + world.engines, rng.randint(1, 4))
    mode = rng.choice(("delay", "silent", "to_target", "to_client", "refuse"))
    # A link that refuses new connections harms none of the requests that a server has.
    with world.record.span("link_" + mode, [server.id for server in servers if mode != "refuse"]):
        for server in servers:
            server.proxy.delay_s, server.proxy.mode = rng.uniform(0.02, 0.3), mode
        wait()
        for server in servers:
            server.proxy.mode = "pass"


def links_reset(world, rng, wait):
    """All connections to some servers are reset."""
    servers = rng.sample(world.plain + world.engines, rng.randint(1, 4))
    with world.record.span("link_reset", [server.id for server in servers]):
        for server in servers:
            server.proxy.reset_links()


def servers_fail(world, rng, wait):
    """Servers of a pool fail part of their requests."""
    kinds = ("shed", "lose", "truncate", "unsigned", "error", "twice", "slow")
    servers = rng.sample(world.plain, rng.randint(1, len(world.plain)))
    for server in servers:
        server.faults = rng.sample(kinds, rng.randint(1, 3))
    wait()
    for server in servers:
        server.faults = []


def origin_fails(world, rng, wait):
    """The origin is away or spoils pieces while a version is declared."""
    world.origin.down, world.origin.corrupt = rng.choice((True, False)), rng.randint(0, 6)
    declare_version(world)
    wait()
    world.origin.down = False


def pieces_spoilt(world, rng, wait):
    """Staged pieces become corrupted, again and again, while a version is declared."""
    declare_version(world)
    for _ in range(rng.randint(2, 6)):
        time.sleep(rng.uniform(0.1, 0.8))
        for server in rng.sample(world.engines, rng.randint(1, len(world.engines))):
            for index in rng.sample(sorted(server.staged), min(len(server.staged), rng.randint(1, 3))):
                server.spoil(index)


def configured(world, rng, wait):
    """Configurations follow each other quickly."""
    for _ in range(rng.randint(1, 4)):
        configure(world)
        time.sleep(rng.uniform(0.05, 0.4))


def servers_pause(world, rng, wait):
    """Sound servers pause and go on, others refuse, and configurations and versions follow each other meanwhile."""
    pausing = [*rng.sample(world.plain, rng.randint(1, 2)), *rng.sample(world.engines, rng.randint(1, 2))]
    for server in world.plain + world.engines:
        server.pauses, server.refuses = server in pausing, server not in pausing
    for _ in range(rng.randint(3, 6)):
        rng.choice((configure, declare_version))(world)
        time.sleep(rng.uniform(0.2, 0.8))
    wait()
    for server in world.plain + world.engines:
        server.pauses = server.refuses = False


def requests_held(world, rng, wait):
    """Requests to model servers are held across the bound of a version of which the origin lacks a piece, and delivered."""
    for server in world.engines:
        server.proxy.spares_local = True
    world.origin.missing = {rng.randrange(pf.PIECES)}
    touched = [server.id for server in world.engines]
    with world.late_starts.stagers.span(late_starts.REACHED, touched):
        bound = declare_version(world) + w.VERSION_S
        time.sleep(bound - rng.uniform(1.0, 2.5) - time.monotonic())
        with world.record.span("link_held", touched):
            for server in world.engines:
                server.proxy.holding = True
            time.sleep(bound + rng.uniform(0.1, 1.0) - time.monotonic())
            for server in world.engines:
                server.proxy.holding = False
        time.sleep(1.0)  # in which servers get to what was held
    world.origin.missing = set()
    for server in world.engines:
        server.proxy.spares_local = False


FAULTS = (store_away, store_forgets, process_killed, stager_killed, process_paused, link_fault, links_reset,
          servers_fail, origin_fails, configured)
# In the order in which they were added.
ADDED_FAULTS = (pieces_spoilt, servers_pause, requests_held)


def configure(world, keys=None, extra=(), choose=None):
    with world.lock:
        world.version += 1
        world.keys = keys or world.keys
        drawn = configurations.draw(world.configuration_rng, world.version, world.origin, world.routes(extra), world.keys,
                                    choose)
        # First, since callers may know a change before the gateways.
        world.limits.declare(drawn["limits"])
        world.store.put("op/config", drawn)


def declare_version(world):
    with world.lock:
        world.weights += 1
        world.store.put("op/version/m", {"model": "m", "version": world.weights})
        at = time.monotonic()
        world.late_starts.declared.append((world.weights, at))
        return at


def inject(world, rng):
    """Faults that overlap; each is undone at its end."""
    plan = sorted((rng.uniform(0, FAULT_TIME_S - 1), rng.choice(FAULTS), rng.random()) for _ in range(FAULTS_PER_RUN))
    # Drawn last, so that known seeds keep the faults that they had.
    for added in ADDED_FAULTS:
        plan.append((rng.uniform(0, FAULT_TIME_S - 1), added, rng.random()))
    guards = {fault: threading.Lock() for fault in (*FAULTS, *ADDED_FAULTS)}  # one kind does not undo itself

    def run(at, fault, seed):
        own = random.Random(seed)
        time.sleep(at)
        with guards[fault]:
            fault(world, own, lambda: time.sleep(own.uniform(0.3, LONGEST_FAULT_S)))
    threads = [threading.Thread(target=run, args=entry) for entry in plan]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return [fault.__name__ for _, fault, _ in plan]


def check_recovered(world):
    """Requests are served again within the recovery time."""
    rng = random.Random(world.seed + 1)

    def served():
        return all(answer is not None and answer.status == 200 for gateway in world.gateways.values()
                   for answer in [world.call(kind, gateway, rng) for kind in w.PATHS])
    try:
        wait_for(served, "all gateways serve all routes", timeout=w.RECOVERY_S)
    except pf.FleetError as late:
        world.check(False, f"recovery: {late}")
    # The next check raises the limits while connections are idle and no fault excuses their close.
    configure(world, choose=min)
    time.sleep(w.STABLE_S)
    since = time.monotonic()
    time.sleep(1.5)
    recent = [a for begun, _, _, _, _, a in list(world.answers) if begun > since]
    good = sum(1 for a in recent if a is not None and a.status == 200 and a.whole)
    world.check(good >= SERVED_SHARE * len(recent), f"calm: {good} of {len(recent)} requests are served")


def check_configuration(world):
    """A new key and route are in force in time, and the old key is revoked."""
    rng, old = random.Random(world.seed + 2), world.keys[-1]
    configure(world, keys=(f"key-{world.version + 1}",), choose=max,
              extra=[pf.route("r-new", "a.example", "/new/", "idempotent", "plain")])
    time.sleep(w.CONFIG_APPLY_S)
    for host, gateway in world.gateways.items():
        with world.lock:
            attempt = f"{rng.getrandbits(64):016x}"
            world.sent[attempt] = "read"
        fresh = pf.call(gateway, "/new/x", key=world.keys[-1], headers={"Attempt-Id": attempt})
        world.check(fresh.status == 200, f"configuration: gateway {host} answers {fresh.status} on a new route")
        revoked = pf.call(gateway, "/read/x", key=old)
        world.check(revoked.status == 401, f"configuration: gateway {host} answers {revoked.status} to a revoked key")


def check_drain(world):
    """A server that leaves gets no request after the bound."""
    server = world.plain[0]
    server.register("draining")
    told = time.monotonic()
    time.sleep(w.DRAIN_S + 1)
    late = [at for at, _ in list(server.arrived) if at > told + w.DRAIN_S]
    world.check(not late, f"drain: {len(late)} requests after the bound, the last {max(late, default=0) - told:.2f} s")
    server.register()


def check_versions(world):
    """A declared version is on all servers before its bound."""
    declare_version(world)
    try:
        wait_for(lambda: all(s.models == {"m": world.weights} for s in world.engines), "the version is loaded",
                 timeout=w.VERSION_S)
    except pf.FleetError as late:
        world.check(False, f"version {world.weights}: {late}, loaded {[s.models for s in world.engines]}")


def check_termination(world):
    """SIGTERM cuts off no request, and the others serve on."""
    host = random.Random(world.seed + 3).choice(w.GATEWAYS)
    leaving = world.gateways[host]
    threads = [threading.Thread(target=world.call, args=("stream", leaving, random.Random(world.seed * 100 + n)))
               for n in range(8)]
    threads += [threading.Thread(target=kept_connections.stream_and_read, args=(world, leaving, world.seed * 200 + n))
                for n in range(4)]
    begun = time.monotonic()
    for thread in threads:
        thread.start()
    time.sleep(0.1)
    with world.record.span("planned_stop", [host]):
        leaving.process.send_signal(signal.SIGTERM)
        for thread in threads:
            thread.join()
        leaving.process.wait()
    world.check(leaving.process.returncode == 0, f"termination: exit code {leaving.process.returncode}")
    cut = [a for at, _, kind, _, where, a in list(world.answers)
           if begun <= at < begun + 0.1 and where == host and (a is None or (a.status == 200 and not a.whole))]
    world.check(not cut, f"termination: {len(cut)} requests are cut off at gateway {host}")
    world.gateways[host] = world.fleet.gateway(host)


def run_seed(seed, keep):
    """One run; returns the broken promises."""
    world = w.World(seed)
    rng, faults = random.Random(seed), []
    callers = [threading.Thread(target=world.caller, args=(n,), daemon=True) for n in range(CALLERS)]
    callers += [threading.Thread(target=kept_connections.run_caller, args=(world, n, w.GATEWAYS), daemon=True)
                for n in range(KEPT_CALLERS)]
    callers.append(threading.Thread(target=world.crashing.run, args=(world, w.GATEWAYS), daemon=True))
    try:
        for caller in callers:
            caller.start()
        time.sleep(0.5)
        faults = inject(world, rng)
        for check in (check_recovered, check_configuration, check_drain, check_versions, check_termination):
            check(world)
    except Exception:
        world.check(False, f"the run itself failed:\n{traceback.format_exc()}")
    finally:
        world.stop_callers.set()
        for caller in callers:
            caller.join()
        world.final_checks()
        world.close()
    if world.broken:
        world.keep_logs(keep)
    served = sum(1 for *_, a in world.answers if a is not None and a.status == 200 and a.whole)
    print(f"seed {seed}: {len(world.answers)} requests, {served} served, faults {' '.join(faults)}\n"
          f"  early ends by excuse: {dict(world.early_ends)}\n  kept connections: {dict(world.kept.counts)}\n"
          f"  crashes: {len(world.crashing.crashes)} on {len(world.crashing.sent)} requests\n"
          f"  closed servers: {world.closed_servers()}", flush=True)
    return world.broken


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--minutes", type=float, help="run fresh seeds for this time instead")
    parser.add_argument("--keep", default=os.path.join(w.pf.BUILD, "soak"), help="folder for the logs of failures")
    options = parser.parse_args()
    end = None if options.minutes is None else time.monotonic() + 60 * options.minutes
    seed = options.first if end is None else random.SystemRandom().randrange(1, 2**31)
    failed, done = 0, 0
    while (time.monotonic() < end) if end is not None else done < options.seeds:
        broken = run_seed(seed, options.keep)
        failed += bool(broken)
        for promise in broken[:5]:
            print(f"BROKEN seed {seed}: {promise}\n  python3 tests/soak/soak.py --first {seed}", flush=True)
        seed, done = seed + 1, done + 1
    print(f"{done - failed} passed, {failed} failed", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
