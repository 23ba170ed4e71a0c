#!/usr/bin/env python3
"""Fuzz test of a gateway's HTTP over loopback, with the callers and engines of bytes_check.py.

Inputs are files of tests/fuzz/corpus (request, answer), mutated at random by a seed. The gateway may accept
or refuse a mutated request, but every request that reaches an engine has an id that occurs in the input, and
runs no more often than it occurs. The gateway may forward a mutated response or not, but never to another
caller, and never with the id of another request. After each input the next caller must get its own response,
and no sanitizer may report an error.

Usage: tests/http/fuzz_check.py [--fast] [--inputs N] [--seed N]
"""
import glob
import multiprocessing
import os
import random
import socket
import sys
import time

import bytes_check as http

TOKENS = (b"\r\n", b"\n", b"\r", b"\r\n\r\n", b" ", b"\t", b":", b"\0", b"0\r\n\r\n", b"Transfer-Encoding: chunked\r\n",
          b"Content-Length: 0\r\n", b"Content-Length: 5\r\n", b"Content-Length: 99999999999999999999\r\n", b"HTTP/1.1",
          b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 100 Continue\r\n\r\n", b"POST /once/x HTTP/1.1\r\n", b"Connection: close\r\n",
          b"Connection: upgrade\r\nUpgrade: h2c\r\n", b"Keep-Alive: timeout=", b"-1", b"ffffffffffffffff", b"5\r\nhello\r\n",
          b"X: " + b"y" * 9000 + b"\r\n", b"\xff\xfe")
QUIET_SECONDS = 0.012
MAX_FAILURES = 20


def corpus(kind):
    files = sorted(glob.glob(f"{http.TOP}/tests/fuzz/corpus/{kind}/*"))
    return [open(f, "rb").read() for f in files]


def mutated(rng, data):
    data = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        at = rng.randrange(len(data) + 1)
        kind = rng.randrange(6)
        if kind == 0 and at < len(data):
            data[at] = rng.randrange(256)
        elif kind == 1 and at < len(data):
            data[at] ^= 1 << rng.randrange(8)
        elif kind == 2:
            del data[at:at + rng.randint(1, 30)]
        elif kind == 3:
            source = rng.randrange(len(data) + 1)
            data[at:at] = data[source:source + rng.randint(1, 60)]
        else:
            data[at:at] = rng.choice(TOKENS)
    return bytes(data)


def request_input(bed, rng, inputs):
    """Sends a mutated request in two parts."""
    bed.start_case(2)
    data = mutated(rng, rng.choice(inputs))
    cut = rng.randrange(len(data) + 1)
    caller = http.Caller(bed, "once", "fuzz", raw=data)
    caller.send(data[:cut])
    bed.run_once([caller.sock.fileno()], 0.001)
    caller.send(data[cut:])
    quiet = time.time() + QUIET_SECONDS
    while not caller.ended and time.time() < quiet:
        if bed.run_once([caller.sock.fileno()], QUIET_SECONDS):
            caller.sock.settimeout(1)
            try:
                part = caller.sock.recv(65536)
            except OSError:
                part = b""
            if not part:
                break
            caller.message.raw += part
    caller.sock.close()
    for _, _, name in bed.runs:
        if name and name.encode("latin-1") not in data:
            raise http.Violation(f"an engine ran {name!r}, which does not occur in the input: {data!r}")
        if name and sum(1 for r in bed.runs if r[2] == name) > data.count(name.encode("latin-1")):
            raise http.Violation(f"{name!r} ran more often than it occurs in the input: {data!r}")
    http.check_next_caller_with_retries(bed)


def answer_input(bed, rng, inputs):
    """An engine sends a mutated response on a new or a reused connection."""
    bed.start_case(1 + rng.randrange(2))
    if rng.randrange(2):
        http.open_idle_connections(bed, bed.used)
    original, sent = rng.choice(inputs), []

    def make(connection, b):
        # the names have a fixed length, so that the same mutations are drawn whatever they are
        sent.append(mutated(rng, original.replace(b"NAME", b.request_id(connection).encode()).replace(
            b"ENGINE", connection.engine.name.encode())))
        return sent[-1]

    bed.scripts = [http.CustomBytes(make, then=rng.choice(("next", "fin", "rst", "fin", "rst", "fin")), declares_not_run=True)]
    route = rng.choice(("once", "safe", "stream", "resume"))
    caller = http.Caller(bed, route, f"r{bed.number:05d}", time_left=40)
    caller.send()
    caller.finish()
    m = caller.message
    if m.rest:
        raise http.Violation(f"bytes after a response: {m.rest[:60]!r} of {sent}")
    if m.start:
        name = m.fields.get(http.ID.lower())
        if m.status() // 100 == 2 and (name != caller.id or not m.fields.get(http.STAMP.lower())):
            raise http.Violation(f"{caller.id} got a successful response with the id {name!r} from {sent}")
        if name not in (None, caller.id):
            raise http.Violation(f"{caller.id} got the response to {name!r} from {sent}")
    if len([r for r in bed.runs if r[2] == caller.id]) > 1 and caller.runs_once and m.start and m.status() in http.NOT_RUN_STATUSES:
        raise http.Violation(f"{caller.id} got {m.status()} although it has run")
    caller.close()
    http.check_next_caller_with_retries(bed)


def run_part(build, kind, numbers, pipe):
    """Runs some of the inputs of one kind in one process, with its own gateway."""
    socket.setdefaulttimeout(http.CASE_SECONDS)
    run_input = {"request": request_input, "answer": answer_input}[kind]
    failed, inputs = [], corpus(kind)
    bed = http.TestBed(build)
    for number in numbers:
        try:
            run_input(bed, random.Random(f"{kind}{number}"), inputs)
        except (http.Violation, OSError) as e:
            failed.append(f"{kind} {number}: {e}")
            if bed.process.poll() is not None or not isinstance(e, http.Violation):
                bed.process.kill()
                bed = http.TestBed(build)
        if len(failed) >= MAX_FAILURES:
            break
    bed.start_case(0)
    bed.send_control("/stop")
    if bed.process.wait(20):
        failed.append(f"{kind}: the gateway does not exit cleanly")
    pipe.send(failed)


def main():
    options = sys.argv[1:]

    def option(name, default):
        return int(options[options.index(name) + 1]) if name in options else default

    count, seed = option("--inputs", 500), option("--seed", 1)
    build = "build" if "--fast" in options else "build-san"
    os.environ.setdefault("ASAN_OPTIONS", "detect_stack_use_after_return=0")
    began, pipes = time.time(), []
    numbers = range(seed * 1000000, seed * 1000000 + count)
    # mutated responses take longer, since the gateway waits for the rest of some of them
    for kind, part in (("request", numbers), ("answer", numbers[::2]), ("answer", numbers[1::2])):
        receiver, sender = multiprocessing.Pipe()
        multiprocessing.Process(target=run_part, args=(build, kind, part, sender)).start()
        pipes.append(receiver)
    failed = sum((pipe.recv() for pipe in pipes), [])
    for text in failed:
        print(f"FAIL {text}"[:700])
    print(f"fuzz: {count} requests and {count} answers from seed {seed}, {len(failed)} failed, {time.time() - began:.1f} s")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
