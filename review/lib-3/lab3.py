"""Stand-ins of the third review: the platform's store, backend servers and entry processes.

Everything listens on 127.0.0.1. A case builds its own scenario from these parts; see review/11 and
later. Standard library only.
"""
import asyncio
import base64
import itertools
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
SHARED_PARTS = 94


class Record:
    """Writes record.txt of a case and shows each line."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()

    def __call__(self, *words):
        line = f"{time.monotonic() - self.began:8.3f} " + " ".join(str(each) for each in words)
        self.file.write(line + "\n")
        self.file.flush()

    def show(self, *words):
        self(*words)
        print(" ".join(str(each) for each in words), flush=True)


def free_ports(count):
    held = [socket.socket() for _ in range(count)]
    for each in held:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in held]
    for each in held:
        each.close()
    return ports


def new_id():
    return f"{random.getrandbits(64):016x}"


def header(headers, name, default=None):
    for key, value in headers:
        if key.lower() == name.lower():
            return value
    return default


async def read_head(reader):
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if line]
    return lines[0], headers


async def read_chunk(reader):
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size) if size else b""
    await reader.readexactly(2)
    return data


async def read_body(reader, headers, to_the_end=False):
    if (header(headers, "Transfer-Encoding") or "").lower() == "chunked":
        body = b""
        while piece := await read_chunk(reader):
            body += piece
        return body
    length = header(headers, "Content-Length")
    if length is not None:
        return await reader.readexactly(int(length))
    return await reader.read(-1) if to_the_end else b""


def answer(status, body=b"", headers=()):
    head = f"HTTP/1.1 {status} X\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers)
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def connect(address):
    host, port = address.split(":")
    return asyncio.open_connection(host, int(port), limit=1 << 22)


def reset(writer):
    """Closes a connection with a reset, as a process that crashes does."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Listener:
    """Accepts connections and serves requests of each, one after the other."""

    def __init__(self):
        self.address = None
        self.server = None
        self.connections = set()

    async def listen(self):
        port = int(self.address.split(":")[1]) if self.address else 0
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=1 << 22)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ")
                await self.handle(reader, writer, method, target, headers)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, reader, writer, method, target, headers):
        raise NotImplementedError

    def crash(self):
        self.server.close()
        for each in list(self.connections):
            reset(each)
        self.connections.clear()


class Store(Listener):
    """The platform's store: items, watches, transactions and leases."""

    def __init__(self):
        super().__init__()
        self.revision = 10
        self.items = {}
        self.history = []
        self.leases = {}
        self.last_lease = 1000
        self.changed = asyncio.Event()

    async def start(self):
        await self.listen()
        asyncio.create_task(self._expire())
        return self

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            for lease, (_, end) in list(self.leases.items()):
                if time.monotonic() > end:
                    self._end(lease)

    def _end(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item[2] == lease]:
            self.remove(key)

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def item(self, key):
        value, revision, lease, created = self.items[key]
        return {"Key": key, "Value": base64.b64encode(value).decode(), "Revision": revision,
                "Created": created, "Lease": lease}

    def put(self, key, value, lease=0, revision=None):
        if revision is None:
            self.revision += 1
        created = self.items[key][3] if key in self.items else self.revision
        self.items[key] = (value, self.revision, lease, created)
        self.history.append(self.item(key))
        self._notify()

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.history.append({"Key": key, "Revision": self.revision, "Deleted": True})
            self._notify()

    async def handle(self, reader, writer, method, target, headers):
        body = await read_body(reader, headers)
        parts = urlsplit(target)
        query = {key: value[0] for key, value in
                 parse_qs(parts.query, keep_blank_values=True).items()}
        name, _, number = parts.path.removeprefix("/api/").partition("/")
        calls = {"kv-key": self._key, "kv-range": self._range, "kv-watch": self._watch,
                 "kv-lease": self._lease, "kv-keep": self._keep, "kv-lease-end": self._lease_end,
                 "kv-txn": self._txn}
        status, out = await calls[name](query, json.loads(body) if body else {}, number)
        writer.write(answer(status, json.dumps(out).encode(),
                            [("Content-Type", "application/json"), ("Store-Era", 1)]))
        await writer.drain()

    async def _key(self, query, _body, _number):
        key = query["Key"]
        if key not in self.items:
            return 404, {"CurrentRev": self.revision}
        return 200, dict(self.item(key), CurrentRev=self.revision)

    async def _range(self, query, _body, _number):
        keys = sorted(key for key in self.items
                      if key.startswith(query["Prefix"]) and key > query.get("After", ""))
        return 200, {"Items": [self.item(key) for key in keys[:50]], "HasMore": len(keys) > 50,
                     "CurrentRev": self.revision}

    async def _watch(self, query, _body, _number):
        end = time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            changed = self.changed
            events = [each for each in self.history if each["Revision"] > int(query["After"])
                      and each["Key"].startswith(query["Prefix"])]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "CurrentRev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def _lease(self, _query, body, _number):
        self.last_lease += 1
        life = body["TtlMs"] / 1000
        self.leases[self.last_lease] = (life, time.monotonic() + life)
        return 200, {"Lease": self.last_lease, "TtlMs": body["TtlMs"]}

    async def _keep(self, _query, _body, number):
        if int(number) not in self.leases:
            return 404, {}
        life = self.leases[int(number)][0]
        self.leases[int(number)] = (life, time.monotonic() + life)
        return 200, {"TtlMs": int(life * 1000)}

    async def _lease_end(self, _query, _body, number):
        if int(number) not in self.leases:
            return 404, {}
        self._end(int(number))
        return 200, {}

    async def _txn(self, _query, body, _number):
        expected = body.get("Expect", [])
        for each in expected:
            known = self.items[each["Key"]][1] if each["Key"] in self.items else 0
            if known != each["Revision"]:
                return 412, {"Items": [self.item(one["Key"]) for one in expected
                                       if one["Key"] in self.items]}
        if any(each.get("Lease") and each["Lease"] not in self.leases
               for each in body.get("SetKeys", [])):
            return 404, {}
        self.revision += 1
        for each in body.get("SetKeys", []):
            self.put(each["Key"], base64.b64decode(each["Value"]), each.get("Lease", 0),
                     self.revision)
        for key in body.get("Remove", []):
            self.remove(key)
        return 200, {"Revision": self.revision}


class Server(Listener):
    """A backend server that registers in the store. `run` answers a request that it runs."""

    def __init__(self, store, service, name, slots, version="v1", run=None):
        super().__init__()
        self.store, self.service, self.name, self.slots = store, service, name, slots
        self.version, self.run = version, run
        self.born = self.sequence = 0
        self.beats = None

    async def start(self):
        await self.listen()
        self.born, self.sequence = int(time.time() * 1000), 0
        self.beats = asyncio.create_task(self._beat())
        return self

    async def _beat(self):
        while True:
            self.sequence += 1
            self.register()
            await asyncio.sleep(1.2)

    def register(self):
        entry = {"Service": self.service, "Address": self.address,
                 "Zone": "ka-sjever", "Version": self.version, "Slots": self.slots,
                 "State": "ready", "ColdRemainingMs": 0, "Phase": "both",
                 "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
                 "Sequence": self.sequence, "born": self.born}
        self.store.put("servers/" + self.name, json.dumps(entry).encode())

    def crash(self):
        self.beats.cancel()
        super().crash()

    async def handle(self, reader, writer, method, target, headers):
        echo = [("X-Attempt-Id", header(headers, "X-Attempt-Id", ""))]
        if header(headers, "X-Expect-Instance", self.name) != self.name:
            await read_body(reader, headers)
            writer.write(answer(421, b"", echo + [("X-Instance-Id", self.name)]))
            await writer.drain()
            return
        await self.run(self, reader, writer, target, headers)


class Entry:
    """An entry VM: the process of the deploy file's role, with settings of a small deployment."""

    def __init__(self, vm, zone, zones, store, seeds=None, ports=None):
        text = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        self.command = re.search(r'^run = "(.*)"$', text, re.MULTILINE).group(1).split()
        callers, readiness, peers, metrics = (f"127.0.0.1:{port}"
                                              for port in ports or free_ports(4))
        self.vm, self.callers, self.readiness, self.peers = vm, callers, readiness, peers
        self.settings = {
            "vm": vm, "failure_domain": zone, "failure_domains": zones, "callers": callers,
            "readiness": readiness, "peers": peers, "metrics": metrics, "store": store,
            "seeds": seeds or [peers], "descriptors": 4100, "leave_notice_ms": 2000,
            "config_bound_ms": 2000, "stop_grace_s": 8,
            "retries": {"ratio": 0.2, "slack": 56, "window_s": 10}}
        self.folder = tempfile.mkdtemp(prefix="review-3-")
        self.process = None

    def start(self):
        path = os.path.join(self.folder, "entry.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        log = open(os.path.join(self.folder, "log"), "ab")
        self.process = subprocess.Popen(
            [str(ROOT / self.command[0])] + self.command[1:], cwd=ROOT, stdout=log,
            stderr=subprocess.STDOUT,
            env={"HAWTHORNNOTCH_NODE_FILE": path, "PATH": os.environ["PATH"]})
        log.close()
        return self

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def kill(self):
        if self.is_running():
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def end(self):
        self.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def is_ready(self, within_s=10):
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            try:
                reader, writer = await connect(self.readiness)
                writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line, _ = await read_head(reader)
                writer.close()
                if " 200 " in line:
                    return True
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        return False


def engine_service(name, connections):
    return {"Name": name, "HealthPath": "/healthz", "MaxConnections": connections,
            "Protocol": "h1", "Tls": False,
            "Engine": {"Slots": 128, "KvCapacity": 454568, "KvBytes": 35136, "LinkMbps": 550000.0,
                       "Moves": True, "Backups": True, "Stride": 3, "most": 12, "PinMs": 4000.0,
                       "HoldMs": 2000.0, "HandleTtlS": 5.0, "Models": [{"Name": "m"}]}}


def stream_route(name, prefix, service):
    return {"Name": name, "Host": "review.example", "Prefix": prefix, "Type": "stream",
            "TimeoutMs": 15000, "TargetLatencyMs": 2000, "Priority": 2, "Service": service,
            "MaxAttempts": 2, "Anonymous": False, "Sticky": True, "Resumable": True,
            "TargetGapMs": 800}


def configuration(routes, services):
    return json.dumps({
        "Version": 7, "Routes": routes, "Services": services,
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000}}).encode()


def stream_request(attempt, size, more=(), deadline_ms=15000):
    """The head of a request for a stream; its prompt has a part that others share and its own."""
    shared = 0x5c1e0700 + random.randrange(SHARED_PARTS)
    parts = f"{shared:x}:13300,{random.getrandbits(40):x}:3720"
    headers = [("Host", "review.example"), ("X-Attempt-Id", attempt), ("X-Model", "m"),
               ("X-Token-Count", "17020,120"), ("X-Prompt-Prefix", parts),
               ("X-Deadline-Ms", deadline_ms), ("Content-Length", size), *more]
    return ("POST /s/x HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers)
            + "\r\n").encode()


def run_case(case, folder):
    """Runs `await case(record)` for 110 s at most and exits with its code."""
    record = Record(folder)

    async def bounded():
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        return await asyncio.wait_for(case(record), 110)

    try:
        code = asyncio.run(bounded())
    except Exception as failure:  # pylint: disable=broad-except
        record.show(f"could not run: {failure!r}")
        code = COULD_NOT_RUN
    sys.exit(code)
