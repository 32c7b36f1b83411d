"""Measures the slopes that docs/CAPACITY.md is computed from: how CPU, bytes and
memory of entries and agents grow with agents, jobs, tasks and teams."""

import json
import subprocess
import time

from fleet import ATLAS, Fleet, Layout, call
from sampling import UsageSampler, Load, thread_count

FLEET_SIZES = (10, 20, 40)
ENTRY_COUNTS = (2, 4, 8)
IDLE_S = 10.0
SETTLE_S = 3.0
# Jobs of a single task a second. The last is 65 starts a second at each of 11
# agents: the peak of section 1.3 of docs/design.md, spread over its agents.
RATES = (100, 300, 715)
LOAD_S = 10
TEAMS = 140
BENCHMARKS = {
    "coltsfoottide_core_coordinator_benchmark": "PlaceOneTask/64",
    "coltsfoottide_core_worker_benchmark": "StartToAck/64|IdleTick/64",
}


def least_squares_fit(points):
    """Returns the least-squares fit (slope, intercept) of (x, y) points."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return slope, mean_y - slope * mean_x


def mean(values):
    return sum(values) / len(values)


def idle_fleet(build, agents, entries=2):
    """Returns for each role of an idle fleet the means over its processes of CPU
    share, KB and messages sent per second and memory in MB, and the largest number
    of threads."""
    layout = Layout(ATLAS.service, ATLAS.data_centres, workers=agents, slots=2)
    numbers = {}
    with Fleet(layout, build, entries=entries) as fleet:
        fleet.start()
        time.sleep(SETTLE_S)
        samplers = {"agent": UsageSampler(fleet.agents), "entry": UsageSampler(fleet.entries)}
        time.sleep(IDLE_S)
        for role, sampler in samplers.items():
            elapsed, cpu, counters = sampler.read()
            numbers[f"{role}_core_share"] = mean(cpu) / elapsed
            numbers[f"{role}_sent_kb_s"] = mean([it["link_bytes_total"] for it in counters]) \
                / elapsed / 1000
            numbers[f"{role}_sent_messages_s"] = mean(
                [it["link_messages_total"] for it in counters]) / elapsed
            numbers[f"{role}_rss_mb"] = mean([it.rss_mb() for it in sampler.processes])
            numbers[f"{role}_threads"] = max(thread_count(it) for it in sampler.processes)
    return numbers


def scaling_with_agents(build):
    """Returns each number of an idle fleet at each size, and its slope per 1000
    agents."""
    runs = {n: idle_fleet(build, n) for n in FLEET_SIZES}
    out = {}
    for name in runs[FLEET_SIZES[0]]:
        for n in FLEET_SIZES:
            out[f"idle_{name}_at_{n}"] = runs[n][name]
        slope, base = least_squares_fit([(n, runs[n][name]) for n in FLEET_SIZES])
        out[f"idle_{name}_per_1000_agents"] = 1000 * slope
        out[f"idle_{name}_base"] = base
    return out


def scaling_with_entries(build):
    """Returns the numbers of an idle fleet of 10 agents by the number of entries;
    an agent renews its start permission with at most 4 of them."""
    out = {}
    for entries in ENTRY_COUNTS:
        for name, value in idle_fleet(build, FLEET_SIZES[0], entries).items():
            out[f"idle_{name}_with_{entries}_entries"] = value
    return out


def run_load(fleet, seed, name, *flags):
    """Runs one load; returns its jobs and tasks, and the CPU seconds and bytes sent
    of each role."""
    roles = {"agent": UsageSampler(fleet.agents), "entry": UsageSampler(fleet.entries)}
    report = Load(fleet, name, f"--duration={LOAD_S}", f"--seed={seed}", *flags).report()
    time.sleep(1.2)  # /metrics is published every second
    numbers = {"jobs": report["jobs"], "tasks": report["tasks_complete"]}
    for role, sampler in roles.items():
        elapsed, cpu, counters = sampler.read()
        numbers[f"{role}_cpu_s"] = sum(cpu)
        numbers[f"{role}_bytes"] = sum(it["link_bytes_total"] for it in counters)
        numbers["elapsed"] = elapsed
    return numbers


def cost_under_load(build, seed):
    """Returns CPU and bytes per job of a single task by rate, and per job and per
    task of the Atlas mix, including the idle cost."""
    with Fleet(ATLAS, build) as fleet:
        fleet.start()
        runs = [run_load(fleet, seed, f"single-{rate}", "--mix=single", "--run-ms=50",
                       f"--rate={rate}") for rate in RATES]
        mixed = run_load(fleet, seed, "mixed", "--mix=atlas", "--load=0.7")
    out = {"mixed_jobs": mixed["jobs"], "mixed_tasks": mixed["tasks"]}
    for role in ("agent", "entry"):
        for what, name, unit in (("cpu_s", "cpu_us", 1e6), ("bytes", "bytes", 1)):
            key = f"{role}_{what}"
            slope, _ = least_squares_fit(
                [(run["tasks"] / run["elapsed"], run[key] / run["elapsed"]) for run in runs])
            out[f"{role}_{name}_slope_per_single_job"] = unit * slope
            for rate, run in zip(RATES, runs):
                out[f"{role}_{name}_per_job_at_{rate}"] = unit * run[key] / run["jobs"]
            out[f"mixed_{role}_{name}_per_job"] = unit * mixed[key] / mixed["jobs"]
            out[f"mixed_{role}_{name}_per_task"] = unit * mixed[key] / mixed["tasks"]
    return out


def growth_with_teams(build):
    """Returns the growth of memory and bytes sent after one quota change for each
    of TEAMS teams."""
    with Fleet(ATLAS, build) as fleet:
        fleet.start()
        time.sleep(SETTLE_S)
        before = {it.name: it.rss_mb() for it in [*fleet.entries, *fleet.agents]}
        sampler = UsageSampler(fleet.entries)
        for n in range(TEAMS):
            call(fleet.entries[0].url + "/v1/Operator/ChangeConfig",
                 {"quota": {"team": f"team-{n}", "starts_per_second": 1000}}, timeout=15.0)
        time.sleep(SETTLE_S)
        elapsed, cpu, counters = sampler.read()
        grown = lambda group: max(it.rss_mb() - before[it.name] for it in group)
        return {
            "teams": TEAMS, "teams_entry_rss_growth_mb": grown(fleet.entries),
            "teams_agent_rss_growth_mb": grown(fleet.agents),
            "teams_changes_s": elapsed,
            "teams_entry_cpu_share": max(cpu) / elapsed,
            "teams_entry_sent_kb": max(it["link_bytes_total"] for it in counters) / 1000,
        }


def core_benchmark_times(build):
    """Returns the CPU nanoseconds of the benchmarks of packages/core."""
    out = {}
    for program, names in BENCHMARKS.items():
        done = subprocess.run(
            [str(build / "packages/core" / program), f"--benchmark_filter={names}",
             "--benchmark_format=json", "--benchmark_min_time=0.2"],
            stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, check=True)
        for bench in json.loads(done.stdout)["benchmarks"]:
            out[f"core_{bench['name'].replace('/', '_')}_ns"] = bench["cpu_time"]
    return out


def run(build, seed):
    """Runs all slopes, prints them and writes build/slopes.json."""
    out = {"seed": seed}
    for part in (lambda: core_benchmark_times(build), lambda: scaling_with_agents(build),
                 lambda: scaling_with_entries(build), lambda: cost_under_load(build, seed),
                 lambda: growth_with_teams(build)):
        found = part()
        for name, value in found.items():
            print(f"slope={name} value={value:.6g}", flush=True)
        out.update(found)
    (build / "slopes.json").write_text(json.dumps(out, indent=1) + "\n")
