"""TWICE: a new owner takes the lease of a runner that has restarted to end 4 s too early."""

import asyncio
import pathlib
import signal
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from deployment_2 import Deployment, Worker, is_troubled, newest_owner, route, run, step, task_spec  # noqa: E402
from emulator.web import NoAnswer  # noqa: E402

POOL = "pool-d"
RACK, OTHER_RACK = "r2-1", "r1-1"
ZONE = "zone-c"
DOWN_S = 1.0  # The runner's restart.
RESTART_S = 0.5  # The process's.
CUT_S = 6.2
WORK_MS = 25_000
MANIFEST = {"version": 1, "routes": [route("q", POOL)], "services": [{"name": POOL, "admissionControl": False}],
            "tenants": [{"name": "team", "apiKeys": ["key-1"], "weight": 1}], "limits": {}}


class ZonedWorker(Worker):
    """A runner that may be cut off with its zone, and that may start again under its id."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.labels = ["a", RACK if self.zone == ZONE else OTHER_RACK]

    async def handle(self, request):
        if self.is_cut:
            raise NoAnswer()
        answer = await super().handle(request)
        if self.is_cut:
            raise NoAnswer()
        return answer

    async def restart(self):
        self.record.add(f"{self.id} ends, with nothing running: {not self.running}")
        self.is_cut = True
        await asyncio.sleep(DOWN_S)
        self.reset()
        self.is_cut = False
        self.record.add(f"{self.id} is back under its id")


async def scenario(deployment):
    running, broken = {}, []

    def on_start(worker, task, number):
        others = running.setdefault(task, set())
        if others:
            broken.append(f"TWICE {task}: run {number} starts on {worker.id} while it runs on {sorted(others)}")
        others.add(worker.id)

    deployment.on_start = on_start
    deployment.on_end = lambda worker, task, number, how: running.get(task, set()).discard(worker.id)
    await asyncio.sleep(3)
    await deployment.submit("/q/", [step(8, 200)], spec=task_spec(200))
    await asyncio.sleep(3)
    runner = next(worker for worker in deployment.workers if worker.zone == ZONE)
    if is_troubled():
        await runner.restart()
    await asyncio.sleep(4)
    job = await deployment.submit("/q/", [step(1, WORK_MS, cpu=6_000, affinity=RACK)], spec=task_spec(WORK_MS))
    while not runner.running:
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.5)
    if is_troubled():
        token = runner.token
        owner = newest_owner(deployment, "pool.owned", POOL)
        owner.send_signal(signal.SIGKILL)
        owner.process.wait()
        await asyncio.sleep(RESTART_S)
        await owner.start()
        while runner.token == token:
            await asyncio.sleep(0.01)
        owner = newest_owner(deployment, "pool.owned", POOL)
        deployment.record.add(f"{owner.name} is the new owner, and has reached {runner.id}")
        if owner.zone == ZONE:
            raise RuntimeError("the new owner is in the runner's zone")
        await asyncio.sleep(0.7)
        deployment.record.add(f"{ZONE} is cut off")
        runner.is_cut = True
        cut_nodes = {node.name for node in deployment.nodes if node.zone == ZONE}
        deployment.platform.is_down = lambda node, topic: node in cut_nodes
        await asyncio.sleep(CUT_S)
        runner.is_cut = False
        deployment.platform.is_down = lambda node, topic: False
        deployment.record.add(f"{ZONE} is back")
    await asyncio.sleep(10)
    deployment.record.add(f"the submission is {await deployment.state('/q/', job)}")
    return broken


run(CASE, Deployment(CASE, MANIFEST, workers=[(POOL, 5)], worker_class=ZonedWorker), scenario)
