"""Counts crashes of backend servers and starts of tasks from the logs of agents.

Runs whose start may not have arrived are left out. The events `run` do not name the
step, so starts are counted for the job and the index of the task.
"""

import collections
import fileinput
import json
import sys

# A task may be started this many times after its third crash.
MAX_STARTS_AFTER_THIRD_CRASH = 2
LISTED_TASKS = 10


def read_events(lines):
    for line in lines:
        begin = line.find("{")
        if begin < 0 or '"event"' not in line:
            continue
        try:
            yield json.loads(line[begin:])
        except json.JSONDecodeError:
            continue


def main():
    crashes = collections.defaultdict(list)
    starts = collections.defaultdict(list)
    servers = 0
    for event in read_events(fileinput.input()):
        if event["event"] == "backend server crashed":
            servers += 1
            for run in event["runs"].split():
                name, ran_for = run.split(":")
                if ran_for.endswith("?"):
                    continue
                job, _, index, _ = name.split(".")
                crashes[job, index].append((event["time"], int(ran_for)))
        elif event["event"] == "run" and event["how"] == "started":
            starts[event["job"], event["task"]].append(event["time"])
    by_count = collections.Counter(len(it) for it in crashes.values())
    print(f"crashes of backend servers with runs: {servers}")
    print("tasks by number of crashes: " +
          ", ".join(f"{n} x {count}" for n, count in sorted(by_count.items())))
    broken = 0
    for (job, index), found in sorted(crashes.items(), key=lambda it: -len(it[1]))[:LISTED_TASKS]:
        found.sort()
        third = found[2][0] if len(found) > 2 else None
        after = sum(1 for it in starts[job, index] if third and it > third)
        broken += after > MAX_STARTS_AFTER_THIRD_CRASH
        print(f"{job}.{index}: {len(found)} crashes, {len(starts[job, index])} starts, "
              f"{after} after the third crash, ran for {[it[1] for it in found]} ms")
    if broken:
        sys.exit(1)


if __name__ == "__main__":
    main()
