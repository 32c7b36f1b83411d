"""A zone is evacuated while tasks wait in the queues of its agents. Looks for tasks that
start there later than EvacuateMs after the ack."""

import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import standins as s  # noqa: E402

# 200 tasks of 0.9 s on two workers with room for ten each, then a chain of six more.
STEPS = [(200, 3100, 900, [])] + [(1, 3100, 900, [n]) for n in range(6)]


def play(record, folder):
    system = s.System(record, folder, ["a", "b"], ["a", "b"])
    try:
        system.desire(["/pufi791/"])
        system.start()
        client = threading.Thread(target=system.call, args=(
            "POST", 0, f"/pufi791/{1:016x}", s.job(STEPS), s.budget_s(STEPS)), daemon=True)
        client.start()
        time.sleep(1.0)
        evacuated = system.evacuate("b") if s.TROUBLE else None
        client.join(s.budget_s(STEPS) + 2)
        if not any(it[3] == "b" for it in record.runs):
            raise s.CannotRun("no task has started in the zone")
        if evacuated is None:
            return []
        return [f"{task} run {run} starts on {worker} in zone {zone}, "
                f"{start - evacuated:.3f} s after the ack of its evacuation"
                for task, run, worker, zone, start, *_ in record.runs
                if zone == "b" and start > evacuated + s.EVACUATE_S]
    finally:
        system.end()


s.run_case(HERE, play)
