"""Judges requests that began on an older version of the weights after the bound of a newer one."""

# Bound of a version, and the time after a fault in which it may still delay requests, as the users state them.
VERSION_S, STABLE_S = 8.0, 3.0
GATEWAY_FAULTS = ("gateway_killed", "gateway_paused")


class LateStarts:
    """Declarations and starts of requests at model servers. An outage of the store excuses nothing."""

    def __init__(self, record):
        self.record = record
        self.declared = []  # version and time of its acknowledgement
        self.starts = []  # attempt, server, version and time of the first event

    def excuse(self, gateway, server, at):
        """The kind of a fault that touched the gateway or its path to the server shortly before, or None."""
        for span in self.record.spans:
            touched = gateway if span.kind in GATEWAY_FAULTS else server
            if touched in span.touched and span.meets(at - STABLE_S, at, 0):
                return span.kind
        return None

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
