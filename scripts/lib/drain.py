"""Computes the work done by backend servers in a time window from their start records."""

import json


def complete_jobs(history):
    """Returns the numbers of the jobs answered COMPLETE in a load history."""
    jobs = set()
    for line in history.read_text().splitlines():
        event = json.loads(line)
        if event["event"] == "answer" and event["state"] == "COMPLETE":
            jobs.add(event["job"])
    return jobs


def task_spans(path):
    """Yields (job, begin, end) in microseconds for each successful task of one record."""
    begun = {}
    for line in path.read_text().splitlines():
        event = json.loads(line)
        if event["event"] == "start":
            # The load generator makes echoes of the form SEED-JOB-TASK.
            begun[event["number"]] = (int(event["echo"].split("-")[1]), event["at_us"])
        elif event["event"] == "end" and event["status"] == 200 and event["number"] in begun:
            job, at_us = begun.pop(event["number"])
            yield job, at_us, event["at_us"]


def work_in_window(paths, begin_us, end_us, jobs):
    """Returns the slot-seconds that tasks of `jobs` took within the window."""
    work_us = 0
    for path in paths:
        for job, start_us, stop_us in task_spans(path):
            if job in jobs:
                work_us += max(0, min(stop_us, end_us) - max(start_us, begin_us))
    return work_us / 1e6
