"""Plays a small deployment on loopback addresses: starts the project's processes with the commands
of deploy/system.toml, and stands in for the operator, the runners and the clients as PROTOCOL.md
describes them. Uses Python's standard library only."""
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
import http.client

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "ficu.example"


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path):
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def say(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} s  {text}\n")
            self.file.flush()


class CannotRun(Exception):
    """The case could not be played; it says nothing about the rule."""


def free_ports(count, hosts):
    """Ports that are free at all addresses of the deployment."""
    ports = []
    while len(ports) < count:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        try:
            for host in hosts:
                with socket.socket() as other:
                    other.bind((host, port))
            if port not in ports:
                ports.append(port)
        except OSError:
            continue
    return ports


class Process:
    """One process of the project on one machine."""

    def __init__(self, lab, name, role, ip):
        self.lab, self.name, self.role, self.ip = lab, name, role, ip
        self.data = lab.folder / f"data-{name}"
        self.log = lab.folder / f"log-{name}.txt"
        self.boot = lab.folder / f"boot-{name}.json"
        self.popen = None

    def settings(self, first):
        lab = self.lab
        cluster, control, front, ready, tunnels = lab.ports
        out = {
            "instance": self.name,
            "zone": "a",
            "cluster": f"{self.ip}:{cluster}",
            "seeds": [f"{ip}:{control}" for ip in lab.core_ips[:3]],
        }
        if self.role == "entry":
            out["entry"] = {
                "callers": f"{self.ip}:{front}",
                "ready": f"{self.ip}:{ready}",
                "tunnels": f"{self.ip}:{tunnels}",
            }
            out["unreadResponses"] = {"callerBytes": 1048576, "totalBytes": 16777216}
        else:
            out["voter"] = {
                "operators": f"{self.ip}:{control}",
                "dataFolder": str(self.data),
                "firstStart": first,
                "lossesBorne": lab.losses,
                "engines": {"leaseMillis": 3000, "heartbeatMillis": 1200},
            }
        out["retries"] = {"ratio": 0.2, "windowSeconds": 10, "slack": 56}
        out["sharedState"] = {"entriesPerSlot": 4}
        out["stopSeconds"] = 8
        out["log"] = {"format": "json", "level": "INFO"}
        return out

    def start(self, first=False):
        self.data.mkdir(exist_ok=True)
        self.boot.write_text(json.dumps(self.settings(first)))
        env = {k: os.environ[k] for k in ("PATH", "HOME", "JAVA_HOME", "LANG") if k in os.environ}
        env["ORCHIDMOUNT_BOOT"] = str(self.boot)
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(
                self.lab.roles[self.role]["run"].split(),
                cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.lab.record.say(f"{self.name} starts at {self.ip}, process {self.popen.pid}")

    def alive(self):
        return self.popen is not None and self.popen.poll() is None

    def send(self, number):
        self.lab.record.say(f"{self.name} gets {signal.Signals(number).name}")
        self.popen.send_signal(number)

    def kill(self):
        if self.alive():
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
        if self.popen is not None:
            self.popen.wait()


class Lab:
    def __init__(self, folder, cores=3, fronts=2, losses=1):
        self.record = Record(folder / "record.txt")
        self.temp = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self.temp.name)
        self.losses = losses
        low = 10 + os.getpid() % 200
        self.core_ips = [f"127.77.{low}.{i + 1}" for i in range(cores)]
        self.front_ips = [f"127.77.{low}.{i + 101}" for i in range(fronts)]
        self.ports = free_ports(5, self.core_ips + self.front_ips)
        with open(ROOT / "deploy/system.toml", "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.voters = [Process(self, f"core-{i + 1}", "voter", ip) for i, ip in enumerate(self.core_ips)]
        self.entries = [Process(self, f"front-{i + 1}", "entry", ip) for i, ip in enumerate(self.front_ips)]
        self.runners = []

    def start(self):
        for process in self.voters + self.entries:
            process.start(first=process.role == "voter")

    def close(self):
        for runner in self.runners:
            runner.stop()
        for process in self.voters + self.entries:
            process.kill()
        self.temp.cleanup()

    # ---- the operator

    def control(self, method, path, body=None, voters=None, timeout=2.0):
        """One call as the operator and the runners make it: the next machine after a failure."""
        data = None if body is None else json.dumps(body).encode()
        last = None
        for voter in voters or self.voters:
            address, port, target = voter.ip, self.ports[1], path
            for _ in range(3):
                try:
                    connection = http.client.HTTPConnection(address, port, timeout=timeout)
                    connection.request(method, target, data, {"Content-Type": "application/json"})
                    answer = connection.getresponse()
                    got = answer.read()
                    connection.close()
                except (OSError, http.client.HTTPException) as error:
                    last = (None, str(error))
                    break
                last = (answer.status, got.decode(errors="replace"))
                if answer.status != 307:
                    break
                place = answer.getheader("Location").removeprefix("http://")
                where, _, rest = place.partition("/")
                address, _, number = where.partition(":")
                port, target = int(number), "/" + rest
            if last[0] is not None and last[0] < 500 and last[0] != 307:
                return last
        return last

    def configure(self, config, within=20):
        until = time.monotonic() + within
        while time.monotonic() < until:
            status, text = self.control("PUT", "/config", config)
            if status == 200:
                self.record.say(f"configuration {config['version']} acknowledged")
                return
            if status is not None and 400 <= status < 500:
                raise CannotRun(f"configuration refused: {status} {text}")
            time.sleep(0.1)
        raise CannotRun(f"configuration not acknowledged: {status} {text}")

    def await_ready(self, entries=None, within=20):
        until = time.monotonic() + within
        for entry in entries or self.entries:
            while True:
                try:
                    connection = http.client.HTTPConnection(entry.ip, self.ports[3], timeout=1)
                    connection.request("GET", "/ready")
                    if connection.getresponse().status == 200:
                        break
                except (OSError, http.client.HTTPException):
                    pass
                if time.monotonic() > until:
                    raise CannotRun(f"{entry.name} is not ready: {self.tail(entry)}")
                time.sleep(0.05)
            self.record.say(f"{entry.name} is ready")

    def tail(self, process):
        return process.log.read_text(errors="replace")[-600:]

    def front(self, index=0):
        return self.entries[index].ip, self.ports[2]


class Runner:
    """A server that runs requests: registers itself, and answers as its handler says."""

    def __init__(self, lab, name, service, handler, stage=None, slots=64):
        self.lab, self.name, self.service, self.stage, self.slots = lab, name, service, stage, slots
        self.handler = handler
        self.sequence = 0
        self.stopped = threading.Event()
        self.dark = threading.Event()
        self.leaving = threading.Event()
        self.fillers = []
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port = self.socket.getsockname()[1]
        lab.runners.append(self)
        threading.Thread(target=self.accept, daemon=True).start()

    def register(self):
        """Sends the first heartbeat and goes on sending them."""
        until = time.monotonic() + 10
        while not self.beat():
            if time.monotonic() > until:
                raise CannotRun(f"heartbeat of {self.name} not acknowledged")
            time.sleep(0.1)
        self.lab.record.say(f"runner {self.name} of {self.service} registered at port {self.port}")
        threading.Thread(target=self.beats, daemon=True).start()

    def beats(self):
        while not self.stopped.wait(1.2):
            if self.leaving.is_set():
                return
            if not self.dark.is_set():
                self.beat()

    def beat(self, state="ready"):
        self.sequence += 1
        body = {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "a",
                "version": "v1", "slots": self.slots, "state": state, "cold_left_ms": 0,
                "sequence": self.sequence}
        if self.stage:
            body["stage"] = self.stage
            body["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return self.lab.control("PUT", f"/instances/{self.name}", body, timeout=1.0)[0] == 200

    def stop(self):
        self.stopped.set()
        try:
            self.socket.close()
        except OSError:
            pass

    def go_dark(self):
        """From now on it says nothing: kept connections are silent, new ones hang."""
        self.dark.set()
        time.sleep(0.2)  # the accepting thread has seen it
        self.socket.listen(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.fillers.append(filler)

    def go_light(self):
        [filler.close() for filler in self.fillers]
        self.socket.listen(256)
        self.dark.clear()

    def accept(self):
        self.socket.settimeout(0.1)
        while not self.stopped.is_set():
            if self.dark.is_set():
                time.sleep(0.05)
                continue
            try:
                connection, _ = self.socket.accept()
            except TimeoutError:
                continue
            except OSError:
                return
            connection.settimeout(None)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        reader = connection.makefile("rb")
        try:
            while True:
                request = read_request(reader)
                if request is None or self.silent():
                    return
                if self.handler(self, request, connection) is False or self.silent():
                    return
        except OSError:
            pass
        finally:
            reader.close()
            connection.close()


    def silent(self):
        """Waits until a server that is dark is back; its connections have then ended."""
        was_dark = self.dark.is_set()
        while self.dark.is_set() and not self.stopped.wait(0.05):
            pass
        return was_dark


class Request:
    def __init__(self, method, path, headers, body):
        self.method, self.path, self.headers, self.body = method, path, headers, body

    @property
    def id(self):
        return self.headers.get("x-request-id")


def read_head(reader):
    line = reader.readline()
    if not line:
        return None, {}
    headers = {}
    while True:
        field = reader.readline()
        if field in (b"\r\n", b"\n"):
            return line.decode("latin-1").strip(), headers
        if not field:
            raise OSError("the head ended early")
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


def read_request(reader):
    line, headers = read_head(reader)
    if line is None:
        return None
    method, path, _ = line.split(" ")
    length = int(headers.get("content-length", 0))
    body = reader.read(length) if length else b""
    if len(body) < length:
        raise OSError("the body ended early")
    return Request(method, path, headers, body)


def answer(connection, request, status, body, extra=(), reason="OK"):
    """A whole answer of a runner, signed."""
    lines = [f"HTTP/1.1 {status} {reason}", f"X-Request-Id: {request.id}",
             f"X-Runner-Signature: s.{request.id}", f"Content-Length: {len(body)}", *extra, "", ""]
    connection.sendall("\r\n".join(lines).encode() + body)


def refuse(connection, request):
    """A runner turns a request away."""
    connection.sendall((f"HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: {request.id}\r\n"
                        "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n").encode())


def reset(connection):
    """Breaks a connection off, as a process does that crashes."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")


def main(folder, play):
    """Plays a case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE") != "0"
    try:
        broken = play(pathlib.Path(folder), trouble)
    except CannotRun as error:
        print(f"cannot run: {error}", file=sys.stderr)
        sys.exit(2)
    except Exception:
        traceback.print_exc()
        sys.exit(2)
    sys.stdout.flush()
    sys.exit(1 if broken else 0)
