#!/usr/bin/env python3
"""Usage: scripts/mixed_builds.py OLD NEW

Replaces entry VMs of one build by those of another while a release brings a second software version, and checks that
resumed streams stay at their version and go on. OLD and NEW are checkouts with hawthornnotch-entry built in target/.
Uses the stand-ins of review/lib. Exit code 0: the rules held, 1: one was broken, 2: the run failed.
"""
import os
import pathlib
import signal
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "review" / "lib"))
import lab as l  # noqa: E402

STREAMS_PER_VM = 8
EVENTS = 60
GAP_S = 0.1
READ_S = 1.0
DEADLINE_MS = 15000
VMS = 4
RELEASE_PAUSE_S = 4.0


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


class Stream:
    """Begins at one entry VM, is broken off by its caller and resumed at another."""

    def __init__(self, number):
        self.number = number
        self.events = []
        self.begun = False
        self.resumed = False

    def attempt(self, entry, request_id, stop_after_s=None):
        before = list(self.events)
        end = l.now() + stop_after_s if stop_after_s else None
        headers = [("X-Model", "m"), ("X-Token-Count", "1460,60"),
                   ("X-Prompt-Prefix", f"aa1:800,{self.number + 1:x}:410")]
        if before:
            headers += [("Last-Event-Id", len(before)), ("Resumes", f"a{self.number:015x}")]

        def take(answer):
            whole = answer.body.split(b"\n\n")[:answer.body.count(b"\n\n")]
            self.events = before + [each.decode().split("data: ")[1] for each in whole]
            if end and l.now() > end:
                raise l.Closed()

        l.call(entry.callers, "POST", "/drafts/1", request_id, body=b"a draft", headers=headers,
               deadline_ms=DEADLINE_MS, timeout=3, on_piece=take)
        return len(self.events) > len(before)

    def run(self, first, second):
        self.begun = self.attempt(first, f"a{self.number:015x}", READ_S)
        if self.begun:
            self.resumed = self.attempt(second, f"b{self.number:015x}")

    def versions(self):
        return {each.rsplit("-", 1)[0] for each in self.events}


class Fleet:
    """Entry VMs of two builds."""

    def __init__(self, lab, roots):
        self.lab, self.roots = lab, roots
        self.entries = lab.add_entries(VMS)
        self.streams = []

    def start(self, entry, build):
        l.ROOT = self.roots[build]
        entry.start()
        entry.await_ready()

    def replace(self, entry, build):
        entry.signal(signal.SIGTERM)
        entry.process.wait()
        self.start(entry, build)

    def play(self, name, pairs):
        """Runs streams that begin at the first VM of each pair and are resumed at the second."""
        played = []
        threads = []
        for first, second in pairs:
            for _ in range(STREAMS_PER_VM):
                stream = Stream(len(self.streams))
                self.streams.append(stream)
                played.append(stream)
                threads.append(threading.Thread(target=stream.run, args=(first, second)))
        for each in threads:
            each.start()
        for each in threads:
            each.join()
        begun = [each for each in played if each.begun]
        resumed = sum(each.resumed for each in begun)
        joined = sum(len(each.versions()) > 1 for each in begun)
        print(f"{name}: begun {len(begun)} of {len(played)}, resumed {resumed}, "
              f"of two versions {joined}", flush=True)
        return joined == 0 and len(begun) > 0 and resumed >= len(begun) / 2


def play(lab, roots):
    for number in range(3):
        l.Server(lab, "prognoza-lm", f"i-old-{number}", write_draft, slots=128,
                 version="2.0").register()
    lab.configure(1, [l.route("officer-query", "/drafts/", "stream", "prognoza-lm", 2, 15000, 500,
                              Resumable=True, TargetGapMs=250, Sticky=True)],
                  [{"Name": "prognoza-lm", "Engine": {"Slots": 128, "Stride": 2}}])
    fleet = Fleet(lab, roots)
    first, second, third, fourth = fleet.entries
    for entry, build in ((first, "old"), (second, "old"), (third, "new"), (fourth, "new")):
        fleet.start(entry, build)
    time.sleep(RELEASE_PAUSE_S)
    across = [(first, third), (third, first), (second, fourth), (fourth, second)]
    held = [fleet.play("one version, both builds", across)]
    for number in range(3):
        l.Server(lab, "prognoza-lm", f"i-new-{number}", write_draft, slots=128,
                 version="2.1").register()
    time.sleep(RELEASE_PAUSE_S)
    held.append(fleet.play("two versions, both builds", across))
    fleet.replace(first, "new")
    held.append(fleet.play("two versions, one VM replaced", across))
    fleet.replace(second, "new")
    held.append(fleet.play("two versions, all VMs replaced", across))
    fleet.replace(third, "old")
    held.append(fleet.play("two versions, one VM put back", across))
    return 0 if all(held) else 1


def main():
    if len(sys.argv) != 3:
        print(__doc__)
        return 2
    roots = {"old": pathlib.Path(sys.argv[1]).resolve(), "new": pathlib.Path(sys.argv[2]).resolve()}
    lab = l.Lab(tempfile.mkdtemp(prefix="mixed-"))
    try:
        return play(lab, roots)
    finally:
        lab.stop()


if __name__ == "__main__":
    try:
        code = main()
    except Exception as error:  # noqa: BLE001
        print(f"the run failed: {error!r}")
        code = 2
    sys.stdout.flush()
    os._exit(code)
