"""Servers that crash on some requests and are back after some time."""
import contextlib
import socket
import threading
import time

import platform_fleet as pf
from platform_fleet import wait_for

DOWN_S = 0.6


class Crashing:
    """Makes a server crash, as a process that ends and starts again, when it begins to answer some requests."""

    def __init__(self, engine, matches):
        self.engine, self.matches, self.crashes = engine, matches, 0
        self.rejects = False  # answers 400 instead
        self.open, self.lock, self.down = set(), threading.Lock(), False
        self.usual = engine.handle
        engine.handle = self.handle

    def handle(self, request):
        with self.lock:
            self.open.add(request)
        try:
            if self.matches(request):
                if self.rejects:
                    return request.answer(400, b"too long", self.engine.headers(request))
                time.sleep(0.02)
                return self.crash(request)
            return self.usual(request)
        finally:
            with self.lock:
                self.open.discard(request)

    def crash(self, request):
        with self.lock:
            if self.down:  # another request ended the process
                return request.cut()
            self.down = True
        self.crashes += 1
        server = self.engine.server
        server.shutdown()
        server.socket.close()  # refuses new connections
        with self.lock:
            others = list(self.open)
        for each in others:
            with contextlib.suppress(OSError):  # the peer may have closed before
                each.cut()
        threading.Thread(target=self.restart, daemon=True).start()

    def restart(self):
        time.sleep(DOWN_S)
        host, port = self.engine.address.split(":")
        self.engine.server = pf.Server((host, int(port)), pf.Handler)
        self.engine.server.owner = self.engine
        self.engine.born = int(time.time() * 1000)
        self.engine.register()
        self.down = False
        threading.Thread(target=self.engine.server.serve_forever, args=(0.02,), daemon=True).start()

    def end(self):
        self.engine.handle = self.usual


def up(servers):
    """Waits until every server accepts connections and every gateway knows it."""
    def accepts(server):
        host, port = server.address.split(":")
        try:
            socket.create_connection((host, int(port)), timeout=1).close()
            return True
        except OSError:
            return False
    for server in servers:
        wait_for(lambda s=server: accepts(s), "the server is up", timeout=5)
    time.sleep(0.8)
