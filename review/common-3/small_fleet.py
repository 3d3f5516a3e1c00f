"""Sound servers that renew their entries, and clients that keep connections, for deployments of common-2/casefleet.py."""
import http.client
import os
import random
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import casefleet as cf  # noqa: E402  the path is set above
from casefleet import pf  # noqa: E402

HEARTBEAT_S = 1.2  # heartbeat_ms of both small sites
STABLE_WINDOW_S, DRAIN_S = 3.0, 2.0  # bounds of both small sites
WORK_S = 0.1  # of a server on a request


class Server(pf.Backend):
    """A sound server of a plain pool: it renews its entry, and works for a time on each request."""

    def __init__(self, *arguments):
        self.listed, self.cut = True, False
        self.runs = []  # each with its time, its id and whether it was cut
        super().__init__(*arguments)
        self.beating = threading.Event()
        threading.Thread(target=self.beat, daemon=True).start()

    def register(self, state="ready", cold_ms=0):
        if self.listed:
            super().register(state, cold_ms)

    def beat(self):
        self.beating.wait(random.uniform(0, HEARTBEAT_S))
        while not self.beating.wait(HEARTBEAT_S):
            self.register()

    def handle(self, request):
        if self.cut:  # the process has ended; what is left of its connections is closed
            return request.cut()
        return super().handle(request)

    def plain(self, request):
        run = {"at": time.monotonic(), "id": request.headers["Attempt-Id"], "cut": False}
        self.runs.append(run)
        time.sleep(WORK_S)
        if self.cut:
            run["cut"] = True
            return request.cut()
        return super().plain(request)

    def leave_list(self):
        """Its entry is removed; it goes on serving."""
        self.listed = False
        self.beating.set()
        self.store.remove("servers/" + self.id)

    def end(self):
        """Its process ends: nothing listens any more, and what runs is cut."""
        self.cut = True
        self.beating.set()
        self.close()


class Client(threading.Thread):
    """Sends one request after the other on a connection that it keeps, and connects anew when it is closed."""

    def __init__(self, record, gateway, path, method="POST", pause_s=0.0, key="key-1"):
        super().__init__(daemon=True)
        self.record, self.gateway, self.path, self.method = record, gateway, path, method
        self.pause_s, self.key, self.ended, self.results = pause_s, key, threading.Event(), []

    def run(self):
        connection = None
        while not self.ended.is_set():
            number, sent = f"id-{next(pf.NUMBER)}", time.monotonic()
            try:
                connection = connection or http.client.HTTPConnection(self.gateway.ip, pf.CALLER_PORT, timeout=5)
                connection.request(self.method, self.path + number, b"body", {
                    "Host": "a.example", "Attempt-Id": number, "Deadline-Ms": "2500",
                    "Authorization": "Bearer " + self.key})
                response = connection.getresponse()
                body, status = response.read(), response.status
                closes = response.will_close
            except (OSError, http.client.HTTPException) as error:
                body, status, closes = b"", repr(error), True
            if closes:
                connection.close()
                connection = None
            self.results.append({"id": number, "sent": sent, "status": status, "gateway": self.gateway.host})
            self.record.write(f"client {number} to front-{self.gateway.host}: {status} {body[:60]!r}")
            self.ended.wait(self.pause_s)


def run_clients(clients, until, at_end=lambda: None):
    """Lets clients send until a moment, and for half a second more after `at_end`; returns their results."""
    for client in clients:
        client.start()
    time.sleep(max(0.0, until - time.monotonic()))
    at_end()
    time.sleep(0.5)
    for client in clients:
        client.ended.set()
    for client in clients:
        client.join(6)
    return [result for client in clients for result in client.results]


def wait_for_pause(store, gateway):
    """Waits for the pause of a gateway after a watch: one was sent, and an entry that was written since ends it."""
    calls = len(store.calls)
    pf.wait_for(lambda: any(client == gateway.host and "kv-watch" in path for client, path in store.calls[calls:]),
                "a watch", interval=0.002)
    revision = store.revision
    pf.wait_for(lambda: store.revision > revision, "the next entry of a server, which ends the watch", interval=0.002)
    time.sleep(0.02)


def run(case, **deployment):
    """As casefleet.run(), with these servers; what they ran is recorded at the end."""
    def recorded(fleet, record):
        breaches = case(fleet, record)
        for server in fleet.plain:
            for each in server.runs:
                record.write(f"{server.id} ran {each['id']}, begun at {each['at'] - record.start:.3f}"
                             f"{', cut when it ended' if each['cut'] else ''}")
        return breaches
    cf.run(recorded, backend=Server, **deployment)
