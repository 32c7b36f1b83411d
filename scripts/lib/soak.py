"""Runs entries and agents under random faults and checks the histories of
callers and backend servers.

The direct roles run as separate processes on loopback addresses of their own. Callers reach
the entries directly and through load balancers. Some close their connection before they have
an answer, and submit their job again through any entry.
Before the random faults an entry dies, callers leave while their jobs run, callers that were
refused come back, a data centre is evacuated, and a backend server is cut off. Then faults
are injected from outside, in overlapping series drawn from the seed.
"""

import argparse
import http.client
import itertools
import json
import pathlib
import random
import signal
import sys
import tempfile
import threading
import time

from fleet import FleetError, Process, write_toml
from forwarder import KINDS, Forwarder
from platform_standin import Store, BackendServer
from relay import Relay

ENTRIES, BACKENDS, CALLERS, FAULT_SERIES = 3, 4, 8, 2
LINK_PORT, CALL_PORT, READY_PORT = 17010, 17011, 17012
REPORT_PORT, BACKEND_PORT, STORE_PORT = 17013, 17014, 17015
RETRY_DELAY_S, CALL_TIMEOUT_S = 1.3, 2.5
# Of a job, all submissions but the last may be left: the caller closes its connection after
# LEAVES_AFTER_S without an answer. This share of them is.
SUBMISSIONS, LEAVING_SHARE, LEAVES_AFTER_S = 4, 0.4, (0.1, 1.0)
# A caller that is refused comes back after the time in Retry-After, or at the latest after
# this time.
MAX_RETRY_AFTER_S = 3.0
# Of a task, in thousandths of a core.
TASK_CPU = 6000
START_LIMIT_S = 20.0
# Before the random faults connections to a backend server are refused CUT_AFTER_S after tasks of
# CUT_TASK_MS have begun everywhere, for CUT_S, which is longer than a lease.
CUT_TASK_MS, CUT_AFTER_S, CUT_S = 1800, 0.3, 2.0
# From SETTLE_S after the last fault, at least MIN_SERVED_SHARE of the calls must
# be answered with status 200.
SETTLE_S, MIN_SERVED_SHARE = 4.0, 0.9
# Share of the jobs with a task that crashes its backend server, while faults are
# injected. Such a task may be started this many times after three backend servers have
# crashed under it.
CRASHING_SHARE, MAX_LATE_STARTS = 0.06, 2
# Before the random faults an entry dies ENTRY_DEATH_S after it was given tasks that outlast
# the pause after which their callers submit them again.
LONG_TASK_MS, ENTRY_DEATH_S = 1800, 0.2
# Before the random faults callers leave after EARLY_LEAVE_S, and are back elsewhere while their
# tasks of LONG_TASK_MS would still run.
EARLY_LEAVE_S = 0.1
# Before the random faults tasks of FILLER_MS fill all backend servers, so that the jobs
# behind them, of RETURNING_TASKS tasks, are refused and come back.
FILLER_MS, RETURNING_TASKS, RETURNING_MS, RETURNING_ESTIMATE_MS = 2600, 4, 400, 60
# After this time no task may start in an evacuated data centre. EVACUATED_TASKS tasks of
# EVACUATED_MS need longer than that; a chain of further steps lets their job wait for them.
EVACUATE_S, EVACUATED_TASKS, EVACUATED_MS, EVACUATED_CHAIN = 5.0, 150, 900, 6
# Names of entries that another writer may leave in the store: not an address, a port out of
# range, deeply nested, and an address to which no connection can be opened.
ODD_ENTRIES = ["0::1", "127.0.0.1:99999", "[" * 200, "127.255.255.255"]


class History:
    """Records starts and ends at backend servers and answers at callers; collects
    violations."""

    def __init__(self):
        self.lock = threading.Lock()
        self.active_runs, self.completed_tasks, self.started = {}, {}, set()
        self.errors, self.starts, self.answers = [], 0, []
        # Number of submissions that their callers have left.
        self.left = 0
        self.crashes, self.late_starts = {}, {}
        # Backend servers at which no task may start after a time.
        self.closed = {}

    def start(self, backend, task, run):
        with self.lock:
            self.starts += 1
            self.started.add(task.split(".")[0])
            if time.monotonic() > self.closed.get(backend, float("inf")):
                self.errors.append(f"{task}: run {run} started at evacuated {backend}")
            if self.active_runs.get(task):
                self.errors.append(
                    f"{task}: run {run} at {backend} overlaps {self.active_runs[task]}")
            self.active_runs.setdefault(task, []).append((backend, run))
            if self.crashes.get(task, 0) >= 3:
                self.late_starts[task] = self.late_starts.get(task, 0) + 1
                if self.late_starts[task] == MAX_LATE_STARTS + 1:
                    self.errors.append(f"{task}: started again and again after three crashes")

    def crash(self, task):
        with self.lock:
            self.crashes[task] = self.crashes.get(task, 0) + 1

    def end(self, backend, task, run, how):
        with self.lock:
            if (backend, run) in self.active_runs.get(task, []):
                self.active_runs[task].remove((backend, run))
            if how == "done":
                self.completed_tasks.setdefault(task.split(".")[0], set()).add(task)

    def leave(self):
        with self.lock:
            self.left += 1

    def answer(self, job, tasks, statuses, body, refused_only, crashing):
        status = statuses[-1]
        with self.lock:
            if not crashing:
                self.answers.append((time.monotonic(), job, statuses))
            elif status == 200 and b"completed" in body:
                self.errors.append(f"{job}: completed with a task that crashes its server")
            if status == 200 and b"completed" in body and len(
                    self.completed_tasks.get(job, ())) < tasks:
                self.errors.append(
                    f"{job}: completed with {len(self.completed_tasks.get(job, ()))} of {tasks}")
            if refused_only and job in self.started:
                self.errors.append(f"{job}: refused with {status} but started")


class Soak:
    def __init__(self, build, folder, seed, slot, entries=ENTRIES):
        def address(group, n):
            return f"127.{group}.{slot}.{n + 1}"

        self.seed_rng, self.history = random.Random(seed), History()
        store = address(6, 0)
        self.store = Store(store, STORE_PORT)
        hosts = [address(5, n) for n in range(entries)]
        # The relays through which agents and other entries reach an entry.
        self.entry_relays = [Relay(LINK_PORT, (ip, LINK_PORT), address(7, n))
                         for n, ip in enumerate(hosts)]
        seeds = [f"{address(7, n)}:{READY_PORT}" for n in range(entries)]
        common = {"entries": seeds, "log_url": f"http://{store}:{STORE_PORT}", "lease_ms": 1000,
                  "stop_ms": 50, "drain_limit_ms": 6000}
        self.entries = [self._process(build, folder, f"entry{n}", {
            **common, "role": "direct-entry", "data_centre": "ab"[n % 2],
            "listen": f"{ip}:{LINK_PORT}",
            "advertise": f"{address(7, n)}:{LINK_PORT}",
            "http_listen": f"{ip}:{CALL_PORT}", "ready_listen": f"{ip}:{READY_PORT}"},
            f"{ip}:{READY_PORT}") for n, ip in enumerate(hosts)]
        self.backends, self.backend_relays, self.agents = [], [], []
        for n in range(BACKENDS):
            ip, target, relayed = address(4, n), address(3, n), address(8, n)
            backend = BackendServer(f"i-{n}", target, BACKEND_PORT, f"{ip}:{REPORT_PORT}",
                                    seed + n, self.history)
            relay = Relay(BACKEND_PORT, (target, BACKEND_PORT), relayed)
            backend.public_address = f"{relayed}:{BACKEND_PORT}"
            backend.data_centre = "ab"[n % 2]
            self.backends.append(backend)
            self.backend_relays.append(relay)
            self.agents.append(self._process(build, folder, f"agent{n}", {
                **common, "role": "direct-agent", "data_centre": backend.data_centre,
                "listen": f"{ip}:{LINK_PORT}",
                "http_listen": f"{ip}:{REPORT_PORT}",
                "backend_url": f"http://{relayed}:{BACKEND_PORT}"}, f"{ip}:{REPORT_PORT}"))
        self.entry_hosts = hosts
        # Load balancers in front of the entries: their addresses by kind.
        self.balancers = {kind: [address(9 + k, n) for n in range(entries)]
                          for k, kind in enumerate(KINDS)}
        for kind, addresses in self.balancers.items():
            for it, ip in zip(addresses, hosts):
                Forwarder((it, CALL_PORT), (ip, CALL_PORT), kind)
        self.running = True
        # Jobs that were refused and are submitted again, see run_returning_callers.
        self.returning = []
        # Jobs with a crashing task are faults too: none is submitted after the others,
        # and the last one must have ended before the time to settle begins.
        self.crashing_jobs, self.may_crash = 0, True
        self.crashing_changed = threading.Condition()
        self.faults_done = threading.Barrier(FAULT_SERIES + 1)
        self.run_finished = threading.Event()

    @staticmethod
    def _process(build, folder, name, settings, address):
        path = folder / f"{name}.toml"
        write_toml(path, settings)
        return Process(name, [build / "packages/daemon/coltsfoottided", f"--settings={path}"],
                       folder, address, "/ready")

    def write_configuration(self, version, queues=1):
        """With `queues` 0 the operator has removed the queue."""
        route = {"Name": "r", "Host": "h", "PathPrefix": "/j/", "Service": "review",
                 "TimeoutMs": 1500, "TargetLatencyMs": 60, "Priority": 0, "MaxAttempts": 4,
                 "Stretch": 1.6}
        config = {"Version": version, "Routes": [route] * queues, "Services": [], "Limits": {}}
        self.store.append("keyed.op", "config", json.dumps(config).encode())

    def call_once(self, host, job, tasks, ms, crashing, estimate=None, chain=0,
                  timeout=CALL_TIMEOUT_S, leaves_after=None):
        """Returns the status, or 0 without an answer, the body, and the time to wait before
        the next attempt, or None if there is to be none. `chain`: number of further steps of
        one task, one after the other. `leaves_after`: the caller waits only for this time, which
        the entry is not told."""
        step = {"Cpu": TASK_CPU, "MemMb": 64, "EstimateMs": estimate or ms}
        steps = [{"Count": tasks, **step}]
        steps += [{"Count": 1, "After": [n], **step} for n in range(chain)]
        spec = f"{ms} {TASK_CPU}" + (f" {tasks - 1}" if crashing else "")
        body = json.dumps({"Spec": spec, "BestEffort": True, "Steps": steps})
        link = http.client.HTTPConnection(host, CALL_PORT, timeout=leaves_after or timeout)
        try:
            link.request("POST", f"/j/{job}", body, {
                "Host": "h", "X-Deadline-Ms": str(int(timeout * 1000))})
            reply = link.getresponse()
            delay = None
            if reply.status in (502, 504):
                delay = RETRY_DELAY_S
            elif reply.status in (429, 503) and not crashing:
                delay = min(float(reply.headers.get("Retry-After") or 1.0), MAX_RETRY_AFTER_S)
            return reply.status, reply.read(), delay
        except (OSError, http.client.HTTPException) as error:
            if leaves_after and isinstance(error, TimeoutError):
                self.history.leave()
            return 0, b"", RETRY_DELAY_S
        finally:
            link.close()

    def begin_crashing_job(self):
        """Returns whether a job with a crashing task may be submitted now."""
        with self.crashing_changed:
            self.crashing_jobs += self.may_crash
            return self.may_crash

    def end_crashing_job(self):
        with self.crashing_changed:
            self.crashing_jobs -= 1
            self.crashing_changed.notify_all()

    def end_faults(self):
        """Waits for the end of the last fault."""
        self.faults_done.wait()
        with self.crashing_changed:
            self.may_crash = False
            self.crashing_changed.wait_for(lambda: self.crashing_jobs == 0)

    def append_odd_records(self):
        for it in ODD_ENTRIES:
            self.store.append("keyed.coltsfoottide-entries", it, b"1")
        for topic in ("keyed.coltsfoottide-entries", "keyed.op"):
            self.store.append(topic, None, b"")

    def submit_long_job(self, number):
        """Submits a job to the first entry, and again to the second one if there is no answer."""
        job = f"{0xffff:04x}{number:012x}"
        statuses = []
        for host in self.entry_hosts[:2]:
            status, body, delay = self.call_once(host, job, 1, LONG_TASK_MS, False)
            statuses.append(status)
            if delay is None:
                break
            time.sleep(delay)
        self.history.answer(job, 1, statuses, body, False, False)

    def submit_until_served(self, number):
        """Submits a small job to the first entry until it is served."""
        job = f"{0xfffd:04x}{number:012x}"
        statuses = []
        for _ in range(4):
            status, body, delay = self.call_once(
                self.entry_hosts[0], job, RETURNING_TASKS, RETURNING_MS, False,
                RETURNING_ESTIMATE_MS)
            statuses.append(status)
            if delay is None:
                break
            self.returning.append(job)
            time.sleep(delay)
        self.history.answer(job, RETURNING_TASKS, statuses, body, False, False)

    def returned_runs(self):
        return sum(bool(self.history.active_runs.get(f"{it}.0.0.{n}"))
                   for it in set(self.returning) for n in range(RETURNING_TASKS))

    def run_returning_callers(self):
        """Callers come back to the entry that has refused them, and its connections to agents
        are reset while their jobs run."""
        slots = BACKENDS * self.backends[0].cpu // TASK_CPU
        self.returning = []
        filler = threading.Thread(
            target=self.call_once, daemon=True, kwargs={"timeout": 2 * CALL_TIMEOUT_S},
            args=(self.entry_hosts[0], f"{0xfffc:016x}", slots, FILLER_MS, False))
        filler.start()
        time.sleep(0.3)
        callers = [threading.Thread(target=self.submit_until_served, args=(n,), daemon=True)
                   for n in range(CALLERS)]
        for it in callers:
            it.start()
        # Until several tasks of jobs that were submitted again are running.
        deadline = time.monotonic() + 2 * CALL_TIMEOUT_S
        while time.monotonic() < deadline and self.returned_runs() < 2 * RETURNING_TASKS:
            time.sleep(0.005)
        for _ in range(3):
            self.entry_relays[0].reset()
            time.sleep(0.1)
        for it in [filler, *callers]:
            it.join()
        if not self.returning:
            raise FleetError("no caller was refused while all backend servers were busy")

    def run_evacuation(self):
        """One of two data centres is evacuated while tasks wait there."""
        caller = threading.Thread(
            target=self.call_once, daemon=True,
            kwargs={"chain": EVACUATED_CHAIN, "timeout": 10 * CALL_TIMEOUT_S},
            args=(self.entry_hosts[0], f"{0xfffb:016x}", EVACUATED_TASKS, EVACUATED_MS, False))
        caller.start()
        time.sleep(1.0)
        self.store.append("keyed.op", "evacuate/b", b"{}")
        closed_from = time.monotonic() + EVACUATE_S
        for it in self.backends:
            if it.data_centre == "b":
                self.history.closed[it.name] = closed_from
        time.sleep(EVACUATE_S + 1.0)
        self.history.closed.clear()
        self.store.append("keyed.op", "evacuate/b", b"")
        caller.join()

    def submit_to_fill(self, number):
        """Submits a job whose tasks take all backend servers, together with those of the other
        entries."""
        tasks = BACKENDS * self.backends[0].cpu // TASK_CPU // len(self.entry_hosts)
        job = f"{0xfff9:04x}{number:012x}"
        status, body, _ = self.call_once(self.entry_hosts[number], job, tasks, CUT_TASK_MS, False,
                                         timeout=2 * CALL_TIMEOUT_S)
        self.history.answer(job, tasks, [status], body, False, False)

    def run_cut_backend(self):
        """Two runs of a task overlap if refused connections are taken for the end of the first."""
        callers = [threading.Thread(target=self.submit_to_fill, args=(n,), daemon=True)
                   for n in range(len(self.entry_hosts))]
        for it in callers:
            it.start()
        time.sleep(CUT_AFTER_S)
        if not self.backends[0].running:
            raise FleetError("no task is running at the backend server that is cut off")
        self.backend_relays[0].refuse()
        time.sleep(CUT_S)
        self.backend_relays[0].accept()
        for it in callers:
            it.join()

    def report_as_another_writer(self, rng):
        """A report of a backend server that is none of this installation's."""
        body = {"Service": rng.choice(["archive", "review"]), "Address": "127.0.0.1:9",
                "Zone": rng.choice("ab"), "Version": "v1", "Slots": 8, "State": "ready",
                "Room": {"Cpu": 16000, "MemMb": 4096, "Gpu": 0}, "Labels": ["a", "r9"],
                "ClockMs": 1000, "Sequence": rng.randrange(1, 1000),
                "born": int(time.time() * 1000) + rng.choice([-10**6, 0, 10**6])}
        link = http.client.HTTPConnection(rng.choice(self.backends).report_to, timeout=0.5)
        try:
            link.request("PUT", "/instances/i-7f3a91c2", json.dumps(body))
            link.getresponse().read()
        except (OSError, http.client.HTTPException):
            # The agent may be stopped or down.
            pass
        finally:
            link.close()

    def wait_served(self, attempt):
        """Waits until each entry places tasks at all backend servers. `attempt` differs between
        calls, so that no answer to a job of an earlier one is repeated."""
        tasks = BACKENDS * self.backends[0].cpu // TASK_CPU
        for number, host in enumerate(self.entry_hosts):
            deadline = time.monotonic() + START_LIMIT_S
            for n in itertools.count():
                job = f"{0xfffe:04x}{attempt:02x}{number:04x}{n:06x}"
                if self.call_once(host, job, tasks, 10, False)[0] == 200:
                    break
                if time.monotonic() > deadline:
                    raise FleetError(f"{host} serves no job of {tasks} tasks")
                time.sleep(0.1)

    def run_entry_death(self):
        """Two runs of a task overlap unless the first one is stopped when its entry dies."""
        callers = [threading.Thread(target=self.submit_long_job, args=(n,), daemon=True)
                   for n in range(CALLERS)]
        for it in callers:
            it.start()
        time.sleep(ENTRY_DEATH_S)
        self.entries[0].kill()
        for it in callers:
            it.join()
        self.entries[0].start()
        self.entries[0].wait_ready()

    def leave_long_job(self, number):
        """Submits a job to the first entry, which does not notice that the caller leaves, and
        again to the second one."""
        job = f"{0xfffa:04x}{number:012x}"
        statuses = []
        for host, leaves_after in ((self.balancers["never"][0], EARLY_LEAVE_S),
                                   (self.entry_hosts[1], None)):
            status, body, delay = self.call_once(host, job, 1, LONG_TASK_MS, False,
                                                 leaves_after=leaves_after)
            statuses.append(status)
            if delay is None:
                break
            time.sleep(delay)
        self.history.answer(job, 1, statuses, body, False, False)

    def run_leaving_callers(self):
        """Two runs of a task overlap unless the second entry learns of the first one's."""
        callers = [threading.Thread(target=self.leave_long_job, args=(n,), daemon=True)
                   for n in range(CALLERS)]
        for it in callers:
            it.start()
        for it in callers:
            it.join()

    def run_caller(self, number, seed):
        rng = random.Random(seed)
        ways = [self.entry_hosts, *self.balancers.values()]
        count = 0
        while self.running:
            count += 1
            job = f"{number:04x}{count:012x}"
            tasks, ms = rng.choice([(2, 60), (3, 120), (1, 400), (1, 1800)])
            crashing = rng.random() < CRASHING_SHARE and self.begin_crashing_job()
            statuses = []
            for n in range(SUBMISSIONS):
                leaves_after = None
                if n + 1 < SUBMISSIONS and self.running and rng.random() < LEAVING_SHARE:
                    leaves_after = rng.uniform(*LEAVES_AFTER_S)
                status, body, delay = self.call_once(
                    rng.choice(rng.choice(ways)), job, tasks, ms, crashing,
                    leaves_after=leaves_after)
                statuses.append(status)
                # The job of a caller that has left is submitted again in any case.
                left = leaves_after and status == 0
                if delay is None or not (self.running or left):
                    break
                time.sleep(delay)
            if crashing:
                self.end_crashing_job()
            refused_only = all(it in (429, 503) for it in statuses)
            if refused_only:
                # Waits until a start that is delivered late would be recorded.
                time.sleep(2.2)
            self.history.answer(job, tasks, statuses, body, refused_only, crashing)
            time.sleep(rng.uniform(0.0, 0.15))

    def inject_fault(self, rng, series):
        kind = rng.choice(["kill", "kill", "pause", "pause", "term", "hup", "store", "lose",
                            "crash", "silence", "drain", "config", "cut", "half_cut", "delay",
                            "reset", "late", "foreign", "evacuate", "refuse"])
        # Each process belongs to one series, so that no signal is sent to a process
        # that another series has stopped. Faults of different series overlap.
        process = rng.choice((self.entries + self.agents)[series::FAULT_SERIES])
        backend = rng.choice(self.backends)
        duration = rng.uniform(0.2, 2.5)
        if kind == "kill":
            process.kill()
            time.sleep(0.3)
            process.start()
        elif kind == "pause":
            process.pause()
            time.sleep(duration)
            process.resume()
        elif kind == "term":
            process.stop(15.0)
            process.start()
        elif kind == "hup":
            process.signal(signal.SIGHUP)
        elif kind == "store":
            self.store.outage = rng.choice(["busy", "silent"])
            time.sleep(duration)
            self.store.outage = None
        elif kind == "lose":
            backend.lost_share = 0.2
            time.sleep(duration)
            backend.lost_share = 0.0
        elif kind == "crash":
            backend.restart()
        elif kind == "silence":
            rng.choice(self.backend_relays + self.entry_relays).black_hole()
        elif kind == "reset":
            rng.choice(self.backend_relays + self.entry_relays).reset()
        elif kind == "refuse":
            relay = rng.choice(self.backend_relays)
            relay.refuse()
            time.sleep(duration)
            relay.accept()
        elif kind == "late":
            relay = rng.choice(self.entry_relays)
            relay.reset()
            relay.hold_up(0.2 * duration, rng.uniform(0.5, 2.0))
        elif kind == "foreign":
            self.report_as_another_writer(rng)
        elif kind == "evacuate":
            self.store.append("keyed.op", "evacuate/b", b"{}")
            time.sleep(duration)
            self.store.append("keyed.op", "evacuate/b", b"")
        elif kind in ("cut", "half_cut"):
            directions = {"in", "out"} if kind == "cut" else {rng.choice(["in", "out"])}
            relay = rng.choice(self.backend_relays + self.entry_relays)
            relay.cut = frozenset(directions)
            time.sleep(duration)
            relay.cut = frozenset()
        elif kind == "delay":
            relay = rng.choice(self.backend_relays + self.entry_relays)
            relay.delay = rng.uniform(0.01, 0.1)
            time.sleep(duration)
            relay.delay = 0.0
        elif kind == "drain":
            backend.draining = True
            time.sleep(duration)
            backend.draining = False
        else:
            self.write_configuration(int(time.time() * 1000) % 10**9)
        return kind

    def inject_faults(self, until, counts, rng, series):
        while time.monotonic() < until:
            kind = self.inject_fault(rng, series)
            counts[kind] = counts.get(kind, 0) + 1
            time.sleep(rng.uniform(0.1, 0.8))
        self.faults_done.wait()
        # This thread must outlive the processes that it started: the kernel kills
        # them when it ends.
        self.run_finished.wait()

    def run(self, seconds, seed):
        self.write_configuration(1)
        processes = self.entries + self.agents
        try:
            for it in processes:
                it.start()
            for it in self.entries:
                it.wait_ready()
            self.append_odd_records()
            self.wait_served(0)
            self.run_entry_death()
            # A restarted entry refuses until its configuration is settled.
            self.wait_served(1)
            self.run_leaving_callers()
            self.run_returning_callers()
            self.run_evacuation()
            self.run_cut_backend()
            callers = [threading.Thread(target=self.run_caller, args=(n, seed * 1000 + n),
                                        daemon=True) for n in range(CALLERS)]
            for it in callers:
                it.start()
            counts = {}
            until = time.monotonic() + seconds
            series = [threading.Thread(
                target=self.inject_faults,
                args=(until, counts, random.Random(self.seed_rng.random()), n), daemon=True)
                for n in range(FAULT_SERIES)]
            for it in series:
                it.start()
            self.end_faults()
            settled = time.monotonic() + SETTLE_S
            time.sleep(SETTLE_S + 4.0)
            self.running = False
            for it in callers:
                it.join(15.0)
            self.check_recovery(settled)
            return counts
        finally:
            self.running = False
            for it in processes:
                it.resume()
                it.kill()
            self.run_finished.set()

    def check_recovery(self, since):
        late = [(job, statuses) for at, job, statuses in self.history.answers if at > since]
        unserved = [f"{job} {statuses}" for job, statuses in late if statuses[-1] != 200]
        served = len(late) - len(unserved)
        if not late or served < MIN_SERVED_SHARE * len(late):
            self.history.errors.append(
                f"after the faults {served} of {len(late)} calls were answered with status "
                f"200, not {', '.join(unserved)}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", type=pathlib.Path, default="build")
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(1 << 31))
    parser.add_argument("--seconds", type=float, default=20.0,
                        help="duration of the fault injection")
    parser.add_argument("--slot", type=int, default=0,
                        help="0 to 255, part of the addresses; concurrent runs need different ones")
    parser.add_argument("--broken", action="store_true",
                        help="backend servers ignore stops; succeeds if the checks detect it")
    options = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="coltsfoottide-soak-"))
    soak = Soak(options.build.resolve(), folder, options.seed, options.slot)
    for it in soak.backends:
        it.ignores_stops = options.broken
    counts = soak.run(options.seconds, options.seed)
    history = soak.history
    served = sum(1 for *_, statuses in history.answers if statuses[-1] == 200)
    print(f"soak: seed={options.seed} jobs={len(history.answers)} served={served} "
          f"left={history.left} starts={history.starts} "
          f"crashes={sum(history.crashes.values())} "
          f"faults={json.dumps(counts, sort_keys=True)} errors={len(history.errors)}")
    for it in history.errors[:10]:
        print(f"  {it}")
    if bool(history.errors) != options.broken:
        print(f"  logs: {folder}")
        sys.exit(1)


if __name__ == "__main__":
    main()
