#!/usr/bin/env python3
"""Measures how the use of the processes grows, one variable at a time, and writes docs/capacity.json.

Usage: bench/slopes/run.py [--bin build] [--output docs/capacity.json] [--only NAME]... [--window S]

Starts agents, routers and stand-ins on 127.0.0.1:31000 to 32749 (below the ports that
the system gives to connections), four fleets side by side, and ends
them by the ids it started.  At most some 80 processes a fleet.
"""

import argparse
import concurrent.futures
import itertools
import json
import os
import subprocess
import sys
import threading
import time

from fleet import DOMAIN, call, fleet, measure, wait_until

FLEETS_AT_ONCE = 4
SETTLE_S = 3
PEERS_SETTLE_S = 30
NO_POLLS_MS = 600_000
HERE = os.path.dirname(os.path.abspath(__file__))


def start_pairs(one, count, **agent_settings):
    for number in range(count):
        one.start_router(number)
        one.start_agent(number, **agent_settings)


def settle(one, servers, workspaces, routers, pause=SETTLE_S):
    wait_until("agents to know the fleet", lambda: all(
        len(one.dump(number)["backend_servers"]) >= servers and
        len([n for n in one.dump(number)["revisions"]]) >= workspaces
        for number in range(len(one.agents))), 20)
    wait_until("routers", lambda: all(
        call(one.base + 150 + number, "GET", "/readyz")[0] == 200 for number in range(routers)), 20)
    time.sleep(pause)


def plain(one, window, *, pairs=2, servers=20, workspaces=10, engines=4, poll_ms=NO_POLLS_MS,
          prepare=None, during=None, agent_settings=None, models=("model-0",), pause=SETTLE_S):
    one.start_engines(engines, models)
    one.make_workspaces(workspaces)
    one.announce(servers, engines, models)
    if prepare:
        prepare(one)
    start_pairs(one, pairs, poll_ms=poll_ms, **(agent_settings or {}))
    settle(one, servers, workspaces, pairs, pause)
    return measure(one, window, during and (lambda ended: during(one, ended)))


def servers(one, window, size):
    return plain(one, window, servers=size)


def polls(one, window, size):
    # 100 servers, each polled by both agents.
    return plain(one, window, servers=100, poll_ms=100_000 // size, engines=8)


def workspaces(one, window, size):
    return plain(one, window, workspaces=size)


def changes(one, window, size):
    def keep_changing(one, ended):
        for number in itertools.count():
            one.change(f"w{number % 290}")
            if ended.wait(1 / size):
                return
    return plain(one, window, workspaces=290, during=keep_changing)


def time_in_force(one, tries=5):
    """Longest seconds from a head's move to the revision at each agent and its router."""
    longest = 0
    for number in range(tries):
        name = f"w{number}"
        one.change(name)
        begin = time.monotonic()
        revision = one.head["subjects"][f"ws/{name}"]["revision"]
        wait_until("the change", lambda: all(
            revision_in_force(one.dump(agent), name) >= revision
            for agent in range(len(one.agents))), 30)
        longest = max(longest, time.monotonic() - begin)
    return round(longest, 2)


def revision_in_force(dump, name):
    router = dump["router"].get("revisions", {}) if dump["router"] else {}
    return min(dump["revisions"].get(name, 0), router.get(name, 0))


def peers(one, window, size):
    # Enough for small domains to have acknowledged all facts; 16 and more nodes need longer.
    point = plain(one, window, pairs=size, servers=100, workspaces=50, poll_ms=1000, engines=8,
                  pause=PEERS_SETTLE_S)
    point["change_in_force_s"] = time_in_force(one)
    return point


def peers_starting(one, window, size):
    point = plain(one, window, pairs=size, servers=100, workspaces=50)
    point["change_in_force_s"] = time_in_force(one)
    return point


def listed_elsewhere(one, window, size):
    def put_list(one):
        vms = [{"id": f"x{n}", "incarnation": "1", "role": "backend",
                "failure_domain": f"other-{n % 9}", "address": "127.0.0.1:9", "state": "live",
                "kind": "engine", "serves": ["model-0"], "slots": 64, "checks_fencing": False}
               for n in range(size)]
        status, _ = call(one.base, "PUT", "/standin/vms", vms)
        assert status == 200, status
    return plain(one, window, prepare=put_list)


def announced_elsewhere(one, window, size):
    def put_announcements(one):
        for begin in range(0, size, 100):
            one.put([(f"hn/fleet/other-{n % 9}/x{n}", json.dumps({
                "kind": "backend_server", "id": f"x{n}", "incarnation": "1",
                "failure_domain": f"other-{n % 9}", "address": "127.0.0.1:9",
                "serves": ["model-0"], "slots": 64, "service": False, "leaving": False,
                "checks_fencing": False})) for n in range(begin, begin + 100)])
    # Ten seconds hold one reading of the announcements by each agent that watches.
    return plain(one, 10, prepare=put_announcements)


def models(one, window, size):
    names = [f"model-{number}" for number in range(39)]
    orders = {"orders": {"replicas": {name: 2 for name in names[:size]},
                         "models_per_engine": 64}} if size else {}
    point = plain(one, window, servers=20, models=names, poll_ms=1000, agent_settings=orders)
    point["holders"] = [one.dump(number)["lease"]["phase"] == "holding" for number in range(2)]
    point["lease_dump"] = str(one.dump(0).get("lease"))[:300]
    return point


def client_load(one, window, kind, size):
    one.start_engines(12, slots=64, token_ms=36)
    one.start_service()
    one.make_workspaces(2)
    one.announce(12, 12, service=True)
    start_pairs(one, 1, poll_ms=1000)
    settle(one, 13, 2, 1, 2)
    command = [sys.executable, os.path.join(HERE, "client.py"), str(one.base + 100), kind,
               str(size), str(window + 9)]
    client = subprocess.Popen(command, stdout=subprocess.PIPE)
    one.processes.append(client)
    time.sleep(5)
    point = measure(one, window)
    out, _ = client.communicate(timeout=60)
    point["client"] = json.loads(out)
    return point


def requests(one, window, size):
    return client_load(one, window, "requests", size)


def orders(one, window, size):
    return client_load(one, window, "orders", size)


def streams(one, window, size):
    return client_load(one, window, "streams", size)


def tool(one, window, size):
    """Cost of `config set`, with `size` workspaces stored."""
    one.make_workspaces(size)
    path = one.settings_file("edit.json", {"workspace": "w0", "template": "slopes"})
    settings = one.settings_file("ctl.json", {
        "platform": [f"127.0.0.1:{one.base}"],
        "failure_domains": {DOMAIN: {"agents": [f"127.0.0.1:{one.base + 50}"]}}})
    before = one.counters()
    edits = 5
    seconds = 0
    for _ in range(edits):
        process = subprocess.Popen([os.path.join(one.bin, "hawthornnotchctl"), "--settings",
                                    settings, "config", "set", path], stdout=subprocess.DEVNULL,
                                   stderr=subprocess.DEVNULL)
        _, status, usage = os.wait4(process.pid, 0)
        process.returncode = status
        assert status == 0, status
        seconds += usage.ru_utime + usage.ru_stime
    after = one.counters()
    return {"processes": {}, "processor_ms_per_edit": round(1000 * seconds / edits, 2),
            "platform_calls_per_edit": {
                kind: (after[kind] - before.get(kind, 0)) / edits
                for kind in ("read", "write", "list", "watch") if kind in after}}


EXPERIMENTS = {
    "servers": (servers, (20, 200, 600, 1200)),
    "polls": (polls, (25, 50, 100, 200)),
    "workspaces": (workspaces, (10, 100, 290)),
    "changes": (changes, (0.5, 1, 2, 4)),
    "peers": (peers, (2, 8, 16, 32)),
    "peers_starting": (peers_starting, (1, 2, 4, 8, 16, 32)),
    "listed_elsewhere": (listed_elsewhere, (0, 1000, 4000, 11000)),
    "announced_elsewhere": (announced_elsewhere, (0, 1000, 4000)),
    "models": (models, (0, 10, 39)),
    "requests": (requests, (25, 50, 100, 200)),
    "streams": (streams, (40, 160, 320, 480)),
    "orders": (orders, (10, 40, 100)),
    "tool": (tool, (10, 100, 290)),
}


def fit(points):
    """Least squares.  \\returns (slope, value at 0)."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread if spread else 0
    return slope, mean_y - slope * mean_x


def values_of(point):
    """All numbers of a point, named; processes of a role as their mean and their largest."""
    values = {f"platform.{kind}": rate
              for kind, rate in point.get("platform_calls_per_s", {}).items()}
    for key in ("open_watches", "change_in_force_s", "processor_ms_per_edit", "resident_kb"):
        if key in point:
            values[key] = point[key]
    for kind, number in point.get("platform_calls_per_edit", {}).items():
        values[f"edit.{kind}"] = number
    if "tokens_per_s" in point.get("client", {}):
        values["tokens_per_s"] = point["client"]["tokens_per_s"]
    for role in ("agent", "router"):
        rows = [row for name, row in point["processes"].items() if name.startswith(role)]
        if not rows:
            continue
        columns = {"core_percent": [row["core_percent"] for row in rows],
                   "resident_kb": [row["resident_kb"] for row in rows]}
        if role == "agent":
            for kind in ("peers", "platform", "engines", "router"):
                columns[f"bytes.{kind}"] = [row["bytes_per_s"].get(kind, 0) for row in rows]
        for name, column in columns.items():
            values[f"{role}.{name}"] = round(sum(column) / len(column), 3)
            values[f"{role}.{name}.most"] = max(column)
    return values


def slopes_of(points):
    names = sorted(set.intersection(*[set(point["values"]) for point in points]))
    fitted = {}
    for name in names:
        slope, base = fit([(point["size"], point["values"][name]) for point in points])
        fitted[name] = {"slope": slope, "at_zero": base}
    return fitted


class port_blocks:
    """Hands out blocks of 250 ports."""

    def __init__(self):
        self.free = [31000 + 250 * number for number in range(7)]
        self.lock = threading.Lock()

    def take(self):
        with self.lock:
            return self.free.pop(0)

    def give_back(self, base):
        with self.lock:
            self.free.append(base)


def measure_point(options, blocks, name, size):
    base = blocks.take()
    try:
        with fleet(options.bin, base) as one:
            point = EXPERIMENTS[name][0](one, options.window, size)
    except Exception as failure:  # a point that fails is reported, the others go on
        print(f"{name} {size}: FAILED {failure!r}", file=sys.stderr, flush=True)
        return name, {"size": size, "failed": repr(failure)}
    finally:
        blocks.give_back(base)
    point["size"] = size
    point["values"] = values_of(point)
    if len(point["processes"]) > 8:
        del point["processes"]
    print(f"{name} {size}: done", file=sys.stderr, flush=True)
    return name, point


def load_average():
    with open("/proc/loadavg", encoding="ascii") as file:
        return float(file.read().split()[0])


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", default="build")
    parser.add_argument("--output", default="docs/capacity.json")
    parser.add_argument("--only", action="append")
    parser.add_argument("--window", type=float, default=4)
    options = parser.parse_args()
    begin, load_before = time.monotonic(), load_average()
    jobs = [(name, size) for name, (_, sizes) in EXPERIMENTS.items() for size in sizes
            if not options.only or name in options.only]
    jobs.sort(key=lambda job: job[0] not in ("peers", "streams"))
    found = {}
    blocks = port_blocks()
    with concurrent.futures.ThreadPoolExecutor(FLEETS_AT_ONCE) as pool:
        running = [pool.submit(measure_point, options, blocks, *job) for job in jobs]
        for done in concurrent.futures.as_completed(running):
            name, point = done.result()
            found.setdefault(name, []).append(point)
            write(options, found, begin, load_before)
    return 0 if write(options, found, begin, load_before) else 1


def write(options, found, begin, load_before):
    """Writes what is measured so far, so that a run that is cut short leaves its points.

    \\returns True if each variable has points of three sizes."""
    result = {"command": "bench/slopes/run.py", "window_s": options.window,
              "cores": os.cpu_count(), "fleets_at_once": FLEETS_AT_ONCE,
              "load_average": {"before": load_before, "after": load_average()},
              "duration_s": round(time.monotonic() - begin), "experiments": {}}
    if options.only and os.path.exists(options.output):
        with open(options.output, encoding="utf-8") as file:
            result["experiments"] = json.load(file)["experiments"]
    for name, points in found.items():
        points.sort(key=lambda point: point["size"])
        good = [point for point in points if "failed" not in point]
        result["experiments"][name] = {
            "points": points, "slopes": slopes_of(good) if len(good) >= 3 else None}
    with open(options.output, "w", encoding="utf-8") as file:
        json.dump(result, file, indent=1, sort_keys=True)
        file.write("\n")
    return all(one["slopes"] for one in result["experiments"].values())


if __name__ == "__main__":
    sys.exit(main())
