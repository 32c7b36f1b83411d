"""The demonstration that scripts/demo runs after the build: a local fleet, a
job, and its repetition with the same ticket."""

import base64
import json
import pathlib
import shlex
import subprocess
import sys

from fleet import INZIRA, Fleet, FleetError

JOB = pathlib.Path("packages/console/examples/bulletin.json")
REPEATED_FIELDS = ("state", "results", "elapsed_us", "starts")


def heading(text):
    print(f"\n== {text}", flush=True)


def run(command, show=True):
    """Prints and runs a command; returns its output, which `show` prints too."""
    print("$", shlex.join(str(word) for word in command), flush=True)
    result = subprocess.run([str(word) for word in command], stdout=subprocess.PIPE, text=True,
                            check=False)
    if show:
        print(result.stdout, end="", flush=True)
    if result.returncode != 0:
        raise FleetError(f"exit status {result.returncode}")
    return result.stdout


def submit(console, entry, ticket=None):
    """Submits the job through one entry, with a new ticket unless one is given;
    returns the ticket and the answer."""
    command = [console, "submit", JOB, "--wait", "--json", f"--entry={entry.url}"]
    if ticket:
        command.append(f"--ticket={ticket}")
    lines = [json.loads(line) for line in run(command, show=False).splitlines()]
    return lines[0]["ticket"], lines[1]


def show_answer(ticket, answer):
    print("ticket:", ticket)
    print(f"state: {answer['state']}, {int(answer['elapsed_us']) / 1000:.1f} ms,"
          f" {answer['starts']} starts")
    for result in answer["results"]:
        output = base64.b64decode(result["output"]).decode()
        print(f"  task {result['index']:2}: {output}")


def submit_again(console, fleet, ticket, answer):
    repeated_ticket, repeated = submit(console, fleet.entries[1], ticket)
    show_answer(repeated_ticket, repeated)
    if any(answer[field] != repeated[field] for field in REPEATED_FIELDS):
        raise FleetError("the repeated submission got a different answer")
    print("The answer is the same; no task has started again.")
    starts = sum(fleet.control(backend, {})["starts"] for backend in fleet.backends)
    if starts != len(answer["results"]):
        raise FleetError(f"{starts} starts at the backend servers for one job")


def curl(url, body):
    return json.loads(run(["curl", "-sS", "-X", "POST", url, "-H", "Content-Type: application/json",
                           "-d", json.dumps(body)]))


def submit_with_curl(entry):
    ticket = curl(entry.url + "/v1/Caller/ObtainTickets", {"count": 1})["tickets"][0]
    print()
    payload = base64.b64encode(b'{"run_ms":60,"echo":"Muraho"}').decode()
    job = {"team": "radio", "service": INZIRA.service, "job_class": "URGENT", "deadline_ms": 2000,
           "tasks": [{"kind": "translate", "payload": payload}]}
    answer = curl(entry.url + "/v1/Caller/Submit", {"ticket": ticket, "job": job, "wait": True})
    print()
    if answer["answer"]["state"] != "COMPLETE":
        raise FleetError("the job submitted with curl is not complete")


def demonstrate(build):
    console = build / "packages/console/coltsfoottide"
    with Fleet(INZIRA, build) as fleet:
        heading("Start: the log, 2 entries, 11 agents, 11 backend servers")
        fleet.start()
        run([console, "workers", f"--entry={fleet.entry_urls}"])
        heading("Submit a job of 12 dependent tasks")
        ticket, answer = submit(console, fleet.entries[0])
        show_answer(ticket, answer)
        heading("Submit the same ticket again through the other entry")
        submit_again(console, fleet, ticket, answer)
        heading("Submit with curl")
        submit_with_curl(fleet.entries[0])
        heading("Response times at the first entry")
        run([console, "metrics", f"--entry={fleet.entries[0].url}"])
        heading("Stop: agents, entries, backend servers, the log")
        statuses = fleet.stop()
        failed = {name: status for name, status in statuses.items() if status != 0}
        if failed:
            raise FleetError(f"exit status: {failed}")
        print(f"{len(statuses)} processes ended with status 0.")


def main():
    try:
        demonstrate(pathlib.Path(sys.argv[1]))
    except FleetError as error:
        print(f"demo: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
