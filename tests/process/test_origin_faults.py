"""Faults of the origin of weights."""
import collections
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_fleet as pf  # noqa: E402  the path is set above
from platform_fleet import check, wait_for  # noqa: E402

# A version must be in use everywhere by then, as in the settings of the processes.
VERSION_LIMIT_S = 8
# A piece that is read again delays its version, which has VERSION_LIMIT_S for all steps.
REPEAT_LIMIT_S = VERSION_LIMIT_S / 4


def declare(fleet):
    """Declares the next version."""
    version = 1 + max(next(iter(server.models.values())) for server in fleet.engines)
    fleet.store.put("op/version/m", {"model": "m", "version": version})
    return version


# Guards against a stager that plans only when a message arrives: in a quiet fleet a piece was read again after five
# seconds, with the next status message.
def case_corrupt_piece(fleet):
    """a corrupted piece is read again soon, though nothing else happens"""
    only, other = fleet.engines
    fleet.store.remove("servers/" + other.id)
    time.sleep(0.8)  # until the gateways have applied the change
    stager = fleet.stager(only)
    wait_for(lambda: fleet.origin.sent >= pf.PIECES, "version 1 is read")
    fleet.origin.asked.clear()
    fleet.origin.corrupt = 1
    version = declare(fleet)
    wait_for(lambda: only.models == {"m": version}, f"version {version} is loaded", timeout=VERSION_LIMIT_S)
    stager.stop()
    times = collections.defaultdict(list)
    for at, path in fleet.origin.asked:
        times[path].append(at)
    gaps = [second - first for first, second in (found[:2] for found in times.values() if len(found) > 1)]
    check(gaps and max(gaps) < REPEAT_LIMIT_S, f"the piece was read again after {max(gaps, default=0):.2f} s")
    print(f"the piece was read again after {max(gaps):.2f} s")
    other.models = dict(only.models)


CASES = [case_corrupt_piece]


if __name__ == "__main__":
    pf.run_cases(CASES)
