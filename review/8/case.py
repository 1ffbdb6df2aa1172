"""The servers of a service are replaced, one after the other, while callers use them through one entry VM."""
import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import fleet as f  # noqa: E402

HERE = pathlib.Path(__file__).resolve().parent
SERVERS = 12
SLOTS = 128
EVENTS = 14
GAP_S = 0.5
STREAMS_PER_S = 130
DEADLINE_MS = 8000
TRIES = 2
RELEASE_GAP_S = 0.8
AT_A_TIME = 2
STEPS = 60
REPLACED = AT_A_TIME * STEPS
LINGER_S = 6.0
DRAIN_S = f.BOUNDS["DrainMs"] / 1000
BEFORE_S = 1.0
LENGTH_S = 106.0
MOST_FAILED = 0.6
DESCRIPTORS = 4100


async def draft(server, request):
    await f.read_body(request["reader"], request["headers"])
    server.fleet.record.line("run", server=server.id, id=request["id"])
    writer = request["writer"]
    head = server.headers(request["id"]) + [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
    writer.write(f.message("HTTP/1.1 200 OK", head))
    for number in range(1, EVENTS + 1):
        event = f"id: {number}\ndata: {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(GAP_S)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


class Count:
    def __init__(self):
        self.owed, self.served = 0, 0


async def caller(fleet, entry, number, counts):
    """One request; comes back once after a refusal or a failure. Counted once it has ended."""
    begun = f.now()
    headers = [("X-Model", "m"), ("X-Token-Count", "1460,80"), ("X-Prompt-Prefix", f"aa1:800,{number + 16:x}:410")]
    served = False
    for attempt in range(TRIES):
        left_ms = int(DEADLINE_MS - (f.now() - begun) * 1000)
        if left_ms < 100:
            break
        request_id = f"{number:08x}{attempt:08x}"
        fleet.record.line("sent", id=request_id)
        answer = await f.call(entry.address, entry.ports["Frontend"], "POST", "/lohu930/2f", request_id, left_ms,
                              headers, b"a draft")
        fleet.record.line("answered", id=request_id, got=answer.text())
        if answer.status == 200 and answer.whole:
            served = True
            break
        await asyncio.sleep(float(answer.headers.get("retry-after", "0.1")))
    for count in counts:
        count.owed += 1
        count.served += served


def descriptors(entry):
    return len(os.listdir(f"/proc/{entry.process.pid}/fd"))


async def replace(fleet, server, number):
    fresh = fleet.add_server(f"i-{number}", "huvo11a", "v1", SLOTS, draft)
    await fresh.start()
    await server.leave(DRAIN_S + LINGER_S)


async def release(fleet, tasks):
    """Replaces the servers two at a time: the new ones start first, the old ones drain."""
    for step in range(STEPS):
        for replaced in range(step * AT_A_TIME, (step + 1) * AT_A_TIME):
            tasks.append(asyncio.ensure_future(replace(fleet, fleet.servers[replaced], SERVERS + replaced + 1)))
        await asyncio.sleep(RELEASE_GAP_S)
    fleet.record.line("release_over")


async def run():
    fleet = f.Fleet(HERE, [f.stream_route("huvo11a")], [f.engine("huvo11a")], entries=1, descriptors=DESCRIPTORS)
    for index in range(SERVERS):
        fleet.add_server(f"i-{index + 1}", "huvo11a", "v1", SLOTS, draft)
    tasks = []
    try:
        await fleet.start()
        entry = fleet.entries[0]
        whole_day, calm = Count(), Count()
        calm_from = BEFORE_S + STEPS * RELEASE_GAP_S + DRAIN_S + LINGER_S + f.BOUNDS["StabilityMs"] / 1000
        start, number, next_note, ready, probes = f.now(), 0, 0.0, 0, 0
        released = not f.trouble()
        while (passed := f.now() - start) < LENGTH_S:
            if not released and passed >= BEFORE_S:
                released = True
                tasks.append(asyncio.ensure_future(release(fleet, tasks)))
            while number < passed * STREAMS_PER_S:
                number += 1
                counts = [whole_day] + ([calm] if passed >= calm_from else [])
                tasks.append(asyncio.ensure_future(caller(fleet, entry, number, counts)))
            if passed >= next_note:
                next_note += 2
                is_ready = await entry.is_ready()
                if passed >= calm_from:
                    probes += 1
                    ready += is_ready
                fleet.record.line("state", descriptors=descriptors(entry), ready=is_ready, owed=whole_day.owed,
                                  served=whole_day.served)
            await asyncio.sleep(0.01)
        await asyncio.sleep(DEADLINE_MS / 1000 + 0.5)
        failed = whole_day.owed - whole_day.served
        share = failed / max(1, whole_day.owed)
        fleet.record.say(f"servers replaced: {REPLACED if f.trouble() else 0}; requests owed: {whole_day.owed}, failed: "
                         f"{failed} ({share:.2f}, at most {MOST_FAILED})")
        fleet.record.say(f"from {calm_from:.0f} s on, with no disruption: {calm.served} of {calm.owed} served, ready in "
                         f"{ready} of {probes} probes")
        fleet.record.say(f"descriptors at the end, with no request open: {descriptors(entry)} of {DESCRIPTORS}")
        broken = share > MOST_FAILED
        fleet.record.say("BROKEN: Gate, refused + failed requests" if broken else "held")
        return broken
    finally:
        for each in tasks:
            each.cancel()
        await fleet.stop()


f.main(run, HERE)
