"""Runs a gateway fleet through planned work and prints the requests that were lost.

    CASSIASHED_BUILD=build python3 tests/harness/lost_requests.py --seed 1 --out /tmp/lost"""

import argparse
import collections
import pathlib
import sys

from gateway_fleet import Fleet


def main():
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--seed", type=int, default=1)
    options.add_argument("--seconds", type=float, default=30)
    options.add_argument("--share", type=float, default=1.0, help="share of a core, by SIGSTOP and SIGCONT")
    options.add_argument("--callers", type=int, default=6, help="of each gateway")
    options.add_argument("--out", type=pathlib.Path, required=True, help="directory of the record and the logs")
    given = options.parse_args()
    given.out.mkdir(parents=True, exist_ok=True)
    fleet = Fleet(given.out, given.seed, callers=given.callers, share=given.share)
    try:
        fleet.start()
        fleet.run(given.seconds)
        lost = fleet.lost()
        fleet.write(given.out / "record.jsonl")
    finally:
        fleet.close()
    print(f"seed {given.seed}: {len(fleet.requests)} requests, {len(lost)} lost,",
          dict(collections.Counter(f"{r['outcome']} {r.get('status', '')}" for r in fleet.requests)))
    for note in lost:
        print(note)
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(main())
