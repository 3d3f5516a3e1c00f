"""A TCP proxy whose open connections can go silent for good, while new ones work."""
import socket
import threading


class Proxy:
    def __init__(self, listen, target):
        self.target, self.lock, self.open = target, threading.Lock(), []
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(listen)
        self.listener.listen(64)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            try:
                server = socket.create_connection(self.target, timeout=2)
            except OSError:
                client.close()
                continue
            server.settimeout(None)
            link = {"silent": threading.Event(), "ends": (client, server)}
            with self.lock:
                self.open.append(link)
            for source, sink in ((client, server), (server, client)):
                threading.Thread(target=self.pump, args=(link, source, sink), daemon=True).start()

    def pump(self, link, source, sink):
        while True:
            try:
                data = source.recv(65536)
            except OSError:
                data = b""
            if link["silent"].is_set():
                return  # neither bytes nor the end of the connection pass
            if not data:
                break
            try:
                sink.sendall(data)
            except OSError:
                break
        for end in link["ends"]:
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def silence(self):
        """All connections that are open now go silent for good."""
        with self.lock:
            for link in self.open:
                link["silent"].set()
            return len(self.open)

    def close(self):
        self.listener.close()
        with self.lock:
            for link in self.open:
                for end in link["ends"]:
                    end.close()
