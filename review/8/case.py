"""A worker's machine is cut off for a second. Behind the cut the worker crashes and starts again
as one of another kind. Its tasks were of jobs that require the former kind. See claim.txt."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import stand_ins as s

NET = f"127.{s.free_network()}"
LINK, FRONT, READY, CONTROL, APP, STORE, LINK_OF_CUT = s.free_ports(7)
ZONES = ("zone-a", "zone-b", "zone-c")
ENTRIES = [f"{NET}.0.1", f"{NET}.0.2", f"{NET}.0.3"]
SIDES = [f"{NET}.10.1", f"{NET}.10.2", f"{NET}.10.3"]
APPS = [f"{NET}.20.1", f"{NET}.20.2", f"{NET}.20.3"]
KINDS, CUT = ("b", "b", "a"), 2
CUT_S, DOWN_S, JOBS, TASK_MS, BUDGET_MS = 1.0, 0.3, 6, 1800, 8000


def case(record):
    wrong, begun = [], set()

    def on_start(worker, task, run):
        begun.add(task)
        if worker.kind != "a":
            wrong.append(f"ROUTE: {worker.id} of kind {worker.kind} started {task} run {run}, "
                         f"which requires kind a")

    store = s.Store(f"{NET}.30.1", STORE)
    store.write_configuration(1, [s.route()])
    workers = [s.Worker(f"w{n}", APPS[n], APP, f"{SIDES[n]}:{CONTROL}", ZONES[n], KINDS[n],
                        on_start, record) for n in range(3)]
    for it in workers:
        it.start()
    # The ways from the machine that is cut off to the entries; a port of their own tells its
    # connections from those of the other machines.
    ways = [s.Relay(it, LINK_OF_CUT, (it, LINK)) for it in ENTRIES]
    with s.System(f"{NET}.30.1:{STORE}", [f"{it}:{CONTROL}" for it in ENTRIES], record) as system:
        for n in range(3):
            system.start(f"e{n}", "entry", ENTRIES[n], ZONES[n], LINK, Listen={
                "Front": f"{ENTRIES[n]}:{FRONT}", "Ready": f"{ENTRIES[n]}:{READY}"})
        for n in range(3):
            system.start(f"a{n}", "agent", SIDES[n], ZONES[n], LINK_OF_CUT if n == CUT else LINK,
                         Listen={"Control": f"{SIDES[n]}:{CONTROL}"}, app=f"{APPS[n]}:{APP}")
        for host in ENTRIES:
            s.wait_until(lambda h=host: s.call(h, READY, "GET", "/ready")[0] == 200, "ready")
        time.sleep(3.0)
        system.check_alive()
        steps = [{"Count": 1, "Cpu": 1000, "MemMb": 64, "EstimateMs": TASK_MS, "Requires": "a"}]
        clients = [threading.Thread(target=s.submit, daemon=True, args=(
            record, ENTRIES[0], FRONT, f"5c0e7a21{n:08x}", TASK_MS, steps, BUDGET_MS))
            for n in range(JOBS)]
        for it in clients:
            it.start()
        s.wait_until(lambda: len(begun) == JOBS, "all jobs begun", 1.0)
        if s.TROUBLE:
            record("the machine of w2 is cut off from the entries")
            for it in ways:
                it.held_all = True
            workers[CUT].crash()
            time.sleep(DOWN_S)
            workers[CUT].start("b")
            time.sleep(CUT_S - DOWN_S)
            for it in ways:
                it.held_all = False
            record("the cut is over")
        for it in clients:
            it.join()
        time.sleep(1.0)
        system.check_alive()
    return wrong


s.main(pathlib.Path(__file__).parent, case)
