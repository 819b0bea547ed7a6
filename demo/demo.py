"""Runs entries end to end with simulated platform, targets and callers, injects faults, and checks the guarantees
from the records of callers and targets."""

import json
import pathlib
import subprocess
import sys
import tempfile
import time

import fleet as fleets

KEYS = {"team-0": "key-of-team-0", "team-1": "key-of-team-1"}
LIMITS = {"team-0": 12, "team-1": 6}
ZONES = ["suva-1", "suva-2"]
ZONE_OUT_GRACE_MS = 2000  # Starts in a zone are violations if they come later than that after "zone out".


def step(text):
    print(f"demo: {text}", flush=True)


def grant_keys(fleet, directory):
    for team, key in KEYS.items():
        path = pathlib.Path(directory) / f"{team}.key"
        path.write_text(key)
        code, output = fleet.operate("key", "grant", f"{team}-till", team, "--key-file", str(path),
                                     "--asker", "demo", "--timeout-ms", "12000")
        if code != 0:
            raise RuntimeError(output)


def start_callers(fleet, duration_ms):
    command = [fleets.STAND_IN, "callers", "--quick", "price", "--order", "book",
               "--per-second", "150", "--duration-ms", str(duration_ms)]
    for address in fleet.addresses.values():
        command += ["--entry", address["callers"]]
    for zone in ZONES:
        command += ["--zone", zone]
    for key in KEYS.values():
        command += ["--key", key]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def uuid7(number):
    """Returns a UUIDv7 of the current time. The number distinguishes ids of the same millisecond."""
    digits = f"{int(time.time() * 1000):012x}"
    return f"{digits[:8]}-{digits[8:]}-7000-8000-{number:012x}"


def task_call(fleet, path, body=None, task_id=""):
    """Calls the first entry that answers."""
    for address in fleet.addresses.values():
        try:
            return fleets.call(address["callers"], path, body,
                               headers={"Peridot-Key": KEYS["team-0"], "Peridot-Request-Id": task_id})
        except OSError:
            continue
    raise RuntimeError("no entry answers")


def submit_tasks(fleet, count):
    ids = [f"{ZONES[i % 2]}/{uuid7(i)}" for i in range(count)]
    for number, task_id in enumerate(ids):
        body = {"service": "render", "payload": json.dumps({"ms": 1500 + 300 * number}), "cpus": 2,
                "repeatable": True, "urgent": number == count - 1}
        task_call(fleet, "/v1/tasks", body, task_id)
    step(f"{count} long tasks are submitted")
    return ids


def await_tasks(fleet, ids, seconds=25):
    """Waits until all tasks are done. Returns the ids of those that aren't when the time is over."""
    until = time.monotonic() + seconds
    unfinished = list(ids)
    while unfinished and time.monotonic() < until:
        unfinished = [i for i in unfinished if not task_call(fleet, f"/v1/tasks/{i}")["note"].startswith("done")]
        time.sleep(0.2)
    step(f"{len(ids) - len(unfinished)} of {len(ids)} long tasks are done")
    return unfinished


def operate(fleet, *arguments):
    code, output = fleet.operate(*arguments, "--asker", "demo")
    step(f"{' '.join(arguments)}: exit {code}: {output.strip().splitlines()[-1]}")
    return code


def run(directory):
    fleet = fleets.Fleet(directory, ZONES, 2)
    try:
        for runner in ("r1", "r2", "r3", "r4"):
            fleet.start_runner(runner)
        for worker in ("w1", "w2"):
            fleet.start_runner(worker, "worker")
        for name in fleet.addresses:
            fleet.start_entry(name)
        for name in fleet.addresses:
            fleet.await_ready(name)
        step("4 entries in 2 zones are ready")
        code, output = fleet.operate("rules", "publish", str(fleets.ROOT / "demo" / "rules.txt"))
        step(f"rules publish: exit {code}: {output.strip()}")
        grant_keys(fleet, directory)
        callers = start_callers(fleet, 14_000)
        tasks = submit_tasks(fleet, 10)
        time.sleep(2.5)
        step("entry-2 is killed")
        fleet.kill("entry-2")
        fleet.list_instance("entry-2", "", "gone")
        time.sleep(2)
        step("entry-2 is replaced")
        fleet.list_instance("entry-2", "", "live")
        fleet.start_entry("entry-2")
        time.sleep(1.5)
        out_code = operate(fleet, "zone", "out", "suva-2")
        out_at = time.monotonic_ns() // 1_000_000
        time.sleep(3.5)
        in_at = time.monotonic_ns() // 1_000_000
        in_code = operate(fleet, "zone", "in", "suva-2")
        time.sleep(1)
        step("entry-3 is stopped as planned")
        stop_code = fleet.kill("entry-3", 15)
        output, _ = callers.communicate(timeout=30)
        unfinished = await_tasks(fleet, tasks)
        return check_results(json.loads(output), fleet.journals(), out_at, in_at, stop_code, unfinished)
    finally:
        fleet.close()


def check_results(callers, journals, out_at, in_at, stop_code, unfinished):
    orders = tuple(f"{zone}/" for zone in ZONES)
    runners = {name: journal for name, journal in journals.items() if name.startswith("r")}
    workers = {name: journal for name, journal in journals.items() if name.startswith("w")}
    doubled = fleets.count_doubled(runners, orders)
    overlapping = fleets.count_overlapping(workers)
    ran = {run["id"] for journal in journals.values() for run in journal}
    false_not_run = [i for i in callers["not_run_ids"] if i.startswith(orders) and i in ran]
    over_limit = sum(max(0, fleets.most_at_once(journals, team) - limit) for team, limit in LIMITS.items())
    started_in_zone_out = [run for name in ("r2", "r4", "w2") for run in journals[name]
                           if out_at + ZONE_OUT_GRACE_MS < run["start_ms"] < in_at]
    answered_but_not_run = [i for i in callers["answered_ids"] if i not in ran]
    print(f"demo: answered={callers['answered']} refused_not_run={callers['refused_not_run']} "
          f"unknown={callers['unknown']} lost={callers['lost']} doubled={len(doubled)} "
          f"over_limit={over_limit}")
    print(f"demo: mismatched={callers['mismatched']} false_not_run={len(false_not_run)} "
          f"started_in_zone_out={len(started_in_zone_out)} "
          f"answered_but_not_run={len(answered_but_not_run)} planned_stop_exit={stop_code} "
          f"unfinished_tasks={len(unfinished)} overlapping_runs={len(overlapping)}")
    violations = (callers["lost"] + len(doubled) + over_limit + callers["mismatched"] + len(false_not_run)
                  + len(started_in_zone_out) + len(answered_but_not_run) + stop_code + len(unfinished)
                  + len(overlapping))
    return 0 if violations == 0 and callers["answered"] > 0 else 1


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as scratch:
        sys.exit(run(scratch))
