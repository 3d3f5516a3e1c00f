"""Wrong bytes of the origin of weights and of model servers: manifests that parse with a wrong digest, corrupted pieces,
answers without end."""
import collections
import os
import signal
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


def check_loaded(fleet, version, timeout=VERSION_LIMIT_S, wrong_left=0):
    begun = time.monotonic()
    wait_for(lambda: all(e.models == {"m": version} for e in fleet.engines), f"version {version} is loaded everywhere",
             timeout=timeout)
    print(f"version {version} was loaded everywhere after {time.monotonic() - begun:.2f} s")
    check(fleet.origin.wrong_manifests <= wrong_left, "the wrong manifests were sent")
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
    for daemon in fleet.daemons[2:]:
        daemon.stop()
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


def left_out(manifest):
    del manifest["digests"][pf.WRONG_PIECE]


def doubled(manifest):
    manifest["digests"].insert(pf.WRONG_PIECE, manifest["digests"][pf.WRONG_PIECE])


def exchanged(manifest):
    digests, at = manifest["digests"], pf.WRONG_PIECE
    digests[at], digests[at + 1] = digests[at + 1], digests[at]


# Every field of a manifest. A wrong size is proved by the first piece, and layers are not used: such a manifest need not
# be read until the origin's answers are right (NOT_READ_AGAIN).
WRONG_MANIFESTS = [
    ("a wrong digest", pf.wrong_digest),
    ("a digest left out", left_out),
    ("a digest doubled", doubled),
    ("two digests exchanged", exchanged),
    ("a piece size of 1", lambda manifest: manifest.update(chunk_bytes=1)),
    ("a piece size ten times too large", lambda manifest: manifest.update(chunk_bytes=10 * pf.PIECE_BYTES)),
    ("other layers", lambda manifest: manifest.update(layers=3)),
    ("another version", lambda manifest: manifest.update(version=manifest["version"] + 1)),
    ("another model", lambda manifest: manifest.update(model="n")),
]
NOT_READ_AGAIN = ["a piece size of 1", "a piece size ten times too large", "other layers"]
# The bound of a version and the time after which a fleet must serve again.
WRONG_MANIFEST_LIMIT_S = VERSION_LIMIT_S + 12


def check_wrong_manifests(fleet, answers, rows):
    """Declares one version for each kind of wrong manifest. All kinds are tried before a failure is reported."""
    failed = []
    version = max(engine.models["m"] for engine in fleet.engines)
    for name, wrong in rows:
        fleet.origin.wrong_manifest, fleet.origin.wrong_manifests = wrong, answers
        version += 1
        fleet.store.put("op/version/m", {"model": "m", "version": version})
        try:
            check_loaded(fleet, version, WRONG_MANIFEST_LIMIT_S if not failed else VERSION_LIMIT_S,
                         wrong_left=max(0, answers - 2) if name in NOT_READ_AGAIN else 0)
        except pf.FleetError as error:
            failed.append(f"{name} in {answers} answers: {error}")
            print(failed[-1])
    fleet.origin.wrong_manifest, fleet.origin.wrong_manifests = pf.wrong_digest, 0
    check(not failed, "; ".join(failed))


# Guards against a manifest whose number of digests or size of pieces is wrong: it was used for good, and no server
# loaded the version.
def case_fields_one_answer(fleet):
    """a version is loaded everywhere although any field of the first manifest is wrong"""
    start_stagers(fleet)
    check_wrong_manifests(fleet, 1, [*WRONG_MANIFESTS, ("the last digest left out", lambda m: m["digests"].pop())])


def case_fields_two_answers(fleet):
    """a version is loaded everywhere although any field of the first two manifests is wrong"""
    start_stagers(fleet)
    check_wrong_manifests(fleet, 2, WRONG_MANIFESTS)


def case_fields_six_answers(fleet):
    """a version is loaded everywhere although any field of the first six manifests is wrong"""
    start_stagers(fleet)
    check_wrong_manifests(fleet, 6, WRONG_MANIFESTS)


# Guards against a stager that took a wrong manifest over from a peer and kept it when the origin had gone.
def case_peer_without_origin(fleet):
    """a stager with the wrong manifest of a peer takes the right one from it, though the origin has gone"""
    reader, other = start_stagers(fleet)
    first, second = fleet.engines
    version = max(engine.models["m"] for engine in fleet.engines)
    for name, wrong in WRONG_MANIFESTS[:4]:
        version += 1
        known = other.log_text().count("manifest_known")
        fleet.origin.wrong_manifest, fleet.origin.wrong_manifests = wrong, 2
        fleet.store.put("op/version/m", {"model": "m", "version": version})
        wait_for(lambda: other.log_text().count("manifest_known") > known, "the manifest is taken over", timeout=5)
        other.process.send_signal(signal.SIGSTOP)
        try:
            wait_for(lambda: first.models == {"m": version}, f"the reader has loaded version {version}",
                     timeout=VERSION_LIMIT_S)
            check(second.models != {"m": version}, "the peer has not loaded it yet")
            fleet.origin.down = True
        finally:
            other.process.send_signal(signal.SIGCONT)
        try:
            check_loaded(fleet, version, WRONG_MANIFEST_LIMIT_S)
        finally:
            fleet.origin.down = False
        print(f"{name}: loaded by the peer after the origin had gone")
    fleet.origin.wrong_manifest = pf.wrong_digest


# Guards against a search for agreeing manifests that delays the versions after it.
def case_declared_meanwhile(fleet):
    """a version declared while the manifests of an older one are wrong is not held up"""
    start_stagers(fleet)
    version = 1 + max(engine.models["m"] for engine in fleet.engines)
    fleet.origin.wrong_manifest, fleet.origin.wrong_manifests = left_out, 1000
    fleet.store.put("op/version/m", {"model": "m", "version": version})
    time.sleep(2)
    check(all(engine.models["m"] < version for engine in fleet.engines), "the wrong manifest loads nothing")
    fleet.origin.wrong_manifest, fleet.origin.wrong_manifests = pf.wrong_digest, 0
    fleet.store.put("op/version/m", {"model": "m", "version": version + 1})
    check_loaded(fleet, version + 1)


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


CASES = [case_corrupt_piece, case_wrong_manifest, case_one_wrong_manifest, case_fields_one_answer,
         case_fields_two_answers, case_fields_six_answers, case_peer_without_origin, case_declared_meanwhile,
         case_endless_answers]


if __name__ == "__main__":
    pf.run_cases(CASES)
