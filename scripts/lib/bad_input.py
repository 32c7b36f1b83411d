"""Sends invalid requests and settings to running processes and checks that
each gets its error and that no process exits or stops serving."""

import json
import pathlib
import subprocess
import sys
import urllib.error
import urllib.request

from experiments import reduced_layout
from fleet import INZIRA, Fleet, call, wait_until
from recorder import post

OVERSIZED_BYTES = 5_000_000


def raw_post(url, body, content_type="application/json"):
    """Posts bytes and returns the HTTP status, 0 if the connection broke."""
    request = urllib.request.Request(url, body, {"Content-Type": content_type})
    try:
        with urllib.request.urlopen(request, timeout=10) as reply:
            return reply.status
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return 0  # The server closed the connection while the body was being sent.


# The checks against the first entry of a fleet; collects what failed.
class Checks:
    def __init__(self, fleet):
        self.fleet = fleet
        self.url = fleet.entries[0].url
        self.failures = []
        self.count = 0

    def expect(self, what, actual, expected):
        self.count += 1
        if actual != expected:
            self.failures.append(f"{what}: {actual}, expected {expected}")

    def obtain_ticket(self):
        return call(self.url + "/v1/Caller/ObtainTickets", {"count": 1})["tickets"][0]

    def expect_job_error(self, what, reason, verdict="NOT_RUN", ticket=None, **fields):
        job = {"team": "t", "service": self.fleet.layout.service, "job_class": "URGENT",
               "deadline_ms": 2000, "tasks": [{"kind": "x"}], **fields}
        body = {"ticket": ticket or self.obtain_ticket(), "job": job, "wait": True}
        answer = (post(self.url, "/v1/Caller/Submit", body) or {}).get("answer", {})
        error = answer.get("error", {})
        self.expect(what, (error.get("reason"), error.get("verdict")), (reason, verdict))

    def check_jobs(self):
        self.expect_job_error("221 tasks", "INVALID_REQUEST", tasks=[{"kind": "x"}] * 221)
        self.expect_job_error("no task", "INVALID_REQUEST", tasks=[])
        self.expect_job_error("a cycle", "INVALID_REQUEST",
                              tasks=[{"kind": "x", "depends_on": [1]},
                                     {"kind": "x", "depends_on": [0]}])
        self.expect_job_error("a line break in a kind", "INVALID_REQUEST",
                              tasks=[{"kind": "a\r\nb: c"}])
        self.expect_job_error("needs that no worker meets", "IMPOSSIBLE_NEEDS",
                              tasks=[{"kind": "x", "needs": {"memory_mb": 10**9}}])
        self.expect_job_error("an unknown service", "UNKNOWN_SERVICE", service="nope")
        for endpoint in ("bogus", "", "127.0.0.1", "host.name:1"):
            self.expect_job_error(
                f"ticket endpoint '{endpoint}'", "INVALID_REQUEST",
                ticket={"endpoint": endpoint, "incarnation": "1", "sequence": "1"})
        self.expect_job_error(
            "a ticket of an unknown coordinator", "COORDINATOR_LOST", "MAY_HAVE_RUN",
            ticket={"endpoint": "127.0.0.1:1", "incarnation": "1", "sequence": "1"})

    def check_bodies(self):
        submit = self.url + "/v1/Caller/Submit"
        self.expect("a truncated body", raw_post(submit, b'{"ticket":'), 400)
        self.expect("a field of the wrong type", raw_post(submit, b'{"ticket":7}'), 400)
        self.expect("an unknown field", raw_post(submit, b'{"nope":1}'), 400)
        self.expect("a binary body", raw_post(submit, b"\xff\xff", "application/x-protobuf"), 400)
        self.expect("an unsupported content type", raw_post(submit, b"<a/>", "text/xml"), 415)
        self.expect("an unknown path", raw_post(self.url + "/v1/Caller/Nope", b"{}"), 404)
        oversized = raw_post(submit, b"x" * OVERSIZED_BYTES)
        self.expect("an oversized body", oversized in (0, 413), True)

    def check_settings(self):
        valid = (self.fleet.folder / "entry-0.toml").read_text()
        self.expect_start_error("a port in use", valid, "listen")
        self.expect_start_error("an unknown key", valid + "\nbogus = 1\n", ":9: bogus: unknown key")
        self.expect_start_error("a bad value", valid.replace('"entry"', '"clerk"'), ":1: role: ")

    def expect_start_error(self, what, text, message):
        path = self.fleet.folder / "bad.toml"
        path.write_text(text)
        result = subprocess.run([self.fleet.build / "packages/daemon/coltsfoottided",
                                 f"--settings={path}"], capture_output=True, text=True, timeout=20)
        lines = result.stderr.strip().splitlines()
        self.expect(what, (result.returncode, len(lines), message in result.stderr), (2, 1, True))


def main():
    with Fleet(reduced_layout(INZIRA), pathlib.Path(sys.argv[1]), entries=2) as fleet:
        fleet.start()
        checks = Checks(fleet)
        checks.check_jobs()
        checks.check_bodies()
        checks.check_settings()
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
