"""Each fuzz target passes its corpus and a bounded number of runs with a fixed seed."""
import glob
import os
import subprocess
import sys
import tempfile
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD = os.path.join(ROOT, "build-fuzz")
FUZZ = os.path.join(ROOT, "tests", "fuzz")
RUNS, SEED, MAX_BYTES, TIMEOUT_S = 20000, 20261204, 4096, 300
OPTIONS = {"CMAKE_CXX_COMPILER": "clang++", "CMAKE_BUILD_TYPE": "Release", "MARIGOLDYARD_FUZZ": "ON",
           "MARIGOLDYARD_BUILD_PROGRAMS": "OFF", "MARIGOLDYARD_BUILD_TESTS": "OFF",
           "MARIGOLDYARD_BUILD_BENCHMARKS": "OFF"}


def run(*arguments, folder=None):
    """Runs a command; fails with the end of its output when its status is not 0."""
    result = subprocess.run(arguments, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, cwd=folder,
                            errors="replace", timeout=TIMEOUT_S, check=False)
    assert result.returncode == 0, f"{arguments} ended with {result.returncode}:\n{result.stdout[-4000:]}"
    return result.stdout


def targets():
    """Names of the fuzz targets, without their prefix."""
    names = [os.path.basename(path)[len("fuzz_"):-len(".cpp")] for path in glob.glob(f"{FUZZ}/fuzz_*.cpp")]
    assert names, "no fuzz targets found"
    return sorted(names)


def build():
    run("cmake", "-S", ROOT, "-B", BUILD, "-G", "Ninja", *(f"-D{key}={value}" for key, value in OPTIONS.items()))
    run("cmake", "--build", BUILD, "-j4", "--target", *("fuzz_" + name for name in targets()))


def fuzz(name):
    """Runs the corpus, then random inputs made from it. New inputs go to a temporary folder."""
    corpus = os.path.join(FUZZ, "corpus", name)
    inputs = sorted(glob.glob(os.path.join(corpus, "*")))
    assert inputs, f"no corpus for {name}"
    program = os.path.join(BUILD, "tests", "fuzz", "fuzz_" + name)
    run(program, *inputs)
    with tempfile.TemporaryDirectory(prefix="marigoldyard-fuzz-") as folder:
        output = run(program, f"-runs={RUNS}", f"-seed={SEED}", f"-max_len={MAX_BYTES}", "-rss_limit_mb=1024",
                     folder, corpus, folder=folder)
    assert f"Done {RUNS} runs" in output, output[-2000:]


def main():
    failed = 0
    cases = [("the fuzz targets build", build)]
    cases += [(f"fuzz_{name} passes its corpus and {RUNS} runs", lambda name=name: fuzz(name)) for name in targets()]
    for title, case in cases:
        try:
            case()
            print(f"case passed: {title}", flush=True)
        except (AssertionError, subprocess.SubprocessError, OSError):
            failed += 1
            print(f"case failed: {title}\n{traceback.format_exc()}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
