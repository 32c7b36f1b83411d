"""Checks a recorded history of calls and starts against the guarantees.

A history has two parts and nothing else: the calls of the clients with their
answers, and the starts that the stand-in backend servers recorded. Each task's
payload carries a unique echo "JOB-INDEX", which its result repeats; starts are
matched to jobs by that echo, not by anything that the system under test reports.
"""

import dataclasses


@dataclasses.dataclass
class JobRecord:
    """One job as its client saw it, over all calls with its ticket."""

    job: str  # Unique name, the prefix of the echoes.
    tasks: int
    answers: list = dataclasses.field(default_factory=list)  # The decoded answers.
    lost: bool = False  # No entry gave a final answer.
    idempotent: bool = False


@dataclasses.dataclass
class Start:
    """One start as a stand-in backend server recorded it."""

    echo: str
    start_id: str
    time_us: int
    backend: str
    data_centre: str


def starts_by_echo(starts):
    grouped = {}
    for start in starts:
        grouped.setdefault(start.echo, []).append(start)
    return grouped


def check_starts_at_most_once(jobs, starts):
    """Each task was started at most once over all backend servers."""
    errors = []
    for echo, group in starts_by_echo(starts).items():
        if len(group) > 1:
            where = ", ".join(f"{s.backend}@{s.time_us}" for s in group)
            errors.append(f"task {echo} started {len(group)} times: {where}")
    return errors


def check_complete_or_failed(jobs, starts):
    """Every job has an answer, and every answer has all results or none."""
    errors = []
    for record in jobs:
        if record.lost or not record.answers:
            errors.append(f"job {record.job} has no answer")
        for answer in record.answers:
            results = answer.get("results", [])
            state = answer.get("state")
            indices = sorted(result.get("index", 0) for result in results)
            if state == "COMPLETE" and indices != list(range(record.tasks)):
                errors.append(f"job {record.job} complete with results {indices} of {record.tasks}")
            elif state == "FAILED" and results:
                errors.append(f"job {record.job} failed with {len(results)} results")
            elif state not in ("COMPLETE", "FAILED"):
                errors.append(f"job {record.job} answered in state {state}")
        errors += _check_agreeing_answers(record)
    return errors


def _check_agreeing_answers(record):
    """If one answer of a job is complete, the others are complete or
    MAY_HAVE_RUN: the answer may have expired, or its coordinator may be lost."""
    states = {answer.get("state") for answer in record.answers}
    verdicts = {a["error"]["verdict"] for a in record.answers if a.get("state") == "FAILED"}
    if states == {"COMPLETE", "FAILED"} and verdicts != {"MAY_HAVE_RUN"}:
        return [f"job {record.job} was answered both complete and failed: {sorted(verdicts)}"]
    return []


def check_own_answer(jobs, starts):
    """Each result of a complete answer is the echo of the caller's task."""
    errors = []
    for record in jobs:
        for answer in record.answers:
            for result in answer.get("results", []):
                expected = f"{record.job}-{result.get('index', 0)}"
                if result.get("echo") != expected:
                    errors.append(f"job {record.job} got {result.get('echo')} for {expected}")
    return errors


def check_not_run_is_true(jobs, starts):
    """A job answered NOT_RUN has no start, before or after the answer."""
    started = {echo.rsplit("-", 1)[0] for echo in starts_by_echo(starts)}
    errors = []
    for record in jobs:
        for answer in record.answers:
            verdict = answer.get("error", {}).get("verdict")
            if answer.get("state") == "FAILED" and verdict not in (
                    "NOT_RUN", "MAY_HAVE_RUN", "RAN"):
                errors.append(f"job {record.job} failed with verdict {verdict}")
            if verdict == "NOT_RUN" and record.job in started:
                errors.append(f"job {record.job} answered NOT_RUN but started")
    return errors


def check_complete_was_run(jobs, starts):
    """A complete job has a start for each of its tasks."""
    by_echo = starts_by_echo(starts)
    errors = []
    for record in jobs:
        if any(answer.get("state") == "COMPLETE" for answer in record.answers):
            missing = [i for i in range(record.tasks) if f"{record.job}-{i}" not in by_echo]
            if missing:
                errors.append(f"job {record.job} complete without starts of {missing}")
    return errors


def check_no_starts_between(starts, where, begin_us, end_us):
    """No start that satisfies `where` lies within a time span."""
    return [
        f"task {s.echo} started at {s.backend} ({s.data_centre}) "
        f"{(s.time_us - begin_us) / 1e6:.3f} s into the forbidden span"
        for s in starts
        if where(s) and begin_us <= s.time_us <= end_us
    ]


ALWAYS = (
    check_starts_at_most_once,
    check_complete_or_failed,
    check_own_answer,
    check_not_run_is_true,
    check_complete_was_run,
)


def check_always(jobs, starts):
    """Runs the checks that must hold for every history; returns the errors."""
    return [error for check in ALWAYS for error in check(jobs, starts)]
