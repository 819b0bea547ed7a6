"""Workers that run tasks under leases and fencing tokens, and a ledger that checks the guarantees."""

import asyncio
import random
import time

from emulator.web import serve

HEARTBEAT_S = 0.5
MISSED_HEARTBEATS = 3  # The entry in the store of a crashed worker is removed after that many.
MAX_LEASE_MS = 10_000  # A longer lease is granted for this time only.
MAX_WAIT_MS = 2_000  # Longest wait of a hold call for a finished run.
CANCEL_S = 3.0  # From the acknowledgement of a cancelling on, nodes have that long to stop sending starts.
MAX_ORDER_DELAY_S = 0.6  # An order is carried out at most this long after a node has sent it.


class Ledger:
    """What callers and workers have observed. `violations` lists the violated guarantees."""

    def __init__(self):
        # Id to spec, steps, whether it was accepted, whether each attempt was refused, whether a cancelling was sent, and
        # its acknowledgement: None, or time and description.
        self.jobs = {}
        self.running = {}  # Task to the workers that run it.
        self.done = set()  # Tasks that ended as done on a worker, and whose end an owner has acknowledged.
        self.ended_done = set()  # Tasks that ended as done on a worker.
        self.starts = 0
        self.violations = []

    def fail(self, text):
        self.violations.append(f"{time.monotonic():.3f} {text}")

    def check_start(self, worker, task, spec):
        job_id, _, step, _ = task.split(".")
        job = self.jobs.get(job_id)
        if job is None or job["spec"] != spec:
            self.fail(f"UNASKED {task} on {worker.id}")
            return
        self.starts += 1
        late_s = self.since_cancelled_s(job_id)
        if late_s > CANCEL_S + MAX_ORDER_DELAY_S:
            self.fail(f"UNASKED {task} on {worker.id} starts {late_s:.1f} s after its cancelling was acknowledged, "
                      f"{job['acknowledgement'][1]}")
        if self.running.get(task):
            self.fail(f"TWICE {task} on {worker.id} and {sorted(self.running[task])}")
        if task in self.done:
            self.fail(f"TWICE {task} started on {worker.id} after its end was acknowledged as done")
        for earlier in job["steps"][int(step)].get("after", []):
            for index in range(job["steps"][earlier]["count"]):
                if f"{job_id}.0.{earlier}.{index}" not in self.ended_done:
                    self.fail(f"ORDER {task} before {job_id}.0.{earlier}.{index}")
        self.running.setdefault(task, set()).add(worker.id)

    def since_cancelled_s(self, job_id):
        """Returns the time since the cancelling of a job was acknowledged, or 0 if it wasn't."""
        job = self.jobs.get(job_id)
        return time.monotonic() - job["acknowledgement"][0] if job and job["acknowledgement"] else 0

    def running_cancelled(self):
        """Returns the tasks that run although the cancelling of their job was acknowledged."""
        return [task for task, workers in self.running.items() if workers and self.since_cancelled_s(task.split(".")[0])]

    def end(self, worker, task):
        self.running.get(task, set()).discard(worker.id)


class Worker:
    """One incarnation of a worker. A restarted worker is another one, with another id."""

    def __init__(self, store, ledger, number, seed, zone, service="pool"):
        self.id = f"i-{number}"
        self.store, self.ledger, self.zone, self.service = store, ledger, zone, service
        self.random = random.Random(seed)
        self.started_ms = int(time.time() * 1000)  # Wall clock.
        self.started = time.monotonic()
        self.capacity = {"cpu": 4000, "memMb": 16000}
        self.token = 0  # Highest fencing token received. Calls with a lower one are refused.
        self.lease_until_ms = 0  # Expiry of the lease on clock_ms().
        self.running = {}  # Task to run number, end on clock_ms(), and needed resources.
        # Task to the highest run number that was stopped or has ended. Only a run with a higher one starts.
        self.highest_ended_run = {}
        self.finished = []  # Unacknowledged rows of sequence number, task, run number, outcome, checkpoint.
        self.last_row = 0  # Sequence number of the last finished row.
        self.changed = asyncio.Event()
        self.is_up = True
        self.port = 0

    def clock_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    async def start(self, address_of=None):
        """`address_of` takes the worker's port and returns the address to register, for example a proxy's. By default
        the worker's own address is registered."""
        self.server, self.port = await serve(self.handle)
        self.address = await address_of(self.port) if address_of else f"127.0.0.1:{self.port}"
        self.tasks = [asyncio.ensure_future(self.send_heartbeats()), asyncio.ensure_future(self.end_due_runs())]

    async def send_heartbeats(self):
        sequence = 0
        while self.is_up:
            sequence += 1
            self.store.put("keyed.servers", self.id, {
                "service": self.service, "address": self.address, "zone": self.zone, "state": "ready", "version": "v1",
                "slots": 8, "seq": sequence, "born": self.started_ms, "capacity": self.capacity,
                "labels": ["a", "rack-1"]})
            await asyncio.sleep(HEARTBEAT_S)

    async def end_due_runs(self):
        while self.is_up:
            await asyncio.sleep(0.02)
            now = self.clock_ms()
            for task, run in list(self.running.items()):
                if now > self.lease_until_ms:
                    self.end_run(task, "lapsed")
                elif now >= run["ends"]:
                    self.end_run(task, "failed" if self.random.random() < 0.02 else "done")

    def end_run(self, task, how):
        run = self.running.pop(task)
        self.ledger.end(self, task)
        self.highest_ended_run[task] = max(self.highest_ended_run.get(task, 0), run["run"])
        if how == "done":
            self.ledger.ended_done.add(task)
        self.last_row += 1
        self.finished.append([self.last_row, task, run["run"], how, ""])
        self.changed.set()
        self.changed = asyncio.Event()

    async def crash(self):
        """Ends the worker without notice: its runs and finished rows are lost. Its entry in the store is removed
        after a few missed heartbeats."""
        self.is_up = False
        self.server.close()
        for task in list(self.running):
            self.running.pop(task)
            self.ledger.end(self, task)
        await asyncio.sleep(HEARTBEAT_S * MISSED_HEARTBEATS)
        self.store.put("keyed.servers", self.id, None)

    async def handle(self, request):
        if not self.is_up:
            return 503, {}
        if request.headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        body = request.json()
        token = body.get("fencingToken", 0)
        if token < self.token:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.token = token
        if "deadlineMs" in body:
            self.lease_until_ms = max(self.lease_until_ms, min(body["deadlineMs"], self.clock_ms() + MAX_LEASE_MS))
        name = request.path.rsplit("/", 1)[-1]
        if name == "run-start":
            return self.start_run(body)
        if name == "run-stop":
            self.highest_ended_run[body["task"]] = max(self.highest_ended_run.get(body["task"], 0), body["run"])
            run = self.running.get(body["task"])
            if run and run["run"] <= body["run"]:
                self.end_run(body["task"], "stopped")
            return 200, {"clockMs": self.clock_ms()}
        if name == "hold":
            return await self.hold(body)
        return 200, {"clockMs": self.clock_ms()}

    def start_run(self, body):
        task, number = body["task"], body["run"]
        run = self.running.get(task)
        if run and run["run"] == number:
            return 200, {"clockMs": self.clock_ms()}
        if number <= self.highest_ended_run.get(task, 0):
            return 409, {"clockMs": self.clock_ms(), "reason": "old"}
        if body["deadlineMs"] < self.clock_ms():
            return 409, {"clockMs": self.clock_ms(), "reason": "late"}
        self.ledger.check_start(self, task, body.get("spec", ""))
        job_id, _, step, _ = task.split(".")
        spec = self.ledger.jobs.get(job_id, {"steps": {int(step): {}}})["steps"][int(step)]
        need = {name: spec.get(name, 0) for name in self.capacity}
        for name, most in self.capacity.items():
            if sum(other["need"][name] for other in self.running.values()) + need[name] > most:
                self.ledger.fail(f"LIMIT {task} on {self.id}: {name}")
        duration_ms = spec.get("estimateMs", 300) * self.random.uniform(0.5, 1.5)
        self.running[task] = {"run": number, "ends": self.clock_ms() + duration_ms, "need": need}
        return 200, {"clockMs": self.clock_ms()}

    async def hold(self, body):
        cursor = body.get("ackCursor", 0)
        for row in self.finished:
            if row[0] <= cursor and row[3] == "done":
                self.ledger.done.add(row[1])
        self.finished = [row for row in self.finished if row[0] > cursor]
        if body.get("waitMs", 0) and not self.finished:
            try:
                await asyncio.wait_for(self.changed.wait(), min(body["waitMs"], MAX_WAIT_MS) / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[task, run["run"], "", 100, 0] for task, run in self.running.items()]
        return 200, {"clockMs": self.clock_ms(), "born": self.started_ms, "running": running,
                     "finished": self.finished[:500]}
