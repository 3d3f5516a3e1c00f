"""Requests whose framing leaves open where their body ends (RFC 9112, 6.1 and 6.3), at each port of a gateway that serves
HTTP. The body of each odd request spells another request, which must not run.
"""
import os
import re
import socket
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_fleet as pf  # noqa: E402  the path is set above
from platform_fleet import call, check  # noqa: E402

# The connection of a rejected request is closed within this time. It is below the idle limit of the fleet, 5 s.
CLOSE_S = 4
INNER = "inner"  # start of the ids of requests that are spelled by bodies

PORTS = {"callers": (pf.CALLER_PORT, "/once/note"), "readiness": (pf.READY_PORT, "/marigoldyard/ready"),
         "directory": (pf.DIRECTORY_PORT, "/marigoldyard/resolve?name=a.example&region=r1"),
         "operators": (pf.OPERATOR_PORT, "/metrics")}


def request(path, request_id, fields, body=b"", version="1.1", method="POST"):
    lines = [f"{method} {path} HTTP/{version}", "Host: a.example", f"Attempt-Id: {request_id}", "Deadline-Ms: 3000",
             "Authorization: Bearer key-1", *fields]
    return "\r\n".join([*lines, "", ""]).encode() + body


def inner_request(path):
    return request(path, f"{INNER}-{next(pf.NUMBER)}", ["Content-Length: 0"])


def chunked(body):
    return f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\n\r\n"


# Name, version, fields and body of odd requests. {n} stands for the length of the body that spells a request.
ODD = [
    ("identity", "1.1", ["Transfer-Encoding: identity"], "plain"),
    ("chunked, identity", "1.1", ["Transfer-Encoding: chunked, identity"], "plain"),
    ("identity, chunked", "1.1", ["Transfer-Encoding: identity, chunked"], "chunks"),
    ("gzip, chunked", "1.1", ["Transfer-Encoding: gzip, chunked"], "chunks"),
    ("x-chunked", "1.1", ["Transfer-Encoding: x-chunked"], "plain"),
    ("chunked with a parameter", "1.1", ["Transfer-Encoding: chunked;a=b"], "plain"),
    ("chunked in quotes", "1.1", ['Transfer-Encoding: "chunked"'], "plain"),
    ("no coding", "1.1", ["Transfer-Encoding:"], "plain"),
    ("chunked twice in a field", "1.1", ["Transfer-Encoding: chunked, chunked"], "chunks"),
    ("chunked twice in two fields", "1.1", ["Transfer-Encoding: chunked", "Transfer-Encoding: chunked"], "chunks"),
    ("identity, then chunked", "1.1", ["Transfer-Encoding: identity", "Transfer-Encoding: chunked"], "chunks"),
    ("chunked, then identity", "1.1", ["Transfer-Encoding: chunked", "Transfer-Encoding: identity"], "plain"),
    ("a coding on a folded line", "1.1", ["Transfer-Encoding: chunked,\r\n identity"], "plain"),
    ("a space before the colon", "1.1", ["Transfer-Encoding : chunked"], "chunks"),
    ("chunked, then a length", "1.1", ["Transfer-Encoding: chunked", "Content-Length: {n}"], "plain"),
    ("a length, then chunked", "1.1", ["Content-Length: {n}", "Transfer-Encoding: chunked"], "chunks"),
    ("identity, then a length", "1.1", ["Transfer-Encoding: identity", "Content-Length: {n}"], "plain"),
    ("identity, then no length", "1.1", ["Transfer-Encoding: identity", "Content-Length: 0"], "plain"),
    ("a body that is not sent", "1.1", ["Transfer-Encoding: identity", "Content-Length: 500"], "none"),
    ("two lengths", "1.1", ["Content-Length: {n}", "Content-Length: 0"], "plain"),
    ("two lengths in a field", "1.1", ["Content-Length: 0, {n}"], "plain"),
    ("a length that is no number", "1.1", ["Content-Length: x"], "plain"),
    ("a negative length", "1.1", ["Content-Length: -1"], "plain"),
    ("a length with a sign", "1.1", ["Content-Length: +{n}"], "plain"),
    ("a hexadecimal length", "1.1", ["Content-Length: 0x10"], "plain"),
    ("a length of over 64 bits", "1.1", ["Content-Length: 18446744073709551616"], "plain"),
    ("an empty length", "1.1", ["Content-Length:"], "plain"),
    ("HTTP/1.0, chunked", "1.0", ["Transfer-Encoding: chunked", "Connection: keep-alive"], "chunks"),
    ("HTTP/1.0, identity", "1.0", ["Transfer-Encoding: identity", "Connection: keep-alive"], "plain"),
]


def exchange(gateway, port, data):
    """Sends bytes on a new connection and reads until it is closed.

    Returns what was read, and whether the gateway closed the connection within CLOSE_S.
    """
    received, end = b"", time.monotonic() + CLOSE_S
    with socket.create_connection((gateway.ip, port), timeout=CLOSE_S) as connection:
        connection.sendall(data)
        try:
            while (left := end - time.monotonic()) > 0:
                connection.settimeout(left)
                part = connection.recv(65536)
                if not part:
                    return received, True
                received += part
        except OSError:
            pass  # a timeout, or a reset, which may lose the response
    return received, False


def statuses(received):
    """The statuses of all responses; a status line may follow a body without a line break."""
    return [status.decode() for status in re.findall(rb"HTTP/1\.[01] (\d{3}) ", received)]


def faults_of(fleet, port, data):
    """What is wrong with how a gateway serves an odd request."""
    before = sum(len(server.seen) for server in fleet.plain)
    received, closed = exchange(fleet.gateways[0], port, data)
    faults = []
    if statuses(received) != ["400"]:
        faults.append(f"answered with {statuses(received)}")
    if b"connection: close" not in received.partition(b"\r\n\r\n")[0].lower().split(b"\r\n"):
        faults.append("no Connection: close")
    if not closed:
        faults.append(f"not closed within {CLOSE_S} s")
    runs = sum(len(server.seen) for server in fleet.plain) - before
    if runs:
        faults.append(f"{runs} runs at servers")
    return faults


def check_port(fleet, name):
    """Sends each odd request to a port, also behind a sound one, and prints what is wrong."""
    port, path = PORTS[name]
    failed = []
    for odd, version, fields, form in ODD:
        inner = inner_request(path)
        body = {"plain": inner, "chunks": chunked(inner), "none": b""}[form]
        fields = [field.format(n=len(inner)) for field in fields]
        data = request(path, f"outer-{next(pf.NUMBER)}", fields, body, version)
        if form != "none":
            data += inner_request(path)
        faults = faults_of(fleet, port, data)
        if faults:
            failed.append(odd)
            print(f"  {name}, {odd}: {'; '.join(faults)}", flush=True)
    check(not failed, f"{len(failed)} of {len(ODD)} odd requests at the port for {name} are rejected and closed")


# Guards against a body that is run as a request of its own: whoever puts bytes into a caller's bodies could then send
# requests in the name of others.
def case_callers(fleet):
    """requests with odd framing are rejected at the callers' port, and no server sees them"""
    check_port(fleet, "callers")


# Guards against odd requests that are served at the port for readiness, whose sessions are those of the callers' port.
def case_readiness(fleet):
    """requests with odd framing are rejected at the port for readiness"""
    check_port(fleet, "readiness")


# Guards against odd requests that are served at the port of the directory.
def case_directory(fleet):
    """requests with odd framing are rejected at the port of the directory"""
    check_port(fleet, "directory")


# Guards against odd requests that are served at the operators' port, whose sessions are those of all other daemons too.
def case_operators(fleet):
    """requests with odd framing are rejected at the operators' port"""
    check_port(fleet, "operators")


# Guards against an answer that the gateway gives to an odd request before it rejects it.
def case_expect(fleet):
    """a request with odd framing is not asked for its body"""
    port, path = PORTS["callers"]
    fields = ["Transfer-Encoding: identity", "Expect: 100-continue"]
    faults = faults_of(fleet, port, request(path, "outer-expect", fields))
    check(not faults, f"it is rejected at once: {faults}")


# Guards against a rejection that loses the response to a sound request before it.
def case_pipelined(fleet):
    """an odd request behind a sound one is rejected after the sound one is answered"""
    for name, (port, path) in PORTS.items():
        sound = request(path, f"sound-{next(pf.NUMBER)}", ["Content-Length: 0"])
        odd = request(path, f"outer-{next(pf.NUMBER)}", ["Transfer-Encoding: identity"], inner_request(path))
        forget_runs(fleet)
        received, closed = exchange(fleet.gateways[0], port, sound + odd)
        found = statuses(received)
        check(found == ["200", "400"] and closed, f"{name}: answers {found}, closed {closed}")
        check(len(runs_of(fleet)) == (1 if name == "callers" else 0), f"{name}: runs {runs_of(fleet)}")


def forget_runs(fleet):
    for server in fleet.plain:
        server.seen.clear()


def runs_of(fleet):
    return [(method, path, body) for server in fleet.plain for method, path, _, body in server.seen]


# Guards against a check that also rejects sound requests.
def case_sound(fleet):
    """requests with a length, with chunks in any letter case and without a body are served on one connection"""
    body = b"sound body"
    forms = [([f"Content-Length: {len(body)}"], body, body), (["Transfer-Encoding: chunked"], chunked(body), body),
             (["Transfer-Encoding: Chunked"], chunked(body), body), (["transfer-encoding:CHUNKED \t"], chunked(body), body),
             ([], b"", b"")]
    for name, (port, path) in PORTS.items():
        forget_runs(fleet)
        data = b"".join(request(path, f"sound-{next(pf.NUMBER)}", fields, sent) for fields, sent, _ in forms)
        data += request(path, f"sound-{next(pf.NUMBER)}", ["Connection: close"])
        received, closed = exchange(fleet.gateways[0], port, data)
        found = statuses(received)
        check(found == ["200"] * (len(forms) + 1) and closed, f"{name}: answers {found}, closed {closed}")
        if name == "callers":
            seen = sorted(each for _, _, each in runs_of(fleet))
            check(seen == sorted([each for _, _, each in forms] + [b""]), f"bodies at servers: {seen}")


# Guards against callers that wait for the interim response and never get it.
def case_continue(fleet):
    """a request that expects 100-continue gets it and is served, with a length and with chunks"""
    body = b"sound body"
    gateway = fleet.gateways[0]
    for fields, sent in (([f"Content-Length: {len(body)}"], body), (["Transfer-Encoding: chunked"], chunked(body))):
        forget_runs(fleet)
        with socket.create_connection((gateway.ip, pf.CALLER_PORT), timeout=CLOSE_S) as connection:
            connection.sendall(request("/once/note", f"sound-{next(pf.NUMBER)}",
                                       [*fields, "Expect: 100-continue", "Connection: close"]))
            interim = connection.recv(4096)
            check(statuses(interim) == ["100"], f"the interim response is {interim!r}")
            connection.sendall(sent)
            received = b""
            while part := connection.recv(4096):
                received += part
        check(statuses(received) == ["200"], f"the response is {received!r}")
        check([each for _, _, each in runs_of(fleet)] == [body], f"bodies at servers: {runs_of(fleet)}")


# Guards against rejections after which a gateway serves nobody.
def case_serves_on(fleet):
    """the gateway serves ordinary requests after all these"""
    answer = call(fleet.gateways[0], "/read/1", method="POST", body=b"x" * 100)
    check(answer.status == 200, f"an ordinary request is answered with {answer.status}")


CASES = [case_sound, case_continue, case_callers, case_readiness, case_directory, case_operators, case_expect,
         case_pipelined, case_serves_on]

if __name__ == "__main__":
    pf.run_cases(CASES)
