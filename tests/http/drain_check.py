#!/usr/bin/env python3
"""Drains a gateway (tests/http/gateway.c) over loopback while callers hold connections to it.

The gateway's grace period is 4 s: it closes its listener after 2 s, refuses waiting requests after 2.8 s and exits
within 3.6 s. The checks use only what callers and the engine have observed:

- a request that arrives after the listener was closed, on any connection, reaches no engine; its caller sees the
  connection end before the request was read, or gets a complete 503;
- a request that was accepted earlier gets a complete response, unless its engine was still processing it at the end;
- a request to which no engine has begun to respond gets a final response before the process exits.

Usage: tests/http/drain_check.py [--fast]; --fast uses the plain build instead of the sanitizer build.
"""
import socket
import subprocess
import sys
import threading
import time
from urllib.parse import parse_qs, urlparse

from bytes_check import ID, STAMP, TIME_LEFT, TOP, Message

LISTENER_CLOSED_S, GRACE_S = 2.0, 4.0
EVENT_INTERVAL_S = 0.05


class Engine(threading.Thread):
    """An engine that takes as long for each request as its target says; it never responds to ms=-1."""

    def __init__(self, name):
        super().__init__(daemon=True)
        self.name, self.seen = name, {}
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port = self.listener.getsockname()[1]

    def run(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        rest = b""
        try:
            while True:
                message = Message()
                message.feed(rest)
                while not message.complete:
                    data = connection.recv(65536)
                    if not data:
                        return
                    message.feed(data)
                rest = message.rest
                self.answer(connection, message)
        except OSError:
            pass

    def answer(self, connection, message):
        request_id, target = message.fields[ID.lower()], urlparse(message.start.split()[1])
        self.seen[request_id] = time.monotonic()
        span = int(parse_qs(target.query)["ms"][0]) / 1000
        if span < 0:
            time.sleep(60)
            return
        head = f"HTTP/1.1 200 OK\r\n{ID}: {request_id}\r\n{STAMP}: {self.name}\r\n"
        if not target.path.startswith("/stream/"):
            time.sleep(span)
            connection.sendall(head.encode() + b"Content-Length: 2\r\n\r\nok")
            return
        connection.sendall(head.encode() + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        deadline, number = time.monotonic() + span, 0
        while time.monotonic() < deadline:
            number += 1
            event = b"id: %d\ndata: %s\n\n" % (number, request_id.encode())
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(EVENT_INTERVAL_S)
        connection.sendall(b"0\r\n\r\n")


class Caller:
    """A caller's connection; send_request() sends a request, read_response() reads a response."""

    def __init__(self, gateway):
        self.gateway, self.sock, self.rest = gateway, socket.create_connection(("127.0.0.1", gateway.front)), b""
        self.sock.settimeout(10)

    def send_request(self, request_id, path, ms):
        self.sock.sendall(f"POST /{path}/x?ms={ms} HTTP/1.1\r\nHost: svc.example\r\n{ID}: {request_id}\r\n"
                          f"{TIME_LEFT}: 20000\r\nContent-Length: 2\r\n\r\nhi".encode())

    def read_response(self):
        """The next response; its complete is False if the connection ended first, its start None if no head
        arrived."""
        message = Message()
        message.feed(self.rest)
        try:
            while not message.complete:
                data = self.sock.recv(65536)
                if not data:
                    break
                message.feed(data)
        except ConnectionError:
            pass
        self.rest = message.rest
        return message

    def wait_for_end(self):
        """Waits for the next bytes or the end of the connection; returns the time since the stop, and whether
        bytes arrived."""
        try:
            data = self.sock.recv(65536)
        except ConnectionError:
            data = b""
        return self.gateway.since_stop(), bool(data)


class Gateway:
    """A gateway process with one engine."""

    def __init__(self, build):
        self.process = subprocess.Popen([f"{TOP}/{build}/bin/http-gateway"], stdout=subprocess.PIPE, text=True)
        self.front, self.control = map(int, self.process.stdout.readline().split())
        self.engine = Engine("engine-1")
        self.engine.start()
        self.stopped = None
        self.send_control(f"/beat?id={self.engine.name}&addr=127.0.0.1:{self.engine.port}")

    def send_control(self, target):
        with socket.create_connection(("127.0.0.1", self.control)) as sock:
            sock.sendall(f"GET {target} HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n".encode())
            while sock.recv(65536):
                pass

    def stop(self):
        self.stopped = time.monotonic()
        self.send_control("/drain")

    def since_stop(self):
        return time.monotonic() - self.stopped

    def wait_until(self, seconds):
        time.sleep(max(0, seconds - self.since_stop()))


failures = []


def check(what, holds, seen=""):
    print(("ok   " if holds else "FAIL ") + what + ("" if holds else f": {seen}"), flush=True)
    if not holds:
        failures.append(what)


def close_announced(message):
    return message.fields.get("connection", "").lower() == "close"


def refused(message):
    return message.complete and message.status() == 503 and close_announced(message)


def next_request_after_a_stream(gateway):
    caller = Caller(gateway)
    caller.send_request("stream-1", "stream", 2700)
    gateway_may_stop.wait()
    first = caller.read_response()
    check("a stream that began before the stop is complete", first.complete and first.status() == 200, first.start)
    check("it ended after the listener was closed", gateway.since_stop() > LISTENER_CLOSED_S, gateway.since_stop())
    try:
        caller.send_request("stream-2", "stream", 3000)
        second = caller.read_response()
    except OSError:
        second = Message()
    check("the next request on its connection reaches no engine", "stream-2" not in gateway.engine.seen,
          second.start)
    check("its caller sees the connection end, or a refusal", second.start is None or refused(second), second.start)


def request_behind_a_stream(gateway):
    caller = Caller(gateway)
    caller.send_request("ahead-1", "stream", 2800)
    gateway_may_stop.wait()
    gateway.wait_until(LISTENER_CLOSED_S + 0.15)
    caller.send_request("ahead-2", "stream", 3000)
    first = caller.read_response()
    check("a stream with a pipelined request behind it is complete", first.complete and first.status() == 200, first.start)
    second = caller.read_response()
    check("the pipelined request reaches no engine", "ahead-2" not in gateway.engine.seen, second.start)
    check("the pipelined request is refused, since it was read", refused(second), second.start)


def idle_connection(gateway):
    caller = Caller(gateway)
    caller.send_request("idle-1", "safe", 10)
    check("a short request before the stop is served", caller.read_response().complete)
    gateway_may_stop.wait()
    at, received_bytes = caller.wait_for_end()
    check("an idle connection ends with the listener", LISTENER_CLOSED_S - 0.3 < at < LISTENER_CLOSED_S + 0.6 and
          not received_bytes, at)


def request_during_the_first_seconds(gateway):
    caller = Caller(gateway)
    caller.send_request("early-1", "safe", 10)
    caller.read_response()
    gateway_may_stop.wait()
    gateway.wait_until(0.5)
    caller.send_request("early-2", "safe", 300)
    early = caller.read_response()
    check("a request soon after the stop is served, with Connection: close",
          early.complete and early.status() == 200 and close_announced(early), early.start)


def request_that_no_engine_answers(gateway):
    callers = [Caller(gateway), Caller(gateway)]
    gateway_may_stop.wait()
    gateway.wait_until(1.0)
    for number, (caller, path) in enumerate(zip(callers, ("once", "stream"))):
        caller.send_request(f"silent-{number}", path, -1)
    for number, caller in enumerate(callers):
        last = caller.read_response()
        check(f"a request without a response of an engine gets a final response at the end ({number})",
              last.complete and last.status() in (502, 504) and f"silent-{number}" in gateway.engine.seen, last.start)
        check(f"the final response arrives before the process exits ({number})", gateway.since_stop() < GRACE_S,
              gateway.since_stop())


gateway_may_stop = threading.Event()


def main():
    gateway = Gateway("build" if "--fast" in sys.argv else "build-san")
    cases = (next_request_after_a_stream, request_behind_a_stream, idle_connection,
             request_during_the_first_seconds, request_that_no_engine_answers)
    threads = [threading.Thread(target=case, args=(gateway,)) for case in cases]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    gateway.stop()
    gateway_may_stop.set()
    for thread in threads:
        thread.join()
    try:
        code = gateway.process.wait(10)
    except subprocess.TimeoutExpired:
        gateway.process.kill()
        code = None
    check("the process exits by itself within twice its grace period", code == 0 and gateway.since_stop() < 2 * GRACE_S,
          (code, gateway.since_stop()))
    print(f"{len(failures)} failed")
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
