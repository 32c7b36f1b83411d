"""The experiments of scripts/prove: one for each guarantee.

Each runs a fleet under faults, records a history and returns the errors found
in it. Results depend only on invariants of the history, not on progress: on a
slow machine an experiment has fewer runs but the same result.
"""

import random
import threading
import time

from fleet import ATLAS, INZIRA, Fleet, call, wait_until
from history import JobRecord, check_always, check_no_starts_between
from recorder import Recorder, boot_us, decode_answer, post
from sampling import metrics_of

# The "few seconds" of the guarantees, after which no task may start in a data
# centre that is out or at a backend server that leaves: the 3 s validity of a
# start permission, one health check, and the delivery to the backend server.
START_GRACE_US = 4_000_000


def reduced_layout(layout, workers=6):
    return type(layout)(layout.service, layout.data_centres, workers=workers, slots=4)


def set_zone(entry, name, out, wait_ms=0):
    return post(entry.url, "/v1/Operator/ChangeConfig",
                {"data_centre": {"name": name, "out": out}, "wait_in_force_ms": wait_ms},
                timeout=30.0)


def finish_clients(rec):
    """Stops the clients and waits 1 s for tasks that still run."""
    rec.finish()
    time.sleep(1.0)


class FaultInjector:
    """Injects random faults, one at a time with random pauses in between."""

    def __init__(self, rec, rng, actions, pause=(0.3, 1.0)):
        self.rec = rec
        self.rng = rng
        self.actions = actions
        self.pause = pause

    def run(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.rng.choice(self.actions)()
            self.rec.count_fault()
            time.sleep(self.rng.uniform(*self.pause))


def kill_and_restart(process):
    process.kill()
    process.start()


def pause_for(process, seconds):
    process.pause()
    time.sleep(seconds)
    process.resume()


def starts_at_most_once(fleet, rec, rng):
    rec.start_clients(24, repeat=2)
    time.sleep(1.0)
    agents = fleet.agents
    actions = [
        lambda: kill_and_restart(rng.choice(agents)),
        lambda: pause_for(rng.choice(agents), 0.7),
        lambda: pause_for(rng.choice(agents), 6.0),
        lambda: kill_and_restart(rng.choice(fleet.entries)),
        lambda: rng.choice(fleet.relays).black_hole(),
        lambda: rng.choice(fleet.relays).black_hole(),
    ]
    FaultInjector(rec, rng, actions).run(25)
    finish_clients(rec)
    return check_always(rec.jobs, rec.starts())


def complete_or_failed(fleet, rec, rng):
    rec.start_clients(24)
    time.sleep(1.0)
    n = len(fleet.agents)

    def kill_backend():
        index = rng.randrange(n)
        kill_and_restart(fleet.backends[index])

    def inject_backend_fault():
        backend = rng.choice(fleet.backends)
        fleet.control(backend, rng.choice(
            [{"fail": True}, {"straggle": 10}, {"drop": True}, {"drop_before_start": True}]))
        time.sleep(0.5)
        fleet.control(backend, {"fail": False, "straggle": 1, "drop": False,
                                "drop_before_start": False})

    actions = [kill_backend, inject_backend_fault,
               lambda: kill_and_restart(rng.choice(fleet.agents)),
               lambda: pause_for(rng.choice(fleet.agents), 1.5)]
    FaultInjector(rec, rng, actions).run(20)
    finish_clients(rec)
    return check_always(rec.jobs, rec.starts())


def data_centre_out(fleet, rec, rng):
    errors = []
    rec.start_clients(16)
    time.sleep(1.0)
    centre = fleet.layout.data_centres[0]
    inside = lambda s: s.data_centre == centre
    paused, cut = fleet.agents_of(centre)[:2]
    # One agent is paused across the change; the others receive it.
    paused.pause()
    rec.count_fault()
    spans = []
    begin = _take_centre_out(fleet, centre, errors)
    time.sleep(5.0)
    paused.resume()
    time.sleep(2.0)
    spans.append((begin, boot_us()))
    _return_centre(fleet, centre, errors)
    time.sleep(2.0)
    # All agents are cut off from the entries: these are paused after the change
    # until the start permissions have expired.
    begin = _take_centre_out(fleet, centre, errors)
    for entry in fleet.entries:
        entry.pause()
        rec.count_fault()
    time.sleep(5.0)
    for entry in fleet.entries:
        entry.resume()
    time.sleep(1.0)
    spans.append((begin, boot_us()))
    _return_centre(fleet, centre, errors)
    time.sleep(2.0)
    # The log is unreachable for all processes: without a change of the
    # configuration, jobs must still be run.
    before = len(rec.starts())
    fleet.control(fleet.log, {"outage": "hang"})
    rec.count_fault()
    time.sleep(8.0)
    middle_us = boot_us()
    time.sleep(3.0)
    late = [s for s in rec.starts() if s.time_us > middle_us]
    if not late:
        errors.append(f"no start in the last 3 s of a log outage ({before} before)")
    fleet.control(fleet.log, {"outage": "none"})
    finish_clients(rec)
    starts = rec.starts()
    for begin, end in spans:
        errors += check_no_starts_between(starts, inside, begin + START_GRACE_US, end)
    if not any(inside(s) for s in starts):
        errors.append("no start in the data centre at all")
    return errors + check_always(rec.jobs, starts)


def _take_centre_out(fleet, centre, errors):
    reply = set_zone(fleet.entries[0], centre, True)
    if not reply or not reply.get("accepted"):
        errors.append(f"taking out {centre} was not accepted: {reply}")
    return boot_us()


def _return_centre(fleet, centre, errors):
    def accepted():
        reply = set_zone(fleet.entries[0], centre, False)
        return bool(reply and reply.get("accepted"))
    wait_until(accepted, f"return of {centre} accepted", 15.0, 0.5)


def own_answer(fleet, rec, rng):
    rec.start_clients(32, repeat=1)
    threads = [threading.Thread(target=_abandon_requests, args=(fleet, rec, n), daemon=True)
               for n in range(4)]
    for thread in threads:
        thread.start()
    FaultInjector(rec, rng, [lambda: pause_for(rng.choice(fleet.agents), 0.4)], (0.1, 0.4)).run(12)
    for thread in threads:
        thread.join()
    finish_clients(rec)
    return check_always(rec.jobs, rec.starts())


def _abandon_requests(fleet, rec, n):
    """Submits jobs and closes the connection before the answer."""
    rng = random.Random(f"{rec.seed}/abandon/{n}")
    end = time.monotonic() + 10
    number = 0
    while time.monotonic() < end:
        ticket = rec.obtain_ticket(rng)
        job = rec.job(f"a{rec.seed}.{n}.{number}", rng, run_ms=200)
        entry = rng.choice(fleet.entries)
        post(entry.url, "/v1/Caller/Submit", {"ticket": ticket, "job": job, "wait": True},
             timeout=rng.uniform(0.01, 0.15))
        rec.count_fault()
        number += 1


def not_run_is_true(fleet, rec, rng):
    # 64 clients with short deadlines on 24 slots: most jobs are refused.
    rec.deadline_ms = 500
    rec.start_clients(64, repeat=1)
    threads = [threading.Thread(target=_cancel_jobs, args=(fleet, rec, n), daemon=True)
               for n in range(4)]
    for thread in threads:
        thread.start()
    centre = fleet.layout.data_centres[1]
    actions = [
        lambda: pause_for(rng.choice(fleet.agents), 1.4),
        lambda: set_zone(fleet.entries[0], centre, rng.random() < 0.5),
        lambda: _drop_connections_briefly(fleet, rng),
        lambda: fleet.control(rng.choice(fleet.backends), {"slots": rng.randint(1, 4)}),
        lambda: rng.choice(fleet.relays).black_hole(),
    ]
    FaultInjector(rec, rng, actions).run(20)
    for thread in threads:
        thread.join()
    finish_clients(rec)
    errors = check_always(rec.jobs, rec.starts())
    refused = [c for c in rec.jobs
               if any(a.get("error", {}).get("verdict") == "NOT_RUN" for a in c.answers)]
    if not refused:
        errors.append("no job was refused, so the check is vacuous")
    return errors


def _drop_connections_briefly(fleet, rng):
    backend = rng.choice(fleet.backends)
    fleet.control(backend, {"drop_before_start": True})
    time.sleep(0.3)
    fleet.control(backend, {"drop_before_start": False})


def _cancel_jobs(fleet, rec, n):
    """Submits jobs without waiting, cancels each at a random time and records its
    final answer."""
    rng = random.Random(f"{rec.seed}/cancel/{n}")
    end = time.monotonic() + 18
    number = 0
    while time.monotonic() < end:
        name = f"c{rec.seed}.{n}.{number}"
        number += 1
        ticket = rec.obtain_ticket(rng)
        job = rec.job(name, rng)
        if ticket is None:
            continue
        record = JobRecord(name, len(job["tasks"]))
        entry = rng.choice(fleet.entries)
        post(entry.url, "/v1/Caller/Submit", {"ticket": ticket, "job": job, "wait": False})
        time.sleep(rng.uniform(0, 0.1))
        post(rng.choice(fleet.entries).url, "/v1/Caller/Cancel", {"ticket": ticket})
        for _ in range(40):
            answer = decode_answer(post(rng.choice(fleet.entries).url, "/v1/Caller/Wait",
                                        {"ticket": ticket, "timeout_ms": 5000}))
            if answer and answer["state"] in ("COMPLETE", "FAILED"):
                record.answers.append(answer)
                break
            time.sleep(0.05)
        record.lost = not record.answers
        rec.jobs.append(record)
        rec.count_fault()


def non_idempotent_once(fleet, rec, rng):
    rec.start_clients(24, repeat=2, idempotent=False)
    time.sleep(0.5)

    def inject(switches, seconds):
        backend = rng.choice(fleet.backends)
        fleet.control(backend, switches)
        time.sleep(seconds)
        fleet.control(backend, {"fail": False, "straggle": 1, "drop": False, "hang": "none"})

    actions = [lambda: inject({"fail": True}, 0.4), lambda: inject({"drop": True}, 0.4),
               lambda: inject({"straggle": 40}, 0.6), lambda: inject({"hang": "tasks"}, 0.5),
               lambda: kill_and_restart(rng.choice(fleet.backends)),
               lambda: pause_for(rng.choice(fleet.agents), 1.5)]
    FaultInjector(rec, rng, actions).run(20)
    finish_clients(rec)
    return check_always(rec.jobs, rec.starts())


def leaving_server(fleet, rec, rng):
    errors = []
    rec.start_clients(24)
    time.sleep(1.5)
    spans = []

    def leave(n, action, undo, seconds=4.0):
        begin = boot_us()
        action()
        rec.count_fault()
        time.sleep(START_GRACE_US / 1e6 + seconds)
        spans.append((f"backend-{n}", begin, boot_us()))
        undo()

    agents, backends = fleet.agents, fleet.backends
    leave(0, agents[0].begin_stop, lambda: (agents[0].wait(), agents[0].start()))
    leave(1, lambda: fleet.control(backends[1], {"leaving": True}),
          lambda: fleet.control(backends[1], {"leaving": False}), 1.0)
    leave(2, lambda: fleet.control(backends[2], {"lease_ms": 0}),
          lambda: fleet.control(backends[2], {"lease_ms": -1}), 1.0)
    leave(3, agents[3].kill, agents[3].start, 1.0)

    # The backend server starts to leave while its agent is paused.
    def leave_while_agent_paused():
        agents[4].pause()
        fleet.control(backends[4], {"leaving": True})
        time.sleep(4.0)
        agents[4].resume()
    leave(4, leave_while_agent_paused, lambda: fleet.control(backends[4], {"leaving": False}), 1.0)
    finish_clients(rec)
    starts = rec.starts()
    for backend, begin, end in spans:
        errors += check_no_starts_between(
            starts, lambda s, b=backend: s.backend == b, begin + START_GRACE_US, end)
        if not any(s.backend == backend for s in starts):
            errors.append(f"no start at {backend} at all")
    return errors + check_always(rec.jobs, starts)


def graceful_stop(fleet, rec, rng):
    rec.start_clients(16)
    time.sleep(1.0)
    errors = []
    for process in [*fleet.agents[:3], *fleet.entries]:
        process.begin_stop()
        rec.count_fault()
        status = process.wait(60.0)
        if status != 0:
            errors.append(f"{process.name} ended with status {status}")
        process.start()
        process.wait_ready(30.0)
        time.sleep(0.5)
    finish_clients(rec)
    errors += check_always(rec.jobs, rec.starts())
    for record in rec.jobs:
        for answer in record.answers:
            verdict = answer.get("error", {}).get("verdict")
            if answer["state"] == "FAILED" and verdict != "NOT_RUN":
                errors.append(
                    f"job {record.job} failed during a graceful stop: {answer['error']}")
    return errors


def configuration_converges(fleet, rec, rng):
    errors = []
    watch = ConfigWatch(fleet)
    watch.start()
    writers = [threading.Thread(target=_change_quotas, args=(fleet, rec, n), daemon=True)
               for n in range(6)]
    for thread in writers:
        thread.start()
    time.sleep(1.0)
    log = fleet.log
    fleet.control(log, {"lose_replies": 5})
    rec.count_fault()
    time.sleep(2.0)
    # An agent and an entry are paused across an outage of the log and the time
    # around it, so that they miss all records of that time.
    fleet.agents[0].pause()
    fleet.entries[-1].pause()
    fleet.control(log, {"outage": "error"})
    rec.count_fault()
    time.sleep(3.0)
    fleet.control(log, {"outage": "none", "lose_replies": 3})
    time.sleep(3.0)
    fleet.agents[0].resume()
    fleet.entries[-1].resume()
    for thread in writers:
        thread.join()
    # All processes restart at the same time.
    for process in [*fleet.entries, *fleet.agents]:
        process.kill()
        rec.count_fault()
    for process in [*fleet.entries, *fleet.agents]:
        process.start()
    for process in [*fleet.entries, *fleet.agents]:
        process.wait_ready(30.0)
    reply = post(fleet.entries[0].url, "/v1/Operator/ChangeConfig",
                 {"quota": {"team": "last", "starts_per_second": 7}, "wait_in_force_ms": 8000})
    if not reply or not reply.get("in_force"):
        errors.append(f"the last change is not in force within 8 s: {reply}")
    time.sleep(1.0)
    if call(fleet.log.url + "/v1/read?from=0&max=1")["first"] == 0:
        errors.append("no log record has expired, so the check of log expiry is vacuous")
    configs = [post(e.url, "/v1/Operator/GetConfig", {}) for e in fleet.entries]
    items = [sorted(str(item) for item in c["items"]) for c in configs]
    if any(other != items[0] for other in items):
        errors.append("the final configurations of the entries differ")
    watch.stop()
    return errors + watch.errors + _check_concurrent_changes(rec.outcomes, configs[0])


def _change_quotas(fleet, rec, n):
    """Changes a few quotas by compare-and-set, concurrently with the other operators."""
    rng = random.Random(f"{rec.seed}/quota/{n}")
    for number in range(25):
        team = f"race-{rng.randrange(2)}"
        entry = rng.choice(fleet.entries[:-1])
        config = post(entry.url, "/v1/Operator/GetConfig", {}) or {}
        version = next((i["version"] for i in config.get("items", [])
                        if i["key"] == f"quota/{team}"), "0")
        change_id = f"{rec.seed}-{n}-{number}"
        value = 1 + n * 1000 + number
        reply = post(entry.url, "/v1/Operator/ChangeConfig", {
            "change_id": change_id, "quota": {"team": team, "starts_per_second": value},
            "expected_version": version, "check_version": True}, timeout=20.0)
        rec.outcomes.append((team, value, version, reply))


def _check_concurrent_changes(outcomes, config):
    """At most one change per version of a key was accepted, and no final value
    comes from a change that was refused with a conflict."""
    errors = []
    accepted_values = {}
    for team, value, version, reply in outcomes:
        if reply and reply.get("accepted"):
            if (team, version) in accepted_values:
                errors.append(f"{team}: changes to {accepted_values[(team, version)]} and {value} "
                              f"were both accepted at version {version}")
            accepted_values[(team, version)] = value
    if not accepted_values:
        errors.append("no change was accepted, so the check is vacuous")
    for item in config["items"]:
        team = item["key"].removeprefix("quota/")
        value = item.get("quota", {}).get("starts_per_second")
        refused = [r for t, v, _, r in outcomes
                   if (t, v) == (team, value) and r
                   and r.get("error", {}).get("reason") == "CONFLICT"]
        if refused:
            errors.append(f"{team} has the value of a refused change: {refused[0]}")
    return errors


class ConfigWatch:
    """Samples the offset and digest of the configuration at every process; checks
    that the offset never decreases while the process runs and that all
    processes have the same digest at the same offset."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.errors = []
        self.samples = 0
        self._digests = {}
        self._last_offsets = {}
        self._last_readings = {}
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        self._thread.start()

    def stop(self):
        self._stop.set()
        self._thread.join()
        if self.samples == 0:
            self.errors.append("no configuration was sampled")

    def _run(self):
        while not self._stop.is_set():
            for process in [*self.fleet.entries, *self.fleet.agents]:
                self._sample(process)
            time.sleep(0.05)

    def _sample(self, process):
        pid = process.pid
        try:
            values = metrics_of(process)
        except (OSError, ValueError):
            return
        if "config_offset" not in values or "config_digest" not in values:
            return
        self.samples += 1
        offset, digest = values["config_offset"], values["config_digest"]
        key = (process.name, pid)
        if offset < self._last_offsets.get(key, 0):
            self.errors.append(f"{process.name} config offset decreased from "
                               f"{self._last_offsets[key]} to {offset}")
        self._last_offsets[key] = offset
        # Only a reading seen twice in a row counts: the two metrics are not
        # published atomically.
        repeated = self._last_readings.get(key) == (offset, digest)
        self._last_readings[key] = (offset, digest)
        if repeated and self._digests.setdefault(offset, digest) != digest:
            self.errors.append(f"{process.name} has another digest than others at config offset "
                               f"{offset}")


# Name: experiment, layout, and the broken variant that it must detect.
EXPERIMENTS = {
    "starts-at-most-once": (starts_at_most_once, INZIRA, "double-start"),
    "complete-or-failed": (complete_or_failed, INZIRA, "partial-answer"),
    "data-centre-out": (data_centre_out, ATLAS, "ignore-data-centre-out"),
    "own-answer": (own_answer, INZIRA, "swapped-answer"),
    "not-run-is-true": (not_run_is_true, ATLAS, "false-not-run"),
    "non-idempotent-once": (non_idempotent_once, ATLAS, "retry-after-failure"),
    "leaving-server": (leaving_server, INZIRA, "ignore-health"),
    "graceful-stop": (graceful_stop, INZIRA, "abrupt-stop"),
    "configuration-converges": (configuration_converges, ATLAS, "diverging-config"),
}


# The log retains few records, so that some expire while the experiment runs.
STAND_IN_FLAGS = {"configuration-converges": {"logd": ["--max_records=10"]}}


def run(name, build, seed, broken=False):
    """Runs one experiment; returns the recorder and the errors found."""
    experiment, layout, variant = EXPERIMENTS[name]
    extra = {"stand_in": STAND_IN_FLAGS.get(name)}
    if broken:
        extra["variant"] = variant
    with Fleet(reduced_layout(layout), build, entries=3, relays=True, **extra) as fleet:
        fleet.start()
        rec = Recorder(fleet, seed)
        rec.outcomes = []
        errors = experiment(fleet, rec, random.Random(seed))
        rec.start_count = len(rec.starts())
        return rec, errors
