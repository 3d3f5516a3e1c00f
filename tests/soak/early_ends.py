"""Judges requests that a gateway ended although a server that had them was sound and went on."""
import collections
import contextlib
import threading
import time

# Deadline of the requests and `timeout_ms` of the routes.
TIME_LIMIT_S = 3.0
# Callers of the stream route leave after a silence of eight target gaps.
CALLER_SILENCE_S = 2.4
# A gateway ends a stream 0.1 s before its caller leaves; the rest is for the measurement of times in other processes.
LIMIT_MARGIN_S = 0.2
# A gateway closes what is left this long after SIGTERM (`drain_limit_s` of the settings).
STOP_LIMIT_S = 6.0
# How long after a fault its effects may reach a request: held bytes and closed connections are passed on by threads that
# poll every 0.05 s, and a process that was paused works off what has arrived meanwhile.
LINK_MARGIN_S, GATEWAY_MARGIN_S = 0.2, 0.3
GATEWAY_FAULTS, STORE_FAULT = ("gateway_killed", "gateway_paused", "planned_stop"), "store_away"


class Run:
    """What a server did with one request. A refusal and a fault of its own end it; without these the server is sound."""

    def __init__(self, server, began):
        self.server, self.began = server, began
        self.refused_at = self.failed_at = self.cut_at = self.ended_at = None
        self.fault, self.events_at = None, []

    def refuse(self):
        self.refused_at = time.monotonic()

    def fail(self, fault):
        self.failed_at, self.fault = time.monotonic(), fault

    def sound(self):
        return self.refused_at is None and self.failed_at is None

    @contextlib.contextmanager
    def writing(self):
        """Records the write of the last byte, or a write that failed because the peer had closed."""
        try:
            yield
        except OSError:
            self.cut_at = time.monotonic()
            raise
        self.ended_at = time.monotonic()


class Span:
    """An injected fault that was in force from `begun` to `ended` for some servers or gateways."""

    def __init__(self, kind, touched, begun, ended=None):
        self.kind, self.touched, self.begun, self.ended = kind, set(touched), begun, ended

    def meets(self, begun, ended, margin):
        return self.begun <= ended and (self.ended is None or self.ended + margin >= begun)


class Record:
    """The runs at all servers, and the spans of the faults that can excuse an early end."""

    def __init__(self):
        self.lock, self.runs, self.spans = threading.Lock(), collections.defaultdict(list), []

    def run(self, attempt, server):
        run = Run(server, time.monotonic())
        with self.lock:
            self.runs[attempt].append(run)
        return run

    @contextlib.contextmanager
    def span(self, kind, touched):
        span = Span(kind, touched, time.monotonic())
        with self.lock:
            self.spans.append(span)
        try:
            yield
        finally:
            span.ended = time.monotonic()

    def gateway_excuse(self, gateway, begun, ended, whole_stop=False):
        """The name of a fault of the gateway that excuses the end of what it had in this time, or None. A planned stop
        excuses only what it cuts off at its end, unless `whole_stop`."""
        for span in self.spans:
            late = STOP_LIMIT_S if span.kind == "planned_stop" and not whole_stop else 0
            if span.kind in GATEWAY_FAULTS and gateway in span.touched \
                    and span.meets(begun, ended - late, GATEWAY_MARGIN_S):
                return span.kind
        return None

    def delays(self, gateway, begun, ended, margin):
        """The faults that kept the gateway from reading configurations in this time."""
        return [span for span in self.spans if span.kind in ("gateway_paused", STORE_FAULT) and gateway in span.touched
                and span.meets(begun, ended, margin)]

    def excuse(self, request):
        """The name of what excuses an early end, or None. `request` is an entry of World.answers."""
        begun, ended, kind, attempt, gateway, answer = request
        runs = [run for run in self.runs[attempt] if run.began <= ended]
        if not runs:
            return "not_passed_on" if answer is None else "no_server_reached"
        if not any(run.sound() for run in runs):
            return "servers_failed" if any(run.fault for run in runs) else "servers_refused"
        if ended - begun >= TIME_LIMIT_S - LIMIT_MARGIN_S:
            return "time_limit"
        if kind == "stream":
            heard = [at for run in runs for at in run.events_at if at <= ended]
            if ended - max(heard, default=begun) >= CALLER_SILENCE_S - LIMIT_MARGIN_S:
                return "caller_silence"
        # An answer that has begun is that of one server, which broke it off.
        if kind == "read" and answer is not None and answer.status == 200 and any(r.fault == "truncate" for r in runs):
            return "server_broke_off"
        by_gateway = self.gateway_excuse(gateway, begun, ended)
        if by_gateway is not None:
            return by_gateway
        for span in self.spans:
            if span.kind in GATEWAY_FAULTS or span.kind == STORE_FAULT:
                continue
            # A fault of a link touches a request at the servers that had it, from its arrival there. The server that was
            # given up counts as the one that took over, which may have begun before its own link failed.
            if any(run.server in span.touched and span.meets(run.began, ended, LINK_MARGIN_S) for run in runs):
                return span.kind
        return None

    def judge(self, answers):
        """Counts early ends by excuse, and tells those that nothing excuses."""
        counts, broken = collections.Counter(), []
        for request in answers:
            begun, ended, kind, attempt, gateway, answer = request
            if not ended_early(kind, answer):
                continue
            excuse = self.excuse(request)
            counts[excuse or "none"] += 1
            if excuse is None:
                runs = [(r.server, round(r.began - begun, 3), "cut" if r.cut_at else "sound" if r.sound() else r.fault or
                         f"refused at {r.refused_at - begun:.3f}", [round(at - begun, 3) for at in r.events_at])
                        for r in self.runs[attempt]]
                told = "no answer" if answer is None else f"status {answer.status}, whole {answer.whole}"
                broken.append(f"{attempt}: a {kind} at gateway {gateway} was ended after {ended - begun:.2f} s ({told}), "
                              f"although a sound server went on; runs {runs}")
        return counts, broken


def ended_early(kind, answer):
    """Whether an idempotent request or a stream ended with a failure of the gateway or without its whole answer."""
    return kind in ("read", "stream") and (answer is None or answer.status in (502, 504)
                                           or (answer.status == 200 and not answer.whole))
