"""marigoldctl and the command lines of all programs, against a running fleet and against made-up pages."""
import http.server
import json
import os
import subprocess
import tempfile
import threading

import cases
from cases import CALLERS, check, fl

CTL = os.path.join(fl.BUILD, "marigoldctl")
PROGRAMS = ("marigold-entry", "marigold-agent", "marigoldctl")
MADE_UP_AGENTS = 36
MAX_LINE = 160


TIMELINES = 20  # an order that depends on threads shows in some of them


def call(*arguments, program=CTL):
    """Runs a program; returns (exit status, standard output, standard error)."""
    result = subprocess.run([program, *arguments], capture_output=True, text=True, timeout=30, check=False)
    return result.returncode, result.stdout, result.stderr


def written(folder, name, content):
    path = os.path.join(folder, name)
    with open(path, "w", encoding="utf-8") as file:
        file.write(content if isinstance(content, str) else json.dumps(content))
    return path


def complete(fleet):
    """Serves one request and returns its id."""
    reply = CALLERS[0].complete(fleet.entries()[0].caller_address, "deposits")
    check(reply.status == 200, f"a completion is served, got {reply.status} {reply.body!r}")
    return reply.json()["id"]


def broken_manifest(_):
    """check names every fault of a broken manifest with its path and exits 1"""
    manifest = fl.demo_manifest(1, "ab" * 32, "v1", CALLERS)
    first, second = manifest["products"]
    first["ranks"] = ["urgent", "soon"]
    first["callers"][1]["key_sha256"] = "not a digest"
    first["deadline_ms"]["batch"] = "1 s"
    second["floors"]["standard"] = 2
    second["max_unavailable"] = -1
    second["colour"] = "orange"
    del second["pool"]
    paths = ("/products/0/ranks/1", "/products/0/callers/1/key_sha256", "/products/0/deadline_ms/batch",
             "/products/1/floors/standard", "/products/1/floors", "/products/1/max_unavailable", "/products/1/colour",
             "/products/1/pool")
    with tempfile.TemporaryDirectory() as folder:
        status, output, _ = call("check", written(folder, "manifest", manifest))
        check(status == 1, f"a broken manifest gives status 1, got {status}")
        named = sorted(line.split(":")[0] for line in output.splitlines())
        check(named == sorted(paths), f"exactly the faults are named, got:\n{output}")
        check(call("check", os.path.join(folder, "absent"))[0] == 1, "an absent file gives status 1")
        check(call("plan", written(folder, "manifest", manifest))[0] == 1, "plan refuses a broken manifest")


def plan_order(_):
    """plan prints the index last, with the digest of each value"""
    with tempfile.TemporaryDirectory() as folder:
        path = written(folder, "manifest", fl.demo_manifest(4, "ab" * 32, "v1", CALLERS))
        check(call("check", path)[0] == 0, "the manifest has no faults")
        status, output, _ = call("plan", path)
    keys = json.loads(output)
    check(status == 0 and [k["key"] for k in keys] == ["products/deposits", "products/ledgers", "index"],
          f"keys in order, got {output[:300]}")
    index = json.loads(keys[-1]["value"])
    check(index["revision"] == 4, "the index has the revision")
    check(index["values"] == {k["key"]: fl.sha256(k["value"]) for k in keys[:-1]}, "the digests match the values")


def command_lines(fleet):
    """every program has --help, --version and --check, and --check names every fault"""
    for name in PROGRAMS:
        path = os.path.join(fl.BUILD, name)
        status, output, _ = call("--help", program=path)
        check(status == 0 and all(o in output for o in ("--help", "--version", "--settings", "--check")),
              f"{name} --help, got {output}")
        status, output, _ = call("--version", program=path)
        check(status == 0 and output.startswith(name + " "), f"{name} --version, got {output}")
        settings = {"marigold-entry": lambda: fleet.settings(fleet.entries()[0]),
                    "marigold-agent": lambda: fleet.settings(fleet.agents()[0]),
                    "marigoldctl": lambda: {"vm_list": fleet.vm_list}}[name]()
        with tempfile.TemporaryDirectory() as folder:
            good = written(folder, "good", "// settings\n" + json.dumps(settings))
            status, _, errors = call("--settings", good, "--check", program=path)
            check(status == 0, f"{name} accepts its settings, got {errors}")
            bad = written(folder, "bad", {**settings, "operator_port": 0, "vm_list": "nowhere", "colour": 1})
            status, _, errors = call("--settings", bad, "--check", program=path)
            check(status == 1, f"{name} refuses faulty settings with status 1, got {status}")
            for fault in ("/operator_port", "/vm_list", "/colour"):
                check(fault in errors, f"{name} names {fault}, got {errors}")
    check(call()[0] != 0, "marigoldctl without a command fails")
    check(call("status")[0] != 0, "status without a VM list fails")


def live_status(fleet):
    """status shows each daemon, as a table and as JSON, by option or by settings"""
    with tempfile.TemporaryDirectory() as folder:
        path = written(folder, "settings", {"vm_list": fleet.vm_list, "operator_port": fl.OPERATOR_PORT})
        status, output, errors = call("--settings", path, "status")
    check(status == 0, f"status works with settings, got {errors}")
    check([line.split()[0] for line in output.splitlines()[1:]] == [vm.name for vm in fleet.vms], output)
    status, output, _ = call("status", "--vm-list", fleet.vm_list, "--json")
    pages = json.loads(output)
    check(status == 0 and [page["name"] for page in pages] == [vm.name for vm in fleet.vms], output[:300])
    check(all(page["ready"] and page["revision"] == 1 for page in pages), "all are ready under revision 1")


def request_timeline(fleet):
    """timeline --request shows the request at entry and agent in causal order"""
    expected = ["request_admitted", "work_sent", "work_started", "work_complete", "request_complete"]
    for request in [complete(fleet) for _ in range(TIMELINES)]:
        status, output, _ = call("timeline", "--vm-list", fleet.vm_list, "--request", request, "--json")
        events = [json.loads(line) for line in output.splitlines()]
        check(status == 0 and all(event["request_id"] == request for event in events), output[:500])
        names = [event["event"] for event in events]
        check(names == expected, f"events in causal order, got {names}")
    check(len({event["process"] for event in events}) == 2, "an entry and an agent took part")
    text = call("timeline", "--vm-list", fleet.vm_list, "--request", request)[1]
    check(len(text.splitlines()) == len(expected) and all(name in text for name in expected), text)


def explained(fleet):
    """explain tells why a request went where it did and why an agent runs what it runs"""
    request = complete(fleet)
    status, output, _ = call("explain", "--vm-list", fleet.vm_list, request)
    check(status == 0 and "work_sent" in output and "endpoint=engine-" in output and "choice=" in output, output)
    status, output, _ = call("explain", "--vm-list", fleet.vm_list, "engine-1")
    check(status == 0 and "engine-1 serves pool models under revision 1" in output, output)
    check("product deposits wants cup-helper v1" in output and "16 of 16 chunks" in output, output)
    status, output, _ = call("explain", "--vm-list", fleet.vm_list, "no-such-request")
    check(status == 1 and "no process remembers" in output, f"an unknown target fails, got {status} {output}")


def logged(process, time_us, event, **more):
    return json.dumps({"time_us": time_us, "level": "info", "event": event, "process": process, "incarnation": 1, **more})


def explained_from_logs(_):
    """explain and timeline read collected logs: the request, what its process learned before, its server's news"""
    second = 1_000_000
    front = [logged("front-1", 5 * second, "server_gone", server="i-9"),
             logged("front-1", 12 * second, "version_required", model="m", version="3"),
             logged("front-1", 13 * second, "send_failed", request_id="r-1", server="i-1", fate="lost"),
             logged("front-1", 14 * second, "request", request_id="r-1", server="i-1", outcome="stream_broken"),
             logged("front-1", 15 * second, "request", request_id="r-2", server="i-2", outcome="complete"),
             logged("front-1", 16 * second, "server_draining", server="i-1"), "cut off: {",
             json.dumps({"time_us": "soon", "event": "odd"})]
    others = ["front-2: " + logged("front-2", 13 * second + 1, "server_gone", server="i-1"),
              "front-2: " + logged("front-2", 13 * second + 2, "server_gone", server="i-5")]
    with tempfile.TemporaryDirectory() as folder:
        paths = [written(folder, "a.log", "\n".join(front)), written(folder, "b.log", "\n".join(others))]
        status, output, errors = call("explain", "r-1", "--logs", *paths)
        check(status == 0, f"explained, got {status} {errors}")
        own, _, before = output.partition("\nlearned")
        check([line.split()[2] for line in own.splitlines()] == ["send_failed", "request"], f"its own lines, got {own}")
        check("version_required" in before and "front-2" in before and "endpoint=i-1" in before, before)
        check(not any(word in output for word in ("i-9", "i-5", "r-2", "server_draining")), f"nothing else, got {output}")
        check("2 lines are no log lines" in errors, f"the skipped line is told, got {errors}")
        check(call("explain", "r-3", "--logs", *paths)[0] == 1, "an unknown request fails")
        status, output, _ = call("timeline", "--logs", *paths)
        events = [line.split()[2] for line in output.splitlines()]
        check(status == 0 and events == ["server_gone", "version_required", "send_failed", "server_gone", "server_gone",
                                         "request", "request", "server_draining"], f"merged by time, got {events}")
        check(call("timeline", "--logs", os.path.join(folder, "absent"))[0] == 1, "an absent file fails")


def checked_settings(_):
    """check --as names every fault of a settings file"""
    with tempfile.TemporaryDirectory() as folder:
        path = written(folder, "gateway.json", {"name": "g", "peer_port": 99999, "colour": "red"})
        status, output, _ = call("check", "--as", "gateway", path)
        check(status == 1 and all(f"{p}:" in output for p in ("/peer_port", "/colour", "/store")), output)
        check(call("check", "--as", "nothing", path)[0] != 0, "an unknown kind is refused")


class MadeUpPages(http.server.BaseHTTPRequestHandler):
    """VM list and status pages of a fleet that does not exist; the name is that of the address asked."""
    members = []

    def do_GET(self):  # the name is given by the base class
        names = {vm["address"]: vm for vm in self.members}
        if self.path == "/vms":
            body = {"vms": self.members}
        else:
            vm = names[self.server.server_address[0]]
            body = {"name": vm["name"], "kind": "agent", "failure_domain": vm["failure_domain"], "ready": True,
                    "revision": 5300, "running": 8, "models": [
                        {"product": p, "model": "cup-helper", "version": "v12", "phase": "fetching", "held": 7,
                         "chunks": 32} for p in ("deposits", "ledgers")]}
        data = json.dumps(body).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, *_):
        """Keeps requests out of the test's output."""


def large_table(_):
    """the status table stays readable with 40 endpoints, of which 4 do not answer"""
    count = MADE_UP_AGENTS + 4
    MadeUpPages.members = [
        {"name": f"drafting-server-{i:02}", "address": f"{fl.NET}.40.{i + 1}", "kind": "endpoint", "region": "dar",
         "failure_domain": f"dar-{'abc'[i % 3]}", "pool": "drafting", "state": "live"} for i in range(count)]
    servers = [http.server.ThreadingHTTPServer((vm["address"], fl.OPERATOR_PORT), MadeUpPages)
               for vm in MadeUpPages.members[:MADE_UP_AGENTS]]
    try:
        for server in servers:
            threading.Thread(target=server.serve_forever, daemon=True).start()
        status, output, errors = call("status", "--vm-list", f"{fl.NET}.40.1:{fl.OPERATOR_PORT}")
    finally:
        for server in servers:
            server.shutdown()
            server.server_close()
    lines = output.splitlines()
    check(status == 0 and len(lines) == count + 1, f"one line each and a heading, got {len(lines)} {errors}")
    check(max(map(len, lines)) <= MAX_LINE, f"lines stay within {MAX_LINE} columns")
    column = lines[0].index("ready")
    for i, line in enumerate(lines[1:]):
        check(line.startswith(f"drafting-server-{i:02} "), f"sorted as listed: {line}")
        if i < MADE_UP_AGENTS:
            check(line[column:].startswith("yes"), f"columns line up with the heading: {line}")
            check(line.count("cup-helper v12 fetching 7/32") == 1, f"equal progress is shown once: {line}")
        else:
            check("unreachable: " in line, f"an endpoint that does not answer is named: {line}")


if __name__ == "__main__":
    cases.run([broken_manifest, plan_order, command_lines, live_status, request_timeline, explained, explained_from_logs,
               checked_settings, large_table])
