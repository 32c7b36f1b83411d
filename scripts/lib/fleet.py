"""Starts and stops a local fleet: the log, entries, agents and backend servers.

Every process is a child of the caller with loopback ports of its own, and is
signalled by its process id only. Leaving the `with` block kills all of them,
also on errors; if the caller itself is killed, the kernel kills them.

    with Fleet(INZIRA, build="build") as fleet:
        fleet.start()
        fleet.agents[0].pause()
        fleet.control(fleet.log, {"outage": "hang"})
"""

import ctypes
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

from relay import Relay

PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None, use_errno=True)
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


class FleetError(Exception):
    """A process did not start, become ready, or end as expected."""


@dataclasses.dataclass(frozen=True)
class Layout:
    """The data centres and workers of one user of the dispatcher."""

    service: str
    data_centres: tuple
    workers: int = 11
    slots: int = 8
    connections: int = 64
    cpu_millicores: int = 32000
    memory_mb: int = 131072
    workers_per_rack: int = 3


ATLAS = Layout("match-review", ("tanger-a", "rabat-b", "fes-c"), cpu_millicores=64000)
INZIRA = Layout("phrase-translation", ("rw-central-a", "rw-central-b", "rw-central-c"))


def call(url, body=None, timeout=5.0):
    """Makes one HTTP call with a JSON body; returns the parsed JSON of the answer,
    or its text if it is not JSON. Raises an error for an HTTP error status."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data, {"Content-Type": "application/json"})
    with urllib.request.urlopen(request, timeout=timeout) as reply:
        text = reply.read()
    try:
        return json.loads(text)
    except ValueError:
        return text.decode(errors="replace")


def wait_until(condition, what, timeout=20.0, interval=0.05):
    """Waits until condition() is true; raises FleetError after the timeout."""
    end = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > end:
            raise FleetError(f"{what}: not within {timeout:g} s")
        time.sleep(interval)


def write_toml(path, settings):
    """Writes settings whose values are strings, integers or lists of strings."""
    lines = [f"{key} = {json.dumps(value)}\n" for key, value in settings.items()]
    path.write_text("".join(lines))


def kill_with_parent():
    """Makes the kernel kill this child when the thread that started it ends."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """One child process; its output goes to files in the fleet's folder."""

    def __init__(self, name, argv, folder, address, ready_path):
        self.name = name
        self.argv = [str(word) for word in argv]
        self.folder = folder
        self.address = address
        self.url = f"http://{address}"
        self.ready_path = ready_path
        self.child = None

    @property
    def pid(self):
        return self.child.pid if self.child else None

    def alive(self):
        return self.child is not None and self.child.poll() is None

    def start(self):
        if self.alive():
            raise FleetError(f"{self.name} is already running")
        with open(self.folder / f"{self.name}.out", "ab") as out, open(
            self.folder / f"{self.name}.err", "ab"
        ) as err:
            self.child = subprocess.Popen(
                self.argv, stdin=subprocess.DEVNULL, stdout=out, stderr=err,
                preexec_fn=kill_with_parent,
            )

    def is_ready(self):
        if not self.alive():
            raise FleetError(
                f"{self.name} exited with status {self.child.returncode}: {self.stderr_tail()}")
        try:
            call(self.url + self.ready_path, timeout=1.0)
            return True
        except (urllib.error.URLError, OSError):
            return False

    def wait_ready(self, timeout=20.0):
        wait_until(self.is_ready, f"{self.name} ready", timeout)

    def signal(self, number):
        if self.alive():
            self.child.send_signal(number)

    def pause(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def begin_stop(self):
        """Asks for a graceful stop without waiting for it."""
        self.signal(signal.SIGTERM)

    def stop(self, timeout=40.0):
        """Stops gracefully and returns the exit status."""
        self.begin_stop()
        return self.wait(timeout)

    def wait(self, timeout=40.0):
        if self.child is None:
            return None
        try:
            return self.child.wait(timeout)
        except subprocess.TimeoutExpired as error:
            raise FleetError(f"{self.name} did not end within {timeout:g} s") from error

    def kill(self):
        """Kills the process without a graceful stop, as a crash does."""
        if self.child is not None:
            self.signal(signal.SIGKILL)
            self.child.wait()

    def restart(self, timeout=20.0):
        """Kills the process and starts it again with the same settings."""
        self.kill()
        self.start()
        self.wait_ready(timeout)

    def stderr_tail(self, size=2000):
        path = self.folder / f"{self.name}.err"
        return path.read_text(errors="replace")[-size:] if path.exists() else ""

    def cpu_seconds(self):
        """CPU time used so far, by /proc."""
        fields = pathlib.Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def rss_mb(self):
        """Resident memory, by /proc."""
        for line in pathlib.Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0


class Fleet:
    """The processes of one layout: the log, backend servers, entries and agents."""

    def __init__(self, layout, build="build", entries=2, folder=None, extra=None, stand_in=None,
                 variant=None, relays=False):
        """`extra` holds additional settings by role, e.g.
        {"agent": {"placement": "random"}}; `stand_in` additional flags by
        program, e.g. {"logd": ["--sync_ms=20"]}; `variant` names a broken
        variant of the daemon, see packages/proof. With `relays`, each daemon is
        reached through a relay that can black-hole its open connections."""
        self.layout = layout
        self.build = pathlib.Path(build)
        self.extra = extra or {}
        self.stand_in = stand_in or {}
        self.variant = variant
        self._with_relays = relays
        self.relays = []
        self.owns_folder = folder is None
        self.folder = pathlib.Path(folder or tempfile.mkdtemp(prefix="coltsfoottide-"))
        self.ports = self._free_ports(1 + 3 * entries + 4 * layout.workers)
        self.log = self._make_log()
        self._entry_link_addresses = [self._next_address() for _ in range(entries)]
        self.entries = [self._make_entry(n) for n in range(entries)]
        self.backends = [self._make_backend(n) for n in range(layout.workers)]
        self.agents = [self._make_agent(n) for n in range(layout.workers)]

    def __enter__(self):
        # SIGTERM and SIGHUP to the caller must run __exit__ as well.
        self._handlers = {n: signal.signal(n, self._on_signal)
                          for n in (signal.SIGTERM, signal.SIGHUP)}
        return self

    def __exit__(self, *_):
        for number in self._handlers:
            signal.signal(number, signal.SIG_IGN)
        self.kill_all()
        for number, handler in self._handlers.items():
            signal.signal(number, handler)
        if self.owns_folder:
            shutil.rmtree(self.folder, ignore_errors=True)

    @property
    def processes(self):
        return [self.log, *self.backends, *self.entries, *self.agents]

    @property
    def entry_urls(self):
        return ",".join(entry.url for entry in self.entries)

    def start(self, timeout=30.0):
        """Starts all processes and waits until all workers serve at each entry."""
        for group in ([self.log], self.backends, self.entries, self.agents):
            for process in group:
                process.start()
            for process in group:
                process.wait_ready(timeout)
        self.wait_workers(len(self.agents), timeout)

    def serving_workers(self, entry):
        try:
            workers = call(entry.url + "/v1/Operator/ListWorkers", {}).get("workers", [])
        except (urllib.error.URLError, OSError):
            return 0
        return sum(1 for worker in workers if worker["state"] == "SERVING")

    def wait_workers(self, count, timeout=20.0):
        for entry in self.entries:
            wait_until(lambda e=entry: self.serving_workers(e) >= count,
                       f"{count} workers serving at {entry.name}", timeout)

    def control(self, process, switches):
        """Sets switches of a stand-in; returns its switches and counters."""
        return call(process.url + "/control", switches)

    def agents_of(self, data_centre):
        return [agent for agent in self.agents if agent.data_centre == data_centre]

    def stop(self, timeout=45.0):
        """Stops gracefully: agents, entries, backend servers, the log. Returns
        the exit status of each process by name."""
        statuses = {}
        for group in (self.agents, self.entries, self.backends, [self.log]):
            for process in group:
                process.resume()
                process.begin_stop()
            for process in group:
                statuses[process.name] = process.wait(timeout)
        return statuses

    def kill_all(self):
        for relay in self.relays:
            relay.close()
        for process in reversed(self.processes):
            process.kill()

    def _on_signal(self, number, _frame):
        raise SystemExit(128 + number)

    @staticmethod
    def _free_ports(count):
        # Below the ephemeral port range, so that no outgoing connection takes a
        # port before its listener does.
        candidates = random.SystemRandom().sample(range(10000, 32000), 4 * count)
        ports = []
        for port in candidates:
            with socket.socket() as it:
                try:
                    it.bind(("127.0.0.1", port))
                    ports.append(port)
                except OSError:
                    continue
            if len(ports) == count:
                return ports
        raise FleetError("not enough free ports")

    def _next_address(self):
        return f"127.0.0.1:{self.ports.pop()}"

    def _make_stand_in(self, name, program, address, ready_path, flags):
        argv = [self.build / "packages/standin" / program, f"--listen={address}", *flags,
                *self.stand_in.get(program, [])]
        return Process(name, argv, self.folder, address, ready_path)

    def _make_log(self):
        return self._make_stand_in("log", "logd", self._next_address(), "/healthz", [])

    def _make_backend(self, n):
        flags = [f"--slots={self.layout.slots}", f"--record={self.folder}/backend-{n}.starts"]
        return self._make_stand_in(f"backend-{n}", "backendd", self._next_address(), "/health",
                                   flags)

    def _make_daemon(self, name, settings):
        path = self.folder / f"{name}.toml"
        if self._with_relays:
            settings = {**settings, **self._add_relay(settings)}
        write_toml(path, {**settings, **self.extra.get(settings["role"], {})})
        program = [self.build / "packages/daemon/coltsfoottided"]
        if self.variant:
            program = [self.build / "packages/proof/coltsfoottided-broken", self.variant]
        argv = [*program, f"--settings={path}"]
        process = Process(name, argv, self.folder, settings["http_listen"], "/healthz")
        process.link = settings["listen"]
        process.data_centre = settings["data_centre"]
        return process

    def _add_relay(self, settings):
        """Puts a relay on the address at which others reach the process, and moves
        the process's own listener to another port."""
        target = self._next_address()
        host, port = target.split(":")
        self.relays.append(Relay(int(settings["listen"].split(":")[1]), (host, int(port))))
        return {"listen": target, "advertise": settings["listen"]}

    def _make_entry(self, n):
        centres = self.layout.data_centres
        return self._make_daemon(f"entry-{n}", {
            "role": "entry", "listen": self._entry_link_addresses[n],
            "http_listen": self._next_address(),
            "data_centre": centres[n % len(centres)], "rack": f"entry-rack-{n}",
            "entries": self._entry_link_addresses, "log_url": self.log.url,
        })

    def _make_agent(self, n):
        layout = self.layout
        centre = layout.data_centres[n % len(layout.data_centres)]
        rack = n // len(layout.data_centres) // layout.workers_per_rack
        return self._make_daemon(f"agent-{n}", {
            "role": "agent", "listen": self._next_address(), "http_listen": self._next_address(),
            "data_centre": centre, "rack": f"{centre}-rack-{rack}",
            "entries": self._entry_link_addresses, "backend_url": self.backends[n].url,
            "service": layout.service, "slots": layout.slots, "connections": layout.connections,
            "cpu_millicores": layout.cpu_millicores, "memory_mb": layout.memory_mb,
        })
