"""A gateway is restarted while a server is taken away, and the link of the other gateway is narrow for a few seconds."""
import os
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-3"))
import small_fleet as sf  # noqa: E402  the path is set above
from small_fleet import Client, cf, pf  # noqa: E402

SERVERS = 8  # one of them is an eighth: under the share .13 of scale_in in the site file
IDLE_ROUTES = 110 + 350  # idle routes of a small site, and those that big_config adds
REGION_MBPS = 22  # "Between two regions there are 22 Mbit/s each way"
SQUEEZE_MBPS, SQUEEZE_S = 14, 1.5  # link_squeeze of the site file has 14 Mbit/s for up to 5.5 s
STAYS_S = 10  # "continues serving for `drain_ms` ... and a little longer (at times many seconds)"
CLIENTS = 8
ROUNDS = 3  # restarts; each takes another server away


class Link:
    """Proxy of one direction of a peer link; its bytes can be limited for a time."""

    def __init__(self, listen, target):
        self.target, self.mbps_until = target, 0.0
        self.server = socket.create_server(listen)
        threading.Thread(target=self.accept, daemon=True).start()

    def squeeze(self):
        self.mbps_until = time.monotonic() + SQUEEZE_S

    def accept(self):
        while True:
            try:
                near, _ = self.server.accept()
            except OSError:
                return
            try:
                far = socket.create_connection(self.target, 1)
            except OSError:
                near.close()
                continue
            for source, sink, narrow in ((near, far, True), (far, near, False)):
                source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self.copy, args=(source, sink, narrow), daemon=True).start()

    def copy(self, source, sink, narrow):
        try:
            while data := source.recv(4096):
                if narrow and time.monotonic() < self.mbps_until:
                    time.sleep(len(data) * 8 / (SQUEEZE_MBPS * 1e6))
                sink.sendall(data)
        except OSError:
            pass
        for each in (source, sink):
            try:
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def close(self):
        self.server.close()


def large_configuration():
    """The configuration of a small deployment that has grown by many routes, as big_config does."""
    content = pf.configuration(1)
    content["routes"] += [
        {**pf.route(f"idle-{number}", f"idle-{number}.example", f"/idle-{number}/", "idempotent", "plain"),
         "target_gap_ms": 0, "session_affinity": False, "allowed_regions": []} for number in range(IDLE_ROUTES)]
    return content


def bytes_of(store):
    return sum(len(item["value"]) for item in store.items.values())


def restart_beside_removal(fleet, record, leaver, link):
    """Restarts the second gateway. The entry of a server is removed as it starts, right after a watch of the first one."""
    other, gateway = fleet.gateways
    gateway.send(signal.SIGTERM)
    gateway.process.wait(10)
    record.write(f"front-{gateway.host} has ended after SIGTERM")
    if cf.TROUBLE:
        link.squeeze()
        record.write(f"the link of front-{other.host} has {SQUEEZE_MBPS} Mbit/s for {SQUEEZE_S} s")
    sf.wait_for_pause(fleet.store, other)
    leaver.leave_list()
    record.write(f"the entry of {leaver.id} is removed")
    removed_at = time.monotonic()
    gateway.start()
    fleet.wait_ready(gateway)
    return removed_at


def start_gateways(fleet):
    """Starts two gateways that speak through proxies, so that each has a first port of its own; returns the proxy of what
    the first one sends."""
    links = [fleet.keep(Link((f"{pf.NET}.20.41", 7700), (f"{pf.NET}.20.41", 7701))),
             fleet.keep(Link((f"{pf.NET}.20.40", 7701), (f"{pf.NET}.20.40", 7700)))]
    fields, fleet.seeds = fleet.fields, [40, 41]
    fleet.fields = lambda host, name, **more: fields(host, name, internal_ports=[7660 + host, 7715], **more)
    fleet.gateways = [fleet.gateway(host) for host in fleet.seeds]
    for gateway in fleet.gateways:
        fleet.wait_ready(gateway)
    return links[0]


def case(fleet, record):
    store = fleet.store
    store.listing_s = bytes_of(store) * 8 / (REGION_MBPS * 1e6)
    record.write(f"the store sends {bytes_of(store)} bytes in {store.listing_s:.3f} s")
    link = start_gateways(fleet)
    time.sleep(sf.STABLE_WINDOW_S + 1)

    restarted, late = fleet.gateways[1], 0
    for number in range(ROUNDS):
        leaver = fleet.plain[number]
        removed_at = restart_beside_removal(fleet, record, leaver, link)
        # After this time the bound of the server is over, and its machine and that of the other gateway have been
        # without disruption for the stable window.
        time.sleep(max(SQUEEZE_S, sf.DRAIN_S) + sf.STABLE_WINDOW_S)
        record.write(f"front-{restarted.host} is in touch; the entry of {leaver.id} was removed "
                     f"{time.monotonic() - removed_at:.1f} s ago (bound {sf.DRAIN_S} s)")
        begun = time.monotonic()
        results = sf.run_clients([Client(record, restarted, "/once/") for _ in range(CLIENTS)], removed_at + STAYS_S,
                                 leaver.end)
        runs = [run for run in leaver.runs if run["at"] > begun]
        cut = {run["id"] for run in runs if run["cut"]}
        record.write(f"round {number}: {len(runs)} requests reached {leaver.id} after the bound; {len(cut)} of them were cut "
                     f"when it ended, answered with {[each['status'] for each in results if each['id'] in cut]}")
        late += len(runs)
        if late and cf.TROUBLE:
            break
    return [f"DRAIN: {late} requests reached a server that had left"] if late else []


sf.run(case, plain=SERVERS, gateways=0, configuration=large_configuration())
