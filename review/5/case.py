"""DRAIN: an acknowledged departure is forgotten when many processes are killed at once."""
import json
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from lab2 import (CannotRun, Client, Runner, Site, answer_headers, config, now, plain_service,
                  route, run_case, send)

CONTACT_S = 3.0  # contact_ms of the site
DRAIN_S = 2.0  # drain_ms of the site
DOWN_S = 0.5  # processes of the core return within a second
BEAT_LATE_S = 2.5  # a heartbeat may arrive seconds late
SERVES_ON_S = 12.0  # drain_ms and somewhat longer, at times many seconds


def main(record, trouble):
    site = Site(record, entries=4, voters=5, losses=2)
    arrivals = []
    sent = {}
    stop = threading.Event()
    try:
        site.start()

        def handler(runner, sock, request):
            arrivals.append((now(), runner.id, request["id"]))
            record(f"runner {runner.id} runs {request['id']}")
            time.sleep(0.08)
            send(sock, 200, answer_headers(runner, request), b"done")

        runners = [Runner(site, "chao-app", handler, zone=f"z-{'abc'[i % 3]}").start_beats()
                   for i in range(4)]
        first = site.put_config(config(
            3, [route("status", "mill.example", "/status/", "unsafe", "chao-app")],
            [plain_service("chao-app")]), total=30)
        if not first or first[0] != 200:
            raise CannotRun("the first configuration was not taken")
        site.wait_ready()
        time.sleep(CONTACT_S + 1)

        def client(number):
            entry = site.entries[number % len(site.entries)]
            one = Client(record, entry.front)
            while not stop.is_set():
                start = now()
                result = one.attempt("POST", "mill.example", "/status/2f", {}, b"{}", 3.0)
                sent[result[4]] = (start, entry.name)
                time.sleep(0.15)

        threads = [threading.Thread(target=client, args=(i,)) for i in range(16)]
        for thread in threads:
            thread.start()
        time.sleep(2)

        # The runner leaves without "draining": DELETE first, then it serves on for a while. Its
        # last heartbeat, sent just before, is still on its way.
        leaving = runners[0]
        leaving.beating = False
        late_beat = json.dumps(leaving.registration()).encode()
        record(f"runner {leaving.id} sends its last heartbeat (ready), which is held up")
        answer = leaving.delete()
        if not answer or answer[0] != 200:
            raise CannotRun(f"DELETE was not acknowledged: {answer}")
        acknowledged = leaving.acked["gone"]
        record(f"DELETE /instances/{leaving.id} is acknowledged")

        back = acknowledged
        if trouble:
            killed = site.voters + site.entries[:2]
            for node in killed:
                node.signal(signal.SIGKILL)
            record("killed at once: " + ", ".join(node.name for node in killed))
            time.sleep(DOWN_S)
            for node in killed:
                node.proc.wait()
                node.start()
            back = now()
            record("started again")
        time.sleep(max(0, acknowledged + BEAT_LATE_S - now()))
        answer = site.call("PUT", f"/instances/{leaving.id}", late_beat, total=5)
        record(f"the late heartbeat of {leaving.id} arrives -> {answer and answer[0]}")
        time.sleep(max(0, acknowledged + SERVES_ON_S - now()))
        stop.set()
        for thread in threads:
            thread.join()

        # Twice contact_ms, as after a final fault; contact_ms would do.
        from_then = max(acknowledged + DRAIN_S, back + 2 * CONTACT_S)
        late = [(at, request) for at, runner, request in arrivals
                if runner == leaving.id and at > from_then
                and sent.get(request, (0, ""))[0] > from_then]
        for at, request in late:
            record(f"{request} reached {leaving.id} {at - acknowledged:.2f} s after the"
                   f" acknowledgement of its departure, through {sent[request][1]}, which has run"
                   f" for {at - back:.2f} s")
        record(f"{len(late)} requests reached the runner later than drain_ms after the"
               f" acknowledgement, sent on by machines that were in touch")
        return bool(late)
    finally:
        stop.set()
        site.close()


run_case(main)
