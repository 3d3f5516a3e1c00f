"""The installed CMake package and programs can be used from outside the source tree."""
import os
import subprocess
import sys
import tempfile
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD = os.path.join(ROOT, os.environ.get("MARIGOLDYARD_BUILD_DIR", "build"))
STEP_TIMEOUT_S = 300


def run(*arguments):
    """Runs a command and returns its output; fails with the output when its status is not 0."""
    result = subprocess.run(arguments, capture_output=True, text=True, timeout=STEP_TIMEOUT_S, check=False)
    assert result.returncode == 0, f"{arguments} ended with {result.returncode}:\n{result.stdout}\n{result.stderr}"
    return result.stdout


def programs_run(prefix):
    """the installed programs print their help and version"""
    for program in ("marigold-entry", "marigold-agent", "marigoldctl"):
        path = os.path.join(prefix, "bin", program)
        assert "--settings" in run(path, "--help") and "--check" in run(path, "--help"), f"{program} --help"
        assert run(path, "--version").startswith(program + " "), f"{program} --version"


def examples_build(prefix):
    """examples/ builds against the installed package and runs"""
    folder = os.path.join(prefix, "examples-build")
    run("cmake", "-S", os.path.join(ROOT, "examples"), "-B", folder, "-G", "Ninja", f"-DCMAKE_PREFIX_PATH={prefix}",
        "-DCMAKE_CXX_COMPILER_LAUNCHER=ccache")
    run("cmake", "--build", folder)
    output = run(os.path.join(folder, "embed"))
    assert output.splitlines()[:2] == ["start balance (urgent)", "start ledger (batch)"], output
    assert output.endswith("done\n"), output


def main():
    failed = 0
    with tempfile.TemporaryDirectory(prefix="marigoldyard-install-") as prefix:
        run("cmake", "--install", BUILD, "--prefix", prefix)
        for case in (programs_run, examples_build):
            try:
                case(prefix)
                print(f"case passed: {case.__doc__}")
            except (AssertionError, subprocess.SubprocessError, OSError):
                failed += 1
                print(f"case failed: {case.__doc__}\n{traceback.format_exc()}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
