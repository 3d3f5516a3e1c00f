"""A TCP proxy on loopback that delays, resets, silences and cuts connections, one way or both."""
import select
import socket
import threading
import time

CHUNK = 16384
POLL_S = 0.05


class Proxy:
    """Passes connections on to a target. `mode` holds for open and new connections:

    pass; delay: `delay_s` before each piece; silent: nothing passes, bytes are held; to_target, to_client: only this way;
    refuse: new connections are reset.

    silence_open() silences the open connections for good, while new ones pass.
    """

    def __init__(self, host, port, target):
        self.target, self.mode, self.delay_s = target, "pass", 0.0
        self.pairs, self.lock, self.closed = set(), threading.Lock(), False
        self.silenced = set()  # ends of connections that stay silent in every mode
        self.address = f"{host}:{port}"
        self.listen()

    def listen(self):
        """Accepts connections, until the proxy is closed."""
        if self.closed:
            return
        host, _, port = self.address.rpartition(":")
        self.listener = socket.create_server((host, int(port)), backlog=128)
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def stop_listening(self):
        """Refuses new connections, as the address of a process that has ended."""
        self.listener.shutdown(socket.SHUT_RDWR)  # ends accept, which keeps the port otherwise
        self.listener.close()

    def accept(self, listener):
        while not self.closed:
            try:
                client, _ = listener.accept()
            except OSError:
                return
            if self.mode == "refuse":
                self.reset(client)
                continue
            threading.Thread(target=self.serve, args=(client,), daemon=True).start()

    def serve(self, client):
        host, _, port = self.target.rpartition(":")
        try:
            server = socket.create_connection((host, int(port)), timeout=1)
        except OSError:
            return self.reset(client)
        server.settimeout(None)
        with self.lock:
            self.pairs.add((client, server))
        back = threading.Thread(target=self.pump, args=(server, client, "to_client"), daemon=True)
        back.start()
        self.pump(client, server, "to_target")
        back.join()
        with self.lock:
            self.pairs.discard((client, server))
        client.close()
        server.close()

    def passes(self, way):
        return self.mode in ("pass", "delay", "refuse", way)

    def pump(self, source, sink, way):
        try:
            while True:
                while source in self.silenced or not self.passes(way):
                    if self.closed:
                        return
                    time.sleep(POLL_S)
                if not select.select([source], [], [], POLL_S)[0]:
                    continue
                if source in self.silenced:
                    continue
                data = source.recv(CHUNK)
                if self.mode == "delay":
                    time.sleep(self.delay_s)
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except (OSError, ValueError):
            # One end is gone: the other end must see it too.
            for end in (source, sink):
                try:
                    end.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    @staticmethod
    def reset(connection):
        """Closes a connection with a reset."""
        try:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            connection.close()
        except OSError:
            pass

    def silence_open(self):
        """Nothing passes on the connections that are open now, and neither end is told; returns their number."""
        with self.lock:
            self.silenced.update(end for pair in self.pairs for end in pair)
            return len(self.pairs)

    def reset_all(self):
        with self.lock:
            pairs = list(self.pairs)
        for pair in pairs:
            for end in pair:
                try:
                    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
                    end.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def close(self):
        self.closed = True
        try:
            self.stop_listening()
        except OSError:
            pass  # it did not listen
        self.reset_all()
