"""A small deployment on loopback: node processes, the project's store emulator, and workers with scripted tasks.

A task's `spec` tells the worker what to do: {"ms": run time, "how": "done" or "failed"}. Everything that was sent, answered
and run goes into the record. Times in the record are seconds since the start of the script.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import tempfile
import time
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from emulator.store import Store, split_records  # noqa: E402
from emulator.web import NoAnswer, call, serve  # noqa: E402

HEARTBEAT_S = 1.5
LEASE_MAX_MS = 10_000  # holdMaxMs
RECORD_BYTES = 262_144
REQUEST_BYTES = 2_097_152
NO_ANSWER = (OSError, TimeoutError, EOFError, asyncio.IncompleteReadError, asyncio.TimeoutError)
HELD, BROKEN, NO_RUN = 0, 1, 2


def is_troubled():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    def __init__(self, file):
        self.started = time.monotonic()
        self.file = open(file, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def add(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_ports(count):
    """Returns free ports below the ephemeral range, all different."""
    found = []
    for port in range(16_000 + (os.getpid() * 37) % 9_000, 32_000):
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            found.append(port)
            if len(found) == count:
                return found
    raise RuntimeError("no ports are free")


def render(template, values):
    """Fills in the placeholders of the deploy file's template that have no section."""

    def value_of(path):
        value = values
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part)
            if value is None:
                return None
        return value

    def fill(match):
        path, _, form = match.group(1).partition("|")
        value = value_of(path)
        return json.dumps(value) if form == "json" else "" if value is None else str(value)

    return re.sub(r"\{\{([\w.|]+)\}\}", fill, template)


class Platform:
    """The store, with one address for each node, and its faults."""

    def __init__(self, record):
        self.record = record
        self.store = Store()
        self.is_down = lambda node, topic: False  # Answers 503 for these partitions.

    async def address_for(self, node):
        async def handle(request):
            topic = request.query.get("topic", "")
            if self.is_down(node, topic):
                self.record.add(f"store answers 503 to {node}: {request.method} {request.path} {topic}")
                return 503, {}
            if request.path.endswith("/log-append"):
                records = split_records(request.body)
                if any(len(one) > RECORD_BYTES for one in records) or sum(map(len, records)) > REQUEST_BYTES:
                    self.record.add(f"store answers 400 to {node}: a record of {max(map(len, records))} bytes")
                    return 400, {}
            return await self.store.handle(request)

        _, port = await serve(handle)
        return f"127.0.0.1:{port}"

    def put_manifest(self, manifest):
        self.record.add(f"operator writes manifest: {json.dumps(manifest)}")
        self.store.put("keyed.op", "config", manifest)

    def owners(self):
        """Returns the member that owns each partition."""
        return {row[1]: row[2] for row in self.store.groups["schedulers"].owners()} if self.store.groups else {}


class Node:
    def __init__(self, name, zone, platform, folder, ports):
        self.name, self.zone, self.platform, self.folder = name, zone, platform, folder
        self.callers, self.ready, self.peers, self.metrics = ports
        self.process = None

    async def start(self):
        if self.process is None:
            self.store_address = await self.platform.address_for(self.name)
        template = (ROOT / "deploy" / "settings.json.in").read_text()
        text = render(template, {
            "node": self.name, "zone": self.zone, "ip": "127.0.0.1", "portRange": [self.peers, self.peers],
            "listen": {"front": f"127.0.0.1:{self.callers}", "ready": f"127.0.0.1:{self.ready}"},
            "platform": {"address": self.store_address, "parts": 16, "recordBytes": RECORD_BYTES, "requestBytes": REQUEST_BYTES},
            "cloud": {}, "limits": {"cpuShare": 0.25, "cores": 1}, "bounds": {"holdMaxMs": LEASE_MAX_MS}})
        # The template's fixed port for metrics is one for each machine; here all nodes share one address.
        text = text.replace("127.0.0.1:9464", f"127.0.0.1:{self.metrics}")
        file = self.folder / f"{self.name}.json"
        file.write_text(text)
        self.log = open(self.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen([str(ROOT / "target" / "peridotwalk"), "node", "--settings", str(file)],
                                        cwd=ROOT, stdout=self.log, stderr=self.log)
        self.platform.record.add(f"node {self.name} is started")

    def send_signal(self, number):
        self.platform.record.add(f"node {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_up(self):
        return self.process.poll() is None

    def log_events(self, event):
        """Returns the lines of an event in the node's log."""
        found = []
        for line in (self.folder / f"{self.name}.log").read_text(errors="replace").splitlines():
            if f'"event":"{event}"' in line:
                with contextlib.suppress(ValueError):
                    found.append(json.loads(line))
        return found

    async def is_ready(self):
        with contextlib.suppress(*NO_ANSWER):
            status, _, _ = await call(self.ready, "GET", "/peridotwalk/readiness", timeout=1)
            return status == 200
        return False


class Worker:
    """A runner, as the protocol page describes it. Its clock starts at 0 with its life."""

    def __init__(self, deployment, number, service, zone, cpu):
        self.deployment, self.record = deployment, deployment.record
        self.id, self.service, self.zone, self.cpu = f"i-{number:04x}", service, zone, cpu
        self.labels = ["a", "r1-1"]
        self.is_up, self.is_cut = True, False
        self.reset()

    def reset(self):
        """Begins a life that knows nothing of an earlier one."""
        self.started, self.born = time.monotonic(), int(time.time() * 1000)
        self.token = self.lease_until = self.last_row = 0
        self.running, self.ended_run, self.finished = {}, {}, []
        self.changed = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    async def start(self):
        self.server, self.port = await serve(self.handle)
        self.loops = [self.deployment.spawn(self.beat()), self.deployment.spawn(self.watch())]

    def stop_serving(self):
        """The runner is gone: its calls aren't answered, and it sends no more pings."""
        self.server.close()
        for loop in self.loops:
            loop.cancel()

    async def beat(self):
        sequence = 0
        while True:
            if self.is_cut:
                await asyncio.sleep(0.1)
                continue
            sequence += 1
            self.deployment.platform.store.put("keyed.servers", self.id, {
                "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1", "slots": 8,
                "state": "ready", "coldRemainingMs": 0, "seq": sequence, "born": self.born, "machine": f"m-{self.id}",
                "capacity": {"cpu": self.cpu, "memMb": 65_536, "gpu": 0}, "labels": self.labels})
            await asyncio.sleep(HEARTBEAT_S)

    async def watch(self):
        while True:
            await asyncio.sleep(0.01)
            now = self.clock()
            for task, run in list(self.running.items()):
                if now > self.lease_until:
                    self.end(task, "lapsed")
                elif now >= run["ends"]:
                    self.end(task, run["how"])

    def end(self, task, how):
        run = self.running.pop(task)
        self.ended_run[task] = max(self.ended_run.get(task, 0), run["run"])
        self.last_row += 1
        self.finished.append([self.last_row, task, run["run"], how, ""])
        self.record.add(f"{self.id} ({self.service}) ends {task} run {run['run']}: {how}")
        self.deployment.on_end(self, task, run["run"], how)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request):
        if not self.is_up:
            raise NoAnswer()
        if request.headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        body = request.json()
        token = body.get("fencingToken", 0)
        if token < self.token:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.token = token
        if "deadlineMs" in body:
            self.lease_until = max(self.lease_until, min(body["deadlineMs"], self.clock() + LEASE_MAX_MS))
        name = request.path.rsplit("/", 1)[-1]
        if name == "run-start":
            return self.start_run(body)
        if name == "run-stop":
            task = body["task"]
            self.ended_run[task] = max(self.ended_run.get(task, 0), body["run"])
            if task in self.running and self.running[task]["run"] <= body["run"]:
                self.end(task, "stopped")
            return 200, {"clockMs": self.clock()}
        return await self.hold(body) if name == "hold" else (200, {"clockMs": self.clock()})

    def start_run(self, body):
        task, number = body["task"], body["run"]
        answer = {"clockMs": self.clock()}
        if task in self.running and self.running[task]["run"] == number:
            return 200, answer
        if number <= self.ended_run.get(task, 0) or task in self.running:
            return 409, answer | {"reason": "old"}
        if body["deadlineMs"] < self.clock():
            return 409, answer | {"reason": "late"}
        spec = json.loads(body["spec"])
        self.running[task] = {"run": number, "ends": self.clock() + spec["ms"], "how": spec.get("how", "done"),
                              "cpu": spec.get("cpu", 1_000)}
        self.record.add(f"{self.id} ({self.service}) starts {task} run {number}, fence {body['fencingToken']}")
        self.deployment.on_start(self, task, number)
        return 200, answer

    async def hold(self, body):
        self.finished = [row for row in self.finished if row[0] > body.get("ackCursor", 0)]
        if body.get("waitMs", 0) and not self.finished:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), min(body["waitMs"], 2_000) / 1000)
        if not self.is_up:
            raise NoAnswer()
        return 200, {"clockMs": self.clock(), "born": self.born, "finished": self.finished[:500],
                     "running": [[task, run["run"], "", 100, 0] for task, run in self.running.items()]}


class Deployment:
    """Nodes, workers and clients. `on_start` and `on_end` are called for each run."""

    def __init__(self, case, manifest, nodes=3, workers=(("pool-a", 4),), cpu=8_000, worker_class=None):
        self.case, self.manifest = pathlib.Path(case), manifest
        self.record = Record(self.case / "record.txt")
        self.platform = Platform(self.record)
        self.node_count, self.worker_plan, self.cpu = nodes, workers, cpu
        self.worker_class = worker_class or Worker
        self.nodes, self.workers, self.tasks = [], [], set()
        self.on_start = lambda worker, task, run: None
        self.on_end = lambda worker, task, run, how: None
        self.job_count = 0

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def start(self, folder):
        self.platform.put_manifest(self.manifest)
        number = 0
        for service, count in self.worker_plan:
            for _ in range(count):
                number += 1
                self.workers.append(self.worker_class(self, number, service, f"zone-{'abc'[number % 3]}", self.cpu))
                await self.workers[-1].start()
        ports = free_ports(4 * self.node_count)
        for index in range(self.node_count):
            self.nodes.append(Node(f"node-{index}", f"zone-{'abc'[index % 3]}", self.platform, folder,
                                   ports[4 * index : 4 * index + 4]))
            await self.nodes[-1].start()
        for _ in range(200):
            if all([await node.is_ready() for node in self.nodes]):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the nodes didn't get ready")

    def new_id(self):
        self.job_count += 1
        return f"{(int(time.time() * 1000) << 16 | self.job_count) & (1 << 64) - 1:016x}"

    async def call(self, node, method, path, body=None, key="key-1", timeout=3.5):
        """Makes one call of a client. Returns the status (None: no answer) and the body."""
        headers = {"Host": "jobs.example", "Authorization": f"Bearer {key}", "X-Deadline-Ms": "3000"}
        try:
            status, _, answer = await call(node.callers, method, path, body, headers, timeout)
        except NO_ANSWER:
            status, answer = None, b""
        shown = json.dumps(body)[:160] if body else ""
        self.record.add(f"client {method} {path} to {node.name} {shown} -> {status} {answer.decode(errors='replace')[:120]}")
        return status, answer

    async def submit(self, prefix, steps, job=None, nodes=None, attempts=5, **fields):
        """Submits as a client does, at other nodes after no answer or a refusal. Returns the id if it was accepted."""
        job = job or self.new_id()
        nodes = nodes or self.nodes
        for attempt in range(attempts):
            status, _ = await self.call(nodes[attempt % len(nodes)], "POST", prefix + job, {**fields, "steps": steps})
            if status is not None and 200 <= status < 300:
                return job
            if status not in (None, 429, 502, 503, 504):
                return None
            await asyncio.sleep(0.3 * (attempt + 1))
        return None

    async def state(self, prefix, job, nodes=None):
        for node in nodes or self.nodes:
            status, answer = await self.call(node, "GET", prefix + job)
            if status == 200:
                return json.loads(answer)["state"]
            if status == 410:
                return "missing"
        return None

    def end_processes(self):
        for node in self.nodes:
            if node.process is not None and node.is_up():
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()


def newest_owner(deployment, event, pool=None):
    """Returns the node that last logged that it owns the pool, or that it is the coordinator."""
    found = [(line["token"], node.name, node) for node in deployment.nodes for line in node.log_events(event)
             if pool is None or line.get("pool") == pool]
    return max(found, key=lambda one: one[:2])[2] if found else None


def route(name, service, **fields):
    return {"name": name, "host": "jobs.example", "pathPrefix": f"/{name}/", "service": service, "priority": 0, "maxAttempts": 3,
            "stretch": 3.0, "targetDurationMs": 1000, **fields}


def step(count, milliseconds, **fields):
    return {"count": count, "cpu": 1_000, "memMb": 10, "estimateMs": milliseconds, **fields}


def task_spec(milliseconds, how="done", cpu=1_000):
    return json.dumps({"ms": milliseconds, "how": how, "cpu": cpu})


def run(case, deployment, scenario):
    """Runs a scenario, which returns the list of what was broken, and exits with the result."""

    async def play():
        with tempfile.TemporaryDirectory() as folder:
            try:
                await deployment.start(pathlib.Path(os.environ.get("KEEP", folder)))
                return await scenario(deployment)
            finally:
                deployment.end_processes()
                for task in list(deployment.tasks):
                    task.cancel()

    try:
        broken = asyncio.run(asyncio.wait_for(play(), 115))
    except Exception as error:  # The case couldn't run.
        deployment.record.add(f"not run: {error!r}")
        print(f"{pathlib.Path(case).name}: not run: {error!r}")
        sys.exit(NO_RUN)
    for text in broken:
        deployment.record.add(f"BROKEN {text}")
    if broken:
        print(f"{pathlib.Path(case).name}: BROKEN {len(broken)} times; the first: {broken[0]}")
    if not broken:
        deployment.record.add("the rule held")
        print(f"{pathlib.Path(case).name}: held")
    sys.exit(BROKEN if broken else HELD)
