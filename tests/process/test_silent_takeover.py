"""A server that is to take over a stream from a silent one, and does not."""
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform_fleet as pf  # noqa: E402  the path is set above
from platform_fleet import call, check  # noqa: E402
from test_silent_servers import EVENTS, PAUSE_S, event_ids, pausing_stream  # noqa: E402


def pause_or(server, end):
    """Pauses a stream that begins, and ends one that continues."""
    def run(request):
        if "Last-Event-Id" in request.headers:
            return end(request)
        return pausing_stream(server, 3, PAUSE_S)(request)
    return run


# Guards against a stream that is given up, while its sound server pauses, before another server has begun with it.
def case_other_server_refuses(fleet):
    """a stream whose server pauses is not cut when the server that was to take it over refuses"""
    for server in fleet.engines:
        server.behaviours = [pause_or(server, server.shed)] * 2
    answer = call(fleet.gateways[0], "/stream/1", "POST", b"p")
    check(answer.whole and event_ids(answer) == list(range(1, EVENTS + 1)),
          f"whole: {answer.whole}, events {event_ids(answer)}, arrivals {[len(s.seen) for s in fleet.engines]}")


CASES = [case_other_server_refuses]

if __name__ == "__main__":
    pf.run_cases(CASES)
