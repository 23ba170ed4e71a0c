#!/usr/bin/env python3
"""Stand-ins for the users' platform, its engines, operator and clients, for the cases of this review.

They start the programs of the deploy file as separate processes on loopback addresses and speak the platform's protocol to them.
The names of that protocol are read from platform/platform_dialect.c; those of the settings file are put together below."""
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, 'target', 'bin', 'asterfall-node')
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2


def read_dialect():
    """The platform's name of each of our keys, header fields and calls."""
    with open(os.path.join(ROOT, 'platform', 'platform_dialect.c'), encoding='utf-8') as file:
        text = file.read()
    pairs = dict(re.findall(r'\{ "([^"]+)", "([^"]+)" \}', text))
    values = {own: theirs for _, own, theirs in re.findall(r'\{ "([^"]+)", "([^"]+)", "([^"]+)" \}', text)}
    fields = dict(re.findall(r'\[DF_(\w+)\] = "([^"]+)"', text))
    calls = {name: path for name, path in re.findall(r'\[DC_(\w+)\] = \{ "\w+", "([^"]+)" \}', text)}
    calls.update({name: path for name, path in re.findall(r'\[DC_(\w+)\] = \{\s*"\w+",\s*"([^"]+)"', text)})
    return pairs, values, fields, calls


KEYS, VALUES, FIELDS, CALLS = read_dialect()


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run, line by line, in record.txt of the case's folder."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, 'record.txt'), 'w', encoding='utf-8')
        self.began_at = now()
        self.lock = threading.Lock()

    def line(self, text):
        with self.lock:
            self.file.write(f'{now() - self.began_at:8.3f} {text}\n')
            self.file.flush()

    def say(self, text):
        self.line(text)
        print(text, flush=True)


def is_free(ip, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


class Fleet:
    """Controllers and routers of a small deployment, one loss of a controller to be borne."""
    CONTROL_PORT, FRONT_PORT, READY_PORT, INNER_PORT, ENGINE_PORT = 8146, 8144, 8140, 7660, 9100
    ZONES = ('zone-a', 'zone-b', 'zone-c')

    def __init__(self, record, controllers=3, routers=2):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix='review-')
        self.processes = {}
        self.net = self.find_net()
        self.controllers = [f'{self.net}.1.{i + 1}' for i in range(controllers)]
        self.routers = [f'{self.net}.2.{i + 1}' for i in range(routers)]

    def find_net(self):
        """The first two numbers of loopback addresses whose ports are free."""
        for _ in range(50):
            net = f'127.{random.randint(20, 250)}'
            ports = [(f'{net}.1.{i}', p) for i in range(1, 9) for p in (self.CONTROL_PORT, self.INNER_PORT)]
            ports += [(f'{net}.2.{i}', p) for i in range(1, 9)
                      for p in (self.FRONT_PORT, self.READY_PORT, self.INNER_PORT + 1)]
            ports += [(f'{net}.{part}.{i}', self.ENGINE_PORT) for part in (3, 4) for i in range(1, 13)]
            if all(is_free(ip, port) for ip, port in ports):
                return net
        raise OSError('no free loopback addresses')

    def control(self, index):
        return f'{self.controllers[index % len(self.controllers)]}:{self.CONTROL_PORT}'

    def front(self, index):
        return f'{self.routers[index % len(self.routers)]}:{self.FRONT_PORT}'

    def write_settings(self, name, kind, index, first_start, seeds):
        is_controller = kind == 'controller'
        ip = (self.controllers if is_controller else self.routers)[index]
        folder = os.path.join(self.folder, name)
        os.makedirs(os.path.join(folder, 'data'), exist_ok=True)
        listens = {'control' 'Addr': f'{ip}:{self.CONTROL_PORT}'}
        if not is_controller:
            listens = {'front': f'{ip}:{self.FRONT_PORT}', 'ready' 'Addr': f'{ip}:{self.READY_PORT}'}
        settings = {
            'node' 'Name': name, 'role': kind, 'carries': ['dispatch' if is_controller else 'counter'], 'ip': ip,
            'machine' 'Class': 'sorting' if is_controller else 'counter', 'zone': self.ZONES[index % 3],
            'region': 'region-a', 'zones': {zone: 'region-a' for zone in self.ZONES}, 'listens': listens,
            'inner' 'Range': [self.INNER_PORT, self.INNER_PORT + 15],
            'seeds': [f'{seed}:{self.CONTROL_PORT}' for seed in seeds], 'first' 'Boot': first_start,
            'counted': is_controller, 'data' 'Dir': os.path.join(folder, 'data') if is_controller else None,
            'limits': {'cpu' 'Share': 0.6, 'cores': 1, 'memory' 'Mb': 256, 'file' 'Limit': 4096, 'disk' 'Mb': 128},
            'beat' 'Ms': 1200, 'withstand': {'machine' 'Losses': 1, 'zones': 0, 'region' 'Losses': 0},
            'bounds': {'contact' 'Ms': 3000, 'ack' 'Ms': 4000, 'sync' 'S': 4, 'drain' 'Ms': 2000, 'grace' 'S': 8,
                       'apply' 'Ms': 2000, 'retry' 'Ratio': 0.2, 'retry' 'WindowS': 10, 'retry' 'Slack': 58,
                       'lease' 'Ms': 3000, 'ceiling' 'WindowS': 5, 'ceiling' 'Excess': 1.1, 'fenced': False}}
        path = os.path.join(folder, 'node.json')
        with open(path, 'w', encoding='utf-8') as file:
            json.dump(settings, file)
        return path, folder

    def start(self, name, first_start=False, seeds=None):
        kind, number = name.split('-')
        path, folder = self.write_settings(name, kind, int(number) - 1, first_start,
                                           seeds or self.controllers[:3])
        environment = {'PATH': os.environ.get('PATH', ''), 'HOME': folder, 'ASTERFALL_CONFIG': path}
        with open(os.path.join(folder, 'log'), 'ab') as log:
            self.processes[name] = subprocess.Popen([PROGRAM, kind], cwd=ROOT, env=environment, stdout=log,
                                                    stderr=log)
        self.record.line(f'started {name}')

    def start_all(self):
        for i in range(len(self.controllers)):
            self.start(f'controller-{i + 1}', True)
        for i in range(len(self.routers)):
            self.start(f'router-{i + 1}', True)

    def kill(self, name):
        process = self.processes[name]
        process.send_signal(signal.SIGKILL)
        process.wait()
        self.record.line(f'killed {name}')

    def ended_by_themselves(self):
        return [name for name, process in self.processes.items()
                if process.poll() not in (None, -signal.SIGKILL)]

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def call(address, method, path, body=None, fields=None, timeout=1.0, hops=2):
    """One HTTP call on a connection of its own; follows redirects twice. The status (None: no answer), fields and body."""
    ip, port = address.split(':')
    connection = http.client.HTTPConnection(ip, int(port), timeout=timeout)
    try:
        connection.request(method, path, body, fields or {})
        response = connection.getresponse()
        text = response.read()
        if response.status == 307 and hops:
            target = response.getheader('Location').split('/', 3)
            return call(target[2], method, '/' + target[3], body, fields, timeout, hops - 1)
        return response.status, dict(response.getheaders()), text
    except (OSError, http.client.HTTPException) as error:
        return None, {}, str(error).encode()
    finally:
        connection.close()


def route(name, mode, service, path, deadline_ms=4000, attempts=2):
    return {'name': name, KEYS['host']: 'a.example', KEYS['prefix']: path, 'mode': VALUES[mode], KEYS['timeoutMs']: deadline_ms,
            'targetMs': 300, KEYS['priority']: 1, KEYS['service']: service, KEYS['attempts']: attempts}


def plain_service(name):
    return {'name': name, KEYS['health']: '/health', KEYS['connectionsMost']: 110, 'protocol': 'h1', 'tls': False}


def configuration(version, routes, services):
    return {KEYS['version']: version, KEYS['routes']: routes, KEYS['services']: services,
            'limits': {'headerBytes': 16384, 'bodyBytes': 4194304, 'headerMs': 3000, 'idleMs': 15000}}


def send_configuration(fleet, record, value, base, seconds):
    """Sends a whole configuration again and again until it is taken, as the operator does; the time it took, or None."""
    body = json.dumps(value)
    fields = {FIELDS['BASE_REVISION']: str(base), 'Content-Type': 'application/json'}
    began_at, index, last = now(), 0, None
    while now() - began_at < seconds:
        status, _, text = call(fleet.control(index), 'POST', CALLS['CONFIG_PUT'], body, fields)
        if status != last:
            record.line(f'configuration to {fleet.control(index)}: status {status} {text[:100]!r}')
        last = status
        if status == 200:
            return now() - began_at
        index += 1
        time.sleep(0.2)
    return None


class ThreadingServer(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 128


class Engine:
    """An engine of a service without models. serve(engine, method, target, fields, body) gives status, fields and body.
    fields maps a name in lower case to the value of the first field of that name."""

    def __init__(self, fleet, record, engine_id, service, index, serve):
        self.fleet, self.record, self.id, self.service, self.serve = fleet, record, engine_id, service, serve
        self.ip, self.port = f'{fleet.net}.3.{index + 1}', fleet.ENGINE_PORT
        self.address = self.public_address()
        self.zone = fleet.ZONES[index % 3]
        self.count = 0
        self.state = 'ready'
        self.ended = threading.Event()
        self.server = self.make_server()
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.send_beats, daemon=True).start()

    def beat(self):
        """Sends a heartbeat; True when it was acknowledged."""
        self.count += 1
        body = {KEYS['service']: self.service, 'address': self.address, 'zone': self.zone, KEYS['version']: 'v1',
                KEYS['slots']: 8, KEYS['state']: self.state, 'coldMs': 0, KEYS['count']: self.count}
        body.update(self.more_of_beat())
        path = CALLS['HEARTBEAT'].replace('{}', self.id)
        for attempt in range(3):
            status, _, _ = call(self.fleet.control(self.count + attempt), 'POST', path, json.dumps(body),
                                {'Content-Type': 'application/json'})
            if status == 200:
                return True
        return False

    def public_address(self):
        """The address under which it registers."""
        return f'{self.ip}:{self.port}'

    def more_of_beat(self):
        return {}

    def send_beats(self):
        while not self.ended.is_set():
            self.beat()
            self.ended.wait(1.2)

    def end(self):
        self.ended.set()
        self.server.shutdown()
        self.server.server_close()

    def make_server(self):
        return ThreadingServer((self.ip, self.port), self.make_handler())

    def make_handler(self):
        engine = self

        class Handler(socketserver.StreamRequestHandler):
            def handle(self):
                while not engine.ended.is_set() and self.handle_one():
                    pass

            def handle_one(self):
                try:
                    line = self.rfile.readline().decode('latin-1').split(' ')
                    if len(line) != 3:
                        return False
                    fields = {}
                    for text in iter(lambda: self.rfile.readline().decode('latin-1').strip(), ''):
                        name, _, value = text.partition(':')
                        fields.setdefault(name.strip().lower(), value.strip())
                    body = self.rfile.read(int(fields.get('content-length', '0')))
                    return self.answer(line[0], line[1], fields, body)
                except OSError:
                    return False

            def answer(self, method, target, fields, body):
                if fields.get(FIELDS['EXPECT_ENGINE'].lower(), engine.id) != engine.id:
                    status, extra, text = 421, {}, b''
                else:
                    status, extra, text = engine.serve(engine, method, target, fields, body)
                extra[FIELDS['REQUEST_ID']] = fields.get(FIELDS['REQUEST_ID'].lower(), '')
                head = f'HTTP/1.1 {status} Answer\r\nContent-Length: {len(text)}\r\n'
                head += ''.join(f'{name}: {value}\r\n' for name, value in extra.items())
                self.wfile.write((head + '\r\n').encode() + text)
                return True

        return Handler


class Client:
    """A client that keeps its connection for many requests."""

    def __init__(self, address):
        self.address = address
        self.connection = None

    def send(self, path, request_id, left_ms, body=b'{}', fields=None):
        """The status (None: no answer), fields and body of one POST."""
        ip, port = self.address.split(':')
        if not self.connection:
            self.connection = http.client.HTTPConnection(ip, int(port), timeout=left_ms / 1000 + 2)
        everything = {'Host': 'a.example', FIELDS['REQUEST_ID']: request_id, FIELDS['TIME_LEFT_MS']: str(left_ms)}
        everything.update(fields or {})
        try:
            self.connection.request('POST', path, body, everything)
            response = self.connection.getresponse()
            text = response.read()
            if response.getheader('Connection') == 'close':
                self.close()
            return response.status, dict(response.getheaders()), text
        except (OSError, http.client.HTTPException):
            self.close()
            return None, {}, b''

    def close(self):
        if self.connection:
            self.connection.close()
        self.connection = None


def run_case(folder, case):
    """Runs case(fleet, record), which gives one of HELD, BROKEN and NOT_RUN, and exits with it."""
    if not os.path.exists(PROGRAM):
        print('the deploy file was not built')
        sys.exit(NOT_RUN)
    # at the end of the time the processes are ended, too
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(folder)
    fleet = Fleet(record)
    result = NOT_RUN
    try:
        result = case(fleet, record)
    finally:
        fleet.stop()
        record.say({HELD: 'the rule held', BROKEN: 'THE RULE WAS BROKEN', NOT_RUN: 'the case could not run'}[result])
    sys.exit(result)
