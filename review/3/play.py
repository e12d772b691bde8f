"""See claim.txt. Clients upload bodies of the largest size allowed; with trouble 2.2 times as many."""
import pathlib
import socket
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from lab import HOST, CannotRun, Lab, Runner, answer, main, refuse  # noqa: E402

USUAL_CLIENTS = 7
BURST = 2.2
BURSTS, REST_S = 3, 5.0  # as on the site's days; each client sends one request in each
BODY = b"z" * 4194304
PART, PAUSE_S = 65536, 0.015  # each client sends at about 35 Mbit/s, so no link is full
TIMEOUT_S = 3.0
JUDGED_S = TIMEOUT_S + 0.5
CONFIG = {
    "version": 7,
    "routes": [{"name": "r-lot", "host": HOST, "path_prefix": "/lot/", "kind": "unsafe",
                "timeout_ms": 3000, "target_latency_ms": 386, "priority": 2, "service": "app",
                "max_attempts": 1}],
    "services": [{"name": "app", "health_path": "/health", "max_connections": 110, "protocol": "h1",
                  "tls": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
}


class App:
    """A server of 6 slots that works 85.7 ms on a request and queues 24 more."""

    def __init__(self):
        self.slots = threading.Semaphore(6)
        self.lock = threading.Lock()
        self.inside = 0

    def serve(self, runner, request, connection):
        with self.lock:
            full = self.inside >= 30
            self.inside += 0 if full else 1
        if full:
            refuse(connection, request)
            return True
        try:
            with self.slots:
                runner.lab.record.say(f"{runner.name} runs {request.id}, {len(request.body)} bytes")
                time.sleep(0.0857)
                answer(connection, request, 200, b"x" * 800)
        finally:
            with self.lock:
                self.inside -= 1
        return True


class Client(threading.Thread):
    """Sends one request on a new connection and waits for its answer."""

    def __init__(self, lab, request_id):
        super().__init__(daemon=True)
        self.lab, self.id = lab, request_id
        self.result, self.took, self.sent = None, None, 0

    def run(self):
        began = time.monotonic()
        try:
            with socket.create_connection(self.lab.front(0), timeout=1) as connection:
                connection.settimeout(JUDGED_S + 1)
                connection.sendall(
                    (f"POST /lot/{self.id} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {self.id}\r\n"
                     f"X-Deadline-Ms: 3000\r\nContent-Length: {len(BODY)}\r\n\r\n").encode())
                view = memoryview(BODY)
                while self.sent < len(BODY):
                    self.sent += connection.send(view[self.sent:self.sent + PART])
                    time.sleep(PAUSE_S)
                got = connection.recv(65536)
                self.result = got.split(b"\r\n")[0].decode("latin-1") if got else "closed"
        except TimeoutError:
            self.result = None
        except OSError as error:
            self.result = type(error).__name__
        self.took = time.monotonic() - began
        what = self.result or "NO ANSWER"
        self.lab.record.say(f"client has {self.id}: {what} after {self.took:.2f} s, {self.sent} bytes sent")


def play(folder, trouble):
    lab = Lab(folder, cores=3, fronts=1, losses=1)
    try:
        lab.start()
        lab.configure(CONFIG)
        lab.await_ready()
        for number in range(3):
            Runner(lab, f"i-app-{number}", "app", App().serve, slots=6).register()
        time.sleep(0.5)
        clients = []
        for turn in range(BURSTS):
            time.sleep(REST_S if turn else 0)
            count = round(USUAL_CLIENTS * (BURST if trouble else 1))
            lab.record.say(f"{count} clients send {len(BODY)} bytes each")
            group = [Client(lab, f"q{turn}-{number}") for number in range(count)]
            [client.start() for client in group]
            [client.join() for client in group]
            clients += group
        late = [client for client in clients if client.took > TIMEOUT_S]
        silent = [client for client in clients if client.result is None]
        served = sum(1 for client in clients if client.result and " 200 " in client.result)
        broken = len(silent) >= 8 and len(silent) > len(late) / 4
        front = lab.entries[0]
        errors = front.log.read_text(errors="replace").count("OutOfMemoryError")
        lab.record.say(
            f"{len(clients)} requests: {served} served, {len(late)} outlast {TIMEOUT_S} s,"
            f" {len(silent)} without any answer after {JUDGED_S} s; the instance"
            f" {'runs' if front.alive() else 'has ended'}, OutOfMemoryError in its log: {errors}")
        if broken:
            lab.record.say("BROKEN (CONFIG): requests get no final answer")
        if served == 0:
            raise CannotRun("nothing was served")
        return broken
    finally:
        lab.close()


main(HERE, play)
