"""A small deployment on loopback: real nodes as processes, and stand-ins of the store, the runners and the consumers.

Nodes are started with the command of the deploy file and with settings rendered from its template. Each node has a
loopback address of its own, because the template gives all nodes the same metrics port.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))
sys.dont_write_bytecode = True

from emulator.store import Store, split_records  # noqa: E402
from emulator.web import read_message, serve  # noqa: E402
from emulator.workers import Worker  # noqa: E402

KEPT, BROKEN, NOT_RUN = 0, 10, 2  # Exit codes of a case. Its run.sh turns 10 into 1, which Python uses for crashes.
METRICS_PORT = 9464
KEY = "key-1"
HOST = "jobs.example"
# Bounds of vav-brno, in ms.
BOUNDS = {"contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6, "configApplyMs": 2000, "cancel_ms": 3000,
          "visible_ms": 3000, "stopMs": 200, "finish_s": 14, "holdMaxMs": 10000, "quotaOverage": 0.1, "leaseMs": 3000,
          "fencing": False, "checkpointS": 0.5, "restoreMs": 250, "status_s": 120}
PLATFORM = {"form": "log", "writesPerS": 800, "readsPerS": 2000, "parts": 16, "recordBytes": 262144,
            "requestBytes": 2097152, "keep_s": 300, "partitionMb": 200, "ttlMinMs": 1000}


class Record:
    """Writes record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self(text)
        print(text, flush=True)


def render(template, fields):
    """Fills in the placeholders {{a}}, {{a.b}}, {{a.0}} and {{a|json}} of a settings template."""

    def fill(match):
        path, _, form = match.group(1).partition("|")
        value = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([^{}]+)\}\}", fill, template)


def free_port(ip):
    """Returns a free port below the range of outgoing connections."""
    for port in random.SystemRandom().sample(range(15_000, 30_000), 200):
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((ip, port))
            return port
    raise RuntimeError("no port is free")


def free_addresses(count):
    """Returns loopback addresses on which the metrics port is free."""
    base = random.SystemRandom().randrange(2, 250)
    found = []
    for last in range(2, 250):
        ip = f"127.91.{base}.{last}"
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((ip, METRICS_PORT))
            found.append(ip)
        if len(found) == count:
            return found
    raise RuntimeError("no loopback address is free")


async def exchange(ip, port, method, target, body=None, headers=None, timeout=3.0):
    """Sends one request on a new channel. Returns status and body. Raises OSError or EOFError without an answer."""

    async def run():
        reader, writer = await asyncio.open_connection(ip, port, limit=4 * 1024 * 1024)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(data)}", "Content-Type: application/json"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            line, _, answer = await read_message(reader)
            return int(line.split(" ")[1]), answer
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), timeout)
    except asyncio.TimeoutError as error:
        raise OSError(f"no answer to {method} {target} in {timeout} s") from error


class PlatformStore(Store):
    """The emulator's store, with the limits of a record and of a call that PROTOCOL.md names, and the reassignment
    of all partitions at once."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.refused_appends = 0
        self.parts = {}  # Producer to the partition of its last append.

    def append(self, request):
        self.parts[request.query.get("producer")] = int(request.query["part"])
        records = split_records(request.body)
        largest = max((len(entry) for entry in records), default=0)
        if largest > PLATFORM["recordBytes"] or sum(len(entry) for entry in records) > PLATFORM["requestBytes"]:
            self.refused_appends += 1
            if self.refused_appends <= 3 or self.refused_appends % 50 == 0:
                self.record(f"store: append {self.refused_appends} refused with 400: largest record {largest} bytes, "
                            f"{len(request.body)} in all; producer {request.query.get('producer')} "
                            f"seq {request.query.get('seq')}")
            return 400, {}
        return super().append(request)

    def deal_anew(self):
        """Reassigns all partitions at once, without any request: each goes to the next member."""
        for name, group in self.groups.items():
            group.expire()
            members = sorted(group.members)
            group.generation += 1
            group.target = {part: members[(members.index(owner) + 1) % len(members)]
                            for part, owner in group.target.items()}
            group.owner = dict(group.target)
            self.record(f"store: all partitions of {name} are reassigned, generation {group.generation}")


class Runner(Worker):
    """The emulator's worker, which writes what it starts and ends into the record. `duration_ms` and `how_ends` may
    be set per task; by default a task takes its estimate and ends done."""

    heartbeat_s = 1.5

    def __init__(self, deployment, number, service, capacity, at_ms=0):
        super().__init__(deployment.store, None, number, number, f"zone-{'abc'[number % 3]}", service)
        self.deployment, self.record = deployment, deployment.record
        self.id = f"i-{random.Random(number).getrandbits(40):010x}"
        self.capacity = dict(capacity)
        self.started -= at_ms / 1000  # The clock of a runner that has been up for a while.
        self.sequence = 0
        self.is_heard = True  # False: its reports don't reach the store.

    async def start(self, address_of=None):
        self.server, self.port = await serve(self.handle)
        self.address = await address_of(self.port) if address_of else f"127.0.0.1:{self.port}"
        self.tasks = [asyncio.ensure_future(self.send_heartbeats()), asyncio.ensure_future(self.end_due_runs())]

    def entry(self, sequence):
        return {"service": self.service, "address": self.address, "zone": self.zone, "state": "ready", "version": "v1",
                "slots": 8, "seq": sequence, "born": self.started_ms, "capacity": self.capacity,
                "labels": ["a", f"r1-{self.id}"]}

    async def send_heartbeats(self):
        while self.is_up:
            self.sequence += 1
            if self.is_heard:
                self.store.put("keyed.servers", self.id, self.entry(self.sequence))
            await asyncio.sleep(self.heartbeat_s)

    async def end_due_runs(self):
        while self.is_up:
            await asyncio.sleep(0.01)
            now = self.clock_ms()
            for task, run in list(self.running.items()):
                if now > self.lease_until_ms:
                    self.end_run(task, "lapsed")
                elif now >= run["ends"]:
                    self.end_run(task, run["how"])

    def end_run(self, task, how):
        run = self.running.pop(task)
        self.highest_ended_run[task] = max(self.highest_ended_run.get(task, 0), run["run"])
        self.last_row += 1
        self.finished.append([self.last_row, task, run["run"], how, self.saved(task, run)])
        self.deployment.on_end(self, task, run["run"], how)
        self.changed.set()
        self.changed = asyncio.Event()

    def start_run(self, body):
        task, number = body["task"], body["run"]
        run = self.running.get(task)
        if run and run["run"] == number:
            return 200, {"clockMs": self.clock_ms()}
        if number <= self.highest_ended_run.get(task, 0):
            return 409, {"clockMs": self.clock_ms(), "reason": "old"}
        if body["deadlineMs"] < self.clock_ms():
            return 409, {"clockMs": self.clock_ms(), "reason": "late"}
        duration_ms, how, need = self.deployment.plan(task)
        now = self.clock_ms()
        self.running[task] = {"run": number, "begins": now, "ends": now + duration_ms, "need": need, "how": how}
        self.deployment.on_start(self, task, number)
        return 200, {"clockMs": self.clock_ms()}

    def saved(self, task, run):
        """The checkpoint of a run: a new one with each checkpointS of work. Empty: none yet, or the step has none."""
        job, _, step, _ = task.split(".")
        if not self.deployment.specs[job]["steps"][int(step)].get("checkpointing"):
            return ""
        number = int((self.clock_ms() - run["begins"]) / (1000 * BOUNDS["checkpointS"]))
        return f"{number:08x}{zlib.crc32(task.encode()):08x}" if number > 0 else ""

    async def hold(self, body):
        cursor = body.get("ackCursor", 0)
        for row in self.finished:
            if row[0] <= cursor:
                self.deployment.on_noted(self, row)
        self.finished = [row for row in self.finished if row[0] > cursor]
        if body.get("waitMs", 0) and not self.finished:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), min(body["waitMs"], 2000) / 1000)
        running = [[task, run["run"], self.saved(task, run), 100, 0] for task, run in self.running.items()]
        return 200, {"clockMs": self.clock_ms(), "born": self.started_ms, "running": running,
                     "finished": self.finished[:500]}

    def stop(self):
        self.is_up = False
        self.server.close()


class Node:
    def __init__(self, number, ip, store_port, folder):
        self.name, self.ip, self.folder = f"front-zone-{'abc'[number % 3]}-{number}", ip, folder
        self.front, self.ready, self.peers = (free_port(ip) for _ in range(3))
        zone = f"zone-{'abc'[number % 3]}"
        self.fields = {
            "node": self.name, "role": "node", "class": "front", "ip": ip, "zone": zone, "region": "zone",
            "portRange": [self.peers, self.peers + 15],
            "listen": {"front": f"{ip}:{self.front}", "ready": f"{ip}:{self.ready}"},
            "limits": {"cpuShare": 1.0, "cores": 1, "memoryMb": 260, "maxFds": 4100},
            "bounds": BOUNDS, "platform": {**PLATFORM, "address": f"127.0.0.1:{store_port}"},
            "cloud": {"address": ""}, "advice": ""}
        self.process = None

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["node"]
        file = self.folder / f"{self.name}.json"
        file.write_text(render((ROOT / role["template"]).read_text(), self.fields))
        words = [str(file) if word == "/etc/peridotwalk/boot.toml" else word for word in role["run"].split(" ")]
        log = open(self.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(words, cwd=ROOT, stdout=log, stderr=log,
                                        env={"PATH": os.environ["PATH"], "HOME": str(self.folder)})

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        with contextlib.suppress(OSError, EOFError, asyncio.IncompleteReadError):
            return (await exchange(self.ip, self.ready, "GET", "/peridotwalk/readiness", timeout=1))[0] == 200
        return False


class Deployment:
    """Runs a scenario. Subclasses define run() and may override plan(), on_start() and on_end()."""

    nodes_count = 3
    runners_per_service = 2
    services = ["alpha"]
    capacity = {"cpu": 64000, "memMb": 262144}
    stagger_s = 0.1  # All machines start within 0.3 s of each other.
    tenant = {"name": "team", "apiKeys": [KEY], "weight": 1}

    def __init__(self, folder, trouble):
        self.folder, self.trouble = pathlib.Path(folder), trouble
        self.record = Record(folder)
        self.store = PlatformStore(self.record)
        self.nodes, self.runners = [], []
        self.starts, self.ends = [], []  # (time, runner, task, run) and (time, runner, task, run, how).
        self.noted = []  # Acknowledged ends: (time, runner, task, run, how).
        self.running = {}  # Task to the set of (runner, run).
        self.specs = {}  # Submission to its body.
        self.accepted = {}  # Submission to the time of its 2xx.
        self.violations = []
        self.version = 0

    # What a runner does with a task: duration in ms, how it ends, what it needs.
    def plan(self, task):
        job, _, step, _ = task.split(".")
        spec = self.specs[job]["steps"][int(step)]
        return spec.get("estimateMs", 500), "done", {"cpu": spec.get("cpu", 0), "memMb": spec.get("memMb", 0)}

    def on_start(self, runner, task, run):
        self.record(f"run: {task} run {run} begins on {runner.id} ({runner.service})")
        self.starts.append((self.record.now(), runner.id, task, run))
        self.running.setdefault(task, set()).add((runner.id, run))
        if len(self.running[task]) > 1:
            self.broken(f"TWICE {task} runs twice at the same time: {sorted(self.running[task])}")

    def on_end(self, runner, task, run, how):
        self.record(f"run: {task} run {run} ends {how} on {runner.id}")
        self.ends.append((self.record.now(), runner.id, task, run, how))
        self.running.get(task, set()).discard((runner.id, run))

    def on_noted(self, runner, row):
        self.noted.append((self.record.now(), runner.id, row[1], row[2], row[3]))

    def broken(self, text):
        self.violations.append(text)
        self.record.say(f"BROKEN {text}")

    def put_manifest(self, routes, services=None, tenants=None):
        self.version += 3
        manifest = {"version": self.version, "routes": routes, "tenants": tenants or [self.tenant],
                    "services": [{"name": name} for name in services or self.services], "limits": {}}
        self.store.put("keyed.op", "config", manifest)
        self.record(f"operator: manifest {self.version} is acknowledged: {json.dumps(manifest)[:600]}")
        return self.record.now()

    def route(self, name, service, **more):
        return {"name": name, "host": HOST, "pathPrefix": f"/{name}/", "service": service, "priority": 0,
                "maxAttempts": 2, "stretch": 1.6, "targetDurationMs": 600, **more}

    async def call(self, node, method, path, body=None, timeout=3.0):
        """One call of a consumer. Returns the status, 0 for no answer, and the body."""
        headers = {"Host": HOST, "Authorization": f"Bearer {KEY}", "X-Deadline-Ms": str(int(timeout * 1000))}
        sent = self.record.now()
        try:
            status, answer = await exchange(node.ip, node.front, method, path, body, headers, timeout + 0.3)
        except (OSError, EOFError, asyncio.IncompleteReadError, ValueError):
            status, answer = 0, b""
        self.record(f"consumer: {method} {path} to {node.name}, sent at {sent:.3f}: {status or 'no answer'} "
                    f"{answer.decode(errors='replace')[:120]}")
        return status, answer

    async def submit(self, queue, job, body, attempts=5):
        """Hands a submission in as consumers do. Returns whether it was accepted."""
        self.specs.setdefault(job, body)
        for attempt in range(attempts):
            node = random.choice(self.nodes)
            status, _ = await self.call(node, "POST", f"/{queue}/{job}", body)
            if 200 <= status < 300:
                self.accepted.setdefault(job, self.record.now())
                return True
            await asyncio.sleep(0.2 * 2**attempt * random.uniform(0.5, 1.5))
        return False

    async def state(self, queue, job):
        """Asks all nodes in turn. Returns the state, "missing" after a 410, or None without a usable answer."""
        for node in random.sample(self.nodes, len(self.nodes)):
            status, answer = await self.call(node, "GET", f"/{queue}/{job}")
            if status == 200:
                return json.loads(answer)["state"]
            if status == 410:
                return "missing"
        return None

    async def ask_until_ended(self, queues, seconds):
        """Asks for the accepted submissions, by their queues, until all have ended or the time is over. Returns those
        that haven't ended, with the last state that was read."""
        left = {job: None for job in self.accepted}
        until = self.record.now() + seconds
        while left and self.record.now() < until:
            jobs = sorted(left)
            for job, state in zip(jobs, await asyncio.gather(*(self.state(queues[job], job) for job in jobs))):
                left[job] = state
                if state in ("completed", "failed", "cancelled"):
                    left.pop(job)
            await asyncio.sleep(1)
        return left

    async def make_runner(self, number, service, address_of=None, **more):
        runner = Runner(self, number, service, self.capacity, **more)
        await runner.start(address_of)
        self.runners.append(runner)
        return runner

    async def start(self, routes):
        _, port = await serve(self.store.handle)
        self.put_manifest(routes)
        number = 0
        for service in self.services:
            for _ in range(self.runners_per_service):
                number += 1
                await self.make_runner(number, service)
        self.temporary = tempfile.TemporaryDirectory()
        folder = pathlib.Path(os.environ.get("KEEP_LOGS", self.temporary.name))
        folder.mkdir(parents=True, exist_ok=True)
        addresses = free_addresses(self.nodes_count)
        self.nodes = [Node(index + 1, ip, port, folder) for index, ip in enumerate(addresses)]
        for node in self.nodes:
            node.start()
            await asyncio.sleep(self.stagger_s)
        for _ in range(200):
            if all([await node.is_ready() for node in self.nodes]):
                await asyncio.sleep(3)  # Ownership settles. Traffic starts some seconds after the machines.
                self.record("all nodes are ready")
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the nodes didn't get ready")

    def check_processes(self):
        for node in self.nodes:
            if node.process.poll() is not None:
                self.broken(f"Fault: the process of {node.name} ended by itself, code {node.process.returncode}")

    async def run_all(self):
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            await self.run()
            self.check_processes()
        finally:
            for node in self.nodes:
                node.end()
            for runner in self.runners:
                runner.stop()


def new_id():
    return f"{random.getrandbits(64):016x}"


def main(deployment_class, folder):
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = deployment_class(folder, trouble)
    program = ROOT / "target" / "peridotwalk"
    if not program.exists():
        deployment.record.say("target/peridotwalk is missing: run the build of the deploy file first")
        return NOT_RUN
    try:
        asyncio.run(asyncio.wait_for(deployment.run_all(), 118))
    except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001: any failure of the stand-ins means that the case couldn't run.
        deployment.record.say(f"the case couldn't run: {type(error).__name__}: {error}")
        return NOT_RUN
    deployment.record.say(f"trouble={int(trouble)} accepted={len(deployment.accepted)} starts={len(deployment.starts)} "
                          f"broken={len(deployment.violations)}")
    return BROKEN if deployment.violations else KEPT
