"""Starts a small fleet on loopback addresses: stand-ins of the platform, entries and agents.

Used by scripts/demo and by the process tests. Every VM has an address of its own in 127.0.0.0/8, and all daemons use
the same port numbers. MARIGOLDYARD_NET sets the first two octets, so that two fleets can run at the same time.
"""
import hashlib
import http.client
import json
import os
import random
import shutil
import signal
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.path.join(ROOT, os.environ.get("MARIGOLDYARD_BUILD_DIR", "build"))
NET = os.environ.get("MARIGOLDYARD_NET", "127.0")
CALLER_PORT, OPERATOR_PORT, PEER_PORT, BULK_PORT, ENDPOINT_PORT = 8080, 8081, 8082, 8083, 9000
START_TIMEOUT_S = 20
LINK_KEY = {"id": "k1", "secret": "5f0c0f6f1f6c4b0a9d3f0c2f8f6f4e77"}


class FleetError(Exception):
    """A step of the fleet did not reach the expected state."""


class Reply:
    """One HTTP answer."""

    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body

    def json(self):
        return json.loads(self.body)


def request(method, address, path, body=None, headers=None, timeout=10):
    """Sends one HTTP request to "ip:port" and returns a Reply; raises OSError when there is no answer."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        data = body if body is None or isinstance(body, (bytes, str)) else json.dumps(body)
        connection.request(method, path, data, {"Content-Type": "application/json", **(headers or {})})
        response = connection.getresponse()
        return Reply(response.status, dict(response.getheaders()), response.read())
    except http.client.HTTPException as error:
        raise ConnectionError(repr(error)) from error
    finally:
        connection.close()


def wait_for(condition, what, timeout=START_TIMEOUT_S, interval=0.05):
    """Polls until condition() is true and returns its value; raises FleetError after the timeout."""
    end = time.monotonic() + timeout
    while True:
        try:
            value = condition()
            if value:
                return value
        except OSError:
            pass
        if time.monotonic() > end:
            raise FleetError(f"timed out after {timeout} s: {what}")
        time.sleep(interval)


def sha256(data):
    return hashlib.sha256(data if isinstance(data, bytes) else data.encode()).hexdigest()


class Process:
    """One child process with its log file."""

    def __init__(self, name, arguments, log_path):
        self.name, self.log_path = name, log_path
        self.log = open(log_path, "ab")
        self.child = subprocess.Popen(arguments, stdout=self.log, stderr=self.log, stdin=subprocess.DEVNULL,
                                      start_new_session=True)

    @property
    def pid(self):
        return self.child.pid

    def running(self):
        return self.child.poll() is None

    def send(self, number):
        if self.running():
            self.child.send_signal(number)

    def stop(self, timeout=10):
        """Asks the process to end, waits, and kills it after the timeout. Returns the exit code."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            return self.child.wait(timeout)
        except subprocess.TimeoutExpired:
            self.child.kill()
            return self.child.wait()
        finally:
            self.log.close()

    def kill(self):
        self.child.kill()
        self.child.wait()
        self.log.close()


class Vm:
    """One VM of the fleet and the daemon in it."""

    def __init__(self, name, kind, address, region, failure_domain, pool="", endpoint_kind=""):
        self.name, self.kind, self.address = name, kind, address
        self.region, self.failure_domain, self.pool, self.endpoint_kind = region, failure_domain, pool, endpoint_kind
        self.daemon = None
        self.endpoint = None

    @property
    def operator(self):
        return f"{self.address}:{OPERATOR_PORT}"

    @property
    def caller_address(self):
        return f"{self.address}:{CALLER_PORT}"

    @property
    def endpoint_address(self):
        return f"{self.address}:{ENDPOINT_PORT}"

    def listing(self, state="live"):
        return {"name": self.name, "address": self.address, "kind": self.kind, "region": self.region,
                "failure_domain": self.failure_domain, "pool": self.pool, "state": state}


class Fleet:
    """Platform stand-ins, entries and agents. Use as a context manager; everything is ended on exit."""

    def __init__(self, vms, net=NET, engine_options=(), entry_settings=None, agent_settings=None):
        self.net, self.vms = net, vms
        self.engine_options = list(engine_options)
        self.entry_settings, self.agent_settings = entry_settings or {}, agent_settings or {}
        self.configuration = f"{net}.9.1:9000"
        self.vm_list = f"{net}.9.2:9000"
        self.store = f"{net}.9.3:9000"
        self.store_region = vms[0].region
        self.standins = {}
        self.folder = tempfile.mkdtemp(prefix="marigoldyard-")
        self.listing_states = {}

    def __enter__(self):
        try:
            self.start_standins()
            return self
        except BaseException:
            self.__exit__(None, None, None)
            raise

    def __exit__(self, *exception):
        for process in self.processes():
            process.send(signal.SIGCONT)
            process.send(signal.SIGKILL)
        for process in self.processes():
            if process.running():
                process.child.wait()
            process.log.close()
        if os.environ.get("MARIGOLDYARD_KEEP_LOGS") is None:
            shutil.rmtree(self.folder, ignore_errors=True)

    def processes(self):
        candidates = list(self.standins.values()) + [p for vm in self.vms for p in (vm.daemon, vm.endpoint)]
        return [p for p in candidates if p is not None]

    def entries(self):
        return [vm for vm in self.vms if vm.kind == "entry"]

    def agents(self, pool=None):
        return [vm for vm in self.vms if vm.kind == "endpoint" and pool in (None, vm.pool)]

    def vm(self, name):
        return next(vm for vm in self.vms if vm.name == name)

    def spawn(self, name, program, *arguments):
        log = os.path.join(self.folder, name + ".log")
        return Process(name, [program, *arguments], log)

    def standin(self, name, kind, address, *options):
        process = self.spawn(name, os.path.join(BUILD, "tests", "standin_" + kind), "--listen", address, *options)
        wait_for(lambda: request("GET", address, "/healthz").status == 200, f"stand-in {name} answers")
        return process

    def start_standins(self):
        self.standins["configuration"] = self.standin("configuration", "configuration", self.configuration)
        self.standins["vm_list"] = self.standin("vm_list", "vm_list", self.vm_list)
        self.standins["store"] = self.standin("store", "store", self.store)
        self.publish_vms()

    def publish_vms(self):
        """Publishes the VM list; listing_states overrides the state of a VM, None removes it."""
        listing = [vm.listing(self.listing_states.get(vm.name, "live")) for vm in self.vms
                   if self.listing_states.get(vm.name, "live") is not None]
        self.check(request("PUT", self.vm_list, "/vms", {"vms": listing}))

    def settings(self, vm):
        value = {"name": vm.name, "address": vm.address, "region": vm.region, "failure_domain": vm.failure_domain,
                 "operator_port": OPERATOR_PORT, "peer_port": PEER_PORT, "bulk_port": BULK_PORT,
                 "configuration_service": self.configuration, "vm_list": self.vm_list, "keys": [LINK_KEY]}
        if vm.kind == "entry":
            return {**value, "caller_port": CALLER_PORT, **self.entry_settings}
        return {**value, "pool": vm.pool, "endpoint": vm.endpoint_address, "endpoint_kind": vm.endpoint_kind,
                "store": self.store, "store_region": self.store_region, **self.agent_settings}

    def start_endpoint(self, vm):
        kind = "engine" if vm.endpoint_kind == "engine" else "service"
        options = self.engine_options if kind == "engine" else []
        vm.endpoint = self.standin(vm.name + "-endpoint", kind, vm.endpoint_address, *options)

    def start_daemon(self, vm):
        path = os.path.join(self.folder, vm.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(vm), file)
        program = "marigold-entry" if vm.kind == "entry" else "marigold-agent"
        vm.daemon = self.spawn(vm.name, os.path.join(BUILD, program), "--settings", path)

    def start_all(self):
        """Starts endpoints, agents and entries, and waits until every daemon answers on its operator port."""
        for vm in self.agents():
            self.start_endpoint(vm)
        for vm in self.vms:
            self.start_daemon(vm)
        for vm in self.vms:
            self.wait_healthy(vm)

    def wait_healthy(self, vm):
        wait_for(lambda: request("GET", vm.operator, "/healthz").status == 200, f"{vm.name} is healthy")

    def wait_ready(self, vms, timeout=60):
        for vm in vms:
            wait_for(lambda vm=vm: request("GET", vm.operator, "/readyz").status == 200, f"{vm.name} is ready", timeout)

    def publish_version(self, model, version, chunks=16, chunk_bytes=65536, seed=1):
        """Puts a generated version into the store and returns its digest."""
        return self.check(request("PUT", self.store, "/versions", {
            "model": model, "version": version, "chunks": chunks, "chunk_bytes": chunk_bytes, "seed": seed})).json()[
                "digest"]

    def publish_manifest(self, manifest):
        """Publishes each product value first and the index last."""
        index = {"revision": manifest["revision"], "values": {}}
        for product in manifest["products"]:
            key, text = "products/" + product["name"], json.dumps(product, sort_keys=True)
            index["values"][key] = sha256(text)
            self.put_value(key, text)
        self.put_value("index", json.dumps(index))

    def put_value(self, key, text):
        self.check(request("PUT", self.configuration, "/values/" + key, text))

    def faults(self, address, **faults):
        self.check(request("PUT", address, "/faults", faults))

    @staticmethod
    def check(reply):
        if reply.status not in (200, 201, 204):
            raise FleetError(f"HTTP {reply.status}: {reply.body[:300]!r}")
        return reply

    def status(self, vm):
        return request("GET", vm.operator, "/status").json()

    def timeline(self):
        """Events of all running daemons, ordered by hybrid logical time."""
        events = []
        for vm in self.vms:
            if vm.daemon is not None and vm.daemon.running():
                try:
                    page = request("GET", vm.operator, "/timeline").json()
                    events += [{"process": page["process"], **event} for event in page["events"]]
                except OSError:
                    continue
        return sorted(events, key=lambda event: (event["wall_us"], event["logical"]))

    def log_tail(self, name, size=3000):
        path = os.path.join(self.folder, name + ".log")
        with open(path, "rb") as file:
            return file.read()[-size:].decode(errors="replace")


class Client:
    """A caller with its own key."""

    def __init__(self, name, key, rank="urgent"):
        self.name, self.key, self.rank = name, key, rank

    def headers(self):
        return {"Authorization": "Bearer " + self.key, "X-Rank": self.rank}

    def complete(self, entry, product, prompt="hello", max_tokens=8, timeout=30):
        """A whole completion; returns the Reply."""
        body = {"model": product, "prompt": prompt, "max_tokens": max_tokens}
        return request("POST", entry, "/v1/completions", body, self.headers(), timeout)

    def stream(self, entry, product, prompt="hello", max_tokens=8, timeout=30, on_piece=None):
        """A streamed completion. Returns (status, pieces, complete); complete means that data: [DONE] was received."""
        connection = http.client.HTTPConnection(entry, timeout=timeout)
        pieces, complete = [], False
        try:
            body = json.dumps({"model": product, "prompt": prompt, "max_tokens": max_tokens, "stream": True})
            connection.request("POST", "/v1/completions", body, {"Content-Type": "application/json",
                                                                **self.headers()})
            response = connection.getresponse()
            if response.status != 200:
                return response.status, [response.read().decode(errors="replace")], False
            for line in response:
                line = line.strip()
                if line == b"data: [DONE]":
                    complete = True
                elif line.startswith(b"data: "):
                    event = json.loads(line[6:])
                    if "choices" not in event:
                        break
                    pieces.append(event["choices"][0].get("text") or "")
                    if on_piece:
                        on_piece(len(pieces))
            return 200, pieces, complete
        except (http.client.HTTPException, OSError):
            return 0, pieces, False
        finally:
            connection.close()

    def open_operation(self, entry, service):
        return request("POST", entry, "/v1/operations", {"service": service}, self.headers())

    def run_operation(self, entry, operation, body, timeout=30):
        return request("PUT", entry, "/v1/operations/" + operation, body, self.headers(), timeout)


def new_caller(name, rng=None):
    """A client with a generated key."""
    rng = rng or random.Random(name)
    return Client(name, "key-" + "".join(rng.choice("abcdefghjkmnpqrstuvwxyz23456789") for _ in range(24)))


def product(name, model, pool, version, weights, clients, services=(), **changes):
    """One product of a manifest."""
    value = {
        "name": name, "model": model, "pool": pool, "version": version, "weights": weights, "adapters": [],
        "ranks": ["urgent", "standard", "batch"], "floors": {"standard": 0.2, "batch": 0.05}, "max_unavailable": 1,
        "deadline_ms": {"urgent": 10000, "standard": 20000, "batch": 60000}, "retry_budget": 0.1,
        "callers": [{"name": c.name, "key_sha256": sha256(c.key), "highest_rank": "urgent", "weight": 1,
                     "requests_per_second": 0, "burst": 0} for c in clients],
        "services": list(services)}
    value.update(changes)
    return value


def demo_vms(net=NET):
    """4 entries in 3 failure domains, 3 agents beside engines, 1 agent beside a plain service."""
    vms = [Vm(f"entry-{i + 1}", "entry", f"{net}.1.{i + 1}", "split-1", f"split-1-{'abc'[i % 3]}") for i in range(4)]
    vms += [Vm(f"engine-{i + 1}", "endpoint", f"{net}.2.{i + 1}", "split-1", f"split-1-{'abc'[i]}", "models", "engine")
            for i in range(3)]
    vms.append(Vm("registry-1", "endpoint", f"{net}.3.1", "split-1", "split-1-a", "registry", "service"))
    return vms


SERVICES = ({"name": "redemptions", "pool": "registry", "idempotent": False},)


def demo_manifest(revision, weights, version, clients, **changes):
    """Two products on one pool of engines; the first also uses the plain service."""
    return {"revision": revision, "products": [
        product("deposits", "cup-helper", "models", version, weights, clients, SERVICES, **changes),
        product("ledgers", "cup-helper", "models", version, weights, clients, **changes)]}
