"""A status report of another writer, with a service that isn't named in the desired state,
arrives at the Control address of a side machine whose worker is at work. Looks for two runs
of a task at the same time."""

import http.client
import json
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import standins as s  # noqa: E402

STEPS = [(12, 3100, 900, [])]


def report(record, worker):
    """The report of another writer: well-formed, but its service isn't one of ours."""
    body = {"Service": "archive-batch", "Address": f"{worker.address}:9", "Zone": worker.zone,
            "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
            "Room": {"Cpu": 16000, "MemMb": 32768, "Gpu": 0}, "Labels": ["a", "r1-1"],
            "ClockMs": 1000, "Sequence": 1, "born": int(time.time() * 1000)}
    link = http.client.HTTPConnection(worker.control, timeout=2.0)
    link.request("PUT", "/instances/i-7f3a91c2", json.dumps(body),
                 {"Content-Type": "application/json"})
    status = link.getresponse().status
    record.note(f"another writer's report, service archive-batch, reaches the Control address "
                f"beside {worker.name}: {status}")


def play(record, folder):
    system = s.System(record, folder, ["a", "b", "c"], ["a", "b", "c"])
    try:
        system.desire(["/pufi791/"])
        system.start()
        clients = [threading.Thread(target=system.call, args=(
            "POST", n % 3, f"/pufi791/{n + 1:016x}", s.job(STEPS), s.budget_s(STEPS)), daemon=True)
            for n in range(2)]
        for it in clients:
            it.start()
        time.sleep(0.3)
        if s.TROUBLE:
            report(record, system.workers[0])
        for it in clients:
            it.join(10.0)
        time.sleep(1.0)
        if not any(it[2] == "worker-1" for it in record.runs):
            raise s.CannotRun("no task has started on worker-1")
        return record.overlaps()
    finally:
        system.end()


s.run_case(HERE, play)
