"""Measures processor time and memory of real entry processes by the number of instance rules."""

import pathlib
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "demo"))
import fleet as fleets

TICKS_PER_SECOND = 100  # Unit of processor times in /proc/PID/stat.
IDLE_SECONDS = 8


def usage(pid):
    """Returns processor seconds and resident KB of a process."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    resident = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    # Fields 11 and 12 after the program's name are the processor times in user and kernel mode.
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND, int(resident.split()[1])


def write_rules(path, instances):
    lines = ["zone a region=r # bench", "pool p kind=runner # bench"]
    lines += [f"instance i{n} zone=a rack=k{n // 4} pool=p slots=8 # bench, delivery 7" for n in range(instances)]
    path.write_text("\n".join(lines) + "\n")


def measure(instances):
    with tempfile.TemporaryDirectory() as directory:
        fleet = fleets.Fleet(directory, ["a"], 3)
        try:
            for name in fleet.addresses:
                fleet.start_entry(name)
            for name in fleet.addresses:
                fleet.await_ready(name)
            rules = pathlib.Path(directory) / "rules.txt"
            write_rules(rules, instances)
            code, output = fleet.operate("rules", "publish", str(rules))
            if code != 0:
                raise RuntimeError(output)
            time.sleep(1)
            pid = fleet.processes["entry-1"].pid
            before, _ = usage(pid)
            time.sleep(IDLE_SECONDS)
            after, resident = usage(pid)
            print(f"{instances} instances: {100 * (after - before) / IDLE_SECONDS:.2f} % of a core idle, "
                  f"{resident / 1024:.1f} MB resident", flush=True)
        finally:
            fleet.close()


if __name__ == "__main__":
    for count in (100, 2000, 6000, 15000):
        measure(count)
