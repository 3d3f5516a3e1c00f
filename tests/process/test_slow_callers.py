"""Callers that read their response slowly."""
import os
import socket
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_fleet as pf  # noqa: E402  the path is set above
from platform_fleet import check  # noqa: E402

SIZE = 12 << 20


# Guards against a response that is cut because its caller needs longer than the write timeout for the whole of it.
def case_steady_reader(fleet):
    """a caller that reads all the time gets a large response whole, however long that takes"""
    for server in fleet.plain:
        server.behaviours = [lambda request, s=server: request.answer(200, b"x" * SIZE, s.headers(request))]
    with socket.socket() as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 << 10)
        connection.connect((fleet.gateways[0].ip, pf.CALLER_PORT))
        connection.settimeout(10)
        connection.sendall(b"GET /read/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: id-steady\r\nDeadline-Ms: 3000\r\n"
                           b"Authorization: Bearer key-1\r\nConnection: close\r\n\r\n")
        received = 0
        while data := connection.recv(32 << 10):
            received += len(data)
            time.sleep(0.02)
    check(received > SIZE, f"{received} of {SIZE} bytes")


CASES = [case_steady_reader]

if __name__ == "__main__":
    pf.run_cases(CASES)
