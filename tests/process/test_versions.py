"""Bounds after the declaration of a version: no request may start on an older one after it."""
import http.client
import json
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_fleet as pf  # noqa: E402  the path is set above
from platform_fleet import call, check, wait_for  # noqa: E402

# As in the settings of the processes, from the users' sites.
# Gateways report to each other this often.
STATUS_INTERVAL_S = 0.4
VERSION_LIMIT_S = 8
SLOW_WAY_S = 1.6


def declare_next(fleet):
    """Declares a version that no server has; returns the time of the acknowledgement."""
    fleet.store.put("op/version/m", {"model": "m", "version": newest(fleet) + 1})
    return time.monotonic()


def load_declared(fleet, count=1):
    """Lets all servers report the version that the last of `count` calls of declare_next() declared."""
    version = newest(fleet) + count
    for server in fleet.engines:
        server.models = {"m": version}
        server.register()


class Requests:
    """Sends requests to a gateway all the time; tells how late the last one reached a server."""

    def __init__(self, fleet, gateway):
        self.fleet, self.gateway, self.ended = fleet, gateway, threading.Event()
        for server in fleet.engines:
            server.seen_at.clear()
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while not self.ended.wait(0.05):
            threading.Thread(target=self.call_once, daemon=True).start()

    def call_once(self):
        try:
            call(self.gateway, "/stream/1", "POST", b"p")
        except (OSError, http.client.HTTPException):
            pass  # the gateway is not running, or stands still

    def check_last(self, acknowledged):
        """Waits until the bound of the version is over, and checks that the last request came before it."""
        time.sleep(max(0, acknowledged + VERSION_LIMIT_S + 2 - time.monotonic()))
        self.ended.set()
        late = [at - acknowledged for server in self.fleet.engines for at in server.seen_at]
        check(late, "requests were served before")
        check(max(late) < VERSION_LIMIT_S, f"the last request arrived {max(late):.2f} s after the declaration")


def restart(fleet, gateway):
    """Starts a gateway anew in place of one that was killed."""
    number = fleet.gateways.index(gateway)
    gateway.stop()
    fleet.gateways[number] = fleet.gateway(gateway.host)
    return fleet.gateways[number]


def wait_ready(gateway):
    wait_for(lambda: pf.is_ready(gateway), "the gateway is ready")


def newest(fleet):
    return max(next(iter(server.models.values())) for server in fleet.engines)


# Guards against a bound that counts from when the gateway learned of the declaration instead of from its
# acknowledgement: requests were sent to old weights for as long after the bound as the store's answer was late.
def case_late_answer_of_store(fleet):
    """a gateway that learns late of a version sends nothing to older ones after its bound"""
    gateway = fleet.gateways[0]
    with pf.Heartbeats(fleet.plain):
        fleet.store.delays[gateway.host] = 1.5
        time.sleep(2)  # the watch in progress was sent before
        acknowledged = declare_next(fleet)
        while time.monotonic() - acknowledged < VERSION_LIMIT_S + 2:
            threading.Thread(target=call, args=(gateway, "/stream/1", "POST", b"p"), daemon=True).start()
            time.sleep(0.1)
    fleet.store.delays.clear()
    wait_for(lambda: "version_declared" in gateway.log_text(), "the gateway learned of the version")
    late = [at - acknowledged for server in fleet.engines for at in server.seen_at]
    load_declared(fleet)
    check(late and max(late) < VERSION_LIMIT_S, f"the last request arrived {max(late):.2f} s after the declaration")


# Guards against a bound that ends seconds early, with refusals, while nothing changes in the store.
def case_idle_store(fleet):
    """the last contact before a declaration is recent also while nothing changes in the store"""
    gateway = fleet.gateways[0]
    watches = lambda: [path for client, path in list(fleet.store.calls) if client == gateway.host and "kv-watch" in path]
    time.sleep(2)  # changes of the cases before
    sent = len(watches())
    wait_for(lambda: len(watches()) > sent, "the next watch is sent")
    time.sleep(1.2)
    declare_next(fleet)
    lines = wait_for(lambda: [line for line in gateway.log_text().splitlines() if "version_declared" in line],
                     "the gateway learns of the version")
    load_declared(fleet)
    confirmed = float(json.loads(lines[-1])["confirmed_s_ago"])
    check(confirmed < 1, f"the last contact was {confirmed} s before")


# Guards against refusals of everything by a gateway whose calls were over the rate limit until after a declaration: its
# last contact before was long ago, but other gateways know the declaration's age.
def case_calls_over_rate_limit(fleet):
    """a gateway over the store's rate limit counts the bound from the report of another one"""
    gateway = fleet.gateways[0]
    with pf.Heartbeats(fleet.plain):
        fleet.store.over_rate.add(gateway.host)
        time.sleep(VERSION_LIMIT_S - 2)
        acknowledged = declare_next(fleet)
        time.sleep(3)
        fleet.store.over_rate.clear()
        statuses = {}
        while (after := time.monotonic() - acknowledged) < VERSION_LIMIT_S + 1:
            statuses[after] = call(gateway, "/stream/1", "POST", b"p").status
            time.sleep(0.2)
    late = [at - acknowledged for server in fleet.engines for at in server.seen_at]
    load_declared(fleet)
    refused = [after for after, status in statuses.items() if status != 200]
    check(min(refused) > VERSION_LIMIT_S - 2, f"refused from {min(refused):.2f} s after the declaration")
    check(max(late) < VERSION_LIMIT_S, f"the last request arrived {max(late):.2f} s after the declaration")


def declare_while_turned_away(fleet, seconds):
    """Declares a version while the store turns the gateways away, for `seconds` more; checks the last request."""
    hosts = {gateway.host for gateway in fleet.gateways}
    requests = Requests(fleet, fleet.gateways[0])
    fleet.store.turned_away |= hosts
    time.sleep(0.3)
    acknowledged = declare_next(fleet)
    time.sleep(seconds)
    fleet.store.turned_away -= hosts
    requests.check_last(acknowledged)
    load_declared(fleet)


# Guards against a bound that begins again after an outage which the operator did not see.
def case_store_turns_gateways_away(fleet):
    """nothing is sent to older versions after the bound when the store turned the gateways away and served the operator"""
    declare_while_turned_away(fleet, 3)


class Stagers:
    """A stager at each engine, while the origin of the weights is down, so that no version is loaded."""

    def __init__(self, fleet):
        self.fleet = fleet

    def __enter__(self):
        self.fleet.origin.down = True
        self.running = [self.fleet.stager(engine) for engine in self.fleet.engines]
        wait_for(lambda: all("version_wanted" in s.log_text() or "version_declared" in s.log_text() for s in self.running),
                 "the stagers run")
        time.sleep(1)  # until the gateways know them

    def __exit__(self, *_):
        for stager in self.running:
            stager.stop()
        self.fleet.origin.down = False


# Guards against refusals of everything after an outage of the store that all saw.
def case_store_down_for_all(fleet):
    """a version that is declared after an outage which stagers saw too leaves older ones in use for a time"""
    gateway, statuses = fleet.gateways[0], {}
    with Stagers(fleet):
        fleet.store.away = True
        time.sleep(VERSION_LIMIT_S)
        acknowledged = declare_next(fleet)
        fleet.store.away = False
        requests = Requests(fleet, gateway)
        while (after := time.monotonic() - acknowledged) < VERSION_LIMIT_S / 2:
            statuses[after] = call(gateway, "/stream/1", "POST", b"p").status
            time.sleep(0.1)
        requests.check_last(acknowledged)
        load_declared(fleet)
    refused = [after for after, status in statuses.items() if status != 200]
    check(not refused, f"{len(refused)} of {len(statuses)} requests refused, from {min(refused, default=0):.2f} s on")


# Guards against an outage that counts although stagers saw none.
def case_store_serves_stagers(fleet):
    """nothing is sent to older versions after the bound when the store turned away the gateways and served stagers"""
    with Stagers(fleet):
        declare_while_turned_away(fleet, 4)


# Guards against a bound that moves by the time that a message waited for a process that stood still.
def case_message_waits_for_frozen_gateway(fleet):
    """a gateway that stood still sends nothing to older versions after the bound, whatever messages waited for it"""
    frozen, other = fleet.gateways
    requests = Requests(fleet, frozen)
    frozen.process.send_signal(signal.SIGSTOP)
    time.sleep(0.3)
    acknowledged = declare_next(fleet)
    time.sleep(1.0)
    other.stop()
    time.sleep(1.5)
    frozen.process.send_signal(signal.SIGCONT)
    requests.check_last(acknowledged)
    load_declared(fleet)
    wait_ready(restart(fleet, other))


# Guards against a version that a newer one hides from a gateway without contact, while another one that knows of it has
# started too late to know its age.
def case_hidden_version(fleet):
    """a gateway that sees only the second of two versions applies the bound of the first one"""
    cut_off, other = fleet.gateways
    other.stop()
    requests = Requests(fleet, cut_off)
    fleet.store.turned_away.add(cut_off.host)
    time.sleep(0.3)
    acknowledged = declare_next(fleet)
    time.sleep(6.5)
    other = restart(fleet, other)
    time.sleep(0.7)
    fleet.store.put("op/version/m", {"model": "m", "version": newest(fleet) + 2})
    fleet.store.turned_away.clear()
    requests.check_last(acknowledged)
    load_declared(fleet, count=2)
    wait_ready(other)


# Guards against a gateway that sends requests to versions which the others know to be out of use, because it has just
# started.
def case_started_gateway(fleet):
    """a gateway that starts asks the others before it sends requests to model servers"""
    started, other = fleet.gateways
    declare_next(fleet)
    version = newest(fleet) + 1
    wait_for(lambda: any('"version_required"' in line and f'"version":"{version}"' in line
                         for line in other.log_text().splitlines()), "the version is required", timeout=VERSION_LIMIT_S + 1)
    started.stop()
    time.sleep(0.5)
    for server in fleet.engines:
        server.seen.clear()
    begun = time.monotonic()
    started = restart(fleet, started)
    requests = Requests(fleet, started)
    wait_ready(started)
    took = time.monotonic() - begun
    time.sleep(3)
    requests.ended.set()
    sent = sum(len(server.seen) for server in fleet.engines)
    load_declared(fleet)
    check(sent == 0, f"{sent} requests were sent to a version that is out of use")
    check(took < 1.5, f"the gateway was ready after {took:.2f} s")


# Guards against a gateway that starts without the answers of the others, because their connections to it wait for the
# end of a backoff.
def case_answers_after_start(fleet):
    """a gateway that starts is answered within a status interval, however long it was away"""
    started = fleet.gateways[0]
    for away_s in (0.3, 0.6, 0.9, 1.5, 2.3):
        started.stop()
        time.sleep(away_s)
        started = restart(fleet, started)
        wait_for(lambda g=started: '"versions_surveyed"' in g.log_text(), "the others were asked", timeout=5)
        line = next(line for line in started.log_text().splitlines() if '"versions_surveyed"' in line)
        waited = float(json.loads(line)["waited_s"])
        check(waited < STATUS_INTERVAL_S, f"answered {waited:.2f} s after the start, away for {away_s} s")
        time.sleep(2.5)  # until the other one has a connection to lose


# Guards against a request on weights that are out of use, because the server is believed to have newer ones.
def case_wrong_belief_is_refused(fleet):
    """a server that has older weights than it is believed to have runs nothing"""
    gateway = fleet.gateways[0]
    required = newest(fleet)
    for server in fleet.engines:
        server.models = {"m": required - 1}
    answer = call(gateway, "/stream/1", "POST", b"p")
    ran = sum(len(server.seen) for server in fleet.engines)
    for server in fleet.engines:
        server.models = {"m": required}
    pf.restart_servers(fleet.engines)
    check((answer.status, ran) == (503, 0), f"status {answer.status}, {ran} requests ran")
    check(call(gateway, "/stream/1", "POST", b"p").status == 200, "with the weights it is served")


# Guards against starts on old weights that no log shows, because the server is believed to have newer ones.
def case_wrong_belief(fleet):
    """a start on a version that went out of use is logged with the version of the response"""
    gateway = fleet.gateways[0]
    if "version_required" not in gateway.log_text():
        declare_next(fleet)
        load_declared(fleet)
        wait_for(lambda: "version_required" in gateway.log_text(), "the version is required", timeout=VERSION_LIMIT_S)
    time.sleep(1)  # until requests that were sent before have started
    required = newest(fleet)
    for server in fleet.engines:
        server.models, server.ignores_version = {"m": required - 1}, True
    call(gateway, "/stream/1", "POST", b"p")
    for server in fleet.engines:
        server.models, server.ignores_version = {"m": required}, False
    lines = wait_for(lambda: [line for line in gateway.log_text().splitlines() if "started_on_old_version" in line],
                     "the start is logged")
    event = json.loads(lines[-1])
    check((event["version"], event["known_version"]) == (str(required - 1), str(required)), f"{event}")


def hang_after_head(server, delay):
    """Sends the head of a stream after a delay, and no event."""
    def run(request):
        time.sleep(delay)
        request.send_response(200)
        for name, value in {**server.headers(request), "Content-Type": "text/event-stream",
                            "Transfer-Encoding": "chunked"}.items():
            request.send_header(name, value)
        request.end_headers()
        server.hang(request)
    return run


def check_withdrawn(fleet, acknowledged):
    gone = wait_for(lambda: [at - acknowledged for server in fleet.engines for at in server.gone],
                    "the request is withdrawn", timeout=VERSION_LIMIT_S + 8)
    load_declared(fleet)
    check(max(gone) < VERSION_LIMIT_S, f"withdrawn {max(gone):.2f} s after the declaration")


def send_stream(fleet, kind, behaviour, **changes):
    """Sends one stream that does not start, in the background."""
    fleet.configure(routes=[pf.route("r-stream", "a.example", "/stream/", kind, "engines", timeout_ms=15000,
                                     target_latency_ms=1000, target_gap_ms=300, max_attempts=1, **changes)])
    # The change comes after the records of the servers, so the gateway knows these too.
    wait_for(lambda: f'"configuration_accept","revision":{fleet.version},' in fleet.gateways[0].log_text(),
             "the configuration is in force")
    for server in fleet.engines:
        server.gone.clear()
        server.behaviours = [behaviour(server)]
    return threading.Thread(target=call, args=(fleet.gateways[0], "/stream/1", "POST", b"p"),
                            kwargs={"headers": {"Deadline-Ms": "15000"}, "timeout": 20}, daemon=True)


# Guards against a request that was sent before the declaration and starts after the bound: its time limit was set when
# no newer version was known.
def case_sent_before_declaration(fleet):
    """a stream that waits at a server since before the declaration is withdrawn before the bound"""
    request = send_stream(fleet, "streaming", lambda server: server.hang)
    request.start()
    wait_for(lambda: any(server.seen for server in fleet.engines), "the request arrives")
    check_withdrawn(fleet, declare_next(fleet))


# Guards against a time limit that starts again with the head of the response, before the first event.
def case_head_before_start(fleet):
    """a stream whose head was sent without an event is withdrawn before the bound"""
    request = send_stream(fleet, "streaming", lambda server: hang_after_head(server, 2), resume_streams=True)
    with pf.Heartbeats(fleet.plain):
        acknowledged = declare_next(fleet)
        time.sleep(VERSION_LIMIT_S - 3)
        request.start()
        check_withdrawn(fleet, acknowledged)


# Guards against a late start at a server that still runs while its record has expired: the gateway forgot the version
# that it has and did not withdraw the request.
def case_record_gone(fleet):
    """a stream that waits at a server whose record is gone is withdrawn before the bound"""
    request = send_stream(fleet, "streaming", lambda server: server.hang)
    request.start()
    server = wait_for(lambda: [server for server in fleet.engines if server.seen], "the request arrives")[0]
    acknowledged = declare_next(fleet)
    fleet.store.remove("servers/" + server.id)
    check_withdrawn(fleet, acknowledged)


# Guards against requests that arrive at a server after the bound, because a withdrawal takes the same slow way: the server
# runs each one some time after it was sent, whether or not its connection was reset meanwhile.
def case_slow_way_to_servers(fleet):
    """no request starts on an older version after the bound where the way to the servers is slow"""
    starts = []

    def run_late(server):
        usual = server.stream(3)

        def run(request):
            time.sleep(SLOW_WAY_S)
            starts.append(time.monotonic())
            usual(request)
        return run
    for server in fleet.engines:
        server.behaviours = [run_late(server)] * 1000
    requests = Requests(fleet, fleet.gateways[0])
    time.sleep(2)
    acknowledged = declare_next(fleet)
    time.sleep(VERSION_LIMIT_S + 2)
    requests.ended.set()
    for server in fleet.engines:
        server.behaviours = []
    load_declared(fleet)
    after = [at - acknowledged for at in starts if at > acknowledged]
    check(after and max(after) > VERSION_LIMIT_S / 2, "requests are served on the older version meanwhile")
    check(max(after) < VERSION_LIMIT_S, f"the last request started {max(after):.2f} s after the declaration")


# Guards against a request that is given up and reaches its server all the same, after the bound, because a slow link still
# holds its bytes: a graceful close delivers them.
def case_given_up_request(fleet):
    """a request that is given up ends with a reset, which discards what a slow link still holds"""
    ends = []

    def wait_for_end(request):
        request.connection.settimeout(10)
        try:
            ends.append("closed" if request.connection.recv(1) == b"" else "bytes")
        except ConnectionResetError:
            ends.append("reset")
        request.close_connection = True
    fleet.configure(routes=[pf.route("r-stream", "a.example", "/stream/", "streaming", "engines", timeout_ms=3000,
                                     resume_streams=True, target_gap_ms=300, max_attempts=1)])
    wait_for(lambda: f'"configuration_accept","revision":{fleet.version},' in fleet.gateways[0].log_text(),
             "the configuration is in force")
    for server in fleet.engines:
        server.behaviours = [wait_for_end]
    call(fleet.gateways[0], "/stream/1", "POST", b"p")
    wait_for(lambda: ends, "the server sees the end")
    check(ends == ["reset"], f"the connection ends with {ends}")


# Guards against a request that starts on an older version after its bound, because it was still on its way there when the
# version went out of use. Only the server can refuse it: what withdraws it takes the same way.
def case_arrives_after_bound(fleet):
    """a server that lacks a piece of the newer version at its bound runs nothing that arrives later"""
    fleet.origin.missing = {pf.PIECES - 1}
    stagers = [fleet.stager(engine) for engine in fleet.engines]
    try:
        wait_for(lambda: all("pool_facts" in stager.log_text() for stager in stagers), "the stagers know the pool")
        time.sleep(1)
        acknowledged = declare_next(fleet)
        version = newest(fleet) + 1
        time.sleep(acknowledged + VERSION_LIMIT_S - time.monotonic())
        for server in fleet.engines:
            server.seen.clear()
            server.behaviours = []
        started = []
        for server in fleet.engines:
            server.behaviours = [lambda request, s=server: (started.append(s.id), s.plain(request))] * 100
        while time.monotonic() - acknowledged < VERSION_LIMIT_S + 2:
            statuses = {late_request(server) for server in fleet.engines}
            check(statuses <= {421, 503}, f"a server answers a request that is late with {statuses}")
            time.sleep(0.1)
        check(call(fleet.gateways[0], "/stream/1", "POST", b"p").status == 503, "some layers are taken for a version")
        check(not started, f"{len(started)} requests started on the older version")
        for server in fleet.engines:
            server.behaviours = []
        fleet.origin.missing = set()
        wait_for(lambda: all(server.models == {"m": version} and server.layers == (0, pf.LAYERS)
                             for server in fleet.engines), "the whole version is loaded", timeout=15)
        wait_for(lambda: call(fleet.gateways[0], "/stream/1", "POST", b"p").status == 200, "it serves")
        for server in fleet.engines:
            for _, order, staged in server.orders:
                check(all(staged.get(i) == pf.piece("m", order["version"], i) for i in pf.pieces_of(order)),
                      f"{order} found wrong pieces")
    finally:
        fleet.origin.missing = set()
        for stager in stagers:
            stager.stop()


def late_request(server):
    """The status of a request that was sent on the belief that the server has an older version."""
    connection = http.client.HTTPConnection(*server.address.split(":"), timeout=5)
    try:
        connection.request("POST", "/stream/1", b"p", {"Attempt-Id": "late", "Deadline-Ms": "3000",
                                                       "Expect-Instance": server.id})
        return connection.getresponse().status
    finally:
        connection.close()


CASES = [case_idle_store, case_calls_over_rate_limit, case_wrong_belief, case_wrong_belief_is_refused,
         case_store_turns_gateways_away, case_store_down_for_all, case_store_serves_stagers,
         case_message_waits_for_frozen_gateway, case_hidden_version, case_started_gateway, case_answers_after_start,
         case_late_answer_of_store, case_sent_before_declaration, case_head_before_start, case_given_up_request,
         case_record_gone, case_slow_way_to_servers, case_arrives_after_bound]


if __name__ == "__main__":
    pf.run_cases(CASES)
