"""Answers are whole or openly failed under faults of engines, agents and entries."""
import signal
import threading

import cases
from cases import CALLERS, check, fl

ENGINE_FAULTS = ("truncate", "cross", "duplicate", "reorder", "wrong_weights")
TOKENS = 24


def set_engines(fleet, **faults):
    for vm in fleet.agents("models"):
        fleet.faults(vm.endpoint_address, **faults)


def reference(fleet, prompt):
    reply = CALLERS[0].complete(fleet.entries()[0].caller_address, "deposits", prompt, TOKENS)
    check(reply.status == 200, f"the reference answer is complete, got {reply.status} {reply.body!r}")
    return reply.json()["choices"][0]["text"]


def whole_answer(fleet):
    """a streamed answer equals the answer that is not streamed"""
    text = reference(fleet, "rules")
    status, pieces, complete = CALLERS[0].stream(fleet.entries()[1].caller_address, "deposits", "rules", TOKENS)
    check(status == 200 and complete and "".join(pieces) == text, "both texts are equal")


def engine_faults(fleet):
    """truncated, crossed, duplicated, reordered and mixed pieces never end as a complete answer"""
    text = reference(fleet, "ledger")
    for fault in ENGINE_FAULTS:
        set_engines(fleet, **{fault: True})
        try:
            status, pieces, complete = CALLERS[0].stream(fleet.entries()[0].caller_address, "deposits", "ledger",
                                                         TOKENS)
            check(not complete or "".join(pieces) == text, f"{fault}: a complete stream is whole")
            check(text.startswith("".join(pieces)) or status != 200, f"{fault}: delivered pieces are a true prefix")
            reply = CALLERS[0].complete(fleet.entries()[1].caller_address, "deposits", "ledger", TOKENS)
            check(reply.status != 200 or reply.json()["choices"][0]["text"] == text, f"{fault}: an answer is whole")
            if reply.status != 200:
                check(reply.json()["outcome"] in ("failed", "unknown"), f"{fault}: {reply.body!r}")
        finally:
            set_engines(fleet, **{fault: None})
    check(reference(fleet, "ledger") == text, "after the faults answers are whole again")


def one_bad_engine(fleet):
    """one engine that truncates costs a caller of a whole answer nothing while the retry budget lasts"""
    text = reference(fleet, "one bad")
    fleet.faults(fleet.agents("models")[0].endpoint_address, truncate=True)
    replies = [CALLERS[0].complete(fleet.entries()[i % 4].caller_address, "deposits", "one bad", TOKENS)
               for i in range(6)]
    fleet.faults(fleet.agents("models")[0].endpoint_address, truncate=None)
    for reply in replies:
        check(reply.status != 200 or reply.json()["choices"][0]["text"] == text, "complete answers are whole")
    check(sum(r.status == 200 for r in replies) >= 3, f"retries hide it: {[r.status for r in replies]}")


def one_stalled_engine(fleet):
    """an engine that stops in a stream without closing it costs a caller of a whole answer nothing but time"""
    text = reference(fleet, "stalled")
    stalled = fleet.agents("models")[0]
    fleet.faults(stalled.endpoint_address, stall=True)
    try:
        replies = [CALLERS[0].complete(vm.caller_address, "deposits", "stalled", TOKENS) for vm in fleet.entries()]
    finally:
        fleet.faults(stalled.endpoint_address, stall=None)
    for reply in replies:
        check(reply.status == 200 and reply.json()["choices"][0]["text"] == text,
              f"answers are whole: {reply.status} {reply.body[:200]!r}")


def agent_killed(fleet):
    """a killed agent ends its streams openly, and whole answers are retried elsewhere"""
    victim = fleet.agents("models")[1]
    replies = []

    def ask(entry):
        try:
            replies.append(CALLERS[0].complete(entry, "deposits", "killed agent", 300, 30))
        except OSError as error:
            replies.append(error)
    threads = [threading.Thread(target=ask, args=(vm.caller_address,)) for vm in fleet.entries() for _ in range(2)]
    for thread in threads:
        thread.start()
    fl.wait_for(lambda: fleet.status(victim)["running"] > 0, "the victim runs work", 10)
    victim.daemon.kill()
    for thread in threads:
        thread.join()
    check(all(r.status == 200 or r.json()["outcome"] != "complete" for r in replies), "no false outcome")
    check(sum(r.status == 200 for r in replies) >= 5, f"most are retried: {[r.status for r in replies]}")
    text = reference(fleet, "killed agent check")
    check(text, "the fleet serves on")
    fleet.start_daemon(victim)
    fleet.wait_ready([victim])
    cases.wait_linked(fleet)


def agent_frozen(fleet):
    """an agent frozen in a stream and resumed late does not complete an answer twice or mix it"""
    text = reference(fleet, "frozen")
    victim = fleet.agents("models")[0]
    victim.daemon.send(signal.SIGSTOP)
    try:
        replies = [CALLERS[0].complete(vm.caller_address, "deposits", "frozen", TOKENS) for vm in fleet.entries()]
    finally:
        victim.daemon.send(signal.SIGCONT)
    for reply in replies:
        check(reply.status == 200 and reply.json()["choices"][0]["text"] == text,
              f"answers are whole while it is frozen: {reply.status} {reply.body[:200]!r}")
    cases.wait_linked(fleet)
    check(reference(fleet, "frozen") == text, "answers are whole after it woke")


def caller_leaves(fleet):
    """a caller that disconnects frees the engine's slot"""
    connection = fl.http.client.HTTPConnection(fleet.entries()[0].caller_address, timeout=10)
    body = fl.json.dumps({"model": "deposits", "prompt": "x", "max_tokens": 2000, "stream": True})
    connection.request("POST", "/v1/completions", body, CALLERS[0].headers())
    connection.getresponse().read(10)
    connection.sock.close()
    connection.close()
    fl.wait_for(lambda: all(fleet.status(vm)["running"] == 0 for vm in fleet.agents("models")), "no work is left", 15)


if __name__ == "__main__":
    # The cases ask far less than a real product, so a share of 0.1 would leave each entry two retries in all.
    cases.run([whole_answer, engine_faults, one_bad_engine, one_stalled_engine, agent_killed, agent_frozen, caller_leaves],
              {"retry_budget": 1.0})
