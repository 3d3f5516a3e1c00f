"""docs/OPERATIONS.md names what the programs accept and report. With --write, refreshes its reference tables."""
import glob
import os
import re
import subprocess
import sys
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD = os.path.join(ROOT, os.environ.get("MARIGOLDYARD_BUILD_DIR", "build"))
PAGE = os.path.join(ROOT, "docs", "OPERATIONS.md")
BEGIN, END = "<!-- reference begin: output of `marigoldctl reference` -->\n", "<!-- reference end -->"
OUTCOMES = ("complete", "not_run", "failed", "unknown")


def read(path):
    with open(path, encoding="utf-8") as file:
        return file.read()


def reference():
    return subprocess.run([os.path.join(BUILD, "marigoldctl"), "reference"], capture_output=True, text=True,
                          check=True, timeout=30).stdout


def section(title):
    """Names in the first column of the table below a heading of the page."""
    text = read(PAGE).split(f"\n## {title}\n", 1)[1].split("\n## ", 1)[0]
    return set(re.findall(r"^\| `([a-z_]+)`", text, re.M))


def sources():
    """Text of the daemons, in which the events and metrics are named."""
    paths = [p for part in ("entry", "agent", "node") for p in glob.glob(f"{ROOT}/programs/{part}/*.[ch]pp")]
    assert paths, "no sources found"
    return "\n".join(read(path) for path in sorted(paths))


def names_in_calls(pattern):
    """Names in the first argument of each call; every call must have a literal name there."""
    names = set()
    for match in re.finditer(pattern + r"\(\s*", sources()):
        first = sources_argument(match.end())
        literals = re.findall(r'"([a-z_]+)"', first)
        assert literals, f"the name in this call is no literal, so the page cannot be checked: {first[:80]}"
        names.update(n + o for n in literals for o in (OUTCOMES if n.endswith("_") else ("",)))
    return names


def sources_argument(start):
    """First argument of a call whose argument list starts at an index of sources()."""
    text, depth = sources(), 0
    for index in range(start, len(text)):
        depth += (text[index] in "({") - (text[index] in ")}")
        if depth < 0 or (depth == 0 and text[index] == ","):
            return text[start:index]
    raise AssertionError("call without an end")


def compare(listed, used, what):
    assert used, f"no {what} found in the code"
    assert listed == used, f"{what} missing on the page: {sorted(used - listed)}, not in the code: " \
        f"{sorted(listed - used)}"


def tables_match():
    """the tables of settings and manifest equal marigoldctl reference"""
    page = read(PAGE).split(BEGIN, 1)[1].split(END, 1)[0]
    assert page == reference(), "run python3 tests/process/test_reference.py --write"


def time_line_events():
    """every time line event is explained on the page, and no other"""
    compare(section("Time line events"), names_in_calls(r"(?:Base\.|\n\s+)record"), "time line events")


def log_events():
    """every log event is explained on the page, and no other"""
    literal = set(re.findall(r'\.Event = "([a-z_]+)"', sources()))
    compare(section("Log events"), literal | names_in_calls(r"Log\.write(?!\(\s*\{)"), "log events")


def metric_names():
    """every metric is explained on the page, and no other"""
    compare(section("Metrics"), names_in_calls(r"\.(?:counter|gauge|histogram)"), "metrics")


def main():
    if "--write" in sys.argv:
        before, rest = read(PAGE).split(BEGIN, 1)
        with open(PAGE, "w", encoding="utf-8") as file:
            file.write(before + BEGIN + reference() + END + rest.split(END, 1)[1])
        return 0
    failed = 0
    for case in (tables_match, time_line_events, log_events, metric_names):
        try:
            case()
            print(f"case passed: {case.__doc__}")
        except (AssertionError, IndexError, subprocess.SubprocessError):
            failed += 1
            print(f"case failed: {case.__doc__}\n{traceback.format_exc()}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
