"""Runs the measures of section 1.6 of docs/design.md on local fleets.

Processes run on loopback: the one-way latencies of section 1.2 of docs/design.md
are not simulated. Prints a line for each measure and updates build/measure.json,
which keeps the earlier results of the measures that are not run.
"""

import argparse
import json
import os
import pathlib
import statistics
import sys
import threading
import time

import drain
import slopes
from fleet import ATLAS, INZIRA, Fleet, FleetError, call
from recorder import boot_us
from sampling import UsageSampler, Load, generator_numbers, metrics_of, thread_count

AT_MOST, AT_LEAST = "<=", ">="
# Key: comparison and target; None for values that have no target.
TARGETS = {
    "atlas_p50_over_ideal": (AT_MOST, 1.05),
    "atlas_p99_over_ideal": (AT_MOST, 1.5),
    "baseline_p99_over_ideal": None,
    "wasted_messages_per_task": (AT_MOST, 0.5),
    "inzira_drain_work_ratio": (AT_LEAST, 0.98),
    "urgent_on_time_ratio": (AT_LEAST, 0.999),
    "config_in_force_s": (AT_MOST, 2.0),
    "dispatch_over_direct": (AT_MOST, 1.03),
    "cpu_over_direct": (AT_MOST, 2.0),
    "agent_core_share": (AT_MOST, 0.006),
    "agent_control_kb_s": (AT_MOST, 5.0),
    "agent_rss_mb": (AT_MOST, 64.0),
}

# Wait before reading /metrics, whose counters are published every second.
METRICS_DELAY_S = 1.2
CONFIG_CHANGES = 8
CONFIG_TIMEOUT_S = 15.0
# Tasks a second, 28% of the slots of the fleet: spreads the fixed cost of the
# agents over as many tasks as on a lightly loaded fleet, without queueing.
CPU_RATE = 500
LOW_RATE = 40


def run_atlas(build, seed, placement):
    with Fleet(ATLAS, build, extra={"agent": {"placement": placement}}) as fleet:
        fleet.start()
        sampler = UsageSampler(fleet.agents)
        report = Load(fleet, "atlas", "--mix=atlas", "--load=0.7", "--duration=20",
                      f"--seed={seed}").report()
        time.sleep(METRICS_DELAY_S)
        counters = sampler.read()[2]
    return report, counters


def atlas(build, seed):
    report, counters = run_atlas(build, seed, "hybrid")
    results = max(1.0, sum(it["coordinator_results_total"] for it in counters))

    def per_task(counter):
        return sum(it.get(counter, 0) for it in counters) / results

    sent = {name for it in counters for name in it if name.startswith("link_sent_")}
    return {
        "atlas_p50_over_ideal": report["all"]["over_ideal"]["p50"],
        "atlas_p99_over_ideal": report["all"]["over_ideal"]["p99"],
        "wasted_messages_per_task": per_task("coordinator_other_messages_total"),
        **{"atlas_" + name.removeprefix("link_").removesuffix("_total") + "_per_task":
           per_task(name) for name in sorted(sent)},
        "atlas_urgent_p99_over_ideal": report["classes"]["urgent"]["over_ideal"]["p99"],
        "atlas_offered_load": report["offered_load"],
        "atlas_resolves": sum(it["coordinator_resolves_total"] for it in counters),
        **generator_numbers("atlas", report),
    }


def baseline(build, seed):
    report, _ = run_atlas(build, seed, "random")
    return {
        "baseline_p99_over_ideal": report["all"]["over_ideal"]["p99"],
        "baseline_p50_over_ideal": report["all"]["over_ideal"]["p50"],
        "baseline_offered_load": report["offered_load"],
        **generator_numbers("baseline", report),
    }


def set_zone(fleet, name, out):
    reply = call(fleet.entries[0].url + "/v1/Operator/ChangeConfig",
                 {"data_centre": {"name": name, "out": out}}, timeout=15.0)
    if not reply.get("accepted"):
        raise FleetError(f"change of {name} was not accepted: {reply}")


def inzira_drain(build, seed):
    """Measures the work of the remaining backend servers while a data centre is
    out: from the acceptance of "out" to the call that returns it. Only tasks of
    jobs with a complete answer count, so the ratio cannot exceed 1."""
    centre = INZIRA.data_centres[1]
    with Fleet(INZIRA, build) as fleet:
        fleet.start()
        load = Load(fleet, "drain", "--mix=inzira", "--load=1.0", "--duration=16",
                    f"--seed={seed}", f"--history={fleet.folder}/drain.jsonl")
        time.sleep(4.0)
        set_zone(fleet, centre, True)
        begin_us = boot_us()
        time.sleep(8.0)
        end_us = boot_us()
        set_zone(fleet, centre, False)
        report = load.report()
        remaining = [n for n, agent in enumerate(fleet.agents) if agent.data_centre != centre]
        paths = [fleet.folder / f"backend-{n}.starts" for n in remaining]
        jobs = drain.complete_jobs(load.history)
        work = drain.work_in_window(paths, begin_us, end_us, jobs)
        capacity = len(remaining) * INZIRA.slots * (end_us - begin_us) / 1e6
    return {
        "inzira_drain_work_ratio": work / capacity,
        "inzira_drain_window_s": (end_us - begin_us) / 1e6,
        "inzira_drain_remaining_slots": len(remaining) * INZIRA.slots,
        "inzira_drain_offered_load": report["offered_load"],
        **generator_numbers("inzira_drain", report),
    }


def urgent(build, seed):
    """Measures urgent jobs under overload. At 130% load, half of the jobs that are
    not wide are urgent; their work takes less than 65% of the slots, because the
    wide jobs are always bulk. Bulk jobs make up the rest, and their backlog grows
    during the run."""
    with Fleet(ATLAS, build) as fleet:
        fleet.start()
        report = Load(fleet, "urgent", "--mix=atlas", "--urgent-share=0.5", "--load=1.3",
                      "--duration=20", f"--seed={seed}").report()
    urgent_jobs = report["classes"]["urgent"]
    return {
        "urgent_on_time_ratio": urgent_jobs["on_time_ratio"],
        "urgent_run_urgent_jobs": urgent_jobs["jobs"],
        "urgent_run_urgent_complete": urgent_jobs["complete"],
        "urgent_run_urgent_p99_over_ideal": urgent_jobs["over_ideal"]["p99"],
        "urgent_run_bulk_p50_over_ideal": report["classes"]["bulk"]["over_ideal"]["p50"],
        "urgent_run_offered_load": report["offered_load"],
        **generator_numbers("urgent_run", report),
    }


def wait_for_offset(process, offset, begin, found):
    """Stores in `found` the seconds from `begin` until the config_offset of a
    process reaches `offset`, at most CONFIG_TIMEOUT_S."""
    while time.monotonic() < begin + CONFIG_TIMEOUT_S:
        if metrics_of(process)["config_offset"] >= offset:
            found[process.name] = time.monotonic() - begin
            return
        time.sleep(0.02)
    found[process.name] = CONFIG_TIMEOUT_S


def change_quota(fleet, number):
    """Makes a change at one entry; returns the seconds until it was accepted, and
    by process the seconds until its config_offset includes the change."""
    begin = time.monotonic()
    reply = call(fleet.entries[number % len(fleet.entries)].url + "/v1/Operator/ChangeConfig",
                 {"quota": {"team": "coaches", "starts_per_second": 100000 + number}}, timeout=15.0)
    accepted = time.monotonic() - begin
    if not reply.get("accepted"):
        raise FleetError(f"quota change was not accepted: {reply}")
    found = {}
    # config_offset is the next offset to read.
    threads = [threading.Thread(target=wait_for_offset,
                                args=(it, int(reply["version"]) + 1, begin, found))
               for it in [*fleet.entries, *fleet.agents]]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if len(found) != len(threads):
        raise FleetError("config_offset of a process could not be read")
    return accepted, found


def config(build, _seed):
    accepted, slowest = [], []
    with Fleet(INZIRA, build, entries=3) as fleet:
        fleet.start()
        for number in range(CONFIG_CHANGES):
            time.sleep(0.37)
            accepted_after, found = change_quota(fleet, number)
            accepted.append(accepted_after)
            slowest.append(max(found.values()))
    return {
        "config_in_force_s": max(slowest),
        "config_in_force_median_s": statistics.median(slowest),
        "config_accepted_max_s": max(accepted),
        "config_changes": len(slowest),
    }


def single_load(fleet, name, seed, rate, *flags):
    return Load(fleet, name, "--mix=single", "--run-ms=50", f"--rate={rate}", "--duration=8",
                f"--seed={seed}", *flags).report()


def direct(build, seed):
    with Fleet(ATLAS, build) as fleet:
        fleet.start()
        backends = "--direct=" + ",".join(it.url for it in fleet.backends)
        dispatch_low = single_load(fleet, "through-low", seed, LOW_RATE)
        direct_low = single_load(fleet, "direct-low", seed, LOW_RATE, backends)
        daemons = [*fleet.entries, *fleet.agents]
        daemon_usage = UsageSampler(daemons)
        dispatch_busy = single_load(fleet, "through-busy", seed, CPU_RATE)
        _, daemon_cpu, _ = daemon_usage.read()
        backend_cpu_before = sum(it.cpu_seconds() for it in fleet.backends)
        direct_busy = single_load(fleet, "direct-busy", seed, CPU_RATE, backends)
        backend_cpu = sum(it.cpu_seconds() for it in fleet.backends) - backend_cpu_before
    dispatch_us = 1e6 * sum(daemon_cpu) / max(1, dispatch_busy["tasks_complete"])
    direct_us = 1e6 * (direct_busy["cpu_s"] + backend_cpu) / max(1, direct_busy["tasks_complete"])
    dispatch_ms, direct_ms = dispatch_low["all"]["response_ms"], direct_low["all"]["response_ms"]
    return {
        "dispatch_over_direct": dispatch_ms["p50"] / direct_ms["p50"],
        "dispatch_p50_ms": dispatch_ms["p50"], "direct_p50_ms": direct_ms["p50"],
        "dispatch_p99_ms": dispatch_ms["p99"], "direct_p99_ms": direct_ms["p99"],
        "cpu_over_direct": dispatch_us / direct_us,
        "dispatch_cpu_us_per_task": dispatch_us, "direct_cpu_us_per_task": direct_us,
        "cpu_rate": CPU_RATE,
        **generator_numbers("dispatch", dispatch_low),
        **generator_numbers("cpu_run", dispatch_busy),
    }


def agent(build, _seed):
    """Measures an idle fleet. Bytes are counted by their senders, without TCP and
    nng framing; the bytes that an agent receives are its equal share of those
    that the entries send."""
    with Fleet(INZIRA, build) as fleet:
        fleet.start()
        time.sleep(2.0)
        agents, entries = UsageSampler(fleet.agents), UsageSampler(fleet.entries)
        time.sleep(12.0)
        elapsed, cpu, counters = agents.read()
        _, entry_cpu, entry_counters = entries.read()
        sent = max(it["link_bytes_total"] for it in counters) / elapsed / 1000
        received = sum(it["link_bytes_total"] for it in entry_counters) / elapsed / 1000
        return {
            "agent_core_share": max(cpu) / elapsed,
            "agent_control_kb_s": sent + received / len(fleet.agents),
            "agent_rss_mb": max(it.rss_mb() for it in fleet.agents),
            "agent_sent_kb_s": sent,
            "agent_received_kb_s": received / len(fleet.agents),
            "agent_threads": max(thread_count(it) for it in fleet.agents),
            "entry_core_share": max(entry_cpu) / elapsed,
            "entry_rss_mb": max(it.rss_mb() for it in fleet.entries),
            "entry_threads": max(thread_count(it) for it in fleet.entries),
        }


MEASURES = {"atlas": atlas, "baseline": baseline, "inzira-drain": inzira_drain, "urgent": urgent,
            "config": config, "direct": direct, "agent": agent}


def is_met(key, value):
    sign, target = TARGETS[key]
    return value <= target if sign == AT_MOST else value >= target


def format_line(key, value):
    if TARGETS[key] is None:
        return f"measure={key} value={value:.4g} target=reported met=yes"
    sign, target = TARGETS[key]
    met = "yes" if is_met(key, value) else "no"
    return f"measure={key} value={value:.4g} target={sign}{target:g} met={met}"


def write_results(path, results):
    kept = json.loads(path.read_text()) if path.exists() else {}
    kept.update(results)
    path.write_text(json.dumps(kept, indent=1) + "\n")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", metavar="NAME", help="default: all but slopes")
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--build", type=pathlib.Path, default="build")
    options = parser.parse_args()
    known = [*MEASURES, "slopes"]
    unknown = [name for name in options.names if name not in known]
    if unknown:
        parser.error(f"unknown: {', '.join(unknown)}; known: {', '.join(known)}")
    failed = False
    for name in options.names or MEASURES:
        begin = time.monotonic()
        load_average = os.getloadavg()[0]
        if name == "slopes":
            slopes.run(options.build, options.seed)
            continue
        try:
            results = MEASURES[name](options.build, options.seed)
        except (FleetError, OSError, KeyError) as error:
            failed = True
            print(f"measure={name} failed: {error!r}", flush=True)
            continue
        # A load average above the number of processors means that other work
        # disturbed the figures.
        results[f"{name.replace('-', '_')}_load_average_before"] = load_average
        write_results(options.build / "measure.json", results)
        for key, value in results.items():
            print(format_line(key, value) if key in TARGETS else f"  {key}={value:.6g}", flush=True)
        print(f"  {name}: seed={options.seed} seconds={time.monotonic() - begin:.0f}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
