"""A worker is cut off, with channels to it refused, and runs on. Exits with 1 if a task runs there
and elsewhere at the same time."""

import os
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

from standins import Deployment, one_step, overlaps  # noqa: E402

CUT_S = 4.0
# As the requests `sequence-build` of the site.
JOBS, TASKS, TASK_MS, BUDGET_S = 9, 4, 900, 1.5


def run(deployment, trouble):
    record = deployment.record
    deployment.start()
    callers = []
    for n in range(JOBS):
        callers.append(threading.Thread(
            target=deployment.call, kwargs={"timeout": BUDGET_S},
            args=(n % 3, "POST", f"{0x5c0e7a21d94b3900 + n:016x}", one_step(TASKS, TASK_MS))))
    for it in callers:
        it.start()
    time.sleep(0.25)
    if trouble:
        deployment.cut_worker(0, True, refuse=True)
    time.sleep(CUT_S)
    if trouble:
        deployment.cut_worker(0, False, refuse=True)
    for it in callers:
        it.join()
    found = overlaps(record)
    for begin, end, task, first, second in found:
        print(f"{begin:.3f} s: {task} starts as run {second[1]} at {second[0]} while run"
              f" {first[1]} is at work at {first[0]}, for {(end - begin) * 1000:.0f} ms")
    record.add("verdict", runs_at_the_same_time=len(found))
    return 1 if found else 0


def main():
    deployment = None
    try:
        deployment = Deployment(HERE, worker_relays=True)
        return run(deployment, os.environ.get("TROUBLE", "1") != "0")
    except Exception as error:  # noqa: BLE001
        print("the case could not run:", repr(error))
        return 2
    finally:
        if deployment is not None:
            deployment.close()


if __name__ == "__main__":
    sys.exit(main())
