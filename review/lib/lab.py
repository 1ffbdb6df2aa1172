"""Stand-ins of the platform, of backend servers and of callers, and a small deployment on loopback.

The entry VMs run as the deploy file says: its `run` line, with the settings that its template gives.
All addresses are loopback addresses; every entry VM has an address of its own, and the ports are the
same on all of them.
"""
import base64
import json
import os
import pathlib
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
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "ice.example"
KEY = "key-of-the-caller"


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run, in the order in which it was seen."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start = now()

    def write(self, who, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        with self._lock:
            self._file.write(f"{now() - self._start:9.3f} {who:<10} {what} {text}".rstrip() + "\n")
            self._file.flush()


# ---------------------------------------------------------------------------------------------------
# HTTP by hand, so that a stand-in can do what a library would not.


class Closed(Exception):
    pass


class Wire:
    """A connection that reads HTTP messages."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def fill(self, size=65536):
        data = self.sock.recv(size)
        if not data:
            raise Closed()
        self.buffer += data

    def read_head(self):
        while b"\r\n\r\n" not in self.buffer:
            self.fill()
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            headers.setdefault(name.strip().lower(), value.strip())
        return lines[0], headers

    def read_bytes(self, count):
        while len(self.buffer) < count:
            self.fill()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def read_line(self):
        while b"\r\n" not in self.buffer:
            self.fill()
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line

    def read_chunk(self):
        """Returns the next chunk; b'' at the end of the body."""
        size = int(self.read_line().split(b";")[0], 16)
        data = self.read_bytes(size)
        self.read_line()
        return data

    def read_body(self, headers):
        if "chunked" in headers.get("transfer-encoding", ""):
            body = b""
            while piece := self.read_chunk():
                body += piece
            return body
        return self.read_bytes(int(headers.get("content-length", 0)))

    def send(self, data):
        self.sock.sendall(data)

    def close(self):
        try:
            self.sock.close()
        except OSError:
            pass

    def reset(self):
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        except OSError:
            pass
        self.close()


def head_of(status, headers, reason="OK"):
    lines = [f"HTTP/1.1 {status} {reason}"] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Listener:
    """Serves each connection on a thread of its own."""

    def __init__(self, address, serve, backlog=512):
        self.serve = serve
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(address)
        self.sock.listen(backlog)
        self.address = self.sock.getsockname()
        self.wires = set()
        self.open = True
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while self.open:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            if not self.open:
                sock.close()
                return
            wire = Wire(sock)
            self.wires.add(wire)
            threading.Thread(target=self._run, args=(wire,), daemon=True).start()

    def _run(self, wire):
        try:
            self.serve(wire)
        except (OSError, Closed, ValueError):
            pass
        finally:
            wire.close()
            self.wires.discard(wire)

    def stop(self):
        """Ends as a process does that crashes: connections are reset, new ones are refused."""
        self.open = False
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.sock.close()
        for wire in list(self.wires):
            try:
                wire.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
                wire.sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


# ---------------------------------------------------------------------------------------------------
# The platform's store.


class Store:
    """The platform's store: items, revisions, leases, watches."""

    def __init__(self, ip="127.0.0.1"):
        self.items = {}
        self.history = []
        self.revision = 100
        self.leases = {}
        self.last_lease = 0
        self.era = 1
        self.changed = threading.Condition()
        self.calls = []
        self.listener = Listener((ip, 0), self._serve)
        self.address = self.listener.address
        threading.Thread(target=self._expire, daemon=True).start()

    # What the operator and the servers do.
    def put(self, key, value):
        text = value if isinstance(value, str) else json.dumps(value)
        with self.changed:
            self._set(key, base64.b64encode(text.encode()).decode(), 0)
            self.changed.notify_all()

    def erase(self, key):
        with self.changed:
            self._erase(key)
            self.changed.notify_all()

    def _set(self, key, value, lease):
        self.revision += 1
        created = self.items[key]["Created"] if key in self.items else self.revision
        item = {"Key": key, "Value": value, "Revision": self.revision, "Created": created,
                "Lease": lease}
        self.items[key] = item
        self.history.append(item)

    def _erase(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.history.append({"Key": key, "Revision": self.revision, "Deleted": True})

    def _expire(self):
        while True:
            time.sleep(0.05)
            with self.changed:
                for lease in [l for l, (end, _) in self.leases.items() if end < now()]:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, item in self.items.items() if item["Lease"] == lease]:
            self._erase(key)
        self.changed.notify_all()

    def _serve(self, wire):
        while True:
            line, headers = wire.read_head()
            body = wire.read_body(headers)
            method, target, _ = line.split(" ")
            path, _, query = target.partition("?")
            args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
            status, answer = self._answer(method, path, args, json.loads(body) if body else {})
            text = json.dumps(answer).encode()
            wire.send(head_of(status, [("Content-Type", "application/json"),
                                       ("Store-Era", self.era),
                                       ("Content-Length", len(text))]) + text)

    def _answer(self, method, path, args, body):
        with self.changed:
            if path == "/api/kv-key":
                item = self.items.get(args["Key"])
                return (200, dict(item, CurrentRev=self.revision)) if item else (
                    404, {"CurrentRev": self.revision})
            if path == "/api/kv-range":
                keys = sorted(k for k in self.items
                              if k.startswith(args["Prefix"]) and k > args.get("After", ""))
                return 200, {"Items": [self.items[k] for k in keys[:500]],
                             "HasMore": len(keys) > 500, "CurrentRev": self.revision}
            if path == "/api/kv-watch":
                return self._watch(args["Prefix"], int(args["After"]), int(args["WaitMs"]))
            if path == "/api/kv-txn":
                return self._transact(body)
            if path == "/api/kv-lease":
                self.last_lease += 1
                ttl = max(1000, int(body["TtlMs"]))
                self.leases[self.last_lease] = (now() + ttl / 1000, ttl)
                return 200, {"Lease": self.last_lease, "TtlMs": ttl}
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            if path.startswith("/api/kv-keep/"):
                ttl = self.leases[lease][1]
                self.leases[lease] = (now() + ttl / 1000, ttl)
                return 200, {"Lease": lease, "TtlMs": ttl}
            self._end_lease(lease)
            return 200, {}

    def _watch(self, prefix, after, wait_ms):
        end = now() + wait_ms / 1000
        while True:
            events = [e for e in self.history
                      if e["Revision"] > after and e["Key"].startswith(prefix)]
            if after > self.revision:
                return 410, {}
            if events or now() >= end:
                return 200, {"events": events, "CurrentRev": self.revision}
            self.changed.wait(min(0.05, max(0.001, end - now())))

    def _transact(self, body):
        for each in body.get("Expect", []):
            item = self.items.get(each["Key"])
            if (item["Revision"] if item else 0) != each["Revision"]:
                return 412, {"Items": [self.items[e["Key"]] for e in body["Expect"]
                                       if e["Key"] in self.items]}
        for each in body.get("SetKeys", []):
            if each["Key"].startswith(("op/", "servers/")):
                return 403, {}
            if each.get("Lease", 0) and each["Lease"] not in self.leases:
                return 404, {}
        for each in body.get("SetKeys", []):
            self._set(each["Key"], each["Value"], each.get("Lease", 0))
        for key in body.get("Remove", []):
            self._erase(key)
        self.changed.notify_all()
        return 200, {"Revision": self.revision}


# ---------------------------------------------------------------------------------------------------
# Backend servers.


class Server:
    """A backend server. `behave(server, wire, request)` answers one request."""

    def __init__(self, lab, service, server_id, behave, ip="127.0.0.1", zone="zone-a", slots=8,
                 version="1.0", listen=None):
        self.lab, self.service, self.id, self.behave = lab, service, server_id, behave
        self.zone, self.slots, self.version = zone, slots, version
        self.born = int(time.time() * 1000)
        self.state, self.sequence = "ready", 0
        self.lock = threading.Lock()
        self.runs = []
        self.registered = False
        self.listener = Listener(listen or (ip, 0), self._serve)
        self.address = self.listener.address

    def entry(self, address=None):
        host, port = address or self.address
        return {"Service": self.service, "Address": f"{host}:{port}", "Zone": self.zone,
                "Version": self.version, "Slots": self.slots, "State": self.state,
                "ColdRemainingMs": 0, "Sequence": self.sequence, "born": self.born}

    def register(self, store=None):
        self.registered = True
        threading.Thread(target=self._beat, args=(store or self.lab.store,), daemon=True).start()
        time.sleep(0.01)

    def _beat(self, store):
        while self.registered:
            self.sequence += 1
            store.put(f"servers/{self.id}", self.entry())
            time.sleep(1.2)

    def unregister(self, store=None):
        self.registered = False
        (store or self.lab.store).erase(f"servers/{self.id}")

    def crash(self):
        self.registered = False
        self.listener.stop()

    def ran(self, request, **more):
        """Notes that the server begins to work on the request."""
        with self.lock:
            self.runs.append(request["id"])
        self.lab.record.write(self.id, "run", id=request["id"], method=request["method"],
                              target=request["target"], **more)

    def _serve(self, wire):
        while True:
            line, headers = wire.read_head()
            method, target, _ = line.split(" ")
            request = {"method": method, "target": target, "headers": headers,
                       "id": headers.get("x-attempt-id", ""), "body": None}
            if headers.get("x-expect-instance", self.id) != self.id:
                wire.read_body(headers)
                self.lab.record.write(self.id, "misdirected", id=request["id"])
                wire.send(head_of(421, [("X-Instance-Id", self.id), ("Content-Length", 0)],
                                  "Misdirected Request"))
                continue
            if self.behave(self, wire, request) is False:
                return

    def seal(self):
        return f"seal.{self.id}"

    def answer(self, wire, request, status=200, body=b"ok", headers=()):
        wire.send(head_of(status, [("X-Attempt-Id", request["id"]),
                                   ("X-Response-Seal", self.seal()),
                                   *headers, ("Content-Length", len(body))]) + body)

    def begin_stream(self, wire, request, headers=()):
        wire.send(head_of(200, [("X-Attempt-Id", request["id"]), ("X-Response-Seal", self.seal()),
                                ("Content-Type", "text/event-stream"), *headers,
                                ("Transfer-Encoding", "chunked")]))

    @staticmethod
    def send_event(wire, number, text):
        data = f"id: {number}\ndata: {text}\n\n".encode()
        wire.send(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    @staticmethod
    def end_stream(wire):
        wire.send(b"0\r\n\r\n")


# ---------------------------------------------------------------------------------------------------
# Callers.


class Answer:
    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False
        self.error = ""


def request_bytes(method, target, request_id, body=b"", headers=(), deadline_ms=1500):
    lines = [("Host", HOST), ("X-Attempt-Id", request_id), ("X-Deadline-Ms", deadline_ms),
             ("Authorization", f"Bearer {KEY}"), *headers]
    if method != "GET" or body:
        lines.append(("Content-Length", len(body)))
    text = f"{method} {target} HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in lines) + "\r\n"
    return text.encode() + body


def read_answer(wire, answer, on_piece=None):
    try:
        line, answer.headers = wire.read_head()
        answer.status = int(line.split(" ")[1])
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            while piece := wire.read_chunk():
                answer.body += piece
                if on_piece:
                    on_piece(answer)
        else:
            answer.body = wire.read_body(answer.headers)
        answer.complete = True
    except (OSError, Closed, ValueError) as error:
        answer.error = type(error).__name__
    return answer


def call(address, method, target, request_id, body=b"", headers=(), deadline_ms=1500, timeout=None,
         on_piece=None, wire=None):
    """One request, on a connection of its own unless `wire` is given."""
    answer = Answer()
    own = wire is None
    try:
        if own:
            wire = Wire(socket.create_connection(address, timeout=1))
        wire.sock.settimeout(timeout or deadline_ms / 1000 + 1)
        wire.send(request_bytes(method, target, request_id, body, headers, deadline_ms))
    except OSError as error:
        answer.error = type(error).__name__
        return answer
    read_answer(wire, answer, on_piece)
    if own:
        wire.close()
    return answer


# ---------------------------------------------------------------------------------------------------
# The deployment.


def render(text, fields):
    """Fills in a template as the platform does: values, |json, and sections."""

    def look(name, stack):
        if name == ".":
            return stack[-1]
        for scope in reversed(stack):
            value, found = scope, True
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit():
                    value = value[int(part)]
                else:
                    found = False
                    break
            if found:
                return value
        return None

    def fill(part, stack, key=None, last=True):
        out, at = "", 0
        pattern = re.compile(r"\{\{([#^/]?)([^}]*)\}\}")
        while match := pattern.search(part, at):
            out += part[at:match.start()]
            kind, name = match.groups()
            at = match.end()
            if kind in ("#", "^"):
                end = part.index("{{/" + name + "}}", at)
                inner, at = part[at:end], end + len(name) + 5
                value = look(name, stack)
                if kind == "^":
                    out += fill(inner, stack) if not value else ""
                elif isinstance(value, (dict, list)):
                    pairs = (list(value.items()) if isinstance(value, dict)
                             else list(enumerate(value)))
                    for index, (k, v) in enumerate(pairs):
                        out += fill(inner, stack + [v], k, index + 1 == len(pairs))
                elif value:
                    out += fill(inner, stack)
            elif name == "@":
                out += str(key)
            elif name == ",":
                out += "" if last else ","
            elif name.endswith("|json"):
                out += json.dumps(look(name[:-5], stack))
            else:
                value = look(name, stack)
                out += "" if value is None else str(value)
        return out + part[at:]

    return fill(text, [fields])


class Entry:
    """One entry VM: a process that is started and ended as the platform does it."""

    def __init__(self, lab, number, zone, store_address):
        self.lab, self.number, self.zone = lab, number, zone
        self.store_address = store_address
        self.name = f"frontend-{number}"
        self.ip = f"127.0.1.{10 + number}"
        self.callers = (self.ip, lab.ports[0])
        self.process = None
        self.ended_by_itself = 0
        self.stopping = False

    def fields(self):
        front, ready, control, low = self.lab.ports
        return {
            "Node": self.name, "Role": "entry", "MachineClass": "frontend", "Ip": self.ip,
            "Zone": self.zone, "Region": "region-1",
            "Zones": {zone: "region-1" for zone in self.lab.zones},
            "Listen": {"Frontend": f"{self.ip}:{front}", "Readiness": f"{self.ip}:{ready}",
                       "ControlPlane": f"{self.ip}:{control}"},
            "PortRange": [low, low + 15], "Seeds": self.lab.seeds(),
            "Limits": {"MaxFds": 4200},
            "Bounds": dict(DrainMs=2000, ConfigApplyMs=2000, GraceS=8, RetryRatio=0.2,
                           RetrySlack=52, RetryWindowS=10),
            "Platform": {"Address": "%s:%d" % self.store_address},
        }

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        settings = pathlib.Path(self.lab.folder) / f"{self.name}.json"
        settings.write_text(render((ROOT / deploy["template"]).read_text(), self.fields()))
        env = {"PATH": os.environ["PATH"], "HOME": self.lab.folder, "LANG": "C",
               "HAWTHORNNOTCH_NODE_FILE": str(settings)}
        log = open(pathlib.Path(self.lab.folder) / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(deploy["run"].split(" "), cwd=ROOT, env=env,
                                        stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.stopping = False
        self.lab.record.write(self.name, "started")

    def signal(self, number):
        self.lab.record.write(self.name, "signal", number=signal.Signals(number).name)
        self.stopping = self.stopping or number in (signal.SIGTERM, signal.SIGKILL)
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def ready(self):
        try:
            wire = Wire(socket.create_connection((self.ip, self.lab.ports[1]), timeout=1))
            wire.sock.settimeout(1)
            wire.send(f"GET /api/readyz HTTP/1.1\r\nHost: {self.ip}\r\n\r\n".encode())
            answer = read_answer(wire, Answer())
            wire.close()
            return answer.status == 200
        except OSError:
            return False

    def await_ready(self, seconds=10):
        end = now() + seconds
        while not self.ready():
            if now() > end:
                raise RuntimeError(f"{self.name} does not become ready")
            time.sleep(0.05)

    def log(self):
        path = pathlib.Path(self.lab.folder) / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""


class Lab:
    """A small deployment."""

    def __init__(self, case_folder, zones=("zone-a",)):
        # A case that is ended from outside ends its processes too.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = Record(pathlib.Path(case_folder) / "record.txt")
        self.zones = list(zones)
        self.ports = self._free_ports()
        self.store = Store()
        self.entries = []

    @staticmethod
    def _free_ports():
        """Ports that are free now: for callers, readiness, peers, and the first of a range."""
        socks = []
        for _ in range(4):
            sock = socket.socket()
            sock.bind(("127.0.0.1", 0))
            socks.append(sock)
        ports = [sock.getsockname()[1] for sock in socks]
        for sock in socks:
            sock.close()
        return ports

    def seeds(self):
        return [f"{each.ip}:{self.ports[2]}" for each in self.entries[:3]]

    def add_entries(self, count, store_addresses=None):
        for number in range(count):
            zone = self.zones[number % len(self.zones)]
            address = store_addresses[number] if store_addresses else self.store.address
            self.entries.append(Entry(self, number + 1, zone, address))
        return self.entries

    def start(self):
        for each in self.entries:
            each.start()
        for each in self.entries:
            each.await_ready()

    def configure(self, version, routes, services, **more):
        self.store.put("op/config", {
            "Version": version, "Routes": routes, "Services": services,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000},
            "Tenants": [{"Name": "zagreb", "ApiKeys": [KEY], "Priority": 1}], **more})

    def stop(self):
        for each in self.entries:
            if each.process and each.process.poll() is None:
                each.process.send_signal(signal.SIGCONT)
                each.process.kill()
                each.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, service, attempts, timeout_ms, target_ms, **more):
    return {"Name": name, "Host": HOST, "Prefix": prefix, "Type": kind, "Service": service,
            "TimeoutMs": timeout_ms, "TargetLatencyMs": target_ms, "Priority": 1,
            "MaxAttempts": attempts, **more}
