"""Callers that keep their connection for many requests, and the judgement of what they got on it."""
import collections
import errno
import http.client
import random
import select
import socket
import threading
import time

import platform_fleet as pf
from configurations import PART

# Share of the idle limit up to which callers reuse a connection.
REUSED_SHARE = 0.8
POLL_S = 0.02
# Within this time after a close, the reset for a request that was not read has arrived on loopback.
RESET_S = 0.1
# A gateway knows a change of the configuration this long after it can read it.
KNOWN_S = 2.0
# Answers that blame a request, which none deserves that is within the limits and for a known path.
REFUSALS = (404, 408, 413, 431)
# Share of a limit that long headers and bodies take up; the rest is for the other headers.
LONG_SHARE = 0.8
LONG_PAUSE_S = 1.0
# Longer than the deadline of the requests, so that a gateway answers before.
TIMEOUT_S = 5.0

Unanswered = collections.namedtuple("Unanswered", "begun ended kind attempt gateway how")
Refused = collections.namedtuple("Refused", "idle_since begun ended kind attempt gateway status")
Closed = collections.namedtuple("Closed", "idle_since at gateway limit_s")


class Limits:
    """The limits that were declared, with the time of each."""

    def __init__(self, limits):
        self.declared = [(time.monotonic(), limits)]

    def declare(self, limits):
        self.declared.append((time.monotonic(), limits))

    def idle_s(self):
        return self.declared[-1][1]["idle_timeout_ms"] / 1000

    def smallest(self, name):
        """The smallest value that may be in force at a gateway now."""
        return min(limits[name] for limits in self.known(time.monotonic(), time.monotonic()))

    def known(self, begun, ended):
        """The limits that may have been in force at a gateway in this time."""
        before = [limits for at, limits in self.declared if at <= begun - KNOWN_S][-1:]
        return before + [limits for at, limits in self.declared if begun - KNOWN_S < at <= ended]

    def changed(self, begun, ended):
        """Whether another limit was declared in this time or shortly before."""
        return len(self.known(begun, ended)) > 1


class KeptRecord:
    """Requests without an answer and connections that a gateway closed, on kept connections."""

    def __init__(self, record, limits):
        self.record, self.limits, self.lock = record, limits, threading.Lock()
        self.unanswered, self.closed, self.refused, self.counts = [], [], [], collections.Counter()

    def note(self, entry):
        with self.lock:
            {Unanswered: self.unanswered, Closed: self.closed, Refused: self.refused}[type(entry)].append(entry)

    def was_read(self, request):
        """Whether a gateway read the request: it ended without a reset, or a server had it."""
        runs = [run for run in self.record.runs[request.attempt] if run.began <= request.ended]
        return bool(runs) or request.how in ("dropped", "timeout")

    def excuse(self, gateway, idle_since, begun, ended, whole_stop):
        """The name of what excuses a close or a refusal by limits that are no longer in force, or None."""
        by_gateway = self.record.gateway_excuse(gateway, begun, ended, whole_stop)
        if by_gateway is not None:
            return by_gateway
        # A gateway that could not learn of a change holds to the limits before it.
        return next((span.kind for span in self.record.delays(gateway, idle_since, ended, KNOWN_S)
                     if self.limits.changed(span.begun, ended)), None)

    def judge(self):
        """Counts what kept connections met, and tells what nothing excuses."""
        broken = []
        for request in self.unanswered:
            if not self.was_read(request):
                self.counts["not read"] += 1
                continue
            excuse = self.record.gateway_excuse(request.gateway, request.begun, request.ended)
            self.counts[f"unanswered, {excuse}"] += 1
            if excuse is None:
                servers = [run.server for run in self.record.runs[request.attempt]]
                broken.append(f"{request.attempt}: gateway {request.gateway} read a {request.kind} on a kept connection and "
                              f"did not answer within {request.ended - request.begun:.2f} s ({request.how}); "
                              f"servers {servers}")
        for closed in self.closed:
            excuse = self.excuse(closed.gateway, closed.idle_since, closed.at, closed.at, whole_stop=True)
            self.counts[f"closed, {excuse}"] += 1
            if excuse is None:
                broken.append(f"gateway {closed.gateway} closed a connection that was idle for "
                              f"{closed.at - closed.idle_since:.2f} s, with an idle limit of {closed.limit_s} s")
        for refused in self.refused:
            excuse = self.excuse(refused.gateway, refused.idle_since, refused.begun, refused.ended,
                                 whole_stop=False)
            self.counts[f"refused, {excuse}"] += 1
            if excuse is None:
                broken.append(f"{refused.attempt}: gateway {refused.gateway} answered {refused.status} to a {refused.kind} "
                              f"within the limits, {refused.begun - refused.idle_since:.2f} s after the request before it")
        return broken


def how_it_ended(watched):
    """Tells "reset" from "dropped" after the end of a connection. `watched` is a duplicate of its socket."""
    end = time.monotonic() + RESET_S
    while time.monotonic() < end:
        # A reset that follows the end of the peer's bytes is reported as a broken pipe.
        if watched.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) in (errno.ECONNRESET, errno.EPIPE):
            return "reset"
        time.sleep(RESET_S / 10)
    return "dropped"


class Connection:
    """A connection that is never opened again."""

    def __init__(self, world, gateway):
        self.world, self.gateway = world, gateway
        self.http = http.client.HTTPConnection(gateway.ip, pf.CALLER_PORT, timeout=TIMEOUT_S)
        self.http.connect()
        self.http.auto_open = 0
        self.watched = self.http.sock.dup()  # http.client closes its own socket at an end
        self.idle_since = time.monotonic()

    def close(self):
        self.http.close()
        self.watched.close()

    def idle(self, share):
        """Waits for a share of the idle limit in force. False: the gateway closed it, or a lower limit came into force."""
        while not self.world.stop_callers.is_set():
            ended = select.select([self.watched], [], [], POLL_S)[0]
            limit_s, now = self.world.limits.idle_s(), time.monotonic()
            if ended:
                self.world.kept.note(Closed(self.idle_since, now, self.gateway.host, limit_s))
                return False
            if now - self.idle_since > REUSED_SHARE * limit_s:
                return False
            if now - self.idle_since >= share * limit_s:
                return True
        return False

    def line(self, kind, rng):
        """Method, path and body, some of them for a route that comes and goes, or with a long body."""
        method, path, body = self.world.request_line(kind)
        if rng.random() < 0.3:
            path = path.removesuffix("x") + PART + "x"
        # After a long pause always, since it may have met a change of the limits.
        if body is not None and (rng.random() < 0.4 or time.monotonic() - self.idle_since > LONG_PAUSE_S):
            body = b"b" * int(LONG_SHARE * self.world.limits.smallest("max_body_bytes"))
        return method, path, body

    def long_header(self, rng):
        """A header that fills most of what the limits allow, sometimes."""
        room = self.world.limits.smallest("max_header_bytes")
        return {"Padding": "p" * int(LONG_SHARE * room - 400)} if rng.random() < 0.2 else {}

    def call(self, kind, rng):
        """One request; False when the connection can't be used again."""
        attempt, key = self.world.new_request(kind, rng)
        begun, how = time.monotonic(), None
        try:
            self.http.request(*self.line(kind, rng), {**self.world.head(attempt), "Authorization": "Bearer " + key,
                                                      **self.long_header(rng)})
            response = self.http.getresponse()
        except http.client.RemoteDisconnected:
            how = how_it_ended(self.watched)
        except ConnectionError:
            how = "reset"
        except (OSError, http.client.HTTPException) as failure:
            how = "timeout" if isinstance(failure, TimeoutError) else "dropped"
        if how is not None:
            self.world.kept.note(Unanswered(begun, time.monotonic(), kind, attempt, self.gateway.host, how))
            return False
        body, whole = b"", True
        try:
            body = response.read()
        except (OSError, http.client.HTTPException):
            whole = False
        answer = pf.Answer(response.status, dict(response.getheaders()), body, whole)
        if answer.status in REFUSALS:
            self.world.kept.note(Refused(self.idle_since, begun, time.monotonic(), kind, attempt, self.gateway.host,
                                         answer.status))
        self.world.add_answer(begun, kind, attempt, self.gateway, answer)
        with self.world.kept.lock:
            self.world.kept.counts["answered"] += 1
        self.idle_since = time.monotonic()
        return whole and answer.headers.get("Connection", "").lower() != "close"


def run_caller(world, number, hosts):
    """Calls until the end, on connections that are kept until a gateway or the idle limit ends them."""
    rng = random.Random(f"{world.seed}-kept-{number}")
    while not world.stop_callers.is_set():
        try:
            connection = Connection(world, world.gateways[rng.choice(hosts)])
        except OSError:
            time.sleep(POLL_S)
            continue
        used = True
        while used and not world.stop_callers.is_set():
            used = connection.call(rng.choice(("read", "read", "once", "stream")), rng)
            # Many short pauses, and some that meet changes of the idle limit.
            share = rng.uniform(0.3, 0.98 * REUSED_SHARE) if rng.random() < 0.25 else rng.uniform(0, 0.02)
            used = used and connection.idle(share)
        connection.close()


def stream_and_read(world, gateway, seed):
    """A stream, and a request that follows it at once on the same connection."""
    connection, rng = Connection(world, gateway), random.Random(seed)
    if connection.call("stream", rng):
        connection.call("read", rng)
    connection.close()
