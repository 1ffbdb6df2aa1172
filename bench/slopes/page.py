#!/usr/bin/env python3
"""Recomputes the tables of docs/CAPACITY.md from docs/capacity.json.

Usage: bench/slopes/page.py --check|--write

A table stands between the lines `<!-- table NAME -->` and `<!-- end -->`.  --check exits with 1 if
the page differs from the figures.
"""

import json
import os
import re
import sys

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
NODES, REPLICAS, DOMAINS, WORKSPACES = 320, 12_000, 10, 290
NODES_HERE, REPLICAS_HERE = NODES // DOMAINS, REPLICAS // DOMAINS
REQUESTS = 14_000 / NODES
TOKENS = 5_400_000 / NODES
TOKEN_GAP_S = 0.036
STREAMS = TOKENS * TOKEN_GAP_S
CHANGES = 18_000 / 86_400
POLLS = 2 * REPLICAS_HERE / NODES_HERE
LISTED_ELSEWHERE = (REPLICAS + NODES) * (DOMAINS - 1) / DOMAINS
ANNOUNCED_ELSEWHERE = REPLICAS * (DOMAINS - 1) / DOMAINS
BUDGET_CORE, BUDGET_KB, BUDGET_BYTES = 3.3, 32 * 1024, 20_000
WRITES_LIMIT, READS_LIMIT = 500, 2_000
FACT_BYTES, EXCHANGES_PER_S = 8_192, 4
IN_FORCE_S = 13

with open(os.path.join(ROOT, "docs", "capacity.json"), encoding="utf-8") as source:
    DATA = json.load(source)
RUNS = DATA["experiments"]


def points(name):
    return [p for p in RUNS.get(name, {}).get("points", []) if "values" in p]


def value_at(name, size, column):
    for point in points(name):
        if point["size"] == size:
            return point["values"].get(column)
    return None


def line(name, column, by=None):
    """(slope, value at zero), or None if fewer than three sizes are measured."""
    pairs = [(p["values"][by] if by else p["size"], p["values"][column])
             for p in points(name) if column in p["values"]]
    if len(pairs) < 3:
        return None
    mean_x = sum(x for x, _ in pairs) / len(pairs)
    mean_y = sum(y for _, y in pairs) / len(pairs)
    spread = sum((x - mean_x) ** 2 for x, _ in pairs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread
    return slope, mean_y - slope * mean_x


def number(value):
    if value is None:
        return "not measured"
    if value == 0:
        return "0"
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def verdict(value, budget):
    if value is None:
        return "not measured"
    return "within" if value <= budget else f"**over, x{value / budget:.3g}**"


def table(head, rows):
    out = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    out += ["| " + " | ".join(str(cell) for cell in row) + " |" for row in rows]
    return "\n".join(out)


def peers_step(column):
    there, here = (value_at("peers_starting", size, column) for size in (NODES_HERE, 2))
    return None if there is None or here is None else there - here


# One sum: the terms (label, slope, amount, product) and their total; None if a term lacks.
def total_of(column, terms):
    rows, total = [], 0.0
    base = line("servers", column)
    if base:
        rows.append(("no servers, 10 workspaces, 2 nodes", None, None, base[1]))
        total += base[1]
    for label, run, amount in terms:
        fitted = line(run, column)
        if fitted is None:
            rows.append((label, None, amount, None))
            continue
        product = max(0.0, fitted[0]) * amount
        rows.append((label, fitted[0], amount, product))
        total += product
    if column.startswith("agent"):
        step = peers_step(column)
        rows.append((f"{NODES_HERE} nodes in place of 2 (measured at both)", None, None, step))
        total += max(0.0, step or 0.0)
    return rows, total if base else None


OWN = [("backend servers of the domain", "servers", REPLICAS_HERE),
       ("load reports polled a second", "polls", POLLS),
       ("workspaces beyond 10", "workspaces", WORKSPACES - 10),
       ("changes a second", "changes", CHANGES)]
WATCHING = [("VMs listed in other domains", "listed_elsewhere", LISTED_ELSEWHERE),
            ("servers announced in other domains", "announced_elsewhere", ANNOUNCED_ELSEWHERE)]
ORDERING = [("models ordered", "models", 39)]
NETWORK = ("agent.bytes.peers", "agent.bytes.platform", "agent.bytes.engines")
CONTROL = OWN[:1] + OWN[2:]


def sum_table(column, terms):
    rows, total = total_of(column, terms)
    body = [(label, number(slope), number(amount) if amount is not None else "", number(product))
            if slope is not None else
            (label, "", number(amount) if amount is not None else "", number(product))
            for label, slope, amount, product in rows]
    return table(("term", "slope", "amount", "product"),
                 body + [("**sum**", "", "", f"**{number(total)}**")])


# Exchanges are bounded by message budgets, so the domain of full size is taken as measured.
# An agent that doesn't watch hears of changes from its peers and reads the platform as measured there.
def network(terms):
    peers = value_at("peers", NODES_HERE, "agent.bytes.peers")
    own = value_at("peers", NODES_HERE, "agent.bytes.platform")
    if peers is None or own is None:
        return None
    watches = any(term in terms for term in WATCHING)
    platform_bytes = total_of("agent.bytes.platform", terms)[1] if watches else own
    return peers + platform_bytes + total_of("agent.bytes.engines", terms)[1]


def agent_peers():
    rows = [(state, p["size"], number(p["values"]["agent.bytes.peers"]),
             verdict(p["values"]["agent.bytes.peers"], BUDGET_BYTES))
            for state, run in (("30 s after", "peers"), ("3 s after", "peers_starting"))
            for p in points(run)]
    return table(("state", "nodes of the domain", "B/s with peers", "against 20 KB/s"), rows)


def roles():
    rows = []
    for name, terms in (("agent", OWN), ("agent that watches the platform", OWN + WATCHING),
                        ("agent with the lease, watching", OWN + WATCHING + ORDERING)):
        core = total_of("agent.core_percent", terms)[1]
        memory = total_of("agent.resident_kb", terms)[1]
        carried = network(terms)
        rows.append((name, number(core), verdict(core, BUDGET_CORE), number(memory / 1024),
                     verdict(memory, BUDGET_KB), number(carried and carried / 1000),
                     verdict(carried, BUDGET_BYTES)))
    core = total_of("router.core_percent", CONTROL)[1]
    memory = total_of("router.resident_kb", CONTROL)[1]
    push = total_of("agent.bytes.router", OWN)[1]
    rows.append(("router's control", number(core), verdict(core, BUDGET_CORE),
                 number(memory / 1024), verdict(memory, BUDGET_KB),
                 f"{number(push / 1000)} (inside the VM)", "see below"))
    both = core + total_of("agent.core_percent", OWN)[1]
    both_memory = memory + total_of("agent.resident_kb", OWN)[1]
    rows.append(("node: agent and router's control", number(both), verdict(both, BUDGET_CORE),
                 number(both_memory / 1024), verdict(both_memory, BUDGET_KB),
                 number(network(OWN) and network(OWN) / 1000), verdict(network(OWN), BUDGET_BYTES)))
    return table(("role", "% of a core", "verdict", "MB", "verdict", "KB/s", "verdict"), rows)


def data_path():
    rows = []
    for label, run, by, amount in (("requests/s", "requests", None, REQUESTS),
                                   ("tokens/s", "streams", "tokens_per_s", TOKENS)):
        fitted = line(run, "router.core_percent", by)
        rows.append((label, "processor, % of a core", number(fitted and fitted[0]), number(amount),
                     number(fitted and fitted[0] * amount)))
    fitted = line("streams", "router.resident_kb")
    rows.append(("open streams", "memory, KB", number(fitted and fitted[0]), number(STREAMS),
                 number(fitted and fitted[0] * STREAMS)))
    for label, column in (("orders/s", "router.core_percent"), ("orders/s", "platform.write")):
        fitted = line("orders", column)
        unit = "processor, % of a core" if column.startswith("router") else "platform writes/s"
        rows.append((label, unit, number(fitted and fitted[0]), "share of orders not given", ""))
    if fitted:
        rows.append(("orders/s of the fleet", "at which the service's writes are used up",
                     number(fitted[0]), f"{WRITES_LIMIT} writes/s", number(WRITES_LIMIT / fitted[0])))
    return table(("variable", "what", "slope", "amount at a node", "product"), rows)


CALLS = ("read", "write", "list", "lease_grant", "lease_keepalive")


def calls_at(size):
    return sum(value_at("peers", size, f"platform.{kind}") or 0 for kind in CALLS)


def platform():
    rows = []
    for point in points("peers"):
        size = point["size"]
        rows.append((f"measured, one domain of {size}", number(calls_at(size)),
                     point["values"]["open_watches"]))
    most = max((p["size"] for p in points("peers")), default=0)
    watches = value_at("peers", most, "open_watches") or 0
    rows.append((f"{DOMAINS} domains of {most}: measured x {DOMAINS}",
                 number(calls_at(most) * DOMAINS), number(watches * DOMAINS)))
    reads = line("changes", "platform.read")
    rows.append((f"reads for {CHANGES:.3f} changes/s: slope {number(reads and reads[0])} a domain "
                 f"x {CHANGES:.3f} x {DOMAINS}",
                 number(reads and reads[0] * CHANGES * DOMAINS), ""))
    return table(("what", "calls/s", "waiting watches"), rows)


def tool():
    rows = [(p["size"], number(p["values"]["processor_ms_per_edit"]),
             number(p["values"].get("edit.read")),
             number(p["values"].get("edit.write"))) for p in points("tool")]
    return table(("workspaces stored", "processor ms an edit", "reads", "writes"), rows)


def in_force():
    rows = [(state, p["size"], number(p["values"]["change_in_force_s"]),
             verdict(p["values"]["change_in_force_s"], IN_FORCE_S))
            for state, run in (("30 s after", "peers"), ("3 s after", "peers_starting"))
            for p in points(run)]
    return table(("state", "nodes of the domain", "slowest of 5 changes, s", f"against {IN_FORCE_S} s"), rows)


# The size of the domain's servers at which a sum reaches its budget, all else at design size.
def breaking():
    rows = []
    cases = (("agent's processor time", "agent.core_percent", OWN, BUDGET_CORE),
             ("agent's memory", "agent.resident_kb", OWN, BUDGET_KB),
             ("router's control, processor time", "router.core_percent", CONTROL, BUDGET_CORE),
             ("router's memory before load", "router.resident_kb", CONTROL, BUDGET_KB))
    for label, column, terms, budget in cases:
        slope = line("servers", column)
        total = total_of(column, terms)[1]
        if slope is None or slope[0] <= 0:
            continue
        rest = total - slope[0] * REPLICAS_HERE
        at = (budget - rest) / slope[0]
        rows.append((label, number(max(0, at)), REPLICAS_HERE,
                     "the rest alone is over" if at <= 0 else ""))
    for label, run, amount in (("watching agent's bytes: VMs listed in other domains",
                                "listed_elsewhere", LISTED_ELSEWHERE),
                               ("watching agent's bytes: servers announced in other domains",
                                "announced_elsewhere", ANNOUNCED_ELSEWHERE)):
        slope = line(run, "agent.bytes.platform")
        if slope and slope[0] > 0:
            rows.append((label, number(BUDGET_BYTES / slope[0]), number(amount),
                         "the whole budget for it alone"))
    return table(("what", "reaches its budget at", "design", "note"), rows)


def day():
    push = line("servers", "agent.bytes.router")
    per_workspace = line("workspaces", "agent.bytes.router")
    data = line("requests", "router.core_percent")
    tokens = line("streams", "router.core_percent", "tokens_per_s")
    rows = []
    if data and tokens:
        load = data[0] * REQUESTS + tokens[0] * TOKENS
        after = DOMAINS / (DOMAINS - 1)
        rows.append(("failure domain lost", f"data path of each other node: {number(load)} % x "
                     f"{DOMAINS}/{DOMAINS - 1} = {number(load * after)} % of a core"))
        rows.append(("rack lost (1 node taken as one)", f"{number(load)} % x {NODES_HERE}/"
                     f"{NODES_HERE - 1} = {number(load * NODES_HERE / (NODES_HERE - 1))} % "
                     "at the domain's others"))
    if push and per_workspace:
        size = push[0] * REPLICAS_HERE + per_workspace[0] * WORKSPACES
        rounds = size / FACT_BYTES
        rows.append(("node replaced: state to fetch", f"at most {number(push[0])} B x "
                     f"{REPLICAS_HERE} + {number(per_workspace[0])} B x {WORKSPACES} = "
                     f"{number(size / 1000)} KB; at {FACT_BYTES} B a message and "
                     f"{EXCHANGES_PER_S} messages/s {number(rounds / EXCHANGES_PER_S)} s from "
                     "peers alone, less where the platform answers"))
        pairs = size * (NODES_HERE - 1) / FACT_BYTES / EXCHANGES_PER_S
        rows.append(("domain started at once: every pair tells all",
                     f"{number(size / 1000)} KB x {NODES_HERE - 1} peers at "
                     f"{number(FACT_BYTES * EXCHANGES_PER_S / 1000)} KB/s = {number(pairs)} s "
                     "at the byte budget of messages"))
    missed = 18_000 / 24
    rows.append(("region cut off for an hour", f"{number(missed)} changes missed, at most "
                 f"{WORKSPACES} workspaces to read x 2 watching agents x 4 domains = "
                 f"{WORKSPACES * 8} reads = {WORKSPACES * 8 / READS_LIMIT:.2g} s of the service's "
                 "reads; orders are refused as not_run for the hour"))
    return table(("event", "arithmetic"), rows)


def measured():
    rows = []
    for name, run in sorted(RUNS.items()):
        good = [str(p["size"]) for p in run["points"] if "values" in p]
        bad = [str(p["size"]) for p in run["points"] if "values" not in p]
        rows.append((name, ", ".join(good), ", ".join(bad) or "none"))
    rate = DATA["load_average"]
    note = (f"{DATA['cores']} cores, window {DATA['window_s']:g} s, {DATA['fleets_at_once']} fleets "
            f"at once, load average {rate['before']} before and {rate['after']} after the last run.")
    return note + "\n\n" + table(("variable", "sizes measured", "sizes failed"), rows)


def raw():
    rows = []
    columns = ("agent.core_percent", "agent.resident_kb", *NETWORK, "agent.bytes.router",
               "router.core_percent", "router.resident_kb")
    for name in sorted(RUNS):
        for p in points(name):
            if "agent.core_percent" in p["values"]:
                rows.append((name, p["size"], *(number(p["values"][c]) for c in columns)))
    return table(("variable", "size", "agent %", "agent KB", "peers B/s", "platform B/s",
                  "engines B/s", "to router B/s", "router %", "router KB"), rows)


TABLES = {
    "measured": measured, "roles": roles, "data_path": data_path, "platform": platform,
    "tool": tool, "in_force": in_force, "breaking": breaking, "day": day, "raw": raw,
    "agent_core": lambda: sum_table("agent.core_percent", OWN + WATCHING + ORDERING),
    "agent_memory": lambda: sum_table("agent.resident_kb", OWN + WATCHING + ORDERING),
    "agent_peers": agent_peers,
    "agent_platform": lambda: sum_table("agent.bytes.platform", OWN + WATCHING),
    "agent_engines": lambda: sum_table("agent.bytes.engines", OWN),
    "router_core": lambda: sum_table("router.core_percent", CONTROL),
    "router_memory": lambda: sum_table("router.resident_kb", CONTROL),
}


def main():
    path = os.path.join(ROOT, "docs", "CAPACITY.md")
    with open(path, encoding="utf-8") as file:
        page = file.read()
    made = re.sub(r"<!-- table (\w+) -->\n.*?<!-- end -->",
                  lambda at: f"<!-- table {at[1]} -->\n{TABLES[at[1]]()}\n<!-- end -->",
                  page, flags=re.DOTALL)
    if sys.argv[1:] == ["--write"]:
        with open(path, "w", encoding="utf-8") as file:
            file.write(made)
        return 0
    if sys.argv[1:] != ["--check"]:
        print(__doc__, file=sys.stderr)
        return 2
    if made != page:
        print("docs/CAPACITY.md differs from docs/capacity.json; run bench/slopes/page.py --write",
              file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
