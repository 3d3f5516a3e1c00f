"""What callers get for good and for bad requests."""
import socket

import cases
from cases import CALLERS, check, fl


def entry(fleet, number=0):
    return fleet.entries()[number].caller_address


def problem(reply, status, outcome="not_run"):
    check(reply.status == status, f"status {status}, got {reply.status} {reply.body[:200]!r}")
    check(reply.headers.get("content-type", reply.headers.get("Content-Type")) == "application/problem+json",
          f"media type: {reply.headers}")
    value = reply.json()
    check(value["outcome"] == outcome and value["step"] and "peer" in value, f"members: {value}")


def post(fleet, path, body, headers=None):
    return fl.request("POST", entry(fleet), path, body, headers or CALLERS[0].headers())


def directory(fleet):
    """the directory lists all entries with their failure domains"""
    for vm in fleet.entries():
        listing = fl.request("GET", vm.caller_address, "/v1/entries").json()
        check({e["address"] for e in listing["entries"]} == {v.caller_address for v in fleet.entries()}, f"{listing}")
        check(len({e["failure_domain"] for e in listing["entries"]}) == 3 and listing["max_age_ms"] > 0, f"{listing}")


def models(fleet):
    """a caller sees the products of its key, and nobody sees any without a key"""
    reply = fl.request("GET", entry(fleet), "/v1/models", headers=CALLERS[0].headers())
    check({m["id"] for m in reply.json()["data"]} == {"deposits", "ledgers"}, f"{reply.body!r}")
    problem(fl.request("GET", entry(fleet), "/v1/models"), 401)


def chat(fleet):
    """a chat is answered in the customary shape, whole and streamed"""
    body = {"model": "deposits", "max_tokens": 4, "messages": [{"role": "user", "content": "which cups?"}]}
    reply = post(fleet, "/v1/chat/completions", body)
    check(reply.status == 200 and reply.json()["choices"][0]["message"]["role"] == "assistant", f"{reply.body!r}")
    streamed = post(fleet, "/v1/chat/completions", {**body, "stream": True})
    check(streamed.status == 200 and streamed.body.endswith(b"data: [DONE]\n\n"), f"{streamed.body[-200:]!r}")
    check(b'"delta"' in streamed.body, "pieces are deltas")


def bad_bodies(fleet):
    """malformed JSON, wrong types, unknown products, paths and services get a clear 4xx"""
    for body in ("{", "[]", '{"model": 7}', '{"model":"deposits","prompt":"x","max_tokens":-1}'):
        problem(post(fleet, "/v1/completions", body), 400)
    problem(post(fleet, "/v1/completions", {"model": "nothing", "prompt": "x"}), 404)
    problem(post(fleet, "/v1/operations", {"service": "nothing"}), 404)
    problem(post(fleet, "/v1/nothing", {}), 404)
    for operation in ("x", "registry-1.0.1", "registry-1.99999999999999999999.1"):
        reply = CALLERS[0].run_operation(entry(fleet), operation, {})
        check(reply.status == 404, f"{operation}: {reply.status} {reply.body!r}")


def other_incarnation(fleet):
    """an id that another incarnation of an agent could have given is not run"""
    reply = CALLERS[0].run_operation(entry(fleet), "registry-1.17.1", {})
    check(reply.status != 200 and reply.json()["outcome"] in ("unknown", "not_run"), f"{reply.body!r}")


def oversized(fleet):
    """oversized bodies and headers are refused, and the entry serves on"""
    big = '{"model":"deposits","prompt":"' + "x" * (2 << 20) + '"}'
    try:
        status = post(fleet, "/v1/completions", big).status
    except OSError:
        status = 0  # closed while the body was sent
    check(status in (0, 413), f"oversized body: {status}")
    try:
        status = post(fleet, "/v1/completions", "{}", {**CALLERS[0].headers(), "X-Long": "x" * 20000}).status
    except OSError:
        status = 0
    check(status in (0, 400, 431), f"oversized header: {status}")
    check(CALLERS[0].complete(entry(fleet), "deposits", max_tokens=2).status == 200, "serves on")


def malformed_http(fleet):
    """bytes that are not HTTP get a 4xx or a closed connection, and the entry serves on"""
    host, port = entry(fleet).split(":")
    for text in (b"\x00\x01\x02\r\n\r\n", b"GET\r\n\r\n", b"POST /v1/completions HTTP/1.1\r\nContent-Length: x\r\n\r\n"):
        with socket.create_connection((host, int(port)), timeout=20) as connection:
            connection.sendall(text)
            answer = connection.recv(4096)
            check(answer == b"" or answer.split(b" ")[1].startswith(b"4"), f"{text!r}: {answer[:80]!r}")
    check(CALLERS[0].complete(entry(fleet), "deposits", max_tokens=2).status == 200, "serves on")


def limits(fleet):
    """a caller over its rate gets 429 with Retry-After and not_run, and another caller is not affected"""
    replies = [CALLERS[1].complete(entry(fleet), "ledgers", max_tokens=1) for _ in range(8)]
    refused = [r for r in replies if r.status != 200]
    check(len(refused) >= 3, f"{[r.status for r in replies]}")
    for reply in refused:
        problem(reply, 429)
        check(int(reply.headers.get("retry-after", reply.headers.get("Retry-After", "0"))) >= 1, f"{reply.headers}")
    check(CALLERS[0].complete(entry(fleet), "ledgers", max_tokens=1).status == 200, "the other caller is served")


def wrong_keys(fleet):
    """guessing keys is limited by address, and counted"""
    guess = fl.Client("guess", "wrong")
    statuses = [guess.complete(entry(fleet, 3), "deposits").status for _ in range(14)]
    check(statuses[0] == 401 and 429 in statuses, f"{statuses}")
    metrics = fl.request("GET", fleet.entries()[3].operator, "/metrics").body.decode()
    check('marigoldyard_refused_total{error_id="104"}' in metrics, "refusals are counted")


def limited_callers():
    """The second caller may ask once in 20 s, with a burst of 3."""
    return {"callers": [
        {"name": c.name, "key_sha256": fl.sha256(c.key), "highest_rank": "urgent", "weight": 1,
         "requests_per_second": rate, "burst": burst}
        for c, rate, burst in [(CALLERS[0], 0, 0), (CALLERS[1], 0.05, 3)]]}


if __name__ == "__main__":
    cases.run([directory, models, chat, bad_bodies, other_incarnation, oversized, malformed_http, limits, wrong_keys],
              limited_callers())
