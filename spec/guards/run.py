#!/usr/bin/env python3
"""Checks that each guard in the code is covered by a test.

Removes one guard of guards.json at a time in a scratch copy and runs its tests, one of which must
fail. That the code of each guard stands where guards.json says is checked by GuardsTest.

Usage: spec/guards/run.py [NAME ...]

Prints one line per guard: 'fails without it' if a test fails as expected, 'STILL PASSES' if the
tests do not cover the guard. Exits with 1 unless all fail as expected.
"""
import json
import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
GUARDS = json.loads(pathlib.Path(__file__).with_name("guards.json").read_text())


def run(guard):
    with tempfile.TemporaryDirectory() as scratch:
        copy = pathlib.Path(scratch) / "copy"
        shutil.copytree(ROOT, copy, ignore=shutil.ignore_patterns(".git"))
        source = copy / guard["file"]
        text = source.read_text()
        if text.count(guard["code"]) != 1:
            return "code of the guard not found once in " + guard["file"]
        source.write_text(text.replace(guard["code"], guard["replacement"]))
        done = subprocess.run(
            ["mvn", "-q", "-B", "-o", "test", "-Dspotless.check.skip", "-pl", "fennelstage-core,fennelstage-http,fennelstage-log,fennelstage-gateway,platform,fennelstage-objects,fennelstage-peer,fennelstage-standin,fennelstage-router,fennelstage-ctl",
             "-Dtest=" + ",".join(guard["tests"]), "-Dsurefire.failIfNoSpecifiedTests=false"],
            cwd=copy, capture_output=True, text=True)
        output = done.stdout + done.stderr
        if "COMPILATION ERROR" in output:
            return "does not compile without it"
        failed = sorted({l.split("Test.")[1].split(":")[0] for l in output.splitlines()
                         if l.startswith("[ERROR]   ") and "Test." in l})
        return "fails without it: " + ", ".join(failed) if done.returncode else "STILL PASSES"


def main():
    wanted = sys.argv[1:]
    covered = True
    for guard in GUARDS:
        if not wanted or guard["name"] in wanted:
            result = run(guard)
            covered = covered and result.startswith("fails without it")
            print(f"{guard['name']}: {result}", flush=True)
    return 0 if covered else 1


if __name__ == "__main__":
    sys.exit(main())
