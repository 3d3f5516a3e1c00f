"""Measures what entry and agent add to a direct call to the engine stand-in, and the control traffic of idle daemons.

--part streams: 1 entry, 1 agent and 1 engine stand-in; direct and routed streams alternate in the same run.
--part control: the demo fleet without callers, bytes on the links by /status.
--part members: 1 entry and 1 agent whose VM list has the size of the target. The other VMs do not answer, so only the
processor time of the core thread, the main thread of a daemon, and the memory count.

Every figure is printed as one JSON line with the load average, because a busy machine lengthens all times.
"""
import argparse
import http.client
import json
import os
import statistics
import threading
import time

import fleet as fl

CHUNKS, CHUNK_BYTES = 4, 32768
CALLERS = [fl.new_caller("bar-riva")]
TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid, thread=None):
    """User and system time of a process, or of one of its threads, so far."""
    path = f"/proc/{pid}/stat" if thread is None else f"/proc/{pid}/task/{thread}/stat"
    with open(path, encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid):
    """Resident memory of a process in MB."""
    with open(f"/proc/{pid}/statm", encoding="utf-8") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else float("nan")


def engine_stream(address, digest, number, tokens, marks):
    """A stream of the stand-in; notes the arrival time of each line."""
    connection = http.client.HTTPConnection(address, timeout=60)
    try:
        connection.request("POST", "/generate", json.dumps({
            "request_id": f"direct-{number}", "weights": digest, "prompt": "hello", "max_tokens": tokens,
            "priority": 0}), {"Content-Type": "application/json"})
        response = connection.getresponse()
        for line in response:
            if line.strip():
                marks.append(time.monotonic())
        return response.status == 200
    finally:
        connection.close()


def timed(call):
    """Runs one stream. Returns (seconds to the first token, gaps between tokens, tokens, whether it ended well)."""
    marks = []
    start = time.monotonic()
    complete = call(marks)
    gaps = [b - a for a, b in zip(marks, marks[1:])]
    return (marks[0] - start if marks else float("nan")), gaps, len(marks), complete


def run_streams(make, streams, rounds):
    """Runs streams at a time, each rounds times. Returns the results and the wall time."""
    results, lock = [], threading.Lock()

    def worker(index):
        for turn in range(rounds):
            result = timed(make(f"{index}-{turn}-{time.monotonic_ns()}"))
            with lock:
                results.append(result)

    threads = [threading.Thread(target=worker, args=(i,)) for i in range(streams)]
    start = time.monotonic()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results, time.monotonic() - start


def summary(kind, results, seconds, busy):
    """One line of figures; core seconds are those of the daemons, without the stand-in and this script."""
    firsts = [first for first, _, count, _ in results if count]
    gaps = [gap for _, some, _, _ in results for gap in some]
    tokens = sum(count for _, _, count, _ in results)
    line = {"kind": kind, "streams": len(results), "complete": sum(1 for r in results if r[3]),
            "first_ms_p50": round(1e3 * percentile(firsts, 0.5), 2),
            "first_ms_p95": round(1e3 * percentile(firsts, 0.95), 2),
            "gap_ms_p50": round(1e3 * percentile(gaps, 0.5), 3), "gap_ms_p95": round(1e3 * percentile(gaps, 0.95), 3),
            "gap_ms_mean": round(1e3 * statistics.fmean(gaps), 3) if gaps else None,
            "tokens_per_second": round(tokens / seconds), "load_average": os.getloadavg()[0]}
    for name, used in busy.items():
        line[name + "_core_share"] = round(used / seconds, 3)
        line[name + "_tokens_per_core_second"] = round(tokens / used) if used else None
    return line


def measure_streams(arguments):
    vms = [vm for vm in fl.demo_vms() if vm.name in ("entry-1", "engine-1")]
    options = ["--slots", str(arguments.streams), "--token-us", str(arguments.token_us)]
    with fl.Fleet(vms, engine_options=options, agent_settings={"slots": arguments.streams}) as fleet:
        fleet.start_all()
        digest = fleet.publish_version("cup-helper", "v1", CHUNKS, CHUNK_BYTES, 1)
        manifest = {"revision": 1, "products": [fl.product("deposits", "cup-helper", "models", "v1", digest, CALLERS)]}
        fleet.publish_manifest(manifest)
        fleet.wait_ready(fleet.vms)
        entry, agent = fleet.vm("entry-1"), fleet.vm("engine-1")
        fl.wait_for(lambda: any(e["ready"] for e in fleet.status(entry)["endpoints"]), "the entry has a report")

        def direct(name):
            return lambda marks: engine_stream(agent.endpoint_address, digest, name, arguments.tokens, marks)

        def routed(_):
            return lambda marks: CALLERS[0].stream(entry.caller_address, "deposits", "hello", arguments.tokens, 60,
                                                   lambda count: marks.append(time.monotonic()))[2]

        for streams in sorted({1, arguments.streams}):
            for kind, make in (("direct", direct), ("routed", routed)):
                before = {vm.kind: cpu_seconds(vm.daemon.pid) for vm in vms}
                results, seconds = run_streams(make, streams, arguments.rounds)
                busy = {vm.kind: cpu_seconds(vm.daemon.pid) - before[vm.kind] for vm in vms} if kind == "routed" else {}
                print(json.dumps({"at_a_time": streams, **summary(kind, results, seconds, busy)}), flush=True)
        print(json.dumps({"resident_mb": {vm.name: round(resident_mb(vm.daemon.pid), 1) for vm in vms}}))


def links_of(fleet):
    return {vm.name: fleet.status(vm)["links"] for vm in fleet.vms}


def control_window(fleet, seconds, label):
    """Prints link bytes and processor time for each daemon over a window."""
    first, start = links_of(fleet), time.monotonic()
    busy = {vm.name: cpu_seconds(vm.daemon.pid) for vm in fleet.vms}
    deciding = {vm.name: cpu_seconds(vm.daemon.pid, vm.daemon.pid) for vm in fleet.vms}
    time.sleep(seconds)
    last, passed = links_of(fleet), time.monotonic() - start
    for vm in fleet.vms:
        line = {"window": label, "daemon": vm.name, "resident_mb": round(resident_mb(vm.daemon.pid), 1),
                "core_percent": round(100 * (cpu_seconds(vm.daemon.pid) - busy[vm.name]) / passed, 2),
                "core_thread_percent": round(
                    100 * (cpu_seconds(vm.daemon.pid, vm.daemon.pid) - deciding[vm.name]) / passed, 2)}
        for direction in ("sent", "received"):
            count = last[vm.name][direction] - first[vm.name][direction]
            size = last[vm.name][direction + "_bytes"] - first[vm.name][direction + "_bytes"]
            line.update({direction + "_bytes_per_second": round(size / passed, 1),
                         direction + "_messages_per_second": round(count / passed, 2),
                         direction + "_bytes_per_message": round(size / count, 1) if count else None})
        print(json.dumps({**line, "load_average": os.getloadavg()[0]}), flush=True)


def measure_control(arguments):
    with fl.Fleet(fl.demo_vms()) as fleet:
        fleet.start_all()
        digest = fleet.publish_version("cup-helper", "v1", CHUNKS, CHUNK_BYTES, 1)
        fleet.publish_manifest(fl.demo_manifest(1, digest, "v1", CALLERS))
        fleet.wait_ready(fleet.vms)
        time.sleep(2)
        control_window(fleet, arguments.seconds, "idle")


def target_listing(pools, net=fl.NET):
    """VMs of the target beside the two that run: 389 entries and 1,099 endpoints in equal pools."""
    def vm(number, kind, pool=""):
        address = f"{net}.{100 + number // 250}.{number % 250 + 1}"
        return fl.Vm(f"listed-{number}", kind, address, f"region-{number % 7}", f"domain-{number % 22}", pool)

    names = ["models"] + [f"pool-{i}" for i in range(1, pools)]
    return [vm(i, "entry") for i in range(389)] + [vm(i, "endpoint", names[i % pools]) for i in range(389, 1488)]


def measure_members(arguments):
    vms = [vm for vm in fl.demo_vms() if vm.name in ("entry-1", "engine-1")]
    with fl.Fleet(vms) as fleet:
        listing = [vm.listing() for vm in vms + target_listing(arguments.pools)]
        fleet.check(fl.request("PUT", fleet.vm_list, "/vms", {"vms": listing}))
        fleet.start_all()
        digest = fleet.publish_version("cup-helper", "v1", CHUNKS, CHUNK_BYTES, 1)
        fleet.publish_manifest(fl.demo_manifest(1, digest, "v1", CALLERS))
        time.sleep(8)
        control_window(fleet, arguments.seconds, f"1,490 listed VMs in {arguments.pools} pools")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--part", choices=("streams", "control", "members", "all"), default="all")
    parser.add_argument("--streams", type=int, default=32, help="streams at a time")
    parser.add_argument("--rounds", type=int, default=4, help="streams that each caller runs one after the other")
    parser.add_argument("--tokens", type=int, default=200, help="tokens of a stream")
    parser.add_argument("--token-us", type=int, default=10000, help="time of a token in the stand-in, microseconds")
    parser.add_argument("--pools", type=int, default=15, help="pools of the target that the endpoints belong to")
    parser.add_argument("--seconds", type=float, default=30, help="window of the control measurement")
    arguments = parser.parse_args()
    if arguments.part in ("streams", "all"):
        measure_streams(arguments)
    if arguments.part in ("control", "all"):
        measure_control(arguments)
    if arguments.part in ("members", "all"):
        measure_members(arguments)


if __name__ == "__main__":
    main()
