"""Most entry VMs lose power just before the first server of a newer version joins; their streams are taken up."""
import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import fleet as f  # noqa: E402

HERE = pathlib.Path(__file__).resolve().parent
VMS = 6
DARK = 4
DARK_S = 3.5
STREAMS = 48
EVENTS = 60
GAP_S = 0.2
DEADLINE_MS = 15000
STABLE_S = f.BOUNDS["StabilityMs"] / 1000
JOINS_AFTER_S = 0.3
# "Clients abandon a stream [...] after a gap of two seconds, four times the objective or eight times that pause,
# whichever is longest": 8 x 800 ms would be 6.4 s, so the route has a pause of 250 ms and an objective of 500 ms.
GIVE_UP_S = 2.0
TARGET_MS, PAUSE_MS = 500, 250
# Waits before a caller comes back after a refusal, at least; the last two tries come after the lost VMs are back.
COMES_BACK_S = (0.5, 2.0, 3.0)
LEAST = 12


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


class Stream:
    """One caller's stream."""

    def __init__(self, fleet, number):
        self.fleet, self.number = fleet, number
        self.events, self.heard, self.task, self.tries = [], 0.0, None, 0

    async def attempt(self, entry):
        request_id = f"{self.number:08x}{self.tries:08x}"
        self.tries += 1
        before = list(self.events)
        headers = [("X-Model", "m"), ("X-Token-Count", "1460,80"),
                   ("X-Prompt-Prefix", f"aa1:800,{self.number + 16:x}:410")]
        if before:
            headers += [("Last-Event-Id", len(before)), ("Resumes", f"{self.number:08x}{0:08x}")]

        def take(answer):
            if answer.status == 200:
                whole = answer.body.split(b"\n\n")[:answer.body.count(b"\n\n")]
                self.events = before + [each.decode().split("data: ")[1] for each in whole]
                self.heard = f.now()

        self.fleet.record.line("sent", id=request_id, vm=entry.name, have=len(before))
        answer = await f.call(entry.address, entry.ports["Frontend"], "POST", "/lohu930/2f", request_id, DEADLINE_MS,
                              headers, b"a draft", on_events=take)
        self.fleet.record.line("answered", id=request_id, vm=entry.name, got=answer.text(), events=len(self.events))
        return answer, len(self.events) > len(before)

    def begin(self, entry):
        self.task = asyncio.ensure_future(self.attempt(entry))

    async def take_up(self, entries):
        """Leaves once the stream has been silent for too long (or now, without the disruption) and takes it up.
        Comes back after a refusal. \\returns whether it went on."""
        while f.trouble() and f.now() - self.heard < GIVE_UP_S:
            await asyncio.sleep(0.05)
        self.task.cancel()
        for each in range(1 + len(COMES_BACK_S)):
            answer, went_on = await self.attempt(entries[(self.number + each) % len(entries)])
            if went_on or answer.status != 503 or each == len(COMES_BACK_S):
                return went_on
            await asyncio.sleep(max(COMES_BACK_S[each], float(answer.headers.get("retry-after", "0.3"))))
        return False


async def run():
    route = {**f.stream_route("huvo11a"), "TargetLatencyMs": TARGET_MS, "TargetGapMs": PAUSE_MS}
    fleet = f.Fleet(HERE, [route], [f.engine("huvo11a")], entries=VMS)
    for index in range(4):
        fleet.add_server(f"i-{index + 1}", "huvo11a", "v1", 128, draft)
    tasks = []
    try:
        await fleet.start()
        await asyncio.sleep(2 * STABLE_S)
        lost, kept = fleet.entries[:DARK], fleet.entries[DARK:]
        streams = [Stream(fleet, number) for number in range(1, STREAMS + 1)]
        for stream in streams:
            stream.begin(lost[stream.number % DARK])
        await asyncio.sleep(1.5)
        begun = [each for each in streams if each.events]
        if f.trouble():
            # A machine without power does not answer, and connections to it hang.
            for entry in lost:
                entry.process.send_signal(signal.SIGSTOP)
            fleet.record.line("power_lost", vms=",".join(entry.name for entry in lost))
        await asyncio.sleep(JOINS_AFTER_S)
        await fleet.add_server("i-5", "huvo11a", "v2", 128, draft).start()

        async def restart():
            await asyncio.sleep(DARK_S - JOINS_AFTER_S)
            for entry in lost:
                await entry.kill()
                await entry.start()

        if f.trouble():
            tasks.append(asyncio.ensure_future(restart()))
        else:
            await asyncio.sleep(GIVE_UP_S)
        took = [asyncio.ensure_future(each.take_up(kept)) for each in begun]
        await asyncio.sleep(GIVE_UP_S)
        fresh = [Stream(fleet, number) for number in range(1001, 1001 + STREAMS)]
        news = [asyncio.ensure_future(each.attempt(kept[each.number % len(kept)])) for each in fresh]
        went_on = sum(await asyncio.gather(*took))
        await asyncio.gather(*news)
        began = sum(bool(each.events) for each in fresh)
        share, share_of_new = went_on / max(1, len(begun)), began / len(fresh)
        fleet.record.say(f"VMs without power: {DARK if f.trouble() else 0} of {VMS}; streams taken up: {len(begun)}, "
                         f"went on: {went_on} ({share:.2f}); new streams: {len(fresh)}, began: {began} ({share_of_new:.2f})")
        if len(begun) < LEAST:
            raise RuntimeError("too few streams had begun")
        joined = sum(len(set(each.events)) > 1 for each in begun)
        fleet.record.say(f"streams with events of two versions: {joined}")
        broken = share < share_of_new / 2
        fleet.record.say("BROKEN: LOST, streams taken up" if broken else "held")
        return broken
    finally:
        for each in tasks:
            each.cancel()
        for entry in fleet.entries:
            if entry.process and entry.process.returncode is None:
                entry.process.send_signal(signal.SIGCONT)
        await fleet.stop()


f.main(run, HERE)
