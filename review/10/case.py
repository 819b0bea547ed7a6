"""BUDGET: tasks of a queue whose route is removed are started again without end."""

import asyncio
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "support-2"))

from deployment import Deployment, is_troubled, route, run, step, task_spec  # noqa: E402

MAX_ATTEMPTS = 3
POOL = "pool-a"


def manifest(version, routes):
    return {"version": version, "routes": [route(name, POOL, maxAttempts=MAX_ATTEMPTS) for name in routes],
            "services": [{"name": POOL, "admissionControl": False}],
            "tenants": [{"name": "team", "apiKeys": ["key-1"], "weight": 1}], "limits": {}}


async def scenario(deployment):
    failed, broken = {}, []

    def on_start(_worker, task, run_number):
        if failed.get(task, 0) >= MAX_ATTEMPTS:
            broken.append(f"BUDGET {task}: run {run_number} starts after {failed[task]} runs have ended failed, "
                          f"of {MAX_ATTEMPTS} allowed")

    def on_end(_worker, task, _run, how):
        if how == "failed":
            failed[task] = failed.get(task, 0) + 1

    deployment.on_start, deployment.on_end = on_start, on_end
    await asyncio.sleep(3)
    await deployment.submit("/removed/", [step(1, 1_500)], spec=task_spec(1_500, "failed"))
    await asyncio.sleep(2)
    if is_troubled():
        deployment.platform.put_manifest(manifest(3, ["kept"]))
    await asyncio.sleep(25)
    return broken


run(CASE, Deployment(CASE, manifest(1, ["kept", "removed"])), scenario)
