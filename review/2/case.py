"""All entry VMs lose power for five seconds while a release replaces the servers of a service."""
import os
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import lab as l  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STABILITY_S = 3.0
STREAMS = 24
EVENTS = 80
GAP_S = 0.15
DEADLINE_MS = 15000
DARK_S = 5.0
RELEASE_GAP_S = 0.8
DRAIN_S = 2.0
TRIES_AFTER_S = (0.1, 2.5, 6.5)  # after the break; each on a new connection, within the deadline


def write_draft(server, wire, request):
    """A stream that may be resumed; goes on after Last-Event-Id."""
    wire.read_body(request["headers"])
    first = int(request["headers"].get("last-event-id", 0)) + 1
    server.ran(request, version=server.version, first_event=first)
    server.begin_stream(wire, request)
    for number in range(first, EVENTS + 1):
        server.send_event(wire, number, f"{server.version}-{number}")
        time.sleep(GAP_S)
    server.end_stream(wire)
    return True


class Caller:
    """Begins a stream and takes it up where it breaks."""

    def __init__(self, lab, entries, number):
        self.lab, self.entries, self.number = lab, entries, number
        self.events = []
        self.taken_up_at = 0

    def headers(self, last, resumes):
        out = [("X-Model", "m"), ("X-Token-Count", "1460,80"),
               ("X-Prompt-Prefix", f"aa1:800,{self.number + 1:x}:410,{self.number + 99:x}:250")]
        return out + ([("Last-Event-Id", last), ("Resumes", resumes)] if last else [])

    def attempt(self, entry, request_id, last=0, resumes=""):
        self.lab.record.write("caller", "send", id=request_id, vm=entry.name, last=last,
                              resumes=resumes)
        answer = l.call(entry.callers, "POST", "/drafts/1", request_id, body=b"a draft",
                        headers=self.headers(last, resumes), deadline_ms=DEADLINE_MS)
        texts = answer.body.split(b"\n\n")[:answer.body.count(b"\n\n")]
        self.events += [t.decode().split("data: ")[1] for t in texts]
        self.lab.record.write("caller", "answer", id=request_id, status=answer.status,
                              complete=answer.complete, events=len(self.events),
                              error=answer.error)
        return answer

    def run(self):
        begun = f"a{self.number:015x}"
        answer = self.attempt(self.entries[self.number % len(self.entries)], begun)
        broke_at = l.now()
        for number, after in enumerate(TRIES_AFTER_S):
            if answer.complete and answer.status == 200 or not self.events:
                break
            time.sleep(max(0.0, broke_at + after - l.now()))
            before = len(self.events)
            entry = self.entries[(self.number + 1 + number) % len(self.entries)]
            answer = self.attempt(entry, f"{number + 11:x}{self.number:015x}", before, begun)
            self.taken_up_at += len(self.events) > before

    def versions(self):
        return sorted({each.rsplit("-", 1)[0] for each in self.events})


def main():
    lab = l.Lab(pathlib.Path(__file__).parent)
    try:
        return play(lab)
    finally:
        lab.stop()


def release(lab, old):
    """The new one starts first, the old one drains: it serves for DrainMs and a little longer."""
    for number, each in enumerate(old):
        l.Server(lab, "prognoza-lm", f"i-new-{number}", write_draft, slots=128,
                 version="2.1").register()
        each.state = "draining"
        lab.store.put(f"servers/{each.id}", each.entry())
        lab.record.write("platform", "release", old=each.id, new=f"i-new-{number}")

        def leave(server=each):
            time.sleep(DRAIN_S + 0.2)
            server.unregister()
            server.crash()
            lab.record.write(server.id, "left")

        threading.Thread(target=leave, daemon=True).start()
        time.sleep(RELEASE_GAP_S)


def play(lab):
    old = [l.Server(lab, "prognoza-lm", f"i-old-{n}", write_draft, slots=128, version="2.0")
           for n in range(3)]
    for each in old:
        each.register()
    lab.configure(1, [l.route("route-bulletin", "/drafts/", "stream", "prognoza-lm", 2, 15000, 2000,
                              Resumable=True, TargetGapMs=600, Sticky=True)],
                  [{"Name": "prognoza-lm", "Engine": {"Slots": 128, "Stride": 2}}])
    entries = lab.add_entries(3)
    lab.start()
    time.sleep(STABILITY_S + 1)
    callers = [Caller(lab, entries, number) for number in range(STREAMS)]
    threads = [threading.Thread(target=each.run) for each in callers]
    for each in threads:
        each.start()
    time.sleep(2)
    dark_at = l.now()
    if TROUBLE:
        for each in entries:
            each.kill()
    time.sleep(0.1)
    threading.Thread(target=release, args=(lab, old), daemon=True).start()
    if TROUBLE:
        time.sleep(max(0.0, dark_at + DARK_S - l.now()))
        for each in entries:
            each.start()
    for each in threads:
        each.join()
    joined = [each for each in callers if len(each.versions()) > 1]
    for each in joined:
        lab.record.write("check", "joined", stream=f"a{each.number:015x}",
                         versions="+".join(each.versions()), events=len(each.events))
    print(f"streams: {len(callers)}, went on at a later try: "
          f"{sum(c.taken_up_at > 0 for c in callers)}, with events of two versions: {len(joined)} "
          "(2 are allowed)")
    return 1 if len(joined) > 2 else 0


if __name__ == "__main__":
    try:
        code = main()
    except Exception as error:  # noqa: BLE001
        print(f"the case could not run: {error!r}")
        code = 2
    sys.stdout.flush()
    os._exit(code)
