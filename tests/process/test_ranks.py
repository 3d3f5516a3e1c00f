"""Urgent work does not wait for batch streams, and paused streams still end whole."""
import threading

import cases
from cases import check, fl

BATCH_TOKENS, URGENT_TOKENS, SLOTS = 600, 8, 2
BATCH_STREAMS = 12  # twice the slots of the three engines


def stream(entry, rank, tokens, results):
    client = fl.Client("bar-riva", cases.CALLERS[0].key, rank)
    results.append(client.stream(entry.caller_address, "deposits", rank, tokens, 60))


def pauses(fleet):
    return sum(fl.request("GET", vm.endpoint_address, "/state").json()["pauses"] for vm in fleet.agents("models"))


def urgent_pauses_batch(fleet):
    """urgent requests run while batch streams hold every slot, and the paused streams end whole"""
    batch, urgent, entries = [], [], fleet.entries()
    threads = [threading.Thread(target=stream, args=(entries[i % 4], "batch", BATCH_TOKENS, batch))
               for i in range(BATCH_STREAMS)]
    for thread in threads:
        thread.start()
    fl.wait_for(lambda: all(fleet.status(vm)["running"] == SLOTS for vm in fleet.agents("models")), "all slots are busy")
    for entry in entries:
        stream(entry, "urgent", URGENT_TOKENS, urgent)
    check(not batch, "the urgent requests ended before any batch stream")
    for thread in threads:
        thread.join()
    check(all(status == 200 and complete for status, _, complete in urgent), f"urgent answers are whole: {urgent}")
    check(pauses(fleet) > 0, "batch streams were paused")
    ended = [len(pieces) for status, pieces, complete in batch if status == 200 and complete]
    check(len(ended) >= SLOTS * 3 and all(count >= BATCH_TOKENS for count in ended), f"batch streams are whole: {ended}")
    running = [fl.request("GET", vm.endpoint_address, "/state").json()["max_running"] for vm in fleet.agents("models")]
    check(all(count <= SLOTS for count in running), f"no engine ran more than its slots: {running}")


def rank_is_bounded(fleet):
    """an unknown rank is refused, and a rank above the caller's is lowered to its highest"""
    entry = fleet.entries()[0].caller_address
    bad = fl.Client("bar-riva", cases.CALLERS[0].key, "highest").complete(entry, "deposits")
    check(bad.status == 400, f"unknown rank: {bad.status}")
    low = fl.request("POST", entry, "/v1/completions", {"model": "deposits", "prompt": "x", "max_tokens": 2},
                     fl.Client("low", LOW.key, "urgent").headers())
    check(low.status == 200 and low.headers.get("x-rank") == "batch", f"lowered: {low.status} {low.headers}")


LOW = fl.new_caller("night-job")


def manifest_callers():
    """The usual callers and one that may use batch only."""
    digest = [{"name": c.name, "key_sha256": fl.sha256(c.key), "highest_rank": rank, "weight": 1,
               "requests_per_second": 0, "burst": 0}
              for c, rank in [(cases.CALLERS[0], "urgent"), (LOW, "batch")]]
    return {"callers": digest}


if __name__ == "__main__":
    cases.run([urgent_pauses_batch, rank_is_bounded], manifest_callers(), agent_settings={"slots": SLOTS},
              engine_options=["--slots", str(SLOTS)])
