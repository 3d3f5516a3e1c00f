"""A request on which model servers crash, sent again and again at any gateway."""
import random
import threading
import time

import platform_fleet as pf
from early_ends import GATEWAY_FAULTS

# Crashes that decide, the time from the last of them until all gateways know, and the most that may follow.
DECIDING, KNOWN_S, MOST_LATER = 3, 3.0, 3
# How long a server is down, and the time around a crash in which a fault may hide it.
DOWN_S, HIDDEN_S = 0.6, 1.0
PAUSE_S = (0.3, 0.9)


class CrashingRequest:
    """The request, when it was sent, and the crashes."""

    def __init__(self, record, seed):
        self.record, self.body, self.lock = record, f"crash-{seed}".encode(), threading.Lock()
        self.rng = random.Random(f"{seed}-crashing")  # own numbers, so that known seeds keep their faults
        self.sent = {}  # when and to which gateway, by attempt
        self.crashes = []  # time, server and attempt
        self.down = set()  # servers

    def send(self, world, host):
        """Sends it once. Its answer is not judged."""
        attempt, key = world.new_request("stream", self.rng)
        with self.lock:
            self.sent[attempt] = (time.monotonic(), host)
        try:
            pf.call(world.gateways[host], "/stream/x", "POST", self.body, key=key, timeout=5,
                    headers={"Attempt-Id": attempt})
        except (OSError, pf.http.client.HTTPException):
            pass

    def run(self, world, hosts):
        while not world.stop_callers.is_set():
            self.send(world, self.rng.choice(hosts))
            time.sleep(self.rng.uniform(*PAUSE_S))

    def crash(self, server, attempt):
        """Ends a server, as a process that crashes and starts again."""
        with self.lock:
            if server.id in self.down:
                return
            self.down.add(server.id)
            self.crashes.append((time.monotonic(), server.id, attempt))
        with self.record.span("server_crashed", [server.id]):
            server.proxy.stop_listening()
            server.proxy.reset_all()
            time.sleep(DOWN_S)
            server.proxy.listen()
            server.born = int(time.time() * 1000)
            server.register()
        with self.lock:
            self.down.discard(server.id)

    def hidden(self, at, server, gateway):
        """Whether a fault may hide a crash from the gateway that sent the request."""
        return any(({server, gateway} & span.touched) and span.meets(at - HIDDEN_S, at + HIDDEN_S, 0)
                   for span in self.record.spans
                   if span.kind in GATEWAY_FAULTS or span.kind.startswith("link_"))

    def judge(self):
        """Tells when servers crash on although three crashes have shown the cause."""
        seen = [at for at, server, attempt in self.crashes if not self.hidden(at, server, self.sent[attempt][1])]
        if len(seen) < DECIDING:
            return []
        known = seen[DECIDING - 1] + KNOWN_S
        later = [(round(at - known, 2), server, self.sent[attempt][1]) for at, server, attempt in self.crashes
                 if self.sent[attempt][0] > known]
        return [] if len(later) <= MOST_LATER else [
            f"{len(later)} servers crashed on a request that was sent again over {KNOWN_S} s after the third crash: {later}"]
