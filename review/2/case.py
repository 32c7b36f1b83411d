"""A job is given up with 504 and sent again; the channels between the entry and its agents
are reset while the second attempt runs. Looks for two runs of a task at the same time."""

import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import standins as s  # noqa: E402

JOBS = 8
# A quick step and one that finds no room in time: count, cpu, ms, after.
STEPS = [(1, 100, 100, []), (1, 3100, 600, [0])]
# Fills both workers but for 1000 of 32000 thousandths of a core.
FILLER = [(20, 3100, 3300, [])]


def send_again(system, name, attempts):
    """A client: after no answer, 502 or 504 the job is sent again RetryDelayMs later."""
    for _ in range(2):
        status, _, _ = system.call("POST", 0, f"/pufi791/{name}", s.job(STEPS),
                                   s.budget_s(STEPS))
        attempts.append((name, status))
        if status not in (0, 502, 504):
            return
        time.sleep(s.RESEND_S)


def play(record, folder):
    system = s.System(record, folder, ["a"], ["a", "a"], relays=True)
    try:
        system.desire(["/pufi791/"])
        system.start()
        threading.Thread(target=system.call, args=(
            "POST", 0, f"/pufi791/{'f' * 16}", s.job(FILLER), s.budget_s(FILLER)),
            daemon=True).start()
        time.sleep(0.3)
        attempts, begun = [], time.monotonic()
        clients = [threading.Thread(target=send_again, args=(system, f"{n:016x}", attempts),
                                    daemon=True) for n in range(1, JOBS + 1)]
        for it in clients:
            it.start()
        # The second attempts have begun their second step by then.
        second_at = lambda: [it for it in record.runs if it[0].startswith("0") and
                             ".0.1." in it[0]]
        while not second_at() and time.monotonic() < begun + 20:
            time.sleep(0.005)
        if not second_at():
            raise s.CannotRun("no second attempt has reached its second step")
        time.sleep(0.1)
        if s.TROUBLE:
            for it in system.relays:
                record.note(f"the channel of an agent to the entry is reset ({it.reset()} open)")
                time.sleep(0.1)
        for it in clients:
            it.join(20.0)
        time.sleep(1.0)
        gone = [it for it in attempts if it[1] == 504]
        if not gone:
            raise s.CannotRun(f"no job was answered with 504: {attempts}")
        return record.overlaps()
    finally:
        system.end()


s.run_case(HERE, play)
