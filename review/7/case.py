"""CONFIG: a refusal whose body stalls holds its request past the route's time and the deadline."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from lab2 import (CannotRun, Client, Runner, Site, answer_headers, config, now, plain_service,
                  route, run_case, send)

TIMEOUT_S = 1.5  # timeout_ms of the route
LATE_S = 0.5
DEADLINE_S = 3.0
FAILING_S = 6.5  # for_s of srv_grey
FAILED_SHARE = 0.45  # x of srv_grey
CLIENTS = 48


def main(record, trouble):
    site = Site(record, entries=2, voters=5, losses=2)
    failing = threading.Event()
    stop = threading.Event()
    results = []
    lock = threading.Lock()
    turn = [0]
    try:
        site.start()

        def handler(runner, sock, request):
            if failing.is_set() and runner is runners[0]:
                with lock:
                    turn[0] += 1
                    fails = int(turn[0] * FAILED_SHARE) > int((turn[0] - 1) * FAILED_SHARE)
                if fails:
                    # Waits in the queue, is turned away, and the refusal breaks off in its body.
                    time.sleep(1.2)
                    record(f"runner {runner.id} refuses {request['id']}, and falls silent")
                    sock.sendall((
                        "HTTP/1.1 503 Service Unavailable\r\n"
                        f"X-Request-Id: {request['id']}\r\nX-Not-Executed: 1\r\n"
                        "Content-Length: 24\r\n\r\nthe qu").encode())
                    time.sleep(30)
                    return False
            record(f"runner {runner.id} runs {request['id']}")
            time.sleep(0.085)
            send(sock, 200, answer_headers(runner, request), b"done")
            return True

        runners = [Runner(site, "chao-app", handler, zone=f"z-{'abc'[i % 3]}")
                   for i in range(8)]
        for runner in runners:
            runner.start_beats()
        first = site.put_config(config(
            3, [route("status", "mill.example", "/status/", "unsafe", "chao-app",
                      timeout=int(TIMEOUT_S * 1000))], [plain_service("chao-app")]), total=30)
        if not first or first[0] != 200:
            raise CannotRun("the first configuration was not taken")
        site.wait_ready()
        time.sleep(4)

        def client(number):
            one = Client(record, site.entries[number % 2].front)
            while not stop.is_set():
                result = one.attempt("POST", "mill.example", "/status/2f", {}, b"{}", DEADLINE_S)
                with lock:
                    results.append((result[4], result[0], result[3]))
                time.sleep(0.4)

        threads = [threading.Thread(target=client, args=(i,)) for i in range(CLIENTS)]
        for thread in threads:
            thread.start()
        time.sleep(2)
        if trouble:
            failing.set()
            record(f"{runners[0].id} fails a share {FAILED_SHARE} of its requests")
        time.sleep(FAILING_S)
        failing.clear()
        time.sleep(4)
        stop.set()
        for thread in threads:
            thread.join()

        outlast = [each for each in results if each[2] > TIMEOUT_S]
        late = [each for each in outlast if each[2] > TIMEOUT_S + LATE_S]
        never = [each for each in late if each[1] == "deadline"]
        record(f"of {len(results)} requests {len(outlast)} outlast the route's timeout_ms,"
               f" {len(late)} of them have no final answer 0.5 s after it, {len(never)} have none"
               f" when their client leaves after {DEADLINE_S} s")
        return len(late) >= 8 and len(late) > len(outlast) / 4
    finally:
        stop.set()
        site.close()


run_case(main)
