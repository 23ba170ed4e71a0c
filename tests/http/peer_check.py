#!/usr/bin/env python3
"""Peers that end the connection while a gateway opens a channel to them, over loopback.

A gateway (tests/http/gateway.c) posts messages to simulated peers, each of which ends its connections in a different
way. The checks use only what the peers and the callers have observed:

- after a failed attempt to open a channel, one of the next messages opens it again, not seconds later;
- callers' connections, which share the library's memory with such channels, are not affected: each request gets its
  own complete response;
- the process does not exit by itself, and exits when it is told to.

Usage: tests/http/peer_check.py [--fast]; --fast uses the plain build instead of the sanitizer build.
"""
import socket
import struct
import subprocess
import sys
import threading
import time

from bytes_check import ID, TIME_LEFT, TOP, Message
from drain_check import Engine

POST_INTERVAL_S, POSTS = 0.03, 60
MIN_CONNECTIONS = 6  # per POSTS messages; the gateway waits 100 ms between two attempts to open a channel
CALLERS, REQUESTS_PER_CALLER = 24, 60

failures = []


def check(what, holds, seen=""):
    print(("ok   " if holds else "FAIL ") + what + ("" if holds else f": {seen}"), flush=True)
    if not holds:
        failures.append(what)


def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


def reset_at_once(connection):
    reset(connection)


def reset_after_request(connection):
    connection.recv(65536)
    reset(connection)


def close_after_request(connection):
    connection.recv(65536)
    connection.close()


def refuse_upgrade(connection):
    connection.recv(65536)
    connection.sendall(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
    connection.close()


def send_partial_response(connection):
    connection.recv(65536)
    connection.sendall(b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: webs")
    reset(connection)


class Peer(threading.Thread):
    """Accepts and counts connections, and ends each with the given function."""

    def __init__(self, end):
        super().__init__(daemon=True)
        self.end, self.connections = end, 0
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port = self.listener.getsockname()[1]

    def run(self):
        while True:
            connection, _ = self.listener.accept()
            self.connections += 1
            try:
                self.end(connection)
            except OSError:
                pass


class Gateway:
    """A gateway process with one engine."""

    def __init__(self, build):
        self.process = subprocess.Popen([f"{TOP}/{build}/bin/http-gateway"], stdout=subprocess.PIPE,
                                        stderr=subprocess.PIPE, text=True)
        self.front, self.control = map(int, self.process.stdout.readline().split())
        self.engine = Engine("engine-1")
        self.engine.start()
        self.send_control(f"/beat?id={self.engine.name}&addr=127.0.0.1:{self.engine.port}")

    def send_control(self, target):
        with socket.create_connection(("127.0.0.1", self.control)) as sock:
            sock.sendall(f"GET {target} HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n".encode())
            while sock.recv(65536):
                pass


def post_to(gateway, peers):
    for _ in range(POSTS):
        for peer in peers:
            gateway.send_control(f"/post?addr=127.0.0.1:{peer.port}")
        time.sleep(POST_INTERVAL_S)


def call(gateway, number, wrong):
    """Sends requests over a persistent connection, reopened for every seventh request; collects wrong responses."""
    sock = None
    for request_number in range(REQUESTS_PER_CALLER):
        if sock is None or request_number % 7 == 0:
            if sock:
                sock.close()
            sock = socket.create_connection(("127.0.0.1", gateway.front))
            sock.settimeout(10)
        request_id = f"caller-{number}-{request_number}"
        sock.sendall(f"POST /safe/x?ms=5 HTTP/1.1\r\nHost: svc.example\r\n{ID}: {request_id}\r\n"
                     f"{TIME_LEFT}: 20000\r\nContent-Length: 2\r\n\r\nhi".encode())
        message = Message()
        while not message.complete:
            data = sock.recv(65536)
            if not data:
                break
            message.feed(data)
        # the gateway responds with 503 when the engine is full
        if not message.complete or message.status() not in (200, 503) or \
                message.fields.get(ID.lower()) != request_id:
            wrong.append((request_id, message.start))
        time.sleep(0.01)
    sock.close()


def main():
    gateway = Gateway("build" if "--fast" in sys.argv else "build-san")
    peers = [Peer(end) for end in (reset_at_once, reset_after_request, close_after_request, refuse_upgrade,
                                   send_partial_response)]
    for peer in peers:
        peer.start()
    wrong = []
    callers = [threading.Thread(target=call, args=(gateway, number, wrong)) for number in range(CALLERS)]
    for caller in callers:
        caller.start()
    try:
        post_to(gateway, peers)
    except OSError as error:
        check("the gateway survives its peers", False, error)
    for caller in callers:
        caller.join()
    for peer in peers:
        check(f"a channel is opened again after {peer.end.__name__}", peer.connections >= MIN_CONNECTIONS,
              f"{peer.connections} connections")
    check("each request gets its own complete response", not wrong, wrong[:5])
    if gateway.process.poll() is None:
        gateway.send_control("/stop")
    try:
        errors = gateway.process.communicate(timeout=15)[1]
    except subprocess.TimeoutExpired:
        gateway.process.kill()
        errors = "does not exit"
    check("the process exits cleanly", gateway.process.returncode == 0, (gateway.process.returncode, errors[-400:]))
    print(f"{len(failures)} failed")
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
