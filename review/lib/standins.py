"""Stand-ins that the cases of this review share: the platform's store, workers, clients, a
relay, and the processes of a small deployment, which run with the commands and the settings
templates of deploy/.

All of them keep to the pages in the users' kit: PROTOCOL.md for what is spoken, DEPLOY.md
for the settings. All addresses are loopback addresses; each run draws its own.
"""

import base64
import ctypes
import http.client
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE, HOST = "phrase-api", "nony24.example"
# Bounds of both sites (SYSTEM.md), in seconds.
CANCEL_S, ACK_S, EVACUATE_S, RESEND_S, STOP_S = 3.0, 4.0, 5.0, 1.3, 0.05
HEARTBEAT_S, MAX_HOLD_S, MAX_WAIT_S = 1.5, 1.0, 2.0
# A run has to end well before its limit of 120 s.
LIMIT_S = 100


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, with seconds since the start of the case."""

    def __init__(self):
        self.begun = time.monotonic()
        self.lock = threading.Lock()
        self.lines = []
        # Runs: [task, run, worker, zone, start, end or None, how].
        self.runs = []

    def now(self):
        return time.monotonic() - self.begun

    def note(self, text):
        with self.lock:
            self.lines.append((self.now(), text))
            return self.lines[-1][0]

    def start(self, worker, zone, task, run):
        at = self.note(f"{worker} starts {task} run {run}")
        with self.lock:
            self.runs.append([task, run, worker, zone, at, None, ""])
            return self.runs[-1]

    def end(self, entry, how):
        entry[5] = self.note(f"{entry[2]} ends {entry[0]} run {entry[1]}: {how}")
        entry[6] = how

    def overlaps(self):
        """Pairs of runs of one task that went on at the same time."""
        found = []
        for n, a in enumerate(self.runs):
            for b in self.runs[n + 1:]:
                if a[0] != b[0]:
                    continue
                begin, end = max(a[4], b[4]), min(a[5] or self.now(), b[5] or self.now())
                if end > begin:
                    found.append(f"{a[0]}: run {a[1]} on {a[2]} and run {b[1]} on {b[2]} went on "
                                 f"at the same time from {begin:.3f} s to {end:.3f} s")
        return found

    def write(self, path, result):
        with self.lock:
            text = "".join(f"{at:8.3f} s  {line}\n" for at, line in sorted(self.lines))
        path.write_text(text + result + "\n")


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def answer(self, status, body=b"{}"):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, *args):
        """Writes no log."""


class Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Channels may break at any time."""


def serve(address, port, handler):
    server = Server((address, port), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()


class Store:
    """The platform's store: keyed topics with one partition. Loses nothing."""

    def __init__(self, address, port):
        self.topics, self.lock = {}, threading.Condition()
        store = self

        class Calls(Handler):
            def do_GET(self):
                url = urllib.parse.urlparse(self.path)
                query = dict(urllib.parse.parse_qsl(url.query))
                with store.lock:
                    records = store.topics.setdefault(query["Topic"], [])
                    if url.path == "/log-newest":
                        newest = {key: (value, n) for n, (key, value) in enumerate(records)}
                        items = [{"Key": key, "Value": base64.b64encode(value).decode(),
                                  "Offset": n} for key, (value, n) in newest.items() if value]
                        return self.answer(200, {"items": items, "More": False,
                                                 "End": len(records)})
                    first = int(query["From"])
                    if len(records) <= first:
                        store.lock.wait_for(lambda: len(records) > first,
                                            int(query.get("WaitMs", 0)) / 1000)
                    data = struct.pack(">QQ", len(records), 0)
                    for key, value in records[first:]:
                        content = bytes([len(key)]) + key.encode() + value
                        data += struct.pack(">I", len(content)) + content
                self.answer(200, data)

            def do_POST(self):
                data = self.body()
                url = urllib.parse.urlparse(self.path)
                if url.path != "/log-append":
                    return self.answer(404)
                topic = dict(urllib.parse.parse_qsl(url.query))["Topic"]
                if topic in ("keyed.op", "keyed.servers"):
                    return self.answer(403)
                offset, at = 0, 0
                while at + 4 <= len(data):
                    size = struct.unpack_from(">I", data, at)[0]
                    content = data[at + 4:at + 4 + size]
                    key = content[1:1 + content[0]].decode()
                    offset = store.append(topic, key, content[1 + content[0]:])
                    at += 4 + size
                self.answer(200, {"Offset": offset, "End": offset + 1})

        serve(address, port, Calls)

    def append(self, topic, key, value):
        with self.lock:
            records = self.topics.setdefault(topic, [])
            records.append((key, value))
            self.lock.notify_all()
            return len(records) - 1


class Worker:
    """A worker. A Spec holds a word for each step: the milliseconds that its tasks take and
    the thousandths of a core that they occupy, as in "900/3100 300/3100"."""

    def __init__(self, record, name, zone, address, port, control, labels):
        self.record, self.name, self.zone, self.address = record, name, zone, address
        self.control, self.labels = control, labels
        self.cpu, self.mem_mb = 32000, 131072
        self.lock = threading.Condition()
        self.born, self.begun = int(time.time() * 1000), time.monotonic()
        self.running, self.ended, self.highest = {}, [], {}
        self.specs = []
        self.fence, self.number, self.sequence, self.lease_end = 0, 0, 0, 0.0
        worker = self

        class Calls(Handler):
            def do_POST(self):
                body = json.loads(self.body())
                expected = self.headers.get("X-Expect-Instance")
                if expected not in (None, worker.name):
                    return self.answer(421)
                call = {"/run-start": worker.start, "/run-stop": worker.stop,
                        "/hold": worker.hold}.get(self.path)
                if call is None:
                    return self.answer(404)
                status, reply = call(body)
                self.answer(status, {"ClockMs": worker.clock_ms(), "born": worker.born, **reply})

        serve(address, port, Calls)
        self.port = port
        threading.Thread(target=self._lapse, daemon=True).start()
        threading.Thread(target=self._report, daemon=True).start()

    def clock_ms(self):
        return int((time.monotonic() - self.begun) * 1000)

    def _fenced(self, body):
        if body.get("Fence", 0) < self.fence:
            return True
        self.fence = body.get("Fence", 0)
        return False

    def _extend(self, body):
        if "DeadlineMs" in body:
            now = time.monotonic()
            deadline = self.begun + body["DeadlineMs"] / 1000
            self.lease_end = max(self.lease_end, min(deadline, now + MAX_HOLD_S))

    def start(self, body):
        with self.lock:
            task, run = body["Task"], body["Run"]
            if self._fenced(body):
                return 409, {"Reason": "fence"}
            if (task, run) in self.running:
                self._extend(body)
                return 200, {}
            if run <= self.highest.get(task, 0):
                self._extend(body)
                return 409, {"Reason": "old"}
            if body["DeadlineMs"] < self.clock_ms():
                return 409, {"Reason": "late"}
            self._extend(body)
            words = body["Spec"].lstrip("\ufeff").split()
            ms, cpu = (int(it) for it in words[int(task.split(".")[2])].split("/"))
            if sum(it["cpu"] for it in self.running.values()) + cpu > self.cpu:
                return 409, {"Reason": "room"}
            self.specs.append((self.name, task, run, body["Spec"]))
            self.running[task, run] = {"cpu": cpu, "ms": ms, "begun": time.monotonic(),
                                       "entry": self.record.start(self.name, self.zone, task, run)}
            timer = threading.Timer(ms / 1000, self._finish, [task, run, "done"])
            timer.daemon = True
            timer.start()
            return 200, {}

    def stop(self, body):
        with self.lock:
            if self._fenced(body):
                return 409, {"Reason": "fence"}
            task, run = body["Task"], body["Run"]
            self.highest[task] = max(self.highest.get(task, 0), run)
        timer = threading.Timer(0.01, self._finish, [task, run, "stopped"])
        timer.daemon = True
        timer.start()
        return 200, {}

    def hold(self, body):
        with self.lock:
            if self._fenced(body):
                return 409, {"Reason": "fence"}
            self._extend(body)
            self.ended = [it for it in self.ended if it[0] > body.get("AckCursor", 0)]
            if not self.ended and body.get("WaitMs"):
                self.lock.wait(min(body["WaitMs"] / 1000, MAX_WAIT_S))
            now = time.monotonic()
            running = [[task, run, "", min(99, int(100000 * (now - it["begun"]) / it["ms"])),
                        it["cpu"]] for (task, run), it in self.running.items()]
            return 200, {"Running": running, "Ended": self.ended[:500]}

    def _finish(self, task, run, how):
        with self.lock:
            it = self.running.pop((task, run), None)
            if it is None:
                return
            self.highest[task] = max(self.highest.get(task, 0), run)
            self.record.end(it["entry"], how)
            self.number += 1
            self.ended.append([self.number, task, run, how, ""])
            self.lock.notify_all()

    def _lapse(self):
        while True:
            time.sleep(0.01)
            with self.lock:
                over = time.monotonic() > self.lease_end
                lapsed = list(self.running) if over else []
            for task, run in lapsed:
                self._finish(task, run, "lapsed")

    def _report(self):
        while True:
            self.sequence += 1
            body = {"Service": SERVICE, "Address": f"{self.address}:{self.port}",
                    "Zone": self.zone, "Version": "v1", "Slots": 8, "State": "ready",
                    "ColdRemainingMs": 0, "Labels": self.labels, "ClockMs": self.clock_ms(),
                    "Room": {"Cpu": self.cpu, "MemMb": self.mem_mb, "Gpu": 0},
                    "Sequence": self.sequence, "born": self.born}
            acknowledged = False
            try:
                link = http.client.HTTPConnection(self.control, timeout=1.0)
                link.request("PUT", f"/instances/{self.name}", json.dumps(body),
                             {"Content-Type": "application/json"})
                acknowledged = link.getresponse().status == 200
                link.close()
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(HEARTBEAT_S if acknowledged else 0.1)


class Relay:
    """Forwards channels to a target, and can reset all that are open. With `refuse` it
    resets each new channel once it has been opened."""

    def __init__(self, address, port, target):
        self.target, self.refuse = target, False
        self.lock, self.pairs = threading.Lock(), []
        self.listener = socket.create_server((address, port), backlog=64)
        threading.Thread(target=self._accept, daemon=True).start()

    @staticmethod
    def _reset(it):
        try:
            it.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            # Ends a recv that another thread waits in, which would delay the reset.
            it.shutdown(socket.SHUT_RD)
        except OSError:
            pass
        it.close()

    def reset(self):
        with self.lock:
            pairs, self.pairs = self.pairs, []
        for pair in pairs:
            for it in pair:
                self._reset(it)
        return len(pairs)

    def _accept(self):
        while True:
            near, _ = self.listener.accept()
            if self.refuse:
                self._reset(near)
                continue
            try:
                far = socket.create_connection(self.target, timeout=2.0)
            except OSError:
                near.close()
                continue
            for it in (near, far):
                it.settimeout(None)
                it.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.pairs.append((near, far))
            for source, sink in ((near, far), (far, near)):
                threading.Thread(target=self._forward, args=(source, sink), daemon=True).start()

    @staticmethod
    def _forward(source, sink):
        try:
            while data := source.recv(65536):
                sink.sendall(data)
        except OSError:
            pass
        for it in (source, sink):
            try:
                it.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def lookup(data, name):
    for part in name.split("."):
        if isinstance(data, list):
            data = data[int(part)] if int(part) < len(data) else None
        else:
            data = data.get(part) if isinstance(data, dict) else None
    return data


def render(template, data):
    """Fills in a settings template as DEPLOY.md describes."""

    def section(match):
        kind, name, inner = match.groups()
        value = lookup(data, name)
        if kind == "^":
            return "" if value else render(inner, data)
        if not isinstance(value, list):
            return render(inner, data) if value else ""
        return "".join(inner.replace("{{.}}", str(it)).replace(
            "{{,}}", "," if n + 1 < len(value) else "") for n, it in enumerate(value))

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)

    def value_of(match):
        value = lookup(data, match.group(1))
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", value_of, text)


def kill_with_parent():
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Process:
    """A role of the deploy file on a machine of its own."""

    def __init__(self, record, folder, role, name, settings):
        self.record, self.name, self.settings = record, name, settings
        with open(ROOT / "deploy/system.toml", "rb") as file:
            deploy = tomllib.load(file)["roles"][role]
        path = folder / f"{name}.settings"
        path.write_text(render((ROOT / deploy["template"]).read_text(), settings))
        placed = "/etc/coltsfoottide/settings.json"
        self.argv = [it.replace(placed, str(path)) for it in deploy["run"].split()]
        self.env = {it: os.environ[it] for it in ("PATH", "HOME", "LANG") if it in os.environ}
        self.env.update(deploy.get("env", {}), COLTSFOOTTIDE_SETTINGS=str(path))
        self.log = folder / f"{name}.log"
        self.child = None

    def start(self):
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(self.argv, cwd=ROOT, env=self.env, stdout=log,
                                          stderr=log, stdin=subprocess.DEVNULL,
                                          preexec_fn=kill_with_parent)
        self.record.note(f"{self.name} is started")

    def signal(self, number):
        self.record.note(f"{self.name} gets {signal.Signals(number).name}")
        self.child.send_signal(number)

    def end(self):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        if self.child is not None:
            self.child.wait()


class System:
    """Entries and agents with their workers. `entries` and `agents` list zones. With
    `relays`, which takes a single entry, each agent reaches the entry through a relay."""

    def __init__(self, record, folder, entries, agents, relays=False):
        self.record = record
        net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        addresses = (f"{net}.{n}" for n in range(1, 250))
        store_ip = next(addresses)
        self.entry_ips = [next(addresses) for _ in entries]
        side_ips = [next(addresses) for _ in agents]
        relay_ips = [next(addresses) for _ in agents]
        everyone = [store_ip, *self.entry_ips, *side_ips, *relay_ips]
        front, ready, control, app, store, link = self._free_ports(everyone, 6)
        self.front, self.ready_port = front, ready
        self.store = Store(store_ip, store)
        self.version = 0
        seeds = [f"{ip}:{control}" for ip in self.entry_ips]
        common = {"InternalPorts": [link, link], "platform": {"Address": f"{store_ip}:{store}"},
                  "Bounds": {"MaxHoldMs": 1000, "StopMs": 50, "ConfigMs": 2000, "FarX": 1.5,
                             "GraceS": 6}}
        self.entries = [Process(record, folder, "entry", f"front-{n + 1}", {
            **common, "Ip": ip, "Zone": zone, "Seeds": seeds[:3],
            "Listen": {"Front": f"{ip}:{front}", "Ready": f"{ip}:{ready}",
                       "Control": f"{ip}:{control}"}})
            for n, (ip, zone) in enumerate(zip(self.entry_ips, entries))]
        self.agents, self.workers, self.relays = [], [], []
        for n, (ip, zone) in enumerate(zip(side_ips, agents)):
            known = seeds[:3]
            if relays:
                self.relays.append(Relay(relay_ips[n], link, (self.entry_ips[0], link)))
                known = [f"{relay_ips[n]}:{control}"]
            self.agents.append(Process(record, folder, "agent", f"side-{n + 1}", {
                **common, "Ip": ip, "Zone": zone, "Seeds": known, "app": f"{ip}:{app}",
                "Listen": {"Control": f"{ip}:{control}"}}))
            self.workers.append((f"worker-{n + 1}", zone, ip, app, f"{ip}:{control}"))

    @staticmethod
    def _free_ports(addresses, count):
        ports = []
        for port in random.sample(range(20000, 32000), 400):
            try:
                for ip in addresses:
                    socket.create_server((ip, port)).close()
            except OSError:
                continue
            ports.append(port)
            if len(ports) == count:
                return ports
        raise CannotRun("no free ports")

    def start(self):
        self.workers = [Worker(self.record, *it, ["a", f"r1-{n + 1}"])
                        for n, it in enumerate(self.workers)]
        for it in self.entries + self.agents:
            it.start()
        for n, ip in enumerate(self.entry_ips):
            self._wait_ready(ip, self.entries[n].name)
        # Traffic starts some seconds after the machines: all are in touch by then.
        time.sleep(4.0)

    def _wait_ready(self, ip, name):
        end = time.monotonic() + 20.0
        while time.monotonic() < end:
            try:
                link = http.client.HTTPConnection(ip, self.ready_port, timeout=1.0)
                link.request("GET", "/ready")
                if link.getresponse().status == 200:
                    return
            except OSError:
                pass
            time.sleep(0.1)
        raise CannotRun(f"{name} is not ready within 20 s")

    def end(self):
        for it in self.entries + self.agents:
            it.end()

    def specs(self):
        """All starts: worker, task, run and the Spec that came with it."""
        return [it for worker in self.workers for it in worker.specs]

    def desire(self, routes, timeout_ms=1500):
        """The operator writes a desired state; the store's answer is the ack."""
        self.version += 3
        state = {"Version": self.version, "Limits": {"MaxBodyBytes": 262144}, "Services": [
            {"Name": SERVICE, "HealthPath": "/health", "MaxConns": 64, "Protocol": "h1",
             "EnforcesCapacity": True, "Spare": False}], "Routes": [
            {"Name": f"r-{it.strip('/')}", "Host": HOST, "PathPrefix": it, "Service": SERVICE,
             "Kind": "non_idempotent", "TimeoutMs": timeout_ms, "TargetLatencyMs": 60,
             "Priority": 0, "MaxAttempts": 3, "Stretch": 1.6} for it in routes]}
        self.store.append("keyed.op", "config", json.dumps(state).encode())
        return self.record.note(f"desired state {self.version} acknowledged, routes "
                                f"{', '.join(routes)}")

    def evacuate(self, zone):
        self.store.append("keyed.op", f"evacuate/{zone}", b"{}")
        return self.record.note(f"evacuation of {zone} acknowledged")

    def call(self, method, entry, path, body=None, wait_s=30.0, address=None):
        """One call of a client on a channel of its own; status 0 is no answer. Returns the
        status, the body and the time of the answer."""
        ip, port = address or (self.entry_ips[entry], self.front)
        self.record.note(f"client sends {method} {path} to {self.entries[entry].name}")
        try:
            link = http.client.HTTPConnection(ip, port, timeout=wait_s)
            link.request(method, path, body, {
                "Host": HOST, "Content-Type": "application/json",
                "X-Deadline-Ms": str(int(wait_s * 1000))})
            reply = link.getresponse()
            status, text = reply.status, reply.read().decode()
            link.close()
        except (OSError, http.client.HTTPException) as error:
            status, text = 0, type(error).__name__
        at = self.record.note(f"client gets {status} {text} for {method} {path}")
        return status, text, at


def job(steps, spec=None):
    """The body of a job. Each step is (count, cpu, ms, after)."""
    spec = spec or " ".join(f"{ms}/{cpu}" for _, cpu, ms, _ in steps)
    return json.dumps({"Spec": spec, "BestEffort": True, "Steps": [
        {"Count": count, "Cpu": cpu, "MemMb": 64, "EstimateMs": ms,
         **({"After": after} if after else {})} for count, cpu, ms, after in steps]})


def budget_s(steps):
    """How long a client waits, about as the clients of the bench do: 1.5 s and 2.4 times
    the job's longest chain of work."""
    ends = []
    for _, _, ms, after in steps:
        ends.append(ms + max((ends[it] for it in after), default=0))
    return 1.5 + 2.4 * max(ends) / 1000


def run_case(folder, play):
    """Plays a case: play(record, temporary folder) returns the list of violations."""
    record = Record()
    path = pathlib.Path(folder) / "record.txt"
    path.unlink(missing_ok=True)

    def out_of_time(*_):
        raise CannotRun(f"not ended within {LIMIT_S} s")

    signal.signal(signal.SIGALRM, out_of_time)
    signal.signal(signal.SIGTERM, out_of_time)
    signal.alarm(LIMIT_S)
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            violations = play(record, pathlib.Path(temporary))
            if "KEEP_LOGS" in os.environ:
                for it in pathlib.Path(temporary).glob("*.log"):
                    (pathlib.Path(os.environ["KEEP_LOGS"]) / it.name).write_bytes(it.read_bytes())
    except Exception as error:  # noqa: BLE001: whatever it is, the case has shown nothing
        record.write(path, f"could not run: {error}")
        print(f"could not run: {error}")
        sys.stdout.flush()
        os._exit(2)
    text = "\n".join(violations) if violations else "the rule held"
    record.write(path, text)
    print(text)
    sys.stdout.flush()
    os._exit(1 if violations else 0)
