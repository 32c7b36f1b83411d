"""Clients that submit jobs and record the answers, for the history checks."""

import base64
import json
import random
import threading
import time
import urllib.error
import urllib.request

from history import JobRecord, Start

FINAL_STATES = ("COMPLETE", "FAILED")


def boot_us():
    """Microseconds on CLOCK_BOOTTIME, the clock of the recorded starts."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


def post(url, path, body, timeout=15.0):
    """Makes one call; returns its parsed answer for any HTTP status, or None
    without a complete answer."""
    request = urllib.request.Request(
        url + path, json.dumps(body).encode(), {"Content-Type": "application/json"})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as reply:
            return json.loads(reply.read())
    except urllib.error.HTTPError as error:
        try:
            return json.loads(error.read())
        except (ValueError, OSError):
            return None
    except (OSError, ValueError):
        return None


class Recorder:
    """Submits jobs from several threads and records their history.

    A client that gets no answer retries with the same ticket through another
    entry, as the callers' guide requires.
    """

    def __init__(self, fleet, seed, deadline_ms=4000):
        self.fleet = fleet
        self.seed = seed
        self.deadline_ms = deadline_ms
        self.jobs = []
        self.faults = 0
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._threads = []

    def count_fault(self, what=""):
        """Counts one injected fault."""
        self.faults += 1

    def job(self, name, rng, tasks=None, run_ms=None, idempotent=True, job_class=None, chain=0.3):
        """Makes a random job whose echoes identify its tasks for the history checks."""
        tasks = tasks or rng.randint(1, 8)
        specs = []
        for n in range(tasks):
            payload = {"run_ms": run_ms or rng.randint(20, 150), "echo": f"{name}-{n}"}
            spec = {"kind": "lookup", "payload": base64.b64encode(
                json.dumps(payload).encode()).decode()}
            if n > 0 and rng.random() < chain:
                spec["depends_on"] = [rng.randrange(n)]
            specs.append(spec)
        return {
            "team": f"team-{rng.randrange(4)}", "service": self.fleet.layout.service,
            "job_class": job_class or ("URGENT" if rng.random() < 0.7 else "BULK"),
            "deadline_ms": self.deadline_ms, "idempotent": idempotent, "tasks": specs,
        }

    def obtain_ticket(self, rng, tries=100):
        for _ in range(tries):
            entry = rng.choice(self.fleet.entries)
            reply = post(entry.url, "/v1/Caller/ObtainTickets", {"count": 1}, timeout=5.0)
            if reply and reply.get("tickets"):
                return reply["tickets"][0]
            time.sleep(0.05)
        return None

    def submit_once(self, entry, ticket, job, timeout=15.0):
        """Makes one Submit call; returns the decoded answer or None."""
        reply = post(entry.url, "/v1/Caller/Submit",
                     {"ticket": ticket, "job": job, "wait": True}, timeout)
        return decode_answer(reply)

    def run_job(self, name, rng, repeat=0, **job_options):
        """Obtains a ticket, submits until there is a final answer, then until there
        are `repeat` further ones, in at most 40 calls; returns the job's record."""
        job = self.job(name, rng, **job_options)
        record = JobRecord(name, len(job["tasks"]), idempotent=job["idempotent"])
        ticket = self.obtain_ticket(rng)
        if ticket is None:
            return None
        with self._lock:
            self.jobs.append(record)
        remaining = 1 + repeat
        for _ in range(40):
            answer = self.submit_once(rng.choice(self.fleet.entries), ticket, job)
            if answer and answer["state"] in FINAL_STATES:
                record.answers.append(answer)
                remaining -= 1
                if remaining <= 0:
                    break
            else:
                time.sleep(0.05)
        record.lost = not record.answers
        return record

    def start_clients(self, count, repeat=0, pause=0.0, **job_options):
        """Starts threads that run jobs one after another until stopped."""
        for n in range(count):
            thread = threading.Thread(
                target=self._client, args=(n, repeat, pause, job_options), daemon=True)
            self._threads.append(thread)
            thread.start()

    def _client(self, n, repeat, pause, job_options):
        rng = random.Random(f"{self.seed}/{n}")
        number = 0
        while not self._stop.is_set():
            self.run_job(f"j{self.seed}.{n}.{number}", rng, repeat, **job_options)
            number += 1
            time.sleep(pause)

    def finish(self, timeout=60.0):
        """Stops the clients after their jobs in progress; raises an error if one does
        not end within the timeout."""
        self._stop.set()
        end = time.monotonic() + timeout
        for thread in self._threads:
            thread.join(max(0.0, end - time.monotonic()))
        if any(thread.is_alive() for thread in self._threads):
            raise RuntimeError("a client did not end")
        self._threads = []

    def starts(self):
        """Returns all starts that the stand-in backend servers recorded, including
        those of killed processes."""
        found = []
        for n, agent in enumerate(self.fleet.agents):
            path = self.fleet.folder / f"backend-{n}.starts"
            if not path.exists():
                continue
            for line in path.read_text().splitlines():
                try:
                    event = json.loads(line)
                except ValueError:
                    continue  # The truncated last line of a killed process.
                if event["event"] == "start":
                    found.append(Start(event["echo"], event["id"], event["at_us"], f"backend-{n}",
                                       agent.data_centre))
        return found


def decode_answer(reply):
    """Returns the answer of a JobResponse with the echo of each result added, or
    None if there is no answer."""
    if not reply or "answer" not in reply:
        return None
    answer = reply["answer"]
    for result in answer.get("results", []):
        try:
            result["echo"] = json.loads(base64.b64decode(result["output"]))["echo"]
        except (ValueError, KeyError, TypeError):
            result["echo"] = None
    return answer
