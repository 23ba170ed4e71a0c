#!/usr/bin/env python3
"""Peers that break off while a channel to them is being opened, over loopback.

A gateway (tests/http/gateway.c) is told to post messages to peers of our own that end each connection in another
way. The verdict uses nothing but what the peers and the callers have seen:

- a channel that could not be opened is opened anew with one of the next messages, not seconds later;
- callers' connections, which share the library's memory with such channels, go on undisturbed: each request gets
  its own whole answer;
- the process neither ends by itself nor refuses to end when it is told to.

Usage: tests/http/peer_check.py [--fast]; --fast takes the plain build, else that of the sanitizers.
"""
import socket
import struct
import subprocess
import sys
import threading
import time

from bytes_check import ID, TIME_LEFT, TOP, Message
from drain_check import Engine

POST_EACH_S, POSTS = 0.03, 60
LEAST_OPENINGS = 6  # in POSTS messages; the gateway leaves 100 ms between two openings
CALLERS, REQUESTS_EACH = 24, 60

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


def half_answer(connection):
    connection.recv(65536)
    connection.sendall(b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: webs")
    reset(connection)


class Peer(threading.Thread):
    """Counts the connections that come, and ends each of them in its way."""

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
    """The gateway's process, with one engine."""

    def __init__(self, build):
        self.process = subprocess.Popen([f"{TOP}/{build}/bin/http-gateway"], stdout=subprocess.PIPE,
                                        stderr=subprocess.PIPE, text=True)
        self.front, self.control = map(int, self.process.stdout.readline().split())
        self.engine = Engine("engine-1")
        self.engine.start()
        self.tell(f"/beat?id={self.engine.name}&addr=127.0.0.1:{self.engine.port}")

    def tell(self, target):
        with socket.create_connection(("127.0.0.1", self.control)) as sock:
            sock.sendall(f"GET {target} HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n".encode())
            while sock.recv(65536):
                pass


def post_to(gateway, peers):
    for _ in range(POSTS):
        for peer in peers:
            gateway.tell(f"/post?addr=127.0.0.1:{peer.port}")
        time.sleep(POST_EACH_S)


def call(gateway, number, wrong):
    """Sends requests over a kept connection that is renewed now and then; notes answers that are not its own."""
    sock = None
    for turn in range(REQUESTS_EACH):
        if sock is None or turn % 7 == 0:
            if sock:
                sock.close()
            sock = socket.create_connection(("127.0.0.1", gateway.front))
            sock.settimeout(10)
        request_id = f"caller-{number}-{turn}"
        sock.sendall(f"POST /safe/x?ms=5 HTTP/1.1\r\nHost: svc.example\r\n{ID}: {request_id}\r\n"
                     f"{TIME_LEFT}: 20000\r\nContent-Length: 2\r\n\r\nhi".encode())
        message = Message()
        while not message.whole:
            data = sock.recv(65536)
            if not data:
                break
            message.feed(data)
        # 503 is the gateway's own word that the engine is full
        if not message.whole or message.status() not in (200, 503) or \
                message.fields.get(ID.lower()) != request_id:
            wrong.append((request_id, message.start))
        time.sleep(0.01)
    sock.close()


def main():
    gateway = Gateway("build" if "--fast" in sys.argv else "build-san")
    peers = [Peer(end) for end in (reset_at_once, reset_after_request, close_after_request, refuse_upgrade,
                                   half_answer)]
    for peer in peers:
        peer.start()
    wrong = []
    callers = [threading.Thread(target=call, args=(gateway, number, wrong)) for number in range(CALLERS)]
    for caller in callers:
        caller.start()
    try:
        post_to(gateway, peers)
    except OSError as broken:
        check("the gateway lives through its peers", False, broken)
    for caller in callers:
        caller.join()
    for peer in peers:
        check(f"a channel is opened anew after {peer.end.__name__}", peer.connections >= LEAST_OPENINGS,
              f"{peer.connections} connections")
    check("each request gets its own whole answer", not wrong, wrong[:5])
    if gateway.process.poll() is None:
        gateway.tell("/stop")
    try:
        errors = gateway.process.communicate(timeout=15)[1]
    except subprocess.TimeoutExpired:
        gateway.process.kill()
        errors = "does not end"
    check("the process ends in order", gateway.process.returncode == 0, (gateway.process.returncode, errors[-400:]))
    print(f"{len(failures)} failed")
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
