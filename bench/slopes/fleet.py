"""Starts and ends the processes of one measurement, and reads what they use."""

import base64
import copy
import http.client
import json
import os
import signal
import subprocess
import tempfile
import threading
import time

from sockets import byte_counter

DOMAIN = "zg-istok"
TEMPLATE = {
    "template": "slopes", "parameters": {},
    "body": {"default_class": "answer", "models": ["model-0", "orders"], "classes": [
        {"name": "answer", "tier": 1, "first_token_ms": 1300, "between_tokens_ms": 50},
        {"name": "order", "tier": 0, "completion_ms": 2000, "idempotent": False}]}}


def call(port, method, path, body=None, timeout=5):
    link = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        link.request(method, path, None if body is None else json.dumps(body),
                     {"Content-Type": "application/json"})
        answer = link.getresponse()
        return answer.status, answer.read()
    finally:
        link.close()


def wait_until(what, condition, seconds=20):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.1)
    raise RuntimeError(f"waited {seconds} s in vain for {what}")


def text64(text):
    return base64.b64encode(text.encode()).decode()


class fleet:
    """One platform stand-in, engines, a service, agents and routers; a context manager.

    Ports: base = platform, +1 service, +10.. engines, +50.. agents, +100.. routers, +150..
    routers' operator listeners.
    """

    def __init__(self, bin_folder, base):
        self.bin = os.path.abspath(bin_folder)
        self.base = base
        self.work = tempfile.TemporaryDirectory()
        self.processes = []
        self.agents = []
        self.routers = []
        self.head = None

    def __enter__(self):
        self.start("standin-platform", "--listen", f"127.0.0.1:{self.base}")
        wait_until("the platform stand-in", lambda: self.counters() is not None)
        return self

    def __exit__(self, *_):
        for process in self.processes:
            process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()
        self.work.cleanup()

    def start(self, program, *arguments):
        log = open(os.path.join(self.work.name, f"{len(self.processes)}.log"), "wb")
        with log:
            process = subprocess.Popen([os.path.join(self.bin, program), *arguments],
                                       stdout=log, stderr=log)
        self.processes.append(process)
        return process.pid

    def settings_file(self, name, content):
        path = os.path.join(self.work.name, name)
        with open(path, "w", encoding="utf-8") as file:
            json.dump(content, file)
        return path

    def counters(self):
        return json.loads(call(self.base, "GET", "/standin/counters")[1])

    def start_engines(self, count, models=("model-0",), slots=64, token_ms=20):
        for number in range(count):
            self.start("standin-engine", "--listen", f"127.0.0.1:{self.base + 10 + number}",
                       "--models", ",".join(models), "--first-token-ms", "20", "--token-ms",
                       str(token_ms), "--slots", str(slots))

    def start_service(self):
        self.start("standin-service", "--listen", f"127.0.0.1:{self.base + 1}", "--name", "city",
                   "--delay-ms", "5")

    def start_agent(self, number, **changes):
        settings = {"vm": f"vm-{number}", "failure_domain": DOMAIN,
                    "listen": f"127.0.0.1:{self.base + 50 + number}",
                    "router": f"127.0.0.1:{self.base + 100 + number}",
                    "router_control": f"127.0.0.1:{self.base + 150 + number}",
                    "platform": [f"127.0.0.1:{self.base}"],
                    "seeds": [f"127.0.0.1:{self.base + 50}"] if number else []}
        settings.update(changes)
        self.agents.append(self.start("hawthornnotch-agent", "--settings",
                                      self.settings_file(f"agent-{number}.json", settings)))

    def start_router(self, number):
        settings = {"vm": f"vm-{number}", "failure_domain": DOMAIN,
                    "listen": f"127.0.0.1:{self.base + 100 + number}",
                    "operator_listen": f"127.0.0.1:{self.base + 150 + number}",
                    "platform": [f"127.0.0.1:{self.base}"], "authenticate": False}
        self.routers.append(self.start("hawthornnotch-router", "--settings",
                                       self.settings_file(f"router-{number}.json", settings)))

    def ctl(self, *arguments):
        settings = self.settings_file("ctl.json", {
            "platform": [f"127.0.0.1:{self.base}"],
            "failure_domains": {DOMAIN: {"agents": [f"127.0.0.1:{self.base + 50}"]}}})
        return subprocess.run([os.path.join(self.bin, "hawthornnotchctl"), "--settings", settings,
                               *arguments], check=True, capture_output=True, timeout=120)

    # Announces through the store in the tool's form; `engines` addresses are shared in turn.
    def announce(self, servers, engines, models=("model-0",), service=False):
        changes = []
        for number in range(servers):
            vm = {"kind": "backend_server", "id": f"b{number}", "incarnation": "1",
                  "failure_domain": DOMAIN, "serves": list(models), "slots": 64, "service": False,
                  "address": f"127.0.0.1:{self.base + 10 + number % engines}",
                  "leaving": False, "checks_fencing": False}
            changes.append((f"hn/fleet/{DOMAIN}/b{number}", json.dumps(vm)))
        if service:
            vm = {"kind": "backend_server", "id": "city", "incarnation": "1",
                  "failure_domain": DOMAIN, "address": f"127.0.0.1:{self.base + 1}",
                  "serves": ["orders"], "slots": 64, "service": True, "leaving": False,
                  "checks_fencing": False}
            changes.append((f"hn/fleet/{DOMAIN}/city", json.dumps(vm)))
        for at in range(0, len(changes), 100):
            self.put(changes[at:at + 100])

    def put(self, changes):
        status, answer = call(self.base, "POST", "/v3/kv/txn", {"compare": [], "success": [
            {"request_put": {"key": text64(key), "value": text64(value)}}
            for key, value in changes]})
        if status != 200:
            raise RuntimeError(answer)

    def get(self, key):
        answer = json.loads(call(self.base, "POST", "/v3/kv/range", {"key": text64(key)})[1])
        return base64.b64decode(answer["kvs"][0]["value"]).decode()

    # The first workspace is written by the tool; the others are copies of what it wrote.
    def make_workspaces(self, count):
        self.ctl("config", "set", self.settings_file("template.json", TEMPLATE))
        self.ctl("config", "set", self.settings_file("workspace.json", {
            "workspace": "w0", "template": "slopes"}))
        self.head = json.loads(self.get("hn/config/head"))
        first = self.head["subjects"]["ws/w0"]
        self.body = json.loads(self.get(first["key"]))
        self.edits = 0
        changes = []
        for number in range(1, count):
            changes.append(self.version_of(f"w{number}"))
        for at in range(0, len(changes), 100):
            self.put(changes[at:at + 100])
        self.put([("hn/config/head", json.dumps(self.head))])

    def version_of(self, name):
        pointer = self.head["subjects"].get(f"ws/{name}")
        self.edits += 1
        edit = f"{self.head['edit_count']}-slopes-{self.edits}"
        revision = (pointer["revision"] if pointer else 0) + 1
        key = f"hn/config/ws/{name}/{revision}-{edit}"
        self.head["subjects"][f"ws/{name}"] = {"revision": revision, "key": key}
        self.head["edit_count"] += 1
        recent = self.head["recent"] + [{"id": edit, "accepted": True, "revision": revision}]
        self.head["recent"] = recent[-256:]
        body = copy.deepcopy(self.body)
        body["workspace"] = name
        body["revision"] = revision
        return key, json.dumps(body)

    # The calls of one edit as the tool makes them, from outside the measured processes.
    def change(self, name):
        self.put([self.version_of(name)])
        self.put([("hn/config/head", json.dumps(self.head))])

    def dump(self, agent=0):
        return json.loads(call(self.base + 50 + agent, "GET", "/dump")[1])

    def kind_of_agent(self, number):
        own = self.base + 50 + number

        def kind(local, remote):
            port = remote if local != own else own
            if port == self.base:
                return "platform"
            if self.base + 50 <= port < self.base + 100:
                return "peers"
            if self.base + 150 <= port < self.base + 200:
                return "router"
            return "engines"
        return kind


def processor_s(pid):
    """Processor seconds of all threads."""
    total = 0
    for thread in os.listdir(f"/proc/{pid}/task"):
        with open(f"/proc/{pid}/task/{thread}/schedstat", encoding="ascii") as file:
            total += int(file.read().split()[0])
    return total / 1e9


def resident_kb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    return 0


def number_values(counters):
    return {key: value for key, value in counters.items() if isinstance(value, int)}


def measure(one, window_s, during=None):
    """Reads all agents and routers over a window.  `during` runs beside it, with an end event."""
    ended = threading.Event()
    beside = threading.Thread(target=during, args=(ended,)) if during else None
    if beside:
        beside.start()
        time.sleep(2)
    pids = {**{f"agent-{i}": pid for i, pid in enumerate(one.agents)},
            **{f"router-{i}": pid for i, pid in enumerate(one.routers)}}
    carried = byte_counter({pid: one.kind_of_agent(i) for i, pid in enumerate(one.agents)})
    carried.sample()
    calls = number_values(one.counters())
    before = {name: processor_s(pid) for name, pid in pids.items()}
    begin = time.monotonic()
    while time.monotonic() - begin < window_s:
        time.sleep(0.25)
        carried.sample()
    length = time.monotonic() - begin
    after = {name: processor_s(pid) for name, pid in pids.items()}
    calls_after = number_values(one.counters())
    carried.sample()
    ended.set()
    if beside:
        beside.join()
    point = {"window_s": round(length, 2), "processes": {}, "platform_calls_per_s": {
        kind: round((calls_after[kind] - calls.get(kind, 0)) / length, 3)
        for kind in calls_after if kind not in ("revision", "open_watches")},
        "open_watches": calls_after.get("open_watches", 0)}
    for name, pid in pids.items():
        row = {"core_percent": round(100 * (after[name] - before[name]) / length, 3),
               "resident_kb": resident_kb(pid)}
        if name.startswith("agent"):
            row["bytes_per_s"] = {kind: round(total / length)
                                  for kind, total in carried.carried.get(pid, {}).items()}
        point["processes"][name] = row
    return point
