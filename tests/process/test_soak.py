"""A short seeded run of the fault soak, and proof that each of its checks can fail."""
import os
import sys
import threading

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
import soak  # noqa: E402  the path is set above
from world import EVENTS, World, body_of, pf  # noqa: E402

# Seeds that failed once are added here with a line on the cause.
SEEDS = (1, 28)


def blank_world():
    """A world without processes, to judge made-up answers."""
    world = World.__new__(World)
    world.lock, world.broken, world.sent, world.runs = threading.RLock(), [], {"a": "once"}, {}
    world.answers, world.engines = [], []
    return world


def answer(status, body=b"", whole=True, **headers):
    return pf.Answer(status, {"Attempt-Id": "a", "Response-Signature": "s", **headers}, body, whole)


def events(ids):
    return "".join(f"id: {i}\ndata: x\n\n" for i in ids).encode()


WRONG = {
    "a success without a signature": ("read", pf.Answer(200, {"Attempt-Id": "a"}, body_of("a"), True)),
    "a body of another request": ("read", answer(200, body_of("b"))),
    "a shortened body that looks whole": ("read", answer(200, body_of("a")[:-1])),
    "an answer to another request": ("read", pf.Answer(200, {"Attempt-Id": "b", "Response-Signature": "s"},
                                                       body_of("a"), True)),
    "a stream without its end": ("stream", answer(200, events(range(1, EVENTS)))),
    "a stream with an event twice": ("stream", answer(200, events([1, 1, *range(2, EVENTS + 1)]))),
}


def case_checks():
    """each wrong answer is noticed, and right ones are not"""
    for what, (kind, wrong) in WRONG.items():
        world = blank_world()
        world.judge(kind, "a", wrong)
        assert world.broken, f"not noticed: {what}"
    world = blank_world()
    world.judge("read", "a", answer(200, body_of("a")))
    world.judge("stream", "a", answer(200, events(range(1, EVENTS + 1))))
    world.judge("stream", "a", answer(200, events(range(1, 4)), whole=False))
    world.judge("once", "a", answer(503))
    assert not world.broken, world.broken


def case_runs():
    """a second run and a refusal of what ran are noticed"""
    world = blank_world()
    world.runs["a"] = 2
    world.final_checks()
    assert world.broken, "two runs are not noticed"
    world = blank_world()
    world.runs["a"] = 1
    world.judge("once", "a", answer(503))
    assert world.broken, "a false refusal is not noticed"


def case_pieces():
    """an order over wrong pieces is noticed"""
    good = {i: pf.piece("m", 2, i) for i in range(pf.PIECES)}

    class Engine:
        id, spoilt_in_order, spoilt_runs = "e", [{}], 0
        orders = [(0, {"model": "m", "version": 2}, good | {0: b"wrong"})]
    world = blank_world()
    world.engines = [Engine]
    world.final_checks()
    assert world.broken, "wrong pieces are not noticed"
    world = blank_world()
    Engine.spoilt_in_order = [{0: 1.0}]
    world.engines = [Engine]
    world.final_checks()
    assert not world.broken, world.broken
    Engine.spoilt_runs = 1
    world.final_checks()
    assert world.broken, "requests on pieces that were corrupt for long are not noticed"


def main():
    failed = 0
    for case in (case_checks, case_runs, case_pieces):
        try:
            case()
            print(f"case passed: {case.__doc__}", flush=True)
        except AssertionError as wrong:
            failed += 1
            print(f"case failed: {case.__doc__}\n{wrong}", flush=True)
    for seed in SEEDS:
        broken = soak.run_seed(seed, os.path.join(pf.BUILD, "soak"))
        failed += bool(broken)
        print(f"case {'failed' if broken else 'passed'}: soak seed {seed}", *broken[:5], sep="\n", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
