"""Samples the metrics and CPU time of fleet processes, and runs load."""

import json
import pathlib
import subprocess
import time

from fleet import FleetError, call

LOAD_TIMEOUT_S = 150
# A median send delay above this means that the generator was the bottleneck,
# not the dispatcher.
MAX_GENERATOR_DELAY_MS = 5.0


def metrics_of(process):
    """Returns the metrics without labels of a daemon's /metrics, by name without
    the prefix."""
    values = {}
    for line in call(process.url + "/metrics", timeout=2.0).splitlines():
        words = line.split()
        if len(words) == 2 and not line.startswith("#") and "{" not in line:
            values[words[0].removeprefix("coltsfoottide_")] = float(words[1])
    return values


def thread_count(process):
    """Returns the number of threads of a process, from /proc."""
    return len(list(pathlib.Path(f"/proc/{process.pid}/task").iterdir()))


class UsageSampler:
    """CPU time and counter increments of processes since the object was created."""

    def __init__(self, processes):
        self.processes = list(processes)
        self._begin = time.monotonic()
        self._cpu = [it.cpu_seconds() for it in self.processes]
        self._metrics = [metrics_of(it) for it in self.processes]

    def read(self):
        """Returns the elapsed seconds, and lists by process of the CPU seconds and the
        counter increments."""
        elapsed = time.monotonic() - self._begin
        cpu = [it.cpu_seconds() - old for it, old in zip(self.processes, self._cpu)]
        counters = [
            {name: value - old.get(name, 0) for name, value in metrics_of(it).items()}
            for it, old in zip(self.processes, self._metrics)]
        return elapsed, cpu, counters


class Load:
    """One run of `coltsfoottide load` in the background."""

    def __init__(self, fleet, name, *flags):
        self.history = fleet.folder / f"{name}.jsonl"
        self._report = fleet.folder / f"{name}.json"
        self._child = subprocess.Popen(
            [str(fleet.build / "packages/console/coltsfoottide"), "load",
             f"--entry={fleet.entry_urls}", f"--report={self._report}", *flags],
            stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL, stderr=subprocess.PIPE, text=True)

    def report(self):
        """Waits for the end of the run and returns its report."""
        try:
            _, errors = self._child.communicate(timeout=LOAD_TIMEOUT_S)
        except subprocess.TimeoutExpired as error:
            self._child.kill()
            self._child.wait()
            raise FleetError("the load generator did not end") from error
        if self._child.returncode != 0:
            raise FleetError(f"load: exit status {self._child.returncode}: {errors[-500:]}")
        return json.loads(self._report.read_text())


def generator_numbers(prefix, report):
    """Returns the numbers that show whether the load generator was the bottleneck."""
    return {
        f"{prefix}_seed": report["seed"], f"{prefix}_jobs": report["jobs"],
        f"{prefix}_tasks": report["tasks_complete"],
        f"{prefix}_failed_jobs": report["jobs"] - report["by_state"].get("COMPLETE", 0),
        f"{prefix}_not_sent": report["not_sent"], f"{prefix}_unanswered": report["unanswered"],
        f"{prefix}_wrong_results": report["wrong_results"],
        f"{prefix}_send_delay_p50_ms": report["send_delay_ms"]["p50"],
        f"{prefix}_send_delay_p99_ms": report["send_delay_ms"]["p99"],
        f"{prefix}_generator_cpu_share": report["cpu_s"] / report["elapsed_s"],
    }
