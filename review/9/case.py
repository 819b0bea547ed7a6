"""BUDGET, QUOTA: a process that starts while the manifest cannot be read runs a pool without any rules."""

import asyncio
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import signal  # noqa: E402

from deployment_2 import Deployment, is_troubled, newest_owner, route, run, step, task_spec  # noqa: E402

MAX_ATTEMPTS = 2
MAXIMUM, OVERAGE, TASK = 8_000, 0.1, 1_000  # Thousandths of a core.
DOWN_S = 4.5
RESTART_S = 0.5
POOL = "pool-a"
MANIFEST = {"version": 1, "routes": [route("q", POOL, maxAttempts=MAX_ATTEMPTS)], "services": [{"name": POOL, "admissionControl": False}],
            "tenants": [{"name": "team", "apiKeys": ["key-1"], "weight": 1, "maximum": {"cpu": MAXIMUM}}], "limits": {}}


async def submit_hopeless(deployment, nodes):
    """A client sends a submission each half second whose task fails each time."""
    while True:
        deployment.spawn(deployment.submit("/q/", [step(1, 300)], nodes=nodes, spec=task_spec(300, "failed")))
        await asyncio.sleep(0.5)


async def ask(deployment, nodes, job):
    """A client asks for the submission's state from time to time."""
    while True:
        for node in nodes:
            await deployment.call(node, "GET", f"/q/{job}")
            await asyncio.sleep(0.25)


async def scenario(deployment):
    running, failed, broken, peak = set(), {}, [], [0]

    def on_start(worker, task, run_number):
        if failed.get(task, 0) >= MAX_ATTEMPTS:
            broken.append(f"BUDGET {task}: run {run_number} starts after {failed[task]} runs have ended failed, "
                          f"of {MAX_ATTEMPTS} allowed")
        running.add((worker.id, task))
        used = len(running) * TASK
        peak[0] = max(peak[0], used)
        if used > MAXIMUM * (1 + OVERAGE) + TASK:
            broken.append(f"QUOTA {task}: its start brings the tenant to {used} of {MAXIMUM} thousandths of a core")

    def on_end(worker, task, _run, how):
        running.discard((worker.id, task))
        if how == "failed":
            failed[task] = failed.get(task, 0) + 1

    deployment.on_start, deployment.on_end = on_start, on_end
    await asyncio.sleep(3)
    job = await deployment.submit("/q/", [step(150, 1_500)], spec=task_spec(1_500))
    await asyncio.sleep(2)
    owner = newest_owner(deployment, "pool.owned", POOL)
    others = [node for node in deployment.nodes if node is not owner]
    deployment.spawn(ask(deployment, others, job))
    deployment.spawn(submit_hopeless(deployment, others))
    if is_troubled():
        down_until = deployment.record.now() + DOWN_S
        deployment.record.add(f"the store's partition of keyed.op is down for {DOWN_S} s, all others are up")
        deployment.platform.is_down = lambda node, topic: topic == "keyed.op" and deployment.record.now() < down_until
        owner.send_signal(signal.SIGKILL)
        owner.process.wait()
        await asyncio.sleep(RESTART_S)
        await owner.start()
    await asyncio.sleep(18)
    deployment.record.add(f"the tenant's highest use was {peak[0]}")
    return broken


run(CASE, Deployment(CASE, MANIFEST), scenario)
