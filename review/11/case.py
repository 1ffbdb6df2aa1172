"""The store is away for 4.5 s, and before it is back all entry VMs lose power for 3 s.

Servers of two software versions serve side by side all the while. Streams that began while the store
was away are taken up again once the entry VMs and the store have been back for over 3 s: do they go on?
"""
import asyncio
import collections
import os
import pathlib
import random
import re
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-3"))
import lab3  # noqa: E402

VMS = 3
STREAMS = 48
STORE_AWAY_S = 4.5
DARK_S = 3.0
STABILITY_S = 3.0
DEADLINE_S = 15
EVENTS = 100
EVENT_GAP_S = 0.1
STORE_TROUBLE = lab3.TROUBLE and os.environ.get("STORE", "1") != "0"
POWER_TROUBLE = lab3.TROUBLE and os.environ.get("POWER", "1") != "0"


class AwayStore(lab3.Store):
    """A store that neither carries out nor answers the calls that come while it is away."""

    away = False

    async def handle(self, reader, writer, method, target, headers):
        held = self.away
        while self.away:
            await asyncio.sleep(0.02)
        if held:
            raise ConnectionResetError
        await super().handle(reader, writer, method, target, headers)


class Caller:
    """One stream over all tries of its caller."""

    def __init__(self, scene, number):
        self.scene, self.number = scene, number
        self.pieces = []
        self.first = None
        self.statuses = []
        self.deadline = None

    async def attempt(self, vm, until=None):
        """Reads a stream to its end, or leaves at `until`.  Returns how it ended."""
        attempt = lab3.new_id()
        more = [("Last-Event-Id", self.pieces[-1][0]), ("Resumes", self.first)] if self.pieces else []
        had = len(self.pieces)
        end = await self.read(vm, attempt, more, until)
        self.first = self.first or (attempt if self.pieces else None)
        self.statuses.append(end)
        self.scene.record("attempt", attempt, vm.vm, "resumes " + self.first if more else "new", "->",
                          end, f"{len(self.pieces) - had} events")
        return len(self.pieces) > had

    async def read(self, vm, attempt, more, until):
        writer = None
        self.deadline = self.deadline or time.monotonic() + DEADLINE_S
        left_ms = int((self.deadline - time.monotonic()) * 1000)
        try:
            reader, writer = await lab3.connect(vm.callers)
            writer.write(lab3.stream_request(attempt, 2, more, left_ms) + b"{}")
            line, headers = await lab3.read_head(reader)
            if " 200 " not in line:
                await lab3.read_body(reader, headers)
                return line.split(" ")[1] + " retry after " + lab3.header(headers, "Retry-After", "-")
            while until is None or time.monotonic() < until:
                data = await lab3.read_chunk(reader)
                if not data:
                    return "whole"
                for found in re.finditer(r"id: (\d+)\ndata: (\S+) (\S+)\n\n", data.decode()):
                    self.pieces.append((int(found[1]), found[2], found[3]))
                if until is None and len(self.pieces) > EVENTS // 2:
                    return "goes on"
            return "left"
        except (OSError, asyncio.IncompleteReadError) as failure:
            return "ended: " + type(failure).__name__
        finally:
            if writer is not None:
                writer.close()


class Scene:
    def __init__(self, record):
        self.record = record

    async def run_stream(self, server, reader, writer, _target, headers):
        attempt = lab3.header(headers, "X-Attempt-Id")
        await lab3.read_body(reader, headers)
        begin = int(lab3.header(headers, "Last-Event-Id", "0")) + 1
        self.record("run", attempt, "from", begin, "at", server.name, server.version)
        writer.write((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      f"X-Attempt-Id: {attempt}\r\nX-Response-Seal: 3e1b.07\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(begin, EVENTS + 1):
            event = f"id: {number}\ndata: {server.name} {server.version}\n\n".encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def case(record):
    store = await AwayStore().start()
    scene = Scene(record)
    store.put("op/config", lab3.configuration([lab3.stream_route("route-bulletin", "/s/", "llm")],
                                              [lab3.engine_service("llm", 610)]))
    for number in range(4):
        await lab3.Server(store, "llm", f"i-old-{number}", 128, run=scene.run_stream).start()
    free = lab3.free_ports(4 * VMS)
    ports = [free[4 * each:4 * each + 4] for each in range(VMS)]
    seeds = [f"127.0.0.1:{each[2]}" for each in ports]
    zones = ["zg-istok", "zg-zapad", "ka-sjever"]
    vms = [lab3.Entry(f"frontend-{zone}-1", zone, zones, store.address, seeds, each).start()
           for zone, each in zip(zones, ports)]
    try:
        return await play(record, scene, store, vms)
    finally:
        for vm in vms:
            vm.end()


async def play(record, scene, store, vms):
    if not all([await vm.is_ready() for vm in vms]):
        record.show("an entry VM did not become ready")
        return lab3.COULD_NOT_RUN
    await asyncio.sleep(12)
    for number in range(4):
        await lab3.Server(store, "llm", f"i-new-{number}", 128, "v2", run=scene.run_stream).start()
    record("four servers of v2 have joined")
    await asyncio.sleep(5)
    store.away = STORE_TROUBLE
    record("the store is away" if STORE_TROUBLE else "the store stays")
    away_until = time.monotonic() + STORE_AWAY_S
    await asyncio.sleep(0.5)
    left_at = time.monotonic() + 2.5
    callers = [Caller(scene, each) for each in range(STREAMS)]
    tasks = []
    for caller in callers:
        tasks.append(asyncio.create_task(caller.attempt(random.choice(vms), left_at)))
        await asyncio.sleep(1.5 / STREAMS)
    await asyncio.sleep(max(0, left_at - time.monotonic()))
    for vm in vms if POWER_TROUBLE else []:
        vm.kill()
    record("all entry VMs lose power" if POWER_TROUBLE else "no entry VM loses power")
    await asyncio.gather(*tasks)
    await asyncio.sleep(max(0, away_until - time.monotonic()))
    store.away = False
    record("the store is back")
    await asyncio.sleep(max(0, left_at + DARK_S - time.monotonic()))
    for vm in vms if POWER_TROUBLE else []:
        vm.start()
    if not all([await vm.is_ready() for vm in vms]):
        record.show("an entry VM did not become ready again")
        return lab3.COULD_NOT_RUN
    await asyncio.sleep(STABILITY_S + 0.5)
    record("all have been back for over 3 s")
    return await take_up(record, scene, vms, callers)


async def take_up(record, scene, vms, callers):
    begun = [each for each in callers if each.pieces]
    versions = collections.Counter(each.pieces[0][2] for each in begun)
    new = [Caller(scene, STREAMS + each) for each in range(STREAMS)]
    results = await asyncio.gather(*(each.attempt(random.choice(vms)) for each in begun + new))
    on, fresh = sum(results[:len(begun)]), sum(results[len(begun):])
    mixed = [each for each in begun if len({piece[2] for piece in each.pieces}) > 1]
    record.show(f"{len(begun)} streams taken up (began at {dict(versions)}), {on} went on, "
                f"{len(mixed)} of them at another version; of {STREAMS} new ones {fresh} began")
    record.show("answers to those taken up:",
                dict(collections.Counter(each.statuses[-1].split(" retry")[0] for each in begun)))
    if len(begun) < 12:
        record.show("fewer than 12 streams to take up")
        return lab3.COULD_NOT_RUN
    broken = on / len(begun) < fresh / STREAMS / 2
    record.show("LOST is broken" if broken else "LOST is kept")
    return lab3.BROKEN if broken else lab3.HELD


lab3.run_case(case, HERE)
