"""Sends invalid requests and settings to running processes and checks that
each gets its error and that no process ends or stops serving."""

import json
import pathlib
import subprocess
import sys
import urllib.error
import urllib.request

from experiments import small
from fleet import INZIRA, Fleet, call, wait_until
from recorder import post

OVERSIZED_BYTES = 5_000_000


def raw_post(url, body, content_type="application/json"):
    """Posts bytes and returns the HTTP status."""
    request = urllib.request.Request(url, body, {"Content-Type": content_type})
    try:
        with urllib.request.urlopen(request, timeout=10) as reply:
            return reply.status
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return 0  # closed while the body was being sent


class Checks:
    def __init__(self, fleet):
        self.fleet = fleet
        self.url = fleet.entries[0].url
        self.failures = []
        self.count = 0

    def expect(self, what, seen, wanted):
        self.count += 1
        if seen != wanted:
            self.failures.append(f"{what}: {seen}, expected {wanted}")

    def ticket(self):
        return call(self.url + "/v1/Caller/ObtainTickets", {"count": 1})["tickets"][0]

    def submit(self, what, reason, verdict="NOT_RUN", ticket=None, **fields):
        job = {"team": "t", "service": self.fleet.layout.service, "job_class": "URGENT",
               "deadline_ms": 2000, "tasks": [{"kind": "x"}], **fields}
        body = {"ticket": ticket or self.ticket(), "job": job, "wait": True}
        answer = (post(self.url, "/v1/Caller/Submit", body) or {}).get("answer", {})
        error = answer.get("error", {})
        self.expect(what, (error.get("reason"), error.get("verdict")), (reason, verdict))

    def jobs(self):
        self.submit("221 tasks", "INVALID_REQUEST", tasks=[{"kind": "x"}] * 221)
        self.submit("no task", "INVALID_REQUEST", tasks=[])
        self.submit("a cycle", "INVALID_REQUEST",
                    tasks=[{"kind": "x", "depends_on": [1]}, {"kind": "x", "depends_on": [0]}])
        self.submit("a line break in a kind", "INVALID_REQUEST", tasks=[{"kind": "a\r\nb: c"}])
        self.submit("needs of no worker", "IMPOSSIBLE_NEEDS",
                    tasks=[{"kind": "x", "needs": {"memory_mb": 10**9}}])
        self.submit("an unknown service", "UNKNOWN_SERVICE", service="nope")
        for endpoint in ("bogus", "", "127.0.0.1", "host.name:1"):
            self.submit(f"ticket endpoint '{endpoint}'", "INVALID_REQUEST",
                        ticket={"endpoint": endpoint, "incarnation": "1", "sequence": "1"})
        self.submit("a ticket of nobody", "COORDINATOR_LOST", "MAY_HAVE_RUN",
                    ticket={"endpoint": "127.0.0.1:1", "incarnation": "1", "sequence": "1"})

    def bodies(self):
        submit = self.url + "/v1/Caller/Submit"
        self.expect("a truncated body", raw_post(submit, b'{"ticket":'), 400)
        self.expect("a wrong type", raw_post(submit, b'{"ticket":7}'), 400)
        self.expect("an unknown field", raw_post(submit, b'{"nope":1}'), 400)
        self.expect("a binary body", raw_post(submit, b"\xff\xff", "application/x-protobuf"), 400)
        self.expect("another type", raw_post(submit, b"<a/>", "text/xml"), 415)
        self.expect("an unknown path", raw_post(self.url + "/v1/Caller/Nope", b"{}"), 404)
        oversized = raw_post(submit, b"x" * OVERSIZED_BYTES)
        self.expect("an oversized body", oversized in (0, 413), True)

    def settings(self):
        valid = (self.fleet.folder / "entry-0.toml").read_text()
        self.start("a port in use", valid, "listen")
        self.start("an unknown key", valid + "\nbogus = 1\n", ":9: bogus: unknown key")
        self.start("a bad value", valid.replace('"entry"', '"clerk"'), ":1: role: ")

    def start(self, what, text, message):
        path = self.fleet.folder / "bad.toml"
        path.write_text(text)
        done = subprocess.run([self.fleet.build / "packages/daemon/coltsfoottided",
                               f"--settings={path}"], capture_output=True, text=True, timeout=20)
        lines = done.stderr.strip().splitlines()
        self.expect(what, (done.returncode, len(lines), message in done.stderr), (2, 1, True))


def main():
    with Fleet(small(INZIRA), pathlib.Path(sys.argv[1]), entries=2) as fleet:
        fleet.start()
        checks = Checks(fleet)
        checks.jobs()
        checks.bodies()
        checks.settings()
        checks.expect("processes alive", all(it.alive() for it in fleet.processes), True)
        wait_until(lambda: fleet.serving_workers(fleet.entries[0]) == len(fleet.agents),
                   "all workers serving")
    for failure in checks.failures:
        print(failure)
    print(f"bad input: {checks.count - len(checks.failures)} passed, "
          f"{len(checks.failures)} failed")
    return 1 if checks.failures else 0


if __name__ == "__main__":
    sys.exit(main())
