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

# Share of the idle limit up to which callers reuse a connection.
REUSED_SHARE = 0.8
POLL_S = 0.02
# Within this time after a close, the reset for a request that was not read has arrived on loopback.
RESET_S = 0.1
# A gateway knows a change of the configuration this long after it can read it.
KNOWN_S = 2.0
# Longer than the deadline of the requests, so that a gateway answers before.
TIMEOUT_S = 5.0

Unanswered = collections.namedtuple("Unanswered", "begun ended kind attempt gateway how")
Closed = collections.namedtuple("Closed", "idle_since at gateway limit_s")


class Limits:
    """The idle limits that were declared, with the time of each."""

    def __init__(self, idle_s):
        self.declared = [(time.monotonic(), idle_s)]

    def declare(self, idle_s):
        self.declared.append((time.monotonic(), idle_s))

    def idle_s(self):
        return self.declared[-1][1]

    def changed(self, begun, ended):
        """Whether another limit was declared in this time or shortly before."""
        before = [limit for at, limit in self.declared if at <= begun - KNOWN_S][-1:]
        return len(set(before + [limit for at, limit in self.declared if begun - KNOWN_S < at <= ended])) > 1


class KeptRecord:
    """Requests without an answer and connections that a gateway closed, on kept connections."""

    def __init__(self, record, limits):
        self.record, self.limits, self.lock = record, limits, threading.Lock()
        self.unanswered, self.closed, self.counts = [], [], collections.Counter()

    def note(self, entry):
        with self.lock:
            (self.unanswered if isinstance(entry, Unanswered) else self.closed).append(entry)

    def was_read(self, request):
        """Whether a gateway read the request: it ended without a reset, or a server had it."""
        runs = [run for run in self.record.runs[request.attempt] if run.began <= request.ended]
        return bool(runs) or request.how in ("dropped", "timeout")

    def close_excuse(self, closed):
        """The name of what excuses the close of a connection that was idle within its limit, or None."""
        excuse = self.record.gateway_excuse(closed.gateway, closed.at, closed.at, whole_stop=True)
        # A gateway that could not learn of a change holds to the older limit.
        if excuse is None and self.limits.changed(closed.idle_since, closed.at):
            excuse = self.record.delayed_configuration(closed.gateway, closed.idle_since, closed.at, KNOWN_S)
        return excuse

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
            excuse = self.close_excuse(closed)
            self.counts[f"closed, {excuse}"] += 1
            if excuse is None:
                broken.append(f"gateway {closed.gateway} closed a connection that was idle for "
                              f"{closed.at - closed.idle_since:.2f} s, with an idle limit of {closed.limit_s} s")
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

    def call(self, kind, rng):
        """One request; False when the connection can't be used again."""
        attempt, key = self.world.new_request(kind, rng)
        begun, how = time.monotonic(), None
        try:
            self.http.request(*self.world.request_line(kind), {**self.world.head(attempt), "Authorization": "Bearer " + key})
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
