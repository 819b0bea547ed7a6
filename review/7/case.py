"""LOST: a submission whose record is a few bytes too long for the store stops its pool for good."""

import asyncio
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "support-2"))

from deployment import RECORD_BYTES, Deployment, is_troubled, route, run, step, task_spec  # noqa: E402

QUEUE, POOL, TENANT = "nightly-category-refresh-of-all-tenants", "pool-a", "team"
FINISH_S = 14
IDLE_S = 3
EXCESS = 4  # Bytes, of the 1 to 8 that the node's check leaves out.
MANIFEST = {"version": 1, "routes": [route(QUEUE, POOL, pathPrefix="/q/")],
            "services": [{"name": POOL, "admissionControl": False}],
            "tenants": [{"name": TENANT, "apiKeys": ["key-1"], "weight": 1}], "limits": {}}


def large_step(record_bytes):
    """Returns a step that makes the submission's record this long, as the node encodes it without the time of acceptance."""
    spec = task_spec(200)
    names = sum(2 + len(text) if len(text) >= 32 else 1 + len(text) for text in (QUEUE, POOL, TENANT, spec))
    id_bytes = 17  # Of the record's key (a letter and the id), and of the id in its value.
    # Key length, key, two arrays, id, names, steps, three times, acceptance; the step: array, count, need, estimate, after,
    # two labels, head of the image, three numbers, six flags.
    fixed = 1 + id_bytes + 2 + id_bytes + names + 1 + 3 + 1 + 3 + 1 + (1 + 3 + 1 + 1) + 2 + 1 + 2 + 5 + 3 + 6
    return {"count": 1, "cpu": 1_000, "memMb": 10, "estimateMs": 200, "image": "x" * (record_bytes - fixed)}


async def scenario(deployment):
    started = {}
    deployment.on_start = lambda worker, task, run_number: started.setdefault(task, deployment.record.now())
    await asyncio.sleep(3)
    steps = [step(1, 2_000), step(1, 2_000, after=[0])]
    before = await deployment.submit("/q/", steps, spec=task_spec(2_000))
    if is_troubled():
        body = [large_step(RECORD_BYTES - 8 + EXCESS)]
        await deployment.submit("/q/", body, spec=task_spec(200))
    for _ in range(6):
        await deployment.submit("/q/", [step(1, 200)], spec=task_spec(200), attempts=1)
    deployment.record.add("end of the traffic")
    await asyncio.sleep(FINISH_S)
    running = [task for _ in range(int(IDLE_S / 0.1)) if await asyncio.sleep(0.1, True)
               for worker in deployment.workers for task in worker.running if task.startswith(before)]
    state = await deployment.state("/q/", before)
    if state == "completed" or running:
        return []
    return [f"LOST {before}: shown as {state} {FINISH_S} s after the traffic, its second step has had its turn since the first "
            f"one has ended, nothing of it runs for {IDLE_S} s, and all workers are idle"]


run(CASE, Deployment(CASE, MANIFEST), scenario)
