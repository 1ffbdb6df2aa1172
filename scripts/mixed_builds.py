#!/usr/bin/env python3
"""Usage: scripts/mixed_builds.py OLD NEW

Replaces entry VMs of one build by those of another while a release brings a second software version, one by one and all at
once after an outage, and checks that resumed streams stay at their version and go on while it serves. OLD and NEW are checkouts with hawthornnotch-entry built in target/.
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
RECORD_S = 1.0


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

    def begin(self, entry, stop_after_s=None):
        self.begun = self.attempt(entry, f"a{self.number:015x}", stop_after_s)

    def resume(self, entry):
        self.resumed = self.begun and self.attempt(entry, f"b{self.number:015x}")

    def run(self, first, second):
        self.begin(first, READ_S)
        self.resume(second)

    def versions(self):
        return {each.rsplit("-", 1)[0] for each in self.events}


def start(calls):
    """Starts a thread for each function and its arguments."""
    threads = [threading.Thread(target=target, args=args) for target, args in calls]
    for each in threads:
        each.start()
    return threads


def together(calls):
    for each in start(calls):
        each.join()


class Fleet:
    """Entry VMs of two builds."""

    def __init__(self, lab, roots):
        self.lab, self.roots = lab, roots
        self.entries = lab.add_entries(VMS)
        self.streams = 0

    def start(self, entry, build):
        l.ROOT = self.roots[build]
        entry.start()
        entry.await_ready()

    def replace(self, entry, build):
        entry.signal(signal.SIGTERM)
        entry.process.wait()
        self.start(entry, build)

    def add_streams(self, pairs):
        """Returns new streams, each with the VMs at which it begins and is resumed."""
        added = []
        for first, second in pairs:
            for _ in range(STREAMS_PER_VM):
                stream = Stream(self.streams)
                self.streams += 1
                added.append((stream, first, second))
        return added

    def play(self, name, pairs):
        """Runs streams that begin at the first VM of each pair and are resumed at the second."""
        streams = self.add_streams(pairs)
        together([(stream.run, (first, second)) for stream, first, second in streams])
        return self.count(name, [stream for stream, _, _ in streams])

    def play_outage(self, name, build, meanwhile=None, version_is_left=True):
        """Kills all VMs while streams run, starts them with another build and resumes the streams."""
        streams = self.add_streams(list(zip(self.entries, self.entries[1:] + self.entries[:1])))
        threads = start([(stream.begin, (first,)) for stream, first, _ in streams])
        time.sleep(READ_S + RECORD_S)
        for each in self.entries:
            each.kill()
        if meanwhile:
            meanwhile()
        for each in self.entries:
            self.start(each, build)
        for each in threads:
            each.join()
        together([(stream.resume, (second,)) for stream, _, second in streams])
        return self.count(name, [stream for stream, _, _ in streams], version_is_left)

    @staticmethod
    def count(name, played, version_is_left=True):
        begun = [each for each in played if each.begun]
        resumed = sum(each.resumed for each in begun)
        joined = sum(len(each.versions()) > 1 for each in begun)
        print(f"{name}: begun {len(begun)} of {len(played)}, resumed {resumed}, "
              f"of two versions {joined}", flush=True)
        goes_on = resumed >= len(begun) / 2 or not version_is_left
        return joined == 0 and len(begun) > 0 and goes_on


def add_servers(lab, version, count=3):
    servers = [l.Server(lab, "prognoza-lm", f"i-{version}-{number}", write_draft, slots=128,
                        version=version) for number in range(count)]
    for each in servers:
        each.register()
    return servers


def replace_servers(lab, old, version):
    add_servers(lab, version)
    for each in old:
        each.unregister()
        each.crash()


def configure(lab):
    lab.configure(1, [l.route("officer-query", "/drafts/", "stream", "prognoza-lm", 2, 15000, 500,
                              Resumable=True, TargetGapMs=250, Sticky=True)],
                  [{"Name": "prognoza-lm", "Engine": {"Slots": 128, "Stride": 2}}])


def play_replacement(lab, roots):
    add_servers(lab, "2.0")
    configure(lab)
    fleet = Fleet(lab, roots)
    first, second, third, fourth = fleet.entries
    for entry, build in ((first, "old"), (second, "old"), (third, "new"), (fourth, "new")):
        fleet.start(entry, build)
    time.sleep(RELEASE_PAUSE_S)
    across = [(first, third), (third, first), (second, fourth), (fourth, second)]
    held = [fleet.play("one version, both builds", across)]
    add_servers(lab, "2.1")
    time.sleep(RELEASE_PAUSE_S)
    held.append(fleet.play("two versions, both builds", across))
    fleet.replace(first, "new")
    held.append(fleet.play("two versions, one VM replaced", across))
    fleet.replace(second, "new")
    held.append(fleet.play("two versions, all VMs replaced", across))
    fleet.replace(third, "old")
    held.append(fleet.play("two versions, one VM put back", across))
    return all(held)


def play_outages(roots):
    """Each build starts on what the other one left in the store."""
    held = []
    for left, started in (("old", "new"), ("new", "old")):
        held.append(in_lab(lambda lab, a=left, b=started: play_mixed_outage(lab, roots, a, b)))
    held.append(in_lab(lambda lab: play_release_in_outage(lab, roots)))
    return all(held)


def play_mixed_outage(lab, roots, left, started):
    add_servers(lab, "2.0")
    configure(lab)
    fleet = Fleet(lab, roots)
    for each in fleet.entries:
        fleet.start(each, left)
    time.sleep(RELEASE_PAUSE_S)
    add_servers(lab, "2.1")
    time.sleep(RELEASE_PAUSE_S)
    return fleet.play_outage(f"two versions, all VMs killed, {left} build before, {started} after",
                             started)


def play_release_in_outage(lab, roots):
    old = add_servers(lab, "2.0")
    configure(lab)
    fleet = Fleet(lab, roots)
    for each in fleet.entries:
        fleet.start(each, "new")
    time.sleep(RELEASE_PAUSE_S)
    return fleet.play_outage("release while all VMs were killed, new build before, old after",
                             "old", lambda: replace_servers(lab, old, "2.1"), False)


def in_lab(part):
    lab = l.Lab(tempfile.mkdtemp(prefix="mixed-"))
    try:
        return part(lab)
    finally:
        lab.stop()


def main():
    if len(sys.argv) != 3:
        print(__doc__)
        return 2
    roots = {"old": pathlib.Path(sys.argv[1]).resolve(), "new": pathlib.Path(sys.argv[2]).resolve()}
    held = in_lab(lambda lab: play_replacement(lab, roots)) and play_outages(roots)
    return 0 if held else 1


if __name__ == "__main__":
    try:
        code = main()
    except Exception as error:  # noqa: BLE001
        print(f"the run failed: {error!r}")
        code = 2
    sys.stdout.flush()
    os._exit(code)
