"""QUOTA: the report of a former owner that has been frozen takes the place of the present owner's."""

import asyncio
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import signal  # noqa: E402

from deployment_2 import Deployment, is_troubled, newest_owner, route, run, step, task_spec  # noqa: E402

MAXIMUM, OVERAGE, TASK = 16_000, 0.1, 1_000  # Thousandths of a core.
FREEZE_S = 4.0
POOLS = ["pool-d", "pool-e"]
MANIFEST = {"version": 1, "routes": [route(pool, pool) for pool in POOLS],
            "services": [{"name": pool, "admissionControl": False} for pool in POOLS],
            "tenants": [{"name": "team", "apiKeys": ["key-1"], "weight": 1, "maximum": {"cpu": MAXIMUM}}], "limits": {}}
ROUNDS_UNTIL_S = 85


async def scenario(deployment):
    running, broken, peak = set(), [], [0]

    def on_start(worker, task, _run):
        running.add((worker.id, task))
        used = len(running) * TASK
        peak[0] = max(peak[0], used)
        if used > MAXIMUM * (1 + OVERAGE) + TASK:
            broken.append(f"QUOTA {task}: its start brings the tenant to {used} of {MAXIMUM} thousandths of a core")

    deployment.on_start = on_start
    deployment.on_end = lambda worker, task, _run, how: running.discard((worker.id, task))
    await asyncio.sleep(3)
    for pool in POOLS:
        await deployment.submit(f"/{pool}/", [step(1, 100)], spec=task_spec(100))
    while deployment.record.now() < ROUNDS_UNTIL_S and not broken:
        await asyncio.sleep(1)
        coordinator = newest_owner(deployment, "coordinator.held")
        owners = {pool: newest_owner(deployment, "pool.owned", pool) for pool in POOLS}
        frozen = next(node for node in reversed(deployment.nodes) if node is not coordinator and node in owners.values())
        first = next(pool for pool in reversed(POOLS) if owners[pool] is frozen)
        second = next(pool for pool in POOLS if pool != first)
        live = [node for node in deployment.nodes if node is not frozen]
        deployment.record.add(f"{coordinator.name} is the coordinator, {frozen.name} owns {first}")
        if is_troubled():
            frozen.send_signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S - 1.1)
        # The first queue asks for most of the tenant's maximum, then the second one for as much.
        await deployment.submit(f"/{first}/", [step(14, 4_000)], nodes=live, spec=task_spec(4_000))
        await asyncio.sleep(0.5)
        await deployment.submit(f"/{second}/", [step(14, 4_000)], nodes=live, spec=task_spec(4_000))
        await asyncio.sleep(0.5)
        if is_troubled():
            frozen.send_signal(signal.SIGCONT)
        await asyncio.sleep(8)
    deployment.record.add(f"the tenant's highest use was {peak[0]}")
    return broken


run(CASE, Deployment(CASE, MANIFEST, nodes=4, workers=[(pool, 2) for pool in POOLS]), scenario)
