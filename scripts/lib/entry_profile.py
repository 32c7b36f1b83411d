"""Measures what a job costs an entry: two entries and some agents as processes on loopback
addresses, stand-ins for the store and the backend servers, and a steady load of small jobs at
the first entry.

    scripts/lib/entry_profile.py --build build --rate 150 --seconds 10 --tool stat

`--tool`: "none" reports the processor time per job of /proc; "stat" and "record" run perf on the
first entry; "callgrind" runs it under valgrind, which needs a rate of about 20.
"""

import argparse
import collections
import http.client
import json
import multiprocessing
import os
import pathlib
import random
import signal
import subprocess
import tempfile
import threading
import time
import urllib.request

from fleet import CLOCK_TICKS, Process, wait_until, write_toml
from platform_standin import BackendServer, Store

LINK_PORT, CALL_PORT, READY_PORT = 17110, 17111, 17112
REPORT_PORT, BACKEND_PORT, STORE_PORT, METRICS_PORT = 17113, 17114, 17115, 17116
BACKEND_CPU, BACKENDS_PER_PROCESS = 64000, 3
# Share of the jobs, tasks, milliseconds and thousandths of a core of each kind, as in
# docs/overload-and-recovery.md; the first one has 206 of 843 jobs.
KINDS = [(0.245, 8, 60, 5400), (0.71, 2, 200, 2000), (0.045, 4, 900, 3000)]
TIMEOUT_MS = 1500
# Connections of agents, first states and the configuration.
SETTLE_S = 4.0


class NoHistory:
    """Records nothing."""

    def start(self, *_):
        pass

    def end(self, *_):
        pass

    def crash(self, *_):
        pass


def serve_backends(slot, numbers):
    for n in numbers:
        backend = BackendServer(f"i-{n}", f"127.3.{slot}.{n + 1}", BACKEND_PORT,
                                f"127.4.{slot}.{n + 1}:{REPORT_PORT}", n, NoHistory())
        backend.cpu = BACKEND_CPU
        backend.data_centre = "ab"[n % 2]
    signal.pause()


def call(host, job, kind, results):
    _, tasks, ms, cpu = KINDS[kind]
    body = json.dumps({"Spec": f"{ms} {cpu}", "BestEffort": True, "Steps": [
        {"Count": tasks, "Cpu": cpu, "MemMb": 64, "EstimateMs": ms}]})
    begun = time.monotonic()
    link = http.client.HTTPConnection(host, CALL_PORT, timeout=TIMEOUT_MS / 1000 + 1)
    try:
        link.request("POST", f"/j/{job}", body, {"Host": "h", "X-Deadline-Ms": str(TIMEOUT_MS)})
        reply = link.getresponse()
        reply.read()
        status = reply.status
    except (OSError, http.client.HTTPException) as error:
        status = type(error).__name__
    finally:
        link.close()
    results.append((kind, status, time.monotonic() - begun))


def submit(host, rate, seconds, seed, queue):
    """Submits jobs at equal intervals and puts the counts of their answers into the queue."""
    rng, results, threads = random.Random(seed), [], []
    begun = time.monotonic()
    for n in range(int(rate * seconds)):
        time.sleep(max(0.0, begun + n / rate - time.monotonic()))
        kind = rng.choices(range(len(KINDS)), [it[0] for it in KINDS])[0]
        job = f"{rng.getrandbits(64):016x}"
        threads.append(threading.Thread(target=call, args=(host, job, kind, results)))
        threads[-1].start()
    for it in threads:
        it.join()
    answers = collections.Counter((kind, status) for kind, status, _ in results)
    elapsed = {k: sorted(s for kind, _, s in results if kind == k) for k in range(len(KINDS))}
    queue.put((answers, {k: round(v[len(v) // 2] * 1000) for k, v in elapsed.items() if v}))


def processor_s(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def throttle(pid, share, ended):
    """Lets the process run for a share of each 100 ms only, as a processor limit does to a busy
    one; unlike a limit, also if it is idle."""
    period_s = 0.1
    while not ended.is_set():
        os.kill(pid, signal.SIGSTOP)
        time.sleep(period_s * (1 - share))
        os.kill(pid, signal.SIGCONT)
        time.sleep(period_s * share)


def start_fleet(args, folder):
    slot, build = args.slot, pathlib.Path(args.build)
    daemon = build / "packages/daemon/coltsfoottided"
    store = Store(f"127.6.{slot}.1", STORE_PORT)
    route = {"Name": "r", "Host": "h", "PathPrefix": "/j/", "Service": "review",
             "TimeoutMs": TIMEOUT_MS, "TargetLatencyMs": 60, "Priority": 0, "MaxAttempts": 4,
             "Stretch": 1.6}
    config = {"Version": 1, "Routes": [route], "Services": [], "Limits": {}}
    store.append("keyed.op", "config", json.dumps(config).encode())
    hosts = [f"127.5.{slot}.{n + 1}" for n in range(args.entries)]
    common = {"entries": [f"{it}:{READY_PORT}" for it in hosts], "lease_ms": 1000, "stop_ms": 50,
              "log_url": f"http://127.6.{slot}.1:{STORE_PORT}", "drain_limit_ms": 6000}
    entries, agents = [], []
    for n, ip in enumerate(hosts):
        path = folder / f"entry{n}.toml"
        share = {"cpu_share": args.cpu_share} if args.cpu_share else {}
        write_toml(path, {**common, **share, "role": "direct-entry", "data_centre": "ab"[n % 2],
                          "listen": f"{ip}:{LINK_PORT}", "http_listen": f"{ip}:{CALL_PORT}",
                          "ready_listen": f"{ip}:{READY_PORT}",
                          "metrics_listen": f"{ip}:{METRICS_PORT}"})
        argv = [daemon, f"--settings={path}"]
        if n == 0 and args.tool == "callgrind":
            argv = ["valgrind", "--tool=callgrind", f"--callgrind-out-file={args.out}",
                    "--instr-atstart=no", *argv]
        entries.append(Process(f"entry{n}", argv, folder, f"{ip}:{READY_PORT}", "/ready"))
    for n in range(args.agents):
        ip, path = f"127.4.{slot}.{n + 1}", folder / f"agent{n}.toml"
        write_toml(path, {**common, "role": "direct-agent", "data_centre": "ab"[n % 2],
                          "listen": f"{ip}:{LINK_PORT}", "http_listen": f"{ip}:{REPORT_PORT}",
                          "backend_url": f"http://127.3.{slot}.{n + 1}:{BACKEND_PORT}"})
        agents.append(Process(f"agent{n}", [daemon, f"--settings={path}"], folder,
                              f"{ip}:{REPORT_PORT}", "/ready"))
    for n in range(0, args.agents, BACKENDS_PER_PROCESS):
        numbers = range(n, min(n + BACKENDS_PER_PROCESS, args.agents))
        multiprocessing.Process(target=serve_backends, args=(slot, numbers), daemon=True).start()
    for it in entries + agents:
        it.start()
    wait_until(lambda: all(it.is_ready() for it in entries), "entries", timeout=60.0)
    return hosts, entries, agents


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--build", default="build")
    parser.add_argument("--rate", type=float, default=150)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--entries", type=int, default=2)
    parser.add_argument("--agents", type=int, default=18)
    parser.add_argument("--slot", type=int, default=90, help="third byte of the addresses")
    parser.add_argument("--tool", choices=("none", "stat", "record", "callgrind"), default="none")
    parser.add_argument("--out", default="entry-profile.out")
    parser.add_argument("--cpu-share", type=float, help="setting cpu_share of the entries")
    parser.add_argument("--throttle", type=float, help="share of a core that the first entry gets")
    parser.add_argument("--log", help="file for a copy of the entry's log")
    parser.add_argument("--loaded", type=int, default=1,
                        help="1: jobs are submitted; 0: the entry is idle")
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as text:
        folder = pathlib.Path(text)
        hosts, entries, agents = start_fleet(args, folder)
        time.sleep(SETTLE_S)
        pid = entries[0].pid
        tool = None
        if args.tool == "stat":
            tool = subprocess.Popen(["perf", "stat", "-e",
                                     "instructions:u,instructions:k,task-clock", "-p", str(pid)])
        elif args.tool == "record":
            tool = subprocess.Popen(["perf", "record", "-F", "1999", "-g", "-o", args.out, "-p",
                                     str(pid)])
        elif args.tool == "callgrind":
            subprocess.run(["callgrind_control", "-i", "on", str(pid)], check=True)
        ended = threading.Event()
        if args.throttle:
            throttling = threading.Thread(target=throttle, args=(pid, args.throttle, ended))
            throttling.start()
        before, wall = processor_s(pid), time.monotonic()
        queue = multiprocessing.Queue()
        if args.loaded:
            caller = multiprocessing.Process(
                target=submit, args=(hosts[0], args.rate, args.seconds, 1, queue))
            caller.start()
            answers, medians = queue.get()
        else:
            time.sleep(args.seconds)
            answers, medians = {}, {}
        if args.throttle:
            ended.set()
            throttling.join()
        used, wall = processor_s(pid) - before, time.monotonic() - wall
        if args.tool == "callgrind":
            subprocess.run(["callgrind_control", "-i", "off", str(pid)], check=True)
        elif tool:
            tool.send_signal(signal.SIGINT)
            tool.wait()
        jobs = sum(answers.values())
        metrics = urllib.request.urlopen(f"http://{hosts[0]}:{METRICS_PORT}/metrics").read()
        for line in metrics.decode().splitlines():
            if "entry_" in line or "_not_run" in line:
                print(line)
        log = (folder / "entry0.out").read_text()
        lines = log.count("\n")
        if args.log:
            pathlib.Path(args.log).write_text(log)
        print(f"{jobs} jobs in {wall:.1f} s; entry: {used:.2f} s"
              + (f", {used / jobs * 1000:.3f} ms per job" if jobs else "")
              + f"; {lines} log lines; answers {dict(answers)}; medians (ms) {medians}")
        entries[0].child.send_signal(signal.SIGTERM)
        if args.tool == "callgrind":
            entries[0].child.wait(timeout=60)
        for it in entries + agents:
            it.child.kill()
            it.child.wait()


if __name__ == "__main__":
    main()
