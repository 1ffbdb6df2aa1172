"""A burst of callers with long requests: does the memory of the entry VMs hold?

Two entry VMs of 110 MB; the platform, played here, kills a process whose memory exceeds that and
starts it again. Callers keep their connections. Usual: 7.6 streams a second at each VM with bodies
of 1 MiB, a quarter of MaxBodyBytes. Trouble: three bursts of 2.4 times that, 9 s each.
"""
import asyncio
import collections
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-3"))
import lab3  # noqa: E402

MEMORY_MB = 110
BODY = bytes(1 << 20)
USUAL_PER_S = 7.6
BURST_X = 2.4
BURST_S = 9
PAUSE_S = 7
FIRST_EVENT_S = 1.0
EVENTS = 40
EVENT_GAP_S = 0.05
ALLOWED_LOST = 3


class Outcome:
    """What became of one request."""

    def __init__(self, vm, kept):
        self.vm, self.kept = vm, kept
        self.passed_on = False
        self.answer_begun = False
        self.end = "unfinished"


class Scene:
    def __init__(self, record):
        self.record = record
        self.outcomes = {}
        self.idle = collections.defaultdict(list)
        self.rate = USUAL_PER_S
        self.over = False
        self.peaks = collections.Counter()

    async def run_stream(self, server, reader, writer, _target, headers):
        attempt = lab3.header(headers, "X-Attempt-Id")
        await lab3.read_body(reader, headers)
        self.outcomes[attempt].passed_on = True
        self.record("run", attempt, "at", server.name)
        writer.write((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      f"X-Attempt-Id: {attempt}\r\nX-Response-Seal: 3e1b.07\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        await asyncio.sleep(FIRST_EVENT_S)
        for number in range(int(lab3.header(headers, "Last-Event-Id", "0")) + 1, EVENTS + 1):
            event = f"id: {number}\ndata: text\n\n".encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def call(self, vm):
        attempt = lab3.new_id()
        kept = bool(self.idle[vm.vm])
        outcome = self.outcomes[attempt] = Outcome(vm.vm, kept)
        reader = writer = None
        try:
            reader, writer = self.idle[vm.vm].pop() if kept else await lab3.connect(vm.callers)
            writer.write(lab3.stream_request(attempt, len(BODY)))
            for begin in range(0, len(BODY), 1 << 16):
                writer.write(BODY[begin:begin + (1 << 16)])
                await writer.drain()
            line, headers = await lab3.read_head(reader)
            outcome.answer_begun = True
            if "chunked" in (lab3.header(headers, "Transfer-Encoding") or ""):
                while await lab3.read_chunk(reader):
                    pass
            else:
                await lab3.read_body(reader, headers)
            outcome.end = line.split(" ")[1]
            self.idle[vm.vm].append((reader, writer))
        except (OSError, asyncio.IncompleteReadError) as failure:
            outcome.end = "connection ended"
            if writer is not None:
                writer.close()
            del failure
        self.record("request", attempt, vm.vm, "kept" if kept else "new", "->", outcome.end,
                    "passed on" if outcome.passed_on else "not passed on",
                    "answer begun" if outcome.answer_begun else "no answer")

    async def press(self, vm):
        """Sends requests to a VM at the present rate until the end."""
        open_calls = []
        while not self.over:
            open_calls.append(asyncio.create_task(self.call(vm)))
            await asyncio.sleep(1 / self.rate)
        await asyncio.gather(*open_calls)

    async def platform(self, vm):
        """Kills a process over its memory, and starts one that has ended."""
        while not self.over:
            used = vm.memory_mb()
            self.peaks[vm.vm] = max(self.peaks[vm.vm], used)
            if used > MEMORY_MB:
                vm.kill()
                vm.ends += 1
                self.idle[vm.vm].clear()
                self.record(f"{vm.vm} exceeds its memory: {used:.0f} MB of {MEMORY_MB}; killed")
                await asyncio.sleep(0.3)
                vm.start()
            await asyncio.sleep(0.005)


async def case(record):
    store = await lab3.Store().start()
    scene = Scene(record)
    store.put("op/config", lab3.configuration([lab3.stream_route("contract-draft", "/s/", "llm")],
                                              [lab3.engine_service("llm", 620)]))
    for number in range(6):
        await lab3.Server(store, "llm", f"i-{number}", 128, run=scene.run_stream).start()
    free = lab3.free_ports(8)
    ports = [free[:4], free[4:]]
    seeds = [f"127.0.0.1:{each[2]}" for each in ports]
    zones = ["bayangol", "sukhbaatar"]
    vms = [lab3.Entry(f"frontend-{zone}-1", zone, zones, store.address, seeds, each).start()
           for zone, each in zip(zones, ports)]
    try:
        return await play(record, scene, vms)
    finally:
        for vm in vms:
            vm.end()


async def play(record, scene, vms):
    if not all([await vm.is_ready() for vm in vms]):
        record.show("an entry VM did not become ready")
        return lab3.COULD_NOT_RUN
    watches = [asyncio.create_task(scene.platform(vm)) for vm in vms]
    callers = [asyncio.create_task(scene.press(vm)) for vm in vms]
    await asyncio.sleep(12)
    for _ in range(3):
        scene.rate = USUAL_PER_S * (BURST_X if lab3.TROUBLE else 1)
        record(f"rate {scene.rate:.1f} a second at each VM")
        await asyncio.sleep(BURST_S)
        scene.rate = USUAL_PER_S
        record(f"rate {scene.rate:.1f} a second at each VM")
        await asyncio.sleep(PAUSE_S)
    scene.over = True
    await asyncio.gather(*callers, *watches)
    return judge(record, scene, vms)


def judge(record, scene, vms):
    ends = collections.Counter(each.end for each in scene.outcomes.values())
    record.show(f"{len(scene.outcomes)} requests:", dict(ends))
    broken = False
    for vm in vms:
        lost = [each for each in scene.outcomes.values()
                if each.vm == vm.vm and each.kept and each.passed_on and not each.answer_begun
                and each.end == "connection ended"]
        record.show(f"{vm.vm}: at most {scene.peaks[vm.vm]:.0f} MB, ended {vm.ends} times by its "
                    f"memory, {len(lost)} requests of kept connections passed on and unanswered")
        broken = broken or len(lost) > ALLOWED_LOST
    record.show("LOST is broken" if broken else "LOST is kept")
    return lab3.BROKEN if broken else lab3.HELD


lab3.run_case(case, HERE)
