"""Runs the doctest programs and the process tests, and counts test cases.

A known failure in KNOWN-RED.txt has a line `test: PROGRAM / CASE NAME`. Exactly these cases may fail.
"""
import glob
import os
import re
import subprocess
import sys
import xml.etree.ElementTree as ElementTree
from concurrent.futures import ThreadPoolExecutor

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM_TIMEOUT_S = 900


def known_failures():
    """Returns the set of "PROGRAM / CASE" names listed in KNOWN-RED.txt."""
    path = os.path.join(ROOT, "KNOWN-RED.txt")
    if not os.path.exists(path):
        return set()
    with open(path, encoding="utf-8") as listing:
        return {m.group(1).strip() for m in re.finditer(r"^test:\s*(.+)$", listing.read(), re.M)}


def run_doctest(program):
    """Runs one doctest program; returns a list of (name, passed, output)."""
    name = os.path.basename(program)
    try:
        run = subprocess.run([program, "--reporters=xml"], capture_output=True, text=True, errors="replace",
                             timeout=PROGRAM_TIMEOUT_S, cwd=ROOT)
        tree = ElementTree.fromstring(run.stdout[run.stdout.index("<?xml"):])
    except (subprocess.TimeoutExpired, ElementTree.ParseError, ValueError) as error:
        return [(f"{name} / (program)", False, f"{error}")]
    results = []
    for case in tree.iter("TestCase"):
        outcome = case.find("OverallResultsAsserts")
        passed = outcome is not None and outcome.get("test_case_success") == "true"
        detail = "" if passed else ElementTree.tostring(case, encoding="unicode")[:4000]
        results.append((f"{name} / {case.get('name')}", passed, detail))
    if run.returncode != 0 and all(passed for _, passed, _ in results):
        results.append((f"{name} / (exit code {run.returncode})", False, run.stderr[-4000:]))
    return results


def run_script(script):
    """Runs one process test; exit code 0 is a pass."""
    name = os.path.basename(script)
    try:
        run = subprocess.run([sys.executable, script], capture_output=True, text=True, timeout=PROGRAM_TIMEOUT_S,
                             cwd=ROOT)
    except subprocess.TimeoutExpired as error:
        return [(f"{name} / (script)", False, f"{error}")]
    output = (run.stdout + run.stderr)[-6000:]
    # The trace follows the line of its case; logs of the processes after it may be long.
    results = [(f"{name} / {found.group(2).strip()}", found.group(1) == "passed",
                "" if found.group(1) == "passed" else run.stdout[found.end():found.end() + 4000])
               for found in re.finditer(r"^case (passed|failed): (.*)$", run.stdout, re.M)]
    if not results or (run.returncode != 0 and all(passed for _, passed, _ in results)):
        results.append((f"{name} / (script)", run.returncode == 0, output))
    return results


def main():
    build = os.path.join(ROOT, sys.argv[1])
    os.environ["MARIGOLDYARD_BUILD_DIR"] = sys.argv[1]
    programs = sorted(p for p in glob.glob(os.path.join(build, "tests", "test_*")) if os.access(p, os.X_OK)
                      and os.path.isfile(p))
    scripts = sorted(glob.glob(os.path.join(ROOT, "tests", "process", "test_*.py")))
    with ThreadPoolExecutor(max_workers=4) as pool:
        results = [r for batch in pool.map(run_doctest, programs) for r in batch]
    # Process tests share loopback addresses, so they run one at a time.
    results += [r for script in scripts for r in run_script(script)]
    known = known_failures()
    failed = [(name, detail) for name, passed, detail in results if not passed]
    unexpected = [(name, detail) for name, detail in failed if name not in known]
    for name, detail in unexpected:
        print(f"FAILED {name}\n{detail}")
    for name, detail in failed:
        if name in known:
            print(f"KNOWN-RED {name}\n{detail}")
    for name in known - {name for name, _, _ in results}:
        print(f"FAILED KNOWN-RED.txt names a test that does not exist: {name}")
        unexpected.append((name, ""))
    print(f"{len(results) - len(failed)} passed, {len(unexpected)} failed")
    return 1 if unexpected or not results else 0


if __name__ == "__main__":
    sys.exit(main())
