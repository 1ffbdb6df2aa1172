"""A server answers a long request before it has read all of it, and reads on."""
import os
import pathlib
import random
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import lab as l  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BODY_BYTES = 4_000_000  # the configuration allows 4,194,304
STABILITY_S = 3.0
RUN_S = 20.0
KEPT = 12  # callers of each entry VM that read stations


def receive(wire, count):
    """Reads `count` bytes of a body and drops them; False at the end of the connection."""
    taken = min(count, len(wire.buffer))
    wire.buffer = wire.buffer[taken:]
    count -= taken
    while count > 0:
        data = wire.sock.recv(min(65536, count))
        if not data:
            return False
        count -= len(data)
    return True


def accept_order(server, wire, request):
    size = int(request["headers"]["content-length"])
    if TROUBLE:
        server.ran(request, bytes=size, answered="before the body")
        server.answer(wire, request)
        return receive(wire, size)
    if not receive(wire, size):
        return False
    server.ran(request, bytes=size, answered="after the body")
    server.answer(wire, request)
    return True


def read_station(server, wire, request):
    wire.read_body(request["headers"])
    server.ran(request)
    time.sleep(0.1)
    server.answer(wire, request, body=b"17.5")
    return True


def main():
    lab = l.Lab(pathlib.Path(__file__).parent)
    try:
        return play(lab)
    finally:
        lab.stop()


def play(lab):
    readers = []
    for number in range(4):
        server = l.Server(lab, "dispecer", f"i-reading-{number}", read_station, slots=32)
        server.register()
        readers.append(server)
    for number in range(2):
        server = l.Server(lab, "orders", f"i-order-{number}", accept_order, slots=32)
        # Segments as long as on Ethernet and a bounded window: loopback has segments of 64 KB and
        # buffers that take megabytes at once.
        server.listener.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
        server.listener.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 200_000)
        server.register()
    lab.configure(1, [l.route("grit-order", "/orders/", "unsafe", "orders", 1, 1500, 500),
                      l.route("station-read", "/readings/", "safe", "dispecer", 2, 1500, 300)],
                  [{"Name": "dispecer"}, {"Name": "orders"}])
    entries = lab.add_entries(2)
    lab.start()
    time.sleep(STABILITY_S + 1)
    end = l.now() + RUN_S
    ends, lost = [], []

    def watch(entry):
        """Starts a process again that ended by itself, as the platform does."""
        while l.now() < end:
            code = entry.process.poll()
            if code is not None:
                ends.append(code)
                lab.record.write(entry.name, "ended by itself", code=code)
                time.sleep(0.3)
                entry.start()
            time.sleep(0.02)

    def keep(entry, number):
        """Sends small requests one after the other on a kept connection."""
        draw = random.Random(number)
        wire, answered, count = None, 0, 0
        while l.now() < end:
            if wire is None:
                try:
                    wire = l.Wire(socket.create_connection(entry.callers, timeout=1))
                    answered = 0
                except OSError:
                    time.sleep(0.1)
                    continue
            count += 1
            request_id = f"{entry.number:02x}{number:04x}{count:010x}"
            lab.record.write("caller", "send", id=request_id, vm=entry.name)
            answer = l.call(None, "GET", "/readings/1", request_id, wire=wire)
            lab.record.write("caller", "answer", id=request_id, status=answer.status,
                             error=answer.error)
            if answer.complete:
                answered += 1
            else:
                if answered > 0 and any(request_id in server.runs for server in readers):
                    lost.append(request_id)
                    lab.record.write("check", "lost", id=request_id, vm=entry.name)
                wire.close()
                wire = None
            time.sleep(draw.uniform(0, 0.05))

    def order(entry):
        count = 0
        body = b"x" * BODY_BYTES
        while l.now() < end:
            count += 1
            request_id = f"f{entry.number:03x}{count:012x}"
            lab.record.write("caller", "send", id=request_id, vm=entry.name, bytes=len(body))
            answer = l.call(entry.callers, "POST", "/orders/1", request_id, body=body)
            lab.record.write("caller", "answer", id=request_id, status=answer.status,
                             error=answer.error)
            time.sleep(0.2)

    threads = []
    for entry in entries:
        threads.append(threading.Thread(target=watch, args=(entry,)))
        threads += [threading.Thread(target=keep, args=(entry, n)) for n in range(KEPT)]
        threads.append(threading.Thread(target=order, args=(entry,)))
    for each in threads:
        each.start()
    for each in threads:
        each.join()
    print(f"processes that ended by themselves: {ends}; requests on kept connections that a sound "
          f"server ran and whose connection closed without an answer: {len(lost)} (3 are allowed)")
    return 1 if len(lost) > 3 else 0


if __name__ == "__main__":
    try:
        code = main()
    except Exception as error:  # noqa: BLE001
        print(f"the case could not run: {error!r}")
        code = 2
    sys.stdout.flush()
    os._exit(code)
