#!/usr/bin/env python3
"""Compares the machine code of two build folders, to show that a change of names and comments changed no behaviour.

  scripts/compare_objects.py OLD NEW     build folders with the same settings, as left by scripts/build

Prints each object file of the programs and libraries whose functions do not all have the same instructions; addresses and
symbols are left out, and so is the order of functions. A changed message differs by the length of its text. Exits with 1
when an object differs or is missing.
"""
import collections
import os
import re
import subprocess
import sys

LEFT_OUT = ("/tests", "/bench", "/CMakeFiles/3")


def objects(build):
    """Paths of the object files of programs and libraries, relative to the build folder."""
    paths = (os.path.join(folder, name) for folder, _, names in os.walk(build) for name in names if name.endswith(".o"))
    relative = (os.path.relpath(path, build) for path in paths)
    return sorted(path for path in relative if not any(part in "/" + path for part in LEFT_OUT))


def functions(path):
    """Counts the functions of an object file by their instructions."""
    listing = subprocess.run(["objdump", "-d", "--no-show-raw-insn", "--no-addresses", path], capture_output=True,
                             text=True, check=True).stdout
    found = collections.Counter()
    for function in re.split(r"^.*>:$", listing, flags=re.M)[1:]:
        lines = (re.sub(r"<[^>]*>", "", line.split("#")[0]).strip() for line in function.splitlines()
                 if line.startswith("\t"))
        found["\n".join(re.sub(r"\b(call|j\w+)\s+[0-9a-f]+", r"\1", line) for line in lines)] += 1
    return found


def main():
    if len(sys.argv) != 3:
        print(__doc__)
        return 2
    old, new = sys.argv[1:]
    paths = objects(old)
    different = 0
    for path in paths:
        if not os.path.exists(os.path.join(new, path)):
            print(f"{path}: missing")
            different += 1
            continue
        before, after = functions(os.path.join(old, path)), functions(os.path.join(new, path))
        if before != after:
            print(f"{path}: {sum((before - after).values())} of {sum(before.values())} functions differ")
            different += 1
    print(f"{len(paths) - different} of {len(paths)} objects have the same instructions")
    return 1 if different or not paths else 0


if __name__ == "__main__":
    sys.exit(main())
