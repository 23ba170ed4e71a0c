#!/usr/bin/env python3
"""Tests a gateway (tests/http/gateway.c) over loopback with connections that misbehave at a chosen byte.

Each case is one request of a caller. The connection of its engine or of the caller misbehaves at one byte:
it is closed or reset there, stops sending, or carries unsolicited bytes. The checks use only what the
callers and the engines have observed:

- no response, and no part of one, belongs to another request;
- a request that may not be repeated reaches a second engine only if the first one has stated that it did
  not run it;
- only a request that has not run gets 408, 421, 429 or 503;
- a truncated response does not look complete;
- a response with an engine's stamp has the status and the body that the engine sent.

After each case another caller sends a request to the same engines and must get its own response.

Usage: tests/http/bytes_check.py [--fast] [--group NAME] [--jobs N] [--verbose]
--fast uses the plain build instead of the sanitizer build; the build must exist.
"""
import multiprocessing
import os
import select
import socket
import struct
import subprocess
import sys
import time
import traceback

TOP = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ID, STAMP, NOT_RUN, TIME_LEFT = "Asterfall-Request", "Asterfall-Stamp", "Asterfall-Not-Run", "Asterfall-Time-Left"
NOT_RUN_STATUSES = (408, 421, 429, 503)
CASE_SECONDS = 4.0
MAX_FAILURES = 60
ENDS = ("fin", "rst")


class Violation(Exception):
    """A violation of one of the rules, as observed by a case."""


def reset(sock):
    """Closes a socket with a TCP reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class Refused(Violation):
    """The gateway refused a request that the case expects to be served."""


class Message:
    """An HTTP message that is parsed incrementally. complete is True once it is known to be complete; rest holds
    the bytes that follow it."""

    def __init__(self, bodiless=False):
        self.raw, self.bodiless = b"", bodiless
        self.start = self.head = None
        self.fields, self.body, self.complete, self.rest = {}, b"", False, b""
        self.pairs = []

    def feed(self, data):
        self.raw += data
        self.parse()

    def parse(self):
        cut = self.raw.find(b"\r\n\r\n")
        if cut < 0:
            return
        lines = self.raw[:cut].split(b"\r\n")
        self.start = lines[0].decode("latin-1")
        self.pairs = [tuple(x.strip() for x in line.decode("latin-1").split(":", 1)) for line in lines[1:]]
        self.fields = {k.lower(): v for k, v in self.pairs}
        after = self.raw[cut + 4:]
        if self.start.startswith("HTTP/") and 100 <= self.status() < 200:
            self.raw = after
            self.start = None
            self.parse()
            return
        if self.bodiless or (self.start.startswith("HTTP/") and self.status() in (204, 304)):
            self.body, self.rest, self.complete = b"", after, True
        elif self.fields.get("transfer-encoding", "").lower() == "chunked":
            self.parse_chunks(after)
        elif "content-length" in self.fields:
            n = int(self.fields["content-length"])
            self.body, self.rest, self.complete = after[:n], after[n:], len(after) >= n
        elif self.start.startswith("HTTP/"):
            self.body, self.complete = after, False
        else:
            self.body, self.rest, self.complete = b"", after, True

    def parse_chunks(self, after):
        self.body, self.complete = b"", False
        while True:
            line = after.find(b"\r\n")
            if line < 0:
                return
            size = int(after[:line].split(b";")[0], 16)
            after = after[line + 2:]
            if not size:
                end = after.find(b"\r\n")
                if end == 0:
                    self.rest, self.complete = after[2:], True
                elif (end := after.find(b"\r\n\r\n")) >= 0:
                    self.rest, self.complete = after[end + 4:], True
                return
            self.body += after[:size]
            if len(after) < size + 2:
                return
            after = after[size + 2:]

    def status(self):
        return int(self.start.split()[1])


class EngineConnection:
    """A connection from the gateway to an engine."""

    def __init__(self, engine, sock):
        self.engine, self.sock = engine, sock
        self.message = Message()
        self.served = 0
        self.script = None
        self.open = True

    def send(self, data):
        try:
            self.sock.sendall(data)
        except OSError:
            pass

    def end(self, how):
        if how == "rst":
            self.close(True)
        else:
            try:
                self.sock.shutdown(socket.SHUT_WR)
            except OSError:
                pass

    def close(self, hard=False):
        if self.open:
            self.open = False
            reset(self.sock) if hard else self.sock.close()

    def next(self):
        """Ends the current request and begins to read the next one."""
        self.served += 1
        rest = self.message.rest
        self.message = Message()
        self.script = None
        if rest:
            self.message.feed(rest)


def answer(request_id, engine, body=None, status="200 OK", stamp=True, chunked=False, extra="", with_id=True):
    """The bytes of an engine's response to a request; the default body contains the names of both."""
    body = body_of(request_id, engine) if body is None else body
    head = f"HTTP/1.1 {status}\r\n" + (f"{ID}: {request_id}\r\n" if with_id else "")
    head += (f"{STAMP}: {engine}\r\n" if stamp else "") + extra
    if not chunked:
        return head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body
    parts = [body[:7], body[7:]]
    return head.encode() + b"Transfer-Encoding: chunked\r\n\r\n" + b"".join(
        b"%x\r\n%s\r\n" % (len(p), p) for p in parts) + b"0\r\nTrailer: t\r\n\r\n"


def events(request_id, engine):
    """The body of a complete stream of three events."""
    return b"".join(b"id: %d\ndata: %s %s\n\n" % (i, request_id.encode(), engine.encode()) for i in (1, 2, 3))


def body_of(request_id, engine):
    return f"{request_id} at {engine}".encode()


class CorrectResponse:
    """Engine script: responds correctly."""
    declares_not_run = False

    def on_bytes(self, connection, bed):
        if not connection.message.complete:
            return
        bed.record_run(connection)
        connection.send(bed.correct_response(connection))
        connection.next()


class CutRequest:
    """Engine script: ends the connection once a number of bytes of the request have arrived."""
    declares_not_run = False

    def __init__(self, at, how):
        self.at, self.how = at, how

    def bytes_wanted(self, connection):
        return self.at - len(connection.message.raw)

    def on_bytes(self, connection, bed):
        if len(connection.message.raw) >= self.at:
            if connection.message.complete:
                bed.record_run(connection)
            connection.end(self.how)
            connection.script = Silent()


class Silent:
    """Engine script: sends nothing more."""
    declares_not_run = False

    def on_bytes(self, connection, bed):
        if connection.message.complete:
            bed.record_run(connection)


class ReadRest:
    """Engine script: reads the rest of a request that was answered early, then serves the next one."""
    declares_not_run = False

    def on_bytes(self, connection, bed):
        if connection.message.complete:
            connection.next()


class CustomBytes:
    """Engine script: sends custom bytes once a number of request bytes (after), or the whole request, has
    arrived. Then it ends the connection, serves the next request or sends nothing more."""

    def __init__(self, make, then="next", after=None, ran=True, declares_not_run=False):
        self.make, self.then, self.after, self.ran, self.declares_not_run = make, then, after, ran, declares_not_run

    def bytes_wanted(self, connection):
        return 65536 if self.after is None else self.after - len(connection.message.raw)

    def on_bytes(self, connection, bed):
        if not connection.message.complete if self.after is None else len(connection.message.raw) < self.after:
            return
        if self.ran and connection.message.complete:
            bed.record_run(connection)
        connection.send(self.make(connection, bed))
        if self.then == "next" and connection.message.complete:
            connection.next()
            return
        connection.script = ReadRest() if self.after is not None and self.then == "next" else Silent()
        if self.then in ENDS:
            connection.end(self.then)


class Engine:
    """The listening socket of an engine, whose name changes with each case."""

    def __init__(self):
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.port = self.listener.getsockname()[1]
        self.name = None


class TestBed:
    """A gateway process with two engines, and the records of the current case: requests that arrived at
    engines, requests that ran, and responses that engines sent."""

    def __init__(self, build):
        self.process = subprocess.Popen([f"{TOP}/{build}/bin/http-gateway"], stdout=subprocess.PIPE, text=True)
        self.front, self.control = map(int, self.process.stdout.readline().split())
        self.control_sock = socket.create_connection(("127.0.0.1", self.control))
        self.engines = [Engine(), Engine()]
        self.connections = []
        self.number = 0
        self.scripts = []
        self.clear()

    def clear(self):
        self.arrivals, self.runs, self.responses = [], [], {}
        self.used = 2

    # control interface of the gateway
    def send_control(self, target):
        self.control_sock.sendall(f"GET {target} HTTP/1.1\r\nHost: c\r\n\r\n".encode())
        m = Message()
        while not m.complete:
            data = self.control_sock.recv(65536)
            if not data:
                raise Violation("the gateway has closed its control connection")
            m.feed(data)
        return m.body.decode()

    def start_case(self, engines):
        """Starts a case: registers the engines under new names and closes all earlier connections."""
        for connection in self.connections:
            connection.close()
        self.connections = []
        for e in self.engines:
            if e.name:
                self.send_control(f"/gone?id={e.name}&addr=127.0.0.1:{e.port}")
                e.name = None
        self.clear()
        self.used = engines
        self.number += 1
        for i, e in enumerate(self.engines[:engines]):
            e.name = f"e{self.number:05d}-{i}"
            self.send_control(f"/beat?id={e.name}&addr=127.0.0.1:{e.port}")

    # records
    def request_id_of(self, message):
        """The request id of a message; None until its head is complete, "" if it has none."""
        return message.fields.get(ID.lower(), "") if message.start else None

    def request_id(self, connection):
        return self.request_id_of(connection.message)

    def record_run(self, connection):
        if (connection, connection.served) not in [(x, n) for x, n, _ in self.runs]:
            self.runs.append((connection, connection.served, self.request_id(connection)))

    def correct_response(self, connection):
        request_id = self.request_id(connection)
        path = connection.message.start.split()[1]
        if path.startswith(("/stream/", "/resume/")):
            data = answer(request_id, connection.engine.name, body=events(request_id, connection.engine.name), chunked=True,
                          extra="Content-Type: text/event-stream\r\n")
        else:
            data = answer(request_id, connection.engine.name)
        self.record_response(request_id, connection.engine.name, data)
        return data

    def record_response(self, request_id, engine, data):
        """Records the response that an engine sends to a request."""
        m = Message()
        m.feed(data)
        self.responses.setdefault(request_id, []).append((engine, m.status(), m.body, m))

    # event loop
    def script_of(self, connection):
        """The script of a connection's request: the next one of the case, or a correct response when none is
        left."""
        if connection.script is None:
            first = not connection.message.raw or connection.message.raw[:4] != b"GET "
            connection.script = self.scripts.pop(0) if self.scripts and first else CorrectResponse()
            self.arrivals.append((connection, connection.script, connection.message))
        return connection.script

    def run_once(self, extra, timeout):
        """Waits for the next event and lets the engines handle theirs; returns the readable sockets among the
        given ones of callers."""
        for connection in self.connections:
            if connection.open and connection.message.raw and connection.script is None:
                self.script_of(connection).on_bytes(connection, self)
        watch = {e.listener.fileno(): e for e in self.engines[:self.used]}
        watch.update({connection.sock.fileno(): connection for connection in self.connections if connection.open})
        ready, _, _ = select.select(list(watch) + extra, [], [], timeout)
        for fd in ready:
            what = watch.get(fd)
            if isinstance(what, Engine):
                sock, _ = what.listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.connections.append(EngineConnection(what, sock))
            elif what is not None:
                self.read(what)
        return [fd for fd in ready if fd in extra]

    def read(self, connection):
        next_script = connection.script or (self.scripts[0] if self.scripts else None)
        max_bytes = next_script.bytes_wanted(connection) if hasattr(next_script, "bytes_wanted") else 65536
        if max_bytes <= 0:
            script = self.script_of(connection)
            script.on_bytes(connection, self)
            return
        try:
            data = connection.sock.recv(max_bytes)
        except OSError:
            data = b""
        if not data:
            connection.close()
            return
        connection.message.feed(data)
        self.script_of(connection).on_bytes(connection, self)


class Caller:
    """One request of a caller, by default on its own connection, and its outcome."""

    def __init__(self, bed, route, request_id, method="POST", body=b"hello", extra="", chunked=False, raw=None,
                 sock=None, time_left=3000):
        self.bed, self.route, self.id = bed, route, request_id
        self.runs_once = route in ("once", "stream")
        head = f"{method} /{route}/x?y HTTP/1.1\r\nHost: svc.example\r\n{ID}: {request_id}\r\n{TIME_LEFT}: {time_left}\r\n{extra}"
        if chunked:
            data = head.encode() + b"Transfer-Encoding: chunked\r\n\r\n" + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        elif body:
            data = head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body
        else:
            data = head.encode() + b"\r\n"
        self.data = raw if raw is not None else data
        self.message = Message(bodiless=method == "HEAD")
        self.sock = sock or socket.create_connection(("127.0.0.1", bed.front))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.ended = None
        self.began = time.time()

    def send(self, data=None):
        try:
            self.sock.sendall(self.data if data is None else data)
        except OSError:
            pass

    def read(self, max_bytes=65536):
        try:
            data = self.sock.recv(max_bytes)
        except ConnectionError:
            self.ended = "rst"
            return
        if not data:
            self.ended = "fin"
            return
        self.message.feed(data)

    def finish(self, seconds=CASE_SECONDS, stop=None):
        """Runs the event loop until the response is complete or the connection has ended."""
        deadline = time.time() + seconds
        while not self.message.complete and not self.ended and not (stop and stop()):
            left = deadline - time.time()
            if left <= 0:
                raise Violation(f"{self.id}: no complete response and no end of the connection after {seconds} s")
            if self.bed.run_once([self.sock.fileno()], left):
                self.read()

    def close(self):
        if self.ended != "closed":
            self.sock.close()

    # checks
    def status(self):
        return self.message.status() if self.message.start else None

    def check_rules(self):
        bed = self.bed
        runs = [run for run in bed.runs if run[2] == self.id]
        m = self.message
        arrivals = [(connection, s) for connection, s, request in bed.arrivals if bed.request_id_of(request) in (None, self.id)]
        if self.runs_once and len(runs) > 1:
            raise Violation(f"{self.id} ran {len(runs)} times")
        if self.runs_once:
            unsure = [connection for connection, s in arrivals if not s.declares_not_run]
            if len(arrivals) > 1 and any(not s.declares_not_run for _, s in arrivals[:-1]):
                raise Violation(f"{self.id} was sent to {len(arrivals)} engines; {len(unsure)} of them may have run it")
        status = self.status()
        if status in NOT_RUN_STATUSES and self.runs_once and runs:
            raise Violation(f"{self.id} got {status} although it has run")
        if m.rest:
            raise Violation(f"{self.id}: bytes after the response: {m.rest[:60]!r}")
        if status is None:
            if m.raw:
                prefix = b"HTTP/1.1 "
                if not (m.raw.startswith(prefix) or prefix.startswith(m.raw)):
                    raise Violation(f"{self.id}: not an HTTP response: {m.raw[:60]!r}")
            return
        stamp, response_id = m.fields.get(STAMP.lower()), m.fields.get(ID.lower())
        if response_id is not None and response_id != self.id:
            raise Violation(f"{self.id} got the response to {response_id}")
        sent = [g for g in bed.responses.get(self.id, []) if g[0] == stamp]
        declined = NOT_RUN.lower() in m.fields
        if 300 <= status < 500 and status not in NOT_RUN_STATUSES and not stamp and not declined:
            raise Violation(f"{self.id} got {status} without a stamp, after which callers do not retry")
        if status // 100 == 2 and not stamp:
            raise Violation(f"{self.id} got a successful response without a stamp")
        if status // 100 == 2 and response_id != self.id:
            raise Violation(f"{self.id} got a successful response without its request id")
        if stamp and not [g for g in sent if g[1] == status]:
            raise Violation(f"{self.id} got {status} with the stamp of {stamp}, which sent {[g[1] for g in sent]}")
        if stamp and m.complete and not [g for g in sent if g[1] == status and (g[2] == m.body or m.bodiless)]:
            if self.route == "resume" and self.resumed_body(m.body):
                return
            raise Violation(f"{self.id} got a complete response that no engine sent: {m.body[:80]!r}")
        if stamp and not m.complete and not [g for g in sent if g[2].startswith(m.body)]:
            if self.route == "resume" and self.resumed_prefix(m.body):
                return
            raise Violation(f"{self.id} got part of another response: {m.body[:80]!r}")

    def event_ids(self, body):
        return [line for line in body.split(b"\n") if line.startswith(b"id: ")]

    def resumed_body(self, body):
        return self.event_ids(body) == [b"id: 1", b"id: 2", b"id: 3"] and self.id.encode() in body

    def resumed_prefix(self, body):
        due = [b"id: 1", b"id: 2", b"id: 3"]
        return self.event_ids(body) == due[:len(self.event_ids(body))]


def check_next_caller_with_retries(bed):
    """Like check_next_caller, but retries after a refusal: the gateway sends nothing for a moment to an engine that has
    refused a request."""
    for _ in range(5):
        try:
            return check_next_caller(bed)
        except Refused:
            time.sleep(0.2)
    return check_next_caller(bed)


def check_next_caller(bed, route="once", sock=None):
    """Sends a request of another caller to the same engines; it must get its own response."""
    bed.scripts = []
    bed.arrivals, bed.runs = [], []
    request_id = f"next{bed.number}-{time.monotonic_ns()}"
    caller = Caller(bed, route, request_id, sock=sock)
    caller.send()
    caller.finish()
    caller.check_rules()
    if caller.status() == 503 and not caller.message.fields.get(STAMP.lower()):
        raise Refused(f"{caller.id} got 503 from the gateway: {caller.message.body[:80]!r}")
    if caller.status() != 200 or not caller.message.complete:
        raise Violation(f"the next caller got {caller.status()}, {caller.message.raw[:200]!r}")
    if sock is None:
        caller.close()
    return caller


def open_idle_connections(bed, engines):
    """Opens an idle connection from the gateway to each engine."""
    for _ in range(40):
        if len({connection.engine.port for connection in bed.connections if connection.open and connection.served}) >= engines:
            break
        check_next_caller(bed, "safe")
    bed.scripts, bed.arrivals, bed.runs = [], [], []


def run_case(bed, route="once", scripts=(), engines=2, reuse=False, expect=None, after="once", seconds=CASE_SECONDS, **request):
    """Runs a case with one request; each engine that it reaches follows the next script."""
    bed.start_case(engines)
    if reuse:
        open_idle_connections(bed, engines)
    bed.scripts = list(scripts)
    caller = Caller(bed, route, f"r{bed.number:05d}", **request)
    caller.send()
    caller.finish(seconds)
    caller.check_rules()
    if expect and caller.status() not in (expect if isinstance(expect, tuple) else (expect,)):
        raise Violation(f"{caller.id} got {caller.status()} instead of {expect}")
    caller.close()
    if after:
        check_next_caller(bed, after)
    return caller


# ---- groups of cases; each case is a name and a function that takes a test bed ----

def lengths(bed):
    """The sizes in bytes of the gateway's request and of a regular response, for each route."""
    sizes = {}
    for route in ("once", "safe", "stream", "resume"):
        seen = []

        def look(connection, b):
            seen.append(len(connection.message.raw))
            data = b.correct_response(connection)
            seen.append(len(data))
            return data

        run_case(bed, route, [CustomBytes(look)], expect=200)
        sizes[route] = tuple(seen)
    return sizes


def good(connection, bed):
    return bed.correct_response(connection)


def truncated(at):
    return lambda connection, bed: bed.correct_response(connection)[:at]


def chunked(connection, bed):
    request_id = bed.request_id(connection)
    data = answer(request_id, connection.engine.name, chunked=True)
    bed.record_response(request_id, connection.engine.name, data)
    return data


def group_request_cuts(sizes):
    """The engine ends the connection at every byte of the request."""
    for route in ("once", "safe"):
        for at in range(1, sizes[route][0] + 1):
            for how in ENDS:
                yield f"{route} engine {how} at request byte {at}", lambda b, r=route, a=at, h=how: run_case(
                    b, r, [CutRequest(a, h)], expect=502 if r == "once" else 200)
    for at in range(1, sizes["once"][0] + 1, 3):
        for how in ENDS:
            yield f"reused engine connection {how} at request byte {at}", lambda b, a=at, h=how: run_case(
                b, "once", [CutRequest(a, h)], engines=1 + a % 2, reuse=True, expect=502)


def group_answer_cuts(sizes):
    """The engine ends the connection at every byte of its response."""
    for route in ("once", "safe", "stream", "resume"):
        for at in range(0, sizes[route][1] + 1):
            for how in ENDS:
                whole = at == sizes[route][1]
                expect = None if route == "stream" else 200 if whole or route != "once" else 502
                yield f"{route} engine {how} at response byte {at}", lambda b, r=route, a=at, h=how, e=expect: run_case(
                    b, r, [CustomBytes(truncated(a), then=h)], expect=e if h == "fin" or e != 200 or r != "once" else (200, 502))
    probe = answer("r01000", "e01000-0", chunked=True)
    for at in range(0, len(probe)):
        yield f"once chunked engine fin at response byte {at}", lambda b, a=at: run_case(
            b, "once", [CustomBytes(lambda connection, bed: chunked(connection, bed)[:a], then="fin")])
    for route, kind in (("once", 503), ("once", 421), ("safe", 503)):
        probe = refusal(kind)
        for at in range(0, 110, 2):
            yield f"{route} engine fin at byte {at} of a refusal with {kind}", lambda b, r=route, k=kind, a=at: run_case(
                b, r, [CustomBytes(lambda connection, bed: refusal(k)(connection, bed)[:a], then="fin", ran=False,
                                   declares_not_run=a >= 90)])


def refusal(status, declare_not_run=True):
    """An engine's refusal; if declare_not_run is set, it states that the request was not run."""
    def make(connection, bed):
        request_id = bed.request_id(connection)
        extra = f"{NOT_RUN}: 1\r\n" if declare_not_run else ""
        data = answer(request_id, connection.engine.name, body=b"no", status=f"{status} No", extra=extra)
        bed.record_response(request_id, connection.engine.name, data)
        return data
    return make


def client_cut(bed, at, how, route="once", chunked=False):
    """The caller ends its connection at a byte of its request; no engine may get an incomplete request."""
    bed.start_case(2)
    caller = Caller(bed, route, f"r{bed.number:05d}", chunked=chunked)
    whole = at >= len(caller.data)
    caller.send(caller.data[:at])
    if how == "rst":
        reset(caller.sock)
        caller.ended = "closed"
    else:
        caller.sock.shutdown(socket.SHUT_WR)
        deadline = time.time() + CASE_SECONDS
        while not caller.ended and not caller.message.complete:
            if time.time() > deadline:
                raise Violation(f"{caller.id}: the gateway keeps a connection that its caller has ended")
            if bed.run_once([caller.sock.fileno()], 0.5):
                caller.read()
        caller.check_rules()
        caller.close()
    seen = list(bed.arrivals)
    if seen and not whole:
        raise Violation(f"{caller.id} reached an engine though only {at} of its {len(caller.data)} bytes were sent")
    if len(seen) > 1:
        raise Violation(f"{caller.id} reached {len(seen)} engines")
    check_next_caller(bed)
    if not whole and [x for x in bed.runs if x[2] == caller.id]:
        raise Violation(f"{caller.id} ran though its request was incomplete")


def group_caller_cuts(sizes):
    """The caller ends its connection at every byte of its request."""
    probe = 150
    for at in range(1, probe):
        for how in ENDS:
            yield f"caller {how} at request byte {at}", lambda b, a=at, h=how: client_cut(b, a, h)
            if at % 3 == 0:
                yield f"caller {how} at byte {at} of a chunked request", lambda b, a=at, h=how: client_cut(
                    b, a, h, chunked=True)


def caller_leaves(bed, route, at, reuse):
    """The caller disconnects after some bytes of its response; the rest must not reach the next caller."""
    bed.start_case(1)
    if reuse:
        open_idle_connections(bed, 1)
    caller = Caller(bed, route, f"r{bed.number:05d}")
    caller.send()
    deadline = time.time() + CASE_SECONDS
    while len(caller.message.raw) < at and not caller.message.complete and not caller.ended:
        if time.time() > deadline:
            raise Violation(f"{caller.id}: no response")
        if bed.run_once([caller.sock.fileno()], 0.5):
            caller.read(at - len(caller.message.raw))
    reset(caller.sock)
    check_next_caller(bed)


def group_caller_leaves(sizes):
    """The caller resets its connection at every byte of its response."""
    for route in ("once", "stream"):
        for at in range(0, sizes[route][1] - 20, 1 if route == "once" else 2):
            yield f"caller resets at response byte {at} of {route}", lambda b, r=route, a=at: caller_leaves(
                b, r, a, a % 2 == 0)


def group_early(sizes):
    """The engine responds before it has read the whole request, at every second byte of the request."""
    large = b"z" * 300000

    def early(status, declare_not_run):
        def make(connection, bed):
            request_id = f"r{bed.number:05d}"
            extra = f"{NOT_RUN}: 1\r\n" if declare_not_run else ""
            data = answer(request_id, connection.engine.name, status=f"{status} x", extra=extra)
            bed.record_response(request_id, connection.engine.name, data)
            return data
        return make

    for at in range(1, sizes["once"][0], 2):
        for status, declare_not_run in ((200, False), (503, True), (500, False)):
            for body in (b"hello", large) if at % 16 == 1 else (b"hello",):
                yield f"early {status} at request byte {at}, body of {len(body)}", lambda b, a=at, s=status, p=declare_not_run, d=body: run_case(
                    b, "once", [CustomBytes(early(s, p), after=a, ran=False, declares_not_run=p)], body=d)


def stray_cases():
    """Bytes that belong to no request, as functions of the id of the request and the name of the engine."""
    old = "r-old"
    return {
        "junk": lambda request_id, e: b"\x00\x01 nonsense \r\n\r\n",
        "line breaks": lambda request_id, e: b"\r\n\r\n",
        "second response": lambda request_id, e: answer(request_id, e, body=b"again"),
        "response to another request": lambda request_id, e: answer(old, e, body=b"another's"),
        "response without an id": lambda request_id, e: answer(request_id, e, body=b"nameless", with_id=False),
        "refusal without an id": lambda request_id, e: answer(request_id, e, body=b"no", status="503 No", stamp=False,
                                                              extra=f"{NOT_RUN}: 1\r\n", with_id=False),
        "421 without an id": lambda request_id, e: answer(request_id, e, body=b"no", status="421 No", stamp=False, with_id=False),
        "500 without an id": lambda request_id, e: answer(request_id, e, body=b"no", status="500 No", with_id=False),
        "404 without an id": lambda request_id, e: answer(request_id, e, body=b"no", status="404 No", with_id=False),
        "refusal of another request": lambda request_id, e: answer(old, e, body=b"no", status="503 No", extra=f"{NOT_RUN}: 1\r\n"),
        "interim response": lambda request_id, e: b"HTTP/1.1 100 Continue\r\n\r\n",
        "chunks of another response": lambda request_id, e: answer(old, e, body=b"another's body", chunked=True),
        "half a head": lambda request_id, e: b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n",
        "half a body": lambda request_id, e: answer(old, e, body=b"x" * 30)[:-7],
        "endless body": lambda request_id, e: b"HTTP/1.1 200 OK\r\n\r\nand so on",
    }


def stray_with_answer(bed, make, cut, route):
    """The stray bytes directly follow the complete response; the next caller sends its request afterwards."""
    bed.start_case(1)
    bed.scripts = [CustomBytes(
        lambda connection, b: b.correct_response(connection) + make(b.request_id(connection), connection.engine.name)[:cut],
        then="stay")]
    caller = Caller(bed, route, f"r{bed.number:05d}")
    caller.send()
    caller.finish()
    caller.check_rules()
    if caller.status() != 200:
        raise Violation(f"{caller.id} got {caller.status()} though its response was complete")
    caller.close()
    check_next_caller(bed)


def stray_at_reuse(bed, make, cut, route, at):
    """The stray bytes arrive on a reused connection after the next request has begun to arrive and before the
    response to it."""
    bed.start_case(1)
    open_idle_connections(bed, 1)

    class Late:
        declares_not_run = False
        sent = False

        def bytes_wanted(self, connection):
            return at - len(connection.message.raw) if not self.sent else 65536

        def on_bytes(self, connection, b):
            if not self.sent and len(connection.message.raw) >= at:
                self.sent = True
                connection.send(make(f"next{b.number:05d}-0", connection.engine.name)[:cut])
            if connection.message.complete:
                b.record_run(connection)
                connection.send(b.correct_response(connection))
                connection.next()

    bed.scripts = [Late()]
    caller = Caller(bed, route, f"r{bed.number:05d}", time_left=250)
    caller.send()
    caller.finish()
    caller.check_rules()
    caller.close()
    check_next_caller(bed)


def group_stray(sizes):
    """Stray bytes directly after a complete response, and in place of the next response."""
    for name, make in stray_cases().items():
        length = len(make("r01000", "e01000-0"))
        step = max(1, length // 12)
        for cut in sorted(set(list(range(1, length, step)) + [length])):
            yield f"{name} ({cut} bytes) after a response", lambda b, m=make, k=cut: stray_with_answer(b, m, k, "once")
        for route in ("once", "safe"):
            for at in (1, sizes["once"][0] // 2):
                yield f"{name} in place of the next response of {route}, from byte {at}", lambda b, m=make, r=route, a=at: stray_at_reuse(
                    b, m, 10 ** 6, r, a)


def group_status(sizes):
    """Every kind of response, with and without stamp and not-run header, on new and on reused connections."""
    for status in (200, 204, 301, 304, 400, 401, 404, 408, 413, 421, 429, 431, 500, 502, 503, 504):
        for declare_not_run in (False, True):
            for stamp in (False, True):
                for reuse in (False, True):
                    for route in ("once", "safe"):
                        declared = status == 421 or (declare_not_run and status != 400)

                        def make(connection, bed, s=status, p=declare_not_run, t=stamp):
                            request_id = bed.request_id(connection)
                            data = answer(request_id, connection.engine.name, status=f"{s} x", stamp=t, body=b"" if s in (204, 304) else b"body",
                                          extra=f"{NOT_RUN}: 1\r\n" if p else "")
                            bed.record_response(request_id, connection.engine.name, data)
                            return data

                        yield (f"{route} {status}{' not-run header' * declare_not_run}{' stamp' * stamp}{' reused' * reuse}",
                               lambda b, m=make, r=route, u=reuse, q=declared: run_case(
                                   b, r, [CustomBytes(m, ran=not q, declares_not_run=q)], reuse=u, engines=1 if u else 2))


def group_framing(sizes):
    """Interim responses, responses without a body, and responses with invalid framing."""
    def before(data, then="next"):
        return [CustomBytes(lambda connection, bed: data + bed.correct_response(connection), then=then)]

    interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    yield "a 100 first", lambda b: run_case(b, "once", before(b"HTTP/1.1 100 Continue\r\n\r\n"), expect=200)
    yield "interim responses first", lambda b: run_case(b, "once", before(interim * 50), expect=200)
    yield "a 101", lambda b: run_case(b, "once", before(b"HTTP/1.1 101 Up\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"), expect=502)
    for at in range(0, len(interim), 2):
        for how in ENDS:
            yield f"interim response, {how} at byte {at}", lambda b, a=at, h=how: run_case(
                b, "once", [CustomBytes(lambda connection, bed: interim[:a], then=h)], expect=502)

    def fixed(head, body=b"", then="next"):
        def make(connection, bed):
            request_id = bed.request_id(connection)
            data = f"HTTP/1.1 200 OK\r\n{ID}: {request_id}\r\n{STAMP}: {connection.engine.name}\r\n".encode() + head + b"\r\n" + body
            bed.responses.setdefault(request_id, []).append((connection.engine.name, 200, b"never whole", None))
            return data
        return [CustomBytes(make, then=then)]

    for name, head, body in (
            ("two lengths", b"Content-Length: 3\r\nContent-Length: 4\r\n", b"abcd"),
            ("a length and chunks", b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", b"3\r\nabc\r\n0\r\n\r\n"),
            ("a length with a sign", b"Content-Length: +3\r\n", b"abc"),
            ("a negative length", b"Content-Length: -3\r\n", b"abc"),
            ("a length of many digits", b"Content-Length: 99999999999999999999999\r\n", b"abc"),
            ("a list of lengths", b"Content-Length: 3, 3\r\n", b"abc"),
            ("a chunk size that overflows", b"Transfer-Encoding: chunked\r\n", b"FFFFFFFFFFFFFFFFFF\r\nabc\r\n0\r\n\r\n"),
            ("a negative chunk", b"Transfer-Encoding: chunked\r\n", b"-3\r\nabc\r\n0\r\n\r\n"),
            ("a chunk with a wrong end", b"Transfer-Encoding: chunked\r\n", b"3\r\nabcXX0\r\n\r\n"),
            ("no length, closed", b"X: y\r\n", b"abc"),
            ("a blank before a colon", b"Content-Length : 3\r\n", b"abc"),
            ("endless fields", b"X: " + b"y" * 70000 + b"\r\n", b"abc"),
            ("a bad field", b"no colon\r\n", b"abc")):
        yield f"a response with {name}", lambda b, h=head, d=body: run_case(b, "once", fixed(h, d, "fin"), expect=(502, 504, None))

    def keep_alive(value):
        return [CustomBytes(lambda connection, bed: extra_answer(connection, bed, f"Keep-Alive: {value}\r\n"))]

    def extra_answer(connection, bed, extra):
        request_id = bed.request_id(connection)
        data = answer(request_id, connection.engine.name, extra=extra)
        bed.record_response(request_id, connection.engine.name, data)
        return data

    for value in ("timeout=0", "timeout=1", "timeout=-9223372036854775808", "timeout=99999999999999999999", "timeout=x",
                  "timeout=", "max=1, timeout=5"):
        yield f"Keep-Alive: {value}", lambda b, v=value: run_case(b, "once", keep_alive(v), expect=200)
    yield "Connection: close", lambda b: run_case(
        b, "once", [CustomBytes(lambda connection, bed: extra_answer(connection, bed, "Connection: close\r\n"))], expect=200)

    def head_case(bed, reply):
        bed.start_case(1)
        bed.scripts = [CustomBytes(lambda connection, b: answer_head(connection, b, reply), then="next")]
        caller = Caller(bed, "once", f"r{bed.number:05d}", method="HEAD", body=b"")
        caller.send()
        caller.finish()
        caller.check_rules()
        caller.close()
        for _ in range(2):
            check_next_caller(bed)

    def answer_head(connection, bed, reply):
        request_id = bed.request_id(connection)
        data = answer(request_id, connection.engine.name, body=b"x" * 30)
        bed.record_response(request_id, connection.engine.name, data)
        return data if reply == "body" else data[:-30]

    yield "HEAD without a body", lambda b: head_case(b, "none")
    yield "HEAD with a body", lambda b: head_case(b, "body")
    def extra_status(connection, bed, status):
        request_id = bed.request_id(connection)
        data = f"HTTP/1.1 {status} x\r\n{ID}: {request_id}\r\n{STAMP}: {connection.engine.name}\r\n\r\n".encode()
        bed.record_response(request_id, connection.engine.name, data)
        return data

    for status in (204, 304):
        yield f"{status} with a body", lambda b, s=status: run_case(b, "once", [CustomBytes(
            lambda connection, bed: extra_status(connection, bed, s) + b"0123456789", then="stay")], engines=1)

    yield "an encoded response", lambda b: run_case(b, "once", [CustomBytes(
        lambda connection, bed: extra_answer(connection, bed, "Content-Encoding: gzip\r\n"))], expect=502)


def silence(bed, route, at, engines, reuse):
    """The engine pauses within its response and sends the rest after the timeout."""
    bed.start_case(engines)
    if reuse:
        open_idle_connections(bed, engines)
    held = []

    def some(connection, b):
        data = b.correct_response(connection)
        held.append((connection, data[at:]))
        return data[:at]

    bed.scripts = [CustomBytes(some, then="stay")]
    caller = Caller(bed, route, f"r{bed.number:05d}", time_left=60)
    caller.send()
    caller.finish()
    caller.check_rules()
    caller.close()
    for conn, rest in held:
        conn.send(rest)
    check_next_caller(bed)
    check_next_caller(bed)


def group_silence(sizes):
    """Engines and callers that stop sending at some bytes, and responses that arrive after the timeout."""
    for at in (0, 1, 12, 40, 80, sizes["once"][1] - 1):
        yield f"silent after response byte {at}", lambda b, a=at: silence(b, "once", a, 1 + a % 2, a % 3 == 0)
    for at in (0, 100):
        yield f"silent stream after byte {at}", lambda b, a=at: silence(b, "stream", a, 2, False)
        yield f"repeatable request, silent after byte {at}", lambda b, a=at: silence(b, "safe", a, 2, False)
    for at in (1, 60, sizes["once"][0]):
        yield f"silent after request byte {at}", lambda b, a=at: run_case(
            b, "once", [CustomBytes(lambda connection, bed: b"", then="stay", after=a)], time_left=60, expect=504)

    def slow_caller(bed, at):
        bed.start_case(1)
        caller = Caller(bed, "once", f"r{bed.number:05d}")
        caller.send(caller.data[:at])
        caller.finish()
        if caller.status() != 408 or bed.arrivals:
            raise Violation(f"{caller.id} stopped at byte {at}, got {caller.status()} and reached {len(bed.arrivals)} engines")
        caller.close()
        check_next_caller(bed)

    for at in (1, 70, 120):
        yield f"caller silent at byte {at}", lambda b, a=at: slow_caller(b, a)


def idle_race(bed, engines, route, delay_us, how):
    """The engine ends its idle connections at about the time the gateway reuses one of them."""
    bed.start_case(engines)
    open_idle_connections(bed, engines)
    idle = [connection for connection in bed.connections if connection.open and connection.served]
    caller = Caller(bed, route, f"r{bed.number:05d}")
    if delay_us < 0:
        for x in idle:
            x.close(how == "rst")
        caller.send()
    else:
        caller.send()
        deadline = time.perf_counter() + delay_us / 1e6
        while time.perf_counter() < deadline:
            pass
        for x in idle:
            x.close(how == "rst")
    caller.finish()
    caller.check_rules()
    if delay_us < 0 and caller.status() != 200:
        raise Violation(f"{caller.id} got {caller.status()} though the idle connections had ended before the request")
    caller.close()
    check_next_caller(bed)


def group_idle(sizes):
    """Idle connections that end just before, while or after they are reused."""
    for route in ("once", "safe"):
        for delay in [-1, -1] + list(range(0, 1500, 50)):
            for how in ENDS:
                for engines in (1, 2):
                    yield f"{route} idle {how} {delay} us after the request", lambda b, r=route, d=delay, h=how, e=engines: idle_race(
                        b, e, r, d, h)


def raw_caller(bed, data, expect, allowed=()):
    """A caller sends raw bytes; engines may run only the allowed request ids, each at most once."""
    bed.start_case(2)
    caller = Caller(bed, "once", "raw", raw=data)
    caller.send()
    quiet = time.time() + 1
    while not caller.ended and time.time() < quiet:
        if bed.run_once([caller.sock.fileno()], max(quiet - time.time(), 0.001)):
            caller.read()
        if caller.message.complete:
            quiet = min(quiet, time.time() + 0.03)
    status = caller.status()
    ran = [request_id for _, _, request_id in bed.runs]
    for request_id in ran:
        if request_id not in allowed:
            raise Violation(f"a request with the id {request_id!r} ran; allowed are {allowed}")
    if len(ran) != len(set(ran)):
        raise Violation(f"a request ran more than once: {ran}")
    if expect is not None and status != expect:
        raise Violation(f"got {status} instead of {expect}: {caller.message.raw[:120]!r}")
    caller.close()
    check_next_caller(bed)
    return caller


def group_smuggling(sizes):
    """Requests whose end or header fields other parsers could interpret differently."""
    def request(head, body=b"", target="/once/x", request_id="mine"):
        return f"POST {target} HTTP/1.1\r\nHost: svc.example\r\n{ID}: {request_id}\r\n".encode() + head + b"\r\n" + body

    smuggled = request(b"Content-Length: 0\r\n", request_id="smuggled")
    bad = {
        "length and chunks": (b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", b"0\r\n\r\n" + smuggled),
        "chunks and length": (b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", b"0\r\n\r\n" + smuggled),
        "an unknown coding": (b"Transfer-Encoding: xchunked\r\nContent-Length: 5\r\n", b"hello" + smuggled),
        "an unknown coding alone": (b"Transfer-Encoding: xchunked\r\n", b"5\r\nhello\r\n0\r\n\r\n" + smuggled),
        "chunked that is not last": (b"Transfer-Encoding: chunked, identity\r\n", b"0\r\n\r\n" + smuggled),
        "two codings": (b"Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n", b"0\r\n\r\n" + smuggled),
        "a blank before the colon": (b"Transfer-Encoding : chunked\r\n", b"0\r\n\r\n" + smuggled),
        "a length with a blank before the colon": (b"Content-Length : 5\r\n", b"hello" + smuggled),
        "a tab before the colon": (b"Content-Length\t: 5\r\n", b"hello" + smuggled),
        "two lengths": (b"Content-Length: 5\r\nContent-Length: 0\r\n", b"hello" + smuggled),
        "a list of lengths": (b"Content-Length: 5, 5\r\n", b"hello"),
        "a length with a sign": (b"Content-Length: +5\r\n", b"hello"),
        "a negative length": (b"Content-Length: -5\r\n", b"hello"),
        "a length in hex": (b"Content-Length: 0x5\r\n", b"hello"),
        "a length that overflows": (b"Content-Length: 18446744073709551621\r\n", b"hello" + smuggled),
        "a blank in a length": (b"Content-Length: 5 5\r\n", b"hello"),
        "an empty length": (b"Content-Length:\r\n", b"hello" + smuggled),
        "a folded coding": (b"Transfer-Encoding:\r\n chunked\r\n", b"0\r\n\r\n" + smuggled),
        "a folded field": (b"X-Fold: a\r\n b\r\nContent-Length: 0\r\n", b""),
        "a fold with a tab": (b"X-Fold: a\r\n\tb\r\nContent-Length: 0\r\n", b""),
        "a fold after a bare line feed": (b"X-Fold: a\n b\r\nContent-Length: 0\r\n", b""),
        "a first line that is folded": (b" X: y\r\nContent-Length: 0\r\n", b""),
        "a bare carriage return": (b"X: a\rContent-Length: 50\r\nContent-Length: 0\r\n", b""),
        "a zero byte": (b"X: a\0b\r\nContent-Length: 0\r\n", b""),
        "a field without a colon": (b"nothing\r\nContent-Length: 0\r\n", b""),
        "a field without a name": (b": x\r\nContent-Length: 0\r\n", b""),
        "a chunk size with a sign": (b"Transfer-Encoding: chunked\r\n", b"+5\r\nhello\r\n0\r\n\r\n" + smuggled),
        "a negative chunk size": (b"Transfer-Encoding: chunked\r\n", b"-5\r\nhello\r\n0\r\n\r\n" + smuggled),
        "a chunk size in C": (b"Transfer-Encoding: chunked\r\n", b"0x5\r\nhello\r\n0\r\n\r\n" + smuggled),
        "a chunk size that overflows": (b"Transfer-Encoding: chunked\r\n", b"10000000000000005\r\nhello\r\n0\r\n\r\n" + smuggled),
        "an empty chunk size": (b"Transfer-Encoding: chunked\r\n", b"\r\nhello\r\n0\r\n\r\n" + smuggled),
        "a chunk without its end": (b"Transfer-Encoding: chunked\r\n", b"5\r\nhelloXX0\r\n\r\n" + smuggled),
        "a chunk longer than it says": (b"Transfer-Encoding: chunked\r\n", b"3\r\nhello\r\n0\r\n\r\n" + smuggled),
        "two hosts": (b"Host: other.example\r\nContent-Length: 0\r\n", b""),
        "two names": (f"{ID}: other\r\n".encode() + b"Content-Length: 0\r\n", b""),
    }
    for name, (head, body) in bad.items():
        yield f"smuggling: {name}", lambda b, d=request(head, body): raw_caller(b, d, 400)
    targets = {"a tab": "/once/a\tb", "a form feed": "/once/a\fb", "a blank": "/once/a b", "a vertical tab": "/once/a\vb",
               "a delete": "/once/a\x7fb", "a fragment": "/once/a#b"}
    for name, target in targets.items():
        yield f"smuggling: {name} in the target", lambda b, t=target: raw_caller(b, request(b"Content-Length: 0\r\n", target=t), 400)
    lines = {"HTTP/1.2 and more": b"POST /once/x HTTP/2.0\r\n", "HTTP/0.9": b"GET /once/x\r\n", "no method": b" /once/x HTTP/1.1\r\n",
             "a small method": b"post /once/x HTTP/1.1\r\n"}
    for name, line in lines.items():
        yield f"smuggling: {name}", lambda b, l=line: raw_caller(
            b, l + f"Host: svc.example\r\n{ID}: mine\r\nContent-Length: 0\r\n\r\n".encode(), 400)
    yield "smuggling: two blanks before the target", lambda b: raw_caller(
        b, f"POST  /once/x HTTP/1.1\r\nHost: svc.example\r\n{ID}: mine\r\nContent-Length: 0\r\n\r\n".encode(), None, ("mine",))
    body = b"POST /once/x HTTP/1.1\r\nHost: svc.example\r\n" + f"{ID}: smuggled\r\n\r\n".encode()
    yield "a request as a body", lambda b: raw_caller(
        b, request(b"Content-Length: %d\r\n" % len(body), body), 200, ("mine",))
    yield "a request as a chunk", lambda b: raw_caller(
        b, request(b"Transfer-Encoding: chunked\r\n", b"%x\r\n%s\r\n0\r\nX: %s\r\n\r\n" % (len(body), body, b"y")), 200, ("mine",))
    yield "a request in a trailer", lambda b: raw_caller(
        b, request(b"Transfer-Encoding: chunked\r\n", f"1\r\nz\r\n0\r\n{ID}: smuggled\r\nHost: other\r\n\r\n".encode()), 200, ("mine",))
    yield "a request after Connection: close", lambda b: raw_caller(
        b, request(b"Content-Length: 0\r\nConnection: close\r\n") + smuggled, 200, ("mine",))
    yield "a request after an upgrade", lambda b: raw_caller(
        b, request(b"Content-Length: 0\r\nConnection: upgrade, close\r\nUpgrade: h2c\r\n") + smuggled, 200, ("mine",))
    yield "a length of an upgrade's body", lambda b: raw_caller(
        b, request(b"Content-Length: %d\r\nConnection: upgrade, close\r\nUpgrade: h2c\r\n" % len(body), body), 200, ("mine",))
    yield "a field that Connection names", lambda b: raw_caller(
        b, request(f"Content-Length: 0\r\nConnection: close, {ID}, Host\r\n".encode()), 200, ("mine",))

    def pipelined(bed, count, cut):
        bed.start_case(2)
        ids = [f"p{bed.number}-{i}" for i in range(count)]
        data = b"".join(request(b"Content-Length: 5\r\n", b"hello", request_id=i) for i in ids)
        sock = socket.create_connection(("127.0.0.1", bed.front))
        rest = b""
        sock.sendall(data[:cut])
        sent = False
        for i, request_id in enumerate(ids):
            caller = Caller(bed, "once", request_id, sock=sock)
            if rest:
                caller.message.feed(rest)
            if not sent and not caller.message.complete:
                bed.run_once([sock.fileno()], 0.005)
                caller.send(data[cut:])
                sent = True
            caller.finish()
            rest, caller.message.rest = caller.message.rest, b""
            if caller.status() != 200 or caller.message.fields.get(ID.lower()) != request_id:
                raise Violation(f"{request_id} got {caller.status()} with the request id {caller.message.fields.get(ID.lower())}")
            if [x for x in bed.runs if x[2] == request_id] and len([x for x in bed.runs if x[2] == request_id]) > 1:
                raise Violation(f"{request_id} ran twice")
        sock.close()
        check_next_caller(bed)

    for cut in range(1, 260, 4):
        yield f"three pipelined requests, split at byte {cut}", lambda b, k=cut: pipelined(b, 3, k)


GROUPS = {name[6:]: f for name, f in list(globals().items()) if name.startswith("group_")}


def run_part(build, number, jobs, only, verbose, pipe):
    """Runs every jobs-th case of all groups in one process, beginning with the case of its number."""
    socket.setdefaulttimeout(CASE_SECONDS)
    bed = TestBed(build)
    failed, count, spent = [], {}, {}
    try:
        sizes = lengths(bed)
        for group, make in GROUPS.items():
            if only and group != only:
                continue
            began = time.time()
            for i, (name, case) in enumerate(make(sizes)):
                if i % jobs != number:
                    continue
                count[group] = count.get(group, 0) + 1
                try:
                    case(bed)
                except Exception as e:  # noqa: BLE001 - any exception is a failure of this case
                    failed.append((group, name, str(e) if isinstance(e, Violation) else repr(e)))
                    if not isinstance(e, Violation):
                        bed.process.kill()
                        bed.process.wait(10)
                if verbose:
                    print(name, flush=True)
                if bed.process.poll() is not None:
                    failed.append((group, name, "the gateway has exited or does not respond"))
                    bed = TestBed(build)
                if len(failed) >= MAX_FAILURES:
                    raise Violation("too many failures; the rest is not run")
            spent[group] = time.time() - began
        bed.start_case(0)
        bed.send_control("/stop")
        if bed.process.wait(20):
            failed.append(("end", "the gateway exits", f"with {bed.process.returncode}"))
    except Exception:  # the parent process reports it
        failed.append(("harness", "completes", traceback.format_exc()))
    if bed.process.poll() is None:
        bed.process.kill()
    pipe.send((failed, count, spent))


def main():
    options = sys.argv[1:]
    build = "build" if "--fast" in options else "build-san"
    only = options[options.index("--group") + 1] if "--group" in options else None
    jobs = int(options[options.index("--jobs") + 1]) if "--jobs" in options else 3
    os.environ.setdefault("ASAN_OPTIONS", "detect_stack_use_after_return=0")
    began = time.time()
    pipes, parts = [], []
    for number in range(jobs):
        receiver, sender = multiprocessing.Pipe()
        part_process = multiprocessing.Process(target=run_part, args=(build, number, jobs, only, "--verbose" in options, sender))
        part_process.start()
        pipes.append(receiver)
        parts.append(part_process)
    failed, count, spent = [], {}, {}
    for pipe in pipes:
        part_failed, part_count, part_spent = pipe.recv()
        failed += part_failed
        for group, n in part_count.items():
            count[group] = count.get(group, 0) + n
        for group, seconds in part_spent.items():
            spent[group] = max(spent.get(group, 0), seconds)
    for part_process in parts:
        part_process.join()
    for group, name, why in failed[:60]:
        print(f"FAIL {group}: {name}: {why}")
    for group, n in count.items():
        bad = sum(1 for g, _, _ in failed if g == group)
        print(f"bytes: {group}: {n} cases, {bad} failed, {spent.get(group, 0):.1f} s")
    print(f"bytes: {sum(count.values())} cases, {len(failed)} failed, {time.time() - began:.1f} s")
    return 1 if failed or not count else 0


if __name__ == "__main__":
    sys.exit(main())
