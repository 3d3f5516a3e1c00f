"""Stream events with one wrong byte. A fleet of its own, since other cases use up the retry budget."""
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_fleet as pf  # noqa: E402  the path is set above
from platform_fleet import call, check, forget  # noqa: E402
from test_server_faults import event_ids, events, first_only, head_lines, use_routes  # noqa: E402


# Guards against an event whose id or end was garbled: it was forwarded, and came again from the server that continued the
# stream, which ended as complete.
def case_garbled_event(fleet):
    """no event of a stream comes twice or is lost when one wrong byte breaks an event"""
    routes = [pf.route("r-stream", "a.example", "/stream/", "streaming", "engines", resume_streams=True, target_gap_ms=300),
              pf.route("r-single", "a.example", "/single/", "streaming", "engines", target_gap_ms=300)]
    use_routes(fleet, routes)
    last = 3
    for _ in range(4):  # until each gateway knows with which id the streams begin
        check(event_ids(call(fleet.gateways[0], "/stream/1", "POST", b"p")) == [1, 2, 3], "a sound stream")
    for number in (1, 2, 3):
        for name, right, wrong in (("the name of the id", b"id: ", b"hd: "), ("its colon", b"id: ", b"id* "),
                                   ("its value", b"id: ", b"id: x"), ("a digit", b"id: ", b"id: 1"),
                                   ("the name of the data", b"data", b"daua"),
                                   ("the end of the id", b"\ndata", b"*data"), ("the end of the data", b"\n\n", b"*\n"),
                                   ("the end of the event", b"\n\n", b"\n*")):
            def garbled(server, request, number=number, right=right, wrong=wrong):
                sound = [events(server, [n]) for n in range(1, last + 1)]
                sound[number - 1] = sound[number - 1].replace(right, wrong)
                text = b"".join(sound)
                request.connection.sendall(
                    head_lines(server, request, more=["Content-Type: text/event-stream", f"Content-Length: {len(text)}"])
                    + b"\r\n" + text)
            for path, resumable in (("/stream/1", True), ("/single/1", False)):
                forget(fleet)
                first_only(fleet.engines, garbled)
                answer = call(fleet.gateways[0], path, "POST", b"p")
                what = f"{path}, {name} of event {number}"
                if number == 1 and not resumable:
                    check(answer.status == 502, f"{what}: status {answer.status}")
                    continue
                expected = list(range(1, last + 1)) if resumable else list(range(1, number))
                check(event_ids(answer) == expected, f"{what}: events {event_ids(answer)}, {answer.body!r}")
                pieces = [line.rpartition("-")[2] for line in answer.body.decode().splitlines() if line.startswith("data: ")]
                check(pieces == [str(n) for n in expected], f"{what}: pieces {pieces}")
                check(answer.whole == resumable, f"{what}: looks {'whole' if answer.whole else 'broken off'}")


if __name__ == "__main__":
    pf.run_cases([case_garbled_event])
