#!/usr/bin/env python3
"""Runs processes of two builds beside each other.

  scripts/mixed_builds.py OLD NEW     OLD and NEW are build folders, as left by scripts/build

Gateways of one build run beside stagers of the other, and entries of one beside agents of the other, under the process
tests and the demo of this tree. Beside each result stands why the processes dropped messages. Some cases provoke that on
purpose, in numbers that depend on timing, so the reasons are compared with those of NEW alone. The settings and logs that
OLD wrote are then read by the marigoldctl of NEW. Exits with 1 when a run failed or dropped messages for another reason.
"""
import glob
import json
import os
import subprocess
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DAEMONS = ("marigold-gateway", "marigold-stager", "marigold-entry", "marigold-agent")
PLATFORM_RUNS = ("tests/process/test_platform.py",)
PRODUCT_RUNS = ("scripts/demo.py", "tests/process/test_streams.py", "tests/process/test_operations.py")
# Folder name, programs taken from OLD, scripts that use them.
COMBINATIONS = (
    ("new", (), PLATFORM_RUNS + PRODUCT_RUNS),
    ("old-stagers", ("marigold-stager",), PLATFORM_RUNS),
    ("old-gateways", ("marigold-gateway",), PLATFORM_RUNS),
    ("old-agents", ("marigold-agent",), PRODUCT_RUNS),
    ("old-entries", ("marigold-entry",), PRODUCT_RUNS),
    ("old", DAEMONS, ("tests/process/test_platform.py", "scripts/demo.py")),
)
RUN_TIMEOUT_S = 600


def link_programs(folder, old, new, from_old):
    """Fills a folder with links to the programs of two builds, laid out like a build folder."""
    os.makedirs(folder)
    for program in (*DAEMONS, "marigoldctl"):
        os.symlink(os.path.join(old if program in from_old else new, program), os.path.join(folder, program))
    os.symlink(os.path.join(new, "tests"), os.path.join(folder, "tests"))


def log_lines(folder):
    """Log lines of all processes that wrote below a folder."""
    for path in glob.glob(os.path.join(folder, "**", "*.log"), recursive=True):
        with open(path, encoding="utf-8", errors="replace") as source:
            for line in source:
                if line.startswith("{"):
                    try:
                        yield json.loads(line)
                    except ValueError:
                        continue  # the last line of a killed process


def run_script(script, build, logs):
    """Runs one script with the programs of a folder; returns whether it passed and the reasons of dropped messages."""
    os.makedirs(logs)
    environment = {**os.environ, "MARIGOLDYARD_BUILD_DIR": build, "MARIGOLDYARD_KEEP_LOGS": "1", "TMPDIR": logs}
    run = subprocess.run([sys.executable, os.path.join(ROOT, script)], env=environment, cwd=ROOT, text=True,
                         stdout=subprocess.PIPE, stderr=subprocess.STDOUT, timeout=RUN_TIMEOUT_S)
    dropped = {line.get("detail", line.get("error", "")) for line in log_lines(logs)
               if line.get("event") == "message_dropped"}
    if run.returncode != 0:
        print(run.stdout[-4000:])
    return run.returncode == 0, dropped


def read_old_files(new, folder):
    """Reads settings and logs written by OLD with the marigoldctl of NEW; returns the commands that failed."""
    failed = []

    def call(*arguments):
        run = subprocess.run([os.path.join(new, "marigoldctl"), *arguments], capture_output=True, text=True)
        if run.returncode != 0:
            failed.append(f"marigoldctl {' '.join(arguments[:3])}: {(run.stdout + run.stderr)[-500:]}")
        return run.stdout

    settings = [path for path in glob.glob(os.path.join(folder, "**", "*.json"), recursive=True)
                if os.path.basename(path).startswith("marigold-")]
    for path in settings:
        call("check", "--as", os.path.basename(path).split("-")[1], path)
    logs = [path for path in glob.glob(os.path.join(folder, "**", "marigold-*.log"), recursive=True)]
    requests = {line["request_id"] for line in log_lines(folder) if line.get("event") == "request"}
    events = call("timeline", "--logs", *logs).splitlines()
    for request in sorted(requests)[:20]:
        call("explain", request, "--logs", *logs)
    print(f"read with the new marigoldctl: {len(settings)} settings files, {len(logs)} logs with {len(events)} events, "
          f"{min(len(requests), 20)} requests explained, {len(failed)} commands failed")
    return failed if settings and events and requests else failed + ["nothing of the old build was read"]


def main():
    if len(sys.argv) != 3:
        print(__doc__)
        return 2
    old, new = (os.path.abspath(path) for path in sys.argv[1:])
    failures, usual = [], {}
    with tempfile.TemporaryDirectory(prefix="marigoldyard-mixed-") as folder:
        for number, (name, from_old, scripts) in enumerate(COMBINATIONS):
            build = os.path.join(folder, name)
            link_programs(build, old, new, from_old)
            # Numbered, because test_platform.py finds the stagers by the word in the path of their log.
            logs = os.path.join(folder, "logs", str(number))
            for script in scripts:
                passed, dropped = run_script(script, build, os.path.join(logs, os.path.basename(script)))
                usual.setdefault(script, dropped)
                print(f"{name}: {script} {'passed' if passed else 'failed'}, messages dropped: "
                      f"{', '.join(sorted(dropped)) or 'none'}", flush=True)
                if not passed or dropped - usual[script]:
                    failures.append(f"{name}: {script}")
        failures += read_old_files(new, os.path.join(logs, "test_platform.py"))
    for failure in failures:
        print("failed:", failure)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
