"""Stand-ins and helpers of the review's scripts: a small deployment on loopback addresses.

Starts voters and entries with the commands of deploy/system.toml, and plays the operator, the
runners and the clients in this process, as the users' pages describe them.
"""
import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
T0 = time.monotonic()


def now():
    return time.monotonic() - T0


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{now():9.3f} {text}\n")
            self.file.flush()


USED = set()


def free_port():
    while True:
        with socket.socket() as s:
            s.bind(("127.0.0.1", 0))
            port = s.getsockname()[1]
        if port not in USED:
            USED.add(port)
            return port


class Node:
    def __init__(self, site, name, role, zone, first, seeds, ip):
        self.site, self.name, self.role, self.zone, self.ip = site, name, role, zone, ip
        self.folder = os.path.join(site.tmp, name)
        os.makedirs(self.folder, exist_ok=True)
        self.data = os.path.join(self.folder, "data")
        self.proc = None
        self.control = f"{ip}:{site.control_port}"
        self.front = f"{ip}:{site.front_port}"
        self.ready = f"{ip}:{site.ready_port}"
        self.seeds = seeds
        self.first = first

    def settings(self):
        fields = {
            "node_name": self.name, "zone": self.zone, "ip": self.ip, "seed_addrs": self.seeds,
            "port_range": [self.site.cluster_port, self.site.tunnel_port],
            "bootstrap": self.first, "heartbeat_ms": 1200,
            "fault_tolerance": {"machines": self.site.losses},
            "bounds": self.site.bounds, "data_dir": self.data,
            "listen": {"control": self.control} if self.role == "voter"
            else {"front": self.front, "ready": self.ready},
        }
        with open(os.path.join(ROOT, "deploy/settings.json.tmpl"), encoding="utf-8") as f:
            return render(f.read(), fields)

    def start(self):
        path = os.path.join(self.folder, "settings.json")
        with open(path, "w", encoding="utf-8") as f:
            f.write(self.settings())
        command = self.site.commands[self.role].split(" ")
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["ORCHIDMOUNT_BOOT"] = path
        log = open(os.path.join(self.folder, "log"), "ab")
        self.proc = subprocess.Popen(command, cwd=ROOT, env=env, stdout=log, stderr=log,
                                     stdin=subprocess.DEVNULL)
        log.close()
        self.first = False

    def signal(self, sig):
        if self.proc and self.proc.poll() is None:
            self.proc.send_signal(sig)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.proc.wait()

    def log(self):
        with open(os.path.join(self.folder, "log"), encoding="utf-8", errors="replace") as f:
            return f.read()


def lookup(fields, path):
    value = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def render(text, fields):
    """Fills the template of the settings: the forms of DEPLOY.md that it uses."""
    def section(match):
        return match.group(2) if lookup(fields, match.group(1)) not in (None, False) else ""
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)

    def gap(match):
        value = lookup(fields, match.group(1))
        if match.group(2):
            return json.dumps(value)
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return str(value)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", gap, text)


class Site:
    """Voters and entries, each on a loopback address of its own, with the same ports."""

    def __init__(self, record, entries=2, voters=5, losses=2, zones=("z-a", "z-b", "z-c"),
                 bounds=None):
        self.record = record
        self.tmp = tempfile.mkdtemp(prefix="review-")
        self.losses = losses
        self.bounds = {"lease_ms": 3000, "retry_budget_ratio": 0.2, "budget_window_s": 10,
                       "budget_slack": 56, "grace_s": 8}
        self.bounds.update(bounds or {})
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as f:
            roles = tomllib.load(f)["roles"]
        self.commands = {name: role["run"] for name, role in roles.items()}
        self.control_port, self.front_port, self.ready_port = free_port(), free_port(), free_port()
        self.cluster_port, self.tunnel_port = free_port(), free_port()
        net = 1 + os.getpid() % 250
        ips = [f"127.{net}.{1 + i % 3}.{10 + i}" for i in range(voters)]
        seeds = [f"{ip}:{self.control_port}" for ip in ips[:3]]
        self.voters = [Node(self, f"core-{i}", "voter", zones[i % 3], True, seeds, ip)
                       for i, ip in enumerate(ips)]
        self.entries = [Node(self, f"front-{i}", "entry", zones[i % 3], True, seeds,
                             f"127.{net}.{1 + i % 3}.{100 + i}") for i in range(entries)]
        self.runners = []

    def start(self):
        for node in self.voters + self.entries:
            node.start()

    def close(self):
        for node in self.voters + self.entries:
            if node.proc and node.proc.poll() is None:
                node.proc.kill()
        for node in self.voters + self.entries:
            if node.proc:
                node.proc.wait()
        for runner in self.runners:
            runner.stop_all()
        shutil.rmtree(self.tmp, ignore_errors=True)

    # ---- the operator

    def call(self, method, path, body=None, nodes=None, timeout=1.0, total=20.0):
        """Calls control as PROTOCOL.md says: follows 307 twice, goes on to another node."""
        nodes = [n for n in (nodes or self.voters)]
        end = time.monotonic() + total
        i = 0
        last = None
        while time.monotonic() < end:
            address = nodes[i % len(nodes)].control
            i += 1
            for _ in range(3):
                last = http_call(address, method, path, body, timeout)
                if last and last[0] == 307:
                    m = re.match(r"http://([^/]+)", last[1].get("location", ""))
                    address = m.group(1)
                    continue
                break
            if last and last[0] < 500 and last[0] not in (307, 408, 429):
                return last
            time.sleep(min(0.1 * i, 0.5))
        return last

    def put_config(self, config, **kw):
        answer = self.call("PUT", "/config", json.dumps(config).encode(), **kw)
        self.record(f"operator PUT /config version {config['version']} -> "
                    f"{answer and answer[0]}")
        return answer

    def wait_ready(self, total=30.0):
        end = time.monotonic() + total
        for node in self.entries:
            while True:
                answer = http_call(node.ready, "GET", "/ready", None, 1.0)
                if answer and answer[0] == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRun(f"{node.name} is not ready")
                time.sleep(0.1)


class CannotRun(Exception):
    pass


def http_call(address, method, path, body, timeout):
    """One call; returns (status, headers in lower case, body), or None without an answer."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        headers = {"Content-Type": "application/json"} if body is not None else {}
        connection.request(method, path, body=body, headers=headers)
        response = connection.getresponse()
        data = response.read()
        return response.status, {k.lower(): v for k, v in response.getheaders()}, data
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def config(version, routes, services, limits=None):
    return {"version": version, "routes": routes, "services": services,
            "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                                 "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def plain_service(name, connections=110):
    return {"name": name, "health_path": "/health", "max_connections": connections,
            "protocol": "h1", "tls": False}


def route(name, host, prefix, kind, service, timeout=1500, target=386, attempts=1, priority=2,
          **more):
    return dict({"name": name, "host": host, "path_prefix": prefix, "kind": kind,
                 "timeout_ms": timeout, "target_latency_ms": target, "priority": priority,
                 "service": service, "max_attempts": attempts}, **more)


class Buffered:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock):
        self.sock, self.data = sock, b""

    def more(self):
        part = self.sock.recv(1 << 20)
        if not part:
            return False
        self.data += part
        return True

    def head(self):
        while b"\r\n\r\n" not in self.data:
            if not self.more():
                return None
        head, self.data = self.data.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers.setdefault(name.strip().lower(), value.strip())
        return lines[0], headers

    def exactly(self, n):
        parts, size = [self.data], len(self.data)
        while size < n:
            part = self.sock.recv(1 << 20)
            if not part:
                return None
            parts.append(part)
            size += len(part)
        data = b"".join(parts)
        part, self.data = data[:n], data[n:]
        return part

    def line(self):
        while b"\r\n" not in self.data:
            if not self.more():
                return None
        part, self.data = self.data.split(b"\r\n", 1)
        return part

    def body(self, headers):
        if "chunked" in headers.get("transfer-encoding", "").lower():
            body = b""
            while True:
                size = self.line()
                if size is None:
                    return None
                size = int(size.split(b";")[0], 16)
                if size == 0:
                    while True:
                        trailer = self.line()
                        if trailer is None:
                            return None
                        if not trailer:
                            return body
                part = self.exactly(size)
                if part is None or self.exactly(2) is None:
                    return None
                body += part
        return self.exactly(int(headers.get("content-length", "0")))


class Runner:
    """A runner of a plain service: registers, beats, and hands each request to a handler.

    The handler gets (runner, sock, request) and answers on the socket; it returns False to have
    the connection closed.
    """

    SERIAL = [0]

    def __init__(self, site, service, handler, zone="z-a", slots=6, ip="127.0.0.1", port=None,
                 beat=1.2, extra=None, targets=None):
        Runner.SERIAL[0] += 1
        self.site, self.service, self.handler, self.zone = site, service, handler, zone
        self.slots, self.beat, self.extra = slots, beat, extra or {}
        self.id = f"i-{os.getpid():x}{Runner.SERIAL[0]:04x}"
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((ip, port or 0))
        self.listener.listen(256)
        self.address = "%s:%d" % self.listener.getsockname()
        self.sequence = 0
        self.state = "ready"
        self.alive = True
        self.beating = True
        self.socks = set()
        self.lock = threading.Lock()
        self.acked = {}
        self.targets = targets
        site.runners.append(self)
        threading.Thread(target=self.accept, daemon=True).start()

    def registration(self):
        self.sequence += 1
        return dict({"service": self.service, "address": self.address, "zone": self.zone,
                     "version": "v1", "slots": self.slots, "state": self.state,
                     "cold_left_ms": 0, "sequence": self.sequence}, **self.extra)

    def register(self, nodes=None, total=10.0):
        answer = self.site.call("PUT", f"/instances/{self.id}",
                                json.dumps(self.registration()).encode(), nodes=nodes, total=total)
        if answer and answer[0] == 200:
            self.acked.setdefault(self.state, now())
        return answer

    def start_beats(self):
        def run():
            k = 0
            while self.alive and self.beating:
                nodes = self.targets or self.site.voters
                k += 1
                self.register(nodes=nodes[k % len(nodes):] + nodes[:k % len(nodes)], total=2.0)
                time.sleep(self.beat)
        threading.Thread(target=run, daemon=True).start()
        return self

    def delete(self, nodes=None):
        answer = self.site.call("DELETE", f"/instances/{self.id}", nodes=nodes)
        if answer and answer[0] == 200:
            self.acked["gone"] = now()
        return answer

    def accept(self):
        while self.alive:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            with self.lock:
                self.socks.add(sock)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = Buffered(sock)
        try:
            while self.alive:
                head = reader.head()
                if head is None:
                    return
                line, headers = head
                body = reader.body(headers)
                if body is None:
                    return
                method, path, _ = line.split(" ", 2)
                request = {"method": method, "path": path, "headers": headers, "body": body,
                           "id": headers.get("x-request-id"), "reader": reader}
                target = headers.get("x-target-instance")
                if target and target != self.id:
                    send(sock, 421, {"X-Request-Id": request["id"] or "",
                                     "X-Instance-Id": self.id}, b"misdirected")
                    continue
                if self.handler(self, sock, request) is False:
                    return
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.socks.discard(sock)
            sock.close()

    def crash(self):
        """The process ends at once: no more is accepted, its connections are reset."""
        self.alive = False
        try:
            self.listener.shutdown(socket.SHUT_RDWR)  # wakes the thread that accepts
        except OSError:
            pass
        self.listener.close()
        with self.lock:
            socks = list(self.socks)
        for sock in socks:
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                sock.shutdown(socket.SHUT_RD)
            except OSError:
                pass
            sock.close()

    stop_all = crash


def send(sock, status, headers, body):
    head = f"HTTP/1.1 {status} X\r\n"
    head += "".join(f"{k}: {v}\r\n" for k, v in headers.items())
    head += f"Content-Length: {len(body)}\r\n\r\n"
    sock.sendall(head.encode() + body)


def answer_headers(runner, request):
    return {"X-Request-Id": request["id"], "X-Runner-Signature": f"{runner.id}.{request['id']}",
            "Keep-Alive": "timeout=10"}


class Client:
    """One client attempt at a time; returns (status, headers, body, seconds) or (reason, ...)."""

    SERIAL = [0]

    def __init__(self, record, address):
        self.record, self.address = record, address
        self.sock = None

    def attempt(self, method, host, path, headers=None, body=b"", deadline=3.0, keep=True,
                raw=None, request_id=None):
        Client.SERIAL[0] += 1
        rid = request_id or f"{os.getpid() & 0xffff:04x}{Client.SERIAL[0]:012x}"
        start = time.monotonic()
        end = start + deadline
        fields = {"Host": host, "X-Request-Id": rid, "X-Deadline-Ms": str(int(deadline * 1000))}
        fields.update(headers or {})
        if body or method in ("POST", "PUT"):
            fields.setdefault("Content-Length", str(len(body)))
        data = raw or (f"{method} {path} HTTP/1.1\r\n" + "".join(
            f"{k}: {v}\r\n" for k, v in fields.items()) + "\r\n").encode("latin-1") + body
        self.record(f"client {rid} sends {method} {path}")
        result = None
        self.got_bytes = False
        try:
            if self.sock is None:
                h, p = self.address.rsplit(":", 1)
                self.sock = socket.create_connection((h, int(p)), timeout=1.0)
                self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.sock.settimeout(max(0.01, end - time.monotonic()))
            self.sock.sendall(data)
            reader = Buffered(self.sock)
            while True:
                self.sock.settimeout(max(0.01, end - time.monotonic()))
                try:
                    head = reader.head()
                finally:
                    self.got_bytes |= bool(reader.data)
                if head is None:
                    result = ("closed", {}, b"")
                    break
                self.got_bytes = True
                status = int(head[0].split(" ")[1])
                if status < 200:
                    continue
                if method == "HEAD" or status in (204, 304):
                    got = b""
                else:
                    got = reader.body(head[1])
                result = ("cut", head[1], b"") if got is None else (status, head[1], got)
                if not keep or "close" in head[1].get("connection", "").lower() or got is None:
                    self.close()
                break
        except socket.timeout:
            result = ("deadline", {}, b"")
        except OSError as e:
            result = (f"broken: {e}", {}, b"")
        if not isinstance(result[0], int):
            self.close()
        took = time.monotonic() - start
        self.record(f"client {rid} got {result[0]} after {took:.3f} s {result[2][:60]!r}")
        return result + (took, rid)

    def close(self):
        if self.sock:
            self.sock.close()
            self.sock = None


def run_case(main):
    """Runs main(record, trouble); exits with 1 if it returns True (broken), 0 if it held."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    def stop(number, frame):
        raise CannotRun("told to stop, or out of time")
    signal.signal(signal.SIGTERM, stop)
    try:
        broken = main(record, trouble)
    except CannotRun as e:
        record(f"could not run: {e}")
        print(f"could not run: {e}")
        sys.stdout.flush()
        os._exit(2)
    except Exception as e:
        record(f"could not run: {e!r}")
        import traceback
        traceback.print_exc()
        sys.stdout.flush()
        os._exit(2)
    record(f"the rule was {'broken' if broken else 'kept'}")
    print("broken" if broken else "kept")
    sys.stdout.flush()
    os._exit(1 if broken else 0)
