"""Stand-ins of the second review: the platform's store, workers, a relay, and the start of
entries and agents with the settings that the templates of the deploy file give.

They speak what the users' page PROTOCOL.md says. All addresses are loopback addresses.
"""

import base64
import ctypes
import http.client
import json
import os
import pathlib
import random
import re
import select
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = REPOSITORY / "target/packages/daemon/coltsfoottided"
BOUNDS = {"MaxHoldMs": 1000, "StopMs": 50, "ConfigMs": 2000, "FarX": 1.5, "GraceS": 6}
CANCEL_S, EVACUATE_S, STOP_S, STABILITY_S = 3.0, 5.0, 0.05, 3.0
HEARTBEAT_S = 1.5
BEGUN = time.monotonic()
# Whether a script brings its disruption about; TROUBLE=0 leaves it out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - BEGUN


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self._lock = threading.Lock()

    def __call__(self, text):
        with self._lock:
            self._file.write(f"{now():8.3f} {text}\n")
            self._file.flush()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Ignores broken connections."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def answer(self, status, body):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, *args):
        """Nothing is printed."""


def _serve(address, port, handler):
    server = _Server((address, port), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class Store:
    """The platform's store: keyed topics of one partition."""

    def __init__(self, address, port):
        self.topics = {}
        self.changed = threading.Condition()
        store = self

        class Calls(_Handler):
            def do_GET(self):
                url = urllib.parse.urlparse(self.path)
                query = dict(urllib.parse.parse_qsl(url.query))
                with store.changed:
                    records = store.topics.setdefault(query["Topic"], [])
                    if url.path == "/log-newest":
                        newest = {k: (v, n) for n, (k, v) in enumerate(records)}
                        items = [{"Key": k.decode(errors="replace"),
                                  "Value": base64.b64encode(v).decode(), "Offset": n}
                                 for k, (v, n) in sorted(newest.items()) if v]
                        return self.answer(200, {"items": items, "More": False,
                                                 "End": len(records)})
                    first = int(query["From"])
                    wait = int(query.get("WaitMs", 0)) / 1000
                    store.changed.wait_for(lambda: len(records) > first, wait)
                    data = struct.pack(">QQ", len(records), 0)
                    for key, value in records[first:]:
                        content = bytes([len(key)]) + key + value
                        data += struct.pack(">I", len(content)) + content
                self.answer(200, data)

            def do_POST(self):
                data = self.body()
                query = dict(urllib.parse.parse_qsl(urllib.parse.urlparse(self.path).query))
                at = 0
                while at < len(data):
                    size = struct.unpack_from(">I", data, at)[0]
                    content = data[at + 4:at + 4 + size]
                    store.append(query["Topic"], content[1:1 + content[0]],
                                 content[1 + content[0]:])
                    at += 4 + size
                self.answer(200, {"Offset": 0, "End": 0})

        self._server = _serve(address, port, Calls)

    def append(self, topic, key, value):
        with self.changed:
            self.topics.setdefault(topic, []).append((key, value))
            self.changed.notify_all()

    def write_configuration(self, version, routes):
        body = {"Version": version, "Routes": routes, "Services": [],
                "Limits": {"MaxBodyBytes": 262144}}
        self.append("keyed.op", b"config", json.dumps(body).encode())


def route(name="q", prefix="/q/", service="work"):
    return {"Name": name, "Host": "jobs.example", "PathPrefix": prefix, "Service": service,
            "TimeoutMs": 60000, "TargetLatencyMs": 60, "Priority": 0, "MaxAttempts": 4,
            "Stretch": 1.6}


class Worker:
    """A worker. A task runs for the milliseconds of `Spec`; no case fills the room.

    `on_start(worker, task, run)` and `on_end` are called when a run has begun or ended. `kind` is the first label of
    the lifetimes that begin later.
    """

    def __init__(self, name, address, port, control, zone, kind, on_start, record,
                 on_end=lambda worker, task, run: None):
        self.name, self.address, self.port = name, address, port
        self.control, self.zone, self.kind = control, zone, kind
        self.on_start, self.on_end, self.record = on_start, on_end, record
        self.lock = threading.Condition()
        self.up = False
        self.life = 0
        # Set when a status report of the present lifetime is acknowledged.
        self.acknowledged = threading.Event()
        worker = self

        class Calls(_Handler):
            def do_POST(self):
                body = json.loads(self.body())
                expected = self.headers.get("X-Expect-Instance")
                with worker.lock:
                    if not worker.up:
                        self.close_connection = True
                        return
                    if expected and expected != worker.id:
                        return self.answer(421, {})
                reply = worker.call(self.path, body)
                if reply is None:
                    self.close_connection = True
                else:
                    self.answer(*reply)

        self._calls = Calls
        self._server = None
        threading.Thread(target=self._report, daemon=True).start()
        threading.Thread(target=self._lapse, daemon=True).start()

    def start(self, kind=None):
        with self.lock:
            self.kind = kind or self.kind
            self.life += 1
            self.id = f"{self.name}-{self.life}"
            self.born = int(time.time() * 1000)
            self.clock_from = time.monotonic()
            self.running, self.ended, self.highest = {}, [], {}
            self.fence, self.next_end, self.lease_end, self.sequence = 0, 1, 0.0, 0
            self.acknowledged.clear()
            self._server = _serve(self.address, self.port, self._calls)
            self.up = True
            self.lock.notify_all()
        self.record(f"worker {self.id} begins, kind {self.kind}")

    def crash(self):
        """Ends this lifetime. The port has no listener until the next one."""
        with self.lock:
            self.up = False
            for task, it in self.running.items():
                self.on_end(self, task, it["run"])
            self.running = {}
            self.lock.notify_all()
        self._server.shutdown()
        self._server.server_close()
        self.record(f"worker {self.id} crashes")

    def clock_ms(self):
        return int((time.monotonic() - self.clock_from) * 1000)

    def call(self, path, body):
        with self.lock:
            reply = {"ClockMs": self.clock_ms()}
            if body.get("Fence", 0) < self.fence:
                return 409, {**reply, "Reason": "fence"}
            self.fence = body.get("Fence", 0)
            if path == "/run-start":
                return self._start(body, reply)
            if path == "/run-stop":
                task, run = body["Task"], body["Run"]
                self.highest[task] = max(self.highest.get(task, 0), run)
                self._end(task, run, "stopped", self.life)
                return 200, reply
            return self._hold(body)

    def _extend_lease(self, body):
        if "DeadlineMs" in body:
            deadline = self.clock_from + body["DeadlineMs"] / 1000
            limit = time.monotonic() + BOUNDS["MaxHoldMs"] / 1000
            self.lease_end = max(self.lease_end, min(deadline, limit))

    def _start(self, body, reply):
        task, run = body["Task"], body["Run"]
        if self.running.get(task, {}).get("run") == run:
            return 200, reply
        if run <= self.highest.get(task, 0):
            self._extend_lease(body)
            return 409, {**reply, "Reason": "old"}
        if body["DeadlineMs"] < self.clock_ms():
            return 409, {**reply, "Reason": "late"}
        self._extend_lease(body)
        self.running[task] = {"run": run, "begun": time.monotonic(), "ms": int(body["Spec"])}
        self.highest[task] = run
        self.record(f"worker {self.id} kind {self.kind} starts {task} run {run}")
        self.on_start(self, task, run)
        threading.Timer(int(body["Spec"]) / 1000, self._end, [task, run, "done", self.life]).start()
        return 200, reply

    def _hold(self, body):
        self._extend_lease(body)
        self.ended = [it for it in self.ended if it[0] > body.get("AckCursor", 0)]
        if not self.ended and body.get("WaitMs"):
            life = self.life
            self.lock.wait_for(lambda: self.ended or self.life != life or not self.up,
                               body["WaitMs"] / 1000)
            if self.life != life or not self.up:
                return None
        rows = [[task, it["run"], "",
                 min(99, int(100 * (time.monotonic() - it["begun"]) * 1000 / it["ms"])), 1000]
                for task, it in self.running.items()]
        return 200, {"ClockMs": self.clock_ms(), "born": self.born, "Running": rows,
                     "Ended": self.ended[:500]}

    def _end(self, task, run, how, life):
        with self.lock:
            if life != self.life or self.running.get(task, {}).get("run") != run:
                return
            del self.running[task]
            self.on_end(self, task, run)
            self.ended.append([self.next_end, task, run, how, ""])
            self.next_end += 1
            self.record(f"worker {self.id} ends {task} run {run} {how}")
            self.lock.notify_all()

    def _lapse(self):
        while True:
            time.sleep(0.01)
            with self.lock:
                if self.up and self.running and time.monotonic() > self.lease_end:
                    for task, it in list(self.running.items()):
                        self._end(task, it["run"], "lapsed", self.life)

    def _report(self):
        while True:
            with self.lock:
                self.lock.wait_for(lambda: self.up)
                life = self.life
                self.sequence += 1
                body = {"Service": "work", "Address": f"{self.address}:{self.port}",
                        "Zone": self.zone, "Version": "v1", "Slots": 8, "State": "ready",
                        "ColdRemainingMs": 0, "Room": {"Cpu": 16000, "MemMb": 32768, "Gpu": 0},
                        "Labels": [self.kind, f"r-{self.zone}"], "ClockMs": self.clock_ms(),
                        "Sequence": self.sequence, "born": self.born}
            sent = self._put(body)
            if sent and life == self.life:
                self.acknowledged.set()
            with self.lock:
                self.lock.wait_for(lambda: self.life != life, HEARTBEAT_S if sent else 0.1)

    def _put(self, body):
        link = http.client.HTTPConnection(self.control, timeout=1.0)
        try:
            link.request("PUT", f"/instances/{self.id}", json.dumps(body),
                         {"Content-Type": "application/json"})
            return link.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            link.close()


class Overlaps:
    """Finds tasks with two runs at the same time."""

    def __init__(self):
        self.lock = threading.Lock()
        self.active, self.begun, self.errors = {}, set(), []

    def start(self, worker, task, run):
        with self.lock:
            self.begun.add(task.split(".")[0])
            others = self.active.setdefault(task, [])
            if others:
                text = ", ".join(f"run {it[1]} at {it[0]} since {it[2]:.3f}" for it in others)
                self.errors.append(
                    f"TWICE: {task} run {run} at {worker.id} from {now():.3f}, beside {text}")
            others.append((worker.id, run, now()))

    def end(self, worker, task, run):
        with self.lock:
            self.active[task] = [it for it in self.active[task] if it[:2] != (worker.id, run)]


def hello_name(data):
    """The name in the hello with which an entry or an agent introduces itself on a connection;
    an empty string if `data` does not begin with one."""
    if len(data) < 6 or data[4] != 0x0a:
        return ""
    at = 5
    while data[at] & 0x80:
        at += 1
    at += 1
    if data[at] == 0x08:
        at += 2
    if data[at] != 0x12:
        return ""
    return data[at + 2:at + 2 + data[at + 1]].decode(errors="replace")


class Relay:
    """Forwards connections between processes, each direction after `delay` seconds. `held`
    maps the name of a process that connects to the directions, "in" (to the target) and "out",
    in which nothing passes now; bytes that are held back pass later, in their order. A
    connection that is opened meanwhile stays silent."""

    def __init__(self, address, port, target, delay=0.0):
        self.held = {}
        # Nothing passes in either direction on any connection.
        self.held_all = False
        self._target, self._delay = target, delay
        self._listener = socket.create_server((address, port), backlog=256)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            near, _ = self._listener.accept()
            threading.Thread(target=self._open, args=(near,), daemon=True).start()

    def _open(self, near):
        if self.held_all:
            # A connection that is opened during a cut does not come about: its opening packet
            # is lost, and those who connect give up before TCP sends it again.
            near.settimeout(2.0)
            try:
                near.recv(65536)
            except OSError:
                pass
            return near.close()
        try:
            far = socket.create_connection(self._target, timeout=2.0)
        except OSError:
            return near.close()
        pair = {"name": ""}
        for it in (near, far):
            it.settimeout(None)
            it.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for source, sink, direction in ((near, far, "in"), (far, near, "out")):
            threading.Thread(target=self._forward, args=(pair, source, sink, direction),
                             daemon=True).start()

    def _wait(self, pair, direction):
        while self.held_all or direction in self.held.get(pair["name"], ()):
            time.sleep(0.005)

    def _forward(self, pair, source, sink, direction):
        try:
            while data := source.recv(65536):
                if direction == "in" and not pair["name"]:
                    pair["name"] = hello_name(data)
                if self._delay:
                    time.sleep(self._delay)
                self._wait(pair, direction)
                sink.sendall(data)
        except ConnectionResetError:
            # The reset is lost in the partition; the other side learns of it when it sends.
            if direction == "in" and self.held_all:
                return
        except OSError:
            pass
        self._wait(pair, direction)
        for it in (source, sink):
            try:
                it.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def _value(context, name):
    for part in name.split("."):
        if isinstance(context, list):
            context = context[int(part)] if int(part) < len(context) else None
        else:
            context = context.get(part) if isinstance(context, dict) else None
    return context


def render(template, fields):
    """Fills in a template of the deploy file, as far as this project's templates need it."""
    def section(found):
        value = _value(fields, found[1])
        if isinstance(value, list):
            return "".join(
                found[2].replace("{{.}}", str(it)).replace("{{,}}", "," if n + 1 < len(value) else "")
                for n, it in enumerate(value))
        return found[2] if value else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda it: str(_value(fields, it[1])), text)


def _end_with_parent():
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class System:
    """Starts entries and agents; ends them when the `with` block is left."""

    def __init__(self, store, seeds, record):
        self.store, self.seeds, self.record = store, seeds, record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="coltsfoottide-review-"))
        self.processes = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for it in self.processes.values():
            it.send_signal(signal.SIGKILL)
            it.wait()
        # CASE_LOGS keeps the logs of the processes for whoever looks into a case.
        if not os.environ.get("CASE_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)

    def start(self, name, role, ip, zone, link_port, extra="", **fields):
        fields = {"Ip": ip, "Zone": zone, "InternalPorts": [link_port, link_port + 15],
                  "Seeds": self.seeds, "Bounds": BOUNDS, "platform": {"Address": self.store},
                  "Limits": {"CpuShare": 0.25 if role == "entry" else 0.15,
                             "MemoryMb": 260 if role == "entry" else 128}, **fields}
        template = (REPOSITORY / f"deploy/{role}.toml.in").read_text()
        path = self.folder / f"{name}.toml"
        path.write_text(render(template, fields) + extra)
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [PROGRAM, f"--settings={path}"], stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={**os.environ, "QT_NO_GLIB": "1"}, preexec_fn=_end_with_parent)
        self.record(f"{role} {name} started at {ip}")

    def end(self, name, number):
        self.processes[name].send_signal(number)
        self.processes[name].wait()
        self.record(f"{name} ended by signal {int(number)}")

    def check_alive(self):
        for name, it in self.processes.items():
            if it.poll() is not None:
                raise CannotRun(f"{name} ended with status {it.returncode}")


class CannotRun(Exception):
    """The case could not be run."""


def call(host, port, method, path, body=None, headers=None, timeout=5.0):
    """Returns the status and the body of the answer; status 0 without an answer."""
    link = http.client.HTTPConnection(host, port, timeout=timeout)
    try:
        data = None if body is None else json.dumps(body)
        link.request(method, path, data, {"Host": "jobs.example",
                                          "Content-Type": "application/json", **(headers or {})})
        reply = link.getresponse()
        return reply.status, reply.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        link.close()


class Post:
    """A job that is handed in on a connection of its own; the client may give up."""

    def __init__(self, record, host, port, job, ms, steps, deadline_ms, prefix="/q/"):
        self._record, self._job = record, job
        body = json.dumps({"Spec": str(ms), "BestEffort": True, "Steps": steps})
        record(f"client POST {job} to {host}")
        self._socket = socket.create_connection((host, port), timeout=5.0)
        self._socket.sendall(
            f"POST {prefix}{job} HTTP/1.1\r\nHost: jobs.example\r\n"
            f"Content-Type: application/json\r\nX-Deadline-Ms: {deadline_ms}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}".encode())

    def answered(self, timeout):
        self._socket.settimeout(timeout)
        try:
            data = self._socket.recv(65536)
        except OSError:
            return False
        self._record(f"client POST {self._job}: {data.decode(errors='replace')!r}")
        return bool(data)

    def give_up(self):
        """Resets the connection."""
        self._record(f"client POST {self._job}: no answer, gives up")
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self._socket.close()


def submit(record, host, port, job, ms, steps, deadline_ms, prefix="/q/"):
    """Hands in a job and returns the status and body of the answer."""
    record(f"client POST {job} to {host}")
    status, body = call(host, port, "POST", prefix + job,
                        {"Spec": str(ms), "BestEffort": True, "Steps": steps},
                        {"X-Deadline-Ms": str(deadline_ms)}, deadline_ms / 1000)
    record(f"client POST {job}: {status} {body.decode(errors='replace')}")
    return status, body


def free_network():
    """The second number of loopback addresses on which no entry or agent runs: the templates give
    the port of their metrics, so that two runs of the scripts need addresses of their own."""
    while True:
        number = random.SystemRandom().randrange(16, 250)
        with socket.socket() as probe:
            try:
                probe.bind((f"127.{number}.0.1", 9464))
                return number
            except OSError:
                continue


def free_ports(count):
    """Ports without a listener, below the range that outgoing connections use."""
    ports = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(10000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("0.0.0.0", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def wait_until(condition, what, timeout=20.0):
    end = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > end:
            raise CannotRun(f"{what}: not within {timeout:g} s")
        time.sleep(0.05)


def main(folder, case):
    """Runs `case(record)`, which returns the list of what broke the rule."""
    record = Record(folder)
    record(f"trouble: {'yes' if TROUBLE else 'no'}")
    try:
        broken = case(record)
    except (CannotRun, OSError) as error:
        record(f"could not run: {error}")
        print(f"could not run: {error}")
        status = 2
    else:
        for it in broken:
            record(f"BROKEN {it}")
            print(it)
        record("the rule was broken" if broken else "the rule held")
        print("the rule was broken" if broken else "the rule held")
        status = 1 if broken else 0
    sys.stdout.flush()
    # Threads of stand-ins may still wait.
    os._exit(status)
