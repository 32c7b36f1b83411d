"""Runs the experiments and prints one line for each guarantee tested."""

import argparse
import pathlib
import random
import sys
import time

from experiments import EXPERIMENTS, run

SHOWN_ERRORS = 10


def prove(name, build, seed, broken):
    begin = time.monotonic()
    rec, errors = run(name, build, seed, broken)
    held = "no" if errors else "yes"
    variant = f" variant={EXPERIMENTS[name][2]}" if broken else ""
    print(f"promise={name} held={held} runs={len(rec.jobs) + len(rec.outcomes)} "
          f"starts={rec.start_count} faults={rec.faults} seed={seed}{variant} "
          f"seconds={time.monotonic() - begin:.0f}", flush=True)
    for error in errors[:SHOWN_ERRORS]:
        print(f"  {error}", flush=True)
    if len(errors) > SHOWN_ERRORS:
        print(f"  and {len(errors) - SHOWN_ERRORS} more", flush=True)
    return not errors


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", metavar="NAME", help="default: all")
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(1 << 32))
    parser.add_argument("--build", type=pathlib.Path, default="build")
    parser.add_argument("--broken", action="store_true",
                        help="run each experiment against its broken variant of the daemon; "
                             "succeeds if each is detected")
    options = parser.parse_args()
    unknown = [name for name in options.names if name not in EXPERIMENTS]
    if unknown:
        parser.error(f"unknown: {', '.join(unknown)}; known: {', '.join(EXPERIMENTS)}")
    names = options.names or list(EXPERIMENTS)
    held = [prove(name, options.build, options.seed, options.broken) for name in names]
    good = not any(held) if options.broken else all(held)
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
