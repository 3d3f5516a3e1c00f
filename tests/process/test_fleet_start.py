"""The start of many gateways at once, with a store whose content takes long to read."""
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_fleet as pf  # noqa: E402  the path is set above
from platform_fleet import call, check, wait_for  # noqa: E402

GATEWAYS = range(40, 46)
READERS = 2  # of a region, that go on with a long listing
LISTING_S = 4  # over twice the time after which a silent store is given up


def ready(gateway):
    return pf.is_ready(gateway, timeout=1)


def stop_gateways(fleet):
    for gateway in fleet.gateways:
        gateway.stop()
        fleet.daemons.remove(gateway)
    fleet.gateways = []


def start_gateways(fleet, hosts, **more):
    fleet.store.calls.clear()
    fleet.gateways = [fleet.gateway(host, **more) for host in hosts]


def wait_ready(fleet, gateways, timeout):
    wait_for(lambda: all(ready(gateway) for gateway in gateways), "gateways are ready", timeout=timeout)
    check(all(call(gateway, "/read/1").status == 200 for gateway in gateways), "they serve")


def count_logged(fleet, event):
    """Number of gateways with an event in their logs."""
    return sum(f'"event":"{event}"' in gateway.log_text() for gateway in fleet.gateways)


def sources(fleet):
    """Number of gateways that read the content first, and of those that were told it first."""
    told = count_logged(fleet, "store_known_by_relay")
    return len(fleet.gateways) - told, told


# Guards against a read that is ended by its total time although it makes progress, and starts again from nothing.
def case_slow_listing(fleet):
    """a gateway that starts alone finishes a listing that arrives slowly"""
    stop_gateways(fleet)
    fleet.store.listing_s = LISTING_S
    start_gateways(fleet, [40])
    wait_ready(fleet, fleet.gateways, 15)
    listings = [path for _, path in fleet.store.calls if "kv-range" in path]
    check(len(listings) == 1, f"one listing, saw {len(listings)}")


# Guards against a link that is full of the same listing for each gateway, when all of them start at once.
def case_all_start(fleet):
    """of many gateways that start at once few finish a listing, and the others get its content from them"""
    stop_gateways(fleet)
    start_gateways(fleet, GATEWAYS)
    wait_ready(fleet, fleet.gateways, 20)
    wait_for(lambda: count_logged(fleet, "ready") == len(fleet.gateways), "logs are written")
    read, told = sources(fleet)
    check(read <= READERS, f"{READERS} gateways read first, saw {read}; {told} were told")


# Guards against gateways that wait for ever for readers which do not get the content.
def case_readers_cut_off(fleet):
    """gateways that wait become ready also when the first readers get nothing from the store"""
    stop_gateways(fleet)
    fleet.store.listing_s = 0.8
    fleet.store.silent.update(GATEWAYS[:4])
    start_gateways(fleet, GATEWAYS)
    wait_ready(fleet, fleet.gateways, 25)
    fleet.store.silent.clear()


# Guards against gateways that wait for a reader that has ended.
def case_reader_ends(fleet):
    """gateways become ready when a reader ends in the middle of its listing"""
    stop_gateways(fleet)
    fleet.store.listing_s = LISTING_S
    start_gateways(fleet, GATEWAYS)
    time.sleep(2)
    reading = [g for g in fleet.gateways if '"event":"store_read_deferred"' not in g.log_text()]
    check(reading, "some gateways read")
    reading[0].stop()
    wait_ready(fleet, [g for g in fleet.gateways if g is not reading[0]], 25)
    fleet.store.listing_s = 0


pf.run_cases([case_slow_listing, case_all_start, case_readers_cut_off, case_reader_ends])
