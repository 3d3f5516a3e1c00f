"""Judges requests that began on an older version of the weights after the bound of a newer one."""
from early_ends import STORE_FAULT, Record

# Bound of a version, and the time after a fault in which it may still delay requests, as the users state them.
VERSION_S, STABLE_S = 8.0, 3.0
GATEWAY_FAULTS = ("gateway_killed", "gateway_paused")
# What interrupts a stager, and the time in which it reaches its server whatever the links do.
STAGER_FAULTS, REACHED = ("stager_killed", "stager_paused"), "server_reached"
# Within this time stagers pass on to each other what the origin has sent, and write it into the staging area.
SPREAD_S = 2.5


class LateStarts:
    """Declarations and starts of requests at model servers. An outage of the store excuses nothing."""

    def __init__(self, record):
        self.record = record
        self.stagers = Record()  # spans that touch the servers of stagers
        self.declared = []  # version and time of its acknowledgement
        self.starts = []  # attempt, server, version and time of the first event

    def excuse(self, gateway, server, at):
        """The kind of a fault that touched the gateway or its path to the server shortly before, or None."""
        for span in self.record.spans:
            touched = gateway if span.kind in GATEWAY_FAULTS else server
            if touched in span.touched and span.meets(at - STABLE_S, at, 0):
                return span.kind
        return None

    def has_layer(self, server, bound, delivered, layers):
        """Whether the stager of a server must hold a whole layer of the newest version. `delivered` is what the origin has
        sent (time, version, piece), and `layers` tells the pieces of each layer."""
        newest = max(version for version, at in self.declared if at <= bound)
        # A stager that is interrupted may hold what the others lack, and one without the store does not know the version.
        held = {piece for at, version, piece in delivered if version == newest and at + SPREAD_S <= bound and not any(
            span.meets(at, at + SPREAD_S, 0) for span in self.stagers.spans
            if span.kind in STAGER_FAULTS or (span.kind == STORE_FAULT and server in span.touched))}
        return any(held.issuperset(layer) for layer in layers)

    def is_closed(self, server, declared, bound, delivered, layers):
        """Whether a server must have been closed by its stager at the bound."""
        spans = [span for span in self.record.spans + self.stagers.spans
                 if server in span.touched and span.meets(declared, bound, 0)]
        reached = any(span.kind == REACHED and span.begun <= declared and (span.ended is None or span.ended >= bound)
                      for span in spans)
        interrupted = any(span.kind in (*STAGER_FAULTS, "server_crashed") for span in spans)
        return reached and not interrupted and self.has_layer(server, bound, delivered, layers)

    def closed(self, servers, delivered, layers):
        """The servers, each with a version at whose bound its stager must have closed it or loaded that version."""
        return [(server, version) for version, declared in self.declared for server in servers
                if self.is_closed(server, declared, declared + VERSION_S, delivered, layers)]

    def judge_closed(self, delivered, layers):
        """Tells the starts at servers that their stagers had to close. No fault of a link excuses them."""
        broken = []
        closed = set(self.closed({server for _, server, _, _ in self.starts}, delivered, layers))
        for attempt, server, version, at in self.starts:
            late = [(newer, at - declared) for newer, declared in self.declared
                    if newer > version and at - declared > VERSION_S and (server, newer) in closed]
            if late:
                broken.append(f"{attempt}: {server} was not closed, and began it on version {version} "
                              f"{late[0][1]:.2f} s after version {late[0][0]} was declared")
        return broken

    def judge(self, gateways):
        """Tells the starts that were too late. `gateways` maps attempts to the gateways that got them."""
        broken = []
        for attempt, server, version, at in self.starts:
            late = [(newer, at - declared) for newer, declared in self.declared
                    if newer > version and at - declared > VERSION_S]
            if late and self.excuse(gateways.get(attempt), server, at) is None:
                broken.append(f"{attempt}: began on version {version} at {server}, {late[0][1]:.2f} s after version "
                              f"{late[0][0]} was declared")
        return broken
