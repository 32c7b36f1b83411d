"""Callers that reach the entries through a load balancer close their connection while their
job runs, and submit it again through another entry.

Each task must have one run at a time, also where the first entry does not notice that its
caller has gone, and while other entries, which may be those that know of the job, die or stand
still. The second submission must be answered as completed. Callers that come back to the same
entry, when the job is done, or only to have it cancelled, also after the operator has removed the
queue, are played as well.
"""

import argparse
import http.client
import json
import pathlib
import random
import sys
import tempfile
import threading
import time

from fleet import FleetError
from forwarder import KINDS
from soak import CALL_PORT, RETRY_DELAY_S, Soak

ENTRIES, CALLERS, TASKS, TASK_MS = 4, 4, 2, 2400
# Time after which all entries have a configuration.
CONFIGURATION_S = 0.3
LEAVES_AFTER_S, DEADLINE_S = 0.4, 12.0
# A caller that is refused comes back until it has been refused this many times.
SUBMISSIONS = 4
# In "none" no process fails. In the others one entry does while a caller is away, in turn
# each of those that do not have the job.
TROUBLES = ("none", "kill", "restart", "pause")


class LeavingCallers:
    def __init__(self, options, folder):
        self.rng = random.Random(options.seed)
        self.fleet = Soak(options.build.resolve(), folder, options.seed, options.slot, ENTRIES)
        self.history = self.fleet.history
        self.errors = []
        self.starts_at_cancel = 0

    def submit(self, host, job, leaves_after=None):
        """Returns the status, or 0 if the caller has left before an answer, the body, and the
        time after which a refused caller comes back."""
        step = {"Count": TASKS, "Cpu": 6000, "MemMb": 64, "EstimateMs": TASK_MS}
        body = json.dumps({"Spec": f"{TASK_MS} 6000", "BestEffort": True, "Steps": [step]})
        link = http.client.HTTPConnection(host, CALL_PORT, timeout=DEADLINE_S)
        try:
            link.request("POST", f"/j/{job}", body, {
                "Host": "h", "X-Deadline-Ms": str(int(DEADLINE_S * 1000))})
            if leaves_after is not None:
                link.sock.settimeout(leaves_after)
            reply = link.getresponse()
            return reply.status, reply.read(), float(reply.headers.get("Retry-After") or 0.0)
        except (OSError, http.client.HTTPException) as error:
            return 0, type(error).__name__.encode(), 0.0
        finally:
            link.close()

    def cancel(self, host, job):
        link = http.client.HTTPConnection(host, CALL_PORT, timeout=DEADLINE_S)
        try:
            link.request("DELETE", f"/j/{job}", headers={"Host": "h"})
            return link.getresponse().status
        finally:
            link.close()

    def run_caller(self, hosts, job, first, second):
        self.submit(hosts[first], job, LEAVES_AFTER_S)
        time.sleep(RETRY_DELAY_S)
        for _ in range(SUBMISSIONS):
            status, body, retry_after = self.submit(hosts[second], job)
            if status != 503:
                break
            time.sleep(retry_after)
        if status != 200 or b"completed" not in body:
            self.errors.append(f"{job}: second submission answered with {status} {body!r}")

    def fail(self, trouble, entry):
        process = self.fleet.entries[entry]
        time.sleep(LEAVES_AFTER_S + self.rng.uniform(0.2, RETRY_DELAY_S))
        if trouble in ("kill", "restart"):
            process.kill()
            time.sleep(0.3 if trouble == "restart" else 2 * RETRY_DELAY_S)
            process.start()
        elif trouble == "pause":
            process.pause()
            time.sleep(2 * RETRY_DELAY_S)
            process.resume()
        process.wait_ready()

    def play(self, kind, trouble, number):
        first, second, failing, _ = self.rng.sample(range(ENTRIES), ENTRIES)
        callers = [threading.Thread(target=self.run_caller, daemon=True, args=(
            self.fleet.balancers[kind], f"{number:08x}{n:08x}", first, second))
            for n in range(CALLERS)]
        overlaps = len(self.history.errors)
        errors = len(self.errors)
        for it in callers:
            it.start()
        if trouble != "none":
            self.fail(trouble, failing)
        for it in callers:
            it.join()
        print(f"leaving callers: balancer={kind} trouble={trouble} "
              f"overlaps={len(self.history.errors) - overlaps} "
              f"unanswered={len(self.errors) - errors}", flush=True)

    def leave(self, host, job):
        """Leaves a job that runs: one that the entry has refused is submitted there again."""
        for _ in range(SUBMISSIONS):
            status, _, retry_after = self.submit(host, job, LEAVES_AFTER_S)
            if status != 503:
                break
            time.sleep(retry_after)
        if status != 0:
            self.errors.append(f"{job}: answered with {status} before its caller has left")

    def leave_all(self, hosts, jobs, first):
        callers = [threading.Thread(target=self.leave, args=(hosts[first], it)) for it in jobs]
        for it in callers:
            it.start()
        for it in callers:
            it.join()

    def play_done(self, number):
        """The callers come back through another entry when their jobs are done."""
        first, second = self.rng.sample(range(ENTRIES), 2)
        hosts, jobs = self.fleet.balancers["never"], [f"{number:08x}{n:08x}" for n in range(CALLERS)]
        self.leave_all(hosts, jobs, first)
        time.sleep(2 * TASK_MS / 1000)
        starts = self.history.starts
        for job in jobs:
            status, body, _ = self.submit(hosts[second], job)
            if status != 200 or b"completed" not in body:
                self.errors.append(f"{job}: done, and answered with {status} {body!r}")
        if self.history.starts != starts:
            self.errors.append(f"{self.history.starts - starts} tasks of completed jobs started")

    def play_cancel(self, number):
        """The callers cancel their jobs through another entry than the one that has them, after
        they have come back through a third one."""
        first, second, third = self.rng.sample(range(ENTRIES), 3)
        hosts, jobs = self.fleet.balancers["never"], [f"{number:08x}{n:08x}" for n in range(CALLERS)]
        self.leave_all(hosts, jobs, first)
        time.sleep(RETRY_DELAY_S)
        callers = [threading.Thread(target=self.submit, args=(hosts[second], it)) for it in jobs]
        for it in callers:
            it.start()
        time.sleep(0.2)
        self.cancel_all(hosts[third], jobs)
        for it in callers:
            it.join(DEADLINE_S)
        self.check_stopped()

    def play_removed_queue(self, number):
        """The callers cancel their jobs through another entry after the operator has removed the
        queue."""
        first, second = self.rng.sample(range(ENTRIES), 2)
        hosts, jobs = self.fleet.balancers["never"], [f"{number:08x}{n:08x}" for n in range(CALLERS)]
        self.leave_all(hosts, jobs, first)
        self.fleet.write_configuration(2, queues=0)
        time.sleep(CONFIGURATION_S)
        self.cancel_all(hosts[second], jobs)
        self.check_stopped()
        self.fleet.write_configuration(3)
        time.sleep(CONFIGURATION_S)

    def cancel_all(self, host, jobs):
        """Cancels the jobs, of which no task must run soon after that."""
        for it in jobs:
            status = self.cancel(host, it)
            if status not in (200, 410):
                self.errors.append(f"{it}: cancel answered with {status}")
        time.sleep(0.5)
        self.starts_at_cancel = self.history.starts
        running = [it for job in jobs for n in range(TASKS)
                   for it in self.history.active_runs.get(f"{job}.0.0.{n}", [])]
        if running:
            self.errors.append(f"after their cancel tasks run: {running}")

    def check_stopped(self):
        time.sleep(TASK_MS / 1000)
        if self.history.starts != self.starts_at_cancel:
            self.errors.append(f"{self.history.starts - self.starts_at_cancel} "
                               "tasks of cancelled jobs started")

    def play_same(self, number):
        """The callers come back to the entry that they have left."""
        hosts = self.fleet.balancers["never"]
        entry = self.rng.randrange(ENTRIES)
        callers = [threading.Thread(target=self.run_caller, args=(
            hosts, f"{number:08x}{n:08x}", entry, entry)) for n in range(CALLERS)]
        for it in callers:
            it.start()
        for it in callers:
            it.join()

    def run(self):
        self.fleet.write_configuration(1)
        processes = self.fleet.entries + self.fleet.agents
        try:
            for it in processes:
                it.start()
            for it in self.fleet.entries:
                it.wait_ready()
            self.fleet.wait_served(0)
            number = 0
            for trouble in TROUBLES:
                for kind in KINDS:
                    number += 1
                    self.play(kind, trouble, number)
                    self.fleet.wait_served(number)
            for play in (self.play_same, self.play_done, self.play_cancel, self.play_removed_queue):
                number += 1
                errors = len(self.errors) + len(self.history.errors)
                play(number)
                print(f"leaving callers: {play.__name__} "
                      f"errors={len(self.errors) + len(self.history.errors) - errors}", flush=True)
                self.fleet.wait_served(number)
        finally:
            for it in processes:
                it.resume()
                it.kill()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", type=pathlib.Path, default="build")
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(1 << 31))
    parser.add_argument("--slot", type=int, default=100,
                        help="0 to 255, part of the addresses; concurrent runs need different ones")
    options = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="coltsfoottide-leaving-"))
    case = LeavingCallers(options, folder)
    try:
        case.run()
    except FleetError as error:
        case.errors.append(str(error))
    errors = case.history.errors + case.errors
    print(f"leaving callers: seed={options.seed} starts={case.history.starts} "
          f"errors={len(errors)}")
    for it in errors[:10]:
        print(f"  {it}")
    if errors:
        print(f"  logs: {folder}")
        sys.exit(1)


if __name__ == "__main__":
    main()
