"""Small deployments of gateways and stagers for the scripts of the review, on loopback addresses.

The processes are started with the commands and templates of deploy/system.toml. The store, the servers and the origin
are the stand-ins of tests/process/platform_fleet.py. Each run takes a network of its own in 127.0.0.0/8, whose ports
are free, and a temporary folder. Everything that was started ends with the run.
"""
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def free_network():
    for _ in range(50):
        net = f"127.{random.randint(100, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{net}.20.2", 8007))
                return net
            except OSError:
                continue
    raise RuntimeError("no free network")


os.environ["MARIGOLDYARD_NET"] = free_network()
os.environ["MARIGOLDYARD_BUILD_DIR"] = "target"
sys.path.insert(0, os.path.join(ROOT, "tests", "process"))
import platform_fleet as pf  # noqa: E402  the environment is set above

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# The bounds of the sheet of casa-povrat.
BOUNDS = {"version_ms": 8000, "grace_s": 8, "retry_budget_ratio": 0.2, "retry_slack": 106}
ZONES = {"z1": "r1", "z2": "r2"}


class Record:
    """record.txt of the case, which run.sh names: what was sent, answered and run."""

    def __init__(self, path):
        self.lock, self.start = threading.Lock(), time.monotonic()
        self.target = open(path, "a", encoding="utf-8")

    def write(self, text):
        with self.lock:
            line = f"{time.monotonic() - self.start:8.3f} {text}"
            self.target.write(line + "\n")
            self.target.flush()
            print(line, flush=True)


def lookup(scope, path):
    for part in path.split("."):
        scope = scope[int(part)] if isinstance(scope, list) else scope.get(part) if isinstance(scope, dict) else None
        if scope is None:
            return None
    return scope


def render(text, scope):
    """The placeholders and sections of the deploy file's templates."""
    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)

    def expand(match):
        value = lookup(scope, match.group(1))
        if not value:
            return ""
        if isinstance(value, dict):
            entries = list(value.items())
        elif isinstance(value, list):
            entries = list(enumerate(value))
        else:
            return render(match.group(2), scope)
        parts = []
        for number, (key, entry) in enumerate(entries):
            part = match.group(2).replace("{{,}}", "," if number + 1 < len(entries) else "").replace("{{@}}", str(key))
            parts.append(part.replace("{{.|json}}", json.dumps(entry)))
        return "".join(parts)

    text = section.sub(expand, text)

    def fill(match):
        value = lookup(scope, match.group(1))
        return json.dumps(value) if match.group(2) else "" if value is None else str(value)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, text)


class Process:
    """A gateway or stager, started as the deploy file says."""

    def __init__(self, role, fields, folder, host):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as source:
            entry = tomllib.load(source)["roles"][role]
        with open(os.path.join(ROOT, entry["template"]), encoding="utf-8") as source:
            text = render(source.read(), fields)
        self.role, self.host, self.ip, self.folder = role, host, fields["ip"], folder
        self.command = entry["run"].split()
        self.settings = os.path.join(folder, f"{role}-{host}.json")
        with open(self.settings, "w", encoding="utf-8") as target:
            target.write(text)
        self.log_path = os.path.join(folder, f"{role}-{host}.log")
        self.start()

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(self.command, cwd=ROOT, stdout=log, stderr=log,
                                            env={**environment, "MARIGOLDYARD_CONFIG": self.settings})

    def send(self, number):
        self.process.send_signal(number)

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()

    def log_text(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as source:
            return source.read()


class Deployment:
    """A store, an origin, servers of two pools, and gateways; stagers on demand."""

    def __init__(self, record, plain=2, engines=0, gateways=2, configuration=None, backend=pf.Backend):
        self.record, self.folder = record, tempfile.mkdtemp(prefix="marigoldyard-review-")
        self.processes, self.standins = [], []
        self.store = self.keep(pf.Store(2))
        self.origin = self.keep(pf.Origin(3))
        self.plain = [self.keep(backend(self.store, f"i-plain-{n}", 10 + n, "plain")) for n in range(plain)]
        self.engines = [self.keep(backend(self.store, f"i-engine-{n}", 20 + n, "engines", {"m": 1}))
                        for n in range(engines)]
        self.seeds = [40 + n for n in range(min(3, gateways))]
        self.store.put("op/config", configuration or pf.configuration(1, self.origin))
        self.gateways = [self.gateway(40 + n) for n in range(gateways)]
        for gateway in self.gateways:
            self.wait_ready(gateway)
        time.sleep(pf.RETRY_RESERVE_S)

    def keep(self, standin):
        self.standins.append(standin)
        return standin

    def fields(self, host, name, **more):
        ip = f"{pf.NET}.20.{host}"
        return {"node_name": name, "ip": ip, "zone": "z1", "region": "r1", "internal_ports": [7700, 7715],
                "provider": {"address": self.store.address_for(host)},
                "seeds": [pf.address(seed, 8000) for seed in self.seeds], "zones": ZONES, "bounds": BOUNDS,
                "limits": {"link_mbps": 1500.0, "memory_mb": 390, "max_fds": 6150}, **more}

    def gateway(self, host):
        ip = f"{pf.NET}.20.{host}"
        listen = {"front": f"{ip}:{pf.CALLER_PORT}", "ready": f"{ip}:{pf.READY_PORT}",
                  "directory": f"{ip}:{pf.DIRECTORY_PORT}"}
        process = Process("gateway", self.fields(host, f"front-{host}", listen=listen), self.folder, host)
        self.processes.append(process)
        return process

    def stager(self, backend):
        host = int(backend.address.split(":")[0].rpartition(".")[2])
        fields = self.fields(host, f"side-{host}", app=backend.address, service=backend.pool,
                             limits={"link_mbps": 7.6, "memory_mb": 128, "max_fds": 2048})
        process = Process("stager", fields, self.folder, host)
        self.processes.append(process)
        return process

    def wait_ready(self, gateway, timeout=20):
        def ready():
            try:
                return pf.call(gateway, "/marigoldyard/ready", port=pf.READY_PORT).status == 200
            except OSError:
                return False
        pf.wait_for(ready, "gateway is ready", timeout)

    def close(self):
        for process in self.processes:
            process.stop()
        for standin in self.standins:
            standin.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def end_in_time(*_):
    raise TimeoutError("the case took too long")


def run(case, **deployment):
    """Runs case(deployment, record), which returns a text for each breach of the rule; exits as the issue says."""
    signal.signal(signal.SIGTERM, end_in_time)  # of run.sh
    record = Record(sys.argv[1])
    record.write(f"disruption: {'on' if TROUBLE else 'off'}")
    status, fleet = NOT_RUN, None
    try:
        fleet = Deployment(record, **deployment)
        breaches = case(fleet, record)
        for breach in breaches:
            record.write("BROKEN " + breach)
        status = BROKEN if breaches else HELD
        record.write("rule broken" if breaches else "rule held")
    except Exception:
        record.write("not run: " + traceback.format_exc())
    finally:
        if fleet is not None:
            fleet.close()
    sys.stdout.flush()
    os._exit(status)  # threads of the stand-ins may still wait
