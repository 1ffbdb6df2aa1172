"""Sends a steady load through one router and counts what came back; prints one JSON line at its end.

Usage: client.py PORT requests|orders RATE SECONDS   or   client.py PORT streams COUNT SECONDS
"""

import asyncio
import json
import sys
import time

TOKENS_OF_REQUEST = 4
TOKENS_OF_STREAM = 400


def message(port, path, body, headers=()):
    text = json.dumps(body)
    lines = [f"POST {path} HTTP/1.1", f"Host: 127.0.0.1:{port}", "Content-Type: application/json",
             "x-hawthornnotch-workspace: w0", f"Content-Length: {len(text)}", *headers, "", text]
    return "\r\n".join(lines).encode()


def chat(port, length, stream):
    return message(port, "/v1/chat/completions", {
        "model": "model-0", "stream": stream, "max_tokens": length, "x_length": length,
        "messages": [{"role": "user", "content": "station summary"}]})


class tally:
    def __init__(self):
        self.good = 0
        self.other = {}
        self.tokens = 0
        self.delays = []

    def ended(self, status, began):
        if status == "200":
            self.good += 1
            self.delays.append(time.monotonic() - began)
        else:
            self.other[status] = self.other.get(status, 0) + 1


async def whole(pool, port, data, counts):
    began = time.monotonic()
    try:
        link = pool.pop() if pool else await asyncio.open_connection("127.0.0.1", port)
        reader, writer = link
        writer.write(data)
        head = await reader.readuntil(b"\r\n\r\n")
        length = 0
        for line in head.split(b"\r\n"):
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        await reader.readexactly(length)
        pool.append(link)
        counts.ended(head.split(b" ")[1].decode(), began)
    except (OSError, asyncio.IncompleteReadError):
        counts.ended("broken", began)


async def at_rate(port, rate, seconds, make, counts):
    pool = []
    running = set()
    begin = time.monotonic()
    for number in range(int(rate * seconds)):
        await asyncio.sleep(max(0, begin + number / rate - time.monotonic()))
        task = asyncio.create_task(whole(pool, port, make(number), counts))
        running.add(task)
        task.add_done_callback(running.discard)
    if running:
        await asyncio.wait(running, timeout=5)


async def one_stream(port, end, counts):
    while time.monotonic() < end:
        began = time.monotonic()
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(chat(port, TOKENS_OF_STREAM, True))
            status = "none"
            while time.monotonic() < end:
                data = await reader.read(65536)
                if not data:
                    break
                if status == "none":
                    status = data.split(b" ")[1].decode()
                counts.tokens += data.count(b"data: {")
                if b"[DONE]" in data or status != "200":
                    counts.ended(status, began)
                    break
            writer.close()
        except OSError:
            counts.ended("broken", began)
        if time.monotonic() - began < 0.1:
            await asyncio.sleep(0.5)


async def main(port, kind, size, seconds):
    counts = tally()
    extra = {}
    if kind == "streams":
        end = time.monotonic() + seconds
        streams = [asyncio.create_task(one_stream(port, end, counts)) for _ in range(size)]
        await asyncio.sleep(4)
        before, begin = counts.tokens, time.monotonic()
        await asyncio.sleep(max(0.1, seconds - 6))
        extra["tokens_per_s"] = round((counts.tokens - before) / (time.monotonic() - begin))
        await asyncio.wait(streams)
    elif kind == "orders":
        stamp = time.time_ns()
        await at_rate(port, size, seconds, lambda number: message(
            port, "/services/orders/o", {"number": number},
            (f"Idempotency-Key: {stamp}-{number}", "x-hawthornnotch-class: order")), counts)
    else:
        data = chat(port, TOKENS_OF_REQUEST, False)
        await at_rate(port, size, seconds, lambda _: data, counts)
    delays = sorted(counts.delays)
    extra["median_ms"] = round(1000 * delays[len(delays) // 2], 1) if delays else None
    print(json.dumps({"good": counts.good, "other": counts.other, **extra}))


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), sys.argv[2], int(sys.argv[3]), float(sys.argv[4])))
