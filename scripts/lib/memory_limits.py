"""Callers that make an entry hold memory: many at once, with one form of attack a scene.

Each scene starts one entry, its agents and stand-ins of the platform, lets a crowd of
connections send, and checks that the entry lives, that its peak memory and its open descriptors
stay under a bound, and that an ordinary job is completed while the crowd is still connected.
Nothing else is asserted: no times, and no share of the crowd that is served.
"""

import argparse
import json
import pathlib
import selectors
import socket
import sys
import tempfile
import time

from fleet import FleetError, wait_until
from soak import CALL_PORT, Soak

# The memory limit that the entry is given, and the bound of its peak memory.
LIMIT_MB = 64
# 300 bodies of the default MaxBodyBytes are 79 MB, more than the limit.
CROWD, BODY_BYTES = 300, 262_144 - 144
# A body far over MaxBodyBytes, and below the 2 MiB that the HTTP package accepts by itself.
OVERSIZED_BYTES, OVERSIZED_CROWD = 1_900_000, 60
HEAD_BYTES = 30_000
PIPELINED_REQUESTS, PIPELINED_CROWD = 2_000, 60
# Two descriptors for each connection of the crowd, and those of the entry itself.
MAX_DESCRIPTORS = 2 * CROWD + 100
# How long the crowd sends. Longer makes no difference: all of it has arrived by then.
SEND_S, ANSWER_LIMIT_S = 4.0, 30.0
TASK = {"Count": 1, "Cpu": 6000, "MemMb": 64, "EstimateMs": 50}


def head(job, length, more=""):
    announced = "" if length is None else f"Content-Length: {length}\r\n"
    return (f"POST /j/{job} HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: 8000\r\n"
            f"{announced}{more}\r\n").encode()


def job_body(size=0):
    """A job of at least this size, filled up with spaces."""
    job = json.dumps({"Spec": "50 6000", "BestEffort": True, "Steps": [TASK]})
    return job.ljust(size).encode()


def short_bodies():
    """Bodies of legal size without their last byte."""
    body = job_body(BODY_BYTES)
    return [[head(f"{n:016x}", len(body)) + body[:-1]] for n in range(CROWD)]


def complete_bodies():
    body = job_body(BODY_BYTES)
    return [[head(f"{n:016x}", len(body)) + body] for n in range(CROWD)]


def pieces():
    """Bodies of legal size in pieces of 4,096 bytes, one piece of each connection in turn."""
    body = job_body(BODY_BYTES)
    return [[head(f"{n:016x}", len(body))] +
            [body[k:k + 4096] for k in range(0, len(body) - 1, 4096)] for n in range(CROWD)]


def announced_oversized():
    data = b"x" * (OVERSIZED_BYTES - 1)
    return [[head(f"{n:016x}", OVERSIZED_BYTES) + data] for n in range(OVERSIZED_CROWD)]


def unannounced_oversized():
    """Bodies without a length, and with one that is too small, so that the rest is read as
    further requests."""
    data = b"x" * OVERSIZED_BYTES
    return [[head(f"{n:016x}", None if n % 2 else 10) + data] for n in range(OVERSIZED_CROWD)]


def half_heads():
    more = "X-Filler: " + "x" * HEAD_BYTES
    return [[head(f"{n:016x}", 10, more)] for n in range(CROWD)]


def pipelined():
    """Many requests at once on each connection, whose responses are read."""
    body = job_body()
    return [[b"".join(head(f"{n:08x}{k:08x}", len(body)) + body
                      for k in range(PIPELINED_REQUESTS))] for n in range(PIPELINED_CROWD)]


def unread():
    """Complete requests, one after the other, whose responses are never read."""
    request = b"GET /j/ HTTP/1.1\r\nHost: h\r\n\r\n" * 100
    return [[request] * 100 for n in range(CROWD)]


# Scenes whose connections do not read.
UNREAD_SCENES = {"unread"}
SCENES = {"short": short_bodies, "complete": complete_bodies, "pieces": pieces,
          "announced": announced_oversized, "unannounced": unannounced_oversized,
          "heads": half_heads, "pipelined": pipelined, "unread": unread}


class Crowd:
    """Connections that send their pieces in turn, as far as the entry takes them."""

    def __init__(self, host, scripts, reads):
        self.selector, self.sockets = selectors.DefaultSelector(), []
        self.reads, self.closed, self.statuses = reads, 0, {}
        for script in scripts:
            link = socket.socket()
            if not reads:
                link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            link.connect((host, CALL_PORT))
            link.setblocking(False)
            self.sockets.append(link)
            events = selectors.EVENT_WRITE | (selectors.EVENT_READ if reads else 0)
            self.selector.register(link, events, {"pieces": list(reversed(script)), "sent": 0})

    def run(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end and self.selector.get_map():
            for key, events in self.selector.select(0.1):
                try:
                    if events & selectors.EVENT_READ:
                        self._read(key.fileobj)
                    if events & selectors.EVENT_WRITE:
                        self._write(key.fileobj, key.data)
                except BlockingIOError:
                    continue
                except OSError:
                    self.closed += 1
                    self.selector.unregister(key.fileobj)

    def _read(self, link):
        data = link.recv(65536)
        if not data:
            raise ConnectionResetError
        if data.startswith(b"HTTP/1.1 "):
            status = data[9:12].decode()
            self.statuses[status] = self.statuses.get(status, 0) + 1

    def _write(self, link, state):
        pieces = state["pieces"]
        if not pieces:
            if self.reads:
                self.selector.modify(link, selectors.EVENT_READ, state)
            else:
                self.selector.unregister(link)
            return
        state["sent"] += link.send(memoryview(pieces[-1])[state["sent"]:])
        if state["sent"] == len(pieces[-1]):
            pieces.pop()
            state["sent"] = 0

    def close(self):
        for it in self.sockets:
            it.close()


def peak_mb(process):
    for line in pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    raise FleetError("no VmHWM")


def descriptors(process):
    return len(list(pathlib.Path(f"/proc/{process.pid}/fd").iterdir()))


def limit_memory(fleet):
    """Adds the memory limit to the settings of the entry."""
    path = pathlib.Path(fleet.entries[0].argv[1].split("=", 1)[1])
    path.write_text(path.read_text() + f"memory_limit_mb = {LIMIT_MB}\n")


def ordinary_job(fleet, number):
    status, body, _ = fleet.call_once(fleet.entry_hosts[0], f"{0xfff0:04x}{number:012x}", 1, 50,
                                      False, timeout=5.0)
    return status == 200 and b"completed" in body


def play(name, options, folder):
    """Plays one scene; returns what failed."""
    fleet = Soak(options.build.resolve(), folder, 1, options.slot, 1)
    entry, failures, attempts = fleet.entries[0], [], iter(range(1 << 20))
    if not options.unlimited:
        limit_memory(fleet)
    fleet.write_configuration(1)
    processes, crowd = fleet.entries + fleet.agents, None
    try:
        for it in processes:
            it.start()
        entry.wait_ready()
        wait_until(lambda: ordinary_job(fleet, next(attempts)), "a job before the crowd")
        rest_mb = peak_mb(entry)
        crowd = Crowd(fleet.entry_hosts[0], SCENES[name](), name not in UNREAD_SCENES)
        crowd.run(SEND_S)
        if not entry.alive():
            return [f"the entry has ended with {entry.child.returncode}"]
        open_now = descriptors(entry)
        try:
            wait_until(lambda: ordinary_job(fleet, next(attempts)), "a job beside the crowd",
                       ANSWER_LIMIT_S)
        except FleetError as error:
            failures.append(str(error))
        if not entry.alive():
            return [*failures, f"the entry has ended with {entry.child.returncode}"]
        peak = peak_mb(entry)
        print(f"memory limits: {name}: rest_mb={rest_mb:.1f} peak_mb={peak:.1f} bound_mb={LIMIT_MB} "
              f"descriptors={open_now} closed={crowd.closed} "
              f"statuses={json.dumps(crowd.statuses)}", flush=True)
        if peak > LIMIT_MB:
            failures.append(f"peak memory {peak:.1f} MB over {LIMIT_MB} MB")
        if open_now > MAX_DESCRIPTORS:
            failures.append(f"{open_now} descriptors, more than {MAX_DESCRIPTORS}")
        return failures
    finally:
        if crowd:
            crowd.close()
        for it in processes:
            it.kill()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scene", choices=SCENES)
    parser.add_argument("--build", type=pathlib.Path, default="build")
    parser.add_argument("--slot", type=int, default=140,
                        help="0 to 255, part of the addresses; concurrent runs need different ones")
    parser.add_argument("--unlimited", action="store_true",
                        help="leaves out the setting, for a daemon that does not know it")
    options = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="coltsfoottide-memory-"))
    try:
        failures = play(options.scene, options, folder)
    except FleetError as error:
        failures = [str(error)]
    print(f"memory limits: {options.scene}: {'failed' if failures else 'passed'}")
    for it in failures:
        print(f"  {it}")
    if failures:
        print(f"  logs: {folder}")
        sys.exit(1)


if __name__ == "__main__":
    main()
