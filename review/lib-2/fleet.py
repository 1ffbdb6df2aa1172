"""Stand-ins for the platform, its store, backend servers and callers, for the cases of this review.

One asyncio program plays everything but the entry VMs, which are started as processes of their own with the
command of deploy/system.toml and with settings filled in from deploy/entry.json.template.
"""
import asyncio
import base64
import ctypes
import json
import os
import pathlib
import re
import resource
import shlex
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
SETTINGS_VARIABLE = "HAWTHORNNOTCH_NODE_FILE"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HOST = "ficu95.example"

# The bounds of the small deployments.
BOUNDS = {
    "StabilityMs": 3000, "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000,
    "RetryRatio": 0.2, "RetryWindowS": 10, "RetrySlack": 56,
}
HEARTBEAT_S = 1.2
RESERVED_DESCRIPTORS = 200
PARENT_DEATH_SIGNAL = 1


def now():
    return time.monotonic()


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = now()

    def line(self, what, **fields):
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{now() - self.start:8.3f} {what} {words}\n")

    def say(self, text):
        self.file.write(f"{now() - self.start:8.3f} {text}\n")
        print(text, flush=True)

    def close(self):
        self.file.close()


class Closed(Exception):
    """A connection ended before its message did."""


async def read_head(reader):
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError) as error:
        raise Closed() from error
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunk(reader):
    """One chunk; empty at the last one."""
    try:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        return data[:-2]
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError, OSError) as error:
        raise Closed() from error


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            part = await read_chunk(reader)
            if not part:
                return b"".join(parts)
            parts.append(part)
    length = int(headers.get("content-length", "0"))
    try:
        return await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError) as error:
        raise Closed() from error


def message(first_line, headers, body=b""):
    head = first_line + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers)
    return head.encode("latin-1") + b"\r\n" + body


def reset(writer):
    """Closes a connection as the end of its process does: what is unsent is lost."""
    try:
        sock = writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
        writer.transport.abort()
    except OSError:
        pass


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Listener:
    """An address whose connections are served by `serve(reader, writer)`."""

    def __init__(self, address, port, serve, limit=2 ** 20):
        self.address, self.port, self.serve, self.limit = address, port, serve, limit
        self.server = None
        self.open = {}

    async def start(self):
        self.server = await asyncio.start_server(
            self._run, self.address, self.port, limit=self.limit, backlog=512, reuse_address=True)

    async def _run(self, reader, writer):
        self.open[writer] = asyncio.current_task()
        try:
            await self.serve(reader, writer)
        except (Closed, ConnectionError, OSError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.open.pop(writer, None)
            writer.close()

    def stop(self):
        """Ends as a killed process does."""
        self.server.close()
        for writer, task in list(self.open.items()):
            reset(writer)
            task.cancel()
        self.open.clear()


class Store:
    """The platform's metadata store, with a single revision counter and leases."""

    def __init__(self, address):
        self.listener = Listener(address, free_port(address), self._serve)
        self.items, self.history, self.revision = {}, [], 100
        self.leases, self.next_lease = {}, 70000
        self.changed = asyncio.Condition()
        # Rises when the store comes back from a copy; revisions below `oldest` are no longer known then.
        self.era, self.oldest = 1, 0

    async def start(self):
        await self.listener.start()

    def copy(self):
        return {key: dict(item) for key, item in self.items.items()}, self.revision, dict(self.leases)

    async def come_back_from(self, copy):
        """Comes back from a copy: what the system wrote since is gone, leases too, and revisions go back. What the
        operator wrote is written again; servers register again by themselves."""
        config = self.items["op/config"]
        self.items, self.revision, self.leases = copy
        self.history, self.oldest = [], self.revision
        self.era += 1
        if self.items["op/config"]["Value"] != config["Value"]:
            self._write("op/config", base64.b64decode(config["Value"]))
        await self.listener.start()

    def _write(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["Created"] if key in self.items else self.revision
        self.items[key] = {"Key": key, "Value": base64.b64encode(value).decode(),
                           "Revision": self.revision, "Created": created, "Lease": lease}
        self.history.append(dict(self.items[key]))

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append({"Key": key, "Revision": self.revision, "Deleted": True})

    async def put(self, key, value):
        self._write(key, value)
        await self._notify()

    async def remove(self, key):
        self._remove(key)
        await self._notify()

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    def _expire(self):
        for lease, ends in list(self.leases.items()):
            if ends[0] < now():
                del self.leases[lease]
                for key in [key for key, item in self.items.items() if item["Lease"] == lease]:
                    self._remove(key)

    async def _serve(self, reader, writer):
        while True:
            line, headers = await read_head(reader)
            body = await read_body(reader, headers)
            method, target, _ = line.split(" ")
            self._expire()
            await asyncio.sleep(0.004)
            status, answer = await self._answer(method, target, body)
            text = json.dumps(answer).encode()
            writer.write(message(f"HTTP/1.1 {status} X", [
                ("Content-Type", "application/json"), ("Store-Era", self.era), ("Content-Length", len(text))], text))
            await writer.drain()

    async def _answer(self, method, target, body):
        path, _, query = target.partition("?")
        asked = {}
        for part in filter(None, query.split("&")):
            name, _, value = part.partition("=")
            asked[name] = re.sub("%([0-9A-Fa-f]{2})", lambda found: chr(int(found.group(1), 16)), value)
        sent = json.loads(body) if body else {}
        if path == "/api/kv-key":
            item = self.items.get(asked["Key"])
            return (200, {**item, "CurrentRev": self.revision}) if item else (404, {"CurrentRev": self.revision})
        if path == "/api/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(asked["Prefix"]) and key > asked.get("After", ""))
            return 200, {"Items": [self.items[key] for key in keys[:500]], "HasMore": len(keys) > 500,
                         "CurrentRev": self.revision}
        if path == "/api/kv-watch":
            return await self._watch(asked["Prefix"], int(asked["After"]), int(asked["WaitMs"]) / 1000)
        if path == "/api/kv-txn":
            return await self._transact(sent)
        if path == "/api/kv-lease":
            self.next_lease += 1
            ttl = max(1000, int(sent["TtlMs"]))
            self.leases[self.next_lease] = (now() + ttl / 1000, ttl)
            return 200, {"Lease": self.next_lease, "TtlMs": ttl}
        if path.startswith("/api/kv-keep/") or path.startswith("/api/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            if method == "DELETE":
                self.leases[lease] = (0, 0)
                self._expire()
            else:
                self.leases[lease] = (now() + ttl / 1000, ttl)
            return 200, {"Lease": lease, "TtlMs": ttl}
        return 404, {}

    async def _watch(self, prefix, after, wait_s):
        end = now() + wait_s
        if after < self.oldest or after > self.revision:
            return 410, {}
        while True:
            events = [each for each in self.history
                      if each["Key"].startswith(prefix) and each["Revision"] > after]
            if events or now() >= end:
                return 200, {"events": events, "CurrentRev": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(end - now(), 0.001))
                except asyncio.TimeoutError:
                    pass

    async def _transact(self, sent):
        current = []
        good = True
        for row in sent.get("Expect", []):
            item = self.items.get(row["Key"])
            good = good and (item["Revision"] if item else 0) == row["Revision"]
            current += [item] if item else []
        if not good:
            return 412, {"Items": current}
        for row in sent.get("SetKeys", []):
            if row.get("Lease", 0) and row["Lease"] not in self.leases:
                return 404, {}
            if row["Key"].startswith(("op/", "servers/")):
                return 403, {}
        for row in sent.get("SetKeys", []):
            self._write(row["Key"], base64.b64decode(row["Value"]), row.get("Lease", 0))
        for key in sent.get("Remove", []):
            self._remove(key)
        await self._notify()
        return 200, {"Revision": self.revision}


class Server:
    """One backend server. `handle(server, request, reply)` answers what it is asked to run."""

    def __init__(self, fleet, name, service, address, zone, version, slots, handle, queue=256):
        self.fleet, self.id, self.service, self.zone = fleet, name, service, zone
        self.version, self.slots, self.queue, self.handle = version, slots, queue, handle
        self.port = free_port(address)
        self.address = address
        self.listener = None
        self.beat = None
        self.born = 0
        self.sequence = 0
        self.running = 0
        self.state = "ready"

    @property
    def at(self):
        return f"{self.address}:{self.port}"

    async def start(self):
        self.born = max(int(time.time() * 1000), self.born + 1)
        self.sequence = 0
        self.running = 0
        self.listener = Listener(self.address, self.port, self._serve)
        await self.listener.start()
        await self.register()
        self.beat = asyncio.ensure_future(self._beat())
        self.fleet.record.line("server_up", server=self.id, version=self.version, born=self.born)

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.register()

    async def register(self):
        self.sequence += 1
        entry = {"Service": self.service, "Address": self.at, "Zone": self.zone, "Version": self.version,
                 "Slots": self.slots, "State": self.state, "ColdRemainingMs": 0, "Phase": "both",
                 "Models": [{"Name": "m", "Version": 1, "Adapters": []}], "Sequence": self.sequence,
                 "born": self.born}
        await self.fleet.store.put("servers/" + self.id, json.dumps(entry).encode())

    async def leave(self, after_s):
        """Reports that it is leaving, serves on for that long, and ends."""
        self.state = "draining"
        await self.register()
        self.fleet.record.line("server_leaves", server=self.id)
        await asyncio.sleep(after_s)
        self.crash()
        await self.fleet.store.remove("servers/" + self.id)

    def crash(self):
        self.beat.cancel()
        self.listener.stop()
        self.fleet.record.line("server_down", server=self.id, version=self.version)

    def headers(self, request_id):
        return [("X-Attempt-Id", request_id), ("X-Response-Seal", f"{self.id}.{self.born}.{request_id}"),
                ("X-Instance-Id", self.id),
                ("X-Instance-Load", f"{min(self.running, self.slots)},{max(0, self.running - self.slots)},"
                                    f"{self.slots}")]

    async def _serve(self, reader, writer):
        while True:
            line, headers = await read_head(reader)
            method, target, _ = line.split(" ")
            request_id = headers.get("x-attempt-id", "")
            request = {"method": method, "target": target, "headers": headers, "id": request_id,
                       "reader": reader, "writer": writer}
            if headers.get("x-expect-instance", self.id) != self.id:
                await read_body(reader, headers)
                await self._reject(writer, 421, request_id)
            elif target == "/healthz":
                await self.send(writer, 200, self.headers(request_id), b"")
            elif not request_id:
                await read_body(reader, headers)
                await self._reject(writer, 400, request_id)
            elif self.running >= self.slots + self.queue:
                await read_body(reader, headers)
                await self._reject(writer, 503, request_id)
            else:
                self.running += 1
                try:
                    await self.handle(self, request)
                finally:
                    self.running -= 1

    async def _reject(self, writer, status, request_id):
        self.fleet.record.line("server_rejects", server=self.id, id=request_id, status=status)
        await self.send(writer, status, [("X-Attempt-Id", request_id), ("X-Not-Executed", "1"),
                                         ("X-Instance-Id", self.id)], b"")

    @staticmethod
    async def send(writer, status, headers, body):
        writer.write(message(f"HTTP/1.1 {status} X", headers + [("Content-Length", len(body))], body))
        await writer.drain()


class Render:
    """Fills in a template as DEPLOY.md tells."""

    def __init__(self, fields):
        self.fields = fields

    def look_up(self, name, scopes):
        if name == ".":
            return scopes[-1]["."]
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def text(self, template, scopes=None):
        scopes = scopes or [self.fields]
        section = re.compile(r"\{\{([#^])([^{}]+)\}\}(.*?)\{\{/\2\}\}", re.S)

        def expand(found):
            kind, name, inner = found.groups()
            value = self.look_up(name, scopes)
            if kind == "^":
                return self.text(inner, scopes) if not value else ""
            if not value:
                return ""
            if not isinstance(value, (list, dict)):
                return self.text(inner, scopes)
            pairs = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
            out = ""
            for index, (key, each) in enumerate(pairs):
                part = inner.replace("{{@}}", str(key)).replace("{{,}}", "," if index + 1 < len(pairs) else "")
                out += self.text(part, scopes + [{".": each, **(each if isinstance(each, dict) else {})}])
            return out

        template = section.sub(expand, template)

        def fill(found):
            name, as_json = found.group(1), found.group(2)
            value = self.look_up(name, scopes)
            if as_json:
                return json.dumps(value)
            if isinstance(value, list):
                return ",".join(str(each) for each in value)
            if isinstance(value, dict):
                return json.dumps(value)
            return "" if value is None else str(value).lower() if isinstance(value, bool) else str(value)

        return re.sub(r"\{\{([^{}|]+)(\|json)?\}\}", fill, template)


class Entry:
    """One entry VM: the process of the deploy file."""

    def __init__(self, fleet, name, address, zone, memory_mb):
        self.fleet, self.name, self.address, self.zone, self.memory_mb = fleet, name, address, zone, memory_mb
        self.ports = {each: free_port(address) for each in ("Frontend", "Readiness", "ControlPlane")}
        self.range = [free_port(address), 0]
        self.process = None
        self.starts = 0
        self.ends = 0

    def listen(self, what):
        return f"{self.address}:{self.ports[what]}"

    def settings(self):
        fleet = self.fleet
        fields = {
            "Node": self.name, "Role": "entry", "MachineClass": "frontend", "Ip": self.address, "Zone": self.zone,
            "Region": "ulaanbaatar", "Zones": {zone: "ulaanbaatar" for zone in fleet.zones},
            "Listen": {each: self.listen(each) for each in self.ports}, "PortRange": self.range,
            "Seeds": [each.listen("ControlPlane") for each in fleet.entries[:3]],
            "Limits": {"CpuQuota": 0.25, "Cores": 1, "MemoryMb": self.memory_mb, "MaxFds": self.fleet.descriptors},
            "HeartbeatMs": int(HEARTBEAT_S * 1000), "Bounds": BOUNDS,
            "Platform": {"Address": f"{fleet.store.listener.address}:{fleet.store.listener.port}"},
        }
        template = (ROOT / "deploy/entry.json.template").read_text(encoding="utf-8")
        return Render(fields).text(template)

    async def start(self):
        path = pathlib.Path(self.fleet.folder) / f"{self.name}.json"
        path.write_text(self.settings(), encoding="utf-8")
        deploy = (ROOT / "deploy/system.toml").read_text(encoding="utf-8")
        words = shlex.split(re.search(r'^run = "(.*)"', deploy, re.M).group(1))
        log = open(pathlib.Path(self.fleet.folder) / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, preexec_fn=self.limit, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "LANG": "C", SETTINGS_VARIABLE: str(path)})
        log.close()
        self.starts += 1
        self.fleet.record.line("entry_up", vm=self.name, pid=self.process.pid)

    def limit(self):
        """Of the descriptors, 200 are reserved for files; sockets and pipes share the remainder. The process ends with
        this program, whatever ends it."""
        ctypes.CDLL(None).prctl(PARENT_DEATH_SIGNAL, signal.SIGKILL)
        most = self.fleet.descriptors - RESERVED_DESCRIPTORS
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))

    def resident_mb(self):
        """Resident memory of the process; 0 if it has ended."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+)", text)
        return int(found.group(1)) / 1024 if found else 0.0

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
        await self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.address, self.ports["Readiness"]), 1)
            writer.write(message("GET /api/readyz HTTP/1.1", [("Host", "x"), ("Connection", "close")]))
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in line
        except (OSError, Closed, asyncio.TimeoutError):
            return False


class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.whole = 0, {}, b"", False
        # "refused": no connection; "unread": closed before an answer; "broken": closed within it
        self.end = "unread"
        # When the request had been written and when the head of its answer came.
        self.sent_at = self.head_at = None

    def text(self):
        return f"{self.status}/{'whole' if self.whole else self.end}"


async def call(address, port, method, path, request_id, deadline_ms, headers=(), body=b"", key=KEY, on_events=None):
    """One client attempt on a new connection."""
    answer = Answer()
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(address, port, limit=2 ** 20), 1)
    except (OSError, asyncio.TimeoutError):
        answer.end = "refused"
        return answer
    try:
        fields = [("Host", HOST), ("X-Attempt-Id", request_id), ("X-Deadline-Ms", deadline_ms),
                  ("Authorization", f"Bearer {key}")] + list(headers)
        if body or method == "POST":
            fields.append(("Content-Length", len(body)))
        writer.write(message(f"{method} {path} HTTP/1.1", fields, body))
        await asyncio.wait_for(_receive(reader, writer, answer, on_events), deadline_ms / 1000)
    except asyncio.TimeoutError:
        answer.end = "late"
    except (Closed, OSError):
        answer.end = "broken" if answer.status else "unread"
    finally:
        writer.close()
    return answer


async def _receive(reader, writer, answer, on_events):
    await writer.drain()
    answer.sent_at = now()
    line, answer.headers = await read_head(reader)
    answer.head_at = now()
    answer.status = int(line.split(" ")[1])
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            part = await read_chunk(reader)
            if not part:
                break
            answer.body += part
            if on_events:
                on_events(answer)
    else:
        answer.body = await read_body(reader, answer.headers)
    answer.whole = True


class Fleet:
    """A small deployment. Everything it starts ends with `stop`."""

    zones = ["bayangol", "sukhbaatar"]

    def __init__(self, folder, routes, services, memory_mb=110, entries=2, descriptors=4100):
        self.descriptors = descriptors
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="hn-review-")
        self.folder = self.temporary.name
        self.store = Store("127.0.200.1")
        self.routes, self.services = routes, services
        self.entries = []
        self.servers = []
        for index in range(entries):
            self.entries.append(Entry(self, f"frontend-{index + 1}", f"127.0.1.{index + 1}",
                                      self.zones[index % 2], memory_mb))

    def add_server(self, name, service, version, slots, handle):
        index = len(self.servers)
        server = Server(self, name, service, f"127.0.128.{index + 1}", self.zones[index % 2], version, slots, handle)
        self.servers.append(server)
        return server

    async def start(self):
        config = {"Version": 7, "Routes": self.routes, "Services": self.services,
                  "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                             "IdleTimeoutMs": 15000},
                  "Tenants": [{"Name": TENANT, "ApiKeys": [KEY], "Priority": 1}]}
        await self.store.start()
        await self.store.put("op/config", json.dumps(config).encode())
        for server in self.servers:
            await server.start()
        for entry in self.entries:
            await entry.start()
        end = now() + 10
        while not all([await entry.is_ready() for entry in self.entries]):
            if now() > end:
                raise RuntimeError("the entry VMs did not become ready")
            await asyncio.sleep(0.1)

    async def stop(self):
        for entry in self.entries:
            if entry.process:
                await entry.kill()
        for server in self.servers:
            if server.listener:
                server.beat.cancel()
                server.listener.stop()
        if self.store.listener.server:
            self.store.listener.stop()
        if os.environ.get("KEEP_LOGS"):
            for path in pathlib.Path(self.folder).glob("*.log"):
                (pathlib.Path(os.environ["KEEP_LOGS"]) / path.name).write_bytes(path.read_bytes())
        self.record.close()
        self.temporary.cleanup()


def stream_route(service, attempts=2, resumable=True, path="/lohu930/", timeout_ms=15000):
    return {"Name": "r-hvz3pfi", "Host": HOST, "Prefix": path, "Type": "stream", "TimeoutMs": timeout_ms,
            "TargetLatencyMs": 2000, "Priority": 2, "Service": service, "MaxAttempts": attempts,
            "Anonymous": False, "Sticky": True, "Resumable": resumable, "TargetGapMs": 800}


def unsafe_route(service, timeout_ms):
    return {"Name": "r-6y7z5k6", "Host": HOST, "Prefix": "/puxa403/", "Type": "unsafe", "TimeoutMs": timeout_ms,
            "TargetLatencyMs": 100, "Priority": 1, "Service": service, "MaxAttempts": 1, "Anonymous": False}


def engine(name, slots=128):
    return {"Name": name, "HealthPath": "/healthz", "MaxConnections": 620, "Protocol": "h1", "Tls": False,
            "Engine": {"Slots": slots, "KvCapacity": 454568, "KvBytes": 35136, "LinkMbps": 550000.0, "Moves": True,
                       "Backups": True, "Stride": 3, "most": 12, "PinMs": 4000.0, "HoldMs": 2000.0,
                       "HandleTtlS": 5.0, "Models": [{"Name": "m"}]}}


def application(name):
    return {"Name": name, "HealthPath": "/healthz", "MaxConnections": 110, "Protocol": "h1", "Tls": False}


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(run, folder):
    """Runs a case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    async def guarded():
        return await asyncio.wait_for(run(), 118)

    try:
        broken = asyncio.run(guarded())
    except Exception as error:  # the case itself failed
        print(f"could not run: {type(error).__name__}: {error}", flush=True)
        sys.exit(2)
    sys.exit(1 if broken else 0)
