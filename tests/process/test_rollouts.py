"""Weights reach every engine whole and are drawn about once under faults of store, engines and agents."""
import signal
import threading
import time

import cases
from cases import CALLERS, check, fl, loaded

MODEL, CHUNKS, CHUNK_BYTES = "cup-helper", 16, 32768
MAX_COPIES, MAX_COPIES_WITH_FAULT = 1.2, 4.0


class Rollouts:
    """Numbers the versions and revisions of a run."""
    revision, seed = 1, 100

    @classmethod
    def version(cls, fleet, chunks=CHUNKS, chunk_bytes=CHUNK_BYTES, shared=0):
        """Puts a new version into the store; returns (name, digest)."""
        cls.seed += 1
        name = f"t{cls.seed}"
        reply = fleet.check(fl.request("PUT", fleet.store, "/versions", {
            "model": MODEL, "version": name, "chunks": chunks, "chunk_bytes": chunk_bytes, "seed": cls.seed,
            "shared": shared}))
        return name, reply.json()["digest"]

    @classmethod
    def publish(cls, fleet, version):
        cls.revision += 1
        fleet.publish_manifest(fl.demo_manifest(cls.revision, version[1], version[0], CALLERS))


def engine_state(vm):
    return fl.request("GET", vm.endpoint_address, "/state").json()


def store_state(fleet):
    return fl.request("GET", fleet.store, "/state").json()


def ready_with(fleet, vm, digest):
    """Whether agent and engine of a VM agree that exactly this version runs."""
    return loaded(vm) == [digest] and fleet.status(vm)["ready_weights"] == [digest]


def wait_everywhere(fleet, version, timeout=60):
    for vm in fleet.agents("models"):
        fl.wait_for(lambda vm=vm: ready_with(fleet, vm, version[1]), f"{vm.name} runs {version[0]}", timeout)


def check_whole_loads(fleet):
    """No engine was ever ordered to load a chunk that it lacks or that is corrupt."""
    for vm in fleet.agents("models"):
        bad = [order for order in engine_state(vm)["orders"] if order["status"] == 422]
        check(not bad, f"{vm.name} refused no incomplete or corrupt load: {bad}")


def drawn_copies(fleet, before, bytes_of_version=CHUNKS * CHUNK_BYTES):
    return (store_state(fleet)["bytes_drawn"] - before) / bytes_of_version


def roll_out_during(fleet, limit, fault, seconds, clear):
    """Publishes a version while the store has a fault for some seconds; all engines get it within the limit."""
    before = store_state(fleet)["bytes_drawn"]
    fleet.faults(fleet.store, **fault)
    try:
        version = Rollouts.version(fleet)
        Rollouts.publish(fleet, version)
        if seconds:
            time.sleep(seconds)
            check(all(version[1] not in loaded(vm) for vm in fleet.agents("models")), "no engine runs the new version")
            fleet.faults(fleet.store, **clear)
        wait_everywhere(fleet, version, 90)
    finally:
        fleet.faults(fleet.store, **clear)
    check_whole_loads(fleet)
    copies = drawn_copies(fleet, before)
    check(copies <= limit, f"the store gave {copies:.2f} copies, the bound is {limit}")


def store_corrupts(fleet):
    """a store that corrupts chunks delays a rollout, but no engine gets a bad chunk"""
    roll_out_during(fleet, MAX_COPIES_WITH_FAULT, {"corrupt": 0.3}, 0, {"corrupt": None})


def store_refuses(fleet):
    """a store that refuses for a while delays a rollout, and chunks are drawn once afterwards"""
    roll_out_during(fleet, MAX_COPIES, {"refuse": True}, 3, {"refuse": None})


def store_stalls(fleet):
    """a store that stalls for a while delays a rollout, which completes afterwards"""
    roll_out_during(fleet, MAX_COPIES_WITH_FAULT, {"stall": True}, 3, {"stall": None})


def restarted_agent(fleet):
    """a restarted agent is ready by read-back without chunks, and draws none of them from the store again"""
    vm = fleet.agents("models")[0]
    before = store_state(fleet)["bytes_drawn"]
    orders = len(engine_state(vm)["orders"])
    others = [other for other in fleet.agents("models") if other is not vm]
    vm.daemon.kill()
    fleet.faults(fleet.store, refuse=True)
    for other in others:
        other.daemon.send(signal.SIGSTOP)
    try:
        fleet.start_daemon(vm)
        fl.wait_for(lambda: fleet.status(vm)["ready_weights"], "the agent is ready without chunks", 15)
        check(all(m["held"] == 0 for m in fleet.status(vm)["models"]), "it holds no chunks")
    finally:
        for other in others:
            other.daemon.send(signal.SIGCONT)
        fleet.faults(fleet.store, refuse=None)
    fl.wait_for(lambda: all(m["held"] == m["chunks"] > 0 for m in fleet.status(vm)["models"]),
                "it holds all chunks", 30)
    check(len(engine_state(vm)["orders"]) == orders, "the engine got no new order")
    check(store_state(fleet)["bytes_drawn"] == before, "nothing was drawn from the store again")


def killed_in_transfer(fleet):
    """an agent killed and restarted while a slow store is drawn still gets the version, within 4 copies"""
    before = store_state(fleet)["bytes_drawn"]
    vm = fleet.agents("models")[1]
    fleet.faults(fleet.store, bytes_per_second=100000)
    try:
        version = Rollouts.version(fleet)
        Rollouts.publish(fleet, version)
        fl.wait_for(lambda: drawn_copies(fleet, before) > 0.3, "a part is drawn", 20)
        progress = [(m["held"], m["chunks"]) for m in fleet.status(vm)["models"] if m["weights"] == version[1]]
        check(progress and progress[0][0] < progress[0][1] == CHUNKS, f"status shows the progress: {progress}")
        vm.daemon.kill()
        time.sleep(1)
        fleet.start_daemon(vm)
        wait_everywhere(fleet, version, 90)
    finally:
        fleet.faults(fleet.store, bytes_per_second=None)
    check_whole_loads(fleet)
    copies = drawn_copies(fleet, before)
    print(f"   copies drawn: {copies:.2f}")
    check(copies <= MAX_COPIES_WITH_FAULT, f"the store gave {copies:.2f} copies")


def changed_and_back(fleet):
    """a version changed in flight and changed back ends everywhere; shared chunks are drawn once"""
    state = store_state(fleet)
    fleet.faults(fleet.store, bytes_per_second=300000)
    try:
        first, second = Rollouts.version(fleet, shared=8), Rollouts.version(fleet, shared=8)
        Rollouts.publish(fleet, first)
        time.sleep(0.7)
        Rollouts.publish(fleet, second)
        time.sleep(0.7)
        Rollouts.publish(fleet, first)
        wait_everywhere(fleet, first, 60)
    finally:
        fleet.faults(fleet.store, bytes_per_second=None)
    check_whole_loads(fleet)
    drawn = {chunk: count - state["by_chunk"].get(chunk, 0)
             for chunk, count in store_state(fleet)["by_chunk"].items()}
    again = {chunk: count for chunk, count in drawn.items() if count > 1}
    check(not again, f"no chunk was drawn twice: {again}")


def late_agent(fleet):
    """an agent that joins after a rollout gets all chunks from its peers"""
    before = store_state(fleet)["bytes_drawn"]
    vm = fl.Vm("engine-late", "endpoint", f"{fleet.net}.2.9", "split-1", "split-1-a", "models", "engine")
    fleet.vms.append(vm)
    fleet.publish_vms()
    fleet.start_endpoint(vm)
    fleet.start_daemon(vm)
    digest = loaded(fleet.agents("models")[0])[0]
    try:
        fl.wait_for(lambda: ready_with(fleet, vm, digest), "the late agent is ready", 30)
        check(store_state(fleet)["bytes_drawn"] == before, "it drew nothing from the store")
    finally:
        vm.daemon.stop()
        vm.endpoint.stop()
        fleet.vms.remove(vm)
        fleet.publish_vms()


def failing_load(fleet):
    """an engine that fails its loads for a while runs the version once it loads again"""
    vm = fleet.agents("models")[2]
    fleet.faults(vm.endpoint_address, fail_load=True)
    try:
        version = Rollouts.version(fleet)
        Rollouts.publish(fleet, version)
        fl.wait_for(lambda: any(m["failures"] > 0 for m in fleet.status(vm)["models"]), "status shows the failure", 60)
    finally:
        fleet.faults(vm.endpoint_address, fail_load=None)
    wait_everywhere(fleet, version)


def lost_weights(fleet):
    """an engine that restarted without weights gets them again from its agent, without a draw"""
    vm = fleet.agents("models")[0]
    before = store_state(fleet)["bytes_drawn"]
    digest = loaded(vm)[0]
    vm.endpoint.kill()
    fleet.start_endpoint(vm)
    fl.wait_for(lambda: ready_with(fleet, vm, digest), "the engine runs the version again", 60)
    check(store_state(fleet)["bytes_drawn"] == before, "nothing was drawn from the store")


def runs_something_else(fleet):
    """an engine that runs other weights than wanted is brought back to the wanted ones"""
    vm = fleet.agents("models")[1]
    digest = loaded(vm)[0]
    fence = {"revision": Rollouts.revision, "incarnation": 1 << 63, "sequence": 1}
    fleet.faults(vm.endpoint_address, ignore_fence=True)
    try:
        fleet.check(fl.request("POST", vm.endpoint_address, "/orders", {
            "action": "unload", "model": MODEL, "version": "", "weights": digest, "chunks": [], "fence": fence}))
        check(loaded(vm) == [], "a foreign order removed the weights")
        fl.wait_for(lambda: ready_with(fleet, vm, digest), "the engine runs the wanted weights again", 60)
    finally:
        fleet.faults(vm.endpoint_address, ignore_fence=None)


def frozen_before_order(fleet):
    """an agent frozen before its order and resumed after a newer revision ends on the newest version"""
    vm = fleet.agents("models")[0]
    fleet.faults(vm.endpoint_address, ignore_fence=True)
    try:
        old, new = Rollouts.version(fleet), Rollouts.version(fleet)
        Rollouts.publish(fleet, old)
        fl.wait_for(lambda: any(m["weights"] == old[1] and m["held"] > 0 for m in fleet.status(vm)["models"]),
                    "chunks of the first version arrive", 20, 0.005)
        vm.daemon.send(signal.SIGSTOP)
        before = engine_state(vm)["orders"]
        check(all(order["weights"] != old[1] for order in before), "the agent was frozen before its order")
        Rollouts.publish(fleet, new)
        others = [other for other in fleet.agents("models") if other is not vm]
        for other in others:
            fl.wait_for(lambda other=other: ready_with(fleet, other, new[1]), f"{other.name} runs the newest", 60)
        vm.daemon.send(signal.SIGCONT)
        wait_everywhere(fleet, new)
        loads = [order for order in engine_state(vm)["orders"] if order["action"] == "load" and order["status"] == 200]
        check(loads[-1]["weights"] == new[1], "the newest version is the last one ordered")
        late = [order for order in engine_state(vm)["orders"][len(before):] if order["weights"] == old[1]]
        print(f"   orders for the older version after the pause: {len(late)}")
        time.sleep(2)
        check(ready_with(fleet, vm, new[1]), "the state stays the newest")
    finally:
        vm.daemon.send(signal.SIGCONT)
        fleet.faults(vm.endpoint_address, ignore_fence=None)


class Watcher:
    """Polls engines and asks for completions in threads until it is stopped."""

    def __init__(self, fleet):
        self.fleet, self.stop, self.most_not_ready, self.samples = fleet, threading.Event(), 0, 0
        self.bad, self.good, self.weights = [], 0, set()
        self.threads = [threading.Thread(target=self.poll)]
        self.threads += [threading.Thread(target=self.ask, args=(vm,)) for vm in fleet.entries()[:2] for _ in range(3)]

    def poll(self):
        while not self.stop.is_set():
            count = sum(fl.request("GET", vm.operator, "/readyz").status != 200 or not loaded(vm)
                        for vm in self.fleet.agents("models"))
            self.most_not_ready = max(self.most_not_ready, count)
            self.samples += 1
            time.sleep(0.01)

    def ask(self, entry):
        while not self.stop.is_set():
            reply = CALLERS[0].complete(entry.caller_address, "deposits", "during a change", 24)
            body = reply.json()
            if reply.status != 200:
                self.bad.append((reply.status, reply.body[:200]))
                time.sleep(0.05)
                continue
            self.weights.add(body["weights"])
            if body["choices"][0]["text"].count(" ") != 24:
                self.bad.append(body)
            self.good += 1

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *exception):
        self.stop.set()
        for thread in self.threads:
            thread.join()


def change_under_load(fleet):
    """a version change under load keeps max_unavailable, and every request is served whole"""
    old = loaded(fleet.agents("models")[0])[0]
    with Watcher(fleet) as watcher:
        time.sleep(1)
        version = Rollouts.version(fleet)
        Rollouts.publish(fleet, version)
        wait_everywhere(fleet, version)
        time.sleep(0.5)
    print(f"   samples {watcher.samples}, most not ready {watcher.most_not_ready}, served {watcher.good}, "
          f"not served {len(watcher.bad)}")
    check(watcher.most_not_ready <= 1, f"at most 1 engine was not ready, saw {watcher.most_not_ready}")
    check(watcher.weights == {old, version[1]}, f"answers come from both versions: {watcher.weights}")
    check(not watcher.bad, f"all requests are served: {watcher.bad[:5]}")


if __name__ == "__main__":
    cases.run([store_corrupts, store_refuses, store_stalls, restarted_agent, killed_in_transfer, changed_and_back,
               late_agent, failing_load, lost_weights, runs_something_else, frozen_before_order, change_under_load])
