"""Callers that send more, or keep more connections open, than a gateway can hold. Each case has a gateway of its own.

MARIGOLDYARD_WITHOUT_LIMITS=1 leaves out the settings memory_mb and max_fds, for builds that do not know them.
"""
import concurrent.futures
import os
import select
import socket
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_fleet as pf  # noqa: E402  the path is set above
from platform_fleet import call, check, wait_for  # noqa: E402

MAX_BODY = 1 << 20
RESPONSE = 4 << 20
# Callers with bodies. Their bodies together are far over MOST_MEMORY_KB.
BODIES = 80
# Connections without a whole head, in all; far over MOST_DESCRIPTORS.
CONNECTIONS = 700
MOST_MEMORY_KB = 48 << 10
MOST_DESCRIPTORS = 500
LIMITS = {} if os.environ.get("MARIGOLDYARD_WITHOUT_LIMITS") else {"memory_mb": 64, "max_fds": 500}
HOSTS = iter(range(60, 100))


def prepare(fleet):
    """Raises the body limit of the configuration to MAX_BODY."""
    fleet.version += 1
    changed = pf.configuration(fleet.version, fleet.origin)
    changed["limits"].update(max_body_bytes=MAX_BODY, header_timeout_ms=3000, idle_timeout_ms=15000)
    fleet.store.put("op/config", changed)


class Target:
    """A gateway that was started with lowered limits."""

    def __init__(self, fleet, limits=None, most_memory_kb=MOST_MEMORY_KB, most_descriptors=MOST_DESCRIPTORS):
        self.most_memory_kb, self.most_descriptors = most_memory_kb, most_descriptors
        self.daemon = fleet.gateway(next(HOSTS), **(LIMITS if limits is None else limits))
        wait_for(lambda: self.ready() or self.daemon.process.poll() is not None, "the gateway is ready or has ended")
        check(self.daemon.process.poll() is None, "the gateway has started")
        self.connections, self.descriptors = [], 0

    def ready(self):
        return pf.is_ready(self.daemon)

    def connect(self, port=pf.CALLER_PORT):
        """A connection, which stays open until the end of the case; None if it is refused."""
        try:
            connection = socket.create_connection((self.daemon.ip, port), timeout=5)
        except OSError:
            return None
        self.connections.append(connection)
        return connection

    def note_descriptors(self):
        self.descriptors = max(self.descriptors, len(os.listdir(f"/proc/{self.daemon.process.pid}/fd")))

    def check_bounds(self):
        """The process lives within its bounds and answers."""
        check(self.daemon.process.poll() is None, "the gateway is alive")
        self.note_descriptors()
        memory = pf.peak_memory_kb(self.daemon.process)
        print(f"  peak memory {memory} kB, most descriptors {self.descriptors}", flush=True)
        answer = call(self.daemon, "/read/1", method="POST", body=b"x" * 100)
        check(answer.status == 200, f"an ordinary request is answered with {answer.status}")
        check(memory <= self.most_memory_kb, f"peak memory is {memory} kB of {self.most_memory_kb}")
        check(self.descriptors <= self.most_descriptors,
              f"{self.descriptors} descriptors of {self.most_descriptors} were open")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for connection in self.connections:
            connection.close()
        self.daemon.stop()


def head(fields):
    return (f"POST /read/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: id-{next(pf.NUMBER)}\r\nDeadline-Ms: 3000\r\n"
            f"Authorization: Bearer key-1\r\n{fields}\r\n\r\n").encode()


def send(connection, parts):
    """Sends until the gateway answers or closes."""
    try:
        for part in parts:
            if select.select([connection], [], [], 0)[0]:
                return
            connection.sendall(part)
    except OSError:
        return  # rejecting is allowed


def send_from_crowd(target, make_parts):
    """All callers send at once and stay open."""
    def run(_):
        connection = target.connect()
        if connection:
            send(connection, make_parts())
    with concurrent.futures.ThreadPoolExecutor(BODIES) as pool:
        list(pool.map(run, range(BODIES)))
    time.sleep(0.3)  # until the gateway has read what was sent


def chunked(size, count):
    """The head of a chunked request, and so many chunks without the last one."""
    yield head("Transfer-Encoding: chunked")
    chunk = f"{size:x}\r\n".encode() + b"x" * size + b"\r\n"
    together = max(1, (16 << 10) // len(chunk))
    for first in range(0, count, together):
        yield chunk * min(together, count - first)


def with_length(announced, sent):
    yield head(f"Content-Length: {announced}")
    for first in range(0, sent, 64 << 10):
        yield b"x" * min(64 << 10, sent - first)


def run_crowd(fleet, make_parts):
    with Target(fleet) as target:
        send_from_crowd(target, make_parts)
        target.check_bounds()


# Guards against memory that grows with the number of unfinished bodies.
def case_large_chunks(fleet):
    """chunked bodies in large chunks that stop short of their end stay within the memory"""
    run_crowd(fleet, lambda: chunked(64 << 10, 15))


# Guards against memory that grows with the number of chunks.
def case_small_chunks(fleet):
    """chunked bodies in chunks of one byte that stop short of their end stay within the memory"""
    run_crowd(fleet, lambda: chunked(1, 20000))


# Guards against memory that grows with announced bodies.
def case_announced(fleet):
    """bodies with a length that stop short of their end stay within the memory"""
    run_crowd(fleet, lambda: with_length(MAX_BODY, MAX_BODY - 1))


# Guards against a rejected body that is kept or read on.
def case_over_limit(fleet):
    """bodies far over the limit, announced and just sent, stay within the memory"""
    run_crowd(fleet, lambda: with_length(16 * MAX_BODY, 4 * MAX_BODY))
    run_crowd(fleet, lambda: chunked(64 << 10, 64))


# Guards against a fresh share of memory for callers that close and come back.
def case_reconnecting(fleet):
    """callers that close and come back with unfinished bodies stay within the memory"""
    with Target(fleet) as target:
        for _ in range(3):
            send_from_crowd(target, lambda: with_length(MAX_BODY, MAX_BODY - 1))
            for connection in target.connections[::2]:
                connection.close()
        target.check_bounds()


# Guards against descriptors that run out, so that nothing is accepted any more.
def case_idle_and_half_open(fleet):
    """idle connections, and connections with half a head, stay within the descriptors"""
    with Target(fleet) as target:
        for number in range(CONNECTIONS):
            connection = target.connect()
            if connection and number % 2:
                send(connection, [b"POST /read/1 HTTP/1.1\r\nHost: a.exa"])
            if number % 50 == 0:
                target.note_descriptors()
        target.check_bounds()


# Guards against memory that grows with responses that nobody reads.
def case_unread_responses(fleet):
    """callers that do not read their large responses leave the gateway within the memory"""
    for server in fleet.plain:
        server.behaviours = [lambda request, s=server: request.answer(200, b"x" * RESPONSE, s.headers(request))
                             ] * BODIES
    with Target(fleet) as target:
        for _ in range(BODIES // 2):
            connection = target.connect()
            if connection:
                send(connection, [head("Content-Length: 0")])
        time.sleep(2)  # until the servers have answered
        for server in fleet.plain:
            server.behaviours.clear()
        target.check_bounds()


# Guards against connections that other ports than that of the callers accept without a bound.
def case_other_ports(fleet):
    """idle connections to the ports for readiness, the directory and operators stay within the descriptors"""
    ports = (pf.READY_PORT, pf.DIRECTORY_PORT, pf.OPERATOR_PORT)
    with Target(fleet) as target:
        for number in range(CONNECTIONS):
            target.connect(ports[number % 3])
            if number % 50 == 0:
                target.note_descriptors()
        check(target.ready(), "the readiness check is answered")
        target.check_bounds()


CASES = [case_large_chunks, case_small_chunks, case_announced, case_over_limit, case_reconnecting,
         case_idle_and_half_open, case_unread_responses, case_other_ports]

if __name__ == "__main__":
    pf.run_cases(CASES, prepare)
