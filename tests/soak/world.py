"""The fleet under test, with proxies on its paths and what callers and servers saw."""
import hashlib
import json
import os
import random
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "process"))
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_fleet as pf  # noqa: E402  the path is set above
from fleet import wait_for  # noqa: E402
from crashing_request import CrashingRequest  # noqa: E402
from early_ends import Record  # noqa: E402
from kept_connections import KeptRecord, Limits  # noqa: E402
from late_starts import LateStarts  # noqa: E402
from proxy import Proxy  # noqa: E402

# Bounds that the users state for their sites.
CONFIG_APPLY_S, DRAIN_S, STABLE_S, RECOVERY_S, VERSION_S = 2.0, 2.0, 3.0, 12.0, 8.0
GATEWAYS, PLAIN, ENGINES = (40, 41, 42), (10, 11, 12), (20, 21, 22)
EVENTS = 8
LAYER_PIECES = [pf.pieces_of({"from": n, "target": n + 1}) for n in range(pf.LAYERS)]
PATHS = {"read": "/read/", "once": "/once/", "stream": "/stream/"}
# A pause of a sound server: about as long as a gateway waits before it asks another one, and longer.
PAUSE_S = (0.9, 1.7)
PAUSED_SHARE, REFUSED_SHARE = 0.5, 0.7


class Server(pf.Backend):
    """A server that records each run by the id of its request, and fails by chance."""

    def __init__(self, world, store, name, host, pool, models=None):
        self.world, self.faults, self.rng = world, [], random.Random(f"{world.seed}-{name}")
        # Own numbers, so that known seeds keep the failures that they had.
        self.pauses, self.refuses, self.pause_rng = False, False, random.Random(f"{world.seed}-{name}-pause")
        self.arrived = []
        self.proxy = None
        super().__init__(store, name, host, pool, models)

    def register(self, state="ready"):
        """Names the proxy in front of it as its address."""
        if self.proxy is None:
            self.proxy = Proxy(self.address.split(":")[0], pf.SERVER_PORT + 100, self.address)
            self.address = self.proxy.address
        super().register(state)

    def close(self):
        self.proxy.close()
        super().close()

    def plain(self, request):
        with request.run.writing():
            request.answer(200, body_of(request.headers["Attempt-Id"]), self.headers(request))

    def events(self, request, pause_after, pause):
        """A stream with one pause after an event; 0 pauses before the head."""
        head = {**self.headers(request), "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        first = int(request.headers.get("Last-Event-Id", 0)) + 1
        with request.run.writing():
            if pause_after < first:
                time.sleep(pause)
            request.send_response(200)
            for name, value in head.items():
                request.send_header(name, value)
            request.end_headers()
            for number in range(first, EVENTS + 1):
                text = f"id: {number}\ndata: {self.id}-{number}\n\n"
                request.wfile.write(f"{len(text):x}\r\n{text}\r\n".encode())
                request.run.events_at.append(time.monotonic())
                # A request that waits may have been withdrawn meanwhile, which is not visible here.
                if number == first and not pause_after < first:
                    self.world.late_starts.starts.append(
                        (request.headers["Attempt-Id"], self.id, int(head["Weight-Versions"]), time.monotonic()))
                time.sleep(pause if number == pause_after else 0.02)
            request.wfile.write(b"0\r\n\r\n")

    def handle(self, request):
        if request.path.startswith("/marigoldyard/"):
            return super().handle(request)
        attempt = request.headers.get("Attempt-Id", "")
        request.run = self.world.record.run(attempt, self.id)
        if request.headers.get("Expect-Instance", self.id) != self.id:
            request.run.refuse()
            return request.answer(421, b"", {"Instance-Id": self.id})
        with self.world.lock:
            self.arrived.append((time.monotonic(), attempt))
            self.world.check("Authorization" not in request.headers, f"{attempt}: the key reached a server")
            self.world.check(request.headers.get("Tenant") == "north", f"{attempt}: wrong customer")
            self.world.check(attempt in self.world.sent, f"{attempt}: no caller sent it")
        fault = self.rng.choice(self.faults) if self.faults and self.rng.random() < 0.2 else None
        refused = self.refuses and self.pause_rng.random() < REFUSED_SHARE
        if self.has_other_version(request):
            request.run.refuse()
            return self.refuse_version(request)
        if fault == "shed" or refused or self.pending:
            request.run.refuse()
            return self.shed(request)
        if request.body == self.world.crashing.body:
            request.run.fail("crash")
            return self.world.crashing.crash(self, attempt)
        with self.world.lock:
            self.world.runs[attempt] = self.world.runs.get(attempt, 0) + 1
        if fault is not None:
            if fault != "slow":  # a slow server is sound
                request.run.fail(fault)
            return getattr(self, fault)(request)
        paused = self.pauses and self.pause_rng.random() < PAUSED_SHARE
        pause, pause_after = self.pause_rng.uniform(*PAUSE_S) if paused else 0, self.pause_rng.randrange(EVENTS)
        if self.models is None:
            time.sleep(pause)
            return self.plain(request)
        with self.running_request(request):
            return self.events(request, pause_after, pause)


def body_of(attempt):
    return hashlib.sha256(attempt.encode()).hexdigest().encode() * 8


class World:
    """Store, origin, servers, gateways, stagers, proxies and callers of one seed."""

    def __init__(self, seed):
        self.seed, self.rng, self.lock = seed, random.Random(seed), threading.RLock()
        self.broken, self.sent, self.runs, self.answers = [], {}, {}, []
        self.record, self.early_ends = Record(), {}
        self.late_starts = LateStarts(self.record)
        self.limits = Limits(pf.configuration(1)["limits"])
        self.crashing = CrashingRequest(self.record, seed)
        self.kept = KeptRecord(self.record, self.limits)
        # Own numbers, so that known seeds keep the faults that they had.
        self.configuration_rng = random.Random(f"{seed}-configuration")
        self.stop_callers, self.version, self.weights, self.keys = threading.Event(), 1, 1, ("key-1",)
        self.fleet = pf.PlatformFleet.__new__(pf.PlatformFleet)
        self.fleet.folder = pf.tempfile.mkdtemp(prefix="marigoldyard-soak-")
        self.store, self.origin = pf.Store(2), pf.Origin(3)
        self.fleet.store, self.fleet.origin, self.fleet.daemons = self.store, self.origin, []
        self.plain = [Server(self, self.store, f"i-plain-{n}", host, "plain") for n, host in enumerate(PLAIN)]
        self.engines = [Server(self, self.store, f"i-engine-{n}", host, "engines", {"m": 1})
                        for n, host in enumerate(ENGINES)]
        self.fleet.plain, self.fleet.engines, self.fleet.version = self.plain, self.engines, 1
        self.store.put("op/config", pf.configuration(1, self.origin, routes=self.routes()))
        self.gateways = {host: self.fleet.gateway(host) for host in GATEWAYS}
        self.stagers = {server: self.fleet.stager(server) for server in self.engines}
        for gateway in self.gateways.values():
            wait_for(lambda g=gateway: self.ready(g), "a gateway is ready")

    @staticmethod
    def routes(extra=()):
        return [pf.route("r-read", "a.example", "/read/", "idempotent", "plain"),
                pf.route("r-once", "a.example", "/once/", "non_idempotent", "plain", max_attempts=2),
                pf.route("r-stream", "a.example", "/stream/", "streaming", "engines", resume_streams=True,
                         target_gap_ms=300, max_attempts=3), *extra]

    def ready(self, gateway):
        return pf.call(gateway, "/marigoldyard/ready", port=pf.READY_PORT, timeout=1).status == 200

    def check(self, condition, what):
        """Notes a broken promise."""
        if not condition:
            with self.lock:
                self.broken.append(what)

    def call(self, kind, gateway, rng):
        """One request of a caller, with its answer judged."""
        attempt, key = self.new_request(kind, rng)
        begun = time.monotonic()
        method, path, body = self.request_line(kind)
        try:
            answer = pf.call(gateway, path, method, body, key=key, timeout=5, headers={"Attempt-Id": attempt})
        except (OSError, pf.http.client.HTTPException):
            answer = None
        self.add_answer(begun, kind, attempt, gateway, answer)
        return answer

    def new_request(self, kind, rng):
        """The id and the key of a request that is about to be sent."""
        attempt = f"{rng.getrandbits(64):016x}"
        with self.lock:
            self.sent[attempt] = kind
            return attempt, self.keys[-1]

    @staticmethod
    def request_line(kind):
        """Method, path and body."""
        return ("GET", PATHS[kind] + "x", None) if kind == "read" else ("POST", PATHS[kind] + "x", b"body")

    @staticmethod
    def head(attempt):
        return {"Host": "a.example", "Attempt-Id": attempt, "Deadline-Ms": "3000", "Model": "m", "Token-Counts": "100,10"}

    def add_answer(self, begun, kind, attempt, gateway, answer):
        """Records what a request got, and judges an answer."""
        with self.lock:
            self.answers.append((begun, time.monotonic(), kind, attempt, gateway.host, answer))
        if answer is not None:
            self.judge(kind, attempt, answer)

    def judge(self, kind, attempt, answer):
        """What must hold for any answer, under any fault."""
        signed = "Response-Signature" in answer.headers
        self.check(answer.headers.get("Attempt-Id", attempt) == attempt, f"{attempt}: an answer to another request")
        if 200 <= answer.status < 300 and answer.whole:
            self.check(signed, f"{attempt}: a success without a signature")
            if kind == "stream":
                ids = [int(line[4:]) for line in answer.body.decode().splitlines() if line.startswith("id: ")]
                self.check(ids == list(range(1, EVENTS + 1)), f"{attempt}: a stream that looks whole has events {ids}")
            else:
                self.check(answer.body == body_of(attempt), f"{attempt}: a wrong body, {answer.body[:40]!r}")
        if kind == "once" and answer.status in (408, 421, 429, 503):
            with self.lock:
                self.check(self.runs.get(attempt, 0) == 0, f"{attempt}: refused with {answer.status}, but it ran")

    def caller(self, number):
        """Calls until the end, each time at a gateway that a directory names."""
        rng = random.Random(f"{self.seed}-caller-{number}")
        while not self.stop_callers.is_set():
            gateway = self.gateways[rng.choice(GATEWAYS)]
            self.call(rng.choice(("read", "read", "once", "stream")), gateway, rng)
            time.sleep(rng.uniform(0.0, 0.03))

    def final_checks(self):
        """What must hold at the end of a run."""
        with self.lock:
            for attempt, count in self.runs.items():
                if self.sent.get(attempt) == "once":
                    self.check(count <= 1, f"{attempt}: an operation ran {count} times")
            for _, _, kind, attempt, _, answer in self.answers:
                if kind == "once" and answer is not None and answer.status in (408, 421, 429, 503):
                    self.check(self.runs.get(attempt, 0) == 0, f"{attempt}: refused, but it ran later")
        self.early_ends, ended_early = self.record.judge(self.answers)
        for promise in ended_early:
            self.check(False, promise)
        for promise in self.kept.judge() + self.crashing.judge():
            self.check(False, promise)
        for promise in self.late_starts.judge({attempt: host for _, _, _, attempt, host, _ in self.answers}):
            self.check(False, promise)
        for promise in self.late_starts.judge_closed(self.origin.delivered, LAYER_PIECES):
            self.check(False, promise)
        for server in self.engines:
            self.check(not server.spoilt_runs, f"{server.id}: {server.spoilt_runs} requests on weights of which a piece was "
                                               f"corrupt for too long: {server.spoilt_in_order}")
            for (_, order, staged), spoilt in zip(server.orders, server.spoilt_in_order):
                wrong = [i for i in pf.pieces_of(order) if staged.get(i) != pf.piece(order["model"], order["version"], i)]
                self.check(set(wrong) <= set(spoilt),
                           f"{server.id}: version {order['version']} was ordered with wrong pieces")

    def closed_servers(self):
        """The servers that the check of closed servers covered, with the version at whose bound it did."""
        return self.late_starts.closed([server.id for server in self.engines], self.origin.delivered, LAYER_PIECES)

    def close(self):
        self.stop_callers.set()
        for daemon in self.fleet.daemons:
            if daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)
            daemon.stop()
        for standin in [self.store, self.origin, *self.plain, *self.engines]:
            standin.close()

    def keep_logs(self, folder):
        """Writes what a failure needs to be traced, beside the logs of the processes."""
        with open(os.path.join(self.fleet.folder, "answers.jsonl"), "w", encoding="utf-8") as target:
            for begun, ended, kind, attempt, host, answer in self.answers:
                target.write(json.dumps({"begun": begun, "ended": ended, "kind": kind, "attempt": attempt, "gateway": host,
                                         "status": answer and answer.status, "whole": answer and answer.whole}) + "\n")
        os.makedirs(folder, exist_ok=True)
        os.rename(self.fleet.folder, os.path.join(folder, f"seed-{self.seed}-{int(time.time())}"))
