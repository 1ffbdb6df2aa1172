"""An entry VM freezes, and a release begins before the callers take up their streams elsewhere."""
import os
import pathlib
import signal
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
OBJECTIVE_MS = 500
PAUSE_MS = 250
# "after a gap of two seconds, four times the objective or eight times that pause, whichever is longest"
PATIENCE_S = max(2.0, 4 * OBJECTIVE_MS / 1000, 8 * PAUSE_MS / 1000)
FREEZE_S = 5.0
DEADLINE_MS = 15000


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
    """Begins a stream at one entry VM and takes it up at another."""

    def __init__(self, lab, number):
        self.lab, self.number = lab, number
        self.events = []
        self.taken_up = False
        self.went_on = False

    def headers(self, last=None, resumes=None):
        out = [("X-Model", "m"), ("X-Token-Count", "1460,80"),
               ("X-Prompt-Prefix", f"aa1:800,{self.number + 1:x}:410,{self.number + 99:x}:250")]
        if last:
            out += [("Last-Event-Id", last), ("Resumes", resumes)]
        return out

    def note(self, answer, request_id):
        done = answer.body.count(b"\n\n")
        texts = answer.body.split(b"\n\n")[:done]
        self.events = self.base + [t.decode().split("data: ")[1] for t in texts]
        if self.stop_at and l.now() > self.stop_at:
            raise l.Closed()

    def attempt(self, entry, request_id, patience, last=None, resumes=None, stop_at=None):
        self.base, self.stop_at = list(self.events), stop_at
        self.lab.record.write("caller", "send", id=request_id, vm=entry.name, last=last or "",
                              resumes=resumes or "")
        answer = l.call(entry.callers, "POST", "/drafts/1", request_id, body=b"a draft",
                        headers=self.headers(last, resumes), deadline_ms=DEADLINE_MS,
                        timeout=patience, on_piece=lambda a: self.note(a, request_id))
        self.lab.record.write("caller", "answer", id=request_id, status=answer.status,
                              complete=answer.complete, events=len(self.events),
                              error=answer.error)
        return answer

    def run(self, first, second, stop_at):
        begun = f"a{self.number:015x}"
        self.attempt(first, begun, PATIENCE_S, stop_at=stop_at)
        if not self.events or len(self.events) == EVENTS:
            return
        self.taken_up = True
        before = len(self.events)
        answer = self.attempt(second, f"b{self.number:015x}", PATIENCE_S + 3, before, begun)
        if answer.status in (429, 503):
            # Callers honour Retry-After and come once more.
            time.sleep(min(float(answer.headers.get("retry-after", 0.3)), 5))
            answer = self.attempt(second, f"c{self.number:015x}", PATIENCE_S + 3, before, begun)
        self.went_on = len(self.events) > before
        versions = {each.rsplit("-", 1)[0] for each in self.events}
        self.lab.record.write("check", "taken up", stream=begun, went_on=self.went_on,
                              versions="+".join(sorted(versions)))


def main():
    lab = l.Lab(pathlib.Path(__file__).parent)
    try:
        return play(lab)
    finally:
        lab.stop()


def play(lab):
    for number in range(3):
        l.Server(lab, "prognoza-lm", f"i-old-{number}", write_draft, slots=128,
                 version="2.0").register()
    lab.configure(1, [l.route("officer-query", "/drafts/", "stream", "prognoza-lm", 2, 15000,
                              OBJECTIVE_MS, Resumable=True, TargetGapMs=PAUSE_MS, Sticky=True)],
                  [{"Name": "prognoza-lm", "Engine": {"Slots": 128, "Stride": 2}}])
    first, second, _ = lab.add_entries(3)
    lab.start()
    time.sleep(STABILITY_S + 1)
    callers = [Caller(lab, number) for number in range(STREAMS)]
    begin = l.now()
    stop_at = None if TROUBLE else begin + 2.0 + PATIENCE_S
    threads = [threading.Thread(target=each.run, args=(first, second, stop_at))
               for each in callers]
    for each in threads:
        each.start()
    time.sleep(2)
    if TROUBLE:
        first.signal(signal.SIGSTOP)
    time.sleep(0.5)
    lab.record.write("platform", "a server of version 2.1 starts")
    new = l.Server(lab, "prognoza-lm", "i-new-0", write_draft, slots=128, version="2.1")
    new.register()
    # New streams, in the time in which the others are taken up.
    time.sleep(PATIENCE_S - 0.5)
    fresh = [Caller(lab, 500 + number) for number in range(12)]
    fresh_threads = [threading.Thread(target=lambda c=each: c.attempt(
        second, f"d{c.number:015x}", PATIENCE_S)) for each in fresh]
    for each in fresh_threads:
        each.start()
        time.sleep(0.1)
    if TROUBLE:
        time.sleep(max(0.0, begin + 2 + FREEZE_S - l.now()))
        first.signal(signal.SIGCONT)
    for each in threads + fresh_threads:
        each.join()
    taken = [each for each in callers if each.taken_up]
    went_on = sum(each.went_on for each in taken)
    begun = sum(bool(each.events) for each in fresh)
    print(f"streams taken up: {len(taken)}, of these went on: {went_on}; new streams meanwhile: "
          f"{len(fresh)}, of these began: {begun}")
    if len(taken) < 12:
        print("too few streams were taken up")
        return 2
    return 1 if went_on / len(taken) < begun / len(fresh) / 2 else 0


if __name__ == "__main__":
    try:
        code = main()
    except Exception as error:  # noqa: BLE001
        print(f"the case could not run: {error!r}")
        code = 2
    sys.stdout.flush()
    os._exit(code)
