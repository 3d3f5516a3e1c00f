"""Connections between gateways that go silent without a reset, while new ones work."""
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
import platform_fleet as pf  # noqa: E402  the path is set above
from platform_fleet import NET, address, check, wait_for  # noqa: E402
from crashing_servers import up  # noqa: E402
from test_crashing_requests import SOUND, Deadly, rejects, stream  # noqa: E402
from proxy import Proxy  # noqa: E402

# From then on each gateway in touch rejects a request that crashes servers.
STABLE_S = 3.0
# A gateway sends to the port on which it listens itself, so that gateways with different ports meet at proxies.
PORTS = {40: pf.PEER_PORT, 41: pf.PEER_PORT + 1}


class ProxiedFleet(pf.PlatformFleet):
    """Two gateways with a proxy for each direction between them, by the host that receives."""

    def __init__(self):
        first, second = PORTS
        self.proxies = {receiver: Proxy(f"{NET}.20.{receiver}", PORTS[sender], address(receiver, PORTS[receiver]))
                        for sender, receiver in ((first, second), (second, first))}
        super().__init__()

    def gateway(self, host, stdout=None, **more):
        return super().gateway(host, stdout, peer_port=PORTS[host], **more)

    def __exit__(self, *details):
        super().__exit__(*details)
        for proxy in self.proxies.values():
            proxy.close()


def check_crashes_spread(fleet, body, receivers):
    """Silences the open connections to some hosts between the crashes of a request; the other gateway rejects it."""
    near, far = fleet.gateways
    blocked = far.log_text().count("crashing_request_blocked")
    with Deadly(fleet.engines, body) as deadly:
        # A request is sent to another server after its first crash, or comes again.
        while deadly.crashes() < 2:
            stream(near, body)
            up(fleet.engines)
            check(stream(near, SOUND).status == 200, "a sound request with the same parts")
        check(deadly.crashes() == 2, f"{deadly.crashes()} crashes before the connections go silent")
        for receiver in receivers:
            check(fleet.proxies[receiver].silence_open() > 0, f"there was a connection to host {receiver}")
        silent_at = time.monotonic()
        stream(near, body)
        check(deadly.crashes() == 3, f"{deadly.crashes()} crashes, the last of them unknown to the other gateway")
        check(far.log_text().count("crashing_request_blocked") == blocked, "the news of the last one is lost")
        wait_for(lambda: far.log_text().count("crashing_request_blocked") > blocked, "the other gateway knows the crashes",
                 timeout=STABLE_S - (time.monotonic() - silent_at))
        up(fleet.engines)
        check(rejects(far, body), "rejected")
        check(deadly.crashes() == 3, f"{deadly.crashes()} crashes")


# Guards against gateways that stay out of touch until they have forgotten each other, because nothing tells them that
# their connections are silent: each of them learns by itself which requests crash servers (BUDGET).
def case_both_ways(fleet):
    """a gateway learns within 3 s of a crash at another one, after their connections went silent both ways"""
    check_crashes_spread(fleet, b"silent both ways", PORTS)


# Guards against a gateway that hears the other and is not heard itself.
def case_one_way(fleet):
    """a gateway learns within 3 s of a crash at another one, after the connection from there went silent"""
    check_crashes_spread(fleet, b"silent one way", [fleet.gateways[1].host])


# Guards against a gateway that goes on to replace connections that work.
def case_idle(fleet):
    """connections that work are not replaced"""
    time.sleep(STABLE_S)  # the last case has just replaced some
    before = [gateway.log_text().count("silent_connection_replaced") for gateway in fleet.gateways]
    check(any(before), "silent connections were replaced")
    time.sleep(STABLE_S)
    after = [gateway.log_text().count("silent_connection_replaced") for gateway in fleet.gateways]
    check(before == after, f"replaced {before} before and {after} after")


if __name__ == "__main__":
    pf.run_cases([case_both_ways, case_one_way, case_idle], make_fleet=ProxiedFleet)
