"""Callers whose heads and unread bytes cost a process more memory than their bytes on the wire tell. Each case has a
gateway of its own.
"""
import concurrent.futures
import http.client
import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_fleet as pf  # noqa: E402  the path is set above
from platform_fleet import call, check  # noqa: E402
from test_hostile_callers import Target, head, send  # noqa: E402

MAX_HEADER = 16384
MAX_BODY = 1 << 20
# The memory of the machine that the gateway is told of; bytes that it has received and not read count too.
MEMORY_MB = 64
MAX_DESCRIPTORS = 2048
LIMITS = {"memory_mb": MEMORY_MB, "max_fds": MAX_DESCRIPTORS}
FIELDS = 3000  # of five bytes each in a head, which is within MAX_HEADER
CROWD = 300
LARGE_CROWD = 900
SENDERS = 16
http.client._MAXHEADERS = 2 * FIELDS  # pylint: disable=protected-access  the servers here accept as many


def prepare(fleet):
    """Sets the limits of the configuration that the users' sites have."""
    fleet.version += 1
    changed = pf.configuration(fleet.version, fleet.origin)
    changed["limits"].update(max_header_bytes=MAX_HEADER, max_body_bytes=MAX_BODY, header_timeout_ms=3000,
                             idle_timeout_ms=15000)
    fleet.store.put("op/config", changed)


def unread_bytes(daemon):
    """Bytes that the sockets of a process have received and that it has not read."""
    inodes = set()
    folder = f"/proc/{daemon.process.pid}/fd"
    for name in os.listdir(folder):
        try:
            link = os.readlink(f"{folder}/{name}")
        except OSError:
            continue  # closed meanwhile
        if link.startswith("socket:["):
            inodes.add(link[len("socket:["):-1])
    with open("/proc/net/tcp", encoding="ascii") as table:
        rows = [line.split() for line in list(table)[1:]]
    return sum(int(row[4].partition(":")[2], 16) for row in rows if row[9] in inodes)


def run_crowd(fleet, count, make_parts, port=pf.CALLER_PORT, settle_s=0.3):
    """`count` callers send at once and stay open; checks memory, descriptors and an ordinary request after settle_s."""
    with Target(fleet, LIMITS, MEMORY_MB << 10, MAX_DESCRIPTORS) as target:
        def run(_):
            connection = target.connect(port)
            if connection:
                connection.settimeout(10)
                send(connection, make_parts())
        with concurrent.futures.ThreadPoolExecutor(SENDERS) as pool:
            list(pool.map(run, range(count)))
        time.sleep(settle_s)  # until the gateway has read what was sent
        target.check_bounds()


def head_of_small_fields():
    """A head of many small fields, within the limit."""
    return head("Transfer-Encoding: chunked\r\n" + "a:b\r\n" * (FIELDS - 1) + "a:b")


def whole_head():
    """The head, and a body without its end."""
    yield head_of_small_fields() + b"10\r\n" + b"x" * 16 + b"\r\n"


def unfinished_head():
    yield head_of_small_fields()[:-4]


def send_what_fits(connection, data):
    """Sends until the connection takes no more."""
    connection.setblocking(False)
    sent = 0
    while sent < len(data):
        try:
            sent += connection.send(data[sent:sent + (64 << 10)])
        except OSError:
            return  # full, or closed by the gateway


# Guards against fields of a head that are counted by their bytes on the wire, while each costs an allocation.
def case_small_fields(fleet):
    """heads of many small fields with unfinished bodies stay within the memory"""
    run_crowd(fleet, CROWD, whole_head)


# Guards against the same heads at ports that share the account of the callers' port, or have none.
def case_small_fields_ready(fleet):
    """heads of many small fields at the port for readiness stay within the memory"""
    run_crowd(fleet, CROWD, whole_head, pf.READY_PORT)


def case_small_fields_directory(fleet):
    """heads of many small fields at the port of the directory stay within the memory"""
    run_crowd(fleet, CROWD, whole_head, pf.DIRECTORY_PORT)


def case_small_fields_operator(fleet):
    """heads of many small fields at the operators' port stay within the memory"""
    run_crowd(fleet, CROWD, whole_head, pf.OPERATOR_PORT)


# Guards against heads that cost nothing before their end.
def case_unfinished_heads(fleet):
    """unfinished heads of many small fields stay within the memory"""
    run_crowd(fleet, LARGE_CROWD, unfinished_head)


def whole_with_trailers():
    """A whole request with as many trailers as a head of small fields has fields."""
    yield (head("Transfer-Encoding: chunked") + b"1\r\nx\r\n0\r\n" + b"a:b\r\n" * FIELDS + b"\r\n")


# Guards against trailers of chunked bodies that are held as fields and not accounted.
def case_trailers(fleet):
    """requests with many trailers that are being served stay within the memory"""
    for server in fleet.plain:
        server.behaviours = [lambda request, s=server: (time.sleep(2.5), s.plain(request))] * CROWD
    try:
        run_crowd(fleet, CROWD, whole_with_trailers, settle_s=6)  # until the servers have answered
    finally:
        for server in fleet.plain:
            server.behaviours.clear()


# Guards against received bytes that wait in sockets without a bound: the kernel lets the buffer of a connection grow while
# its bytes are read quickly.
def case_unread_bodies(fleet):
    """what waits unread in the sockets of a gateway that stands still stays within the memory"""
    request = head(f"Content-Length: {MAX_BODY}") + b"x" * MAX_BODY
    with Target(fleet, LIMITS, MEMORY_MB << 10, MAX_DESCRIPTORS) as target:
        def serve_once(_):
            connection = target.connect()
            if connection:
                connection.settimeout(10)
                send(connection, [request])
                try:
                    connection.recv(4096)
                except OSError:
                    pass  # refused
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            list(pool.map(serve_once, range(CROWD)))
        target.daemon.process.send_signal(signal.SIGSTOP)
        try:
            for connection in target.connections:
                send_what_fits(connection, request)
            unread = unread_bytes(target.daemon)
        finally:
            target.daemon.process.send_signal(signal.SIGCONT)
        time.sleep(0.3)  # until the gateway has read what was sent
        memory = pf.peak_memory_kb(target.daemon.process)
        print(f"  unread bytes {unread}", flush=True)
        target.check_bounds()
        check(memory + (unread >> 10) <= MEMORY_MB << 10, f"{memory} kB and {unread} unread bytes, of {MEMORY_MB} MB")


# Guards against a limit that a caller inside the configured limits meets alone.
def case_small_fields_alone(fleet):
    """a single request with a head of many small fields is served"""
    with Target(fleet, LIMITS, MEMORY_MB << 10, MAX_DESCRIPTORS) as target:
        fields = {f"x-{number}": "v" for number in range(1200)}
        answer = call(target.daemon, "/read/1", method="POST", body=b"x" * 1000, headers=fields)
        check(answer.status == 200, f"it is answered with {answer.status}")


CASES = [case_small_fields_alone, case_small_fields, case_small_fields_ready, case_small_fields_directory, case_small_fields_operator,
         case_unfinished_heads, case_trailers, case_unread_bodies]

if __name__ == "__main__":
    pf.run_cases(CASES, prepare)
