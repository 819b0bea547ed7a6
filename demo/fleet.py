"""Starts stand-ins and entries as processes on loopback and calls them. Used by the demo and by bench/footprint.py."""

import json
import os
import pathlib
import signal
import subprocess
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("PERIDOTWALK_BUILD", ROOT / "build"))
BINARY = str(BUILD / "peridotwalk")
STAND_IN = str(BUILD / "peridotwalk-stand-in")

# Short times, so that a killed entry is evicted while the demo runs.
TIMES = {
    "membership": {
        "heartbeat_ms": 100, "suspect_after_ms": 1000, "fence_log_ms": 3000, "evict_grace_ms": 8000,
        "fence_peers_ms": 20000, "evict_unheard_ms": 30000, "max_run_ms": 4000,
    },
    "tasks": {"lease_ms": 1500, "renew_ms": 400},
}


def free_ports(count):
    """Returns ports that were free at the time of the call. Another process may take one before it is used."""
    output = subprocess.run([STAND_IN, "ports", str(count)], check=True, capture_output=True, text=True)
    return [int(line) for line in output.stdout.split()]


def call(address, path, body=None, timeout=5, headers=None):
    """Sends a POST if there is a body, else a GET. Returns the answer's parsed JSON."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data, headers=headers or {})
    with urllib.request.urlopen(request, timeout=timeout) as answer:
        return json.load(answer)


class Fleet:
    """The processes of one run: the platform, entries, runners and workers. close() ends them."""

    def __init__(self, directory, zones, entries_per_zone, settings=None):
        self.directory = pathlib.Path(directory)
        self.processes = {}
        self.logs = []
        self.settings = settings or {}
        names = [f"entry-{i + 1}" for i in range(len(zones) * entries_per_zone)]
        ports = free_ports(1 + 3 * len(names))
        self.platform = f"127.0.0.1:{ports[0]}"
        self.zone_of = {name: zones[i // entries_per_zone] for i, name in enumerate(names)}
        self.addresses = {
            name: {kind: f"127.0.0.1:{ports[1 + 3 * i + j]}"
                   for j, kind in enumerate(("callers", "operators", "peers"))}
            for i, name in enumerate(names)
        }
        self.runners = {}
        self.start("platform", [STAND_IN, "platform", "--listen", self.platform])
        self.wait_for(self.platform, "/health")

    def start(self, name, command):
        log = open(self.directory / f"{name}.log", "ab")
        self.logs.append(log)
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def wait_for(self, address, path, seconds=15):
        """Waits until a GET of the path is answered with a status below 400."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                with urllib.request.urlopen(f"http://{address}{path}", timeout=1):
                    return
            except OSError:
                time.sleep(0.05)
        raise RuntimeError(f"{address}{path} doesn't answer")

    def start_runner(self, name, kind="runner"):
        address = f"127.0.0.1:{free_ports(1)[0]}"
        self.start(name, [STAND_IN, kind, "--listen", address, "--name", name])
        self.wait_for(address, "/health")
        self.runners[name] = address
        self.list_instance(name, address, "live")

    def list_instance(self, name, address, state):
        call(self.platform, "/control", {"instance": {"name": name, "address": address, "state": state}})

    def write_settings(self, name):
        path = self.directory / f"{name}.json"
        settings = {
            "name": name, "zone": self.zone_of[name], "rack": f"rack-{name}",
            "listen": self.addresses[name],
            "platform": {"log": self.platform, "instances": self.platform,
                         "log_poll_ms": 50, "list_poll_ms": 100, "timeout_ms": 1000},
            "peers": [a["peers"] for other, a in self.addresses.items() if other != name],
            **TIMES, **self.settings,
        }
        path.write_text(json.dumps(settings, indent=2))
        return path

    def start_entry(self, name):
        self.start(name, [BINARY, "entry", "--settings", str(self.write_settings(name))])

    def await_ready(self, name):
        self.wait_for(self.addresses[name]["callers"], "/ready")

    def operate(self, *arguments, entry=None):
        """Runs an operators' command on one entry or on all. Returns its exit code and output."""
        entries = [entry] if entry else list(self.addresses)
        command = [BINARY, *arguments]
        for name in entries:
            command += ["--entry", self.addresses[name]["operators"]]
        done = subprocess.run(command, capture_output=True, text=True)
        return done.returncode, done.stdout + done.stderr

    def status(self, name):
        return call(self.addresses[name]["operators"], "/v1/status")

    def journals(self):
        """Returns the list of runs of each runner and worker."""
        return {name: call(address, "/journal") for name, address in self.runners.items()}

    def kill(self, name, number=signal.SIGKILL):
        self.processes[name].send_signal(number)
        if number != signal.SIGSTOP and number != signal.SIGCONT:
            return self.processes[name].wait(timeout=40)
        return None

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        for log in self.logs:
            log.close()


def count_doubled(journals, prefix):
    """Returns the ids that start with the prefix, or with one of a tuple of prefixes, and ran more than once."""
    seen, doubled = set(), set()
    for journal in journals.values():
        for run in journal:
            if run["id"].startswith(prefix):
                (doubled if run["id"] in seen else seen).add(run["id"])
    return doubled


def count_overlapping(journals):
    """Returns the ids with overlapping runs. A repeatable task may run again, but only after its previous run."""
    last, overlapping = {}, set()
    runs = [run for journal in journals.values() for run in journal]
    for run in sorted(runs, key=lambda run: run["start_ms"]):
        if run["id"] in last and run["start_ms"] < last[run["id"]]:
            overlapping.add(run["id"])
        last[run["id"]] = run["end_ms"] if run["end_ms"] is not None else 1 << 62
    return overlapping


def most_at_once(journals, team):
    """Returns the highest number of a team's requests and tasks that ran at the same time, over all journals."""
    events = []
    for journal in journals.values():
        for run in journal:
            if run["team"] == team:
                events.append((run["start_ms"], 1))
                events.append((run["end_ms"] if run["end_ms"] is not None else 1 << 62, -1))
    running = most = 0
    for _, step in sorted(events, key=lambda event: (event[0], event[1])):
        running += step
        most = max(most, running)
    return most
