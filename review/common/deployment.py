"""What the scripts of the review share: the project's stand-ins on free loopback addresses, and its programs started with
the commands and templates of the deploy file."""
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def free_net():
    """First two octets of loopback addresses that nobody listens on."""
    for _ in range(200):
        net = f"127.{random.randint(64, 250)}"
        try:
            for host, port in ((2, 8007), (40, 8005), (40, 7700), (20, 8001)):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((f"{net}.20.{host}", port))
            return net
        except OSError:
            continue
    raise OSError("no free loopback addresses")


os.environ["MARIGOLDYARD_NET"] = free_net()
os.environ["MARIGOLDYARD_BUILD_DIR"] = "target"
sys.path.insert(0, os.path.join(ROOT, "tests", "process"))
import platform_fleet as pf  # noqa: E402  the path and the addresses are set above

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# Bounds and machines of the site mwakalinga-registry.
BOUNDS = {"stable_window_ms": 3000, "config_apply_ms": 2000, "max_stretch_ms": 5000, "drain_ms": 2000, "grace_s": 8,
          "retry_budget_ratio": 0.2, "retry_slack": 106, "recovery_s": 12, "version_ms": 8000}
FRONT_MEMORY_MB, SIDE_MEMORY_MB = 520, 128


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.start, self.lock, self.fleets = time.monotonic(), threading.Lock(), []
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} s  {text}\n")
            self.file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


def lookup(scopes, name):
    if name in (".", "@"):
        return scopes[-1].get(name)
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            elif isinstance(value, dict) and part in value:
                value = value[part]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def render(text, scopes):
    """Fills in a template as DEPLOY.md says, as far as the project's templates use it."""
    def section(match):
        value = lookup(scopes, match[1])
        entries = list(value.items()) if isinstance(value, dict) else list(enumerate(value or []))
        parts = []
        for number, (key, entry) in enumerate(entries):
            inner = {**(entry if isinstance(entry, dict) else {}), ".": entry, "@": key}
            body = match[2].replace("{{,}}", "," if number + 1 < len(entries) else "")
            parts.append(render(body, scopes + [inner]))
        return "".join(parts)
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)

    def value(match):
        found = lookup(scopes, match[1])
        if match[2]:
            return json.dumps(found)
        return "" if found is None else str(found)
    return re.sub(r"\{\{([\w.@]+)(\|json)?\}\}", value, text)


class Program:
    """A process of a role of the deploy file, on a machine with an address of its own."""

    def __init__(self, fleet, role, host, zone, more, fields=None):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as source:
            self.role = tomllib.load(source)["roles"][role]
        self.fleet, self.name, self.host, self.ip = fleet, f"{role}-{host}", host, f"{pf.NET}.20.{host}"
        self.fields = {
            "node_name": self.name, "ip": self.ip, "zone": zone, "region": fleet.zones[zone],
            "internal_ports": [pf.PEER_PORT, pf.BULK_PORT], "seeds": [f"{pf.NET}.20.{s}:8000" for s in fleet.seeds],
            "zones": fleet.zones, "bounds": BOUNDS, "limits": {"link_mbps": 1000.0},
            "provider": {"address": fleet.store.address_for(host)}, **more, **(fields or {})}
        self.starts, self.process = 0, None
        self.log_path = os.path.join(fleet.folder, self.name + ".log")

    def start(self):
        with open(os.path.join(ROOT, self.role["template"]), encoding="utf-8") as source:
            settings = render(source.read(), [self.fields])
        path = os.path.join(self.fleet.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as target:
            target.write(settings)
        self.starts += 1
        with open(self.log_path, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                shlex.split(self.role["run"]), cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", ""), "HOME": self.fleet.folder, "MARIGOLDYARD_CONFIG": path})
        self.fleet.record.write(f"{self.name} starts")
        return self

    def running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.running():
            self.fleet.record.write(f"{self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as source:
                return int(re.search(r"VmRSS:\s+(\d+)", source.read())[1]) / 1024
        except (OSError, TypeError):
            return 0.0

    def log_text(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as source:
            return source.read()


class Fleet:
    """Store, origin, servers, gateways and stagers."""

    def __init__(self, record, zones, seeds, origin=None):
        self.record, self.zones, self.seeds = record, zones, seeds
        record.fleets.append(self)
        self.folder = tempfile.mkdtemp(prefix="marigoldyard-review-")
        self.store, self.origin = pf.Store(2), (origin or pf.Origin)(3)
        self.servers, self.programs = [], []

    def server(self, name, host, pool, zone, models=None, kind=None):
        made = (kind or pf.Backend).__new__(kind or pf.Backend)
        made.zone = zone
        made.__init__(self.store, name, host, pool, models)
        self.servers.append(made)
        return made

    def gateway(self, host, zone, **fields):
        ip = f"{pf.NET}.20.{host}"
        listen = {"front": f"{ip}:{pf.CALLER_PORT}", "ready": f"{ip}:{pf.READY_PORT}",
                  "directory": f"{ip}:{pf.DIRECTORY_PORT}", "control": f"{ip}:8000"}
        made = Program(self, "gateway", host, zone, {"listen": listen}, fields)
        self.programs.append(made)
        return made.start()

    def stager(self, server, zone, **fields):
        host = int(server.address.split(":")[0].rpartition(".")[2])
        made = Program(self, "stager", host, zone, {"app": server.address, "service": server.pool}, fields)
        self.programs.append(made)
        return made.start()

    def wait_ready(self, gateways, timeout=15):
        for gateway in gateways:
            pf.wait_for(lambda g=gateway: pf.call(g, "/marigoldyard/ready", port=pf.READY_PORT).status == 200,
                        f"{gateway.name} is ready", timeout=timeout)

    def close(self):
        for program in self.programs:
            if program.running():
                program.process.kill()
            if program.process is not None:
                program.process.wait()
        for server in self.servers:
            orders = [f"{order['operation']} version {order['version']}" for _, order, _ in server.orders]
            self.record.write(f"server {server.id} ran {len(server.seen)} requests, its orders: {orders}")
        for standin in [self.store, self.origin, *self.servers]:
            try:
                standin.close()
            except OSError:
                pass  # it ended before
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


MOST_S = 112


def run(folder, play):
    """Plays a case and exits with its result: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    record, result = Record(folder), NOT_RUN

    def give_up():
        record.say(f"not over after {MOST_S} s")
        for fleet in record.fleets:
            fleet.close()
        os._exit(NOT_RUN)
    limit = threading.Timer(MOST_S, give_up)
    limit.daemon = True
    limit.start()
    try:
        result = play(record)
    except Exception as error:  # the case could not run to its end
        record.say(f"the case could not run: {error!r}")
    record.say({HELD: "the rule held", BROKEN: "the rule is broken", NOT_RUN: "not run"}[result])
    os._exit(result)
