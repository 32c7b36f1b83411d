"""An entry's machine is cut off for some seconds. Clients whose jobs it has begun give up and
submit them again through another entry. See claim.txt."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import stand_ins as s

NET = f"127.{s.free_network()}"
LINK, FRONT, READY, CONTROL, APP, STORE = s.free_ports(6)
ZONES = ("zone-a", "zone-b", "zone-c")
# By name of the entry: the address under which others reach it, through a relay, and its own.
ENTRIES = {"e1": f"{NET}.0.1", "e2": f"{NET}.0.2", "e3": f"{NET}.0.3"}
BEHIND = {"e1": f"{NET}.1.1", "e2": f"{NET}.1.2", "e3": f"{NET}.1.3"}
SIDES = [f"{NET}.10.{n + 1}" for n in range(11)]
APPS = [f"{NET}.20.{n + 1}" for n in range(11)]
STORE_IP, STORE_BY_E1 = f"{NET}.30.1", f"{NET}.30.2"
# One cut after the other, each of one machine. The longest of the users' site files takes 5.5 s on
# this site and 12 s on another.
CUTS_S = (4.5, 5.0, 4.0, 5.5, 3.5)
# Keeps the script under 120 s.
NO_CUT_AFTER_S = 70.0
JOBS, TASK_MS, TASKS = 10, 3600, 2
# Of the clients, this many give up.
LEAVING = 4
# The time that a client has, when it gives up, and when it comes back.
BUDGET_MS, GIVES_UP_S, BACK_S = 15000, 1.6, 1.3


class Client(threading.Thread):
    """Hands its job in at e1. If it leaves, it gives up and hands it in at e2."""

    def __init__(self, record, job, leaves):
        super().__init__(daemon=True)
        self.record, self.job, self.leaves = record, job, leaves

    def run(self):
        steps = [{"Count": TASKS, "Cpu": 1000, "MemMb": 64, "EstimateMs": TASK_MS}]
        first = s.Post(self.record, ENTRIES["e1"], FRONT, self.job, TASK_MS, steps, BUDGET_MS)
        if first.answered(GIVES_UP_S if self.leaves else BUDGET_MS / 1000):
            return
        first.give_up()
        host = ENTRIES["e2"]
        for _ in range(2):
            time.sleep(BACK_S)
            status, _ = s.submit(self.record, host, FRONT, self.job, TASK_MS, steps, BUDGET_MS)
            if status not in (0, 502, 504):
                return


def case(record):
    runs = s.Overlaps()
    store = s.Store(STORE_IP, STORE)
    store.write_configuration(1, [s.route()])
    workers = [s.Worker(f"w{n}", APPS[n], APP, f"{SIDES[n]}:{CONTROL}", ZONES[n % 3], "a",
                        runs.start, record, runs.end) for n in range(11)]
    for it in workers:
        it.start()
    links = {name: s.Relay(ENTRIES[name], LINK, (BEHIND[name], LINK)) for name in ENTRIES}
    fronts = {name: s.Relay(ENTRIES[name], FRONT, (BEHIND[name], FRONT)) for name in ENTRIES}
    # The way of e1 to the store.
    to_store = s.Relay(STORE_BY_E1, STORE, (STORE_IP, STORE))
    seeds = [f"{it}:{CONTROL}" for it in ENTRIES.values()]
    with s.System(f"{STORE_IP}:{STORE}", seeds, record) as system:
        for n, (name, ip) in enumerate(ENTRIES.items()):
            own = BEHIND[name]
            fields = {"platform": {"Address": f"{STORE_BY_E1}:{STORE}"}} if name == "e1" else {}
            system.start(name, "entry", own, ZONES[n], LINK, f'advertise = "{ip}:{LINK}"\n',
                         Listen={"Front": f"{own}:{FRONT}", "Ready": f"{own}:{READY}"}, **fields)
        for n in range(11):
            system.start(f"a{n}", "agent", SIDES[n], ZONES[n % 3], LINK,
                         Listen={"Control": f"{SIDES[n]}:{CONTROL}"}, app=f"{APPS[n]}:{APP}")
        for host in BEHIND.values():
            s.wait_until(lambda h=host: s.call(h, READY, "GET", "/ready")[0] == 200, "ready")
        time.sleep(4.0)
        system.check_alive()
        for n, cut_s in enumerate(CUTS_S):
            if s.now() > NO_CUT_AFTER_S:
                record("no time for a further cut")
                break
            known = len(runs.errors)
            clients = [Client(record, f"5c0e7a2{n}{job:08x}", s.TROUBLE and job < LEAVING)
                       for job in range(JOBS)]
            for it in clients:
                it.start()
            s.wait_until(lambda n=n: len(runs.begun) == (n + 1) * JOBS, "all jobs begun", 1.2)
            if s.TROUBLE:
                # e1 has the lowest address, so that the others open all connections to it.
                record(f"the machine of e1 is cut off for {cut_s:g} s")
                for it in (links["e1"], fronts["e1"], to_store):
                    it.held_all = True
            time.sleep(cut_s)
            for it in (links["e1"], fronts["e1"], to_store):
                it.held_all = False
            record("the cut is over")
            for it in clients:
                it.join()
            record(f"after this cut {len(runs.errors) - known} runs beside others")
            time.sleep(3.0)
            system.check_alive()
    return runs.errors


s.main(pathlib.Path(__file__).parent, case)
