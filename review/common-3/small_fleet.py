"""A small deployment on loopback addresses for the cases of this review: gateways with the settings of the deploy
template, beside the project's stand-ins of the store and the servers. Needs no build of its own."""
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
HEARTBEAT_S = 1.2  # heartbeat_ms of both small sites
STABLE_WINDOW_S, DRAIN_S, REUSE_AFTER_S = 3.0, 2.0, 2.0  # bounds of both small sites
HELD, COULD_NOT_RUN, BROKEN = 0, 2, 10  # python itself exits with 1 on an error
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def free_net():
    """First two octets of loopback addresses on which nobody listens."""
    for _ in range(50):
        net = f"127.{random.randint(100, 250)}"
        try:
            for host, port in [(2, 8007), (40, 8005), (41, 8005), (40, 9464), (41, 9464)]:
                with socket.socket() as probe:
                    probe.bind((f"{net}.20.{host}", port))
            return net
        except OSError:
            continue
    sys.exit(2)


os.environ["MARIGOLDYARD_BUILD_DIR"] = "target"
os.environ["MARIGOLDYARD_NET"] = free_net()
sys.path.insert(0, os.path.join(ROOT, "tests", "process"))
import platform_fleet as pf  # noqa: E402  the path and the environment are set above


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began, self.lock = time.monotonic(), threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
            self.file.flush()


def look_up(scopes, name):
    if name == ".":
        return scopes[0]
    for scope in scopes:
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit():
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def render(text, scopes, key=None, last=True):
    """Fills in a template as the pages on deployment describe it."""
    def section(match):
        value = look_up(scopes, match[1])
        if not value:
            return ""
        entries = list(value.items()) if isinstance(value, dict) else \
            list(enumerate(value)) if isinstance(value, list) else [(None, scopes[0])]
        return "".join(render(match[2], [entry, *scopes], name, number == len(entries) - 1)
                       for number, (name, entry) in enumerate(entries))

    def value_of(match):
        if match[1] == ",":
            return "" if last else ","
        if match[1] == "@":
            return str(key)
        name, _, form = match[1].partition("|")
        value = look_up(scopes, name)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([^{}]+)\}\}", value_of, text)


class Gateway:
    """A gateway, started with the command of the deploy file. `machine` names its host, zone and first port."""

    def __init__(self, folder, store, host, seeds, peer_port=pf.PEER_PORT, zone="split-1"):
        self.host, self.ip = host, f"{pf.NET}.20.{host}"
        fields = {
            "node_name": f"front-{host}", "ip": self.ip, "zone": zone, "region": "jug-obala",
            "internal_ports": [peer_port, pf.BULK_PORT], "seeds": [pf.address(each, 8000) for each in seeds],
            "provider": {"address": store.address_for(host)},
            "zones": {"split-1": "jug-obala", "osijek-1": "istok-ravnica", "zagreb-1": "sredisnja"},
            "bounds": {"version_ms": 8000, "grace_s": 8, "retry_budget_ratio": 0.2, "retry_slack": 106},
            "limits": {"link_mbps": 1500.0, "memory_mb": 390, "max_fds": 6150},
            "listen": {"front": f"{self.ip}:{pf.CALLER_PORT}", "ready": f"{self.ip}:{pf.READY_PORT}",
                       "directory": f"{self.ip}:{pf.DIRECTORY_PORT}"}}
        with open(os.path.join(ROOT, "deploy", "gateway.json.in"), encoding="utf-8") as source:
            settings = render(source.read(), [fields])
        self.settings = os.path.join(folder, f"front-{host}.json")
        with open(self.settings, "w", encoding="utf-8") as target:
            target.write(settings)
        self.log_path = os.path.join(folder, f"front-{host}.log")
        self.process = None
        self.start()

    def start(self):
        self.started_at = time.monotonic()
        with open(self.log_path, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen([os.path.join("target", "marigold-gateway")], cwd=ROOT, stdout=log,
                                            stderr=log, env={"PATH": os.environ["PATH"],
                                                             "MARIGOLDYARD_CONFIG": self.settings})

    def ready(self):
        return pf.call(self, "/marigoldyard/ready", port=pf.READY_PORT).status == 200

    def wait_ready(self):
        pf.wait_for(self.ready, f"front-{self.host} is ready", interval=0.02)

    def terminate(self):
        self.process.send_signal(signal.SIGTERM)
        self.process.wait(10)

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def log_text(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as source:
            return source.read()


class Server(pf.Backend):
    """A sound server of a plain pool: it renews its entry, and works for a time on each request."""

    def __init__(self, record, store, name, host, pool="plain", work_s=0.1):
        self.record, self.work_s, self.state, self.listed, self.cut = record, work_s, "ready", True, False
        self.runs = []  # time, machine of the gateway, id and how the run ended
        super().__init__(store, name, host, pool)
        self.beating = threading.Event()
        threading.Thread(target=self.beat, daemon=True).start()

    def register(self, state="ready", cold_ms=0):
        if self.listed:
            super().register(state, cold_ms)

    def beat(self):
        self.beating.wait(random.uniform(0, HEARTBEAT_S))
        while not self.beating.wait(HEARTBEAT_S):
            self.register(self.state)

    def handle(self, request):
        if self.cut:  # the process has ended; what is left of its connections is closed
            return request.cut()
        return super().handle(request)

    def plain(self, request):
        number = request.headers["Attempt-Id"]
        run = {"at": time.monotonic(), "id": number, "ended": None}
        self.runs.append(run)
        self.record(f"{self.id} at {self.address} runs {number}")
        time.sleep(self.work_s)
        if self.cut:
            run["ended"] = "cut"
            self.record(f"{self.id} ended while it ran {number}")
            return request.cut()
        run["ended"] = "answered"
        request.answer(200, b"answer of " + self.id.encode(), self.headers(request))
        return None

    def drain(self):
        """Says that it leaves."""
        self.state = "draining"
        self.register(self.state)
        self.record(f"{self.id} is draining")

    def leave_list(self):
        """Its entry is removed; it goes on serving."""
        self.listed = False
        self.beating.set()
        self.store.remove("servers/" + self.id)
        self.record(f"the entry of {self.id} is removed")

    def end(self):
        """Its process ends: nothing listens any more, and what runs is cut."""
        self.cut = True
        self.beating.set()
        self.close()
        self.record(f"{self.id} at {self.address} has ended")


class Client(threading.Thread):
    """Sends one request after the other on a connection that it keeps, and connects anew when it is closed."""

    def __init__(self, record, gateway, name, path, method="POST", pause_s=0.0, key="key-1"):
        super().__init__(daemon=True)
        self.record, self.gateway, self.name_, self.path, self.method = record, gateway, name, path, method
        self.pause_s, self.key, self.ended, self.results, self.count = pause_s, key, threading.Event(), [], 0

    def run(self):
        import http.client
        connection, kept = None, False
        while not self.ended.is_set():
            self.count += 1
            number = f"{self.name_}-{self.count}"
            sent = time.monotonic()
            try:
                if connection is None:
                    connection, kept = http.client.HTTPConnection(self.gateway.ip, pf.CALLER_PORT, timeout=5), False
                    connection.connect()
                connection.request(self.method, self.path + str(self.count), b"body", {
                    "Host": "a.example", "Attempt-Id": number, "Deadline-Ms": "2500", "Authorization": "Bearer " + self.key})
                response = connection.getresponse()
                body, status = response.read(), response.status
                if response.will_close:
                    connection.close()
                    connection = None
                was_kept, kept = kept, True
            except (OSError, http.client.HTTPException) as error:
                body, status, was_kept = b"", f"closed ({type(error).__name__})", kept
                connection.close()
                connection = None
                if not was_kept:
                    self.ended.wait(0.2)
            self.results.append({"id": number, "sent": sent, "status": status, "kept": was_kept,
                                 "gateway": self.gateway.host})
            self.record(f"client {number} to front-{self.gateway.host} "
                        f"{'on a kept connection' if was_kept else 'on a new connection'}: {status} {body[:60]!r}")
            self.ended.wait(self.pause_s)


def run_case(folder, case):
    """Runs a case; exits with BROKEN, HELD or COULD_NOT_RUN. Any other status is an error of the script."""
    record = Record(folder)
    with tempfile.TemporaryDirectory(prefix="marigoldyard-review-") as work:
        gateways, standins = [], []
        try:
            broken = case(record, work, gateways, standins)
            status = BROKEN if broken else HELD
        except Exception as error:  # any failure of the set-up
            record(f"the case couldn't run: {error!r}")
            status = COULD_NOT_RUN
        finally:
            for gateway in gateways:
                gateway.stop()
            for standin in standins:
                try:
                    standin.close()
                except OSError:
                    pass
    record({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", COULD_NOT_RUN: "the case couldn't run"}[status])
    os._exit(status)
