"""Stand-ins for the platform's store and backend servers with their published HTTP API.

They run as threads of the caller, inject faults on request, and record every run.
"""

import base64
import json
import random
import struct
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

MAX_LEASE_S = 1.0
# Time from the start of a task that crashes its backend server to the crash, and how long
# that is down then: its connections close without an answer.
CRASH_DELAY_S, DOWN_S = 0.01, 0.5


class Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Ignores broken connections, which the injected faults cause."""


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def answer(self, status, body=b"{}"):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, *args):
        """Suppresses the log of requests."""


def serve(address, port, handler):
    server = Server((address, port), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class Store:
    """The store: topics of keyed records. `outage` is None, "busy" (status 503) or
    "silent" (the connection closes after 1 s without an answer)."""

    def __init__(self, address, port):
        self.topics = {}
        self.outage = None
        self.lock = threading.Condition()
        store = self

        class Calls(Handler):
            def do_GET(self):
                if not store.available(self):
                    return
                url = urllib.parse.urlparse(self.path)
                query = dict(urllib.parse.parse_qsl(url.query))
                with store.lock:
                    records = store.topics.setdefault(query["Topic"], [])
                    if url.path == "/log-newest":
                        newest = {key: (value, n) for n, (key, value) in enumerate(records)}
                        items = [{"Key": k, "Value": base64.b64encode(v).decode(), "Offset": n}
                                 for k, (v, n) in newest.items() if k is not None and v]
                        return self.answer(200, {"items": items, "More": False,
                                                 "End": len(records)})
                    first = int(query["From"])
                    if len(records) <= first:
                        store.lock.wait(int(query.get("WaitMs", 0)) / 1000)
                    data = struct.pack(">QQ", len(records), 0)
                    for key, value in records[first:]:
                        content = b"" if key is None else (
                            bytes([len(key)]) + key.encode() + value)
                        data += struct.pack(">I", len(content)) + content
                self.answer(200, data)

            def do_POST(self):
                data = self.body()
                if not store.available(self):
                    return
                query = dict(urllib.parse.parse_qsl(urllib.parse.urlparse(self.path).query))
                store.append(query["Topic"], data[5:5 + data[4]].decode(), data[5 + data[4]:])
                self.answer(200, {"Offset": 0, "End": 0})

        self.server = serve(address, port, Calls)

    def available(self, call):
        if self.outage == "busy":
            call.answer(503)
        elif self.outage == "silent":
            call.close_connection = True
            time.sleep(1.0)
        return self.outage is None

    def append(self, topic, key, value):
        """Without a key the record is empty, which only another writer may append."""
        with self.lock:
            self.topics.setdefault(topic, []).append((key, value))
            self.lock.notify_all()


class BackendServer:
    """A backend server. The spec of a task is "MILLISECONDS MILLICORES [INDEX]"; a task with
    this index crashes the backend server 10 ms after its start."""

    def __init__(self, name, address, port, report_to, seed, history):
        self.name, self.address, self.port = name, address, port
        self.report_to = report_to
        self.public_address = f"{address}:{port}"
        self.data_centre = "a"
        self.cpu = 24000
        # Share of the requests without an answer; starts among them are applied
        # 0.3 to 2 s late.
        self.lost_share = 0.0
        self.draining = False
        self.down_until = 0.0
        # If set, stops are acknowledged and leases granted, but no run is stopped.
        self.ignores_stops = False
        self.random = random.Random(seed)
        self.history = history
        self.lock = threading.Condition()
        self.restart()
        backend = self

        class Calls(Handler):
            def do_POST(self):
                body = json.loads(self.body())
                if backend.down():
                    self.close_connection = True
                    return
                lost = backend.random.random() < backend.lost_share
                if lost and self.path == "/run-start":
                    late = backend.random.uniform(0.3, 2.0)
                    threading.Timer(late, backend.start, [body]).start()
                if lost:
                    self.close_connection = True
                    time.sleep(0.6)
                    return
                reply = backend.call(self.path, body)
                if reply is None or backend.down():
                    self.close_connection = True
                else:
                    self.answer(*reply)

        self.server = serve(address, port, Calls)
        threading.Thread(target=self._report, daemon=True).start()
        threading.Thread(target=self._stop_expired_runs, daemon=True).start()

    def restart(self):
        """Crashes and restarts: a new incarnation without runs and state."""
        with self.lock:
            for run in list(getattr(self, "running", {}).values()):
                self.history.end(self.name, run["task"], run["run"], "crashed")
            self.incarnation = int(time.time() * 1000)
            self.running, self.ended, self.highest_run = {}, [], {}
            self.fence, self.next_end_cursor, self.lease_end, self.sequence = 0, 1, 0.0, 0

    def _crash_by(self, task, incarnation):
        if incarnation != self.incarnation or task not in self.running:
            return
        self.history.crash(task)
        self.down_until = time.monotonic() + DOWN_S
        self.restart()

    def down(self):
        return time.monotonic() < self.down_until

    def clock_ms(self):
        return int(time.monotonic() * 1000)

    def call(self, path, body):
        with self.lock:
            if body.get("Fence", 0) < self.fence:
                return 409, {"ClockMs": self.clock_ms(), "Reason": "fence"}
            self.fence = body.get("Fence", 0)
        if path == "/run-start":
            return self.start(body)
        if path == "/run-stop":
            return self.stop(body)
        return self.renew_lease(body)

    def extend_lease(self, body):
        if "DeadlineMs" in body:
            limit = time.monotonic() + MAX_LEASE_S
            self.lease_end = max(self.lease_end, min(body["DeadlineMs"] / 1000, limit))

    def start(self, body):
        with self.lock:
            if self.down():
                return None
            task, run = body["Task"], body["Run"]
            reply = {"ClockMs": self.clock_ms()}
            if body.get("Fence", 0) < self.fence:
                return 409, {**reply, "Reason": "fence"}
            if self.running.get(task, {}).get("run") == run:
                return 200, reply
            if run <= self.highest_run.get(task, 0):
                return 409, {**reply, "Reason": "old"}
            if body["DeadlineMs"] / 1000 < time.monotonic():
                return 409, {**reply, "Reason": "late"}
            self.extend_lease(body)
            ms, cpu, *crashing = (int(it) for it in body["Spec"].split())
            if sum(it["cpu"] for it in self.running.values()) + cpu > self.cpu:
                return 409, {**reply, "Reason": "room"}
            self.running[task] = {"task": task, "run": run, "cpu": cpu, "ms": ms,
                                  "begun": time.monotonic(), "life": self.incarnation}
            self.highest_run[task] = run
            self.history.start(self.name, task, run)
            if crashing and int(task.split(".")[3]) == crashing[0]:
                threading.Timer(CRASH_DELAY_S, self._crash_by, [task, self.incarnation]).start()
            else:
                threading.Timer(
                    ms / 1000, self._finish, [task, run, "done", self.incarnation]).start()
            return 200, reply

    def stop(self, body):
        with self.lock:
            task, run = body["Task"], body["Run"]
            self.highest_run[task] = max(self.highest_run.get(task, 0), run)
        if not self.ignores_stops:
            self._finish(task, run, "stopped", self.incarnation)
        return 200, {"ClockMs": self.clock_ms()}

    def renew_lease(self, body):
        with self.lock:
            self.extend_lease(body)
            self.ended = [it for it in self.ended if it[0] > body.get("AckCursor", 0)]
            if not self.ended and body.get("WaitMs"):
                self.lock.wait(body["WaitMs"] / 1000)
            now = time.monotonic()
            running = [[it["task"], it["run"], "",
                        min(99, int(100 * (now - it["begun"]) * 1000 / it["ms"])), it["cpu"]]
                       for it in self.running.values()]
            return 200, {"ClockMs": self.clock_ms(), "born": self.incarnation, "Running": running,
                         "Ended": self.ended[:500]}

    def _finish(self, task, run, how, incarnation):
        with self.lock:
            it = self.running.get(task)
            if it is None or it["run"] != run or it["life"] != incarnation:
                return
            del self.running[task]
            self.history.end(self.name, task, run, how)
            self.ended.append([self.next_end_cursor, task, run, how, ""])
            self.next_end_cursor += 1
            self.lock.notify_all()

    def _stop_expired_runs(self):
        while True:
            time.sleep(0.01)
            if self.running and time.monotonic() > self.lease_end and not self.ignores_stops:
                for it in list(self.running.values()):
                    self._finish(it["task"], it["run"], "lapsed", it["life"])

    def _report(self):
        import http.client
        while True:
            if self.down():
                time.sleep(0.05)
                continue
            self.sequence += 1
            state = "draining" if self.draining else "ready"
            body = {"Service": "review", "Address": self.public_address,
                    "Zone": self.data_centre,
                    "Version": "v1", "Slots": 8, "State": state,
                    "Room": {"Cpu": self.cpu, "MemMb": 4096, "Gpu": 0},
                    "Labels": ["a", "r1"], "ClockMs": self.clock_ms(), "Sequence": self.sequence,
                    "born": self.incarnation}
            try:
                link = http.client.HTTPConnection(self.report_to, timeout=1.0)
                link.request("PUT", f"/instances/{self.name}", json.dumps(body))
                link.getresponse().read()
                link.close()
            except OSError:
                pass
            time.sleep(0.4)
