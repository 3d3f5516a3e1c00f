"""A TCP proxy on loopback that delays, resets, silences and cuts connections, one way or both."""
import select
import socket
import threading
import time

CHUNK = 16384
POLL_S = 0.05
LOCAL_PATH = b"/marigoldyard/"


class Proxy:
    """Passes connections on to a target. `mode` holds for open and new connections:

    pass; delay: `delay_s` before each piece; silent: nothing passes, bytes are held; to_target, to_client: only this way;
    refuse: new connections are reset.

    silence_open() silences the open connections for good, while new ones pass.

    While `holding`, requests are read and kept, and they are delivered afterwards even if their sender has reset the
    connection. While `spares_local`, no mode touches calls with LOCAL_PATH, which the stager on the machine of the target
    makes.
    """

    def __init__(self, host, port, target):
        self.target, self.mode, self.delay_s = target, "pass", 0.0
        self.pairs, self.lock, self.closed = set(), threading.Lock(), False
        self.silenced = set()  # ends of connections that stay silent in every mode
        self.holding, self.spares_local = False, False
        self.local = set()  # ends of connections that the stager has opened
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
            if self.mode == "refuse" and not self.spares_local:
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
        if self.mode == "refuse" and not (select.select([client], [], [], 1)[0] and self.spares(client, server)):
            server.close()
            return self.reset(client)
        with self.lock:
            self.pairs.add((client, server))
        back = threading.Thread(target=self.pump, args=(server, client, "to_client"), daemon=True)
        back.start()
        self.pump(client, server, "to_target")
        back.join()
        with self.lock:
            self.pairs.discard((client, server))
            self.local.difference_update((client, server))
        client.close()
        server.close()

    def passes(self, way):
        return self.mode in ("pass", "delay", "refuse", way)

    def spares(self, source, sink):
        """Whether the modes do not touch a connection, as its first bytes show."""
        if source not in self.local:
            arrived = select.poll()
            arrived.register(source, select.POLLIN)
            # A read would consume a reset, which must wait like bytes do.
            if [event for _, event in arrived.poll(0)] == [select.POLLIN]:
                words = source.recv(64, socket.MSG_PEEK).split(b" ")
                if len(words) > 1 and words[1].startswith(LOCAL_PATH):
                    self.local.update((source, sink))
        return self.spares_local and source in self.local

    def hold(self, source):
        """Reads while the proxy holds, also when the sender has gone."""
        held = b""
        while self.holding and not self.closed:
            data = b""
            try:
                if select.select([source], [], [], POLL_S)[0]:
                    data = source.recv(CHUNK)
            except (OSError, ValueError):
                pass  # the sender has reset the connection
            if not data:
                time.sleep(POLL_S / 5)
            held += data
        return held

    def pump(self, source, sink, way):
        try:
            while True:
                while not self.spares(source, sink) and (source in self.silenced or not self.passes(way)):
                    if self.closed:
                        return
                    time.sleep(POLL_S)
                if not select.select([source], [], [], POLL_S)[0]:
                    continue
                spared = self.spares(source, sink)
                if source in self.silenced and not spared:
                    continue
                data = source.recv(CHUNK)
                if self.holding and way == "to_target" and data and source not in self.local:
                    data += self.hold(source)
                if self.mode == "delay" and not spared:
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

    def reset_links(self):
        """Resets the connections that the modes touch."""
        self.reset_all(self.local if self.spares_local else ())

    def reset_all(self, spared=()):
        with self.lock:
            pairs = [pair for pair in self.pairs if pair[0] not in spared]
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
