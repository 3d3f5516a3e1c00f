"""Wrong bytes of the origin of weights and of model servers: manifests that parse with a wrong digest, corrupted pieces,
answers without end."""
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
MEMORY_LIMIT_MB = 128  # of a machine beside a model server
ENDLESS_S = 1.5


def declare(fleet, wrong_manifests):
    """Declares the next version while the origin corrupts the next manifests."""
    version = 1 + max(next(iter(server.models.values())) for server in fleet.engines)
    fleet.origin.wrong_manifests = wrong_manifests
    fleet.store.put("op/version/m", {"model": "m", "version": version})
    return version


def check_loaded(fleet, version):
    begun = time.monotonic()
    wait_for(lambda: all(e.models == {"m": version} for e in fleet.engines), f"version {version} is loaded everywhere",
             timeout=VERSION_LIMIT_S)
    print(f"version {version} was loaded everywhere after {time.monotonic() - begun:.2f} s")
    check(fleet.origin.wrong_manifests == 0, "the wrong manifests were sent")
    for engine in fleet.engines:
        staged = engine.orders[-1][2]
        check(all(staged[i] == pf.piece("m", version, i) for i in range(pf.PIECES)), "only good pieces were loaded")


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
    version = declare(fleet, 0)
    wait_for(lambda: only.models == {"m": version}, f"version {version} is loaded", timeout=VERSION_LIMIT_S)
    stager.stop()
    times = collections.defaultdict(list)
    for at, path in fleet.origin.asked:
        times[path].append(at)
    gaps = [second - first for first, second in (found[:2] for found in times.values() if len(found) > 1)]
    check(gaps and max(gaps) < REPEAT_LIMIT_S, f"the piece was read again after {max(gaps, default=0):.2f} s")
    print(f"the piece was read again after {max(gaps):.2f} s")
    other.models = dict(only.models)


def start_stagers(fleet):
    """One stager reads the origin; the other one, in another region, takes the manifest from it."""
    reader, other = fleet.engines
    other.zone = "z2"
    other.register()
    time.sleep(0.8)  # until the gateways have applied the change
    stagers = [fleet.stager(reader), fleet.stager(other, region="r2", failure_domain="z2")]
    wait_for(lambda: all(s.log_text().count("version_wanted") == 1 for s in stagers), "stagers know the version")
    time.sleep(1)  # until both know each other
    return stagers


# Guards against a corrupted manifest that was used for good: the piece with the wrong digest was read again and again,
# and no server loaded the version.
def case_wrong_manifest(fleet):
    """a version is loaded everywhere although the first manifests of the origin have a wrong digest"""
    stagers = start_stagers(fleet)
    for wrong in (1, 2, 3):
        version = declare(fleet, wrong)
        check_loaded(fleet, version)
    check("manifest_corrected" in stagers[0].log_text(), "the reader has read the manifest again")


# Guards against the same fault in a stager that got the wrong manifest while others have the right one.
def case_one_wrong_manifest(fleet):
    """of two readers of the origin, the one with a wrong manifest takes the digest from the other or from the origin"""
    for engine in fleet.engines:
        engine.zone = "z1"
        engine.register()
    time.sleep(0.8)  # until the gateways have applied the change
    for daemon in fleet.daemons[2:]:
        daemon.stop()
    stagers = [fleet.stager(engine) for engine in fleet.engines]
    wait_for(lambda: all("version_wanted" in s.log_text() for s in stagers), "stagers know the version")
    time.sleep(1)  # until both know each other and read the origin
    for _ in range(3):
        version = declare(fleet, 1)
        check_loaded(fleet, version)


# Guards against bytes without end that a stager kept up to 64 MB of, for each call: it ran out of memory and ended.
def case_endless_answers(fleet):
    """a stager stays small while its server or the origin sends bytes without end, and goes on afterwards"""
    for daemon in fleet.daemons[2:]:
        daemon.stop()
    stagers = [fleet.stager(engine) for engine in fleet.engines]
    wait_for(lambda: all("version_wanted" in s.log_text() for s in stagers), "stagers know the version")
    for name, place in (("a report", "GET /marigoldyard/report"), ("a list of staged pieces", "GET /marigoldyard/stage-get/m"),
                        ("the answer to a staged piece", "PUT /marigoldyard/stage-put"),
                        ("the answer to an order", "POST /marigoldyard/order"),
                        ("a staged piece", "item_count="), ("a manifest", "/manifest/"), ("a piece", "/piece/")):
        for standin in [*fleet.engines, fleet.origin]:
            standin.endless = place
        version = declare(fleet, 0)
        time.sleep(ENDLESS_S)
        for standin in [*fleet.engines, fleet.origin]:
            standin.endless = None
        peaks = [pf.peak_memory_kb(stager.process) >> 10 for stager in stagers]
        print(f"{name} without end: at most {max(peaks)} MB so far")
        check(max(peaks) < MEMORY_LIMIT_MB, f"{name} without end: {max(peaks)} MB")
        check(all(stager.process.poll() is None for stager in stagers), f"{name} without end: the stagers run")
        check_loaded(fleet, version)


CASES = [case_corrupt_piece, case_wrong_manifest, case_one_wrong_manifest, case_endless_answers]


if __name__ == "__main__":
    pf.run_cases(CASES)
