"""A server starts again under its id at another address and ends; its first address goes to another server."""
import http.client
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import casefleet as cf  # noqa: E402  the path is set above
from casefleet import pf  # noqa: E402

REUSE_AFTER_S = 2  # bounds of casa-povrat
HEARTBEAT_S = 1.2
STORE_S = 1.5  # a change of the store is known to the gateways
REQUEST_S = 0.8
CALLERS = 6  # at each gateway; more than the three requests that LOST allows


def slow(server):
    def behave(request):
        time.sleep(REQUEST_S)
        server.plain(request)
    return behave


def keep_calling(gateway, record, results, end):
    """A client that sends one request after the other on a kept connection."""
    connection = http.client.HTTPConnection(gateway.ip, pf.CALLER_PORT, timeout=10)
    while not end.is_set():
        request_id = f"id-{next(pf.NUMBER)}"
        try:
            connection.request("GET", "/read/1", None, {
                "Host": "a.example", "Attempt-Id": request_id, "Deadline-Ms": "3000", "Authorization": "Bearer key-1"})
            response = connection.getresponse()
            response.read()
            results.append((gateway.ip, request_id, response.status))
            record.write(f"{gateway.ip} {request_id} answered {response.status}")
        except (OSError, http.client.HTTPException) as error:
            results.append((gateway.ip, request_id, None))
            record.write(f"{gateway.ip} {request_id} no answer: {error!r}")
            return


def case(fleet, record):
    moved, sound = fleet.plain
    first = moved.address
    record.write(f"server {moved.id} at {first} crashes")
    moved.server.shutdown()
    moved.server.server_close()
    fleet.standins.remove(moved)
    time.sleep(HEARTBEAT_S)

    # Its entry has not lapsed. With the disruption it comes back elsewhere, without it at the same address.
    host = 15 if cf.TROUBLE else 10
    again = fleet.keep(pf.Backend(fleet.store, moved.id, host, "plain"))
    record.write(f"server {again.id} started again at {again.address}")
    time.sleep(STORE_S)
    assert any(pf.call(fleet.gateways[0], "/read/1").body == b"answer of " + again.id.encode() for _ in range(30))

    record.write(f"server {again.id} is drained, ends and its entry is removed")
    again.register("draining")
    time.sleep(2 + STORE_S)
    fleet.store.remove("servers/" + again.id)
    again.close()
    fleet.standins.remove(again)
    time.sleep(REUSE_AFTER_S)

    sound.behaviours = [slow(sound)] * 1000
    results, end = [], threading.Event()
    callers = [threading.Thread(target=keep_calling, args=(gateway, record, results, end))
               for gateway in fleet.gateways for _ in range(CALLERS)]
    for caller in callers:
        caller.start()
    time.sleep(1.5)
    record.write(f"a server of another service starts at {first}")
    fleet.keep(pf.Backend(fleet.store, "i-engine-9", 10, "engines", {"m": 1}))
    time.sleep(3)
    end.set()
    for caller in callers:
        caller.join()

    breaches = []
    run_ids = {head["Attempt-Id"] for _, _, head, _ in sound.seen}
    for gateway in fleet.gateways:
        status = gateway.process.poll()
        if status is not None:
            record.write(f"gateway {gateway.ip} ended by itself with status {status}: {gateway.log_text()[-110:]!r}")
        lost = [request for ip, request, answer in results if ip == gateway.ip and answer is None and request in run_ids]
        record.write(f"gateway {gateway.ip}: {len(lost)} requests run by the sound server and never answered")
        if len(lost) > 3:
            breaches.append(f"LOST: {gateway.ip} closed {len(lost)} kept connections with a request at a sound server")
    return breaches


cf.run(case, plain=2, gateways=2)
