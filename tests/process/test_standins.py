"""Checks the interface and each fault of the platform stand-ins.

Guards against a process test that passes only because a stand-in did not inject the fault it was told to inject, or
broke the interface by itself. Waits have wide upper limits; no check depends on speed.
"""
import hashlib
import http.client
import json
import os
import sys
import tempfile
import threading

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts"))
from fleet import BUILD, NET, Process, request, sha256, wait_for  # noqa: E402

WAIT_S = 30
STALL_S = 1  # how long a stalled connection is watched


class Standin:
    """One stand-in process; ended when the block is left."""

    def __init__(self, kind, host, folder, *options):
        self.address = f"{NET}.8.{host}:9000"
        program = os.path.join(BUILD, "tests", "standin_" + kind)
        self.process = Process(kind, [program, "--listen", self.address, *options], os.path.join(folder, kind + ".log"))

    def __enter__(self):
        wait_for(lambda: self("GET", "/healthz").status == 200, f"{self.process.name} answers")
        return self

    def __exit__(self, *exception):
        code = self.process.stop()
        if exception[0] is None:
            expect(code, 0, f"exit code of {self.process.name} after SIGTERM")

    def __call__(self, method, path, body=None, timeout=WAIT_S):
        return request(method, self.address, path, body, timeout=timeout)

    def faults(self, **faults):
        expect(self("PUT", "/faults", faults).status, 200, "PUT /faults")

    def lines(self, request_id, weights, tokens=6, prompt="cup", timeout=WAIT_S):
        """A generated stream: (lines, whether the response ended normally)."""
        connection = http.client.HTTPConnection(self.address, timeout=timeout)
        body = {"request_id": request_id, "weights": weights, "prompt": prompt, "max_tokens": tokens, "priority": 0}
        data, ended = b"", False
        try:
            connection.request("POST", "/generate", json.dumps(body))
            response = connection.getresponse()
            expect(response.status, 200, "POST /generate")
            # Unlike readline, read1 raises an error when the connection closes before the last HTTP chunk.
            while block := response.read1():
                data += block
            ended = True
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        return [json.loads(line) for line in data.splitlines()], ended


def expect(actual, wanted, what):
    if actual != wanted:
        raise AssertionError(f"{what}: expected {wanted!r}, found {actual!r}")


def expect_lost(call, what):
    """The connection must end without an answer."""
    try:
        reply = call()
    except OSError:
        return
    raise AssertionError(f"{what}: expected no answer, found status {reply.status}")


def check_common(standin, path, method="GET"):
    """Faults that every stand-in has, and the rules of PUT /faults."""
    expect(standin("PUT", "/faults", {"no_such_fault": True}).status, 400, "an unknown fault")
    expect(standin("PUT", "/faults", "{").status, 400, "a body that is not JSON")
    standin.faults(delay_ms=20)
    standin.faults(down=True)
    expect(sorted(standin("GET", "/faults").json()), ["delay_ms", "down"], "PUT /faults replaces only named keys")
    expect(standin(method, path).status, 503, "an answer while down")
    standin.faults(down=False)
    standin.faults(delay_ms=None)
    expect(standin("GET", "/faults").json(), {}, "false and null clear a fault")
    standin.faults(delay_ms=60000)
    expect_lost(lambda: standin(method, path, timeout=STALL_S), "delay_ms")
    standin.faults(delay_ms=None)


def test_configuration(folder):
    with Standin("configuration", 1, folder) as service:
        check_common(service, "/values/k")
        expect(service("GET", "/values/k").status, 404, "a missing key")
        service("PUT", "/values/products/a", b"one\x00")
        first = service("GET", "/values/products/a")
        expect((first.status, first.body), (200, b"one\x00"), "a value")
        version = first.headers["X-Version"]
        path = f"/values/products/a?after={version}&wait_ms="
        expect(service("GET", path + "50").status, 304, "a watch without a change")
        found = []
        watch = threading.Thread(target=lambda: found.append(service("GET", path + "30000")))
        watch.start()
        wait_for(lambda: service("GET", "/state").json()["watching"] == 1, "the watch waits")
        service("PUT", "/values/products/a", "two")
        watch.join()
        expect(found[0].body, b"two", "a watch that sees a change")
        assert found[0].headers["X-Version"] != version
        calls = service("GET", "/state").json()["calls"]
        service.faults(stale=True)
        service("PUT", "/values/products/a", "three")
        expect(service("GET", "/values/products/a").body, b"two", "a stale value")
        expect(service("GET", "/state").json()["calls"], calls + 1, "counted calls")
        service.faults(stale=False)
        expect(service("GET", "/values/products/a").body, b"three", "the value after stale")
        service.faults(flap=True)
        service("PUT", "/values/products/a", "four")
        seen = {service("GET", "/values/products/a").body for _ in range(2)}
        expect(seen, {b"three", b"four"}, "two reads while flapping")
        service.faults(flap=None)
        version = service("GET", "/values/products/a").headers["X-Version"]
        path = f"/values/products/a?after={version}&wait_ms=30000"
        watch = threading.Thread(target=lambda: found.append(service("GET", path)))
        watch.start()
        wait_for(lambda: service("GET", "/state").json()["watching"] == 1, "the second watch waits")
        service.faults(down=True)
        watch.join()
        expect(found[1].status, 503, "a watch that waits when the service goes down")
        service.faults(down=False)
        expect_lost(lambda: service("GET", path, timeout=STALL_S), "a watch whose reader leaves")
        wait_for(lambda: service("GET", "/state").json()["watching"] == 0, "the watch is forgotten")


def test_vm_list(folder):
    with Standin("vm_list", 2, folder) as vms:
        check_common(vms, "/vms")
        expect(vms("GET", "/vms").json(), {"vms": []}, "the first list")
        vm = {"name": "e1", "address": "127.0.1.1", "kind": "entry", "region": "dar", "failure_domain": "dar-a",
              "pool": "", "state": "live"}
        expect(vms("PUT", "/vms", {"vms": [{**vm, "state": "gone"}]}).status, 400, "an invalid state")
        expect(vms("PUT", "/vms", {"vms": [vm]}).status, 200, "PUT /vms")
        old = vms("GET", "/vms").json()
        vms.faults(lag_ms=3600000)
        vms("PUT", "/vms", {"vms": [{**vm, "state": "leaving"}]})
        expect(vms("GET", "/vms").json(), old, "a lagging list")
        vms.faults(lag_ms=None)
        expect(vms("GET", "/vms").json()["vms"][0]["state"], "leaving", "the list without lag")


def put_version(store, **changes):
    body = {"model": "m", "version": "1", "chunks": 3, "chunk_bytes": 1001, "seed": 7, **changes}
    digest = store("PUT", "/versions", body).json()["digest"]
    text = store("GET", "/versions/" + digest).body
    expect(sha256(text), digest, "the digest of a descriptor")
    return digest, json.loads(text)


def test_store(folder):
    with Standin("store", 3, folder) as store:
        check_common(store, "/versions/none")
        digest, version = put_version(store)
        expect(put_version(store)[0], digest, "the same version again")
        chunks = [chunk["digest"] for chunk in version["chunks"]]
        expect(len(set(chunks)), 3, "different chunks")
        for chunk in version["chunks"]:
            data = store("GET", "/chunks/" + chunk["digest"]).body
            expect((len(data), sha256(data)), (chunk["size"], chunk["digest"]), "a chunk")
        second, third = (put_version(store, seed=seed, shared=2)[1]["chunks"] for seed in (8, 9))
        expect([a == b for a, b in zip(second, third)], [True, True, False], "shared leading chunks")
        state = store("GET", "/state").json()
        expect((state["bytes_drawn"], state["by_chunk"]), (3003, {c: 1 for c in chunks}), "counted draws")
        path = "/chunks/" + chunks[0]
        store.faults(corrupt=True)
        data = store("GET", path).body
        expect((len(data), sha256(data) == chunks[0]), (1001, False), "a corrupt chunk")
        store.faults(corrupt=0.5)
        intact = sum(sha256(store("GET", path).body) == chunks[0] for _ in range(40))
        assert 0 < intact < 40, f"{intact} of 40 chunks intact at probability 0.5"
        store.faults(corrupt=None, refuse=True)
        reply = store("GET", path)
        expect((reply.status, "Retry-After" in reply.headers), (429, True), "a refusing store")
        store.faults(refuse=False, stall=True)
        expect_lost(lambda: store("GET", path, timeout=STALL_S), "a stalled chunk")
        store.faults(stall=False, bytes_per_second=1)
        expect_lost(lambda: store("GET", path, timeout=STALL_S), "a chunk over a slow link")
        store.faults(bytes_per_second=None)
        expect(store("GET", path).status, 200, "a chunk after the faults")


def order(engine, action, sequence, weights, version=None):
    body = {"action": action, "model": "m", "version": "", "weights": weights, "chunks": [],
            "fence": {"revision": 1, "incarnation": 5, "sequence": sequence}}
    if version:
        body.update(version=version["version"], chunks=[chunk["digest"] for chunk in version["chunks"]])
    return engine("POST", "/orders", body).status


def stage(engine, number):
    """Stages a small version; returns its digest and descriptor."""
    data = [f"{number}-{part}".encode() * 50 for part in range(2)]
    version = {"chunks": [{"digest": sha256(d), "size": len(d)} for d in data], "model": "m", "version": str(number)}
    for item in data:
        expect(engine("PUT", "/staging/" + sha256(item), item).status, 200, "PUT /staging")
    return sha256(json.dumps(version, separators=(",", ":"), sort_keys=True)), version


def check_orders(engine):
    """Leaves one version loaded and returns its digest; guards the fence and the read-back."""
    one, version = stage(engine, 1)
    chunk = version["chunks"][0]["digest"]
    engine("PUT", "/staging/" + chunk, b"other bytes")
    expect(order(engine, "load", 1, one, version), 422, "a load with a corrupt chunk")
    stage(engine, 1)
    expect(order(engine, "load", 2, sha256("other"), version), 422, "a load with another digest")
    engine.faults(fail_load=True)
    expect(order(engine, "load", 3, one, version), 500, "fail_load")
    engine.faults(fail_load=False)
    expect(order(engine, "load", 2, one, version), 409, "an old fence")
    expect(engine("GET", "/state").json()["loaded"], [], "nothing loaded after failures")
    engine.faults(ignore_fence=True)
    expect(order(engine, "load", 2, one, version), 200, "an old fence with ignore_fence")
    engine.faults(ignore_fence=False)
    expect(engine("GET", "/state").json()["loaded"], [{"model": "m", "version": "1", "weights": one}], "loaded")
    two, version = stage(engine, 2)
    expect(order(engine, "load", 4, two, version), 200, "a second version")
    three, version = stage(engine, 3)
    expect(order(engine, "load", 5, three, version), 409, "a version too many")
    expect(order(engine, "unload", 6, two), 200, "unload")
    expect(order(engine, "load", 7, three, version), 200, "a load after an unload")
    state = engine("GET", "/state").json()
    expect([item["weights"] for item in state["loaded"]], [one, three], "loaded versions")
    expect(state["staged"], 4, "chunks of version 2 are dropped")
    expect([item["status"] for item in state["orders"]], [422, 422, 500, 409, 200, 200, 409, 200, 200], "order history")
    expect(order(engine, "unload", 8, three), 200, "unload of the third version")
    return one


def check_streams(engine, weights):
    """A whole answer, then each fault of a stream."""
    part = hashlib.sha256(b"cup").hexdigest()[:8]
    good = [{"request_id": "r", "sequence": k, "text": f"w{k}-{part} ", "weights": weights} for k in range(6)]
    end = {"request_id": "r", "end": True, "count": 6, "weights": weights}
    expect(engine.lines("r", weights), (good + [end], True), "a whole answer")
    expect(engine("GET", "/load").json(), {"running": 0, "slots": 2, "tokens_per_second": 2000}, "GET /load")
    engine.faults(truncate=True)
    expect(engine.lines("r", weights), (good[:3], True), "truncate")
    engine.faults(truncate=None, duplicate=True)
    expect(engine.lines("r", weights)[0], good[:4] + good[3:] + [end], "duplicate")
    engine.faults(duplicate=None, reorder=True)
    expect(engine.lines("r", weights)[0], good[:3] + [good[4], good[3], good[5], end], "reorder")
    engine.faults(reorder=None, wrong_weights=True)
    digests = [line["weights"] == weights for line in engine.lines("r", weights)[0][:6]]
    expect(digests, [True] * 3 + [False] * 3, "wrong_weights")
    engine.faults(wrong_weights=None, cross=True)
    lines = engine.lines("r", weights)[0]
    expect([line for line in lines if line["request_id"] == "r"], good + [end], "own lines with cross")
    expect(len(lines), 10, "own and crossed lines")
    engine.faults(cross=None, stall=True)
    expect(engine.lines("r", weights, timeout=STALL_S), (good[:3], False), "stall")
    wait_for(lambda: engine("GET", "/state").json()["running"] == 0, "a client that left frees its slot")
    state = engine("GET", "/state").json()
    expect((state["started"], state["max_running"]), ({"r": 7}, 1), "counted starts")
    expect(state["generated"], 36, "generated pieces")


def check_slots(engine, weights):
    """Two stalled streams fill both slots; cancel frees them. An unload breaks the streams that use the version."""
    results = {}
    body = {"request_id": "x", "weights": weights, "prompt": "", "max_tokens": 2, "priority": 0}

    def start(name):
        thread = threading.Thread(target=lambda: results.update({name: engine.lines(name, weights)}))
        thread.start()
        return thread

    threads = [start("a"), start("b")]
    wait_for(lambda: engine("GET", "/state").json()["generated"] == 36 + 6, "both streams stall")
    expect(engine("GET", "/load").json()["running"], 2, "used slots")
    expect(engine("POST", "/generate", body).status, 429, "no free slot")
    expect(engine("POST", "/generate", {**body, "weights": sha256("none")}).status, 404, "weights that are not loaded")
    for name, thread in zip("ab", threads):
        expect(engine("POST", "/cancel", {"request_id": name}).json(), {"cancelled": 1}, "cancel")
        thread.join()
        expect((len(results[name][0]), results[name][1]), (3, True), "a cancelled stream")
    engine.faults(stall=False)
    long = threading.Thread(target=lambda: results.update(c=engine.lines("c", weights, tokens=100000)))
    long.start()
    wait_for(lambda: engine("GET", "/load").json()["running"] == 1, "a long stream runs")
    expect(order(engine, "unload", 9, weights), 200, "unload during a stream")
    long.join()
    expect(results["c"][1], False, "a stream whose weights are unloaded ends normally")


def test_engine(folder):
    with Standin("engine", 4, folder, "--slots", "2", "--token-us", "1000", "--first-token-us", "1000") as engine:
        check_common(engine, "/state")
        weights = check_orders(engine)
        check_streams(engine, weights)
        check_slots(engine, weights)


def test_service(folder):
    with Standin("service", 5, folder) as service:
        def run(operation):
            return service("POST", "/run", {"operation_id": operation, "body": {"cup": 1}})

        check_common(service, "/run", "POST")
        expect(run("a").json(), {"operation_id": "a", "recorded": 1, "echo": {"cup": 1}}, "an execution")
        expect(run("a").json()["recorded"], 2, "a second execution is counted")
        service.faults(refuse=True)
        reply = run("b")
        expect((reply.status, reply.headers.get("X-Not-Run")), (503, "1"), "refuse")
        service.faults(refuse=False, drop_before=True)
        expect_lost(lambda: run("c"), "drop_before")
        service.faults(drop_before=False, drop_after=True)
        expect_lost(lambda: run("d"), "drop_after")
        expect(service("GET", "/executions").json(), {"a": 2, "d": 1}, "recorded executions")


def main():
    with tempfile.TemporaryDirectory(prefix="marigoldyard-") as folder:
        for test in (test_configuration, test_vm_list, test_store, test_engine, test_service):
            test(folder)
            print(f"{test.__name__}: passed")


if __name__ == "__main__":
    main()
