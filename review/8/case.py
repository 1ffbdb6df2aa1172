"""All entry VMs and the store lose power while two software versions serve; the store comes back from a copy."""
import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import fleet as f  # noqa: E402

HERE = pathlib.Path(__file__).resolve().parent
VMS = 3
OLD, NEW = 3, 2
STREAMS = 60
EVENTS = 50
GAP_S = 0.2
DEADLINE_MS = 15000
BEFORE_S = 6.0
COPY_BEFORE_S = 0.5
AFTER_JOIN_S = 1.5
RUN_S = 2.5
STORE_AWAY_S = 1.0
DARK_S = 3.0
TRIES_AT_S = (4.0, 5.5)
MOST_MIXED = 2
# Parts of the disruption, to see what each does alone.
KILL = f.trouble() and os.environ.get("KILL", "1") != "0"
COPY = f.trouble() and os.environ.get("COPY", "1") != "0"


async def draft(server, request):
    await f.read_body(request["reader"], request["headers"])
    first = int(request["headers"].get("last-event-id", "0")) + 1
    server.fleet.record.line("run", server=server.id, version=server.version, id=request["id"], first_event=first)
    writer = request["writer"]
    head = server.headers(request["id"]) + [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
    writer.write(f.message("HTTP/1.1 200 OK", head))
    for number in range(first, EVENTS + 1):
        event = f"id: {number}\ndata: {server.version}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(GAP_S)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def caller(fleet, number, seen, broken_at):
    """A stream; its caller takes it up after the connection broke, and comes back a few times within its deadline."""
    events, end = [], f.now() + DEADLINE_MS / 1000
    for attempt in range(1 + len(TRIES_AT_S)):
        entry = fleet.entries[(number + attempt) % len(fleet.entries)]
        request_id = f"{number:08x}{attempt:08x}"
        headers = [("X-Model", "m"), ("X-Token-Count", "1460,80"), ("X-Prompt-Prefix", f"{number + 4096:x}:800,{number + 16:x}:410")]
        before = list(events)
        if before:
            headers += [("Last-Event-Id", len(before)), ("Resumes", f"{number:08x}{0:08x}")]

        def take(answer):
            if answer.status == 200:
                whole = answer.body.split(b"\n\n")[:answer.body.count(b"\n\n")]
                events[:] = before + [each.decode().split("data: ")[1] for each in whole]

        left_ms = int((end - f.now()) * 1000)
        if left_ms < 100:
            break
        fleet.record.line("sent", id=request_id, vm=entry.name, have=len(before))
        answer = await f.call(entry.address, entry.ports["Frontend"], "POST", "/lohu930/2f", request_id, left_ms, headers,
                              b"a draft", on_events=take)
        fleet.record.line("answered", id=request_id, vm=entry.name, got=answer.text(), events=len(events),
                          versions=",".join(sorted(set(events))))
        if (answer.whole and answer.status == 200) or attempt == len(TRIES_AT_S) or not events:
            break
        await broken_at.wait()
        await asyncio.sleep(max(0.0, broken_at.time + TRIES_AT_S[attempt] - f.now()))
    seen[number] = events


async def run():
    fleet = f.Fleet(HERE, [f.stream_route("huvo11a")], [f.engine("huvo11a")], entries=VMS)
    for index in range(OLD):
        fleet.add_server(f"i-{index + 1}", "huvo11a", "v1", 128, draft)
    seen, broken_at = {}, asyncio.Event()
    try:
        await fleet.start()
        await asyncio.sleep(BEFORE_S)
        copy = fleet.store.copy()
        await asyncio.sleep(COPY_BEFORE_S)
        for index in range(NEW):
            await fleet.add_server(f"i-{OLD + index + 1}", "huvo11a", "v2", 128, draft).start()
        await asyncio.sleep(AFTER_JOIN_S)
        tasks = [asyncio.ensure_future(caller(fleet, number, seen, broken_at)) for number in range(1, STREAMS + 1)]
        await asyncio.sleep(RUN_S)
        broken_at.time = f.now()
        broken_at.set()
        if KILL:
            for entry in fleet.entries:
                await entry.kill()
            fleet.record.line("power_lost")
        if COPY:
            fleet.store.listener.stop()
            await asyncio.sleep(STORE_AWAY_S)
            await fleet.store.come_back_from(copy)
            for server in fleet.servers:
                await server.register()
            fleet.record.line("store_back_from_copy", era=fleet.store.era)
        if KILL:
            await asyncio.sleep(broken_at.time + DARK_S - f.now())
            for entry in fleet.entries:
                await entry.start()
        await asyncio.gather(*tasks)
        mixed = [number for number, events in seen.items() if len(set(events)) > 1]
        whole = sum(len(events) == EVENTS for events in seen.values())
        fleet.record.say(f"power lost: {KILL}, store from a copy: {COPY}; streams: {len(seen)}, whole: {whole}, with events of "
                         f"two versions: {len(mixed)} (at most {MOST_MIXED})")
        broken = len(mixed) > MOST_MIXED
        fleet.record.say("BROKEN: ORDER" if broken else "held")
        return broken
    finally:
        await fleet.stop()


f.main(run, HERE)
