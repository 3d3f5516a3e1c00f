"""A gateway is restarted while a server is taken away, and the link of the other gateway is narrow for a few seconds."""
import os
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-3"))
import small_fleet  # noqa: E402  the path is set above
from small_fleet import DRAIN_S, STABLE_WINDOW_S, TROUBLE, Client, Gateway, Server, pf  # noqa: E402

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


def restart_beside_removal(record, store, gateway, leaver, link):
    """Restarts a gateway. The entry of a server is removed as the gateway starts, right after a call of the other one."""
    gateway.terminate()
    record(f"front-{gateway.host} has ended after SIGTERM")
    if TROUBLE:
        link.squeeze()
        record(f"the link of the other gateway has {SQUEEZE_MBPS} Mbit/s for {SQUEEZE_S} s")
    calls = len(store.calls)
    pf.wait_for(lambda: any(client != gateway.host and "kv-watch" in path for client, path in store.calls[calls:]),
                "a watch of the other gateway", interval=0.002)
    revision = store.revision
    pf.wait_for(lambda: store.revision > revision, "the next entry of a server, which ends the watch", interval=0.002)
    time.sleep(0.01)
    leaver.leave_list()
    removed_at = time.monotonic()
    gateway.start()
    gateway.wait_ready()
    record(f"front-{gateway.host} is ready {time.monotonic() - gateway.started_at:.3f} s after its start")
    return removed_at


def case(record, work, gateways, standins):
    store = pf.Store(2)
    standins.append(store)
    store.put("op/config", large_configuration())
    store.listing_s = bytes_of(store) * 8 / (REGION_MBPS * 1e6)
    record(f"the store sends {bytes_of(store)} bytes in {store.listing_s:.3f} s")
    servers = [Server(record, store, f"i-{number}", 10 + number) for number in range(SERVERS)]
    standins.extend(servers)
    # The peers speak through proxies, so each of the two has a first port of its own.
    links = [Link((f"{pf.NET}.20.41", 7700), (f"{pf.NET}.20.41", 7701)),
             Link((f"{pf.NET}.20.40", 7701), (f"{pf.NET}.20.40", 7700))]
    standins.extend(links)
    gateways.append(Gateway(work, store, 40, [40, 41], 7700))
    gateways.append(Gateway(work, store, 41, [40, 41], 7701))
    for gateway in gateways:
        gateway.wait_ready()
    time.sleep(4)

    restarted, late = gateways[1], 0
    for number in range(ROUNDS):
        leaver = servers[number]
        removed_at = restart_beside_removal(record, store, restarted, leaver, links[0])
        # After this time the bound of the server is over, and its machine and that of the other gateway have been
        # without disruption for the stable window.
        time.sleep(max(SQUEEZE_S, DRAIN_S) + STABLE_WINDOW_S)
        record(f"front-41 is in touch; the entry of {leaver.id} was removed "
               f"{time.monotonic() - removed_at:.1f} s ago (bound {DRAIN_S} s)")
        begun = time.monotonic()
        clients = [Client(record, restarted, f"r{number}-c{each}", "/once/") for each in range(CLIENTS)]
        for client in clients:
            client.start()
        time.sleep(removed_at + STAYS_S - time.monotonic())
        leaver.end()
        time.sleep(1)
        for client in clients:
            client.ended.set()
        for client in clients:
            client.join(6)
        runs = [run for run in leaver.runs if run["at"] > begun]
        cut = {run["id"] for run in runs if run["ended"] == "cut"}
        answers = {result["id"]: result["status"] for client in clients for result in client.results}
        record(f"round {number}: {len(runs)} requests reached {leaver.id} after the bound; {len(cut)} of them were cut "
               f"when it ended, answered with {sorted(str(answers.get(each)) for each in cut)}")
        late += len(runs)
        if late and TROUBLE:
            break
    return late > 0


small_fleet.run_case(FOLDER, case)
