"""A small deployment for the scripts of review/11 to 15: nodes of the deploy file as processes, and stand-ins.

The store is the project's own (emulator/store.py). The runners, the machine service and the proxies are here, and do
what PROTOCOL.md says. All addresses are loopback addresses.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from emulator.store import PARTITIONS, Store  # noqa: E402
from emulator.web import read_message, serve  # noqa: E402

BROKEN, HELD, NOT_RUN = 1, 0, 2
LIMIT_S = 115
READY_S = 20
SETTLE_S = 5  # The members of the group have changed last when the last node became ready.

# Figures of sites/vav-brno.toml.
BOUNDS = {"contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6, "configApplyMs": 2000, "evacuateMs": 5000,
          "recoveryS": 12, "holdMaxMs": 10000, "stopMs": 200, "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000,
          "finish_s": 14, "status_s": 120, "farFactor": 1.5, "checkpointS": 0.5, "restoreMs": 250, "noticeMs": 4500,
          "moveS": 1.5, "maintenanceS": 2, "fencing": False, "leaseMs": 3000, "paceMs": 100, "harmMs": 4000}
HEARTBEAT_S = 1.5
CHANNELS = 64  # Of a runner, as the sheet says.
KEY = "key-of-the-tenant"
HOST = "jobs.example"
PREFIX = "/q1/"


def find(value, path):
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        elif isinstance(value, dict) and part in value:
            value = value[part]
        else:
            return None
    return value


def render(template, values):
    """Fills in a template as DEPLOY.md says, as far as deploy/settings.json.in needs it."""
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)
    while found := section.search(template):
        is_kept = bool(find(values, found[2])) == (found[1] == "#")
        template = template[: found.start()] + (found[3] if is_kept else "") + template[found.end() :]

    def fill(found):
        value = find(values, found[1])
        return json.dumps(value) if found[2] else "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, template)


def free_port(ip):
    for port in random.SystemRandom().sample(range(15_000, 30_000), 200):
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((ip, port))
            return port
    raise RuntimeError("no port is free")


class Record:
    """What was sent, answered and run. One line an event, with seconds since the start."""

    def __init__(self, file):
        self.file = open(file, "w", buffering=1)
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")


class Node:
    def __init__(self, number, ip, deployment):
        self.name, self.ip, self.zone = f"node-{number}", ip, f"zone-{'abc'[number % 3]}"
        self.deployment = deployment
        self.front, self.ready, self.peer = free_port(ip), free_port(ip), free_port(ip)
        self.process = None

    def start(self):
        values = {"node": self.name, "zone": self.zone, "ip": self.ip,
                  "listen": {"front": f"{self.ip}:{self.front}", "ready": f"{self.ip}:{self.ready}"},
                  "portRange": [self.peer, self.peer], "platform": {
                      "address": f"127.0.0.1:{self.deployment.store_port}", "parts": PARTITIONS, "recordBytes": 262144,
                      "requestBytes": 2097152},
                  "cloud": {"address": f"127.0.0.1:{self.deployment.cloud_port}", "dutyPerS": 64.0},
                  "advice": "", "limits": {"cpuShare": 0.25, "cores": 1}, "bounds": BOUNDS}
        folder = self.deployment.folder
        file = folder / f"{self.name}.json"
        file.write_text(render((ROOT / "deploy/settings.json.in").read_text(), values))
        log = open(folder / f"{self.name}.log", "ab")
        command = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]["run"].split()
        command = [str(file) if word == "/etc/peridotwalk/boot.toml" else word for word in command]
        self.process = subprocess.Popen(command, stdout=log, stderr=log, cwd=ROOT)
        log.close()

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        with contextlib.suppress(OSError, TimeoutError, EOFError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
            writer.write(b"GET /peridotwalk/readiness HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
            line, _, _ = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return " 200" in line
        return False


class Channels:
    """The path to a runner's port, and its limit of channels: a further one is reset.

    `silence()` lets all channels that are open go silent for good: neither side gets a byte or a reset any more. New
    channels work. While `is_power_lost`, the end of a channel's far side isn't told to the runner, as its machine can't."""

    def __init__(self, target):
        self.target, self.open, self.is_power_lost = target, [], False

    async def start(self):
        self.server = await asyncio.start_server(self.on_channel, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    def silence(self):
        for state in self.open:
            state["silent"] = True
        return len(self.open)

    def reset(self):
        for state in self.open:
            channel = state["writer"].get_extra_info("socket")
            with contextlib.suppress(OSError):
                channel.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            state["writer"].transport.abort()
        return len(self.open)

    async def on_channel(self, reader, writer):
        if len(self.open) >= CHANNELS:
            writer.transport.abort()
            return
        state = {"silent": False, "hung": False, "writer": writer}
        self.open.append(state)
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            self.open = [other for other in self.open if other is not state]
            writer.transport.abort()
            return
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(self.pump(reader, far_writer, state), self.pump(far_reader, writer, state))
        self.open = [other for other in self.open if other is not state]
        writer.close()
        far_writer.close()

    async def pump(self, reader, writer, state):
        with contextlib.suppress(ConnectionError, OSError):
            while data := await reader.read(65536):
                if not state["silent"]:
                    writer.write(data)
                    await writer.drain()
        state["hung"] = state["hung"] or self.is_power_lost
        if state["hung"]:
            await asyncio.Future()  # Until the script ends.
        if not state["silent"]:
            writer.close()


class Runner:
    """A runner under one id. restart() is a crash and a new boot under the same id, which knows nothing of before."""

    def __init__(self, deployment, number, rack="r1-1", service="pool", kind="a"):
        self.deployment, self.id = deployment, f"i-{random.getrandbits(32):08x}"
        self.name, self.machine, self.zone = f"runner {number}", f"m-{number}", f"zone-{'abc'[number % 3]}"
        self.service, self.kind, self.rack = service, kind, rack
        self.capacity = {"cpu": 64000, "memMb": 262144, "gpu": 0}
        self.port, self.server, self.channels, self.beats = 0, None, None, None
        self.is_up = False
        self.is_draining = False
        self.on_order = None  # async (runner, name, body): may return "no answer", and the call isn't carried out then.

    async def start(self, entry_after_s=0.0):
        self.boot()
        if self.server is None:  # It goes on to listen while it is down, as its port could be taken otherwise.
            self.server, self.port = await serve(self.handle)
            self.channels = Channels(self.port)
            await self.channels.start()
        self.beats = asyncio.ensure_future(self.beat(entry_after_s))
        asyncio.ensure_future(self.work(self.boot_number))

    def boot(self):
        self.boot_number = getattr(self, "boot_number", 0) + 1
        self.born_ms, self.booted = int(time.time() * 1000), time.monotonic()
        self.token, self.lease_ms, self.running, self.highest, self.finished, self.last = 0, 0, {}, {}, [], 0
        self.changed = asyncio.Event()
        self.is_up = True

    def crash(self):
        """The process ends: everything that it ran ends with it."""
        self.is_up = False
        self.beats.cancel()
        for task in list(self.running):
            self.running.pop(task)
            self.deployment.on_end(self, task, "crash")
        self.channels.reset()
        self.changed.set()

    def clock(self):
        """The steady clock. The first boot has been up for some minutes."""
        return int((time.monotonic() - self.booted) * 1000) + (480_000 if self.boot_number == 1 else 1_000)

    async def beat(self, entry_after_s):
        sequence = 0
        await asyncio.sleep(entry_after_s)
        while True:
            sequence += 1
            self.deployment.store.put("keyed.servers", self.id, {
                "service": self.service, "address": f"127.0.0.1:{self.channels.port}", "zone": self.zone,
                "state": "draining" if self.is_draining else "ready", "version": "v1", "slots": 8, "seq": sequence, "born": self.born_ms, "capacity": self.capacity,
                "labels": [self.kind, self.rack], "machine": self.machine, "coldRemainingMs": 0})
            await asyncio.sleep(HEARTBEAT_S)

    async def work(self, boot):
        while self.is_up and self.boot_number == boot:
            await asyncio.sleep(0.02)
            if not self.is_up or self.boot_number != boot:
                return
            if self.running and self.clock() > self.lease_ms:
                for task in list(self.running):
                    self.end(task, "lapsed")
            self.deployment.on_work(self)

    def end(self, task, how, saved=None):
        run = self.running.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.last += 1
        self.finished.append([self.last, task, run["run"], how, run["saved"] if saved is None else saved])
        self.changed.set()
        self.changed = asyncio.Event()
        self.deployment.on_end(self, task, how, run["run"])

    async def handle(self, request):
        if not self.is_up:
            raise ConnectionError
        boot = self.boot_number
        body, name = request.json(), request.path.rsplit("/", 1)[-1]
        verdict = self.on_order and await self.on_order(self, name, body)
        if verdict == "no answer" or not self.is_up:
            raise ConnectionError
        status, answer = await self.carry_out(name, body, request.headers.get("x-expect-instance", self.id))
        if self.boot_number != boot or not self.is_up:
            raise ConnectionError
        return status, answer

    async def carry_out(self, name, body, expected):
        if expected != self.id:
            return 421, {"clockMs": self.clock()}
        token = body.get("fencingToken", 0)
        if token < self.token:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.token = token
        deadline = body.get("deadlineMs", 0)
        self.lease_ms = max(self.lease_ms, min(deadline, self.clock() + BOUNDS["holdMaxMs"]))
        if name == "run-start":
            return self.begin(body)
        if name == "run-stop":
            self.highest[body["task"]] = max(self.highest.get(body["task"], 0), body["run"])
            run = self.running.get(body["task"])
            if run and run["run"] <= body["run"]:
                self.end(body["task"], "stopped")
            return 200, {"clockMs": self.clock()}
        if name == "pace":
            run = self.running.get(body["task"])
            if run and run["run"] == body["run"]:
                run["pace"] = body["percent"]
            return 200, {"clockMs": self.clock()}
        return await self.hold(body)

    def begin(self, body):
        task, number = body["task"], body["run"]
        run = self.running.get(task)
        if run and run["run"] == number:
            return 200, {"clockMs": self.clock()}
        if number <= self.highest.get(task, 0) or run:
            return 409, {"clockMs": self.clock(), "reason": "old"}
        if body["deadlineMs"] < self.clock():
            return 409, {"clockMs": self.clock(), "reason": "late"}
        self.running[task] = {"run": number, "began": time.monotonic(), "saved": body.get("checkpoint", ""), "pace": 100,
                              "percent": 100, "figure": 0}
        self.deployment.on_start(self, body)
        return 200, {"clockMs": self.clock()}

    async def hold(self, body):
        cursor = body.get("ackCursor", 0)
        for row in [row for row in self.finished if row[0] <= cursor]:
            self.deployment.on_noted(self, row)
        self.finished = [row for row in self.finished if row[0] > cursor]
        if body.get("waitMs", 0) and not self.finished:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), min(body["waitMs"], 2000) / 1000)
        rows = [[task, run["run"], run["saved"], run["percent"], run["figure"]] for task, run in self.running.items()]
        return 200, {"clockMs": self.clock(), "born": self.born_ms, "running": rows, "finished": self.finished[:500]}


class Deployment:
    """Nodes, store, machine service and runners. A case derives from it and sets what its tasks do."""

    runners_count, nodes_count = 3, 3
    max_attempts = 3

    def __init__(self, folder):
        self.case = pathlib.Path(folder)
        self.record = Record(self.case / "record.txt")
        self.is_troubled = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store()
        self.specs, self.runs, self.violations = {}, [], []
        self.nodes, self.runners = [], []

    # What runners do and tell. Cases override work_of() or on_work().

    def on_start(self, runner, body):
        self.record.note(f"{runner.name} starts {body['task']} run {body['run']} checkpoint '{body.get('checkpoint', '')}'")
        self.runs.append({"task": body["task"], "run": body["run"], "runner": runner, "at": time.monotonic(), "end": None,
                          "how": None})

    def on_end(self, runner, task, how, run=None):
        self.record.note(f"{runner.name} ends {task} {how}")
        for entry in reversed(self.runs):
            if entry["task"] == task and entry["runner"] is runner and entry["end"] is None:
                entry["end"], entry["how"] = time.monotonic(), how
                break

    def on_noted(self, runner, row):
        pass

    def on_work(self, runner):
        for task, run in list(runner.running.items()):
            step = self.step_of(task)
            if not step.get("longRunning") and time.monotonic() - run["began"] >= step["estimateMs"] / 1000:
                runner.end(task, "done")

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.specs[job]["steps"][int(step)]

    # Nodes.

    def owner(self, service="pool"):
        """Returns the node that writes the records of a service's tasks now, or None."""
        part = next((part for part, one in self.store.topics.get("keyed.jobs", {}).items() if service in one.producers), None)
        group = next(iter(self.store.groups.values()), None)
        member = group.owner.get(part, "") if group else ""
        return next((node for node in self.nodes if member.startswith(f"{node.name}@")), None)

    async def lose_power(self, node, dark_s):
        """The node's machine is dark for some seconds, and then starts again. Its channels to the runners hang."""
        self.record.note(f"{node.name} loses power; channels at the runners: {[len(runner.channels.open) for runner in self.runners]}")
        for runner in self.runners:
            runner.channels.is_power_lost = True
        node.stop()
        await asyncio.sleep(0.3)
        for runner in self.runners:
            runner.channels.is_power_lost = False
        await asyncio.sleep(dark_s - 0.3)
        node.start()
        self.record.note(f"{node.name} starts again")

    # Consumers.

    async def send(self, method, job, body=None, node=None, timeout=3.5, prefix=PREFIX):
        node = node or random.choice([node for node in self.nodes if node.process.poll() is None])
        data = b"" if body is None else json.dumps(body).encode()
        head = (f"{method} {prefix}{job} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\nX-Deadline-Ms: 3000\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n").encode()

        async def exchange():
            reader, writer = await asyncio.open_connection(node.ip, node.front)
            try:
                writer.write(head + data)
                line, _, answer = await read_message(reader)
                return int(line.split(" ")[1]), answer
            finally:
                writer.close()

        try:
            status, answer = await asyncio.wait_for(exchange(), timeout)
        except (OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status, answer = 0, b""
        self.record.note(f"{method} {job} at {node.name}: {status} {answer.decode('latin-1')[:120]}")
        return status, answer

    async def submit(self, steps, spec="a task", prefix=PREFIX):
        """Sends a submission until it is accepted. Returns its ID, or None."""
        job = f"{random.getrandbits(64):016x}"
        self.specs[job] = {"spec": spec, "steps": steps}
        for _ in range(8):
            status, _ = await self.send("POST", job, self.specs[job], prefix=prefix)
            if 200 <= status < 300:
                return job
            await asyncio.sleep(0.3)
        return None

    async def state(self, job, prefix=PREFIX):
        for _ in range(6):
            status, answer = await self.send("GET", job, prefix=prefix)
            if status == 200:
                return json.loads(answer)["state"]
            if status == 410:
                return "gone"
            await asyncio.sleep(0.3)
        return None

    async def wait_state(self, job, wanted, seconds):
        until = time.monotonic() + seconds
        state = None
        while time.monotonic() < until:
            state = await self.state(job)
            if state in wanted:
                break
            await asyncio.sleep(0.25)
        return state

    def break_rule(self, text):
        self.record.note(f"BROKEN {text}")
        self.violations.append(text)

    # Set up and end.

    def make_runners(self):
        return [Runner(self, number, rack=f"r1-{1 + number // 4}") for number in range(self.runners_count)]

    async def answer_cloud(self, request):
        if request.path.endswith("/machines"):
            return 200, {"machines": [
                {"machine": runner.machine, "pool": runner.service, "state": "up" if runner.is_up else "down",
                 "zone": runner.zone, "labels": [runner.kind, runner.rack], "capacity": runner.capacity, "id": runner.id}
                for runner in self.runners], "nextToken": None}
        if request.path.endswith("/machine-move"):
            return self.move(request.json())
        return 409, {"reason": "wave"}

    def move(self, body):
        runner = next((runner for runner in self.runners if runner.machine == body["machine"]), None)
        if runner is None:
            return 400, {}
        if runner.service == body["pool"]:
            return 200, {}
        if not runner.is_up:
            return 409, {"reason": "busy"}
        self.record.note(f"the machine of {runner.name} moves from {runner.service} to {body['pool']}")
        runner.crash()
        self.store.put("keyed.servers", runner.id, None)
        runner.id, runner.service = f"i-{random.getrandbits(32):08x}", body["pool"]
        runner.boot_number = 0
        asyncio.get_running_loop().call_later(BOUNDS["moveS"], lambda: asyncio.ensure_future(runner.start()))
        return 200, {}

    def manifest(self):
        route = {"name": "q1", "host": HOST, "pathPrefix": PREFIX, "service": "pool", "priority": 0,
                 "maxAttempts": self.max_attempts, "stretch": 1.6, "targetDurationMs": 600}
        return {"version": 1, "routes": [route], "services": [{"name": "pool", "admissionControl": False}],
                "tenants": [{"name": "tenant", "apiKeys": [KEY], "weight": 1, "maximum": {"cpu": 0, "memMb": 0, "gpu": 0}}],
                "limits": {}}

    async def set_up(self):
        _, self.store_port = await serve(self.store.handle)
        _, self.cloud_port = await serve(self.answer_cloud)
        self.store.put("keyed.op", "config", self.manifest())
        self.runners = self.make_runners()
        for runner in self.runners:
            await runner.start()
        network = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        self.nodes = [Node(number, f"{network}.{number + 1}", self) for number in range(self.nodes_count)]
        for node in self.nodes:
            node.start()
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            if all([await node.is_ready() for node in self.nodes]):
                await asyncio.sleep(SETTLE_S)
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the nodes didn't get ready")

    async def main(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        try:
            await self.set_up()
            await asyncio.wait_for(self.play(), LIMIT_S - self.record.now())
            code = BROKEN if self.violations else HELD
        except Exception as error:  # noqa: BLE001: the case couldn't run, whatever the cause.
            self.record.note(f"NOT RUN {type(error).__name__} {error}")
            code = NOT_RUN
        finally:
            for node in self.nodes:
                node.stop()
            if os.environ.get("KEEP_LOGS"):
                print(self.folder)
            else:
                for file in self.folder.iterdir():
                    file.unlink()
                self.folder.rmdir()
        result = {BROKEN: "BROKEN", HELD: "HELD", NOT_RUN: "NOT RUN"}[code]
        self.record.note(f"RESULT {result}")
        print(result, *self.violations[:3], sep="; ")
        return code


def run(case):
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    sys.exit(asyncio.run(case.main()))
