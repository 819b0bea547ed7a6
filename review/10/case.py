"""LOST: what a tenant's backlog asks for in a full service is held back from its other services."""

import asyncio
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "support-2"))

from deployment import Deployment, is_troubled, route, run, step, task_spec  # noqa: E402

MAXIMUM = 80_000  # Thousandths of a core.
WORKERS, WORKER_CPU = 4, 8_000  # Of each service.
FULL, EMPTY = "pool-a", "pool-b"
FINISH_S, IDLE_S = 14, 3
BACKLOG = 400  # Tasks of 1 core and 3 s: 38 s of work for the full service.
CPU = 6_000  # Of the task for the empty service.
MANIFEST = {"version": 1, "routes": [route(pool, pool) for pool in (FULL, EMPTY)],
            "services": [{"name": pool, "admissionControl": False} for pool in (FULL, EMPTY)],
            "tenants": [{"name": "team", "apiKeys": ["key-1"], "weight": 1, "maximum": {"cpu": MAXIMUM}}], "limits": {}}


def used(deployment, service=None):
    return sum(run["cpu"] for worker in deployment.workers if service in (None, worker.service)
               for run in worker.running.values())


async def scenario(deployment):
    await asyncio.sleep(3)
    for pool in (FULL, EMPTY):
        await deployment.submit(f"/{pool}/", [step(1, 100)], spec=task_spec(100))
    if is_troubled():
        for _ in range(4):
            await deployment.submit(f"/{FULL}/", [step(BACKLOG // 4, 3_000)], spec=task_spec(3_000))
    await asyncio.sleep(1)
    job = await deployment.submit(f"/{EMPTY}/", [step(1, 1_000, cpu=CPU)], spec=task_spec(1_000, cpu=CPU))
    deployment.record.add("end of the traffic")
    await asyncio.sleep(FINISH_S)
    if await deployment.state(f"/{EMPTY}/", job) == "completed":
        return []
    most = 0
    for _ in range(int(IDLE_S / 0.1)):
        await asyncio.sleep(0.1)
        most = max(most, used(deployment))
        if used(deployment, EMPTY) > 0 or 2 * most >= MAXIMUM:
            return []
    state = await deployment.state(f"/{EMPTY}/", job)
    deployment.record.add(f"the tenant's highest use in that time is {most} of {MAXIMUM}")
    return [f"LOST {job}: {state} {FINISH_S} s after the traffic, nothing of it runs for {IDLE_S} s, its service is empty, and "
            f"its tenant uses {most} of {MAXIMUM} thousandths of a core"]


run(CASE, Deployment(CASE, MANIFEST, workers=[(FULL, WORKERS), (EMPTY, WORKERS)], cpu=WORKER_CPU), scenario)
