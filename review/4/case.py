"""Servers garble a few of their streams: one wrong bit in the name of an event's id. The caller must get each piece once."""
import collections
import os
import re
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from deployment import BROKEN, HELD, TROUBLE, Fleet, pf, run  # noqa: E402
from engines import ZONES, Engine, configuration  # noqa: E402

REQUESTS, PIECES, CALLERS = 600, 21, 6
GARBLED_EACH = 50  # one of so many streams of a server that garbles, a share of 0.02
GARBLING_SERVERS = 3  # of six, a share of 0.5
PAUSE_S = 0.005


class GarblingEngine(Engine):
    """A model server that flips one bit in every fiftieth stream: "id" of one event becomes "hd"."""
    record, garbles = None, False

    def __init__(self, *arguments):
        self.streams, self.garbled = 0, 0
        super().__init__(*arguments)

    def stream(self, *_):
        return self.write_stream

    def write_stream(self, request):
        self.streams += 1
        garbled = self.garbles and self.streams % GARBLED_EACH == 0
        self.garbled += garbled
        first = int(request.headers.get("Last-Event-Id", 0)) + 1
        wrong = (first + PIECES) // 2 if garbled else None
        self.record.write(f"{self.id} runs {request.headers['Attempt-Id']} from piece {first}"
                          + (f", garbles the id of piece {wrong}" if garbled else ""))
        request.send_response(200)
        for name, value in self.headers(request).items():
            request.send_header(name, value)
        request.send_header("Content-Type", "text/event-stream")
        request.send_header("Transfer-Encoding", "chunked")
        request.end_headers()
        for number in range(first, PIECES + 1):
            event = bytearray(f"id: {number}\ndata: {self.id} piece {number}\n\n".encode())
            if number == wrong:
                event[0] ^= 0x01
            request.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(PAUSE_S)
        request.wfile.write(b"0\r\n\r\n")


def play(record):
    fleet = Fleet(record, ZONES, (40, 41))
    try:
        zones = list(ZONES)
        GarblingEngine.record = record
        engines = [fleet.server(f"i-scribe-{n}", 20 + n, "engines", zones[n % 3], {"m": 1}, GarblingEngine)
                   for n in range(6)]
        for engine in engines[:GARBLING_SERVERS]:
            engine.garbles = TROUBLE
        fleet.store.put("op/config", configuration(1, fleet.origin))
        gateways = [fleet.gateway(40 + n, zones[n]) for n in range(2)]
        fleet.wait_ready(gateways)
        time.sleep(3)
        record.say(f"the gateways are ready; {REQUESTS} streams of {PIECES} pieces follow")
        wrong, results, lock = [], collections.Counter(), threading.Lock()

        def send(numbers):
            for number in numbers:
                answer = pf.call(gateways[number % 2], "/stream/1", "POST", b"prompt",
                                 headers={"Attempt-Id": f"stream-{number}"})
                pieces = [int(piece) for piece in re.findall(rb"data: \S+ piece (\d+)", answer.body)]
                twice = [piece for piece, count in collections.Counter(pieces).items() if count > 1]
                missing = sorted(set(range(1, PIECES + 1)) - set(pieces)) if answer.whole else []
                served = answer.status == 200 and answer.whole
                if answer.status == 200 and (twice or missing):
                    servers = sorted(set(re.findall(r"data: (\S+) piece", answer.body.decode())))
                    record.write(f"stream-{number}: {'complete' if served else 'broken off'}, pieces twice {twice}, "
                                 f"missing {missing}, from {servers}")
                with lock:
                    results["complete" if served else f"status {answer.status}"] += 1
                    if answer.status == 200 and (twice or missing):
                        wrong.append(number)
        threads = [threading.Thread(target=send, args=(range(first, REQUESTS, CALLERS),)) for first in range(CALLERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        record.say(f"{sum(e.streams for e in engines)} streams of servers, {sum(e.garbled for e in engines)} with a wrong "
                   f"bit; answers: {dict(results)}; {len(wrong)} callers got a piece twice or not at all")
        return BROKEN if wrong else HELD
    finally:
        fleet.close()


run(os.path.dirname(os.path.abspath(__file__)), play)
