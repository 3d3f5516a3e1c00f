"""A version is declared, all processes are killed right after the acknowledgement, and after their restart the origin
corrupts two of its answers."""
import collections
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from deployment import BOUNDS, BROKEN, HELD, TROUBLE, Fleet, pf, run  # noqa: E402
from engines import SIDE_LINK_MBPS, ZONES, Engine, Origin, configuration  # noqa: E402

SERVERS_PER_ZONE = 2
CORRUPTED = 0 if os.environ.get("CORRUPTED") == "0" else 2
DOWN_S = 1.4  # as the site's closing = { kind = "kill_all", down_s = 1.4 }
BEFORE_S, JUDGED_S = 6.0, 12.0
REQUESTS_PER_S = 6


class Callers:
    """Sends streaming requests to the gateways in turn, each on a new connection."""

    def __init__(self, record, gateways):
        self.record, self.gateways, self.ended = record, gateways, threading.Event()
        self.results, self.lock = [], threading.Lock()
        threading.Thread(target=self.send_all, daemon=True).start()

    def send_all(self):
        number = 0
        while not self.ended.wait(1 / REQUESTS_PER_S):
            gateway = self.gateways[number % len(self.gateways)]
            threading.Thread(target=self.send, args=(number, gateway), daemon=True).start()
            number += 1

    def send(self, number, gateway):
        sent_at = time.monotonic()
        try:
            answer = pf.call(gateway, "/stream/1", "POST", b"prompt", timeout=6)
            served = answer.status == 200 and answer.whole and answer.body.count(b"data:") == 3
            text = f"status {answer.status}, {'whole' if answer.whole else 'broken off'}"
        except OSError as error:
            served, text = False, f"no answer: {error!r}"
        self.record.write(f"request {number} to {gateway.name}, sent {time.monotonic() - sent_at:.3f} s before: {text}")
        with self.lock:
            self.results.append((sent_at, served))

    def share(self, begin, end):
        with self.lock:
            found = [served for sent_at, served in self.results if begin <= sent_at < end]
        return sum(found) / max(1, len(found)), len(found)


def play(record):
    fleet = Fleet(record, ZONES, (40, 41, 42), Origin)
    try:
        zones = list(ZONES)
        engines = [fleet.server(f"i-scribe-{n}", 20 + n, "engines", zones[n // SERVERS_PER_ZONE], {"m": 1}, Engine)
                   for n in range(len(zones) * SERVERS_PER_ZONE)]
        fleet.store.put("op/config", configuration(1, fleet.origin))
        gateways = [fleet.gateway(40 + n, zone) for n, zone in enumerate(zones)]
        for engine in engines:
            fleet.stager(engine, engine.zone, limits={"link_mbps": SIDE_LINK_MBPS})
        fleet.wait_ready(gateways)
        time.sleep(3)
        record.say("the fleet is ready; callers begin")
        callers, begun_at = Callers(record, gateways), time.monotonic()
        time.sleep(BEFORE_S)
        if TROUBLE:
            fleet.origin.to_corrupt = CORRUPTED
        fleet.store.put("op/version/m", {"model": "m", "version": 2})
        declared_at = time.monotonic()
        record.say("the store acknowledges version 2 of the model")
        if TROUBLE:
            record.say("all gateways and stagers are killed")
            for program in fleet.programs:
                program.kill()
            time.sleep(DOWN_S)
            for program in fleet.programs:
                program.start()
        back_at = time.monotonic()
        record.say("the machines are back")
        judged_from = back_at + BOUNDS["recovery_s"]
        while time.monotonic() < judged_from + JUDGED_S:
            time.sleep(2)
            versions = collections.Counter(engine.models["m"] for engine in engines)
            record.say(f"{time.monotonic() - back_at:.1f} s: servers by version {dict(versions)}; the origin sent "
                       f"{fleet.origin.answers} answers, {fleet.origin.corrupted} of them corrupted")
        callers.ended.set()
        before, after = callers.share(begun_at, declared_at), callers.share(judged_from, judged_from + JUDGED_S - 2)
        record.say(f"served before: {before[0]:.2f} of {before[1]} requests")
        record.say(f"served of those sent over {BOUNDS['recovery_s']} s after the machines were back: {after[0]:.2f} of "
                   f"{after[1]}")
        if before[0] < 0.25:
            raise RuntimeError("less than a quarter was served before")
        return BROKEN if after[0] < 0.25 else HELD
    finally:
        fleet.close()


run(os.path.dirname(os.path.abspath(__file__)), play)
